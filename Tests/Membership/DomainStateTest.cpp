#include "Membership/DomainState.h"

#include "Membership/ConsentTable.h"
#include "Membership/InstanceLease.h"
#include "RecordingSink.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t A = 11;
constexpr std::uint64_t B = 22;
constexpr std::uint64_t C = 33;

/// Appends one-record batches to a state and keeps them.
class StateWriter {
public:
  explicit StateWriter(DomainState &State) : State_(State) {}

  std::uint64_t add(std::uint64_t Author, records::Record Record) {
    records::RecordBatch Batch;
    Batch.set_incarnation(Author);
    Batch.set_sequence(++Sequences_[Author]);
    *Batch.add_records() = std::move(Record);
    return addBatch(Batch);
  }
  std::uint64_t addBatch(const records::RecordBatch &Batch) {
    Last = Batch;
    State_.onBatch(Next_, Batch);
    return Next_++;
  }
  std::uint64_t join(std::uint64_t Author, const std::string &Slot) {
    records::Record Record;
    Record.mutable_join()->set_slot(Slot);
    Record.mutable_join()->set_incarnation(Author);
    return add(Author, Record);
  }
  std::uint64_t heartbeat(std::uint64_t Author) {
    records::Record Record;
    Record.mutable_heartbeat()->set_incarnation(Author);
    return add(Author, Record);
  }
  std::uint64_t expire(std::uint64_t Author, std::uint64_t Target,
                       std::uint64_t BasedOn) {
    records::Record Record;
    Record.mutable_expire()->set_incarnation(Target);
    Record.mutable_expire()->set_based_on(BasedOn);
    return add(Author, Record);
  }
  std::uint64_t leave(std::uint64_t Author) {
    records::Record Record;
    Record.mutable_leave()->set_incarnation(Author);
    return add(Author, Record);
  }
  std::uint64_t claim(std::uint64_t Author, const std::string &Shard,
                      std::uint64_t Epoch, std::uint64_t For = 0) {
    records::Record Record;
    Record.mutable_claim()->set_shard(Shard);
    Record.mutable_claim()->set_epoch(Epoch);
    Record.mutable_claim()->set_incarnation(For == 0 ? Author : For);
    return add(Author, Record);
  }
  std::uint64_t release(std::uint64_t Author, const std::string &Shard,
                        std::uint64_t Epoch) {
    records::Record Record;
    Record.mutable_release()->set_shard(Shard);
    Record.mutable_release()->set_epoch(Epoch);
    Record.mutable_release()->set_incarnation(Author);
    return add(Author, Record);
  }
  std::uint64_t job(std::uint64_t Author, const std::string &Key) {
    records::Record Record;
    Record.mutable_job_cancelled()->set_key(Key);
    return add(Author, Record);
  }

  records::RecordBatch Last;

private:
  DomainState &State_;
  std::uint64_t Next_ = 0;
  std::map<std::uint64_t, std::uint64_t> Sequences_;
};

std::uint64_t owner(const DomainState &State, const std::string &Shard) {
  const auto Owner = State.ownerOf(Shard);
  return Owner ? Owner->Incarnation : 0;
}

} // namespace

class DomainStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainStateTest);
  CPPUNIT_TEST(firstClaimOfAFreeShardWins);
  CPPUNIT_TEST(recordsCountOnlyForTheirWriter);
  CPPUNIT_TEST(heartbeatVoidsExpireBasedOnAnEarlierOne);
  CPPUNIT_TEST(expiredIncarnationCannotActOrRejoin);
  CPPUNIT_TEST(leaveFreesShardsWithoutRelease);
  CPPUNIT_TEST(releaseOfAnEarlierEpochIsVoid);
  CPPUNIT_TEST(onlyMembersMayExpire);
  CPPUNIT_TEST(duplicatesHaveNoEffect);
  CPPUNIT_TEST(duplicateAfterSnapshotHasNoEffect);
  CPPUNIT_TEST(oldEndedMembersAreForgotten);
  CPPUNIT_TEST(lapsedLeaseIsNotRevivedByConsent);
  CPPUNIT_TEST(laterGrantDoesNotShortenAPromise);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two owners of one shard.
  void firstClaimOfAFreeShardWins() {
    DomainState State;
    StateWriter Log(State);
    Log.join(A, "a");
    Log.join(B, "b");
    Log.claim(A, "keys/1", 1);
    Log.claim(B, "keys/1", 1);
    Log.claim(B, "keys/1", 2);
    CPPUNIT_ASSERT_EQUAL(A, owner(State, "keys/1"));
    Log.release(A, "keys/1", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner(State, "keys/1"));
    Log.claim(B, "keys/1", 3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner(State, "keys/1"));
    Log.claim(B, "keys/1", 2);
    CPPUNIT_ASSERT_EQUAL(B, owner(State, "keys/1"));
  }

  // Guards against an instance that is made to act or to leave by another.
  void recordsCountOnlyForTheirWriter() {
    DomainState State;
    StateWriter Log(State);
    Log.join(A, "a");
    Log.join(B, "b");
    Log.claim(B, "keys/1", 1, A);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner(State, "keys/1"));
    Log.claim(A, "keys/1", 1);
    Log.release(B, "keys/1", 1);
    CPPUNIT_ASSERT_EQUAL(A, owner(State, "keys/1"));
    records::Record Foreign;
    Foreign.mutable_leave()->set_incarnation(A);
    Log.add(B, Foreign);
    CPPUNIT_ASSERT_EQUAL(A, owner(State, "keys/1"));
    Foreign.mutable_join()->set_incarnation(C);
    Log.add(B, Foreign);
    CPPUNIT_ASSERT(!State.member(C));
    Foreign.mutable_heartbeat()->set_incarnation(A);
    const std::uint64_t Before = State.member(A)->LastHeartbeatOffset;
    Log.add(B, Foreign);
    CPPUNIT_ASSERT_EQUAL(Before, State.member(A)->LastHeartbeatOffset);
  }

  // Guards against an Expire that crosses with a heartbeat which the holder
  // has read back.
  void heartbeatVoidsExpireBasedOnAnEarlierOne() {
    DomainState State;
    StateWriter Log(State);
    const std::uint64_t Joined = Log.join(A, "a");
    Log.join(B, "b");
    Log.claim(A, "keys/1", 1);
    const std::uint64_t Beat = Log.heartbeat(A);
    Log.expire(B, A, Joined);
    CPPUNIT_ASSERT_EQUAL(A, owner(State, "keys/1"));
    Log.expire(B, A, Beat);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner(State, "keys/1"));
  }

  // Guards against records of an expired instance that count, among them a
  // Join that would undo the Expire.
  void expiredIncarnationCannotActOrRejoin() {
    RecordingSink Sink;
    DomainState State(&Sink);
    StateWriter Log(State);
    const std::uint64_t Joined = Log.join(A, "a");
    Log.join(B, "b");
    Log.job(A, "before");
    Log.expire(B, A, Joined);
    Log.job(A, "after");
    Log.heartbeat(A);
    Log.join(A, "a");
    Log.claim(A, "keys/1", 1);
    Log.job(C, "never joined");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner(State, "keys/1"));
    CPPUNIT_ASSERT(!State.member(A)->live());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sink.Counts.size());
    CPPUNIT_ASSERT(Sink.Counts.contains("before"));
  }

  // Guards against a successor that does not wait for commands of an owner
  // which left in a hurry.
  void leaveFreesShardsWithoutRelease() {
    DomainState State;
    std::vector<DomainState::Change> Claims;
    const Subscription Changes =
        State.subscribe([&](const DomainState::Change &Event) {
          if (Event.Kind == DomainState::ChangeKind::Claimed)
            Claims.push_back(Event);
        });
    StateWriter Log(State);
    Log.join(A, "a");
    Log.join(B, "b");
    Log.claim(A, "keys/1", 1);
    Log.claim(A, "keys/2", 1);
    Log.release(A, "keys/2", 1);
    Log.leave(A);
    Log.claim(B, "keys/1", 2);
    Log.claim(B, "keys/2", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Claims.size());
    CPPUNIT_ASSERT(!Claims[0].PreviousOwnerExpired);
    CPPUNIT_ASSERT(Claims[2].PreviousOwnerExpired);
    CPPUNIT_ASSERT(!Claims[3].PreviousOwnerExpired);
  }

  // Guards against a delayed Release that frees the same owner's next claim.
  void releaseOfAnEarlierEpochIsVoid() {
    DomainState State;
    StateWriter Log(State);
    Log.join(A, "a");
    Log.claim(A, "keys/1", 1);
    Log.release(A, "keys/1", 1);
    Log.claim(A, "keys/1", 2);
    Log.release(A, "keys/1", 1);
    CPPUNIT_ASSERT_EQUAL(A, owner(State, "keys/1"));
  }

  // Guards against an expired instance that expires others.
  void onlyMembersMayExpire() {
    DomainState State;
    StateWriter Log(State);
    const std::uint64_t JoinedA = Log.join(A, "a");
    const std::uint64_t JoinedB = Log.join(B, "b");
    Log.expire(C, A, JoinedA);
    CPPUNIT_ASSERT(State.member(A)->live());
    Log.expire(A, B, JoinedB);
    Log.expire(B, A, JoinedA);
    CPPUNIT_ASSERT(State.member(A)->live());
    CPPUNIT_ASSERT(!State.member(B)->live());
  }

  // Guards against batches that count twice because an answer was lost: a
  // second copy of a heartbeat would be taken for a newer heartbeat.
  void duplicatesHaveNoEffect() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), differencesByDuplicates({}));
    DomainState::Faults Removed;
    Removed.CountDuplicates = true;
    CPPUNIT_ASSERT(differencesByDuplicates(Removed) > 0);
  }

  // Guards against a reader that started from a snapshot and takes the second
  // copy of a batch for the first.
  void duplicateAfterSnapshotHasNoEffect() {
    DomainState State;
    StateWriter Log(State);
    Log.join(A, "a");
    Log.heartbeat(A);
    const records::RecordBatch Copy = Log.Last;
    records::RecordBatch Snapshot;
    *Snapshot.add_records()->mutable_domain_snapshot() = State.snapshot();
    DomainState Loaded;
    const auto Covered = Loaded.loadSnapshot(Snapshot);
    CPPUNIT_ASSERT(Covered == std::uint64_t(1));
    Loaded.onBatch(2, Copy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Loaded.member(A)->LastHeartbeatOffset);
    State.onBatch(2, Copy);
    CPPUNIT_ASSERT(State.snapshot().SerializeAsString() ==
                   Loaded.snapshot().SerializeAsString());
  }

  // Guards against snapshots that grow with every restart, and against
  // forgetting who still counts as the last owner of a shard.
  void oldEndedMembersAreForgotten() {
    DomainState State;
    StateWriter Log(State);
    Log.join(A, "a");
    Log.claim(A, "keys/1", 1);
    Log.leave(A);
    Log.join(B, "b");
    Log.leave(B);
    records::RecordBatch Late;
    Late.set_incarnation(C);
    Late.set_sequence(1);
    auto &Join = *Late.add_records()->mutable_join();
    Join.set_slot("c");
    Join.set_incarnation(C);
    State.onBatch(10'000'000, Late);
    CPPUNIT_ASSERT(State.member(A));
    CPPUNIT_ASSERT(!State.member(B));
    CPPUNIT_ASSERT(State.member(C));
  }

  // Guards against a lease that goes on although an Expire may be on its way.
  void lapsedLeaseIsNotRevivedByConsent() {
    InstanceLease Lease(8s);
    const Clock::time_point Start = Clock::time_point(1h);
    CPPUNIT_ASSERT(!Lease.holds(Start));
    Lease.extendFromHeartbeat(Start);
    CPPUNIT_ASSERT(Lease.holds(Start + 7999ms));
    CPPUNIT_ASSERT(!Lease.holds(Start + 8s));
    CPPUNIT_ASSERT(Lease.extendByConsent(Start + 5s, Start + 7s));
    CPPUNIT_ASSERT(Lease.holds(Start + 12999ms));
    CPPUNIT_ASSERT(!Lease.extendByConsent(Start + 10s, Start + 13s));
    CPPUNIT_ASSERT(!Lease.holds(Start + 13s));
    // An earlier heartbeat that is read back late does not shorten the lease.
    Lease.extendFromHeartbeat(Start + 20s);
    Lease.extendFromHeartbeat(Start + 10s);
    CPPUNIT_ASSERT(Lease.holds(Start + 27s));
    Lease.revoke();
    CPPUNIT_ASSERT(!Lease.holds(Start));
  }

  // Guards against a promise that a second call makes shorter.
  void laterGrantDoesNotShortenAPromise() {
    ConsentTable Table;
    const Clock::time_point Start = Clock::time_point(1h);
    Table.grant(A, Start + 10s);
    Table.grant(A, Start + 5s);
    CPPUNIT_ASSERT(Table.promised(A, Start + 9s));
    CPPUNIT_ASSERT(!Table.promised(B, Start));
    Table.removeEnded(Start + 9s);
    CPPUNIT_ASSERT(Table.promised(A, Start + 9s));
    CPPUNIT_ASSERT(!Table.promised(A, Start + 10s));
  }

