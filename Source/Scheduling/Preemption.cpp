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
  // Within a priority: the task that covers most of the missing resources, then
  // the one that loses the least work.
  const auto CoveredPart = [&Missing](const PreemptionCandidate &Task) {
    return 1.0 - Missing.minusClamped(Task.Held).dominantShareOf(Missing);
  };
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [&](const PreemptionCandidate *A, const PreemptionCandidate *B) {
        if (A->Priority != B->Priority)
          return A->Priority < B->Priority;
        const double CoversA = CoveredPart(*A);
        const double CoversB = CoveredPart(*B);
        if (CoversA != CoversB)
          return CoversA > CoversB;
        return A->RunTime < B->RunTime;
      });
  Resources FreeAfter = Free;
  std::vector<const PreemptionCandidate *> Victims;
  for (const PreemptionCandidate *Task : Candidates) {
    if (Need.fitsIn(FreeAfter))
      break;
    if (!FreeAfter.add(Task->Held))
      return std::nullopt;
    Victims.push_back(Task);
  }
  if (!Need.fitsIn(FreeAfter))
    return std::nullopt;
  // Removes victims that later, larger ones made unnecessary, highest priority
  // first.
  for (std::size_t I = Victims.size(); I-- > 0;) {
    Resources Without = FreeAfter;
    if (Without.subtract(Victims[I]->Held) && Need.fitsIn(Without)) {
      FreeAfter = Without;
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
