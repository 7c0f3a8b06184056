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
  std::chrono::milliseconds Linger{20}; ///< Wait for more records per batch.
  /// A larger record gets a batch of its own.
  std::size_t MaximumBatchBytes = 256 << 10;
  /// enqueue() fails if this many records are unconfirmed.
  std::size_t MaximumWaitingRecords = 20000;
  /// enqueue() fails if the queue would exceed this size, unless it is empty.
  std::size_t MaximumWaitingBytes = 8 << 20;
  std::chrono::milliseconds InitialBackoff{50};
  /// Also the limit of an observed Retry-After, because several attempts must
  /// fit in an instance lease of 8 s.
  std::chrono::milliseconds MaximumBackoff{2000};
  std::optional<std::uint64_t> Seed = std::nullopt; ///< For tests.
};

/// Appends records to a stream in batches, with one append in flight at a time.
/// An append whose response was lost is retried unchanged. Readers drop the
/// second copy by its sequence number, so that each record counts once.
class LogWriter {
public:
  /// Receives the offset of the record's batch once the append is confirmed, or
  /// an error: Cancelled and InvalidArgument mean that the record was not and
  /// will not be written, Unavailable that an append in flight may have written
  /// it.
  using AppendCallback = std::function<void(Result<std::uint64_t>)>;

  LogWriter(asio::any_io_executor Executor, TimerService &Timers,
            LogClient &Client, Metrics &Counters, LogWriterOptions Options);
  /// Ends the writer without calling the callbacks of unconfirmed records; call
  /// stop() first if they must be called.
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Queues a record. If it succeeds, Done is called exactly once and never
  /// from within this call. Fails with Overloaded if a limit of
  /// LogWriterOptions is reached, and with Cancelled after stop().
  Result<void> enqueue(records::Record Record, AppendCallback Done = nullptr);

  /// Like the overload above, for a callback that is called only on success.
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

  /// Queues a record and waits until its append is confirmed, for at most
  /// Deadline. After a Timeout the record may still be written.
  asio::awaitable<Result<std::uint64_t>> append(records::Record Record,
                                                Clock::duration Deadline);

  /// True if the last append succeeded or none has failed yet. An append that
  /// the service rejects as overloaded counts as failed.
  [[nodiscard]] bool isReachable() const;
  /// Start of the first append of the present series of failures; the current
  /// time if reachable.
  [[nodiscard]] Clock::time_point unreachableSince() const;
  /// Number of records not confirmed yet, including those in flight.
  [[nodiscard]] std::size_t unconfirmedRecords() const;
  [[nodiscard]] std::uint64_t incarnation() const;

  /// Drops all unconfirmed records, calling their callbacks with an error as
  /// described for AppendCallback, and continues with a new incarnation from
  /// sequence number 1. The response to an append in flight is ignored.
  void restart(std::uint64_t Incarnation);
  /// Appends the queued records without linger and waits for their
  /// confirmation, for at most Deadline.
  asio::awaitable<void> flush(Clock::duration Deadline);
  /// Drops all unconfirmed records, calling their callbacks with an error as
  /// described for AppendCallback, and ends the background coroutine.
  void stop();

private:
  struct Session;
  struct State;
  static asio::awaitable<void> run(std::shared_ptr<State> Self,
                                   std::shared_ptr<Session> ThisSession);
  static asio::awaitable<void>
  appendUntilConfirmed(std::shared_ptr<State> Self,
                       std::shared_ptr<Session> ThisSession,
                       std::string Payload);
  void startSession(std::uint64_t Incarnation);

  std::shared_ptr<State> State_;
};

} // namespace hickory
