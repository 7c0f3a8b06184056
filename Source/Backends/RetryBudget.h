#pragma once

#include <algorithm>

namespace hickory {

struct RetryBudgetOptions {
  double Share = 0.1;  ///< Retries earned by each request.
  double Maximum = 10; ///< Retries that can be saved up.
};

/// Token bucket that bounds the retries of a back end pool to a share of its
/// requests, so that retries do not multiply the load of an overloaded pool.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options_(Options), Tokens_(Options.Maximum) {}

  /// A first try was sent.
  void earn() {
    Tokens_ = std::min(Tokens_ + Options_.Share, Options_.Maximum);
  }

  /// True if a retry may be sent now.
  bool spend() {
    // Ten earnings of 0.1 add up to slightly less than 1 in binary.
    constexpr double Rounding = 1e-9;
    if (Tokens_ + Rounding < 1)
      return false;
    Tokens_ = std::max(Tokens_ - 1, 0.0);
    return true;
  }

private:
  RetryBudgetOptions Options_;
  double Tokens_;
};

} // namespace hickory
