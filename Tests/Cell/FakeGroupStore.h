#pragma once

#include "Cell/CallFault.h"
#include "Cell/StoreClient.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// The platform's store for several processes: fenced producers with sequence
/// numbers, the newest record of each key, and a group that assigns the
/// partitions evenly. A partition is handed over once its former holder has
/// acknowledged the loss with a join, has left, or its time to live has ended.
class FakeGroupStore {
public:
  FakeGroupStore(TimerService &Timers, int Partitions)
      : Timers_(Timers), Owners_(static_cast<std::size_t>(Partitions)),
        Targets_(Owners_), LostIn_(Owners_.size(), 0) {}

  /// Chooses what happens to each call of a process. Names of calls: append,
  /// newest, tail, join, leave, holders.
  std::function<CallFault(const std::string &Process, const std::string &Call)>
      ChooseFault;
  StoreLimits Limits;
  /// If false, partitions move only when the test calls assignOwners() or
  /// rotateOwners().
  bool AutoRebalance = true;

  [[nodiscard]] std::uint64_t generation() const { return Generation_; }
  [[nodiscard]] std::string ownerOf(int Partition) const {
    return Owners_[static_cast<std::size_t>(Partition)];
  }
  [[nodiscard]] bool isMember(const std::string &Name) const {
    return Members_.contains(Name);
  }

  void put(const std::string &Topic, const std::string &Key,
           std::optional<std::string> Value) {
    std::vector<KeyedRecord> Records;
    Records.push_back({.Key = Key, .Value = std::move(Value)});
    Topics_[{Topic, 0}].add(Records);
  }
  /// Assigns partitions at once, without an acknowledgement of their holders.
  void assignOwners(const std::map<int, std::string> &Owners) {
    ++Generation_;
    for (const auto &[Partition, Member] : Owners) {
      const auto P = static_cast<std::size_t>(Partition);
      Owners_[P] = Targets_[P] = Member;
    }
  }
  /// Assigns each partition to another member at once, if there is one.
  void rotateOwners(std::size_t Shift) {
    expire();
    std::vector<std::string> Names;
    Names.reserve(Members_.size());
    for (const auto &[Name, Member] : Members_)
      Names.push_back(Name);
    if (Names.empty())
      return;
    ++Generation_;
    for (std::size_t P = 0; P < Owners_.size(); ++P)
      Owners_[P] = Targets_[P] = Names[(P + Shift) % Names.size()];
  }

  AppendReply append(const std::string &Topic, int Number,
                     const std::vector<KeyedRecord> &Records,
                     const AppendStamp &Stamp) {
    Partition &Target = Topics_[{Topic, Number}];
    Producer &From = Target.Producers[Stamp.Producer];
    if (Stamp.Epoch < From.Epoch)
      return {.Status = AppendStatus::Fenced};
    if (!Limits.allow(Records))
      return {.Status = AppendStatus::Invalid};
    const bool NewEpoch = Stamp.Epoch > From.Epoch;
    if (NewEpoch) {
      From = {.Epoch = Stamp.Epoch};
      if (Records.empty())
        From.Last = Stamp.Sequence;
    }
    if (Records.empty())
      return {};
    if (std::ranges::count(From.Recent, Stamp.Sequence) > 0)
      return {};
    if (From.Last && Stamp.Sequence != *From.Last + 1)
      return {.Status = AppendStatus::WrongSequence,
              .Expected = *From.Last + 1};
    From.Last = Stamp.Sequence;
    From.Recent.push_back(Stamp.Sequence);
    if (From.Recent.size() > DeduplicatedAppends)
      From.Recent.pop_front();
    Target.add(Records);
    return {};
  }

  NewestPage readNewest(const std::string &Topic, int Number,
                        const std::string &AfterKey) {
    const Partition &From = Topics_[{Topic, Number}];
    NewestPage Page{.EndOffset = From.Log.size()};
    for (auto It = From.Newest.upper_bound(AfterKey); It != From.Newest.end();
         ++It) {
      if (Page.Records.size() == PageSize) {
        Page.HasMore = true;
        break;
      }
      Page.Records.push_back(From.Log[It->second]);
    }
    return Page;
  }

