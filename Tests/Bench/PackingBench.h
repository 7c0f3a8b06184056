#pragma once

#include "Bench/BenchResult.h"
#include "Bench/FirstFit.h"
#include "Bench/RandomFit.h"
#include "Bench/WorkMix.h"
#include "Scheduling/PlacementIndex.h"

#include <functional>
#include <glog/logging.h>
#include <memory>

namespace hickory {

/// Measures how full a cell is when the first arrival does not fit, relative to
/// an upper bound: the arrivals whose total size fits into the total capacity.
class PackingBench {
public:
  PackingBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    const int Runs = Quick_ ? 5 : 40;
    compare("100 workers", 100, 1, 0, WorkMix::Sizes::Round, Runs);
    compare("100 workers", 100, 1, 0, WorkMix::Sizes::Odd, Runs);
    compare("100 workers", 100, 1, 0, WorkMix::Sizes::MemoryHeavy, Runs);
    if (!Quick_)
      compare("planned size", 21000, 16, 39000, WorkMix::Sizes::Odd, 2);
  }

private:
  using PolicyFactory =
      std::function<std::unique_ptr<PlacementPolicy>(std::uint64_t)>;

  /// Places arrivals until one does not fit. Returns the committed resources.
  static Resources fillUntilRefusal(PlacementPolicy &Policy, std::uint64_t Seed,
                                    bool Accelerators, WorkMix::Sizes Sizes) {
    WorkMix Mix(Seed, Accelerators, Sizes);
    std::map<int, std::set<std::string>> ServiceRacks;
    while (true) {
      const WorkArrival Arrival = Mix.draw();
      PlacementRequest Request{.Need = Arrival.Need};
      if (Arrival.Service >= 0)
        Request.AvoidedRacks = ServiceRacks[Arrival.Service];
      const auto Placed = Policy.placeGang(Request, Arrival.Tasks);
      if (!Placed)
        return Policy.totalCommitted();
      if (Arrival.Service >= 0)
        ServiceRacks[Arrival.Service].insert(
            Policy.worker(Placed->front()).Rack);
    }
  }

  /// Returns the dominant share of the arrivals whose total size fits into the
  /// capacity, regardless of how they are placed.
  static double upperBound(const Resources &Capacity, std::uint64_t Seed,
                           bool Accelerators, WorkMix::Sizes Sizes) {
    WorkMix Mix(Seed, Accelerators, Sizes);
    Resources Sum;
    while (true) {
      const WorkArrival Arrival = Mix.draw();
      Resources Next = Sum;
      CHECK(Next.add(Arrival.Need.times(Arrival.Tasks).value()));
      if (!Next.fitsIn(Capacity))
        return Sum.dominantShareOf(Capacity);
      Sum = Next;
    }
  }

  void compare(const std::string &CellName, std::size_t Workers,
               std::size_t Domains, std::size_t Accelerators,
               WorkMix::Sizes Sizes, int Runs) {
    const std::vector<std::pair<std::string, PolicyFactory>> Policies = {
        {"index",
         [](std::uint64_t) { return std::make_unique<PlacementIndex>(); }},
        {"index without ratio bands",
         [](std::uint64_t) {
           PlacementRule Rule;
           Rule.ScarceWeight = 0;
           Rule.PlentifulWeight = 0;
           return std::make_unique<PlacementIndex>(Rule);
         }},
        {"first fit",
         [](std::uint64_t) { return std::make_unique<FirstFit>(); }},
        {"random",
         [](std::uint64_t Seed) { return std::make_unique<RandomFit>(Seed); }}};
    const auto AllWorkers = makeWorkers(Workers, Domains, Accelerators);
    for (const auto &[Name, CreatePolicy] : Policies) {
      BenchSamples Shares;
      BenchSamples ShareOfBound;
      BenchSamples Cpus;
      BenchSamples Memory;
      for (int Run = 0; Run < Runs; ++Run) {
        const std::uint64_t Seed = Seed_ + static_cast<std::uint64_t>(Run);
        const auto Policy = CreatePolicy(Seed);
        for (const PlacementWorker &Worker : AllWorkers)
          CHECK(Policy->addWorker(Worker));
        const double Bound =
            upperBound(Policy->totalCapacity(), Seed, Accelerators > 0, Sizes);
        const Resources Committed =
            fillUntilRefusal(*Policy, Seed, Accelerators > 0, Sizes);
        const Resources Total = Policy->totalCapacity();
        const double Share = Committed.dominantShareOf(Total);
        Cpus.add(Resources{Committed.CpusMilli, 0, 0}.dominantShareOf(Total));
        Memory.add(Resources{0, Committed.MemoryMb, 0}.dominantShareOf(Total));
        Shares.add(Share);
        ShareOfBound.add(Share / Bound);
      }
      printResult({{"bench", "packing"},
                   {"seed", Seed_},
                   {"cell", CellName},
                   {"sizes", WorkMix::name(Sizes)},
                   {"policy", Name},
                   {"runs", Runs},
                   {"fullness_mean", rounded(Shares.mean(), 4)},
                   {"cpus_mean", rounded(Cpus.mean(), 4)},
                   {"memory_mean", rounded(Memory.mean(), 4)},
                   {"of_bound_mean", rounded(ShareOfBound.mean(), 4)},
                   {"of_bound_min", rounded(ShareOfBound.minimum(), 4)}});
    }
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
