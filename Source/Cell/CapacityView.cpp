#include "Cell/CapacityView.h"

namespace hickory {

void CapacityView::updateWorkers(
    const std::map<std::string, WorkerEntry> &Workers) {
  std::erase_if(Workers_, [&](const auto &IdAndWorker) {
    return !Workers.contains(IdAndWorker.first);
  });
  std::erase_if(Remote_, [&](const auto &IdAndWorker) {
    return !Workers.contains(IdAndWorker.first) &&
           IdAndWorker.second.InFlight.empty();
  });
  for (const auto &[Id, Entry] : Workers) {
    const auto [It, IsNew] = Workers_.try_emplace(Id);
    It->second.Entry = Entry;
    if (IsNew) {
      It->second.Shard = Map_.shardOf(Id);
      It->second.Hash = stableHash(Id);
      It->second.Reported = &Remote_[Id];
    }
  }
}

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
CapacityView::capacityOn(const ListedWorker &Worker) const {
  const RemoteWorker &Reported = *Worker.Reported;
  const WorkerAgent *Agent = Pool_.find(Worker.Shard, Worker.Entry.Id);
  if (Agent == nullptr)
    return {.Free = Reported.Free,
            .Usable = Reported.Usable,
            .Suspect = Reported.Suspect};
  const WorkerLoad Load = Agent->load();
  return {.Free = Load.Free.minusClamped(Reported.InFlight),
          .Usable = Load.Usable,
          .Local = true,
          .Suspect = Load.Suspect};
}

} // namespace hickory
