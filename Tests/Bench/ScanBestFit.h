#pragma once

#include "Scheduling/PlacementCost.h"
#include "Scheduling/PlacementPolicy.h"

namespace hickory {

/// Best fit that scans every worker, with the same cost rule as PlacementIndex.
class ScanBestFit final : public PlacementPolicy {
public:
  explicit ScanBestFit(PlacementRule Rule = {}) : Rule_(Rule) {}

  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override {
    std::optional<WorkerHandle> Best;
    PlacementCost BestCost;
    bool BestAvoided = false;
    for (WorkerHandle Worker = 0; Worker < handleEnd(); ++Worker) {
      if (!contains(Worker) || worker(Worker).SetAside)
        continue;
      const Resources Free = freeOn(Worker);
      if (!Request.Need.fitsIn(Free) || !isEligible(Worker, Request))
        continue;
      const bool Avoided = isAvoided(Worker, Request);
      const PlacementCost Cost =
          Rule_.cost(Request.Need, Free,
                     worker(Worker).Capacity.Accelerators > 0, memoryScarce());
      if (!Best ||
          std::pair(Avoided, Cost) < std::pair(BestAvoided, BestCost)) {
        Best = Worker;
        BestCost = Cost;
        BestAvoided = Avoided;
      }
    }
    return Best;
  }

protected:
  void onAvailable(WorkerHandle, const Resources &) override {}
  void onUnavailable(WorkerHandle) override {}

private:
  PlacementRule Rule_;
};

} // namespace hickory
