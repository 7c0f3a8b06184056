#include "Backends/RackManager.h"

#include "Backends/RackHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

class RackManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RackManagerTest);
  CPPUNIT_TEST(placeStartsTaskAndReportsItsEnd);
  CPPUNIT_TEST(bestFitKeepsLargeGaps);
  CPPUNIT_TEST(fullRackRefuses);
  CPPUNIT_TEST(fullRackIsOvercommittedWithoutCapacityCheck);
  CPPUNIT_TEST(wrongIncarnationIsRefused);
  CPPUNIT_TEST(lapsedInstanceLeaseStartsNothing);
  CPPUNIT_TEST(startLeaseEndsWithInstanceLease);
  CPPUNIT_TEST(delayedStartIsNotRun);
  CPPUNIT_TEST(delayedStartRunsWithoutStartLease);
  CPPUNIT_TEST(lostAnswerIsResolvedByStateRead);
  CPPUNIT_TEST(unresolvedStartKeepsItsCapacity);
  CPPUNIT_TEST(unresolvedStartLosesItsCapacityWithoutProtection);
  CPPUNIT_TEST(startThatNeverArrivedIsReportedAsNotRun);
  CPPUNIT_TEST(takeoverAdoptsRunningTasks);
  CPPUNIT_TEST(takeoverWaitsForStartsOfExpiredOwner);
  CPPUNIT_TEST(takeoverOvercommitsWithoutReadingFirst);
  CPPUNIT_TEST(fencedAttemptIsRefused);
  CPPUNIT_TEST(fencedAttemptRunsWithoutFence);
  CPPUNIT_TEST(statusIsNotFoundOnlyWhenAllWorkersWereRead);
  CPPUNIT_TEST(workerRestartLosesItsTasks);
  CPPUNIT_TEST(silentWorkerLosesItsTasksAfterRunLease);
  CPPUNIT_TEST(endIsRepeatedUntilAcknowledged);
  CPPUNIT_TEST(stopEndsTask);
  CPPUNIT_TEST(reservationHoldsCapacityUntilItExpires);
  CPPUNIT_TEST(leavingWorkerGetsNoNewWork);
  CPPUNIT_TEST(workerThatSaysItLeavesGetsNoNewWork);
  CPPUNIT_TEST(workerMissingFromListKeepsItsTasks);
  CPPUNIT_TEST(failingWorkerIsSetAside);
  CPPUNIT_TEST(releaseWaitsForStartsOnTheirWay);
  CPPUNIT_TEST(loadAndUseCountCommittedTasks);
  CPPUNIT_TEST(nonRepeatableStartIsSentOnce);
  CPPUNIT_TEST(startLostInRestartIsNotReportedAsNotRun);
  CPPUNIT_TEST(drainWaitsForCallsInProgress);
  CPPUNIT_TEST(originOfAdoptedTaskIsLookedUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void placeStartsTaskAndReportsItsEnd() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    const auto Reply = Owner.place(Owner.placeRequest("k", 1000, 1, 3000));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Reply.status());
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), Reply.worker());
    CPPUNIT_ASSERT_EQUAL(std::string("running"),
                         Owner.status("k", false).state());
    World.run(8s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner.Ends.Ended.size());
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED,
                         Owner.Ends.Ended[0].outcome());
    CPPUNIT_ASSERT_EQUAL(std::string("kernvaal"), Owner.Ends.Ended[0].member());
    // Forgotten after the job owner took note.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Worker.listed());
    CPPUNIT_ASSERT(Owner.hasEvent("task_started"));
    CPPUNIT_ASSERT(Owner.hasEvent("task_ended"));
  }

  // Guards against small tasks that are spread so that no large task fits.
  void bestFitKeepsLargeGaps() {
    RackWorld World;
    World.addWorker("w1");
    World.addWorker("w2");
    RackOwner Owner(World);
    Owner.own();
    const auto First = Owner.place(Owner.placeRequest("a")).worker();
    CPPUNIT_ASSERT_EQUAL(First, Owner.place(Owner.placeRequest("b")).worker());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK,
                         Owner.place(Owner.placeRequest("c", 4000)).status());
  }

  void fullRackRefuses() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK,
                         Owner.place(Owner.placeRequest("a", 3000)).status());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("b", 2000)).status());
    CPPUNIT_ASSERT_EQUAL(0, World.History.OverCapacity);
  }

  // Shows that the check that the case above relies on is needed.
  void fullRackIsOvercommittedWithoutCapacityCheck() {
    RackWorld World;
    World.addWorker("w1");
    RackManagerOptions Options;
    Options.Protections.CheckCapacity = false;
    RackOwner Owner(World, Options);
    Owner.own();
    Owner.place(Owner.placeRequest("a", 3000));
    Owner.place(Owner.placeRequest("b", 2000));
    CPPUNIT_ASSERT_EQUAL(1, World.History.OverCapacity);
  }

  // Guards against a placement that was logged for an earlier owner.
  void wrongIncarnationIsRefused() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    auto Request = Owner.placeRequest("a");
    Request.set_target_incarnation(99);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_WRONG_INCARNATION,
                         Owner.place(Request).status());
    CPPUNIT_ASSERT_EQUAL(0, World.History.Starts);
  }

  // Guards against an owner that was paused and goes on without its lease.
  void lapsedInstanceLeaseStartsNothing() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.Ownership.setLeaseEnd(World.Timers.now());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE,
                         Owner.place(Owner.placeRequest("a")).status());
    const std::size_t Sent = World.Client.SentRequests.size();
    World.run(10s);
    CPPUNIT_ASSERT_EQUAL(Sent, World.Client.SentRequests.size());
  }

  // Guards against a start that takes effect after its sender's lease.
  void startLeaseEndsWithInstanceLease() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.Ownership.setLeaseEnd(World.Timers.now() + 300ms);
    World.Client.ChooseFault = [](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.RequestDelay = 310ms};
    };
    Owner.beginPlace(Owner.placeRequest("a"));
    World.run(5s);
    CPPUNIT_ASSERT_EQUAL(0, World.History.Starts);
  }

  // Guards against two runs: the job owner places the task elsewhere once the
  // start's lease is over.
  void delayedStartIsNotRun() {
    CPPUNIT_ASSERT_EQUAL(0, startsAfterDelay(true));
  }
  void delayedStartRunsWithoutStartLease() {
    CPPUNIT_ASSERT_EQUAL(1, startsAfterDelay(false));
  }

  // Guards against a second run of a task whose start was confirmed by a lost
  // answer.
  void lostAnswerIsResolvedByStateRead() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    int Lost = 0;
    World.Client.ChooseFault = [&](const HttpClientRequest &Request) {
      const bool Start = Request.Body.find("start") != std::string::npos;
      return FakeHttpClient::MessageFault{.LoseReply = Start && Lost++ == 0};
    };
    const auto Reply = Owner.place(Owner.placeRequest("a"));
    CPPUNIT_ASSERT_EQUAL(1, Lost);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Reply.status());
    CPPUNIT_ASSERT_EQUAL(1, World.History.Starts);
  }

  // Guards against overcommitment by a start whose answer was lost.
  void unresolvedStartKeepsItsCapacity() {
    CPPUNIT_ASSERT_EQUAL(0, overCapacityAfterUnresolvedStart(true));
  }
  void unresolvedStartLosesItsCapacityWithoutProtection() {
    CPPUNIT_ASSERT_EQUAL(1, overCapacityAfterUnresolvedStart(false));
  }

  // Guards against a job that waits for ever for a start that was lost.
  void startThatNeverArrivedIsReportedAsNotRun() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    bool Down = true;
    World.Client.ChooseFault = [&](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.LoseRequest = Down};
    };
    const auto Reply = Owner.place(Owner.placeRequest("a"));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, Reply.status());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN,
                         Owner.status("a", true).status());
    Down = false;
    World.run(4s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner.Ends.Ended.size());
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN,
                         Owner.Ends.Ended[0].outcome());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NOT_FOUND,
                         Owner.status("a", true).status());
  }

  // Guards against a takeover that restarts or overcommits.
  void takeoverAdoptsRunningTasks() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    Worker.startHere("old#0", 3, 3000, 100);
    RackOwner Owner(World);
    Owner.own(true);
    CPPUNIT_ASSERT(Owner.hasEvent("task_adopted"));
    CPPUNIT_ASSERT_EQUAL(std::string("running"),
                         Owner.status("old", false, 3).state());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("a", 2000)).status());
    // The adopted task is renewed by its new owner.
    World.run(200s, 50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Worker.running().size());
    // Another attempt of the same task is refused while this one runs.
    CPPUNIT_ASSERT_EQUAL(
        peer::STATUS_UNAVAILABLE,
        Owner.place(Owner.placeRequest("old", 500, 4)).status());
    Worker.finish("old#0");
    World.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Owner.Ends.Ended.at(0).attempt());
  }

  // Guards against overcommitment by a start that the expired owner sent just
  // before it died.
  void takeoverWaitsForStartsOfExpiredOwner() {
    CPPUNIT_ASSERT_EQUAL(0, overCapacityAfterTakeover(true));
  }
  void takeoverOvercommitsWithoutReadingFirst() {
    CPPUNIT_ASSERT_EQUAL(1, overCapacityAfterTakeover(false));
  }

  // Guards against a delayed placement that starts after the job owner gave up
  // the attempt.
  void fencedAttemptIsRefused() {
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_FENCED, placeAfterFence(true));
  }
  void fencedAttemptRunsWithoutFence() {
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, placeAfterFence(false));
  }

  // Guards against "not here" while an unread worker may run the task.
  void statusIsNotFoundOnlyWhenAllWorkersWereRead() {
    RackWorld World;
    World.addWorker("w1");
    World.addWorker("w2").startHere("old#0", 1, 1000, 100);
    World.Client.refuseConnections(RackWorld::addressOf("w2"));
    RackOwner Owner(World);
    Owner.own(true);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN,
                         Owner.status("old", true).status());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN,
                         Owner.status("other", true).status());
    World.run(50s, 20ms);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN,
                         Owner.status("old", true).status());
    // Its run lease is over.
    World.run(15s, 20ms);
    CPPUNIT_ASSERT(World.Workers.at("w2")->running().empty());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NOT_FOUND,
                         Owner.status("old", true).status());
  }

  void workerRestartLosesItsTasks() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a"));
    Worker.restart();
    World.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner.Ends.Ended.size());
    CPPUNIT_ASSERT_EQUAL(std::string("worker restarted"),
                         Owner.Ends.Ended[0].detail());
    CPPUNIT_ASSERT(Owner.hasEvent("task_lost"));
    CPPUNIT_ASSERT_EQUAL(
        peer::STATUS_OK,
        Owner.place(Owner.placeRequest("a", 1000, 2)).status());
    CPPUNIT_ASSERT_EQUAL(0, World.History.RanTwice);
  }

  // Guards against a second run while an unreachable worker may still run the
  // task under its lease.
  void silentWorkerLosesItsTasksAfterRunLease() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a"));
    World.Client.refuseConnections(RackWorld::addressOf("w1"));
    while (Owner.Ends.Ended.empty()) {
      World.run(1s, 20ms);
      CPPUNIT_ASSERT(World.Timers.now().time_since_epoch() < 1h + 2min);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("worker lost"),
                         Owner.Ends.Ended[0].detail());
    CPPUNIT_ASSERT(Worker.running().empty());
    // It comes back and lists the task as expired; nothing else happens.
    World.connect("w1");
    World.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Worker.listed());
  }

  // Guards against an end that is lost because the job owner was away.
  void endIsRepeatedUntilAcknowledged() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.Ends.Accept = false;
    Owner.place(Owner.placeRequest("a", 1000, 1, 100));
    World.run(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Worker.listed());
    // The capacity is free all the same.
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK,
                         Owner.place(Owner.placeRequest("b", 4000)).status());
    Owner.Ends.Accept = true;
    World.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Owner.Ends.Ended.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Worker.listed());
  }

  void stopEndsTask() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a"));
    peer::StopTaskRequest Request;
    Request.set_key("a");
    Request.set_attempt(1);
    Request.set_rack("r1");
    Request.set_reason("preempted");
    CPPUNIT_ASSERT_EQUAL(
        peer::STATUS_OK,
        Owner.finish(Owner.Manager.stopTask(Request)).status());
    CPPUNIT_ASSERT(Worker.running().empty());
    World.run(100ms);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_CANCELLED,
                         Owner.Ends.Ended.at(0).outcome());
    Request.set_key("nothing");
    CPPUNIT_ASSERT_EQUAL(
        peer::STATUS_NOT_FOUND,
        Owner.finish(Owner.Manager.stopTask(Request)).status());
  }

  // Guards against gangs that deadlock or overcommit.
  void reservationHoldsCapacityUntilItExpires() {
    RackWorld World;
    World.addWorker("w1");
    World.addWorker("w2");
    RackOwner Owner(World);
    Owner.own();
    peer::ReserveRequest Request;
    Request.set_rack("r1");
    Request.set_target_incarnation(Owner.Ownership.Incarnation);
    Request.mutable_per_task()->set_cpus_milli(3000);
    Request.mutable_per_task()->set_memory_mb(100);
    Request.set_tasks(5);
    Request.set_valid_ms(2000);
    const auto Held = Owner.finish(Owner.Manager.reserve(Request));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Held.status());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), Held.tasks());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("x", 3000)).status());
    auto Place = Owner.placeRequest("gang", 3000);
    Place.set_reservation(Held.reservation());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Owner.place(Place).status());
    World.run(2100ms);
    Place.set_task(1);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY, Owner.place(Place).status());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK,
                         Owner.place(Owner.placeRequest("x", 3000)).status());
    CPPUNIT_ASSERT_EQUAL(0, World.History.OverCapacity);
  }

  void leavingWorkerGetsNoNewWork() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a"));
    World.Instances[0]["state"] = "leaving";
    ++World.ListVersion;
    CPPUNIT_ASSERT(Owner.Upstreams.apply(World.list()).has_value());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("b")).status());
    CPPUNIT_ASSERT_EQUAL(std::string("running"),
                         Owner.status("a", false).state());
  }

  // Guards against work for a leaving worker while the list lags.
  void workerThatSaysItLeavesGetsNoNewWork() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    Worker.State = "leaving";
    World.run(2100ms);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("b")).status());
  }

  // Guards against taking a gap in the list for a dead worker.
  void workerMissingFromListKeepsItsTasks() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    World.addWorker("w2", 100);
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a"));
    World.Instances.erase(0);
    ++World.ListVersion;
    CPPUNIT_ASSERT(Owner.Upstreams.apply(World.list()).has_value());
    World.run(120s, 50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Worker.running().size());
    CPPUNIT_ASSERT(Owner.Ends.Ended.empty());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Owner.place(Owner.placeRequest("b")).status());
  }

  // Guards against a worker that fails every start and so looks the least
  // loaded.
  void failingWorkerIsSetAside() {
    RackWorld World;
    World.addWorker("bad", 2000).FailStarts = true;
    World.addWorker("good", 16000);
    RackOwner Owner(World);
    Owner.own();
    int OnBad = 0;
    for (int I = 0; I < 15; ++I) {
      const auto Reply =
          Owner.place(Owner.placeRequest("k" + std::to_string(I), 500));
      OnBad += Reply.worker() == "bad" ? 1 : 0;
      World.run(20ms);
    }
    // The small worker is the better fit until it is degraded.
    CPPUNIT_ASSERT_EQUAL(3, OnBad);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12),
                         World.Workers.at("good")->running().size());
  }

  // Guards against a successor that does not see a start in the worker's state.
  void releaseWaitsForStartsOnTheirWay() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    World.Client.ChooseFault = [](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.RequestDelay = 1500ms};
    };
    Owner.beginPlace(Owner.placeRequest("a"));
    bool Released = false;
    Owner.Ownership.announceRelease("rack/r1", [&] { Released = true; });
    World.run(500ms);
    CPPUNIT_ASSERT(!Released);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE,
                         Owner.place(Owner.placeRequest("b")).status());
    World.run(1700ms);
    CPPUNIT_ASSERT(Released);
    CPPUNIT_ASSERT_EQUAL(1, World.History.Starts);
  }

  void loadAndUseCountCommittedTasks() {
    RackWorld World;
    World.addWorker("w1");
    World.addWorker("w2");
    RackOwner Owner(World);
    Owner.own();
    Owner.place(Owner.placeRequest("a", 3000));
    const auto Loads = Owner.Manager.rackLoads();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loads.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000), Loads[0].free().cpus_milli());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8000), Loads[0].total().cpus_milli());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4000),
                         Loads[0].largest_free().cpus_milli());
    const auto Uses = Owner.Manager.memberUse();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Uses.size());
    CPPUNIT_ASSERT_EQUAL(std::string("kernvaal"), Uses[0].member());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.375, Uses[0].dominant_share(), 1e-9);
  }

  // Guards against a second copy of a start that the HTTP client sends after
  // the worker restarted.
  void nonRepeatableStartIsSentOnce() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    auto Request = Owner.placeRequest("a");
    Request.set_non_repeatable(true);
    Owner.place(Request);
    int Once = 0;
    for (const auto &Sent : World.Client.SentRequests) {
      const bool Start = Sent.Body.find("start") != std::string::npos;
      CPPUNIT_ASSERT_EQUAL(Start, !Sent.MayResend);
      Once += Sent.MayResend ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(1, Once);
  }

  // Guards against "not run" for a task that ran until its worker restarted.
  void startLostInRestartIsNotReportedAsNotRun() {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    bool Lossy = true;
    World.Client.ChooseFault = [&](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.LoseReply = Lossy};
    };
    auto Placed = Owner.beginPlace(Owner.placeRequest("a"));
    World.run(500ms);
    CPPUNIT_ASSERT_EQUAL(1, World.History.Starts);
    Worker.restart();
    Lossy = false;
    World.run(5s);
    CPPUNIT_ASSERT(Placed->has_value());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, (*Placed)->status());
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_FAILED,
                         Owner.Ends.Ended.at(0).outcome());
    CPPUNIT_ASSERT_EQUAL(1, World.History.Starts);
  }

  // Guards against a planned stop that cuts off a start.
  void drainWaitsForCallsInProgress() {
    RackWorld World;
    World.addWorker("w1");
    RackOwner Owner(World);
    Owner.own();
    World.Client.ChooseFault = [](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.RequestDelay = 500ms};
    };
    auto Placed = Owner.beginPlace(Owner.placeRequest("a"));
    bool Drained = false;
    asio::co_spawn(World.Context, Owner.Manager.drain(),
                   [&](const std::exception_ptr &) { Drained = true; });
    World.run(100ms);
    CPPUNIT_ASSERT(!Drained);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE,
                         Owner.place(Owner.placeRequest("b")).status());
    World.run(1s);
    CPPUNIT_ASSERT(Drained);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, (*Placed)->status());
  }

  // Guards against shares that forget a member's tasks after a takeover.
  void originOfAdoptedTaskIsLookedUp() {
    RackWorld World;
    World.addWorker("w1").startHere("old#0", 1, 1000, 100);
    RackOwner Owner(World);
    Owner.Manager.setOriginLookup([](const std::string &Key) {
      return Key == "old" ? std::optional(TaskOrigin{"karri", "hire"})
                          : std::nullopt;
    });
    Owner.own(true);
    const auto Uses = Owner.Manager.memberUse();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Uses.size());
    CPPUNIT_ASSERT_EQUAL(std::string("karri"), Uses[0].member());
    CPPUNIT_ASSERT_EQUAL(std::string("hire"), Uses[0].team());
  }

