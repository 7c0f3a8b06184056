#pragma once

#include "Base/Random.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace hickory {

struct BackoffOptions {
  std::chrono::milliseconds Initial{50};
  std::chrono::milliseconds Maximum{5000};
};

/// Exponential backoff with full jitter: each delay is uniform between zero
/// and a bound that doubles, so that callers that failed together do not retry
/// at the same time.
class Backoff {
public:
  Backoff(BackoffOptions Options, Random &Generator)
      : Options_(Options), Generator_(Generator), Bound_(Options.Initial) {}

  /// Delay before the next attempt. RetryAfter, if given, is observed up to the
  /// maximum, and the jitter is added to it.
  std::chrono::milliseconds
  next(std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt) {
    const auto Bound = Bound_;
    Bound_ = std::min(Bound_ * 2, Options_.Maximum);
    const std::chrono::milliseconds Jitter(
        Generator_.below(static_cast<std::uint64_t>(Bound.count()) + 1));
    return Jitter + std::min(RetryAfter.value_or(std::chrono::milliseconds(0)),
                             Options_.Maximum);
  }

  void reset() { Bound_ = Options_.Initial; }

private:
  BackoffOptions Options_;
  Random &Generator_;
  std::chrono::milliseconds Bound_;
};

} // namespace hickory
