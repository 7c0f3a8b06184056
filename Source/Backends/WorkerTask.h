#pragma once

#include "Backends/Capacity.h"
#include "Backends/TaskId.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// What a rack owner knows of one attempt on one worker. Its size counts as
/// committed until the attempt has certainly ended or was certainly never
/// started.
struct WorkerTask {
  enum class Phase {
    Queued,     ///< The start was not sent yet.
    Sent,       ///< The start was sent; whether it took effect is open.
    Running,    ///< The worker listed it as running.
    Ended,      ///< It ended; the job owner may not know yet.
    NotStarted, ///< Certain: it did not start and will not.
  };

  TaskId Id;
  Capacity Size;
  std::string Member;
  std::string Team;
  std::chrono::milliseconds RunTime{0};
  bool NonRepeatable = false;
  Phase State = Phase::Queued;
  bool Adopted = false;
  bool Confirmed = false; ///< The worker listed it as running or ended.
  Clock::time_point CommittedAt;
  Clock::time_point SentAt;
  Clock::time_point RunningSince;
  /// End of the start's lease in the worker's clock.
  std::int64_t StartLeaseEndMs = 0;
  /// Boot of the worker to which the start was sent, then in which it ran.
  std::string BootId;
  bool HealthReported = false;
  /// The caller was told that the outcome of the start is unknown; a start
  /// that turns out not to have taken effect is then reported as ended.
  bool OutcomeOpen = false;

  bool StopWanted = false;
  bool CheckpointFirst = false;
  std::string StopReason;

  records::TaskEnded End;    ///< Valid when Ended, or NotStarted and reported.
  bool Reporting = false;    ///< A report to the job owner is under way.
  bool Acknowledged = false; ///< The job owner took note; forget it.
  bool Listed = false;       ///< In the worker's latest report.
  std::int64_t UsedCpusMilli = 0;
  std::int64_t UsedMemoryMb = 0;

  /// Calls that wait for the next change of State.
  std::vector<std::shared_ptr<Notifier>> Waiters;

  [[nodiscard]] bool isCommitted() const {
    return State == Phase::Queued || State == Phase::Sent ||
           State == Phase::Running;
  }

  void enter(Phase Next) {
    State = Next;
    for (const auto &Waiter : std::exchange(Waiters, {}))
      Waiter->notify();
  }
};

} // namespace hickory
