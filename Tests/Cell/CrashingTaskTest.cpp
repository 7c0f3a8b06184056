#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Four processes and eight workers. The first task of each guilty job crashes
/// each worker that starts it.
struct CrashBench : CellNodeBench {
  CrashBench() : CellNodeBench(6) {
    for (int I = 0; I < 8; ++I)
      addWorker(fmt::format("w{}", I));
    for (const char *Address : {"a:1", "b:1", "c:1", "d:1"})
      startNode(Address);
    run(2500ms);
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int) {
      if (Task.ends_with(".0.0") && Guilty.contains(TaskName::jobOf(Task)))
        return RunPlan{.Duration = 10ms, .Outcome = "crash"};
      return RunPlan{.Duration = 900ms};
    };
  }

  std::string submitJob(int Number, bool IsGuilty, StepSpec Work = step(2)) {
    const std::string Id =
        idIn(Number % Environment.Shards, Number / Environment.Shards);
    if (IsGuilty)
      Guilty.insert(Id);
    Submitted.push_back(Id);
    submit(*alive().front(), jobOf(Id, {std::move(Work)}));
    return Id;
  }
  static StepSpec gang(int Count) {
    StepSpec Work = step(Count);
    Work.Gang = true;
    return Work;
  }
  /// Checks that no rule is violated, that all innocent jobs are completed and
  /// that the guilty ones are given up.
  void checkJobs() {
    finalViolations();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Environment.History.report(), std::size_t(0),
                                 Environment.History.violations().size());
    for (const std::string &Id : Submitted)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          trace(Id), std::string(Guilty.contains(Id) ? "failed" : "completed"),
          stateOf(Id));
  }

  std::set<std::string> Guilty;
  std::vector<std::string> Submitted;
};

} // namespace

class CrashingTaskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingTaskTest);
  CPPUNIT_TEST(testTaskThatCrashesItsWorkersIsGivenUp);
  CPPUNIT_TEST(testGangThatCrashesItsWorkersIsGivenUp);
  CPPUNIT_TEST(testRunsBesideCrashingTasksAreNotGivenUp);
  CPPUNIT_TEST(testCrashesCountAcrossAHandover);
  CPPUNIT_TEST(testCrashesWithoutAGuiltyTaskBlameNone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a task that is started without end on worker after worker.
  void testTaskThatCrashesItsWorkersIsGivenUp() {
    CrashBench Bench;
    const std::string Id = Bench.submitJob(0, true);
    Bench.run(30s);
    Bench.checkJobs();
    CPPUNIT_ASSERT_EQUAL(2, Bench.Environment.History.crashesOf(Id + ".0.0.0"));
  }

  // Guards against a gang whose member crashes its workers without end.
  void testGangThatCrashesItsWorkersIsGivenUp() {
    CrashBench Bench;
    Bench.Environment.Workers.ChoosePlan = [&Bench](const std::string &Task,
                                                    int) {
      // The members work together from the start of the last one.
      return RunPlan{.Duration = 50ms,
                     .Outcome = Bench.Guilty.contains(TaskName::jobOf(Task))
                                    ? "crash"
                                    : "done"};
    };
    Bench.submitJob(0, true, CrashBench::gang(3));
    Bench.submitJob(1, false, CrashBench::gang(3));
    Bench.run(40s);
    Bench.checkJobs();
  }

  // Guards against giving up tasks that only ran beside a guilty one.
  void testRunsBesideCrashingTasksAreNotGivenUp() {
    CrashBench Bench;
    for (int I = 0; I < 60; ++I) {
      Bench.submitJob(I, I % 6 == 0);
      Bench.run(100ms);
    }
    Bench.run(60s);
    Bench.checkJobs();
  }

  // Guards against a count of crashes that ends with the process that owns the
  // job, or with the one that holds the worker.
  void testCrashesCountAcrossAHandover() {
    for (const auto Delay : {200ms, 1500ms, 2900ms, 3400ms, 5000ms, 6200ms}) {
      CrashBench Bench;
      for (int I = 0; I < 6; ++I)
        Bench.submitJob(I, true);
      Bench.run(Delay);
      Bench.alive().back()->kill();
      Bench.run(1s);
      Bench.startNode("d:1");
      Bench.run(500ms);
      Bench.Environment.Store.rotateOwners(1);
      Bench.run(60s);
      Bench.checkJobs();
    }
  }

  // Guards against tasks that are given up because their workers crash for
  // another reason.
  void testCrashesWithoutAGuiltyTaskBlameNone() {
    CrashBench Bench;
    Bench.Environment.Workers.ChoosePlan = [](const std::string &, int) {
      return RunPlan{.Duration = 4000ms};
    };
    for (int I = 0; I < 12; ++I)
      Bench.submitJob(I, false);
    for (int Crash = 0; Crash < 8; ++Crash) {
      Bench.run(1500ms);
      Bench.Environment.Workers.crash(fmt::format("w{}", Crash));
    }
    Bench.run(60s);
    Bench.checkJobs();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTaskTest);

} // namespace hickory
