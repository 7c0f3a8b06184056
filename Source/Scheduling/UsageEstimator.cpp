#include "Scheduling/UsageEstimator.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

std::uint64_t scaled(std::uint64_t Amount, double Factor) {
  return static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(Amount) * Factor));
}

} // namespace

void UsageEstimator::RatioEstimator::add(double Value,
                                         const UsageEstimatorOptions &Options) {
  if (!CurrentWindow_)
    CurrentWindow_.emplace(boost::accumulators::quantile_probability =
                               Options.Quantile);
  (*CurrentWindow_)(Value);
  if (++Count_ < Options.Window)
    return;
  PreviousWindow_ = boost::accumulators::p_square_quantile(*CurrentWindow_);
  CurrentWindow_.reset();
  Count_ = 0;
}

double UsageEstimator::RatioEstimator::estimate(
    const UsageEstimatorOptions &Options) const {
  double Value = 1;
  // The larger estimate of both windows: growth takes effect soon, a decrease
  // only after a full window.
  const bool HasEnoughSamples =
      CurrentWindow_ && Count_ >= Options.MinimumSamples;
  if (!HasEnoughSamples && !PreviousWindow_)
    return Value;
  Value = 0;
  if (HasEnoughSamples)
    Value = boost::accumulators::p_square_quantile(*CurrentWindow_);
  if (PreviousWindow_)
    Value = std::max(Value, *PreviousWindow_);
  return std::clamp(Value * (1 + Options.SafetyMargin), Options.MinimumRatio,
                    Options.MaximumRatio);
}

void UsageEstimator::observeUse(const std::string &JobClass,
                                const Resources &Declared,
                                const Resources &Used) {
  ClassRatios &Ratios = Classes_[JobClass];
  if (Declared.CpusMilli > 0)
    Ratios.Cpus.add(static_cast<double>(Used.CpusMilli) /
                        static_cast<double>(Declared.CpusMilli),
                    Options_);
  if (Declared.MemoryMb > 0)
    Ratios.Memory.add(static_cast<double>(Used.MemoryMb) /
                          static_cast<double>(Declared.MemoryMb),
                      Options_);
}

void UsageEstimator::observeRun(const std::string &JobClass,
                                Clock::duration Declared,
                                Clock::duration Actual) {
  if (Declared <= Clock::duration::zero())
    return;
  Classes_[JobClass].Run.add(static_cast<double>(Actual.count()) /
                                 static_cast<double>(Declared.count()),
                             Options_);
}

Resources UsageEstimator::estimateUse(const std::string &JobClass,
                                      const Resources &Declared) const {
  const auto It = Classes_.find(JobClass);
  if (It == Classes_.end())
    return Declared;
  return {.CpusMilli =
              scaled(Declared.CpusMilli, It->second.Cpus.estimate(Options_)),
          .MemoryMb =
              scaled(Declared.MemoryMb, It->second.Memory.estimate(Options_)),
          .Accelerators = Declared.Accelerators};
}

Clock::duration UsageEstimator::estimateRun(const std::string &JobClass,
                                            Clock::duration Declared) const {
  const auto It = Classes_.find(JobClass);
  if (It == Classes_.end() || Declared == Clock::duration::max())
    return Declared;
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Declared) *
      It->second.Run.estimate(Options_));
}

} // namespace hickory
