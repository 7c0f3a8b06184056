#pragma once

#include "Base/TimerService.h"
#include "Bench/BenchResult.h"
#include "Bench/ScanBestFit.h"
#include "Bench/WorkMix.h"
#include "Scheduling/PlacementIndex.h"

#include <glog/logging.h>
#include <memory>

namespace hickory {

/// Time of one placement decision in the steady state of a nearly full cell:
/// a random task ends, then the next task of the mix is placed.
class PlacementBench {
public:
  PlacementBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    std::map<std::string, double> Smallest;
    for (const std::size_t Workers : {1000UL, 5000UL, 21000UL}) {
      const std::size_t Decisions = Quick_ ? 20000 : 300000;
      measure<PlacementIndex>("index", Workers, 1, Decisions, Smallest);
      measure<PlacementIndex>("index split among owners", Workers, Owners,
                              Decisions, Smallest);
      measure<ScanBestFit>("plain scan", Workers, 1, Quick_ ? 500 : 5000,
                           Smallest);
    }
  }

private:
  /// 16 failure domains with about 2.3 instances each.
  static constexpr std::size_t Owners = 37;
  static constexpr std::size_t PlannedWorkers = 21000;

  struct Running {
    std::size_t Owner = 0;
    WorkerHandle Worker = 0;
    Resources Held;
  };

  template <typename Policy>
  void measure(const std::string &Name, std::size_t Workers, std::size_t Parts,
               std::size_t Decisions, std::map<std::string, double> &Smallest) {
    // The cell is filled by the index in every case, so that all sides start
    // from the same state.
    std::vector<std::unique_ptr<PlacementIndex>> Filled;
    std::vector<std::unique_ptr<Policy>> Policies;
    for (std::size_t Part = 0; Part < Parts; ++Part) {
      Filled.push_back(std::make_unique<PlacementIndex>());
      Policies.push_back(std::make_unique<Policy>());
    }
    const auto All = makeWorkers(Workers, 16, 39000 * Workers / PlannedWorkers);
    for (std::size_t Number = 0; Number < All.size(); ++Number)
      CHECK(Filled[Number / 8 % Parts]->addWorker(All[Number]));
    WorkMix Mix(Seed_, true);
    Random Numbers(Seed_);
    std::vector<Running> Tasks;
    const std::size_t Wanted = 150000 * Workers / PlannedWorkers;
    std::size_t Refused = 0;
    while (Tasks.size() < Wanted && Refused < Wanted) {
      const MixItem Item = Mix.draw();
      const std::size_t Owner = Numbers.below(Parts);
      if (auto Worker = Filled[Owner]->place({.Need = Item.Need}))
        Tasks.push_back({Owner, *Worker, Item.Need});
      else
        ++Refused;
    }
    Resources Total;
    Resources Used;
    for (std::size_t Part = 0; Part < Parts; ++Part) {
      for (WorkerHandle Worker = 0; Worker < Filled[Part]->handleEnd();
           ++Worker)
        CHECK(Policies[Part]->addWorker(Filled[Part]->worker(Worker)));
      CHECK(Total.add(Filled[Part]->totalCapacity()));
      CHECK(Used.add(Filled[Part]->totalCommitted()));
    }
    const std::size_t Start = Tasks.size();

    BenchSamples Micros;
    Micros.reserve(Decisions);
    std::size_t Placed = 0;
    const Clock::time_point Begin = Clock::now();
    for (std::size_t Turn = 0; Turn < Decisions; ++Turn) {
      // Ends run ahead of starts when the cell is fuller than at the start.
      while (Tasks.size() >= Start) {
        const std::size_t At = Numbers.below(Tasks.size());
        CHECK(Policies[Tasks[At].Owner]->release(Tasks[At].Worker,
                                                 Tasks[At].Held));
        Tasks[At] = Tasks.back();
        Tasks.pop_back();
      }
      const MixItem Item = Mix.draw();
      const PlacementRequest Request{.Need = Item.Need};
      const std::size_t Owner = Numbers.below(Parts);
      const Clock::time_point Before = Clock::now();
      const auto Worker = Policies[Owner]->place(Request);
      Micros.add(
          std::chrono::duration<double, std::micro>(Clock::now() - Before)
              .count());
      if (Worker) {
        ++Placed;
        Tasks.push_back({Owner, *Worker, Item.Need});
      }
    }
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - Begin).count();
    const double Median = Micros.quantile(0.5);
    const auto [First, New] = Smallest.try_emplace(Name, Median);
    report({{"bench", "placement"},
            {"seed", Seed_},
            {"policy", Name},
            {"workers", Workers},
            {"owners", Parts},
            {"running", Start},
            {"committed_cpus", rounded(static_cast<double>(Used.CpusMilli) /
                                       static_cast<double>(Total.CpusMilli))},
            {"decisions", Decisions},
            {"placed", Placed},
            {"decisions_per_s",
             rounded(static_cast<double>(Decisions) / Seconds, 0)},
            {"p50_us", rounded(Median, 2)},
            {"p99_us", rounded(Micros.quantile(0.99), 2)},
            {"p999_us", rounded(Micros.quantile(0.999), 2)},
            {"max_us", rounded(Micros.maximum(), 1)},
            {"mean_us", rounded(Micros.mean(), 2)},
            {"p50_growth_from_1000", rounded(Median / First->second, 2)}});
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
