#include "Scheduling/PlacementIndex.h"

#include <algorithm>

namespace hickory {

namespace {

/// Candidates that a request with places to avoid may pass over before it
/// accepts any place. Bounds the time of one decision.
constexpr int MaximumPassedOver = 256;

bool byProcessors(std::size_t Band) { return Band < PlacementRule::Bands / 2; }

/// Spreads consecutive handles over the range of tree priorities.
std::uint32_t scramble(WorkerHandle Worker) {
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
    int PassedOver = 0;
    const Accept Preferred = [&](WorkerHandle Worker) {
      if (PassedOver >= MaximumPassedOver)
        return false;
      if (eligible(Worker, Request) && !avoided(Worker, Request))
        return true;
      ++PassedOver;
      return false;
    };
    if (auto Found = search(Request, &Preferred))
      return Found;
  }
  const Accept Allowed = [&](WorkerHandle Worker) {
    return eligible(Worker, Request);
  };
  return search(Request, &Allowed);
}

std::optional<WorkerHandle>
PlacementIndex::search(const PlacementRequest &Request,
                       const Accept *Check) const {
  const double Ratio = Rule_.ratio(Request.Need);
  const double Smallest =
      std::max(static_cast<double>(Request.Need.CpusMilli) /
                   static_cast<double>(Rule_.Unit.CpusMilli),
               static_cast<double>(Request.Need.MemoryMb) /
                   static_cast<double>(Rule_.Unit.MemoryMb));
  const bool MemoryScarce = memoryScarce();
  // Nearest band first, so that the others can often be ruled out.
  const auto Nearest =
      std::min(static_cast<std::size_t>(Ratio * PlacementRule::Bands),
               PlacementRule::Bands - 1);
  // Rank 0 means no accelerators on the worker; rank n + 1 means n free.
  const std::uint64_t FirstRank =
      Request.Need.Accelerators > 0 ? Request.Need.Accelerators + 1 : 0;
  for (auto It = Ranks_.lower_bound(FirstRank); It != Ranks_.end(); ++It) {
    std::optional<WorkerHandle> Best;
    double BestFit = 0;
    const auto Consider = [&](std::size_t Band) {
      const WorkerHandle Root = It->second[Band];
      if (Root == None)
        return;
      const double Penalty = Rule_.penalty(Band, Ratio, MemoryScarce);
      if (Best && Penalty + Smallest >= BestFit)
        return;
      const bool Processors = byProcessors(Band);
      const WorkerHandle Found = firstFit(
          Root, Processors ? Request.Need.CpusMilli : Request.Need.MemoryMb,
          Processors ? Request.Need.MemoryMb : Request.Need.CpusMilli, Check);
      if (Found == None)
        return;
      const double Fit =
          Penalty + static_cast<double>(Nodes_[Found].Primary) /
                        static_cast<double>(Processors ? Rule_.Unit.CpusMilli
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
                                      const Accept *Check) const {
  if (Root == None || Nodes_[Root].MaxSecondary < Secondary)
    return None;
  const Node &Here = Nodes_[Root];
  if (Here.Primary >= Primary) {
    const WorkerHandle Found = firstFit(Here.Left, Primary, Secondary, Check);
    if (Found != None)
      return Found;
    if (Here.Secondary >= Secondary && (Check == nullptr || (*Check)(Root)))
      return Root;
  }
  return firstFit(Here.Right, Primary, Secondary, Check);
}

Resources PlacementIndex::largestFree() const {
  Resources Largest;
  for (const auto &[Rank, Roots] : Ranks_)
    for (std::size_t Band = 0; Band < Roots.size(); ++Band) {
      WorkerHandle At = Roots[Band];
      if (At == None)
        continue;
      const std::uint64_t Secondary = Nodes_[At].MaxSecondary;
      while (Nodes_[At].Right != None)
        At = Nodes_[At].Right;
      const std::uint64_t Primary = Nodes_[At].Primary;
      const bool Processors = byProcessors(Band);
      Largest.CpusMilli =
          std::max(Largest.CpusMilli, Processors ? Primary : Secondary);
      Largest.MemoryMb =
          std::max(Largest.MemoryMb, Processors ? Secondary : Primary);
      if (Rank > 0)
        Largest.Accelerators = std::max(Largest.Accelerators, Rank - 1);
    }
  return Largest;
}

void PlacementIndex::onAvailable(WorkerHandle Worker, const Resources &Free) {
  onUnavailable(Worker);
  if (Nodes_.size() <= Worker)
    Nodes_.resize(Worker + 1);
  Node &Here = Nodes_[Worker];
  Here.Band = Rule_.band(Free);
  const bool Processors = byProcessors(Here.Band);
  Here.Primary = Processors ? Free.CpusMilli : Free.MemoryMb;
  Here.Secondary = Processors ? Free.MemoryMb : Free.CpusMilli;
  Here.Rank =
      worker(Worker).Capacity.Accelerators > 0 ? Free.Accelerators + 1 : 0;
  Here.Priority = scramble(Worker);
  Here.Present = true;
  auto [It, New] = Ranks_.try_emplace(Here.Rank);
  if (New)
    It->second.fill(None);
  insert(It->second[Here.Band], Worker);
}

void PlacementIndex::onUnavailable(WorkerHandle Worker) {
  if (Worker >= Nodes_.size() || !Nodes_[Worker].Present)
    return;
  Node &Here = Nodes_[Worker];
  const auto It = Ranks_.find(Here.Rank);
  erase(It->second[Here.Band], Worker);
  Here.Present = false;
  if (std::all_of(It->second.begin(), It->second.end(),
                  [](WorkerHandle Root) { return Root == None; }))
    Ranks_.erase(It);
}

bool PlacementIndex::before(WorkerHandle A, WorkerHandle B) const {
  return Nodes_[A].Primary != Nodes_[B].Primary
             ? Nodes_[A].Primary < Nodes_[B].Primary
             : A < B;
}

void PlacementIndex::refresh(WorkerHandle Root) {
  Node &Here = Nodes_[Root];
  Here.MaxSecondary = Here.Secondary;
  if (Here.Left != None)
    Here.MaxSecondary =
        std::max(Here.MaxSecondary, Nodes_[Here.Left].MaxSecondary);
  if (Here.Right != None)
    Here.MaxSecondary =
        std::max(Here.MaxSecondary, Nodes_[Here.Right].MaxSecondary);
}

void PlacementIndex::split(WorkerHandle Root, WorkerHandle At,
                           WorkerHandle &Smaller, WorkerHandle &Larger) {
  if (Root == None) {
    Smaller = Larger = None;
    return;
  }
  if (before(Root, At)) {
    WorkerHandle Rest = None;
    split(Nodes_[Root].Right, At, Rest, Larger);
    Nodes_[Root].Right = Rest;
    Smaller = Root;
  } else {
    WorkerHandle Rest = None;
    split(Nodes_[Root].Left, At, Smaller, Rest);
    Nodes_[Root].Left = Rest;
    Larger = Root;
  }
  refresh(Root);
}

WorkerHandle PlacementIndex::merge(WorkerHandle Smaller, WorkerHandle Larger) {
  if (Smaller == None)
    return Larger;
  if (Larger == None)
    return Smaller;
  if (Nodes_[Smaller].Priority > Nodes_[Larger].Priority) {
    Nodes_[Smaller].Right = merge(Nodes_[Smaller].Right, Larger);
    refresh(Smaller);
    return Smaller;
  }
  Nodes_[Larger].Left = merge(Smaller, Nodes_[Larger].Left);
  refresh(Larger);
  return Larger;
}

void PlacementIndex::insert(WorkerHandle &Root, WorkerHandle Worker) {
  if (Root == None || Nodes_[Worker].Priority > Nodes_[Root].Priority) {
    split(Root, Worker, Nodes_[Worker].Left, Nodes_[Worker].Right);
    Root = Worker;
  } else {
    insert(before(Worker, Root) ? Nodes_[Root].Left : Nodes_[Root].Right,
           Worker);
  }
  refresh(Root);
}

void PlacementIndex::erase(WorkerHandle &Root, WorkerHandle Worker) {
  if (Root == Worker) {
    Root = merge(Nodes_[Worker].Left, Nodes_[Worker].Right);
    Nodes_[Worker].Left = Nodes_[Worker].Right = None;
    return;
  }
  erase(before(Worker, Root) ? Nodes_[Root].Left : Nodes_[Root].Right, Worker);
  refresh(Root);
}

} // namespace hickory
