#pragma once

#include "Scheduling/Resources.h"

#include <compare>
#include <cstddef>

namespace hickory {

/// Cost of putting a request on a worker; smaller is better. Accelerators come
/// first, so that work without accelerators stays off workers that have them.
struct PlacementCost {
  std::uint64_t AcceleratorRank = 0;
  double Fit = 0;
  auto operator<=>(const PlacementCost &) const = default;
};

/// The rule by which best fit compares workers. A worker's free resources fall
/// into one of a fixed number of bands by the ratio of memory to processors.
/// Within a band the worker with the smallest dominant free resource is best;
/// bands whose ratio differs from the request's are penalised, so that
/// processors are not left over without memory, and the reverse.
struct PlacementRule {
  static constexpr std::size_t Bands = 16;

  /// Amounts that count as equally large.
  Resources Unit{.CpusMilli = 32000, .MemoryMb = 128 * 1024};
  /// Penalty for the largest possible difference of ratios, in units.
  double RatioWeight = 1.0;

  /// Share of memory in the sum of both, in units: 0 is only processors.
  [[nodiscard]] double ratio(const Resources &Amount) const;
  [[nodiscard]] std::size_t band(const Resources &Free) const;
  [[nodiscard]] double penalty(std::size_t Band, double RequestRatio) const;
  /// Larger of processors and memory in units.
  [[nodiscard]] double dominant(const Resources &Free) const;
  /// Of a worker on which Need fits. Rank is 0 for a worker without
  /// accelerators, else one more than its free accelerators.
  [[nodiscard]] PlacementCost cost(const Resources &Need, const Resources &Free,
                                   bool HasAccelerators) const;
};

} // namespace hickory
