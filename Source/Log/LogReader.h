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

/// Where a record stands: offset of its batch and index within it.
struct LogPosition {
  std::uint64_t Offset = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const LogPosition &) const = default;
};

/// Last sequence read from each incarnation.
using LastSequences = std::unordered_map<std::uint64_t, std::uint64_t>;

/// Receives the content of a stream in order.
class LogConsumer {
public:
  virtual ~LogConsumer() = default;
  /// A batch whose sequence is new for its incarnation. Snapshots are
  /// delivered too; a consumer that has followed the stream ignores them.
  virtual void onBatch(std::uint64_t Offset,
                       const records::RecordBatch &Batch) = 0;
  /// True if the batch holds a snapshot that this consumer can start from; the
  /// consumer then loads it, in place of its present state, and returns the
  /// last offset that it covers. The reader calls it only for a snapshot after
  /// whose covered offset nothing is missing.
  virtual std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) = 0;
  /// Last sequence by incarnation that the loaded snapshot knows
  /// (DomainSnapshot.Member.last_sequence). The reader asks when it starts and
  /// after loadSnapshot(); without it, a batch that was appended twice, once
  /// before and once after the covered offset, would be delivered again.
  [[nodiscard]] virtual LastSequences lastSequences() const { return {}; }
  /// Everything up to the end of the stream has been delivered. Called once,
  /// and again when the reader had to start from a later snapshot.
  virtual void onCaughtUp(std::uint64_t Next) = 0;
};

struct LogReaderOptions {
  std::string Stream;
  std::chrono::milliseconds Wait{1000};
  std::chrono::milliseconds InitialBackoff{50};
  std::chrono::milliseconds MaximumBackoff{2000};
  std::uint64_t From = 0;
  std::uint32_t MaximumEntries = 500;               ///< Of one read.
  std::optional<std::uint64_t> Seed = std::nullopt; ///< For tests.
};

/// Follows one stream by long polling. If the entries that it needs next are
/// no longer retained, it starts from the first usable snapshot, then delivers
/// what the snapshot does not cover.
class LogReader {
public:
  LogReader(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogConsumer &Consumer,
            LogReaderOptions Options);
  ~LogReader();
  LogReader(const LogReader &) = delete;
  LogReader &operator=(const LogReader &) = delete;

  /// Runs until stop(), at most the length of one long poll longer. Fails with
  /// NotFound if entries were lost to retention and no snapshot bridges the
  /// gap, and with Conflict if the stream has become shorter. May be called
  /// again after it returned, and then goes on where it was.
  asio::awaitable<Result<void>> run();
  void stop();

  [[nodiscard]] bool isCaughtUp() const { return CaughtUp_; }
  /// Offset of the next entry to deliver, or to buffer while the reader looks
  /// for a snapshot.
  [[nodiscard]] std::uint64_t nextOffset() const { return Next_; }
  /// Time of the last successful read.
  [[nodiscard]] Clock::time_point lastSuccessfulRead() const {
    return LastSuccess_;
  }

private:
  struct Wakeup;

  asio::awaitable<void> pause(Clock::duration Delay);
  void startSeeking(std::uint64_t First);
  void accept(LogEntry Entry);
  void seekSnapshot(LogEntry Entry, const records::RecordBatch &Batch);
  void deliver(std::uint64_t Offset, const records::RecordBatch &Batch);

  TimerService &Timers_;
  LogClient &Client_;
  Metrics &Counters_;
  LogConsumer &Consumer_;
  LogReaderOptions Options_;
  std::string Labels_;
  Random Numbers_;
  std::shared_ptr<Wakeup> Wakeup_;
  std::uint64_t Next_ = 0;
  bool Started_ = false;
  bool CaughtUp_ = false;
  bool Stopping_ = false;
  Clock::time_point LastSuccess_{};
  LastSequences LastSequence_;
  /// Set while the reader looks for a snapshot: entries from here on are
  /// buffered, and a snapshot must cover all that came before.
  std::optional<std::uint64_t> SeekingFrom_;
  std::deque<LogEntry> Buffered_;
};

} // namespace hickory
