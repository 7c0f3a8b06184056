#pragma once

#include "Base/Random.h"

#include <algorithm>
#include <chrono>

namespace hickory {

struct BackoffOptions {
  std::chrono::milliseconds Initial{50};
  std::chrono::milliseconds Maximum{5000};
};

/// Exponential backoff with full jitter: each delay is uniform between zero
/// and a bound that doubles, so that callers that failed together do not come
/// back together.
class Backoff {
public:
  Backoff(BackoffOptions Options, Random &Source)
      : Options_(Options), Source_(Source), Bound_(Options.Initial) {}

  std::chrono::milliseconds next() {
    const auto Bound = Bound_;
    Bound_ = std::min(Bound_ * 2, Options_.Maximum);
    return std::chrono::milliseconds(
        Source_.below(static_cast<std::uint64_t>(Bound.count()) + 1));
  }

  void reset() { Bound_ = Options_.Initial; }

private:
  BackoffOptions Options_;
  Random &Source_;
  std::chrono::milliseconds Bound_;
};

} // namespace hickory
