#include "Log/LogWriter.h"

#include "Base/Backoff.h"
#include "Base/Hash.h"
#include "Base/Notifier.h"
#include "Base/Random.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <deque>
#include <fmt/format.h>
#include <glog/logging.h>
#include <utility>
#include <vector>

namespace hickory {

namespace {

struct QueuedRecord {
  records::Record Record;
  std::size_t Bytes = 0;
  Clock::time_point Queued;
  LogWriter::AppendCallback Done;
};

Error notWrittenError(std::string_view Reason) {
  return Error{ErrorCode::Cancelled,
               fmt::format("record was not written: {}", Reason)};
}

} // namespace

/// State of one incarnation. A restart replaces it as a whole, so that an
/// append of the old incarnation cannot access new records.
struct LogWriter::Session {
  Session(const asio::any_io_executor &Executor, std::uint64_t Incarnation)
      : Wake(Executor), Incarnation(Incarnation) {}

  [[nodiscard]] std::size_t unconfirmedRecords() const {
    return Queue.size() + InFlight.size();
  }

  void notifyIfDrained() {
    if (!Ended && unconfirmedRecords() > 0)
      return;
    for (const std::weak_ptr<Notifier> &Waiter : DrainWaiters)
      if (const auto Alive = Waiter.lock())
        Alive->notify();
    DrainWaiters.clear();
  }

  /// Ends the session and returns the pending callbacks with their errors.
  std::vector<std::pair<AppendCallback, Error>> end(std::string_view Reason) {
    std::vector<std::pair<AppendCallback, Error>> Callbacks;
    const bool MayBeWritten = AttemptRunning || HasUnknownAttempt;
    for (AppendCallback &Done : std::exchange(InFlight, {}))
      if (Done)
        Callbacks.emplace_back(
            std::move(Done),
            MayBeWritten
                ? Error{ErrorCode::Unavailable,
                        fmt::format("record may have been written: {} while "
                                    "its append was in flight",
                                    Reason)}
                : notWrittenError(Reason));
    for (QueuedRecord &Item : std::exchange(Queue, {}))
      if (Item.Done)
        Callbacks.emplace_back(std::move(Item.Done), notWrittenError(Reason));
    Ended = true;
    Wake.notify();
    notifyIfDrained();
    return Callbacks;
  }

  Notifier Wake;
  const std::uint64_t Incarnation;
  std::uint64_t NextSequence = 1;
  std::string PreviousHash;
  std::deque<QueuedRecord> Queue;
  std::size_t QueuedBytes = 0;
  /// One per record of the batch in flight.
  std::vector<AppendCallback> InFlight;
  bool AttemptRunning = false;
  /// The batch in flight had an attempt with an unknown outcome.
  bool HasUnknownAttempt = false;
  int Flushes = 0;
  std::vector<std::weak_ptr<Notifier>> DrainWaiters;
  bool Ended = false;
};

struct LogWriter::State {
  State(asio::any_io_executor Executor, TimerService &Timers, LogClient &Client,
        Metrics &Counters, LogWriterOptions Options)
      : Executor(std::move(Executor)), Timers(Timers), Client(Client),
        Counters(Counters), Options(std::move(Options)),
        Generator(this->Options.Seed ? Random(*this->Options.Seed)
                                     : Random::fromSystem()),
        Labels(fmt::format("stream=\"{}\"", this->Options.Stream)) {}

  std::string takeBatch(Session &From) {
    records::RecordBatch Batch;
    Batch.set_incarnation(From.Incarnation);
    Batch.set_sequence(From.NextSequence);
    Batch.set_previous_hash(From.PreviousHash);
    Batch.set_slot(Options.Slot);
    Batch.set_wall_time_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Timers.wallNow().time_since_epoch())
            .count());
    std::size_t Bytes = 0;
    while (!From.Queue.empty() &&
           (Bytes == 0 ||
            Bytes + From.Queue.front().Bytes <= Options.MaximumBatchBytes)) {
      QueuedRecord &Next = From.Queue.front();
      Bytes += Next.Bytes;
      From.QueuedBytes -= Next.Bytes;
      *Batch.add_records() = std::move(Next.Record);
      From.InFlight.push_back(std::move(Next.Done));
      From.Queue.pop_front();
    }
    return Batch.SerializeAsString();
  }

  asio::any_io_executor Executor;
  TimerService &Timers;
  LogClient &Client;
  Metrics &Counters;
  LogWriterOptions Options;
  Random Generator;
  std::string Labels;
  std::shared_ptr<Session> Current;
  std::optional<Clock::time_point> FailingSince;
};

LogWriter::LogWriter(asio::any_io_executor Executor, TimerService &Timers,
                     LogClient &Client, Metrics &Counters,
                     LogWriterOptions Options)
    : State_(std::make_shared<State>(std::move(Executor), Timers, Client,
                                     Counters, std::move(Options))) {
  startSession(State_->Options.Incarnation);
}

