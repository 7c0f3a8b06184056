#include "Cell/ShardMembership.h"

#include "Cell/CellTestBench.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

struct MembershipBench : CellTestBench {
  MembershipBench() {
    Shards.onAssigned([this](int Shard, std::uint64_t Epoch) {
      Assigned.emplace_back(Shard, Epoch);
    });
    Shards.onRevoked([this](int Shard) { Revoked.push_back(Shard); });
  }
  ~MembershipBench() { Shards.stop(); }
  void start() {
    asio::co_spawn(Context, Shards.run(), asio::detached);
    run(100ms);
  }
  ShardMembership Shards{Context.get_executor(),
                         Timers,
                         Store,
                         Events,
                         {.Member = "10.0.0.1:7000/b"}};
  std::vector<std::pair<int, std::uint64_t>> Assigned;
  std::vector<int> Revoked;
};

} // namespace

class ShardMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardMembershipTest);
  CPPUNIT_TEST(testEpochIsTheGenerationOfTheAssignment);
  CPPUNIT_TEST(testShardsAreKeptWhileTheStoreIsAway);
  CPPUNIT_TEST(testChangesDuringAbsenceAreNotMissed);
  CPPUNIT_TEST(testFencedShardIsTakenAgainInLaterGenerationOnly);
  CPPUNIT_TEST(testShardFencedInAnEarlierTermIsTakenInTheCurrentOne);
  CPPUNIT_TEST(testClaimOfFormerHolderIsRefused);
  CPPUNIT_TEST(testTermIsKnownOnceItsHolderIsHeard);
  CPPUNIT_TEST(testHolderIsListedOnlyByALaterReading);
  CPPUNIT_TEST(testProcessAtTheSameAddressIsAnotherHolder);
  CPPUNIT_TEST(testShardIsNotTakenBelowAHeardTerm);
  CPPUNIT_TEST(testPredecessorAtTheSameAddressIsRemoved);
  CPPUNIT_TEST(testSmallProcessOwnsOnlyWhatOthersDoNot);
  CPPUNIT_TEST(testLostAnswersToJoinsLeaveTimeForAnother);
  CPPUNIT_TEST(testProcessWithoutStoreIsRelieved);
  CPPUNIT_TEST(testNobodyIsRelievedWhileTheStoreIsAwayForAll);
  CPPUNIT_TEST(testProcessThatIsGoneIsTakenOutOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void testEpochIsTheGenerationOfTheAssignment() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1, 2}};
    Bench.start();
    Bench.Store.Membership = {.Generation = 6, .Shards = {2, 3}};
    Bench.run(1s);
    CPPUNIT_ASSERT((std::map<int, std::uint64_t>{{2, 4}, {3, 6}}) ==
                   Bench.Shards.heldShards());
    CPPUNIT_ASSERT(std::vector<int>{1} == Bench.Revoked);
  }

  void testShardsAreKeptWhileTheStoreIsAway() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.GroupReachable = false;
    Bench.run(20s);
    Bench.Store.GroupReachable = true;
    Bench.run(1s);
    CPPUNIT_ASSERT(Bench.Revoked.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Assigned.size());
  }

  // A shard may have been with another process meanwhile: what is in memory is
  // out of date although the store deals it to this process again.
  void testChangesDuringAbsenceAreNotMissed() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.GroupReachable = false;
    Bench.run(5s);
    Bench.Store.Membership.Generation = 9;
    Bench.Store.GroupReachable = true;
    // The call that is on its way has no answer; the next one has.
    Bench.run(1500ms);
    CPPUNIT_ASSERT(std::vector<int>{1} == Bench.Revoked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Bench.Shards.heldShards().at(1));
  }

  void testFencedShardIsTakenAgainInLaterGenerationOnly() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Shards.handleFenced(1);
    Bench.run(1s);
    CPPUNIT_ASSERT(Bench.Shards.heldShards().empty());
    Bench.Store.Membership.Generation = 5;
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Bench.Shards.heldShards().at(1));
  }

  // All shards were dealt anew twice between two joins, so that the holder kept
  // its first term and was fenced in it. The shard then had no owner.
  void testShardFencedInAnEarlierTermIsTakenInTheCurrentOne() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.Membership.Generation = 6;
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Bench.Shards.heldShards().at(1));
    Bench.Shards.handleFenced(1);
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Shards.heldShards().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Bench.Shards.heldShards().at(1));
  }

  // The store's list names a holder before that one has been heard. What a
  // former holder says until then must not count for the new one.
  void testTermIsKnownOnceItsHolderIsHeard() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 7, .Member = "10.0.0.2:7000/a"}};
    Bench.start();
    CPPUNIT_ASSERT(!Bench.Shards.termKnownSince(7));
    Bench.Shards.applyHolderReport(7, 9, "10.0.0.2:7000/a");
    const auto Since = Bench.Shards.termKnownSince(7);
    CPPUNIT_ASSERT(Since && *Since == Bench.Timers.now());
    Bench.run(100ms);
    Bench.Shards.applyHolderReport(7, 9, "10.0.0.2:7000/a");
    CPPUNIT_ASSERT(*Bench.Shards.termKnownSince(7) == *Since);
    Bench.Store.Holders = {{.Shard = 7, .Member = "10.0.0.3:7000/a"}};
    Bench.run(1s);
    CPPUNIT_ASSERT(!Bench.Shards.termKnownSince(7));
    Bench.Shards.applyHolderReport(7, 11, "10.0.0.3:7000/a");
    CPPUNIT_ASSERT(*Bench.Shards.termKnownSince(7) > *Since);
  }

  void testHolderIsListedOnlyByALaterReading() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 7, .Member = "10.0.0.2:7000/a"}};
    Bench.start();
    const Clock::time_point Opened = Bench.Timers.now();
    CPPUNIT_ASSERT(!Bench.Shards.isListedSince(7, "10.0.0.2:7000/a", Opened));
    Bench.Shards.refreshHolders();
    Bench.run(10ms);
    CPPUNIT_ASSERT(Bench.Shards.isListedSince(7, "10.0.0.2:7000/a", Opened));
    CPPUNIT_ASSERT(!Bench.Shards.isListedSince(7, "10.0.0.2:7000/b", Opened));
  }

  // A process was killed and started again at the same address; orders went to
  // it on the strength of what was proved for the former one.
  void testProcessAtTheSameAddressIsAnotherHolder() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 7, .Member = "10.0.0.2:7000/a"}};
    Bench.start();
    Bench.Shards.applyHolderReport(7, 9, "10.0.0.2:7000/a");
    CPPUNIT_ASSERT(Bench.Shards.termKnownSince(7));
    Bench.Store.Holders = {{.Shard = 7, .Member = "10.0.0.2:7000/c"}};
    Bench.run(1s);
    CPPUNIT_ASSERT(!Bench.Shards.termKnownSince(7));
    Bench.Shards.applyHolderReport(7, 12, "10.0.0.2:7000/c");
    CPPUNIT_ASSERT(Bench.Shards.termKnownSince(7));
  }

  // The answer to an earlier join lists the shard in a generation below the
  // term of the present holder.
  void testShardIsNotTakenBelowAHeardTerm() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.Membership.Generation = 6;
    Bench.run(1s);
    Bench.Shards.applyHolderReport(1, 7, "10.0.0.2:7000/a");
    Bench.run(1s);
    CPPUNIT_ASSERT(Bench.Shards.heldShards().empty());
  }

  // fleetbench trouble-1: a process that the store turned away still claimed
  // its shards, and others took its word for what ran there.
  void testClaimOfFormerHolderIsRefused() {
    MembershipBench Bench;
    CPPUNIT_ASSERT(Bench.Shards.applyHolderReport(7, 9, "10.0.0.2:7000"));
    CPPUNIT_ASSERT(!Bench.Shards.applyHolderReport(7, 8, "10.0.0.3:7000"));
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7000"),
                         *Bench.Shards.holderOf(7));
  }

  void testSmallProcessOwnsOnlyWhatOthersDoNot() {
    CellTestBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.Store.Holders = {{.Shard = 0, .Member = "10.0.0.2:7000/a"},
                           {.Shard = 1, .Member = "10.0.0.2:7000/a"}};
    ShardMembership Shards(
        Bench.Context.get_executor(), Bench.Timers, Bench.Store, Bench.Events,
        {.Member = "10.0.0.1:7000/b", .Shards = 2, .ProcessorShare = 0.12});
    asio::co_spawn(Bench.Context, Shards.run(), asio::detached);
    Bench.run(10s);
    CPPUNIT_ASSERT(Shards.heldShards().empty() && !Shards.isParticipating());
    Bench.Store.Holders.pop_back();
    Bench.run(2s);
    CPPUNIT_ASSERT(Shards.heldShards().empty());
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Shards.heldShards().size());
    Shards.stop();
  }

  // fleetbench mix 900989763337: each lost answer took 1.2 s, so that the store
  // dealt the shards of live processes to others.
  void testLostAnswersToJoinsLeaveTimeForAnother() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.LostJoins = 2;
    Bench.run(5s);
    auto Longest = Clock::duration::zero();
    for (std::size_t I = 1; I < Bench.Store.JoinedAt.size(); ++I)
      Longest = std::max(Longest,
                         Bench.Store.JoinedAt[I] - Bench.Store.JoinedAt[I - 1]);
    // Even if none of the calls that lost their answers had arrived.
    CPPUNIT_ASSERT(3 * Longest < ShardMembershipOptions{}.TimeToLive);
  }

  void testPredecessorAtTheSameAddressIsRemoved() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 1, .Member = "10.0.0.1:7000/a"},
                           {.Shard = 2, .Member = "10.0.0.2:7000/c"}};
    Bench.start();
    CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.1:7000/a"} ==
                   Bench.Store.Left);
  }

  // A store that turned one process away cost its shards 1.2 s.
  void testProcessWithoutStoreIsRelieved() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1, 2}};
    Bench.start();
    std::vector<std::string> Asked;
    bool Willing = false;
    Bench.Shards.onEvictionNeeded(
        [&](std::string Member,
            Clock::duration /*FailingFor*/) -> asio::awaitable<bool> {
          Asked.push_back(std::move(Member));
          co_return Willing;
        });
    Bench.Store.GroupReachable = false;
    Bench.run(1100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000/b"), Asked.at(0));
    CPPUNIT_ASSERT(Bench.Revoked.empty());
    Willing = true;
    Bench.run(2s);
    CPPUNIT_ASSERT((std::vector<int>{1, 2}) == Bench.Revoked);
  }

  // When the store comes back, no process must be relieved by the one that
  // notices first.
  void testNobodyIsRelievedWhileTheStoreIsAwayForAll() {
    MembershipBench Bench;
    Bench.start();
    Bench.run(2s);
    const auto Relieve = [&](std::chrono::milliseconds FailingFor) {
      const auto Done =
          Bench.begin(Bench.Shards.evictMember("other", FailingFor));
      Bench.run(10ms);
      return **Done;
    };
    CPPUNIT_ASSERT(Relieve(500ms));
    Bench.Store.GroupReachable = false;
    Bench.run(1s);
    CPPUNIT_ASSERT(!Relieve(500ms));
    Bench.Store.GroupReachable = true;
    Bench.run(1s);
    CPPUNIT_ASSERT(!Relieve(2000ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Store.Left.size());
  }

  // A killed process refuses connections at once, long before its time to live
  // is over; a link that refuses them must not cost a live one its shards again
  // and again.
  void testProcessThatIsGoneIsTakenOutOnce() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 2, .Member = "10.0.0.2:7000/c"},
                           {.Shard = 3, .Member = "10.0.0.3:7000/d"}};
    Bench.start();
    Bench.run(1s);
    for (int Call = 0; Call < 2; ++Call) {
      asio::co_spawn(Bench.Context,
                     Bench.Shards.evictMembersAt("10.0.0.2:7000"),
                     asio::detached);
      Bench.run(500ms);
    }
    CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2:7000/c"} ==
                   Bench.Store.Left);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardMembershipTest);

} // namespace hickory
