#pragma once

#include "Base/TimerService.h"

#include <map>
#include <memory>

namespace hickory {

/// A clock that advances only when the test calls advance().
class FakeTimerService final : public TimerService {
public:
  [[nodiscard]] Clock::time_point now() const override { return Now_; }
  [[nodiscard]] std::chrono::system_clock::time_point wallNow() const override {
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            Now_.time_since_epoch()));
  }

  [[nodiscard]] Subscription after(Clock::duration Delay,
                                   std::function<void()> Callback) override {
    const auto Due = std::make_pair(Now_ + Delay, NextId_++);
    Pending_->emplace(Due, std::move(Callback));
    return Subscription([Pending = Pending_, Due] { Pending->erase(Due); });
  }

  /// Advances the clock and runs the callbacks that become due, in order of
  /// their time. Call poll() on the Asio context between two calls, so that
  /// coroutines can continue.
  void advance(Clock::duration Step) {
    const Clock::time_point End = Now_ + Step;
    while (!Pending_->empty() && Pending_->begin()->first.first <= End) {
      auto Node = Pending_->extract(Pending_->begin());
      Now_ = Node.key().first;
      Node.mapped()();
    }
    Now_ = End;
  }

private:
  using Key = std::pair<Clock::time_point, std::uint64_t>;
  Clock::time_point Now_{std::chrono::hours(1)};
  std::uint64_t NextId_ = 0;
  std::shared_ptr<std::map<Key, std::function<void()>>> Pending_ =
      std::make_shared<std::map<Key, std::function<void()>>>();
};

} // namespace hickory
