#include "Jobs/RackChooser.h"

#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/FakeRackService.h"
#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

records::Resources amount(std::uint64_t Cpus, std::uint64_t Memory = 0,
                          std::uint32_t Accelerators = 0) {
  records::Resources Amount;
  Amount.set_cpus_milli(Cpus);
  Amount.set_memory_mb(Memory);
  Amount.set_accelerators(Accelerators);
  return Amount;
}

peer::RackLoad load(const std::string &Rack, const records::Resources &Free,
                    const records::Resources &Largest) {
  peer::RackLoad Load;
  Load.set_rack(Rack);
  *Load.mutable_free() = Free;
  *Load.mutable_total() = Free;
  *Load.mutable_largest_free() = Largest;
  return Load;
}

std::vector<std::string> names(const std::vector<RackLocation> &Racks) {
  std::vector<std::string> Names;
  Names.reserve(Racks.size());
  for (const RackLocation &Rack : Racks)
    Names.push_back(Rack.Load.rack());
  return Names;
}

/// Also covers CellView, which provides the racks of other instances.
class RackChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RackChooserTest);
  CPPUNIT_TEST(testNearestRacksFirst);
  CPPUNIT_TEST(testOldAndDrainingSummariesAreNotUsed);
  CPPUNIT_TEST(testLatestSummaryDeterminesOwner);
  CPPUNIT_TEST(testConsumedAndFullRacksHaveLessCapacity);
  CPPUNIT_TEST(testRequestsNeedFreeSlots);
  CPPUNIT_TEST(testOwnerOfRackIsLocated);
  CPPUNIT_TEST(testCapacityIsNotChosenTwice);
  CPPUNIT_TEST(testInsufficientCapacityTakesNothing);
  CPPUNIT_TEST(testAcceleratorRacksAreUsedLast);
  CPPUNIT_TEST(testPoolIsRespected);
  CPPUNIT_TEST(testNeverTakesMoreThanIsFree);
  CPPUNIT_TEST_SUITE_END();

