#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <random>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;

/// The kinds of faults that a simulation injects.
struct FaultMix {
  double PeerFailures = 0; ///< Share of the calls between processes that fail.
  double StoreFailures = 0;
  double WorkerFailures = 0;
  bool Kills = false;
  bool Leaves = false;
  bool Reassignments = false;  ///< All shards are reassigned at once.
  bool LostJoins = false;      ///< Joins of a process are lost for a while.
  bool BlockedLinks = false;   ///< Two processes can't reach each other.
  bool WorkerRestarts = false; ///< Workers restart.
  bool ScheduledJobs = false;  ///< Some jobs are scheduled for given times.
  bool CrashingTasks = false;  ///< Some tasks crash each worker.
  bool WorkerCuts = false;     ///< Workers are cut off, and drain.
};

/// What a simulation includes besides the faults that its seed chooses.
enum class Extra { None, ScheduledJobs, CrashingTasks, WorkerCuts };

/// A simulation, determined by its seed, of some seconds with faults and then a
/// time without.
class RandomSimulation {
public:
  RandomSimulation(std::uint64_t Seed, Extra Included)
      : Random_(Seed), Bench_(8) {
    Faults_ = {.PeerFailures = oneOf({0.0, 0.02, 0.1, 0.3}),
               .StoreFailures = oneOf({0.0, 0.0, 0.05, 0.2}),
               .WorkerFailures = oneOf({0.0, 0.0, 0.03, 0.15}),
               .Kills = chance(0.4),
               .Leaves = chance(0.4),
               .Reassignments = chance(0.6),
               .LostJoins = chance(0.5),
               .BlockedLinks = chance(0.4),
               .WorkerRestarts = chance(0.3)};
    Faults_.ScheduledJobs = Included == Extra::ScheduledJobs;
    Faults_.WorkerCuts = Included == Extra::WorkerCuts;
    if (Included == Extra::CrashingTasks) {
      // A crash is not counted if the owner of the job and the holder of the
      // worker are both replaced before the owner has stored the suspicion. The
      // permitted number of starts leaves room for two of these.
      Faults_.CrashingTasks = true;
      Faults_.LostJoins = false;
      HandoversLeft_ = 8;
    }
  }

  /// Runs the simulation and returns the violations.
  std::vector<std::string> run() {
    const int Nodes = number(3, 5);
    for (int I = 0; I < 6; ++I)
      Bench_.addWorker(fmt::format("w{}", I), I % 2 == 0 ? 4000 : 2000);
    for (int I = 0; I < Nodes; ++I)
      Bench_.startNode(fmt::format("n{}:1", NextNode_++));
    Bench_.run(2500ms);
    setFaults();
    const auto End = Bench_.Environment.Timers.now() + 12s;
    while (Bench_.Environment.Timers.now() < End) {
      performRandomAction();
      updateList();
      Bench_.run(std::chrono::milliseconds(number(20, 500)));
      Bench_.checkWaitingJobs();
    }
    clearFaults();
    while (static_cast<int>(Bench_.members().size()) < 3)
      Bench_.startNode(fmt::format("n{}:1", NextNode_++));
    Bench_.run(30s);
    return Bench_.finalViolations();
  }

