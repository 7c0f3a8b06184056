#pragma once

#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Log/LogClient.h"
#include "Records.pb.h"

#include <asio/any_io_executor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace hickory {

/// Position of a record: offset of its batch and index in the batch.
struct LogPosition {
  std::uint64_t Offset = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const LogPosition &) const = default;
};

/// Last sequence number by writer incarnation.
using LastSequences = std::unordered_map<std::uint64_t, std::uint64_t>;

/// Receives the batches of a stream in order.
class LogConsumer {
public:
  virtual ~LogConsumer() = default;
  /// Called for each batch whose sequence number is new for its incarnation.
  /// Batches with snapshots are delivered too; a consumer that has followed the
  /// stream ignores them.
  virtual void onBatch(std::uint64_t Offset,
                       const records::RecordBatch &Batch) = 0;
  /// If the batch holds a snapshot that the consumer can start from, replaces
  /// its state by the snapshot and returns the last offset that the snapshot
  /// covers; otherwise returns nothing. The reader calls it only if all entries
  /// after the covered offset are available.
  virtual std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) = 0;
  /// Last sequence numbers in the loaded snapshot
  /// (DomainSnapshot.Member.last_sequence). The reader calls it when it starts
  /// and after loadSnapshot(). Without them, a batch that was appended once
  /// before and once after the covered offset would be delivered twice.
  [[nodiscard]] virtual LastSequences lastSequences() const { return {}; }
  /// Called when everything up to the end of the stream has been delivered:
  /// once, and again each time the reader had to restart from a snapshot.
  virtual void onCaughtUp(std::uint64_t Next) = 0;
};

struct LogReaderOptions {
  std::string Stream;
  std::chrono::milliseconds Wait{1000}; ///< Longest wait of a long poll.
  std::chrono::milliseconds InitialBackoff{50};
  std::chrono::milliseconds MaximumBackoff{2000};
  std::uint64_t From = 0;                           ///< First offset to read.
  std::uint32_t MaximumEntries = 500;               ///< Per read.
  std::optional<std::uint64_t> Seed = std::nullopt; ///< For tests.
};

/// Follows a stream by long polling. If the entries that it needs next are no
/// longer retained, it starts from the first usable snapshot and delivers the
/// entries after its covered offset.
class LogReader {
public:
  LogReader(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogConsumer &Consumer,
            LogReaderOptions Options);
  ~LogReader();
  LogReader(const LogReader &) = delete;
  LogReader &operator=(const LogReader &) = delete;

  /// Runs until stop(), and at most one long poll longer. Fails with NotFound
  /// if entries are no longer retained and no snapshot covers the gap, and with
  /// Conflict if the stream ends before the next offset to read. A further call
  /// after it returned continues from the same offset.
  asio::awaitable<Result<void>> run();
  void stop();

  [[nodiscard]] bool isCaughtUp() const { return CaughtUp_; }
  /// Offset of the next entry to read.
  [[nodiscard]] std::uint64_t nextOffset() const { return NextOffset_; }
  /// Time of the last successful read; the epoch of Clock before the first.
  [[nodiscard]] Clock::time_point lastSuccessfulRead() const {
    return LastSuccessfulRead_;
  }

private:
  struct Wakeup;

  asio::awaitable<void> waitFor(Clock::duration Delay);
  void startSnapshotSearch(std::uint64_t First);
  void processEntry(LogEntry Entry);
  void tryStartFromSnapshot(LogEntry Entry, const records::RecordBatch &Batch);
  void deliver(std::uint64_t Offset, const records::RecordBatch &Batch);

  TimerService &Timers_;
  LogClient &Client_;
  Metrics &Counters_;
  LogConsumer &Consumer_;
  LogReaderOptions Options_;
  std::string Labels_;
  Random Generator_;
  std::shared_ptr<Wakeup> Wakeup_;
  std::uint64_t NextOffset_ = 0;
  bool Started_ = false;
  bool CaughtUp_ = false;
  bool Stopping_ = false;
  Clock::time_point LastSuccessfulRead_{};
  LastSequences LastSequences_;
  /// Set while the reader searches for a snapshot: entries from this offset on
  /// are buffered, and the snapshot must cover all entries before it.
  std::optional<std::uint64_t> SearchStart_;
  std::deque<LogEntry> Buffered_;
};

} // namespace hickory
