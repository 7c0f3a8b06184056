#include "Cell/WorkerAgent.h"

#include "Cell/CellTestBench.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Epoch = 5;

EndReport doneOf(const std::string &Task) {
  return {.Task = Task, .Run = 1, .Worker = "w", .How = "done"};
}

struct AgentBench : CellTestBench {
  std::shared_ptr<WorkerAgent> startAgent(std::uint64_t InEpoch = Epoch) {
    auto Agent = std::make_shared<WorkerAgent>(
        Context.get_executor(), Timers, Worker, Events, entry(), InEpoch,
        WorkerAgent::Callbacks{
            .Fenced = [this] { Fenced = true; },
            .EndsChanged = [] {},
            .ConfirmOwnership = [this] { return proveTerm(); }},
        WorkerAgentOptions{});
    asio::co_spawn(Context, Agent->run(), asio::detached);
    Agent->markRecorded();
    run(50ms);
    return Agent;
  }
  static WorkerEntry entry() {
    return {.Id = "w",
            .Service = "pool",
            .Address = "10.0.0.1:80",
            .Capacity = {.CpusMilli = 4000, .MemoryMb = 1000}};
  }
  std::shared_ptr<std::optional<PlaceResult>>
  start(const std::shared_ptr<WorkerAgent> &Agent, const std::string &Task,
        std::uint64_t Cpus = 1000) {
    return begin(Agent->start({.Task = Task,
                               .Run = 1,
                               .Worker = "w",
                               .Demand = {.CpusMilli = Cpus}}));
  }
  /// Places the task again, in the same way as start().
  PlaceStatus startAgain(const std::shared_ptr<WorkerAgent> &Agent,
                         const std::string &Task) {
    const auto Repeated = start(Agent, Task, 3000);
    run(50ms);
    CPPUNIT_ASSERT(Repeated->has_value());
    return (**Repeated).Status;
  }
  asio::awaitable<bool> proveTerm() const { co_return TermProved; }
  bool Fenced = false;
  bool TermProved = true;
};

} // namespace

class WorkerAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentTest);
  CPPUNIT_TEST(testStartsNothingBeyondTheRoom);
  CPPUNIT_TEST(testStartsNothingBeforeTheJournalNamesTheWorker);
  CPPUNIT_TEST(testTakesNoWorkUntilDemandOfFoundRunsIsKnown);
  CPPUNIT_TEST(testEndIsAcknowledgedOnlyWhenAccepted);
  CPPUNIT_TEST(testEndsAcceptedOutOfOrderKeepTheFirstListed);
  CPPUNIT_TEST(testSilentWorkersRunsAreLostOnlyAfterTheirLease);
  CPPUNIT_TEST(testFormerHolderDoesNotCountRunsAsLost);
  CPPUNIT_TEST(testStopBeforeTheFirstContactConcludesNoEnd);
  CPPUNIT_TEST(testNothingIsConcludedFromAFullPageOfEnds);
  CPPUNIT_TEST(testStartWithoutAnswerIsStopped);
  CPPUNIT_TEST(testStartThatArrivedIsFoundByRepeating);
  CPPUNIT_TEST(testRebornWorkerLosesItsRunsAndGetsHigherTokens);
  CPPUNIT_TEST(testFormerHolderIsFenced);
  CPPUNIT_TEST(testStopBeforeTheStartKeepsItFromStarting);
  CPPUNIT_TEST(testDrainingWorkerTakesNoWork);
  CPPUNIT_TEST(testReservedRoomIsKeptForItsStartOnly);
  CPPUNIT_TEST(testUnusedReservationEnds);
  CPPUNIT_TEST(testGoneWorkerIsKeptUntilOwnersHaveHeard);
  CPPUNIT_TEST(testMakesRoomByStoppingWhatLosesLittle);
  CPPUNIT_TEST(testStopsNothingIfThatIsNotEnough);
  CPPUNIT_TEST(testRunListedBeforeTheAnswerCountsAsStarted);
  CPPUNIT_TEST(testRepeatedPlacementThatWaitsForTheWorkerIsNotRejected);
  CPPUNIT_TEST(testRepeatedPlacementOfARunningTaskIsNotRejected);
  CPPUNIT_TEST(testRepeatedPlacementOfAnEndedRunDoesNotStartIt);
  CPPUNIT_TEST(testRepeatedPlacementOfAStoppedRunDoesNotStartIt);
  CPPUNIT_TEST(testRefusedPlacementDoesNotStartLater);
  CPPUNIT_TEST(testLatePlacementDoesNotReachTheNextIncarnation);
  CPPUNIT_TEST(testRepeatedReservationIsKept);
  CPPUNIT_TEST(testOnlyTheEndThatWasAcceptedIsAcknowledged);
  CPPUNIT_TEST_SUITE_END();

