#include "Cell/AdviceRouter.h"

#include "Cell/CellTestBench.h"
#include "Cell/FakeAdvice.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class AdviceRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviceRouterTest);
  CPPUNIT_TEST(testUrgentCallUsesAPeerDuringALongCall);
  CPPUNIT_TEST(testLongCallDoesNotUseAChannelForShortCalls);
  CPPUNIT_TEST(testLongCallUsesAChannelWithoutShortCalls);
  CPPUNIT_TEST(testCallsForTicketsHaveChannelsWithoutLearning);
  CPPUNIT_TEST(testTriesTheNextPeerWhenAChannelIsBusy);
  CPPUNIT_TEST(testBusyPeersAreNotAskedAgainAtOnce);
  CPPUNIT_TEST(testCannotAskWithABusyChannelAndNoPeers);
  CPPUNIT_TEST(testAnswersPeersOnlyOnAFreeChannel);
  CPPUNIT_TEST_SUITE_END();

public:
  /// A process of a cell where "a" and "b" carry long calls, "c" and "d" short
  /// ones.
  struct Cell {
    explicit Cell(const std::string &Own)
        : Router(Bench.Timers, Adviser, Peers, {.Address = Own}) {
      Router.setProcessLists(
          [] {
            return std::set<std::string>{"a", "b", "c", "d"};
          },
          [] { return std::set<std::string>(); });
    }
    auto ask(const std::string &Step, const AdviceCost &Cost) {
      return Bench.begin(
          Router.ask({.Step = Step, .Workers = {"w"}, .Cost = Cost}));
    }
    CellTestBench Bench;
    FakeAdviceClient Adviser{Bench.Timers, 600ms};
    FakeAdvicePeers Peers;
    AdviceRouter Router;
  };

  static constexpr AdviceCost Urgent{.Time = 10ms, .Urgent = true};
  static constexpr AdviceCost LongCall{.Time = 600ms, .Long = true};

  // Guards against urgent steps that wait while the channel of their process is
  // busy with a long call.
  void testUrgentCallUsesAPeerDuringALongCall() {
    Cell At("a");
    const auto First = At.ask("gang", LongCall);
    const auto Second = At.ask("urgent", Urgent);
    CPPUNIT_ASSERT(!*First);
    CPPUNIT_ASSERT(*Second && Second->value()->Good.size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), At.Peers.Called.size());
    CPPUNIT_ASSERT(At.Peers.Called[0] == "c" || At.Peers.Called[0] == "d");
    At.Bench.run(600ms);
    CPPUNIT_ASSERT(First->value()->Good.size() == 1);
  }

  // Guards against reserved capacity that waits for tickets behind calls that
  // only learn which workers are good.
  void testCallsForTicketsHaveChannelsWithoutLearning() {
    CellTestBench Bench;
    FakeAdviceClient Adviser{Bench.Timers, 600ms};
    FakeAdvicePeers Peers;
    AdviceRouter Router(Bench.Timers, Adviser, Peers, {.Address = "own"});
    std::set<std::string> Helpers;
    for (int I = 0; I < 40; ++I)
      Helpers.insert("10.0.0." + std::to_string(I) + ":80");
    Router.setProcessLists([] { return std::set<std::string>{"own"}; },
                           [&] { return Helpers; });
    AdviceCost Learning = LongCall;
    Learning.Learning = true;
    std::set<std::string> UsedForLearning;
    while (Router.canAsk(Learning)) {
      const std::size_t Before = Peers.Called.size();
      Bench.begin(
          Router.ask({.Step = "a", .Workers = {"w"}, .Cost = Learning}));
      CPPUNIT_ASSERT(Peers.Called.size() > Before);
      // Its channel stays busy.
      Peers.Busy.insert(Peers.Called.back());
      Peers.FreeIn = 600ms;
      if (!UsedForLearning.insert(Peers.Called.back()).second)
        break;
    }
    const auto Answer = Bench.begin(
        Router.ask({.Step = "b", .Workers = {"w"}, .Cost = LongCall}));
    CPPUNIT_ASSERT(*Answer && Answer->value().has_value());
    CPPUNIT_ASSERT(!UsedForLearning.contains(Peers.Called.back()));
  }

  void testLongCallDoesNotUseAChannelForShortCalls() {
    Cell At("c");
    const auto Answer = At.ask("gang", LongCall);
    CPPUNIT_ASSERT(*Answer);
    CPPUNIT_ASSERT(At.Adviser.Asked.empty());
    CPPUNIT_ASSERT(At.Peers.Called[0] == "a" || At.Peers.Called[0] == "b");
    CPPUNIT_ASSERT(At.Peers.Calls[0].Long);
  }

  // Guards against gangs that wait for advice on half of the channels while
  // nothing else asks for any.
  void testLongCallUsesAChannelWithoutShortCalls() {
    Cell At("c");
    At.Bench.run(1s);
    const auto First = At.ask("gang", LongCall);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), At.Adviser.Asked.size());
    CPPUNIT_ASSERT(At.Peers.Called.empty());
    At.Bench.run(1s);
    At.ask("urgent", Urgent);
    At.Bench.run(999ms);
    At.ask("gang", LongCall);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), At.Adviser.Asked.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), At.Peers.Called.size());
  }

  void testTriesTheNextPeerWhenAChannelIsBusy() {
    Cell At("c");
    At.Peers.Busy = {"a"};
    const auto Answer = At.ask("gang", LongCall);
    CPPUNIT_ASSERT(*Answer && Answer->value().has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), At.Peers.Called.back());
    At.Peers.Busy = {"a", "b"};
    const auto Refused = At.ask("gang", LongCall);
    CPPUNIT_ASSERT(*Refused);
    CPPUNIT_ASSERT(ErrorCode::Overloaded == Refused->value().error().Code);
  }

  // Guards against a process that asks busy peers again and again: the calls
  // that they refuse take the time of both.
  void testBusyPeersAreNotAskedAgainAtOnce() {
    Cell At("c");
    At.Peers.Busy = {"a", "b"};
    At.Peers.FreeIn = 300ms;
    At.ask("gang", LongCall);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), At.Peers.Called.size());
    CPPUNIT_ASSERT(!At.Router.canAsk(LongCall));
    At.Bench.run(200ms);
    At.ask("gang", LongCall);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), At.Peers.Called.size());
    At.Bench.run(200ms);
    At.Peers.Busy.clear();
    CPPUNIT_ASSERT(At.Router.canAsk(LongCall));
    const auto Answer = At.ask("gang", LongCall);
    CPPUNIT_ASSERT(*Answer && Answer->value().has_value());
  }

  // Guards against steps that keep asking although neither the own channel nor
  // a peer can take the call. With peers, a further call is possible.
  void testCannotAskWithABusyChannelAndNoPeers() {
    Cell At("a");
    CPPUNIT_ASSERT(At.Router.canAsk(LongCall));
    const auto First = At.ask("gang", LongCall);
    CPPUNIT_ASSERT(At.Router.canAsk(LongCall));
    AdviceRouter Alone(At.Bench.Timers, At.Adviser, At.Peers, {.Address = "a"});
    Alone.setProcessLists([] { return std::set<std::string>{"a"}; },
                          [] { return std::set<std::string>(); });
    const auto Only =
        At.Bench.begin(Alone.ask({.Step = "gang", .Cost = LongCall}));
    CPPUNIT_ASSERT(!Alone.canAsk(LongCall));
    CPPUNIT_ASSERT(!Alone.canAsk(Urgent));
  }

  void testAnswersPeersOnlyOnAFreeChannel() {
    Cell At("a");
    const AdviseRequest Request{
        .Step = "other", .Workers = {"w"}, .Milliseconds = 600, .Long = true};
    const auto First = At.Bench.begin(At.Router.askOnBehalfOfPeer(Request));
    const auto Second = At.Bench.begin(At.Router.askOnBehalfOfPeer(Request));
    CPPUNIT_ASSERT(*Second && !Second->value().Answered);
    At.Bench.run(600ms);
    CPPUNIT_ASSERT(*First && First->value().Answered);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket"), First->value().Tickets[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceRouterTest);

} // namespace hickory
