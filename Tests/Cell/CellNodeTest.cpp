#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;

/// Four processes and six workers on six shards.
struct FourNodeBench : CellNodeBench {
  FourNodeBench() : CellNodeBench(6) {
    for (const char *Id : {"wa", "wb", "wc", "wd", "we", "wf"})
      addWorker(Id);
    for (const char *Address : {"a:1", "b:1", "c:1", "d:1"})
      startNode(Address);
    run(2500ms);
  }

  /// Submits one job per shard, with a plain step, a gang and a step that
  /// depends on both.
  void submitAll() {
    for (int Shard = 0; Shard < World.Shards; ++Shard) {
      StepSpec Gang = step(3, 2000);
      Gang.Gang = true;
      StepSpec Last = step(2);
      Last.DependsOn = {0, 1};
      submit(*alive().front(), jobOf(idIn(Shard), {step(3), Gang, Last}));
    }
  }

  void checkRules(const std::string &Call = "", const CallFault &Fault = {}) {
    finalViolations();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("{}, fate {} after {} ms: {}", Call,
                    static_cast<int>(Fault.Type), Fault.Delay.count(),
                    World.History.report()),
        std::size_t(0), World.History.violations().size());
  }
};

/// Injects the fault into every other call of that name between processes.
void injectFaults(CellNodeBench &Bench, const std::string &FailedCall,
                  CallFault Fault, std::shared_ptr<int> Calls) {
  Bench.World.Network.ChooseFault =
      [FailedCall, Fault, Calls](const std::string &, const std::string &,
                                 const std::string &Call) {
        if (Call != FailedCall || ++*Calls % 2 == 0)
          return CallFault{};
        return Fault;
      };
}

/// Processes on three shards, which the test assigns. Shard 0 has the worker W,
/// shard 1 the job and shard 2 the worker W2. At first A holds shard 0, P holds
/// shard 1 and O holds shard 2; A and P lose their shards during the test. B
/// holds none.
struct ShardMoveBench : CellNodeBench {
  ShardMoveBench()
      : CellNodeBench(3), A(startNode("a:1")), B(startNode("b:1")) {
    P = &startNode("p:1");
    O = &startNode("o:1");
    addWorker(W = idIn(0));
    addWorker(W2 = idIn(2));
    run(1500ms);
    World.Store.AutoRebalance = false;
    World.Store.assignOwners(
        {{0, A.member()}, {1, P->member()}, {2, O->member()}});
    run(3s);
    // Removals from the group are blocked, so that a process can be unaware of
    // lost shards for longer.
    World.Network.ChooseFault = [this](const std::string &From,
                                       const std::string &To,
                                       const std::string &Call) {
      const bool FailedCall = BlockedLinks.contains({From, To}) ||
                              BlockedLinks.contains({To, From});
      return FailedCall || Call == "relieve"
                 ? CallFault{.Type = Kind::LostRequest}
                 : CallFault{};
    };
    World.Store.ChooseFault = [this](const std::string &Process,
                                     const std::string &Call) {
      return LostStoreCalls.contains({Process, Call})
                 ? CallFault{.Type = Kind::LostRequest}
                 : CallFault{};
    };
    World.Workers.ChooseFault = [this](const std::string &Process,
                                       const std::string &,
                                       const std::string &) {
      return Process == ProcessWithoutWorkers
                 ? CallFault{.Type = Kind::LostRequest}
                 : CallFault{};
    };
    World.Workers.ChoosePlan = [](const std::string &, int) {
      return RunPlan{.Duration = 4000ms};
    };
  }

  /// Submits a job of one task that can't be placed before release().
  void submitWaiting(int Number = 0) {
    list("draining");
    run(1s);
    submitTo(jobOf(idIn(1, Number), {step(1)}));
  }
  void release() { list("ready"); }
  void list(const std::string &State) {
    for (const std::string &Worker : {W, W2})
      World.Store.put(TestCellNode::WorkersTopic, Worker, State);
  }
  void submitTo(const JobSpec &Job) {
    submit(*P, Job);
    run(200ms);
    CPPUNIT_ASSERT(World.History.accepted(Job.Id));
  }
  /// The process does not learn that it has lost its shards.
  void loseJoinsOf(TestCellNode &Node) {
    LostStoreCalls.insert({Node.address(), "join"});
  }
  void moveJob() { World.Store.assignOwners({{1, O->member()}}); }
  void moveWorker() { World.Store.assignOwners({{0, B.member()}}); }
  void checkRules() {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(World.History.report() + trace(idIn(1)),
                                 std::size_t(0),
                                 World.History.violations().size());
  }
  /// Ends all faults. After that the job must complete without a violation.
  void endFaults() {
    checkRules();
    BlockedLinks.clear();
    LostStoreCalls.clear();
    ProcessWithoutWorkers.clear();
    run(25s);
    finalViolations();
    checkRules();
    CPPUNIT_ASSERT(World.History.starts() > 0);
  }

