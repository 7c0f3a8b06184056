#include "CellScale/GangShareCheck.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class GangRecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangRecoveryTest);
  CPPUNIT_TEST(testWaitsComeBackAfterABurstAndKilledProcesses);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Three times the mean time for which a member of a gang runs.
  static constexpr std::chrono::milliseconds LongestWait{12000};

  // Guards against gangs that go on waiting after a burst and killed processes,
  // in the calm that follows (metastable failure).
  void testWaitsComeBackAfterABurstAndKilledProcesses() {
    MixedLoadOptions Options = chosenMixedLoad();
    Options.Load = 1;
    Options.Arrivals = 22s;
    Options.Tail = 14s;
    Options.BurstBegin = 4s;
    Options.BurstLength = 4s;
    Options.GangBurst = 1.8;
    Options.CheckBurst = 1.9;
    Options.KillAt = 8s;
    Options.KilledShare = 0.3;
    MixedLoadBench Bench(Options);
    Bench.runLoad();
    const std::string Report = Bench.report() + Bench.reportByTime();
    std::cerr << '\n' << Report;
    const auto After =
        Bench.jobsByWork(MixedLoadBench::GangQueue, 14s, Options.Arrivals);
    const auto Largest = MixedLoadBench::largestTenth(After);
    CPPUNIT_ASSERT_MESSAGE(Report, 2 * MixedLoadBench::servedShare(Largest) >=
                                       MixedLoadBench::servedShare(After));
    CPPUNIT_ASSERT_MESSAGE(Report, Bench.longestWait(After) <= LongestWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangRecoveryTest);

} // namespace hickory
