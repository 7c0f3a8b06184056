#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Cell/AdmissionPolicy.h"
#include "Cell/CapacityView.h"
#include "Cell/CellConfiguration.h"
#include "Cell/DemandView.h"
#include "Cell/JobOwner.h"
#include "Cell/ShareOrder.h"
#include "Cell/SubmissionRates.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

struct AccountLoadControlOptions {
  std::string Address; ///< Of this process.
  bool Admission = false;
  ShareOrderOptions Shares;
  /// Time for which sums of the reports are used.
  std::chrono::milliseconds RefreshPeriod{100};
  /// Minimum time between two events of a kind.
  std::chrono::milliseconds EventInterval{500};
};

/// Shares and admission control of this process: collects the loads of its own
/// jobs and those that other owners report, decides which jobs are above their
/// account's share, and admits or rejects new jobs. Inactive without accounts
/// in the configuration and without admission control.
class AccountLoadControl {
public:
  AccountLoadControl(TimerService &Timers, const JobOwner &Jobs,
                     const CapacityView &View,
                     const CellConfiguration &Configuration, EventLog &Events,
                     Metrics &Counters, AccountLoadControlOptions Options);

  [[nodiscard]] bool isActive() const {
    return Options_.Admission || Configuration_.Accounts.has_value();
  }
  /// Returns the report of this process for others; empty while inactive.
  /// Computed at most once in RefreshPeriod, as it reads all active jobs.
  [[nodiscard]] const std::vector<AccountLoad> &ownLoads();
  void applyReport(const std::string &Owner, std::vector<AccountLoad> Loads,
                   Clock::time_point RequestedAt);
  /// Sums the reports again if RefreshPeriod has passed.
  void refresh();
  /// Returns true if the job is above the share of its account. A job that has
  /// exceeded its account's rate stays so, as it would make others late once
  /// the account's rate has fallen.
  [[nodiscard]] bool isAboveShare(OwnedJob &Job) const;
  /// Decides on a job that is not known yet. Status 200 means that it may be
  /// accepted.
  [[nodiscard]] SubmitReply admit(const JobSpec &Job);

private:
  void reportAccountsAbove();
  void reportRejection(const JobSpec &Job, const AdmissionDecision &Decision);
  /// Returns the time since the job's first rejected submission.
  [[nodiscard]] std::chrono::milliseconds ageOf(std::uint64_t IdHash) const;
  void rememberFirstAttempt(std::uint64_t IdHash);

  TimerService &Timers_;
  const JobOwner &Jobs_;
  const CapacityView &View_;
  const CellConfiguration &Configuration_;
  EventLog &Events_;
  Metrics &Counters_;
  AccountLoadControlOptions Options_;
  DemandView Demand_;
  DemandView::Sums Sums_;
  Resources Total_;
  ShareOrder Shares_;
  SubmissionRates Rates_;
  std::vector<AccountLoad> OwnLoads_;
  Clock::time_point OwnLoadsDueAt_{};
  AdmissionPolicy Policy_;
  Clock::time_point RefreshAt_{};
  std::size_t ReportedAbove_ = 0;
  Clock::time_point NextAboveEventAt_{};
  Clock::time_point NextRejectionEventAt_{};
  std::uint64_t RejectionsWithoutEvent_ = 0;
  /// First rejected submission by hash of the id.
  std::unordered_map<std::uint64_t, Clock::time_point> FirstAttempts_;
};

} // namespace hickory
