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
/// Within a band the worker with the smallest dominant free resource is best.
/// Bands whose ratio differs from the request's are penalised, so that one
/// resource is not left over without the other. What counts most is a worker
/// with less of the plentiful resource than the request needs beside the
/// scarce one: there the scarce resource would be left over.
struct PlacementRule {
  static constexpr std::size_t Bands = 16;

  /// Amounts that count as equally large.
  Resources Unit{.CpusMilli = 32000, .MemoryMb = 128 * 1024};
  /// Penalty per difference of ratios, in units, where the scarce resource
  /// would be left over, and where the plentiful one would. Packing of 100
  /// workers, relative to its bound, with round, odd and memory-heavy sizes:
  /// 93.7%, 92.8%, 88.7% with weights 0 and 0; 99.9%, 99.3%, 88.8% with 16 and
  /// 0.25; 98.9%, 98.1%, 94.6% with 8 and 1.5, which suit all three.
  double ScarceWeight = 8;
  double PlentifulWeight = 1.5;

  /// Share of memory in the sum of both, in units: 0 is only processors.
  [[nodiscard]] double ratio(const Resources &Amount) const;
  [[nodiscard]] std::size_t band(const Resources &Free) const;
  [[nodiscard]] double penalty(std::size_t Band, double RequestRatio,
                               bool MemoryScarce) const;
  /// Larger of processors and memory in units.
  [[nodiscard]] double dominant(const Resources &Free) const;
  /// Of a worker on which Need fits. Rank is 0 for a worker without
  /// accelerators, else one more than its free accelerators.
  [[nodiscard]] PlacementCost cost(const Resources &Need, const Resources &Free,
                                   bool HasAccelerators,
                                   bool MemoryScarce) const;
};

} // namespace hickory
