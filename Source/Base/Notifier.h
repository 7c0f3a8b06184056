#pragma once

#include "Base/TimerService.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace hickory {

/// Wakes coroutines that wait for something to happen. A notification that
/// comes while nobody waits is remembered for the next wait.
class Notifier {
public:
  explicit Notifier(const asio::any_io_executor &Executor)
      : Timer_(Executor, asio::steady_timer::time_point::max()) {}

  void notify() {
    Pending_ = true;
    Timer_.cancel();
  }

  /// Returns at once if a notification is pending, else waits for the next.
  asio::awaitable<void> wait() {
    while (!Pending_) {
      co_await Timer_.async_wait(
          asio::experimental::as_tuple(asio::use_awaitable));
      // The coroutine itself was cancelled if there is no notification.
      if (!Pending_)
        co_return;
    }
    Pending_ = false;
  }

  /// Like wait(), but for at most Limit.
  asio::awaitable<void> waitFor(TimerService &Timers, Clock::duration Limit) {
    const Subscription Timer = Timers.after(Limit, [this] { notify(); });
    co_await wait();
  }

private:
  asio::steady_timer Timer_;
  bool Pending_ = false;
};

} // namespace hickory
