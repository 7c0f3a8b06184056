#include "PlatformStore.h"
#include "PlatformWorkers.h"

#include "Cell/CellTestBench.h"
#include "Fakes/FakeHttpClient.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::platform {

using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "10.0.0.9:80";

/// A server that executes the first request but resets its connection before
/// the reply, and refuses all later requests with 503.
struct ResetBench : CellTestBench {
  ResetBench() {
    Client.serve(Address, [this](const HttpClientRequest &) {
      ++Received;
      return HttpClientResponse{.Status = Received == 1 ? 200 : 503,
                                .Body = "{}"};
    });
    Client.ChooseFault = [this](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.Reset = Received == 0};
    };
  }
  template <typename T> Result<T> call(asio::awaitable<Result<T>> Work) {
    const auto Outcome = begin(std::move(Work));
    run(100ms);
    return **Outcome;
  }
  static WorkerEntry worker() { return {.Id = "w", .Address = Address}; }

  int Received = 0;
  FakeHttpClient Client{Timers};
  PlatformStore Stored{Client, Address};
  PlatformWorkers Workers{Client};
  PlatformAdvice Adviser{Client, Address};
};

} // namespace

class PlatformCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCallsTest);
  CPPUNIT_TEST(testStoredAppendIsNotReportedAsNotDone);
  CPPUNIT_TEST(testExecutedStartIsNotReportedAsRefused);
  CPPUNIT_TEST(testStopIsSentAgainAfterAReset);
  CPPUNIT_TEST(testMalformedRepliesAreFailures);
  CPPUNIT_TEST(testRepliesWithNumbersOutOfRangeAreFailures);
  CPPUNIT_TEST(testUnreadableItemDoesNotHideOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost records: an append was stored but reported as not done.
  // The journal then resent its records together with newer ones under the same
  // sequence number, and the store took that for a duplicate and dropped the
  // newer ones.
  void testStoredAppendIsNotReportedAsNotDone() {
    ResetBench Bench;
    std::vector<KeyedRecord> Records;
    Records.push_back({.Key = "j/1", .Value = "{}"});
    const auto Reply =
        Bench.call(Bench.Stored.append("topic", 0, Records, {}, 400ms));
    CPPUNIT_ASSERT(!Reply);
    CPPUNIT_ASSERT(!Reply.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(1, Bench.Received);
  }

  // Guards against a task that runs twice: a start was reported as refused
  // although the worker had executed it, so that the task was started on
  // another worker as well.
  void testExecutedStartIsNotReportedAsRefused() {
    ResetBench Bench;
    const auto Reply = Bench.call(Bench.Workers.start(
        ResetBench::worker(), 1, 5000ms, {.Task = "j.0.0.0", .Run = 1}, 700ms));
    CPPUNIT_ASSERT(!Reply);
    CPPUNIT_ASSERT(!Reply.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(1, Bench.Received);
  }

  // A stop is idempotent, so that it may be resent.
  void testStopIsSentAgainAfterAReset() {
    ResetBench Bench;
    Bench.call(
        Bench.Workers.stop(ResetBench::worker(), 1, "j.0.0.0", 1, 700ms));
    CPPUNIT_ASSERT_EQUAL(2, Bench.Received);
  }

  // Guards against an exception that ends the coroutine of a worker's
  // heartbeats, of a start or of a journal, which is never resumed.
  void testMalformedRepliesAreFailures() {
    for (const char *Body :
         {"", "[]", "null", "{", R"({"reason":7,"clock-ms":"x","born":{}})",
          R"({"reason":["fence"],"clock-ms":-1})",
          R"({"clock-ms":1e300,"running":[[]],"finished":[[1]]})",
          "{\"reason\":\"\xff\"}", R"({"good":[["w"],7]})"})
      for (const int Status : {200, 302, 400, 409, 421, 429, 500, 503}) {
        ResetBench Bench;
        Bench.Client.ChooseFault = nullptr;
        Bench.Client.serve(Address, [=](const HttpClientRequest &) {
          return HttpClientResponse{.Status = Status, .Body = Body};
        });
        Bench.call(Bench.Workers.start(ResetBench::worker(), 1, 5000ms,
                                       {.Task = "j.0.0.0", .Run = 1}, 700ms));
        Bench.call(
            Bench.Workers.stop(ResetBench::worker(), 1, "j.0.0.0", 1, 700ms));
        const auto Heartbeat =
            Bench.call(Bench.Workers.heartbeat(ResetBench::worker(), 1, {}));
        CPPUNIT_ASSERT(!Heartbeat || Heartbeat->Status != OrderStatus::Ok);
        Bench.call(Bench.Stored.append("topic", 0, {}, {}, 400ms));
        CPPUNIT_ASSERT(
            !Bench.call(Bench.Stored.readNewest("topic", 0, "", {})));
        CPPUNIT_ASSERT(
            !Bench.call(Bench.Stored.join("g", "m", "t", 1200ms, 0, 300ms)));
        Bench.call(Bench.Stored.listHolders("g"));
        CPPUNIT_ASSERT(!Bench.call(Bench.Adviser.ask("j.0.0", {"w"}, 500ms)));
      }
  }

  // Guards against casting a number of a reply that its type can't hold.
  void testRepliesWithNumbersOutOfRangeAreFailures() {
    const auto Serve = [](ResetBench &Bench, const std::string &Body) {
      Bench.Client.ChooseFault = nullptr;
      Bench.Client.serve(Address, [Body](const HttpClientRequest &) {
        return HttpClientResponse{.Status = 200, .Body = Body};
      });
    };
    for (const char *Body :
         {R"({"clock-ms":1e300,"running":[],"finished":[]})",
          R"({"clock-ms":1,"running":[["j.0.0.0",4294967297,"",0]],
              "finished":[]})",
          R"({"clock-ms":1,"running":[],
              "finished":[[1e300,"j.0.0.0",1,"done",""]]})"}) {
      ResetBench Bench;
      Serve(Bench, Body);
      CPPUNIT_ASSERT_MESSAGE(Body, !Bench.call(Bench.Workers.heartbeat(
                                       ResetBench::worker(), 1, {})));
    }
    for (const char *Body :
         {R"({"generation":1e300,"parts":[]})",
          R"({"generation":-1,"parts":[]})",
          R"({"generation":1,"parts":[["t",4294967296,0]]})"}) {
      ResetBench Bench;
      Serve(Bench, Body);
      CPPUNIT_ASSERT_MESSAGE(Body, !Bench.call(Bench.Stored.join(
                                       "g", "m", "t", 1200ms, 0, 300ms)));
    }
    ResetBench Bench;
    Serve(Bench, R"({"items":[],"has-more":false,"end":1e300})");
    CPPUNIT_ASSERT(!Bench.call(Bench.Stored.readNewest("topic", 0, "", {})));
  }

  // Guards against a record that no process can read and that keeps each of
  // them from reading those after it.
  void testUnreadableItemDoesNotHideOthers() {
    ResetBench Bench;
    Bench.Client.ChooseFault = nullptr;
    Bench.Client.serve(Address, [](const HttpClientRequest &) {
      return HttpClientResponse{
          .Status = 200,
          .Body = R"({"items":[{"key":"a","value":7},{"value":"eA=="},"text",
                     {"key":"b","value":"***"},{"key":"c","value":"e30="}],
                     "end":5})"};
    });
    const auto Page = Bench.call(Bench.Stored.readNewest("topic", 0, "", {}));
    CPPUNIT_ASSERT(Page);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Page->Records.back().Key);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), *Page->Records.back().Value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCallsTest);

} // namespace hickory::platform
