#include "Emulator/EmulatedWorkerPool.h"

#include "Fakes/FakeTimerService.h"
#include "Support/RunCoroutine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::emulator {

using namespace std::chrono_literals;

namespace {

constexpr int Conflict = 409;
constexpr const char *FirstTask = "00000000000000a1.0.0.0";
constexpr const char *SecondTask = "00000000000000a1.0.0.1";

EmulatorSettings settings() {
  EmulatorSettings Settings;
  Settings.Workers = 2;
  Settings.CpusMilli = 1000;
  Settings.MaximumLease = 5000ms;
  Settings.GangTimeout = 1000ms;
  Settings.Routes = {{.Name = "q"},
                     {.Name = "a", .Advice = true, .TicketValidMs = 500}};
  return Settings;
}

/// A pool of two workers on a clock that the test advances.
struct WorkerPoolFixture {
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
  /// Outcome of the finished run of a worker that has exactly one.
  std::string onlyFinishedOutcome(int Worker = 0) {
    const json Finished = hold(100, 0, Worker).Body["finished"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Finished.size());
    return Finished[0][3].get<std::string>();
  }
  EmulatedWorker &worker(int Index = 0) {
    return *Pool.workers()[static_cast<std::size_t>(Index)];
  }

  json Spec = {{"queue", "q"}, {"steps", {{{"cpu", 600}, {"ms", 2000}}}}};
  std::string Ticket;
  asio::io_context Context;
  FakeTimerService Timers;
  EmulatorSettings Settings = settings();
  std::vector<json> History;
  std::map<std::string, json> Registry;
  EmulatedWorkerPool Pool{
      Timers, Settings, 1,
      [this](json Event) { History.push_back(std::move(Event)); },
      [this](const std::string &Id, const json &Entry) {
        Registry[Id] = Entry;
      }};
};

void assertRejected(const char *Reason, const CallReply &Reply) {
  CPPUNIT_ASSERT_EQUAL(Conflict, Reply.Status);
  CPPUNIT_ASSERT_EQUAL(std::string(Reason),
                       Reply.Body.value("reason", std::string()));
}

} // namespace

/// Guards against an emulated executor that differs from the platform's. One
/// that accepts more calls reports overlapping runs that cannot happen there;
/// one that accepts fewer hides overlapping runs that can.
class EmulatedWorkerPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EmulatedWorkerPoolTest);
  CPPUNIT_TEST(testLowerFencingTokenIsRejected);
  CPPUNIT_TEST(testCallForAnotherInstanceIsRejected);
  CPPUNIT_TEST(testLeaseIsLimitedToTheMaximum);
  CPPUNIT_TEST(testStartAfterItsDeadlineIsRejected);
  CPPUNIT_TEST(testStoppedRunCannotStartLater);
  CPPUNIT_TEST(testStoppingRunKeepsItsResourcesUntilItEnds);
  CPPUNIT_TEST(testStartBeyondCapacityIsRejected);
  CPPUNIT_TEST(testStartBeyondCapacityRunsWithoutAdmissionCheck);
  CPPUNIT_TEST(testRepeatedStartRunsOnce);
  CPPUNIT_TEST(testFinishedRunsAreReturnedUntilAcknowledged);
  CPPUNIT_TEST(testRestartLosesFencingTokenAndRuns);
  CPPUNIT_TEST(testDeadlyTaskCrashesItsWorker);
  CPPUNIT_TEST(testOnlyTheFirstTaskOfADeadlyJobCrashesWorkers);
  CPPUNIT_TEST(testCrashedWorkerIsBackUnderItsIdOrANewOne);
  CPPUNIT_TEST(testRestartDoesNotReviveACrashedWorker);
  CPPUNIT_TEST(testCrashBreaksTheGangsOfTheWorker);
  CPPUNIT_TEST(testTicketIsRequiredAndExpires);
  CPPUNIT_TEST(testEachStepHasAnApprovedWorker);
  CPPUNIT_TEST(testRunsOfAGangEndTogether);
  CPPUNIT_TEST(testIncompleteGangEndsAlone);
  CPPUNIT_TEST(testStoppedMemberBreaksItsGang);
  CPPUNIT_TEST_SUITE_END();

