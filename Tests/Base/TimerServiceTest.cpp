#include "Base/TimerService.h"

#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class TimerServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimerServiceTest);
  CPPUNIT_TEST(periodicCallbackEndsWithSubscription);
  CPPUNIT_TEST(sleepResumesOnlyAfterDelay);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against callbacks that reach a receiver after it was destroyed.
  void periodicCallbackEndsWithSubscription() {
    FakeTimerService Timers;
    int Calls = 0;
    Subscription Tick = Timers.every(10ms, [&] { ++Calls; });
    Timers.advance(35ms);
    CPPUNIT_ASSERT_EQUAL(3, Calls);
    Tick.reset();
    Timers.advance(100ms);
    CPPUNIT_ASSERT_EQUAL(3, Calls);
  }

  // Guards against a coroutine that resumes before its delay has passed.
  void sleepResumesOnlyAfterDelay() {
    FakeTimerService Timers;
    asio::io_context Context;
    bool Woke = false;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          co_await Timers.sleepFor(50ms);
          Woke = true;
        },
        asio::detached);
    Context.poll();
    Timers.advance(49ms);
    Context.restart();
    Context.poll();
    CPPUNIT_ASSERT(!Woke);
    Timers.advance(1ms);
    Context.restart();
    Context.poll();
    CPPUNIT_ASSERT(Woke);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimerServiceTest);

} // namespace hickory
