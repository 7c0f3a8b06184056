#pragma once

#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Log/LogClient.h"
#include "Records.pb.h"

#include <asio/any_io_executor.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>

namespace hickory {

struct LogWriterOptions {
  std::string Stream;
  std::string Slot;
  std::uint64_t Incarnation = 0;
  std::chrono::milliseconds Linger{20};
  std::size_t MaximumBatchBytes = 256 << 10; ///< A larger record goes alone.
  std::size_t MaximumWaitingRecords = 20000;
  std::size_t MaximumWaitingBytes = 8 << 20;
  std::chrono::milliseconds InitialBackoff{50};
  /// Also bounds how long a Retry-After of the service is observed, because an
  /// instance lease of 8 s needs several attempts.
  std::chrono::milliseconds MaximumBackoff{2000};
  std::optional<std::uint64_t> Seed = std::nullopt; ///< For tests.
};

/// Appends records to one stream in batches, one append in flight at a time.
/// An append whose answer was lost is repeated unchanged; readers drop the
/// second copy by its sequence, so that each record counts once.
class LogWriter {
public:
  /// Receives the offset of the record's batch once the append is confirmed,
  /// or why it will not be confirmed: Cancelled and InvalidArgument mean that
  /// the record was not and will not be written, Unavailable that it may have
  /// been written by an append in flight.
  using AppendCallback = std::function<void(Result<std::uint64_t>)>;

  LogWriter(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogWriterOptions Options);
  /// Ends the writer without calling any callback; call stop() first if they
  /// must be told.
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Queues a record. Done, if given, is called exactly once, never from
  /// within this call. Fails if too many records wait.
  Result<void> enqueue(records::Record Record, AppendCallback Done = nullptr);

  /// The same for a callback that wants to hear of success only.
  template <std::invocable<std::uint64_t> Callback>
    requires(!std::invocable<Callback, Result<std::uint64_t>>)
  Result<void> enqueue(records::Record Record, Callback OnSuccess) {
    return enqueue(std::move(Record),
                   AppendCallback([OnSuccess = std::move(OnSuccess)](
                                      Result<std::uint64_t> Offset) mutable {
                     if (Offset)
                       OnSuccess(*Offset);
                   }));
  }

  /// Queues a record and waits until its append is confirmed. After Deadline
  /// the result is Timeout, and the record may still be written later.
  asio::awaitable<Result<std::uint64_t>> append(records::Record Record,
                                                Clock::duration Deadline);

  /// True if the last append succeeded, or none failed yet. An append refused
  /// for overload counts as failed.
  [[nodiscard]] bool isReachable() const;
  /// When the first of the appends that now fail was begun; now() if
  /// reachable.
  [[nodiscard]] Clock::time_point unreachableSince() const;
  /// Records not confirmed yet, including those in flight.
  [[nodiscard]] std::size_t unconfirmedRecords() const;
  [[nodiscard]] std::uint64_t incarnation() const;

  /// Drops all unconfirmed records, telling their callbacks before it returns,
  /// and uses a new incarnation, from sequence 1. The answer to an append that
  /// is in flight is ignored.
  void restart(std::uint64_t Incarnation);
  /// Appends what is queued without linger, waiting at most Deadline.
  asio::awaitable<void> flush(Clock::duration Deadline);
  /// Drops all unconfirmed records, telling their callbacks, and ends the
  /// background coroutine.
  void stop();

private:
  struct Session;
  struct State;
  static asio::awaitable<void> run(std::shared_ptr<State> Self,
                                   std::shared_ptr<Session> Mine);
  static asio::awaitable<void>
  appendUntilConfirmed(std::shared_ptr<State> Self,
                       std::shared_ptr<Session> Mine, std::string Payload);
  void begin(std::uint64_t Incarnation);

  std::shared_ptr<State> State_;
};

} // namespace hickory
