#include "Emulator/PlatformHistoryChecker.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::emulator {

using nlohmann::json;

namespace {

constexpr std::int64_t Second = 1000000;
constexpr const char *JobId = "00000000000000a1";

std::string task(int Step, int Index) {
  return fmt::format("{}.0.{}.{}", JobId, Step, Index);
}

json started(std::int64_t Time, const std::string &Task, int Run,
             const std::string &Worker = "w1") {
  return {{"wall_us", Time},    {"event", "started"}, {"worker", Worker},
          {"born", 1},          {"task", Task},       {"run", Run},
          {"cpus_milli", 1000}, {"memory_mb", 10},    {"accelerators", 0}};
}

json ended(std::int64_t Time, const std::string &Task, int Run,
           const std::string &How, int Number,
           const std::string &Worker = "w1") {
  json Event = started(Time, Task, Run, Worker);
  Event["event"] = "ended";
  Event["how"] = How;
  Event["number"] = Number;
  return Event;
}

json acknowledged(std::int64_t Time, int Number) {
  return {{"wall_us", Time},
          {"event", "acknowledged"},
          {"worker", "w1"},
          {"born", 1},
          {"number", Number}};
}

json lapsed(std::int64_t Time) {
  return {{"wall_us", Time},
          {"event", "lease_lapsed"},
          {"worker", "w1"},
          {"born", 1}};
}

json client(std::int64_t Time, const std::string &Event, int Status,
            const std::string &State = "") {
  return {{"wall_us", Time}, {"sent_us", Time},  {"event", Event},
          {"job", JobId},    {"status", Status}, {"state", State}};
}

/// A job of two tasks and a step after them, accepted and run in order.
PlatformHistory soundHistory() {
  PlatformHistory History;
  json Submit = client(0, "submit", 0);
  Submit["queue"] = "q";
  Submit["steps"] = {{{"count", 2}}, {{"count", 1}, {"depends-on", {0}}}};
  History.Clients = {Submit, client(Second, "submitted", 200)};
  History.Workers = {
      started(2 * Second, task(0, 0), 1),
      started(2 * Second, task(0, 1), 1, "w2"),
      ended(3 * Second, task(0, 0), 1, "done", 1),
      ended(3 * Second, task(0, 1), 1, "done", 1, "w2"),
      started(4 * Second, task(1, 0), 1),
      ended(5 * Second, task(1, 0), 1, "done", 2),
      acknowledged(6 * Second, 2),
  };
  History.Clients.push_back(client(7 * Second, "last_state", 200, "completed"));
  json Worker = {{"cpus_milli", 2000}, {"memory_mb", 100}, {"accelerators", 0}};
  History.Capacity = {{"instances", json::array()}};
  for (const char *Name : {"w1", "w2"}) {
    Worker["name"] = Name;
    History.Capacity["instances"].push_back(Worker);
  }
  History.MaximumAttempts = {{"q", 2}};
  return History;
}

std::uint64_t violations(PlatformHistory History, const std::string &Rule) {
  return PlatformHistoryChecker(std::move(History)).check()[Rule].Violations;
}

} // namespace

/// A check that cannot fail proves nothing, so each one is shown a history that
/// breaks its rule.
class PlatformHistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformHistoryCheckerTest);
  CPPUNIT_TEST(testSoundHistoryHasNoViolation);
  CPPUNIT_TEST(testTwoRunsAtTheSameTime);
  CPPUNIT_TEST(testStartAfterAnAcknowledgedEnd);
  CPPUNIT_TEST(testStartOfAGangAfterOneAcknowledgedEnd);
  CPPUNIT_TEST(testEndThatALapseForgotMayBeRunAgain);
  CPPUNIT_TEST(testUnacknowledgedEndMayBeRunAgain);
  CPPUNIT_TEST(testOverfullWorker);
  CPPUNIT_TEST(testStartBeforeItsDependenciesEnded);
  CPPUNIT_TEST(testAcceptedJobUnknownLater);
  CPPUNIT_TEST(testAcceptedJobThatNeverEnds);
  CPPUNIT_TEST(testFailedWithoutEnoughFailures);
  CPPUNIT_TEST(testCancelledWithoutACancel);
  CPPUNIT_TEST(testCompletedBeforeAllTasksEnded);
  CPPUNIT_TEST(testStartOfARefusedJob);
  CPPUNIT_TEST(testStartOfAnUnknownJob);
  CPPUNIT_TEST_SUITE_END();

