#pragma once

#include "Base/Error.h"
#include "Records.pb.h"

#include <cstdint>
#include <string>

namespace hickory {

/// Amount of processors, memory and accelerators. Sums and differences are
/// checked, so that no count can wrap around.
struct Resources {
  std::uint64_t CpusMilli = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;

  bool operator==(const Resources &) const = default;

  [[nodiscard]] bool empty() const { return *this == Resources{}; }

  /// True if every amount is at most that of Free.
  [[nodiscard]] bool fitsIn(const Resources &Free) const {
    return CpusMilli <= Free.CpusMilli && MemoryMb <= Free.MemoryMb &&
           Accelerators <= Free.Accelerators;
  }

  /// Adds Other; on overflow nothing changes.
  Result<void> add(const Resources &Other);
  /// Subtracts Other; fails and changes nothing if Other does not fit.
  Result<void> subtract(const Resources &Other);
  /// Other taken away as far as there is something to take.
  [[nodiscard]] Resources minusClamped(const Resources &Other) const;
  /// Count times this amount; fails on overflow.
  [[nodiscard]] Result<Resources> times(std::uint64_t Count) const;

  /// Largest of the three fractions of Total. A resource that Total lacks
  /// counts as fully used if any of it is asked for.
  [[nodiscard]] double dominantShareOf(const Resources &Total) const;

  [[nodiscard]] std::string toString() const;

  static Resources fromRecord(const records::Resources &Record);
  /// Fails if the accelerators exceed what the record can hold.
  [[nodiscard]] Result<records::Resources> toRecord() const;
};

} // namespace hickory
