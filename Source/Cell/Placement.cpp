#include "Cell/Placement.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace hickory {

namespace {

/// Expected room that is asked about, as a multiple of the need. Workers that
/// are good may lose their room until the answer comes.
constexpr double AskMargin = 1.7;
/// Room on the good workers of a gang, were they empty, as a multiple of the
/// need: the gang waits for the part of it that is free first.
constexpr double PotentialMargin = 3.0;
constexpr std::size_t MinimumAsked = 4;
constexpr std::size_t MaximumAsked = 100; // The adviser takes no more.

std::uint64_t timesFits(std::uint64_t Free, std::uint64_t Demand,
                        std::uint64_t Most) {
  return Demand == 0 ? Most : std::min(Most, Free / Demand);
}

bool nearData(const PlacementNeed &Need, const Candidate &On) {
  return Need.Step->DataRack.empty() || On.Worker->Rack == Need.Step->DataRack;
}

std::vector<std::size_t> sortedForStep(const PlacementNeed &Need,
                                       const std::vector<Candidate> &All) {
  std::vector<std::size_t> Order(All.size());
  std::iota(Order.begin(), Order.end(), 0);
  if (Need.Step->Gang) {
    std::ranges::stable_sort(Order, std::greater<>(), [&](std::size_t I) {
      return std::tuple(nearData(Need, All[I]), slotsOn(Need, All[I]),
                        All[I].Local);
    });
    return Order;
  }
  std::ranges::stable_sort(Order, std::less<>(), [&](std::size_t I) {
    return std::tuple(!nearData(Need, All[I]), !All[I].Local,
                      All[I].Free.CpusMilli);
  });
  return Order;
}

std::vector<std::size_t> fillInOrder(const PlacementNeed &Need,
                                     const std::vector<Candidate> &All,
                                     const std::vector<std::size_t> &Order) {
  std::vector<std::size_t> Chosen;
  for (const std::size_t I : Order) {
    const int Slots = slotsOn(Need, All[I]);
    for (int N = 0; N < Slots && static_cast<int>(Chosen.size()) < Need.Count;
         ++N)
      Chosen.push_back(I);
  }
  return Chosen;
}

/// The gang in one rack, if one has the room.
std::vector<std::size_t> placeInOneRack(const PlacementNeed &Need,
                                        const std::vector<Candidate> &All,
                                        const std::vector<std::size_t> &Order) {
  std::map<std::string, std::vector<std::size_t>> Racks;
  for (const std::size_t I : Order)
    Racks[All[I].Worker->Rack].push_back(I);
  for (const auto &[Rack, Members] : Racks) {
    auto Chosen = fillInOrder(Need, All, Members);
    if (static_cast<int>(Chosen.size()) == Need.Count)
      return Chosen;
  }
  return {};
}

} // namespace

int slotsWhenEmpty(const PlacementNeed &Need, const Candidate &On) {
  Candidate Empty = On;
  Empty.Free = On.Worker->Capacity;
  return slotsOn(Need, Empty);
}

int slotsOn(const PlacementNeed &Need, const Candidate &On) {
  auto Most = static_cast<std::uint64_t>(Need.Count);
  if (Need.Step->MaximumPerWorker > 0)
    Most = std::min<std::uint64_t>(
        Most, static_cast<std::uint64_t>(
                  std::max(0, Need.Step->MaximumPerWorker - On.AlreadyPlaced)));
  const Resources &Demand = Need.Step->Demand;
  Most = timesFits(On.Free.CpusMilli, Demand.CpusMilli, Most);
  Most = timesFits(On.Free.MemoryMb, Demand.MemoryMb, Most);
  Most = timesFits(On.Free.Accelerators, Demand.Accelerators, Most);
  return static_cast<int>(Most);
}

void dropSuspects(std::vector<Candidate> &Candidates) {
  const auto Suspects = static_cast<std::size_t>(
      std::ranges::count_if(Candidates, &Candidate::Suspect));
  if (Suspects <= Candidates.size() / 3)
    std::erase_if(Candidates,
                  [](const Candidate &Each) { return Each.Suspect; });
}

