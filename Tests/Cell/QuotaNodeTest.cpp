#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;
constexpr const char *Account = "client";

/// Four processes and six workers of 4 cores on six shards, and an account. At
/// each start, what the account's tasks use is compared with its cap.
struct QuotaBench : CellNodeBench {
  explicit QuotaBench(std::uint64_t CapMilli, int Shards = 6)
      : CellNodeBench(Shards) {
    setCap(CapMilli);
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int Run) {
      checkStart(Task);
      return PlanOf ? PlanOf(Task, Run) : RunPlan{.Duration = 800ms};
    };
    Environment.Network.ChooseFault = [this](const std::string &From,
                                             const std::string &To,
                                             const std::string &Call) {
      QuotaCalls += Call == "quota" ? 1 : 0;
      return NetworkFault ? NetworkFault(From, To, Call) : CallFault{};
    };
    for (const char *Id : {"wa", "wb", "wc", "wd", "we", "wf"})
      addWorker(Id);
    for (const char *Address : {"a:1", "b:1", "c:1", "d:1"})
      startNode(Address);
    run(3s);
  }

  void setCap(std::uint64_t CapMilli) {
    Cap = CapMilli;
    ClientAccount Client{.Name = Account, .Cap = {.CpusMilli = CapMilli}};
    ++Environment.Configuration.Version;
    Environment.Configuration.Accounts = {{Client}};
    for (TestCellNode *Node : alive())
      Node->quota().handleConfiguration();
  }
  [[nodiscard]] std::uint64_t inUse() const {
    std::uint64_t Sum = 0;
    for (const std::string &Worker : Environment.Workers.ids())
      for (const std::string &Task : Environment.Workers.tasksOn(Worker))
        if (OfAccount.contains(TaskName::jobOf(Task)))
          Sum += demandOf(Task).CpusMilli;
    return Sum;
  }
  void checkStart(const std::string &Task) {
    if (!OfAccount.contains(TaskName::jobOf(Task)))
      return;
    // The workers do not list the new run yet.
    const std::uint64_t Sum = inUse() + demandOf(Task).CpusMilli;
    const std::uint64_t Bound = std::max(Cap, FormerCap);
    if (Sum > Bound)
      Violations += fmt::format("{}: {} of {}\n", Task, Sum, Bound);
  }
  void submitForAccount(TestCellNode &At, JobSpec Job) {
    Job.Account = Account;
    OfAccount.insert(Job.Id);
    submit(At, Job);
  }
  /// Submits jobs of one step for each shard.
  void submitToAllShards(int Rounds, const StepSpec &Step) {
    for (int Round = 0; Round < Rounds; ++Round)
      for (int Shard = 0; Shard < Environment.Shards; ++Shard)
        submitForAccount(*alive().front(),
                         jobOf(idIn(Shard, NextJob + Round), {Step}));
    NextJob += Rounds;
  }
  /// Returns the average of what is in use.
  std::uint64_t averageInUse(std::chrono::milliseconds Duration) {
    std::uint64_t Sum = 0;
    for (auto Passed = 0ms; Passed < Duration; Passed += 10ms) {
      run(10ms);
      Sum += inUse();
    }
    return Sum * 10 / static_cast<std::uint64_t>(Duration.count());
  }

  std::uint64_t Cap = 0;
  std::uint64_t FormerCap = 0; ///< As long as it may still count.
  std::set<std::string> OfAccount;
  std::string Violations;
  int QuotaCalls = 0;
  int NextJob = 0;
  std::function<RunPlan(const std::string &, int)> PlanOf;
  std::function<CallFault(const std::string &, const std::string &,
                          const std::string &)>
      NetworkFault;
};

/// Processes that are killed, started, cut off and lose their shards, while
/// jobs of the account come and are cancelled.
class FaultyQuotaSimulation {
public:
  explicit FaultyQuotaSimulation(std::uint64_t Seed)
      : Random_(Seed), Bench_(9000) {}

