#pragma once

#include "Base/TimerService.h"

#include <map>
#include <memory>

namespace hickory {

/// The clock of one simulated process. The test sets the time with setNow() and
/// runs the due callbacks with runDue(). To simulate a paused process it only
/// advances the time, so that callbacks run late.
class PausableTimerService final : public TimerService {
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

  void setNow(Clock::time_point Now) { Now_ = Now; }

  /// Runs the callbacks that are due, in order of their time.
  void runDue() {
    while (!Pending_->empty() && Pending_->begin()->first.first <= Now_) {
      auto Node = Pending_->extract(Pending_->begin());
      Node.mapped()();
    }
  }

private:
  using Key = std::pair<Clock::time_point, std::uint64_t>;
  Clock::time_point Now_{std::chrono::hours(1)};
  std::uint64_t NextId_ = 0;
  std::shared_ptr<std::map<Key, std::function<void()>>> Pending_ =
      std::make_shared<std::map<Key, std::function<void()>>>();
};

} // namespace hickory
