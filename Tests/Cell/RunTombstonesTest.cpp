#include "Cell/RunTombstones.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class RunTombstonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTombstonesTest);
  CPPUNIT_TEST(testCoversTheHighestRunAndAllBelow);
  CPPUNIT_TEST(testDropsOnlyEntriesThatWereNotRenewed);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCoversTheHighestRunAndAllBelow() {
    RunTombstones Tombstones(30s);
    const Clock::time_point Start{};
    Tombstones.add("a", 3, Start);
    Tombstones.add("a", 2, Start + 1s);
    CPPUNIT_ASSERT(Tombstones.covers("a", 1));
    CPPUNIT_ASSERT(Tombstones.covers("a", 3));
    CPPUNIT_ASSERT(!Tombstones.covers("a", 4));
    CPPUNIT_ASSERT(!Tombstones.covers("b", 1));
  }

  // Guards against dropping a recent entry: a limit of 4,096 tasks used to drop
  // the first entry by name, which could be that of the run stopped last.
  void testDropsOnlyEntriesThatWereNotRenewed() {
    RunTombstones Tombstones(30s);
    const Clock::time_point Start{};
    Tombstones.add("a", 1, Start);
    Tombstones.add("b", 1, Start);
    Tombstones.add("a", 2, Start + 20s);
    Tombstones.add("c", 1, Start + 40s);
    CPPUNIT_ASSERT(Tombstones.covers("a", 2));
    CPPUNIT_ASSERT(!Tombstones.covers("b", 1));
    Tombstones.add("d", 1, Start + 60s);
    CPPUNIT_ASSERT(!Tombstones.covers("a", 1));
    CPPUNIT_ASSERT(Tombstones.covers("c", 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTombstonesTest);

} // namespace hickory
