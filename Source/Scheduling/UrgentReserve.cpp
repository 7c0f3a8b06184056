#include "Scheduling/UrgentReserve.h"

#include <algorithm>
#include <glog/logging.h>

namespace hickory {

void UrgentReserve::recordDemand(const Resources &Demand) {
  const Clock::time_point Now = Timers_.now();
  while (!Slots_.empty() && Slots_.front().Start + Options_.Memory < Now)
    Slots_.pop_front();
  if (Slots_.empty() || Slots_.back().Start + Options_.Slot <= Now)
    Slots_.push_back({.Start = Now, .Demand = {}});
  if (!Slots_.back().Demand.add(Demand))
    LOG(WARNING) << "placement: urgent demand overflows; observation ignored";
}

Resources UrgentReserve::headroom(const Resources &Total) const {
  const Clock::time_point Now = Timers_.now();
  Resources Peak;
  for (const SlotDemand &Slot : Slots_) {
    if (Slot.Start + Options_.Memory < Now)
      continue;
    Peak.CpusMilli = std::max(Peak.CpusMilli, Slot.Demand.CpusMilli);
    Peak.MemoryMb = std::max(Peak.MemoryMb, Slot.Demand.MemoryMb);
    Peak.Accelerators = std::max(Peak.Accelerators, Slot.Demand.Accelerators);
  }
  const auto Kept = [this](std::uint64_t Amount, std::uint64_t Of) {
    return static_cast<std::uint64_t>(
        std::min(static_cast<double>(Amount) * Options_.Margin,
                 static_cast<double>(Of) * Options_.MaximumFraction));
  };
  return {.CpusMilli = Kept(Peak.CpusMilli, Total.CpusMilli),
          .MemoryMb = Kept(Peak.MemoryMb, Total.MemoryMb),
          .Accelerators = Kept(Peak.Accelerators, Total.Accelerators)};
}

bool UrgentReserve::allowsNonUrgent(const Resources &Need,
                                    const Resources &Free,
                                    const Resources &Total) const {
  Resources Wanted = headroom(Total);
  // What the work does not use cannot touch the reserve.
  if (Need.CpusMilli == 0)
    Wanted.CpusMilli = 0;
  if (Need.MemoryMb == 0)
    Wanted.MemoryMb = 0;
  if (Need.Accelerators == 0)
    Wanted.Accelerators = 0;
  return Wanted.add(Need) && Wanted.fitsIn(Free);
}

} // namespace hickory
