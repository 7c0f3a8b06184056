#pragma once

#include "Base/Error.h"
#include "Records.pb.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace hickory {

/// Amount of processors, memory and accelerators. Arithmetic is checked, so
/// that no count wraps around.
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

  /// Adds Other. Fails and changes nothing on overflow.
  Result<void> add(const Resources &Other);
  /// Subtracts Other. Fails and changes nothing if Other exceeds this amount.
  Result<void> subtract(const Resources &Other);
  /// Returns the difference, with negative amounts replaced by 0.
  [[nodiscard]] Resources minusClamped(const Resources &Other) const {
    return {.CpusMilli = CpusMilli - std::min(CpusMilli, Other.CpusMilli),
            .MemoryMb = MemoryMb - std::min(MemoryMb, Other.MemoryMb),
            .Accelerators =
                Accelerators - std::min(Accelerators, Other.Accelerators)};
  }
  /// Returns Count times this amount. Fails on overflow.
  [[nodiscard]] Result<Resources> times(std::uint64_t Count) const;

  /// Largest of the three fractions of Total, for dominant-resource fairness.
  /// The fraction of a resource that Total lacks is 1 if this amount is not 0.
  [[nodiscard]] double dominantShareOf(const Resources &Total) const;

  [[nodiscard]] std::string toString() const;

  static Resources fromRecord(const records::Resources &Record);
  /// Fails if the number of accelerators exceeds 32 bits.
  [[nodiscard]] Result<records::Resources> toRecord() const;
};

} // namespace hickory
