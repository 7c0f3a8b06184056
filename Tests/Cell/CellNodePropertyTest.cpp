#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <random>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;

/// Kinds of trouble that a run has.
struct TroubleMix {
  double PeerCuts = 0; ///< Share of calls between processes.
  double StoreCuts = 0;
  double WorkerCuts = 0;
  bool Kills = false;
  bool Leaves = false;
  bool Deals = false;    ///< All shards dealt anew at once.
  bool Unaware = false;  ///< Joins of a process do not arrive for a while.
  bool Links = false;    ///< Two processes do not reach each other.
  bool Restarts = false; ///< Of workers.
  bool Times = false;    ///< Jobs that are due at times.
};

/// A run of some seconds of trouble and then calm, which follows from its seed.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed, bool Times)
      : Random_(Seed), Bench_(8) {
    Mix_ = {.PeerCuts = oneOf({0.0, 0.02, 0.1, 0.3}),
            .StoreCuts = oneOf({0.0, 0.0, 0.05, 0.2}),
            .WorkerCuts = oneOf({0.0, 0.0, 0.03, 0.15}),
            .Kills = chance(0.4),
            .Leaves = chance(0.4),
            .Deals = chance(0.6),
            .Unaware = chance(0.5),
            .Links = chance(0.4),
            .Restarts = chance(0.3)};
    Mix_.Times = Times;
  }

  /// Returns the breaks of rules.
  std::vector<std::string> play() {
    const int Nodes = number(3, 5);
    for (int I = 0; I < 6; ++I)
      Bench_.addWorker(fmt::format("w{}", I), I % 2 == 0 ? 4000 : 2000);
    for (int I = 0; I < Nodes; ++I)
      Bench_.startNode(fmt::format("n{}:1", NextNode_++));
    Bench_.run(2500ms);
    setFaults();
    const auto End = Bench_.World.Timers.now() + 12s;
    while (Bench_.World.Timers.now() < End) {
      act();
      Bench_.run(std::chrono::milliseconds(number(20, 500)));
    }
    calm();
    while (static_cast<int>(Bench_.members().size()) < 3)
      Bench_.startNode(fmt::format("n{}:1", NextNode_++));
    Bench_.run(30s);
    return Bench_.judge();
  }

  [[nodiscard]] CellNodeBench &bench() { return Bench_; }
  [[nodiscard]] std::string describe() const {
    return fmt::format(
        "peers {} store {} workers {}{}{}{}{}{}{}", Mix_.PeerCuts,
        Mix_.StoreCuts, Mix_.WorkerCuts, Mix_.Kills ? " kills" : "",
        Mix_.Leaves ? " leaves" : "", Mix_.Deals ? " deals" : "",
        Mix_.Unaware ? " unaware" : "", Mix_.Links ? " links" : "",
        Mix_.Restarts ? " restarts" : "");
  }

