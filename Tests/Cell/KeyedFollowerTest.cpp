#include "Cell/KeyedFollower.h"

#include "Cell/CellTestBench.h"
#include "Cell/ConfigurationRelay.h"
#include "Cell/FakeAdvice.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Asks a follower of the same process, unless it is cut off.
class FakeRelay final : public KeyedRelay {
public:
  explicit FakeRelay(KeyedFollower &Source) : Source_(Source) {}
  asio::awaitable<std::optional<RecordsReply>>
  read(std::uint64_t From, std::chrono::milliseconds Wait,
       Clock::duration Failing) override {
    if (!Reachable || Failing < UsedAfter)
      co_return std::nullopt;
    co_return co_await Source_.recordsFrom(From, Wait);
  }
  bool Reachable = true;
  /// Not used before the reads of the store have failed for this time.
  Clock::duration UsedAfter{0};

private:
  KeyedFollower &Source_;
};

/// An owner that reads the store, and a helper that asks the owner.
struct FollowerBench : CellTestBench {
  FollowerBench() {
    asio::co_spawn(Context, Owner.run(), asio::detached);
    run(100ms);
    asio::co_spawn(Context, Helper.run(), asio::detached);
    run(500ms);
    // From here on only the tests' own changes count.
    HelperStore.TailReads = HelperStore.NewestReads = 0;
  }
  /// Appends a record that both stores return.
  void append(const std::string &Key, std::optional<std::string> Value) {
    OwnerStore.Tail.push_back({.Key = Key, .Value = Value});
    HelperStore.Tail.push_back({.Key = Key, .Value = std::move(Value)});
  }
  static KeyedFollowerOptions options(KeyedRelay *Relay) {
    return {.Name = "test",
            .Topic = "keyed.test",
            .PollWait = 700ms,
            .Relay = Relay};
  }

  FakeStoreClient OwnerStore{Timers};
  FakeStoreClient HelperStore{Timers};
  std::map<std::string, std::string> OwnerValues;
  std::map<std::string, std::string> HelperValues;
  KeyedFollower Owner{
      Timers, OwnerStore, Events, options(nullptr),
      [this](const auto &Values, const auto &) { OwnerValues = Values; }};
  FakeRelay Relay{Owner};
  KeyedFollower Helper{
      Timers, HelperStore, Events, options(&Relay),
      [this](const auto &Values, const auto &) { HelperValues = Values; }};
};

} // namespace

class KeyedFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyedFollowerTest);
  CPPUNIT_TEST(testHelperReadsChangesFromTheOwnerOnly);
  CPPUNIT_TEST(testHelperReadsTheStoreIfTheOwnerDoesNotReachIt);
  CPPUNIT_TEST(testDeletedKeyIsDeletedAtTheHelper);
  CPPUNIT_TEST(testFailedReadIsNotFollowedByAReadOfAllKeys);
  CPPUNIT_TEST(testLargeRecordOnASlowLinkIsReadInTheEnd);
  CPPUNIT_TEST(testRecordAfterASilentOutageIsReadSoon);
  CPPUNIT_TEST(testRelayGoesOnToAnotherOwnerAfterAFailure);
  CPPUNIT_TEST(testProcessThatTheStoreRefusesLearnsFromOthers);
  CPPUNIT_TEST(testRelayAsksRemoteOwnersWhileTheStoreFails);
  CPPUNIT_TEST(testOlderStateOfAnOwnerIsNotTaken);
  CPPUNIT_TEST(testDroppedHistoryReplacesAllValues);
  CPPUNIT_TEST(testLogContainsNoTextOfARecord);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a configuration that the store sends to each process: the
  // link between two regions needs longer for that than the change may take.
  void testHelperReadsChangesFromTheOwnerOnly() {
    FollowerBench Bench;
    for (int I = 1; I <= 5; ++I) {
      Bench.append("config", std::to_string(I));
      Bench.run(1500ms);
      CPPUNIT_ASSERT_EQUAL(std::to_string(I), Bench.HelperValues["config"]);
    }
    CPPUNIT_ASSERT_EQUAL(0, Bench.HelperStore.TailReads);
    CPPUNIT_ASSERT_EQUAL(0, Bench.HelperStore.NewestReads);
  }

  // Guards against a configuration that takes effect late at all processes that
  // rely on an owner without a path to the store.
  void testHelperReadsTheStoreIfTheOwnerDoesNotReachIt() {
    FollowerBench Bench;
    Bench.append("config", "1");
    Bench.run(1500ms);
    Bench.OwnerStore.TailSilent = true;
    // The owner's present read ends.
    Bench.run(1s);
    Bench.append("config", "2");
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Bench.HelperValues["config"]);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Bench.OwnerValues["config"]);
    Bench.OwnerStore.TailSilent = false;
    Bench.Relay.Reachable = false;
    Bench.append("config", "3");
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Bench.HelperValues["config"]);
  }

  // Guards against a withdrawn key that stays in use, also if the owner has
  // started after its deletion.
  void testDeletedKeyIsDeletedAtTheHelper() {
    FollowerBench Bench;
    Bench.append("a", "1");
    Bench.append("b", "1");
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Bench.HelperValues.size());
    Bench.append("a", std::nullopt);
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.HelperValues.size());
    CPPUNIT_ASSERT_EQUAL(0, Bench.HelperStore.TailReads);
  }

  // Guards against an outage after which each process reads the whole topic.
  void testFailedReadIsNotFollowedByAReadOfAllKeys() {
    FollowerBench Bench;
    const int Before = Bench.OwnerStore.NewestReads;
    Bench.OwnerStore.TailSilent = true;
    Bench.run(10s);
    Bench.append("config", "1");
    Bench.OwnerStore.TailSilent = false;
    Bench.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Bench.OwnerValues["config"]);
    CPPUNIT_ASSERT_EQUAL(Before, Bench.OwnerStore.NewestReads);
  }

  // Guards against a record that is never read, as each transfer is cut off by
  // the same timeout and begins anew.
  void testLargeRecordOnASlowLinkIsReadInTheEnd() {
    FollowerBench Bench;
    Bench.OwnerStore.TailTime = 3500ms;
    Bench.append("config", "1");
    Bench.run(20s);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Bench.OwnerValues["config"]);
  }

  // Guards against a configuration that takes effect late: a read without an
  // answer counted as a slow transfer, so that the next one waited for seconds
  // although the store answered again.
  void testRecordAfterASilentOutageIsReadSoon() {
    for (std::chrono::milliseconds Outage = 500ms; Outage <= 9500ms;
         Outage += 250ms) {
      FollowerBench Bench;
      Bench.OwnerStore.TailSilent = true;
      Bench.run(Outage);
      Bench.OwnerStore.TailSilent = false;
      Bench.append("config", "1");
      Bench.run(2s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Outage.count()),
                                   std::string("1"),
                                   Bench.OwnerValues["config"]);
    }
  }

  // Guards against a helper that keeps asking an owner that does not answer.
  void testRelayGoesOnToAnotherOwnerAfterAFailure() {
    CellTestBench Bench;
    FakeAdvicePeers Peers;
    ConfigurationRelay Relay(Peers, "10.0.0.1:7000", [](Clock::duration) {
      return std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000"};
    });
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT(!**Bench.begin(Relay.read(0, 700ms, 0ms)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Peers.Relayed.size());
  }

  // Guards against a withdrawn key that stays in use at a process which the
  // store refuses, and against an owner that asks others for good after that.
  void testProcessThatTheStoreRefusesLearnsFromOthers() {
    for (const bool Silent : {true, false}) {
      FollowerBench Bench;
      // As for an owner.
      Bench.Relay.UsedAfter = 1s;
      Bench.run(2s);
      Bench.HelperStore.TailSilent = Silent;
      Bench.HelperStore.TailRefused = !Silent;
      Bench.append("config", "1");
      Bench.run(4s);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Bench.HelperValues["config"]);
      Bench.append("config", "2");
      Bench.run(2500ms);
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Bench.HelperValues["config"]);
      // It does not pass on what it may not know to be the latest.
      CPPUNIT_ASSERT(
          !(*Bench.begin(Bench.Helper.recordsFrom(0, 0ms)))->Current);
      Bench.HelperStore.TailSilent = Bench.HelperStore.TailRefused = false;
      Bench.Relay.Reachable = false;
      Bench.run(1500ms);
      Bench.append("config", "3");
      Bench.run(1500ms);
      CPPUNIT_ASSERT_EQUAL(std::string("3"), Bench.HelperValues["config"]);
      CPPUNIT_ASSERT((*Bench.begin(Bench.Helper.recordsFrom(0, 0ms)))->Current);
    }
  }

  // Guards against a process that finds no other one with the records while the
  // store refuses its whole failure domain.
  void testRelayAsksRemoteOwnersWhileTheStoreFails() {
    CellTestBench Bench;
    FakeAdvicePeers Peers;
    const std::vector<std::string> Nearby = {"n1", "n2", "n3"};
    const std::vector<std::string> Remote = {"r1"};
    Peers.Records["r1"] = {.Current = true, .NextOffset = 5};
    Peers.Records["n1"] = {.Current = false, .NextOffset = 9};
    const auto Sources = [&](Clock::duration Failing) {
      return Failing > 0ms ? ConfigurationRelay::alternate(Nearby, Remote)
                           : Nearby;
    };
    for (int I = 0; I < 8; ++I) {
      ConfigurationRelay Relay(Peers, "10.0.0." + std::to_string(I), Sources);
      CPPUNIT_ASSERT(!**Bench.begin(Relay.read(0, 0ms, 0ms)));
      CPPUNIT_ASSERT(**Bench.begin(Relay.read(0, 0ms, 1s)));
    }
  }

  // Guards against a withdrawn key that an older state of another process
  // brings back.
  void testOlderStateOfAnOwnerIsNotTaken() {
    CellTestBench Bench;
    FakeAdvicePeers Peers;
    Peers.Records["old"] = {
        .Current = true,
        .Records = {{.Key = "config", .Value = "old", .Offset = 3}},
        .Keys = {"config"},
        .NextOffset = 4};
    ConfigurationRelay Relay(Peers, "own", [](Clock::duration) {
      return std::vector<std::string>{"old"};
    });
    std::map<std::string, std::string> Values;
    for (int I = 0; I < 6; ++I)
      Bench.Store.Tail.push_back({.Key = "config", .Value = std::to_string(I)});
    KeyedFollower Follower(
        Bench.Timers, Bench.Store, Bench.Events,
        FollowerBench::options(nullptr),
        [&](const auto &Read, const auto &) { Values = Read; });
    asio::co_spawn(Bench.Context, Follower.run(), asio::detached);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), Values["config"]);
    CPPUNIT_ASSERT(!**Bench.begin(Relay.read(6, 0ms, 1s)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Peers.Relayed.size());
    // Its own state is not passed on to a process that knows more.
    const auto Reply = Bench.begin(Follower.recordsFrom(9, 0ms));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), (*Reply)->NextOffset);
  }

  // Guards against a withdrawn key that stays in use after a read whose answer
  // was lost, or after the store has dropped the history.
  void testDroppedHistoryReplacesAllValues() {
    FollowerBench Bench;
    Bench.append("a", "1");
    Bench.append("b", "1");
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Bench.OwnerValues.size());
    Bench.OwnerStore.put(0, "b", "2");
    Bench.OwnerStore.TailSilent = true;
    Bench.run(2s);
    Bench.OwnerStore.TailSilent = false;
    Bench.OwnerStore.ExpiredReads = 1;
    Bench.OwnerStore.Tail.clear();
    Bench.run(2s);
    CPPUNIT_ASSERT((std::map<std::string, std::string>{{"b", "2"}}) ==
                   Bench.OwnerValues);
  }

  // Guards against keys in the log: records are relayed as they are.
  void testLogContainsNoTextOfARecord() {
    FollowerBench Bench;
    Bench.append("config", "secret");
    Bench.run(2s);
    Bench.HelperStore.TailRefused = true;
    Bench.Relay.UsedAfter = 1s;
    Bench.append("config", "secret 2");
    Bench.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::string("secret 2"), Bench.HelperValues["config"]);
    const std::string Lines = Bench.Events.linesFrom(0);
    CPPUNIT_ASSERT(Lines.find("relayed_instead") != std::string::npos);
    CPPUNIT_ASSERT(Lines.find("secret") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyedFollowerTest);

} // namespace hickory
