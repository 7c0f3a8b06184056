#include "Log/LogWriter.h"

#include "Base/Hash.h"
#include "Fakes/FakeLogClient.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

records::Record keyRecord(const std::string &Key) {
  records::Record Item;
  Item.mutable_job_cancelled()->set_key(Key);
  return Item;
}

/// A writer on a fake log service, with the time under the control of the test.
struct WriterFixture {
  explicit WriterFixture(FakeLogOptions Faults = {},
                         LogWriterOptions CustomOptions = {})
      : Log(Timers, Faults), Writer(Context.get_executor(), Timers, Log,
                                    Counters, withDefaults(CustomOptions)) {}

  static LogWriterOptions withDefaults(LogWriterOptions Options) {
    Options.Stream = "domain.test";
    Options.Slot = "slot-a";
    Options.Incarnation = 7;
    Options.Seed = 1;
    return Options;
  }

  void poll() {
    Context.restart();
    Context.poll();
  }

  /// Advances in steps of 1 ms, so that coroutines run in between.
  void run(std::chrono::milliseconds Duration) {
    poll();
    for (auto Passed = 0ms; Passed < Duration; Passed += 1ms) {
      Timers.advance(1ms);
      poll();
    }
  }

  [[nodiscard]] std::vector<records::RecordBatch> batches() const {
    std::vector<records::RecordBatch> Parsed;
    for (const std::string &Payload : Log.entries("domain.test"))
      CPPUNIT_ASSERT(Parsed.emplace_back().ParseFromString(Payload));
    return Parsed;
  }

  asio::io_context Context;
  FakeTimerService Timers;
  Metrics Counters;
  FakeLogClient Log;
  LogWriter Writer;
};

} // namespace

class LogWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogWriterTest);
  CPPUNIT_TEST(recordsWithinLingerShareOneAppend);
  CPPUNIT_TEST(recordsQueuedDuringAppendShareNextAppend);
  CPPUNIT_TEST(batchSizeIsLimited);
  CPPUNIT_TEST(batchesFormHashChain);
  CPPUNIT_TEST(everyRecordIsReadOnceDespiteRandomLoss);
  CPPUNIT_TEST(lostResponseIsRetriedWithSameBytes);
  CPPUNIT_TEST(appendTimesOutDuringOutageAndIsWrittenLater);
  CPPUNIT_TEST(reachabilityFollowsAppends);
  CPPUNIT_TEST(queueIsBounded);
  CPPUNIT_TEST(restartDropsRecordsAndCallsCallbacks);
  CPPUNIT_TEST(oldAppendDoesNotConfirmNewRecord);
  CPPUNIT_TEST(oldAppendDoesNotChangeReachability);
  CPPUNIT_TEST(restartWithoutConnectionReportsNotWritten);
  CPPUNIT_TEST(restartAfterLostResponseReportsUnavailable);
  CPPUNIT_TEST(rejectionAfterLostResponseDoesNotDropBatch);
  CPPUNIT_TEST(rejectedBatchIsDroppedAndSequenceReused);
  CPPUNIT_TEST(flushSkipsLingerAndWaitsForAppend);
  CPPUNIT_TEST(flushEndsAtDeadline);
  CPPUNIT_TEST(retryAfterIsObserved);
  CPPUNIT_TEST(callbackMayRestartWriter);
  CPPUNIT_TEST(stopCallsCallbacksAndRejectsRecords);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one append per record, which the service's rate limit
  // would not allow.
  void recordsWithinLingerShareOneAppend() {
    WriterFixture Setup;
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord(std::to_string(I))));
    Setup.run(19ms);
    CPPUNIT_ASSERT_EQUAL(0, Setup.Log.AppendCalls);
    Setup.run(1ms);
    CPPUNIT_ASSERT_EQUAL(1, Setup.Log.AppendCalls);
    const auto Batches = Setup.batches();
    CPPUNIT_ASSERT_EQUAL(10, Batches[0].records_size());
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(std::to_string(I),
                           Batches[0].records(I).job_cancelled().key());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Batches[0].incarnation());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Batches[0].sequence());
    CPPUNIT_ASSERT_EQUAL(std::string("slot-a"), Batches[0].slot());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Setup.Writer.unconfirmedRecords());
  }

  // Guards against two concurrent appends, whose order would be undefined.
  void recordsQueuedDuringAppendShareNextAppend() {
    WriterFixture Setup;
    Setup.Log.HoldAppends = true;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(25ms);
    for (int I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("b")));
      Setup.run(30ms);
    }
    CPPUNIT_ASSERT_EQUAL(1, Setup.Log.AppendCalls);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Setup.Writer.unconfirmedRecords());
    Setup.Log.releaseAppends();
    Setup.run(1ms);
    CPPUNIT_ASSERT_EQUAL(2, Setup.Log.AppendCalls);
    CPPUNIT_ASSERT_EQUAL(5, Setup.batches()[1].records_size());
  }

  // Guards against batches that the service rejects because of their size.
  void batchSizeIsLimited() {
    LogWriterOptions Options;
    Options.MaximumBatchBytes = 1000;
    WriterFixture Setup({}, Options);
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord(std::string(90, 'x'))));
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord(std::string(5000, 'y'))));
    Setup.run(5ms);
    const auto Entries = Setup.Log.entries("domain.test");
    CPPUNIT_ASSERT(Entries.size() >= 6);
    int Records = 0;
    for (const auto &Batch : Setup.batches()) {
      Records += Batch.records_size();
      CPPUNIT_ASSERT(Batch.records_size() == 1 ||
                     Batch.ByteSizeLong() <= 1000 + 100);
    }
    CPPUNIT_ASSERT_EQUAL(51, Records);
  }

  // Guards against a chain in which hickory-audit could not find altered or
  // missing batches.
  void batchesFormHashChain() {
    WriterFixture Setup;
    for (int I = 0; I < 4; ++I) {
      CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord(std::to_string(I))));
      Setup.run(25ms);
    }
    const auto Entries = Setup.Log.entries("domain.test");
    const auto Batches = Setup.batches();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Batches.size());
    CPPUNIT_ASSERT(Batches[0].previous_hash().empty());
    for (std::size_t I = 1; I < Batches.size(); ++I) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(I + 1), Batches[I].sequence());
      CPPUNIT_ASSERT(Batches[I].previous_hash() == sha256(Entries[I - 1]));
    }
  }

  // Guards against records that are lost, duplicated or reordered when requests
  // and responses are lost at random.
  void everyRecordIsReadOnceDespiteRandomLoss() {
    const bool Holds = rc::check(
        "each record is read once and in order", [](std::uint64_t Seed) {
          FakeLogOptions Faults;
          Faults.Seed = Seed;
          Faults.LostRequestProbability = *rc::gen::element(0.0, 0.2, 0.5);
          Faults.LostReplyProbability = *rc::gen::element(0.0, 0.2, 0.5);
          Faults.Latency = std::chrono::milliseconds(*rc::gen::inRange(0, 8));
          const int Count = *rc::gen::inRange(1, 60);
          WriterFixture Setup(Faults);
          int Confirmed = 0;
          for (int I = 0; I < Count; ++I) {
            RC_ASSERT(Setup.Writer
                          .enqueue(keyRecord(std::to_string(I)),
                                   [&](Result<std::uint64_t> Offset) {
                                     RC_ASSERT(Offset.has_value());
                                     ++Confirmed;
                                   })
                          .has_value());
            Setup.run(
                std::chrono::milliseconds(*rc::gen::element(0, 1, 5, 30)));
          }
          // Long enough for 60 appends with several losses each.
          for (int I = 0; I < 600 && Setup.Writer.unconfirmedRecords() > 0; ++I)
            Setup.run(1000ms);
          RC_ASSERT(Confirmed == Count);
          std::uint64_t Last = 0;
          int Next = 0;
          for (const auto &Batch : Setup.batches()) {
            RC_ASSERT(Batch.sequence() <= Last + 1);
            if (Batch.sequence() <= Last)
              continue;
            Last = Batch.sequence();
            for (const auto &Item : Batch.records())
              RC_ASSERT(Item.job_cancelled().key() == std::to_string(Next++));
          }
          RC_ASSERT(Next == Count);
        });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a retry with different bytes, which would break the hash
  // chain or count as a new batch.
  void lostResponseIsRetriedWithSameBytes() {
    FakeLogOptions Faults;
    Faults.LostReplyProbability = 1;
    WriterFixture Setup(Faults);
    int Calls = 0;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(
        keyRecord("a"), [&](std::uint64_t /*Offset*/) { ++Calls; }));
    Setup.run(21ms);
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("b")));
    Setup.run(500ms);
    CPPUNIT_ASSERT_EQUAL(0, Calls);
    Setup.Log.Options.LostReplyProbability = 0;
    Setup.run(3000ms);
    CPPUNIT_ASSERT_EQUAL(1, Calls);
    const auto Entries = Setup.Log.entries("domain.test");
    CPPUNIT_ASSERT(Entries.size() >= 3);
    for (std::size_t I = 1; I + 1 < Entries.size(); ++I)
      CPPUNIT_ASSERT(Entries[I] == Entries[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Setup.batches().back().sequence());
  }

  // Guards against a caller that waits forever, and shows that a record can be
  // written after a Timeout.
  void appendTimesOutDuringOutageAndIsWrittenLater() {
    WriterFixture Setup;
    Setup.Log.makeUnavailable();
    std::optional<Result<std::uint64_t>> Outcome;
    asio::co_spawn(
        Setup.Context,
        [&]() -> asio::awaitable<void> {
          Outcome = co_await Setup.Writer.append(keyRecord("a"), 300ms);
        },
        asio::detached);
    Setup.run(299ms);
    CPPUNIT_ASSERT(!Outcome);
    Setup.run(2ms);
    CPPUNIT_ASSERT(Outcome && !*Outcome);
    CPPUNIT_ASSERT(Outcome->error().Code == ErrorCode::Timeout);
    Setup.Log.makeAvailable();
    Setup.run(3000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.batches().size());
  }

  // Guards against an outage that is not detected, or whose start is reported
  // too late.
  void reachabilityFollowsAppends() {
    WriterFixture Setup;
    CPPUNIT_ASSERT(Setup.Writer.isReachable());
    CPPUNIT_ASSERT(Setup.Writer.unreachableSince() == Setup.Timers.now());
    Setup.Log.makeUnavailable();
    Setup.Log.Options.Latency = 100ms;
    const auto Start = Setup.Timers.now();
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(1000ms);
    CPPUNIT_ASSERT(!Setup.Writer.isReachable());
    CPPUNIT_ASSERT(Setup.Writer.unreachableSince() == Start + 20ms);
    Setup.Log.makeAvailable();
    Setup.run(3000ms);
    CPPUNIT_ASSERT(Setup.Writer.isReachable());
  }

  // Guards against unbounded memory growth during an outage.
  void queueIsBounded() {
    LogWriterOptions Options;
    Options.MaximumWaitingRecords = 10;
    WriterFixture Setup({}, Options);
    Setup.Log.makeUnavailable();
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(100ms);
    const auto Refused = Setup.Writer.enqueue(keyRecord("b"));
    CPPUNIT_ASSERT(!Refused);
    CPPUNIT_ASSERT(Refused.error().Code == ErrorCode::Overloaded);
    CPPUNIT_ASSERT(Refused.error().RetryAfter.has_value());
    Setup.Log.makeAvailable();
    Setup.run(3000ms);
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("c")));
  }

  // Guards against callbacks of dropped records that are never called, and
  // against records of the old incarnation written under the new one.
  void restartDropsRecordsAndCallsCallbacks() {
    WriterFixture Setup;
    Setup.Log.HoldAppends = true;
    std::vector<ErrorCode> Reported;
    const auto RecordError = [&](Result<std::uint64_t> Offset) {
      CPPUNIT_ASSERT(!Offset);
      Reported.push_back(Offset.error().Code);
    };
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("in flight"), RecordError));
    Setup.run(25ms);
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("queued"), RecordError));
    Setup.Writer.restart(8);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Reported.size());
    CPPUNIT_ASSERT(Reported[0] == ErrorCode::Unavailable);
    CPPUNIT_ASSERT(Reported[1] == ErrorCode::Cancelled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), Setup.Writer.incarnation());
    Setup.Log.releaseAppends();
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("new")));
    Setup.run(25ms);
    const auto Batches = Setup.batches();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Batches.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Batches[0].incarnation());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), Batches[1].incarnation());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Batches[1].sequence());
    CPPUNIT_ASSERT(Batches[1].previous_hash().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         Batches[1].records(0).job_cancelled().key());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Reported.size());
  }

  // Guards against a late response to an append of the old incarnation that
  // confirms a new record.
  void oldAppendDoesNotConfirmNewRecord() {
    WriterFixture Setup;
    Setup.Log.HoldAppends = true;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("old")));
    Setup.run(25ms);
    Setup.Writer.restart(8);
    std::optional<std::uint64_t> Offset;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("new"), [&](std::uint64_t BatchOffset) {
          Offset = BatchOffset;
        }));
    // The old append ends within the linger of the new record.
    Setup.run(10ms);
    Setup.Log.releaseAppends();
    Setup.run(5ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.batches().size());
    CPPUNIT_ASSERT(!Offset);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.Writer.unconfirmedRecords());
    Setup.run(10ms);
    CPPUNIT_ASSERT(Offset == std::uint64_t(1));
  }

  // Guards against an append of the old incarnation that changes the state of
  // the writer after the restart.
  void oldAppendDoesNotChangeReachability() {
    WriterFixture Setup;
    Setup.Log.HoldAppends = true;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("old")));
    Setup.run(25ms);
    Setup.Writer.restart(8);
    Setup.Log.makeUnavailable();
    Setup.Log.releaseAppends();
    Setup.run(5000ms);
    CPPUNIT_ASSERT(Setup.Writer.isReachable());
    CPPUNIT_ASSERT_EQUAL(1, Setup.Log.AppendCalls);
  }

  // Guards against an uncertain result if every attempt failed before anything
  // was sent.
  void restartWithoutConnectionReportsNotWritten() {
    WriterFixture Setup;
    Setup.Log.Outage =
        Error{ErrorCode::ConnectionRefused, "connection refused"};
    std::optional<ErrorCode> Reported;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("a"), [&](Result<std::uint64_t> Offset) {
          Reported = Offset.error().Code;
        }));
    Setup.run(1000ms);
    CPPUNIT_ASSERT(Setup.Log.AppendCalls > 1);
    Setup.Writer.restart(8);
    CPPUNIT_ASSERT(Reported == ErrorCode::Cancelled);
  }

  // Guards against "not written" for a record that was written, if the restart
  // comes between two attempts.
  void restartAfterLostResponseReportsUnavailable() {
    WriterFixture Setup;
    Setup.Log.Options.LostReplyProbability = 1;
    std::optional<ErrorCode> Reported;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("a"), [&](Result<std::uint64_t> Offset) {
          Reported = Offset.error().Code;
        }));
    Setup.run(21ms);
    CPPUNIT_ASSERT(Setup.Log.AppendCalls >= 1);
    // Later attempts cannot connect, so only the first can have been written.
    Setup.Log.Outage =
        Error{ErrorCode::ConnectionRefused, "connection refused"};
    Setup.run(1000ms);
    Setup.Writer.restart(8);
    CPPUNIT_ASSERT(Reported == ErrorCode::Unavailable);
  }

  // Guards against reuse of the sequence number of a batch that may have been
  // written: the response to its first attempt was lost, and the service
  // rejects a later one.
  void rejectionAfterLostResponseDoesNotDropBatch() {
    WriterFixture Setup;
    Setup.Log.Options.LostReplyProbability = 1;
    std::optional<Result<std::uint64_t>> Reported;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("a"), [&](Result<std::uint64_t> Offset) {
          Reported = Offset;
        }));
    Setup.run(21ms);
    Setup.Log.Outage = Error{ErrorCode::InvalidArgument, "body too large"};
    Setup.run(1000ms);
    CPPUNIT_ASSERT(!Reported);
    Setup.Log.Options.LostReplyProbability = 0;
    Setup.Log.makeAvailable();
    Setup.run(3000ms);
    CPPUNIT_ASSERT(Reported && *Reported);
  }

  // Guards against a batch that the service never accepts and that blocks the
  // stream forever.
  void rejectedBatchIsDroppedAndSequenceReused() {
    WriterFixture Setup;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(25ms);
    Setup.Log.Outage = Error{ErrorCode::InvalidArgument, "body too large"};
    std::optional<ErrorCode> Reported;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("b"), [&](Result<std::uint64_t> Offset) {
          Reported = Offset.error().Code;
        }));
    Setup.run(25ms);
    CPPUNIT_ASSERT(Reported == ErrorCode::InvalidArgument);
    Setup.Log.makeAvailable();
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("c")));
    Setup.run(25ms);
    const auto Batches = Setup.batches();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Batches.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Batches[1].sequence());
    CPPUNIT_ASSERT(Batches[1].previous_hash() ==
                   sha256(Setup.Log.entries("domain.test")[0]));
  }

  // Guards against a graceful stop that loses queued records.
  void flushSkipsLingerAndWaitsForAppend() {
    LogWriterOptions Options;
    Options.Linger = 10000ms;
    WriterFixture Setup({}, Options);
    Setup.Log.Options.Latency = 50ms;
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(5ms);
    bool Flushed = false;
    asio::co_spawn(
        Setup.Context,
        [&]() -> asio::awaitable<void> {
          co_await Setup.Writer.flush(1000ms);
          Flushed = true;
        },
        asio::detached);
    Setup.run(49ms);
    CPPUNIT_ASSERT(!Flushed);
    Setup.run(2ms);
    CPPUNIT_ASSERT(Flushed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.batches().size());
  }

  // Guards against a stop that hangs while the log service is down.
  void flushEndsAtDeadline() {
    WriterFixture Setup;
    Setup.Log.makeUnavailable();
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    bool Flushed = false;
    asio::co_spawn(
        Setup.Context,
        [&]() -> asio::awaitable<void> {
          co_await Setup.Writer.flush(1000ms);
          Flushed = true;
        },
        asio::detached);
    Setup.run(999ms);
    CPPUNIT_ASSERT(!Flushed);
    Setup.run(2ms);
    CPPUNIT_ASSERT(Flushed);
  }

  // Guards against retries before the Retry-After of the service has passed.
  void retryAfterIsObserved() {
    WriterFixture Setup;
    Setup.Log.Outage = Error{ErrorCode::Overloaded, "too many appends", 1000ms};
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("a")));
    Setup.run(1015ms);
    CPPUNIT_ASSERT_EQUAL(1, Setup.Log.AppendCalls);
    Setup.run(60ms);
    CPPUNIT_ASSERT_EQUAL(2, Setup.Log.AppendCalls);
  }

  // Guards against access to freed state when a callback restarts the writer,
  // as happens when an instance reads its own Expire record.
  void callbackMayRestartWriter() {
    WriterFixture Setup;
    int Confirmed = 0;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("a"), [&](std::uint64_t /*Offset*/) {
          Setup.Writer.restart(9);
        }));
    CPPUNIT_ASSERT(Setup.Writer.enqueue(
        keyRecord("b"), [&](std::uint64_t /*Offset*/) { ++Confirmed; }));
    Setup.run(25ms);
    CPPUNIT_ASSERT_EQUAL(1, Confirmed);
    CPPUNIT_ASSERT(Setup.Writer.enqueue(keyRecord("c")));
    Setup.run(25ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9),
                         Setup.batches().back().incarnation());
  }

  // Guards against records that are queued and then silently dropped.
  void stopCallsCallbacksAndRejectsRecords() {
    WriterFixture Setup;
    std::optional<ErrorCode> Reported;
    CPPUNIT_ASSERT(
        Setup.Writer.enqueue(keyRecord("a"), [&](Result<std::uint64_t> Offset) {
          Reported = Offset.error().Code;
        }));
    Setup.Writer.stop();
    CPPUNIT_ASSERT(Reported == ErrorCode::Cancelled);
    const auto Refused = Setup.Writer.enqueue(keyRecord("b"));
    CPPUNIT_ASSERT(!Refused && Refused.error().Code == ErrorCode::Cancelled);
    Setup.run(100ms);
    CPPUNIT_ASSERT_EQUAL(0, Setup.Log.AppendCalls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

} // namespace hickory
