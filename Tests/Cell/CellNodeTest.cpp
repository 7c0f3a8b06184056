#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;

/// Four processes and six workers on six shards.
struct NodesBench : CellNodeBench {
  NodesBench() : CellNodeBench(6) {
    for (const char *Id : {"wa", "wb", "wc", "wd", "we", "wf"})
      addWorker(Id);
    for (const char *Address : {"a:1", "b:1", "c:1", "d:1"})
      startNode(Address);
    run(2500ms);
  }

  /// Jobs of all shards with a plain step, a gang and a step that depends on
  /// both.
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
    judge();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("{}, fate {} after {} ms: {}", Call,
                    static_cast<int>(Fault.Type), Fault.Delay.count(),
                    World.History.report()),
        std::size_t(0), World.History.violations().size());
  }
};

/// Gives a fate to every other call of a kind between processes.
void cutCalls(CellNodeBench &Bench, const std::string &Cut, CallFault Fault,
              std::shared_ptr<int> Calls) {
  Bench.World.Network.ChooseFault =
      [Cut, Fault, Calls](const std::string &, const std::string &,
                          const std::string &Call) {
        if (Call != Cut || ++*Calls % 2 == 0)
          return CallFault{};
        return Fault;
      };
}

/// Processes on three shards. Shards are dealt by the test: 0 has the worker w,
/// 1 the job, 2 the worker w2. A and P hold 0 and 1 at first and are to lose
/// them; B holds none.
struct MovesBench : CellNodeBench {
  MovesBench() : CellNodeBench(3), A(startNode("a:1")), B(startNode("b:1")) {
    P = &startNode("p:1");
    O = &startNode("o:1");
    addWorker(W = idIn(0));
    addWorker(W2 = idIn(2));
    run(1500ms);
    World.Store.AutoRebalance = false;
    World.Store.assignOwners(
        {{0, A.member()}, {1, P->member()}, {2, O->member()}});
    run(3s);
    // Without relief, a process can be unaware for longer.
    World.Network.ChooseFault = [this](const std::string &From,
                                       const std::string &To,
                                       const std::string &Call) {
      const bool Cut = Cuts.contains({From, To}) || Cuts.contains({To, From});
      return Cut || Call == "relieve" ? CallFault{.Type = Kind::LostRequest}
                                      : CallFault{};
    };
    World.Store.ChooseFault = [this](const std::string &Process,
                                     const std::string &Call) {
      return StoreCuts.contains({Process, Call})
                 ? CallFault{.Type = Kind::LostRequest}
                 : CallFault{};
    };
    World.Workers.ChooseFault = [this](const std::string &Process,
                                       const std::string &,
                                       const std::string &) {
      return Process == Unheard ? CallFault{.Type = Kind::LostRequest}
                                : CallFault{};
    };
    World.Workers.ChooseCourse = [](const std::string &, int) {
      return RunCourse{.Takes = 4000ms};
    };
  }

  /// A job of one task that finds no place before release().
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
  /// The process does not hear that it has lost its shards.
  void keepUnaware(TestCellNode &Node) {
    StoreCuts.insert({Node.address(), "join"});
  }
  void moveJob() { World.Store.assignOwners({{1, O->member()}}); }
  void moveWorker() { World.Store.assignOwners({{0, B.member()}}); }
  void checkRules() {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(World.History.report() + trace(idIn(1)),
                                 std::size_t(0),
                                 World.History.violations().size());
  }
  /// After that the job must complete, without a break of the rules.
  void endTrouble() {
    checkRules();
    Cuts.clear();
    StoreCuts.clear();
    Unheard.clear();
    run(25s);
    judge();
    checkRules();
    CPPUNIT_ASSERT(World.History.starts() > 0);
  }

  TestCellNode &A;
  TestCellNode &B;
  TestCellNode *P = nullptr;
  TestCellNode *O = nullptr;
  std::string W;
  std::string W2;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::set<std::pair<std::string, std::string>> StoreCuts;
  std::string Unheard; ///< Process whose orders reach no worker.
};

} // namespace

class CellNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellNodeTest);
  CPPUNIT_TEST(testJobsOfAllShardsComplete);
  CPPUNIT_TEST(testCutCallsBreakNoRule);
  CPPUNIT_TEST(testCutCancelsBreakNoRule);
  CPPUNIT_TEST(testMakeRoomCutBreaksNoRule);
  CPPUNIT_TEST(testJobAndWorkerMoveAtOnce);
  CPPUNIT_TEST(testJobMovesBeforeTheWorker);
  CPPUNIT_TEST(testWorkerMovesBeforeTheJob);
  CPPUNIT_TEST(testRunOfAScheduledJobOutlivesItsOwner);
  CPPUNIT_TEST(testEndsOfANewIncarnationAreReadBeforeTheyAreNoted);
  CPPUNIT_TEST(testPlacementOnItsWayIsStoppedBeforeItCountsAsAbsent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a bench that tests nothing: without trouble, tasks start and
  // all jobs are completed.
  void testJobsOfAllShardsComplete() {
    NodesBench Bench;
    Bench.submitAll();
    Bench.run(8s);
    Bench.checkRules();
    CPPUNIT_ASSERT_EQUAL(std::size_t(48), Bench.World.History.starts());
  }

  // Guards against a call between processes that is taken for not carried out
  // when it was, or the other way round: a task then runs twice or never.
  void testCutCallsBreakNoRule() {
    for (const char *Call :
         {"place", "reserve", "stop", "ends", "exchange", "submit"})
      for (const CallFault &Fault : faults()) {
        NodesBench Bench;
        const auto Calls = std::make_shared<int>(0);
        cutCalls(Bench, Call, Fault, Calls);
        // Some runs fail, so that gangs are stopped.
        Bench.World.Workers.ChooseCourse = [](const std::string &Task,
                                              int Run) {
          const bool Fails = Run == 1 && Task.ends_with("1");
          return RunCourse{.Takes = 300ms,
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

  // Guards against runs of cancelled jobs that go on because the cancelling or
  // its stops were cut.
  void testCutCancelsBreakNoRule() {
    for (const char *Call : {"cancel", "stop"})
      for (const CallFault &Fault : faults()) {
        NodesBench Bench;
        const auto Calls = std::make_shared<int>(0);
        cutCalls(Bench, Call, Fault, Calls);
        Bench.World.Workers.ChooseCourse = [](const std::string &, int) {
          return RunCourse{.Takes = 60s};
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

  // Guards against tasks that are stopped for a gang and are started twice, or
  // never again, because the request was cut or repeated.
  void testMakeRoomCutBreaksNoRule() {
    for (const CallFault &Fault : faults()) {
      NodesBench Bench;
      const auto Calls = std::make_shared<int>(0);
      cutCalls(Bench, "room", Fault, Calls);
      Bench.World.Workers.ChooseCourse = [](const std::string &Task, int) {
        return RunCourse{.Takes = Task.ends_with("0.0.0") ? 1000ms : 6000ms};
      };
      for (int Shard = 0; Shard < 3; ++Shard) {
        StepSpec Small = NodesBench::step(12, 500);
        Small.Checkpointing = true;
        JobSpec Job = Bench.jobOf(Bench.idIn(Shard), {Small});
        Job.Queue.Priority = 2;
        Bench.submit(*Bench.alive().front(), Job);
      }
      Bench.run(1s);
      for (int Shard = 3; Shard < 6; ++Shard) {
        StepSpec Wide = NodesBench::step(4, 3000);
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

  // Guards against a new owner of a job that believes the worker's former
  // holder, while the former owner of the job orders through the new holder,
  // which has not heard of the job's new owner.
  void testJobAndWorkerMoveAtOnce() {
    MovesBench Bench;
    Bench.submitWaiting();
    Bench.Cuts = {{"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}};
    Bench.keepUnaware(Bench.A);
    Bench.keepUnaware(*Bench.P);
    Bench.Unheard = "a:1";
    // The new owner has not read who holds the worker now.
    Bench.StoreCuts.insert({"o:1", "holders"});
    Bench.moveJob();
    Bench.moveWorker();
    Bench.release();
    Bench.run(3s);
    Bench.endTrouble();
  }

  // The same, if the worker moves after the new owner has taken over. Guards
  // the former owner's proof of its term alone: the new owner has heard from
  // the holder that the store listed.
  void testJobMovesBeforeTheWorker() {
    MovesBench Bench;
    Bench.submitWaiting();
    Bench.Cuts = {
        {"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}, {"a:1", "p:1"}};
    Bench.keepUnaware(*Bench.P);
    Bench.moveJob();
    Bench.run(1s);
    Bench.Unheard = "a:1";
    Bench.keepUnaware(Bench.A);
    Bench.moveWorker();
    Bench.release();
    Bench.run(3s);
    Bench.endTrouble();
  }

  // The same, if the worker moves first and the former owner proves its term
  // before it loses the job. Guards the new owner's comparison with the store's
  // list alone.
  void testWorkerMovesBeforeTheJob() {
    MovesBench Bench;
    Bench.submitWaiting();
    Bench.Cuts = {{"a:1", "b:1"}, {"p:1", "o:1"}, {"o:1", "b:1"}};
    Bench.keepUnaware(Bench.A);
    Bench.Unheard = "a:1";
    Bench.StoreCuts.insert({"o:1", "holders"});
    Bench.moveWorker();
    Bench.run(1s);
    // An append to the job's journal, after P has heard of B.
    Bench.submitTo(Bench.jobOf(Bench.idIn(1, 1), {MovesBench::step(1)}));
    Bench.keepUnaware(*Bench.P);
    Bench.moveJob();
    Bench.release();
    Bench.run(3s);
    Bench.endTrouble();
  }

  // Guards against an owner that takes over a job with times, and starts a task
  // whose time came under the former owner while it runs.
  void testRunOfAScheduledJobOutlivesItsOwner() {
    MovesBench Bench;
    // Only one such task fits in a worker: a second run goes to another one.
    JobSpec Job = Bench.jobOf(Bench.idIn(1), {MovesBench::step(1, 3000)});
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
    Bench.endTrouble();
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), Bench.stateOf(Job.Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.World.History.starts());
  }

  // Guards against a hold that acknowledges the ends of a worker's former
  // incarnation to the next one. That drops ends which nobody has read, here
  // that of a start which was carried out late.
  void testEndsOfANewIncarnationAreReadBeforeTheyAreNoted() {
    MovesBench Bench;
    Bench.World.Workers.ChooseCourse = [](const std::string &, int) {
      return RunCourse{.Takes = 100ms};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1), {MovesBench::step(1)}));
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
    // The run of the second try would take long; that of the late one is short.
    const auto Runs = std::make_shared<int>(0);
    Bench.World.Workers.ChooseCourse = [Runs](const std::string &, int) {
      return RunCourse{.Takes = ++*Runs == 2 ? 50ms : 4000ms};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1, 1), {MovesBench::step(1)}));
    Bench.run(780ms);
    CPPUNIT_ASSERT_EQUAL(Before + 1, Bench.World.History.starts());
    for (const std::string &Worker : {Bench.W, Bench.W2})
      if (Bench.World.Workers.running(Worker) > 0)
        Bench.World.Workers.restart(Worker);
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(2, std::min(*Runs, 2));
    Bench.endTrouble();
  }

  // Guards against an owner that takes a holder's word that a run is not there
  // while the placement may still arrive: the stop that would keep it from
  // starting has not been answered.
  void testPlacementOnItsWayIsStoppedBeforeItCountsAsAbsent() {
    MovesBench Bench;
    // Only the worker of the process whose calls are cut takes the job.
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W2, "draining");
    Bench.run(1s);
    bool Cutting = true;
    Bench.World.Network.ChooseFault = [&Cutting](const std::string &,
                                                 const std::string &To,
                                                 const std::string &Call) {
      if (!Cutting || To != "a:1")
        return CallFault{};
      if (Call == "place")
        return CallFault{.Type = Kind::Delayed, .Delay = 4000ms};
      if (Call == "stop")
        return CallFault{.Type = Kind::LostRequest};
      return CallFault{};
    };
    Bench.submitTo(Bench.jobOf(Bench.idIn(1), {MovesBench::step(1)}));
    // From now on only the other worker takes new work, for all but its holder.
    Bench.StoreCuts.insert({"a:1", "tail"});
    Bench.StoreCuts.insert({"a:1", "newest"});
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W, "draining");
    Bench.World.Store.put(TestCellNode::WorkersTopic, Bench.W2, "ready");
    Bench.run(5s);
    Cutting = false;
    Bench.run(2s);
    Bench.endTrouble();
  }

private:
  /// Cut before, while and after the call is carried out, and repeated.
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
