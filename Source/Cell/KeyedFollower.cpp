#include "Cell/KeyedFollower.h"

namespace hickory {

namespace {

constexpr std::chrono::milliseconds RetryDelay{250};

} // namespace

KeyedFollower::KeyedFollower(TimerService &Timers, StoreClient &Store,
                             EventLog &Events, KeyedFollowerOptions Options,
                             ChangeCallback OnChange)
    : Timers_(Timers), Store_(Store), Events_(Events),
      Options_(std::move(Options)), OnChange_(std::move(OnChange)) {}

asio::awaitable<Result<void>> KeyedFollower::run() {
  bool Current = false;
  while (!Stopping_) {
    if (Options_.IsNeeded && !Options_.IsNeeded()) {
      Current = false;
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    const bool Read = Current ? co_await readTail() : co_await readNewest();
    if (Read != Reachable_) {
      Reachable_ = Read;
      Events_.emit(Options_.Name, Read ? "regained" : "lost",
                   {{"topic", Options_.Topic}, {"next", NextOffset_}});
    }
    Current = Read;
    co_await Timers_.sleepFor(Read ? Options_.ReadPause : RetryDelay);
  }
  co_return Result<void>{};
}

asio::awaitable<bool> KeyedFollower::readNewest() {
  std::map<std::string, std::string> Values;
  std::string After;
  std::uint64_t End = 0;
  bool First = true;
  while (true) {
    auto Page =
        co_await Store_.readNewest(Options_.Topic, Options_.Partition, After);
    if (!Page)
      co_return false;
    // The pages are not one snapshot: readTail() reads again what has changed
    // since the first page.
    if (First)
      End = Page->EndOffset;
    First = false;
    for (KeyedRecord &Record : Page->Records) {
      After = Record.Key;
      if (Record.Value)
        Values[Record.Key] = std::move(*Record.Value);
    }
    if (!Page->HasMore || Page->Records.empty())
      break;
  }
  std::set<std::string> Changed;
  for (const auto &[Key, Value] : Values_)
    if (!Values.contains(Key))
      Changed.insert(Key);
  for (const auto &[Key, Value] : Values)
    Changed.insert(Key);
  Values_ = std::move(Values);
  NextOffset_ = End;
  Ready_ = true;
  OnChange_(Values_, Changed);
  co_return true;
}

asio::awaitable<bool> KeyedFollower::readTail() {
  auto Page = co_await Store_.readTail(Options_.Topic, Options_.Partition,
                                       NextOffset_, Options_.PollWait);
  if (!Page || Page->Expired)
    co_return false;
  NextOffset_ = Page->NextOffset;
  const auto Changed = apply(std::move(Page->Records));
  if (!Changed.empty())
    OnChange_(Values_, Changed);
  co_return true;
}

std::set<std::string> KeyedFollower::apply(std::vector<KeyedRecord> Records) {
  std::set<std::string> Changed;
  for (KeyedRecord &Record : Records) {
    Changed.insert(Record.Key);
    if (Record.Value)
      Values_[Record.Key] = std::move(*Record.Value);
    else
      Values_.erase(Record.Key);
  }
  return Changed;
}

} // namespace hickory
