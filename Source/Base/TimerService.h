#pragma once

#include "Base/Subscription.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <functional>

namespace hickory {

/// Monotonic clock. It does not advance while the host is suspended.
using Clock = std::chrono::steady_clock;

/// The only source of time for all components. Tests replace it with a fake
/// whose time they control.
class TimerService {
public:
  virtual ~TimerService() = default;

  /// Monotonic time.
  [[nodiscard]] virtual Clock::time_point now() const = 0;

  /// Wall-clock time; for display and records only, never for decisions.
  [[nodiscard]] virtual std::chrono::system_clock::time_point
  wallNow() const = 0;

  /// Calls Callback once after Delay, unless the subscription is destroyed
  /// first.
  [[nodiscard]] virtual Subscription after(Clock::duration Delay,
                                           std::function<void()> Callback) = 0;

  /// Calls Callback every Period until the subscription is destroyed.
  [[nodiscard]] Subscription every(Clock::duration Period,
                                   std::function<void()> Callback);

  /// Suspends the calling coroutine for Delay.
  asio::awaitable<void> sleepFor(Clock::duration Delay);
};

} // namespace hickory