  std::string run() {
    setFaults();
    const auto End = Bench_.Environment.Timers.now() + 12s;
    while (Bench_.Environment.Timers.now() < End) {
      act();
      Bench_.run(std::chrono::milliseconds(number(10, 300)));
    }
    CutOff_.clear();
    Share_ = 0;
    while (Bench_.alive().size() < 3)
      Bench_.startNode(fmt::format("n{}:1", NextNode_++));
    Bench_.run(30s);
    Bench_.finalViolations();
    return Bench_.Violations + Bench_.Environment.History.report();
  }

private:
  int number(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }
  CallFault randomFault() {
    if (number(0, 999) >= Share_)
      return {};
    static constexpr Kind Kinds[] = {Kind::Refused, Kind::LostRequest,
                                     Kind::LostReply, Kind::Delayed};
    return {.Type = Kinds[number(0, 3)],
            .Delay = std::chrono::milliseconds(number(50, 3000))};
  }
  void setFaults() {
    Bench_.NetworkFault = [this](const std::string &From, const std::string &To,
                                 const std::string &) {
      if (CutOff_.contains(From) || CutOff_.contains(To))
        return CallFault{.Type = Kind::Delayed,
                         .Delay = std::chrono::milliseconds(number(50, 4000))};
      return randomFault();
    };
    Bench_.Environment.Store.ChooseFault = [this](const std::string &Process,
                                                  const std::string &) {
      return CutOff_.contains(Process) ? CallFault{.Type = Kind::LostRequest}
                                       : CallFault{};
    };
    Bench_.Environment.Workers.ChooseFault = [this](const std::string &Process,
                                                    const std::string &,
                                                    const std::string &) {
      if (CutOff_.contains(Process))
        return CallFault{.Type = Kind::Delayed,
                         .Delay = std::chrono::milliseconds(number(50, 4000))};
      return randomFault();
    };
    Bench_.PlanOf = [this](const std::string &, int) {
      return RunPlan{.Duration = std::chrono::milliseconds(number(50, 2000))};
    };
  }
  void act() {
    const auto Alive = Bench_.alive();
    TestCellNode &Node =
        *Alive[static_cast<std::size_t>(number(0, 1000)) % Alive.size()];
    switch (number(0, 11)) {
    case 0:
      if (Alive.size() > 2 && Handovers_-- > 0)
        Node.kill();
      return;
    case 1:
      if (Alive.size() < 5)
        Bench_.startNode(fmt::format("n{}:1", NextNode_++));
      return;
    case 2:
      if (CutOff_.empty())
        CutOff_.insert(Node.address());
      else
        CutOff_.clear();
      return;
    case 3:
      if (Handovers_-- > 0)
        Bench_.Environment.Store.rotateOwners(
            static_cast<std::size_t>(number(0, 9)));
      return;
    case 4:
      if (!Submitted_.empty())
        Bench_.cancel(Node,
                      Submitted_[static_cast<std::size_t>(number(0, 1000)) %
                                 Submitted_.size()]);
      return;
    default: {
      StepSpec Step = CellNodeBench::step(
          number(1, 4), static_cast<std::uint64_t>(number(1, 4)) * 500);
      Step.Gang = number(0, 2) == 0;
      const std::string Id = Bench_.idIn(number(0, 5), NextJob_++);
      Submitted_.push_back(Id);
      Bench_.submitForAccount(Node, Bench_.jobOf(Id, {Step}));
    }
    }
  }

  std::mt19937_64 Random_;
  QuotaBench Bench_;
  std::set<std::string> CutOff_;
  std::vector<std::string> Submitted_;
  int Share_ = 30; ///< Of calls that fail, in thousandths.
  int Handovers_ = 6;
  int NextNode_ = 0;
  int NextJob_ = 0;
};

} // namespace

class QuotaNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaNodeTest);
  CPPUNIT_TEST(testCapIsUsedAndNotExceeded);
  CPPUNIT_TEST(testFirstTaskStartsSoon);
  CPPUNIT_TEST(testFaultsDoNotExceedCap);
  CPPUNIT_TEST(testSmallerCapIsNotExceeded);
  CPPUNIT_TEST(testJobsWithoutCapMakeNoCalls);
  CPPUNIT_TEST(testJobThatNeverFitsIsRefused);
  CPPUNIT_TEST(testCancelledRunsOfFormerOwnerCount);
  CPPUNIT_TEST(testTakeoversBesideASilentWorkerGoOnStarting);
  CPPUNIT_TEST(testRestartOfAllBesideASilentWorkerGoesOnStarting);
  CPPUNIT_TEST(testCancelledRunsOnASilentWorkerCount);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an account above its cap, and against a cap of which little
  // is used while work waits.
  void testCapIsUsedAndNotExceeded() {
    QuotaBench Bench(12000);
    Bench.submitToAllShards(12, CellNodeBench::step(4));
    Bench.run(2s);
    const std::uint64_t Average = Bench.averageInUse(3s);
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Violations);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Average), Average >= 10800);
    Bench.run(25s);
    Bench.finalViolations();
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Environment.History.report());
  }

  // Guards against a start that waits for a periodic report.
  void testFirstTaskStartsSoon() {
    QuotaBench Bench(12000);
    Bench.submitToAllShards(1, CellNodeBench::step(1));
    Bench.run(150ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6000), Bench.inUse());
  }

  // Guards against starts above the cap while processes are killed and cut off,
  // shards and ledgers are taken over, and calls are lost and delayed.
  void testFaultsDoNotExceedCap() {
    for (std::uint64_t Seed = 1; Seed <= 25; ++Seed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", Seed), std::string(),
                                   FaultyQuotaSimulation(Seed).run());
  }

  // Guards against starts above a cap that has become smaller.
  void testSmallerCapIsNotExceeded() {
    QuotaBench Bench(12000);
    Bench.submitToAllShards(12, CellNodeBench::step(4));
    Bench.run(2s);
    Bench.FormerCap = 12000;
    Bench.setCap(4000);
    Bench.run(20ms); // For orders that are under way.
    Bench.FormerCap = 0;
    const std::size_t Before = Bench.Environment.History.starts();
    Bench.run(500ms);
    // 12 cores run on for up to 0.8 s.
    CPPUNIT_ASSERT_EQUAL(Before, Bench.Environment.History.starts());
    Bench.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Violations);
    CPPUNIT_ASSERT(Bench.averageInUse(2s) >= 3600);
  }

  // Guards against calls that a cell without caps does not need.
  void testJobsWithoutCapMakeNoCalls() {
    QuotaBench Bench(0);
    Bench.FormerCap = 100000;
    Bench.submitToAllShards(2, CellNodeBench::step(2));
    Bench.run(5s);
    CPPUNIT_ASSERT_EQUAL(0, Bench.QuotaCalls);
    Bench.finalViolations();
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Environment.History.report());
  }

  // Guards against a job that is accepted and can never start, and against one
  // that could be refused after it was accepted.
  void testJobThatNeverFitsIsRefused() {
    QuotaBench Bench(3000);
    StepSpec Gang = CellNodeBench::step(5);
    Gang.Gang = true;
    const std::string Id = Bench.idIn(0);
    CPPUNIT_ASSERT_EQUAL(400, answerTo(Bench, Id, Gang));
    // Three cores and one task.
    Gang.Count = 4;
    Bench.FormerCap = 4000;
    CPPUNIT_ASSERT_EQUAL(200, answerTo(Bench, Id, Gang));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Bench.inUse());
    Bench.setCap(1000);
    CPPUNIT_ASSERT_EQUAL(200, answerTo(Bench, Id, Gang));
  }

  // Guards against a new owner that does not count the runs of a job that was
  // cancelled before it took over.
  void testCancelledRunsOfFormerOwnerCount() {
    QuotaBench Bench(4000);
    Bench.PlanOf = [](const std::string &, int) {
      return RunPlan{.Duration = 20s};
    };
    Bench.Environment.Workers.ChooseFault =
        [](const std::string &, const std::string &, const std::string &Call) {
          return Call == "stop" ? CallFault{.Type = Kind::LostRequest}
                                : CallFault{};
        };
    const std::string Id = Bench.idIn(0);
    Bench.submitForAccount(*Bench.alive().front(),
                           Bench.jobOf(Id, {CellNodeBench::step(4)}));
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Bench.inUse());
    Bench.cancel(*Bench.alive().front(), Id);
    Bench.run(500ms);
    for (TestCellNode *Node : Bench.alive())
      if (Node->shards().heldShards().contains(0))
        Node->kill();
    Bench.run(3s);
    Bench.submitForAccount(
        *Bench.alive().front(),
        Bench.jobOf(Bench.idIn(1), {CellNodeBench::step(2)}));
    Bench.submitForAccount(
        *Bench.alive().front(),
        Bench.jobOf(Bench.idIn(0, 1), {CellNodeBench::step(2)}));
    Bench.run(6s);
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Violations);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Bench.inUse());
  }

  // Guards against accounts that start nothing until a worker out of reach has
  // answered, after shards of jobs and ledgers have moved.
  void testTakeoversBesideASilentWorkerGoOnStarting() {
    QuotaBench Bench(20000, 24);
    const std::string Silent = occupyAWorker(Bench);
    // One of the processes answers late.
    Bench.NetworkFault = [](const std::string &, const std::string &To,
                            const std::string &) {
      return To == "d:1" ? CallFault{.Type = Kind::Duplicated, .Delay = 400ms}
                         : CallFault{};
    };
    silence(Bench, Silent);
    Bench.Environment.Store.rotateOwners(1);
    Bench.run(600ms);
    checkThatTasksStart(Bench);
  }

  // The same if all processes begin anew.
  void testRestartOfAllBesideASilentWorkerGoesOnStarting() {
    QuotaBench Bench(20000, 24);
    const std::string Silent = occupyAWorker(Bench);
    silence(Bench, Silent);
    for (TestCellNode *Node : Bench.alive())
      Node->kill();
    for (const char *Address : {"e:1", "f:1", "g:1", "h:1"})
      Bench.startNode(Address);
    Bench.run(2500ms);
    checkThatTasksStart(Bench);
  }

  // Guards against a new owner that does not count the runs of a job that was
  // cancelled before, on a worker that does not answer.
  void testCancelledRunsOnASilentWorkerCount() {
    QuotaBench Bench(5000);
    const std::string Silent = occupyAWorker(Bench);
    silence(Bench, Silent);
    Bench.cancel(*Bench.alive().front(), Bench.idIn(0));
    Bench.run(500ms);
    for (TestCellNode *Node : Bench.alive())
      Node->kill();
    for (const char *Address : {"e:1", "f:1", "g:1", "h:1"})
      Bench.startNode(Address);
    Bench.run(2500ms);
    Bench.submitForAccount(
        *Bench.alive().front(),
        Bench.jobOf(Bench.idIn(0, 1), {CellNodeBench::step(8)}));
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Violations);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000), Bench.inUse());
  }

