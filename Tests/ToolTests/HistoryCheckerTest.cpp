#include "Tools/HistoryChecker.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using nlohmann::json;

namespace {

constexpr std::int64_t SecondUs = 1000000;
/// Values of ErrorCode, which the load generator records for failed calls.
constexpr int Refused = 3;
constexpr int Unavailable = 5;
constexpr const char *Gateway = "127.0.0.1:1";

/// Two workers with 4000 millicores, 100 MB and no accelerator each.
json upstreams() {
  json Worker = {{"cpus_milli", 4000}, {"memory_mb", 100}, {"accelerators", 0}};
  json List = json::array();
  for (const char *Name : {"w1", "w2"}) {
    Worker["name"] = Name;
    List.push_back(Worker);
  }
  return {{"instances", List}};
}

json workerEvent(std::int64_t Time, const std::string &Event,
                 const std::string &Task, const std::string &Worker = "w1",
                 int Cpus = 1000, int Memory = 10) {
  return {{"wall_us", Time},   {"event", Event},      {"task", Task},
          {"worker", Worker},  {"cpus_milli", Cpus},  {"memory_mb", Memory},
          {"accelerators", 0}, {"state", "whatever"}, {"attempt", 1}};
}

json executorEvent(std::int64_t Time, const std::string &Event,
                   const std::string &Id, const std::string &Name = "e1") {
  return {{"wall_us", Time}, {"event", Event}, {"id", Id}, {"executor", Name}};
}

json callEvent(std::int64_t Time, int Call, const std::string &Key,
               const std::string &Kind = "request") {
  return {{"t_us", Time},      {"op", "call"}, {"call", Call},
          {"method", "POST"},  {"key", Key},   {"kind", Kind},
          {"gateway", Gateway}};
}

json returnEvent(std::int64_t Time, int Call, const std::string &Key,
                 const json &Body, const std::string &Kind = "request") {
  return {{"t_us", Time},  {"op", "return"}, {"call", Call},
          {"key", Key},    {"kind", Kind},   {"gateway", Gateway},
          {"status", 200}, {"body", Body}};
}

json failedReturnEvent(std::int64_t Time, int Call, const std::string &Key,
                       int Code) {
  return {{"t_us", Time},      {"op", "return"},
          {"call", Call},      {"key", Key},
          {"kind", "request"}, {"gateway", Gateway},
          {"error", Code},     {"message", "connection lost"}};
}

json completedBody(const std::string &Text) {
  return {{"outcome", "completed"}, {"answer", Text}};
}

json notRunBody() { return {{"outcome", "not_run"}}; }

json faultEvent(std::int64_t Time, const std::string &Kind,
                const std::string &Target = "a") {
  return {{"t_us", Time},
          {"fault", Kind},
          {"target", Target},
          {"gateway", Gateway}};
}

/// The event with which an instance closes its gateway.
json closedEvent(std::int64_t Time, const std::string &Slot = "a") {
  return {{"wall_us", Time}, {"event", "closed"}, {"process", Slot}};
}

json probeEvent(std::int64_t Time, const std::string &Slot, int Version,
                bool Ready = true) {
  return {{"t_us", Time},
          {"slot", Slot},
          {"ready", Ready},
          {"config_version", Version}};
}

json configAcceptedEvent(std::int64_t Time, int Version) {
  json Event = faultEvent(Time, "config_accepted");
  Event["version"] = Version;
  return Event;
}

/// Returns the violations of one guarantee. Asserts that all other guarantees
/// hold, so that each history tests a single check.
std::uint64_t violations(const std::string &Guarantee, RunHistory History) {
  History.Upstreams = upstreams();
  const auto Results = HistoryChecker(std::move(History)).check();
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), Results.size());
  for (const auto &[Name, Result] : Results)
    if (Name != Guarantee)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::uint64_t(0), Result.Violations);
  const HistoryChecker::GuaranteeResult &Result = Results.at(Guarantee);
  CPPUNIT_ASSERT_EQUAL(Result.Violations == 0, Result.Examples.empty());
  return Result.Violations;
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

