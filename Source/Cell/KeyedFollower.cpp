#include "Cell/KeyedFollower.h"

#include <algorithm>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds RetryDelay{250};
/// Interval at which a process that waits for records checks for them.
constexpr std::chrono::milliseconds RelayPoll{100};

} // namespace

KeyedFollower::KeyedFollower(TimerService &Timers, StoreClient &Store,
                             EventLog &Events, KeyedFollowerOptions Options,
                             ChangeCallback OnChange)
    : Timers_(Timers), Store_(Store), Events_(Events),
      Options_(std::move(Options)), OnChange_(std::move(OnChange)) {}

asio::awaitable<Result<void>> KeyedFollower::run() {
  while (!Stopping_) {
    if (Options_.IsNeeded && !Options_.IsNeeded()) {
      Positioned_ = false;
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    const bool Relayed = co_await readRelay();
    // A store that fails is tried all the same, as its answer ends the calls to
    // other processes and allows this one to relay.
    bool Read = Relayed;
    if (!Relayed || FailingSince_) {
      const bool FromStore = co_await readStore();
      Read = FromStore || Relayed;
    }
    if (Read != Reachable_) {
      Reachable_ = Read;
      Events_.emit(Options_.Name, Read ? "regained" : "lost",
                   {{"topic", Options_.Topic}, {"next", NextOffset_}});
    }
    co_await Timers_.sleepFor(Read ? Options_.ReadPause : RetryDelay);
  }
  co_return Result<void>{};
}

asio::awaitable<bool> KeyedFollower::readRelay() {
  if (Options_.Relay == nullptr)
    co_return false;
  const Clock::duration Failing = failingFor();
  auto Reply = co_await Options_.Relay->read(
      NextOffset_,
      FailingSince_ ? std::chrono::milliseconds(0) : Options_.PollWait,
      Failing);
  if (!Reply || !Reply->Current || Reply->NextOffset < NextOffset_)
    co_return false;
  if (FailingSince_ && !RelayedInstead_)
    Events_.emit(
        Options_.Name, "relayed_instead",
        {{"topic", Options_.Topic},
         {"store_failing_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(Failing)
              .count()}});
  RelayedInstead_ = FailingSince_.has_value();
  // Only reads from the store tell that there are no further records.
  CurrentAt_.reset();
  std::vector<KeyedRecord> Records;
  for (RelayedRecord &Record : Reply->Records)
    Records.push_back({.Key = std::move(Record.Key),
                       .Value = std::move(Record.Value),
                       .Offset = Record.Offset});
  const std::set<std::string> Keys(Reply->Keys.begin(), Reply->Keys.end());
  for (const auto &[Key, Value] : Values_)
    if (!Keys.contains(Key))
      Records.push_back({.Key = Key});
  const auto Changed = apply(std::move(Records));
  NextOffset_ = Reply->NextOffset;
  Positioned_ = true;
  Ready_ = true;
  if (!Changed.empty())
    OnChange_(Values_, Changed);
  co_return true;
}

asio::awaitable<bool> KeyedFollower::readStore() {
  const Clock::time_point SentAt = Timers_.now();
  const bool Read = Positioned_ ? co_await readTail() : co_await readNewest();
  if (Read) {
    FailingSince_.reset();
    RelayedInstead_ = false;
  } else if (!FailingSince_) {
    FailingSince_ = SentAt;
  }
  co_return Read;
}

Clock::duration KeyedFollower::failingFor() const {
  return FailingSince_ ? Timers_.now() - *FailingSince_ : Clock::duration(0);
}

std::chrono::milliseconds KeyedFollower::pollWait() const {
  return FailingSince_ ? std::chrono::milliseconds(0) : Options_.PollWait;
}

asio::awaitable<bool> KeyedFollower::readNewest() {
  std::vector<KeyedRecord> Records;
  std::string After;
  std::uint64_t End = 0;
  bool First = true;
  const Clock::time_point SentAt = Timers_.now();
  while (true) {
    auto Page = co_await Store_.readNewest(Options_.Topic, Options_.Partition,
                                           After, Options_.ReadLimits);
    if (!Page)
      co_return false;
    // The pages are not one snapshot: readTail() reads again what has changed
    // since the first page.
    if (First)
      End = Page->EndOffset;
    First = false;
    for (KeyedRecord &Record : Page->Records) {
      After = Record.Key;
      Records.push_back(std::move(Record));
    }
    if (!Page->HasMore || Page->Records.empty())
      break;
  }
  std::set<std::string> Changed;
  for (const auto &[Key, Value] : Values_)
    Changed.insert(Key);
  Values_.clear();
  Offsets_.clear();
  Changed.merge(apply(std::move(Records)));
  NextOffset_ = End;
  CurrentAt_ = SentAt;
  Positioned_ = true;
  Ready_ = true;
  OnChange_(Values_, Changed);
  co_return true;
}

asio::awaitable<bool> KeyedFollower::readTail() {
  const Clock::time_point SentAt = Timers_.now();
  const std::chrono::milliseconds Wait = pollWait();
  auto Page = co_await Store_.readTail(Options_.Topic, Options_.Partition,
                                       NextOffset_, Wait, Options_.ReadLimits);
  if (!Page)
    co_return false;
  if (Page->Expired) {
    Positioned_ = false;
    co_return false;
  }
  NextOffset_ = Page->NextOffset;
  // Without records, the store has waited for them.
  if (Page->NextOffset >= Page->EndOffset)
    CurrentAt_ = Page->Records.empty() ? SentAt + Wait : SentAt;
  const auto Changed = apply(std::move(Page->Records));
  if (!Changed.empty())
    OnChange_(Values_, Changed);
  co_return true;
}

std::set<std::string> KeyedFollower::apply(std::vector<KeyedRecord> Records) {
  std::set<std::string> Changed;
  for (KeyedRecord &Record : Records) {
    Changed.insert(Record.Key);
    if (Record.Value) {
      Values_[Record.Key] = std::move(*Record.Value);
      Offsets_[Record.Key] = Record.Offset;
    } else {
      Values_.erase(Record.Key);
      Offsets_.erase(Record.Key);
    }
  }
  return Changed;
}

bool KeyedFollower::isCurrent() const {
  return Relaying_ && CurrentAt_ &&
         Timers_.now() - *CurrentAt_ <= Options_.RelayedFor;
}

asio::awaitable<RecordsReply>
KeyedFollower::recordsFrom(std::uint64_t From, std::chrono::milliseconds Wait) {
  const Clock::time_point End =
      Timers_.now() + std::min(Wait, Options_.PollWait);
  while (isCurrent() && NextOffset_ <= From && Timers_.now() < End &&
         !Stopping_)
    co_await Timers_.sleepFor(RelayPoll);
  RecordsReply Reply{.Current = isCurrent(), .NextOffset = NextOffset_};
  if (!Reply.Current)
    co_return Reply;
  for (const auto &[Key, Value] : Values_) {
    Reply.Keys.push_back(Key);
    if (const std::uint64_t Offset = Offsets_.at(Key); Offset >= From)
      Reply.Records.push_back({.Key = Key, .Value = Value, .Offset = Offset});
  }
  co_return Reply;
}

} // namespace hickory
