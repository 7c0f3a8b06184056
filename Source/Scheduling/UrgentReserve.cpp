#include "Scheduling/UrgentReserve.h"

#include <algorithm>
#include <glog/logging.h>

namespace hickory {

void UrgentReserve::recordDemand(const Resources &Demand) {
  const Clock::time_point Now = Timers_.now();
  while (!Intervals_.empty() &&
         Intervals_.front().Start + Options_.PeakRetention < Now)
    Intervals_.pop_front();
  if (Intervals_.empty() || Intervals_.back().Start + Options_.Interval <= Now)
    Intervals_.push_back({.Start = Now, .Demand = {}});
  if (!Intervals_.back().Demand.add(Demand))
    LOG(WARNING) << "placement: urgent demand overflows; observation ignored";
}

Resources UrgentReserve::headroom(const Resources &Total) const {
  const Clock::time_point Now = Timers_.now();
  Resources Peak;
  for (const IntervalDemand &Interval : Intervals_) {
    if (Interval.Start + Options_.PeakRetention < Now)
      continue;
    Peak.CpusMilli = std::max(Peak.CpusMilli, Interval.Demand.CpusMilli);
    Peak.MemoryMb = std::max(Peak.MemoryMb, Interval.Demand.MemoryMb);
    Peak.Accelerators =
        std::max(Peak.Accelerators, Interval.Demand.Accelerators);
  }
  const auto Reserved = [this](std::uint64_t Amount, std::uint64_t Capacity) {
    return static_cast<std::uint64_t>(
        std::min(static_cast<double>(Amount) * Options_.Margin,
                 static_cast<double>(Capacity) * Options_.MaximumFraction));
  };
  return {.CpusMilli = Reserved(Peak.CpusMilli, Total.CpusMilli),
          .MemoryMb = Reserved(Peak.MemoryMb, Total.MemoryMb),
          .Accelerators = Reserved(Peak.Accelerators, Total.Accelerators)};
}

bool UrgentReserve::allowsNonUrgent(const Resources &Need,
                                    const Resources &Free,
                                    const Resources &Total) const {
  Resources Required = headroom(Total);
  // Resources that the work does not use stay available to the reserve.
  if (Need.CpusMilli == 0)
    Required.CpusMilli = 0;
  if (Need.MemoryMb == 0)
    Required.MemoryMb = 0;
  if (Need.Accelerators == 0)
    Required.Accelerators = 0;
  return Required.add(Need) && Required.fitsIn(Free);
}

} // namespace hickory
