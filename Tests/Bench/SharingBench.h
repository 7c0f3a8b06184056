#pragma once

#include "Bench/BenchResult.h"
#include "Bench/WorkMix.h"
#include "Fakes/FakeTimerService.h"
#include "Scheduling/FairShare.h"
#include "Scheduling/JobQueue.h"
#include "Scheduling/PlacementIndex.h"

#include <array>
#include <cmath>
#include <glog/logging.h>
#include <queue>

namespace hickory {

/// Measures how far members deviate from their entitled dominant share. Two
/// failure domains exchange summaries every second. A greedy member overloads
/// both from the start; two other members each have work in one domain only.
/// Later the domains are disconnected for some time, during which the work of
/// the third member stops and resumes.
class SharingBench {
public:
  SharingBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    const int Runs = Quick_ ? 1 : 5;
    for (int Run = 0; Run < Runs; ++Run)
      for (const bool ExchangesSummaries : {true, false})
        Simulation(Seed_ + static_cast<std::uint64_t>(Run), ExchangesSummaries)
            .execute();
  }

private:
  class Simulation {
  public:
    Simulation(std::uint64_t Seed, bool ExchangesSummaries)
        : Seed_(Seed), ExchangesSummaries_(ExchangesSummaries), Random_(Seed) {
      const auto Workers = makeWorkers(100, 2, 0);
      for (std::size_t WorkerIndex = 0; WorkerIndex < Workers.size();
           ++WorkerIndex)
        // Pairs of racks, one with large and one with small workers, alternate
        // between the domains.
        CHECK(Domains_[WorkerIndex / 16 % 2].Index.addWorker(
            Workers[WorkerIndex]));
      for (Domain &LocalDomain : Domains_)
        CHECK(Total_.add(LocalDomain.Index.totalCapacity()));
      std::vector<ShareQuota> Quotas;
      for (std::size_t Member = 0; Member < MemberNames.size(); ++Member) {
        Resources Entitled = Total_;
        Entitled.CpusMilli = Entitled.CpusMilli * QuotaPercent[Member] / 100;
        Entitled.MemoryMb = Entitled.MemoryMb * QuotaPercent[Member] / 100;
        Quotas.push_back({MemberNames[Member], "", Entitled});
      }
      for (Domain &LocalDomain : Domains_) {
        LocalDomain.Shares.setTotal(Total_);
        LocalDomain.Shares.setQuotas(Quotas);
      }
    }

    void execute() {
      const Clock::time_point Start = Timers_.now();
      for (int Step = 0; Step < EndAt * StepsPerSecond; ++Step) {
        ElapsedSeconds_ = Step / StepsPerSecond;
        endTasks();
        if (Step % StepsPerSecond == 0)
          exchangeAndMeasure();
        refillQueues();
        for (Domain &LocalDomain : Domains_)
          LocalDomain.Queue.dispatch([&](const PendingWork &Work) {
            return tryPlace(LocalDomain, Work);
          });
        Timers_.advance(Start + (Step + 1) * Period - Timers_.now());
      }
      print();
    }

  private:
    static constexpr int StepsPerSecond = 10;
    static constexpr Clock::duration Period =
        std::chrono::milliseconds(1000 / StepsPerSecond);
    // Times of the scenario in seconds.
    static constexpr int OthersArriveAt = 120;
    static constexpr int SettledAt = 300;
    static constexpr int DisconnectedAt = 900;
    static constexpr int WorkStopsAt = 960;
    static constexpr int WorkResumesAt = 1120;
    static constexpr int ReconnectedAt = 1140;
    static constexpr int EndAt = 2400;
    static constexpr int WindowSeconds = 60;
    static constexpr std::array<const char *, 3> MemberNames = {
        "greedy", "second", "third"};
    static constexpr std::array<std::uint64_t, 3> QuotaPercent = {40, 35, 25};

