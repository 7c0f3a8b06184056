#include "Cell/AdviserChannel.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

class AdviserChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviserChannelTest);
  CPPUNIT_TEST(testUrgentCallsShareAChannel);
  CPPUNIT_TEST(testNoCallWaitsBehindALongCall);
  CPPUNIT_TEST(testDeferrableCallsNeedAnIdleChannel);
  CPPUNIT_TEST(testMaximumShortCallIsHalfTheUrgentLatencyTarget);
  CPPUNIT_TEST(testHelpersCarryLongCalls);
  CPPUNIT_TEST(testSingleProcessCarriesLongAndShortCalls);
  CPPUNIT_TEST(propertyLongCallsLeaveChannelsForShortCalls);
  CPPUNIT_TEST(propertyLearningLeavesChannelsForTickets);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr Clock::time_point Now{};
  static constexpr AdviceCost Urgent{.Time = 10ms, .Urgent = true};
  static constexpr AdviceCost Deferrable{.Time = 80ms};
  static constexpr AdviceCost LongCall{.Time = 600ms, .Long = true};

  // Guards against one call at a time, which limits a process on a slow link to
  // one call per round trip.
  void testUrgentCallsShareAChannel() {
    AdviserChannel Channel({.MaximumUrgentWait = 50ms});
    int AcceptedCalls = 0;
    for (; Channel.canAccept(Urgent, Now); ++AcceptedCalls)
      Channel.beginCall(Urgent, Now);
    CPPUNIT_ASSERT_EQUAL(6, AcceptedCalls);
    CPPUNIT_ASSERT(Channel.canAccept(Urgent, Now + 20ms));
  }

  void testNoCallWaitsBehindALongCall() {
    AdviserChannel Channel;
    Channel.beginCall(LongCall, Now);
    CPPUNIT_ASSERT(!Channel.canAccept(Urgent, Now + 100ms));
    CPPUNIT_ASSERT(!Channel.canAccept(LongCall, Now + 100ms));
    Channel.endCall(Now + 200ms);
    CPPUNIT_ASSERT(Channel.canAccept(Urgent, Now + 200ms));
  }

  void testDeferrableCallsNeedAnIdleChannel() {
    AdviserChannel Channel;
    Channel.beginCall(Urgent, Now);
    CPPUNIT_ASSERT(!Channel.canAccept(Deferrable, Now));
    Channel.endCall(Now);
    CPPUNIT_ASSERT(Channel.canAccept(Deferrable, Now));
  }

  void testMaximumShortCallIsHalfTheUrgentLatencyTarget() {
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

  void testSingleProcessCarriesLongAndShortCalls() {
    CPPUNIT_ASSERT(processesForCalls(true, {"a"}, {}) ==
                   std::set<std::string>{"a"});
    CPPUNIT_ASSERT(processesForCalls(false, {"a"}, {}) ==
                   std::set<std::string>{"a"});
  }

  // Guards against calls that only learn workers on all channels at a time:
  // gangs with reserved capacity then wait for tickets.
  void propertyLearningLeavesChannelsForTickets() {
    CPPUNIT_ASSERT(rc::check([](std::uint8_t Count) {
      std::vector<std::string> All;
      All.reserve(Count);
      for (int I = 0; I < Count; ++I)
        All.push_back(fmt::format("10.0.{}.{}:80", I % 6, I));
      std::vector<std::string> ForLearning = All;
      dropProcessesWithoutLearning(ForLearning);
      const std::size_t Dropped = All.size() < 8 ? 0 : All.size() / 4;
      RC_ASSERT(ForLearning.size() + Dropped == All.size());
    }));
  }

  // Guards against long calls on all channels at a time: with calls of 650 ms
  // for gangs, urgent steps of 0.6 s waited up to 1 s for advice.
  void propertyLongCallsLeaveChannelsForShortCalls() {
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
            for (const std::string &Channel : ForShort)
              RC_ASSERT(!ForLong.contains(Channel));
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviserChannelTest);

} // namespace hickory
