#pragma once

#include "Base/Random.h"
#include "Cell/AdmissionPolicy.h"
#include "Cell/DispatchOrder.h"
#include "Cell/ShareOrder.h"
#include "Cell/SubmissionRates.h"
#include "Fakes/FakeTimerService.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Jobs of one account on one queue that arrive at random.
struct PlayedLoad {
  std::string Account;
  QueuePolicy Queue;
  StepSpec Step;
  /// Jobs a second at the time since the start.
  std::function<double(double Seconds)> Rate;
};

struct LoadPlayOptions {
  bool Shares = true;
  bool Admission = false;
  ShareOrderOptions Signals;
  int Owners = 8;
  /// Time between two exchanges of an owner with all others.
  std::chrono::milliseconds ReportPeriod{1200};
  std::chrono::milliseconds Duration{16000};
  Resources Capacity;
  int Retries = 4;
  /// Part of the tasks that take seven times as long.
  double HeavyTail = 0;
  std::uint64_t Seed = 1;
};

struct PlayedOutcome {
  int Submitted = 0;
  int InTime = 0;       ///< Completed within the objective.
  int WithinValue = 0;  ///< Completed within three times the objective.
  int AcceptedLate = 0; ///< Accepted, and completed after that.
  int Rejections = 0;
  int Lost = 0; ///< Rejected at each attempt.
  std::map<AdmissionReason, int> Reasons;

  void add(const PlayedOutcome &Other) {
    Submitted += Other.Submitted;
    InTime += Other.InTime;
    WithinValue += Other.WithinValue;
    AcceptedLate += Other.AcceptedLate;
    Rejections += Other.Rejections;
    Lost += Other.Lost;
    for (const auto &[Reason, Count] : Other.Reasons)
      Reasons[Reason] += Count;
  }
  [[nodiscard]] double inTime() const { return part(InTime); }
  [[nodiscard]] double withinValue() const { return part(WithinValue); }
  [[nodiscard]] double part(int Count) const {
    return Submitted == 0 ? 1 : static_cast<double>(Count) / Submitted;
  }
};

/// Plays a load on a pool of capacity with several owners of jobs, each with
/// its own reports, shares and admission. Time advances in steps of 10 ms; a
/// job has one step, and starts tasks as far as capacity is free.
class LoadPlay {
public:
  explicit LoadPlay(const LoadPlayOptions &Options)
      : Options_(Options), Random_(Options_.Seed) {
    for (int I = 0; I < Options_.Owners; ++I)
      Owners_.push_back(std::make_unique<Owner>(Timers_, Options_, I));
  }

  std::vector<ClientAccount> Accounts;
  std::vector<PlayedLoad> Loads;
  /// By account and priority.
  std::map<std::pair<std::string, int>, PlayedOutcome> Outcomes;

  void run() {
    const Clock::time_point Start = Timers_.now();
    Free_ = Options_.Capacity;
    // The backlog is played to its end.
    while (true) {
      const auto Passed = Timers_.now() - Start;
      const bool Ended = Passed >= Options_.Duration;
      if (!Ended)
        submitNew(std::chrono::duration<double>(Passed).count());
      retryDue();
      endDue();
      for (auto &Each : Owners_)
        report(*Each);
      // Another owner comes first in each step.
      for (std::size_t I = 0; I < Owners_.size(); ++I)
        dispatch(*Owners_[(I + Ticks_) % Owners_.size()]);
      ++Ticks_;
      if (Ended && Ends_.empty() && Retries_.empty())
        break;
      Timers_.advance(Tick);
    }
  }
  /// Sums the outcomes of the accounts that the predicate accepts.
  [[nodiscard]] PlayedOutcome
  sum(const std::function<bool(const std::string &Account)> &Accepts,
      int Priority) const {
    PlayedOutcome Sum;
    for (const auto &[Key, Each] : Outcomes) {
      if (Key.second == Priority && Accepts(Key.first))
        Sum.add(Each);
    }
    return Sum;
  }

private:
  static constexpr std::chrono::milliseconds Tick{10};

  struct Job {
    JobSpec Spec;
    StepGraph Graph;
    Clock::time_point SubmittedAt{};
    Clock::time_point AcceptedAt{};
    int Attempts = 1;
    int Waiting = 0;
    int Running = 0;
    bool BeyondRate = false;
    std::size_t OwnerIndex = 0;
  };
  using JobPointer = std::shared_ptr<Job>;

