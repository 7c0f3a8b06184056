#include "Cell/WorkerAgent.h"

#include "Cell/CellTestBench.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Epoch = 5;

EndReport doneOf(const std::string &Task) {
  return {.Task = Task, .Run = 1, .Worker = "w", .How = "done"};
}

/// The outcome of a run that ends with its worker depends on its age: a run
/// that has just started may have crashed the worker.
std::vector<std::pair<std::chrono::milliseconds, std::string>>
agesAndOutcomes(const std::string &OutcomeOfYoungRun) {
  return {{50ms, OutcomeOfYoungRun}, {1s, "lost"}};
}

std::vector<RunReport> runsOf(const WorkerAgent &Agent) {
  std::vector<RunReport> Reports;
  Agent.appendRuns([](const std::string &) { return true; }, Reports);
  return Reports;
}

struct AgentBench : CellTestBench {
  std::shared_ptr<WorkerAgent> startAgent(std::uint64_t InEpoch = Epoch) {
    auto Agent = std::make_shared<WorkerAgent>(
        Context.get_executor(), Timers, Worker, Events, entry(), InEpoch,
        WorkerAgent::Callbacks{
            .Fenced = [this] { Fenced = true; },
            .EndsChanged = [] {},
            .ConfirmOwnership = [this] { return confirmOwnership(); },
            .OwnershipConfirmedAt = [this] { return ConfirmedAt(); }},
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
  static PlaceOrder suspectOrder(const std::string &Task) {
    return {.Task = Task,
            .Run = 1,
            .Worker = "w",
            .Demand = {.CpusMilli = 1000},
            .CrashSuspect = true};
  }
  std::shared_ptr<std::optional<PlaceResult>>
  start(const std::shared_ptr<WorkerAgent> &Agent, const std::string &Task,
        std::uint64_t Cpus = 1000) {
    return begin(Agent->start({.Task = Task,
                               .Run = 1,
                               .Worker = "w",
                               .Demand = {.CpusMilli = Cpus}}));
  }
  /// Repeats the order for run 1 of the task, with a demand of 3000 millicores,
  /// and returns the status.
  PlaceStatus startAgain(const std::shared_ptr<WorkerAgent> &Agent,
                         const std::string &Task) {
    const auto Repeated = start(Agent, Task, 3000);
    run(50ms);
    CPPUNIT_ASSERT(Repeated->has_value());
    return (**Repeated).Status;
  }
  /// Starts runs of two jobs, one 1 s before the other.
  void startEarlyAndLateRun(const std::shared_ptr<WorkerAgent> &Agent) {
    start(Agent, "early.0.0.0");
    run(1s);
    start(Agent, "late.0.0.0");
    run(10ms);
  }
  /// Lists the worker as draining.
  static void drain(const std::shared_ptr<WorkerAgent> &Agent) {
    WorkerEntry Draining = entry();
    Draining.Draining = true;
    Agent->update(Draining);
  }
  /// Returns the undelivered ends, each as "TASK OUTCOME ".
  static std::string endsOf(const WorkerAgent &Agent) {
    std::string Text;
    for (const EndReport &End : Agent.undeliveredEnds())
      Text += End.Task + " " + End.How + " ";
    return Text;
  }
  asio::awaitable<bool> confirmOwnership() const {
    co_return OwnershipConfirmed;
  }
  bool Fenced = false;
  bool OwnershipConfirmed = true;
  /// When the store has last confirmed the ownership.
  std::function<std::optional<Clock::time_point>()> ConfirmedAt = [this] {
    return std::optional(Timers.now());
  };
};

} // namespace

class WorkerAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentTest);
  CPPUNIT_TEST(testStartsNothingBeyondTheCapacity);
  CPPUNIT_TEST(testStartsNothingBeforeTheJournalNamesTheWorker);
  CPPUNIT_TEST(testTakesNoWorkUntilDemandOfFoundRunsIsKnown);
  CPPUNIT_TEST(testEndIsAcknowledgedOnlyWhenAccepted);
  CPPUNIT_TEST(testEndsAcceptedOutOfOrderKeepTheFirstListed);
  CPPUNIT_TEST(testUnacceptedEndIsDueAtGrowingIntervals);
  CPPUNIT_TEST(testRunsOfUnreachableWorkerAreLostOnlyAfterTheirLease);
  CPPUNIT_TEST(testLongLeaseOfANewIncarnationIsWaitedFor);
  CPPUNIT_TEST(testHolderThatIsNotConfirmedGrantsNoLease);
  CPPUNIT_TEST(testLeaseOfAFormerHolderIsWaitedFor);
  CPPUNIT_TEST(testDrainingWorkerThatIsCutOffKeepsItsRuns);
  CPPUNIT_TEST(testRunsOfWorkerThatHasLeftAreLostSoon);
  CPPUNIT_TEST(testFormerHolderDoesNotReportRunsAsLost);
  CPPUNIT_TEST(testStopBeforeTheFirstContactConcludesNoEnd);
  CPPUNIT_TEST(testNothingIsConcludedFromAFullPageOfEnds);
  CPPUNIT_TEST(testStartWithoutAnswerIsStopped);
  CPPUNIT_TEST(testStartThatArrivedIsFoundByRepeating);
  CPPUNIT_TEST(testRestartedWorkerLosesItsRunsAndGetsHigherTokens);
  CPPUNIT_TEST(testWorkerThatIsBackTakesNoWorkUntilItsEntryIsKnown);
  CPPUNIT_TEST(testOrderForAFormerIncarnationIsRejected);
  CPPUNIT_TEST(testFormerHolderIsFenced);
  CPPUNIT_TEST(testHigherTokenOfTheOwnTermIsNoLaterHolder);
  CPPUNIT_TEST(testUnconfirmedHolderSendsNoFurtherOrders);
  CPPUNIT_TEST(testStopBeforeTheStartKeepsItFromStarting);
  CPPUNIT_TEST(testDrainingWorkerTakesNoWork);
  CPPUNIT_TEST(testReservedCapacityIsKeptForItsStartOnly);
  CPPUNIT_TEST(testUnusedReservationExpires);
  CPPUNIT_TEST(testRemovedWorkerIsKeptUntilOwnersAreInformed);
  CPPUNIT_TEST(testPreemptsRunsThatLoseLittle);
  CPPUNIT_TEST(testPreemptsNothingIfThatIsNotEnough);
  CPPUNIT_TEST(testRunListedBeforeTheAnswerCountsAsStarted);
  CPPUNIT_TEST(testRepeatedPlacementThatWaitsForTheWorkerIsNotRejected);
  CPPUNIT_TEST(testRepeatedPlacementOfARunningTaskIsNotRejected);
  CPPUNIT_TEST(testRepeatedPlacementOfAnEndedRunDoesNotStartIt);
  CPPUNIT_TEST(testRepeatedPlacementOfAStoppedRunDoesNotStartIt);
  CPPUNIT_TEST(testRefusedPlacementDoesNotStartLater);
  CPPUNIT_TEST(testLatePlacementDoesNotReachTheNextIncarnation);
  CPPUNIT_TEST(testRepeatedReservationIsKept);
  CPPUNIT_TEST(testOnlyTheEndThatWasAcceptedIsAcknowledged);
  CPPUNIT_TEST(testCapacityThatShrinksLimitsTheNextStarts);
  CPPUNIT_TEST(testRunThatJustStartedIsBlamedForACrash);
  CPPUNIT_TEST(testRunIsBlamedIfAnotherWorkerAnswersAtTheAddress);
  CPPUNIT_TEST(testRunsOfDrainingWorkerAreNotBlamed);
  CPPUNIT_TEST(testRunsOfSilentWorkerAreNotBlamed);
  CPPUNIT_TEST(testRunsAreSuspectedWhileTheirWorkerDoesNotAnswer);
  CPPUNIT_TEST(testSuspectOfCrashesStartsApart);
  CPPUNIT_TEST(testReservedRunStartsBesideASuspect);
  CPPUNIT_TEST_SUITE_END();

