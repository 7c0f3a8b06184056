#include "Cell/WorkerHealth.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class WorkerHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerHealthTest);
  CPPUNIT_TEST(testWorkerThatFailsAllRunsIsQuarantined);
  CPPUNIT_TEST(testJobThatFailsEverywhereQuarantinesNoWorker);
  CPPUNIT_TEST(testSuccessClearsFailures);
  CPPUNIT_TEST(testOverdueRunQuarantinesTheWorker);
  CPPUNIT_TEST(testRunsWithRoughEstimatesAreNotJudged);
  CPPUNIT_TEST(testOrdinarySpreadIsNotSlow);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr Clock::time_point Begin{};

  // Guards against a worker that fails every run: as it is always free, it got
  // ever more work and used up the attempts of sound jobs.
  void testWorkerThatFailsAllRunsIsQuarantined() {
    WorkerHealth Health({.QuarantineTime = 2s});
    for (const char *Task : {"a.0.0.0", "b.0.0.0"})
      Health.recordEnd(Task, 1, true, Begin);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin));
    Health.recordEnd("c.0.0.0", 1, true, Begin);
    CPPUNIT_ASSERT(Health.isQuarantined(Begin + 1s));
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin + 3s));
    // One more failure is enough until a run succeeds.
    Health.recordEnd("d.0.0.0", 1, true, Begin + 4s);
    CPPUNIT_ASSERT(Health.isQuarantined(Begin + 4s));
  }

  void testJobThatFailsEverywhereQuarantinesNoWorker() {
    WorkerHealth Health;
    for (int Index = 0; Index < 8; ++Index)
      Health.recordEnd("a.0.0." + std::to_string(Index), 1, true, Begin);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin));
  }

  void testSuccessClearsFailures() {
    WorkerHealth Health;
    Health.recordEnd("a.0.0.0", 1, true, Begin);
    Health.recordEnd("b.0.0.0", 1, true, Begin);
    Health.recordEnd("c.0.0.0", 1, false, Begin);
    Health.recordEnd("d.0.0.0", 1, true, Begin);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin));
  }

  void testOverdueRunQuarantinesTheWorker() {
    WorkerHealth Health;
    Health.recordStart("a.0.0.0", 1, 600ms, Begin);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin + 1500ms));
    CPPUNIT_ASSERT(Health.isQuarantined(Begin + 1700ms));
    Health.forget("a.0.0.0", 1);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin + 10s));
  }

  void testRunsWithRoughEstimatesAreNotJudged() {
    WorkerHealth Health;
    Health.recordStart("a.0.0.0", 1, 0ms, Begin);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin + 60s));
  }

  // Guards against false alarms: estimates of urgent steps are off by up to a
  // half, and sound workers run at 0.8 of the usual speed.
  void testOrdinarySpreadIsNotSlow() {
    WorkerHealth Health;
    Health.recordStart("a.0.0.0", 1, 600ms, Begin);
    Health.recordEnd("a.0.0.0", 1, false, Begin + 600ms * 3 / 2 * 5 / 4);
    CPPUNIT_ASSERT(!Health.isQuarantined(Begin + 1200ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerHealthTest);

} // namespace hickory
