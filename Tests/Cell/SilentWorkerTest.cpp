#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

using Kind = CallFault::Kind;

constexpr std::chrono::milliseconds Lease = WorkerAgentOptions{}.LeaseDuration;
/// Share of the lease for which a worker may be silent at any time. The latest
/// heartbeat that extended the lease may have been sent HeartbeatWait before,
/// and the first one afterwards may come a long answer time later.
constexpr double ToleratedSilence =
    1 - std::chrono::duration<double>(WorkerAgentOptions{}.HeartbeatWait +
                                      WorkerAgentOptions{}.AnswerTime) /
            Lease;

/// Two processes, two workers and one job of one long task, which runs.
struct SilentWorkerBench : CellNodeBench {
  SilentWorkerBench() : CellNodeBench(4) {
    startNode("a:1");
    startNode("b:1");
    addWorker("w0");
    addWorker("w1");
    run(2s);
    Environment.Workers.ChoosePlan = [](const std::string &, int) {
      return RunPlan{.Duration = 20s};
    };
    submit(*alive().front(), jobOf(idIn(0), {step(1, 3000)}));
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Environment.History.starts());
    Running = Environment.Workers.running("w0") > 0 ? "w0" : "w1";
  }
  /// Lets the calls to the worker that runs the task fail for some time.
  void silence(Kind Type, const std::string &Call,
               std::chrono::milliseconds Duration) {
    Environment.Workers.ChooseFault = [this, Type,
                                       Call](const std::string &,
                                             const std::string &Worker,
                                             const std::string &Name) {
      const bool Fails = Worker == Running && (Call.empty() || Call == Name);
      return Fails ? CallFault{.Type = Type, .Delay = 800ms} : CallFault{};
    };
    run(Duration);
    Environment.Workers.ChooseFault = nullptr;
  }
  /// Returns the address of the process that holds the worker.
  [[nodiscard]] std::string holderOfRunning() const {
    const int Shard = ShardMap(Environment.Shards).shardOf(Running);
    for (TestCellNode *Node : alive())
      if (Node->shards().heldShards().contains(Shard))
        return Node->address();
    return {};
  }
  void checkFinalRules() {
    run(60s);
    finalViolations();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Environment.History.report() + trace(""),
                                 std::size_t(0),
                                 Environment.History.violations().size());
  }

  std::string Running; ///< Worker that runs the task.
};

} // namespace

class SilentWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentWorkerTest);
  CPPUNIT_TEST(testSilenceWithinTheLeaseRestartsNothing);
  CPPUNIT_TEST(testSilenceBeyondTheLeaseRestartsTheTaskOnce);
  CPPUNIT_TEST(testHolderThatChangesDuringTheSilenceRestartsNothing);
  CPPUNIT_TEST(testFormerHolderThatReachesTheWorkerKeepsItsRun);
  CPPUNIT_TEST(testLapsedListEntryRestartsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a task that is started again, or given up, because its
  // worker was silent or slow to report for less than its lease.
  void testSilenceWithinTheLeaseRestartsNothing() {
    for (const Kind Type :
         {Kind::LostRequest, Kind::LostReply, Kind::Refused, Kind::Delayed})
      for (const char *Call : {"", "hold"})
        for (const double Leases : {0.1, 0.5, ToleratedSilence, 0.7}) {
          SilentWorkerBench Bench;
          Bench.silence(Type, Call,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            Lease * Leases));
          Bench.run(10s);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Bench.trace(""), std::size_t(1),
                                       Bench.Environment.History.starts());
          Bench.checkFinalRules();
        }
  }

  // Guards against a task that is never started again, or while it still runs.
  void testSilenceBeyondTheLeaseRestartsTheTaskOnce() {
    for (const double Leases : {1.1, 2.0}) {
      SilentWorkerBench Bench;
      Bench.silence(Kind::LostRequest, "",
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Lease * Leases));
      Bench.run(10s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Bench.Environment.History.starts());
      Bench.checkFinalRules();
    }
  }

  // Guards against a new holder that takes a worker which it has never reached
  // for one without runs.
  void testHolderThatChangesDuringTheSilenceRestartsNothing() {
    SilentWorkerBench Bench;
    Bench.silence(Kind::LostRequest, "", 1s);
    Bench.Environment.Store.rotateOwners(1);
    Bench.silence(Kind::LostRequest, "", 2500ms);
    Bench.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Environment.History.starts());
    Bench.checkFinalRules();
  }

  // Guards against a task that runs twice: its worker was cut off together with
  // the worker's holder, which went on extending the lease. The next holder,
  // which never reached the worker, counted only from its own takeover.
  void testFormerHolderThatReachesTheWorkerKeepsItsRun() {
    for (const std::chrono::seconds Cut : {8s, 14s, 25s}) {
      SilentWorkerBench Bench;
      const std::string Holder = Bench.holderOfRunning();
      CellEnvironment &Environment = Bench.Environment;
      const CallFault Lost{.Type = Kind::LostRequest};
      Environment.Store.ChooseFault = [=](const std::string &Process,
                                          const std::string &) {
        return Process == Holder ? Lost : CallFault{};
      };
      Environment.Network.ChooseFault = [=](const std::string &From,
                                            const std::string &To,
                                            const std::string &) {
        return From == Holder || To == Holder ? Lost : CallFault{};
      };
      Environment.Workers.ChooseFault = [=, Running = Bench.Running](
                                            const std::string &Process,
                                            const std::string &Worker,
                                            const std::string &) {
        return (Process == Holder) != (Worker == Running) ? Lost : CallFault{};
      };
      Bench.run(Cut);
      Environment.Store.ChooseFault = nullptr;
      Environment.Network.ChooseFault = nullptr;
      Environment.Workers.ChooseFault = nullptr;
      Bench.checkFinalRules();
      CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                           Bench.stateOf(Bench.idIn(0)));
    }
  }

  // Guards against a task that is started again because the list lacked its
  // worker for a while.
  void testLapsedListEntryRestartsNothing() {
    SilentWorkerBench Bench;
    Bench.Environment.Store.put(TestCellNode::WorkersTopic, Bench.Running,
                                std::nullopt);
    Bench.run(3s);
    Bench.Environment.Store.put(TestCellNode::WorkersTopic, Bench.Running,
                                "ready");
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Environment.History.starts());
    Bench.checkFinalRules();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentWorkerTest);

} // namespace hickory
