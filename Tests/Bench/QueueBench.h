#pragma once

#include "Base/Random.h"
#include "Bench/BenchResult.h"
#include "Fakes/FakeTimerService.h"
#include "Scheduling/FairShare.h"
#include "Scheduling/JobQueue.h"

#include <glog/logging.h>

namespace hickory {

/// Time of queue operations with the planned number of teams.
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
    Random Numbers(Seed_);
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal({504000000, 1720320000, 39000});
    JobQueue Queue(Timers, Shares, {.MaximumSize = Size + 1});
    BenchSamples Enqueue;
    BenchSamples One;
    BenchSamples Round;
    BenchSamples Cancel;
    std::uint64_t Next = 0;
    std::vector<std::string> Keys;
    const auto Fill = [&](BenchSamples *Into) {
      while (Queue.size() < Size) {
        const std::uint64_t Team = Numbers.below(Teams);
        PendingWork Work{.Key = "k" + std::to_string(Next++),
                         .Member = "m" + std::to_string(Team % 8),
                         .Team = "t" + std::to_string(Team),
                         .Priority = static_cast<std::uint32_t>(
                             100 * (1 + Numbers.below(3))),
                         .PerTask = {1000 * (1 + Numbers.below(6)), 4096, 0}};
        Keys.push_back(Work.Key);
        Timers.advance(std::chrono::milliseconds(1));
        const Clock::time_point Before = Clock::now();
        CHECK(Queue.enqueue(std::move(Work)));
        if (Into != nullptr)
          Into->add(micros(Clock::now() - Before));
      }
    };
    const auto Place = [&](const PendingWork &Work) {
      Shares.acquire(Work.Member, Work.Team, Work.PerTask);
      return PlacementOutcome::Placed;
    };
    Fill(&Enqueue);
    const std::size_t Lanes = Queue.laneCount();
    for (int Count = 0; Count < (Quick_ ? 200 : 2000); ++Count) {
      Clock::time_point Before = Clock::now();
      Queue.dispatch(Place, 1);
      One.add(micros(Clock::now() - Before));
      Before = Clock::now();
      Queue.dispatch(Place, 64);
      Round.add(micros(Clock::now() - Before) / 64);
      Fill(nullptr);
    }
    std::vector<std::string> Wave(
        Keys.end() - static_cast<std::ptrdiff_t>(Size / 2), Keys.end());
    const Clock::time_point Before = Clock::now();
    Queue.cancel(Wave);
    const double Marking = micros(Clock::now() - Before);
    while (true) {
      const Clock::time_point Start = Clock::now();
      if (Queue.takeCancelled().empty())
        break;
      Cancel.add(micros(Clock::now() - Start));
    }
    report({{"bench", "queue"},
            {"seed", Seed_},
            {"size", Size},
            {"lanes", Lanes},
            {"enqueue_p50_us", rounded(Enqueue.quantile(0.5), 2)},
            {"enqueue_p99_us", rounded(Enqueue.quantile(0.99), 2)},
            {"dispatch_one_p50_us", rounded(One.quantile(0.5), 1)},
            {"dispatch_one_p99_us", rounded(One.quantile(0.99), 1)},
            {"dispatch_64_per_task_p50_us", rounded(Round.quantile(0.5), 2)},
            {"cancelled", Wave.size()},
            {"cancel_marking_us", rounded(Marking, 0)},
            {"cancel_turn_of_256_p50_us", rounded(Cancel.quantile(0.5), 1)},
            {"cancel_turn_of_256_max_us", rounded(Cancel.maximum(), 1)}});
  }

  static double micros(Clock::duration Time) {
    return std::chrono::duration<double, std::micro>(Time).count();
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
