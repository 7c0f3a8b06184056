#pragma once

#include "Base/Random.h"
#include "Scheduling/PlacementPolicy.h"

namespace hickory {

/// Takes a worker at random among those on which the request fits.
class RandomFit final : public PlacementPolicy {
public:
  explicit RandomFit(std::uint64_t Seed) : Numbers_(Seed) {}

  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override {
    if (handleEnd() == 0)
      return std::nullopt;
    const auto Fits = [&](WorkerHandle Worker) {
      return contains(Worker) && !worker(Worker).SetAside &&
             Request.Need.fitsIn(freeOn(Worker)) && isEligible(Worker, Request);
    };
    // Sampling is uniform over those that fit; the scan decides only if the
    // samples all missed.
    for (int Try = 0; Try < 64; ++Try) {
      const auto Worker =
          static_cast<WorkerHandle>(Numbers_.below(handleEnd()));
      if (Fits(Worker))
        return Worker;
    }
    const auto Start = static_cast<WorkerHandle>(Numbers_.below(handleEnd()));
    for (WorkerHandle Step = 0; Step < handleEnd(); ++Step) {
      const WorkerHandle Worker = (Start + Step) % handleEnd();
      if (Fits(Worker))
        return Worker;
    }
    return std::nullopt;
  }

protected:
  void onAvailable(WorkerHandle, const Resources &) override {}
  void onUnavailable(WorkerHandle) override {}

private:
  mutable Random Numbers_;
};

} // namespace hickory
