#include "Cell/JobOwner.h"

#include "Cell/CellTestBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

JobSpec jobOf(int Tasks) {
  JobSpec Job{.Id = "0123456789abcdef", .Steps = {{.Count = Tasks}}};
  Job.Queue.Name = "queue";
  Job.Queue.MaximumAttempts = 3;
  return Job;
}

constexpr const char *FirstTask = "0123456789abcdef.0.0.0";
constexpr const char *Holder = "10.0.0.2:7000/a";

struct OwnerBench : CellTestBench {
  std::unique_ptr<JobOwner> owner(std::uint64_t Epoch, int Shards = 1) {
    auto Owner =
        std::make_unique<JobOwner>(Context.get_executor(), Timers, Store,
                                   Events, ShardMap(Shards), JobOwnerOptions{});
    Owner->setHolderCheck([this](int, const std::string &, Clock::time_point) {
      return HoldersListed;
    });
    for (int Shard = 0; Shard < Shards; ++Shard)
      Owner->assign(Shard, Epoch);
    run(100ms);
    return Owner;
  }
  /// Submits a job of two tasks in that shard and places both.
  std::string submitIn(JobOwner &Owner, int Shard) {
    JobSpec Job = jobOf(2);
    for (int Number = 0; ShardMap(Owner.shardCount()).shardOf(Job.Id) != Shard;
         ++Number)
      Job.Id = fmt::format("{:016x}", Number);
    begin(Owner.submit(Job));
    run(200ms);
    for (int Index = 0; Index < 2; ++Index)
      Owner.activeJobs().at(Job.Id)->Progress.markPlacing(
          {.Task = {.Job = Job.Id, .Index = Index}, .Run = 1, .Worker = "w"},
          Timers.now());
    return Job.Id;
  }
  static EndReport doneOf(const std::string &Job, int Index) {
    return {.Task = TaskName{.Job = Job, .Index = Index}.toString(),
            .Run = 1,
            .Worker = "w",
            .How = "done"};
  }
  int submit(JobOwner &Owner, int Tasks = 1) {
    const auto Status = begin(Owner.submit(jobOf(Tasks)));
    run(2s);
    return **Status;
  }
  /// A job that is due now and once more in an hour.
  void submitTimed(JobOwner &Owner) {
    JobSpec Job = jobOf(1);
    Job.Repetitions = 2;
    Job.FirstRun = std::chrono::duration_cast<std::chrono::milliseconds>(
        Timers.wallNow().time_since_epoch());
    Job.Interval = 1h;
    begin(Owner.submit(std::move(Job)));
    run(200ms);
  }
  static std::size_t stepsReadyIn(JobOwner &Owner) {
    return Owner.activeJobs().begin()->second->Progress.readySteps().size();
  }
  static RunId firstRun() {
    return {.Task = *TaskName::parse(FirstTask), .Run = 1, .Worker = "w"};
  }
  void startFirst(JobOwner &Owner) {
    Owner.activeJobs().begin()->second->Progress.markPlacing(firstRun(),
                                                             Timers.now());
    Owner.started(firstRun());
  }
  std::shared_ptr<std::optional<EndsReply>> endFirst(JobOwner &Owner,
                                                     const char *How) {
    EndsRequest Request;
    Request.Ends.push_back(
        {.Task = FirstTask, .Run = 1, .Worker = "w", .How = How});
    return begin(Owner.acceptEnds(std::move(Request)));
  }
  ExchangeReply report(std::vector<RunReport> Runs) {
    return {.Held = {{.Shard = 0, .Epoch = 1, .Ready = true}},
            .Workers = {{.Id = "w", .Resolved = true}},
            .Runs = std::move(Runs)};
  }
  static bool nothingOrdered(const RunId & /*Run*/) { return false; }
  bool HoldersListed = true; ///< The store names Holder for all shards.
};

} // namespace

class JobOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobOwnerTest);
  CPPUNIT_TEST(testAcceptedJobSurvivesItsOwner);
  CPPUNIT_TEST(testRepeatedSubmissionRemainsOneJob);
  CPPUNIT_TEST(testRefusedJobNeverRuns);
  CPPUNIT_TEST(testFailingJournalRefusesAtOnce);
  CPPUNIT_TEST(testEndIsAcceptedOnlyOnceItIsStored);
  CPPUNIT_TEST(testCompletedIsShownOnlyOnceItIsStored);
  CPPUNIT_TEST(testNewOwnerStartsNothingBeforeAllWorkersReported);
  CPPUNIT_TEST(testTakeoverStartsNoDueOccurrenceBeforeAllWorkersReported);
  CPPUNIT_TEST(testEndOfAnOccurrenceThatIsNotDueHereIsStored);
  CPPUNIT_TEST(testTakeoverBelievesOnlyHoldersThatTheStoreLists);
  CPPUNIT_TEST(testTermIsProvedOnlyByAnAppendSentAfterwards);
  CPPUNIT_TEST(testNewOwnerHearsOfEndsBeforeItStartsAgain);
  CPPUNIT_TEST(testRunThatItsWorkerNoLongerHasIsStartedAgain);
  CPPUNIT_TEST(testPendingOrderIsNotEndedByAnOlderExchange);
  CPPUNIT_TEST(testRunOfUnknownJobIsStopped);
  CPPUNIT_TEST(testCancelIsStoredAndStopsRuns);
  CPPUNIT_TEST(testUnknownJobIsGone);
  CPPUNIT_TEST(testFormerOwnerDoesNotCallAJobGone);
  CPPUNIT_TEST(testRefusedRepetitionOfAnUncertainSubmissionIsNotDefinite);
  CPPUNIT_TEST(testJournalNamesWorkers);
  CPPUNIT_TEST(testEndsOfAFormerTermDoNotOverwriteTheNext);
  CPPUNIT_TEST(testFormerOwnerAcceptsNoEndOfAnUnknownJob);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAcceptedJobSurvivesItsOwner() {
    OwnerBench Bench;
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Bench.owner(1)));
    const auto Later = Bench.owner(2);
    CPPUNIT_ASSERT_EQUAL(200, Later->state("0123456789abcdef").Status);
    CPPUNIT_ASSERT_EQUAL(std::string("pending"),
                         Later->state("0123456789abcdef").State);
  }

  void testRepeatedSubmissionRemainsOneJob() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner));
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner->activeJobs().size());
  }

  void testRefusedJobNeverRuns() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.ChooseFate = [] { return FakeStoreClient::Fate::NotDone; };
    CPPUNIT_ASSERT_EQUAL(503, Bench.submit(*Owner));
    Bench.Store.ChooseFate = nullptr;
    Bench.run(2s);
    CPPUNIT_ASSERT(Owner->activeJobs().empty());
    CPPUNIT_ASSERT(Bench.owner(2)->activeJobs().empty());
  }

  void testFailingJournalRefusesAtOnce() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.ChooseFate = [] { return FakeStoreClient::Fate::Silent; };
    const auto First = Bench.begin(Owner->submit(jobOf(1)));
    Bench.run(800ms);
    JobSpec Other = jobOf(1);
    Other.Id = "fedcba9876543210";
    const auto Second = Bench.begin(Owner->submit(Other));
    Bench.run(1ms);
    CPPUNIT_ASSERT_EQUAL(503, **Second);
  }

  void testEndIsAcceptedOnlyOnceItIsStored() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner, 2);
    Bench.startFirst(*Owner);
    Bench.Store.ChooseFate = [] { return FakeStoreClient::Fate::NotDone; };
    const auto Refused = Bench.endFirst(*Owner, "done");
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Refused).Accepted.at(0));
    // The end is applied already; a repetition still has to be stored.
    const auto Again = Bench.endFirst(*Owner, "done");
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Again).Accepted.at(0));
    Bench.Store.ChooseFate = nullptr;
    const auto Stored = Bench.endFirst(*Owner, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Stored).Accepted.at(0));
  }

  void testCompletedIsShownOnlyOnceItIsStored() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    Bench.startFirst(*Owner);
    Bench.Store.ChooseFate = [] { return FakeStoreClient::Fate::NotDone; };
    Bench.endFirst(*Owner, "done");
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("running"),
                         Owner->state("0123456789abcdef").State);
    Bench.Store.ChooseFate = nullptr;
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Owner->state("0123456789abcdef").State);
  }

  void testNewOwnerStartsNothingBeforeAllWorkersReported() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto &Job = Later->activeJobs().begin()->second;
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    ExchangeReply Reply = Bench.report({});
    Reply.Workers.front().Resolved = false;
    Later->applyExchange(Holder, Reply, Bench.Timers.now(),
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Later->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // Which occurrences have begun is stored with their first end only: the next
  // owner started those that ran elsewhere again, with the same run number.
  void testTakeoverStartsNoDueOccurrenceBeforeAllWorkersReported() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submitTimed(*Owner);
    Owner->tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.stepsReadyIn(*Owner));
    Bench.startFirst(*Owner);
    const auto Later = Bench.owner(2);
    Later->tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.stepsReadyIn(*Later));
    Later->applyExchange(
        Holder, Bench.report({{.Task = FirstTask, .Run = 1, .Worker = "w"}}),
        Bench.Timers.now(), OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.stepsReadyIn(*Later));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Later->activeJobs().begin()->second->Progress.activeRuns().size());
  }

  // The clock of the former owner was ahead, or this one has not looked since
  // it read the journal: the end was accepted and stored nowhere.
  void testEndOfAnOccurrenceThatIsNotDueHereIsStored() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submitTimed(*Owner);
    const auto Later = Bench.owner(2);
    const auto Ends = Bench.endFirst(*Later, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Ends).Accepted.at(0));
    const auto Third = Bench.owner(3);
    CPPUNIT_ASSERT_EQUAL(
        1, Third->activeJobs().begin()->second->Progress.tasksDone());
  }

  // A process that had not heard of the loss of its shard reported what it knew
  // before; its successor had started a task of the job since.
  void testTakeoverBelievesOnlyHoldersThatTheStoreLists() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto &Job = Later->activeJobs().begin()->second;
    Bench.HoldersListed = false;
    Later->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Bench.HoldersListed = true;
    Later->handleHolderList();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // An owner that had been followed by another one placed tasks through a
  // worker's holder that the new owner did not know of.
  void testTermIsProvedOnlyByAnAppendSentAfterwards() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    const Clock::time_point Learned = Bench.Timers.now();
    Bench.run(10ms);
    CPPUNIT_ASSERT(!Owner->isOwnershipConfirmedSince(0, Learned));
    Owner->requestOwnershipConfirmation(0);
    Bench.run(200ms);
    CPPUNIT_ASSERT(Owner->isOwnershipConfirmedSince(0, Learned));
    const auto Later = Bench.owner(2);
    const Clock::time_point Followed = Bench.Timers.now();
    Owner->requestOwnershipConfirmation(0);
    Bench.run(2s);
    CPPUNIT_ASSERT(!Owner->isOwnershipConfirmedSince(0, Followed));
  }

  // fleetbench trouble-1: TWICE, started again after an end that was listed.
  void testNewOwnerHearsOfEndsBeforeItStartsAgain() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto Job = Later->activeJobs().begin()->second;
    Later->applyExchange(
        Holder,
        Bench.report(
            {{.Task = FirstTask, .Run = 1, .Worker = "w", .How = "done"}}),
        Bench.Timers.now(), OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT(Job->Progress.state() == JobState::Completed);
  }

  void testRunThatItsWorkerNoLongerHasIsStartedAgain() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    Bench.startFirst(*Owner);
    const auto &Job = Owner->activeJobs().begin()->second;
    // An answer to a call from before the start says nothing.
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now() - 1ms,
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Bench.run(10ms);
    // Nor while the order itself has no answer.
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         [](const RunId &) { return true; });
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // fleetbench trouble-2 275423249159: TWICE, the answer to an exchange that
  // was sent before the order arrived ended a run that went on.
  void testPendingOrderIsNotEndedByAnOlderExchange() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    const auto &Job = Owner->activeJobs().begin()->second;
    Job->Progress.markPlacing(OwnerBench::firstRun(), Bench.Timers.now());
    Bench.run(10ms);
    const Clock::time_point SentAt = Bench.Timers.now();
    Bench.run(10ms);
    Owner->ordered(OwnerBench::firstRun());
    Owner->applyExchange(Holder, Bench.report({}), SentAt,
                         OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
  }

  void testRunOfUnknownJobIsStopped() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    std::vector<RunId> Stopped;
    Owner->onStopRuns([&Stopped](std::vector<RunId> Runs) { Stopped = Runs; });
    Owner->applyExchange(
        Holder, Bench.report({{.Task = FirstTask, .Run = 1, .Worker = "w"}}),
        Bench.Timers.now(), OwnerBench::nothingOrdered);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stopped.size());
  }

  void testCancelIsStoredAndStopsRuns() {
    OwnerBench Bench;
    {
      const auto Owner = Bench.owner(1);
      Bench.submit(*Owner);
      Bench.startFirst(*Owner);
      std::vector<RunId> Stopped;
      Owner->onStopRuns(
          [&Stopped](std::vector<RunId> Runs) { Stopped = Runs; });
      const auto Status = Bench.begin(Owner->cancel("0123456789abcdef"));
      Bench.run(1s);
      CPPUNIT_ASSERT_EQUAL(200, **Status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stopped.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                         Bench.owner(2)->state("0123456789abcdef").State);
  }

  // The job was accepted by the next owner, of which this one had not heard.
  void testFormerOwnerDoesNotCallAJobGone() {
    OwnerBench Bench;
    const auto Former = Bench.owner(1);
    const auto Next = Bench.owner(2);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Next));
    const std::string Id = jobOf(1).Id;
    const auto State = Bench.begin(Former->confirmedState(Id));
    const auto Cancelled = Bench.begin(Former->cancel(Id));
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(503, (**State).Status);
    CPPUNIT_ASSERT_EQUAL(503, **Cancelled);
  }

  // 503 says that the job never runs, but the first call's append may be
  // carried out later.
  void testRefusedRepetitionOfAnUncertainSubmissionIsNotDefinite() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.SilentPartitions = {0};
    CPPUNIT_ASSERT_EQUAL(504, Bench.submit(*Owner));
    const auto Again = Bench.begin(Owner->submit(jobOf(1)));
    Owner->revoke(0);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(504, **Again);
  }

  void testUnknownJobIsGone() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(410, Owner->state("none").Status);
    const auto Proved = Bench.begin(Owner->confirmedState("none"));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(410, (**Proved).Status);
    Owner->revoke(0);
    CPPUNIT_ASSERT_EQUAL(503, Owner->state("none").Status);
  }

  void testJournalNamesWorkers() {
    OwnerBench Bench;
    const auto First = Bench.owner(1);
    std::string Recorded;
    First->onWorkerRecorded(
        [&Recorded](int, const std::string &Worker) { Recorded = Worker; });
    First->recordWorker(0, {.Id = "w", .Address = "10.0.0.1:80"});
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), Recorded);
    JobOwner Later(Bench.Context.get_executor(), Bench.Timers, Bench.Store,
                   Bench.Events, ShardMap(1), JobOwnerOptions{});
    std::vector<WorkerEntry> Read;
    Later.onWorkersRead([&Read](int, std::vector<WorkerEntry> Workers) {
      Read = std::move(Workers);
    });
    Later.assign(0, 2);
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), Read.at(0).Address);
  }

  // A process lost a shard and received it again while it waited for the
  // journal of another one. What it knew in the first term then overwrote what
  // it had acknowledged in the second, and a task that was done ran again.
  void testEndsOfAFormerTermDoNotOverwriteTheNext() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1, 2);
    const std::string Slow = Bench.submitIn(*Owner, 0);
    const std::string Job = Bench.submitIn(*Owner, 1);
    Bench.Store.SilentPartitions = {0};
    EndsRequest Both;
    Both.Ends = {OwnerBench::doneOf(Slow, 0), OwnerBench::doneOf(Job, 0)};
    const auto Former = Bench.begin(Owner->acceptEnds(Both));
    Bench.run(100ms);
    Owner->assign(1, 2);
    Bench.run(100ms);
    EndsRequest All;
    All.Ends = {OwnerBench::doneOf(Job, 0), OwnerBench::doneOf(Job, 1)};
    const auto Next = Bench.begin(Owner->acceptEnds(All));
    Bench.run(200ms);
    CPPUNIT_ASSERT((**Next).Accepted.at(1));
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Former).Accepted.at(0));
    Bench.Store.SilentPartitions.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Bench.owner(3, 2)->state(Job).State);
  }

  // The job was accepted by the next owner of the shard, which this process
  // has not heard of: the end is that owner's to store.
  void testFormerOwnerAcceptsNoEndOfAnUnknownJob() {
    OwnerBench Bench;
    const auto Former = Bench.owner(1);
    const auto Unknown = Bench.endFirst(*Former, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Unknown).Accepted.at(0));
    const auto Next = Bench.owner(2);
    const auto Late = Bench.endFirst(*Former, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT(!(**Late).Accepted.at(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobOwnerTest);

} // namespace hickory