public:
  void testNearestRacksFirst() {
    Local_.Loads.push_back(load("own", amount(500), amount(500)));
    addSummary("c1", "c", {load("far", amount(100), amount(100))});
    addSummary("b1", "b", {load("region", amount(100), amount(100))});
    addSummary("a2", "a",
               {load("domain-empty", amount(900), amount(900)),
                load("domain-full", amount(200), amount(200))});
    CPPUNIT_ASSERT((names(Chooser_.workerRacks(false)) ==
                    std::vector<std::string>{"own", "domain-full",
                                             "domain-empty", "region", "far"}));
    CPPUNIT_ASSERT(
        (names(Chooser_.workerRacks(true)) ==
         std::vector<std::string>{"own", "domain-full", "domain-empty"}));
  }

  void testOldAndDrainingSummariesAreNotUsed() {
    addSummary("a2", "a", {load("r", amount(100), amount(100))});
    Timers_.advance(15s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Chooser_.workerRacks(false).size());
    Timers_.advance(1ms);
    CPPUNIT_ASSERT(Chooser_.workerRacks(false).empty());
    // The outdated summary still identifies the last known owner.
    CPPUNIT_ASSERT(Cell_.findRack("r").has_value());
    peer::SummaryRequest Draining;
    Draining.set_slot("a2");
    Draining.set_draining(true);
    *Draining.add_racks() = load("r", amount(100), amount(100));
    Cell_.update(Draining);
    CPPUNIT_ASSERT(Chooser_.workerRacks(false).empty());
  }

  void testLatestSummaryDeterminesOwner() {
    addSummary("b1", "b", {load("r", amount(1), amount(1))}, {"keys/1"});
    CPPUNIT_ASSERT(!Cell_.keyShardOwner("a", "keys/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("b1"),
                         Cell_.keyShardOwner("b", "keys/1").value_or(""));
    Timers_.advance(1s);
    addSummary("b2", "b", {load("r", amount(1), amount(1))}, {"keys/1"});
    CPPUNIT_ASSERT_EQUAL(std::string("b2"),
                         Cell_.keyShardOwner("b", "keys/1").value_or(""));
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), Cell_.findRack("r")->Slot);
    CPPUNIT_ASSERT(!Cell_.findRack("unknown"));
  }

  void testConsumedAndFullRacksHaveLessCapacity() {
    addSummary("a2", "a", {load("r", amount(100, 50), amount(100, 50))});
    Cell_.consume("r", amount(30, 80), 0);
    auto Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(70),
                         Available[0].Load.free().cpus_milli());
    // Consuming more than is free yields zero instead of an underflow.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Available[0].Load.free().memory_mb());
    Chooser_.markFull("r");
    Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT(
        Chooser_.chooseRacks(Available, std::nullopt, amount(1), 1).empty());
    addSummary("a2", "a", {load("r", amount(100, 50), amount(100, 50))});
    Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Chooser_.chooseRacks(Available, std::nullopt, amount(1), 1).size());
  }

  void testRequestsNeedFreeSlots() {
    Local_.addExecutorRack("busy", 0);
    Local_.addExecutorRack("few", 1);
    Local_.addExecutorRack("many", 5);
    Local_.addWorkerRack("workers", 100);
    CPPUNIT_ASSERT((names(Chooser_.executorRacks(std::nullopt)) ==
                    std::vector<std::string>{"many", "few"}));
  }

  void testOwnerOfRackIsLocated() {
    CPPUNIT_ASSERT(!Chooser_.locate("r"));
    addSummary("b1", "b", {load("r", amount(1), amount(1))});
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), Chooser_.locate("r")->Slot);
    // The owner in the log takes precedence over summaries.
    Ownership_.RemoteOwners[rackShard("r")] = {"a2", 9, 1};
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), Chooser_.locate("r")->Slot);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Chooser_.locate("r")->Incarnation);
    Ownership_.RemoteOwners.clear();
    Ownership_.acquire(rackShard("r"), false);
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), Chooser_.locate("r")->Slot);
  }

  void testCapacityIsNotChosenTwice() {
    Local_.Loads.push_back(load("r", amount(250), amount(100)));
    auto Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(2),
        Chooser_.chooseRacks(Available, std::nullopt, amount(100), 2).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(50),
                         Available[0].Load.free().cpus_milli());
    CPPUNIT_ASSERT(
        Chooser_.chooseRacks(Available, std::nullopt, amount(100), 1).empty());
    // The rack has enough free CPU in total, but no single worker has.
    Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT(
        Chooser_.chooseRacks(Available, std::nullopt, amount(101), 1).empty());
  }

  void testInsufficientCapacityTakesNothing() {
    Local_.Loads.push_back(load("r", amount(250), amount(250)));
    auto Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT(
        Chooser_.chooseRacks(Available, std::nullopt, amount(100), 3).size() <
        3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(250),
                         Available[0].Load.free().cpus_milli());
  }

  void testAcceleratorRacksAreUsedLast() {
    Local_.Loads.push_back(load("gpu", amount(100, 0, 4), amount(100, 0, 4)));
    Local_.Loads.push_back(load("plain", amount(200), amount(200)));
    auto Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT(
        (names(Chooser_.chooseRacks(Available, std::nullopt, amount(100), 3)) ==
         std::vector<std::string>{"plain", "plain", "gpu"}));
    Available = Chooser_.workerRacks(false);
    CPPUNIT_ASSERT(
        (names(Chooser_.chooseRacks(Available, std::nullopt, amount(10, 0, 1),
                                    1)) == std::vector<std::string>{"gpu"}));
  }

  void testPoolIsRespected() {
    Local_.Loads.push_back(load("own", amount(100), amount(100)));
    addSummary("b1", "b", {load("other", amount(100), amount(100))});
    auto Available = Chooser_.workerRacks(false);
    PoolConfig Pool;
    Pool.FailureDomains = {"b"};
    CPPUNIT_ASSERT(
        (names(Chooser_.chooseRacks(Available, Pool, amount(100), 1)) ==
         std::vector<std::string>{"other"}));
  }

  void testNeverTakesMoreThanIsFree() {
    CPPUNIT_ASSERT(rc::check("free capacity is chosen at most once", [this] {
      Local_.Loads.clear();
      const auto Free = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 1000));
      for (std::size_t I = 0; I < Free.size(); ++I)
        Local_.Loads.push_back(
            load("r" + std::to_string(I), amount(Free[I]), amount(Free[I])));
      auto Available = Chooser_.workerRacks(false);
      std::map<std::string, std::uint64_t> Taken;
      for (int Round = 0; Round < 10; ++Round) {
        const auto Size = *rc::gen::inRange<std::uint64_t>(1, 400);
        const auto Tasks = *rc::gen::inRange<std::uint32_t>(1, 5);
        const auto Chosen =
            Chooser_.chooseRacks(Available, std::nullopt, amount(Size), Tasks);
        RC_ASSERT(Chosen.size() <= Tasks);
        if (Chosen.size() < Tasks)
          continue; // The caller does not place any task.
        for (const RackLocation &Rack : Chosen)
          Taken[Rack.Load.rack()] += Size;
      }
      for (const peer::RackLoad &Load : Local_.Loads)
        RC_ASSERT(Taken[Load.rack()] <= Load.free().cpus_milli());
    }));
  }

private:
  void addSummary(const std::string &Slot, const std::string &Domain,
                  const std::vector<peer::RackLoad> &Racks,
                  const std::vector<std::string> &KeyShards = {}) {
    peer::SummaryRequest Summary;
    Summary.set_slot(Slot);
    Summary.set_failure_domain(Domain);
    for (const peer::RackLoad &Load : Racks)
      *Summary.add_racks() = Load;
    for (const std::string &Shard : KeyShards)
      Summary.add_key_shards(Shard);
    Cell_.update(Summary);
  }

  FakeTimerService Timers_;
  FakeOwnershipView Ownership_{Timers_};
  PeerDirectory Directory_{.SelfSlot = "a1",
                           .SelfDomain = "a",
                           .SelfRegion = "north",
                           .Slots = {{"a1", "a", "north", ""},
                                     {"a2", "a", "north", ""},
                                     {"b1", "b", "north", ""},
                                     {"b2", "b", "north", ""},
                                     {"c1", "c", "south", ""}}};
  CellView Cell_{Timers_, Directory_};
  FakeRackService Local_{Timers_};
  FakePeerClient Peers_;
  RackChooser Chooser_{Ownership_, Directory_, Cell_, Local_, Peers_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RackChooserTest);

} // namespace

} // namespace hickory
