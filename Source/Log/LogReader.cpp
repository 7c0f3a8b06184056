#include "Log/LogReader.h"

#include "Base/Backoff.h"
#include "Base/Notifier.h"

#include <algorithm>
#include <fmt/format.h>
#include <glog/logging.h>
#include <utility>

namespace hickory {

namespace {

/// Last offset covered by the snapshot in a batch, if it holds one.
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
      Numbers_(Options_.Seed ? Random(*Options_.Seed) : Random::fromSystem()),
      Wakeup_(std::make_shared<Wakeup>(Executor)), Next_(Options_.From) {}

LogReader::~LogReader() = default;

void LogReader::stop() {
  Stopping_ = true;
  Wakeup_->Wake.notify();
}

asio::awaitable<void> LogReader::pause(Clock::duration Delay) {
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
    LastSequence_ = Consumer_.lastSequences();
    Started_ = true;
  }
  const BackoffOptions Pauses{.Initial = Options_.InitialBackoff,
                              .Maximum = Options_.MaximumBackoff};
  Backoff Delays(Pauses, Numbers_);
  bool Failing = false;
  while (!Stopping_) {
    // Without a wait until the end of the stream was seen, so that a short
    // stream does not delay the start by a whole long poll.
    LogReadOptions Read{.From = Next_,
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
                     << " failed and will be repeated: "
                     << Page.error().Message;
      Failing = true;
      co_await pause(Delays.next(Page.error().RetryAfter));
      continue;
    }
    if (Failing)
      LOG(INFO) << "log: stream " << Options_.Stream << " can be read again";
    Failing = false;
    Delays.reset();
    LastSuccess_ = Timers_.now();
    if (Page->Next < Next_)
      co_return fail(
          ErrorCode::Conflict,
          fmt::format("stream {} ends at offset {} but was read up to {}; the "
                      "log service lost entries, restart all instances",
                      Options_.Stream, Page->Next, Next_));
    if (Page->Earliest > Next_)
      startSeeking(Page->Earliest);
    for (LogEntry &Entry : Page->Entries) {
      if (Stopping_)
        co_return Result<void>();
      accept(std::move(Entry));
    }
    if (!Page->Entries.empty())
      continue;
    Next_ = std::max(Next_, Page->Next);
    if (SeekingFrom_) {
      const std::uint64_t First = *SeekingFrom_;
      // A second run() reads the retained entries again.
      Buffered_.clear();
      Next_ = First;
      co_return fail(
          ErrorCode::NotFound,
          fmt::format("stream {} is retained from offset {} on and has no "
                      "snapshot of what came before; raise its retention or "
                      "append snapshots more often",
                      Options_.Stream, First));
    }
    if (!std::exchange(CaughtUp_, true))
      Consumer_.onCaughtUp(Next_);
  }
  co_return Result<void>();
}

void LogReader::startSeeking(std::uint64_t First) {
  Counters_.count("hickory_log_gaps_total", 1, Labels_);
  LOG(WARNING) << "log: stream " << Options_.Stream << " has no entries from "
               << Next_ << " to " << First << "; looking for a snapshot";
  SeekingFrom_ = First;
  Buffered_.clear();
  CaughtUp_ = false;
  Next_ = First;
}

void LogReader::accept(LogEntry Entry) {
  if (Entry.Offset < Next_)
    return;
  if (Entry.Offset > Next_)
    startSeeking(Entry.Offset);
  Next_ = Entry.Offset + 1;
  records::RecordBatch Batch;
  if (!Batch.ParseFromString(Entry.Payload) || Batch.sequence() == 0) {
    Counters_.count("hickory_log_invalid_entries_total", 1, Labels_);
    LOG(ERROR) << "log: entry " << Entry.Offset << " of stream "
               << Options_.Stream << " is not a record batch and is skipped";
    return;
  }
  if (SeekingFrom_)
    seekSnapshot(std::move(Entry), Batch);
  else
    deliver(Entry.Offset, Batch);
}

void LogReader::seekSnapshot(LogEntry Entry,
                             const records::RecordBatch &Batch) {
  const std::uint64_t Offset = Entry.Offset;
  Buffered_.push_back(std::move(Entry));
  const std::optional<std::uint64_t> Covers = coveredOffset(Batch);
  // Entries between the covered offset and the first buffered one are lost.
  if (!Covers || *Covers + 1 < *SeekingFrom_ || *Covers >= Offset)
    return;
  const std::optional<std::uint64_t> Loaded = Consumer_.loadSnapshot(Batch);
  if (!Loaded)
    return;
  LOG(INFO) << "log: stream " << Options_.Stream
            << " starts from the snapshot at offset " << Offset
            << ", which covers offset " << *Loaded;
  Counters_.count("hickory_log_snapshot_starts_total", 1, Labels_);
  SeekingFrom_.reset();
  // What this reader read before a gap is covered by the snapshot as well.
  for (const auto &[Incarnation, Sequence] : Consumer_.lastSequences()) {
    std::uint64_t &Known = LastSequence_[Incarnation];
    Known = std::max(Known, Sequence);
  }
  for (const LogEntry &Item : std::exchange(Buffered_, {})) {
    if (Item.Offset <= *Loaded)
      continue;
    records::RecordBatch Late;
    CHECK(Late.ParseFromString(Item.Payload));
    deliver(Item.Offset, Late);
  }
}

void LogReader::deliver(std::uint64_t Offset,
                        const records::RecordBatch &Batch) {
  const auto [Known, New] =
      LastSequence_.try_emplace(Batch.incarnation(), Batch.sequence());
  if (!New) {
    if (Batch.sequence() <= Known->second) {
      Counters_.count("hickory_log_duplicate_batches_total", 1, Labels_);
      return;
    }
    // A writer appends sequence n + 1 only after n was confirmed.
    if (Batch.sequence() > Known->second + 1) {
      Counters_.count("hickory_log_missing_batches_total",
                      static_cast<double>(Batch.sequence() - Known->second - 1),
                      Labels_);
      LOG(ERROR) << "log: stream " << Options_.Stream << " lacks batches "
                 << Known->second + 1 << " to " << Batch.sequence() - 1
                 << " of incarnation " << Batch.incarnation()
                 << "; check it with hickory-audit";
    }
    Known->second = Batch.sequence();
  }
  Consumer_.onBatch(Offset, Batch);
}

} // namespace hickory
