#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"

namespace hickory {

/// Waits for the signal, at most until Until.
inline asio::awaitable<void> waitUntil(Notifier &Awaited, TimerService &Timers,
                                       Clock::time_point Until) {
  const auto Delay = Until - Timers.now();
  if (Delay <= Clock::duration::zero())
    co_return;
  Subscription Timer = Timers.after(Delay, [&Awaited] { Awaited.notify(); });
  co_await Awaited.wait();
}

} // namespace hickory
