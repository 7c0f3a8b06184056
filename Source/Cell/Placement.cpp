#include "Cell/Placement.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace hickory {

namespace {

/// Expected number of slots on the workers to ask about, as a multiple of the
/// need. Good workers may lose free capacity before the reply arrives.
constexpr double AskedSlotsFactor = 1.7;
/// Slots on the good workers of a gang if they were empty, as a multiple of the
/// need. The gang starts on whichever of them have free capacity first.
constexpr double PotentialSlotsFactor = 10.0;
/// Part of these slots with which no further calls are begun: a call takes
/// almost the same time for few and for many workers.
constexpr double SufficientSlotsShare = 0.8;
constexpr std::size_t MinimumAsked = 4;
constexpr std::size_t MaximumAsked = 100; // The adviser's limit per call.

std::uint64_t countThatFits(std::uint64_t Free, std::uint64_t Demand,
                            std::uint64_t Maximum) {
  return Demand == 0 ? Maximum : std::min(Maximum, Free / Demand);
}

bool isNearData(const PlacementNeed &Need, const Candidate &Target) {
  return Need.Step->DataRack.empty() ||
         Target.Worker->Rack == Need.Step->DataRack;
}

/// Key of a candidate in the order of preference; the least comes first.
using PreferenceKey =
    std::tuple<bool, std::int64_t, std::int64_t, std::uint64_t>;

PreferenceKey preferenceKey(const PlacementNeed &Need, const Candidate &Each) {
  if (Need.Step->Gang)
    return {!isNearData(Need, Each), -slotsOn(Need, Each), Each.Local ? 0 : 1,
            Each.TieBreak};
  return {!isNearData(Need, Each), Each.Local ? 0 : 1,
          static_cast<std::int64_t>(Each.Free.CpusMilli), 0};
}

using KeyedCandidates = std::vector<std::pair<PreferenceKey, std::size_t>>;

/// Returns the indices of the first Limit candidates in the order of
/// preference. Equal candidates keep their order.
std::vector<std::size_t> firstInOrder(KeyedCandidates Keys, std::size_t Limit) {
  Limit = std::min(Limit, Keys.size());
  std::ranges::partial_sort(Keys,
                            Keys.begin() + static_cast<std::ptrdiff_t>(Limit));
  std::vector<std::size_t> Order;
  Order.reserve(Limit);
  for (std::size_t I = 0; I < Limit; ++I)
    Order.push_back(Keys[I].second);
  return Order;
}

/// Returns the indices of all candidates in the order of preference.
std::vector<std::size_t>
candidateOrder(const PlacementNeed &Need,
               const std::vector<Candidate> &Candidates) {
  KeyedCandidates Keys;
  Keys.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Keys.emplace_back(preferenceKey(Need, Candidates[I]), I);
  const std::size_t Count = Keys.size();
  return firstInOrder(std::move(Keys), Count);
}

/// Returns the most preferred of the candidates with capacity for a task: all
/// of them if the tasks are to be placed in one rack, else as many as there are
/// tasks.
std::vector<std::size_t>
placementOrder(const PlacementNeed &Need,
               const std::vector<Candidate> &Candidates) {
  KeyedCandidates Keys;
  Keys.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    if (slotsOn(Need, Candidates[I]) > 0)
      Keys.emplace_back(preferenceKey(Need, Candidates[I]), I);
  const bool OneRack = Need.Step->Gang && Need.Step->SameRack;
  const std::size_t Limit =
      OneRack ? Keys.size() : static_cast<std::size_t>(Need.Count);
  return firstInOrder(std::move(Keys), Limit);
}

/// Returns true if the candidates have capacity for all tasks.
bool haveCapacityFor(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates) {
  int Slots = 0;
  for (const Candidate &Each : Candidates) {
    Slots += slotsOn(Need, Each);
    if (Slots >= Need.Count)
      return true;
  }
  return false;
}

std::vector<std::size_t> placeInOrder(const PlacementNeed &Need,
                                      const std::vector<Candidate> &Candidates,
                                      const std::vector<std::size_t> &Order) {
  std::vector<std::size_t> Chosen;
  for (const std::size_t I : Order) {
    const int Slots = slotsOn(Need, Candidates[I]);
    for (int N = 0; N < Slots && static_cast<int>(Chosen.size()) < Need.Count;
         ++N)
      Chosen.push_back(I);
  }
  return Chosen;
}

/// Places the gang in one rack. Returns nothing if it fits in none.
std::vector<std::size_t>
placeInOneRack(const PlacementNeed &Need,
               const std::vector<Candidate> &Candidates,
               const std::vector<std::size_t> &Order) {
  std::map<std::string, std::vector<std::size_t>> Racks;
  for (const std::size_t I : Order)
    Racks[Candidates[I].Worker->Rack].push_back(I);
  for (const auto &[Rack, Members] : Racks) {
    auto Chosen = placeInOrder(Need, Candidates, Members);
    if (static_cast<int>(Chosen.size()) == Need.Count)
      return Chosen;
  }
  return {};
}

} // namespace

