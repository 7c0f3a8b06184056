#include "Cell/Placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Workers of 32 processors in racks of 8, with some room taken.
struct Farm {
  explicit Farm(const std::vector<std::uint64_t> &FreeCpus) {
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
  CPPUNIT_TEST(testSmallTasksLeaveWideHoles);
  CPPUNIT_TEST(testGangPrefersOneRackIfItMust);
  CPPUNIT_TEST(testAntiAffinityLimitsTasksOfOneWorker);
  CPPUNIT_TEST(testOnlyUrgentQueuesUseTheHeadroom);
  CPPUNIT_TEST(testAsksEnoughForTheShareThatIsGood);
  CPPUNIT_TEST(testAsksOnceForGangWithoutRoom);
  CPPUNIT_TEST(testDoesNotAskForGangThatNeverFits);
  CPPUNIT_TEST(testDoesNotAskAboutRefusedWorkers);
  CPPUNIT_TEST(testDoesNotAskAgainWhileTicketsHold);
  CPPUNIT_TEST(testAsksElsewhereForTheRestOfAStep);
  CPPUNIT_TEST(testBurstOfSmallTasksKeepsRoomForGangs);
  CPPUNIT_TEST(testSuspectWorkersAreLeftOutWhileTheyAreFew);
  CPPUNIT_TEST(propertyNeverBeyondTheRoom);
  CPPUNIT_TEST_SUITE_END();

public:
  void testGangIsPlacedWholeOrNotAtAll() {
    const Farm Workers({9000, 18000, 9000});
    const StepSpec Fits = stepOf(4, 9000, true);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(4),
        placeStep({.Step = &Fits, .Count = 4}, Workers.Candidates).size());
    const StepSpec TooWide = stepOf(5, 9000, true);
    CPPUNIT_ASSERT(
        placeStep({.Step = &TooWide, .Count = 5}, Workers.Candidates).empty());
  }

  void testSmallTasksLeaveWideHoles() {
    const Farm Workers({32000, 4000, 32000});
    const StepSpec Small = stepOf(2, 2000);
    const auto Chosen =
        placeStep({.Step = &Small, .Count = 2}, Workers.Candidates);
    CPPUNIT_ASSERT((std::vector<std::size_t>{1, 1}) == Chosen);
  }

  void testGangPrefersOneRackIfItMust() {
    // The widest holes are in both racks, but only the second has room for all.
    std::vector<std::uint64_t> Free(16, 0);
    Free[0] = 32000;
    Free[8] = 18000;
    Free[9] = 18000;
    Free[10] = 18000;
    const Farm Workers(Free);
    StepSpec Gang = stepOf(6, 9000, true);
    Gang.SameRack = true;
    for (const std::size_t I :
         placeStep({.Step = &Gang, .Count = 6}, Workers.Candidates))
      CPPUNIT_ASSERT_EQUAL(std::string("r1"), Workers.Entries[I].Rack);
  }

