#pragma once

#include "Base/TimerService.h"

#include <algorithm>

namespace hickory {

/// Estimates the present response time of a service, from which timeouts are
/// derived: a slow service is given more time, while a call whose response is
/// lost is retried soon.
class ResponseTimeEstimator {
public:
  void recordResponse(Clock::duration ResponseTime) {
    ExpectedTime_ = std::max(ResponseTime, ExpectedTime_ / 2);
  }

  /// Returns the timeout of the next call after the given number of consecutive
  /// failures.
  [[nodiscard]] std::chrono::milliseconds
  timeout(std::chrono::milliseconds Minimum, std::chrono::milliseconds Maximum,
          int Failures) const {
    const auto Base = std::max(
        Minimum,
        std::chrono::ceil<std::chrono::milliseconds>(2 * ExpectedTime_));
    return std::min(Maximum,
                    Base * (1 << std::min(Failures, MaximumDoublings)));
  }

private:
  static constexpr int MaximumDoublings = 8;
  Clock::duration ExpectedTime_{0};
};

} // namespace hickory
