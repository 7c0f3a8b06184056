#pragma once

#include "Scheduling/PlacementPolicy.h"

namespace hickory {

/// Chooses the first worker, in order of addition, on which the request fits.
class FirstFit final : public PlacementPolicy {
public:
  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override {
    for (WorkerHandle Worker = 0; Worker < handleEnd(); ++Worker)
      if (contains(Worker) && !worker(Worker).SetAside &&
          Request.Need.fitsIn(freeOn(Worker)) && isEligible(Worker, Request))
        return Worker;
    return std::nullopt;
  }

protected:
  void onAvailable(WorkerHandle, const Resources &) override {}
  void onUnavailable(WorkerHandle) override {}
};

} // namespace hickory