LogWriter::~LogWriter() { State_->Current->end("the writer was destroyed"); }

void LogWriter::startSession(std::uint64_t Incarnation) {
  State_->Current = std::make_shared<Session>(State_->Executor, Incarnation);
  asio::co_spawn(State_->Executor, run(State_, State_->Current),
                 asio::detached);
}

Result<void> LogWriter::enqueue(records::Record Record, AppendCallback Done) {
  Session &ThisSession = *State_->Current;
  const LogWriterOptions &Options = State_->Options;
  if (ThisSession.Ended)
    return fail(ErrorCode::Cancelled,
                fmt::format("writer of stream {} was stopped", Options.Stream));
  QueuedRecord Item{.Record = std::move(Record),
                    .Bytes = 0,
                    .Queued = State_->Timers.now(),
                    .Done = std::move(Done)};
  // The tag and length of the record in its batch take up to 6 bytes.
  Item.Bytes = Item.Record.ByteSizeLong() + 6;
  if (ThisSession.unconfirmedRecords() >= Options.MaximumWaitingRecords ||
      (!ThisSession.Queue.empty() &&
       ThisSession.QueuedBytes + Item.Bytes > Options.MaximumWaitingBytes)) {
    State_->Counters.count("hickory_log_refused_records_total", 1,
                           State_->Labels);
    return fail(
        ErrorCode::Overloaded,
        fmt::format("{} unconfirmed records for stream {}; the limit of "
                    "records or bytes is reached; retry later",
                    ThisSession.unconfirmedRecords(), Options.Stream),
        Options.MaximumBackoff);
  }
  const bool Full =
      ThisSession.QueuedBytes + Item.Bytes >= Options.MaximumBatchBytes;
  const bool First = ThisSession.Queue.empty();
  ThisSession.QueuedBytes += Item.Bytes;
  ThisSession.Queue.push_back(std::move(Item));
  if (First || Full)
    ThisSession.Wake.notify();
  return {};
}

asio::awaitable<Result<std::uint64_t>>
LogWriter::append(records::Record Record, Clock::duration Deadline) {
  struct Waiter {
    explicit Waiter(const asio::any_io_executor &Executor) : Wake(Executor) {}
    Notifier Wake;
    std::optional<Result<std::uint64_t>> Outcome;
  };
  auto Pending = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  std::weak_ptr<Waiter> Weak = Pending;
  const std::string Stream = State_->Options.Stream;
  Result<void> Queued = enqueue(
      std::move(Record), AppendCallback([Weak](Result<std::uint64_t> Offset) {
        if (const auto Alive = Weak.lock(); Alive && !Alive->Outcome) {
          Alive->Outcome = std::move(Offset);
          Alive->Wake.notify();
        }
      }));
  if (!Queued)
    co_return tl::unexpected<Error>(Queued.error());
  Subscription Timer = State_->Timers.after(Deadline, [Weak, Stream] {
    if (const auto Alive = Weak.lock(); Alive && !Alive->Outcome) {
      Alive->Outcome =
          fail(ErrorCode::Timeout,
               fmt::format("append to stream {} was not confirmed in time; the "
                           "record may still be written",
                           Stream));
      Alive->Wake.notify();
    }
  });
  while (!Pending->Outcome)
    co_await Pending->Wake.wait();
  co_return *Pending->Outcome;
}

bool LogWriter::isReachable() const { return !State_->FailingSince; }

Clock::time_point LogWriter::unreachableSince() const {
  return State_->FailingSince.value_or(State_->Timers.now());
}

std::size_t LogWriter::unconfirmedRecords() const {
  return State_->Current->unconfirmedRecords();
}

std::uint64_t LogWriter::incarnation() const {
  return State_->Current->Incarnation;
}

void LogWriter::restart(std::uint64_t Incarnation) {
  const std::shared_ptr<Session> Old = State_->Current;
  auto Callbacks = Old->end("the writer restarted with a new incarnation");
  startSession(Incarnation);
  for (auto &[Done, Reason] : Callbacks)
    Done(tl::unexpected<Error>(std::move(Reason)));
}

void LogWriter::stop() {
  auto Callbacks = State_->Current->end("the writer was stopped");
  for (auto &[Done, Reason] : Callbacks)
    Done(tl::unexpected<Error>(std::move(Reason)));
}

asio::awaitable<void> LogWriter::flush(Clock::duration Deadline) {
  const std::shared_ptr<State> Self = State_;
  const std::shared_ptr<Session> ThisSession = Self->Current;
  auto Wake = std::make_shared<Notifier>(co_await asio::this_coro::executor);
  const Clock::time_point End = Self->Timers.now() + Deadline;
  Subscription Timer =
      Self->Timers.after(Deadline, [Weak = std::weak_ptr<Notifier>(Wake)] {
        if (const auto Alive = Weak.lock())
          Alive->notify();
      });
  ++ThisSession->Flushes;
  ThisSession->Wake.notify();
  while (!ThisSession->Ended && ThisSession->unconfirmedRecords() > 0 &&
         Self->Timers.now() < End) {
    ThisSession->DrainWaiters.push_back(Wake);
    co_await Wake->wait();
  }
  --ThisSession->Flushes;
}

