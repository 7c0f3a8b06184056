#include "Cell/WaitingJobsView.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start{std::chrono::hours(1)};

ShardWaitingJobs reportOf(int Shard, std::uint64_t Epoch, int Jobs) {
  return {.Shard = Shard, .Epoch = Epoch, .Jobs = {{"queue", Jobs}}};
}

} // namespace

class WaitingJobsViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingJobsViewTest);
  CPPUNIT_TEST(testMissingShardLeavesTheNumberUnknown);
  CPPUNIT_TEST(testReportOfAFormerOwnerDoesNotReplaceThatOfTheNext);
  CPPUNIT_TEST(testOldReportLeavesTheNumberUnknown);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a sum that leaves out a shard without a report.
  void testMissingShardLeavesTheNumberUnknown() {
    WaitingJobsView View(2);
    View.apply(reportOf(0, 1, 3), Start);
    CPPUNIT_ASSERT(!View.count("queue", Start).Jobs);
    CPPUNIT_ASSERT_EQUAL(1, View.count("queue", Start).MissingShards);
    View.apply(reportOf(1, 1, 4), Start);
    CPPUNIT_ASSERT_EQUAL(7, View.count("queue", Start).Jobs.value());
    CPPUNIT_ASSERT_EQUAL(0, View.count("other", Start).Jobs.value());
  }

  // Guards against a late reply of a process that has lost the shard.
  void testReportOfAFormerOwnerDoesNotReplaceThatOfTheNext() {
    WaitingJobsView View(1);
    View.apply(reportOf(0, 2, 5), Start);
    View.apply(reportOf(0, 1, 1), Start + 100ms);
    CPPUNIT_ASSERT_EQUAL(5, View.count("queue", Start + 100ms).Jobs.value());
  }

  // Guards against an old number that is answered as if it were new.
  void testOldReportLeavesTheNumberUnknown() {
    WaitingJobsView View(2);
    View.apply(reportOf(0, 1, 3), Start);
    View.apply(reportOf(1, 1, 4), Start + 1s);
    const auto Latest = Start + WaitingJobsView::MaximumAge;
    CPPUNIT_ASSERT_EQUAL(7, View.count("queue", Latest).Jobs.value());
    CPPUNIT_ASSERT(!View.count("queue", Latest + 1ms).Jobs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingJobsViewTest);

} // namespace hickory
