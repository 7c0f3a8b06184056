#pragma once

#include "Membership/OwnershipView.h"

#include <map>
#include <memory>
#include <set>

namespace hickory {

/// Shard ownership that the test sets.
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
    return HeldShards_.contains(Shard) && Timers_.now() < LeaseEnd_;
  }
  [[nodiscard]] std::optional<ShardOwner>
  ownerOf(const std::string &Shard) const override {
    if (const auto RemoteOwner = RemoteOwners.find(Shard);
        RemoteOwner != RemoteOwners.end())
      return RemoteOwner->second;
    if (!HeldShards_.contains(Shard))
      return std::nullopt;
    return ShardOwner{"slot-1", Incarnation, 1};
  }
  [[nodiscard]] std::vector<std::string> heldShards() const override {
    return {HeldShards_.begin(), HeldShards_.end()};
  }
  [[nodiscard]] bool logReachable() const override { return LogReachable; }
  [[nodiscard]] Subscription
  subscribe(std::function<void(const Change &)> Callback) override {
    ChangeCallbacks_->emplace(++NextId_, std::move(Callback));
    return Subscription(
        [All = ChangeCallbacks_, Id = NextId_] { All->erase(Id); });
  }
  [[nodiscard]] Subscription
  onRelease(std::function<void(std::string, std::function<void()>)> Callback)
      override {
    ReleaseCallbacks_->emplace(++NextId_, std::move(Callback));
    return Subscription(
        [All = ReleaseCallbacks_, Id = NextId_] { All->erase(Id); });
  }
  void setRacks(std::vector<std::string> Names) override {
    Racks = std::move(Names);
  }

  void setLeaseEnd(Clock::time_point End) { LeaseEnd_ = End; }
  /// Makes this instance the owner of a shard and notifies the subscribers.
  void acquire(const std::string &Shard, bool PreviousOwnerExpired) {
    HeldShards_.insert(Shard);
    notifyChange({Shard, true, PreviousOwnerExpired});
  }
  /// Ends the ownership of a shard and notifies the subscribers.
  void lose(const std::string &Shard) {
    HeldShards_.erase(Shard);
    notifyChange({Shard, false, false});
  }
  /// Announces a planned release to the onRelease() subscribers. They call Done
  /// when they are ready to release the shard.
  void announceRelease(const std::string &Shard, std::function<void()> Done) {
    const auto Current = *ReleaseCallbacks_;
    for (const auto &[Id, Callback] : Current)
      Callback(Shard, Done);
  }

  std::uint64_t Incarnation = 7;
  bool LogReachable = true;
  /// Owners of the shards that other instances hold.
  std::map<std::string, ShardOwner> RemoteOwners;
  std::vector<std::string> Racks;

private:
  void notifyChange(const Change &NewChange) {
    const auto Current = *ChangeCallbacks_;
    for (const auto &[Id, Callback] : Current)
      Callback(NewChange);
  }

  TimerService &Timers_;
  Clock::time_point LeaseEnd_;
  std::set<std::string> HeldShards_;
  std::uint64_t NextId_ = 0;
  std::shared_ptr<std::map<std::uint64_t, std::function<void(const Change &)>>>
      ChangeCallbacks_ = std::make_shared<
          std::map<std::uint64_t, std::function<void(const Change &)>>>();
  std::shared_ptr<std::map<
      std::uint64_t, std::function<void(std::string, std::function<void()>)>>>
      ReleaseCallbacks_ = std::make_shared<
          std::map<std::uint64_t,
                   std::function<void(std::string, std::function<void()>)>>>();
};

} // namespace hickory
