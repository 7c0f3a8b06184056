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

/// Coroutines that wait for one event. Each waiting coroutine owns its notifier
/// and the list holds weak pointers, so the list can outlive the Asio context.
class WaiterList {
public:
  void wakeAll() {
    for (const std::weak_ptr<Notifier> &Waiter : std::exchange(Waiters_, {}))
      if (const auto Locked = Waiter.lock())
        Locked->notify();
  }

  /// Returns after the next wakeAll() or after the timeout, if there is one.
  asio::awaitable<void> wait(TimerService &Timers,
                             std::optional<Clock::duration> Timeout) {
    auto OwnNotifier =
        std::make_shared<Notifier>(co_await asio::this_coro::executor);
    const std::weak_ptr<Notifier> Waiter = OwnNotifier;
    std::erase_if(Waiters_, [](const auto &Other) { return Other.expired(); });
    Waiters_.push_back(Waiter);
    Subscription Timer;
    if (Timeout)
      Timer = Timers.after(*Timeout, [Waiter] {
        if (const auto Locked = Waiter.lock())
          Locked->notify();
      });
    co_await OwnNotifier->wait();
  }

private:
  std::vector<std::weak_ptr<Notifier>> Waiters_;
};

} // namespace hickory