public:
  void testStartsNothingBeyondTheRoom() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    // Both are decided before the worker has answered either.
    const auto First = Bench.start(Agent, "j.0.0.0", 3000);
    const auto Second = Bench.start(Agent, "j.0.0.1", 3000);
    Bench.run(100ms);
    CPPUNIT_ASSERT((**First).Status == PlaceStatus::Started);
    CPPUNIT_ASSERT((**Second).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Agent->load().Free.CpusMilli);
  }

  // A successor must find every worker that may run something, even if the
  // platform's list has lost it.
  void testStartsNothingBeforeTheJournalNamesTheWorker() {
    AgentBench Bench;
    const auto Agent = std::make_shared<WorkerAgent>(
        Bench.Context.get_executor(), Bench.Timers, Bench.Worker, Bench.Events,
        AgentBench::entry(), Epoch, WorkerAgent::Callbacks{},
        WorkerAgentOptions{});
    asio::co_spawn(Bench.Context, Agent->run(), asio::detached);
    Bench.run(100ms);
    CPPUNIT_ASSERT(Agent->load().Resolved && !Agent->load().Usable);
    Agent->markRecorded();
    CPPUNIT_ASSERT(Agent->load().Usable);
  }

  void testTakesNoWorkUntilDemandOfFoundRunsIsKnown() {
    AgentBench Bench;
    Bench.Worker.Running[{"j.0.0.0", 1}] = "";
    const auto Agent = Bench.startAgent();
    CPPUNIT_ASSERT(!Agent->load().Usable);
    Agent->setDemand(
        {.Task = "j.0.0.0", .Run = 1, .Demand = {.CpusMilli = 3000}});
    CPPUNIT_ASSERT(Agent->load().Usable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
  }

  void testEndIsAcknowledgedOnlyWhenAccepted() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Bench.Worker.Acknowledged);
    Agent->handleEndAccepted(doneOf("j.0.0.0"));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Bench.Worker.Acknowledged);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
  }

  void testEndsAcceptedOutOfOrderKeepTheFirstListed() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    for (const char *Task : {"j.0.0.0", "j.0.0.1"}) {
      Bench.start(Agent, Task);
      Bench.run(20ms);
      Bench.Worker.end(Task, 1, "done");
    }
    Bench.run(200ms);
    Agent->handleEndAccepted(doneOf("j.0.0.1"));
    Bench.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Bench.Worker.Acknowledged);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
    Agent->handleEndAccepted(doneOf("j.0.0.0"));
    Bench.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Bench.Worker.Acknowledged);
  }

  // fleetbench mix: holds without an answer kept a lost worker's lease alive.
  void testSilentWorkersRunsAreLostOnlyAfterTheirLease() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.Reachable = false;
    Bench.run(5s);
    // What the worker was last told still holds.
    CPPUNIT_ASSERT(Bench.Worker.clock() < Bench.Worker.LeaseEnd);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    Bench.run(6s);
    CPPUNIT_ASSERT(Bench.Worker.clock() > Bench.Worker.LeaseEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // A holder was cut off for longer than the lease, which its successor had
  // extended: it reported runs as lost that went on, and they were started
  // again elsewhere.
  void testFormerHolderDoesNotCountRunsAsLost() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.Reachable = false;
    Bench.TermProved = false;
    Bench.run(20s);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    Bench.TermProved = true;
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // A new holder reported a run as stopped that it had not heard of yet, and
  // that went on.
  void testStopBeforeTheFirstContactConcludesNoEnd() {
    AgentBench Bench;
    Bench.Worker.Running[{"j.0.0.0", 1}] = "";
    Bench.Worker.Reachable = false;
    const auto Agent = Bench.startAgent();
    Agent->stopRun("j.0.0.0", 1);
    Bench.run(500ms);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    Bench.Worker.Reachable = true;
    Bench.run(3s);
    CPPUNIT_ASSERT(Bench.Worker.Running.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // A worker lists 500 ends at a time; a run whose end was not listed yet
  // counted as lost.
  void testNothingIsConcludedFromAFullPageOfEnds() {
    AgentBench Bench;
    for (int I = 0; I < 500; ++I)
      Bench.Worker.end("j.0.0." + std::to_string(I), 1, "done");
    const auto Agent = Bench.startAgent();
    CPPUNIT_ASSERT(!Agent->load().Resolved);
    for (const EndReport &End : Agent->undeliveredEnds())
      Agent->handleEndAccepted(End);
    Bench.run(500ms);
    CPPUNIT_ASSERT(Agent->load().Resolved);
  }

  void testStartWithoutAnswerIsStopped() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.Worker.LoseStarts = true;
    const auto Result = Bench.start(Agent, "j.0.0.0");
    Bench.run(3s);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Pending);
    // The stop keeps a late copy of the order from being carried out.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Worker.Stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"),
                         Agent->undeliveredEnds().at(0).How);
  }

  void testStartThatArrivedIsFoundByRepeating() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.Worker.LoseStartAnswers = true;
    const auto Result = Bench.start(Agent, "j.0.0.0");
    Bench.run(800ms);
    Bench.Worker.LoseStartAnswers = false;
    Bench.run(1s);
    CPPUNIT_ASSERT((**Result).Status != PlaceStatus::Rejected);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Worker.Running.size());
  }

  void testRebornWorkerLosesItsRunsAndGetsHigherTokens() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    const std::int64_t Before = Bench.Worker.HighestToken;
    Bench.Worker.restart();
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
    // An order that was sent to the former life is refused by this one.
    CPPUNIT_ASSERT(Bench.Worker.HighestToken > Before);
  }

  void testFormerHolderIsFenced() {
    AgentBench Bench;
    const auto Former = Bench.startAgent(Epoch);
    const auto Later = Bench.startAgent(Epoch + 1);
    Bench.run(100ms);
    CPPUNIT_ASSERT(Bench.Fenced);
    const auto Result = Bench.start(Later, "j.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Started);
  }

  void testStopBeforeTheStartKeepsItFromStarting() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Agent->stopRun("j.0.0.0", 1);
    // The owner of the job waits for the end of what it ordered.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
    const auto Result = Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(0, Bench.Worker.Starts);
  }

  // Load: two owners place gangs on the last hole of a worker.
  void testReservedRoomIsKeptForItsStartOnly() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    const PlaceOrder Order{.Task = "j.0.0.0",
                           .Run = 1,
                           .Worker = "w",
                           .Demand = {.CpusMilli = 3000}};
    CPPUNIT_ASSERT(Agent->reserve(Order).Status == PlaceStatus::Reserved);
    const auto Other = Bench.start(Agent, "k.0.0.0", 3000);
    const auto Own = Bench.begin(Agent->start(Order));
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Other).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT((**Own).Status == PlaceStatus::Started);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
  }

  // A new holder forgot a worker as soon as its lease had ended, before any
  // exchange told so, and what had run there was never started again.
  void testGoneWorkerIsKeptUntilOwnersHaveHeard() {
    AgentBench Bench;
    Bench.Worker.Reachable = false;
    const auto Agent = Bench.startAgent();
    Agent->markUnlisted();
    while (!Agent->load().Resolved)
      Bench.run(100ms);
    CPPUNIT_ASSERT(!Agent->isRemovable());
    Bench.run(2s);
    CPPUNIT_ASSERT(!Agent->isRemovable());
    Bench.run(5s);
    CPPUNIT_ASSERT(Agent->isRemovable());
  }

  /// One worker of 4 processors: an urgent run, one of the same priority as the
  /// gang, one that can't resume, and two that can.
  struct BusyWorker : AgentBench {
    BusyWorker() : Agent(startAgent()) {
      const auto Add = [this](const char *Task, int Priority,
                              bool Preemptible) {
        const auto Placed = begin(Agent->start({.Task = Task,
                                                .Run = 1,
                                                .Worker = "w",
                                                .Demand = {.CpusMilli = 800},
                                                .Priority = Priority,
                                                .Preemptible = Preemptible}));
        run(20ms);
        CPPUNIT_ASSERT((**Placed).Status == PlaceStatus::Started);
      };
      Add("urgent.0.0.0", 0, true);
      Add("equal.0.0.0", 1, true);
      Add("fixed.0.0.0", 2, false);
      Add("first.0.0.0", 2, true);
      Add("second.0.0.0", 2, true);
    }
    std::shared_ptr<WorkerAgent> Agent;
  };

  // Gangs waited for seconds while tasks that resume from a checkpoint held
  // their room.
  void testMakesRoomByStoppingWhatLosesLittle() {
    BusyWorker Bench;
    CPPUNIT_ASSERT_EQUAL(1, Bench.Agent->preemptRuns({.CpusMilli = 700}, 1));
    // What is being stopped counts as room to come.
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 700}, 1));
    Bench.run(50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Worker.Stops.size());
    CPPUNIT_ASSERT(Bench.Worker.Stops[0].first == "second.0.0.0");
  }

  void testStopsNothingIfThatIsNotEnough() {
    BusyWorker Bench;
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 2000}, 1));
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 700}, 2));
    Bench.run(50ms);
    CPPUNIT_ASSERT(Bench.Worker.Stops.empty());
  }

  void testUnusedReservationEnds() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    PlaceOrder Order{.Task = "j.0.0.0",
                     .Run = 1,
                     .Worker = "w",
                     .Demand = {.CpusMilli = 3000}};
    Agent->reserve(Order);
    Agent->stopRun(Order.Task, Order.Run);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Agent->load().Free.CpusMilli);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    Order.Run = 2;
    Agent->reserve(Order);
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Agent->load().Free.CpusMilli);
    CPPUNIT_ASSERT(Agent->runs().empty());
  }

  // fleetbench trouble-2: the start's answer came after the hold that listed
  // the run, and the run was taken for one that might not exist.
  void testRunListedBeforeTheAnswerCountsAsStarted() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.Worker.LoseStartAnswers = true;
    const auto Result = Bench.start(Agent, "j.0.0.0");
    Bench.run(5s);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Started);
  }

  void testDrainingWorkerTakesNoWork() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    WorkerEntry Entry = AgentBench::entry();
    Entry.Draining = true;
    Agent->update(Entry);
    CPPUNIT_ASSERT(!Agent->load().Usable);
  }

  // The owner of the job took the refusal of a repeated placement for proof
  // that the task did not run, and started it on another worker.
  void testRepeatedPlacementThatWaitsForTheWorkerIsNotRejected() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.Worker.LoseStartAnswers = true;
    const auto First = Bench.start(Agent, "j.0.0.0", 3000);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.0") == PlaceStatus::Pending);
    Bench.Worker.LoseStartAnswers = false;
    Bench.run(3s);
    CPPUNIT_ASSERT((**First).Status == PlaceStatus::Started);
    CPPUNIT_ASSERT(Bench.Worker.Running.contains({"j.0.0.0", 1}));
  }

  void testRepeatedPlacementOfARunningTaskIsNotRejected() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0", 3000);
    Bench.run(50ms);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.0") == PlaceStatus::Started);
    CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
  }

  void testRepeatedPlacementOfAnEndedRunDoesNotStartIt() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0", 3000);
    Bench.run(50ms);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(200ms);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.0") == PlaceStatus::Pending);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
    Agent->handleEndAccepted(Agent->undeliveredEnds().at(0));
    Bench.run(200ms);
    Bench.startAgain(Agent, "j.0.0.0");
    CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
    CPPUNIT_ASSERT(Agent->runs().empty());
  }

  void testRepeatedPlacementOfAStoppedRunDoesNotStartIt() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0", 3000);
    Bench.run(50ms);
    Agent->stopRun("j.0.0.0", 1);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.0") == PlaceStatus::Pending);
    Bench.run(200ms);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.0") == PlaceStatus::Pending);
    CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // Once its owner has heard that it was refused, the task may be started
  // elsewhere; a copy of the order that arrives later must not start it here.
  void testRefusedPlacementDoesNotStartLater() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0", 3000);
    Bench.run(50ms);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.1") == PlaceStatus::Rejected);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(200ms);
    CPPUNIT_ASSERT(Bench.startAgain(Agent, "j.0.0.1") == PlaceStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
  }

  // The runs of a worker that was born again have been reported as lost.
  void testLatePlacementDoesNotReachTheNextIncarnation() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0", 3000);
    Bench.run(50ms);
    Bench.Worker.restart();
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
    Agent->handleEndAccepted(Agent->undeliveredEnds().at(0));
    Bench.startAgain(Agent, "j.0.0.0");
    CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
  }

  // A gang was given up although all its members had room.
  void testRepeatedReservationIsKept() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    const PlaceOrder Order{.Task = "j.0.0.0",
                           .Run = 1,
                           .Worker = "w",
                           .Demand = {.CpusMilli = 3000}};
    CPPUNIT_ASSERT(Agent->reserve(Order).Status == PlaceStatus::Reserved);
    CPPUNIT_ASSERT(Agent->reserve(Order).Status == PlaceStatus::Reserved);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
  }

  // The run was reported as lost and then listed as done. The acceptance of
  // the first report made the worker forget an end that nobody had stored.
  void testOnlyTheEndThatWasAcceptedIsAcknowledged() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.Reachable = false;
    Bench.run(12s);
    const EndReport Lost = Agent->undeliveredEnds().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"), Lost.How);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.Worker.Reachable = true;
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         Agent->undeliveredEnds().at(0).How);
    Agent->handleEndAccepted(Lost);
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Bench.Worker.Acknowledged);
    Agent->handleEndAccepted(Agent->undeliveredEnds().at(0));
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Bench.Worker.Acknowledged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentTest);

} // namespace hickory
