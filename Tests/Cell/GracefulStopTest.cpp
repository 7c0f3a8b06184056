#include "Cell/GracefulStop.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

using namespace std::chrono_literals;

class FakeDrainableServer final : public DrainableServer {
public:
  void closeAfterResponse() override { ClosesAfterResponse = true; }
  void stop() override { Listening = false; }
  void answerRemaining() override {
    Cut += InFlight;
    InFlight = 0;
  }
  [[nodiscard]] std::size_t requestsInFlight() const override {
    return InFlight;
  }
  [[nodiscard]] std::uint64_t requestsReceived() const override {
    return Received;
  }
  [[nodiscard]] std::optional<RequestInFlight> oldestRequest() const override {
    return std::nullopt;
  }

  bool Listening = true;
  bool ClosesAfterResponse = false;
  std::size_t InFlight = 0;
  std::size_t Cut = 0;
  std::uint64_t Received = 0;
};

} // namespace

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(testListenerStaysOpenUntilProbesHaveFailed);
  CPPUNIT_TEST(testMissingProbesDoNotDelayTheStopForever);
  CPPUNIT_TEST(testProbesBeforeTheStopDoNotCount);
  CPPUNIT_TEST(testClientRequestDelaysTheStop);
  CPPUNIT_TEST(testPeerRequestDelaysTheStop);
  CPPUNIT_TEST(testHandoverDelaysTheStop);
  CPPUNIT_TEST(testLateRequestsOnOpenConnectionsDelayTheStop);
  CPPUNIT_TEST(testRequestsAtTheLimitAreAnswered);
  CPPUNIT_TEST(testShortLimitEndsTheWaitForProbes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against refusing connections that the balancer still sends.
  void testListenerStaysOpenUntilProbesHaveFailed() {
    start();
    advance(1s);
    Stop_.recordFailedProbe();
    advance(1s);
    CPPUNIT_ASSERT(Clients_.Listening);
    Stop_.recordFailedProbe();
    advance(Options_.ProbeMargin + 40ms);
    CPPUNIT_ASSERT(!Clients_.Listening);
  }

  // Guards against a stop that waits for a balancer that does not exist.
  void testMissingProbesDoNotDelayTheStopForever() {
    start();
    advance(Options_.ProbeLimit - 40ms);
    CPPUNIT_ASSERT(Clients_.Listening);
    advance(1s);
    CPPUNIT_ASSERT(!Clients_.Listening);
    CPPUNIT_ASSERT(Ended_);
  }

  // Guards against counting the failures of a process that was not ready.
  void testProbesBeforeTheStopDoNotCount() {
    Stop_.recordFailedProbe();
    Stop_.recordFailedProbe();
    start();
    advance(2s);
    CPPUNIT_ASSERT(Clients_.Listening);
  }

  // Guards against cutting off a client's request.
  void testClientRequestDelaysTheStop() {
    Clients_.InFlight = 1;
    start();
    removeFromBalancer();
    advance(1s);
    CPPUNIT_ASSERT(!Ended_);
    Clients_.InFlight = 0;
    advance(500ms);
    CPPUNIT_ASSERT(Ended_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Clients_.Cut);
  }

  // Guards against cutting off a call of another process.
  void testPeerRequestDelaysTheStop() {
    Peers_.InFlight = 1;
    start();
    removeFromBalancer();
    advance(1s);
    CPPUNIT_ASSERT(!Ended_);
    Peers_.InFlight = 0;
    advance(500ms);
    CPPUNIT_ASSERT(Ended_);
  }

  // Guards against an exit before the store knows that the process leaves.
  void testHandoverDelaysTheStop() {
    HandoverTime_ = 3s;
    start();
    removeFromBalancer();
    advance(500ms);
    CPPUNIT_ASSERT(!Ended_);
    advance(700ms);
    CPPUNIT_ASSERT(Ended_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Clients_.Cut);
  }

  // Guards against an exit between two requests of a client.
  void testLateRequestsOnOpenConnectionsDelayTheStop() {
    start();
    removeFromBalancer();
    for (int Request = 0; Request < 10; ++Request) {
      ++Clients_.Received;
      advance(100ms);
      CPPUNIT_ASSERT(!Ended_);
    }
    advance(500ms);
    CPPUNIT_ASSERT(Ended_);
  }

  // Guards against requests without a response from a process that is killed
  // at the end of its time.
  void testRequestsAtTheLimitAreAnswered() {
    Clients_.InFlight = 3;
    Peers_.InFlight = 2;
    start();
    advance(Options_.Limit);
    CPPUNIT_ASSERT(Ended_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Clients_.Cut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Peers_.Cut);
  }

  // Guards against being killed while waiting for probes.
  void testShortLimitEndsTheWaitForProbes() {
    constexpr std::chrono::milliseconds ShortLimit{1600};
    GracefulStop Stop(Context_.get_executor(), Timers_, Events_, Metrics_,
                      Clients_, Peers_, [this] { return handOver(); },
                      {.Limit = ShortLimit});
    asio::co_spawn(
        Context_, Stop.run(),
        [this](const std::exception_ptr & /*Thrown*/) { Ended_ = true; });
    advance(ShortLimit);
    CPPUNIT_ASSERT(Ended_);
  }

private:
  asio::awaitable<void> handOver() { co_await Timers_.sleepFor(HandoverTime_); }

  asio::awaitable<void> runStop() {
    co_await Stop_.run();
    Ended_ = true;
  }

  void start() {
    asio::co_spawn(Context_, runStop(), asio::detached);
    advance(0ms);
  }

  void removeFromBalancer() {
    advance(1s);
    Stop_.recordFailedProbe();
    advance(1s);
    Stop_.recordFailedProbe();
    advance(Options_.ProbeMargin);
  }

  /// Advances the clock in steps that are shorter than any wait of the stop.
  void advance(std::chrono::milliseconds Time) {
    constexpr std::chrono::milliseconds Step{10};
    Context_.restart();
    Context_.poll();
    for (std::chrono::milliseconds Past{0}; Past < Time; Past += Step) {
      Timers_.advance(Step);
      Context_.restart();
      Context_.poll();
    }
  }

  asio::io_context Context_;
  FakeTimerService Timers_;
  EventLog Events_{Timers_, {}};
  Metrics Metrics_;
  FakeDrainableServer Clients_;
  FakeDrainableServer Peers_;
  GracefulStopOptions Options_;
  GracefulStop Stop_{Context_.get_executor(),
                     Timers_,
                     Events_,
                     Metrics_,
                     Clients_,
                     Peers_,
                     [this] { return handOver(); },
                     Options_};
  std::chrono::milliseconds HandoverTime_{0};
  bool Ended_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);

} // namespace hickory
