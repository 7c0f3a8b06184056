#include "Jobs/WaitQueue.h"

#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace hickory {

using namespace std::chrono_literals;

namespace {

class WaitQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitQueueTest);
  CPPUNIT_TEST(testMostUrgentThenFirstCome);
  CPPUNIT_TEST(testLeastUrgentIsTurnedAway);
  CPPUNIT_TEST(testLatestOfEqualsIsTurnedAway);
  CPPUNIT_TEST(testFirstIsWokenWhenTheOneBeforeLeaves);
  CPPUNIT_TEST_SUITE_END();

public:
  void testMostUrgentThenFirstCome() {
    WaitQueue Queue(Context_.get_executor(), 10);
    auto Early = std::make_unique<WaitQueue::Ticket>(Queue, 100);
    const WaitQueue::Ticket Late(Queue, 100);
    auto Urgent = std::make_unique<WaitQueue::Ticket>(Queue, 1000);
    CPPUNIT_ASSERT(Urgent->isFirst() && !Early->isFirst() && !Late.isFirst());
    Urgent.reset();
    CPPUNIT_ASSERT(Early->isFirst() && !Late.isFirst());
    Early.reset();
    CPPUNIT_ASSERT(Late.isFirst());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
  }

  void testLeastUrgentIsTurnedAway() {
    WaitQueue Queue(Context_.get_executor(), 2);
    const WaitQueue::Ticket Low(Queue, 1);
    const WaitQueue::Ticket High(Queue, 100);
    const WaitQueue::Ticket Urgent(Queue, 1000);
    CPPUNIT_ASSERT(Low.turnedAway());
    CPPUNIT_ASSERT(!High.turnedAway() && !Urgent.turnedAway());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queue.size());
    CPPUNIT_ASSERT(Urgent.isFirst());
  }

  void testLatestOfEqualsIsTurnedAway() {
    WaitQueue Queue(Context_.get_executor(), 1);
    const WaitQueue::Ticket First(Queue, 100);
    {
      const WaitQueue::Ticket Second(Queue, 100);
      CPPUNIT_ASSERT(Second.turnedAway());
      CPPUNIT_ASSERT(!Second.isFirst());
    }
    // Leaving a line that one was turned away from must not remove others.
    CPPUNIT_ASSERT(First.isFirst() && !First.turnedAway());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
  }

  /// Without this the next request would wait for its poll interval.
  void testFirstIsWokenWhenTheOneBeforeLeaves() {
    WaitQueue Queue(Context_.get_executor(), 10);
    auto First = std::make_unique<WaitQueue::Ticket>(Queue, 100);
    WaitQueue::Ticket Second(Queue, 100);
    bool Woken = false;
    asio::co_spawn(Context_, waitFor(Second, Woken), asio::detached);
    Context_.poll();
    CPPUNIT_ASSERT(!Woken);
    First.reset();
    Context_.restart();
    Context_.poll();
    CPPUNIT_ASSERT(Woken);
  }

private:
  asio::awaitable<void> waitFor(WaitQueue::Ticket &Ticket, bool &Woken) {
    co_await Ticket.wait(Timers_, 1h);
    Woken = true;
  }

  FakeTimerService Timers_;
  asio::io_context Context_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace

} // namespace hickory