  [[nodiscard]] CellNodeBench &bench() { return Bench_; }
  [[nodiscard]] std::string describe() const {
    return fmt::format("peers {} store {} workers {}{}{}{}{}{}{}",
                       Faults_.PeerFailures, Faults_.StoreFailures,
                       Faults_.WorkerFailures, Faults_.Kills ? " kills" : "",
                       Faults_.Leaves ? " leaves" : "",
                       Faults_.Reassignments ? " reassignments" : "",
                       Faults_.LostJoins ? " lost-joins" : "",
                       Faults_.BlockedLinks ? " blocked-links" : "",
                       Faults_.WorkerRestarts ? " restarts" : "");
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
    Bench_.Environment.Network.ChooseFault = [this](const std::string &From,
                                                    const std::string &To,
                                                    const std::string &Call) {
      if (isIsolated(From) || isIsolated(To))
        return CallFault{.Type = Kind::LostRequest};
      if (BlockedLinks_.contains({From, To}) ||
          BlockedLinks_.contains({To, From}))
        return CallFault{.Type = Kind::LostRequest};
      CallFault Fault = randomFault(Faults_.PeerFailures);
      // Only these calls may be resent by the HTTP client; see HttpCellPeer.
      const bool Resent = Call != "place" && Call != "reserve" &&
                          Call != "room" && Call != "submit";
      if (Resent && chance(Faults_.PeerFailures / 4))
        Fault = {.Type = Kind::Duplicated,
                 .Delay = std::chrono::milliseconds(number(1, 800))};
      return Fault;
    };
    Bench_.Environment.Store.ChooseFault = [this](const std::string &Process,
                                                  const std::string &Call) {
      if (isIsolated(Process) ||
          (Call == "join" && ProcessesWithoutJoins_.contains(Process)))
        return CallFault{.Type = Kind::LostRequest};
      return randomFault(Faults_.StoreFailures);
    };
    Bench_.Environment.Workers.ChooseFault = [this](const std::string &Process,
                                                    const std::string &Worker,
                                                    const std::string &) {
      const auto Cut = Cuts_.find(Worker);
      if (Cut != Cuts_.end() && Cut->second.ReachedBy != Process)
        return CallFault{.Type = Cut->second.Type};
      return randomFault(Faults_.WorkerFailures);
    };
    Bench_.Environment.Workers.ChoosePlan = [this](const std::string &Task,
                                                   int) {
      if (CrashingTasks_.contains(Task))
        return RunPlan{.Duration = 10ms, .Outcome = "crash"};
      return RunPlan{.Duration = std::chrono::milliseconds(number(50, 2500)),
                     .Outcome = chance(0.1) ? "failed" : "done"};
    };
  }

  /// A worker that runs on and can't be reached.
  struct WorkerCut {
    Kind Type = Kind::LostRequest;
    /// Process that still reaches it, and that is cut off from the store and
    /// from the other processes; empty if there is none.
    std::string ReachedBy;
    Clock::time_point Begin{};
    Clock::time_point End{};
  };
  static constexpr std::chrono::milliseconds EntryLifetime{4500};
  static constexpr std::chrono::seconds DrainTime{8};

  [[nodiscard]] Clock::time_point now() const {
    return Bench_.Environment.Timers.now();
  }
  [[nodiscard]] bool isIsolated(const std::string &Process) const {
    return std::ranges::any_of(Cuts_, [&Process](const auto &IdAndCut) {
      return IdAndCut.second.ReachedBy == Process;
    });
  }
  void cutWorker() {
    const std::string Worker = fmt::format("w{}", number(0, 5));
    WorkerCut Cut{.Type = chance(0.5) ? Kind::Refused : Kind::LostRequest,
                  .Begin = now(),
                  .End = now() + std::chrono::milliseconds(number(500, 9000))};
    // One process at a time, so that the others go on.
    const int Shard = ShardMap(Bench_.Environment.Shards).shardOf(Worker);
    if (Cuts_.empty() && chance(0.5))
      for (TestCellNode *Node : Bench_.members())
        if (Node->shards().heldShards().contains(Shard))
          Cut.ReachedBy = Node->address();
    Cuts_.try_emplace(Worker, Cut);
  }
  /// Ends cuts and drains, and removes the entries of workers that the store
  /// has not heard of for a while.
  void updateList() {
    if (!Faults_.WorkerCuts)
      return;
    std::erase_if(Cuts_, [this](const auto &IdAndCut) {
      return IdAndCut.second.End <= now();
    });
    for (int I = 0; I < 6; ++I) {
      const std::string Id = fmt::format("w{}", I);
      const auto Drain = DrainsUntil_.find(Id);
      if (Drain != DrainsUntil_.end() && Drain->second <= now()) {
        DrainsUntil_.erase(Drain);
        Bench_.Environment.Workers.restart(Id);
      }
      const auto Cut = Cuts_.find(Id);
      std::optional<std::string> Entry =
          DrainsUntil_.contains(Id) ? "draining" : "ready";
      if (Cut != Cuts_.end() && now() - Cut->second.Begin > EntryLifetime)
        Entry.reset();
      if (Listed_.try_emplace(Id, "ready").first->second != Entry)
        Bench_.Environment.Store.put(TestCellNode::WorkersTopic, Id, Entry);
      Listed_[Id] = Entry;
    }
  }

