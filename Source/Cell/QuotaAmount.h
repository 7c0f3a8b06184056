#pragma once

#include "Scheduling/Resources.h"
#include "Work/JobSpec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace hickory {

/// Caps by account. Only accounts with a limit are listed, and 0 is no limit.
using QuotaCaps = std::map<std::string, Resources>;

/// Adds two amounts; what does not fit is the largest number.
inline Resources plusSaturated(const Resources &A, const Resources &B) {
  const auto Add = [](std::uint64_t X, std::uint64_t Y) {
    const std::uint64_t Maximum = std::numeric_limits<std::uint64_t>::max();
    return X > Maximum - Y ? Maximum : X + Y;
  };
  return {.CpusMilli = Add(A.CpusMilli, B.CpusMilli),
          .MemoryMb = Add(A.MemoryMb, B.MemoryMb),
          .Accelerators = Add(A.Accelerators, B.Accelerators)};
}

inline Resources timesSaturated(const Resources &Amount, std::uint64_t Count) {
  const auto Times = [Count](std::uint64_t X) {
    const std::uint64_t Maximum = std::numeric_limits<std::uint64_t>::max();
    return Count != 0 && X > Maximum / Count ? Maximum : X * Count;
  };
  return {.CpusMilli = Times(Amount.CpusMilli),
          .MemoryMb = Times(Amount.MemoryMb),
          .Accelerators = Times(Amount.Accelerators)};
}

inline Resources minimumOf(const Resources &A, const Resources &B) {
  return {.CpusMilli = std::min(A.CpusMilli, B.CpusMilli),
          .MemoryMb = std::min(A.MemoryMb, B.MemoryMb),
          .Accelerators = std::min(A.Accelerators, B.Accelerators)};
}

inline Resources maximumOf(const Resources &A, const Resources &B) {
  return {.CpusMilli = std::max(A.CpusMilli, B.CpusMilli),
          .MemoryMb = std::max(A.MemoryMb, B.MemoryMb),
          .Accelerators = std::max(A.Accelerators, B.Accelerators)};
}

/// Returns the cap with the largest number in place of 0, which is no limit.
inline Resources limitOf(const Resources &Cap) {
  const auto Limit = [](std::uint64_t X) {
    return X == 0 ? std::numeric_limits<std::uint64_t>::max() : X;
  };
  return {.CpusMilli = Limit(Cap.CpusMilli),
          .MemoryMb = Limit(Cap.MemoryMb),
          .Accelerators = Limit(Cap.Accelerators)};
}

inline Resources largestResources() {
  constexpr std::uint64_t Maximum = std::numeric_limits<std::uint64_t>::max();
  return {.CpusMilli = Maximum, .MemoryMb = Maximum, .Accelerators = Maximum};
}

/// Returns how many times the demand fits in the room, at most Count.
inline int fitsTimes(const Resources &Demand, const Resources &Room,
                     int Count) {
  const auto Limit = [&Count](std::uint64_t Each, std::uint64_t Free) {
    if (Each > 0)
      Count = static_cast<int>(
          std::min(static_cast<std::uint64_t>(Count), Free / Each));
  };
  Limit(Demand.CpusMilli, Room.CpusMilli);
  Limit(Demand.MemoryMb, Room.MemoryMb);
  Limit(Demand.Accelerators, Room.Accelerators);
  return Count;
}

/// Returns the amount that a step needs to start at all: that of one task, or
/// of all tasks of a gang.
inline Resources startDemand(const StepSpec &Step) {
  return timesSaturated(Step.Demand,
                        Step.Gang ? static_cast<std::uint64_t>(Step.Count) : 1);
}

/// Returns the most that an account with the cap may have running: the cap, the
/// share Overage of it, and one task of the given demand.
inline Resources quotaBound(const Resources &Cap, double Overage,
                            const Resources &Task) {
  const auto Bound = [Overage](std::uint64_t Limit, std::uint64_t Demand) {
    if (Limit == 0)
      return std::numeric_limits<std::uint64_t>::max();
    return Limit +
           static_cast<std::uint64_t>(Overage * static_cast<double>(Limit)) +
           Demand;
  };
  return {.CpusMilli = Bound(Cap.CpusMilli, Task.CpusMilli),
          .MemoryMb = Bound(Cap.MemoryMb, Task.MemoryMb),
          .Accelerators = Bound(Cap.Accelerators, Task.Accelerators)};
}

/// Returns true if the step can start while nothing else of the account runs.
inline bool canEverStart(const StepSpec &Step, const Resources &Cap,
                         double Overage) {
  return startDemand(Step).fitsIn(quotaBound(Cap, Overage, Step.Demand));
}

} // namespace hickory