  struct Owner {
    Owner(TimerService &Timers, const LoadPlayOptions &Options, int Index)
        : Name(fmt::format("owner-{}", Index)), Shares(Timers, Options.Signals),
          Policy(static_cast<std::uint64_t>(Index)),
          ReportAt(Timers.now() +
                   Options.ReportPeriod * Index / Options.Owners) {}
    std::string Name;
    DemandView View;
    DemandView::Sums Sums;
    ShareOrder Shares;
    SubmissionRates Rates;
    AdmissionPolicy Policy;
    Clock::time_point ReportAt;
    Clock::time_point RefreshAt{};
    std::list<JobPointer> Jobs;
  };

  struct End {
    Clock::time_point At;
    std::size_t Sequence = 0;
    JobPointer Of;
    bool operator>(const End &Other) const {
      return std::tie(At, Sequence) > std::tie(Other.At, Other.Sequence);
    }
  };

  void submitNew(double Seconds) {
    for (const PlayedLoad &Load : Loads) {
      const double Mean =
          Load.Rate(Seconds) * std::chrono::duration<double>(Tick).count();
      // Poisson by multiplication of uniform numbers.
      double Product = Random_.unit();
      for (const double Limit = std::exp(-Mean); Product > Limit;
           Product *= Random_.unit())
        submitJob(Load);
    }
  }

  void submitJob(const PlayedLoad &Load) {
    JobSpec Spec{.Id = fmt::format("job-{}", ++JobCount_),
                 .Queue = Load.Queue,
                 .Account = Load.Account,
                 .Payload = "",
                 .Steps = {Load.Step}};
    auto New = std::make_shared<Job>(Job{
        .Spec = Spec,
        .Graph = StepGraph(Spec.Steps),
        .SubmittedAt = Timers_.now(),
        .Waiting = Load.Step.Count,
        .OwnerIndex = static_cast<std::size_t>(Random_.below(Owners_.size()))});
    ++outcome(*New).Submitted;
    attempt(New);
  }