  void testAntiAffinityLimitsTasksOfOneWorker() {
    Farm Workers({32000, 32000});
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
    const Resources Free{.CpusMilli = 3000, .MemoryMb = 100};
    const Resources All{.CpusMilli = 32000, .MemoryMb = 131072};
    const PlacementOptions Options{.UrgentHeadroom = 0.1};
    CPPUNIT_ASSERT(Free == usableFree(Free, All, 0, Options));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         usableFree(Free, All, 1, Options).CpusMilli);
  }

  void testAsksEnoughForTheShareThatIsGood() {
    const Farm Workers(std::vector<std::uint64_t>(40, 9000));
    const StepSpec Gang = stepOf(6, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 6};
    const std::size_t Asked =
        chooseWorkersToAsk(Need, Workers.Candidates, {}, 0.3, {}).size();
    CPPUNIT_ASSERT(static_cast<double>(Asked) * 0.3 >= 6);
    CPPUNIT_ASSERT(
        chooseWorkersToAsk(Need, Workers.Candidates, {}, 0.9, {}).size() <
        Asked);
  }

  // A call about a gang costs half a second of the line. Without room, one call
  // tells which workers to wait for; further ones must have a chance.
  void testAsksOnceForGangWithoutRoom() {
    const Farm Workers(std::vector<std::uint64_t>(5, 9000));
    const StepSpec Gang = stepOf(6, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 6};
    StepAdvice Known;
    const auto Asked =
        chooseWorkersToAsk(Need, Workers.Candidates, Known, 0.9, {});
    CPPUNIT_ASSERT(!Asked.empty());
    Advice Reply;
    for (const std::string &Worker : Asked)
      Reply.Good.push_back({.Worker = Worker, .Text = "ticket"});
    Known.apply(Asked, Reply, {});
    CPPUNIT_ASSERT(chooseWorkersToAsk(Need, Workers.Candidates, Known, 0.9,
                                      Clock::time_point(1s))
                       .empty());
    const Farm WithRoom(std::vector<std::uint64_t>(5, 18000));
    CPPUNIT_ASSERT(!chooseWorkersToAsk(Need, WithRoom.Candidates, Known, 0.9,
                                       Clock::time_point(1s))
                        .empty());
  }

  void testDoesNotAskForGangThatNeverFits() {
    const Farm Workers(std::vector<std::uint64_t>(2, 9000));
    const StepSpec Gang = stepOf(7, 9000, true);
    CPPUNIT_ASSERT(chooseWorkersToAsk({.Step = &Gang, .Count = 7},
                                      Workers.Candidates, {}, 0.9, {})
                       .empty());
  }

  void testDoesNotAskAboutRefusedWorkers() {
    const Farm Workers({9000, 9000, 9000});
    const StepSpec Step = stepOf(1, 1000);
    StepAdvice Known;
    Known.apply({"w00", "w01"}, {.Good = {{.Worker = "w01", .Text = "t"}}}, {});
    CPPUNIT_ASSERT((std::vector<std::string>{"w01", "w02"}) ==
                   chooseWorkersToAsk({.Step = &Step, .Count = 1},
                                      Workers.Candidates, Known, 0.4,
                                      Clock::time_point(1s)));
  }

  // A gang that waits for room asked about all workers again and again, and
  // held a line for half a second each time.
  void testDoesNotAskAgainWhileTicketsHold() {
    const Farm Workers({9000, 9000, 9000, 9000});
    const StepSpec Gang = stepOf(4, 9000, true);
    const PlacementNeed Need{.Step = &Gang, .Count = 4};
    StepAdvice Known;
    Known.apply({"w00", "w01"},
                {.Good = {{.Worker = "w00", .Text = "a"},
                          {.Worker = "w01", .Text = "b"}},
                 .Validity = 2s},
                {});
    const auto Ask = [&](Clock::duration HeldUntil) {
      return chooseWorkersToAsk(Need, Workers.Candidates, Known, 1.0,
                                Clock::time_point(HeldUntil));
    };
    CPPUNIT_ASSERT((std::vector<std::string>{"w02", "w03"}) == Ask(1s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Ask(3s).size());
  }

  // The room behind held tickets is used up when tasks of a step are left.
  void testSuspectWorkersAreLeftOutWhileTheyAreFew() {
    Farm Workers({9000, 9000, 9000});
    Workers.Candidates[1].Suspect = true;
    auto Few = Workers.Candidates;
    dropSuspects(Few);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Few.size());
    Workers.Candidates[2].Suspect = true;
    auto Many = Workers.Candidates;
    dropSuspects(Many);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Many.size());
  }

  void testAsksElsewhereForTheRestOfAStep() {
    const Farm Workers({9000, 9000});
    const StepSpec Step = stepOf(3, 5000);
    StepAdvice Known;
    Known.apply({"w00"},
                {.Good = {{.Worker = "w00", .Text = "a"}}, .Validity = 2s}, {});
    CPPUNIT_ASSERT((std::vector<std::string>{"w01"}) ==
                   chooseWorkersToAsk({.Step = &Step, .Count = 2},
                                      Workers.Candidates, Known, 0.5,
                                      Clock::time_point(1s)));
  }

  // Load: 120 tasks of 2 cores arrive on 48 workers, half of them with 14 cores
  // free and half empty, then a gang of 24 tasks of 9 cores.
  void testBurstOfSmallTasksKeepsRoomForGangs() {
    std::vector<std::uint64_t> Free(48, 32000);
    for (std::size_t I = 0; I < 24; ++I)
      Free[I] = 14000;
    Farm Workers(Free);
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

  void propertyNeverBeyondTheRoom() {
    CPPUNIT_ASSERT(rc::check("placements fit", [] {
      const auto Free = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 32000));
      Farm Workers(Free);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace hickory
