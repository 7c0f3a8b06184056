#include "Cell/DispatchOrder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const Clock::time_point Now{1h};

JobSpec jobOf(int Priority, std::chrono::milliseconds Estimated, double Stretch,
              std::chrono::milliseconds Target) {
  JobSpec Job{.Id = "job", .Steps = {{.EstimatedDuration = Estimated}}};
  Job.Queue.Priority = Priority;
  Job.Queue.Stretch = Stretch;
  Job.Queue.TargetLatency = Target;
  return Job;
}

DispatchRank rankStep(const JobSpec &Job, int Step,
                      Clock::time_point AcceptedAt, Clock::time_point At) {
  return hickory::rankStep(Job.Queue, StepGraph(Job.Steps), Step, AcceptedAt,
                           At);
}

} // namespace

class DispatchOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchOrderTest);
  CPPUNIT_TEST(testUrgentQueueGoesFirst);
  CPPUNIT_TEST(testStepsInTimeComeBeforeLateSteps);
  CPPUNIT_TEST(testLateStepComesFirstWhenItsLastObjectiveIsClose);
  CPPUNIT_TEST(testEarliestStartByGoesFirst);
  CPPUNIT_TEST(testPreemptsOnlyForStepsThatCanStillBeInTime);
  CPPUNIT_TEST(testOrderWithoutAccountsIsTheEarlierOne);
  CPPUNIT_TEST(testShareComesAfterOverdueAndBeforeStartBy);
  CPPUNIT_TEST_SUITE_END();

public:
  // A burst of gangs must not delay a short urgent task.
  void testUrgentQueueGoesFirst() {
    const auto Urgent = rankStep(jobOf(0, 640ms, 1.5, 300ms), 0, Now, Now);
    const auto Gang = rankStep(jobOf(1, 6200ms, 2.2, 1200ms), 0, Now - 9s, Now);
    CPPUNIT_ASSERT(Urgent < Gang);
  }

  // After a burst, jobs that have missed their objective must not make others
  // late.
  void testStepsInTimeComeBeforeLateSteps() {
    const JobSpec Job = jobOf(1, 6200ms, 2.2, 1200ms);
    const auto Late = rankStep(Job, 0, Now - 20s, Now);
    const auto InTime = rankStep(Job, 0, Now, Now);
    const auto AlmostLate = rankStep(Job, 0, Now - 8s, Now);
    CPPUNIT_ASSERT(Late.Late && !InTime.Late && !AlmostLate.Late);
    CPPUNIT_ASSERT(InTime < Late);
    CPPUNIT_ASSERT(AlmostLate < InTime);
  }

  // Guards against late jobs that never start while others arrive. Their
  // objective times 3 is the last time at which they have a value.
  void testLateStepComesFirstWhenItsLastObjectiveIsClose() {
    const JobSpec Job = jobOf(1, 6200ms, 2.2, 1200ms);
    const auto InTime = rankStep(Job, 0, Now, Now);
    const auto Late = rankStep(Job, 0, Now - 35s, Now);
    CPPUNIT_ASSERT(Late.Late && !Late.Overdue);
    CPPUNIT_ASSERT(Late < InTime);
    const auto Overdue = rankStep(Job, 0, Now - 45s, Now);
    CPPUNIT_ASSERT(Overdue.Overdue);
    CPPUNIT_ASSERT(InTime < Overdue && Late < Overdue);
  }

  void testEarliestStartByGoesFirst() {
    const JobSpec Job = jobOf(1, 6200ms, 2.2, 1200ms);
    CPPUNIT_ASSERT(rankStep(Job, 0, Now - 2s, Now) <
                   rankStep(Job, 0, Now - 1s, Now));
  }

  // Guards against preemption for every gang at once, which costs more work
  // than a short wait. For a gang that is already late, it gains nothing.
  void testPreemptsOnlyForStepsThatCanStillBeInTime() {
    const JobSpec Job = jobOf(1, 6200ms, 2.2, 1200ms);
    const auto RankAfter = [&](std::chrono::milliseconds Age) {
      return rankStep(Job, 0, Now - Age, Now);
    };
    CPPUNIT_ASSERT(!shouldPreempt(RankAfter(1s), Now));
    CPPUNIT_ASSERT(shouldPreempt(RankAfter(7s), Now));
    CPPUNIT_ASSERT(!shouldPreempt(RankAfter(30s), Now));
  }

  // Without accounts, no job is above a share, and the order must be that of
  // the releases before shares.
  void testOrderWithoutAccountsIsTheEarlierOne() {
    std::vector<DispatchRank> Ranks;
    for (const bool Deferrable : {false, true})
      for (const auto Age : {0s, 4s, 8s, 20s, 35s, 45s, 90s})
        Ranks.push_back(rankStep(jobOf(Deferrable ? 1 : 0, 6200ms, 2.2, 1200ms),
                                 0, Now - Age, Now));
    const auto EarlierLess = [](const DispatchRank &A, const DispatchRank &B) {
      return std::tie(A.Deferrable, A.Overdue, A.StartBy) <
             std::tie(B.Deferrable, B.Overdue, B.StartBy);
    };
    for (const DispatchRank &A : Ranks)
      for (const DispatchRank &B : Ranks)
        CPPUNIT_ASSERT_EQUAL(EarlierLess(A, B), A < B);
  }

  void testShareComesAfterOverdueAndBeforeStartBy() {
    const JobSpec Job = jobOf(1, 6200ms, 2.2, 1200ms);
    DispatchRank Above = rankStep(Job, 0, Now - 5s, Now);
    Above.AboveShare = true;
    const auto Within = rankStep(Job, 0, Now, Now);
    CPPUNIT_ASSERT(Within < Above);
    CPPUNIT_ASSERT(Above < rankStep(Job, 0, Now - 45s, Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchOrderTest);

} // namespace hickory
