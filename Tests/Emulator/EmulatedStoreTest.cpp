#include "Emulator/ConsumerGroup.h"
#include "Emulator/LogPartition.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

namespace hickory::emulator {

namespace {

using std::chrono::milliseconds;
using Kind = AppendOutcome::Kind;

constexpr milliseconds Ttl{1000};

/// One keyed record in the format of an append request.
std::string record(const std::string &Key, const std::string &Value) {
  const std::string Content =
      std::string(1, static_cast<char>(Key.size())) + Key + Value;
  return bigEndianText(Content.size(), 4) + Content;
}

ProducerSequence producer(std::uint64_t Epoch, std::uint64_t Sequence) {
  return {.ProducerId = "p", .Epoch = Epoch, .Sequence = Sequence};
}

} // namespace

/// Guards against an emulated store that is more lenient than the platform's
/// store, which would hide faults of the scheduler.
class EmulatedStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EmulatedStoreTest);
  CPPUNIT_TEST(testLowerEpochIsFenced);
  CPPUNIT_TEST(testRepeatedAppendIsStoredOnce);
  CPPUNIT_TEST(testSequenceGapIsRejected);
  CPPUNIT_TEST(testAppendWithUnexpectedEndIsRejected);
  CPPUNIT_TEST(testTrimKeepsTheLatestRecordOfEachKey);
  CPPUNIT_TEST(testMalformedBodyAppendsNothing);
  CPPUNIT_TEST(testTooLongRecordsAppendNothing);
  CPPUNIT_TEST(testPartitionMovesAfterFormerHolderConfirms);
  CPPUNIT_TEST(testExpiredMemberLosesItsPartitions);
  CPPUNIT_TEST(testPartitionsAreAssignedEvenly);
  CPPUNIT_TEST_SUITE_END();

public:
  void testLowerEpochIsFenced() {
    LogPartition Partition(true);
    Partition.append("", producer(5, 0), std::nullopt);
    CPPUNIT_ASSERT(
        Kind::Fenced ==
        Partition.append(record("k", "v"), producer(4, 1), std::nullopt)
            .Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Partition.end());
  }

  void testTooLongRecordsAppendNothing() {
    LogPartition Partition(true, {.RecordBytes = 100, .CallBytes = 250});
    const auto StatusOf = [&Partition](const std::string &Body) {
      return Partition.append(Body, std::nullopt, std::nullopt).Status;
    };
    const std::string Longest = record("k", std::string(98, 'v'));
    CPPUNIT_ASSERT(Kind::Malformed ==
                   StatusOf(record("k", std::string(99, 'v'))));
    CPPUNIT_ASSERT(Kind::Malformed == StatusOf(Longest + Longest + Longest));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Partition.end());
    CPPUNIT_ASSERT(Kind::Appended == StatusOf(Longest + Longest));
  }

  void testRepeatedAppendIsStoredOnce() {
    LogPartition Partition(true);
    const auto First =
        Partition.append(record("k", "v"), producer(1, 1), std::nullopt);
    Partition.append(record("k", "w"), producer(1, 2), std::nullopt);
    const auto Repeated =
        Partition.append(record("k", "v"), producer(1, 1), std::nullopt);
    CPPUNIT_ASSERT(Kind::Appended == Repeated.Status);
    CPPUNIT_ASSERT_EQUAL(First.End, Repeated.End);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Partition.end());
  }

  void testSequenceGapIsRejected() {
    LogPartition Partition(true);
    Partition.append(record("k", "v"), producer(1, 1), std::nullopt);
    const auto Rejected =
        Partition.append(record("k", "v"), producer(1, 3), std::nullopt);
    CPPUNIT_ASSERT(Kind::SequenceMismatch == Rejected.Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Rejected.Expected);
  }

  void testAppendWithUnexpectedEndIsRejected() {
    LogPartition Partition(false);
    CPPUNIT_ASSERT(Kind::Appended ==
                   Partition.append(record("", "v"), std::nullopt, 0).Status);
    CPPUNIT_ASSERT(Kind::EndMismatch ==
                   Partition.append(record("", "v"), std::nullopt, 0).Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Partition.end());
  }

  void testTrimKeepsTheLatestRecordOfEachKey() {
    LogPartition Partition(true);
    Partition.append(record("a", "1") + record("a", "2") + record("b", "3") +
                         record("b", ""),
                     std::nullopt, std::nullopt);
    Partition.trim(4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Partition.first());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Partition.latestByKey().size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         Partition.latestByKey().at("a").Value);
  }

  void testMalformedBodyAppendsNothing() {
    LogPartition Partition(true);
    CPPUNIT_ASSERT(
        Kind::Malformed ==
        Partition.append(record("a", "1") + "junk", std::nullopt, std::nullopt)
            .Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Partition.end());
  }

  // If a partition moved before its former holder confirmed the change, two
  // owners would act at the same time.
  void testPartitionMovesAfterFormerHolderConfirms() {
    ConsumerGroup Group(4);
    const auto Initial = Group.join("a", Ttl, 0, milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Initial.Partitions.size());
    CPPUNIT_ASSERT(Group.join("b", Ttl, 0, milliseconds(1)).Partitions.empty());
    // "a" has received the new generation but not yet confirmed it.
    const auto Informed =
        Group.join("a", Ttl, Initial.Generation, milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Informed.Partitions.size());
    CPPUNIT_ASSERT(Group.join("b", Ttl, 0, milliseconds(3)).Partitions.empty());
    Group.join("a", Ttl, Informed.Generation, milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        Group.join("b", Ttl, Informed.Generation, milliseconds(5))
            .Partitions.size());
  }

  void testExpiredMemberLosesItsPartitions() {
    ConsumerGroup Group(4);
    Group.join("a", Ttl, 0, milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{4},
        Group.join("b", Ttl, 0, milliseconds(1001)).Partitions.size());
  }

  // Members join and leave in any order.
  void testPartitionsAreAssignedEvenly() {
    CPPUNIT_ASSERT(rc::check("each partition has one live holder", [] {
      ConsumerGroup Group(7);
      std::map<std::string, std::uint64_t> GenerationByMember;
      milliseconds Now{0};
      const auto Steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
      for (const int Step : Steps) {
        const std::string Member = "m" + std::to_string(Step % 4);
        Now += milliseconds(1);
        if (Step < 8) {
          GenerationByMember[Member] =
              Group.join(Member, Ttl, GenerationByMember[Member], Now)
                  .Generation;
        } else {
          Group.leave(Member, Now);
          GenerationByMember.erase(Member);
        }
      }
      // All members receive the last generation and confirm it.
      std::set<int> HeldPartitions;
      std::size_t MaximumHeld = 0;
      std::size_t MinimumHeld = 7;
      for (int Round = 0; Round < 3; ++Round) {
        HeldPartitions.clear();
        MaximumHeld = 0;
        MinimumHeld = 7;
        for (auto &[Member, Generation] : GenerationByMember) {
          const auto Reply = Group.join(Member, Ttl, Generation, Now);
          Generation = Reply.Generation;
          HeldPartitions.insert(Reply.Partitions.begin(),
                                Reply.Partitions.end());
          MaximumHeld = std::max(MaximumHeld, Reply.Partitions.size());
          MinimumHeld = std::min(MinimumHeld, Reply.Partitions.size());
        }
      }
      if (GenerationByMember.empty())
        return;
      RC_ASSERT(HeldPartitions.size() == 7U);
      RC_ASSERT(MaximumHeld - MinimumHeld <= 1U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EmulatedStoreTest);

} // namespace hickory::emulator