asio::awaitable<void> LogWriter::run(std::shared_ptr<State> Self,
                                     std::shared_ptr<Session> ThisSession) {
  while (!ThisSession->Ended) {
    if (ThisSession->Queue.empty()) {
      co_await ThisSession->Wake.wait();
      continue;
    }
    const Clock::time_point Due =
        ThisSession->Queue.front().Queued + Self->Options.Linger;
    const Clock::time_point Now = Self->Timers.now();
    if (Now < Due && ThisSession->Flushes == 0 &&
        ThisSession->QueuedBytes < Self->Options.MaximumBatchBytes) {
      Subscription Timer = Self->Timers.after(
          Due - Now, [Weak = std::weak_ptr<Session>(ThisSession)] {
            if (const auto Alive = Weak.lock())
              Alive->Wake.notify();
          });
      co_await ThisSession->Wake.wait();
      continue;
    }
    std::string Payload = Self->takeBatch(*ThisSession);
    co_await appendUntilConfirmed(Self, ThisSession, std::move(Payload));
  }
}

asio::awaitable<void>
LogWriter::appendUntilConfirmed(std::shared_ptr<State> Self,
                                std::shared_ptr<Session> ThisSession,
                                std::string Payload) {
  const BackoffOptions RetryBackoff{.Initial = Self->Options.InitialBackoff,
                                    .Maximum = Self->Options.MaximumBackoff};
  Backoff Delays(RetryBackoff, Self->Generator);
  ThisSession->HasUnknownAttempt = false;
  Result<std::uint64_t> Offset =
      fail(ErrorCode::Internal, "no attempt was made");
  for (;;) {
    const Clock::time_point AttemptStart = Self->Timers.now();
    ThisSession->AttemptRunning = true;
    Offset = co_await Self->Client.append(Self->Options.Stream, Payload);
    // After the end of the session the owner of the writer may be destroyed.
    if (ThisSession->Ended)
      co_return;
    ThisSession->AttemptRunning = false;
    Self->Counters.count("hickory_log_append_attempts_total", 1, Self->Labels);
    if (Offset) {
      if (Self->FailingSince)
        LOG(INFO) << "log: stream " << Self->Options.Stream
                  << " accepts appends again";
      Self->FailingSince.reset();
      Self->Counters.observe(
          "hickory_log_append_seconds",
          std::chrono::duration<double>(Self->Timers.now() - AttemptStart)
              .count());
      break;
    }
    const Error &Failure = Offset.error();
    Self->Counters.count("hickory_log_append_failures_total", 1, Self->Labels);
    // Drops the batch, because a retry would be rejected again. The sequence
    // number may be reused only if no attempt can have written the batch.
    if (Failure.Code == ErrorCode::InvalidArgument &&
        !ThisSession->HasUnknownAttempt) {
      LOG(ERROR) << "log: batch of " << Payload.size()
                 << " bytes dropped, stream " << Self->Options.Stream
                 << " rejected it: " << Failure.Message;
      break;
    }
    if (!Self->FailingSince) {
      Self->FailingSince = AttemptStart;
      LOG(WARNING) << "log: append to stream " << Self->Options.Stream
                   << " failed, retrying: " << Failure.Message;
    }
    if (!Failure.hadNoEffect())
      ThisSession->HasUnknownAttempt = true;
    const Clock::time_point Next =
        Self->Timers.now() + Delays.next(Failure.RetryAfter);
    while (!ThisSession->Ended && Self->Timers.now() < Next) {
      Subscription Timer =
          Self->Timers.after(Next - Self->Timers.now(),
                             [Weak = std::weak_ptr<Session>(ThisSession)] {
                               if (const auto Alive = Weak.lock())
                                 Alive->Wake.notify();
                             });
      co_await ThisSession->Wake.wait();
    }
    if (ThisSession->Ended)
      co_return;
  }
  std::vector<AppendCallback> Finished =
      std::exchange(ThisSession->InFlight, {});
  if (Offset) {
    ++ThisSession->NextSequence;
    ThisSession->PreviousHash = sha256(Payload);
    Self->Counters.count("hickory_log_appends_total", 1, Self->Labels);
    Self->Counters.count("hickory_log_appended_records_total",
                         static_cast<double>(Finished.size()), Self->Labels);
    Self->Counters.count("hickory_log_appended_bytes_total",
                         static_cast<double>(Payload.size()), Self->Labels);
  }
  // A callback may restart or stop the writer; the other records of this batch
  // are confirmed nevertheless.
  for (AppendCallback &Done : Finished)
    if (Done)
      Done(Offset);
  ThisSession->notifyIfDrained();
}

} // namespace hickory
