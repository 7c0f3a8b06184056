#include "Backends/HealthTracker.h"

#include <algorithm>

namespace hickory {

HealthTracker::State HealthTracker::state(const std::string &Name) const {
  const auto It = Entries_.find(Name);
  if (It == Entries_.end())
    return State::Healthy;
  const Entry &Found = It->second;
  if (Found.Aside) {
    // No timer: whether the pause is over is checked when somebody asks.
    if (Timers_.now() < Found.RetryAt)
      return Found.Probing ? State::Probing : State::SetAside;
    return State::ProbeDue;
  }
  return Found.Failures >= Options_.DegradedShare * Options_.Threshold
             ? State::Degraded
             : State::Healthy;
}

void HealthTracker::started(const std::string &Name) {
  if (state(Name) != State::ProbeDue)
    return;
  Entry &Found = Entries_.at(Name);
  Found.Probing = true;
  // If the probe's end is never reported, another one is due after the pause.
  Found.RetryAt = Timers_.now() + Found.Pause;
}

void HealthTracker::succeeded(const std::string &Name) { Entries_.erase(Name); }

void HealthTracker::failed(const std::string &Name) {
  Entry &Found = Entries_[Name];
  if (Found.Aside && !Found.Probing)
    return; // Work that was started before it was set aside.
  if (!Found.Aside && ++Found.Failures < Options_.Threshold)
    return;
  Found.Pause = Found.Aside ? std::min(Found.Pause * 2, Options_.MaximumPause)
                            : Options_.InitialPause;
  Found.Aside = true;
  Found.Probing = false;
  Found.RetryAt = Timers_.now() + Found.Pause;
}

} // namespace hickory
