#include "Cell/CapacityView.h"

namespace hickory {

void CapacityView::applyLoads(const std::vector<WorkerLoad> &Loads) {
  for (const WorkerLoad &Load : Loads) {
    RemoteWorker &State = Remote_[Load.Id];
    State.Free = Load.Free.minusClamped(State.InFlight);
    State.Usable = Load.Usable;
    State.Suspect = Load.Suspect;
  }
}

void CapacityView::reserveInFlight(const std::string &Worker,
                                   const Resources &Demand) {
  RemoteWorker &State = Remote_[Worker];
  State.Free = State.Free.minusClamped(Demand);
  (void)State.InFlight.add(Demand);
}

void CapacityView::clearInFlight(const std::string &Worker,
                                 const Resources &Demand) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    It->second.InFlight = It->second.InFlight.minusClamped(Demand);
}

void CapacityView::release(const std::string &Worker, const Resources &Demand) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    (void)It->second.Free.add(Demand);
}

void CapacityView::markUnusable(const std::string &Worker) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    It->second.Usable = false;
}

CapacityView::WorkerCapacity
CapacityView::capacityOn(const std::string &Worker) const {
  const auto It = Remote_.find(Worker);
  if (const WorkerAgent *Agent = Pool_.find(Worker)) {
    const WorkerLoad Load = Agent->load();
    const Resources InFlight =
        It == Remote_.end() ? Resources{} : It->second.InFlight;
    return {.Free = Load.Free.minusClamped(InFlight),
            .Usable = Load.Usable,
            .Local = true,
            .Suspect = Load.Suspect};
  }
  if (It == Remote_.end())
    return {};
  return {.Free = It->second.Free,
          .Usable = It->second.Usable,
          .Suspect = It->second.Suspect};
}

} // namespace hickory
