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
};

} // namespace

class PlatformCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCallsTest);
  CPPUNIT_TEST(testStoredAppendIsNotReportedAsNotDone);
  CPPUNIT_TEST(testExecutedStartIsNotReportedAsRefused);
  CPPUNIT_TEST(testStopIsSentAgainAfterAReset);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCallsTest);

} // namespace hickory::platform
