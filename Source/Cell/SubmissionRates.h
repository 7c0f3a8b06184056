#pragma once

#include "Base/TimerService.h"
#include "Cell/AccountLoad.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace hickory {

/// Rates of the jobs that were submitted to this process in the last seconds,
/// by account and priority. An id counts once, so that clients that repeat a
/// rejected submission do not raise their rate.
class SubmissionRates {
public:
  /// Time over which the rates are averaged.
  static constexpr std::chrono::seconds Window{4};
  /// Limit of the memory. What comes above it is not counted; the account is
  /// far above its rate by then.
  static constexpr std::size_t MaximumJobs = 20000;

  void record(const JobSpec &Job, Clock::time_point Now);
  /// Adds the rates to the loads, with new entries where there is none.
  void addTo(std::vector<AccountLoad> &Loads, Clock::time_point Now);

private:
  void dropOld(Clock::time_point Now);

  struct Submission {
    Clock::time_point At{};
    std::uint64_t IdHash = 0;
    int Priority = 0;
    std::string Account;
  };
  std::deque<Submission> Submissions_; ///< In order of time.
  std::unordered_set<std::uint64_t> Ids_;
};

} // namespace hickory
