#pragma once

#include "Base/TimerService.h"
#include "Bench/BenchResult.h"
#include "Bench/ScanBestFit.h"
#include "Bench/WorkMix.h"
#include "Scheduling/PlacementIndex.h"

#include <glog/logging.h>
#include <memory>

namespace hickory {

/// Measures the time of a placement decision in the steady state of a nearly
/// full cell: a random task ends, then the next task of the mix is placed.
class PlacementBench {
public:
  PlacementBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    std::map<std::string, double> BaselineMedians;
    for (const std::size_t Workers : {1000UL, 5000UL, 21000UL}) {
      const std::size_t Decisions = Quick_ ? 20000 : 300000;
      measure<PlacementIndex>("index", Workers, 1, Decisions, BaselineMedians);
      measure<PlacementIndex>("index split among owners", Workers,
                              PlannedOwners, Decisions, BaselineMedians);
      measure<ScanBestFit>("plain scan", Workers, 1, Quick_ ? 500 : 5000,
                           BaselineMedians);
    }
  }

private:
  /// Instances of the planned cell: 16 failure domains with about 2.3 each.
  static constexpr std::size_t PlannedOwners = 37;
  static constexpr std::size_t PlannedWorkers = 21000;

  struct RunningTask {
    std::size_t Owner = 0;
    WorkerHandle Worker = 0;
    Resources HeldResources;
  };

  template <typename Policy>
  void measure(const std::string &Name, std::size_t Workers,
               std::size_t OwnerCount, std::size_t Decisions,
               std::map<std::string, double> &BaselineMedians) {
    // PlacementIndex fills the cell for every policy, so that all policies
    // start from the same state.
    std::vector<std::unique_ptr<PlacementIndex>> FilledIndexes;
    std::vector<std::unique_ptr<Policy>> Policies;
    for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex) {
      FilledIndexes.push_back(std::make_unique<PlacementIndex>());
      Policies.push_back(std::make_unique<Policy>());
    }
    const auto AllWorkers =
        makeWorkers(Workers, 16, 39000 * Workers / PlannedWorkers);
    for (std::size_t WorkerIndex = 0; WorkerIndex < AllWorkers.size();
         ++WorkerIndex)
      CHECK(FilledIndexes[WorkerIndex / 8 % OwnerCount]->addWorker(
          AllWorkers[WorkerIndex]));
    WorkMix Mix(Seed_, true);
    Random RandomSource(Seed_);
    std::vector<RunningTask> Tasks;
    const std::size_t TargetTaskCount = 150000 * Workers / PlannedWorkers;
    std::size_t Refused = 0;
    while (Tasks.size() < TargetTaskCount && Refused < TargetTaskCount) {
      const WorkArrival Arrival = Mix.draw();
      const std::size_t Owner = RandomSource.below(OwnerCount);
      if (auto Worker = FilledIndexes[Owner]->place({.Need = Arrival.Need}))
        Tasks.push_back({Owner, *Worker, Arrival.Need});
      else
        ++Refused;
    }
    Resources Total;
    Resources Committed;
    for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex) {
      for (WorkerHandle Worker = 0;
           Worker < FilledIndexes[OwnerIndex]->handleEnd(); ++Worker)
        CHECK(Policies[OwnerIndex]->addWorker(
            FilledIndexes[OwnerIndex]->worker(Worker)));
      CHECK(Total.add(FilledIndexes[OwnerIndex]->totalCapacity()));
      CHECK(Committed.add(FilledIndexes[OwnerIndex]->totalCommitted()));
    }
    const std::size_t InitialTaskCount = Tasks.size();

    BenchSamples LatenciesUs;
    LatenciesUs.reserve(Decisions);
    std::size_t Placed = 0;
    const Clock::time_point Begin = Clock::now();
    for (std::size_t Decision = 0; Decision < Decisions; ++Decision) {
      // Ends random tasks until fewer tasks run than at the start.
      while (Tasks.size() >= InitialTaskCount) {
        const std::size_t TaskIndex = RandomSource.below(Tasks.size());
        CHECK(Policies[Tasks[TaskIndex].Owner]->release(
            Tasks[TaskIndex].Worker, Tasks[TaskIndex].HeldResources));
        Tasks[TaskIndex] = Tasks.back();
        Tasks.pop_back();
      }
      const WorkArrival Arrival = Mix.draw();
      const PlacementRequest Request{.Need = Arrival.Need};
      const std::size_t Owner = RandomSource.below(OwnerCount);
      const Clock::time_point Before = Clock::now();
      const auto Worker = Policies[Owner]->place(Request);
      LatenciesUs.add(
          std::chrono::duration<double, std::micro>(Clock::now() - Before)
              .count());
      if (Worker) {
        ++Placed;
        Tasks.push_back({Owner, *Worker, Arrival.Need});
      }
    }
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - Begin).count();
    const double MedianUs = LatenciesUs.quantile(0.5);
    const auto [Baseline, New] = BaselineMedians.try_emplace(Name, MedianUs);
    printResult(
        {{"bench", "placement"},
         {"seed", Seed_},
         {"policy", Name},
         {"workers", Workers},
         {"owners", OwnerCount},
         {"running", InitialTaskCount},
         {"committed_cpus", rounded(static_cast<double>(Committed.CpusMilli) /
                                    static_cast<double>(Total.CpusMilli))},
         {"decisions", Decisions},
         {"placed", Placed},
         {"decisions_per_s",
          rounded(static_cast<double>(Decisions) / Seconds, 0)},
         {"p50_us", rounded(MedianUs, 2)},
         {"p99_us", rounded(LatenciesUs.quantile(0.99), 2)},
         {"p999_us", rounded(LatenciesUs.quantile(0.999), 2)},
         {"max_us", rounded(LatenciesUs.maximum(), 1)},
         {"mean_us", rounded(LatenciesUs.mean(), 2)},
         {"p50_growth_from_1000", rounded(MedianUs / Baseline->second, 2)}});
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
