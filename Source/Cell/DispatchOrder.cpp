#include "Cell/DispatchOrder.h"

#include <algorithm>

namespace hickory {

using std::chrono::milliseconds;

namespace {

/// Longest time that a preemption and the following call for tickets take.
constexpr milliseconds PreemptionTime{2500};
/// A late job still has a value for its caller up to this multiple of its
/// objective.
constexpr int LateObjectives = 3;

} // namespace

milliseconds criticalPathTimeFrom(const JobSpec &Job, int Step) {
  milliseconds Longest{0};
  for (int Next = Step + 1; Next < static_cast<int>(Job.Steps.size()); ++Next)
    if (std::ranges::count(Job.Steps[static_cast<std::size_t>(Next)].DependsOn,
                           Step) > 0)
      Longest = std::max(Longest, criticalPathTimeFrom(Job, Next));
  return Longest + Job.Steps[static_cast<std::size_t>(Step)].EstimatedDuration;
}

milliseconds criticalPathTime(const JobSpec &Job) {
  milliseconds Longest{0};
  for (int Step = 0; Step < static_cast<int>(Job.Steps.size()); ++Step)
    if (Job.Steps[static_cast<std::size_t>(Step)].DependsOn.empty())
      Longest = std::max(Longest, criticalPathTimeFrom(Job, Step));
  return Longest;
}

bool shouldPreempt(const DispatchRank &Rank, Clock::time_point Now) {
  return !Rank.Late && Rank.StartBy - Now < PreemptionTime;
}

DispatchRank rankStep(const JobSpec &Job, int Step,
                      Clock::time_point AcceptedAt, Clock::time_point Now) {
  const auto Objective = std::chrono::duration_cast<Clock::duration>(
      criticalPathTime(Job) * Job.Queue.Stretch + Job.Queue.TargetLatency);
  const Clock::time_point StartBy =
      AcceptedAt + Objective - criticalPathTimeFrom(Job, Step);
  const Clock::time_point LateStartBy =
      StartBy + (LateObjectives - 1) * Objective;
  const bool Late = StartBy < Now;
  return {.Deferrable = Job.Queue.Priority > 0,
          .Late = Late,
          .Overdue = LateStartBy < Now,
          .StartBy = Late ? LateStartBy : StartBy};
}

} // namespace hickory
