#include "Tools/HistoryChecker.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using nlohmann::json;

namespace {

constexpr std::int64_t Second = 1000000;
/// Kinds of failed calls as the load generator records them: the values of
/// ErrorCode.
constexpr int Refused = 3;
constexpr int Unavailable = 5;
constexpr const char *Gateway = "127.0.0.1:1";

/// Two workers of 4000 thousandths of a processor, 100 MB and no accelerator.
json upstreams() {
  json Worker = {{"cpus_milli", 4000}, {"memory_mb", 100}, {"accelerators", 0}};
  json List = json::array();
  for (const char *Name : {"w1", "w2"}) {
    Worker["name"] = Name;
    List.push_back(Worker);
  }
  return {{"instances", List}};
}

json worker(std::int64_t Time, const std::string &Event,
            const std::string &Task, const std::string &Worker = "w1",
            int Cpus = 1000, int Memory = 10) {
  return {{"wall_us", Time},   {"event", Event},      {"task", Task},
          {"worker", Worker},  {"cpus_milli", Cpus},  {"memory_mb", Memory},
          {"accelerators", 0}, {"state", "whatever"}, {"attempt", 1}};
}

json executor(std::int64_t Time, const std::string &Event,
              const std::string &Id, const std::string &Name = "e1") {
  return {{"wall_us", Time}, {"event", Event}, {"id", Id}, {"executor", Name}};
}

json call(std::int64_t Time, int Call, const std::string &Key,
          const std::string &Kind = "request") {
  return {{"t_us", Time},      {"op", "call"}, {"call", Call},
          {"method", "POST"},  {"key", Key},   {"kind", Kind},
          {"gateway", Gateway}};
}

json returned(std::int64_t Time, int Call, const std::string &Key,
              const json &Body, const std::string &Kind = "request") {
  return {{"t_us", Time},  {"op", "return"}, {"call", Call},
          {"key", Key},    {"kind", Kind},   {"gateway", Gateway},
          {"status", 200}, {"body", Body}};
}

json failed(std::int64_t Time, int Call, const std::string &Key, int Code) {
  return {{"t_us", Time},      {"op", "return"},
          {"call", Call},      {"key", Key},
          {"kind", "request"}, {"gateway", Gateway},
          {"error", Code},     {"message", "connection lost"}};
}

json answer(const std::string &Text) {
  return {{"outcome", "completed"}, {"answer", Text}};
}

json notRun() { return {{"outcome", "not_run"}}; }

json fault(std::int64_t Time, const std::string &Kind,
           const std::string &Target = "a") {
  return {{"t_us", Time},
          {"fault", Kind},
          {"target", Target},
          {"gateway", Gateway}};
}

/// An instance closes its gateway.
json closed(std::int64_t Time, const std::string &Slot = "a") {
  return {{"wall_us", Time}, {"event", "closed"}, {"process", Slot}};
}

json probe(std::int64_t Time, const std::string &Slot, int Version,
           bool Ready = true) {
  return {{"t_us", Time},
          {"slot", Slot},
          {"ready", Ready},
          {"config_version", Version}};
}

json accepted(std::int64_t Time, int Version) {
  json Event = fault(Time, "config_accepted");
  Event["version"] = Version;
  return Event;
}

/// Violations of one guarantee. The other guarantees must hold, so that each
/// history shows what its check alone decides.
std::uint64_t violations(const std::string &Guarantee, RunHistory History) {
  History.Upstreams = upstreams();
  const auto Findings = HistoryChecker(std::move(History)).check();
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), Findings.size());
  for (const auto &[Name, Found] : Findings)
    if (Name != Guarantee)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::uint64_t(0), Found.Violations);
  const HistoryChecker::GuaranteeResult &Found = Findings.at(Guarantee);
  CPPUNIT_ASSERT_EQUAL(Found.Violations == 0, Found.Examples.empty());
  return Found.Violations;
}

void assertHolds(const std::string &Guarantee, RunHistory History) {
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                       violations(Guarantee, std::move(History)));
}

void assertViolated(const std::string &Guarantee, RunHistory History) {
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                       violations(Guarantee, std::move(History)));
}

} // namespace

