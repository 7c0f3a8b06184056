#include "Log/LogReader.h"

#include "Fakes/FakeLogClient.h"
#include "Fakes/FakeTimerService.h"
#include "Log/LogWriter.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr const char *Stream = "domain.test";

/// Consumer whose state is the list of cancelled keys, in order, and that can
/// write and load snapshots of it.
class KeyListConsumer final : public LogConsumer {
public:
  void onBatch(std::uint64_t Offset,
               const records::RecordBatch &Batch) override {
    Offsets.push_back(Offset);
    Sequences[Batch.incarnation()] = Batch.sequence();
    for (const auto &Item : Batch.records())
      if (Item.has_job_cancelled())
        Keys.push_back(Item.job_cancelled().key());
    Last = Offset;
  }

  std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) override {
    for (const auto &Item : Batch.records())
      if (Item.has_domain_snapshot()) {
        ++SnapshotsLoaded;
        Keys.clear();
        Sequences.clear();
        for (const auto &Job : Item.domain_snapshot().jobs())
          Keys.push_back(Job.accepted().key());
        for (const auto &Member : Item.domain_snapshot().members())
          Sequences[Member.incarnation()] = Member.last_sequence();
        return Item.domain_snapshot().covers();
      }
    return std::nullopt;
  }

  [[nodiscard]] LastSequences lastSequences() const override {
    return Sequences;
  }

  void onCaughtUp(std::uint64_t Next) override { CaughtUpAt.push_back(Next); }

  [[nodiscard]] records::Record snapshot() const {
    records::Record Item;
    auto &Snapshot = *Item.mutable_domain_snapshot();
    Snapshot.set_covers(Last);
    for (const std::string &Key : Keys)
      Snapshot.add_jobs()->mutable_accepted()->set_key(Key);
    for (const auto &[Incarnation, Sequence] : Sequences) {
      auto &Member = *Snapshot.add_members();
      Member.set_incarnation(Incarnation);
      Member.set_last_sequence(Sequence);
    }
    return Item;
  }

  std::vector<std::string> Keys;
  std::vector<std::uint64_t> Offsets;
  LastSequences Sequences;
  std::uint64_t Last = 0;
  int SnapshotsLoaded = 0;
  std::vector<std::uint64_t> CaughtUpAt;
};

/// A fake log service, with the time under the control of the test.
struct LogFixture {
  explicit LogFixture(FakeLogOptions Faults = {}) : Log(Timers, Faults) {}

  void poll() {
    Context.restart();
    Context.poll();
  }

  void run(std::chrono::milliseconds Duration) {
    poll();
    for (auto Passed = 0ms; Passed < Duration; Passed += 1ms) {
      Timers.advance(1ms);
      poll();
    }
  }

  std::uint64_t put(std::uint64_t Incarnation, std::uint64_t Sequence,
                    const std::string &Key) {
    records::RecordBatch Batch;
    Batch.set_incarnation(Incarnation);
    Batch.set_sequence(Sequence);
    Batch.add_records()->mutable_job_cancelled()->set_key(Key);
    return Log.put(Stream, Batch.SerializeAsString());
  }

  std::uint64_t putSnapshot(std::uint64_t Incarnation, std::uint64_t Sequence,
                            records::Record Snapshot) {
    records::RecordBatch Batch;
    Batch.set_incarnation(Incarnation);
    Batch.set_sequence(Sequence);
    *Batch.add_records() = std::move(Snapshot);
    return Log.put(Stream, Batch.SerializeAsString());
  }

  asio::io_context Context;
  FakeTimerService Timers;
  Metrics Counters;
  FakeLogClient Log;
};

/// A running reader with its consumer.
struct RunningReader {
  explicit RunningReader(LogFixture &Setup, LogReaderOptions CustomOptions = {})
      : Reader(Setup.Context.get_executor(), Setup.Timers, Setup.Log,
               Setup.Counters, Consumer, withDefaults(CustomOptions)),
        Context(Setup.Context) {
    start();
  }

  static LogReaderOptions withDefaults(LogReaderOptions Options) {
    Options.Stream = Stream;
    Options.Seed = 1;
    return Options;
  }

