#include "Cell/GangClaim.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

class GangClaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangClaimTest);
  CPPUNIT_TEST(testClaimsFewestWorkersThatFreeCapacitySoon);
  CPPUNIT_TEST(testNoClaimForAGangThatNeverFits);
  CPPUNIT_TEST(testNoClaimForAGangThatFitsOnlyWhereOthersLast);
  CPPUNIT_TEST(testClaimedCapacityIsWhatTheGangNeeds);
  CPPUNIT_TEST(testWideGangClaimsMoreThanOneMemberEach);
  CPPUNIT_TEST(testClaimBlocksOtherSteps);
  CPPUNIT_TEST(testEarlierGangComesFirst);
  CPPUNIT_TEST(testShareOfClaimedWorkersIsBounded);
  CPPUNIT_TEST(testClaimsOfASilentProcessExpire);
  CPPUNIT_TEST(testWideGangStartsUnderAStreamOfSmallTasks);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr Clock::time_point Now{};

  /// Workers of 16 processors with the given free capacity.
  struct TestWorkers {
    explicit TestWorkers(const std::vector<std::uint64_t> &Free) {
      Entries.reserve(Free.size());
      for (std::size_t I = 0; I < Free.size(); ++I) {
        Entries.push_back(
            {.Id = fmt::format("w{:02}", I),
             .Capacity = {.CpusMilli = 16000, .MemoryMb = 64000}});
        All.push_back({.Worker = &Entries.back(),
                       .Free = {.CpusMilli = Free[I], .MemoryMb = 64000}});
      }
    }
    std::vector<WorkerEntry> Entries;
    std::vector<Candidate> All;
  };
  static StepSpec gangOf(int Count) {
    return {.Count = Count,
            .Demand = {.CpusMilli = 4500, .MemoryMb = 1000},
            .Gang = true};
  }

  void testClaimsFewestWorkersThatFreeCapacitySoon() {
    const TestWorkers Workers({1000, 9000, 500, 4500, 16000});
    const StepSpec Gang = gangOf(6);
    const auto Claimed =
        chooseWorkersToClaim({.Step = &Gang, .Count = 6}, Workers.All);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Claimed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w04"), Claimed[0].Id);
    CPPUNIT_ASSERT_EQUAL(3, Claimed[0].Members);
    CPPUNIT_ASSERT_EQUAL(std::string("w01"), Claimed[1].Id);
  }

  void testNoClaimForAGangThatNeverFits() {
    const TestWorkers Workers({16000, 16000});
    const StepSpec Gang = gangOf(7);
    CPPUNIT_ASSERT(
        chooseWorkersToClaim({.Step = &Gang, .Count = 7}, Workers.All).empty());
  }

  // Guards against a gang that holds back all others for as long as a task
  // lasts in whose place it would fit (incident 49, review/8).
  void testNoClaimForAGangThatFitsOnlyWhereOthersLast() {
    TestWorkers Workers({16000, 16000, 6000});
    const StepSpec Gang = gangOf(8);
    const PlacementNeed Need{.Step = &Gang, .Count = 8};
    CPPUNIT_ASSERT(!chooseWorkersToClaim(Need, Workers.All).empty());
    Workers.All[2].Lasting = {.CpusMilli = 10000};
    CPPUNIT_ASSERT_EQUAL(1, slotsWhenEmpty(Need, Workers.All[2]));
    CPPUNIT_ASSERT(chooseWorkersToClaim(Need, Workers.All).empty());
  }

  // Guards against a claim that keeps others from capacity which its gang does
  // not need.
  void testClaimedCapacityIsWhatTheGangNeeds() {
    GangClaimTable Claims;
    Claims.setOwnClaim(GangClaim{.Step = "a.0.0",
                                 .Workers = {"v", "w"},
                                 .StartBy = Now,
                                 .Reserved = {{.CpusMilli = 9000}, {}}});
    Claims.setRemoteClaims(
        "other",
        {{.Step = "b.0.0",
          .Workers = {"v"},
          .StartBy = Now,
          .Reserved = {{.CpusMilli = 4500}}},
         {.Step = "c.0.0", .Workers = {"w"}, .StartBy = Now}},
        Now);
    const auto Claimed = Claims.claimedWorkers(Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13500),
                         Claimed.at("v").Reserved->CpusMilli);
    // An earlier release does not say what its gang needs.
    CPPUNIT_ASSERT(!Claimed.at("w").Reserved);
  }

  // Guards against a gang that waits forever: one more member per worker is not
  // enough for a gang of 8 on 4 full workers, and it made no claim.
  void testWideGangClaimsMoreThanOneMemberEach() {
    const TestWorkers Workers({0, 0, 0, 0});
    const StepSpec Gang = gangOf(8);
    const auto Claimed =
        chooseWorkersToClaim({.Step = &Gang, .Count = 8}, Workers.All);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Claimed.size());
    CPPUNIT_ASSERT_EQUAL(2, Claimed[0].Members);
  }

  void testClaimBlocksOtherSteps() {
    GangClaimTable Claims;
    Claims.setOwnClaim(
        GangClaim{.Step = "a.0.0", .Workers = {"w"}, .StartBy = Now + 1s});
    const auto Claimed = Claims.claimedWorkers(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Claimed.size());
    CPPUNIT_ASSERT(!isBlocked(Claimed.at("w").StartBy, Now + 1s));
    CPPUNIT_ASSERT(isBlocked(Claimed.at("w").StartBy, std::nullopt));
  }

  // Guards against a deadlock of two gangs that each hold workers which the
  // other one needs.
  void testEarlierGangComesFirst() {
    GangClaimTable Claims;
    Claims.setOwnClaim(
        GangClaim{.Step = "a.0.0", .Workers = {"v"}, .StartBy = Now + 2s});
    Claims.setRemoteClaims(
        "other", {{.Step = "b.0.0", .Workers = {"w"}, .StartBy = Now + 1s}},
        Now);
    const auto Claimed = Claims.claimedWorkers(Now);
    CPPUNIT_ASSERT(isBlocked(Claimed.at("w").StartBy, Now + 2s));
    CPPUNIT_ASSERT(!isBlocked(Claimed.at("v").StartBy, Now + 1s));
    CPPUNIT_ASSERT(!isBlocked(Claimed.at("w").StartBy, Now + 1s));
  }

  // Guards against claims of many processes that together hold back much of the
  // cell. The earliest gang may claim what it needs.
  void testShareOfClaimedWorkersIsBounded() {
    GangClaimTable Claims({.MaximumShare = 0.1});
    for (const char *Address : {"p", "q"})
      Claims.setRemoteClaims(
          Address,
          {{.Step = Address,
            .Workers = {std::string(Address) + "1", std::string(Address) + "2"},
            .StartBy = Now + 1s}},
          Now);
    CPPUNIT_ASSERT(!Claims.canClaim(Now + 2s, 1, 40, Now));
    CPPUNIT_ASSERT(Claims.canClaim(Now + 2s, 1, 50, Now));
    CPPUNIT_ASSERT(!Claims.canClaim(Now + 2s, 2, 50, Now));
    CPPUNIT_ASSERT(Claims.canClaim(Now, 20, 40, Now));
  }

  void testClaimsOfASilentProcessExpire() {
    GangClaimTable Claims;
    Claims.setRemoteClaims(
        "other", {{.Step = "b.0.0", .Workers = {"w"}, .StartBy = Now}}, Now);
    CPPUNIT_ASSERT(Claims.claimedWorkers(Now + 10s).empty());
    CPPUNIT_ASSERT(Claims.canClaim(Now + 2s, 1, 1, Now + 10s));
  }

  // Guards against starvation of gangs: ten full workers run tasks of 1 core,
  // each worker frees one core per time step, and a small task waits for each
  // core. Without a claim, a gang of 9 members of 4.5 cores never fits.
  void testWideGangStartsUnderAStreamOfSmallTasks() {
    CPPUNIT_ASSERT(!gangStartsWithin(40, false));
    CPPUNIT_ASSERT(gangStartsWithin(40, true));
  }

  static bool gangStartsWithin(int Steps, bool Claim) {
    TestWorkers Workers(std::vector<std::uint64_t>(10, 0));
    const StepSpec Gang = gangOf(9);
    const StepSpec Small{.Demand = {.CpusMilli = 1000, .MemoryMb = 100}};
    const PlacementNeed Need{.Step = &Gang, .Count = 9};
    GangClaimTable Claims;
    for (int Step = 0; Step < Steps; ++Step) {
      for (Candidate &Worker : Workers.All)
        Worker.Free.CpusMilli =
            std::min<std::uint64_t>(16000, Worker.Free.CpusMilli + 1000);
      if (placeStep(Need, Workers.All).size() == 9)
        return true;
      GangClaim Own{.Step = "gang"};
      for (const ClaimedWorker &Each : chooseWorkersToClaim(Need, Workers.All))
        Own.Workers.push_back(Each.Id);
      if (Claim)
        Claims.setOwnClaim(Own);
      const auto Blocked = Claims.claimedWorkers(Now);
      for (Candidate &Worker : Workers.All)
        if (!Blocked.contains(Worker.Worker->Id))
          Worker.Free.CpusMilli -=
              1000 * placeStep({.Step = &Small, .Count = 1}, {Worker}).size();
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangClaimTest);

} // namespace hickory
