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

/// How much of a sequence of arrivals a cell takes before it refuses the first
/// one, relative to the bound: the point at which the summed sizes alone
/// exceed the summed capacity.
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
  using Make = std::function<std::unique_ptr<PlacementPolicy>(std::uint64_t)>;

  /// Dominant share of the capacity taken by the arrivals before the refusal.
  static Resources fillUntilRefusal(PlacementPolicy &Policy, std::uint64_t Seed,
                                    bool Accelerators, WorkMix::Sizes Sizes) {
    WorkMix Mix(Seed, Accelerators, Sizes);
    std::map<int, std::set<std::string>> ServiceRacks;
    while (true) {
      const MixItem Item = Mix.draw();
      PlacementRequest Request{.Need = Item.Need};
      if (Item.Service >= 0)
        Request.AvoidedRacks = ServiceRacks[Item.Service];
      const auto Placed = Policy.placeGang(Request, Item.Tasks);
      if (!Placed)
        return Policy.totalCommitted();
      if (Item.Service >= 0)
        ServiceRacks[Item.Service].insert(Policy.worker(Placed->front()).Rack);
    }
  }

  static double bound(const Resources &Capacity, std::uint64_t Seed,
                      bool Accelerators, WorkMix::Sizes Sizes) {
    WorkMix Mix(Seed, Accelerators, Sizes);
    Resources Sum;
    while (true) {
      const MixItem Item = Mix.draw();
      Resources Next = Sum;
      CHECK(Next.add(Item.Need.times(Item.Tasks).value()));
      if (!Next.fitsIn(Capacity))
        return Sum.dominantShareOf(Capacity);
      Sum = Next;
    }
  }

  void compare(const std::string &Cell, std::size_t Workers,
               std::size_t Domains, std::size_t Accelerators,
               WorkMix::Sizes Sizes, int Runs) {
    const std::vector<std::pair<std::string, Make>> Policies = {
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
    const auto All = makeWorkers(Workers, Domains, Accelerators);
    for (const auto &[Name, Create] : Policies) {
      BenchSamples Fullness;
      BenchSamples OfBound;
      BenchSamples Cpus;
      BenchSamples Memory;
      for (int Run = 0; Run < Runs; ++Run) {
        const std::uint64_t Seed = Seed_ + static_cast<std::uint64_t>(Run);
        const auto Policy = Create(Seed);
        for (const PlacementWorker &Worker : All)
          CHECK(Policy->addWorker(Worker));
        const double Bound =
            bound(Policy->totalCapacity(), Seed, Accelerators > 0, Sizes);
        const Resources Taken =
            fillUntilRefusal(*Policy, Seed, Accelerators > 0, Sizes);
        const Resources Total = Policy->totalCapacity();
        const double Full = Taken.dominantShareOf(Total);
        Cpus.add(Resources{Taken.CpusMilli, 0, 0}.dominantShareOf(Total));
        Memory.add(Resources{0, Taken.MemoryMb, 0}.dominantShareOf(Total));
        Fullness.add(Full);
        OfBound.add(Full / Bound);
      }
      report({{"bench", "packing"},
              {"seed", Seed_},
              {"cell", Cell},
              {"sizes", WorkMix::name(Sizes)},
              {"policy", Name},
              {"runs", Runs},
              {"fullness_mean", rounded(Fullness.mean(), 4)},
              {"cpus_mean", rounded(Cpus.mean(), 4)},
              {"memory_mean", rounded(Memory.mean(), 4)},
              {"of_bound_mean", rounded(OfBound.mean(), 4)},
              {"of_bound_min", rounded(OfBound.minimum(), 4)}});
    }
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