  void performRandomAction() {
    if (Faults_.WorkerCuts && chance(0.2))
      return cutWorker();
    if (Faults_.WorkerCuts && chance(0.1)) {
      DrainsUntil_.try_emplace(fmt::format("w{}", number(0, 5)),
                               now() + DrainTime);
      return;
    }
    const auto Alive = Bench_.members();
    TestCellNode &Node =
        *Alive[static_cast<std::size_t>(number(0, 1000)) % Alive.size()];
    const std::size_t MinimumProcesses = 2;
    switch (number(0, 9)) {
    case 0:
      if (Faults_.Kills && Alive.size() > MinimumProcesses && mayHandOver())
        Node.kill();
      else if (Faults_.Kills && Alive.size() < 5)
        Bench_.startNode(fmt::format("n{}:1", NextNode_++));
      return;
    case 1:
      if (Faults_.Leaves && Alive.size() > MinimumProcesses && mayHandOver())
        asio::co_spawn(Bench_.Environment.Context, Node.drain(),
                       asio::detached);
      return;
    case 2:
      if ((Faults_.Leaves || Faults_.Kills) && Alive.size() < 5)
        Bench_.startNode(fmt::format("n{}:1", NextNode_++));
      return;
    case 3:
      if (Faults_.Reassignments && mayHandOver())
        Bench_.Environment.Store.rotateOwners(
            static_cast<std::size_t>(number(0, 9)));
      return;
    case 4:
      if (!Faults_.LostJoins)
        return;
      if (ProcessesWithoutJoins_.empty() || chance(0.5))
        ProcessesWithoutJoins_.insert(Node.address());
      else
        ProcessesWithoutJoins_.clear();
      return;
    case 5:
      if (!Faults_.BlockedLinks)
        return;
      if (BlockedLinks_.empty() || chance(0.5))
        BlockedLinks_.emplace(Node.address(), Alive.front()->address());
      else
        BlockedLinks_.clear();
      return;
    case 6:
      if (Faults_.WorkerRestarts && chance(0.4))
        Bench_.Environment.Workers.restart(fmt::format("w{}", number(0, 5)));
      return;
    case 7:
      if (chance(0.3) && Submitted_ > 0)
        Bench_.cancel(Node, jobId(number(0, Submitted_ - 1)));
      return;
    default:
      submit(Node);
    }
  }

  bool mayHandOver() { return HandoversLeft_-- > 0; }

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
    if (Faults_.ScheduledJobs && chance(0.4)) {
      Job.Repetitions = number(1, 3);
      Job.FirstRun =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Bench_.Environment.Timers.wallNow().time_since_epoch()) +
          std::chrono::milliseconds(number(0, 2000));
      Job.Interval = std::chrono::milliseconds(number(300, 2000));
    }
    if (Faults_.CrashingTasks && chance(0.15))
      CrashingTasks_.insert(Job.Id + ".0.0.0");
    Bench_.submit(Node, Job);
  }

  void clearFaults() {
    Bench_.Environment.Network.ChooseFault = nullptr;
    Bench_.Environment.Store.ChooseFault = nullptr;
    Bench_.Environment.Workers.ChooseFault = nullptr;
    for (auto &[Id, Cut] : Cuts_)
      Cut.End = now();
    for (auto &[Id, Until] : DrainsUntil_)
      Until = now();
    updateList();
  }

  std::mt19937_64 Random_;
  CellNodeBench Bench_;
  FaultMix Faults_;
  int NextNode_ = 0;
  int Submitted_ = 0;
  int HandoversLeft_ = std::numeric_limits<int>::max(); ///< That may be caused.
  std::set<std::pair<std::string, std::string>> BlockedLinks_;
  std::set<std::string> ProcessesWithoutJoins_;
  std::set<std::string> CrashingTasks_;                  ///< Names of tasks.
  std::map<std::string, WorkerCut> Cuts_;                ///< By worker.
  std::map<std::string, Clock::time_point> DrainsUntil_; ///< By worker.
  /// State in the list by worker; nothing if it has no entry.
  std::map<std::string, std::optional<std::string>> Listed_;
};

/// Runs one simulation. Returns the violations and the seed, or nothing.
std::string violationsOf(std::uint64_t Seed, Extra Included) {
  RandomSimulation Simulation(Seed, Included);
  const auto Found = Simulation.run();
  if (Found.empty())
    return {};
  std::string Text =
      fmt::format("seed {} ({}):\n", Seed, Simulation.describe());
  for (const std::string &Line : Found)
    Text += Line + "\n";
  return Text;
}

} // namespace

class CellNodePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellNodePropertyTest);
  CPPUNIT_TEST(testSeedsThatViolatedARuleBefore);
  CPPUNIT_TEST(propertyFaultsViolateNoRule);
  CPPUNIT_TEST(propertyFaultsViolateNoRuleOfScheduledJobs);
  CPPUNIT_TEST(propertyFaultsViolateNoRuleOfCrashingTasks);
  CPPUNIT_TEST(propertyCutsOfWorkersViolateNoRule);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against the faults that simulations with these seeds found.
  void testSeedsThatViolatedARuleBefore() {
    // 62, 189, 1860: ends of a worker's next incarnation were acknowledged
    // before they were read. 1173: a run whose placement was still in transit
    // counted as absent. 1194240660: a former owner no longer saw a run whose
    // end its successor had accepted, and started it again.
    // 812549414: a start reached the next incarnation of its worker, and the
    // run was taken for lost with the former one. 436218757: two workers
    // crashed by chance soon after they had started the same task, which was
    // given up; the users permit that.
    for (const std::uint64_t Seed :
         {62U, 189U, 1173U, 1860U, 1194240660U, 812549414U, 436218757U})
      CPPUNIT_ASSERT_EQUAL(std::string(), violationsOf(Seed, Extra::None));
    // A new owner restarted a task whose run it had adopted before all holders
    // of workers knew of the takeover, and so did the former owner.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         violationsOf(231047510, Extra::ScheduledJobs));
    // A shard came back to a process that had not noticed its loss, from one
    // that had not read the journal yet: the others ignored its reports, and no
    // takeover was completed.
    CPPUNIT_ASSERT_EQUAL(std::string(), violationsOf(0, Extra::ScheduledJobs));
    // A process that had lost the worker answered the stop of a run whose
    // placement was still in transit to an earlier holder, which received the
    // worker again.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         violationsOf(36737544, Extra::ScheduledJobs));
    // A new owner forgot a run that it had refused and stopped, and started the
    // task again before the run had ended.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         violationsOf(111178700, Extra::ScheduledJobs));
    // Crashes were not counted as other processes took the workers over.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         violationsOf(96910991, Extra::CrashingTasks));
  }

  // Guards against violations when calls fail while processes start, stop and
  // are killed. With HICKORYPICK_NODE_RUN=SEED, one simulation is run and its
  // events are printed, only those that contain HICKORYPICK_NODE_TRACE if that
  // is set. If HICKORYPICK_NODE_TIMES is set, the simulation includes scheduled
  // jobs, if HICKORYPICK_NODE_CRASHES is set, tasks that crash their workers,
  // and if HICKORYPICK_NODE_CUTS is set, workers that are cut off.
  void propertyFaultsViolateNoRule() {
    if (const char *Chosen = std::getenv("HICKORYPICK_NODE_RUN")) {
      const char *Text = std::getenv("HICKORYPICK_NODE_TRACE");
      RandomSimulation Simulation(std::stoull(Chosen), chosenExtra());
      Simulation.run();
      std::cerr << Simulation.bench().trace(Text == nullptr ? "" : Text)
                << Simulation.bench().Environment.History.report();
      CPPUNIT_ASSERT(
          Simulation.bench().Environment.History.violations().empty());
      return;
    }
    runRandomSimulations(Extra::None);
  }

  // Guards against a new owner that starts an occurrence of a scheduled job
  // again.
  void propertyFaultsViolateNoRuleOfScheduledJobs() {
    runRandomSimulations(Extra::ScheduledJobs);
  }

  // Guards against a count of crashes that processes lose as they start, stop
  // and are killed.
  void propertyFaultsViolateNoRuleOfCrashingTasks() {
    runRandomSimulations(Extra::CrashingTasks);
  }

  // Guards against runs that are taken for over while their worker is cut off:
  // from all, also while it drains and its entry disappears, or from all but a
  // holder that is cut off with it.
  void propertyCutsOfWorkersViolateNoRule() {
    runRandomSimulations(Extra::WorkerCuts);
  }

private:
  static Extra chosenExtra() {
    if (std::getenv("HICKORYPICK_NODE_CRASHES") != nullptr)
      return Extra::CrashingTasks;
    if (std::getenv("HICKORYPICK_NODE_CUTS") != nullptr)
      return Extra::WorkerCuts;
    return std::getenv("HICKORYPICK_NODE_TIMES") != nullptr
               ? Extra::ScheduledJobs
               : Extra::None;
  }
  static void runRandomSimulations(Extra Included) {
    const bool Holds = rc::check("faults violate no rule", [Included] {
      const auto Seed =
          *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1U << 31));
      const std::string Violations = violationsOf(Seed, Included);
      RC_LOG(Violations);
      RC_ASSERT(Violations.empty());
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellNodePropertyTest);

} // namespace hickory
