#include "Work/StepGraph.h"

#include "Work/JobProgress.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <rapidcheck.h>
#include <set>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const Clock::time_point Now{1h};

/// Returns a graph in which each step depends on each earlier one with the
/// given probability in percent.
std::vector<StepSpec> randomSteps(int Count, int Percent) {
  std::vector<StepSpec> Steps;
  for (int S = 0; S < Count; ++S) {
    StepSpec Step{.EstimatedDuration =
                      std::chrono::milliseconds(*rc::gen::inRange(0, 1000))};
    for (int Earlier = 0; Earlier < S; ++Earlier)
      if (*rc::gen::inRange(0, 100) < Percent)
        Step.DependsOn.push_back(Earlier);
    Steps.push_back(std::move(Step));
  }
  return Steps;
}

/// Follows every path that begins with the step.
std::chrono::milliseconds longestPathFrom(const std::vector<StepSpec> &Steps,
                                          std::size_t Step) {
  std::chrono::milliseconds Longest{0};
  for (std::size_t Next = Step + 1; Next < Steps.size(); ++Next)
    if (std::ranges::count(Steps[Next].DependsOn, static_cast<int>(Step)) > 0)
      Longest = std::max(Longest, longestPathFrom(Steps, Next));
  return Longest + Steps[Step].EstimatedDuration;
}

/// Each step names all steps before it: 2^(Count - 1) paths.
std::vector<StepSpec> stepsAfterAllEarlier(int Count) {
  std::vector<StepSpec> Steps(static_cast<std::size_t>(Count));
  for (std::size_t S = 0; S < Steps.size(); ++S) {
    Steps[S].EstimatedDuration = 1ms;
    Steps[S].DependsOn.resize(S);
    std::iota(Steps[S].DependsOn.begin(), Steps[S].DependsOn.end(), 0);
  }
  return Steps;
}

void finish(JobProgress &Job, const ReadyStep &Step) {
  for (const int Index : Step.Tasks) {
    const RunId Run{.Task = {.Job = "job", .Step = Step.Step, .Index = Index},
                    .Run = Job.nextRun(0, Step.Step),
                    .Worker = "w"};
    Job.markPlacing(Run, Now);
    Job.markRunning(Run, {}, Now);
    Job.markEnded(Run, RunOutcome::Done, {}, Now);
  }
}

} // namespace

class StepGraphTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepGraphTest);
  CPPUNIT_TEST(testCriticalPathIsTheLongestChain);
  CPPUNIT_TEST(testRepeatedDependencyCountsOnce);
  CPPUNIT_TEST(propertyCriticalPathIsTheLongestOfAllPaths);
  CPPUNIT_TEST(testGraphWithManyPathsIsReadOnce);
  CPPUNIT_TEST(testLayersWithManyPathsAreReadOnce);
  CPPUNIT_TEST(propertyStepsBecomeReadyAfterTheirDependencies);
  CPPUNIT_TEST(testUpcomingStepNeedsAllDependenciesRunning);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCriticalPathIsTheLongestChain() {
    const StepGraph Graph({{.EstimatedDuration = 100ms},
                           {.EstimatedDuration = 300ms},
                           {.EstimatedDuration = 50ms, .DependsOn = {0, 1}}});
    CPPUNIT_ASSERT(Graph.criticalPathTime() == 350ms);
    CPPUNIT_ASSERT(Graph.criticalPathTimeFrom(0) == 150ms);
  }

  // Guards against a step that waits for ever since it names a dependency
  // twice.
  void testRepeatedDependencyCountsOnce() {
    JobProgress Job({.Id = "job", .Steps = {{}, {.DependsOn = {0, 0}}}});
    CPPUNIT_ASSERT_EQUAL(1, Job.graph().dependencyCount(1));
    finish(Job, Job.readySteps().front());
    CPPUNIT_ASSERT_EQUAL(1, Job.readySteps().front().Step);
  }

  void propertyCriticalPathIsTheLongestOfAllPaths() {
    CPPUNIT_ASSERT(rc::check("the longest of all paths", [] {
      const auto Steps =
          randomSteps(*rc::gen::inRange(1, 10), *rc::gen::inRange(0, 101));
      const StepGraph Graph(Steps);
      auto Longest = 0ms;
      for (std::size_t S = 0; S < Steps.size(); ++S) {
        const auto Expected = longestPathFrom(Steps, S);
        RC_ASSERT(Graph.criticalPathTimeFrom(static_cast<int>(S)) == Expected);
        Longest = std::max(Longest, Expected);
      }
      RC_ASSERT(Graph.criticalPathTime() == Longest);
    }));
  }

  // Guards against a job that keeps its owner busy for ever: following each
  // path of this graph would take 2^999 steps.
  void testGraphWithManyPathsIsReadOnce() {
    const StepGraph Graph(stepsAfterAllEarlier(1000));
    CPPUNIT_ASSERT(Graph.criticalPathTime() == 1000ms);
    CPPUNIT_ASSERT(Graph.criticalPathTimeFrom(999) == 1ms);
  }

  // The same with two dependencies for each step: 2^500 paths.
  void testLayersWithManyPathsAreReadOnce() {
    std::vector<StepSpec> Steps(1000);
    for (int S = 0; S < 1000; ++S) {
      StepSpec &Step = Steps[static_cast<std::size_t>(S)];
      Step.EstimatedDuration = 1ms;
      if (S >= 2)
        Step.DependsOn = {S / 2 * 2 - 2, S / 2 * 2 - 1};
    }
    CPPUNIT_ASSERT(StepGraph(Steps).criticalPathTime() == 500ms);
  }

  // Guards against an error in the incremental count of open dependencies.
  void propertyStepsBecomeReadyAfterTheirDependencies() {
    CPPUNIT_ASSERT(rc::check("ready after all dependencies", [] {
      const auto Steps =
          randomSteps(*rc::gen::inRange(1, 12), *rc::gen::inRange(0, 101));
      JobProgress Job({.Id = "job", .Steps = Steps});
      std::set<int> Done;
      while (!Job.isFinished()) {
        std::set<int> Expected;
        for (int S = 0; S < static_cast<int>(Steps.size()); ++S)
          if (!Done.contains(S) &&
              std::ranges::all_of(
                  Steps[static_cast<std::size_t>(S)].DependsOn,
                  [&Done](int Earlier) { return Done.contains(Earlier); }))
            Expected.insert(S);
        const auto Ready = Job.readySteps();
        std::set<int> Found;
        for (const ReadyStep &Each : Ready)
          Found.insert(Each.Step);
        RC_ASSERT(Found == Expected);
        const ReadyStep &Next = Ready[static_cast<std::size_t>(
            *rc::gen::inRange<int>(0, static_cast<int>(Ready.size())))];
        finish(Job, Next);
        Done.insert(Next.Step);
      }
      RC_ASSERT(Done.size() == Steps.size());
    }));
  }

  void testUpcomingStepNeedsAllDependenciesRunning() {
    JobProgress Job(
        {.Id = "job", .Steps = {{}, {}, {}, {.DependsOn = {0, 1, 2}}}});
    const auto Start = [&Job](int Step) {
      const RunId Run{
          .Task = {.Job = "job", .Step = Step}, .Run = 1, .Worker = "w"};
      Job.markPlacing(Run, Now);
      Job.markRunning(Run, {}, Now);
    };
    finish(Job, Job.readySteps().front());
    Start(1);
    CPPUNIT_ASSERT(Job.upcomingSteps().empty());
    Start(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Job.upcomingSteps().size());
    CPPUNIT_ASSERT_EQUAL(3, Job.upcomingSteps().front().Step);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepGraphTest);

} // namespace hickory
