#include "Cell/AccountLoadControl.h"

#include "Base/Hash.h"
#include "Base/Milliseconds.h"

#include <algorithm>
#include <fmt/format.h>

namespace hickory {

using std::chrono::milliseconds;

namespace {

constexpr int StatusOk = 200;
/// Clients give up after four retries of at most 3 s.
constexpr std::chrono::seconds FirstAttemptLifetime{30};
constexpr std::size_t MaximumFirstAttempts = 20000;

/// Returns what the job will have waiting once it is accepted.
AccountLoad loadOf(const JobSpec &Job) {
  const JobLoad Load = JobProgress(Job).load();
  return {.Account = Job.Account,
          .Priority = Job.Queue.Priority,
          .Running = {},
          .WaitingDemand = Load.WaitingDemand,
          .WaitingWork = Load.WaitingWork};
}

} // namespace

AccountLoadControl::AccountLoadControl(TimerService &Timers,
                                       const JobOwner &Jobs,
                                       const CapacityView &View,
                                       const CellConfiguration &Configuration,
                                       EventLog &Events, Metrics &Counters,
                                       AccountLoadControlOptions Options)
    : Timers_(Timers), Jobs_(Jobs), View_(View), Configuration_(Configuration),
      Events_(Events), Counters_(Counters), Options_(std::move(Options)),
      Shares_(Timers, Options_.Shares), Policy_(stableHash(Options_.Address)) {
  Counters_.gauge("accounts_above_share", [this] {
    return static_cast<double>(Shares_.accountsAbove());
  });
  Counters_.gauge("load_reports",
                  [this] { return static_cast<double>(Sums_.Reports); });
}

const std::vector<AccountLoad> &AccountLoadControl::ownLoads() {
  if (!isActive()) {
    OwnLoads_.clear();
    return OwnLoads_;
  }
  const Clock::time_point Now = Timers_.now();
  if (Now < OwnLoadsDueAt_)
    return OwnLoads_;
  OwnLoadsDueAt_ = Now + Options_.RefreshPeriod;
  OwnLoads_ = Jobs_.accountLoads();
  Rates_.addTo(OwnLoads_, Now);
  return OwnLoads_;
}

void AccountLoadControl::applyReport(const std::string &Owner,
                                     std::vector<AccountLoad> Loads,
                                     Clock::time_point RequestedAt) {
  if (isActive())
    Demand_.apply(Owner, std::move(Loads), RequestedAt);
}

void AccountLoadControl::refresh() {
  if (!isActive()) {
    Shares_.clear();
    return;
  }
  const Clock::time_point Now = Timers_.now();
  if (Now < RefreshAt_)
    return;
  RefreshAt_ = Now + Options_.RefreshPeriod;
  OwnLoadsDueAt_ = Now;
  Demand_.apply(Options_.Address, ownLoads(), Now);
  Demand_.dropExpired(Now);
  Sums_ = Demand_.sums(Now);
  Total_ = View_.totalCapacity();
  if (Configuration_.Accounts)
    Shares_.update(Sums_, Total_, *Configuration_.Accounts);
  else
    Shares_.clear();
  reportAccountsAbove();
}

void AccountLoadControl::reportAccountsAbove() {
  const std::size_t Above = Shares_.accountsAbove();
  const Clock::time_point Now = Timers_.now();
  if (Above == ReportedAbove_ || Now < NextAboveEventAt_)
    return;
  NextAboveEventAt_ = Now + Options_.EventInterval;
  ReportedAbove_ = Above;
  Events_.emit("shares", "accounts_above",
               {{"accounts", Above},
                {"example", Shares_.exampleAbove()},
                {"reports", Sums_.Reports},
                {"oldest_report_ms", toMilliseconds(Sums_.OldestReport)}});
}

bool AccountLoadControl::isAboveShare(OwnedJob &Job) const {
  if (!Configuration_.Accounts)
    return false;
  const JobSpec &Spec = Job.Progress.spec();
  const int Priority = Spec.Queue.Priority;
  Job.BeyondRate =
      Job.BeyondRate || Shares_.isBeyondRate(Spec.Account, Priority, Spec.Id);
  return Job.BeyondRate || Shares_.isAboveUsage(Spec.Account, Priority);
}

SubmitReply AccountLoadControl::admit(const JobSpec &Job) {
  SubmitReply Reply{.Status = StatusOk};
  if (!isActive())
    return Reply;
  Rates_.record(Job, Timers_.now());
  refresh();
  if (!Options_.Admission)
    return Reply;
  const std::uint64_t IdHash = stableHash(Job.Id);
  const AdmissionDecision Decision =
      Policy_.decide(Job, ageOf(IdHash),
                     {.Demand = Sums_,
                      .Total = Total_,
                      .Shares = Shares_,
                      .Account = Configuration_.findAccount(Job.Account)});
  Counters_.count("jobs_admission_decisions_total", 1,
                  fmt::format("result=\"{}\"", nameOf(Decision.Reason)));
  if (Decision.admitted()) {
    // The next decision comes before the sums are refreshed.
    const AccountLoad Load = loadOf(Job);
    Sums_.ByPriority[Load.Priority][Load.Account].add(Load);
    return Reply;
  }
  rememberFirstAttempt(IdHash);
  reportRejection(Job, Decision);
  Reply.Status = Decision.status();
  Reply.RetryAfterMs = Decision.RetryAfter.count();
  Reply.Reason = nameOf(Decision.Reason);
  return Reply;
}

void AccountLoadControl::reportRejection(const JobSpec &Job,
                                         const AdmissionDecision &Decision) {
  const Clock::time_point Now = Timers_.now();
  if (Now < NextRejectionEventAt_) {
    ++RejectionsWithoutEvent_;
    return;
  }
  NextRejectionEventAt_ = Now + Options_.EventInterval;
  Events_.emit("gateway", "rejected",
               {{"job", Job.Id},
                {"account", Job.Account},
                {"queue", Job.Queue.Name},
                {"priority", Job.Queue.Priority},
                {"reason", nameOf(Decision.Reason)},
                {"status", Decision.status()},
                {"expected_wait_ms", Decision.ExpectedWait.count()},
                {"longest_wait_ms", Decision.LongestWait.count()},
                {"retry_after_ms", Decision.RetryAfter.count()},
                {"reports", Sums_.Reports},
                {"oldest_report_ms", toMilliseconds(Sums_.OldestReport)},
                {"without_event", std::exchange(RejectionsWithoutEvent_, 0)}});
}

milliseconds AccountLoadControl::ageOf(std::uint64_t IdHash) const {
  const auto It = FirstAttempts_.find(IdHash);
  return It == FirstAttempts_.end() ? milliseconds(0)
                                    : std::chrono::duration_cast<milliseconds>(
                                          Timers_.now() - It->second);
}

void AccountLoadControl::rememberFirstAttempt(std::uint64_t IdHash) {
  const Clock::time_point Now = Timers_.now();
  if (FirstAttempts_.size() >= MaximumFirstAttempts)
    std::erase_if(FirstAttempts_, [Now](const auto &HashAndTime) {
      return Now - HashAndTime.second > FirstAttemptLifetime;
    });
  if (FirstAttempts_.size() < MaximumFirstAttempts)
    FirstAttempts_.try_emplace(IdHash, Now);
}

} // namespace hickory