int slotsWhenEmpty(const PlacementNeed &Need, const Candidate &Target) {
  Candidate Empty = Target;
  Empty.Free = Target.Worker->Capacity.minusClamped(Target.Headroom)
                   .minusClamped(Target.Lasting);
  return slotsOn(Need, Empty);
}

int slotsOn(const PlacementNeed &Need, const Candidate &Target) {
  auto Maximum = static_cast<std::uint64_t>(Need.Count);
  if (Need.Step->MaximumPerWorker > 0)
    Maximum = std::min<std::uint64_t>(
        Maximum, static_cast<std::uint64_t>(std::max(
                     0, Need.Step->MaximumPerWorker - Target.AlreadyPlaced)));
  const Resources &Demand = Need.Step->Demand;
  Maximum = countThatFits(Target.Free.CpusMilli, Demand.CpusMilli, Maximum);
  Maximum = countThatFits(Target.Free.MemoryMb, Demand.MemoryMb, Maximum);
  Maximum =
      countThatFits(Target.Free.Accelerators, Demand.Accelerators, Maximum);
  return static_cast<int>(Maximum);
}

bool fitsWhenEmpty(const PlacementNeed &Need,
                   const std::vector<Candidate> &Candidates) {
  int Slots = 0;
  for (const Candidate &Each : Candidates) {
    Slots += slotsWhenEmpty(Need, Each);
    if (Slots >= Need.Count)
      return true;
  }
  return false;
}

void dropSuspects(std::vector<Candidate> &Candidates) {
  const auto Suspects = static_cast<std::size_t>(
      std::ranges::count_if(Candidates, &Candidate::Suspect));
  if (Suspects <= Candidates.size() / 3)
    std::erase_if(Candidates,
                  [](const Candidate &Each) { return Each.Suspect; });
}

Resources headroomOf(const Resources &Capacity, const Resources &Demand,
                     int Priority, const PlacementOptions &Options) {
  if (Priority == 0)
    return {};
  const auto Headroom = static_cast<std::uint64_t>(
      Options.UrgentHeadroom * static_cast<double>(Capacity.CpusMilli));
  return {.CpusMilli =
              std::min(Headroom, Capacity.minusClamped(Demand).CpusMilli)};
}

