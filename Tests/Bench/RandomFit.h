#pragma once

#include "Base/Random.h"
#include "Scheduling/PlacementPolicy.h"

namespace hickory {

/// Chooses a random worker among those on which the request fits.
class RandomFit final : public PlacementPolicy {
public:
  explicit RandomFit(std::uint64_t Seed) : Random_(Seed) {}

  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override {
    if (handleEnd() == 0)
      return std::nullopt;
    const auto Fits = [&](WorkerHandle Worker) {
      return contains(Worker) && !worker(Worker).SetAside &&
             Request.Need.fitsIn(freeOn(Worker)) && isEligible(Worker, Request);
    };
    // Draws up to 64 random workers and takes the first on which the request
    // fits. If there is none, scans all workers from a random one on.
    for (int Attempt = 0; Attempt < 64; ++Attempt) {
      const auto Worker = static_cast<WorkerHandle>(Random_.below(handleEnd()));
      if (Fits(Worker))
        return Worker;
    }
    const auto Start = static_cast<WorkerHandle>(Random_.below(handleEnd()));
    for (WorkerHandle Offset = 0; Offset < handleEnd(); ++Offset) {
      const WorkerHandle Worker = (Start + Offset) % handleEnd();
      if (Fits(Worker))
        return Worker;
    }
    return std::nullopt;
  }

protected:
  void onAvailable(WorkerHandle, const Resources &) override {}
  void onUnavailable(WorkerHandle) override {}

private:
  mutable Random Random_;
};

} // namespace hickory
