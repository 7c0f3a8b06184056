#pragma once

#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Log/LogClient.h"
#include "Records.pb.h"

#include <functional>
#include <unordered_map>

namespace hickory {

/// Where a record stands: offset of its batch and index within it.
struct LogPosition {
  std::uint64_t Offset = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const LogPosition &) const = default;
};

/// Receives the content of a stream in order.
class LogConsumer {
public:
  virtual ~LogConsumer() = default;
  /// A batch whose sequence is new for its incarnation.
  virtual void onBatch(std::uint64_t Offset,
                       const records::RecordBatch &Batch) = 0;
  /// True if the batch holds a snapshot that this consumer can start from; the
  /// consumer then loads it and returns the last offset that it covers.
  virtual std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) = 0;
  /// Everything up to the end of the stream has been delivered once.
  virtual void onCaughtUp(std::uint64_t Next) = 0;
};

struct LogReaderOptions {
  std::string Stream;
  std::chrono::milliseconds Wait{1000};
  std::chrono::milliseconds MaximumBackoff{2000};
  std::uint64_t From = 0;
};

/// Follows one stream by long polling. If the beginning is no longer retained
/// it starts from the first snapshot found, then delivers what the snapshot
/// does not cover.
class LogReader {
public:
  LogReader(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogConsumer &Consumer,
            LogReaderOptions Options);

  /// Runs until stop(). Fails if entries were lost to retention and no
  /// snapshot bridges the gap.
  asio::awaitable<Result<void>> run();
  void stop() { Stopping_ = true; }

  [[nodiscard]] bool caughtUp() const { return CaughtUp_; }
  [[nodiscard]] std::uint64_t next() const { return Next_; }
  /// Time of the last successful read.
  [[nodiscard]] Clock::time_point lastSuccess() const { return LastSuccess_; }

private:
  void deliver(const LogEntry &Entry);

  TimerService &Timers_;
  LogClient &Client_;
  Metrics &Counters_;
  LogConsumer &Consumer_;
  LogReaderOptions Options_;
  std::uint64_t Next_ = 0;
  bool CaughtUp_ = false;
  bool Stopping_ = false;
  Clock::time_point LastSuccess_{};
  std::unordered_map<std::uint64_t, std::uint64_t> LastSequence_;
};

} // namespace hickory