Resources freeBesideWaitingGangs(const Resources &Demand, const Resources &Free,
                                 const Resources &Capacity,
                                 std::uint64_t TaskCpusMilli,
                                 const PlacementOptions &Options) {
  const auto ShareOfWorker = [&Capacity](double Share) {
    return static_cast<std::uint64_t>(Share *
                                      static_cast<double>(Capacity.CpusMilli));
  };
  const auto Difference = [](std::uint64_t From, std::uint64_t Amount) {
    return From - std::min(From, Amount);
  };
  std::uint64_t Floor = ShareOfWorker(Options.TaskFloor);
  if (TaskCpusMilli == 0)
    Floor = std::max(Floor, Demand.CpusMilli);
  const std::uint64_t UpToFloor = Difference(Floor, TaskCpusMilli);
  const std::uint64_t BesideGangs =
      Difference(Free.CpusMilli, ShareOfWorker(Options.WaitingGangShare));
  Resources Usable = Free;
  Usable.CpusMilli = std::min(Free.CpusMilli, std::max(UpToFloor, BesideGangs));
  return Usable;
}

std::vector<std::size_t> placeStep(const PlacementNeed &Need,
                                   const std::vector<Candidate> &Candidates) {
  if (Need.Step->Gang && !haveCapacityFor(Need, Candidates))
    return {};
  const auto Order = placementOrder(Need, Candidates);
  if (Need.Step->Gang && Need.Step->SameRack) {
    auto Chosen = placeInOneRack(Need, Candidates, Order);
    if (!Chosen.empty())
      return Chosen;
  }
  auto Chosen = placeInOrder(Need, Candidates, Order);
  if (Need.Step->Gang && static_cast<int>(Chosen.size()) < Need.Count)
    Chosen.clear();
  return Chosen;
}

std::vector<std::string>
chooseWorkersToLearn(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates,
                     const StepAdvice &Advice, double GoodShare) {
  std::vector<Candidate> Unknown;
  double SlotsIfEmpty = 0; ///< Expected on good workers.
  int TotalSlots = 0;
  for (const Candidate &Each : Candidates) {
    const int Slots = slotsWhenEmpty(Need, Each);
    const WorkerAdvice *Known = Advice.find(Each.Worker->Id);
    if (Slots == 0 || (Known != nullptr && Known->isBad()))
      continue;
    TotalSlots += Slots;
    const bool Good = Known != nullptr && Known->Good;
    if (!Good && (Known == nullptr || !Known->Pending)) {
      Unknown.push_back(Each);
      continue;
    }
    SlotsIfEmpty += (Good ? 1.0 : GoodShare) * Slots;
  }
  std::vector<std::string> Chosen;
  const double Potential = PotentialSlotsFactor * Need.Count;
  if (TotalSlots < Need.Count ||
      SlotsIfEmpty >= SufficientSlotsShare * Potential)
    return Chosen;
  for (const std::size_t I : candidateOrder(Need, Unknown)) {
    if (SlotsIfEmpty >= Potential || Chosen.size() == MaximumAsked)
      break;
    SlotsIfEmpty += GoodShare * slotsWhenEmpty(Need, Unknown[I]);
    Chosen.push_back(Unknown[I].Worker->Id);
  }
  return Chosen;
}

std::vector<std::string> chooseWorkersToAsk(
    const PlacementNeed &Need, const std::vector<Candidate> &Candidates,
    const StepAdvice &Advice, double GoodShare, Clock::time_point ValidUntil) {
  std::vector<std::string> Asked;
  double Expected = 0;
  for (const std::size_t I : candidateOrder(Need, Candidates)) {
    const std::string &Id = Candidates[I].Worker->Id;
    const int Slots = slotsOn(Need, Candidates[I]);
    // The step could not use its valid tickets, as other steps have taken the
    // capacity of those workers.
    if (Slots == 0 || Advice.isBad(Id) ||
        Advice.ticketFor(Id, ValidUntil) != nullptr)
      continue;
    if (Asked.size() == MaximumAsked ||
        (Asked.size() >= MinimumAsked &&
         Expected >= AskedSlotsFactor * Need.Count))
      break;
    Expected += (Advice.isGood(Id) ? 1.0 : GoodShare) * Slots;
    Asked.push_back(Id);
  }
  return Asked;
}

} // namespace hickory
