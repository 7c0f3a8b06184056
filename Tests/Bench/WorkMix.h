#pragma once

#include "Base/Random.h"
#include "Scheduling/PlacementPolicy.h"

#include <string>
#include <vector>

namespace hickory {

/// A task, gang or service copy of the packing and placement benchmarks.
struct WorkArrival {
  Resources Need;
  std::uint32_t Tasks = 1;
  int Service = -1; ///< Number of the service that it is a copy of; -1: none.
};

/// Generates random work in the proportions of the members: sorting runs,
/// calibrations, moisture checks, services, gangs and, if the cell has
/// accelerators, accelerator jobs. Without those an arrival needs about 3 cores
/// and 8 GB.
class WorkMix {
public:
  enum class Sizes {
    Round,       ///< Whole multiples of half a core and 512 MB.
    Odd,         ///< Round amounts changed by up to a quarter.
    MemoryHeavy, ///< More memory per core than the cell has on average.
  };

  WorkMix(std::uint64_t Seed, bool Accelerators, Sizes SizeKind = Sizes::Round)
      : Random_(Seed), Accelerators_(Accelerators), Sizes_(SizeKind) {}

  static std::string name(Sizes SizeKind) {
    return SizeKind == Sizes::Round ? "round"
           : SizeKind == Sizes::Odd ? "odd"
                                    : "memory-heavy";
  }

  WorkArrival draw() {
    const std::uint64_t Percent = Random_.below(100);
    if (Accelerators_ && Random_.below(100) < 10) {
      const std::uint64_t Count = std::uint64_t(1) << Random_.below(3);
      return {.Need = makeNeed(2000 * Count, 6 * Count, 6 * Count, Count)};
    }
    if (Percent < 45) {
      const std::uint64_t Cores = 2 + 2 * Random_.below(3);
      const std::uint64_t HalfGb = 5 + Random_.below(3);
      return {.Need = makeNeed(Cores * 1000, Cores * HalfGb / 2,
                               Cores * (3 + HalfGb % 2))};
    }
    if (Percent < 60) {
      const std::uint64_t Gb = 2 + Random_.below(3);
      return {.Need = makeNeed(2000, Gb, Gb + 1)};
    }
    if (Percent < 80) {
      Resources Need = makeNeed(500, 1, 1);
      if (Sizes_ == Sizes::Round && Random_.below(2) == 0)
        Need.MemoryMb /= 2;
      return {.Need = Need};
    }
    if (Percent < 95) {
      if (RemainingCopies_ == 0) {
        ++Service_;
        RemainingCopies_ = 4;
        const std::uint64_t Gb = 2 + Random_.below(3);
        ServiceNeed_ = makeNeed(1000 * (1 + Random_.below(2)), Gb, Gb + 1);
      }
      --RemainingCopies_;
      return {.Need = ServiceNeed_, .Service = Service_};
    }
    return {.Need = makeNeed(2000, 4, 5),
            .Tasks = static_cast<std::uint32_t>(4 + Random_.below(5))};
  }

private:
  Resources makeNeed(std::uint64_t CpusMilli, std::uint64_t Gb,
                     std::uint64_t HeavyGb, std::uint64_t Accelerators = 0) {
    if (Sizes_ == Sizes::MemoryHeavy)
      return {CpusMilli, HeavyGb * 1024, Accelerators};
    if (Sizes_ == Sizes::Round)
      return {CpusMilli, Gb * 1024, Accelerators};
    const auto VarySize = [this](std::uint64_t Amount) {
      return Amount * (750 + Random_.below(501)) / 1000;
    };
    return {VarySize(CpusMilli), VarySize(Gb * 1024), Accelerators};
  }

  Random Random_;
  bool Accelerators_;
  Sizes Sizes_;
  int Service_ = 0;
  int RemainingCopies_ = 0;
  Resources ServiceNeed_;
};

/// Returns workers in racks of eight. Half of the workers have 32 cores and 128
/// GB, the other half 16 cores and 32 GB. The first large workers get the
/// accelerators, up to eight each.
inline std::vector<PlacementWorker>
makeWorkers(std::size_t Count, std::size_t Domains, std::size_t Accelerators) {
  std::vector<PlacementWorker> Workers;
  for (std::size_t WorkerIndex = 0; WorkerIndex < Count; ++WorkerIndex) {
    const std::size_t Rack = WorkerIndex / 8;
    const bool Large = Rack % 2 == 0;
    PlacementWorker Worker{.Name = "w" + std::to_string(WorkerIndex),
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
