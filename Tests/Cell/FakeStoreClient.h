#pragma once

#include "Base/TimerService.h"
#include "Cell/StoreClient.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// The platform's store in memory: fenced producers, the newest record of each
/// key, and a group whose assignment is set by the test.
class FakeStoreClient final : public StoreClient {
public:
  enum class AppendFault {
    None,        ///< Carried out and answered.
    LostReply,   ///< Carried out, but the response is lost.
    Refused,     ///< Refused: not carried out, and the caller is told so.
    LostRequest, ///< Neither carried out nor answered.
  };

  explicit FakeStoreClient(TimerService &Timers) : Timers_(Timers) {}

  /// Chooses what happens to each append with records.
  std::function<AppendFault()> ChooseFault;
  StoreLimits Limits;
  /// Appends with records to these partitions are neither carried out nor
  /// answered.
  std::set<int> SilentPartitions;
  GroupMembership Membership;
  bool GroupReachable = true;
  std::chrono::milliseconds AppendTime{4};
  std::vector<ShardHolder> Holders;
  std::vector<std::string> Left; ///< Members that left or were removed.
  int Appends = 0;
  int AppendedRecords = 0;
  int NewestReads = 0;
  int TailReads = 0;
  /// Records that readTail() returns, for all topics and partitions.
  std::vector<KeyedRecord> Tail;
  std::chrono::milliseconds TailTime{4}; ///< Time that a transfer takes.
  bool TailSilent = false;               ///< No byte of a read arrives.
  bool TailRefused = false;              ///< A read fails at once.
  int ExpiredReads = 0; ///< Number of next reads of dropped history.
  int LostJoins = 0;    ///< Number of next joins without a response.
  std::vector<Clock::time_point> JoinedAt;

  [[nodiscard]] std::map<std::string, std::string> values(int Partition) const {
    const auto It = Partitions_.find(Partition);
    return It == Partitions_.end() ? std::map<std::string, std::string>()
                                   : It->second.Values;
  }

  /// Writes a record without a check of the producer.
  void put(int Partition, const std::string &Key, std::string Value) {
    Partitions_[Partition].Values[Key] = std::move(Value);
  }

  asio::awaitable<Result<AppendReply>>
  append(std::string /*Topic*/, int Number, std::vector<KeyedRecord> Records,
         AppendStamp Stamp, std::chrono::milliseconds Timeout) override {
    if (AppendTime > Timeout) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_await Timers_.sleepFor(AppendTime);
    Partition &Target = Partitions_[Number];
    if (Stamp.Epoch < Target.Epoch)
      co_return AppendReply{.Status = AppendStatus::Fenced};
    if (Stamp.Epoch > Target.Epoch) {
      Target.Epoch = Stamp.Epoch;
      Target.Sequence.reset();
    }
    if (Records.empty()) {
      Target.Sequence = Stamp.Sequence;
      co_return AppendReply{};
    }
    ++Appends;
    if (!Limits.allow(Records))
      co_return AppendReply{.Status = AppendStatus::Invalid};
    AppendFault Fault = ChooseFault ? ChooseFault() : AppendFault::None;
    if (SilentPartitions.contains(Number))
      Fault = AppendFault::LostRequest;
    if (Fault == AppendFault::Refused)
      co_return AppendReply{.Status = AppendStatus::NotDone};
    if (Fault == AppendFault::LostRequest) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    const bool Repeated = Target.Sequence && Stamp.Sequence == *Target.Sequence;
    if (!Repeated) {
      if (Target.Sequence && Stamp.Sequence != *Target.Sequence + 1)
        co_return AppendReply{.Status = AppendStatus::WrongSequence,
                              .Expected = *Target.Sequence + 1};
      Target.Sequence = Stamp.Sequence;
      AppendedRecords += static_cast<int>(Records.size());
      for (const KeyedRecord &Record : Records)
        if (Record.Value)
          Target.Values[Record.Key] = *Record.Value;
        else
          Target.Values.erase(Record.Key);
    }
    if (Fault == AppendFault::LostReply) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_return AppendReply{};
  }

  asio::awaitable<Result<NewestPage>>
  readNewest(std::string /*Topic*/, int Number, std::string AfterKey,
             TransferLimits /*Limits*/) override {
    ++NewestReads;
    co_await Timers_.sleepFor(std::chrono::milliseconds(4));
    // Pages of two records, so that tests cover the reading of several pages.
    NewestPage Page;
    for (const auto &[Key, Value] : Partitions_[Number].Values) {
      if (!AfterKey.empty() && Key <= AfterKey)
        continue;
      if (Page.Records.size() == 2) {
        Page.HasMore = true;
        break;
      }
      Page.Records.push_back({.Key = Key, .Value = Value});
    }
    co_return Page;
  }

  asio::awaitable<Result<TailPage>> readTail(std::string /*Topic*/,
                                             int /*Number*/, std::uint64_t From,
                                             std::chrono::milliseconds Wait,
                                             TransferLimits Limits) override {
    ++TailReads;
    if (TailRefused)
      co_return fail(ErrorCode::Unavailable, "refused");
    if (ExpiredReads > 0) {
      --ExpiredReads;
      co_return TailPage{.Expired = true};
    }
    if (TailSilent || TailTime > Limits.Total) {
      co_await Timers_.sleepFor(Wait +
                                (TailSilent ? Limits.Idle : Limits.Total));
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_await Timers_.sleepFor(TailTime);
    const Clock::time_point End = Timers_.now() + Wait;
    while (Tail.size() <= From && Timers_.now() < End)
      co_await Timers_.sleepFor(std::chrono::milliseconds(10));
    TailPage Page{.EndOffset = std::max<std::uint64_t>(From, Tail.size())};
    Page.NextOffset = Page.EndOffset;
    for (std::size_t I = From; I < Tail.size(); ++I) {
      Page.Records.push_back(Tail[I]);
      Page.Records.back().Offset = I;
    }
    co_return Page;
  }

  asio::awaitable<Result<GroupMembership>>
  join(std::string /*Group*/, std::string /*Member*/, std::string /*Topic*/,
       std::chrono::milliseconds /*TimeToLive*/, std::uint64_t /*Generation*/,
       std::chrono::milliseconds Timeout) override {
    co_await Timers_.sleepFor(std::chrono::milliseconds(4));
    JoinedAt.push_back(Timers_.now());
    if (!GroupReachable || LostJoins > 0) {
      --LostJoins;
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_return Membership;
  }

  asio::awaitable<Result<void>> leave(std::string /*Group*/,
                                      std::string Member) override {
    Left.push_back(std::move(Member));
    co_return Result<void>{};
  }

  asio::awaitable<Result<std::vector<ShardHolder>>>
  listHolders(std::string /*Group*/) override {
    co_await Timers_.sleepFor(std::chrono::milliseconds(4));
    if (!GroupReachable)
      co_return fail(ErrorCode::Timeout, "no answer");
    co_return Holders;
  }

private:
  struct Partition {
    std::uint64_t Epoch = 0;
    std::optional<std::uint64_t> Sequence;
    std::map<std::string, std::string> Values;
  };

  TimerService &Timers_;
  std::map<int, Partition> Partitions_;
};

} // namespace hickory
