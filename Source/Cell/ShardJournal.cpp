#include "Cell/ShardJournal.h"

namespace hickory {

namespace {

constexpr std::chrono::milliseconds RetryDelay{100};

std::size_t bytesOf(const std::vector<KeyedRecord> &Records) {
  std::size_t Bytes = 0;
  for (const KeyedRecord &Record : Records)
    Bytes += Record.Key.size() + (Record.Value ? Record.Value->size() : 0) + 8;
  return Bytes;
}

} // namespace

const char *nameOf(JournalOutcome Outcome) {
  switch (Outcome) {
  case JournalOutcome::Written:
    return "written";
  case JournalOutcome::NotWritten:
    return "not_written";
  case JournalOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

ShardJournal::ShardJournal(const asio::any_io_executor &Executor,
                           TimerService &Timers, StoreClient &Store,
                           ShardJournalOptions Options)
    : Executor_(Executor), Timers_(Timers), Store_(Store),
      Options_(std::move(Options)), Work_(Executor) {}

std::chrono::milliseconds ShardJournal::timeoutAfter(int Failures) const {
  return Answers_.timeout(Options_.FirstTimeout, Options_.LongestTimeout,
                          Failures);
}

asio::awaitable<std::optional<std::vector<KeyedRecord>>>
ShardJournal::acquire() {
  const auto Self = shared_from_this();
  for (int Failures = 0; !Stopped_; ++Failures) {
    AppendStamp Stamp{
        .Producer = Options_.Producer, .Epoch = Options_.Epoch, .Sequence = 0};
    const Clock::time_point SentAt = Timers_.now();
    const auto Reply = co_await Store_.append(
        Options_.Topic, Options_.Shard, std::vector<KeyedRecord>(),
        std::move(Stamp), timeoutAfter(Failures));
    if (Reply && Reply->Status == AppendStatus::Fenced) {
      fence();
      co_return std::nullopt;
    }
    if (Reply && Reply->Status != AppendStatus::NotDone) {
      ProvedAt_ = SentAt;
      auto Records = co_await readAll();
      if (Records)
        co_return Records;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<std::vector<KeyedRecord>>>
ShardJournal::readAll() {
  std::vector<KeyedRecord> All;
  std::string After;
  while (!Stopped_) {
    auto Page =
        co_await Store_.readNewest(Options_.Topic, Options_.Shard, After);
    if (!Page)
      co_return std::nullopt;
    for (KeyedRecord &Record : Page->Records)
      All.push_back(std::move(Record));
    if (!Page->HasMore || All.empty())
      co_return All;
    After = All.back().Key;
  }
  co_return std::nullopt;
}

ShardJournal::Batch ShardJournal::takeBatch() {
  Batch Entries;
  std::size_t Bytes = 0;
  while (!Queue_.empty() && Bytes < Options_.MaximumBatchBytes) {
    auto First = Queue_.front();
    Queue_.pop_front();
    if (First->Withdrawn)
      continue;
    Bytes += bytesOf(First->Records);
    First->Attempted = true;
    Entries.push_back(std::move(First));
  }
  return Entries;
}

asio::awaitable<void> ShardJournal::run() {
  const auto Self = shared_from_this();
  while (!Stopped_) {
    Batch Entries = takeBatch();
    if (Entries.empty()) {
      co_await Work_.wait();
      continue;
    }
    const Clock::time_point Begin = Timers_.now();
    Appending_ = true;
    co_await appendBatch(std::move(Entries));
    Appending_ = false;
    const auto Spent = Timers_.now() - Begin;
    if (!Stopped_ && Spent < Options_.MinimumInterval)
      co_await Timers_.sleepFor(Options_.MinimumInterval - Spent);
  }
}

asio::awaitable<void> ShardJournal::appendBatch(Batch Entries) {
  std::vector<KeyedRecord> Records;
  for (const auto &Item : Entries)
    Records.insert(Records.end(), Item->Records.begin(), Item->Records.end());
  bool MayBeDone = false;
  for (int Failures = 0; !Stopped_; ++Failures) {
    AppendStamp Stamp{.Producer = Options_.Producer,
                      .Epoch = Options_.Epoch,
                      .Sequence = NextSequence_};
    LastTry_ = Timers_.now();
    const auto Reply =
        co_await Store_.append(Options_.Topic, Options_.Shard, Records,
                               std::move(Stamp), timeoutAfter(Failures));
    if (Reply)
      Answers_.answered(Timers_.now() - LastTry_);
    if (Reply && Reply->Status == AppendStatus::Appended) {
      FailingSince_.reset();
      ProvedAt_ = LastTry_;
      ++NextSequence_;
      finish(Entries, JournalOutcome::Written);
      co_return;
    }
    if (Reply && Reply->Status == AppendStatus::WrongSequence) {
      // The store is past this number: an earlier copy was appended.
      if (MayBeDone && Reply->Expected == NextSequence_ + 1) {
        NextSequence_ = Reply->Expected;
        finish(Entries, JournalOutcome::Written);
        co_return;
      }
      NextSequence_ = Reply->Expected;
      continue;
    }
    if (Reply && Reply->Status == AppendStatus::Fenced) {
      finish(Entries,
             MayBeDone ? JournalOutcome::Unknown : JournalOutcome::NotWritten);
      fence();
      co_return;
    }
    if (!FailingSince_)
      FailingSince_ = Timers_.now();
    const bool NoEffect = Reply ? true : Reply.error().hadNoEffect();
    MayBeDone = MayBeDone || !NoEffect;
    if (!MayBeDone) {
      // Back in line, so that entries whose time is up can be withdrawn.
      for (auto It = Entries.rbegin(); It != Entries.rend(); ++It) {
        (*It)->Attempted = false;
        (*It)->Changed.notify();
        Queue_.push_front(*It);
      }
      if (failingFor() > Options_.Patience)
        giveUpHurried();
      co_await Timers_.sleepFor(RetryDelay);
      co_return;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
  finish(Entries,
         MayBeDone ? JournalOutcome::Unknown : JournalOutcome::NotWritten);
}

void ShardJournal::giveUpHurried() {
  Batch Given;
  std::erase_if(Queue_, [&Given](const std::shared_ptr<Entry> &Item) {
    if (!Item->Hurried)
      return false;
    Given.push_back(Item);
    return true;
  });
  finish(Given, JournalOutcome::NotWritten);
}

void ShardJournal::finish(const Batch &Entries, JournalOutcome Outcome) {
  for (const auto &Item : Entries) {
    Item->Outcome = Outcome;
    Item->Changed.notify();
  }
}

asio::awaitable<JournalOutcome>
ShardJournal::write(std::vector<KeyedRecord> Records,
                    Clock::time_point Deadline, bool Hurried) {
  if (Stopped_)
    co_return JournalOutcome::NotWritten;
  const auto Self = shared_from_this();
  auto Item = std::make_shared<Entry>(Executor_);
  Item->Records = std::move(Records);
  Item->Hurried = Hurried;
  Queue_.push_back(Item);
  Work_.notify();
  while (!Item->Outcome) {
    const auto Left = Deadline - Timers_.now();
    if (Left <= Clock::duration::zero()) {
      if (Item->Attempted)
        co_return JournalOutcome::Unknown;
      Item->Withdrawn = true;
      co_return JournalOutcome::NotWritten;
    }
    co_await Item->Changed.waitFor(Timers_, Left);
  }
  co_return *Item->Outcome;
}

void ShardJournal::fence() {
  const bool First = !Stopped_;
  stop();
  if (First && Fenced_)
    Fenced_();
}

void ShardJournal::stop() {
  if (Stopped_)
    return;
  Stopped_ = true;
  Batch Waiting(Queue_.begin(), Queue_.end());
  Queue_.clear();
  for (const auto &Item : Waiting)
    if (!Item->Attempted)
      Item->Outcome = JournalOutcome::NotWritten;
  for (const auto &Item : Waiting)
    Item->Changed.notify();
  Work_.notify();
}

} // namespace hickory
