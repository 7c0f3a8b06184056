#pragma once

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickory {

/// Collects measured values and computes their mean and quantiles.
class BenchSamples {
public:
  void add(double Value) { Values_.push_back(Value); }
  void reserve(std::size_t Count) { Values_.reserve(Count); }
  [[nodiscard]] std::size_t count() const { return Values_.size(); }

  /// Returns the value at index Fraction * count(), rounded down, of the sorted
  /// values; the maximum if that index is past the end, 0 if there are no
  /// values.
  [[nodiscard]] double quantile(double Fraction) const {
    if (Values_.empty())
      return 0;
    std::vector<double> Copy = Values_;
    const auto Index = std::min(
        Copy.size() - 1,
        static_cast<std::size_t>(Fraction * static_cast<double>(Copy.size())));
    std::nth_element(Copy.begin(),
                     Copy.begin() + static_cast<std::ptrdiff_t>(Index),
                     Copy.end());
    return Copy[Index];
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

/// Rounds to the given number of decimal digits, to keep JSON lines short.
inline double rounded(double Value, int Digits = 3) {
  double Factor = 1;
  for (int Digit = 0; Digit < Digits; ++Digit)
    Factor *= 10;
  return static_cast<double>(static_cast<long long>(Value * Factor +
                                                    (Value < 0 ? -0.5 : 0.5))) /
         Factor;
}

/// Prints one result as a line of JSON.
inline void printResult(const nlohmann::json &BenchmarkResult) {
  std::cout << BenchmarkResult.dump() << std::endl;
}

} // namespace hickory
