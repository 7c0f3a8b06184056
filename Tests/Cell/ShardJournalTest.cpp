#include "Cell/ShardJournal.h"

#include "Cell/CellTestBench.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

std::vector<KeyedRecord> recordOf(const std::string &Key) {
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = Key, .Value = "value"});
  return Records;
}

struct JournalBench : CellTestBench {
  std::shared_ptr<ShardJournal> open(std::uint64_t Epoch) {
    auto Journal = std::make_shared<ShardJournal>(
        Context.get_executor(), Timers, Store,
        ShardJournalOptions{.Shard = 3, .Epoch = Epoch});
    const auto Records = begin(Journal->acquire());
    run(50ms);
    if (*Records)
      asio::co_spawn(Context, Journal->run(), asio::detached);
    return Journal;
  }
  std::shared_ptr<std::optional<JournalOutcome>>
  write(const std::shared_ptr<ShardJournal> &Journal, const std::string &Key,
        std::chrono::milliseconds Limit = 1000ms) {
    return begin(Journal->write(recordOf(Key), Timers.now() + Limit));
  }
};

} // namespace

class ShardJournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardJournalTest);
  CPPUNIT_TEST(testWaitingRecordsAreBatched);
  CPPUNIT_TEST(testRecordWithLostResponseIsWrittenOnce);
  CPPUNIT_TEST(testWithdrawnRecordIsNeverWritten);
  CPPUNIT_TEST(testRecordThatMayBeWrittenHasUnknownOutcome);
  CPPUNIT_TEST(testFormerOwnerIsFenced);
  CPPUNIT_TEST(testAcquireReadsAllPages);
  CPPUNIT_TEST(testFailingJournalIsReportedAsUnavailable);
  CPPUNIT_TEST(testRefusedFailFastRecordIsGivenUpSoon);
  CPPUNIT_TEST(testSlowStoreIsNotUnavailable);
  CPPUNIT_TEST(testRecordThatIsTooLongIsRejectedAtOnce);
  CPPUNIT_TEST(testRejectedRecordDoesNotHoldUpOthers);
  CPPUNIT_TEST(testBatchesStayBelowTheLimitOfACall);
  CPPUNIT_TEST(propertyOutcomesMatchStoredRecords);
  CPPUNIT_TEST_SUITE_END();

