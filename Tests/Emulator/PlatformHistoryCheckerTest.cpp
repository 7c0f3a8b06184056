#include "Emulator/PlatformHistoryChecker.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::emulator {

using nlohmann::json;

namespace {

constexpr std::int64_t SecondUs = 1000000;
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

json leaseExpired(std::int64_t Time) {
  return {{"wall_us", Time},
          {"event", "lease_lapsed"},
          {"worker", "w1"},
          {"born", 1}};
}

/// The worker crashes under the task, which ends as dropped.
void addCrash(RunHistory::Events &Events, std::int64_t Time,
              const std::string &Task, int Run,
              const std::string &Worker = "w1") {
  json Event = started(Time, Task, Run, Worker);
  for (const char *Name : {"crashed", "dropped"}) {
    Event["event"] = Name;
    Events.push_back(Event);
  }
}

json client(std::int64_t Time, const std::string &Event, int Status,
            const std::string &State = "") {
  return {{"wall_us", Time}, {"sent_us", Time},  {"event", Event},
          {"job", JobId},    {"status", Status}, {"state", State}};
}

/// A job with a step of two tasks and a step that depends on it, accepted and
/// run in order.
PlatformHistory validHistory() {
  PlatformHistory History;
  json Submit = client(0, "submit", 0);
  Submit["queue"] = "q";
  Submit["steps"] = {{{"count", 2}}, {{"count", 1}, {"depends-on", {0}}}};
  History.Clients = {Submit, client(SecondUs, "submitted", 200)};
  History.Workers = {
      started(2 * SecondUs, task(0, 0), 1),
      started(2 * SecondUs, task(0, 1), 1, "w2"),
      ended(3 * SecondUs, task(0, 0), 1, "done", 1),
      ended(3 * SecondUs, task(0, 1), 1, "done", 1, "w2"),
      started(4 * SecondUs, task(1, 0), 1),
      ended(5 * SecondUs, task(1, 0), 1, "done", 2),
      acknowledged(6 * SecondUs, 2),
  };
  History.Clients.push_back(
      client(7 * SecondUs, "last_state", 200, "completed"));
  json Worker = {{"cpus_milli", 2000}, {"memory_mb", 100}, {"accelerators", 0}};
  History.Capacity = {{"instances", json::array()}};
  for (const char *Name : {"w1", "w2"}) {
    Worker["name"] = Name;
    History.Capacity["instances"].push_back(Worker);
  }
  History.MaximumAttempts = {{"q", 2}};
  return History;
}

/// Before the tasks of the valid history start, its first task is started and
/// crashes its worker as many times as given; the last start is the last run.
PlatformHistory historyWithCrashes(int Crashes) {
  PlatformHistory History = validHistory();
  RunHistory::Events Events;
  std::int64_t Time = SecondUs;
  int Run = 1;
  for (; Run <= Crashes; ++Run) {
    Events.push_back(started(++Time, task(0, 0), Run));
    addCrash(Events, ++Time, task(0, 0), Run);
  }
  History.Workers.front()["run"] = Run;
  History.Workers.insert(History.Workers.begin(), Events.begin(), Events.end());
  return History;
}

std::uint64_t violations(PlatformHistory History, const std::string &Rule) {
  return PlatformHistoryChecker(std::move(History)).check()[Rule].Violations;
}

} // namespace

/// Guards against checks that never report a violation: each check gets a
/// history that violates its rule.
class PlatformHistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformHistoryCheckerTest);
  CPPUNIT_TEST(testValidHistoryHasNoViolation);
  CPPUNIT_TEST(testConcurrentRunsAreReported);
  CPPUNIT_TEST(testStartAfterAnAcknowledgedEndIsReported);
  CPPUNIT_TEST(testStartOfAGangAfterOneAcknowledgedEndIsReported);
  CPPUNIT_TEST(testEndDiscardedByLeaseExpiryMayBeRunAgain);
  CPPUNIT_TEST(testUnacknowledgedEndMayBeRunAgain);
  CPPUNIT_TEST(testExceededCapacityIsReported);
  CPPUNIT_TEST(testStartBeforeDependenciesEndedIsReported);
  CPPUNIT_TEST(testAcceptedJobUnknownLaterIsReported);
  CPPUNIT_TEST(testAcceptedJobThatNeverEndsIsReported);
  CPPUNIT_TEST(testFailedJobWithoutEnoughFailuresIsReported);
  CPPUNIT_TEST(testThirdStartAfterThreeCrashesIsReported);
  CPPUNIT_TEST(testCrashesCountForTheTaskThatCausedThem);
  CPPUNIT_TEST(testFailedJobWithOneCrashIsReported);
  CPPUNIT_TEST(testCrashesUnderDifferentTasksAreNotAddedUp);
  CPPUNIT_TEST(testCancelledJobWithoutCancelIsReported);
  CPPUNIT_TEST(testCompletedJobWithUnfinishedTasksIsReported);
  CPPUNIT_TEST(testStartOfARejectedJobIsReported);
  CPPUNIT_TEST(testStartOfAnUnknownJobIsReported);
  CPPUNIT_TEST_SUITE_END();