  void start() {
    Outcome.reset();
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<void> { Outcome = co_await Reader.run(); },
        asio::detached);
  }

  KeyListConsumer Consumer;
  LogReader Reader;
  asio::io_context &Context;
  std::optional<Result<void>> Outcome;
};

using KeyList = std::vector<std::string>;

} // namespace

class LogReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogReaderTest);
  CPPUNIT_TEST(deliversInOrderAndReportsCaughtUpOnce);
  CPPUNIT_TEST(longPollDeliversWithoutDelay);
  CPPUNIT_TEST(duplicatesAreDropped);
  CPPUNIT_TEST(lateDuplicateAfterLaterSequenceIsDropped);
  CPPUNIT_TEST(startsFromSnapshotIfBeginningIsNotRetained);
  CPPUNIT_TEST(duplicateOfBatchCoveredBySnapshotIsDropped);
  CPPUNIT_TEST(snapshotBeforeGapIsNotUsed);
  CPPUNIT_TEST(missingSnapshotIsReported);
  CPPUNIT_TEST(gapWhileFollowingIsClosedBySnapshot);
  CPPUNIT_TEST(shortenedStreamIsReported);
  CPPUNIT_TEST(invalidEntriesAreSkipped);
  CPPUNIT_TEST(missingSequenceIsCounted);
  CPPUNIT_TEST(outageIsRetriedWithBackoff);
  CPPUNIT_TEST(stopEndsBackoffImmediately);
  CPPUNIT_TEST(startsAtGivenOffset);
  CPPUNIT_TEST(readersReachSameStateFromAnyStart);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reordered or repeated delivery, and against a daemon that
  // acts before it has read the complete state.
  void deliversInOrderAndReportsCaughtUpOnce() {
    LogFixture Setup;
    for (std::uint64_t I = 1; I <= 1200; ++I)
      Setup.put(1, I, std::to_string(I));
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT(Following.Reader.isCaughtUp());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1200), Following.Consumer.Keys.size());
    for (std::uint64_t I = 0; I < 1200; ++I)
      CPPUNIT_ASSERT_EQUAL(I, Following.Consumer.Offsets[I]);
    Setup.put(1, 1201, "later");
    Setup.run(5000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Following.Consumer.CaughtUpAt.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1200), Following.Consumer.CaughtUpAt[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1201), Following.Reader.nextOffset());
    CPPUNIT_ASSERT(Following.Reader.lastSuccessfulRead() >
                   Setup.Timers.now() - 1100ms);
  }

  // Guards against short polling, with its delay and traffic.
  void longPollDeliversWithoutDelay() {
    LogFixture Setup;
    RunningReader Following(Setup);
    Setup.run(10000ms);
    // One read reaches the end of the stream, then there is one per second.
    CPPUNIT_ASSERT(Setup.Log.ReadCalls >= 10 && Setup.Log.ReadCalls <= 12);
    Setup.put(1, 1, "a");
    Setup.poll();
    CPPUNIT_ASSERT(Following.Consumer.Keys == KeyList{"a"});
  }

  // Guards against records that count twice after a lost response.
  void duplicatesAreDropped() {
    LogFixture Setup;
    Setup.put(1, 1, "a");
    Setup.put(1, 1, "a");
    Setup.put(2, 1, "b");
    Setup.put(1, 2, "c");
    Setup.put(2, 1, "b");
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT((Following.Consumer.Keys == KeyList{"a", "b", "c"}));
    CPPUNIT_ASSERT_EQUAL(
        2.0, Setup.Counters.counterValue("hickory_log_duplicate_batches_total",
                                         "stream=\"domain.test\""));
  }

  // Guards against a delayed first attempt that is appended after the batch
  // that followed its retry.
  void lateDuplicateAfterLaterSequenceIsDropped() {
    LogFixture Setup;
    Setup.put(1, 1, "a");
    Setup.put(1, 2, "b");
    Setup.put(1, 1, "a");
    Setup.put(1, 3, "c");
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT((Following.Consumer.Keys == KeyList{"a", "b", "c"}));
  }

  // Guards against a new instance that misses entries that are no longer
  // retained, or applies entries that the snapshot covers.
  void startsFromSnapshotIfBeginningIsNotRetained() {
    LogFixture Setup;
    RunningReader First(Setup);
    for (std::uint64_t I = 1; I <= 10; ++I)
      Setup.put(1, I, std::to_string(I));
    Setup.poll();
    auto Snapshot = First.Consumer.snapshot();
    Setup.put(1, 11, "11");
    Setup.put(1, 12, "12");
    Setup.putSnapshot(2, 1, std::move(Snapshot));
    Setup.put(1, 13, "13");
    Setup.poll();
    Setup.Log.dropBefore(Stream, 5);
    RunningReader Second(Setup);
    Setup.poll();
    CPPUNIT_ASSERT(Second.Reader.isCaughtUp());
    CPPUNIT_ASSERT_EQUAL(1, Second.Consumer.SnapshotsLoaded);
    CPPUNIT_ASSERT(Second.Consumer.Keys == First.Consumer.Keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t(13), Second.Consumer.Keys.size());
    // A reader that started at the beginning loads no snapshot.
    CPPUNIT_ASSERT_EQUAL(0, First.Consumer.SnapshotsLoaded);
  }

  // Guards against delivery of a duplicate whose first copy is covered by the
  // snapshot.
  void duplicateOfBatchCoveredBySnapshotIsDropped() {
    LogFixture Setup;
    RunningReader First(Setup);
    for (std::uint64_t I = 1; I <= 5; ++I)
      Setup.put(1, I, std::to_string(I));
    Setup.poll();
    Setup.putSnapshot(2, 1, First.Consumer.snapshot());
    Setup.put(1, 5, "5");
    Setup.put(1, 6, "6");
    Setup.poll();
    Setup.Log.dropBefore(Stream, 3);
    RunningReader Second(Setup);
    Setup.poll();
    CPPUNIT_ASSERT(Second.Consumer.Keys == First.Consumer.Keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Second.Consumer.Keys.size());
  }

  // Guards against a start from a snapshot after which entries are missing.
  void snapshotBeforeGapIsNotUsed() {
    LogFixture Setup;
    RunningReader First(Setup);
    Setup.put(1, 1, "1");
    Setup.put(1, 2, "2");
    Setup.poll();
    auto Old = First.Consumer.snapshot();
    for (std::uint64_t I = 3; I <= 6; ++I)
      Setup.put(1, I, std::to_string(I));
    Setup.putSnapshot(2, 1, std::move(Old));
    Setup.put(1, 7, "7");
    Setup.poll();
    Setup.putSnapshot(2, 2, First.Consumer.snapshot());
    Setup.put(1, 8, "8");
    Setup.poll();
    // Offsets 2 and 3 are lost; the first snapshot covers up to 1.
    Setup.Log.dropBefore(Stream, 4);
    RunningReader Second(Setup);
    Setup.poll();
    CPPUNIT_ASSERT_EQUAL(1, Second.Consumer.SnapshotsLoaded);
    CPPUNIT_ASSERT(Second.Consumer.Keys == First.Consumer.Keys);
  }

  // Guards against a silent start with an incomplete state.
  void missingSnapshotIsReported() {
    LogFixture Setup;
    for (std::uint64_t I = 1; I <= 5; ++I)
      Setup.put(1, I, std::to_string(I));
    Setup.Log.dropBefore(Stream, 2);
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT(Following.Outcome && !*Following.Outcome);
    CPPUNIT_ASSERT(Following.Outcome->error().Code == ErrorCode::NotFound);
    CPPUNIT_ASSERT(Following.Consumer.Keys.empty());
    CPPUNIT_ASSERT(!Following.Reader.isCaughtUp());
    // Once another instance has appended a snapshot, a second run succeeds.
    KeyListConsumer Continuous;
    Continuous.Keys = {"1", "2", "3", "4", "5"};
    Continuous.Sequences = {{1, 5}};
    Continuous.Last = 4;
    Setup.putSnapshot(2, 1, Continuous.snapshot());
    Following.start();
    Setup.poll();
    CPPUNIT_ASSERT(!Following.Outcome);
    CPPUNIT_ASSERT(Following.Consumer.Keys == Continuous.Keys);
  }

  // Guards against a paused instance that continues without the entries that
  // were dropped in the meantime.
  void gapWhileFollowingIsClosedBySnapshot() {
    LogFixture Setup;
    RunningReader Continuous(Setup);
    RunningReader Paused(Setup);
    Setup.put(1, 1, "1");
    Setup.poll();
    Paused.Reader.stop();
    Setup.run(1100ms);
    CPPUNIT_ASSERT(Paused.Outcome && *Paused.Outcome);
    for (std::uint64_t I = 2; I <= 6; ++I)
      Setup.put(1, I, std::to_string(I));
    Setup.poll();
    Setup.putSnapshot(2, 1, Continuous.Consumer.snapshot());
    Setup.put(1, 7, "7");
    Setup.poll();
    Setup.Log.dropBefore(Stream, 4);
    Paused.start();
    Setup.poll();
    CPPUNIT_ASSERT_EQUAL(1, Paused.Consumer.SnapshotsLoaded);
    CPPUNIT_ASSERT(Paused.Consumer.Keys == Continuous.Consumer.Keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Paused.Consumer.CaughtUpAt.size());
  }

  // Guards against a reader that waits forever for offsets that the log service
  // had assigned and then lost.
  void shortenedStreamIsReported() {
    LogFixture Setup;
    Setup.put(1, 1, "a");
    LogReaderOptions Options;
    Options.From = 5;
    RunningReader Following(Setup, Options);
    Setup.poll();
    CPPUNIT_ASSERT(Following.Outcome && !*Following.Outcome);
    CPPUNIT_ASSERT(Following.Outcome->error().Code == ErrorCode::Conflict);
  }

  // Guards against one invalid entry that stops every instance of a domain.
  void invalidEntriesAreSkipped() {
    LogFixture Setup;
    Setup.put(1, 1, "a");
    Setup.Log.put(Stream, "\xff\xff not a batch");
    Setup.Log.put(Stream, "");
    Setup.put(1, 2, "b");
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT((Following.Consumer.Keys == KeyList{"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(
        2.0, Setup.Counters.counterValue("hickory_log_invalid_entries_total",
                                         "stream=\"domain.test\""));
  }

  // Guards against entries lost within the stream that stay undetected.
  void missingSequenceIsCounted() {
    LogFixture Setup;
    Setup.put(1, 1, "a");
    Setup.put(1, 4, "d");
    RunningReader Following(Setup);
    Setup.poll();
    CPPUNIT_ASSERT((Following.Consumer.Keys == KeyList{"a", "d"}));
    CPPUNIT_ASSERT_EQUAL(
        2.0, Setup.Counters.counterValue("hickory_log_missing_batches_total",
                                         "stream=\"domain.test\""));
  }

  // Guards against a reader that gives up during an outage, or retries without
  // backoff.
  void outageIsRetriedWithBackoff() {
    LogFixture Setup;
    Setup.Log.makeUnavailable();
    RunningReader Following(Setup);
    Setup.run(60000ms);
    // The mean delay is 1 s once the maximum of 2 s is reached.
    CPPUNIT_ASSERT(Setup.Log.ReadCalls > 30 && Setup.Log.ReadCalls < 120);
    Setup.put(1, 1, "a");
    Setup.Log.makeAvailable();
    Setup.run(2001ms);
    CPPUNIT_ASSERT(Following.Consumer.Keys == KeyList{"a"});
    CPPUNIT_ASSERT(!Following.Outcome);
  }

  // Guards against a planned stop that waits for the log service to recover.
  void stopEndsBackoffImmediately() {
    LogFixture Setup;
    Setup.Log.Outage = Error{ErrorCode::Overloaded, "down", 2000ms};
    RunningReader Following(Setup);
    Setup.run(100ms);
    Following.Reader.stop();
    Setup.poll();
    CPPUNIT_ASSERT(Following.Outcome && *Following.Outcome);
  }

  // Guards against delivery of entries before the given offset, for example of
  // a configuration that was received from another instance.
  void startsAtGivenOffset() {
    LogFixture Setup;
    for (std::uint64_t I = 1; I <= 5; ++I)
      Setup.put(1, I, std::to_string(I));
    LogReaderOptions Options;
    Options.From = 3;
    RunningReader Following(Setup, Options);
    Setup.poll();
    CPPUNIT_ASSERT((Following.Consumer.Keys == KeyList{"4", "5"}));
  }

  // Guards against readers that reach different states from one stream. With
  // several writers, lost responses, retention and snapshots, a reader that
  // starts at any time must reach the state of one that followed from the
  // beginning.
  void readersReachSameStateFromAnyStart() {
    const bool Holds = rc::check(
        "each reader ends with the same keys", [](std::uint64_t Seed) {
          FakeLogOptions Faults;
          Faults.Seed = Seed;
          Faults.LostRequestProbability = *rc::gen::element(0.0, 0.2);
          Faults.LostReplyProbability = *rc::gen::element(0.0, 0.4);
          LogFixture Setup(Faults);
          RunningReader Continuous(Setup);
          std::vector<std::unique_ptr<LogWriter>> Writers;
          for (std::uint64_t I = 1; I <= 3; ++I) {
            LogWriterOptions Options;
            Options.Stream = Stream;
            Options.Incarnation = I;
            Options.Seed = Seed + I;
            Options.MaximumBackoff = 50ms;
            Writers.push_back(std::make_unique<LogWriter>(
                Setup.Context.get_executor(), Setup.Timers, Setup.Log,
                Setup.Counters, Options));
          }
          const int Steps = *rc::gen::inRange(10, 60);
          std::set<std::string> Sent;
          int SinceSnapshot = 0;
          for (int I = 0; I < Steps; ++I) {
            const auto Writer = *rc::gen::inRange<std::size_t>(0, 3);
            // A snapshot of an empty stream cannot be expressed.
            if (++SinceSnapshot > 12 && !Continuous.Consumer.Keys.empty()) {
              SinceSnapshot = 0;
              RC_ASSERT(
                  Writers[Writer]->enqueue(Continuous.Consumer.snapshot()));
            }
            records::Record Item;
            Item.mutable_job_cancelled()->set_key(std::to_string(I));
            RC_ASSERT(Writers[Writer]->enqueue(std::move(Item)));
            Sent.insert(std::to_string(I));
            Setup.run(std::chrono::milliseconds(*rc::gen::inRange(0, 40)));
          }
          Setup.run(20000ms);
          RC_ASSERT(Writers[0]->enqueue(Continuous.Consumer.snapshot()));
          Setup.run(20000ms);
          for (const auto &Writer : Writers)
            RC_ASSERT(Writer->unconfirmedRecords() == 0U);
          const KeyList &Expected = Continuous.Consumer.Keys;
          RC_ASSERT(std::set<std::string>(Expected.begin(), Expected.end()) ==
                    Sent);
          RC_ASSERT(Expected.size() == Sent.size());
          RunningReader Complete(Setup);
          Setup.poll();
          RC_ASSERT(Complete.Consumer.Keys == Expected);
          Setup.Log.dropBefore(Stream, *rc::gen::inRange<std::uint64_t>(
                                           0, Setup.Log.end(Stream) + 1));
          RunningReader Late(Setup);
          Setup.poll();
          if (!Late.Outcome) {
            RC_ASSERT(Late.Reader.isCaughtUp());
            RC_ASSERT(Late.Consumer.Keys == Expected);
          } else {
            // No usable snapshot was retained.
            RC_ASSERT(!*Late.Outcome);
            RC_ASSERT(Late.Consumer.Keys.empty());
          }
          RC_CLASSIFY(Late.Outcome.has_value(), "no snapshot retained");
          RC_CLASSIFY(Late.Consumer.SnapshotsLoaded > 0, "from snapshot");
        });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogReaderTest);

} // namespace hickory
