#include "Scheduling/Preemption.h"

#include "Base/Random.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

class PreemptionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PreemptionTest);
  CPPUNIT_TEST(victimsAreAllowedAndSufficient);
  CPPUNIT_TEST(lowestPriorityIsStoppedFirst);
  CPPUNIT_TEST(numberOfVictimsIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against stopping non-repeatable tasks, tasks of equal or higher
  // priority than the new one, and tasks that need not be stopped.
  void victimsAreAllowedAndSufficient() {
    CPPUNIT_ASSERT(rc::check("victims", [](std::uint64_t Seed) {
      Random Numbers(Seed);
      const std::uint64_t Tasks = Numbers.below(10);
      std::vector<PreemptionCandidate> Running;
      Running.reserve(Tasks);
      for (std::uint64_t Number = 0; Number < Tasks; ++Number)
        Running.push_back(
            {.Id = std::to_string(Number),
             .Priority = static_cast<std::uint32_t>(100 * Numbers.below(12)),
             .Held = {500 * Numbers.below(9), 512 * Numbers.below(9), 0},
             .NonRepeatable = Numbers.below(4) == 0});
      const Resources Need{500 * Numbers.below(12), 512 * Numbers.below(12), 0};
      const Resources Free{500 * Numbers.below(4), 512 * Numbers.below(4), 0};
      const auto Victims =
          chooseVictims(Need, 1000, Free, Running, {.MaximumVictims = 4});
      Resources Everything = Free;
      for (const PreemptionCandidate &Task : Running)
        if (!Task.NonRepeatable && Task.Priority < 1000)
          RC_ASSERT(Everything.add(Task.Held).has_value());
      if (!Victims)
        return;
      RC_ASSERT(Need.fitsIn(Everything));
      RC_ASSERT(Victims->size() <= 4U);
      const auto FreeWithout = [&](const std::string &Spared) {
        Resources FreeAfter = Free;
        for (const PreemptionCandidate &Task : Running)
          if (Task.Id != Spared && std::find(Victims->begin(), Victims->end(),
                                             Task.Id) != Victims->end()) {
            RC_ASSERT(!Task.NonRepeatable);
            RC_ASSERT(Task.Priority < 1000U);
            RC_ASSERT(FreeAfter.add(Task.Held).has_value());
          }
        return FreeAfter;
      };
      RC_ASSERT(Need.fitsIn(FreeWithout("")));
      for (const std::string &Victim : *Victims)
        RC_ASSERT(!Need.fitsIn(FreeWithout(Victim)));
    }));
  }

  // Guards against stopping a service where stopping batch work is enough.
  void lowestPriorityIsStoppedFirst() {
    const std::vector<PreemptionCandidate> Running = {
        {.Id = "service", .Priority = 500, .Held = {4000, 0, 0}},
        {.Id = "old",
         .Priority = 100,
         .Held = {2000, 0, 0},
         .RunTime = std::chrono::hours(1)},
        {.Id = "young",
         .Priority = 100,
         .Held = {2000, 0, 0},
         .RunTime = std::chrono::minutes(1)}};
    CPPUNIT_ASSERT(*chooseVictims({2000, 0, 0}, 1000, {}, Running) ==
                   std::vector<std::string>{"young"});
    CPPUNIT_ASSERT(*chooseVictims({4000, 0, 0}, 1000, {}, Running) ==
                   (std::vector<std::string>{"young", "old"}));
    CPPUNIT_ASSERT(
        chooseVictims({1000, 0, 0}, 1000, {1000, 0, 0}, Running)->empty());
  }

  // Guards against one urgent task that stops all tasks of a worker.
  void numberOfVictimsIsBounded() {
    std::vector<PreemptionCandidate> Running;
    Running.reserve(10);
    for (int Number = 0; Number < 10; ++Number)
      Running.push_back(
          {.Id = std::to_string(Number), .Priority = 100, .Held = {100, 0, 0}});
    CPPUNIT_ASSERT(
        !chooseVictims({500, 0, 0}, 1000, {}, Running, {.MaximumVictims = 4})
             .has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(5),
        chooseVictims({500, 0, 0}, 1000, {}, Running, {.MaximumVictims = 5})
            ->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreemptionTest);

} // namespace hickory
