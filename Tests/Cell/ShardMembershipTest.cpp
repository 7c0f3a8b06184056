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
  CPPUNIT_TEST(testShardsAreKeptWhileTheStoreIsUnreachable);
  CPPUNIT_TEST(testChangesDuringAnOutageAreNoticed);
  CPPUNIT_TEST(testFencedShardIsTakenAgainOnlyInALaterGeneration);
  CPPUNIT_TEST(testShardFencedInAnEarlierTermIsTakenInTheCurrentOne);
  CPPUNIT_TEST(testStaleHolderReportIsRejected);
  CPPUNIT_TEST(testTermIsKnownOnceItsHolderHasReportedIt);
  CPPUNIT_TEST(testHolderIsListedOnlyByALaterRequest);
  CPPUNIT_TEST(testNewProcessAtTheSameAddressIsAnotherHolder);
  CPPUNIT_TEST(testShardIsNotTakenBelowAReportedEpoch);
  CPPUNIT_TEST(testPredecessorAtTheSameAddressIsRemoved);
  CPPUNIT_TEST(testSmallProcessTakesOnlyShardsWithoutHolder);
  CPPUNIT_TEST(testLostJoinResponsesLeaveTimeForRetries);
  CPPUNIT_TEST(testProcessThatCannotReachTheStoreAsksForRemoval);
  CPPUNIT_TEST(testNoMemberIsRemovedWhileTheStoreIsUnreachableForAll);
  CPPUNIT_TEST(testEndedProcessIsRemovedOnce);
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

  void testShardsAreKeptWhileTheStoreIsUnreachable() {
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

  // Guards against stale state in memory: another process may have held the
  // shard during the outage, although the store assigns it to this process
  // again.
  void testChangesDuringAnOutageAreNoticed() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.GroupReachable = false;
    Bench.run(5s);
    Bench.Store.Membership.Generation = 9;
    Bench.Store.GroupReachable = true;
    // The call in flight receives no response; the next one does.
    Bench.run(1500ms);
    CPPUNIT_ASSERT(std::vector<int>{1} == Bench.Revoked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Bench.Shards.heldShards().at(1));
  }

  void testFencedShardIsTakenAgainOnlyInALaterGeneration() {
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

  // Guards against a shard without an owner: after two reassignments of all
  // shards between two joins, the holder was still in its first term and was
  // fenced.
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

  // The store's list names a holder before that holder has reported its term.
  // Reports of the former holder must not count for the new one.
  void testTermIsKnownOnceItsHolderHasReportedIt() {
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

  void testHolderIsListedOnlyByALaterRequest() {
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

  // Guards against orders to a restarted process at the same address on the
  // basis of a confirmation that was made for the former process.
  void testNewProcessAtTheSameAddressIsAnotherHolder() {
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

  // Guards against a stale join reply, which lists the shard in a generation
  // below the epoch of its present holder.
  void testShardIsNotTakenBelowAReportedEpoch() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.Membership.Generation = 6;
    Bench.run(1s);
    Bench.Shards.applyHolderReport(1, 7, "10.0.0.2:7000/a");
    Bench.run(1s);
    CPPUNIT_ASSERT(Bench.Shards.heldShards().empty());
  }

  // Guards against reports of a process that the store has removed: it still
  // reported its former shards, and other processes relied on its list of runs.
  // Found with fleetbench trouble-1.
  void testStaleHolderReportIsRejected() {
    MembershipBench Bench;
    CPPUNIT_ASSERT(Bench.Shards.applyHolderReport(7, 9, "10.0.0.2:7000"));
    CPPUNIT_ASSERT(!Bench.Shards.applyHolderReport(7, 8, "10.0.0.3:7000"));
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7000"),
                         *Bench.Shards.holderOf(7));
  }

  void testSmallProcessTakesOnlyShardsWithoutHolder() {
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

  // Guards against the loss of shards by live processes: when each lost join
  // response cost 1.2 s, the store reassigned their shards.
  // Found with fleetbench mix, seed 900989763337.
  void testLostJoinResponsesLeaveTimeForRetries() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1}};
    Bench.start();
    Bench.Store.LostJoins = 2;
    Bench.run(5s);
    auto Longest = Clock::duration::zero();
    for (std::size_t I = 1; I < Bench.Store.JoinedAt.size(); ++I)
      Longest = std::max(Longest,
                         Bench.Store.JoinedAt[I] - Bench.Store.JoinedAt[I - 1]);
    // This holds even if the store did not receive the calls whose responses
    // were lost.
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

  // Guards against shards without a working holder for 1.2 s while the store is
  // unreachable for one process only.
  void testProcessThatCannotReachTheStoreAsksForRemoval() {
    MembershipBench Bench;
    Bench.Store.Membership = {.Generation = 4, .Shards = {1, 2}};
    Bench.start();
    std::vector<std::string> Asked;
    bool Removes = false;
    Bench.Shards.onRemovalNeeded(
        [&](std::string Member,
            Clock::duration /*FailingFor*/) -> asio::awaitable<bool> {
          Asked.push_back(std::move(Member));
          co_return Removes;
        });
    Bench.Store.GroupReachable = false;
    Bench.run(1100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000/b"), Asked.at(0));
    CPPUNIT_ASSERT(Bench.Revoked.empty());
    Removes = true;
    Bench.run(2s);
    CPPUNIT_ASSERT((std::vector<int>{1, 2}) == Bench.Revoked);
  }

  // When the store recovers from an outage, the process that notices first must
  // not remove the others.
  void testNoMemberIsRemovedWhileTheStoreIsUnreachableForAll() {
    MembershipBench Bench;
    Bench.start();
    Bench.run(2s);
    const auto Remove = [&](std::chrono::milliseconds FailingFor) {
      const auto Done =
          Bench.begin(Bench.Shards.removeMember("other", FailingFor));
      Bench.run(10ms);
      return **Done;
    };
    CPPUNIT_ASSERT(Remove(500ms));
    Bench.Store.GroupReachable = false;
    Bench.run(1s);
    CPPUNIT_ASSERT(!Remove(500ms));
    Bench.Store.GroupReachable = true;
    Bench.run(1s);
    CPPUNIT_ASSERT(!Remove(2000ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Store.Left.size());
  }

  // A killed process refuses connections long before its time to live ends, so
  // that it is removed at once. A faulty link that refuses connections must not
  // remove a live process repeatedly.
  void testEndedProcessIsRemovedOnce() {
    MembershipBench Bench;
    Bench.Store.Holders = {{.Shard = 2, .Member = "10.0.0.2:7000/c"},
                           {.Shard = 3, .Member = "10.0.0.3:7000/d"}};
    Bench.start();
    Bench.run(1s);
    for (int Call = 0; Call < 2; ++Call) {
      asio::co_spawn(Bench.Context,
                     Bench.Shards.removeMembersAt("10.0.0.2:7000"),
                     asio::detached);
      Bench.run(500ms);
    }
    CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2:7000/c"} ==
                   Bench.Store.Left);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardMembershipTest);

} // namespace hickory
