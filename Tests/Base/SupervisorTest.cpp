#include "Base/Supervisor.h"

#include "Fakes/FakeTimerService.h"

#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Throws in each run after a short time.
class ThrowingComponent final : public Component {
public:
  explicit ThrowingComponent(TimerService &Timers) : Timers_(Timers) {}

  [[nodiscard]] std::string_view name() const override { return "throwing"; }
  asio::awaitable<Result<void>> run() override {
    ++Runs;
    co_await Timers_.sleepFor(10ms);
    throw std::runtime_error("a byte that cannot be read");
  }
  void stop() override {}

  int Runs = 0;

private:
  TimerService &Timers_;
};

} // namespace

class SupervisorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SupervisorTest);
  CPPUNIT_TEST(testThrowingComponentIsRestarted);
  CPPUNIT_TEST(testGivesUpOnThrowingComponent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a component that ends for good, without a log line, when an
  // exception leaves it.
  void testThrowingComponentIsRestarted() {
    ThrowingComponent Throwing(Timers_);
    Supervisor Parent(Context_.get_executor(), Timers_,
                      {.InitialBackoff = 100ms});
    Parent.add(Throwing);
    Parent.start();
    runFor(10ms);
    CPPUNIT_ASSERT_EQUAL(1, Throwing.Runs);
    runFor(100ms);
    CPPUNIT_ASSERT_EQUAL(2, Throwing.Runs);
  }

  // Guards against exceptions that are not counted as failures.
  void testGivesUpOnThrowingComponent() {
    ThrowingComponent Throwing(Timers_);
    Supervisor Parent(Context_.get_executor(), Timers_,
                      {.MaximumRestarts = 2, .RestartWindow = 60s});
    std::string Reason;
    Parent.onGiveUp([&](std::string Text) { Reason = std::move(Text); });
    Parent.add(Throwing);
    Parent.start();
    runFor(10s);
    CPPUNIT_ASSERT_EQUAL(3, Throwing.Runs);
    CPPUNIT_ASSERT_EQUAL(std::string("component throwing failed 3 times: a "
                                     "byte that cannot be read"),
                         Reason);
  }

private:
  void runFor(Clock::duration Time) {
    constexpr auto Step = 10ms;
    poll();
    for (Clock::duration Passed{0}; Passed < Time; Passed += Step) {
      Timers_.advance(Step);
      poll();
    }
  }
  void poll() {
    Context_.restart();
    Context_.poll();
  }

  FakeTimerService Timers_;
  asio::io_context Context_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SupervisorTest);

} // namespace hickory
