#include "Cell/WaitingGangs.h"

#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class WaitingGangsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingGangsTest);
  CPPUNIT_TEST(testNewGangsDoNotCount);
  CPPUNIT_TEST(testMostUrgentOfAllProcessesCounts);
  CPPUNIT_TEST(testReportsExpire);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr WaitingGangsOptions Options{.Patience = 1s, .Lifetime = 2s};

  // Guards against tasks that yield to each gang for as long as it asks for
  // advice, which leaves capacity unused in calm.
  void testNewGangsDoNotCount() {
    FakeTimerService Timers;
    WaitingGangs Gangs(Timers, Options);
    Gangs.recordOwn(1, Timers.now() - 500ms);
    CPPUNIT_ASSERT(!Gangs.mostUrgent());
    Gangs.recordOwn(1, Timers.now() - 1s);
    CPPUNIT_ASSERT_EQUAL(1, Gangs.mostUrgent().value());
  }

  void testMostUrgentOfAllProcessesCounts() {
    FakeTimerService Timers;
    WaitingGangs Gangs(Timers, Options);
    Gangs.setRemote("p", 2);
    Gangs.recordOwn(3, Timers.now() - 5s);
    CPPUNIT_ASSERT_EQUAL(2, Gangs.mostUrgent().value());
    CPPUNIT_ASSERT_EQUAL(3, Gangs.ownPriority().value());
    Gangs.setRemote("p", std::nullopt);
    CPPUNIT_ASSERT_EQUAL(3, Gangs.mostUrgent().value());
  }

  // Guards against tasks that yield for ever to gangs of a process that is
  // gone, or that have started.
  void testReportsExpire() {
    FakeTimerService Timers;
    WaitingGangs Gangs(Timers, Options);
    Gangs.setRemote("p", 1);
    Gangs.recordOwn(1, Timers.now() - 5s);
    Timers.advance(2s);
    CPPUNIT_ASSERT(Gangs.mostUrgent());
    Timers.advance(1ms);
    CPPUNIT_ASSERT(!Gangs.mostUrgent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingGangsTest);

} // namespace hickory
