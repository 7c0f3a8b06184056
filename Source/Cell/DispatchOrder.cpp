#include "Cell/DispatchOrder.h"

namespace hickory {

using std::chrono::milliseconds;

namespace {

/// Longest time that a preemption and the following call for tickets take.
constexpr milliseconds PreemptionTime{2500};
/// A late job still has a value for its caller up to this multiple of its
/// objective.
constexpr int LateObjectives = 3;

} // namespace

bool shouldPreempt(const DispatchRank &Rank, Clock::time_point Now) {
  return !Rank.Late && Rank.StartBy - Now < PreemptionTime;
}

DispatchRank rankStep(const QueuePolicy &Queue, const StepGraph &Graph,
                      int Step, Clock::time_point AcceptedAt,
                      Clock::time_point Now) {
  const auto Objective = std::chrono::duration_cast<Clock::duration>(
      Graph.criticalPathTime() * Queue.Stretch + Queue.TargetLatency);
  const Clock::time_point StartBy =
      AcceptedAt + Objective - Graph.criticalPathTimeFrom(Step);
  const Clock::time_point LateStartBy =
      StartBy + (LateObjectives - 1) * Objective;
  const bool Late = StartBy < Now;
  return {.Deferrable = Queue.Priority > 0,
          .Late = Late,
          .Overdue = LateStartBy < Now,
          .StartBy = Late ? LateStartBy : StartBy};
}

} // namespace hickory