private:
  /// Starts a job of shard 0 that fills a worker for long, and returns the
  /// worker.
  static std::string occupyAWorker(QuotaBench &Bench) {
    Bench.PlanOf = [Job = Bench.idIn(0)](const std::string &Task, int) {
      return RunPlan{.Duration = TaskName::jobOf(Task) == Job ? 30s : 800ms};
    };
    Bench.submitForAccount(
        *Bench.alive().front(),
        Bench.jobOf(Bench.idIn(0), {CellNodeBench::step(1, 4000)}));
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Bench.inUse());
    for (const std::string &Worker : Bench.Environment.Workers.ids())
      if (!Bench.Environment.Workers.tasksOn(Worker).empty())
        return Worker;
    return {};
  }
  static void silence(QuotaBench &Bench, const std::string &Worker) {
    Bench.Environment.Workers.ChooseFault = [Worker](const std::string &,
                                                     const std::string &Called,
                                                     const std::string &) {
      return Called == Worker ? CallFault{.Type = Kind::LostRequest}
                              : CallFault{};
    };
  }
  /// Checks that new jobs of all shards start at once, beside the job that
  /// occupies the silent worker.
  static void checkThatTasksStart(QuotaBench &Bench) {
    for (int Shard = 1; Shard < Bench.Environment.Shards; ++Shard)
      Bench.submitForAccount(
          *Bench.alive().front(),
          Bench.jobOf(Bench.idIn(Shard), {CellNodeBench::step(1, 500)}));
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Bench.trace("quota"), std::uint64_t(15500),
                                 Bench.inUse());
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Violations);
  }
  static int answerTo(QuotaBench &Bench, const std::string &Id,
                      const StepSpec &Step) {
    JobSpec Job = Bench.jobOf(Id, {Step});
    Job.Account = Account;
    Bench.remember(Job);
    Bench.OfAccount.insert(Id);
    int Status = 0;
    asio::co_spawn(
        Bench.Environment.Context,
        Bench.alive().front()->gateway().submit(std::move(Job)),
        [&Status](const std::exception_ptr &, const GatewayAnswer &Answer) {
          Status = Answer.Status;
        });
    Bench.run(400ms);
    return Status;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaNodeTest);

} // namespace hickory
