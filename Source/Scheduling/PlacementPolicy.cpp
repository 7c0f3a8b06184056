#include "Scheduling/PlacementPolicy.h"

#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

Result<WorkerHandle> PlacementPolicy::addWorker(PlacementWorker Worker) {
  if (ByName_.contains(Worker.Name))
    return fail(ErrorCode::Conflict,
                fmt::format("worker {} exists already", Worker.Name));
  if (!Worker.Committed.fitsIn(Worker.Capacity))
    return fail(ErrorCode::InvalidArgument,
                fmt::format("worker {} has {} committed, which exceeds "
                            "its capacity of {}",
                            Worker.Name, Worker.Committed.toString(),
                            Worker.Capacity.toString()));
  Resources Capacity = Capacity_;
  if (auto Sum = Capacity.add(Worker.Capacity); !Sum)
    return tl::unexpected(Sum.error());
  Capacity_ = Capacity;
  CHECK(Committed_.add(Worker.Committed));
  WorkerHandle Handle = 0;
  if (FreeHandles_.empty()) {
    Handle = static_cast<WorkerHandle>(Slots_.size());
    Slots_.emplace_back();
  } else {
    Handle = FreeHandles_.back();
    FreeHandles_.pop_back();
  }
  ByName_.emplace(Worker.Name, Handle);
  Slots_[Handle] = std::move(Worker);
  notifyFreeChanged(Handle);
  return Handle;
}

Result<void> PlacementPolicy::removeWorker(WorkerHandle Worker) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  onUnavailable(Worker);
  CHECK(Capacity_.subtract(Slots_[Worker]->Capacity));
  CHECK(Committed_.subtract(Slots_[Worker]->Committed));
  ByName_.erase(Slots_[Worker]->Name);
  Slots_[Worker].reset();
  FreeHandles_.push_back(Worker);
  return {};
}

Result<void> PlacementPolicy::update(WorkerHandle Worker,
                                     const Resources &Capacity,
                                     const Resources &Committed) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  PlacementWorker &Entry = *Slots_[Worker];
  if (!Committed.fitsIn(Capacity))
    return fail(ErrorCode::Conflict,
                fmt::format("worker {} has {} committed, which exceeds the "
                            "new capacity of {}; stop tasks first",
                            Entry.Name, Committed.toString(),
                            Capacity.toString()));
  Resources Total = Capacity_;
  CHECK(Total.subtract(Entry.Capacity));
  if (auto Sum = Total.add(Capacity); !Sum)
    return Sum;
  Capacity_ = Total;
  CHECK(Committed_.subtract(Entry.Committed));
  CHECK(Committed_.add(Committed));
  Entry.Capacity = Capacity;
  Entry.Committed = Committed;
  notifyFreeChanged(Worker);
  return {};
}

Result<void> PlacementPolicy::setCapacity(WorkerHandle Worker,
                                          const Resources &Capacity) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  return update(Worker, Capacity, Slots_[Worker]->Committed);
}

Result<void> PlacementPolicy::setAside(WorkerHandle Worker, bool Aside) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  Slots_[Worker]->SetAside = Aside;
  notifyFreeChanged(Worker);
  return {};
}

Result<void> PlacementPolicy::commit(WorkerHandle Worker,
                                     const Resources &Amount) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  PlacementWorker &Entry = *Slots_[Worker];
  if (!SkipCapacityCheck_ && !Amount.fitsIn(freeOn(Worker)))
    return fail(ErrorCode::Overloaded,
                fmt::format("worker {} has {} free, which is less than {}",
                            Entry.Name, freeOn(Worker).toString(),
                            Amount.toString()));
  if (auto Sum = Entry.Committed.add(Amount); !Sum)
    return Sum;
  CHECK(SkipCapacityCheck_ || Entry.Committed.fitsIn(Entry.Capacity))
      << "committed resources of worker " << Entry.Name
      << " exceed its capacity";
  CHECK(Committed_.add(Amount));
  notifyFreeChanged(Worker);
  return {};
}

