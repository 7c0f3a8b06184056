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
  CPPUNIT_TEST(testOrderIsPriorityThenArrival);
  CPPUNIT_TEST(testLowestPriorityIsRejected);
  CPPUNIT_TEST(testLatestOfEqualPriorityIsRejected);
  CPPUNIT_TEST(testNextIsWokenWhenFirstLeaves);
  CPPUNIT_TEST_SUITE_END();

public:
  void testOrderIsPriorityThenArrival() {
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

  void testLowestPriorityIsRejected() {
    WaitQueue Queue(Context_.get_executor(), 2);
    const WaitQueue::Ticket Low(Queue, 1);
    const WaitQueue::Ticket High(Queue, 100);
    const WaitQueue::Ticket Urgent(Queue, 1000);
    CPPUNIT_ASSERT(Low.isRejected());
    CPPUNIT_ASSERT(!High.isRejected() && !Urgent.isRejected());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queue.size());
    CPPUNIT_ASSERT(Urgent.isFirst());
  }

  void testLatestOfEqualPriorityIsRejected() {
    WaitQueue Queue(Context_.get_executor(), 1);
    const WaitQueue::Ticket First(Queue, 100);
    {
      const WaitQueue::Ticket Second(Queue, 100);
      CPPUNIT_ASSERT(Second.isRejected());
      CPPUNIT_ASSERT(!Second.isFirst());
    }
    // Destroying a rejected ticket must not remove other tickets.
    CPPUNIT_ASSERT(First.isFirst() && !First.isRejected());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
  }

  /// Guards against a request that waits for a whole poll interval although it
  /// has become the first in the queue.
  void testNextIsWokenWhenFirstLeaves() {
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
