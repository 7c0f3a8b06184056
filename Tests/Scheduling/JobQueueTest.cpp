#include "Scheduling/JobQueue.h"

#include "Base/Random.h"
#include "Fakes/FakeTimerService.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Share ratios that a test sets.
class FixedShares final : public ShareRatios {
public:
  [[nodiscard]] double memberRatio(const std::string &Member) const override {
    const auto It = Members.find(Member);
    return It == Members.end() ? 0 : It->second;
  }
  [[nodiscard]] double teamRatio(const std::string &,
                                 const std::string &Team) const override {
    const auto It = Teams.find(Team);
    return It == Teams.end() ? 0 : It->second;
  }
  std::map<std::string, double> Members;
  std::map<std::string, double> Teams;
};

PendingWork work(std::string Key, std::uint32_t Priority = 100,
                 std::string Member = "m", std::string Team = "t") {
  return {.Key = std::move(Key),
          .Member = std::move(Member),
          .Team = std::move(Team),
          .Priority = Priority,
          .PerTask = {1000, 1024, 0}};
}

std::vector<std::string> dispatchAll(JobQueue &Queue) {
  std::vector<std::string> Keys;
  Queue.dispatch([&](const PendingWork &Work) {
    Keys.push_back(Work.Key);
    return PlacementOutcome::Placed;
  });
  return Keys;
}

/// Places one entry per second while work of higher priority always waits.
/// Returns true if the old entry is placed within the horizon.
bool isLowPriorityPlaced(std::uint64_t Seed, Clock::duration Ageing) {
  Random Numbers(Seed);
  FakeTimerService Timers;
  FixedShares Shares;
  JobQueue Queue(Timers, Shares, {.AgeingPerPoint = Ageing});
  // The competing work is of the same or of another team and member.
  const bool SameTeam = Numbers.below(2) == 0;
  const auto Gap = static_cast<std::uint32_t>(1 + Numbers.below(300));
  CPPUNIT_ASSERT(Queue.enqueue(work("old", 100, "a", "t0")).has_value());
  bool IsPlaced = false;
  int Next = 0;
  // Two levels of width 100 above the gap cover the rounding to levels.
  const auto Horizon = static_cast<int>(Gap + 200);
  for (int Second = 0; Second < Horizon && !IsPlaced; ++Second) {
    while (Queue.size() < 4) {
      const std::string Key = "new" + std::to_string(Next++);
      CPPUNIT_ASSERT(Queue
                         .enqueue(SameTeam ? work(Key, 100 + Gap, "a", "t0")
                                           : work(Key, 200 + Gap, "b", "t1"))
                         .has_value());
    }
    Queue.dispatch(
        [&](const PendingWork &Work) {
          IsPlaced = IsPlaced || Work.Key == "old";
          return PlacementOutcome::Placed;
        },
        1);
    Timers.advance(1s);
  }
  return IsPlaced;
}

/// Simulates a worker with 8 units of capacity and a queue that always holds
/// short single-unit tasks. Returns the time until a gang that needs all 8
/// units starts, or nothing if it does not start within Limit.
std::optional<Clock::duration> gangWait(JobQueueOptions Options,
                                        Clock::duration Limit) {
  FakeTimerService Timers;
  FixedShares Shares;
  JobQueue Queue(Timers, Shares, Options);
  std::vector<Clock::time_point> Ends;
  Ends.reserve(8);
  int Next = 0;
  const Clock::time_point Start = Timers.now();
  PendingWork Gang = work("gang");
  Gang.Tasks = 8;
  Gang.EstimatedRun = 5s;
  const auto Refill = [&] {
    while (Queue.size() < 20) {
      PendingWork Small = work("small" + std::to_string(Next++));
      Small.EstimatedRun = 3s;
      CPPUNIT_ASSERT(Queue.enqueue(Small).has_value());
    }
  };
  // The small tasks run before the gang arrives and end at different times, so
  // that the gang never fits by chance.
  for (int Unit = 0; Unit < 8; ++Unit)
    Ends.push_back(Timers.now() + (Unit + 1) * 375ms);
  CPPUNIT_ASSERT(Queue.enqueue(Gang).has_value());
  while (Timers.now() - Start < Limit) {
    Refill();
    std::erase_if(Ends, [&](auto End) { return End <= Timers.now(); });
    bool Started = false;
    Queue.dispatch([&](const PendingWork &Work) {
      if (Ends.size() + Work.Tasks > 8)
        return PlacementOutcome::NoCapacity;
      Started = Started || Work.Tasks > 1;
      for (std::uint32_t Task = 0; Task < Work.Tasks; ++Task)
        Ends.push_back(Timers.now() + 3s);
      return PlacementOutcome::Placed;
    });
    if (Started)
      return Timers.now() - Start;
    Timers.advance(125ms);
  }
  return std::nullopt;
}

} // namespace

class JobQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobQueueTest);
  CPPUNIT_TEST(ordersByPriorityThenShareThenArrival);
  CPPUNIT_TEST(largeBacklogGivesNoAdvantage);
  CPPUNIT_TEST(agedWorkIsPlaced);
  CPPUNIT_TEST(testDetectsMissingAgeing);
  CPPUNIT_TEST(gangWaitIsBounded);
  CPPUNIT_TEST(testDetectsMissingReservation);
  CPPUNIT_TEST(unplaceableWorkDoesNotBlockOtherWork);
  CPPUNIT_TEST(massCancellationKeepsOrderOfRemainingWork);
  CPPUNIT_TEST(fullQueueEvictsLeastUrgent);
  CPPUNIT_TEST(acceptedWorkIsNeverEvicted);
  CPPUNIT_TEST(expiredWorkIsNotPlaced);
  CPPUNIT_TEST(unfitSizeIsTriedOncePerRound);
  CPPUNIT_TEST(nextAgreesWithDispatch);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against urgent work that waits behind batch work.
  void ordersByPriorityThenShareThenArrival() {
    FakeTimerService Timers;
    FixedShares Shares;
    Shares.Members = {{"a", 0.9}, {"b", 0.2}};
    Shares.Teams = {{"t0", 0.5}, {"t1", 0.1}};
    JobQueue Queue(Timers, Shares);
    const std::vector<PendingWork> Arrivals = {
        work("a-first", 100, "a", "t0"), work("a-second", 100, "a", "t0"),
        work("a-other-team", 100, "a", "t1"), work("b-late", 100, "b", "t0"),
        work("a-urgent", 1000, "a", "t0")};
    for (const PendingWork &Work : Arrivals) {
      CPPUNIT_ASSERT(Queue.enqueue(Work).has_value());
      Timers.advance(10ms);
    }
    CPPUNIT_ASSERT(
        dispatchAll(Queue) ==
        (std::vector<std::string>{"a-urgent", "b-late", "a-other-team",
                                  "a-first", "a-second"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Queue.laneCount());
  }

  // Guards against a member that gains an advantage from a large backlog.
  void largeBacklogGivesNoAdvantage() {
    FakeTimerService Timers;
    FixedShares Shares;
    Shares.Members = {{"greedy", 1.5}, {"modest", 0.5}};
    JobQueue Queue(Timers, Shares);
    for (int Number = 0; Number < 100; ++Number)
      CPPUNIT_ASSERT(
          Queue.enqueue(work("g" + std::to_string(Number), 100, "greedy", "t"))
              .has_value());
    // Work of the greedy member is placed for an hour.
    for (int Minute = 0; Minute < 60; ++Minute) {
      Queue.dispatch(
          [](const PendingWork &) { return PlacementOutcome::Placed; }, 1);
      Timers.advance(1min);
    }
    CPPUNIT_ASSERT(Queue.enqueue(work("late", 100, "modest", "t")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("late"), Queue.next()->Key);
  }

  // Guards against starvation by a steady stream of more urgent work.
  void agedWorkIsPlaced() {
    CPPUNIT_ASSERT(rc::check("aged work is served", [](std::uint64_t Seed) {
      RC_ASSERT(isLowPriorityPlaced(Seed, 1s));
    }));
  }

  void testDetectsMissingAgeing() {
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed)
      CPPUNIT_ASSERT(!isLowPriorityPlaced(Seed, 0s));
  }

  // Guards against a gang that small tasks overtake forever. Window and
  // reservation bound its wait; the last small task may run 3 s longer than the
  // reservation.
  void gangWaitIsBounded() {
    const auto Wait = gangWait({.BackfillWindow = 10s, .Reservation = 20s},
                               std::chrono::hours(1));
    CPPUNIT_ASSERT(Wait.has_value());
    CPPUNIT_ASSERT(*Wait <= 10s + 20s + 3s);
  }

  void testDetectsMissingReservation() {
    CPPUNIT_ASSERT(!gangWait({.BackfillWindow = std::chrono::hours(100)},
                             std::chrono::hours(1))
                        .has_value());
  }

  // Guards against work that can never be placed and blocks all other work.
  void unplaceableWorkDoesNotBlockOtherWork() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares,
                   {.BackfillWindow = 10s,
                    .Reservation = 20s,
                    .MaximumReservation = 40s,
                    .ReservationCooldown = 30s});
    PendingWork Impossible = work("impossible");
    Impossible.PerTask.CpusMilli = 1000000;
    CPPUNIT_ASSERT(Queue.enqueue(Impossible).has_value());
    int PlacedCount = 0;
    int Next = 0;
    Clock::time_point LastPlaced = Timers.now();
    Clock::duration LongestGap{0};
    int SecondsWithPlacement = 0;
    for (int Second = 0; Second < 3600; ++Second) {
      PendingWork Long = work("long" + std::to_string(Next++));
      Long.EstimatedRun = std::chrono::hours(1);
      CPPUNIT_ASSERT(Queue.enqueue(Long).has_value());
      const int Before = PlacedCount;
      Queue.dispatch([&](const PendingWork &Work) {
        if (Work.PerTask.CpusMilli > 32000)
          return PlacementOutcome::NoCapacity;
        ++PlacedCount;
        LongestGap = std::max(LongestGap, Timers.now() - LastPlaced);
        LastPlaced = Timers.now();
        return PlacementOutcome::Placed;
      });
      SecondsWithPlacement += PlacedCount > Before ? 1 : 0;
      Timers.advance(1s);
    }
    CPPUNIT_ASSERT(PlacedCount > 3500);
    CPPUNIT_ASSERT(LongestGap <= 41s);
    // Window and cooldown together are as long as the longest reservation.
    CPPUNIT_ASSERT(SecondsWithPlacement >= 3600 / 2 - 40);
  }

  // Guards against mass cancellations that reorder the remaining work, or after
  // which cancelled work is placed.
  void massCancellationKeepsOrderOfRemainingWork() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares);
    JobQueue Reference(Timers, Shares);
    Random Numbers(7);
    std::vector<std::string> Cancelled;
    for (int Number = 0; Number < 20000; ++Number) {
      const PendingWork Work =
          work("k" + std::to_string(Number),
               static_cast<std::uint32_t>(100 + 100 * Numbers.below(3)), "m",
               "t" + std::to_string(Numbers.below(5)));
      CPPUNIT_ASSERT(Queue.enqueue(Work).has_value());
      if (Number % 2 == 0)
        Cancelled.push_back(Work.Key);
      else
        CPPUNIT_ASSERT(Reference.enqueue(Work).has_value());
      Timers.advance(1ms);
    }
    Queue.cancel(Cancelled);
    // Some work is placed before all cancelled work has been removed.
    std::vector<std::string> Order;
    Queue.dispatch(
        [&](const PendingWork &Work) {
          Order.push_back(Work.Key);
          return PlacementOutcome::Placed;
        },
        100);
    std::size_t Taken = 0;
    while (true) {
      const auto Batch = Queue.takeCancelled();
      CPPUNIT_ASSERT(Batch.size() <= 256);
      if (Batch.empty())
        break;
      Taken += Batch.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(10000), Taken);
    const auto Rest = dispatchAll(Queue);
    Order.insert(Order.end(), Rest.begin(), Rest.end());
    CPPUNIT_ASSERT(Order == dispatchAll(Reference));
  }

  // Guards against urgent work that is rejected while the queue is full of less
  // urgent work.
  void fullQueueEvictsLeastUrgent() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares, {.MaximumSize = 3});
    for (const auto &[Key, Priority] :
         std::vector<std::pair<std::string, std::uint32_t>>{
             {"early", 100}, {"late", 100}, {"medium", 200}}) {
      CPPUNIT_ASSERT(Queue.enqueue(work(Key, Priority)).has_value());
      Timers.advance(1s);
    }
    const auto Refused = Queue.enqueue(work("equal", 100));
    CPPUNIT_ASSERT(!Refused && Refused.error().Code == ErrorCode::Overloaded);
    CPPUNIT_ASSERT(Refused.error().RetryAfter.has_value());
    const auto Admitted = Queue.enqueue(work("urgent", 1000));
    CPPUNIT_ASSERT(Admitted && *Admitted);
    CPPUNIT_ASSERT_EQUAL(std::string("late"), (*Admitted)->Key);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Queue.size());
    CPPUNIT_ASSERT(Queue.find("late") == nullptr);
  }

  // Guards against the eviction of work whose acceptance was confirmed to the
  // caller.
  void acceptedWorkIsNeverEvicted() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares, {.MaximumSize = 1});
    PendingWork Kept = work("kept", 1);
    Kept.Evictable = false;
    CPPUNIT_ASSERT(Queue.enqueue(Kept).has_value());
    CPPUNIT_ASSERT(!Queue.enqueue(work("urgent", 1000)).has_value());
    CPPUNIT_ASSERT(Queue.find("kept") != nullptr);
  }

  // Guards against placing work after its deadline, when the caller no longer
  // waits.
  void expiredWorkIsNotPlaced() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares);
    PendingWork Short = work("short");
    Short.Deadline = Timers.now() + 5s;
    CPPUNIT_ASSERT(Queue.enqueue(Short).has_value());
    CPPUNIT_ASSERT(Queue.enqueue(work("open")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Queue.next()->Key);
    Timers.advance(5s);
    CPPUNIT_ASSERT_EQUAL(std::string("open"), Queue.next()->Key);
    const auto Expired = Queue.takeExpired();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Expired.size());
    CPPUNIT_ASSERT(dispatchAll(Queue) == std::vector<std::string>{"open"});
  }

  // Guards against dispatch rounds whose cost grows with the number of tasks of
  // equal size.
  void unfitSizeIsTriedOncePerRound() {
    FakeTimerService Timers;
    FixedShares Shares;
    JobQueue Queue(Timers, Shares);
    for (int Number = 0; Number < 1000; ++Number)
      CPPUNIT_ASSERT(Queue
                         .enqueue(work("k" + std::to_string(Number), 100, "m",
                                       "t" + std::to_string(Number % 7)))
                         .has_value());
    int Offers = 0;
    Queue.dispatch([&](const PendingWork &) {
      ++Offers;
      return PlacementOutcome::NoCapacity;
    });
    CPPUNIT_ASSERT_EQUAL(1, Offers);
  }

  // Guards against a next() that differs from the order of dispatch().
  void nextAgreesWithDispatch() {
    CPPUNIT_ASSERT(
        rc::check("next is dispatched first", [](std::uint64_t Seed) {
          Random Numbers(Seed);
          FakeTimerService Timers;
          FixedShares Shares;
          for (int Member = 0; Member < 3; ++Member)
            Shares.Members["m" + std::to_string(Member)] = Numbers.unit() * 2;
          JobQueue Queue(Timers, Shares);
          for (int Number = 0; Number < 60; ++Number) {
            PendingWork Work =
                work("k" + std::to_string(Number),
                     static_cast<std::uint32_t>(100 * (1 + Numbers.below(10))),
                     "m" + std::to_string(Numbers.below(3)),
                     "t" + std::to_string(Numbers.below(3)));
            Work.PerTask.CpusMilli = 1000 * (1 + Numbers.below(3));
            RC_ASSERT(Queue.enqueue(Work).has_value());
            Timers.advance(std::chrono::seconds(Numbers.below(100)));
          }
          while (Queue.size() > 0) {
            const std::string Expected = Queue.next()->Key;
            std::string Offered;
            Queue.dispatch(
                [&](const PendingWork &Work) {
                  Offered = Work.Key;
                  return PlacementOutcome::Placed;
                },
                1);
            RC_ASSERT(Offered == Expected);
          }
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobQueueTest);

} // namespace hickory
