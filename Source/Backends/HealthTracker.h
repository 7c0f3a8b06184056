#pragma once

#include "Base/TimerService.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace hickory {

struct HealthTrackerOptions {
  int Threshold = 5; ///< Failures in a row that set an upstream aside.
  /// Share of the threshold from which other upstreams are preferred.
  double DegradedShare = 0.6;
  std::chrono::milliseconds InitialPause{5000};
  std::chrono::milliseconds MaximumPause{20000};
  /// A job that failed on this many upstreams and succeeded on none is itself
  /// the cause; its failures count against no upstream. 0: never.
  std::size_t BlameJobAfter = 3;
  std::size_t MaximumJobs = 1024; ///< Remembered for BlameJobAfter.
};

/// Sets aside upstreams that fail everything they start, and lets single
/// probes through to find out when they work again. A state is computed when
/// somebody asks for it, so no timers are needed.
class HealthTracker {
public:
  enum class State {
    Healthy,
    Degraded, ///< Used only if no healthy one fits.
    SetAside, ///< Not used.
    ProbeDue, ///< One piece of work may be tried.
    Probing,  ///< That piece of work has not ended yet.
  };

  HealthTracker(HealthTrackerOptions Options, TimerService &Timers)
      : Options_(Options), Timers_(Timers) {}

  [[nodiscard]] State state(const std::string &Name) const;
  /// Work was sent; turns a due probe into a running one.
  void started(const std::string &Name);
  /// Job is what the work belongs to; empty if it does not matter.
  void succeeded(const std::string &Name, const std::string &Job = {});
  void failed(const std::string &Name, const std::string &Job = {});
  /// Forgets the upstream.
  void erase(const std::string &Name) { Entries_.erase(Name); }

private:
  struct Entry {
    int Failures = 0; ///< In a row.
    bool Aside = false;
    bool Probing = false;
    Clock::time_point RetryAt;
    std::chrono::milliseconds Pause{0};
  };

  struct JobRecord {
    std::set<std::string> FailedOn;
    bool Succeeded = false;
  };

  JobRecord &recordOf(const std::string &Job);

  HealthTrackerOptions Options_;
  TimerService &Timers_;
  std::map<std::string, Entry> Entries_;
  std::map<std::string, JobRecord> Jobs_;
  std::deque<std::string> JobOrder_; ///< Oldest first.
};

} // namespace hickory