    struct Task {
      Clock::time_point EndsAt{};
      std::size_t Member = 0;
      WorkerHandle Worker = 0;
      Resources Held;
      bool operator<(const Task &Other) const { return EndsAt > Other.EndsAt; }
    };
    struct Domain {
      explicit Domain(TimerService &Timers)
          : Shares(Timers), Queue(Timers, Shares) {}
      PlacementIndex Index;
      FairShare Shares;
      JobQueue Queue;
      std::priority_queue<Task> Running;
      std::array<int, 3> Waiting{};
    };

    [[nodiscard]] bool hasWork(std::size_t Member,
                               std::size_t DomainIndex) const {
      if (Member == 0)
        return true;
      if (ElapsedSeconds_ < OthersArriveAt)
        return false;
      if (Member == 1)
        return DomainIndex == 0;
      return DomainIndex == 1 && (ElapsedSeconds_ < WorkStopsAt ||
                                  ElapsedSeconds_ >= WorkResumesAt);
    }

    Resources drawSize(std::size_t Member) {
      constexpr std::uint64_t Gb = 1024;
      const std::uint64_t Cores = 1 + Random_.below(3);
      return {Cores * 1000, Cores * (Member == 1 ? 5 * Gb / 2 : 2 * Gb), 0};
    }

    void refillQueues() {
      for (std::size_t DomainIndex = 0; DomainIndex < Domains_.size();
           ++DomainIndex)
        for (std::size_t Member = 0; Member < MemberNames.size(); ++Member) {
          if (!hasWork(Member, DomainIndex))
            continue;
          const int Wanted = Member == 0 ? 3000 : 60;
          while (Domains_[DomainIndex].Waiting[Member] < Wanted) {
            PendingWork Work{.Key = std::to_string(Member) + "/" +
                                    std::to_string(NextKey_++),
                             .Member = MemberNames[Member],
                             .Team = "",
                             .PerTask = drawSize(Member),
                             // Up to four times shorter or longer than the
                             // mean run time.
                             .EstimatedRun =
                                 std::chrono::seconds(8 + Random_.below(113))};
            CHECK(Domains_[DomainIndex].Queue.enqueue(std::move(Work)));
            ++Domains_[DomainIndex].Waiting[Member];
          }
        }
      // Cancels the waiting work of the third member when its work stops.
      if (ElapsedSeconds_ == WorkStopsAt && Domains_[1].Waiting[2] > 0) {
        std::vector<std::string> Keys;
        for (std::uint64_t Key = 0; Key < NextKey_; ++Key)
          Keys.push_back("2/" + std::to_string(Key));
        Domains_[1].Queue.cancel(Keys);
        while (!Domains_[1].Queue.takeCancelled().empty())
          ;
        Domains_[1].Waiting[2] = 0;
      }
    }

    PlacementOutcome tryPlace(Domain &LocalDomain, const PendingWork &Work) {
      const auto Worker = LocalDomain.Index.place({.Need = Work.PerTask});
      if (!Worker)
        return PlacementOutcome::NoCapacity;
      const auto Member = static_cast<std::size_t>(Work.Key[0] - '0');
      --LocalDomain.Waiting[Member];
      LocalDomain.Shares.acquire(Work.Member, Work.Team, Work.PerTask);
      const auto Run = std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(10 + 40 * Random_.unit()));
      LocalDomain.Running.push(
          {Timers_.now() + Run, Member, *Worker, Work.PerTask});
      return PlacementOutcome::Placed;
    }

    void endTasks() {
      for (Domain &LocalDomain : Domains_)
        while (!LocalDomain.Running.empty() &&
               LocalDomain.Running.top().EndsAt <= Timers_.now()) {
          const Task Ended = LocalDomain.Running.top();
          LocalDomain.Running.pop();
          CHECK(LocalDomain.Index.release(Ended.Worker, Ended.Held));
          CHECK(LocalDomain.Shares.release(MemberNames[Ended.Member], "",
                                           Ended.Held));
        }
    }

