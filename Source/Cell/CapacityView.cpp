#include "Cell/CapacityView.h"

namespace hickory {

void CapacityView::applyLoads(const std::vector<WorkerLoad> &Loads) {
  for (const WorkerLoad &Load : Loads) {
    Remote &Item = Remote_[Load.Id];
    Item.Free = Load.Free.minusClamped(Item.OnItsWay);
    Item.Usable = Load.Usable;
    Item.Suspect = Load.Suspect;
  }
}

void CapacityView::reserve(const std::string &Worker, const Resources &Demand) {
  Remote &Item = Remote_[Worker];
  Item.Free = Item.Free.minusClamped(Demand);
  (void)Item.OnItsWay.add(Demand);
}

void CapacityView::placed(const std::string &Worker, const Resources &Demand) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    It->second.OnItsWay = It->second.OnItsWay.minusClamped(Demand);
}

void CapacityView::released(const std::string &Worker,
                            const Resources &Demand) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    (void)It->second.Free.add(Demand);
}

void CapacityView::refused(const std::string &Worker) {
  const auto It = Remote_.find(Worker);
  if (It != Remote_.end())
    It->second.Usable = false;
}

CapacityView::WorkerCapacity
CapacityView::capacityOn(const std::string &Worker) const {
  const auto It = Remote_.find(Worker);
  if (const WorkerAgent *Agent = Pool_.find(Worker)) {
    const WorkerLoad Load = Agent->load();
    const Resources OnItsWay =
        It == Remote_.end() ? Resources{} : It->second.OnItsWay;
    return {.Free = Load.Free.minusClamped(OnItsWay),
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
