#include "Scheduling/PlacementCost.h"

#include <algorithm>
#include <cmath>

namespace hickory {

double PlacementRule::ratio(const Resources &Amount) const {
  const double Cpus = static_cast<double>(Amount.CpusMilli) /
                      static_cast<double>(Unit.CpusMilli);
  const double Memory =
      static_cast<double>(Amount.MemoryMb) / static_cast<double>(Unit.MemoryMb);
  return Cpus + Memory > 0 ? Memory / (Cpus + Memory) : 0;
}

std::size_t PlacementRule::band(const Resources &Free) const {
  const auto Band = static_cast<std::size_t>(ratio(Free) * Bands);
  return std::min(Band, Bands - 1);
}

double PlacementRule::penalty(std::size_t Band, double RequestRatio,
                              bool MemoryScarce) const {
  const double BandCentre = (static_cast<double>(Band) + 0.5) / Bands;
  const double Difference = BandCentre - RequestRatio;
  const bool StrandsScarce = MemoryScarce == (Difference > 0);
  return (StrandsScarce ? ScarceWeight : PlentifulWeight) *
         std::abs(Difference);
}

double PlacementRule::dominant(const Resources &Free) const {
  // A band lies on one side of the diagonal, so comparing within a band by one
  // of the two amounts gives the same order as comparing by the larger one.
  return band(Free) < Bands / 2 ? static_cast<double>(Free.CpusMilli) /
                                      static_cast<double>(Unit.CpusMilli)
                                : static_cast<double>(Free.MemoryMb) /
                                      static_cast<double>(Unit.MemoryMb);
}

PlacementCost PlacementRule::cost(const Resources &Need, const Resources &Free,
                                  bool HasAccelerators,
                                  bool MemoryScarce) const {
  return {.AcceleratorRank = HasAccelerators ? Free.Accelerators + 1 : 0,
          .Fit =
              penalty(band(Free), ratio(Need), MemoryScarce) + dominant(Free)};
}

} // namespace hickory
