#pragma once

#include "Base/Random.h"
#include "Bench/BenchResult.h"
#include "Cell/AdmissionPolicy.h"
#include "Cell/DispatchOrder.h"
#include "Cell/ShareOrder.h"
#include "Fakes/FakeTimerService.h"
#include "Work/JobProgress.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <memory>
#include <vector>

namespace hickory {

/// Measures the order of a pass and an admission decision: 5,000 waiting jobs
/// of 20 accounts at one owner, 350 workers of 32 cores, reports of 24 owners.
class SharesBench {
public:
  SharesBench(std::uint64_t Seed, bool Quick)
      : Random_(Seed), Rounds_(Quick ? 20 : 200), Shares_(Timers_) {}

  void run() {
    prepare();
    BenchSamples Order;
    BenchSamples Decision;
    for (int I = 0; I < Rounds_; ++I) {
      auto Begin = std::chrono::steady_clock::now();
      orderPass();
      Order.add(microsecondsSince(Begin) / 1000);
      JobSpec Job = jobOf(Jobs + I);
      Begin = std::chrono::steady_clock::now();
      const auto Made = Policy_.decide(Job, std::chrono::milliseconds(0),
                                       {.Demand = Sums_,
                                        .Total = Total_,
                                        .Shares = Shares_,
                                        .Account = &Accounts_[0]});
      Decision.add(microsecondsSince(Begin));
      Rejected_ += Made.admitted() ? 0 : 1;
    }
    printResult({{"bench", "pressure"},
                 {"jobs", Jobs},
                 {"accounts", AccountCount},
                 {"order_ms_p50", rounded(Order.quantile(0.5), 2)},
                 {"order_ms_max", rounded(Order.maximum(), 2)},
                 {"decision_us_p50", rounded(Decision.quantile(0.5), 2)},
                 {"decision_us_max", rounded(Decision.maximum(), 2)},
                 {"above", Above_},
                 {"rejected", Rejected_}});
  }

private:
  static constexpr int Jobs = 5000;
  static constexpr int AccountCount = 20;
  static constexpr int Owners = 24;

  static double microsecondsSince(std::chrono::steady_clock::time_point Begin) {
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - Begin)
        .count();
  }

  JobSpec jobOf(int Number) {
    JobSpec Job{
        .Id = fmt::format("{:016x}", Number),
        .Queue = {.Name = "queue"},
        .Account = fmt::format("account-{}", Number % AccountCount),
        .Payload = "",
        .Steps = {{.Count = 25,
                   .Demand = {.CpusMilli = 3500},
                   .EstimatedDuration = std::chrono::milliseconds(3400)}}};
    Job.Queue.Priority = Number % 3;
    Job.Queue.TargetLatency = std::chrono::milliseconds(1200);
    return Job;
  }

  void prepare() {
    Total_ = {.CpusMilli = 350UL * 32000};
    for (int I = 0; I < AccountCount; ++I)
      Accounts_.push_back({.Name = fmt::format("account-{}", I),
                           .KeyDigests = {},
                           .Weight = 1.0 + I % 4,
                           .Cap = {.CpusMilli = 1000000}});
    for (int I = 0; I < Jobs; ++I)
      Progress_.push_back(std::make_unique<JobProgress>(jobOf(I)));
    for (int O = 1; O < Owners; ++O) {
      std::vector<AccountLoad> Loads;
      for (int I = 0; I < AccountCount; ++I)
        for (int Priority = 0; Priority < 3; ++Priority)
          Loads.push_back({.Account = Accounts_[I].Name,
                           .Priority = Priority,
                           .Running = {.CpusMilli = Random_.below(10000)},
                           .WaitingDemand = {.CpusMilli = 10000},
                           .WaitingWork = {.CpusMilli = 10000000},
                           .JobsPerSecond = 0.2});
      View_.apply(fmt::format("owner-{}", O), std::move(Loads), Timers_.now());
    }
  }

  /// The work of a pass up to the order of its steps.
  void orderPass() {
    std::map<std::pair<int, std::string>, AccountLoad> Own;
    for (const auto &Job : Progress_) {
      const JobSpec &Spec = Job->spec();
      const JobLoad Load = Job->load();
      Own[{Spec.Queue.Priority, Spec.Account}].add(
          {.Running = Load.Running,
           .WaitingDemand = Load.WaitingDemand,
           .WaitingWork = Load.WaitingWork});
    }
    std::vector<AccountLoad> Loads;
    for (auto &[Key, Sum] : Own) {
      Sum.Priority = Key.first;
      Sum.Account = Key.second;
      Loads.push_back(std::move(Sum));
    }
    const Clock::time_point Now = Timers_.now();
    View_.apply("owner-0", std::move(Loads), Now);
    Sums_ = View_.sums(Now);
    Shares_.update(Sums_, Total_, Accounts_);
    std::vector<std::pair<DispatchRank, const JobProgress *>> Steps;
    for (const auto &Job : Progress_) {
      const JobSpec &Spec = Job->spec();
      DispatchRank Rank = rankStep(Spec.Queue, Job->graph(), 0, Now, Now);
      Rank.AboveShare =
          Shares_.isAboveUsage(Spec.Account, Spec.Queue.Priority) ||
          Shares_.isBeyondRate(Spec.Account, Spec.Queue.Priority, Spec.Id);
      Above_ += Rank.AboveShare ? 1 : 0;
      Steps.emplace_back(Rank, Job.get());
    }
    std::ranges::sort(Steps, std::less<>(),
                      [](const auto &Each) { return Each.first; });
  }

  FakeTimerService Timers_;
  Random Random_;
  int Rounds_;
  Resources Total_;
  std::vector<ClientAccount> Accounts_;
  std::vector<std::unique_ptr<JobProgress>> Progress_;
  DemandView View_;
  DemandView::Sums Sums_;
  ShareOrder Shares_;
  AdmissionPolicy Policy_{1};
  std::size_t Above_ = 0;
  int Rejected_ = 0;
};

} // namespace hickory
