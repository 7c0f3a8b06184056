#include "Cell/AdviserChannel.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

class AdviserChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviserChannelTest);
  CPPUNIT_TEST(testUrgentCallsShareALine);
  CPPUNIT_TEST(testNothingWaitsBehindALongCall);
  CPPUNIT_TEST(testPatientCallsNeedAnIdleLine);
  CPPUNIT_TEST(testShortCallIsHalfOfTheUrgentTarget);
  CPPUNIT_TEST(testHelpersCarryLongCalls);
  CPPUNIT_TEST(testOneProcessCarriesBoth);
  CPPUNIT_TEST(propertyLongCallsLeaveLinesToShortOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr Clock::time_point Now{};
  static constexpr AdviceCost Urgent{.Time = 10ms, .Urgent = true};
  static constexpr AdviceCost Patient{.Time = 80ms};
  static constexpr AdviceCost LongCall{.Time = 600ms, .Long = true};

  // With one call at a time, a process behind a slow link could ask only once
  // per round trip.
  void testUrgentCallsShareALine() {
    AdviserChannel Line({.UrgentWait = 50ms});
    int Taken = 0;
    for (; Line.takes(Urgent, Now); ++Taken)
      Line.begin(Urgent, Now);
    CPPUNIT_ASSERT_EQUAL(6, Taken);
    CPPUNIT_ASSERT(Line.takes(Urgent, Now + 20ms));
  }

  void testNothingWaitsBehindALongCall() {
    AdviserChannel Line;
    Line.begin(LongCall, Now);
    CPPUNIT_ASSERT(!Line.takes(Urgent, Now + 100ms));
    CPPUNIT_ASSERT(!Line.takes(LongCall, Now + 100ms));
    Line.end(Now + 200ms);
    CPPUNIT_ASSERT(Line.takes(Urgent, Now + 200ms));
  }

  void testPatientCallsNeedAnIdleLine() {
    AdviserChannel Line;
    Line.begin(Urgent, Now);
    CPPUNIT_ASSERT(!Line.takes(Patient, Now));
    Line.end(Now);
    CPPUNIT_ASSERT(Line.takes(Patient, Now));
  }

  void testShortCallIsHalfOfTheUrgentTarget() {
    CellConfiguration In;
    CPPUNIT_ASSERT(maxShortCallTime(In) > 0ms);
    In.Queues = {{.Priority = 1, .TargetLatency = 100ms},
                 {.Priority = 0, .TargetLatency = 300ms}};
    CPPUNIT_ASSERT(maxShortCallTime(In) == 150ms);
  }

  void testHelpersCarryLongCalls() {
    const std::set<std::string> Owners{"a", "b"};
    const std::set<std::string> Helpers{"x", "y", "z"};
    CPPUNIT_ASSERT(processesForCalls(true, Owners, Helpers) == Helpers);
    CPPUNIT_ASSERT(processesForCalls(false, Owners, Helpers) == Owners);
  }

  void testOneProcessCarriesBoth() {
    CPPUNIT_ASSERT(processesForCalls(true, {"a"}, {}) ==
                   std::set<std::string>{"a"});
    CPPUNIT_ASSERT(processesForCalls(false, {"a"}, {}) ==
                   std::set<std::string>{"a"});
  }

  // Load: calls of 650 ms for gangs came on all lines at a time, and urgent
  // steps of 0.6 s waited up to 1 s for advice.
  void propertyLongCallsLeaveLinesToShortOnes() {
    CPPUNIT_ASSERT(rc::check(
        [](std::set<std::string> Owners, std::set<std::string> Helpers) {
          RC_PRE(Owners.size() + Helpers.size() > 0U);
          const auto ForLong = processesForCalls(true, Owners, Helpers);
          const auto ForShort = processesForCalls(false, Owners, Helpers);
          RC_ASSERT(!ForLong.empty());
          RC_ASSERT(!ForShort.empty());
          auto All = Owners;
          All.insert(Helpers.begin(), Helpers.end());
          RC_ASSERT(2 * ForLong.size() >= All.size());
          if (ForLong.size() < All.size())
            for (const std::string &Line : ForShort)
              RC_ASSERT(!ForLong.contains(Line));
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviserChannelTest);

} // namespace hickory
