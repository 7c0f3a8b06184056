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
  NotWritten, ///< And it never will be.
  Unknown,    ///< It may be written, also later.
};

const char *nameOf(JournalOutcome Outcome);

struct ShardJournalOptions {
  std::string Topic = "keyed.journal";
  int Shard = 0;
  std::uint64_t Epoch = 0;
  std::string Producer = "owner";
  /// Bounds the number of appends under load; an idle shard appends at once.
  std::chrono::milliseconds MinimumInterval{50};
  /// Of the first try of an append, while the store answers fast; doubled for
  /// each further one, so that lost answers cost little and slow ones are still
  /// waited for.
  std::chrono::milliseconds FirstTimeout{400};
  std::chrono::milliseconds LongestTimeout{1600};
  std::size_t MaximumBatchBytes = 256U << 10U;
  /// When the store has refused records for so long, those that need a quick
  /// answer are given up.
  std::chrono::milliseconds Patience{250};
  /// While it fails, new records are tried once in so long.
  std::chrono::milliseconds ProbeInterval{200};
};

/// Writes the records of one shard in one epoch. One append is in flight at a
/// time; records that wait go together in the next one. An append without an
/// answer is repeated with the same sequence number until it is answered.
class ShardJournal : public std::enable_shared_from_this<ShardJournal> {
public:
  ShardJournal(const asio::any_io_executor &Executor, TimerService &Timers,
               StoreClient &Store, ShardJournalOptions Options);

  /// Called once when a later epoch was seen.
  void onFenced(std::function<void()> Callback) {
    Fenced_ = std::move(Callback);
  }

  /// Sets the epoch and reads all records. Repeats until it succeeds, the
  /// journal is stopped or a later epoch was seen; then it returns nothing.
  asio::awaitable<std::optional<std::vector<KeyedRecord>>> acquire();

  /// Appends until stop().
  asio::awaitable<void> run();
  /// Hurried: the caller would rather try again than wait for the store.
  asio::awaitable<JournalOutcome> write(std::vector<KeyedRecord> Records,
                                        Clock::time_point Deadline,
                                        bool Hurried = false);
  void stop();
  [[nodiscard]] int shard() const { return Options_.Shard; }
  [[nodiscard]] std::uint64_t epoch() const { return Options_.Epoch; }
  /// When the latest append that succeeded was sent: this term had not been
  /// followed by another one at that time.
  [[nodiscard]] Clock::time_point provedAt() const { return ProvedAt_; }
  /// Time since the first failed try to append; zero if the latest succeeded.
  [[nodiscard]] Clock::duration failingFor() const {
    return FailingSince_ ? Timers_.now() - *FailingSince_
                         : Clock::duration::zero();
  }
  /// True while a new record would most likely not be written.
  [[nodiscard]] bool isUnavailable() const {
    return failingFor() > Options_.Patience &&
           (Appending_ || Timers_.now() - LastTry_ < Options_.ProbeInterval);
  }

private:
  struct Entry {
    explicit Entry(const asio::any_io_executor &Executor) : Changed(Executor) {}
    std::vector<KeyedRecord> Records;
    Notifier Changed;
    std::optional<JournalOutcome> Outcome;
    bool Attempted = false;
    bool Withdrawn = false;
    bool Hurried = false;
  };
  using Batch = std::vector<std::shared_ptr<Entry>>;

  [[nodiscard]] std::chrono::milliseconds timeoutAfter(int Failures) const;
  Batch takeBatch();
  asio::awaitable<void> appendBatch(Batch Entries);
  void finish(const Batch &Entries, JournalOutcome Outcome);
  /// Gives up the records that wait and need a quick answer.
  void giveUpHurried();
  void fence();
  asio::awaitable<std::optional<std::vector<KeyedRecord>>> readAll();

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  StoreClient &Store_;
  ShardJournalOptions Options_;
  std::function<void()> Fenced_;
  std::deque<std::shared_ptr<Entry>> Queue_;
  Notifier Work_;
  std::uint64_t NextSequence_ = 1;
  std::optional<Clock::time_point> FailingSince_;
  Clock::time_point LastTry_{};
  Clock::time_point ProvedAt_{};
  bool Appending_ = false;
  ResponseTimeEstimator Answers_;
  bool Stopped_ = false;
};

} // namespace hickory
