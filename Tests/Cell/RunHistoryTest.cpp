#include "Cell/RunHistory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

constexpr const char *Job = "0123456789abcdef";
constexpr const char *First = "0123456789abcdef.0.0.0";
constexpr const char *Other = "0123456789abcdef.0.0.1";
constexpr const char *Dependent = "0123456789abcdef.0.1.0";

struct HistoryBench {
  HistoryBench() {
    JobSpec Spec{.Id = Job};
    Spec.Queue.MaximumAttempts = 2;
    StepSpec Step{.Count = 2};
    Step.Demand = {.CpusMilli = 1000};
    Spec.Steps.push_back(Step);
    Step.Count = 1;
    Step.DependsOn = {0};
    Spec.Steps.push_back(Step);
    History.submitted(Spec);
    History.workerUp("v", {.CpusMilli = 4000});
    History.workerUp("w", {.CpusMilli = 1000});
  }
  void run(const char *Task, int Run, const char *How) {
    History.started("v", Task, Run);
    History.ended("v", Task, Run, How);
  }
  /// Returns the number of violations of that rule.
  [[nodiscard]] std::size_t violationsOf(const std::string &Rule) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(History.violations(), [&](const auto &Line) {
          return Line.starts_with(Rule + " ");
        }));
  }
  [[nodiscard]] std::size_t violationsOf() const {
    return History.violations().size();
  }
  RunHistory History;
};

} // namespace

/// Violates each rule of the checker once, which guards against checks that
/// never fail.
class RunHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunHistoryTest);
  CPPUNIT_TEST(testCompletedJobViolatesNoRule);
  CPPUNIT_TEST(testTwoRunsAtATime);
  CPPUNIT_TEST(testRestartedWorkerRunsNothing);
  CPPUNIT_TEST(testStartAfterAnAcknowledgedEnd);
  CPPUNIT_TEST(testStartBeforeTheEndIsAcknowledged);
  CPPUNIT_TEST(testEndThatIsNeverAcknowledgedMayBeRepeated);
  CPPUNIT_TEST(testEndBeforeALeaseExpiryMayBeRepeated);
  CPPUNIT_TEST(testStartBeyondTheAttempts);
  CPPUNIT_TEST(testMoreThanTheCapacity);
  CPPUNIT_TEST(testStartBeforeItsStepMayBegin);
  CPPUNIT_TEST(testStartOfAnUnknownJob);
  CPPUNIT_TEST(testAcceptedJobThatIsNotCompleted);
  CPPUNIT_TEST(testJobShownAsCompletedTooEarly);
  CPPUNIT_TEST(testStartOfARefusedJob);
  CPPUNIT_TEST(testRunThatGoesOnAtTheEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCompletedJobViolatesNoRule() {
    HistoryBench Bench;
    Bench.History.answered(Job, 200);
    Bench.run(First, 1, "done");
    Bench.History.acknowledged("v", First, 1, "done", true);
    Bench.run(Other, 1, "failed");
    Bench.History.acknowledged("v", Other, 1, "failed", true);
    Bench.run(Other, 2, "done");
    Bench.run(Dependent, 1, "done");
    Bench.History.checkFinalState(
        [](const std::string &) { return "completed"; });
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.History.report());
  }

  void testTwoRunsAtATime() {
    HistoryBench Bench;
    Bench.History.started("v", First, 1);
    Bench.History.started("w", First, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("TWICE"));
  }

  void testRestartedWorkerRunsNothing() {
    HistoryBench Bench;
    Bench.History.started("v", First, 1);
    Bench.History.workerDown("v");
    Bench.History.started("w", First, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
  }

  void testStartAfterAnAcknowledgedEnd() {
    HistoryBench Bench;
    Bench.run(First, 1, "done");
    Bench.History.acknowledged("v", First, 1, "done", true);
    Bench.History.started("w", First, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("TWICE"));
  }

  void testStartBeforeTheEndIsAcknowledged() {
    HistoryBench Bench;
    Bench.run(First, 1, "done");
    Bench.History.started("w", First, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
    Bench.History.acknowledged("v", First, 1, "done", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("TWICE"));
  }

  void testEndThatIsNeverAcknowledgedMayBeRepeated() {
    HistoryBench Bench;
    Bench.run(First, 1, "done");
    Bench.History.workerDown("v");
    Bench.History.started("w", First, 2);
    Bench.History.ended("w", First, 2, "done");
    Bench.History.acknowledged("w", First, 2, "done", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
  }

  void testEndBeforeALeaseExpiryMayBeRepeated() {
    HistoryBench Bench;
    Bench.run(First, 1, "done");
    Bench.History.started("w", First, 2);
    Bench.History.acknowledged("v", First, 1, "done", false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
  }

  void testStartBeyondTheAttempts() {
    HistoryBench Bench;
    Bench.run(First, 1, "failed");
    Bench.run(First, 2, "failed");
    Bench.run(First, 3, "done");
    Bench.History.acknowledged("v", First, 1, "failed", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
    Bench.History.acknowledged("v", First, 2, "failed", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("BUDGET"));
  }

  void testMoreThanTheCapacity() {
    HistoryBench Bench;
    Bench.History.started("w", First, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.violationsOf());
    Bench.History.started("w", Other, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("LIMIT"));
  }

  void testStartBeforeItsStepMayBegin() {
    HistoryBench Bench;
    Bench.run(First, 1, "done");
    Bench.run(Other, 1, "stopped");
    Bench.History.started("v", Dependent, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("ORDER"));
  }

  void testStartOfAnUnknownJob() {
    HistoryBench Bench;
    Bench.History.started("v", "fedcba9876543210.0.0.0", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("UNASKED"));
  }

  void testAcceptedJobThatIsNotCompleted() {
    HistoryBench Bench;
    Bench.History.answered(Job, 200);
    Bench.History.checkFinalState(
        [](const std::string &) { return "running"; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("LOST"));
  }

  void testJobShownAsCompletedTooEarly() {
    HistoryBench Bench;
    Bench.History.answered(Job, 200);
    Bench.run(First, 1, "done");
    Bench.History.checkFinalState(
        [](const std::string &) { return "completed"; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("MIXED"));
  }

  void testStartOfARefusedJob() {
    HistoryBench Bench;
    Bench.History.answered(Job, 503);
    Bench.run(First, 1, "done");
    Bench.History.checkFinalState([](const std::string &) { return "410"; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("REFUSED"));
  }

  void testRunThatGoesOnAtTheEnd() {
    HistoryBench Bench;
    Bench.History.started("v", First, 1);
    Bench.History.checkFinalState(
        [](const std::string &) { return "completed"; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.violationsOf("UNASKED"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunHistoryTest);

} // namespace hickory