private:
  int number(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random_) < Share;
  }
  double oneOf(std::initializer_list<double> Values) {
    return *(Values.begin() + number(0, static_cast<int>(Values.size()) - 1));
  }

  CallFault randomFault(double Share) {
    if (!chance(Share))
      return {};
    static constexpr Kind Kinds[] = {Kind::Refused, Kind::LostRequest,
                                     Kind::LostReply, Kind::LostReply,
                                     Kind::Delayed};
    CallFault Fault{.Type = Kinds[number(0, 4)]};
    if (Fault.Type == Kind::Delayed)
      Fault.Delay = std::chrono::milliseconds(number(50, 4000));
    return Fault;
  }

  void setFaults() {
    Bench_.World.Network.ChooseFault = [this](const std::string &From,
                                              const std::string &To,
                                              const std::string &Call) {
      if (Cut_.contains({From, To}) || Cut_.contains({To, From}))
        return CallFault{.Type = Kind::LostRequest};
      CallFault Fault = randomFault(Mix_.PeerCuts);
      // Only these may be sent again by the client; see HttpCellPeer.
      const bool Resent = Call != "place" && Call != "reserve" &&
                          Call != "room" && Call != "submit";
      if (Resent && chance(Mix_.PeerCuts / 4))
        Fault = {.Type = Kind::Duplicated,
                 .Delay = std::chrono::milliseconds(number(1, 800))};
      return Fault;
    };
    Bench_.World.Store.ChooseFault = [this](const std::string &Process,
                                            const std::string &Call) {
      if (Call == "join" && Unaware_.contains(Process))
        return CallFault{.Type = Kind::LostRequest};
      return randomFault(Mix_.StoreCuts);
    };
    Bench_.World.Workers.ChooseFault =
        [this](const std::string &, const std::string &, const std::string &) {
          return randomFault(Mix_.WorkerCuts);
        };
    Bench_.World.Workers.ChooseCourse = [this](const std::string &, int) {
      return RunCourse{.Takes = std::chrono::milliseconds(number(50, 2500)),
                       .Outcome = chance(0.1) ? "failed" : "done"};
    };
  }

  void act() {
    const auto Alive = Bench_.members();
    TestCellNode &Node =
        *Alive[static_cast<std::size_t>(number(0, 1000)) % Alive.size()];
    const std::size_t Least = 2;
    switch (number(0, 9)) {
    case 0:
      if (Mix_.Kills && Alive.size() > Least)
        Node.kill();
      else if (Mix_.Kills && Alive.size() < 5)
        Bench_.startNode(fmt::format("n{}:1", NextNode_++));
      return;
    case 1:
      if (Mix_.Leaves && Alive.size() > Least)
        asio::co_spawn(Bench_.World.Context, Node.drain(), asio::detached);
      return;
    case 2:
      if ((Mix_.Leaves || Mix_.Kills) && Alive.size() < 5)
        Bench_.startNode(fmt::format("n{}:1", NextNode_++));
      return;
    case 3:
      if (Mix_.Deals)
        Bench_.World.Store.rotateOwners(static_cast<std::size_t>(number(0, 9)));
      return;
    case 4:
      if (!Mix_.Unaware)
        return;
      if (Unaware_.empty() || chance(0.5))
        Unaware_.insert(Node.address());
      else
        Unaware_.clear();
      return;
    case 5:
      if (!Mix_.Links)
        return;
      if (Cut_.empty() || chance(0.5))
        Cut_.emplace(Node.address(), Alive.front()->address());
      else
        Cut_.clear();
      return;
    case 6:
      if (Mix_.Restarts && chance(0.4))
        Bench_.World.Workers.restart(fmt::format("w{}", number(0, 5)));
      return;
    case 7:
      if (chance(0.3) && Submitted_ > 0)
        Bench_.cancel(Node, jobId(number(0, Submitted_ - 1)));
      return;
    default:
      submit(Node);
    }
  }

  [[nodiscard]] static std::string jobId(int Number) {
    return fmt::format("{:016x}", 0x1000 + Number);
  }

  void submit(TestCellNode &Node) {
    std::vector<StepSpec> Steps;
    const int Count = number(1, 3);
    for (int I = 0; I < Count; ++I) {
      StepSpec Step = CellNodeBench::step(number(1, 4), 500);
      Step.Gang = chance(0.3);
      Step.Checkpointing = chance(0.3);
      if (I > 0 && chance(0.7))
        Step.DependsOn = {I - 1};
      Steps.push_back(std::move(Step));
    }
    JobSpec Job = Bench_.jobOf(jobId(Submitted_++), std::move(Steps));
    Job.Queue.Priority = number(0, 2);
    if (Mix_.Times && chance(0.4)) {
      Job.Repetitions = number(1, 3);
      Job.FirstRun = std::chrono::duration_cast<std::chrono::milliseconds>(
                         Bench_.World.Timers.wallNow().time_since_epoch()) +
                     std::chrono::milliseconds(number(0, 2000));
      Job.Interval = std::chrono::milliseconds(number(300, 2000));
    }
    Bench_.submit(Node, Job);
  }

  void calm() {
    Bench_.World.Network.ChooseFault = nullptr;
    Bench_.World.Store.ChooseFault = nullptr;
    Bench_.World.Workers.ChooseFault = nullptr;
  }

  std::mt19937_64 Random_;
  CellNodeBench Bench_;
  TroubleMix Mix_;
  int NextNode_ = 0;
  int Submitted_ = 0;
  std::set<std::pair<std::string, std::string>> Cut_;
  std::set<std::string> Unaware_;
};

/// Plays one run. On a break of the rules, tells how to repeat it.
std::string breaksOf(std::uint64_t Seed, bool Times) {
  RandomRun Run(Seed, Times);
  const auto Found = Run.play();
  if (Found.empty())
    return {};
  std::string Text = fmt::format("run {} ({}):\n", Seed, Run.describe());
  for (const std::string &Line : Found)
    Text += Line + "\n";
  return Text;
}

} // namespace

class CellNodePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellNodePropertyTest);
  CPPUNIT_TEST(testRunsThatBrokeARuleBefore);
  CPPUNIT_TEST(propertyTroubleBreaksNoRule);
  CPPUNIT_TEST(propertyTroubleBreaksNoRuleOfScheduledJobs);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against the faults that these runs found.
  void testRunsThatBrokeARuleBefore() {
    // 62, 189, 1860: ends of a worker's next incarnation noted unread.
    // 1173: a placement on its way counted as absent.
    // 1194240660: a former owner missed a run whose end its successor had
    // accepted, and started it again.
    for (const std::uint64_t Seed : {62U, 189U, 1173U, 1860U, 1194240660U})
      CPPUNIT_ASSERT_EQUAL(std::string(), breaksOf(Seed, false));
  }

  // Guards against rules that break when calls are cut while processes come and
  // go. With HICKORYPICK_NODE_RUN=N, one run is played and its events printed,
  // those that name HICKORYPICK_NODE_TRACE if that is set.
  void propertyTroubleBreaksNoRule() {
    if (const char *Chosen = std::getenv("HICKORYPICK_NODE_RUN")) {
      const char *Text = std::getenv("HICKORYPICK_NODE_TRACE");
      RandomRun Run(std::stoull(Chosen),
                    std::getenv("HICKORYPICK_NODE_TIMES") != nullptr);
      Run.play();
      std::cerr << Run.bench().trace(Text == nullptr ? "" : Text)
                << Run.bench().World.History.report();
      CPPUNIT_ASSERT(Run.bench().World.History.violations().empty());
      return;
    }
    playRandomRuns(false);
  }

  // Guards against occurrences of scheduled jobs that a new owner starts again.
  void propertyTroubleBreaksNoRuleOfScheduledJobs() { playRandomRuns(true); }

private:
  static void playRandomRuns(bool Times) {
    const bool Holds = rc::check("no rule breaks under trouble", [Times] {
      const auto Seed =
          *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1U << 31));
      const std::string Breaks = breaksOf(Seed, Times);
      RC_LOG(Breaks);
      RC_ASSERT(Breaks.empty());
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellNodePropertyTest);

} // namespace hickory
