#pragma once

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickory {

/// Measured values and the quantiles that are reported of them.
class BenchSamples {
public:
  void add(double Value) { Values_.push_back(Value); }
  void reserve(std::size_t Count) { Values_.reserve(Count); }
  [[nodiscard]] std::size_t count() const { return Values_.size(); }

  /// Smallest value that at least the given part of all values do not exceed.
  [[nodiscard]] double quantile(double Part) const {
    if (Values_.empty())
      return 0;
    std::vector<double> Copy = Values_;
    const auto At = std::min(
        Copy.size() - 1,
        static_cast<std::size_t>(Part * static_cast<double>(Copy.size())));
    std::nth_element(Copy.begin(),
                     Copy.begin() + static_cast<std::ptrdiff_t>(At),
                     Copy.end());
    return Copy[At];
  }
  [[nodiscard]] double mean() const {
    double Sum = 0;
    for (const double Value : Values_)
      Sum += Value;
    return Values_.empty() ? 0 : Sum / static_cast<double>(Values_.size());
  }
  [[nodiscard]] double minimum() const { return quantile(0); }
  [[nodiscard]] double maximum() const { return quantile(1); }

private:
  std::vector<double> Values_;
};

/// Rounds for display; keeps JSON lines short.
inline double rounded(double Value, int Digits = 3) {
  double Factor = 1;
  for (int Digit = 0; Digit < Digits; ++Digit)
    Factor *= 10;
  return static_cast<double>(static_cast<long long>(Value * Factor +
                                                    (Value < 0 ? -0.5 : 0.5))) /
         Factor;
}

inline void report(const nlohmann::json &Line) {
  std::cout << Line.dump() << std::endl;
}

} // namespace hickory
