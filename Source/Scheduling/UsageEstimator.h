#pragma once

#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <optional>
#include <string>

namespace hickory {

struct UsageEstimatorOptions {
  double Quantile = 0.95;
  double SafetyMargin = 0.15;
  /// The declared size is used until there are this many observations.
  std::size_t MinimumSamples = 20;
  /// Observations per window; the estimate covers the last one to two windows.
  std::size_t Window = 500;
  /// Bounds of the estimate relative to the declared amount.
  double MinimumRatio = 0.05;
  double MaximumRatio = 8;
};

/// Estimates resource usage and run time per job class from the ratio of actual
/// to declared values. The estimates order work and pack opportunistic work;
/// the amount committed on a worker is always the declared one.
class UsageEstimator {
public:
  explicit UsageEstimator(UsageEstimatorOptions Options = {})
      : Options_(Options) {}

  void observeUse(const std::string &JobClass, const Resources &Declared,
                  const Resources &Used);
  void observeRun(const std::string &JobClass, Clock::duration Declared,
                  Clock::duration Actual);

  /// Accelerators are never estimated below what was declared.
  [[nodiscard]] Resources estimateUse(const std::string &JobClass,
                                      const Resources &Declared) const;
  [[nodiscard]] Clock::duration estimateRun(const std::string &JobClass,
                                            Clock::duration Declared) const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;
  /// Quantile over the last one to two windows.
  class RatioEstimator {
  public:
    void add(double Value, const UsageEstimatorOptions &Options);
    [[nodiscard]] double estimate(const UsageEstimatorOptions &Options) const;

  private:
    std::optional<Quantile> CurrentWindow_;
    std::size_t Count_ = 0;
    std::optional<double> PreviousWindow_; ///< Quantile of the previous window.
  };
  struct ClassRatios {
    RatioEstimator Cpus;
    RatioEstimator Memory;
    RatioEstimator Run;
  };

  UsageEstimatorOptions Options_;
  std::map<std::string, ClassRatios> Classes_;
};

} // namespace hickory
