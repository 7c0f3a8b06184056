#include "Cell/Placement.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Workers of 32 processors in racks of 8 workers, with the given free
/// capacity.
struct TestWorkers {
  explicit TestWorkers(const std::vector<std::uint64_t> &FreeCpus) {
    Entries.reserve(FreeCpus.size());
    for (std::size_t I = 0; I < FreeCpus.size(); ++I) {
      Entries.push_back({.Id = fmt::format("w{:02}", I),
                         .Capacity = {.CpusMilli = 32000, .MemoryMb = 131072},
                         .Rack = fmt::format("r{}", I / 8)});
      Candidates.push_back(
          {.Worker = &Entries.back(),
           .Free = {.CpusMilli = FreeCpus[I], .MemoryMb = 131072}});
    }
  }
  std::vector<WorkerEntry> Entries;
  std::vector<Candidate> Candidates;
};

StepSpec stepOf(int Count, std::uint64_t Cpus, bool Gang = false) {
  return {.Count = Count,
          .Demand = {.CpusMilli = Cpus, .MemoryMb = 1000},
          .Gang = Gang};
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(testGangIsPlacedWholeOrNotAtAll);
  CPPUNIT_TEST(testSmallTasksFillTheFullestWorkers);
  CPPUNIT_TEST(testSameRackGangIsPlacedInOneRack);
  CPPUNIT_TEST(testAntiAffinityLimitsTasksOfOneWorker);
  CPPUNIT_TEST(testOnlyUrgentQueuesUseTheHeadroom);
  CPPUNIT_TEST(testTaskOfAWholeWorkerFitsOnAnEmptyOne);
  CPPUNIT_TEST(testAsksAboutEnoughWorkersForTheGoodShare);
  CPPUNIT_TEST(testAsksOnceForAGangThatDoesNotFit);
  CPPUNIT_TEST(testDoesNotAskForGangThatNeverFits);
  CPPUNIT_TEST(testDoesNotAskAboutRefusedWorkers);
  CPPUNIT_TEST(testDoesNotAskAgainWhileTicketsHold);
  CPPUNIT_TEST(testAsksAboutOtherWorkersForTheRestOfAStep);
  CPPUNIT_TEST(testLearnsOnlyAboutWorkersWithoutAdvice);
  CPPUNIT_TEST(testLearnsWhileKnownGoodWorkersDoNotFitAWideGang);
  CPPUNIT_TEST(testTasksLeaveRoomToWaitingGangs);
  CPPUNIT_TEST(testStopsLearningOnceEnoughWorkersAreKnown);
  CPPUNIT_TEST(testSecondCallOfAWideGangAsksAboutOtherWorkers);
  CPPUNIT_TEST(testBurstOfSmallTasksLeavesCapacityForGangs);
  CPPUNIT_TEST(testDropsSuspectWorkersOnlyWhileTheyAreFew);
  CPPUNIT_TEST(testGangsPlacedAtTheSameTimeRarelyMeet);
  CPPUNIT_TEST(propertyPlacementsNeverExceedCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  void testGangIsPlacedWholeOrNotAtAll() {
    const TestWorkers Workers({9000, 18000, 9000});
    const StepSpec Fits = stepOf(4, 9000, true);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(4),
        placeStep({.Step = &Fits, .Count = 4}, Workers.Candidates).size());
    const StepSpec TooWide = stepOf(5, 9000, true);
    CPPUNIT_ASSERT(
        placeStep({.Step = &TooWide, .Count = 5}, Workers.Candidates).empty());
  }

  void testSmallTasksFillTheFullestWorkers() {
    const TestWorkers Workers({32000, 4000, 32000});
    const StepSpec Small = stepOf(2, 2000);
    const auto Chosen =
        placeStep({.Step = &Small, .Count = 2}, Workers.Candidates);
    CPPUNIT_ASSERT((std::vector<std::size_t>{1, 1}) == Chosen);
  }

  void testSameRackGangIsPlacedInOneRack() {
    // The worker with the most free capacity is in the first rack, but only the
    // second rack fits the whole gang.
    std::vector<std::uint64_t> Free(16, 0);
    Free[0] = 32000;
    Free[8] = 18000;
    Free[9] = 18000;
    Free[10] = 18000;
    const TestWorkers Workers(Free);
    StepSpec Gang = stepOf(6, 9000, true);
    Gang.SameRack = true;
    for (const std::size_t I :
         placeStep({.Step = &Gang, .Count = 6}, Workers.Candidates))
      CPPUNIT_ASSERT_EQUAL(std::string("r1"), Workers.Entries[I].Rack);
  }

  void testAntiAffinityLimitsTasksOfOneWorker() {
    TestWorkers Workers({32000, 32000});
    Workers.Candidates[0].AlreadyPlaced = 1;
    StepSpec Step = stepOf(5, 1000);
    Step.MaximumPerWorker = 2;
    std::map<std::size_t, int> Counts;
    for (const std::size_t I :
         placeStep({.Step = &Step, .Count = 5}, Workers.Candidates))
      ++Counts[I];
    CPPUNIT_ASSERT_EQUAL(1, Counts[0]);
    CPPUNIT_ASSERT_EQUAL(2, Counts[1]);
  }

  void testOnlyUrgentQueuesUseTheHeadroom() {
    const Resources Small{.CpusMilli = 500, .MemoryMb = 100};
    const Resources All{.CpusMilli = 32000, .MemoryMb = 131072};
    const PlacementOptions Options{.UrgentHeadroom = 0.1};
    CPPUNIT_ASSERT(headroomOf(All, Small, 0, Options).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3200),
                         headroomOf(All, Small, 1, Options).CpusMilli);
  }

  // Guards against a task that fits on no worker since it needs a part of the
  // headroom of an empty one (review/10).
  void testTaskOfAWholeWorkerFitsOnAnEmptyOne() {
    const Resources All{.CpusMilli = 32000, .MemoryMb = 131072};
    const PlacementOptions Options{.UrgentHeadroom = 0.1};
    TestWorkers Workers({32000});
    for (const std::uint64_t Cpus : {28000, 29000, 31000, 32000, 33000}) {
      const StepSpec Step = stepOf(1, Cpus);
      const PlacementNeed Need{.Step = &Step, .Count = 1};
      Candidate &Worker = Workers.Candidates[0];
      Worker.Headroom = headroomOf(All, Step.Demand, 1, Options);
      Worker.Free = All.minusClamped(Worker.Headroom);
      CPPUNIT_ASSERT_EQUAL(Cpus <= 32000 ? 1 : 0, slotsOn(Need, Worker));
      CPPUNIT_ASSERT_EQUAL(Cpus <= 32000 ? 1 : 0, slotsWhenEmpty(Need, Worker));
    }
    // A gang does not wait for the headroom of its queue either.
    const StepSpec Half = stepOf(2, 16000, true);
    const PlacementNeed Need{.Step = &Half, .Count = 2};
    Workers.Candidates[0].Headroom = headroomOf(All, Half.Demand, 1, Options);
    CPPUNIT_ASSERT_EQUAL(1, slotsWhenEmpty(Need, Workers.Candidates[0]));
  }

  void testAsksAboutEnoughWorkersForTheGoodShare() {
    const TestWorkers Workers(std::vector<std::uint64_t>(400, 9000));
    for (const bool Gang : {false, true}) {
      const StepSpec Step = stepOf(6, 9000, Gang);
      const PlacementNeed Need{.Step = &Step, .Count = 6};
      const auto Asked = [&](double GoodShare) {
        const auto Chosen =
            Gang ? chooseWorkersToLearn(Need, Workers.Candidates, {}, GoodShare)
                 : chooseWorkersToAsk(Need, Workers.Candidates, {}, GoodShare,
                                      {});
        return Chosen.size();
      };
      CPPUNIT_ASSERT(static_cast<double>(Asked(0.3)) * 0.3 >= 6);
      CPPUNIT_ASSERT(Asked(0.9) < Asked(0.3));
    }
  }

  // A call about a gang occupies a channel for half a second or more. Whether a
  // worker is good does not change, so that each is asked about once, however
  // long the gang waits.
  void testAsksOnceForAGangThatDoesNotFit() {
    const TestWorkers Workers(std::vector<std::uint64_t>(5, 9000));
    const StepSpec Gang = stepOf(6, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 6};
    StepAdvice Collected;
    const auto Asked =
        chooseWorkersToLearn(Need, Workers.Candidates, Collected, 0.9);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Asked.size());
    Advice Reply;
    for (const std::string &Worker : Asked)
      Reply.Good.push_back({.Worker = Worker, .Text = "ticket"});
    Collected.apply(Asked, Reply, {});
    CPPUNIT_ASSERT(
        chooseWorkersToLearn(Need, Workers.Candidates, Collected, 0.9).empty());
    const TestWorkers WithCapacity(std::vector<std::uint64_t>(5, 18000));
    CPPUNIT_ASSERT(
        chooseWorkersToLearn(Need, WithCapacity.Candidates, Collected, 0.9)
            .empty());
  }

  void testDoesNotAskForGangThatNeverFits() {
    const TestWorkers Workers(std::vector<std::uint64_t>(2, 9000));
    const StepSpec Gang = stepOf(7, 9000, true);
    CPPUNIT_ASSERT(chooseWorkersToLearn({.Step = &Gang, .Count = 7},
                                        Workers.Candidates, {}, 0.9)
                       .empty());
  }

  void testDoesNotAskAboutRefusedWorkers() {
    const TestWorkers Workers({9000, 9000, 9000});
    const StepSpec Step = stepOf(1, 1000);
    StepAdvice Collected;
    Collected.apply({"w00", "w01"}, {.Good = {{.Worker = "w01", .Text = "t"}}},
                    {});
    CPPUNIT_ASSERT((std::vector<std::string>{"w01", "w02"}) ==
                   chooseWorkersToAsk({.Step = &Step, .Count = 1},
                                      Workers.Candidates, Collected, 0.4,
                                      Clock::time_point(1s)));
  }

  // Guards against a waiting step that asks about all workers repeatedly and
  // occupies a channel each time.
  void testDoesNotAskAgainWhileTicketsHold() {
    const TestWorkers Workers({9000, 9000, 9000, 9000});
    const StepSpec Step = stepOf(4, 9000);
    const PlacementNeed Need{.Step = &Step, .Count = 4};
    StepAdvice Collected;
    Collected.apply({"w00", "w01"},
                    {.Good = {{.Worker = "w00", .Text = "a"},
                              {.Worker = "w01", .Text = "b"}},
                     .Validity = 2s},
                    {});
    const auto Ask = [&](Clock::duration ValidUntil) {
      return chooseWorkersToAsk(Need, Workers.Candidates, Collected, 1.0,
                                Clock::time_point(ValidUntil));
    };
    CPPUNIT_ASSERT((std::vector<std::string>{"w02", "w03"}) == Ask(1s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Ask(3s).size());
  }

  void testDropsSuspectWorkersOnlyWhileTheyAreFew() {
    TestWorkers Workers({9000, 9000, 9000});
    Workers.Candidates[1].Suspect = true;
    auto Few = Workers.Candidates;
    dropSuspects(Few);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Few.size());
    Workers.Candidates[2].Suspect = true;
    auto Many = Workers.Candidates;
    dropSuspects(Many);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Many.size());
  }

  // Tasks of a step are left over when the capacity of the workers with tickets
  // is used up.
  void testAsksAboutOtherWorkersForTheRestOfAStep() {
    const TestWorkers Workers({9000, 9000});
    const StepSpec Step = stepOf(3, 5000);
    StepAdvice Collected;
    Collected.apply({"w00"},
                    {.Good = {{.Worker = "w00", .Text = "a"}}, .Validity = 2s},
                    {});
    CPPUNIT_ASSERT((std::vector<std::string>{"w01"}) ==
                   chooseWorkersToAsk({.Step = &Step, .Count = 2},
                                      Workers.Candidates, Collected, 0.5,
                                      Clock::time_point(1s)));
  }

  // Guards against a wide gang whose calls are spent on workers that are known
  // already, while those known to be good don't fit it.
  void testLearnsOnlyAboutWorkersWithoutAdvice() {
    std::vector<std::uint64_t> Free(300, 27000);
    StepAdvice Collected;
    std::vector<std::string> Known;
    Advice Expired{.Validity = 2s};
    for (std::size_t I = 0; I < 60; ++I) {
      Free[I] = 18000;
      Known.push_back(fmt::format("w{:02}", I));
      Expired.Good.push_back({.Worker = Known.back(), .Text = "a"});
    }
    Collected.apply(Known, Expired, {});
    const TestWorkers Workers(Free);
    const StepSpec Gang = stepOf(130, 9000, true);
    const auto Asked = chooseWorkersToLearn({.Step = &Gang, .Count = 130},
                                            Workers.Candidates, Collected, 0.3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Asked.size());
    CPPUNIT_ASSERT(std::ranges::none_of(Asked, [&](const std::string &Worker) {
      return Collected.isGood(Worker);
    }));
  }

  // Guards against small tasks that take each piece that a more urgent gang
  // waits for, and against tasks that never start while gangs wait.
  void testTasksLeaveRoomToWaitingGangs() {
    const Resources Capacity{.CpusMilli = 32000, .MemoryMb = 131072};
    const auto Usable = [&](std::uint64_t Demand, std::uint64_t Free,
                            std::uint64_t UsedByTasks) {
      return freeBesideWaitingGangs(
                 {.CpusMilli = Demand}, {.CpusMilli = Free}, Capacity,
                 UsedByTasks, {.WaitingGangShare = 0.5, .TaskFloor = 0.25})
          .CpusMilli;
    };
    // Up to the floor, whatever is free.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000), Usable(1000, 12000, 3000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2000), Usable(1000, 2000, 3000));
    // Beyond it, only what leaves half of the worker free.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Usable(1000, 12000, 9000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000), Usable(1000, 20000, 9000));
    // A task that exceeds the floor starts on a worker without tasks.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(31000), Usable(31000, 31000, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(16000), Usable(31000, 32000, 1000));
  }

  // Guards against gangs on a full cell that ask about each worker with a free
  // slot, in small calls, so that no channel is left for calls for tickets.
  void testStopsLearningOnceEnoughWorkersAreKnown() {
    std::vector<std::uint64_t> Free(60, 0);
    for (std::size_t I = 40; I < Free.size(); ++I)
      Free[I] = 9000;
    const TestWorkers Workers(Free);
    const StepSpec Gang = stepOf(10, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 10};
    StepAdvice Collected;
    const auto Learn = [&](std::size_t From, std::size_t To) {
      std::vector<std::string> Known;
      Advice Reply;
      for (std::size_t I = From; I < To; ++I) {
        Known.push_back(fmt::format("w{:02}", I));
        Reply.Good.push_back({.Worker = Known.back(), .Text = "a"});
      }
      Collected.apply(Known, Reply, {});
      return chooseWorkersToLearn(Need, Workers.Candidates, Collected, 0.3);
    };
    CPPUNIT_ASSERT(!Learn(0, 20).empty());
    // A few more slots are not worth a call.
    CPPUNIT_ASSERT(Learn(20, 30).empty());
    CPPUNIT_ASSERT(Learn(30, 40).empty());
  }

  // Guards against a wide gang that stops asking about workers without advice
  // when those known to be good fill a call but do not fit the gang.
  void testLearnsWhileKnownGoodWorkersDoNotFitAWideGang() {
    std::vector<std::uint64_t> Free(300, 27000);
    StepAdvice Collected;
    std::vector<std::string> Known;
    Advice Expired{.Validity = 2s};
    for (std::size_t I = 0; I < 100; ++I) {
      Free[I] = 9000;
      Known.push_back(fmt::format("w{:02}", I));
      Expired.Good.push_back({.Worker = Known.back(), .Text = "a"});
    }
    Collected.apply(Known, Expired, {});
    const TestWorkers Workers(Free);
    const StepSpec Gang = stepOf(110, 9000, true);
    const auto Asked = chooseWorkersToLearn({.Step = &Gang, .Count = 110},
                                            Workers.Candidates, Collected, 0.3);
    CPPUNIT_ASSERT(!Asked.empty());
    CPPUNIT_ASSERT(std::ranges::none_of(Asked, [&](const std::string &Worker) {
      return Collected.isGood(Worker);
    }));
  }

  // Guards against fragmentation: 120 tasks of 2 cores arrive on 48 workers,
  // half of them with 14 free cores and half empty, then a gang of 24 tasks of
  // 9 cores.
  void testBurstOfSmallTasksLeavesCapacityForGangs() {
    std::vector<std::uint64_t> Free(48, 32000);
    for (std::size_t I = 0; I < 24; ++I)
      Free[I] = 14000;
    TestWorkers Workers(Free);
    const StepSpec Small = stepOf(10, 2000);
    for (int Step = 0; Step < 12; ++Step)
      for (const std::size_t I :
           placeStep({.Step = &Small, .Count = 10}, Workers.Candidates))
        Workers.Candidates[I].Free.CpusMilli -= 2000;
    const StepSpec Gang = stepOf(24, 9000, true);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(24),
        placeStep({.Step = &Gang, .Count = 24}, Workers.Candidates).size());
  }

  void propertyPlacementsNeverExceedCapacity() {
    CPPUNIT_ASSERT(rc::check("placements fit", [] {
      const auto Free = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 32000));
      TestWorkers Workers(Free);
      const StepSpec Step = stepOf(*rc::gen::inRange(1, 30),
                                   *rc::gen::inRange<std::uint64_t>(1, 16000),
                                   *rc::gen::arbitrary<bool>());
      std::map<std::size_t, std::uint64_t> Used;
      const auto Chosen =
          placeStep({.Step = &Step, .Count = Step.Count}, Workers.Candidates);
      for (const std::size_t I : Chosen)
        Used[I] += Step.Demand.CpusMilli;
      for (const auto &[I, Cpus] : Used)
        RC_ASSERT(Cpus <= Free[I]);
      if (Step.Gang)
        RC_ASSERT(Chosen.empty() ||
                  Chosen.size() == static_cast<std::size_t>(Step.Count));
    }));
  }

  // Guards against gangs that prevent each other from starting: 18 processes
  // that place at the same time, with the same view, chose the same few of
  // 1,100 workers, and all but one were rejected, again and again.
  void testGangsPlacedAtTheSameTimeRarelyMeet() {
    constexpr int Gangs = 18;
    TestWorkers Workers(std::vector<std::uint64_t>(1100, 27000));
    const StepSpec Step = stepOf(40, 9000, true);
    std::vector<std::uint64_t> FreeAtHolder(Workers.Candidates.size(), 27000);
    int Started = 0;
    for (int Gang = 0; Gang < Gangs; ++Gang) {
      const std::uint64_t StepHash = stableHash(fmt::format("job{}.0.0", Gang));
      for (Candidate &Each : Workers.Candidates)
        Each.TieBreak = StepHash ^ stableHash(Each.Worker->Id);
      auto Left = FreeAtHolder;
      const auto Chosen =
          placeStep({.Step = &Step, .Count = 40}, Workers.Candidates);
      CPPUNIT_ASSERT_EQUAL(std::size_t(40), Chosen.size());
      const bool Reserved = std::ranges::all_of(Chosen, [&](std::size_t I) {
        const bool Fits = Left[I] >= 9000;
        Left[I] -= Fits ? 9000 : 0;
        return Fits;
      });
      if (Reserved)
        FreeAtHolder = Left;
      Started += Reserved ? 1 : 0;
    }
    CPPUNIT_ASSERT(2 * Started >= Gangs);
  }

  // Guards against a wide gang that learns its workers in one call after the
  // other, each of which takes as long as the gang may wait.
  void testSecondCallOfAWideGangAsksAboutOtherWorkers() {
    const TestWorkers Workers(std::vector<std::uint64_t>(400, 9000));
    const StepSpec Gang = stepOf(110, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 110};
    StepAdvice Collected;
    std::set<std::string> Asked;
    for (int Call = 0; Call < 3; ++Call) {
      const auto Chosen =
          chooseWorkersToLearn(Need, Workers.Candidates, Collected, 0.3);
      CPPUNIT_ASSERT_EQUAL(std::size_t(100), Chosen.size());
      Collected.beginCall(Chosen);
      Asked.insert(Chosen.begin(), Chosen.end());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(300), Asked.size());
    CPPUNIT_ASSERT_EQUAL(3, Collected.callsInFlight());
    Collected.endCall({Asked.begin(), Asked.end()});
    CPPUNIT_ASSERT_EQUAL(2, Collected.callsInFlight());
    CPPUNIT_ASSERT(!Collected.isPending(*Asked.begin()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace hickory