Resources headroomOf(const Resources &Capacity, int Priority,
                     const PlacementOptions &Options) {
  if (Priority == 0)
    return {};
  return {
      .CpusMilli = static_cast<std::uint64_t>(
          Options.UrgentHeadroom * static_cast<double>(Capacity.CpusMilli))};
}

Resources usableFree(const Resources &Free, const Resources &Capacity,
                     int Priority, const PlacementOptions &Options) {
  return Free.minusClamped(headroomOf(Capacity, Priority, Options));
}

std::vector<std::size_t> placeStep(const PlacementNeed &Need,
                                   const std::vector<Candidate> &Candidates) {
  const auto Order = sortedForStep(Need, Candidates);
  if (Need.Step->Gang && Need.Step->SameRack) {
    auto Chosen = placeInOneRack(Need, Candidates, Order);
    if (!Chosen.empty())
      return Chosen;
  }
  auto Chosen = fillInOrder(Need, Candidates, Order);
  if (Need.Step->Gang && static_cast<int>(Chosen.size()) < Need.Count)
    Chosen.clear();
  return Chosen;
}

namespace {

std::vector<std::string> chooseForGang(const PlacementNeed &Need,
                                       const std::vector<Candidate> &Candidates,
                                       const StepAdvice &Known,
                                       double GoodShare,
                                       Clock::time_point HeldUntil) {
  std::vector<std::string> Asked;
  std::vector<std::string> New;
  double Room = 0;
  double Potential = 0; ///< If nothing else ran on the workers.
  double KnownPotential = 0;
  int Whole = 0;
  for (const std::size_t I : sortedForStep(Need, Candidates)) {
    const std::string &Id = Candidates[I].Worker->Id;
    const int Total = slotsWhenEmpty(Need, Candidates[I]);
    if (Total == 0 || Known.isBad(Id))
      continue;
    Whole += Total;
    const int Slots = slotsOn(Need, Candidates[I]);
    const double Share = Known.isGood(Id) ? 1.0 : GoodShare;
    const bool Held = Known.ticketFor(Id, HeldUntil) != nullptr;
    const bool Enough =
        Asked.size() == MaximumAsked ||
        (Asked.size() >= MinimumAsked && Room >= AskMargin * Need.Count);
    const bool Learn =
        !Known.isGood(Id) && Potential < PotentialMargin * Need.Count;
    const bool Ask = !Held && !Enough && (Slots > 0 || Learn);
    if (Known.isGood(Id))
      KnownPotential += Total;
    if (!Ask && !Held)
      continue;
    Room += Share * Slots;
    Potential += Share * Total;
    if (Ask)
      Asked.push_back(Id);
    if (Ask && !Known.isGood(Id))
      New.push_back(Id);
  }
  if (Room >= Need.Count)
    return Asked;
  if (Whole < Need.Count || KnownPotential >= PotentialMargin * Need.Count)
    New.clear();
  return New;
}

} // namespace

std::vector<std::string> chooseWorkersToAsk(
    const PlacementNeed &Need, const std::vector<Candidate> &Candidates,
    const StepAdvice &Known, double GoodShare, Clock::time_point HeldUntil) {
  if (Need.Step->Gang)
    return chooseForGang(Need, Candidates, Known, GoodShare, HeldUntil);
  std::vector<std::string> Asked;
  double Expected = 0;
  for (const std::size_t I : sortedForStep(Need, Candidates)) {
    const std::string &Id = Candidates[I].Worker->Id;
    const int Slots = slotsOn(Need, Candidates[I]);
    // Other steps have taken the room behind a ticket that holds.
    if (Slots == 0 || Known.isBad(Id) ||
        Known.ticketFor(Id, HeldUntil) != nullptr)
      continue;
    if (Asked.size() == MaximumAsked ||
        (Asked.size() >= MinimumAsked && Expected >= AskMargin * Need.Count))
      break;
    Expected += (Known.isGood(Id) ? 1.0 : GoodShare) * Slots;
    Asked.push_back(Id);
  }
  return Asked;
}

} // namespace hickory