  TailPage readTail(const std::string &Topic, int Number,
                    std::uint64_t Offset) {
    const Partition &From = Topics_[{Topic, Number}];
    TailPage Page{.EndOffset = From.Log.size(), .NextOffset = From.Log.size()};
    for (std::size_t I = Offset; I < From.Log.size(); ++I)
      Page.Records.push_back(From.Log[I]);
    return Page;
  }

  GroupMembership join(const std::string &Name,
                       std::chrono::milliseconds TimeToLive,
                       std::uint64_t Generation) {
    expire();
    const bool New = !Members_.contains(Name);
    Members_[Name] = {.TimeToLive = TimeToLive, .JoinedAt = Timers_.now()};
    if (New)
      rebalance();
    bool Moved = false;
    for (std::size_t P = 0; P < Owners_.size(); ++P)
      if (Owners_[P] == Name && Targets_[P] != Name &&
          Generation >= LostIn_[P]) {
        Owners_[P] = Targets_[P];
        Moved = true;
      }
    if (Moved)
      ++Generation_;
    GroupMembership Answer{.Generation = Generation_};
    for (std::size_t P = 0; P < Owners_.size(); ++P)
      if (Owners_[P] == Name && Targets_[P] == Name)
        Answer.Shards.push_back(static_cast<int>(P));
    return Answer;
  }

  bool leave(const std::string &Name) {
    expire();
    if (Members_.erase(Name) > 0)
      rebalance();
    return true;
  }

  std::vector<ShardHolder> listHolders() {
    expire();
    std::vector<ShardHolder> Rows;
    for (std::size_t P = 0; P < Owners_.size(); ++P)
      Rows.push_back({.Shard = static_cast<int>(P), .Member = Owners_[P]});
    return Rows;
  }

  [[nodiscard]] CallFault faultFor(const std::string &Process,
                                   const std::string &Call) const {
    return ChooseFault ? ChooseFault(Process, Call) : CallFault{};
  }

private:
  static constexpr std::size_t DeduplicatedAppends = 5;
  static constexpr std::size_t PageSize = 50;

  struct Producer {
    std::uint64_t Epoch = 0;
    std::optional<std::uint64_t> Last;
    std::deque<std::uint64_t> Recent; ///< Sequence numbers of known duplicates.
  };
  struct Partition {
    std::map<std::string, Producer> Producers;
    std::vector<KeyedRecord> Log;
    std::map<std::string, std::size_t> Newest; ///< Offsets by key.

    void add(const std::vector<KeyedRecord> &Records) {
      for (const KeyedRecord &Record : Records) {
        const std::size_t Offset = Log.size();
        Log.push_back(Record);
        Log.back().Offset = Offset;
        if (Record.Value)
          Newest[Record.Key] = Offset;
        else
          Newest.erase(Record.Key);
      }
    }
  };
  struct Member {
    std::chrono::milliseconds TimeToLive{0};
    Clock::time_point JoinedAt{};
  };

  void expire() {
    const auto Silent = [this](const auto &Item) {
      return Timers_.now() - Item.second.JoinedAt > Item.second.TimeToLive;
    };
    if (std::erase_if(Members_, Silent) > 0)
      rebalance();
  }

  /// Assigns the partitions evenly and moves as few as possible.
  void rebalance() {
    ++Generation_;
    for (std::size_t P = 0; P < Owners_.size(); ++P) {
      if (!Members_.contains(Owners_[P]))
        Owners_[P].clear();
      if (!Members_.contains(Targets_[P]))
        Targets_[P].clear();
    }
    if (!AutoRebalance || Members_.empty())
      return;
    const std::size_t MaximumPerMember =
        (Owners_.size() + Members_.size() - 1) / Members_.size();
    const std::size_t MinimumPerMember = Owners_.size() / Members_.size();
    for (std::size_t P = 0; P < Owners_.size(); ++P)
      if (Targets_[P].empty() || countOf(Targets_[P]) > MaximumPerMember)
        Targets_[P] = memberWithFewest();
    for (const auto &[Name, Item] : Members_)
      for (std::size_t P = 0;
           countOf(Name) < MinimumPerMember && P < Owners_.size(); ++P)
        if (countOf(Targets_[P]) > MinimumPerMember)
          Targets_[P] = Name;
    for (std::size_t P = 0; P < Owners_.size(); ++P) {
      if (Owners_[P].empty())
        Owners_[P] = Targets_[P];
      else if (Owners_[P] != Targets_[P])
        LostIn_[P] = Generation_;
    }
  }

