#include "Cell/AdmissionPolicy.h"

#include "Work/StepGraph.h"

#include <algorithm>
#include <cmath>

namespace hickory {

using std::chrono::milliseconds;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
/// A late job still has a value for its caller up to this multiple of its
/// objective; see rankStep().
constexpr int LateObjectives = 3;
/// Admission closes at this multiple of the longest wait and opens below the
/// longest wait itself, so that it does not change with each report.
constexpr double CloseFactor = 1.1;
constexpr milliseconds MinimumRetryAfter{1000};
constexpr milliseconds MaximumRetryAfter{3000};
/// An account whose share is not known, as it had no demand, is taken to get at
/// least this part of the capacity.
constexpr double MinimumShare = 0.001;
/// Bound of the memory of decisions.
constexpr std::size_t MaximumClosedEntries = 4096;
constexpr milliseconds LongestTime{std::chrono::hours(24)};

milliseconds timeFor(double Milliseconds) {
  return Milliseconds >= static_cast<double>(LongestTime.count())
             ? LongestTime
             : milliseconds(static_cast<std::int64_t>(Milliseconds));
}

/// Returns the milliseconds that the work takes on the capacity.
milliseconds timeOf(const Resources &Work, const Resources &Capacity,
                    double Part = 1) {
  double Longest = 0;
  const auto Add = [&](std::uint64_t Amount, std::uint64_t Available) {
    // A resource that the cell does not have, or the cap does not limit.
    if (Available > 0)
      Longest = std::max(Longest, static_cast<double>(Amount) /
                                      (Part * static_cast<double>(Available)));
  };
  Add(Work.CpusMilli, Capacity.CpusMilli);
  Add(Work.MemoryMb, Capacity.MemoryMb);
  Add(Work.Accelerators, Capacity.Accelerators);
  return timeFor(Longest);
}

} // namespace

const char *nameOf(AdmissionReason Reason) {
  switch (Reason) {
  case AdmissionReason::Admitted:
    return "admitted";
  case AdmissionReason::CellFull:
    return "cell_full";
  case AdmissionReason::AccountAtCap:
    return "account_at_cap";
  case AdmissionReason::AboveShare:
    return "above_share";
  }
  return "";
}

int AdmissionDecision::status() const {
  switch (Reason) {
  case AdmissionReason::Admitted:
    return StatusOk;
  case AdmissionReason::CellFull:
    return StatusUnavailable;
  case AdmissionReason::AccountAtCap:
  case AdmissionReason::AboveShare:
    break;
  }
  return StatusTooManyRequests;
}

AdmissionPolicy::Wait
AdmissionPolicy::expectedWait(const JobSpec &Job, const AdmissionInput &Input) {
  const int Priority = Job.Queue.Priority;
  Resources CellWork;
  Resources OwnWork;
  Resources RunningElsewhere; // In more urgent priorities.
  Resources OwnInPriority;
  for (const auto &[Each, Loads] : Input.Demand.ByPriority) {
    if (Each > Priority)
      break;
    for (const auto &[Account, Load] : Loads) {
      const bool IsOwn = Account == Job.Account;
      // What others have above their share in the priority comes after jobs
      // within their share.
      const double Counted =
          Each == Priority && !IsOwn
              ? (Input.Shares.isAboveUsage(Account, Each)
                     ? 0
                     : Input.Shares.permittedPart(Account, Each))
              : 1;
      const auto Part = [Counted](std::uint64_t Value) {
        return static_cast<std::uint64_t>(Counted * static_cast<double>(Value));
      };
      (void)CellWork.add({.CpusMilli = Part(Load.WaitingWork.CpusMilli),
                          .MemoryMb = Part(Load.WaitingWork.MemoryMb),
                          .Accelerators = Part(Load.WaitingWork.Accelerators)});
      if (IsOwn)
        (void)OwnWork.add(Load.WaitingWork);
      if (IsOwn && Each == Priority)
        OwnInPriority = Load.WaitingWork;
      if (Each < Priority)
        (void)RunningElsewhere.add(Load.Running);
    }
  }
  Wait Longest;
  const auto Consider = [&Longest](AdmissionReason Reason, milliseconds Time) {
    if (Time > Longest.Time)
      Longest = {.Reason = Reason, .Time = Time};
  };
  Consider(AdmissionReason::CellFull, timeOf(CellWork, Input.Total));
  if (Input.Account == nullptr)
    return Longest;
  Consider(AdmissionReason::AccountAtCap, timeOf(OwnWork, Input.Account->Cap));
  // The work of an account above its share is served at the rate of its share.
  if (Input.Shares.isAboveUsage(Job.Account, Priority) ||
      Input.Shares.isBeyondRate(Job.Account, Priority, Job.Id))
    Consider(AdmissionReason::AboveShare,
             timeOf(OwnInPriority, Input.Total.minusClamped(RunningElsewhere),
                    std::max(MinimumShare,
                             Input.Shares.shareOf(Job.Account, Priority))));
  return Longest;
}

AdmissionDecision AdmissionPolicy::decide(const JobSpec &Job, milliseconds Age,
                                          const AdmissionInput &Input) {
  AdmissionDecision Decision;
  // Without reports, nothing is known of the work or the capacity.
  if (Input.Demand.Reports == 0 || Input.Total.empty())
    return Decision;
  const milliseconds CriticalPath = StepGraph(Job.Steps).criticalPathTime();
  const auto Objective = std::chrono::duration_cast<milliseconds>(
      CriticalPath * Job.Queue.Stretch + Job.Queue.TargetLatency);
  Decision.LongestWait = LateObjectives * Objective - CriticalPath - Age;
  const Wait Expected = expectedWait(Job, Input);
  Decision.ExpectedWait = Expected.Time;
  const auto Key = std::pair(Job.Account, Job.Queue.Name);
  const auto It = Closed_.find(Key);
  const bool WasClosed = It != Closed_.end() && It->second;
  const double Limit =
      std::max(0.0, static_cast<double>(Decision.LongestWait.count())) *
      (WasClosed ? 1.0 : CloseFactor);
  const bool Closes = Expected.Reason != AdmissionReason::Admitted &&
                      static_cast<double>(Expected.Time.count()) > Limit;
  if (It != Closed_.end())
    It->second = Closes;
  else if (Closes && Closed_.size() < MaximumClosedEntries)
    Closed_[Key] = true;
  if (Closes) {
    Decision.Reason = Expected.Reason;
    Decision.RetryAfter = retryAfter(Expected.Time - Decision.LongestWait);
  }
  return Decision;
}

milliseconds AdmissionPolicy::retryAfter(milliseconds Excess) {
  // The client gets whole seconds. An earliest time of at most 2 s leaves two
  // of them to choose from.
  const milliseconds Earliest =
      std::clamp(std::chrono::duration_cast<milliseconds>(
                     std::chrono::ceil<std::chrono::seconds>(Excess)),
                 MinimumRetryAfter, MaximumRetryAfter - MinimumRetryAfter);
  const auto Choices = static_cast<std::uint64_t>(
      (MaximumRetryAfter - Earliest) / MinimumRetryAfter + 1);
  return Earliest +
         MinimumRetryAfter * static_cast<std::int64_t>(Random_.below(Choices));
}

} // namespace hickory
