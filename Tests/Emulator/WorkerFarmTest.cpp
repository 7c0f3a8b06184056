#include "Emulator/WorkerFarm.h"

#include "Fakes/FakeTimerService.h"
#include "Support/RunCoroutine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::emulator {

using namespace std::chrono_literals;

namespace {

constexpr int Refused = 409;
constexpr const char *First = "00000000000000a1.0.0.0";
constexpr const char *Second = "00000000000000a1.0.0.1";

EmulatorSettings settings() {
  EmulatorSettings Made;
  Made.Workers = 2;
  Made.Cpu = 1000;
  Made.LongestLease = 5000ms;
  Made.GangTimeout = 1000ms;
  Made.Routes = {{.Name = "q"}, {.Name = "a", .Advice = true, .ValidMs = 500}};
  return Made;
}

/// Two workers whose time the test advances.
struct FarmBench {
  CallReply start(const std::string &Task, int Run, int Token,
                  std::chrono::milliseconds Deadline = 60s, int Worker = 0) {
    json Body = {{"task", Task},
                 {"run", Run},
                 {"spec", Spec.dump()},
                 {"deadline-ms", Deadline.count()},
                 {"fencing-token", Token}};
    if (!Ticket.empty())
      Body["ticket"] = Ticket;
    return worker(Worker).start(Body, worker(Worker).id());
  }
  CallReply stop(const std::string &Task, int Run, int Token) {
    return worker().stop(
        {{"task", Task}, {"run", Run}, {"fencing-token", Token}},
        worker().id());
  }
  CallReply hold(int Token, int Acknowledged = 0, int Worker = 0) {
    return runCoroutine(Context,
                        worker(Worker).hold({{"fencing-token", Token},
                                             {"acknowledged", Acknowledged}},
                                            worker(Worker).id()));
  }
  /// How the only listed end of a worker came about.
  std::string onlyEnd(int Worker = 0) {
    const json Ends = hold(100, 0, Worker).Body["finished"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ends.size());
    return Ends[0][3].get<std::string>();
  }
  EmulatedWorker &worker(int Number = 0) {
    return *Farm.workers()[static_cast<std::size_t>(Number)];
  }

  json Spec = {{"queue", "q"}, {"steps", {{{"cpu", 600}, {"ms", 2000}}}}};
  std::string Ticket;
  asio::io_context Context;
  FakeTimerService Timers;
  EmulatorSettings Settings = settings();
  std::vector<json> History;
  WorkerFarm Farm{Timers, Settings, 1,
                  [this](json Event) { History.push_back(std::move(Event)); },
                  [](const std::string &, const json &) {}};
};

void assertReason(const char *Reason, const CallReply &Reply) {
  CPPUNIT_ASSERT_EQUAL(Refused, Reply.Status);
  CPPUNIT_ASSERT_EQUAL(std::string(Reason),
                       Reply.Body.value("reason", std::string()));
}

} // namespace

/// An executor that carries out what the platform's would refuse makes runs
/// overlap that cannot, and the other way round hides overlaps.
class WorkerFarmTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerFarmTest);
  CPPUNIT_TEST(testLowerTokenIsRefused);
  CPPUNIT_TEST(testOtherInstanceIsRefused);
  CPPUNIT_TEST(testLeaseEndsAfterItsLongestTime);
  CPPUNIT_TEST(testLateStartIsRefused);
  CPPUNIT_TEST(testStoppedRunCannotStartLater);
  CPPUNIT_TEST(testStoppedRunKeepsItsRoomUntilItsEndIsListed);
  CPPUNIT_TEST(testOverfullWorkerRefuses);
  CPPUNIT_TEST(testWorkerWithoutAdmissionCheckIsOverfilled);
  CPPUNIT_TEST(testRepeatedStartRunsOnce);
  CPPUNIT_TEST(testEndsAreListedUntilAcknowledged);
  CPPUNIT_TEST(testRestartForgetsTheFenceAndTheRuns);
  CPPUNIT_TEST(testTicketIsNeededAndLapses);
  CPPUNIT_TEST(testEachStepHasAGoodWorker);
  CPPUNIT_TEST(testGangEndsTogether);
  CPPUNIT_TEST(testGangWithoutAMemberEndsAlone);
  CPPUNIT_TEST(testStoppedMemberBreaksItsGang);
  CPPUNIT_TEST_SUITE_END();