public:
  void testWaitingRecordsAreBatched() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    for (int I = 0; I < 20; ++I)
      Bench.write(Journal, "k" + std::to_string(I));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), Bench.Store.values(3).size());
    CPPUNIT_ASSERT(Bench.Store.Appends <= 2);
  }

  // Guards against a record that is longer than the store accepts and that is
  // appended again and again, so that nothing else of the shard is stored.
  void testRecordThatIsTooLongIsRejectedAtOnce() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    std::vector<KeyedRecord> Long;
    Long.push_back({.Key = "long", .Value = std::string(262144, 'x')});
    const auto Rejected =
        Bench.begin(Journal->write(std::move(Long), Bench.Timers.now() + 1s));
    std::vector<KeyedRecord> LongKey;
    LongKey.push_back({.Key = std::string(256, 'k'), .Value = "value"});
    const auto AlsoRejected = Bench.begin(
        Journal->write(std::move(LongKey), Bench.Timers.now() + 1s));
    CPPUNIT_ASSERT(*Rejected == JournalOutcome::Rejected);
    CPPUNIT_ASSERT(*AlsoRejected == JournalOutcome::Rejected);
    const auto Other = Bench.write(Journal, "a");
    Bench.run(100ms);
    CPPUNIT_ASSERT(*Other == JournalOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(1, Bench.Store.Appends);
  }

  // The same for a store that accepts less than the settings say. Guards also
  // against records that fail since they are in a batch with such a record.
  void testRejectedRecordDoesNotHoldUpOthers() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.Limits.RecordBytes = 1000;
    std::vector<std::shared_ptr<std::optional<JournalOutcome>>> Others;
    Others.push_back(Bench.write(Journal, "a"));
    std::vector<KeyedRecord> Long;
    Long.push_back({.Key = "long", .Value = std::string(1000, 'x')});
    const auto Rejected =
        Bench.begin(Journal->write(std::move(Long), Bench.Timers.now() + 1s));
    Others.push_back(Bench.write(Journal, "b"));
    Others.push_back(Bench.write(Journal, "c"));
    Bench.run(400ms);
    CPPUNIT_ASSERT(*Rejected == JournalOutcome::Rejected);
    for (const auto &Other : Others)
      CPPUNIT_ASSERT(*Other == JournalOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Bench.Store.values(3).size());
    const int Appends = Bench.Store.Appends;
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(Appends, Bench.Store.Appends);
  }

  // Guards against a call that the store does not accept since its records,
  // each of which is short enough, are too long together.
  void testBatchesStayBelowTheLimitOfACall() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.Limits.CallBytes = 300U << 10U;
    std::vector<std::shared_ptr<std::optional<JournalOutcome>>> Written;
    for (int I = 0; I < 10; ++I) {
      std::vector<KeyedRecord> Records;
      Records.push_back(
          {.Key = std::to_string(I), .Value = std::string(100U << 10U, 'x')});
      Written.push_back(Bench.begin(
          Journal->write(std::move(Records), Bench.Timers.now() + 2s)));
    }
    Bench.run(1s);
    for (const auto &Each : Written)
      CPPUNIT_ASSERT(*Each == JournalOutcome::Written);
  }

  void testRecordWithLostResponseIsWrittenOnce() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    int Calls = 0;
    Bench.Store.ChooseFault = [&Calls] {
      return ++Calls == 1 ? FakeStoreClient::AppendFault::LostReply
                          : FakeStoreClient::AppendFault::None;
    };
    const auto First = Bench.write(Journal, "a");
    // A lost response delays the caller by one short timeout only.
    Bench.run(600ms);
    CPPUNIT_ASSERT(First->has_value());
    const auto Second = Bench.write(Journal, "b");
    Bench.run(500ms);
    CPPUNIT_ASSERT(**First == JournalOutcome::Written);
    CPPUNIT_ASSERT(**Second == JournalOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Bench.Store.values(3).size());
  }

  // A job that was refused with status 503 must never run.
  void testWithdrawnRecordIsNeverWritten() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    const auto Outcome = Bench.write(Journal, "a", 600ms);
    Bench.run(900ms);
    CPPUNIT_ASSERT(**Outcome == JournalOutcome::NotWritten);
    Bench.Store.ChooseFault = nullptr;
    Bench.run(2s);
    CPPUNIT_ASSERT(Bench.Store.values(3).empty());
  }

  void testRecordThatMayBeWrittenHasUnknownOutcome() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::LostReply;
    };
    const auto Outcome = Bench.write(Journal, "a", 600ms);
    Bench.run(900ms);
    CPPUNIT_ASSERT(**Outcome == JournalOutcome::Unknown);
  }

  void testFormerOwnerIsFenced() {
    JournalBench Bench;
    const auto Former = Bench.open(1);
    bool Fenced = false;
    Former->onFenced([&Fenced] { Fenced = true; });
    const auto Later = Bench.open(2);
    const auto Lost = Bench.write(Former, "a");
    const auto Kept = Bench.write(Later, "b");
    Bench.run(500ms);
    CPPUNIT_ASSERT(Fenced);
    CPPUNIT_ASSERT(**Lost == JournalOutcome::NotWritten);
    CPPUNIT_ASSERT(**Kept == JournalOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Store.values(3).size());
  }

  void testAcquireReadsAllPages() {
    JournalBench Bench;
    const auto First = Bench.open(1);
    for (int I = 0; I < 7; ++I)
      Bench.write(First, "k" + std::to_string(I));
    Bench.run(300ms);
    const auto Next = std::make_shared<ShardJournal>(
        Bench.Context.get_executor(), Bench.Timers, Bench.Store,
        ShardJournalOptions{.Shard = 3, .Epoch = 2});
    const auto Records = Bench.begin(Next->acquire());
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), (**Records)->size());
  }

  // While the journal is unavailable, new jobs are refused at once instead of
  // being delayed.
  void testFailingJournalIsReportedAsUnavailable() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    Bench.write(Journal, "a", 5s);
    Bench.run(200ms);
    CPPUNIT_ASSERT(!Journal->isUnavailable());
    Bench.run(200ms);
    CPPUNIT_ASSERT(Journal->isUnavailable());
    CPPUNIT_ASSERT(Journal->failingFor() > 300ms);

    Bench.Store.ChooseFault = nullptr;
    Bench.run(500ms);
    CPPUNIT_ASSERT(!Journal->isUnavailable());
    CPPUNIT_ASSERT(Journal->failingFor() == 0ms);
  }

  // Guards against callers that wait until their deadline although the store
  // refuses their record.
  void testRefusedFailFastRecordIsGivenUpSoon() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.ChooseFault = [] {
      return FakeStoreClient::AppendFault::Refused;
    };
    const auto WriteFailFast = [&](const char *Key) {
      return Bench.begin(
          Journal->write(recordOf(Key), Bench.Timers.now() + 1200ms, true));
    };
    const auto First = WriteFailFast("a");
    const auto Waiting = Bench.write(Journal, "p", 1200ms);
    Bench.run(300ms);
    const auto Second = WriteFailFast("b");
    Bench.run(120ms);
    CPPUNIT_ASSERT(First->has_value() && Second->has_value());
    CPPUNIT_ASSERT(**First == JournalOutcome::NotWritten);
    CPPUNIT_ASSERT(**Second == JournalOutcome::NotWritten);
    Bench.Store.ChooseFault = nullptr;
    Bench.run(200ms);
    CPPUNIT_ASSERT(**Waiting == JournalOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Store.values(3).size());
  }

  // Guards against a store with a response time of 450 ms being treated as
  // down: each append timed out once, and new jobs were refused meanwhile.
  void testSlowStoreIsNotUnavailable() {
    JournalBench Bench;
    const auto Journal = Bench.open(1);
    Bench.Store.AppendTime = 450ms;
    Bench.write(Journal, "a", 5s);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Bench.Store.values(3).size());
    for (const char *Key : {"b", "c", "d"}) {
      const auto Outcome = Bench.write(Journal, Key);
      Bench.run(500ms);
      CPPUNIT_ASSERT(**Outcome == JournalOutcome::Written);
      CPPUNIT_ASSERT(!Journal->isUnavailable());
    }
  }

  void propertyOutcomesMatchStoredRecords() {
    CPPUNIT_ASSERT(rc::check("written is stored, not written is not", [] {
      JournalBench Bench;
      const auto Journal = Bench.open(1);
      const auto Outcomes =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      std::size_t Next = 0;
      Bench.Store.ChooseFault = [&] {
        return Next < Outcomes.size()
                   ? static_cast<FakeStoreClient::AppendFault>(Outcomes[Next++])
                   : FakeStoreClient::AppendFault::None;
      };
      std::map<std::string, std::shared_ptr<std::optional<JournalOutcome>>> All;
      for (int I = 0; I < 12; ++I) {
        const std::string Key = "k" + std::to_string(I);
        All[Key] = Bench.write(Journal, Key, 400ms);
        Bench.run(std::chrono::milliseconds(*rc::gen::inRange(0, 200)));
      }
      Bench.run(10s);
      const auto Values = Bench.Store.values(3);
      for (const auto &[Key, Outcome] : All) {
        RC_ASSERT(Outcome->has_value());
        if (**Outcome == JournalOutcome::Written)
          RC_ASSERT(Values.contains(Key));
        if (**Outcome == JournalOutcome::NotWritten)
          RC_ASSERT(!Values.contains(Key));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardJournalTest);

} // namespace hickory
