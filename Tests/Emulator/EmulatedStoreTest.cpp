#include "Emulator/LogPartition.h"
#include "Emulator/MemberGroup.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

namespace hickory::emulator {

namespace {

using std::chrono::milliseconds;
using Kind = AppendOutcome::Kind;

constexpr milliseconds Ttl{1000};

/// One keyed record as it is sent.
std::string record(const std::string &Key, const std::string &Value) {
  const std::string Content =
      std::string(1, static_cast<char>(Key.size())) + Key + Value;
  return bigEndianText(Content.size(), 4) + Content;
}

ProducerStamp stamp(std::uint64_t Epoch, std::uint64_t Sequence) {
  return {.Producer = "p", .Epoch = Epoch, .Sequence = Sequence};
}

} // namespace

/// A store that forgives more than the platform's would hide faults of the
/// scheduler.
class EmulatedStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EmulatedStoreTest);
  CPPUNIT_TEST(testLowerEpochIsFenced);
  CPPUNIT_TEST(testRepeatedAppendIsStoredOnce);
  CPPUNIT_TEST(testGapInTheSequenceIsRefused);
  CPPUNIT_TEST(testAppendAtAnotherEndIsRefused);
  CPPUNIT_TEST(testNewestRecordOfAKeyOutlivesTheTrim);
  CPPUNIT_TEST(testMalformedBodyAppendsNothing);
  CPPUNIT_TEST(testPartitionWaitsForItsFormerHolder);
  CPPUNIT_TEST(testLapsedMemberLosesItsPartitions);
  CPPUNIT_TEST(testPartitionsAreDealtEvenly);
  CPPUNIT_TEST_SUITE_END();

public:
  void testLowerEpochIsFenced() {
    LogPartition Part(true);
    Part.append("", stamp(5, 0), std::nullopt);
    CPPUNIT_ASSERT(
        Kind::Fenced ==
        Part.append(record("k", "v"), stamp(4, 1), std::nullopt).Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Part.end());
  }

  void testRepeatedAppendIsStoredOnce() {
    LogPartition Part(true);
    const auto First = Part.append(record("k", "v"), stamp(1, 1), std::nullopt);
    Part.append(record("k", "w"), stamp(1, 2), std::nullopt);
    const auto Again = Part.append(record("k", "v"), stamp(1, 1), std::nullopt);
    CPPUNIT_ASSERT(Kind::Appended == Again.Status);
    CPPUNIT_ASSERT_EQUAL(First.End, Again.End);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Part.end());
  }

  void testGapInTheSequenceIsRefused() {
    LogPartition Part(true);
    Part.append(record("k", "v"), stamp(1, 1), std::nullopt);
    const auto Refused =
        Part.append(record("k", "v"), stamp(1, 3), std::nullopt);
    CPPUNIT_ASSERT(Kind::WrongSequence == Refused.Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Refused.Expected);
  }

  void testAppendAtAnotherEndIsRefused() {
    LogPartition Part(false);
    CPPUNIT_ASSERT(Kind::Appended ==
                   Part.append(record("", "v"), std::nullopt, 0).Status);
    CPPUNIT_ASSERT(Kind::WrongEnd ==
                   Part.append(record("", "v"), std::nullopt, 0).Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Part.end());
  }

  void testNewestRecordOfAKeyOutlivesTheTrim() {
    LogPartition Part(true);
    Part.append(record("a", "1") + record("a", "2") + record("b", "3") +
                    record("b", ""),
                std::nullopt, std::nullopt);
    Part.trim(4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Part.first());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Part.newest().size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Part.newest().at("a").Value);
  }

  void testMalformedBodyAppendsNothing() {
    LogPartition Part(true);
    CPPUNIT_ASSERT(Kind::Malformed == Part.append(record("a", "1") + "junk",
                                                  std::nullopt, std::nullopt)
                                          .Status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Part.end());
  }

  // Handed over at once, two owners would act at the same time.
  void testPartitionWaitsForItsFormerHolder() {
    MemberGroup Group(4);
    const auto Alone = Group.join("a", Ttl, 0, milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Alone.Parts.size());
    CPPUNIT_ASSERT(Group.join("b", Ttl, 0, milliseconds(1)).Parts.empty());
    // Told of the change, but its next call has not confirmed it.
    const auto Told = Group.join("a", Ttl, Alone.Generation, milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Told.Parts.size());
    CPPUNIT_ASSERT(Group.join("b", Ttl, 0, milliseconds(3)).Parts.empty());
    Group.join("a", Ttl, Told.Generation, milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        Group.join("b", Ttl, Told.Generation, milliseconds(5)).Parts.size());
  }

  void testLapsedMemberLosesItsPartitions() {
    MemberGroup Group(4);
    Group.join("a", Ttl, 0, milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{4},
        Group.join("b", Ttl, 0, milliseconds(1001)).Parts.size());
  }

  // Members that join, leave and lapse in any order.
  void testPartitionsAreDealtEvenly() {
    CPPUNIT_ASSERT(rc::check("each partition has one live holder", [] {
      MemberGroup Group(7);
      std::map<std::string, std::uint64_t> Known;
      milliseconds Now{0};
      const auto Steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
      for (const int Step : Steps) {
        const std::string Member = "m" + std::to_string(Step % 4);
        Now += milliseconds(1);
        if (Step < 8) {
          Known[Member] =
              Group.join(Member, Ttl, Known[Member], Now).Generation;
        } else {
          Group.leave(Member, Now);
          Known.erase(Member);
        }
      }
      // Everybody hears of the last change and confirms it.
      std::set<int> Listed;
      std::size_t Most = 0;
      std::size_t Least = 7;
      for (int Round = 0; Round < 3; ++Round) {
        Listed.clear();
        Most = 0;
        Least = 7;
        for (auto &[Member, Generation] : Known) {
          const auto Reply = Group.join(Member, Ttl, Generation, Now);
          Generation = Reply.Generation;
          Listed.insert(Reply.Parts.begin(), Reply.Parts.end());
          Most = std::max(Most, Reply.Parts.size());
          Least = std::min(Least, Reply.Parts.size());
        }
      }
      if (Known.empty())
        return;
      RC_ASSERT(Listed.size() == 7U);
      RC_ASSERT(Most - Least <= 1U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EmulatedStoreTest);

} // namespace hickory::emulator
