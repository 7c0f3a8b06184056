#pragma once

#include "Base/Metrics.h"
#include "Base/Signal.h"
#include "Base/TimerService.h"
#include "Log/LogClient.h"
#include "Records.pb.h"

#include <deque>
#include <functional>
#include <memory>

namespace hickory {

struct LogWriterOptions {
  std::string Stream;
  std::string Slot;
  std::uint64_t Incarnation = 0;
  std::chrono::milliseconds Linger{20};
  std::size_t MaximumBatchBytes = 256 << 10;
  std::size_t MaximumWaitingRecords = 20000;
  std::chrono::milliseconds MaximumBackoff{2000};
};

/// Appends records to one stream in batches, one append in flight at a time.
/// An append whose answer was lost is repeated unchanged; readers drop the
/// second copy by its sequence, so that each record counts once.
class LogWriter {
public:
  LogWriter(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogWriterOptions Options);
  ~LogWriter();

  /// Queues a record. Written, if given, is called with the offset of its
  /// batch once the append is confirmed. Fails if too many records wait.
  Result<void> enqueue(records::Record Record,
                       std::function<void(std::uint64_t)> Written = nullptr);

  /// Queues a record and waits until its append is confirmed. After Deadline
  /// the result is Timeout, and the record may still be written later.
  asio::awaitable<Result<std::uint64_t>> append(records::Record Record,
                                                Clock::duration Deadline);

  /// True if the last append succeeded, or none failed yet.
  [[nodiscard]] bool reachable() const;
  /// Since when appends have failed; now() if reachable.
  [[nodiscard]] Clock::time_point unreachableSince() const;
  [[nodiscard]] std::size_t waiting() const;

  /// Drops queued records and uses a new incarnation, from sequence 1.
  void restart(std::uint64_t Incarnation);
  /// Appends what is queued, waiting at most Deadline.
  asio::awaitable<void> flush(Clock::duration Deadline);
  /// Ends the background coroutine.
  void stop();

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hickory
