#include "Scheduling/UrgentReserve.h"
#include "Scheduling/UsageEstimator.h"

#include "Base/Random.h"
#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class EstimationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EstimationTest);
  CPPUNIT_TEST(estimateCoversMostUsage);
  CPPUNIT_TEST(estimateFollowsChangedUsage);
  CPPUNIT_TEST(declaredSizeIsUsedUntilEnoughSamples);
  CPPUNIT_TEST(reserveFollowsUrgentDemand);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an estimate below the actual usage of many tasks, with which
  // opportunistic packing overloads workers.
  void estimateCoversMostUsage() {
    UsageEstimator Estimator;
    Random Numbers(11);
    const Resources Declared{4000, 16384, 1};
    const auto Draw = [&] {
      return Resources{
          static_cast<std::uint64_t>(4000 * (0.2 + 0.3 * Numbers.unit())),
          static_cast<std::uint64_t>(16384 * (0.5 + 0.2 * Numbers.unit())), 1};
    };
    for (int Count = 0; Count < 2000; ++Count)
      Estimator.observeUse("sort", Declared, Draw());
    const Resources Estimate = Estimator.estimateUse("sort", Declared);
    int Covered = 0;
    for (int Count = 0; Count < 1000; ++Count)
      Covered += Draw().fitsIn(Estimate) ? 1 : 0;
    CPPUNIT_ASSERT(Covered >= 950);
    CPPUNIT_ASSERT(Estimate.CpusMilli < 2600);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Estimate.Accelerators);
  }

  // Guards against an estimate that does not follow a change of a class.
  void estimateFollowsChangedUsage() {
    UsageEstimator Estimator({.Window = 100});
    for (int Count = 0; Count < 500; ++Count)
      Estimator.observeRun("check", 10s, 1s);
    CPPUNIT_ASSERT(Estimator.estimateRun("check", 10s) < 2s);
    for (int Count = 0; Count < 200; ++Count)
      Estimator.observeRun("check", 10s, 30s);
    CPPUNIT_ASSERT(Estimator.estimateRun("check", 10s) > 30s);
    for (int Count = 0; Count < 200; ++Count)
      Estimator.observeRun("check", 10s, 1s);
    CPPUNIT_ASSERT(Estimator.estimateRun("check", 10s) < 2s);
    CPPUNIT_ASSERT(Estimator.estimateRun("check", Clock::duration::max()) ==
                   Clock::duration::max());
  }

  void declaredSizeIsUsedUntilEnoughSamples() {
    UsageEstimator Estimator({.MinimumSamples = 20});
    const Resources Declared{4000, 16384, 0};
    for (int Count = 0; Count < 19; ++Count)
      Estimator.observeUse("sort", Declared, {400, 1638, 0});
    CPPUNIT_ASSERT(Estimator.estimateUse("sort", Declared) == Declared);
    CPPUNIT_ASSERT(Estimator.estimateUse("other", Declared) == Declared);
    Estimator.observeUse("sort", Declared, {400, 1638, 0});
    CPPUNIT_ASSERT(Estimator.estimateUse("sort", Declared).CpusMilli < 500);
  }

  // Guards against urgent work that waits for batch work to end, and against a
  // reserve that stays after the peak has passed.
  void reserveFollowsUrgentDemand() {
    FakeTimerService Timers;
    UrgentReserve Reserve(
        Timers,
        {.PeakRetention = 10min, .Margin = 1.5, .MaximumFraction = 0.1});
    const Resources Total{100000, 400000, 10};
    CPPUNIT_ASSERT(Reserve.headroom(Total).empty());
    for (int Count = 0; Count < 4; ++Count)
      Reserve.recordDemand({500, 512, 0});
    CPPUNIT_ASSERT(Reserve.headroom(Total) == (Resources{3000, 3072, 0}));
    CPPUNIT_ASSERT(
        Reserve.allowsNonUrgent({1000, 1024, 0}, {4000, 8192, 0}, Total));
    CPPUNIT_ASSERT(
        !Reserve.allowsNonUrgent({1001, 1024, 0}, {4000, 8192, 0}, Total));
    Timers.advance(5min);
    for (int Count = 0; Count < 1000; ++Count)
      Reserve.recordDemand({500, 512, 0});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10000),
                         Reserve.headroom(Total).CpusMilli);
    Timers.advance(11min);
    CPPUNIT_ASSERT(Reserve.headroom(Total).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstimationTest);

} // namespace hickory
