#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hickory {

/// Distribution of one measured value: count, sum, maximum and the 50th, 99th
/// and 99.9th percentile.
class Distribution {
public:
  Distribution();
  void add(double Value) { Accumulator_(Value); }
  [[nodiscard]] std::uint64_t count() const;
  [[nodiscard]] double sum() const;
  [[nodiscard]] double maximum() const;
  /// Index: 0 for the 50th, 1 for the 99th, 2 for the 99.9th percentile.
  [[nodiscard]] double percentile(std::size_t Index) const;

private:
  using AccumulatorSet = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;
  AccumulatorSet Accumulator_;
};

/// Registry of the counters, gauges and distributions of a process, rendered in
/// the text format that common metrics scrapers read.
class Metrics {
public:
  /// Adds Amount to a counter. Labels is the text between the braces, for
  /// example `link="region"`.
  void count(std::string_view Name, double Amount = 1,
             std::string_view Labels = {});
  /// Adds a value to a distribution.
  void observe(std::string_view Name, double Value);
  /// Registers a gauge. ReadValue is called by render() and must stay valid as
  /// long as this object.
  void gauge(std::string Name, std::function<double()> ReadValue,
             const std::string &Labels = {});
  /// Returns 0 if nothing was counted.
  [[nodiscard]] double counterValue(std::string_view Name,
                                    std::string_view Labels = {}) const;
  [[nodiscard]] std::string render() const;

private:
  std::map<std::string, std::map<std::string, double>, std::less<>> Counters_;
  std::map<std::string, Distribution, std::less<>> Distributions_;
  std::map<std::string, std::map<std::string, std::function<double()>>> Gauges_;
};

/// Returns the text, which may come from outside, as the value of a label: at
/// most 64 bytes, with the characters escaped that the text format reserves.
std::string metricLabelValue(const std::string &Text);

} // namespace hickory
