#include "Cell/RunFloor.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class RunFloorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunFloorTest);
  CPPUNIT_TEST(testCoversTheHighestRunAndAllBelow);
  CPPUNIT_TEST(testForgetsOnlyWhatWasNotRaisedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCoversTheHighestRunAndAllBelow() {
    RunFloor Floor(30s);
    const Clock::time_point Start{};
    Floor.raise("a", 3, Start);
    Floor.raise("a", 2, Start + 1s);
    CPPUNIT_ASSERT(Floor.covers("a", 1));
    CPPUNIT_ASSERT(Floor.covers("a", 3));
    CPPUNIT_ASSERT(!Floor.covers("a", 4));
    CPPUNIT_ASSERT(!Floor.covers("b", 1));
  }

  // The former bound of 4,096 tasks dropped the first in the order of names,
  // which could be the run that was stopped last.
  void testForgetsOnlyWhatWasNotRaisedAgain() {
    RunFloor Floor(30s);
    const Clock::time_point Start{};
    Floor.raise("a", 1, Start);
    Floor.raise("b", 1, Start);
    Floor.raise("a", 2, Start + 20s);
    Floor.raise("c", 1, Start + 40s);
    CPPUNIT_ASSERT(Floor.covers("a", 2));
    CPPUNIT_ASSERT(!Floor.covers("b", 1));
    Floor.raise("d", 1, Start + 60s);
    CPPUNIT_ASSERT(!Floor.covers("a", 1));
    CPPUNIT_ASSERT(Floor.covers("c", 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunFloorTest);

} // namespace hickory