    void exchangeAndMeasure() {
      const bool Connected =
          ElapsedSeconds_ < DisconnectedAt || ElapsedSeconds_ >= ReconnectedAt;
      if (ExchangesSummaries_ && Connected) {
        const auto First = Domains_[0].Shares.localUsage();
        CHECK(Domains_[0].Shares.mergeSummary("d1",
                                              Domains_[1].Shares.localUsage()));
        CHECK(Domains_[1].Shares.mergeSummary("d0", First));
      }
      // Actual shares and entitlements, regardless of what the domains know.
      // The demand of a member is the capacity of the domains in which it has
      // work.
      std::map<std::string, Resources> Wanted;
      std::array<Resources, 3> Held;
      for (std::size_t DomainIndex = 0; DomainIndex < Domains_.size();
           ++DomainIndex) {
        const Domain &LocalDomain = Domains_[DomainIndex];
        for (const peer::MemberUse &Use : LocalDomain.Shares.localUsage())
          for (std::size_t Member = 0; Member < MemberNames.size(); ++Member)
            if (Use.member() == MemberNames[Member])
              CHECK(Held[Member].add(Resources::fromRecord(Use.held())));
        for (std::size_t Member = 0; Member < MemberNames.size(); ++Member)
          if (hasWork(Member, DomainIndex))
            CHECK(Wanted[MemberNames[Member]].add(
                {LocalDomain.Index.totalCapacity().CpusMilli, 0, 0}));
      }
      const auto Entitled = Domains_[0].Shares.entitlements(Wanted);
      for (std::size_t Member = 0; Member < MemberNames.size(); ++Member) {
        const auto It = Entitled.find(MemberNames[Member]);
        Deviations_[Member].push_back(Held[Member].dominantShareOf(Total_) -
                                      (It == Entitled.end() ? 0 : It->second));
      }
    }

    /// Returns the largest deviation, in percent of the cell, of all windows
    /// between From and To.
    [[nodiscard]] double largestDeviation(int From, int To) const {
      double Largest = 0;
      for (int Begin = From; Begin + WindowSeconds <= To; ++Begin)
        Largest = std::max(Largest, windowDeviation(Begin));
      return Largest;
    }

    /// Returns the largest mean deviation of a member, in percent of the cell,
    /// in the window that starts at Begin.
    [[nodiscard]] double windowDeviation(int Begin) const {
      double Largest = 0;
      for (const std::vector<double> &MemberDeviations : Deviations_) {
        double Sum = 0;
        for (int Second = Begin; Second < Begin + WindowSeconds; ++Second)
          Sum += MemberDeviations[static_cast<std::size_t>(Second)];
        Largest = std::max(Largest, std::abs(Sum / WindowSeconds));
      }
      return 100 * Largest;
    }

    void print() const {
      // Returns the seconds after From until all windows are within 2%.
      const auto SettledAfter = [this](int From, int To) {
        int Last = From;
        for (int Begin = From; Begin + WindowSeconds <= To; ++Begin)
          if (windowDeviation(Begin) > 2)
            Last = Begin + 1;
        return Last - From;
      };
      printResult(
          {{"bench", "sharing"},
           {"seed", Seed_},
           {"summaries", ExchangesSummaries_},
           {"steady_percent",
            rounded(largestDeviation(SettledAt, DisconnectedAt), 2)},
           {"cut_off_percent",
            rounded(largestDeviation(DisconnectedAt, ReconnectedAt), 2)},
           {"after_healing_percent",
            rounded(largestDeviation(ReconnectedAt, EndAt), 2)},
           {"minute_after_healing_percent",
            rounded(largestDeviation(ReconnectedAt + 60, EndAt), 2)},
           {"settled_after_arrival_s",
            SettledAfter(OthersArriveAt, DisconnectedAt)},
           {"settled_after_healing_s", SettledAfter(ReconnectedAt, EndAt)}});
    }

    std::uint64_t Seed_;
    bool ExchangesSummaries_;
    Random Random_;
    FakeTimerService Timers_;
    std::array<Domain, 2> Domains_{Domain(Timers_), Domain(Timers_)};
    Resources Total_;
    int ElapsedSeconds_ = 0;
    std::uint64_t NextKey_ = 0;
    std::array<std::vector<double>, 3> Deviations_;
  };

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
