#include "CellScale/GangShareCheck.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

class WideGangShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WideGangShareTest);
  CPPUNIT_TEST(testLargestGangsAreServedAsOftenAsOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against gangs that are served the less the wider they are.
  void testLargestGangsAreServedAsOftenAsOthers() {
    checkLargestGangs(chosenMixedLoad());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WideGangShareTest);

} // namespace hickory
