#pragma once

#include "Records.pb.h"

#include <algorithm>
#include <cstdint>

namespace hickory {

/// Amounts of the three resources that are committed. Signed, so that an
/// overcommitment found on a worker shows as a negative remainder instead of
/// wrapping around.
struct Capacity {
  std::int64_t CpusMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  static Capacity from(const records::Resources &Message) {
    return {static_cast<std::int64_t>(Message.cpus_milli()),
            static_cast<std::int64_t>(Message.memory_mb()),
            static_cast<std::int64_t>(Message.accelerators())};
  }

  /// Negative amounts become 0.
  [[nodiscard]] records::Resources toMessage() const {
    records::Resources Message;
    Message.set_cpus_milli(
        static_cast<std::uint64_t>(std::max<std::int64_t>(CpusMilli, 0)));
    Message.set_memory_mb(
        static_cast<std::uint64_t>(std::max<std::int64_t>(MemoryMb, 0)));
    Message.set_accelerators(
        static_cast<std::uint32_t>(std::max<std::int64_t>(Accelerators, 0)));
    return Message;
  }

  Capacity &operator+=(const Capacity &Other) {
    CpusMilli += Other.CpusMilli;
    MemoryMb += Other.MemoryMb;
    Accelerators += Other.Accelerators;
    return *this;
  }
  Capacity &operator-=(const Capacity &Other) {
    CpusMilli -= Other.CpusMilli;
    MemoryMb -= Other.MemoryMb;
    Accelerators -= Other.Accelerators;
    return *this;
  }
  friend Capacity operator+(Capacity Left, const Capacity &Right) {
    return Left += Right;
  }
  friend Capacity operator-(Capacity Left, const Capacity &Right) {
    return Left -= Right;
  }
  friend bool operator==(const Capacity &, const Capacity &) = default;

  /// True if this amount fits into Free in every resource.
  [[nodiscard]] bool fitsInto(const Capacity &Free) const {
    return CpusMilli <= Free.CpusMilli && MemoryMb <= Free.MemoryMb &&
           Accelerators <= Free.Accelerators;
  }
};

} // namespace hickory