public:
  void testSoundHistoryHasNoViolation() {
    for (const auto &[Rule, Found] :
         PlatformHistoryChecker(soundHistory()).check())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Rule, std::uint64_t{0}, Found.Violations);
  }

  void testTwoRunsAtTheSameTime() {
    auto History = soundHistory();
    History.Workers.insert(History.Workers.begin() + 1,
                           started(2 * Second + 1, task(0, 0), 2, "w2"));
    CPPUNIT_ASSERT(violations(History, "TWICE") > 0);
  }

  void testStartAfterAnAcknowledgedEnd() {
    auto History = soundHistory();
    History.Workers.push_back(started(8 * Second, task(0, 0), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
    // Also if the end is acknowledged only after the start.
    std::swap(History.Workers[6], History.Workers[7]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
  }

  void testStartOfAGangAfterOneAcknowledgedEnd() {
    auto History = soundHistory();
    for (json &Event : History.Workers)
      Event["gang"] = true;
    // The end of task 0.1 on w2 was not acknowledged, that of 0.0 was.
    History.Workers.push_back(started(8 * Second, task(0, 1), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
  }

  void testEndThatALapseForgotMayBeRunAgain() {
    auto History = soundHistory();
    History.Workers.insert(History.Workers.begin() + 6, lapsed(5 * Second + 1));
    History.Workers.push_back(started(8 * Second, task(0, 0), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "TWICE"));
  }

  void testUnacknowledgedEndMayBeRunAgain() {
    auto History = soundHistory();
    History.Workers.push_back(started(8 * Second, task(0, 1), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "TWICE"));
  }

  void testOverfullWorker() {
    auto History = soundHistory();
    for (const std::size_t Index : {0, 2})
      History.Workers[Index]["cpus_milli"] = 2001;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LIMIT"));
  }

  void testStartBeforeItsDependenciesEnded() {
    auto History = soundHistory();
    std::swap(History.Workers[3], History.Workers[4]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "ORDER"));
  }

  void testAcceptedJobUnknownLater() {
    auto History = soundHistory();
    History.Clients.push_back(client(5 * Second, "state", 410));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    // Not yet known everywhere.
    History.Clients.back()["sent_us"] = 2 * Second;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "LOST"));
  }

  void testAcceptedJobThatNeverEnds() {
    auto History = soundHistory();
    History.Clients.back()["state"] = "running";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    History.Clients.back()["status"] = 0;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
  }

  void testFailedWithoutEnoughFailures() {
    auto History = soundHistory();
    History.Clients.back()["state"] = "failed";
    History.Workers[5]["how"] = "failed";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    History.MaximumAttempts = {{"q", 1}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "LOST"));
  }

  void testCancelledWithoutACancel() {
    auto History = soundHistory();
    History.Clients.push_back(client(8 * Second, "state", 200, "cancelled"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
  }

  void testCompletedBeforeAllTasksEnded() {
    auto History = soundHistory();
    History.Workers[5]["how"] = "stopped";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "MIXED"));
  }

  void testStartOfARefusedJob() {
    auto History = soundHistory();
    History.Clients[1]["status"] = 503;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, violations(History, "REFUSED"));
    // The first submission had no answer, so it may have been accepted.
    History.Clients.push_back(client(Second, "submitted", 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "REFUSED"));
  }

  void testStartOfAnUnknownJob() {
    auto History = soundHistory();
    History.Workers.push_back(started(8 * Second, "00000000000000b2.0.0.0", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "UNASKED"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformHistoryCheckerTest);

} // namespace hickory::emulator
