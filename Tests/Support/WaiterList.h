#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"

#include <algorithm>
#include <asio/this_coro.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace hickory {

/// Coroutines that wait for one event. The waiting coroutines own their
/// signals, so this list may outlive the Asio context.
class WaiterList {
public:
  void wakeAll() {
    for (const std::weak_ptr<Notifier> &Weak : std::exchange(Waiting_, {}))
      if (const auto Alive = Weak.lock())
        Alive->notify();
  }

  /// Returns after the next wakeAll(), or after Limit.
  asio::awaitable<void> wait(TimerService &Timers,
                             std::optional<Clock::duration> Limit) {
    auto Wake = std::make_shared<Notifier>(co_await asio::this_coro::executor);
    const std::weak_ptr<Notifier> Weak = Wake;
    std::erase_if(Waiting_, [](const auto &Item) { return Item.expired(); });
    Waiting_.push_back(Weak);
    Subscription Timer;
    if (Limit)
      Timer = Timers.after(*Limit, [Weak] {
        if (const auto Alive = Weak.lock())
          Alive->notify();
      });
    co_await Wake->wait();
  }

private:
  std::vector<std::weak_ptr<Notifier>> Waiting_;
};

} // namespace hickory
