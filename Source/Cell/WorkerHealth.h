#pragma once

#include "Base/TimerService.h"

#include <map>
#include <string>
#include <utility>

namespace hickory {

struct WorkerHealthOptions {
  /// Ends in a row that failed, of at least two jobs.
  int FailuresInARow = 3;
  /// A run is slow if it takes so many times its estimate, and Allowance more.
  double SlowFactor = 2.2;
  std::chrono::milliseconds Allowance{300};
  /// After this time the worker is tried again.
  std::chrono::milliseconds SetAside{2500};
};

/// What the runs of a worker tell of it. Answers loads where some workers fail
/// or delay all that they start while they look healthy: free room draws ever
/// more work to a worker that fails at once.
class WorkerHealth {
public:
  explicit WorkerHealth(WorkerHealthOptions Options = {}) : Options_(Options) {}

  /// Expected: zero if the estimate is too rough to judge by.
  void started(const std::string &Task, int Run,
               std::chrono::milliseconds Expected, Clock::time_point Now);
  void ended(const std::string &Task, int Run, bool Failed,
             Clock::time_point Now);
  /// The run is over for a reason that says nothing of the worker.
  void forget(const std::string &Task, int Run) { Open_.erase({Task, Run}); }
  /// Looks for runs that should have ended. Returns true while the worker is
  /// set aside.
  bool isSuspect(Clock::time_point Now);

private:
  struct OpenRun {
    std::chrono::milliseconds Expected{0};
    Clock::time_point StartedAt{};
  };
  [[nodiscard]] bool isSlow(const OpenRun &Run, Clock::time_point Now) const;

  WorkerHealthOptions Options_;
  std::map<std::pair<std::string, int>, OpenRun> Open_;
  int Failures_ = 0;
  std::string FirstFailed_; ///< Job of the first failure in a row.
  bool OtherFailed_ = false;
  Clock::time_point AsideUntil_{};
};

} // namespace hickory
