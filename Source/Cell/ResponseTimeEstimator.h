#pragma once

#include "Base/TimerService.h"

#include <algorithm>

namespace hickory {

/// How long answers of a service take at present. Tells a service that is slow,
/// which is waited for, from answers that are lost, after which a call is
/// repeated soon.
class ResponseTimeEstimator {
public:
  void answered(Clock::duration Took) {
    Expected_ = std::max(Took, Expected_ / 2);
  }

  /// Time to wait for the next answer after so many tries without one.
  [[nodiscard]] std::chrono::milliseconds
  timeout(std::chrono::milliseconds Least, std::chrono::milliseconds Longest,
          int Failures) const {
    const auto Usual = std::max(
        Least, std::chrono::ceil<std::chrono::milliseconds>(2 * Expected_));
    return std::min(Longest, Usual * (1 << std::min(Failures, MostDoublings)));
  }

private:
  static constexpr int MostDoublings = 8;
  Clock::duration Expected_{0};
};

} // namespace hickory
