#include "Backends/HealthTracker.h"
#include "Backends/RetryBudget.h"
#include "Backends/TaskId.h"
#include "Base/Backoff.h"

#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(budgetAllowsATenthOfTheRequests);
  CPPUNIT_TEST(backoffStaysWithinItsBounds);
  CPPUNIT_TEST(upstreamIsDegradedThenSetAsideThenProbed);
  CPPUNIT_TEST(oneSuccessRestoresHealth);
  CPPUNIT_TEST(failedProbeDoublesThePause);
  CPPUNIT_TEST(unreportedProbeIsRepeated);
  CPPUNIT_TEST(lateFailuresDoNotProlongThePause);
  CPPUNIT_TEST(jobThatFailsEverywhereSetsFewAside);
  CPPUNIT_TEST(taskNamesAreParsedBack);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against retries that multiply the load of an overloaded pool.
  void budgetAllowsATenthOfTheRequests() {
    RetryBudget Budget({.Share = 0.1, .Maximum = 10});
    int Retries = 0;
    for (int I = 0; I < 1000; ++I) {
      Budget.earn();
      Retries += Budget.spend() ? 1 : 0;
    }
    CPPUNIT_ASSERT(Retries >= 108 && Retries <= 110);
  }

  void backoffStaysWithinItsBounds() {
    Random Source(3);
    Backoff Pause({.Initial = 10ms, .Maximum = 40ms}, Source);
    for (const auto Bound : {10ms, 20ms, 40ms, 40ms}) {
      const auto Delay = Pause.next();
      CPPUNIT_ASSERT(Delay >= 0ms && Delay <= Bound);
    }
    Pause.reset();
    CPPUNIT_ASSERT(Pause.next() <= 10ms);
  }

  void upstreamIsDegradedThenSetAsideThenProbed() {
    FakeTimerService Timers;
    HealthTracker Health({.Threshold = 5, .InitialPause = 5000ms}, Timers);
    using State = HealthTracker::State;
    Health.failed("w");
    Health.failed("w");
    CPPUNIT_ASSERT(Health.state("w") == State::Healthy);
    Health.failed("w");
    CPPUNIT_ASSERT(Health.state("w") == State::Degraded);
    Health.failed("w");
    Health.failed("w");
    CPPUNIT_ASSERT(Health.state("w") == State::SetAside);
    Timers.advance(4999ms);
    CPPUNIT_ASSERT(Health.state("w") == State::SetAside);
    Timers.advance(1ms);
    CPPUNIT_ASSERT(Health.state("w") == State::ProbeDue);
    Health.started("w");
    CPPUNIT_ASSERT(Health.state("w") == State::Probing);
    Health.succeeded("w");
    CPPUNIT_ASSERT(Health.state("w") == State::Healthy);
  }

  void oneSuccessRestoresHealth() {
    FakeTimerService Timers;
    HealthTracker Health({.Threshold = 5}, Timers);
    for (int I = 0; I < 4; ++I)
      Health.failed("w");
    Health.succeeded("w");
    Health.failed("w");
    CPPUNIT_ASSERT(Health.state("w") == HealthTracker::State::Healthy);
  }

  void failedProbeDoublesThePause() {
    FakeTimerService Timers;
    HealthTracker Health({.Threshold = 1, .InitialPause = 5000ms}, Timers);
    Health.failed("w");
    Timers.advance(5s);
    Health.started("w");
    Health.failed("w");
    Timers.advance(9s);
    CPPUNIT_ASSERT(Health.state("w") == HealthTracker::State::SetAside);
    Timers.advance(1s);
    CPPUNIT_ASSERT(Health.state("w") == HealthTracker::State::ProbeDue);
  }

  // Guards against an upstream that stays aside for ever because the probe was
  // lost.
  void unreportedProbeIsRepeated() {
    FakeTimerService Timers;
    HealthTracker Health({.Threshold = 1, .InitialPause = 5000ms}, Timers);
    Health.failed("w");
    Timers.advance(5s);
    Health.started("w");
    Timers.advance(5s);
    CPPUNIT_ASSERT(Health.state("w") == HealthTracker::State::ProbeDue);
  }

  // Guards against a pause that grows with work that was sent before it.
  void lateFailuresDoNotProlongThePause() {
    FakeTimerService Timers;
    HealthTracker Health({.Threshold = 1, .InitialPause = 5000ms}, Timers);
    Health.failed("w");
    Timers.advance(4s);
    Health.failed("w");
    Timers.advance(1s);
    CPPUNIT_ASSERT(Health.state("w") == HealthTracker::State::ProbeDue);
  }

  // Guards against one job that can never run and sets all workers aside.
  void jobThatFailsEverywhereSetsFewAside() {
    const auto SetAside = [](std::size_t BlameJobAfter) {
      FakeTimerService Timers;
      HealthTrackerOptions Options;
      Options.BlameJobAfter = BlameJobAfter;
      HealthTracker Health(Options, Timers);
      int Aside = 0;
      for (int Worker = 0; Worker < 10; ++Worker) {
        const std::string Name = "w" + std::to_string(Worker);
        for (int I = 0; I < 8; ++I)
          Health.failed(Name, "job");
        Aside += Health.state(Name) == HealthTracker::State::SetAside ? 1 : 0;
      }
      return Aside;
    };
    CPPUNIT_ASSERT_EQUAL(2, SetAside(3));
    CPPUNIT_ASSERT_EQUAL(10, SetAside(0));
  }

  void taskNamesAreParsedBack() {
    const TaskId Id{"perth-north/a#b", 12, 3};
    CPPUNIT_ASSERT(TaskId::parse(Id.wireName(), 3) == Id);
    CPPUNIT_ASSERT(!TaskId::parse("no-index", 1));
    CPPUNIT_ASSERT(!TaskId::parse("bad#1x", 1));
    CPPUNIT_ASSERT(!TaskId::parse("bad#", 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace hickory
