#include "Log/LogReader.h"

#include "Base/Backoff.h"
#include "Base/Notifier.h"

#include <algorithm>
#include <fmt/format.h>
#include <glog/logging.h>
#include <utility>

namespace hickory {

namespace {

/// Returns the last offset covered by the snapshot in Batch, or nothing if it
/// holds none.
std::optional<std::uint64_t> coveredOffset(const records::RecordBatch &Batch) {
  for (const records::Record &Item : Batch.records()) {
    if (Item.has_domain_snapshot())
      return Item.domain_snapshot().covers();
    if (Item.has_config_snapshot())
      return Item.config_snapshot().covers();
  }
  return std::nullopt;
}

} // namespace

struct LogReader::Wakeup {
  explicit Wakeup(const asio::any_io_executor &Executor) : Wake(Executor) {}
  Notifier Wake;
};

LogReader::LogReader(asio::any_io_executor Executor, TimerService &Timers,
                     LogClient &Client, Metrics &Counters,
                     LogConsumer &Consumer, LogReaderOptions Options)
    : Timers_(Timers), Client_(Client), Counters_(Counters),
      Consumer_(Consumer), Options_(std::move(Options)),
      Labels_(fmt::format("stream=\"{}\"", Options_.Stream)),
      Generator_(Options_.Seed ? Random(*Options_.Seed) : Random::fromSystem()),
      Wakeup_(std::make_shared<Wakeup>(Executor)), NextOffset_(Options_.From) {}

LogReader::~LogReader() = default;

void LogReader::stop() {
  Stopping_ = true;
  Wakeup_->Wake.notify();
}

asio::awaitable<void> LogReader::waitFor(Clock::duration Delay) {
  const Clock::time_point End = Timers_.now() + Delay;
  Subscription Timer =
      Timers_.after(Delay, [Weak = std::weak_ptr<Wakeup>(Wakeup_)] {
        if (const auto Alive = Weak.lock())
          Alive->Wake.notify();
      });
  while (!Stopping_ && Timers_.now() < End)
    co_await Wakeup_->Wake.wait();
}

asio::awaitable<Result<void>> LogReader::run() {
  Stopping_ = false;
  if (!Started_) {
    LastSequences_ = Consumer_.lastSequences();
    Started_ = true;
  }
  const BackoffOptions RetryBackoff{.Initial = Options_.InitialBackoff,
                                    .Maximum = Options_.MaximumBackoff};
  Backoff Delays(RetryBackoff, Generator_);
  bool Failing = false;
  while (!Stopping_) {
    // Reads do not wait until the reader has caught up, so that a short stream
    // does not delay the start by a whole long poll.
    LogReadOptions Read{.From = NextOffset_,
                        .Maximum = Options_.MaximumEntries,
                        .Wait = CaughtUp_ ? Options_.Wait
                                          : std::chrono::milliseconds(0)};
    Result<LogPage> Page = co_await Client_.read(Options_.Stream, Read);
    if (Stopping_)
      break;
    Counters_.count("hickory_log_reads_total", 1, Labels_);
    if (!Page) {
      Counters_.count("hickory_log_read_failures_total", 1, Labels_);
      if (!Failing)
        LOG(WARNING) << "log: read of stream " << Options_.Stream
                     << " failed, retrying: " << Page.error().Message;
      Failing = true;
      co_await waitFor(Delays.next(Page.error().RetryAfter));
      continue;
    }
    if (Failing)
      LOG(INFO) << "log: stream " << Options_.Stream << " can be read again";
    Failing = false;
    Delays.reset();
    LastSuccessfulRead_ = Timers_.now();
    if (Page->Next < NextOffset_)
      co_return fail(
          ErrorCode::Conflict,
          fmt::format("stream {} ends at offset {} but was read up to {}; the "
                      "log service lost entries, restart all instances",
                      Options_.Stream, Page->Next, NextOffset_));
    if (Page->Earliest > NextOffset_)
      startSnapshotSearch(Page->Earliest);
    for (LogEntry &Entry : Page->Entries) {
      if (Stopping_)
        co_return Result<void>();
      processEntry(std::move(Entry));
    }
    if (!Page->Entries.empty())
      continue;
    NextOffset_ = std::max(NextOffset_, Page->Next);
    if (SearchStart_) {
      const std::uint64_t First = *SearchStart_;
      // A further run() reads the retained entries again.
      Buffered_.clear();
      NextOffset_ = First;
      co_return fail(
          ErrorCode::NotFound,
          fmt::format(
              "stream {} is retained only from offset {} on, and "
              "no snapshot covers the earlier entries; raise its retention or "
              "append snapshots more often",
              Options_.Stream, First));
    }
    if (!std::exchange(CaughtUp_, true))
      Consumer_.onCaughtUp(NextOffset_);
  }
  co_return Result<void>();
}

void LogReader::startSnapshotSearch(std::uint64_t First) {
  Counters_.count("hickory_log_gaps_total", 1, Labels_);
  LOG(WARNING) << "log: stream " << Options_.Stream
               << " no longer retains the entries from offset " << NextOffset_
               << " up to " << First << "; searching for a snapshot";
  SearchStart_ = First;
  Buffered_.clear();
  CaughtUp_ = false;
  NextOffset_ = First;
}

void LogReader::processEntry(LogEntry Entry) {
  if (Entry.Offset < NextOffset_)
    return;
  if (Entry.Offset > NextOffset_)
    startSnapshotSearch(Entry.Offset);
  NextOffset_ = Entry.Offset + 1;
  records::RecordBatch Batch;
  if (!Batch.ParseFromString(Entry.Payload) || Batch.sequence() == 0) {
    Counters_.count("hickory_log_invalid_entries_total", 1, Labels_);
    LOG(ERROR) << "log: entry " << Entry.Offset << " of stream "
               << Options_.Stream << " is not a record batch; skipped";
    return;
  }
  if (SearchStart_)
    tryStartFromSnapshot(std::move(Entry), Batch);
  else
    deliver(Entry.Offset, Batch);
}

void LogReader::tryStartFromSnapshot(LogEntry Entry,
                                     const records::RecordBatch &Batch) {
  const std::uint64_t Offset = Entry.Offset;
  Buffered_.push_back(std::move(Entry));
  const std::optional<std::uint64_t> Covered = coveredOffset(Batch);
  // Unusable if entries between the covered offset and the first buffered one
  // are missing.
  if (!Covered || *Covered + 1 < *SearchStart_ || *Covered >= Offset)
    return;
  const std::optional<std::uint64_t> LoadedOffset =
      Consumer_.loadSnapshot(Batch);
  if (!LoadedOffset)
    return;
  LOG(INFO) << "log: stream " << Options_.Stream
            << " starts from the snapshot at offset " << Offset
            << ", which covers offset " << *LoadedOffset;
  Counters_.count("hickory_log_snapshot_starts_total", 1, Labels_);
  SearchStart_.reset();
  // The snapshot also covers what this reader read before the gap.
  for (const auto &[Incarnation, Sequence] : Consumer_.lastSequences()) {
    std::uint64_t &Known = LastSequences_[Incarnation];
    Known = std::max(Known, Sequence);
  }
  for (const LogEntry &Item : std::exchange(Buffered_, {})) {
    if (Item.Offset <= *LoadedOffset)
      continue;
    records::RecordBatch BufferedBatch;
    CHECK(BufferedBatch.ParseFromString(Item.Payload));
    deliver(Item.Offset, BufferedBatch);
  }
}

void LogReader::deliver(std::uint64_t Offset,
                        const records::RecordBatch &Batch) {
  const auto [LastSequence, IsNew] =
      LastSequences_.try_emplace(Batch.incarnation(), Batch.sequence());
  if (!IsNew) {
    if (Batch.sequence() <= LastSequence->second) {
      Counters_.count("hickory_log_duplicate_batches_total", 1, Labels_);
      return;
    }
    // A writer appends batch n + 1 only after batch n was confirmed.
    if (Batch.sequence() > LastSequence->second + 1) {
      Counters_.count(
          "hickory_log_missing_batches_total",
          static_cast<double>(Batch.sequence() - LastSequence->second - 1),
          Labels_);
      LOG(ERROR) << "log: stream " << Options_.Stream << " lacks batches "
                 << LastSequence->second + 1 << " to " << Batch.sequence() - 1
                 << " of incarnation " << Batch.incarnation()
                 << "; check it with hickory-audit";
    }
    LastSequence->second = Batch.sequence();
  }
  Consumer_.onBatch(Offset, Batch);
}

} // namespace hickory