public:
  void testStartsNothingBeyondTheCapacity() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    // Both orders are processed before the worker has replied to either.
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

  // Guards against runs that the next holder does not find because neither the
  // journal nor the platform's list names their worker.
  void testStartsNothingBeforeTheJournalNamesTheWorker() {
    AgentBench Bench;
    const auto Agent = std::make_shared<WorkerAgent>(
        Bench.Context.get_executor(), Bench.Timers, Bench.Worker, Bench.Events,
        AgentBench::entry(), Epoch,
        WorkerAgent::Callbacks{
            .OwnershipConfirmedAt = [&Bench] { return Bench.ConfirmedAt(); }},
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

  // Guards against an end that is delivered again at once, and a worker that is
  // asked again at once, for as long as the owner of the job cannot store it.
  void testUnacceptedEndIsDueAtGrowingIntervals() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(50ms);
    const int Before = Bench.Worker.Heartbeats;
    std::vector<int> DueAfterMs;
    for (int Ms = 0; Ms < 8000; ++Ms) {
      std::vector<EndReport> Due;
      Agent->takeDueEnds(Due);
      for (const EndReport &End : Due) {
        DueAfterMs.push_back(Ms);
        Agent->handleEndNotAccepted(End);
      }
      Bench.run(1ms);
    }
    CPPUNIT_ASSERT((std::vector<int>{0, 250, 750, 1750, 3750, 5750, 7750}) ==
                   DueAfterMs);
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} heartbeats", Bench.Worker.Heartbeats - Before),
        Bench.Worker.Heartbeats - Before <= 24);
    Bench.Worker.end("j.0.0.1", 1, "done");
    Bench.run(500ms);
    std::vector<EndReport> New;
    Agent->takeDueEnds(New);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), New.size());
  }

  // Guards against heartbeats without a reply that keep extending the lease of
  // an unreachable worker.
  // Found with fleetbench mix.
  void testRunsOfUnreachableWorkerAreLostOnlyAfterTheirLease() {
    for (const auto &[Age, Outcome] : agesAndOutcomes("crash_possible")) {
      AgentBench Bench;
      const auto Agent = Bench.startAgent();
      Bench.start(Agent, "j.0.0.0");
      Bench.run(Age);
      Bench.Worker.Reachable = false;
      Bench.run(5s);
      // The lease that the worker was last granted has not ended.
      CPPUNIT_ASSERT(Bench.Worker.clock() < Bench.Worker.LeaseEnd);
      CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
      Bench.run(6s);
      CPPUNIT_ASSERT(Bench.Worker.clock() > Bench.Worker.LeaseEnd);
      CPPUNIT_ASSERT_EQUAL(Outcome, Agent->undeliveredEnds().at(0).How);
    }
  }

  // Guards against a task that runs twice: a start reached the next incarnation
  // of its worker with a time of the former one's clock, so that the lease was
  // longer than what the holder counts.
  void testLongLeaseOfANewIncarnationIsWaitedFor() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    // Beyond the time for leases of a former holder.
    Bench.run(WorkerAgentOptions{}.OwnershipLease + 2s);
    Bench.Worker.restart();
    Bench.run(500ms);
    Bench.start(Agent, "j.0.0.0");
    Bench.run(100ms);
    Bench.Worker.Reachable = false;
    // The lease that the holder itself has asked for ends before.
    Bench.run(WorkerAgentOptions{}.LeaseDuration + 2s);
    CPPUNIT_ASSERT(Bench.Worker.clock() > Bench.Worker.LeaseEnd + 500ms);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    Bench.run(4s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
  }

  // Guards against a former holder, cut off from the store, that goes on
  // extending leases after the next holder has given up waiting for them.
  void testHolderThatIsNotConfirmedGrantsNoLease() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(1s);
    const auto ConfirmedAt = Bench.Timers.now();
    Bench.ConfirmedAt = [ConfirmedAt] { return std::optional(ConfirmedAt); };
    Bench.run(20s);
    CPPUNIT_ASSERT(Bench.Worker.LeaseEnd <=
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       ConfirmedAt.time_since_epoch()) +
                       WorkerAgentOptions{}.OwnershipLease);
    CPPUNIT_ASSERT(Agent->load().Usable);
    const auto Refused = Bench.start(Agent, "k.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Refused).Status == PlaceStatus::Rejected);
    // Before the journal is opened, a former holder may still be confirmed.
    Bench.ConfirmedAt = [] { return std::nullopt; };
    const auto LeaseEnd = Bench.Worker.LeaseEnd;
    Bench.run(5s);
    CPPUNIT_ASSERT(Bench.Worker.LeaseEnd == LeaseEnd);
  }

  // Guards against a new holder that has never reached a worker and takes its
  // runs for lost while the former holder extends their lease.
  void testLeaseOfAFormerHolderIsWaitedFor() {
    AgentBench Bench;
    Bench.Worker.Reachable = false;
    const auto Agent = Bench.startAgent();
    Bench.run(2s);
    Agent->handleShardOpened();
    Bench.run(WorkerAgentOptions{}.OwnershipLease);
    CPPUNIT_ASSERT(!Agent->load().Resolved);
    Bench.run(2s);
    CPPUNIT_ASSERT(Agent->load().Resolved);
  }

  // Guards against tasks that run twice: a worker that drained, was no longer
  // listed and refused connections was taken to have left, but was cut off.
  void testDrainingWorkerThatIsCutOffKeepsItsRuns() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(1s);
    Bench.drain(Agent);
    Bench.run(1s);
    Bench.Worker.Refuses = true;
    Agent->markUnlisted();
    while (Bench.Worker.clock() <= Bench.Worker.LeaseEnd) {
      CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
      Bench.run(100ms);
    }
    Bench.run(8s);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // Guards against planned work that costs callers seconds: the runs of a
  // worker that has left start again once their lease has ended, so that the
  // lease of a draining worker must be short.
  void testRunsOfWorkerThatHasLeftAreLostSoon() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(1s);
    Bench.drain(Agent);
    Bench.run(8s);
    Bench.Worker.Refuses = true;
    Agent->markUnlisted();
    Bench.run(3600ms);
    CPPUNIT_ASSERT_EQUAL(std::string("lost"),
                         Agent->undeliveredEnds().at(0).How);
  }

  // Guards against a holder that is disconnected for longer than the lease,
  // which the next holder has extended: it reported continuing runs as lost,
  // and they were started again elsewhere.
  void testFormerHolderDoesNotReportRunsAsLost() {
    for (const auto &[Age, Outcome] : agesAndOutcomes("crash_possible")) {
      AgentBench Bench;
      const auto Agent = Bench.startAgent();
      Bench.start(Agent, "j.0.0.0");
      Bench.run(Age);
      Bench.Worker.Reachable = false;
      Bench.OwnershipConfirmed = false;
      Bench.run(20s);
      CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
      Bench.OwnershipConfirmed = true;
      Bench.run(2s);
      CPPUNIT_ASSERT_EQUAL(Outcome, Agent->undeliveredEnds().at(0).How);
    }
  }

  // Guards against a new holder that reports a run as stopped before the worker
  // has listed it, although the run continues.
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

  // A worker lists 500 ends at a time. Guards against counting a run as lost
  // whose end is not listed yet.
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
    // The stop prevents a delayed copy of the start from being executed.
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

  void testRestartedWorkerLosesItsRunsAndGetsHigherTokens() {
    for (const auto &[Age, Outcome] : agesAndOutcomes("crashed")) {
      AgentBench Bench;
      const auto Agent = Bench.startAgent();
      Bench.start(Agent, "j.0.0.0");
      Bench.run(Age);
      const std::int64_t Before = Bench.Worker.HighestToken;
      Bench.Worker.restart();
      Bench.run(200ms);
      CPPUNIT_ASSERT_EQUAL(Outcome, Agent->undeliveredEnds().at(0).How);
      // The new incarnation refuses orders that were sent to the former one.
      CPPUNIT_ASSERT(Bench.Worker.HighestToken > Before);
    }
  }

  // Guards against starts by the labels and the capacity of a former
  // incarnation: the worker is back as another kind, and its entry in the list
  // is read later than its first answer.
  void testWorkerThatIsBackTakesNoWorkUntilItsEntryIsKnown() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    WorkerEntry Entry = AgentBench::entry();
    Entry.StartedAtMs = Bench.Worker.StartedAtMs;
    Agent->update(Entry);
    CPPUNIT_ASSERT(Agent->load().Usable);
    Bench.Worker.restart();
    Bench.run(500ms);
    CPPUNIT_ASSERT(!Agent->load().Usable);
    const auto Early = Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Early).Status == PlaceStatus::Rejected);
    Entry.StartedAtMs = Bench.Worker.StartedAtMs;
    Agent->update(Entry);
    CPPUNIT_ASSERT(Agent->load().Usable);
  }

  // Guards against the same by a job owner whose list is older than the
  // holder's.
  void testOrderForAFormerIncarnationIsRejected() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    const std::int64_t Former = Bench.Worker.StartedAtMs;
    Bench.Worker.restart();
    Bench.run(500ms);
    for (const bool ReserveFirst : {false, true}) {
      PlaceOrder Order{.Task = ReserveFirst ? "a.0.0.0" : "b.0.0.0",
                       .Run = 1,
                       .Worker = "w",
                       .Demand = {.CpusMilli = 1000},
                       .WorkerStartedAtMs = Former};
      if (ReserveFirst) {
        CPPUNIT_ASSERT(Agent->reserve(Order).Status == PlaceStatus::Rejected);
        continue;
      }
      const auto Result = Bench.begin(Agent->start(Order));
      Bench.run(50ms);
      CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Rejected);
      CPPUNIT_ASSERT_EQUAL(std::string("incarnation"), (**Result).Reason);
    }
    CPPUNIT_ASSERT_EQUAL(0, Bench.Worker.Starts);
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

  // Guards against a shard without a holder: a refused token was taken for
  // that of a later holder although the store knew of none.
  void testHigherTokenOfTheOwnTermIsNoLaterHolder() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    Bench.Worker.HighestToken += 2;
    Agent->stopRun("j.0.0.0", 1);
    Bench.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Worker.Stops.size());
    const auto Result = Bench.start(Agent, "k.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Started);
  }

  // Guards against a former holder that goes on sending orders with a token
  // that the worker has refused.
  void testUnconfirmedHolderSendsNoFurtherOrders() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.OwnershipConfirmed = false;
    Bench.Worker.HighestToken = 1 << 20;
    Bench.run(2s);
    const int Before = Bench.Worker.Heartbeats;
    Bench.run(10s);
    CPPUNIT_ASSERT_EQUAL(Before, Bench.Worker.Heartbeats);
    CPPUNIT_ASSERT(!Agent->load().Usable);
  }

  void testStopBeforeTheStartKeepsItFromStarting() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Agent->stopRun("j.0.0.0", 1);
    // The owner of the job waits for the end of the run.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->undeliveredEnds().size());
    const auto Result = Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Result).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(0, Bench.Worker.Starts);
  }

  // Guards against two owners that place gangs on the same free capacity.
  void testReservedCapacityIsKeptForItsStartOnly() {
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

  // Guards against a holder that removes a worker as soon as its lease has
  // ended, before an exchange has told the job owners: its runs were never
  // started again.
  void testRemovedWorkerIsKeptUntilOwnersAreInformed() {
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

  /// One worker of 4 processors with an urgent run, one of the same priority as
  /// the gang, one that can't resume, and two that can.
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

  // Guards against gangs that wait for seconds while tasks that can resume from
  // a checkpoint occupy their capacity.
  void testPreemptsRunsThatLoseLittle() {
    BusyWorker Bench;
    CPPUNIT_ASSERT_EQUAL(1, Bench.Agent->preemptRuns({.CpusMilli = 700}, 1));
    // Runs that are being stopped count as free soon.
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 700}, 1));
    Bench.run(50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Worker.Stops.size());
    // Of the preemptible runs of lower priority, it was started last and thus
    // loses the least.
    CPPUNIT_ASSERT(Bench.Worker.Stops[0].first == "second.0.0.0");
  }

  void testPreemptsNothingIfThatIsNotEnough() {
    BusyWorker Bench;
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 2000}, 1));
    CPPUNIT_ASSERT_EQUAL(0, Bench.Agent->preemptRuns({.CpusMilli = 700}, 2));
    Bench.run(50ms);
    CPPUNIT_ASSERT(Bench.Worker.Stops.empty());
  }

  void testUnusedReservationExpires() {
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
    const auto Lifetime = WorkerAgentOptions().ReservationLifetime;
    Bench.run(Lifetime - 500ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Agent->load().Free.CpusMilli);
    // Expired reservations are removed with the next heartbeat.
    Bench.run(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Agent->load().Free.CpusMilli);
    CPPUNIT_ASSERT(runsOf(*Agent).empty());
  }

  // Guards against a run that is treated as possibly absent because the reply
  // to its start arrives after the heartbeat that lists it.
  // Found with fleetbench trouble-2.
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

  // Guards against a rejected repetition of a placement: the job's owner would
  // take it as proof that the task does not run and start it on another worker.
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
    CPPUNIT_ASSERT(runsOf(*Agent).empty());
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

  // Once the owner has received the rejection, it may start the task elsewhere.
  // Guards against a delayed copy of the order that starts it here.
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

  // The runs of a restarted worker are reported as lost, so that a delayed
  // order must not start them again.
  void testLatePlacementDoesNotReachTheNextIncarnation() {
    for (const auto &[Age, Outcome] : agesAndOutcomes("crashed")) {
      AgentBench Bench;
      const auto Agent = Bench.startAgent();
      Bench.start(Agent, "j.0.0.0", 3000);
      Bench.run(Age);
      Bench.Worker.restart();
      Bench.run(2s);
      CPPUNIT_ASSERT_EQUAL(Outcome, Agent->undeliveredEnds().at(0).How);
      Agent->handleEndAccepted(Agent->undeliveredEnds().at(0));
      Bench.startAgain(Agent, "j.0.0.0");
      CPPUNIT_ASSERT_EQUAL(1, Bench.Worker.Starts);
    }
  }

  // Guards against a gang that is given up because a repeated reservation is
  // rejected.
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

  // Guards against an end that nobody has stored: the run is reported as lost
  // and then listed as done, and the acceptance of the first report made the
  // worker drop the second.
  void testOnlyTheEndThatWasAcceptedIsAcknowledged() {
    for (const auto &[Age, Outcome] : agesAndOutcomes("crash_possible")) {
      AgentBench Bench;
      const auto Agent = Bench.startAgent();
      Bench.start(Agent, "j.0.0.0");
      Bench.run(Age);
      Bench.Worker.Reachable = false;
      Bench.run(12s);
      const EndReport Lost = Agent->undeliveredEnds().at(0);
      CPPUNIT_ASSERT_EQUAL(Outcome, Lost.How);
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
  }

  // Guards against starts beyond the capacity of a worker that has shrunk, and
  // against capacity that stays unused once it has grown again.
  void testCapacityThatShrinksLimitsTheNextStarts() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "a.0.0.0", 3000);
    Bench.run(50ms);
    WorkerEntry Shrunken = AgentBench::entry();
    Shrunken.Capacity.CpusMilli = 2000;
    Agent->update(Shrunken);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Agent->load().Free.CpusMilli);
    const auto Beyond = Bench.start(Agent, "b.0.0.0", 500);
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Beyond).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT(Bench.Worker.Running.contains({"a.0.0.0", 1}));
    Agent->update(AgentBench::entry());
    const auto Later = Bench.start(Agent, "c.0.0.0", 500);
    Bench.run(50ms);
    CPPUNIT_ASSERT((**Later).Status == PlaceStatus::Started);
  }

  // Guards against a task that crashes worker after worker and whose runs only
  // count as lost.
  void testRunThatJustStartedIsBlamedForACrash() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.startEarlyAndLateRun(Agent);
    Bench.Worker.restart();
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::string("early.0.0.0 lost late.0.0.0 crashed "),
                         Bench.endsOf(*Agent));
  }

  // The same for a worker that comes back under another id: another worker
  // answers at the address.
  void testRunIsBlamedIfAnotherWorkerAnswersAtTheAddress() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.startEarlyAndLateRun(Agent);
    Bench.Worker.IsAnotherWorker = true;
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("early.0.0.0 lost late.0.0.0 crashed "),
                         Bench.endsOf(*Agent));
    CPPUNIT_ASSERT(!Agent->load().Usable);
  }

  // Guards against giving up tasks whose worker left as announced.
  void testRunsOfDrainingWorkerAreNotBlamed() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(10ms);
    WorkerEntry Leaving = AgentBench::entry();
    Leaving.Draining = true;
    Agent->update(Leaving);
    Bench.Worker.restart();
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::string("j.0.0.0 lost "), Bench.endsOf(*Agent));
  }

  // Guards against giving up tasks whose worker was cut off, and against a
  // crash without a trace.
  void testRunsOfSilentWorkerAreNotBlamed() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.startEarlyAndLateRun(Agent);
    Bench.Worker.Reachable = false;
    Bench.run(12s);
    CPPUNIT_ASSERT_EQUAL(
        std::string("early.0.0.0 lost late.0.0.0 crash_possible "),
        Bench.endsOf(*Agent));
  }

  // Guards against a crash that nobody counts, as the holder is replaced before
  // the crash is certain, and against suspecting runs that go on.
  void testRunsAreSuspectedWhileTheirWorkerDoesNotAnswer() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.start(Agent, "j.0.0.0");
    Bench.run(50ms);
    CPPUNIT_ASSERT(!runsOf(*Agent).at(0).CrashPossible);
    Bench.Worker.Reachable = false;
    Bench.run(4s);
    CPPUNIT_ASSERT(runsOf(*Agent).at(0).CrashPossible);
    CPPUNIT_ASSERT(Agent->undeliveredEnds().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Agent->takeNewSuspects().size());
    CPPUNIT_ASSERT(Agent->takeNewSuspects().empty());
    Bench.Worker.Reachable = true;
    Bench.run(2s);
    CPPUNIT_ASSERT(!runsOf(*Agent).at(0).CrashPossible);
  }

  // Guards against a crash that either of two jobs could have caused.
  void testSuspectOfCrashesStartsApart() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    Bench.begin(Agent->start(AgentBench::suspectOrder("suspect.0.0.0")));
    Bench.run(10ms);
    const auto Beside = Bench.start(Agent, "other.0.0.0");
    const auto SameJob = Bench.start(Agent, "suspect.0.0.1");
    Bench.run(400ms);
    const auto Later = Bench.start(Agent, "third.0.0.0");
    Bench.run(10ms);
    CPPUNIT_ASSERT((**Beside).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT((**SameJob).Status == PlaceStatus::Started);
    CPPUNIT_ASSERT((**Later).Status == PlaceStatus::Started);
  }

  // Guards against gangs that start without the member whose reservation was
  // accepted before a suspect started.
  void testReservedRunStartsBesideASuspect() {
    AgentBench Bench;
    const auto Agent = Bench.startAgent();
    PlaceOrder Member{.Task = "gang.0.0.0",
                      .Run = 1,
                      .Worker = "w",
                      .Demand = {.CpusMilli = 1000}};
    CPPUNIT_ASSERT(Agent->reserve(Member).Status == PlaceStatus::Reserved);
    const auto Suspect =
        Bench.begin(Agent->start(AgentBench::suspectOrder("suspect.0.0.0")));
    Bench.run(10ms);
    const auto Started = Bench.begin(Agent->start(Member));
    Bench.run(10ms);
    CPPUNIT_ASSERT((**Suspect).Status == PlaceStatus::Started);
    CPPUNIT_ASSERT((**Started).Status == PlaceStatus::Started);
    // Nothing else is promised to a gang that asks now.
    Member.Task = "other.0.0.0";
    CPPUNIT_ASSERT(Agent->reserve(Member).Status == PlaceStatus::Rejected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentTest);

} // namespace hickory
