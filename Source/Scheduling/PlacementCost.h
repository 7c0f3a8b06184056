#pragma once

#include "Scheduling/Resources.h"

#include <cstddef>
#include <tuple>

namespace hickory {

/// Cost of placing a request on a worker; smaller is better. AcceleratorRank is
/// compared first, so that work without accelerators avoids workers that have
/// them.
struct PlacementCost {
  std::uint64_t AcceleratorRank = 0;
  double Fit = 0;
  bool operator==(const PlacementCost &) const = default;
  bool operator<(const PlacementCost &Other) const {
    return std::tie(AcceleratorRank, Fit) <
           std::tie(Other.AcceleratorRank, Other.Fit);
  }
};

/// Cost function of best-fit placement. A worker belongs to one of a fixed
/// number of bands, by the ratio of its free memory to its free processors.
/// Within a band the worker with the smallest dominant free resource is best.
/// Bands are penalised by the difference between their ratio and that of the
/// request, so that a worker does not end up with much of one resource free and
/// none of the other. The penalty is higher on the side on which the scarce
/// resource would be stranded.
struct PlacementRule {
  static constexpr std::size_t Bands = 16;

  /// Amounts of processors and memory that count as equally large.
  Resources Unit{.CpusMilli = 32000, .MemoryMb = 131072};
  /// Factors by which the difference between the ratios of the band and the
  /// request is multiplied to obtain the penalty, in units of Unit.
  /// ScarceWeight applies if the scarce resource would be stranded,
  /// PlentifulWeight if the plentiful one would be. With weights 8 and 1.5, 100
  /// workers are packed to 98.9%, 98.1% and 94.6% of the upper bound for round,
  /// odd and memory-heavy sizes; with 0 and 0 to 93.7%, 92.8% and 88.7%, and
  /// with 16 and 0.25 to 99.9%, 99.3% and 88.8%.
  double ScarceWeight = 8;
  double PlentifulWeight = 1.5;

  /// Fraction of memory in the sum of processors and memory, both in units of
  /// Unit: 0 means processors only.
  [[nodiscard]] double ratio(const Resources &Amount) const;
  [[nodiscard]] std::size_t band(const Resources &Free) const;
  [[nodiscard]] double penalty(std::size_t Band, double RequestRatio,
                               bool MemoryScarce) const;
  /// The larger of processors and memory, in units of Unit.
  [[nodiscard]] double dominant(const Resources &Free) const;
  /// Cost of placing Need on a worker on which it fits. The rank is 0 for a
  /// worker without accelerators, else one more than its free accelerators.
  [[nodiscard]] PlacementCost cost(const Resources &Need, const Resources &Free,
                                   bool HasAccelerators,
                                   bool MemoryScarce) const;
};

} // namespace hickory
