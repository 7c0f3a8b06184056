#pragma once

#include "Base/Random.h"
#include "Bench/BenchResult.h"
#include "Fakes/FakeTimerService.h"
#include "Scheduling/FairShare.h"
#include "Scheduling/JobQueue.h"

#include <glog/logging.h>

namespace hickory {

/// Measures the time of JobQueue operations with the planned number of teams.
class QueueBench {
public:
  QueueBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    for (const std::size_t Size : {1000UL, 10000UL, 100000UL})
      measure(Size);
  }

private:
  static constexpr std::uint64_t Teams = 77;

  void measure(std::size_t Size) {
    Random RandomSource(Seed_);
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal({504000000, 1720320000, 39000});
    JobQueue Queue(Timers, Shares, {.MaximumSize = Size + 1});
    BenchSamples EnqueueUs;
    BenchSamples DispatchOne;
    BenchSamples DispatchRound;
    BenchSamples CancelTurn;
    std::uint64_t NextKey = 0;
    std::vector<std::string> Keys;
    const auto FillQueue = [&](BenchSamples *Samples) {
      while (Queue.size() < Size) {
        const std::uint64_t Team = RandomSource.below(Teams);
        PendingWork Work{
            .Key = "k" + std::to_string(NextKey++),
            .Member = "m" + std::to_string(Team % 8),
            .Team = "t" + std::to_string(Team),
            .Priority =
                static_cast<std::uint32_t>(100 * (1 + RandomSource.below(3))),
            .PerTask = {1000 * (1 + RandomSource.below(6)), 4096, 0}};
        Keys.push_back(Work.Key);
        Timers.advance(std::chrono::milliseconds(1));
        const Clock::time_point Before = Clock::now();
        CHECK(Queue.enqueue(std::move(Work)));
        if (Samples != nullptr)
          Samples->add(toMicroseconds(Clock::now() - Before));
      }
    };
    const auto Place = [&](const PendingWork &Work) {
      Shares.acquire(Work.Member, Work.Team, Work.PerTask);
      return PlacementOutcome::Placed;
    };
    FillQueue(&EnqueueUs);
    const std::size_t LaneCount = Queue.laneCount();
    for (int Count = 0; Count < (Quick_ ? 200 : 2000); ++Count) {
      Clock::time_point Before = Clock::now();
      Queue.dispatch(Place, 1);
      DispatchOne.add(toMicroseconds(Clock::now() - Before));
      Before = Clock::now();
      Queue.dispatch(Place, 64);
      DispatchRound.add(toMicroseconds(Clock::now() - Before) / 64);
      FillQueue(nullptr);
    }
    std::vector<std::string> CancelledKeys(
        Keys.end() - static_cast<std::ptrdiff_t>(Size / 2), Keys.end());
    const Clock::time_point Before = Clock::now();
    Queue.cancel(CancelledKeys);
    const double MarkingUs = toMicroseconds(Clock::now() - Before);
    while (true) {
      const Clock::time_point Start = Clock::now();
      if (Queue.takeCancelled().empty())
        break;
      CancelTurn.add(toMicroseconds(Clock::now() - Start));
    }
    printResult(
        {{"bench", "queue"},
         {"seed", Seed_},
         {"size", Size},
         {"lanes", LaneCount},
         {"enqueue_p50_us", rounded(EnqueueUs.quantile(0.5), 2)},
         {"enqueue_p99_us", rounded(EnqueueUs.quantile(0.99), 2)},
         {"dispatch_one_p50_us", rounded(DispatchOne.quantile(0.5), 1)},
         {"dispatch_one_p99_us", rounded(DispatchOne.quantile(0.99), 1)},
         {"dispatch_64_per_task_p50_us",
          rounded(DispatchRound.quantile(0.5), 2)},
         {"cancelled", CancelledKeys.size()},
         {"cancel_marking_us", rounded(MarkingUs, 0)},
         {"cancel_turn_of_256_p50_us", rounded(CancelTurn.quantile(0.5), 1)},
         {"cancel_turn_of_256_max_us", rounded(CancelTurn.maximum(), 1)}});
  }

  static double toMicroseconds(Clock::duration Duration) {
    return std::chrono::duration<double, std::micro>(Duration).count();
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