private:
  static int startsAfterDelay(bool LimitStartLease) {
    RackWorld World;
    World.addWorker("w1");
    RackManagerOptions Options;
    Options.Protections.LimitStartLease = LimitStartLease;
    RackOwner Owner(World, Options);
    Owner.own();
    World.Client.ChooseFault = [](const HttpClientRequest &Request) {
      const bool Start = Request.Body.find("start") != std::string::npos;
      return FakeHttpClient::MessageFault{.RequestDelay = Start ? 2200ms : 0ms};
    };
    CPPUNIT_ASSERT(Owner.place(Owner.placeRequest("a")).status() !=
                   peer::STATUS_OK);
    World.run(5s);
    return World.History.Starts;
  }

  static int overCapacityAfterUnresolvedStart(bool Keep) {
    RackWorld World;
    World.addWorker("w1");
    RackManagerOptions Options;
    Options.Protections.KeepUnresolvedStarts = Keep;
    Options.CallLimit = 900ms;
    RackOwner Owner(World, Options);
    Owner.own();
    // The start arrives after its answer was given up, but within its lease,
    // and a state read in between does not show it.
    int Starts = 0;
    World.Client.ChooseFault = [&](const HttpClientRequest &Request) {
      const bool Start = Request.Body.find("start") != std::string::npos;
      return FakeHttpClient::MessageFault{
          .RequestDelay = Start && Starts++ == 0 ? 1800ms : 0ms};
    };
    Owner.beginPlace(Owner.placeRequest("a", 3000));
    World.run(1500ms);
    Owner.beginPlace(Owner.placeRequest("b", 3000));
    World.run(5s);
    return World.History.OverCapacity;
  }

  static int overCapacityAfterTakeover(bool ReadFirst) {
    RackWorld World;
    FakeWorker &Worker = World.addWorker("w1");
    RackManagerOptions Options;
    Options.Protections.ReadBeforeCommit = ReadFirst;
    if (!ReadFirst) {
      Options.TakeoverWait = 0ms;
      // Without a clock value heard from the worker, the lease alone would
      // keep the start from being run.
      Options.Protections.LimitStartLease = false;
    }
    RackOwner Owner(World, Options);
    Owner.Ownership.acquire("rack/r1", true);
    World.run(20ms);
    auto Placed = Owner.beginPlace(Owner.placeRequest("a", 3000));
    World.run(1s);
    // Was on its way when the previous owner died.
    Worker.startHere("old#0", 1, 3000, 100);
    World.run(3s);
    if (Placed->has_value() && (*Placed)->status() != peer::STATUS_OK)
      Owner.beginPlace(Owner.placeRequest("a", 3000));
    World.run(5s);
    return World.History.OverCapacity;
  }

  static peer::Status placeAfterFence(bool Fence) {
    RackWorld World;
    World.addWorker("w1");
    RackManagerOptions Options;
    Options.Protections.Fence = Fence;
    RackOwner Owner(World, Options);
    Owner.own();
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NOT_FOUND,
                         Owner.status("a", true).status());
    return Owner.place(Owner.placeRequest("a")).status();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RackManagerTest);

} // namespace hickory
