#include "Cell/CrashBlame.h"

#include <set>

namespace hickory {

namespace {

bool beganWithin(std::chrono::milliseconds Window, const StartedRun &Run,
                 Clock::time_point Time) {
  return Run.StartedBy >= Time - Window;
}

/// Returns the job that has crashed the worker; empty if that is not certain.
std::string findCause(const std::vector<StartedRun> &Runs,
                      const CrashTime &Crash) {
  std::set<std::string> Jobs;
  std::set<std::string> SuspectJobs; ///< Suspected of earlier crashes too.
  for (const StartedRun &Run : Runs) {
    if (!beganWithin(PromptCrashWindow, Run, Crash.GoneBy))
      continue;
    Jobs.insert(TaskName::jobOf(Run.Task));
    if (Run.Suspect)
      SuspectJobs.insert(TaskName::jobOf(Run.Task));
  }
  const std::set<std::string> &Possible =
      SuspectJobs.empty() ? Jobs : SuspectJobs;
  return Possible.size() == 1 ? *Possible.begin() : std::string();
}

RunOutcome outcomeOf(const StartedRun &Run, const std::string &Cause,
                     const CrashTime &Crash) {
  if (Run.StartedBy == StartedRun::NotConfirmed)
    return RunOutcome::CrashPossible;
  return TaskName::jobOf(Run.Task) == Cause &&
                 beganWithin(PromptCrashWindow, Run, Crash.GoneBy)
             ? RunOutcome::Crashed
             : RunOutcome::CrashSuspected;
}

} // namespace

std::vector<SuspectRun> findCrashSuspects(const std::vector<StartedRun> &Runs,
                                          const CrashTime &Crash) {
  const std::string Cause = findCause(Runs, Crash);
  std::vector<SuspectRun> Found;
  for (const StartedRun &Run : Runs) {
    if (!beganWithin(CrashWindow, Run, Crash.AliveUntil))
      continue;
    Found.push_back({.Task = Run.Task,
                     .Run = Run.Run,
                     .Outcome = outcomeOf(Run, Cause, Crash)});
  }
  return Found;
}

bool mustStartApart(const StartedRun &Run, Clock::time_point Now) {
  return Run.Suspect && beganWithin(CrashWindow, Run, Now);
}

} // namespace hickory