  void attempt(const JobPointer &New) {
    Owner &To = *Owners_[New->OwnerIndex];
    const Clock::time_point Now = Timers_.now();
    To.Rates.record(New->Spec, Now);
    refresh(To);
    if (Options_.Admission) {
      const auto Account =
          std::ranges::find(Accounts, New->Spec.Account, &ClientAccount::Name);
      const AdmissionDecision Decision = To.Policy.decide(
          New->Spec,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Now - New->SubmittedAt),
          {.Demand = To.Sums,
           .Total = Options_.Capacity,
           .Shares = To.Shares,
           .Account = Account == Accounts.end() ? nullptr : &*Account});
      if (!Decision.admitted()) {
        PlayedOutcome &Outcome = outcome(*New);
        ++Outcome.Rejections;
        ++Outcome.Reasons[Decision.Reason];
        if (New->Attempts++ > Options_.Retries)
          ++Outcome.Lost;
        else
          Retries_.emplace(Now + Decision.RetryAfter, New);
        return;
      }
    }
    New->AcceptedAt = Now;
    To.Jobs.push_back(New);
    AccountLoad Load = loadOf(*New);
    To.Sums.ByPriority[Load.Priority][Load.Account].add(Load);
  }

  void retryDue() {
    while (!Retries_.empty() && Retries_.begin()->first <= Timers_.now()) {
      const JobPointer Due = Retries_.begin()->second;
      Retries_.erase(Retries_.begin());
      attempt(Due);
    }
  }

  static Resources times(const Resources &Amount, std::int64_t Count) {
    return *Amount.times(static_cast<std::uint64_t>(Count));
  }
  static AccountLoad loadOf(const Job &Of) {
    const StepSpec &Step = Of.Spec.Steps[0];
    return {.Account = Of.Spec.Account,
            .Priority = Of.Spec.Queue.Priority,
            .Running = times(Step.Demand, Of.Running),
            .WaitingDemand = times(Step.Demand, Of.Waiting),
            .WaitingWork = times(Step.Demand,
                                 Of.Waiting * Step.EstimatedDuration.count())};
  }
  std::vector<AccountLoad> loadsOf(Owner &Of) {
    std::map<std::pair<int, std::string>, AccountLoad> Sums;
    for (const JobPointer &Each : Of.Jobs) {
      AccountLoad Load = loadOf(*Each);
      auto &Sum = Sums[{Load.Priority, Load.Account}];
      Sum.Account = Load.Account;
      Sum.Priority = Load.Priority;
      Sum.add(Load);
    }
    std::vector<AccountLoad> Result;
    Result.reserve(Sums.size());
    for (auto &[Key, Sum] : Sums)
      Result.push_back(std::move(Sum));
    Of.Rates.addTo(Result, Timers_.now());
    return Result;
  }

  void report(Owner &From) {
    const Clock::time_point Now = Timers_.now();
    if (Now < From.ReportAt)
      return;
    From.ReportAt = Now + Options_.ReportPeriod;
    for (auto &To : Owners_)
      if (To.get() != &From)
        To->View.apply(From.Name, loadsOf(From), Now);
  }

  void refresh(Owner &Each) {
    const Clock::time_point Now = Timers_.now();
    if (Now < Each.RefreshAt)
      return;
    Each.RefreshAt = Now + std::chrono::milliseconds(100);
    Each.View.apply(Each.Name, loadsOf(Each), Now);
    Each.Sums = Each.View.sums(Now);
    if (Options_.Shares)
      Each.Shares.update(Each.Sums, Options_.Capacity, Accounts);
  }

  void dispatch(Owner &By) {
    refresh(By);
    const Clock::time_point Now = Timers_.now();
    std::vector<std::pair<DispatchRank, JobPointer>> Steps;
    for (const JobPointer &Each : By.Jobs) {
      if (Each->Waiting == 0)
        continue;
      DispatchRank Rank =
          rankStep(Each->Spec.Queue, Each->Graph, 0, Each->AcceptedAt, Now);
      if (Options_.Shares) {
        const std::string &Account = Each->Spec.Account;
        const int Priority = Each->Spec.Queue.Priority;
        Each->BeyondRate =
            Each->BeyondRate ||
            By.Shares.isBeyondRate(Account, Priority, Each->Spec.Id);
        Rank.AboveShare =
            Each->BeyondRate || By.Shares.isAboveUsage(Account, Priority);
      }
      Steps.emplace_back(Rank, Each);
    }
    std::ranges::stable_sort(Steps, std::less<>(),
                             [](const auto &Each) { return Each.first; });
    for (auto &[Rank, Each] : Steps) {
      const StepSpec &Step = Each->Spec.Steps[0];
      if (Step.Gang && !times(Step.Demand, Step.Count).fitsIn(Free_))
        continue;
      while (Each->Waiting > 0 && Step.Demand.fitsIn(Free_)) {
        (void)Free_.subtract(Step.Demand);
        --Each->Waiting;
        ++Each->Running;
        const int Factor = Random_.unit() < Options_.HeavyTail ? 7 : 1;
        Ends_.push({.At = Now + Step.EstimatedDuration * Factor,
                    .Sequence = ++EndCount_,
                    .Of = Each});
      }
    }
  }

  void endDue() {
    while (!Ends_.empty() && Ends_.top().At <= Timers_.now()) {
      const End Due = Ends_.top();
      Ends_.pop();
      Job &Of = *Due.Of;
      (void)Free_.add(Of.Spec.Steps[0].Demand);
      if (--Of.Running > 0 || Of.Waiting > 0)
        continue;
      const QueuePolicy &Queue = Of.Spec.Queue;
      const std::chrono::duration<double, std::milli> Objective =
          Of.Graph.criticalPathTime() * Queue.Stretch + Queue.TargetLatency;
      const auto Taken = Due.At - Of.SubmittedAt;
      PlayedOutcome &Outcome = outcome(Of);
      Outcome.InTime += Taken <= Objective ? 1 : 0;
      Outcome.WithinValue += Taken <= 3 * Objective ? 1 : 0;
      Outcome.AcceptedLate += Taken > 3 * Objective ? 1 : 0;
      Owners_[Of.OwnerIndex]->Jobs.remove(Due.Of);
    }
  }

  PlayedOutcome &outcome(const Job &Of) {
    return Outcomes[{Of.Spec.Account, Of.Spec.Queue.Priority}];
  }

  LoadPlayOptions Options_;
  FakeTimerService Timers_;
  Random Random_;
  Resources Free_;
  std::vector<std::unique_ptr<Owner>> Owners_;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends_;
  std::multimap<Clock::time_point, JobPointer> Retries_;
  std::size_t Ticks_ = 0;
  std::size_t EndCount_ = 0;
  std::size_t JobCount_ = 0;
};

} // namespace hickory
