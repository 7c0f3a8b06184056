#pragma once

#include "Base/TimerService.h"

#include <chrono>
#include <map>
#include <string>

namespace hickory {

struct HealthTrackerOptions {
  int Threshold = 5; ///< Failures in a row that set an upstream aside.
  /// Share of the threshold from which other upstreams are preferred.
  double DegradedShare = 0.6;
  std::chrono::milliseconds InitialPause{5000};
  std::chrono::milliseconds MaximumPause{60000};
};

/// Sets aside upstreams that fail everything they start, and lets single
/// probes through to find out when they work again.
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
  void succeeded(const std::string &Name);
  void failed(const std::string &Name);
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

  HealthTrackerOptions Options_;
  TimerService &Timers_;
  std::map<std::string, Entry> Entries_;
};

} // namespace hickory