  TestCellNode &A;
  TestCellNode &B;
  TestCellNode *P = nullptr;
  TestCellNode *O = nullptr;
  std::string W;
  std::string W2;
  std::set<std::pair<std::string, std::string>> BlockedLinks;
  std::set<std::pair<std::string, std::string>> LostStoreCalls;
  std::string
      ProcessWithoutWorkers; ///< Process whose orders do not reach any worker.
};

} // namespace

class CellNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellNodeTest);
  CPPUNIT_TEST(testJobsOfAllShardsComplete);
  CPPUNIT_TEST(testFailedCallsViolateNoRule);
  CPPUNIT_TEST(testFailedCancelsViolateNoRule);
  CPPUNIT_TEST(testFailedPreemptionViolatesNoRule);
  CPPUNIT_TEST(testJobAndWorkerMoveAtOnce);
  CPPUNIT_TEST(testJobMovesBeforeTheWorker);
  CPPUNIT_TEST(testWorkerMovesBeforeTheJob);
  CPPUNIT_TEST(testRunOfAScheduledJobOutlivesItsOwner);
  CPPUNIT_TEST(testEndsOfANewIncarnationAreReadBeforeTheyAreAcknowledged);
  CPPUNIT_TEST(testPlacementInTransitIsStoppedBeforeItCountsAsAbsent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a fixture that tests nothing: without faults, tasks start
  // and all jobs complete.
  void testJobsOfAllShardsComplete() {
    FourNodeBench Bench;
    Bench.submitAll();
    Bench.run(8s);
    Bench.checkRules();
    CPPUNIT_ASSERT_EQUAL(std::size_t(48), Bench.World.History.starts());
  }

  // Guards against a caller that takes an executed call between processes for
  // one without effect, or the reverse: a task then runs twice or never.
  void testFailedCallsViolateNoRule() {
    for (const char *Call :
         {"place", "reserve", "stop", "ends", "exchange", "submit"})
      for (const CallFault &Fault : faults()) {
        FourNodeBench Bench;
        const auto Calls = std::make_shared<int>(0);
        injectFaults(Bench, Call, Fault, Calls);
        // Some runs fail, which stops the other members of their gangs.
        Bench.World.Workers.ChoosePlan = [](const std::string &Task, int Run) {
          const bool Fails = Run == 1 && Task.ends_with("1");
          return RunPlan{.Duration = 300ms,
                         .Outcome = Fails ? "failed" : "done"};
        };
        Bench.submitAll();
        Bench.run(6s);
        Bench.World.Network.ChooseFault = nullptr;
        Bench.run(20s);
        Bench.checkRules(Call, Fault);
        CPPUNIT_ASSERT_MESSAGE(std::string(Call) + " was never sent",
                               *Calls > 0);
      }
  }

  // Guards against runs of cancelled jobs that continue because the cancel call
  // or its stop calls failed.
  void testFailedCancelsViolateNoRule() {
    for (const char *Call : {"cancel", "stop"})
      for (const CallFault &Fault : faults()) {
        FourNodeBench Bench;
        const auto Calls = std::make_shared<int>(0);
        injectFaults(Bench, Call, Fault, Calls);
        Bench.World.Workers.ChoosePlan = [](const std::string &, int) {
          return RunPlan{.Duration = 60s};
        };
        Bench.submitAll();
        Bench.run(1s);
        for (int Shard = 0; Shard < Bench.World.Shards; ++Shard)
          Bench.cancel(*Bench.alive().front(), Bench.idIn(Shard));
        Bench.run(6s);
        Bench.World.Network.ChooseFault = nullptr;
        Bench.run(10s);
        Bench.checkRules(Call, Fault);
        CPPUNIT_ASSERT_MESSAGE(std::string(Call) + " was never sent",
                               *Calls > 0);
      }
  }

  // Guards against tasks that are preempted for a gang and are then started
  // twice, or never again, because the preempt call failed or was repeated.
  void testFailedPreemptionViolatesNoRule() {
    for (const CallFault &Fault : faults()) {
      FourNodeBench Bench;
      const auto Calls = std::make_shared<int>(0);
      injectFaults(Bench, "room", Fault, Calls);
      Bench.World.Workers.ChoosePlan = [](const std::string &Task, int) {
        return RunPlan{.Duration = Task.ends_with("0.0.0") ? 1000ms : 6000ms};
      };
      for (int Shard = 0; Shard < 3; ++Shard) {
        StepSpec Small = FourNodeBench::step(12, 500);
        Small.Checkpointing = true;
        JobSpec Job = Bench.jobOf(Bench.idIn(Shard), {Small});
        Job.Queue.Priority = 2;
        Bench.submit(*Bench.alive().front(), Job);
      }
      Bench.run(1s);
      for (int Shard = 3; Shard < 6; ++Shard) {
        StepSpec Wide = FourNodeBench::step(4, 3000);
        Wide.Gang = true;
        JobSpec Job = Bench.jobOf(Bench.idIn(Shard), {Wide});
        Job.Queue.Priority = 1;
        Job.Queue.TargetLatency = 500ms;
        Bench.submit(*Bench.alive().front(), Job);
      }
      Bench.run(12s);
      Bench.World.Network.ChooseFault = nullptr;
      Bench.run(60s);
      Bench.checkRules("room", Fault);
      CPPUNIT_ASSERT_MESSAGE("room was never sent", *Calls > 0);
    }
  }

  // Guards against a task that runs twice when the job and the worker move at
  // the same time: the job's new owner trusts the report of the worker's former
  // holder, while the job's former owner starts the task through the worker's
  // new holder, which does not know the job's new owner yet.
  void testJobAndWorkerMoveAtOnce() {
    ShardMoveBench Bench;
    Bench.submitWaiting();
    Bench.BlockedLinks = {{"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}};
    Bench.loseJoinsOf(Bench.A);
    Bench.loseJoinsOf(*Bench.P);
    Bench.ProcessWithoutWorkers = "a:1";
    // The job's new owner has not read who holds the worker now.
    Bench.LostStoreCalls.insert({"o:1", "holders"});
    Bench.moveJob();
    Bench.moveWorker();
    Bench.release();
    Bench.run(3s);
    Bench.endFaults();
  }

  // Like testJobAndWorkerMoveAtOnce, but the worker moves after the job's new
  // owner has taken over. Only the former owner's check of its ownership
  // prevents the second run, as the new owner has heard from the holder that
  // the store listed.
  void testJobMovesBeforeTheWorker() {
    ShardMoveBench Bench;
    Bench.submitWaiting();
    Bench.BlockedLinks = {
        {"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}, {"a:1", "p:1"}};
    Bench.loseJoinsOf(*Bench.P);
    Bench.moveJob();
    Bench.run(1s);
    Bench.ProcessWithoutWorkers = "a:1";
    Bench.loseJoinsOf(Bench.A);
    Bench.moveWorker();
    Bench.release();
    Bench.run(3s);
    Bench.endFaults();
  }

  // Like testJobAndWorkerMoveAtOnce, but the worker moves first, and the former
  // owner confirms its ownership before it loses the job. Only the new owner's
  // comparison with the store's list of holders prevents the second run.
  void testWorkerMovesBeforeTheJob() {
    ShardMoveBench Bench;
    Bench.submitWaiting();
    Bench.BlockedLinks = {{"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}};
    Bench.loseJoinsOf(Bench.A);
    Bench.ProcessWithoutWorkers = "a:1";
    Bench.LostStoreCalls.insert({"o:1", "holders"});
    Bench.moveWorker();
    Bench.run(1s);
    // Appends to the job's journal after P has heard from B.
    Bench.submitTo(Bench.jobOf(Bench.idIn(1, 1), {ShardMoveBench::step(1)}));
    Bench.loseJoinsOf(*Bench.P);
    Bench.moveJob();
    Bench.release();
    Bench.run(3s);
    Bench.endFaults();
  }

  // Guards against an owner that takes over a scheduled job and starts a task
  // again that the former owner has started and that is still running.
  void testRunOfAScheduledJobOutlivesItsOwner() {
    ShardMoveBench Bench;
    // Only one such task fits in a worker, so that a second run would go to the
    // other one.
    JobSpec Job = Bench.jobOf(Bench.idIn(1), {ShardMoveBench::step(1, 3000)});
    Job.Repetitions = 1;
    Job.FirstRun = std::chrono::duration_cast<std::chrono::milliseconds>(
                       Bench.World.Timers.wallNow().time_since_epoch()) +
                   500ms;
    Bench.submitTo(Job);
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.World.History.starts());
    Bench.P->kill();
    Bench.moveJob();
    Bench.run(3s);
    Bench.endFaults();
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), Bench.stateOf(Job.Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.World.History.starts());
  }

  // Guards against a heartbeat that acknowledges ends of a worker's former
  // incarnation to the next one. The worker then drops ends that nobody has
  // read, here that of a delayed start.
  void testEndsOfANewIncarnationAreReadBeforeTheyAreAcknowledged() {
    ShardMoveBench Bench;
    Bench.World.Workers.ChoosePlan = [](const std::string &, int) {
      return RunPlan{.Duration = 100ms};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1), {ShardMoveBench::step(1)}));
    Bench.run(1s);
    const std::size_t Before = Bench.World.History.starts();
    const auto Starts = std::make_shared<int>(0);
    Bench.World.Workers.ChooseFault = [Starts](const std::string &,
                                               const std::string &,
                                               const std::string &Call) {
      if (Call != "start" || ++*Starts != 1)
        return CallFault{};
      return CallFault{.Type = Kind::Delayed, .Delay = 1000ms};
    };
    // The run of the second attempt would take long; that of the delayed first
    // one is short.
    const auto Runs = std::make_shared<int>(0);
    Bench.World.Workers.ChoosePlan = [Runs](const std::string &, int) {
      return RunPlan{.Duration = ++*Runs == 2 ? 50ms : 4000ms};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1, 1), {ShardMoveBench::step(1)}));
    Bench.run(780ms);
    CPPUNIT_ASSERT_EQUAL(Before + 1, Bench.World.History.starts());
    for (const std::string &Worker : {Bench.W, Bench.W2})
      if (Bench.World.Workers.running(Worker) > 0)
        Bench.World.Workers.restart(Worker);
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(2, std::min(*Runs, 2));
    Bench.endFaults();
  }

  // Guards against an owner that counts a run as absent because the holder does
  // not report it, while the placement may still arrive: the stop call that
  // prevents its start has not been answered.
  void testPlacementInTransitIsStoppedBeforeItCountsAsAbsent() {
    ShardMoveBench Bench;
    // Only the worker of the process whose calls fail accepts the job.
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W2, "draining");
    Bench.run(1s);
    bool CallsFail = true;
    Bench.World.Network.ChooseFault = [&CallsFail](const std::string &,
                                                   const std::string &To,
                                                   const std::string &Call) {
      if (!CallsFail || To != "a:1")
        return CallFault{};
      if (Call == "place")
        return CallFault{.Type = Kind::Delayed, .Delay = 4000ms};
      if (Call == "stop")
        return CallFault{.Type = Kind::LostRequest};
      return CallFault{};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1), {ShardMoveBench::step(1)}));
    // From now on all processes except the holder of W see that only W2 accepts
    // new work.
    Bench.LostStoreCalls.insert({"a:1", "tail"});
    Bench.LostStoreCalls.insert({"a:1", "newest"});
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W, "draining");
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W2, "ready");
    Bench.run(5s);
    CallsFail = false;
    Bench.run(2s);
    Bench.endFaults();
  }

private:
  /// Calls that fail before, during or after their execution, and repeated
  /// calls.
  static std::vector<CallFault> faults() {
    return {{.Type = Kind::LostRequest},
            {.Type = Kind::LostReply},
            {.Type = Kind::Delayed, .Delay = 1200ms},
            {.Type = Kind::Delayed, .Delay = 4000ms},
            {.Type = Kind::Duplicated, .Delay = 20ms},
            {.Type = Kind::Duplicated, .Delay = 900ms}};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellNodeTest);

} // namespace hickory