public:
  void testLowerTokenIsRefused() {
    FarmBench Bench;
    Bench.hold(5);
    assertReason("fence", Bench.start(First, 1, 4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Bench.worker().running());
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(First, 1, 5).Status);
    assertReason("fence", Bench.stop(First, 1, 4));
  }

  void testOtherInstanceIsRefused() {
    FarmBench Bench;
    CPPUNIT_ASSERT_EQUAL(421,
                         Bench.worker().start(json::object(), "other").Status);
  }

  void testLeaseEndsAfterItsLongestTime() {
    FarmBench Bench;
    Bench.Spec["steps"][0]["ms"] = 60000;
    Bench.start(First, 1, 1);
    Bench.Timers.advance(4999ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Bench.worker().running());
    Bench.Timers.advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), Bench.onlyEnd());
  }

  void testLateStartIsRefused() {
    FarmBench Bench;
    Bench.Timers.advance(100ms);
    assertReason("late", Bench.start(First, 1, 1, 100ms));
  }

  void testStoppedRunCannotStartLater() {
    FarmBench Bench;
    CPPUNIT_ASSERT_EQUAL(200, Bench.stop(First, 2, 1).Status);
    assertReason("old", Bench.start(First, 1, 1));
    assertReason("old", Bench.start(First, 2, 1));
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(First, 3, 1).Status);
  }

  void testStoppedRunKeepsItsRoomUntilItsEndIsListed() {
    FarmBench Bench;
    Bench.start(First, 1, 1);
    Bench.stop(First, 1, 1);
    assertReason("room", Bench.start(Second, 1, 1));
    Bench.Timers.advance(Bench.Settings.StopTime);
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"), Bench.onlyEnd());
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(Second, 1, 100).Status);
  }

  void testOverfullWorkerRefuses() {
    FarmBench Bench;
    Bench.start(First, 1, 1);
    assertReason("room", Bench.start(Second, 1, 1));
  }

  void testWorkerWithoutAdmissionCheckIsOverfilled() {
    FarmBench Bench;
    Bench.Settings.AdmissionCheck = false;
    Bench.start(First, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(Second, 1, 1).Status);
  }

  void testRepeatedStartRunsOnce() {
    FarmBench Bench;
    Bench.start(First, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(First, 1, 1).Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Bench.worker().running());
  }

  void testEndsAreListedUntilAcknowledged() {
    FarmBench Bench;
    Bench.start(First, 1, 1);
    Bench.Timers.advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Bench.onlyEnd());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Bench.onlyEnd());
    CPPUNIT_ASSERT(Bench.hold(100, 1).Body["finished"].empty());
    CPPUNIT_ASSERT_EQUAL(std::string("acknowledged"),
                         Bench.History.back()["event"].get<std::string>());
  }

  void testRestartForgetsTheFenceAndTheRuns() {
    FarmBench Bench;
    Bench.start(First, 1, 9);
    const std::int64_t Born = Bench.worker().born();
    Bench.worker().restart();
    CPPUNIT_ASSERT(Bench.worker().born() > Born);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Bench.worker().running());
    Bench.Timers.advance(10s);
    CPPUNIT_ASSERT(Bench.hold(1).Body["finished"].empty());
  }

  void testTicketIsNeededAndLapses() {
    FarmBench Bench;
    Bench.Spec["queue"] = "a";
    assertReason("ticket", Bench.start(First, 1, 1));
    Bench.Ticket = Bench.Farm.ticket("00000000000000a1.0.0", Bench.worker());
    CPPUNIT_ASSERT_EQUAL(200, Bench.start(First, 1, 1).Status);
    assertReason("ticket", Bench.start(First, 1, 1, 60s, 1));
    Bench.Timers.advance(501ms);
    assertReason("ticket", Bench.start(Second, 1, 1));
  }

  // A step that no worker may run kept its job from ending, which counted as
  // LOST (seed 8 of the short run).
  void testEachStepHasAGoodWorker() {
    FarmBench Bench;
    Bench.Settings.Routes.front().Advice = true;
    Bench.Settings.Routes.front().GoodShare = 0.01;
    for (int Step = 0; Step < 50; ++Step) {
      const std::string Name = fmt::format("j.0.{}", Step);
      CPPUNIT_ASSERT(Bench.Farm.isGood(Name, Bench.worker(0).id()) ||
                     Bench.Farm.isGood(Name, Bench.worker(1).id()));
    }
  }

  void testGangEndsTogether() {
    FarmBench Bench;
    Bench.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Bench.start(First, 1, 1);
    Bench.Timers.advance(900ms);
    Bench.start(Second, 1, 1, 60s, 1);
    Bench.Timers.advance(1999ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Bench.worker(1).running());
    Bench.Timers.advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Bench.onlyEnd(0));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Bench.onlyEnd(1));
  }

  void testGangWithoutAMemberEndsAlone() {
    FarmBench Bench;
    Bench.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Bench.start(First, 1, 1);
    Bench.Timers.advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("alone"), Bench.onlyEnd());
  }

  void testStoppedMemberBreaksItsGang() {
    FarmBench Bench;
    Bench.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Bench.start(First, 1, 1);
    Bench.start(Second, 1, 1, 60s, 1);
    Bench.stop(First, 1, 1);
    Bench.Timers.advance(Bench.Settings.StopTime);
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"), Bench.onlyEnd(0));
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), Bench.onlyEnd(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerFarmTest);

} // namespace hickory::emulator
