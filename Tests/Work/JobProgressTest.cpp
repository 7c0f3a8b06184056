#include "Work/JobProgress.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

namespace hickory {

namespace {

const Clock::time_point Now{std::chrono::hours(1)};

JobSpec jobWith(std::vector<StepSpec> Steps, int MaximumAttempts = 2) {
  JobSpec Job{.Id = "job", .Steps = std::move(Steps)};
  Job.Queue.Name = "queue";
  Job.Queue.MaximumAttempts = MaximumAttempts;
  return Job;
}

RunId runOf(int Step, int Index, int Run, const std::string &Worker) {
  return {.Task = {.Job = "job", .Occurrence = 0, .Step = Step, .Index = Index},
          .Run = Run,
          .Worker = Worker};
}

void startRun(JobProgress &Job, const RunId &Run) {
  Job.markPlacing(Run, Now);
  Job.markRunning(Run, {}, Now);
}

/// Ends a run of task 0 with a crash of its worker.
ProgressEffect crash(JobProgress &Job, int Run, RunOutcome Outcome) {
  startRun(Job, runOf(0, 0, Run, "w"));
  return Job.markEnded(runOf(0, 0, Run, "w"), Outcome, {}, Now);
}

/// Starts a run of a gang that is the only step. The workers of the given
/// members crash, and the others end with them.
void crashMembers(JobProgress &Job, int Run, const std::set<int> &Guilty) {
  for (int Index = 0; Index < Job.spec().Steps.front().Count; ++Index)
    startRun(Job, runOf(0, Index, Run, "w"));
  for (int Index = 0; Index < Job.spec().Steps.front().Count; ++Index)
    Job.markEnded(runOf(0, Index, Run, "w"),
                  Guilty.contains(Index) ? RunOutcome::Crashed
                                         : RunOutcome::GangAborted,
                  {}, Now);
}

/// A job whose occurrences are all due.
JobSpec repeatedJob(int Repetitions, std::vector<StepSpec> Steps = {{}}) {
  JobSpec Spec = jobWith(std::move(Steps));
  Spec.Repetitions = Repetitions;
  Spec.Interval = std::chrono::seconds(1);
  return Spec;
}

constexpr std::chrono::hours LongAfter{1000};

/// Returns true once in Count draws. Unlike that of other generators, the
/// range does not grow with the number of test cases: a loop that waits for a
/// draw would not end in the first one.
bool oneIn(int Count) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Count)) == 0;
}

RunId runOfOccurrence(const JobProgress &Job, int Occurrence, int Step = 0,
                      int Index = 0) {
  return {.Task = {.Job = "job",
                   .Occurrence = Occurrence,
                   .Step = Step,
                   .Index = Index},
          .Run = Job.nextRun(Occurrence, Step),
          .Worker = "w"};
}

void finishOccurrence(JobProgress &Job, int Occurrence) {
  const RunId Run = runOfOccurrence(Job, Occurrence);
  startRun(Job, Run);
  Job.markEnded(Run, RunOutcome::Done, {}, Now);
}

StepSpec gangOf(int Count) { return {.Count = Count, .Gang = true}; }

} // namespace

class JobProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobProgressTest);
  CPPUNIT_TEST(testStepWaitsForItsDependencies);
  CPPUNIT_TEST(testStepIsUpcomingWhileItsDependenciesRun);
  CPPUNIT_TEST(testTaskIsNotStartedBeforeItsRefusedRunsHaveEnded);
  CPPUNIT_TEST(testDoneTaskIsNotRestartedAfterTakeover);
  CPPUNIT_TEST(testDoneOutcomeOfEarlierRunStopsLaterRun);
  CPPUNIT_TEST(testRepeatedFailureReportCountsOnce);
  CPPUNIT_TEST(testFailureOfEarlierRunCounts);
  CPPUNIT_TEST(testFailuresOfRunsWithTheSameNumberCount);
  CPPUNIT_TEST(testFailuresStoredByAnEarlierReleaseCountOnce);
  CPPUNIT_TEST(testRejectedStartIsNotCountedAsAttempt);
  CPPUNIT_TEST(testOnlyExecutedStartsBeginAJob);
  CPPUNIT_TEST(testGangStartsOnlyWithAllMembers);
  CPPUNIT_TEST(testGangThatIsNotStartedStopsNothing);
  CPPUNIT_TEST(testFailedGangStopsAllMembersBeforeRestart);
  CPPUNIT_TEST(testRunningMemberOfFailedGangIsStoppedAgain);
  CPPUNIT_TEST(testDoneMemberCompletesGang);
  CPPUNIT_TEST(testIncompleteGangIsStoppedAfterTakeover);
  CPPUNIT_TEST(testUnknownRunOfFinishedJobIsStopped);
  CPPUNIT_TEST(testNewOwnerSkipsRunNumbersOfPreviousOwner);
  CPPUNIT_TEST(testDurableStateIsRestored);
  CPPUNIT_TEST(testFinishedJobWithoutSpecIsRestored);
  CPPUNIT_TEST(testOccurrencesAppearWhenDue);
  CPPUNIT_TEST(testFewDueOccurrencesAreOpenAtOnce);
  CPPUNIT_TEST(testStartedOccurrencesHoldUpNoOthers);
  CPPUNIT_TEST(testStateHasNothingOfDoneOccurrences);
  CPPUNIT_TEST(testFewOccurrencesAreStoredForEarlierReleases);
  CPPUNIT_TEST(testOccurrencesOpenedByAnEarlierReleaseAreClosedAgain);
  CPPUNIT_TEST(propertyRestoredOccurrencesAreThoseThatWereStored);
  CPPUNIT_TEST(testLongRunningTaskIsRestartedAfterFailure);
  CPPUNIT_TEST(testTaskThatCrashedTwoWorkersIsNotStartedAgain);
  CPPUNIT_TEST(testTaskBesideACrashIsStartedAgain);
  CPPUNIT_TEST(testPossibleCrashesAloneGiveUpATaskLater);
  CPPUNIT_TEST(testRepeatedCrashReportCountsOnce);
  CPPUNIT_TEST(testRunsWithTheSameNumberOnOtherWorkersCount);
  CPPUNIT_TEST(testGangThatCrashedSeveralWorkersAtOnceIsTriedAgain);
  CPPUNIT_TEST(testCrashesUnderDifferentMembersDoNotGiveUpAGang);
  CPPUNIT_TEST(testCrashesAreRestored);
  CPPUNIT_TEST(testStateOfAnEarlierReleaseHasNoCrashes);
  CPPUNIT_TEST(testLongRunForgetsEarlierCrashes);
  CPPUNIT_TEST(testSuspicionOfARunIsStoredUntilItsWorkerAnswers);
  CPPUNIT_TEST(testWithdrawnSuspicionsAreStored);
  CPPUNIT_TEST(testNewOwnerGivesUpATaskWithTooManyCrashes);
  CPPUNIT_TEST(testAbsentRunIsSuspectedOnlyIfItHasJustBegun);
  CPPUNIT_TEST(testCrashProvesNoStart);
  CPPUNIT_TEST(testTaskNamesAreFormattedAndParsed);
  CPPUNIT_TEST(propertyNoTaskRunsTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  void testStepWaitsForItsDependencies() {
    JobProgress Job(jobWith({{.Count = 2}, {.Count = 1, .DependsOn = {0}}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.readySteps().size());
    for (const int Index : {0, 1}) {
      CPPUNIT_ASSERT_EQUAL(0, Job.readySteps().front().Step);
      startRun(Job, runOf(0, Index, 1, "w"));
      Job.markEnded(runOf(0, Index, 1, "w"), RunOutcome::Done, {}, Now);
    }
    CPPUNIT_ASSERT_EQUAL(1, Job.readySteps().front().Step);
    startRun(Job, runOf(1, 0, 1, "w"));
    const auto Effect =
        Job.markEnded(runOf(1, 0, 1, "w"), RunOutcome::Done, {}, Now);
    CPPUNIT_ASSERT(Effect.Finished && Effect.MustPersist);
    CPPUNIT_ASSERT(Job.state() == JobState::Completed);
  }

  // Guards against advice about a gang that is asked for only once the gang
  // could start.
  void testStepIsUpcomingWhileItsDependenciesRun() {
    JobProgress Job(jobWith(
        {StepSpec{.Count = 2}, StepSpec{.Count = 3, .DependsOn = {0}}}));
    CPPUNIT_ASSERT(Job.upcomingSteps().empty());
    startRun(Job, runOf(0, 0, 1, "w"));
    CPPUNIT_ASSERT(Job.upcomingSteps().empty());
    startRun(Job, runOf(0, 1, 1, "w"));
    const auto Upcoming = Job.upcomingSteps();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Upcoming.size());
    CPPUNIT_ASSERT_EQUAL(1, Upcoming[0].Step);
    CPPUNIT_ASSERT((std::vector<int>{0, 1, 2}) == Upcoming[0].Tasks);
    for (const int Index : {0, 1})
      Job.markEnded(runOf(0, Index, 1, "w"), RunOutcome::Done, {}, Now);
    CPPUNIT_ASSERT(Job.upcomingSteps().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.readySteps().size());
  }

  // Guards against a task that runs twice: a new owner adopted one run, refused
  // another, and started the task again while the refused one was going on.
  void testTaskIsNotStartedBeforeItsRefusedRunsHaveEnded() {
    JobProgress Job(jobWith({{.Count = 1}}));
    Job.markUnfinishedTasksUnknown();
    Job.markRunning(runOf(0, 0, 1, "a"), {}, Now);
    const auto Refused = Job.markRunning(runOf(0, 0, 18, "b"), {}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Refused.Stop.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.refusedRuns().size());
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Stopped, {}, Now);
    Job.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT(Job.readySteps().empty());
    CPPUNIT_ASSERT_EQUAL(19, Job.nextRun(0, 0));
    const auto Ended =
        Job.markEnded(runOf(0, 0, 18, "b"), RunOutcome::Stopped, {}, Now);
    CPPUNIT_ASSERT(Ended.Applied && Job.refusedRuns().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.readySteps().size());
  }

  // Guards against a new owner that restarts tasks which are done, because the
  // owner of the worker has not yet delivered their outcomes. Seen in the
  // fleetbench run trouble-1.
  void testDoneTaskIsNotRestartedAfterTakeover() {
    JobProgress Job(jobWith({{.Count = 2}}));
    Job.markUnfinishedTasksUnknown();
    Job.markEnded(runOf(0, 0, 1, "w"), RunOutcome::Done, {}, Now);
    Job.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT(std::vector<int>{1} == Job.readySteps().front().Tasks);
  }

  void testDoneOutcomeOfEarlierRunStopsLaterRun() {
    JobProgress Job(jobWith({{.Count = 1}}));
    startRun(Job, runOf(0, 0, 1, "a"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Lost, {}, Now);
    startRun(Job, runOf(0, 0, 2, "b"));
    const auto Effect =
        Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Done, {}, Now);
    CPPUNIT_ASSERT(Job.state() == JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Effect.Stop.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Effect.Stop.front().Worker);
  }

  void testRepeatedFailureReportCountsOnce() {
    JobProgress Job(jobWith({{.Count = 1}}));
    startRun(Job, runOf(0, 0, 1, "a"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Failed, {}, Now);
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!Job.isFinished());
    startRun(Job, runOf(0, 0, 2, "a"));
    Job.markEnded(runOf(0, 0, 2, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  // Guards against a task that is started once more than its queue permits, as
  // two owners in succession gave its runs the same number.
  void testFailuresOfRunsWithTheSameNumberCount() {
    JobProgress Before(jobWith({{.Count = 1}}, 3));
    startRun(Before, runOf(0, 0, 17, "a"));
    for (const char *Worker : {"b", "a", "b"})
      Before.markEnded(runOf(0, 0, 17, Worker), RunOutcome::Failed, {}, Now);
    JobProgress After(Before.spec());
    After.restore(Before.durableState());
    After.markUnfinishedTasksUnknown();
    for (const char *Worker : {"a", "b"})
      After.markEnded(runOf(0, 0, 17, Worker), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!After.isFinished());
    After.markEnded(runOf(0, 0, 33, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(After.state() == JobState::Failed);
  }

  // Guards against a failure that is counted twice, as an earlier release
  // stores no worker.
  void testFailuresStoredByAnEarlierReleaseCountOnce() {
    JobProgress Job(jobWith({{.Count = 1}}, 2));
    Job.restore({{"state", "running"},
                 {"occurrences", 1},
                 {"steps", {{"0", 3, nlohmann::json::array(), {{"0", {3}}}}}}});
    Job.markUnfinishedTasksUnknown();
    Job.markEnded(runOf(0, 0, 3, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!Job.isFinished());
    Job.markEnded(runOf(0, 0, 4, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  // An acknowledged failure counts as an attempt even if another run is
  // current.
  void testFailureOfEarlierRunCounts() {
    JobProgress Job(jobWith({{.Count = 1}}));
    startRun(Job, runOf(0, 0, 1, "a"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Lost, {}, Now);
    startRun(Job, runOf(0, 0, 2, "b"));
    const auto First =
        Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(First.MustPersist && !First.Applied);
    Job.markEnded(runOf(0, 0, 2, "b"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  void testRejectedStartIsNotCountedAsAttempt() {
    JobProgress Job(jobWith({{.Count = 1}}, 1));
    Job.markPlacing(runOf(0, 0, 1, "a"), Now);
    const auto Effect =
        Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Rejected, {}, Now);
    CPPUNIT_ASSERT(Effect.Applied && !Effect.MustPersist);
    CPPUNIT_ASSERT(Job.state() == JobState::Pending);
    CPPUNIT_ASSERT_EQUAL(2, Job.nextRun(0, 0));
  }

  // Guards against a job that counts as started although no worker has executed
  // a start, and the reverse.
  void testOnlyExecutedStartsBeginAJob() {
    const auto HasStarted = [](RunOutcome Outcome) {
      JobProgress Job(jobWith({{.Count = 1}}));
      Job.markPlacing(runOf(0, 0, 1, "w"), Now);
      Job.markEnded(runOf(0, 0, 1, "w"), Outcome, {}, Now);
      return Job.hasStarted();
    };
    for (const RunOutcome Outcome :
         {RunOutcome::Lost, RunOutcome::Stopped, RunOutcome::Rejected})
      CPPUNIT_ASSERT_MESSAGE(nameOf(Outcome), !HasStarted(Outcome));
    for (const RunOutcome Outcome :
         {RunOutcome::Done, RunOutcome::Failed, RunOutcome::LeaseExpired,
          RunOutcome::GangAborted, RunOutcome::GangIncomplete})
      CPPUNIT_ASSERT_MESSAGE(nameOf(Outcome), HasStarted(Outcome));
    JobProgress Job(jobWith({{.Count = 1}}));
    Job.markPlacing(runOf(0, 0, 1, "w"), Now);
    Job.markRunning(runOf(0, 0, 1, "w"), {}, Now, false);
    CPPUNIT_ASSERT(!Job.hasStarted());
    Job.markRunning(runOf(0, 0, 1, "w"), {}, Now, true);
    CPPUNIT_ASSERT(Job.hasStarted());
  }

  void testGangStartsOnlyWithAllMembers() {
    JobProgress Job(jobWith({gangOf(3)}));
    startRun(Job, runOf(0, 1, 1, "a"));
    CPPUNIT_ASSERT(Job.readySteps().empty());
  }

  // Guards against a stop order for each member of a gang whose capacity could
  // not be reserved, and against a run that such a report takes for not started
  // although another attempt has placed it since.
  void testGangThatIsNotStartedStopsNothing() {
    JobProgress Job(jobWith({gangOf(2)}));
    Job.markPlacing(runOf(0, 0, 1, "a"), Now);
    Job.markPlacing(runOf(0, 1, 1, "b"), Now);
    Job.markPlacing(runOf(0, 1, 1, "c"), Now);
    const std::vector<RunId> Members = {runOf(0, 0, 1, "a"),
                                        runOf(0, 1, 1, "c")};
    const ProgressEffect Effect = Job.markNotStarted(Members, Now);
    CPPUNIT_ASSERT(Effect.Applied);
    CPPUNIT_ASSERT(!Effect.MustPersist);
    CPPUNIT_ASSERT(Effect.Stop.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Job.readySteps().front().Tasks.size());
    startRun(Job, runOf(0, 0, 2, "a"));
    startRun(Job, runOf(0, 1, 2, "b"));
    CPPUNIT_ASSERT(!Job.markNotStarted(Members, Now).Applied);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Job.activeRuns().size());
  }

  void testFailedGangStopsAllMembersBeforeRestart() {
    JobProgress Job(jobWith({gangOf(2)}));
    startRun(Job, runOf(0, 0, 1, "a"));
    startRun(Job, runOf(0, 1, 1, "b"));
    const auto Effect =
        Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Failed, "c1", Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Effect.Stop.size());
    CPPUNIT_ASSERT_EQUAL(1, Effect.Stop.front().Task.Index);
    CPPUNIT_ASSERT(Job.readySteps().empty());
    Job.markEnded(runOf(0, 1, 1, "b"), RunOutcome::GangAborted, "c2", Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Job.readySteps().front().Tasks.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("c2"),
        Job.checkpointOf({.Job = "job", .Occurrence = 0, .Step = 0}));
  }

  // Guards against a stop request that is lost when its sender fails and is not
  // sent again.
  void testRunningMemberOfFailedGangIsStoppedAgain() {
    JobProgress Job(jobWith({gangOf(2)}));
    startRun(Job, runOf(0, 0, 1, "a"));
    startRun(Job, runOf(0, 1, 1, "b"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Lost, {}, Now);
    const auto Effect = Job.markRunning(runOf(0, 1, 1, "b"), {}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Effect.Stop.size());
  }

  void testDoneMemberCompletesGang() {
    JobProgress Job(jobWith({gangOf(3)}));
    for (const int Index : {0, 1, 2})
      startRun(Job, runOf(0, Index, 1, "a"));
    Job.markEnded(runOf(0, 1, 1, "a"), RunOutcome::Done, {}, Now);
    CPPUNIT_ASSERT(Job.state() == JobState::Completed);
  }

  void testIncompleteGangIsStoppedAfterTakeover() {
    JobProgress Job(jobWith({gangOf(2)}));
    Job.markUnfinishedTasksUnknown();
    Job.markRunning(runOf(0, 0, 1, "a"), {}, Now);
    const auto Effect = Job.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Effect.Stop.size());
    CPPUNIT_ASSERT(Job.readySteps().empty());
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Stopped, {}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.readySteps().size());
  }

  void testUnknownRunOfFinishedJobIsStopped() {
    JobProgress Job(jobWith({{.Count = 1}}));
    Job.cancel(Now);
    const auto Effect = Job.markRunning(runOf(0, 0, 1, "a"), {}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Effect.Stop.size());
  }

  void testNewOwnerSkipsRunNumbersOfPreviousOwner() {
    JobProgress Before(jobWith({{.Count = 1}}));
    startRun(Before, runOf(0, 0, 1, "a"));
    JobProgress After(Before.spec());
    After.restore(Before.durableState());
    After.markUnfinishedTasksUnknown();
    After.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT(After.nextRun(0, 0) > Before.nextRun(0, 0));
  }

  void testDurableStateIsRestored() {
    JobProgress Before(jobWith({{.Count = 2}, gangOf(2)}));
    startRun(Before, runOf(0, 0, 1, "a"));
    Before.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Done, {}, Now);
    startRun(Before, runOf(0, 1, 1, "a"));
    Before.markEnded(runOf(0, 1, 1, "a"), RunOutcome::Failed, {}, Now);
    JobProgress After(Before.spec());
    After.restore(Before.durableState());
    CPPUNIT_ASSERT(Before.durableState() == After.durableState());
    // The failure of run 1 is already counted; only another run counts.
    After.markUnfinishedTasksUnknown();
    After.markEnded(runOf(0, 1, 1, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!After.isFinished());
    After.markEnded(runOf(0, 1, 2, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(After.state() == JobState::Failed);
  }

  void testFinishedJobWithoutSpecIsRestored() {
    JobProgress Job(JobSpec{.Id = "job"});
    Job.restore({{"state", "cancelled"},
                 {"occurrences", 0},
                 {"steps", nlohmann::json::array()}});
    CPPUNIT_ASSERT(Job.state() == JobState::Cancelled);
  }

  void testOccurrencesAppearWhenDue() {
    using std::chrono::milliseconds;
    JobSpec Spec = jobWith({{.Count = 1}});
    Spec.Repetitions = 2;
    Spec.FirstRun = milliseconds(1000);
    Spec.Interval = milliseconds(500);
    JobProgress Job(Spec);
    CPPUNIT_ASSERT(!Job.addDueOccurrences(milliseconds(999)));
    CPPUNIT_ASSERT(Job.addDueOccurrences(milliseconds(1000)));
    startRun(Job, runOf(0, 0, 1, "a"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Done, {}, Now);
    CPPUNIT_ASSERT(!Job.isFinished());
    CPPUNIT_ASSERT(Job.addDueOccurrences(milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(1, Job.readySteps().front().Occurrence);
  }

  // Guards against a job whose owner lists and sorts the tasks of thousands of
  // due occurrences in each pass (incident 49, review/7).
  void testFewDueOccurrencesAreOpenAtOnce() {
    JobProgress Job(repeatedJob(10000, {{.Count = 2}}));
    CPPUNIT_ASSERT(Job.addDueOccurrences(LongAfter));
    CPPUNIT_ASSERT_EQUAL(std::size_t(32), Job.readySteps().size());
    CPPUNIT_ASSERT(!Job.addDueOccurrences(LongAfter));
  }

  // Guards against occurrences that wait for ever behind others that last or
  // that wait for something in a later step.
  void testStartedOccurrencesHoldUpNoOthers() {
    JobProgress Job(repeatedJob(1000, {{.LongRunning = true}}));
    for (int Round = 0; Round < 100; ++Round) {
      Job.addDueOccurrences(LongAfter);
      for (const ReadyStep &Step : Job.readySteps())
        startRun(Job, runOfOccurrence(Job, Step.Occurrence));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000), Job.activeRuns().size());
  }

  // Guards against a state that grows with each occurrence until the store does
  // not accept it any more.
  void testStateHasNothingOfDoneOccurrences() {
    constexpr std::size_t RecordBytes = 262144;
    JobProgress Job(repeatedJob(10000));
    std::size_t Longest = 0;
    while (!Job.isFinished()) {
      Job.addDueOccurrences(LongAfter);
      for (const ReadyStep &Step : Job.readySteps())
        finishOccurrence(Job, Step.Occurrence);
      Longest = std::max(Longest, Job.durableState().dump().size());
      CPPUNIT_ASSERT(Job.openOccurrences() <= 64);
    }
    CPPUNIT_ASSERT(Job.state() == JobState::Completed);
    CPPUNIT_ASSERT(Longest < RecordBytes / 4);
  }

  // Guards against a job with few occurrences that a process of the release
  // before can't read during a rolling change.
  void testFewOccurrencesAreStoredForEarlierReleases() {
    JobProgress Job(repeatedJob(20));
    Job.addDueOccurrences(LongAfter);
    finishOccurrence(Job, 3);
    const auto State = Job.durableState();
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), State.at("steps").size());
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         State.at("steps")[3][0].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(20, State.at("occurrences").get<int>());
  }

  // Guards against thousands of open occurrences of a job whose state an
  // earlier release has stored.
  void testOccurrencesOpenedByAnEarlierReleaseAreClosedAgain() {
    nlohmann::json Steps = nlohmann::json::array();
    for (int Number = 0; Number < 5000; ++Number)
      Steps.push_back({Number < 2000 ? "1" : "0", 1, nlohmann::json::array(),
                       nlohmann::json::object()});
    JobProgress Job(repeatedJob(10000));
    Job.restore(
        {{"state", "running"}, {"occurrences", 5000}, {"steps", Steps}});
    CPPUNIT_ASSERT_EQUAL(2000, Job.tasksDone());
    Job.markUnfinishedTasksUnknown();
    Job.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(64), Job.openOccurrences());
    CPPUNIT_ASSERT_EQUAL(2000, Job.readySteps().front().Occurrence);
    int Started = 0;
    while (!Job.isFinished()) {
      Job.addDueOccurrences(LongAfter);
      for (const ReadyStep &Step : Job.readySteps()) {
        finishOccurrence(Job, Step.Occurrence);
        ++Started;
      }
    }
    CPPUNIT_ASSERT_EQUAL(8000, Started);
  }

  // Guards against an occurrence that runs twice or never after a takeover.
  void propertyRestoredOccurrencesAreThoseThatWereStored() {
    CPPUNIT_ASSERT(rc::check("each occurrence is done once", [] {
      const int Repetitions = *rc::gen::inRange(1, 2500);
      auto Job = std::make_unique<JobProgress>(repeatedJob(Repetitions));
      std::set<int> Done;
      while (!Job->isFinished()) {
        Job->addDueOccurrences(LongAfter);
        for (const ReadyStep &Step : Job->readySteps())
          if (!oneIn(8)) {
            finishOccurrence(*Job, Step.Occurrence);
            RC_ASSERT(Done.insert(Step.Occurrence).second);
          }
        if (Job->isFinished() || !oneIn(4))
          continue;
        auto Next = std::make_unique<JobProgress>(repeatedJob(Repetitions));
        Next->restore(Job->durableState());
        Next->markUnfinishedTasksUnknown();
        Next->resolveUnknownTasks(Now);
        RC_ASSERT(Next->tasksDone() == Job->tasksDone());
        Job = std::move(Next);
      }
      RC_ASSERT(static_cast<int>(Done.size()) == Repetitions);
    }));
  }

  void testLongRunningTaskIsRestartedAfterFailure() {
    JobProgress Job(jobWith({{.Count = 1, .LongRunning = true}}, 1));
    startRun(Job, runOf(0, 0, 1, "a"));
    Job.markEnded(runOf(0, 0, 1, "a"), RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!Job.isFinished());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.readySteps().size());
  }

  // Guards against a task that crashes worker after worker.
  void testTaskThatCrashedTwoWorkersIsNotStartedAgain() {
    for (const bool LongRunning : {false, true}) {
      JobProgress Job(jobWith({{.Count = 2, .LongRunning = LongRunning}}));
      CPPUNIT_ASSERT(!crash(Job, 1, RunOutcome::Crashed).Finished);
      CPPUNIT_ASSERT(Job.isCrashSuspect(runOf(0, 0, 1, "w").Task));
      CPPUNIT_ASSERT(!Job.isCrashSuspect(runOf(0, 1, 1, "w").Task));
      CPPUNIT_ASSERT(crash(Job, 2, RunOutcome::Crashed).Finished);
      CPPUNIT_ASSERT(Job.state() == JobState::Failed);
    }
  }

  // Guards against giving up a task that ran beside those that crashed their
  // workers, and against one whose guilt stays uncertain without end.
  void testTaskBesideACrashIsStartedAgain() {
    JobProgress Job(jobWith({{.Count = 1}}));
    for (int Run = 1; Run <= 3; ++Run)
      CPPUNIT_ASSERT(!crash(Job, Run, RunOutcome::CrashSuspected).Finished);
    CPPUNIT_ASSERT(crash(Job, 4, RunOutcome::CrashSuspected).Finished);
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  // Guards against giving up a task whose workers were cut off or had crashed
  // before its start, and against a sixth start of one that crashes them.
  void testPossibleCrashesAloneGiveUpATaskLater() {
    JobProgress Silent(jobWith({{.Count = 1}}));
    for (int Run = 1; Run <= 4; ++Run)
      CPPUNIT_ASSERT(!crash(Silent, Run, RunOutcome::CrashPossible).Finished);
    CPPUNIT_ASSERT(crash(Silent, 5, RunOutcome::CrashPossible).Finished);
    // The first crash went unnoticed, as the job's owner was killed.
    JobProgress Mixed(jobWith({{.Count = 1}}));
    for (int Run = 2; Run <= 4; ++Run)
      crash(Mixed, Run, RunOutcome::CrashPossible);
    CPPUNIT_ASSERT(crash(Mixed, 5, RunOutcome::Crashed).Finished);
  }

  void testRepeatedCrashReportCountsOnce() {
    JobProgress Job(jobWith({{.Count = 1}}));
    CPPUNIT_ASSERT(crash(Job, 1, RunOutcome::Crashed).MustPersist);
    const auto Repeated =
        Job.markEnded(runOf(0, 0, 1, "w"), RunOutcome::Crashed, {}, Now);
    CPPUNIT_ASSERT(!Repeated.MustPersist && !Job.isFinished());
  }

  // Guards against a crash that is not counted, as an earlier owner used the
  // same run number. Seen in simulations of CellNodePropertyTest.
  void testRunsWithTheSameNumberOnOtherWorkersCount() {
    JobProgress Job(jobWith({{.Count = 1}}));
    crash(Job, 17, RunOutcome::Crashed);
    const auto Other =
        Job.markEnded(runOf(0, 0, 17, "other"), RunOutcome::Crashed, {}, Now);
    CPPUNIT_ASSERT(Other.Finished);
  }

  // Guards against giving up a gang after its first run, as its members crash
  // several workers at the same time.
  void testGangThatCrashedSeveralWorkersAtOnceIsTriedAgain() {
    JobProgress Job(jobWith({gangOf(2)}));
    for (int Run = 1; Run <= 2; ++Run) {
      CPPUNIT_ASSERT(!Job.isFinished());
      crashMembers(Job, Run, {0, 1});
      CPPUNIT_ASSERT(Job.isCrashSuspect(runOf(0, 1, Run, "w").Task));
    }
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  // Guards against giving up a gang for single crashes under several of its
  // members, none of which has crashed two workers.
  void testCrashesUnderDifferentMembersDoNotGiveUpAGang() {
    JobProgress Job(jobWith({gangOf(3)}));
    for (int Run = 1; Run <= 3; ++Run) {
      crashMembers(Job, Run, {Run - 1});
      CPPUNIT_ASSERT(!Job.isFinished());
    }
    CPPUNIT_ASSERT(Job.isCrashSuspect(runOf(0, 2, 3, "w").Task));
    crashMembers(Job, 4, {0});
    CPPUNIT_ASSERT(Job.state() == JobState::Failed);
  }

  // Guards against crashes that are forgotten with the job's owner.
  void testCrashesAreRestored() {
    JobProgress Before(jobWith({{.Count = 2}, gangOf(2)}));
    crash(Before, 1, RunOutcome::Crashed);
    JobProgress After(Before.spec());
    After.restore(Before.durableState());
    CPPUNIT_ASSERT(Before.durableState() == After.durableState());
    CPPUNIT_ASSERT(After.isCrashSuspect(runOf(0, 0, 1, "w").Task));
    CPPUNIT_ASSERT(crash(After, 20, RunOutcome::Crashed).Finished);
  }

  void testStateOfAnEarlierReleaseHasNoCrashes() {
    JobProgress Job(jobWith({{.Count = 2}}));
    Job.restore({{"state", "running"},
                 {"occurrences", 1},
                 {"steps", {{"10", 3, {2}, nlohmann::json::object()}}}});
    CPPUNIT_ASSERT_EQUAL(4, Job.nextRun(0, 0));
    CPPUNIT_ASSERT(!Job.isCrashSuspect(runOf(0, 1, 3, "w").Task));
  }

  // Guards against a service that is given up for two crashes that lie far
  // apart.
  void testLongRunForgetsEarlierCrashes() {
    JobProgress Job(jobWith({{.Count = 1, .LongRunning = true}}));
    crash(Job, 1, RunOutcome::Crashed);
    startRun(Job, runOf(0, 0, 2, "w"));
    Job.markEnded(runOf(0, 0, 2, "w"), RunOutcome::Failed, {},
                  Now + std::chrono::hours(1));
    CPPUNIT_ASSERT(!Job.isCrashSuspect(runOf(0, 0, 2, "w").Task));
    CPPUNIT_ASSERT(!crash(Job, 3, RunOutcome::Crashed).Finished);
  }

  // Guards against a crash that is forgotten with the owner and the holder, who
  // are replaced before it is certain, and against counting workers that only
  // did not answer for a while.
  void testSuspicionOfARunIsStoredUntilItsWorkerAnswers() {
    JobProgress Job(jobWith({{.Count = 1}}));
    const RunId Run = runOf(0, 0, 1, "w");
    startRun(Job, Run);
    CPPUNIT_ASSERT(Job.setCrashPossible(Run, true));
    CPPUNIT_ASSERT(!Job.setCrashPossible(Run, true));
    JobProgress Next(Job.spec());
    Next.restore(Job.durableState());
    CPPUNIT_ASSERT(Next.isCrashSuspect(Run.Task));
    // The crash becomes certain, and counts once.
    Next.markEnded(Run, RunOutcome::Crashed, {}, Now);
    CPPUNIT_ASSERT(crash(Next, 17, RunOutcome::Crashed).Finished);
    Job.setCrashPossible(Run, false);
    CPPUNIT_ASSERT(!Job.isCrashSuspect(Run.Task));
    Job.setCrashPossible(Run, true);
    Job.markEnded(Run, RunOutcome::Failed, {}, Now);
    CPPUNIT_ASSERT(!Job.isCrashSuspect(Run.Task));
  }

  // Guards against suspicions that come back after a hand-over although they
  // were withdrawn.
  void testWithdrawnSuspicionsAreStored() {
    JobProgress Job(jobWith({{.Count = 1}}, 5));
    const RunId Run = runOf(0, 0, 1, "w");
    startRun(Job, Run);
    Job.setCrashPossible(Run, true);
    CPPUNIT_ASSERT(Job.setCrashPossible(Run, false));
    CPPUNIT_ASSERT(!Job.setCrashPossible(Run, false));
    Job.setCrashPossible(Run, true);
    const auto Listed = Job.markEnded(Run, RunOutcome::LeaseExpired, {}, Now);
    CPPUNIT_ASSERT(Listed.MustPersist);
    crash(Job, 2, RunOutcome::Crashed);
    startRun(Job, runOf(0, 0, 3, "w"));
    const auto Late = Job.markEnded(runOf(0, 0, 3, "w"), RunOutcome::Lost, {},
                                    Now + std::chrono::minutes(2));
    CPPUNIT_ASSERT(Late.MustPersist && !Job.isCrashSuspect(Run.Task));
  }

  // Guards against further starts of a task that must be given up, by an owner
  // that has read its crashes from the journal.
  void testNewOwnerGivesUpATaskWithTooManyCrashes() {
    JobProgress Before(jobWith({{.Count = 1}}));
    for (int Run = 1; Run <= 4; ++Run)
      crash(Before, Run, RunOutcome::CrashPossible);
    startRun(Before, runOf(0, 0, 5, "w"));
    Before.setCrashPossible(runOf(0, 0, 5, "w"), true);
    CPPUNIT_ASSERT(!Before.isFinished());
    JobProgress After(Before.spec());
    After.restore(Before.durableState());
    After.markUnfinishedTasksUnknown();
    const auto Effect = After.resolveUnknownTasks(Now);
    CPPUNIT_ASSERT(Effect.Finished && After.state() == JobState::Failed);
  }

  // Guards against suspecting runs that may never have begun and those that
  // have run for long, when their worker and its holder are lost together.
  void testAbsentRunIsSuspectedOnlyIfItHasJustBegun() {
    for (const bool Begun : {false, true}) {
      JobProgress Job(jobWith({{.Count = 1}}));
      const RunId Run = runOf(0, 0, 1, "w");
      Job.markPlacing(Run, Now);
      Job.markRunning(Run, {}, Now, Begun);
      CPPUNIT_ASSERT(Job.outcomeIfAbsent(Run) ==
                     (Begun ? RunOutcome::CrashPossible : RunOutcome::Lost));
      Job.markEnded(Run, RunOutcome::CrashPossible, {},
                    Now + std::chrono::hours(1));
      CPPUNIT_ASSERT(!Job.isCrashSuspect(Run.Task));
    }
  }

  // Guards against a job that is not reported as waiting although no worker
  // has confirmed a start.
  void testCrashProvesNoStart() {
    JobProgress Job(jobWith({{.Count = 1}}));
    for (const auto How : {RunOutcome::CrashPossible,
                           RunOutcome::CrashSuspected, RunOutcome::Crashed}) {
      const RunId Run = runOf(0, 0, Job.nextRun(0, 0), "w");
      Job.markPlacing(Run, Now);
      Job.markEnded(Run, How, {}, Now);
      CPPUNIT_ASSERT(Job.state() == JobState::Pending);
    }
  }

  void testTaskNamesAreFormattedAndParsed() {
    const TaskName Name{.Job = "a1", .Occurrence = 2, .Step = 3, .Index = 45};
    CPPUNIT_ASSERT_EQUAL(std::string("a1.2.3.45"), Name.toString());
    CPPUNIT_ASSERT(Name == *TaskName::parse("a1.2.3.45"));
    CPPUNIT_ASSERT(!TaskName::parse("a1.2.3"));
    CPPUNIT_ASSERT(!TaskName::parse("a1.2.x.4"));
    CPPUNIT_ASSERT(!TaskName::parse("a1.2.-3.4"));
  }

  // Guards against a task with two active runs, or with an active run after it
  // is done, for any sequence of outcomes, repeated reports and takeovers.
  void propertyNoTaskRunsTwice() {
    CPPUNIT_ASSERT(rc::check("no task runs twice", [] {
      const bool Gang = *rc::gen::arbitrary<bool>();
      JobProgress Job(jobWith({{.Count = 3, .Gang = Gang}}, 5));
      // Active runs on the workers.
      std::map<std::string, RunId> ActiveRuns;
      std::set<int> Done;
      const int Events = *rc::gen::inRange(1, 60);
      for (int I = 0; I < Events; ++I) {
        if (*rc::gen::inRange(0, 3) == 0 && !Job.readySteps().empty()) {
          const ReadyStep Step = Job.readySteps().front();
          const int Run = Job.nextRun(0, 0);
          for (const int Index : Step.Tasks) {
            RC_ASSERT(Done.count(Index) == 0);
            for (const auto &[Key, Other] : ActiveRuns)
              RC_ASSERT(Other.Task.Index != Index);
            const RunId Id = runOf(0, Index, Run, "w");
            startRun(Job, Id);
            ActiveRuns[Id.Task.toString() + "#" + std::to_string(Run)] = Id;
          }
          continue;
        }
        if (*rc::gen::inRange(0, 8) == 0) {
          // A takeover: all active runs are reported before
          // resolveUnknownTasks().
          JobProgress Next(Job.spec());
          Next.restore(Job.durableState());
          Next.markUnfinishedTasksUnknown();
          for (const auto &[Key, Run] : ActiveRuns)
            Next.markRunning(Run, {}, Now);
          Next.resolveUnknownTasks(Now);
          Job = std::move(Next);
          continue;
        }
        if (ActiveRuns.empty())
          continue;
        const auto Chosen = std::next(
            ActiveRuns.begin(),
            *rc::gen::inRange<int>(0, static_cast<int>(ActiveRuns.size())));
        const RunId Run = Chosen->second;
        const RunOutcome Outcome =
            *rc::gen::element(RunOutcome::Done, RunOutcome::Failed,
                              RunOutcome::Stopped, RunOutcome::LeaseExpired);
        if (Gang && Outcome == RunOutcome::Done) {
          // All members are done together.
          for (const auto &[Key, Member] : ActiveRuns)
            Done.insert(Member.Task.Index);
          ActiveRuns.clear();
        } else {
          ActiveRuns.erase(Chosen);
          if (Outcome == RunOutcome::Done)
            Done.insert(Run.Task.Index);
        }
        Job.markEnded(Run, Outcome, {}, Now);
        Job.markEnded(Run, Outcome, {}, Now);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobProgressTest);

} // namespace hickory
