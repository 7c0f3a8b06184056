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

void UsageEstimator::Ratio::add(double Value,
                                const UsageEstimatorOptions &Options) {
  if (!Current_)
    Current_.emplace(boost::accumulators::quantile_probability =
                         Options.Quantile);
  (*Current_)(Value);
  if (++Count_ < Options.Window)
    return;
  Last_ = boost::accumulators::p_square_quantile(*Current_);
  Current_.reset();
  Count_ = 0;
}

double
UsageEstimator::Ratio::estimate(const UsageEstimatorOptions &Options) const {
  double Value = 1;
  // The larger of both windows: a class that grows is noticed soon, one that
  // shrinks only after a full window.
  const bool Enough = Current_ && Count_ >= Options.MinimumSamples;
  if (!Enough && !Last_)
    return Value;
  Value = 0;
  if (Enough)
    Value = boost::accumulators::p_square_quantile(*Current_);
  if (Last_)
    Value = std::max(Value, *Last_);
  return std::clamp(Value * (1 + Options.SafetyMargin), Options.Smallest,
                    Options.Largest);
}

void UsageEstimator::observeUse(const std::string &JobClass,
                                const Resources &Declared,
                                const Resources &Used) {
  ClassRatios &Of = Classes_[JobClass];
  if (Declared.CpusMilli > 0)
    Of.Cpus.add(static_cast<double>(Used.CpusMilli) /
                    static_cast<double>(Declared.CpusMilli),
                Options_);
  if (Declared.MemoryMb > 0)
    Of.Memory.add(static_cast<double>(Used.MemoryMb) /
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