/// Tests each check with a history that violates its guarantee and a minimally
/// different one that does not. If a check missed violations, every run of
/// Utilities/prove would pass.
class HistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(findsOvercommittedWorker);
  CPPUNIT_TEST(findsWorkOnUnlistedWorker);
  CPPUNIT_TEST(findsTaskStartedBeforeItsPreviousRunEnded);
  CPPUNIT_TEST(findsAnswerOfAnotherRequest);
  CPPUNIT_TEST(findsIncompleteAnswer);
  CPPUNIT_TEST(findsStartOfWorkReportedAsNotRun);
  CPPUNIT_TEST(cancellationIsNotANewSubmission);
  CPPUNIT_TEST(findsSecondRunOfNonRepeatableRequest);
  CPPUNIT_TEST(findsNewWorkForLeavingUpstream);
  CPPUNIT_TEST(leavingGraceStartsWithFirstReport);
  CPPUNIT_TEST(findsCallCutOffByPlannedStop);
  CPPUNIT_TEST(everyStopOfAnInstanceIsChecked);
  CPPUNIT_TEST(earlierKillDoesNotExemptPlannedStop);
  CPPUNIT_TEST(findsFailedDrain);
  CPPUNIT_TEST(stopWithoutGatewayIsReported);
  CPPUNIT_TEST(findsDecreasedConfigurationVersion);
  CPPUNIT_TEST(findsLateConfiguration);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a capacity check that ignores one kind of resource or the
  // ends of tasks.
  void findsOvercommittedWorker() {
    assertHolds(
        "capacity",
        {.Workers = {workerEvent(1, "started", "a#0", "w1", 4000, 60),
                     workerEvent(2, "ended", "a#0", "w1", 4000, 60),
                     workerEvent(3, "started", "b#0", "w1", 2000, 60),
                     workerEvent(4, "started", "c#0", "w1", 2000, 40)}});
    assertViolated(
        "capacity",
        {.Workers = {workerEvent(1, "started", "a#0", "w1", 4000, 60),
                     workerEvent(2, "started", "b#0", "w1", 1, 10)}});
    assertViolated(
        "capacity",
        {.Workers = {workerEvent(1, "started", "a#0", "w1", 1000, 60),
                     workerEvent(2, "started", "b#0", "w1", 1000, 41)}});
  }

  // Guards against a checker that crashes on or ignores a worker that is not in
  // the instance list. Such a worker has no capacity.
  void findsWorkOnUnlistedWorker() {
    assertViolated("capacity", {.Workers = {workerEvent(1, "started", "a#0",
                                                        "other", 1, 0)}});
  }

  // Guards against a check that reports a restart after the end of a task, or
  // misses a start while the task still runs.
  void findsTaskStartedBeforeItsPreviousRunEnded() {
    for (const char *End : {"ended", "expired", "stopped", "dropped"})
      assertHolds("single_place",
                  {.Workers = {workerEvent(1, "started", "a#0"),
                               workerEvent(2, End, "a#0"),
                               workerEvent(3, "started", "a#0"),
                               workerEvent(4, "started", "a#1")}});
    assertViolated("single_place",
                   {.Workers = {workerEvent(1, "started", "a#0"),
                                workerEvent(2, "started", "a#0"),
                                workerEvent(3, "ended", "a#0")}});
  }

  // Guards against accepting the well-formed answer of another request.
  void findsAnswerOfAnotherRequest() {
    const std::string Own = "answer:payload of a/k:a/k#1";
    assertHolds("own_answer",
                {.Client = {callEvent(1, 1, "a/k"),
                            returnEvent(2, 1, "a/k", completedBody(Own)),
                            callEvent(3, 2, "a/k"),
                            returnEvent(4, 2, "a/k", completedBody(Own))}});
    assertViolated(
        "own_answer",
        {.Client = {
             callEvent(1, 1, "a/k"),
             returnEvent(2, 1, "a/k",
                         completedBody("answer:payload of a/j:a/j#1"))}});
    // Two different answers to one key, each of which is valid by itself.
    assertViolated(
        "own_answer",
        {.Client = {
             callEvent(1, 1, "a/k"),
             returnEvent(2, 1, "a/k", completedBody(Own)),
             callEvent(3, 2, "a/k"),
             returnEvent(4, 2, "a/k",
                         completedBody("answer:payload of a/k:a/k#2"))}});
  }

  // Guards against accepting a truncated answer, an answer with trailing data,
  // or a completed request without an answer.
  void findsIncompleteAnswer() {
    for (const char *Text :
         {"answer:payload of a/k:a/k#", "answer:payload of a/k:a/k#1more", ""})
      assertViolated(
          "own_answer",
          {.Client = {callEvent(1, 1, "a/k"),
                      returnEvent(2, 1, "a/k", completedBody(Text))}});
    assertViolated(
        "own_answer",
        {.Client = {callEvent(1, 1, "a/k"),
                    returnEvent(2, 1, "a/k", {{"outcome", "completed"}})}});
    assertHolds(
        "own_answer",
        {.Client = {
             callEvent(1, 1, "a/j", "batch"),
             returnEvent(2, 1, "a/j", {{"outcome", "completed"}}, "batch"),
             callEvent(3, 2, "a/k"),
             returnEvent(4, 2, "a/k", {{"outcome", "unknown"}})}});
  }

  // Guards against starts of requests or tasks that are not attributed to their
  // key, and against false positives when the client submits the key again.
  void findsStartOfWorkReportedAsNotRun() {
    const RunHistory::Events Client = {callEvent(10, 1, "a/k"),
                                       returnEvent(20, 1, "a/k", notRunBody()),
                                       callEvent(30, 2, "a/k")};
    assertHolds("not_run",
                {.Client = Client,
                 .Workers = {workerEvent(40, "started", "a/k#0")},
                 .Executors = {executorEvent(15, "started", "a/j#1"),
                               executorEvent(40, "started", "a/k#1")}});
    for (const std::int64_t Time : {15, 25}) {
      assertViolated("not_run",
                     {.Client = Client,
                      .Executors = {executorEvent(Time, "started", "a/k#1")}});
      assertViolated("not_run",
                     {.Client = Client,
                      .Workers = {workerEvent(Time, "started", "a/k#0")}});
    }
    // Without a second submission nothing may start at any later time.
    assertViolated(
        "not_run",
        {.Client = {callEvent(10, 1, "a/k"),
                    returnEvent(20, 1, "a/k", notRunBody())},
         .Executors = {executorEvent(90 * SecondUs, "started", "a/k#1")}});
  }

  // Guards against counting a cancellation as a new submission: a job that was
  // reported as not run must not start after it.
  void cancellationIsNotANewSubmission() {
    assertViolated("not_run",
                   {.Client = {callEvent(10, 1, "a/k", "batch"),
                               returnEvent(20, 1, "a/k", notRunBody(), "batch"),
                               callEvent(30, 2, "a/k", "cancel-batch"),
                               returnEvent(35, 2, "a/k", {{"cancelled", 0}},
                                           "cancel-batch")},
                    .Workers = {workerEvent(40, "started", "a/k#0")}});
  }

  // Guards against counting the attempts of one key as different requests, and
  // against including repeatable requests.
  void findsSecondRunOfNonRepeatableRequest() {
    const RunHistory::Events Client = {callEvent(1, 1, "a/once", "once"),
                                       callEvent(1, 2, "a/k", "request")};
    assertHolds("at_most_once",
                {.Client = Client,
                 .Executors = {executorEvent(2, "started", "a/once#1"),
                               executorEvent(3, "ended", "a/once#1"),
                               executorEvent(4, "started", "a/k#1"),
                               executorEvent(5, "started", "a/k#1", "e2")}});
    for (const char *Second : {"a/once#1", "a/once#2"})
      assertViolated(
          "at_most_once",
          {.Client = Client,
           .Executors = {executorEvent(2, "started", "a/once#1"),
                         executorEvent(3, "started", Second, "e2")}});
  }

  // Guards against an unlimited grace period, and against reporting the end of
  // earlier work as new work.
  void findsNewWorkForLeavingUpstream() {
    const RunHistory::Events Faults = {
        faultEvent(10 * SecondUs, "leaving", "w1"),
        faultEvent(10 * SecondUs, "leaving", "e1")};
    assertHolds(
        "leaving",
        {.Workers = {workerEvent(14 * SecondUs, "started", "a#0"),
                     workerEvent(60 * SecondUs, "ended", "a#0"),
                     workerEvent(60 * SecondUs, "started", "b#0", "w2")},
         .Executors = {executorEvent(14 * SecondUs, "started", "c#1"),
                       executorEvent(60 * SecondUs, "started", "d#1", "e2")},
         .Faults = Faults});
    assertViolated("leaving",
                   {.Workers = {workerEvent(16 * SecondUs, "started", "a#0")},
                    .Faults = Faults});
    assertViolated("leaving", {.Executors = {executorEvent(16 * SecondUs,
                                                           "started", "a#1")},
                               .Faults = Faults});
  }

  // Guards against a grace period that restarts when the same upstream is
  // marked as leaving again. Utilities/prove may choose the same worker twice.
  void leavingGraceStartsWithFirstReport() {
    assertViolated("leaving",
                   {.Workers = {workerEvent(16 * SecondUs, "started", "a#0")},
                    .Faults = {faultEvent(10 * SecondUs, "leaving", "w1"),
                               faultEvent(15 * SecondUs, "leaving", "w1")}});
  }

  // Guards against ignoring calls that were in progress when the stop began,
  // and against reporting refused connections as cut off.
  void findsCallCutOffByPlannedStop() {
    const RunHistory::Events Faults = {faultEvent(10 * SecondUs, "drain"),
                                       faultEvent(22 * SecondUs, "drained")};
    const RunHistory::Events Closures = {closedEvent(20 * SecondUs)};
    assertHolds(
        "graceful_stop",
        {.Client = {callEvent(1 * SecondUs, 1, "a/k"),
                    failedReturnEvent(2 * SecondUs, 1, "a/k", Unavailable),
                    callEvent(9 * SecondUs, 2, "a/k"),
                    returnEvent(11 * SecondUs, 2, "a/k", notRunBody()),
                    callEvent(12 * SecondUs, 3, "a/k"),
                    failedReturnEvent(13 * SecondUs, 3, "a/k", Refused),
                    // Sent after the gateway was closed, before the
                    // test driver noticed the end of the process.
                    callEvent(21 * SecondUs, 4, "a/k"),
                    failedReturnEvent(22 * SecondUs, 4, "a/k", Unavailable)},
         .Faults = Faults,
         .GatewayClosures = Closures});
    for (const std::int64_t Time : {9, 12})
      assertViolated(
          "graceful_stop",
          {.Client = {callEvent(Time * SecondUs, 1, "a/k"),
                      failedReturnEvent(19 * SecondUs, 1, "a/k", Unavailable)},
           .Faults = Faults,
           .GatewayClosures = Closures});
  }

  // Guards against checking only the last stop of an instance.
  void everyStopOfAnInstanceIsChecked() {
    assertViolated(
        "graceful_stop",
        {.Client = {callEvent(12 * SecondUs, 1, "a/k"),
                    failedReturnEvent(13 * SecondUs, 1, "a/k", Unavailable)},
         .Faults = {faultEvent(10 * SecondUs, "drain"),
                    faultEvent(20 * SecondUs, "drained"),
                    faultEvent(50 * SecondUs, "drain"),
                    faultEvent(60 * SecondUs, "drained")},
         .GatewayClosures = {closedEvent(20 * SecondUs),
                             closedEvent(60 * SecondUs)}});
  }

  // Guards against a kill or pause that exempts every later planned stop of the
  // instance. Only calls that the fault itself may have cut off are exempt.
  void earlierKillDoesNotExemptPlannedStop() {
    for (const char *Kind : {"kill", "pause"}) {
      assertViolated(
          "graceful_stop",
          {.Client = {callEvent(52 * SecondUs, 1, "a/k"),
                      failedReturnEvent(53 * SecondUs, 1, "a/k", Unavailable)},
           .Faults = {faultEvent(10 * SecondUs, Kind),
                      faultEvent(50 * SecondUs, "drain"),
                      faultEvent(60 * SecondUs, "drained")},
           .GatewayClosures = {closedEvent(60 * SecondUs)}});
      assertHolds(
          "graceful_stop",
          {.Client = {callEvent(46 * SecondUs, 1, "a/k"),
                      failedReturnEvent(53 * SecondUs, 1, "a/k", Unavailable),
                      callEvent(51 * SecondUs, 2, "a/k"),
                      failedReturnEvent(55 * SecondUs, 2, "a/k", Unavailable)},
           .Faults = {faultEvent(45 * SecondUs, Kind),
                      faultEvent(50 * SecondUs, "drain"),
                      faultEvent(60 * SecondUs, "drained")},
           .GatewayClosures = {closedEvent(60 * SecondUs)}});
    }
  }

  // Guards against ignoring a drain that fails without cutting off a call.
  void findsFailedDrain() {
    assertViolated(
        "graceful_stop",
        {.Faults = {faultEvent(1, "drain"), faultEvent(2, "drain_failed")}});
  }

  // Guards against a fault history without gateway addresses, with which no
  // call can be matched to the stop.
  void stopWithoutGatewayIsReported() {
    json Stop = faultEvent(1, "drain");
    Stop["gateway"] = "";
    assertViolated("graceful_stop", {.Faults = {Stop}});
  }

  // Guards against comparing versions of different instances, and against
  // reporting instances that are not ready and may show an older version.
  void findsDecreasedConfigurationVersion() {
    assertHolds(
        "configuration",
        {.Probes = {probeEvent(1, "a", 2), probeEvent(2, "b", 1),
                    probeEvent(3, "a", 0, false), probeEvent(4, "a", 2)}});
    assertViolated("configuration",
                   {.Probes = {probeEvent(1, "a", 2), probeEvent(2, "a", 1)}});
  }

  // Guards against missing an instance that never receives a version.
  void findsLateConfiguration() {
    const RunHistory::Events Faults = {configAcceptedEvent(10 * SecondUs, 2)};
    assertHolds("configuration",
                {.Faults = Faults,
                 .Probes = {probeEvent(27 * SecondUs, "a", 1),
                            probeEvent(29 * SecondUs, "a", 2)}});
    assertViolated("configuration",
                   {.Faults = Faults,
                    .Probes = {probeEvent(27 * SecondUs, "a", 1),
                               probeEvent(29 * SecondUs, "a", 1),
                               probeEvent(30 * SecondUs, "a", 1)}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace hickory