Result<void> PlacementPolicy::release(WorkerHandle Worker,
                                      const Resources &Amount) {
  if (auto Exists = checkExists(Worker); !Exists)
    return Exists;
  if (auto Rest = Slots_[Worker]->Committed.subtract(Amount); !Rest)
    return Rest;
  CHECK(Committed_.subtract(Amount));
  notifyFreeChanged(Worker);
  return {};
}

Result<WorkerHandle> PlacementPolicy::place(const PlacementRequest &Request) {
  const std::optional<WorkerHandle> Chosen = choose(Request);
  if (!Chosen)
    return fail(ErrorCode::Overloaded,
                fmt::format("no worker has {} free", Request.Need.toString()));
  if (auto Committed = commit(*Chosen, Request.Need); !Committed)
    return tl::unexpected(Committed.error());
  return *Chosen;
}

Result<std::vector<WorkerHandle>>
PlacementPolicy::placeGang(const PlacementRequest &Request,
                           std::uint32_t Count) {
  std::vector<WorkerHandle> Placed;
  // Fails early if the sum cannot fit.
  const auto Sum = Request.Need.times(Count);
  if (!Sum ||
      (!KeepPartialGangs_ && !Sum->fitsIn(Capacity_.minusClamped(Committed_))))
    return fail(ErrorCode::Overloaded,
                fmt::format("{} tasks of {} exceed the free resources", Count,
                            Request.Need.toString()));
  Placed.reserve(Count);
  while (Placed.size() < Count) {
    auto Next = place(Request);
    if (!Next) {
      if (!KeepPartialGangs_)
        for (const WorkerHandle Worker : Placed)
          CHECK(release(Worker, Request.Need));
      return tl::unexpected(Next.error());
    }
    Placed.push_back(*Next);
  }
  return Placed;
}

std::optional<WorkerHandle>
PlacementPolicy::find(const std::string &Name) const {
  const auto It = ByName_.find(Name);
  if (It == ByName_.end())
    return std::nullopt;
  return It->second;
}

const PlacementWorker &PlacementPolicy::worker(WorkerHandle Worker) const {
  CHECK(contains(Worker)) << "unknown worker handle " << Worker;
  return *Slots_[Worker];
}

Resources PlacementPolicy::freeOn(WorkerHandle Worker) const {
  const PlacementWorker &Entry = worker(Worker);
  return Entry.Capacity.minusClamped(Entry.Committed);
}

bool PlacementPolicy::memoryScarce() const {
  return static_cast<double>(Committed_.MemoryMb) *
             static_cast<double>(Capacity_.CpusMilli) >
         static_cast<double>(Committed_.CpusMilli) *
             static_cast<double>(Capacity_.MemoryMb);
}

bool PlacementPolicy::isEligible(WorkerHandle Worker,
                                 const PlacementRequest &Request) const {
  return Request.ExcludedWorkers.empty() ||
         !Request.ExcludedWorkers.contains(Worker);
}

bool PlacementPolicy::isAvoided(WorkerHandle Worker,
                                const PlacementRequest &Request) const {
  const PlacementWorker &Entry = worker(Worker);
  return Request.AvoidedRacks.contains(Entry.Rack) ||
         Request.AvoidedDomains.contains(Entry.FailureDomain);
}

Result<void> PlacementPolicy::checkExists(WorkerHandle Worker) const {
  if (!contains(Worker))
    return fail(ErrorCode::NotFound,
                fmt::format("worker handle {} does not exist", Worker));
  return {};
}

void PlacementPolicy::notifyFreeChanged(WorkerHandle Worker) {
  if (Slots_[Worker]->SetAside)
    onUnavailable(Worker);
  else
    onAvailable(Worker, freeOn(Worker));
}

} // namespace hickory