private:
  /// Random streams in which batches appear again later; counts those that end
  /// in another state than without the copies.
  static std::size_t differencesByDuplicates(DomainState::Faults Removed) {
    std::size_t Differences = 0;
    rc::check("duplicates", [&] {
      const auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
          40, rc::gen::inRange<std::uint32_t>(0, 1000));
      std::vector<records::RecordBatch> Batches;
      std::map<std::uint64_t, std::uint64_t> Sequences;
      RecordingSink CleanSink;
      DomainState Clean(&CleanSink);
      RecordingSink CopiedSink;
      DomainState Copied(&CopiedSink, Removed);
      const auto Deliver = [&](const records::RecordBatch &Batch, bool Copy) {
        // The same offsets on both sides, so that the states are comparable.
        const std::uint64_t Offset = Batches.size() * 100;
        if (!Copy)
          Clean.onBatch(Offset, Batch);
        Copied.onBatch(Offset, Batch);
      };
      for (const std::uint32_t Choice : Choices) {
        if (!Batches.empty() && Choice % 4 == 0) {
          Deliver(Batches[Choice / 4 % Batches.size()], true);
          continue;
        }
        const std::uint64_t Author = Choice % 3 == 0 ? A : B;
        records::RecordBatch Batch;
        Batch.set_incarnation(Author);
        Batch.set_sequence(++Sequences[Author]);
        if (Batch.sequence() == 1) {
          Batch.add_records()->mutable_join()->set_incarnation(Author);
        } else if (Choice % 5 == 0) {
          Batch.add_records()->mutable_heartbeat()->set_incarnation(Author);
        } else {
          Batch.add_records()->mutable_job_cancelled()->set_key("key");
        }
        Deliver(Batch, false);
        Batches.push_back(Batch);
      }
      // A copy may stand last, so the covered offsets differ.
      records::DomainSnapshot Expected = Clean.snapshot();
      Expected.set_covers(0);
      records::DomainSnapshot Found = Copied.snapshot();
      Found.set_covers(0);
      if (Expected.SerializeAsString() != Found.SerializeAsString())
        ++Differences;
    });
    return Differences;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainStateTest);

} // namespace hickory
