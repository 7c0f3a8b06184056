#include "Cell/WorkerHealth.h"

#include "Work/JobSpec.h"

namespace hickory {

void WorkerHealth::recordStart(const std::string &Task, int Run,
                               std::chrono::milliseconds Expected,
                               Clock::time_point Now) {
  ActiveRuns_[{Task, Run}] = {.Expected = Expected, .StartedAt = Now};
}

bool WorkerHealth::isSlow(const ActiveRun &Run, Clock::time_point Now) const {
  return Run.Expected.count() > 0 &&
         Now - Run.StartedAt >
             Run.Expected * Options_.SlowFactor + Options_.SlowAllowance;
}

void WorkerHealth::recordEnd(const std::string &Task, int Run, bool Failed,
                             Clock::time_point Now) {
  if (const auto It = ActiveRuns_.find({Task, Run}); It != ActiveRuns_.end()) {
    if (isSlow(It->second, Now))
      QuarantinedUntil_ = Now + Options_.QuarantineTime;
    ActiveRuns_.erase(It);
  }
  if (!Failed) {
    ConsecutiveFailures_ = 0;
    SeveralJobsFailed_ = false;
    return;
  }
  // A faulty job fails on every worker, so that one job alone does not count.
  const std::string Job = TaskName::jobOf(Task);
  if (++ConsecutiveFailures_ == 1)
    FirstFailedJob_ = Job;
  SeveralJobsFailed_ = SeveralJobsFailed_ || Job != FirstFailedJob_;
  if (ConsecutiveFailures_ >= Options_.ConsecutiveFailures &&
      SeveralJobsFailed_)
    QuarantinedUntil_ = Now + Options_.QuarantineTime;
}

bool WorkerHealth::isQuarantined(Clock::time_point Now) {
  for (const auto &[Name, Run] : ActiveRuns_)
    if (isSlow(Run, Now)) {
      QuarantinedUntil_ = Now + Options_.QuarantineTime;
      break;
    }
  return Now < QuarantinedUntil_;
}

} // namespace hickory
