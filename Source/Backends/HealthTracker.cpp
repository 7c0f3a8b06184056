#include "Backends/HealthTracker.h"

#include <algorithm>
#include <utility>

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

HealthTracker::JobRecord &HealthTracker::recordOf(const std::string &Job) {
  const auto [It, New] = Jobs_.try_emplace(Job);
  if (New) {
    JobOrder_.push_back(Job);
    if (JobOrder_.size() > Options_.MaximumJobs) {
      Jobs_.erase(JobOrder_.front());
      JobOrder_.pop_front();
    }
  }
  return It->second;
}

void HealthTracker::succeeded(const std::string &Name, const std::string &Job) {
  Entries_.erase(Name);
  if (!Job.empty() && Options_.BlameJobAfter > 0)
    recordOf(Job).Succeeded = true;
}

void HealthTracker::failed(const std::string &Name, const std::string &Job) {
  Entry &Found = Entries_[Name];
  if (!Job.empty() && Options_.BlameJobAfter > 0) {
    JobRecord &Work = recordOf(Job);
    if (!Work.Succeeded) {
      Work.FailedOn.insert(Name);
      if (Work.FailedOn.size() >= Options_.BlameJobAfter) {
        // A probe with this job showed nothing; the next one is due at once.
        if (std::exchange(Found.Probing, false))
          Found.RetryAt = Timers_.now();
        return;
      }
    }
  }
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
