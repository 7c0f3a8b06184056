#include "Cell/SubmissionRates.h"

#include "Base/Hash.h"

#include <algorithm>

namespace hickory {

void SubmissionRates::dropOld(Clock::time_point Now) {
  while (!Submissions_.empty() && Now - Submissions_.front().At >= Window) {
    Ids_.erase(Submissions_.front().IdHash);
    Submissions_.pop_front();
  }
}

void SubmissionRates::record(const JobSpec &Job, Clock::time_point Now) {
  dropOld(Now);
  const std::uint64_t IdHash = stableHash(Job.Id);
  if (Submissions_.size() >= MaximumJobs || !Ids_.insert(IdHash).second)
    return;
  Submissions_.push_back({.At = Now,
                          .IdHash = IdHash,
                          .Priority = Job.Queue.Priority,
                          .Account = Job.Account});
}

void SubmissionRates::addTo(std::vector<AccountLoad> &Loads,
                            Clock::time_point Now) {
  dropOld(Now);
  const double PerJob = 1 / std::chrono::duration<double>(Window).count();
  for (const Submission &Each : Submissions_) {
    auto It = std::ranges::find_if(Loads, [&Each](const AccountLoad &Load) {
      return Load.Priority == Each.Priority && Load.Account == Each.Account;
    });
    if (It == Loads.end())
      It = Loads.insert(It,
                        {.Account = Each.Account, .Priority = Each.Priority});
    It->JobsPerSecond += PerJob;
  }
}

} // namespace hickory
