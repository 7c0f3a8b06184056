#include "Cell/ShardJournal.h"

#include <algorithm>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds RetryDelay{100};

} // namespace

const char *nameOf(JournalOutcome Outcome) {
  switch (Outcome) {
  case JournalOutcome::Written:
    return "written";
  case JournalOutcome::NotWritten:
    return "not_written";
  case JournalOutcome::Unknown:
    return "unknown";
  case JournalOutcome::Rejected:
    return "rejected";
  }
  return "unknown";
}

ShardJournal::ShardJournal(const asio::any_io_executor &Executor,
                           TimerService &Timers, StoreClient &Store,
                           ShardJournalOptions Options)
    : Executor_(Executor), Timers_(Timers), Store_(Store),
      Options_(std::move(Options)), QueueChanged_(Executor) {}

std::chrono::milliseconds ShardJournal::timeoutAfter(int Failures) const {
  return ResponseTimes_.timeout(Options_.FirstTimeout, Options_.LongestTimeout,
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
      ConfirmedAt_ = SentAt;
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
    auto Page = co_await Store_.readNewest(Options_.Topic, Options_.Shard,
                                           After, Options_.ReadLimits);
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
  const std::size_t Limit =
      std::min(Options_.MaximumBatchBytes, Options_.Limits.CallBytes);
  while (!Queue_.empty()) {
    auto First = Queue_.front();
    if (First->Withdrawn) {
      Queue_.pop_front();
      continue;
    }
    Bytes += StoreLimits::sizeOf(First->Records);
    if (!Entries.empty() &&
        (Bytes > Limit || First->Alone || Entries.back()->Alone))
      break;
    Queue_.pop_front();
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
      co_await QueueChanged_.wait();
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
  for (const auto &Pending : Entries)
    Records.insert(Records.end(), Pending->Records.begin(),
                   Pending->Records.end());
  bool MayBeAppended = false;
  for (int Failures = 0; !Stopped_; ++Failures) {
    AppendStamp Stamp{.Producer = Options_.Producer,
                      .Epoch = Options_.Epoch,
                      .Sequence = NextSequence_};
    LastAttemptAt_ = Timers_.now();
    const auto Reply =
        co_await Store_.append(Options_.Topic, Options_.Shard, Records,
                               std::move(Stamp), timeoutAfter(Failures));
    if (Reply)
      ResponseTimes_.recordResponse(Timers_.now() - LastAttemptAt_);
    if (Reply && Reply->Status == AppendStatus::Appended) {
      FailingSince_.reset();
      ConfirmedAt_ = LastAttemptAt_;
      ++NextSequence_;
      complete(Entries, JournalOutcome::Written);
      co_return;
    }
    if (Reply && Reply->Status == AppendStatus::WrongSequence) {
      // The store already has this sequence number: an earlier attempt of this
      // append was carried out.
      if (MayBeAppended && Reply->Expected == NextSequence_ + 1) {
        NextSequence_ = Reply->Expected;
        complete(Entries, JournalOutcome::Written);
        co_return;
      }
      NextSequence_ = Reply->Expected;
      continue;
    }
    if (Reply && Reply->Status == AppendStatus::Fenced) {
      complete(Entries, MayBeAppended ? JournalOutcome::Unknown
                                      : JournalOutcome::NotWritten);
      fence();
      co_return;
    }
    if (Reply && Reply->Status == AppendStatus::Invalid && !MayBeAppended) {
      handleRejected(Entries);
      co_return;
    }
    if (!FailingSince_)
      FailingSince_ = Timers_.now();
    const bool NoEffect = Reply ? true : Reply.error().hadNoEffect();
    MayBeAppended = MayBeAppended || !NoEffect;
    if (!MayBeAppended) {
      // Those whose deadline passes can be withdrawn meanwhile.
      requeue(Entries);
      if (failingFor() > Options_.FailFastAfter)
        failWaitingFastWrites();
      co_await Timers_.sleepFor(RetryDelay);
      co_return;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
  complete(Entries, MayBeAppended ? JournalOutcome::Unknown
                                  : JournalOutcome::NotWritten);
}

void ShardJournal::requeue(const Batch &Entries) {
  for (auto It = Entries.rbegin(); It != Entries.rend(); ++It) {
    (*It)->Attempted = false;
    (*It)->Changed.notify();
    Queue_.push_front(*It);
  }
}

void ShardJournal::handleRejected(const Batch &Entries) {
  if (Entries.size() == 1) {
    complete(Entries, JournalOutcome::Rejected);
    return;
  }
  // The others must not fail with the entry that the store does not accept.
  for (const auto &Each : Entries)
    Each->Alone = true;
  requeue(Entries);
}

void ShardJournal::failWaitingFastWrites() {
  Batch Failed;
  std::erase_if(Queue_, [&Failed](const std::shared_ptr<Entry> &Pending) {
    if (!Pending->FailFast)
      return false;
    Failed.push_back(Pending);
    return true;
  });
  complete(Failed, JournalOutcome::NotWritten);
}

void ShardJournal::complete(const Batch &Entries, JournalOutcome Outcome) {
  for (const auto &Pending : Entries) {
    Pending->Outcome = Outcome;
    Pending->Changed.notify();
  }
}

asio::awaitable<JournalOutcome>
ShardJournal::write(std::vector<KeyedRecord> Records,
                    Clock::time_point Deadline, bool FailFast) {
  if (!allows(Records))
    co_return JournalOutcome::Rejected;
  if (Stopped_)
    co_return JournalOutcome::NotWritten;
  const auto Self = shared_from_this();
  auto Pending = std::make_shared<Entry>(Executor_);
  Pending->Records = std::move(Records);
  Pending->FailFast = FailFast;
  Queue_.push_back(Pending);
  QueueChanged_.notify();
  while (!Pending->Outcome) {
    const auto Left = Deadline - Timers_.now();
    if (Left <= Clock::duration::zero()) {
      if (Pending->Attempted)
        co_return JournalOutcome::Unknown;
      Pending->Withdrawn = true;
      co_return JournalOutcome::NotWritten;
    }
    co_await Pending->Changed.waitFor(Timers_, Left);
  }
  co_return *Pending->Outcome;
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
  for (const auto &Pending : Waiting)
    if (!Pending->Attempted)
      Pending->Outcome = JournalOutcome::NotWritten;
  for (const auto &Pending : Waiting)
    Pending->Changed.notify();
  QueueChanged_.notify();
}

} // namespace hickory
