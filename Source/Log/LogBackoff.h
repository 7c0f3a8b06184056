#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"

#include <algorithm>
#include <optional>

namespace hickory {

/// Delays before repeated calls of the log service: exponential with full
/// jitter, so that clients that failed together do not come back together.
class LogBackoff {
public:
  LogBackoff(Random &Numbers, std::chrono::milliseconds Initial,
             std::chrono::milliseconds Maximum)
      : Numbers_(Numbers), Initial_(Initial), Maximum_(Maximum),
        Ceiling_(Initial) {}

  /// Delay before the next attempt. RetryAfter, if given, is observed up to
  /// the maximum, and the jitter is added to it.
  Clock::duration
  next(std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt) {
    const auto Jitter =
        std::chrono::duration_cast<Clock::duration>(Ceiling_ * Numbers_.unit());
    Ceiling_ = std::min(Ceiling_ * 2, Maximum_);
    return Jitter +
           std::min<Clock::duration>(
               RetryAfter.value_or(std::chrono::milliseconds(0)), Maximum_);
  }

  void reset() { Ceiling_ = Initial_; }

private:
  Random &Numbers_;
  std::chrono::milliseconds Initial_;
  std::chrono::milliseconds Maximum_;
  std::chrono::milliseconds Ceiling_;
};

} // namespace hickory
