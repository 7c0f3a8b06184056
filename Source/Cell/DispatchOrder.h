#pragma once

#include "Base/TimerService.h"
#include "Work/JobProgress.h"

#include <tuple>

namespace hickory {

/// Rank of a step in the dispatch order; the lower rank comes first.
struct DispatchRank {
  bool Deferrable = false; ///< The queue is not of the most urgent priority.
  bool Late = false;       ///< The step can't meet its objective any more.
  bool Overdue = false;    ///< Nor any multiple of it that still has a value.
  /// The job is above the share of its account while others wait.
  bool AboveShare = false;
  /// Latest start that meets the objective; for a late step, the multiple of it
  /// up to which its completion still has a value.
  Clock::time_point StartBy{};

  bool operator<(const DispatchRank &Other) const {
    return std::tie(Deferrable, Overdue, AboveShare, StartBy) <
           std::tie(Other.Deferrable, Other.Overdue, Other.AboveShare,
                    Other.StartBy);
  }
};

/// Ranks a ready step: the most urgent queues come first, then the steps by
/// their latest start, then the overdue steps. A late step waits until its
/// extended objective comes close, so that after a burst it does not make
/// further steps late, but does not wait for as long as others arrive either.
DispatchRank rankStep(const QueuePolicy &Queue, const StepGraph &Graph,
                      int Step, Clock::time_point AcceptedAt,
                      Clock::time_point Now);

/// Returns true if less urgent runs should be preempted for the step: it can
/// still meet its objective, but not if it waits for capacity much longer.
/// Preempted runs resume from a checkpoint, which costs less than a late gang
/// and more than a short wait.
bool shouldPreempt(const DispatchRank &Rank, Clock::time_point Now);

} // namespace hickory