public:
  void testLowerFencingTokenIsRejected() {
    WorkerPoolFixture Fixture;
    Fixture.hold(5);
    assertRejected("fence", Fixture.start(FirstTask, 1, 4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.worker().runningCount());
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(FirstTask, 1, 5).Status);
    assertRejected("fence", Fixture.stop(FirstTask, 1, 4));
  }

  void testCallForAnotherInstanceIsRejected() {
    WorkerPoolFixture Fixture;
    CPPUNIT_ASSERT_EQUAL(
        421, Fixture.worker().start(json::object(), "other").Status);
  }

  void testLeaseIsLimitedToTheMaximum() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["steps"][0]["ms"] = 60000;
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(4999ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.worker().runningCount());
    Fixture.Timers.advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), Fixture.onlyFinishedOutcome());
  }

  void testStartAfterItsDeadlineIsRejected() {
    WorkerPoolFixture Fixture;
    Fixture.Timers.advance(100ms);
    assertRejected("late", Fixture.start(FirstTask, 1, 1, 100ms));
  }

  void testStoppedRunCannotStartLater() {
    WorkerPoolFixture Fixture;
    CPPUNIT_ASSERT_EQUAL(200, Fixture.stop(FirstTask, 2, 1).Status);
    assertRejected("old", Fixture.start(FirstTask, 1, 1));
    assertRejected("old", Fixture.start(FirstTask, 2, 1));
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(FirstTask, 3, 1).Status);
  }

  void testStoppingRunKeepsItsResourcesUntilItEnds() {
    WorkerPoolFixture Fixture;
    Fixture.start(FirstTask, 1, 1);
    Fixture.stop(FirstTask, 1, 1);
    assertRejected("room", Fixture.start(SecondTask, 1, 1));
    Fixture.Timers.advance(Fixture.Settings.StopDuration);
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"), Fixture.onlyFinishedOutcome());
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(SecondTask, 1, 100).Status);
  }

  void testStartBeyondCapacityIsRejected() {
    WorkerPoolFixture Fixture;
    Fixture.start(FirstTask, 1, 1);
    assertRejected("room", Fixture.start(SecondTask, 1, 1));
  }

  void testStartBeyondCapacityRunsWithoutAdmissionCheck() {
    WorkerPoolFixture Fixture;
    Fixture.Settings.AdmissionCheck = false;
    Fixture.start(FirstTask, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(SecondTask, 1, 1).Status);
  }

  void testRepeatedStartRunsOnce() {
    WorkerPoolFixture Fixture;
    Fixture.start(FirstTask, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(FirstTask, 1, 1).Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.worker().runningCount());
  }

  void testFinishedRunsAreReturnedUntilAcknowledged() {
    WorkerPoolFixture Fixture;
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Fixture.onlyFinishedOutcome());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Fixture.onlyFinishedOutcome());
    CPPUNIT_ASSERT(Fixture.hold(100, 1).Body["finished"].empty());
    CPPUNIT_ASSERT_EQUAL(std::string("acknowledged"),
                         Fixture.History.back()["event"].get<std::string>());
  }

  void testRestartLosesFencingTokenAndRuns() {
    WorkerPoolFixture Fixture;
    Fixture.start(FirstTask, 1, 9);
    const std::int64_t FirstBootTimeMs = Fixture.worker().bootTimeMs();
    Fixture.worker().restart();
    CPPUNIT_ASSERT(Fixture.worker().bootTimeMs() > FirstBootTimeMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.worker().runningCount());
    Fixture.Timers.advance(10s);
    CPPUNIT_ASSERT(Fixture.hold(1).Body["finished"].empty());
  }

  // Without the crash, or if a run survived it, the rules on tasks that crash
  // workers would never be checked.
  void testDeadlyTaskCrashesItsWorker() {
    WorkerPoolFixture Fixture;
    Fixture.Settings.AdmissionCheck = false;
    Fixture.start(SecondTask, 1, 9);
    Fixture.Spec["crash-after-ms"] = 5;
    Fixture.start(FirstTask, 3, 9);
    std::vector<bool> ListeningCalls;
    Fixture.worker().SetListening = [&](bool IsUp) {
      ListeningCalls.push_back(IsUp);
    };
    const std::int64_t FirstBootTimeMs = Fixture.worker().bootTimeMs();
    Fixture.Timers.advance(4ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Fixture.worker().runningCount());
    Fixture.History.clear();
    Fixture.Timers.advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.worker().runningCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Fixture.History.size());
    const json Crash = Fixture.History.front();
    CPPUNIT_ASSERT_EQUAL(std::string("crashed"),
                         Crash["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("w000"),
                         Crash["worker"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(FirstBootTimeMs, Crash["born"].get<std::int64_t>());
    CPPUNIT_ASSERT_EQUAL(std::string(FirstTask),
                         Crash["task"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(3, Crash["run"].get<int>());
    for (const std::size_t Index : {1, 2})
      CPPUNIT_ASSERT_EQUAL(std::string("dropped"),
                           Fixture.History[Index]["event"].get<std::string>());
    Fixture.Timers.advance(2999ms);
    CPPUNIT_ASSERT(std::vector<bool>{false} == ListeningCalls);
    Fixture.Timers.advance(1ms);
    CPPUNIT_ASSERT((std::vector<bool>{false, true}) == ListeningCalls);
    CPPUNIT_ASSERT(Fixture.worker().bootTimeMs() > FirstBootTimeMs);
    // It knows nothing of its former fencing token, runs and ends.
    const json Reply = Fixture.hold(1).Body;
    CPPUNIT_ASSERT(Reply["running"].empty());
    CPPUNIT_ASSERT(Reply["finished"].empty());
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(SecondTask, 1, 1).Status);
  }

  void testOnlyTheFirstTaskOfADeadlyJobCrashesWorkers() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["crash-after-ms"] = 5;
    Fixture.Spec["steps"].push_back({{"cpu", 100}, {"ms", 2000}});
    Fixture.start(SecondTask, 1, 1);
    Fixture.start("00000000000000a1.0.1.0", 1, 1);
    Fixture.Timers.advance(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Fixture.worker().runningCount());
  }

  void testCrashedWorkerIsBackUnderItsIdOrANewOne() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["crash-after-ms"] = 5;
    Fixture.worker().Address = "127.0.0.1:1";
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("w000"), Fixture.worker().id());
    Fixture.start(FirstTask, 2, 1);
    Fixture.Timers.advance(5ms);
    CPPUNIT_ASSERT_EQUAL(std::string("w000"), Fixture.worker().id());
    Fixture.Timers.advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("w000-2"), Fixture.worker().id());
    CPPUNIT_ASSERT(Fixture.Registry.at("w000").is_null());
    CPPUNIT_ASSERT_EQUAL(
        std::string("127.0.0.1:1"),
        Fixture.Registry.at("w000-2")["address"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(421,
                         Fixture.worker().start(json::object(), "w000").Status);
  }

  // A restart would end the time in which the worker is down.
  void testRestartDoesNotReviveACrashedWorker() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["crash-after-ms"] = 5;
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(5ms);
    const std::size_t EventCount = Fixture.History.size();
    Fixture.worker().restart();
    CPPUNIT_ASSERT_EQUAL(EventCount, Fixture.History.size());
  }

  void testCrashBreaksTheGangsOfTheWorker() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Fixture.Spec["crash-after-ms"] = 5;
    Fixture.start(FirstTask, 1, 1);
    Fixture.start(SecondTask, 1, 1, 60s, 1);
    Fixture.Timers.advance(5ms);
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), Fixture.onlyFinishedOutcome(1));
  }

  void testTicketIsRequiredAndExpires() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["queue"] = "a";
    assertRejected("ticket", Fixture.start(FirstTask, 1, 1));
    Fixture.Ticket =
        Fixture.Pool.issueTicket("00000000000000a1.0.0", Fixture.worker());
    CPPUNIT_ASSERT_EQUAL(200, Fixture.start(FirstTask, 1, 1).Status);
    assertRejected("ticket", Fixture.start(FirstTask, 1, 1, 60s, 1));
    Fixture.Timers.advance(501ms);
    assertRejected("ticket", Fixture.start(SecondTask, 1, 1));
  }

  // A step without an approved worker kept its job from ending, which counted
  // as LOST (seed 8 of the short run).
  void testEachStepHasAnApprovedWorker() {
    WorkerPoolFixture Fixture;
    Fixture.Settings.Routes.front().Advice = true;
    Fixture.Settings.Routes.front().ApprovedWorkerShare = 0.01;
    for (int Step = 0; Step < 50; ++Step) {
      const std::string Name = fmt::format("j.0.{}", Step);
      CPPUNIT_ASSERT(Fixture.Pool.isApproved(Name, Fixture.worker(0).id()) ||
                     Fixture.Pool.isApproved(Name, Fixture.worker(1).id()));
    }
  }

  void testRunsOfAGangEndTogether() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(900ms);
    Fixture.start(SecondTask, 1, 1, 60s, 1);
    Fixture.Timers.advance(1999ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.worker(1).runningCount());
    Fixture.Timers.advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Fixture.onlyFinishedOutcome(0));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Fixture.onlyFinishedOutcome(1));
  }

  void testIncompleteGangEndsAlone() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Fixture.start(FirstTask, 1, 1);
    Fixture.Timers.advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("alone"), Fixture.onlyFinishedOutcome());
  }

  void testStoppedMemberBreaksItsGang() {
    WorkerPoolFixture Fixture;
    Fixture.Spec["steps"][0].update({{"gang", true}, {"count", 2}});
    Fixture.start(FirstTask, 1, 1);
    Fixture.start(SecondTask, 1, 1, 60s, 1);
    Fixture.stop(FirstTask, 1, 1);
    Fixture.Timers.advance(Fixture.Settings.StopDuration);
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"),
                         Fixture.onlyFinishedOutcome(0));
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), Fixture.onlyFinishedOutcome(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EmulatedWorkerPoolTest);

} // namespace hickory::emulator
