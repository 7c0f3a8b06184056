#pragma once

#include "Base/TimerService.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace hickory {

/// Wakes waiting coroutines. A notification without a waiting coroutine is kept
/// pending for the next wait.
class Notifier {
public:
  explicit Notifier(const asio::any_io_executor &Executor)
      : Timer_(Executor, asio::steady_timer::time_point::max()) {}

  void notify() {
    Pending_ = true;
    Timer_.cancel();
  }

  /// Consumes the pending notification, waiting for one if necessary. Also
  /// returns if the coroutine is cancelled.
  asio::awaitable<void> wait() {
    while (!Pending_) {
      co_await Timer_.async_wait(
          asio::experimental::as_tuple(asio::use_awaitable));
      // Woken without a notification: the coroutine was cancelled.
      if (!Pending_)
        co_return;
    }
    Pending_ = false;
  }

  /// Like wait(), but returns after Limit at the latest.
  asio::awaitable<void> waitFor(TimerService &Timers, Clock::duration Limit) {
    const Subscription Timer = Timers.after(Limit, [this] { notify(); });
    co_await wait();
  }

private:
  asio::steady_timer Timer_;
  bool Pending_ = false;
};

} // namespace hickory