public:
  void testValidHistoryHasNoViolation() {
    for (const auto &[Rule, Result] :
         PlatformHistoryChecker(validHistory()).check())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Rule, std::uint64_t{0}, Result.Violations);
  }

  void testConcurrentRunsAreReported() {
    auto History = validHistory();
    History.Workers.insert(History.Workers.begin() + 1,
                           started(2 * SecondUs + 1, task(0, 0), 2, "w2"));
    CPPUNIT_ASSERT(violations(History, "TWICE") > 0);
  }

  void testStartAfterAnAcknowledgedEndIsReported() {
    auto History = validHistory();
    History.Workers.push_back(started(8 * SecondUs, task(0, 0), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
    // The second start is also a violation if the first end is acknowledged
    // only after it.
    std::swap(History.Workers[6], History.Workers[7]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
  }

  void testStartOfAGangAfterOneAcknowledgedEndIsReported() {
    auto History = validHistory();
    for (json &Event : History.Workers)
      Event["gang"] = true;
    // The end of task 0.0 was acknowledged, the end of task 0.1 on w2 was not.
    History.Workers.push_back(started(8 * SecondUs, task(0, 1), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "TWICE"));
  }

  void testEndDiscardedByLeaseExpiryMayBeRunAgain() {
    auto History = validHistory();
    History.Workers.insert(History.Workers.begin() + 6,
                           leaseExpired(5 * SecondUs + 1));
    History.Workers.push_back(started(8 * SecondUs, task(0, 0), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "TWICE"));
  }

  void testUnacknowledgedEndMayBeRunAgain() {
    auto History = validHistory();
    History.Workers.push_back(started(8 * SecondUs, task(0, 1), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "TWICE"));
  }

  void testExceededCapacityIsReported() {
    auto History = validHistory();
    for (const std::size_t Index : {0, 2})
      History.Workers[Index]["cpus_milli"] = 2001;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LIMIT"));
  }

  void testStartBeforeDependenciesEndedIsReported() {
    auto History = validHistory();
    std::swap(History.Workers[3], History.Workers[4]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "ORDER"));
  }

  void testAcceptedJobUnknownLaterIsReported() {
    auto History = validHistory();
    History.Clients.push_back(client(5 * SecondUs, "state", 410));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    // Shortly after the acceptance, not all instances know the job yet.
    History.Clients.back()["sent_us"] = 2 * SecondUs;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "LOST"));
  }

  void testAcceptedJobThatNeverEndsIsReported() {
    auto History = validHistory();
    History.Clients.back()["state"] = "running";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    History.Clients.back()["status"] = 0;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
  }

  void testFailedJobWithoutEnoughFailuresIsReported() {
    auto History = validHistory();
    History.Clients.back()["state"] = "failed";
    History.Workers[5]["how"] = "failed";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
    History.MaximumAttempts = {{"q", 1}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "LOST"));
  }

  void testThirdStartAfterThreeCrashesIsReported() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         violations(historyWithCrashes(4), "BUDGET"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         violations(historyWithCrashes(5), "BUDGET"));
    // A task that goes on like this is one violation.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         violations(historyWithCrashes(20), "BUDGET"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                         PlatformHistoryChecker(historyWithCrashes(20))
                             .check()["BUDGET"]
                             .Checked);
  }

  // Guards against a check that reports tasks that were beside the cause of
  // the crashes, which may be started again without limit.
  void testCrashesCountForTheTaskThatCausedThem() {
    auto History = historyWithCrashes(5);
    for (json &Event : History.Workers)
      if (Event["event"] == "crashed")
        Event["task"] = task(0, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "BUDGET"));
  }

  void testFailedJobWithOneCrashIsReported() {
    for (const int Crashes : {1, 2}) {
      auto History = historyWithCrashes(Crashes);
      History.Clients.back()["state"] = "failed";
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{Crashes == 1 ? 1U : 0U},
                           violations(History, "LOST"));
    }
  }

  // Guards against a check that accepts a failed job because several workers
  // have crashed, although only one under each of its tasks.
  void testCrashesUnderDifferentTasksAreNotAddedUp() {
    auto History = historyWithCrashes(2);
    History.Clients.back()["state"] = "failed";
    for (json &Event : History.Workers)
      if (Event["run"] == 2)
        Event["task"] = task(0, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
  }

  void testCancelledJobWithoutCancelIsReported() {
    auto History = validHistory();
    History.Clients.push_back(client(8 * SecondUs, "state", 200, "cancelled"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "LOST"));
  }

  void testCompletedJobWithUnfinishedTasksIsReported() {
    auto History = validHistory();
    History.Workers[5]["how"] = "stopped";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "MIXED"));
  }

  void testStartOfARejectedJobIsReported() {
    auto History = validHistory();
    History.Clients[1]["status"] = 503;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, violations(History, "REFUSED"));
    // A further submission had no answer, so it may have been accepted.
    History.Clients.push_back(client(SecondUs, "submitted", 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, violations(History, "REFUSED"));
  }

  void testStartOfAnUnknownJobIsReported() {
    auto History = validHistory();
    History.Workers.push_back(
        started(8 * SecondUs, "00000000000000b2.0.0.0", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, violations(History, "UNASKED"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformHistoryCheckerTest);

} // namespace hickory::emulator
