#pragma once

#include "Membership/OwnershipView.h"

#include <map>
#include <memory>
#include <set>

namespace hickory {

/// Ownership as the test sets it.
class FakeOwnershipView final : public OwnershipView {
public:
  explicit FakeOwnershipView(TimerService &Timers)
      : Timers_(Timers), LeaseEnd_(Timers.now() + std::chrono::hours(24)) {}

  [[nodiscard]] std::uint64_t incarnation() const override {
    return Incarnation;
  }
  [[nodiscard]] Clock::time_point leaseEnd() const override {
    return LeaseEnd_;
  }
  [[nodiscard]] bool holds(const std::string &Shard) const override {
    return Held_.contains(Shard) && Timers_.now() < LeaseEnd_;
  }
  [[nodiscard]] std::optional<ShardOwner>
  ownerOf(const std::string &Shard) const override {
    if (const auto Remote = RemoteOwners.find(Shard);
        Remote != RemoteOwners.end())
      return Remote->second;
    if (!Held_.contains(Shard))
      return std::nullopt;
    return ShardOwner{"slot-1", Incarnation, 1};
  }
  [[nodiscard]] std::vector<std::string> heldShards() const override {
    return {Held_.begin(), Held_.end()};
  }
  [[nodiscard]] bool logReachable() const override { return LogReachable; }
  [[nodiscard]] Subscription
  subscribe(std::function<void(const Change &)> Callback) override {
    Changes_->emplace(++NextId_, std::move(Callback));
    return Subscription([All = Changes_, Id = NextId_] { All->erase(Id); });
  }
  [[nodiscard]] Subscription
  onRelease(std::function<void(std::string, std::function<void()>)> Callback)
      override {
    Releases_->emplace(++NextId_, std::move(Callback));
    return Subscription([All = Releases_, Id = NextId_] { All->erase(Id); });
  }
  void setRacks(std::vector<std::string> Names) override {
    Racks = std::move(Names);
  }

  void setLeaseEnd(Clock::time_point End) { LeaseEnd_ = End; }
  void acquire(const std::string &Shard, bool PreviousOwnerExpired) {
    Held_.insert(Shard);
    tell({Shard, true, PreviousOwnerExpired});
  }
  void lose(const std::string &Shard) {
    Held_.erase(Shard);
    tell({Shard, false, false});
  }
  /// Announces a planned release; Done is called when the receiver agrees.
  void announceRelease(const std::string &Shard, std::function<void()> Done) {
    const auto Current = *Releases_;
    for (const auto &[Id, Callback] : Current)
      Callback(Shard, Done);
  }

  std::uint64_t Incarnation = 7;
  bool LogReachable = true;
  std::map<std::string, ShardOwner>
      RemoteOwners; ///< Shards of other instances.
  std::vector<std::string> Racks;

private:
  void tell(const Change &Happened) {
    const auto Current = *Changes_;
    for (const auto &[Id, Callback] : Current)
      Callback(Happened);
  }

  TimerService &Timers_;
  Clock::time_point LeaseEnd_;
  std::set<std::string> Held_;
  std::uint64_t NextId_ = 0;
  std::shared_ptr<std::map<std::uint64_t, std::function<void(const Change &)>>>
      Changes_ = std::make_shared<
          std::map<std::uint64_t, std::function<void(const Change &)>>>();
  std::shared_ptr<std::map<
      std::uint64_t, std::function<void(std::string, std::function<void()>)>>>
      Releases_ = std::make_shared<
          std::map<std::uint64_t,
                   std::function<void(std::string, std::function<void()>)>>>();
};

} // namespace hickory