  [[nodiscard]] std::size_t countOf(const std::string &Name) const {
    return static_cast<std::size_t>(std::ranges::count(Targets_, Name));
  }
  [[nodiscard]] std::string memberWithFewest() const {
    return std::ranges::min_element(
               Members_, {},
               [this](const auto &Item) { return countOf(Item.first); })
        ->first;
  }

  TimerService &Timers_;
  std::map<std::pair<std::string, int>, Partition> Topics_;
  std::map<std::string, Member> Members_;
  std::vector<std::string> Owners_;  ///< By partition; empty if it has none.
  std::vector<std::string> Targets_; ///< Next holder, by partition.
  /// Generation in which the holder lost the partition, by partition.
  std::vector<std::uint64_t> LostIn_;
  std::uint64_t Generation_ = 0;
};

/// The client of one process for the store.
class FakeGroupStoreClient final : public StoreClient {
public:
  FakeGroupStoreClient(TimerService &Timers, FakeGroupStore &Store,
                       std::string Process, ProcessAlive Alive)
      : Timers_(Timers), Store_(Store), Process_(std::move(Process)),
        Alive_(std::move(Alive)) {}

  asio::awaitable<Result<AppendReply>>
  append(std::string Topic, int Partition, std::vector<KeyedRecord> Records,
         AppendStamp Stamp, std::chrono::milliseconds Timeout) override {
    return call<AppendReply>(
        "append", Timeout,
        [this, Topic, Partition, Records = std::move(Records), Stamp] {
          return Store_.append(Topic, Partition, Records, Stamp);
        });
  }
  asio::awaitable<Result<NewestPage>>
  readNewest(std::string Topic, int Partition, std::string AfterKey,
             TransferLimits /*Limits*/) override {
    return call<NewestPage>(
        "newest", ReadTimeout, [this, Topic, Partition, AfterKey] {
          return Store_.readNewest(Topic, Partition, AfterKey);
        });
  }
  asio::awaitable<Result<TailPage>>
  readTail(std::string Topic, int Partition, std::uint64_t From,
           std::chrono::milliseconds Wait, TransferLimits /*Limits*/) override {
    const Clock::time_point End = Timers_.now() + Wait;
    while (Timers_.now() < End &&
           Store_.readTail(Topic, Partition, From).EndOffset <= From)
      co_await Timers_.sleepFor(Poll);
    std::function<TailPage()> Effect = [this, Topic, Partition, From] {
      return Store_.readTail(Topic, Partition, From);
    };
    co_return co_await call<TailPage>("tail", ReadTimeout, std::move(Effect));
  }
  asio::awaitable<Result<GroupMembership>>
  join(std::string /*Group*/, std::string Member, std::string /*Topic*/,
       std::chrono::milliseconds TimeToLive, std::uint64_t Generation,
       std::chrono::milliseconds Timeout) override {
    return call<GroupMembership>(
        "join", Timeout, [this, Member, TimeToLive, Generation] {
          return Store_.join(Member, TimeToLive, Generation);
        });
  }
  asio::awaitable<Result<void>> leave(std::string /*Group*/,
                                      std::string Member) override {
    std::function<bool()> Effect = [this, Member] {
      return Store_.leave(Member);
    };
    const auto Done =
        co_await call<bool>("leave", ReadTimeout, std::move(Effect));
    if (!Done)
      co_return tl::unexpected<Error>(Done.error());
    co_return Result<void>{};
  }
  asio::awaitable<Result<std::vector<ShardHolder>>>
  listHolders(std::string /*Group*/) override {
    return call<std::vector<ShardHolder>>(
        "holders", ReadTimeout, [this] { return Store_.listHolders(); });
  }

private:
  static constexpr std::chrono::milliseconds Latency{4};
  static constexpr std::chrono::milliseconds ReadTimeout{1000};
  static constexpr std::chrono::milliseconds Poll{20};

  template <typename T>
  asio::awaitable<Result<T>> call(const char *Name,
                                  std::chrono::milliseconds Timeout,
                                  std::function<T()> Effect) {
    return callFromProcess(
        Timers_, Alive_,
        executeWithFault<T>(Timers_, Store_.faultFor(Process_, Name), Latency,
                            Timeout, std::move(Effect)));
  }

  TimerService &Timers_;
  FakeGroupStore &Store_;
  std::string Process_;
  ProcessAlive Alive_;
};

} // namespace hickory
