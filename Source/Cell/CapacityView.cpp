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
  rebuildRows();
}

void CapacityView::applyLoads(const std::vector<WorkerLoad> &Loads) {
  for (const WorkerLoad &Load : Loads) {
    RemoteWorker &State = Remote_[Load.Id];
    State.Free = Load.Free.minusClamped(State.InFlight);
    State.Usable = Load.Usable;
    State.Suspect = Load.Suspect;
    State.Lasting = Load.Lasting;
    State.TaskCpusMilli = Load.TaskCpusMilli;
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

void CapacityView::rebuildRows() {
  Rows_.clear();
  for (auto &[Id, Listed] : Workers_)
    if (!Listed.Entry.Draining) {
      std::vector<Row> &Rows = Rows_[Listed.Entry.Service];
      Listed.RowIndex = Rows.size();
      Rows.emplace_back(Listed);
    }
}

void CapacityView::markClaimed(const std::string &Worker,
                               const WorkerClaim &Claim) {
  const auto It = Workers_.find(Worker);
  if (It == Workers_.end() || It->second.Entry.Draining)
    return;
  const ListedWorker &Listed = It->second;
  Rows_.at(Listed.Entry.Service)[Listed.RowIndex].Claim_ = Claim;
}

void CapacityView::Row::setHeld(const WorkerLoad &Load) {
  Local_ = true;
  Free_ = Load.Free;
  Usable_ = Load.Usable;
  Suspect_ = Load.Suspect;
  Lasting_ = Load.Lasting;
  TaskCpusMilli_ = Load.TaskCpusMilli;
}

void CapacityView::refreshHeldWorkers() {
  std::vector<bool> IsHeld(static_cast<std::size_t>(Map_.count()));
  for (const HeldShard &Held : Pool_.heldShards())
    IsHeld[static_cast<std::size_t>(Held.Shard)] = true;
  for (auto &[Service, Rows] : Rows_)
    for (Row &Each : Rows) {
      const ListedWorker &Listed = Each.listed();
      Each.Local_ = false;
      Each.Claim_.reset();
      if (!IsHeld[static_cast<std::size_t>(Listed.Shard)])
        continue;
      if (const auto *Agent = Pool_.find(Listed.Shard, Listed.Entry.Id))
        Each.setHeld(Agent->load());
    }
}

Resources CapacityView::totalCapacity() const {
  Resources Total;
  for (const auto &[Service, Rows] : Rows_)
    for (const Row &Each : Rows)
      if (Each.isUsable())
        (void)Total.add(Each.listed().Entry.Capacity);
  return Total;
}

const std::vector<CapacityView::Row> &
CapacityView::workersOf(const std::string &Service) const {
  static const std::vector<Row> None;
  const auto It = Rows_.find(Service);
  return It == Rows_.end() ? None : It->second;
}

} // namespace hickory
