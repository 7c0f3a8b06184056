#include "Cell/WorkerHealth.h"

#include "Work/JobSpec.h"

namespace hickory {

void WorkerHealth::started(const std::string &Task, int Run,
                           std::chrono::milliseconds Expected,
                           Clock::time_point Now) {
  Open_[{Task, Run}] = {.Expected = Expected, .StartedAt = Now};
}

bool WorkerHealth::isSlow(const OpenRun &Run, Clock::time_point Now) const {
  return Run.Expected.count() > 0 &&
         Now - Run.StartedAt >
             Run.Expected * Options_.SlowFactor + Options_.Allowance;
}

void WorkerHealth::ended(const std::string &Task, int Run, bool Failed,
                         Clock::time_point Now) {
  if (const auto It = Open_.find({Task, Run}); It != Open_.end()) {
    if (isSlow(It->second, Now))
      AsideUntil_ = Now + Options_.SetAside;
    Open_.erase(It);
  }
  if (!Failed) {
    Failures_ = 0;
    OtherFailed_ = false;
    return;
  }
  // One job may fail anywhere by its own fault.
  const std::string Job = TaskName::jobOf(Task);
  if (++Failures_ == 1)
    FirstFailed_ = Job;
  OtherFailed_ = OtherFailed_ || Job != FirstFailed_;
  if (Failures_ >= Options_.FailuresInARow && OtherFailed_)
    AsideUntil_ = Now + Options_.SetAside;
}

bool WorkerHealth::isSuspect(Clock::time_point Now) {
  for (const auto &[Name, Run] : Open_)
    if (isSlow(Run, Now)) {
      AsideUntil_ = Now + Options_.SetAside;
      break;
    }
  return Now < AsideUntil_;
}

} // namespace hickory
