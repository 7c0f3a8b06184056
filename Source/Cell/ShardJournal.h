#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Cell/ResponseTimeEstimator.h"
#include "Cell/StoreClient.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickory {

enum class JournalOutcome {
  Written,
  NotWritten, ///< The record is not written and never will be.
  Unknown,    ///< The record may be written, now or later.
  Rejected,   ///< The record is not written: the store never accepts it.
};

const char *nameOf(JournalOutcome Outcome);

struct ShardJournalOptions {
  std::string Topic = "keyed.journal";
  int Shard = 0;
  std::uint64_t Epoch = 0;
  std::string Producer = "owner";
  /// Minimum time between appends, which limits their rate under load. An idle
  /// journal appends at once.
  std::chrono::milliseconds MinimumInterval{50};
  /// Timeout of the first attempt of an append while the store responds fast.
  /// It is doubled for each retry, up to LongestTimeout, so that a lost
  /// response costs little time and a slow one is still received.
  std::chrono::milliseconds FirstTimeout{400};
  std::chrono::milliseconds LongestTimeout{1600};
  TransferLimits ReadLimits; ///< For each page of the records.
  /// Writes are added to a batch up to this size; a larger one is a batch of
  /// its own.
  std::size_t MaximumBatchBytes = 256U << 10U;
  StoreLimits Limits;
  /// Once appends have failed for this time, waiting writes with FailFast are
  /// given up.
  std::chrono::milliseconds FailFastAfter{250};
  /// While appends fail, isUnavailable() lets a new write through at this
  /// interval, to probe the store.
  std::chrono::milliseconds ProbeInterval{200};
};

/// Writes the records of one shard in one epoch. One append is in flight at a
/// time; records that arrive meanwhile are batched into the next one. An append
/// without a response is retried with the same sequence number, so that the
/// store appends it once.
class ShardJournal : public std::enable_shared_from_this<ShardJournal> {
public:
  ShardJournal(const asio::any_io_executor &Executor, TimerService &Timers,
               StoreClient &Store, ShardJournalOptions Options);

  /// Sets the callback that is called once when the store reports a later
  /// epoch.
  void onFenced(std::function<void()> Callback) {
    Fenced_ = std::move(Callback);
  }

  /// Sets the epoch in the store and returns all records. Retries until it
  /// succeeds. Returns nothing if the journal is stopped or the store reports a
  /// later epoch.
  asio::awaitable<std::optional<std::vector<KeyedRecord>>> acquire();

  /// Appends queued records until stop() is called.
  asio::awaitable<void> run();
  /// Returns true if the store can accept the records in one append.
  [[nodiscard]] bool allows(const std::vector<KeyedRecord> &Records) const {
    return Options_.Limits.allow(Records);
  }
  /// Queues the records and waits for their outcome until the deadline. With
  /// FailFast, the write is given up earlier while the store refuses records,
  /// as the caller prefers to retry.
  asio::awaitable<JournalOutcome> write(std::vector<KeyedRecord> Records,
                                        Clock::time_point Deadline,
                                        bool FailFast = false);
  void stop();
  [[nodiscard]] int shard() const { return Options_.Shard; }
  [[nodiscard]] std::uint64_t epoch() const { return Options_.Epoch; }
  /// Returns the time at which the latest successful append was sent. No later
  /// epoch had been set by then.
  [[nodiscard]] Clock::time_point confirmedAt() const { return ConfirmedAt_; }
  /// Returns the time since the first failed attempt after the latest one that
  /// the store confirmed as appended; zero if none has failed since. A reply
  /// with WrongSequence neither starts nor ends this time.
  [[nodiscard]] Clock::duration failingFor() const {
    return FailingSince_ ? Timers_.now() - *FailingSince_
                         : Clock::duration::zero();
  }
  /// Returns true while a new record would most likely not be written.
  [[nodiscard]] bool isUnavailable() const {
    return failingFor() > Options_.FailFastAfter &&
           (Appending_ ||
            Timers_.now() - LastAttemptAt_ < Options_.ProbeInterval);
  }

private:
  /// A queued write.
  struct Entry {
    explicit Entry(const asio::any_io_executor &Executor) : Changed(Executor) {}
    std::vector<KeyedRecord> Records;
    Notifier Changed;
    std::optional<JournalOutcome> Outcome;
    bool Attempted = false; ///< The store may have received the records.
    bool Withdrawn = false; ///< The deadline passed before an attempt.
    bool FailFast = false;
    /// Appended without others, as the store has rejected a batch with it.
    bool Alone = false;
  };
  using Batch = std::vector<std::shared_ptr<Entry>>;

  [[nodiscard]] std::chrono::milliseconds timeoutAfter(int Failures) const;
  Batch takeBatch();
  asio::awaitable<void> appendBatch(Batch Entries);
  /// Returns the entries, which were not appended, to the front of the queue.
  void requeue(const Batch &Entries);
  /// Handles a batch of which the store never accepts at least one record.
  void handleRejected(const Batch &Entries);
  void complete(const Batch &Entries, JournalOutcome Outcome);
  /// Completes the queued writes with FailFast as not written.
  void failWaitingFastWrites();
  /// Stops the journal and reports that a later epoch exists.
  void fence();
  asio::awaitable<std::optional<std::vector<KeyedRecord>>> readAll();

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  StoreClient &Store_;
  ShardJournalOptions Options_;
  std::function<void()> Fenced_;
  std::deque<std::shared_ptr<Entry>> Queue_;
  Notifier QueueChanged_;
  std::uint64_t NextSequence_ = 1;
  std::optional<Clock::time_point> FailingSince_;
  Clock::time_point LastAttemptAt_{};
  Clock::time_point ConfirmedAt_{};
  bool Appending_ = false;
  ResponseTimeEstimator ResponseTimes_;
  bool Stopped_ = false;
};

} // namespace hickory