/// Each check has a history that violates its guarantee and the nearest one
/// that does not. A check that misses a violation would make every proof run
/// look clean.
class HistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(findsOvercommittedWorker);
  CPPUNIT_TEST(findsWorkOnUnlistedWorker);
  CPPUNIT_TEST(findsTaskInTwoPlaces);
  CPPUNIT_TEST(findsForeignAnswer);
  CPPUNIT_TEST(findsPartOfAnAnswer);
  CPPUNIT_TEST(findsWorkThatWasSaidNotToHaveRun);
  CPPUNIT_TEST(cancellationIsNoNewRequest);
  CPPUNIT_TEST(findsSecondRunOfNonRepeatableRequest);
  CPPUNIT_TEST(findsNewWorkForLeavingUpstream);
  CPPUNIT_TEST(repeatedLeavingCountsFromTheFirst);
  CPPUNIT_TEST(findsCallCutOffByPlannedStop);
  CPPUNIT_TEST(everyStopOfAnInstanceIsChecked);
  CPPUNIT_TEST(earlierKillExcusesNoPlannedStop);
  CPPUNIT_TEST(findsFailedDrain);
  CPPUNIT_TEST(stopWithoutGatewayIsNotPassedOver);
  CPPUNIT_TEST(findsRevertedConfiguration);
  CPPUNIT_TEST(findsConfigurationThatIsLate);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a sum that ignores a quantity or the ends of tasks.
  void findsOvercommittedWorker() {
    assertHolds("capacity",
                {.Workers = {worker(1, "started", "a#0", "w1", 4000, 60),
                             worker(2, "ended", "a#0", "w1", 4000, 60),
                             worker(3, "started", "b#0", "w1", 2000, 60),
                             worker(4, "started", "c#0", "w1", 2000, 40)}});
    assertViolated("capacity",
                   {.Workers = {worker(1, "started", "a#0", "w1", 4000, 60),
                                worker(2, "started", "b#0", "w1", 1, 10)}});
    assertViolated("capacity",
                   {.Workers = {worker(1, "started", "a#0", "w1", 1000, 60),
                                worker(2, "started", "b#0", "w1", 1000, 41)}});
  }

  // Guards against a checker that fails on a worker that the list lacks; such
  // a worker has no capacity that work could be committed on.
  void findsWorkOnUnlistedWorker() {
    assertViolated("capacity",
                   {.Workers = {worker(1, "started", "a#0", "other", 1, 0)}});
  }

  // Guards against a check that takes every restart of a task for a second
  // place, or none.
  void findsTaskInTwoPlaces() {
    for (const char *End : {"ended", "expired", "stopped", "dropped"})
      assertHolds("single_place", {.Workers = {worker(1, "started", "a#0"),
                                               worker(2, End, "a#0"),
                                               worker(3, "started", "a#0"),
                                               worker(4, "started", "a#1")}});
    assertViolated("single_place", {.Workers = {worker(1, "started", "a#0"),
                                                worker(2, "started", "a#0"),
                                                worker(3, "ended", "a#0")}});
  }

  // Guards against crossed answers that look like answers.
  void findsForeignAnswer() {
    const std::string Own = "answer:payload of a/k:a/k#1";
    assertHolds(
        "own_answer",
        {.Client = {call(1, 1, "a/k"), returned(2, 1, "a/k", answer(Own)),
                    call(3, 2, "a/k"), returned(4, 2, "a/k", answer(Own))}});
    assertViolated(
        "own_answer",
        {.Client = {
             call(1, 1, "a/k"),
             returned(2, 1, "a/k", answer("answer:payload of a/j:a/j#1"))}});
    // Two answers to one key, each of which could be right.
    assertViolated(
        "own_answer",
        {.Client = {
             call(1, 1, "a/k"), returned(2, 1, "a/k", answer(Own)),
             call(3, 2, "a/k"),
             returned(4, 2, "a/k", answer("answer:payload of a/k:a/k#2"))}});
  }

  // Guards against answers that are cut short, have more than was answered, or
  // are missing from a completed request.
  void findsPartOfAnAnswer() {
    for (const char *Text :
         {"answer:payload of a/k:a/k#", "answer:payload of a/k:a/k#1more", ""})
      assertViolated(
          "own_answer",
          {.Client = {call(1, 1, "a/k"), returned(2, 1, "a/k", answer(Text))}});
    assertViolated(
        "own_answer",
        {.Client = {call(1, 1, "a/k"),
                    returned(2, 1, "a/k", {{"outcome", "completed"}})}});
    assertHolds(
        "own_answer",
        {.Client = {call(1, 1, "a/j", "batch"),
                    returned(2, 1, "a/j", {{"outcome", "completed"}}, "batch"),
                    call(3, 2, "a/k"),
                    returned(4, 2, "a/k", {{"outcome", "unknown"}})}});
  }

  // Guards against starts, of requests or tasks, that are not attributed to
  // their key, and against false alarms when the caller asked again.
  void findsWorkThatWasSaidNotToHaveRun() {
    const RunHistory::Events Client = {call(10, 1, "a/k"),
                                       returned(20, 1, "a/k", notRun()),
                                       call(30, 2, "a/k")};
    assertHolds("not_run", {.Client = Client,
                            .Workers = {worker(40, "started", "a/k#0")},
                            .Executors = {executor(15, "started", "a/j#1"),
                                          executor(40, "started", "a/k#1")}});
    for (const std::int64_t Time : {15, 25}) {
      assertViolated("not_run",
                     {.Client = Client,
                      .Executors = {executor(Time, "started", "a/k#1")}});
      assertViolated(
          "not_run",
          {.Client = Client, .Workers = {worker(Time, "started", "a/k#0")}});
    }
    // Without a second call nothing may start at any time.
    assertViolated(
        "not_run",
        {.Client = {call(10, 1, "a/k"), returned(20, 1, "a/k", notRun())},
         .Executors = {executor(90 * Second, "started", "a/k#1")}});
  }

  // Guards against a cancellation that counts as a new request: a job that was
  // said not to have run must not start after it.
  void cancellationIsNoNewRequest() {
    assertViolated(
        "not_run",
        {.Client = {call(10, 1, "a/k", "batch"),
                    returned(20, 1, "a/k", notRun(), "batch"),
                    call(30, 2, "a/k", "cancel-batch"),
                    returned(35, 2, "a/k", {{"cancelled", 0}}, "cancel-batch")},
         .Workers = {worker(40, "started", "a/k#0")}});
  }

  // Guards against a count that takes attempts of one key for different work,
  // or that includes repeatable requests.
  void findsSecondRunOfNonRepeatableRequest() {
    const RunHistory::Events Client = {call(1, 1, "a/once", "once"),
                                       call(1, 2, "a/k", "request")};
    assertHolds("at_most_once",
                {.Client = Client,
                 .Executors = {executor(2, "started", "a/once#1"),
                               executor(3, "ended", "a/once#1"),
                               executor(4, "started", "a/k#1"),
                               executor(5, "started", "a/k#1", "e2")}});
    for (const char *Second : {"a/once#1", "a/once#2"})
      assertViolated("at_most_once",
                     {.Client = Client,
                      .Executors = {executor(2, "started", "a/once#1"),
                                    executor(3, "started", Second, "e2")}});
  }

  // Guards against a grace period without an end, and against ends of old work
  // that are taken for new work.
  void findsNewWorkForLeavingUpstream() {
    const RunHistory::Events Faults = {fault(10 * Second, "leaving", "w1"),
                                       fault(10 * Second, "leaving", "e1")};
    assertHolds("leaving",
                {.Workers = {worker(14 * Second, "started", "a#0"),
                             worker(60 * Second, "ended", "a#0"),
                             worker(60 * Second, "started", "b#0", "w2")},
                 .Executors = {executor(14 * Second, "started", "c#1"),
                               executor(60 * Second, "started", "d#1", "e2")},
                 .Faults = Faults});
    assertViolated(
        "leaving",
        {.Workers = {worker(16 * Second, "started", "a#0")}, .Faults = Faults});
    assertViolated("leaving",
                   {.Executors = {executor(16 * Second, "started", "a#1")},
                    .Faults = Faults});
  }

  // Guards against a second report of leaving that excuses what was started
  // after the first. Utilities/prove may choose the same worker twice.
  void repeatedLeavingCountsFromTheFirst() {
    assertViolated("leaving",
                   {.Workers = {worker(16 * Second, "started", "a#0")},
                    .Faults = {fault(10 * Second, "leaving", "w1"),
                               fault(15 * Second, "leaving", "w1")}});
  }

  // Guards against calls that were in progress when the stop began and are
  // forgotten, and against refusals that are taken for a cut.
  void findsCallCutOffByPlannedStop() {
    const RunHistory::Events Faults = {fault(10 * Second, "drain"),
                                       fault(22 * Second, "drained")};
    const RunHistory::Events Stops = {closed(20 * Second)};
    assertHolds("graceful_stop",
                {.Client = {call(1 * Second, 1, "a/k"),
                            failed(2 * Second, 1, "a/k", Unavailable),
                            call(9 * Second, 2, "a/k"),
                            returned(11 * Second, 2, "a/k", notRun()),
                            call(12 * Second, 3, "a/k"),
                            failed(13 * Second, 3, "a/k", Refused),
                            // Sent after the gateway was closed, before the
                            // driver noticed.
                            call(21 * Second, 4, "a/k"),
                            failed(22 * Second, 4, "a/k", Unavailable)},
                 .Faults = Faults,
                 .Stops = Stops});
    for (const std::int64_t Time : {9, 12})
      assertViolated("graceful_stop",
                     {.Client = {call(Time * Second, 1, "a/k"),
                                 failed(19 * Second, 1, "a/k", Unavailable)},
                      .Faults = Faults,
                      .Stops = Stops});
  }

  // Guards against a later stop of the same instance that hides an earlier one.
  void everyStopOfAnInstanceIsChecked() {
    assertViolated(
        "graceful_stop",
        {.Client = {call(12 * Second, 1, "a/k"),
                    failed(13 * Second, 1, "a/k", Unavailable)},
         .Faults = {fault(10 * Second, "drain"), fault(20 * Second, "drained"),
                    fault(50 * Second, "drain"), fault(60 * Second, "drained")},
         .Stops = {closed(20 * Second), closed(60 * Second)}});
  }

  // Guards against a kill or a pause that excuses every planned stop of the
  // instance in the whole run. Only calls that the fault itself can have cut
  // are excused.
  void earlierKillExcusesNoPlannedStop() {
    for (const char *Kind : {"kill", "pause"}) {
      assertViolated(
          "graceful_stop",
          {.Client = {call(52 * Second, 1, "a/k"),
                      failed(53 * Second, 1, "a/k", Unavailable)},
           .Faults = {fault(10 * Second, Kind), fault(50 * Second, "drain"),
                      fault(60 * Second, "drained")},
           .Stops = {closed(60 * Second)}});
      assertHolds(
          "graceful_stop",
          {.Client = {call(46 * Second, 1, "a/k"),
                      failed(53 * Second, 1, "a/k", Unavailable),
                      call(51 * Second, 2, "a/k"),
                      failed(55 * Second, 2, "a/k", Unavailable)},
           .Faults = {fault(45 * Second, Kind), fault(50 * Second, "drain"),
                      fault(60 * Second, "drained")},
           .Stops = {closed(60 * Second)}});
    }
  }

  // Guards against a stop that ends badly without cutting any recorded call.
  void findsFailedDrain() {
    assertViolated("graceful_stop",
                   {.Faults = {fault(1, "drain"), fault(2, "drain_failed")}});
  }

  // Guards against a script that records no gateway, so that no call can be
  // found that the stop cut off.
  void stopWithoutGatewayIsNotPassedOver() {
    json Stop = fault(1, "drain");
    Stop["gateway"] = "";
    assertViolated("graceful_stop", {.Faults = {Stop}});
  }

  // Guards against versions of different instances that are compared with each
  // other, and against instances that are not ready and may be behind.
  void findsRevertedConfiguration() {
    assertHolds("configuration",
                {.Probes = {probe(1, "a", 2), probe(2, "b", 1),
                            probe(3, "a", 0, false), probe(4, "a", 2)}});
    assertViolated("configuration",
                   {.Probes = {probe(1, "a", 2), probe(2, "a", 1)}});
  }

  // Guards against an instance that never learns of a version.
  void findsConfigurationThatIsLate() {
    const RunHistory::Events Faults = {accepted(10 * Second, 2)};
    assertHolds("configuration", {.Faults = Faults,
                                  .Probes = {probe(27 * Second, "a", 1),
                                             probe(29 * Second, "a", 2)}});
    assertViolated("configuration", {.Faults = Faults,
                                     .Probes = {probe(27 * Second, "a", 1),
                                                probe(29 * Second, "a", 1),
                                                probe(30 * Second, "a", 1)}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace hickory
