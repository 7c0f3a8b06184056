#pragma once

#include "Base/Random.h"
#include "Scheduling/PlacementPolicy.h"

#include <string>
#include <vector>

namespace hickory {

/// One arrival of the packing and placement benchmarks.
struct MixItem {
  Resources Need;
  std::uint32_t Tasks = 1;
  int Service = -1; ///< Copies of one service share a number.
};

/// Draws work in the members' proportions: sorting runs, calibrations,
/// moisture checks, services, gangs and, where the cell has them, accelerator
/// jobs. About 3 cores and 8 GB per arrival without accelerators.
class WorkMix {
public:
  enum class Sizes {
    Round,       ///< Whole multiples of half a core and 512 MB.
    Odd,         ///< Each amount differs from the round one by up to a quarter.
    MemoryHeavy, ///< More memory per core than the cell has on average.
  };

  WorkMix(std::uint64_t Seed, bool Accelerators, Sizes Kind = Sizes::Round)
      : Numbers_(Seed), Accelerators_(Accelerators), Kind_(Kind) {}

  static std::string name(Sizes Kind) {
    return Kind == Sizes::Round ? "round"
           : Kind == Sizes::Odd ? "odd"
                                : "memory-heavy";
  }

  MixItem draw() {
    const std::uint64_t Pick = Numbers_.below(100);
    if (Accelerators_ && Numbers_.below(100) < 10) {
      const std::uint64_t Count = std::uint64_t(1) << Numbers_.below(3);
      return {.Need = need(2000 * Count, 6 * Count, 6 * Count, Count)};
    }
    if (Pick < 45) {
      const std::uint64_t Cores = 2 + 2 * Numbers_.below(3);
      const std::uint64_t HalfGb = 5 + Numbers_.below(3);
      return {.Need = need(Cores * 1000, Cores * HalfGb / 2,
                           Cores * (3 + HalfGb % 2))};
    }
    if (Pick < 60) {
      const std::uint64_t Gb = 2 + Numbers_.below(3);
      return {.Need = need(2000, Gb, Gb + 1)};
    }
    if (Pick < 80) {
      Resources Need = need(500, 1, 1);
      if (Kind_ == Sizes::Round && Numbers_.below(2) == 0)
        Need.MemoryMb /= 2;
      return {.Need = Need};
    }
    if (Pick < 95) {
      if (Copies_ == 0) {
        ++Service_;
        Copies_ = 4;
        const std::uint64_t Gb = 2 + Numbers_.below(3);
        ServiceNeed_ = need(1000 * (1 + Numbers_.below(2)), Gb, Gb + 1);
      }
      --Copies_;
      return {.Need = ServiceNeed_, .Service = Service_};
    }
    return {.Need = need(2000, 4, 5),
            .Tasks = static_cast<std::uint32_t>(4 + Numbers_.below(5))};
  }

private:
  Resources need(std::uint64_t CpusMilli, std::uint64_t Gb,
                 std::uint64_t HeavyGb, std::uint64_t Accelerators = 0) {
    if (Kind_ == Sizes::MemoryHeavy)
      return {CpusMilli, HeavyGb * 1024, Accelerators};
    if (Kind_ == Sizes::Round)
      return {CpusMilli, Gb * 1024, Accelerators};
    const auto Vary = [this](std::uint64_t Amount) {
      return Amount * (750 + Numbers_.below(501)) / 1000;
    };
    return {Vary(CpusMilli), Vary(Gb * 1024), Accelerators};
  }

  Random Numbers_;
  bool Accelerators_;
  Sizes Kind_;
  int Service_ = 0;
  int Copies_ = 0;
  Resources ServiceNeed_;
};

/// Half of the workers have 32 cores and 128 GB, half 16 cores and 32 GB, in
/// racks of eight. Accelerators go, eight each, to large workers first.
inline std::vector<PlacementWorker>
makeWorkers(std::size_t Count, std::size_t Domains, std::size_t Accelerators) {
  std::vector<PlacementWorker> Workers;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const std::size_t Rack = Number / 8;
    const bool Large = Rack % 2 == 0;
    PlacementWorker Worker{.Name = "w" + std::to_string(Number),
                           .Rack = "r" + std::to_string(Rack),
                           .FailureDomain =
                               "d" + std::to_string(Rack % Domains),
                           .Capacity = {Large ? 32000UL : 16000UL,
                                        (Large ? 128UL : 32UL) * 1024, 0},
                           .Committed = {}};
    if (Large && Accelerators > 0) {
      Worker.Capacity.Accelerators = std::min<std::size_t>(8, Accelerators);
      Accelerators -= Worker.Capacity.Accelerators;
    }
    Workers.push_back(std::move(Worker));
  }
  return Workers;
}

} // namespace hickory
