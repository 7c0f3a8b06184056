#pragma once

#include "Base/TimerService.h"

#include <map>
#include <string>
#include <utility>

namespace hickory {

struct WorkerHealthOptions {
  /// A worker enters quarantine after this many failed runs in a row if they
  /// belong to at least two jobs.
  int ConsecutiveFailures = 3;
  /// A run is slow if it takes longer than its estimate times SlowFactor plus
  /// SlowAllowance.
  double SlowFactor = 2.2;
  std::chrono::milliseconds SlowAllowance{300};
  /// A worker leaves quarantine after this time.
  std::chrono::milliseconds QuarantineTime{2500};
};

/// Judges a worker by the outcomes and durations of its runs. This detects a
/// worker that fails or delays every run while it answers as healthy: a worker
/// whose runs fail at once is always free and would attract ever more work.
class WorkerHealth {
public:
  explicit WorkerHealth(WorkerHealthOptions Options = {}) : Options_(Options) {}

  /// Expected is zero if the estimate is too rough to judge the worker by.
  void recordStart(const std::string &Task, int Run,
                   std::chrono::milliseconds Expected, Clock::time_point Now);
  void recordEnd(const std::string &Task, int Run, bool Failed,
                 Clock::time_point Now);
  /// Drops a run that ended for a reason unrelated to the worker's health.
  void forget(const std::string &Task, int Run) {
    ActiveRuns_.erase({Task, Run});
  }
  /// Checks for runs that are overdue. Returns true while the worker is in
  /// quarantine and should get no new work.
  bool isQuarantined(Clock::time_point Now);

private:
  struct ActiveRun {
    std::chrono::milliseconds Expected{0};
    Clock::time_point StartedAt{};
  };
  [[nodiscard]] bool isSlow(const ActiveRun &Run, Clock::time_point Now) const;

  WorkerHealthOptions Options_;
  std::map<std::pair<std::string, int>, ActiveRun> ActiveRuns_;
  int ConsecutiveFailures_ = 0;
  std::string
      FirstFailedJob_; ///< Job of the first of the consecutive failures.
  bool SeveralJobsFailed_ = false;
  Clock::time_point QuarantinedUntil_{};
};

} // namespace hickory
