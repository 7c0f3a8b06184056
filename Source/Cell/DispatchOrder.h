#pragma once

#include "Base/TimerService.h"
#include "Work/JobProgress.h"

#include <tuple>

namespace hickory {

/// Place of a step in the order in which steps are started; lower comes first.
struct DispatchRank {
  bool Patient = false; ///< Not of the most urgent priority.
  bool Late = false;    ///< Can't meet its objective any more.
  Clock::time_point StartBy{};

  bool operator<(const DispatchRank &Other) const {
    return std::tie(Patient, Late, StartBy) <
           std::tie(Other.Patient, Other.Late, Other.StartBy);
  }
};

/// Ranks a ready step. Answers bursts: the most urgent queues go first, then
/// whatever can still meet its objective, by the latest time to start, then the
/// rest, so that work that is late already does not make more work late.
DispatchRank rankStep(const JobSpec &Job, int Step,
                      Clock::time_point AcceptedAt, Clock::time_point Now);

/// True if others are to be stopped for the step: it can still be in time, but
/// not if it waits for room much longer. Stopped work resumes from a
/// checkpoint, which costs less than a late gang and more than a short wait.
bool shouldPreempt(const DispatchRank &Rank, Clock::time_point Now);

/// Estimated time of the longest chain of steps.
std::chrono::milliseconds criticalPathTime(const JobSpec &Job);
/// Estimated time of the longest chain of steps that begins with this one.
std::chrono::milliseconds criticalPathTimeFrom(const JobSpec &Job, int Step);

} // namespace hickory
