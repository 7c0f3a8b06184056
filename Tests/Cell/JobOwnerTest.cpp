#include "Cell/JobOwner.h"

#include "Cell/CellTestBench.h"

#include <algorithm>
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
  /// Submits a job with two tasks whose id belongs to the shard, and places
  /// both.
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
  static EndReport completionOf(const std::string &Job, int Index) {
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
  /// Submits a job with one occurrence that is due now and one in an hour.
  void submitRepeated(JobOwner &Owner) {
    JobSpec Job = jobOf(1);
    Job.Repetitions = 2;
    Job.FirstRun = std::chrono::duration_cast<std::chrono::milliseconds>(
        Timers.wallNow().time_since_epoch());
    Job.Interval = 1h;
    begin(Owner.submit(std::move(Job)));
    run(200ms);
  }
  static std::size_t readyStepCount(JobOwner &Owner) {
    return Owner.activeJobs().begin()->second->Progress.readySteps().size();
  }
  static RunId firstRun() {
    return {.Task = *TaskName::parse(FirstTask), .Run = 1, .Worker = "w"};
  }
  void startFirstRun(JobOwner &Owner) {
    Owner.activeJobs().begin()->second->Progress.markPlacing(firstRun(),
                                                             Timers.now());
    Owner.markStarted(firstRun());
  }
  std::shared_ptr<std::optional<EndsReply>> endFirstRun(JobOwner &Owner,
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
  /// Completes the takeover of all shards: their holder has no other runs.
  void completeTakeover(JobOwner &Owner, std::vector<RunReport> Runs = {}) {
    ExchangeReply Reply = report(std::move(Runs));
    for (int Shard = 1; Shard < Owner.shardCount(); ++Shard)
      Reply.Held.push_back({.Shard = Shard, .Epoch = 1, .Ready = true});
    Owner.applyExchange(Holder, Reply, Timers.now(), noPendingOrder);
  }
  static bool noPendingOrder(const RunId & /*Run*/) { return false; }
  bool HoldersListed = true; ///< The store lists Holder for all shards.
};

} // namespace

class JobOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobOwnerTest);
  CPPUNIT_TEST(testAcceptedJobSurvivesItsOwner);
  CPPUNIT_TEST(testRepeatedSubmissionCreatesOneJob);
  CPPUNIT_TEST(testRefusedJobNeverRuns);
  CPPUNIT_TEST(testJobThatCannotBeStoredIsRejectedAtOnce);
  CPPUNIT_TEST(testJobWhoseProgressCannotBeStoredFails);
  CPPUNIT_TEST(testFailingJournalRefusesJobsAtOnce);
  CPPUNIT_TEST(testEndIsAcceptedOnlyOnceItIsStored);
  CPPUNIT_TEST(testManyEndsOfAJobAreStoredInFewWrites);
  CPPUNIT_TEST(testCompletedIsReportedOnlyOnceItIsStored);
  CPPUNIT_TEST(testNewOwnerStartsNothingBeforeAllWorkersReported);
  CPPUNIT_TEST(testTakeoverStartsNoDueOccurrenceBeforeAllWorkersReported);
  CPPUNIT_TEST(testEndOfAnOccurrenceThatIsNotDueHereIsStored);
  CPPUNIT_TEST(testTakeoverAcceptsReportsOnlyOfListedHolders);
  CPPUNIT_TEST(testOwnershipIsConfirmedOnlyByALaterAppend);
  CPPUNIT_TEST(testNewOwnerAppliesReportedEndsBeforeItRestartsTasks);
  CPPUNIT_TEST(testRunThatItsWorkerNoLongerHasIsRestarted);
  CPPUNIT_TEST(testRunThatVanishedWithItsWorkerIsSuspected);
  CPPUNIT_TEST(testSuspicionsAreStoredWithoutAnEnd);
  CPPUNIT_TEST(testEndOfARunIsReportedOnce);
  CPPUNIT_TEST(testPendingOrderIsNotEndedByAnOlderExchange);
  CPPUNIT_TEST(testRunOfUnknownJobIsStopped);
  CPPUNIT_TEST(testCancelIsStoredAndStopsRuns);
  CPPUNIT_TEST(testFailedRunIsRestartedOnlyAfterTheTakeover);
  CPPUNIT_TEST(testUnreadableRecordsDoNotKeepAShardClosed);
  CPPUNIT_TEST(testJobWithUnreadableProgressIsNotRun);
  CPPUNIT_TEST(testUnknownJobIsReportedAsGone);
  CPPUNIT_TEST(testFormerOwnerDoesNotReportAJobAsGone);
  CPPUNIT_TEST(testRefusedRetryOfAnUncertainSubmissionStaysUncertain);
  CPPUNIT_TEST(testJournalRecordsWorkers);
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

  void testRepeatedSubmissionCreatesOneJob() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner));
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner->activeJobs().size());
  }

  // Guards against a job that is repeated for ever since the store never
  // accepts its record.
  void testJobThatCannotBeStoredIsRejectedAtOnce() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    JobSpec Job{.Id = "job", .Payload = std::string(262144, 'x')};
    const auto Status = Bench.begin(Owner->submit(std::move(Job)));
    CPPUNIT_ASSERT_EQUAL(413, **Status);
    CPPUNIT_ASSERT(Owner->activeJobs().empty());
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner));
  }

  // Guards against progress that is longer than the store accepts and holds up
  // the other jobs of its shard for ever.
  void testJobWhoseProgressCannotBeStoredFails() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*Owner, 500));
    Bench.startFirstRun(*Owner);
    Bench.Store.Limits.RecordBytes = 300;
    const auto Reply = Bench.endFirstRun(*Owner, "done");
    Bench.run(1s);
    Owner->tick();
    Bench.run(1s);
    CPPUNIT_ASSERT(Reply->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("failed"),
                         Owner->state("0123456789abcdef").State);
  }

  void testRefusedJobNeverRuns() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    CPPUNIT_ASSERT_EQUAL(503, Bench.submit(*Owner));
    Bench.Store.ChooseFault = nullptr;
    Bench.run(2s);
    CPPUNIT_ASSERT(Owner->activeJobs().empty());
    CPPUNIT_ASSERT(Bench.owner(2)->activeJobs().empty());
  }

  void testFailingJournalRefusesJobsAtOnce() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::LostRequest;
    };
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
    Bench.startFirstRun(*Owner);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    const auto Refused = Bench.endFirstRun(*Owner, "done");
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Refused).Accepted.at(0));
    // The end is already applied; a repeated report must still wait until it is
    // stored.
    const auto Again = Bench.endFirstRun(*Owner, "done");
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Again).Accepted.at(0));
    Bench.Store.ChooseFault = nullptr;
    const auto Stored = Bench.endFirstRun(*Owner, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Stored).Accepted.at(0));
  }

  // Guards against a queue of the journal that grows with the ends of a large
  // job, as each end writes the progress of the whole job once more.
  void testManyEndsOfAJobAreStoredInFewWrites() {
    constexpr int Calls = 40;
    constexpr int EndsPerCall = 100;
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner, Calls * EndsPerCall);
    const std::string Id = Owner->activeJobs().begin()->first;
    const auto Request = [&Id](int Call) {
      EndsRequest New;
      for (int I = 0; I < EndsPerCall; ++I)
        New.Ends.push_back(
            OwnerBench::completionOf(Id, Call * EndsPerCall + I));
      return New;
    };
    // The number of tasks that are done as the journal has it.
    const auto InJournal = [&Bench, &Id] {
      const std::string Stored = Bench.Store.values(0)["p/" + Id];
      if (Stored.empty())
        return 0;
      const auto Done =
          nlohmann::json::parse(Stored)["steps"][0][0].get<std::string>();
      return static_cast<int>(std::ranges::count(Done, '1'));
    };
    for (int Index = 0; Index < Calls * EndsPerCall; ++Index)
      Owner->activeJobs().at(Id)->Progress.markPlacing(
          {.Task = {.Job = Id, .Index = Index}, .Run = 1, .Worker = "w"},
          Bench.Timers.now());
    Bench.Store.AppendTime = 100ms;
    Bench.Store.AppendedRecords = 0;
    std::vector<std::shared_ptr<std::optional<EndsReply>>> Replies;
    for (int Call = 0; Call < Calls - 1; ++Call) {
      Replies.push_back(Bench.begin(Owner->acceptEnds(Request(Call))));
      Bench.run(10ms);
      // An end is accepted only once the journal contains it.
      for (int Earlier = 0; Earlier <= Call; ++Earlier) {
        const auto &Reply = *Replies[static_cast<std::size_t>(Earlier)];
        CPPUNIT_ASSERT(!Reply || !Reply->Accepted.at(0) ||
                       InJournal() >= (Earlier + 1) * EndsPerCall);
      }
    }
    Bench.run(300ms);
    CPPUNIT_ASSERT_EQUAL((Calls - 1) * EndsPerCall, InJournal());
    for (const auto &Reply : Replies)
      CPPUNIT_ASSERT(Reply->has_value());
    // The ends of the latest call are stored, and those delivered again
    // need no further write.
    CPPUNIT_ASSERT((**Replies.back()).Accepted.at(0));
    // One for each append of 100 ms, and those pending at the end.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Bench.Store.AppendedRecords),
                           Bench.Store.AppendedRecords <= 8);
    const int Before = Bench.Store.AppendedRecords;
    for (int Call = 0; Call < Calls - 1; ++Call) {
      const auto Again = Bench.begin(Owner->acceptEnds(Request(Call)));
      Bench.run(1ms);
      CPPUNIT_ASSERT_EQUAL(EndsPerCall, static_cast<int>(std::ranges::count(
                                            (**Again).Accepted, true)));
    }
    CPPUNIT_ASSERT_EQUAL(Before, Bench.Store.AppendedRecords);
  }

  void testCompletedIsReportedOnlyOnceItIsStored() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    Bench.startFirstRun(*Owner);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    Bench.endFirstRun(*Owner, "done");
    Bench.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("running"),
                         Owner->state("0123456789abcdef").State);
    Bench.Store.ChooseFault = nullptr;
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
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Later->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // Guards against a second start with the same run number. The journal learns
  // of an occurrence only with the first end of a task, so that a new owner
  // does not know which due occurrences are already running.
  void testTakeoverStartsNoDueOccurrenceBeforeAllWorkersReported() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submitRepeated(*Owner);
    Owner->tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.readyStepCount(*Owner));
    Bench.startFirstRun(*Owner);
    const auto Later = Bench.owner(2);
    Later->tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.readyStepCount(*Later));
    Later->applyExchange(
        Holder, Bench.report({{.Task = FirstTask, .Run = 1, .Worker = "w"}}),
        Bench.Timers.now(), OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.readyStepCount(*Later));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Later->activeJobs().begin()->second->Progress.activeRuns().size());
  }

  // Guards against an end that is accepted but not stored. The occurrence may
  // not be due here yet, as the former owner's clock was ahead or tick() has
  // not been called since the journal was read.
  void testEndOfAnOccurrenceThatIsNotDueHereIsStored() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submitRepeated(*Owner);
    const auto Later = Bench.owner(2);
    Bench.endFirstRun(*Later, "done");
    Bench.run(100ms);
    Bench.completeTakeover(*Later);
    const auto Ends = Bench.endFirstRun(*Later, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Ends).Accepted.at(0));
    const auto Third = Bench.owner(3);
    CPPUNIT_ASSERT_EQUAL(
        1, Third->activeJobs().begin()->second->Progress.tasksDone());
  }

  // Guards against stale reports: a holder that had lost its shard without
  // noticing reported its old state, while the new holder had started a task of
  // the job.
  void testTakeoverAcceptsReportsOnlyOfListedHolders() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto &Job = Later->activeJobs().begin()->second;
    Bench.HoldersListed = false;
    Later->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Bench.HoldersListed = true;
    Later->handleHolderList();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // Guards against a former owner that places tasks through a holder of a
  // worker which the new owner of the job has not asked.
  void testOwnershipIsConfirmedOnlyByALaterAppend() {
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

  // Guards against a task that runs twice: a new owner restarted a task whose
  // end was listed in the report.
  // Found with fleetbench trouble-1.
  void testNewOwnerAppliesReportedEndsBeforeItRestartsTasks() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto Job = Later->activeJobs().begin()->second;
    Later->applyExchange(
        Holder,
        Bench.report(
            {{.Task = FirstTask, .Run = 1, .Worker = "w", .How = "done"}}),
        Bench.Timers.now(), OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT(Job->Progress.state() == JobState::Completed);
  }

  void testRunThatItsWorkerNoLongerHasIsRestarted() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    Bench.startFirstRun(*Owner);
    const auto &Job = Owner->activeJobs().begin()->second;
    // The reply to a call from before the start does not count.
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now() - 1ms,
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Bench.run(10ms);
    // Neither does a reply while the start order has no answer.
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         [](const RunId &) { return true; });
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
  }

  // Guards against a crash that is not counted, as another process took the
  // worker over while it was down, and against suspecting a run that may never
  // have begun.
  void testRunThatVanishedWithItsWorkerIsSuspected() {
    for (const bool Begun : {false, true}) {
      OwnerBench Bench;
      const auto Owner = Bench.owner(1);
      Bench.submit(*Owner);
      const auto &Job = Owner->activeJobs().begin()->second;
      Bench.startFirstRun(*Owner);
      if (!Begun)
        Job->Progress.markPlacing(OwnerBench::firstRun(), Bench.Timers.now());
      Bench.run(10ms);
      Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                           OwnerBench::noPendingOrder);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
      CPPUNIT_ASSERT_EQUAL(
          Begun, Job->Progress.isCrashSuspect(OwnerBench::firstRun().Task));
    }
  }

  // Guards against suspicions that are lost with the owner, as no end of a run
  // makes it write them, and as the store fails the first time.
  void testSuspicionsAreStoredWithoutAnEnd() {
    for (const bool Absent : {false, true}) {
      OwnerBench Bench;
      const auto Owner = Bench.owner(1);
      Bench.submit(*Owner);
      Bench.startFirstRun(*Owner);
      Bench.run(10ms);
      Bench.Store.ChooseFault = [] {
        return FakeStoreClient::AppendFault::Refused;
      };
      if (Absent) {
        Owner->applyExchange(Holder, Bench.report({}), Bench.Timers.now(),
                             OwnerBench::noPendingOrder);
      } else {
        EndsRequest Request;
        Request.Suspects.push_back(
            {.Task = FirstTask, .Run = 1, .Worker = "w"});
        Bench.begin(Owner->acceptEnds(std::move(Request)));
      }
      Bench.run(3s);
      Bench.Store.ChooseFault = nullptr;
      Owner->tick();
      Bench.run(1s);
      const auto Next = Bench.owner(2);
      CPPUNIT_ASSERT(
          Next->activeJobs().begin()->second->Progress.isCrashSuspect(
              OwnerBench::firstRun().Task));
    }
  }

  // Guards against a count of ended runs that grows with each repeated report.
  void testEndOfARunIsReportedOnce() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    std::vector<RunOutcome> Ended;
    Owner->onRunEnded(
        [&Ended](RunOutcome Outcome) { Ended.push_back(Outcome); });
    Bench.submit(*Owner, 2);
    Bench.startFirstRun(*Owner);
    for (int Report = 0; Report < 2; ++Report) {
      Bench.endFirstRun(*Owner, "crashed");
      Bench.run(200ms);
    }
    CPPUNIT_ASSERT(std::vector<RunOutcome>{RunOutcome::Crashed} == Ended);
  }

  // Guards against a task that runs twice: the reply to an exchange that was
  // sent before the start order arrived ended a run that was still executing.
  // Found with fleetbench trouble-2, seed 275423249159.
  void testPendingOrderIsNotEndedByAnOlderExchange() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.submit(*Owner);
    const auto &Job = Owner->activeJobs().begin()->second;
    Job->Progress.markPlacing(OwnerBench::firstRun(), Bench.Timers.now());
    Bench.run(10ms);
    const Clock::time_point SentAt = Bench.Timers.now();
    Bench.run(10ms);
    Owner->markOrdered(OwnerBench::firstRun());
    Owner->applyExchange(Holder, Bench.report({}), SentAt,
                         OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
  }

  void testRunOfUnknownJobIsStopped() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    std::vector<RunId> Stopped;
    Owner->onStopRuns([&Stopped](std::vector<RunId> Runs) { Stopped = Runs; });
    Owner->applyExchange(
        Holder, Bench.report({{.Task = FirstTask, .Run = 1, .Worker = "w"}}),
        Bench.Timers.now(), OwnerBench::noPendingOrder);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stopped.size());
  }

  void testCancelIsStoredAndStopsRuns() {
    OwnerBench Bench;
    {
      const auto Owner = Bench.owner(1);
      Bench.submit(*Owner);
      Bench.startFirstRun(*Owner);
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

  // Guards against a former owner that has not noticed its loss and reports a
  // job as unknown which the next owner has accepted.
  void testFormerOwnerDoesNotReportAJobAsGone() {
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

  // Guards against status 503, which says that the job never runs, while the
  // append of the first call may still be carried out.
  void testRefusedRetryOfAnUncertainSubmissionStaysUncertain() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    Bench.Store.SilentPartitions = {0};
    CPPUNIT_ASSERT_EQUAL(504, Bench.submit(*Owner));
    const auto Again = Bench.begin(Owner->submit(jobOf(1)));
    Owner->revoke(0);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(504, **Again);
  }

  void testUnknownJobIsReportedAsGone() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(410, Owner->state("none").Status);
    const auto Confirmed = Bench.begin(Owner->confirmedState("none"));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(410, (**Confirmed).Status);
    Owner->revoke(0);
    CPPUNIT_ASSERT_EQUAL(503, Owner->state("none").Status);
  }

  void testJournalRecordsWorkers() {
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

  // Guards against a completed task that runs again. A process lost a shard and
  // received it again while it waited for the journal of another shard. State
  // of the first term then overwrote what it had acknowledged in the second.
  void testEndsOfAFormerTermDoNotOverwriteTheNext() {
    OwnerBench Bench;
    const auto Owner = Bench.owner(1, 2);
    const std::string Slow = Bench.submitIn(*Owner, 0);
    const std::string Job = Bench.submitIn(*Owner, 1);
    Bench.Store.SilentPartitions = {0};
    EndsRequest Both;
    Both.Ends = {OwnerBench::completionOf(Slow, 0),
                 OwnerBench::completionOf(Job, 0)};
    const auto Former = Bench.begin(Owner->acceptEnds(Both));
    Bench.run(100ms);
    Owner->assign(1, 2);
    Bench.run(100ms);
    Bench.completeTakeover(*Owner);
    EndsRequest All;
    All.Ends = {OwnerBench::completionOf(Job, 0),
                OwnerBench::completionOf(Job, 1)};
    const auto Next = Bench.begin(Owner->acceptEnds(All));
    Bench.run(200ms);
    CPPUNIT_ASSERT((**Next).Accepted.at(1));
    Bench.run(3s);
    CPPUNIT_ASSERT(!(**Former).Accepted.at(0));
    Bench.Store.SilentPartitions.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Bench.owner(3, 2)->state(Job).State);
  }

  // Guards against a former owner that has not noticed its loss and accepts the
  // end of a job which only the next owner knows and can store.
  void testFormerOwnerAcceptsNoEndOfAnUnknownJob() {
    OwnerBench Bench;
    const auto Former = Bench.owner(1);
    const auto Unknown = Bench.endFirstRun(*Former, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT((**Unknown).Accepted.at(0));
    const auto Next = Bench.owner(2);
    const auto Late = Bench.endFirstRun(*Former, "done");
    Bench.run(1s);
    CPPUNIT_ASSERT(!(**Late).Accepted.at(0));
  }

  // Guards against a task that two owners start: both see the end of a run that
  // the new owner has adopted, and the holder of another worker accepts the
  // former owner's order, as it has not heard of the new one. The same holds if
  // the former owner no longer sees the run because the new one has accepted
  // its end.
  void testFailedRunIsRestartedOnlyAfterTheTakeover() {
    OwnerBench Bench;
    Bench.submit(*Bench.owner(1));
    const auto Later = Bench.owner(2);
    const auto Job = Later->activeJobs().begin()->second;
    Bench.HoldersListed = false;
    Later->applyExchange(
        Holder, Bench.report({{.Task = FirstTask, .Run = 1, .Worker = "w"}}),
        Bench.Timers.now(), OwnerBench::noPendingOrder);
    const auto Early = Bench.endFirstRun(*Later, "failed");
    Bench.run(200ms);
    CPPUNIT_ASSERT(!(*Early)->Accepted.at(0));
    CPPUNIT_ASSERT(Job->Progress.readySteps().empty());
    Bench.HoldersListed = true;
    Bench.completeTakeover(
        *Later,
        {{.Task = FirstTask, .Run = 1, .Worker = "w", .How = "failed"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job->Progress.readySteps().size());
    const auto Repeated = Bench.endFirstRun(*Later, "failed");
    Bench.run(200ms);
    CPPUNIT_ASSERT((*Repeated)->Accepted.at(0));
  }

  // Guards against a shard that no process can open, since one of its records
  // is malformed.
  void testUnreadableRecordsDoNotKeepAShardClosed() {
    OwnerBench Bench;
    const auto First = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*First));
    for (const char *Key : {"", "w", "j/", "j/x", "p/x", "w/x", "?/x"})
      for (const char *Value :
           {"", "{", "7", "[]", "{}", R"({"steps":7,"occurrences":-1})",
            R"({"state":1,"occurrences":1,"steps":[[1]]})"})
        Bench.Store.put(0, std::string(Key) + Value, Value);
    const auto Second = Bench.owner(2);
    Bench.run(1s);
    CPPUNIT_ASSERT(Second->isOwnerOf("0123456789abcdef"));
    CPPUNIT_ASSERT_EQUAL(std::string("pending"),
                         Second->state("0123456789abcdef").State);
  }

  // Guards against tasks that are started again since the journal's record of
  // their end is malformed.
  void testJobWithUnreadableProgressIsNotRun() {
    OwnerBench Bench;
    const auto First = Bench.owner(1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.submit(*First));
    Bench.Store.put(0, "p/0123456789abcdef", "{");
    const auto Second = Bench.owner(2);
    CPPUNIT_ASSERT(Second->activeJobs().empty());
    CPPUNIT_ASSERT_EQUAL(503, Second->state("0123456789abcdef").Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobOwnerTest);

} // namespace hickory
