#pragma once

#include "Base/TimerService.h"
#include "Work/JobProgress.h"

#include <string>
#include <vector>

namespace hickory {

/// A run on a worker that has been started or is about to be.
struct StartedRun {
  std::string Task;
  int Run = 0;
  /// When its start was confirmed, which is the latest time at which it can
  /// have begun; NotConfirmed while the worker may begin it at any time.
  Clock::time_point StartedBy = NotConfirmed;
  /// Workers have crashed under earlier runs of its task.
  bool Suspect = false;

  static constexpr Clock::time_point NotConfirmed = Clock::time_point::max();
};

/// A run that may have crashed its worker.
struct SuspectRun {
  std::string Task;
  int Run = 0;
  RunOutcome Outcome = RunOutcome::CrashSuspected; ///< Of those for crashes.
};

/// Time after its start in which a run is suspected of a crash of its worker. A
/// task that crashes its workers does so as soon as it starts; the rest covers
/// the time until a busy process notices the crash.
inline constexpr std::chrono::milliseconds CrashWindow{300};
/// Only a run that began at most this long before its worker was gone is
/// blamed, as workers that crash for other reasons do so at any time.
inline constexpr std::chrono::milliseconds PromptCrashWindow{150};

/// When a worker has crashed.
struct CrashTime {
  Clock::time_point AliveUntil{}; ///< Not before this time.
  Clock::time_point GoneBy{};     ///< At this time at the latest.
};

/// Returns the runs that may have crashed their worker: those that began at
/// most CrashWindow before.
///
/// If all those that began at most PromptCrashWindow before belong to one job,
/// that job has crashed the worker. If they belong to several jobs, and workers
/// have crashed under earlier runs of exactly one of these, it is put down to
/// that one: mustStartApart() keeps later starts away from suspects.
///
/// The outcome of a run whose start is not confirmed is CrashPossible, as the
/// worker may have crashed before it received the order.
[[nodiscard]] std::vector<SuspectRun>
findCrashSuspects(const std::vector<StartedRun> &Runs, const CrashTime &Crash);

/// Returns true if no run of another job must start beside the run at present:
/// it is suspected of earlier crashes, and if the worker crashed now, it would
/// not be certain which of the two is the cause.
[[nodiscard]] bool mustStartApart(const StartedRun &Run, Clock::time_point Now);

} // namespace hickory
