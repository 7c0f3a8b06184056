#include "Scheduling/Preemption.h"

#include <algorithm>

namespace hickory {

std::optional<std::vector<std::string>>
chooseVictims(const Resources &Need, std::uint32_t Priority,
              const Resources &Free,
              const std::vector<PreemptionCandidate> &Running,
              const PreemptionOptions &Options) {
  const Resources Missing = Need.minusClamped(Free);
  std::vector<const PreemptionCandidate *> Candidates;
  for (const PreemptionCandidate &Task : Running)
    if (!Task.NonRepeatable && Task.Priority < Priority)
      Candidates.push_back(&Task);
  // Within a priority the task that covers most of what is missing, then the
  // one that loses least work.
  const auto Covers = [&Missing](const PreemptionCandidate &Task) {
    return 1.0 - Missing.minusClamped(Task.Held).dominantShareOf(Missing);
  };
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [&](const PreemptionCandidate *A, const PreemptionCandidate *B) {
        if (A->Priority != B->Priority)
          return A->Priority < B->Priority;
        const double CoversA = Covers(*A);
        const double CoversB = Covers(*B);
        if (CoversA != CoversB)
          return CoversA > CoversB;
        return A->Ran < B->Ran;
      });
  Resources Room = Free;
  std::vector<const PreemptionCandidate *> Victims;
  for (const PreemptionCandidate *Task : Candidates) {
    if (Need.fitsIn(Room))
      break;
    if (!Room.add(Task->Held))
      return std::nullopt;
    Victims.push_back(Task);
  }
  if (!Need.fitsIn(Room))
    return std::nullopt;
  // Spares what later, larger victims made unnecessary; highest priority
  // first.
  for (std::size_t I = Victims.size(); I-- > 0;) {
    Resources Without = Room;
    if (Without.subtract(Victims[I]->Held) && Need.fitsIn(Without)) {
      Room = Without;
      Victims.erase(Victims.begin() + static_cast<std::ptrdiff_t>(I));
    }
  }
  if (Victims.size() > Options.MaximumVictims)
    return std::nullopt;
  std::vector<std::string> Ids;
  Ids.reserve(Victims.size());
  for (const PreemptionCandidate *Task : Victims)
    Ids.push_back(Task->Id);
  return Ids;
}

} // namespace hickory
