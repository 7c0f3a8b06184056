#include "CellScale/GangShareCheck.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

class WideGangFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WideGangFaultTest);
  CPPUNIT_TEST(testLargestGangsAreServedWhileProcessesStop);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against wide gangs that lose what was collected or learnt for them
  // when processes stop, beside advisers that are busy for most of the time.
  void testLargestGangsAreServedWhileProcessesStop() {
    MixedLoadOptions Options = chosenMixedLoad();
    Options.Helpers = 60;
    Options.StopInterval = std::chrono::milliseconds(1000);
    Options.KilledShare = 0.3;
    checkLargestGangs(Options);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WideGangFaultTest);

} // namespace hickory
