#include "DomainSimulation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

namespace hickory {

using namespace std::chrono_literals;

/// The times and the table of section 5 of the design page, in simulated time.
class OwnershipScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipScenarioTest);
  CPPUNIT_TEST(shardsAreSpreadOverAllInstances);
  CPPUNIT_TEST(deadInstanceIsReplacedByEvidence);
  CPPUNIT_TEST(pausedInstanceIsReplacedBySilence);
  CPPUNIT_TEST(restartedInstanceReplacesItself);
  CPPUNIT_TEST(logOutageIsBridgedByConsent);
  CPPUNIT_TEST(logOutageWithDeadInstanceIsBridged);
  CPPUNIT_TEST(logOutageWithSilentInstanceStopsWork);
  CPPUNIT_TEST(drainLeavesShardsUnownedOnlyBriefly);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { FLAGS_minloglevel = google::GLOG_ERROR; }
  void tearDown() override { FLAGS_minloglevel = google::GLOG_INFO; }

  // Guards against one instance that carries the whole domain.
  void shardsAreSpreadOverAllInstances() {
    DomainSimulation World(quiet());
    settle(World);
    for (std::size_t I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(World.heldBy(I) >= 2 && World.heldBy(I) <= 4);
  }

  // Guards against a takeover that waits for the lease in spite of evidence.
  void deadInstanceIsReplacedByEvidence() {
    DomainSimulation World(quiet());
    settle(World);
    World.kill(0, 60s);
    const auto Gap = timeUntilAllHeld(World, 20s);
    CPPUNIT_ASSERT(Gap <= 3500ms);
  }

  // Guards against a takeover while the lease may still hold, and against one
  // that comes much later.
  void pausedInstanceIsReplacedBySilence() {
    DomainSimulation World(quiet());
    settle(World);
    World.pause(0, 60s);
    // What the paused instance holds counts until its lease ends.
    std::size_t Others = 0;
    Clock::duration Passed{};
    while (Others < World.shardCount() && Passed < 20s) {
      World.advance(50ms);
      Passed += 50ms;
      Others = World.heldBy(1) + World.heldBy(2);
    }
    noViolation(World);
    CPPUNIT_ASSERT(Passed >= 6s);
    CPPUNIT_ASSERT(Passed <= 10s);
  }

  // Guards against a restart that has to wait for the lease of its own
  // predecessor.
  void restartedInstanceReplacesItself() {
    DomainSimulation World(quiet());
    settle(World);
    World.kill(0, 200ms);
    const auto Gap = timeUntilAllHeld(World, 20s);
    CPPUNIT_ASSERT(Gap <= 3s);
  }

  // Guards against work that stops because the log does.
  void logOutageIsBridgedByConsent() {
    DomainSimulation World(quiet());
    settle(World);
    World.stopLog(60s);
    for (int I = 0; I < 1400; ++I) {
      World.advance(50ms);
      CPPUNIT_ASSERT_EQUAL(World.shardCount(), held(World));
    }
    noViolation(World);
  }

  // Guards against a dead neighbour that blocks consent.
  void logOutageWithDeadInstanceIsBridged() {
    DomainSimulation World(quiet());
    settle(World);
    World.stopLog(60s);
    World.kill(2, 120s);
    const std::size_t Left = World.heldBy(0) + World.heldBy(1);
    for (int I = 0; I < 1100; ++I) {
      World.advance(50ms);
      CPPUNIT_ASSERT_EQUAL(Left, World.heldBy(0) + World.heldBy(1));
    }
    noViolation(World);
  }

  // Guards against consent without a slot that may have expired the caller.
  void logOutageWithSilentInstanceStopsWork() {
    DomainSimulation World(quiet());
    settle(World);
    World.stopLog(60s);
    World.cutPeers(0, 1, 60s);
    World.cutPeers(0, 2, 60s);
    World.advance(9s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), held(World));
    World.advance(40s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), held(World));
    World.advance(15s);
    CPPUNIT_ASSERT_EQUAL(World.shardCount(), held(World));
    noViolation(World);
  }

  // Guards against a planned stop that leaves requests without an owner.
  void drainLeavesShardsUnownedOnlyBriefly() {
    DomainSimulation World(quiet());
    settle(World);
    World.drain(0);
    Clock::duration Unowned{};
    for (int I = 0; I < 200; ++I) {
      World.advance(50ms);
      if (held(World) < World.shardCount())
        Unowned += 50ms;
    }
    noViolation(World);
    CPPUNIT_ASSERT_EQUAL(World.shardCount(), held(World));
    // Receivers take up to 2 s each to finish; the gap of each shard is the
    // time from its Release to the next claim.
    CPPUNIT_ASSERT(Unowned <= 3s);
  }

private:
  static SimulationOptions quiet() {
    SimulationOptions Options;
    Options.Seed = 7;
    Options.Rates = SimulationRates::none();
    return Options;
  }

  static std::size_t held(const DomainSimulation &World) {
    return World.heldBy(0) + World.heldBy(1) + World.heldBy(2);
  }

  static void noViolation(const DomainSimulation &World) {
    CPPUNIT_ASSERT_MESSAGE(World.violation().value_or(""), !World.violation());
  }

  /// Until all instances have joined and balanced their shards.
  static void settle(DomainSimulation &World) {
    World.advance(40s);
    CPPUNIT_ASSERT_EQUAL(World.shardCount(), held(World));
  }

  static Clock::duration timeUntilAllHeld(DomainSimulation &World,
                                          Clock::duration Limit) {
    Clock::duration Passed{};
    while (held(World) < World.shardCount() && Passed < Limit) {
      World.advance(50ms);
      Passed += 50ms;
    }
    noViolation(World);
    return Passed;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipScenarioTest);

} // namespace hickory
