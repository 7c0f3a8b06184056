#include "Scheduling/PlacementIndex.h"

#include <algorithm>

namespace hickory {

namespace {

/// Maximum candidates that a request rejects for its avoided racks and failure
/// domains before it accepts them.
constexpr int MaximumAvoidedCandidates = 256;

bool isProcessorBand(std::size_t Band) {
  return Band < PlacementRule::Bands / 2;
}

/// Hashes a handle to a pseudo-random treap priority.
std::uint32_t priorityOf(WorkerHandle Worker) {
  std::uint64_t Value = Worker + 0x9E3779B97F4A7C15ULL;
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EBULL;
  return static_cast<std::uint32_t>(Value >> 32);
}

} // namespace

std::optional<WorkerHandle>
PlacementIndex::choose(const PlacementRequest &Request) const {
  const bool Avoids =
      !Request.AvoidedRacks.empty() || !Request.AvoidedDomains.empty();
  if (!Avoids && Request.ExcludedWorkers.empty())
    return search(Request, nullptr);
  if (Avoids) {
    int AvoidedCandidates = 0;
    const WorkerFilter Preferred = [&](WorkerHandle Worker) {
      if (AvoidedCandidates >= MaximumAvoidedCandidates)
        return false;
      if (isEligible(Worker, Request) && !isAvoided(Worker, Request))
        return true;
      ++AvoidedCandidates;
      return false;
    };
    if (auto Found = search(Request, &Preferred))
      return Found;
  }
  const WorkerFilter Allowed = [&](WorkerHandle Worker) {
    return isEligible(Worker, Request);
  };
  return search(Request, &Allowed);
}

std::optional<WorkerHandle>
PlacementIndex::search(const PlacementRequest &Request,
                       const WorkerFilter *Filter) const {
  const double Ratio = Rule_.ratio(Request.Need);
  const double RequestDominant =
      std::max(static_cast<double>(Request.Need.CpusMilli) /
                   static_cast<double>(Rule_.Unit.CpusMilli),
               static_cast<double>(Request.Need.MemoryMb) /
                   static_cast<double>(Rule_.Unit.MemoryMb));
  const bool MemoryScarce = memoryScarce();
  // Starts with the nearest band, so that other bands can often be skipped.
  const auto Nearest =
      std::min(static_cast<std::size_t>(Ratio * PlacementRule::Bands),
               PlacementRule::Bands - 1);
  // Rank 0 means no accelerators on the worker; rank n + 1 means n free.
  const std::uint64_t FirstRank =
      Request.Need.Accelerators > 0 ? Request.Need.Accelerators + 1 : 0;
  for (auto It = BucketsByRank_.lower_bound(FirstRank);
       It != BucketsByRank_.end(); ++It) {
    std::optional<WorkerHandle> Best;
    double BestFit = 0;
    const auto Consider = [&](std::size_t Band) {
      const WorkerHandle Root = It->second[Band];
      if (Root == None)
        return;
      const double Penalty = Rule_.penalty(Band, Ratio, MemoryScarce);
      if (Best && Penalty + RequestDominant >= BestFit)
        return;
      const bool ByProcessors = isProcessorBand(Band);
      const WorkerHandle Found = firstFit(
          Root, ByProcessors ? Request.Need.CpusMilli : Request.Need.MemoryMb,
          ByProcessors ? Request.Need.MemoryMb : Request.Need.CpusMilli,
          Filter);
      if (Found == None)
        return;
      const double Fit =
          Penalty + static_cast<double>(Nodes_[Found].Primary) /
                        static_cast<double>(ByProcessors ? Rule_.Unit.CpusMilli
                                                         : Rule_.Unit.MemoryMb);
      if (!Best || Fit < BestFit) {
        Best = Found;
        BestFit = Fit;
      }
    };
    Consider(Nearest);
    for (std::size_t Step = 1; Step < PlacementRule::Bands; ++Step) {
      if (Nearest >= Step)
        Consider(Nearest - Step);
      if (Nearest + Step < PlacementRule::Bands)
        Consider(Nearest + Step);
    }
    if (Best)
      return Best;
  }
  return std::nullopt;
}

WorkerHandle PlacementIndex::firstFit(WorkerHandle Root, std::uint64_t Primary,
                                      std::uint64_t Secondary,
                                      const WorkerFilter *Filter) const {
  if (Root == None || Nodes_[Root].MaxSecondary < Secondary)
    return None;
  const Node &Current = Nodes_[Root];
  if (Current.Primary >= Primary) {
    const WorkerHandle Found =
        firstFit(Current.Left, Primary, Secondary, Filter);
    if (Found != None)
      return Found;
    if (Current.Secondary >= Secondary &&
        (Filter == nullptr || (*Filter)(Root)))
      return Root;
  }
  return firstFit(Current.Right, Primary, Secondary, Filter);
}

Resources PlacementIndex::largestFree() const {
  Resources Largest;
  for (const auto &[Rank, Roots] : BucketsByRank_)
    for (std::size_t Band = 0; Band < Roots.size(); ++Band) {
      WorkerHandle At = Roots[Band];
      if (At == None)
        continue;
      const std::uint64_t Secondary = Nodes_[At].MaxSecondary;
      while (Nodes_[At].Right != None)
        At = Nodes_[At].Right;
      const std::uint64_t Primary = Nodes_[At].Primary;
      const bool ByProcessors = isProcessorBand(Band);
      Largest.CpusMilli =
          std::max(Largest.CpusMilli, ByProcessors ? Primary : Secondary);
      Largest.MemoryMb =
          std::max(Largest.MemoryMb, ByProcessors ? Secondary : Primary);
      if (Rank > 0)
        Largest.Accelerators = std::max(Largest.Accelerators, Rank - 1);
    }
  return Largest;
}

void PlacementIndex::onAvailable(WorkerHandle Worker, const Resources &Free) {
  onUnavailable(Worker);
  if (Nodes_.size() <= Worker)
    Nodes_.resize(Worker + 1);
  Node &Current = Nodes_[Worker];
  Current.Band = Rule_.band(Free);
  const bool ByProcessors = isProcessorBand(Current.Band);
  Current.Primary = ByProcessors ? Free.CpusMilli : Free.MemoryMb;
  Current.Secondary = ByProcessors ? Free.MemoryMb : Free.CpusMilli;
  Current.Rank =
      worker(Worker).Capacity.Accelerators > 0 ? Free.Accelerators + 1 : 0;
  Current.Priority = priorityOf(Worker);
  Current.IsIndexed = true;
  auto [It, IsNew] = BucketsByRank_.try_emplace(Current.Rank);
  if (IsNew)
    It->second.fill(None);
  insert(It->second[Current.Band], Worker);
}

void PlacementIndex::onUnavailable(WorkerHandle Worker) {
  if (Worker >= Nodes_.size() || !Nodes_[Worker].IsIndexed)
    return;
  Node &Current = Nodes_[Worker];
  const auto It = BucketsByRank_.find(Current.Rank);
  erase(It->second[Current.Band], Worker);
  Current.IsIndexed = false;
  if (std::all_of(It->second.begin(), It->second.end(),
                  [](WorkerHandle Root) { return Root == None; }))
    BucketsByRank_.erase(It);
}

bool PlacementIndex::isBefore(WorkerHandle A, WorkerHandle B) const {
  return Nodes_[A].Primary != Nodes_[B].Primary
             ? Nodes_[A].Primary < Nodes_[B].Primary
             : A < B;
}

void PlacementIndex::updateMaxSecondary(WorkerHandle Root) {
  Node &Current = Nodes_[Root];
  Current.MaxSecondary = Current.Secondary;
  if (Current.Left != None)
    Current.MaxSecondary =
        std::max(Current.MaxSecondary, Nodes_[Current.Left].MaxSecondary);
  if (Current.Right != None)
    Current.MaxSecondary =
        std::max(Current.MaxSecondary, Nodes_[Current.Right].MaxSecondary);
}

void PlacementIndex::split(WorkerHandle Root, WorkerHandle At,
                           WorkerHandle &Smaller, WorkerHandle &Larger) {
  if (Root == None) {
    Smaller = Larger = None;
    return;
  }
  if (isBefore(Root, At)) {
    WorkerHandle Subtree = None;
    split(Nodes_[Root].Right, At, Subtree, Larger);
    Nodes_[Root].Right = Subtree;
    Smaller = Root;
  } else {
    WorkerHandle Subtree = None;
    split(Nodes_[Root].Left, At, Smaller, Subtree);
    Nodes_[Root].Left = Subtree;
    Larger = Root;
  }
  updateMaxSecondary(Root);
}

WorkerHandle PlacementIndex::merge(WorkerHandle Smaller, WorkerHandle Larger) {
  if (Smaller == None)
    return Larger;
  if (Larger == None)
    return Smaller;
  if (Nodes_[Smaller].Priority > Nodes_[Larger].Priority) {
    Nodes_[Smaller].Right = merge(Nodes_[Smaller].Right, Larger);
    updateMaxSecondary(Smaller);
    return Smaller;
  }
  Nodes_[Larger].Left = merge(Smaller, Nodes_[Larger].Left);
  updateMaxSecondary(Larger);
  return Larger;
}

void PlacementIndex::insert(WorkerHandle &Root, WorkerHandle Worker) {
  if (Root == None || Nodes_[Worker].Priority > Nodes_[Root].Priority) {
    split(Root, Worker, Nodes_[Worker].Left, Nodes_[Worker].Right);
    Root = Worker;
  } else {
    insert(isBefore(Worker, Root) ? Nodes_[Root].Left : Nodes_[Root].Right,
           Worker);
  }
  updateMaxSecondary(Root);
}

void PlacementIndex::erase(WorkerHandle &Root, WorkerHandle Worker) {
  if (Root == Worker) {
    Root = merge(Nodes_[Worker].Left, Nodes_[Worker].Right);
    Nodes_[Worker].Left = Nodes_[Worker].Right = None;
    return;
  }
  erase(isBefore(Worker, Root) ? Nodes_[Root].Left : Nodes_[Root].Right,
        Worker);
  updateMaxSecondary(Root);
}

} // namespace hickory
