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

/// How far members are from their entitled dominant share. Two failure domains
/// exchange summaries every second. A greedy member floods both from the
/// start; two others each have work in one domain only. The domains are then
/// cut off from each other, and the third member's work stops and comes back
/// meanwhile.
class SharingBench {
public:
  SharingBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    const int Runs = Quick_ ? 1 : 5;
    for (int Run = 0; Run < Runs; ++Run)
      for (const bool Summaries : {true, false})
        Simulation(Seed_ + static_cast<std::uint64_t>(Run), Summaries)
            .execute();
  }

private:
  class Simulation {
  public:
    Simulation(std::uint64_t Seed, bool Summaries)
        : Seed_(Seed), Summaries_(Summaries), Numbers_(Seed) {
      const auto Workers = makeWorkers(100, 2, 0);
      for (std::size_t Number = 0; Number < Workers.size(); ++Number)
        // Pairs of racks, one of each size, alternate between the domains.
        CHECK(Domains_[Number / 16 % 2].Index.addWorker(Workers[Number]));
      for (Domain &Here : Domains_)
        CHECK(Total_.add(Here.Index.totalCapacity()));
      std::vector<ShareQuota> Quotas;
      for (std::size_t Member = 0; Member < Members.size(); ++Member) {
        Resources Entitled = Total_;
        Entitled.CpusMilli = Entitled.CpusMilli * Quota[Member] / 100;
        Entitled.MemoryMb = Entitled.MemoryMb * Quota[Member] / 100;
        Quotas.push_back({Members[Member], "", Entitled});
      }
      for (Domain &Here : Domains_) {
        Here.Shares.setTotal(Total_);
        Here.Shares.setQuotas(Quotas);
      }
    }

    void execute() {
      const Clock::time_point Start = Timers_.now();
      for (int Step = 0; Step < End * StepsPerSecond; ++Step) {
        Second_ = Step / StepsPerSecond;
        endTasks();
        if (Step % StepsPerSecond == 0)
          everySecond();
        refill();
        for (Domain &Here : Domains_)
          Here.Queue.dispatch(
              [&](const PendingWork &Work) { return tryPlace(Here, Work); });
        Timers_.advance(Start + (Step + 1) * Period - Timers_.now());
      }
      print();
    }

  private:
    static constexpr int StepsPerSecond = 10;
    static constexpr Clock::duration Period =
        std::chrono::milliseconds(1000 / StepsPerSecond);
    // Seconds.
    static constexpr int OthersArrive = 120;
    static constexpr int Settled = 300;
    static constexpr int CutOff = 900;
    static constexpr int WorkStops = 960;
    static constexpr int WorkReturns = 1120;
    static constexpr int Healed = 1140;
    static constexpr int End = 2400;
    static constexpr int Window = 60;
    static constexpr std::array<const char *, 3> Members = {"greedy", "second",
                                                            "third"};
    static constexpr std::array<std::uint64_t, 3> Quota = {40, 35, 25};

    struct Task {
      Clock::time_point Ends{};
      std::size_t Member = 0;
      WorkerHandle Worker = 0;
      Resources Held;
      bool operator<(const Task &Other) const { return Ends > Other.Ends; }
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

    [[nodiscard]] bool active(std::size_t Member, std::size_t In) const {
      if (Member == 0)
        return true;
      if (Second_ < OthersArrive)
        return false;
      if (Member == 1)
        return In == 0;
      return In == 1 && (Second_ < WorkStops || Second_ >= WorkReturns);
    }

    Resources drawSize(std::size_t Member) {
      constexpr std::uint64_t Gb = 1024;
      const std::uint64_t Cores = 1 + Numbers_.below(3);
      return {Cores * 1000, Cores * (Member == 1 ? 5 * Gb / 2 : 2 * Gb), 0};
    }

    void refill() {
      for (std::size_t In = 0; In < Domains_.size(); ++In)
        for (std::size_t Member = 0; Member < Members.size(); ++Member) {
          if (!active(Member, In))
            continue;
          const int Wanted = Member == 0 ? 3000 : 60;
          while (Domains_[In].Waiting[Member] < Wanted) {
            PendingWork Work{.Key = std::to_string(Member) + "/" +
                                    std::to_string(NextKey_++),
                             .Member = Members[Member],
                             .Team = "",
                             .PerTask = drawSize(Member),
                             // Wrong by a factor of up to four.
                             .EstimatedRun =
                                 std::chrono::seconds(8 + Numbers_.below(113))};
            CHECK(Domains_[In].Queue.enqueue(std::move(Work)));
            ++Domains_[In].Waiting[Member];
          }
        }
      // Work of a member that stopped is withdrawn.
      if (Second_ == WorkStops && Domains_[1].Waiting[2] > 0) {
        std::vector<std::string> Keys;
        for (std::uint64_t Key = 0; Key < NextKey_; ++Key)
          Keys.push_back("2/" + std::to_string(Key));
        Domains_[1].Queue.cancel(Keys);
        while (!Domains_[1].Queue.takeCancelled().empty())
          ;
        Domains_[1].Waiting[2] = 0;
      }
    }

    PlacementOutcome tryPlace(Domain &Here, const PendingWork &Work) {
      const auto Worker = Here.Index.place({.Need = Work.PerTask});
      if (!Worker)
        return PlacementOutcome::NoCapacity;
      const auto Member = static_cast<std::size_t>(Work.Key[0] - '0');
      --Here.Waiting[Member];
      Here.Shares.acquire(Work.Member, Work.Team, Work.PerTask);
      const auto Run = std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(10 + 40 * Numbers_.unit()));
      Here.Running.push({Timers_.now() + Run, Member, *Worker, Work.PerTask});
      return PlacementOutcome::Placed;
    }

    void endTasks() {
      for (Domain &Here : Domains_)
        while (!Here.Running.empty() &&
               Here.Running.top().Ends <= Timers_.now()) {
          const Task Ended = Here.Running.top();
          Here.Running.pop();
          CHECK(Here.Index.release(Ended.Worker, Ended.Held));
          CHECK(Here.Shares.release(Members[Ended.Member], "", Ended.Held));
        }
    }

    void everySecond() {
      const bool Connected = Second_ < CutOff || Second_ >= Healed;
      if (Summaries_ && Connected) {
        const auto First = Domains_[0].Shares.localUsage();
        CHECK(Domains_[0].Shares.mergeSummary("d1",
                                              Domains_[1].Shares.localUsage()));
        CHECK(Domains_[1].Shares.mergeSummary("d0", First));
      }
      // True shares and entitlements, whatever the domains know. A member
      // wants at most what the domains in which it has work can give.
      std::map<std::string, Resources> Wanted;
      std::array<Resources, 3> Held;
      for (std::size_t In = 0; In < Domains_.size(); ++In) {
        const Domain &Here = Domains_[In];
        for (const peer::MemberUse &Use : Here.Shares.localUsage())
          for (std::size_t Member = 0; Member < Members.size(); ++Member)
            if (Use.member() == Members[Member])
              CHECK(Held[Member].add(Resources::fromRecord(Use.held())));
        for (std::size_t Member = 0; Member < Members.size(); ++Member)
          if (active(Member, In))
            CHECK(Wanted[Members[Member]].add(
                {Here.Index.totalCapacity().CpusMilli, 0, 0}));
      }
      const auto Entitled = Domains_[0].Shares.entitlements(Wanted);
      for (std::size_t Member = 0; Member < Members.size(); ++Member) {
        const auto At = Entitled.find(Members[Member]);
        Off_[Member].push_back(Held[Member].dominantShareOf(Total_) -
                               (At == Entitled.end() ? 0 : At->second));
      }
    }

    /// Largest deviation, in percent of the cell, over windows that begin at
    /// From or later and end before To.
    [[nodiscard]] double largest(int From, int To) const {
      double Largest = 0;
      for (int Begin = From; Begin + Window <= To; ++Begin)
        Largest = std::max(Largest, windowAt(Begin));
      return Largest;
    }

    [[nodiscard]] double windowAt(int Begin) const {
      double Largest = 0;
      for (const std::vector<double> &Off : Off_) {
        double Sum = 0;
        for (int Second = Begin; Second < Begin + Window; ++Second)
          Sum += Off[static_cast<std::size_t>(Second)];
        Largest = std::max(Largest, std::abs(Sum / Window));
      }
      return 100 * Largest;
    }

    void print() const {
      // Seconds after an event from which on every window is within 2%.
      const auto SettledAfter = [this](int From, int To) {
        int Last = From;
        for (int Begin = From; Begin + Window <= To; ++Begin)
          if (windowAt(Begin) > 2)
            Last = Begin + 1;
        return Last - From;
      };
      report({{"bench", "sharing"},
              {"seed", Seed_},
              {"summaries", Summaries_},
              {"steady_percent", rounded(largest(Settled, CutOff), 2)},
              {"cut_off_percent", rounded(largest(CutOff, Healed), 2)},
              {"after_healing_percent", rounded(largest(Healed, End), 2)},
              {"minute_after_healing_percent",
               rounded(largest(Healed + 60, End), 2)},
              {"settled_after_arrival_s", SettledAfter(OthersArrive, CutOff)},
              {"settled_after_healing_s", SettledAfter(Healed, End)}});
    }

    std::uint64_t Seed_;
    bool Summaries_;
    Random Numbers_;
    FakeTimerService Timers_;
    std::array<Domain, 2> Domains_{Domain(Timers_), Domain(Timers_)};
    Resources Total_;
    int Second_ = 0;
    std::uint64_t NextKey_ = 0;
    std::array<std::vector<double>, 3> Off_;
  };

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
