#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Processes with eight workers, on which small jobs arrive steadily beside a
/// large one.
struct LargeJobBench : CellNodeBench {
  static constexpr int Workers = 8;
  static constexpr std::chrono::milliseconds SmallJobInterval{200};
  static constexpr std::chrono::milliseconds Tick{20};

  explicit LargeJobBench(int Processes = 1) : CellNodeBench(Processes) {
    Environment.Configuration.Queues.front().Priority = 2;
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int) {
      const auto Name = TaskName::parse(Task);
      StartedAt.try_emplace(Name->Job, Environment.Timers.now());
      ++Starts[Name->Job];
      return RunPlan{.Duration = Duration};
    };
    for (int I = 0; I < Workers; ++I)
      addWorker(fmt::format("w{}", I), 32000);
    for (int I = 0; I < Processes; ++I)
      startNode(fmt::format("p{}:1", I));
    run(4s);
  }

  void submitLarge(JobSpec Job) { submit(*alive().front(), Job); }

  /// Lets the time pass while small jobs arrive.
  void runWithSmallJobs(std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Passed{0}; Passed < Time; Passed += Tick) {
      if (Passed % SmallJobInterval == 0ms) {
        const std::string Id = idIn(0, NextSmall++);
        submit(*alive().front(), jobOf(Id, {step(2, 500)}));
        SmallSubmittedAt[Id] = Environment.Timers.now();
      }
      run(Tick);
    }
  }
  /// Returns the longest time from the submission of a small job to its first
  /// start, up to now for one that has not started.
  [[nodiscard]] std::chrono::milliseconds longestWait() const {
    Clock::duration Longest{0};
    for (const auto &[Id, At] : SmallSubmittedAt) {
      const auto Started = StartedAt.find(Id);
      Longest = std::max(Longest,
                         (Started == StartedAt.end() ? Environment.Timers.now()
                                                     : Started->second) -
                             At);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(Longest);
  }
  void checkSmallJobs(std::chrono::milliseconds Bound = 1s) {
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("a small job waited for {} ms", longestWait().count()),
        longestWait() <= Bound);
    finalViolations();
    CPPUNIT_ASSERT_EQUAL(std::string(), Environment.History.report());
  }

  /// An id that no small job has.
  [[nodiscard]] std::string largeId() const { return idIn(0, 100000); }

  std::chrono::milliseconds Duration{100}; ///< Of each run.
  std::map<std::string, Clock::time_point> SmallSubmittedAt;
  std::map<std::string, Clock::time_point> StartedAt; ///< By job.
  std::map<std::string, int> Starts;                  ///< By job.
  int NextSmall = 0;
};

} // namespace

/// One job must not cost the others more than its share, whatever its size and
/// whatever it waits for.
class LargeJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeJobTest);
  CPPUNIT_TEST(testGraphWithManyPathsDoesNotBlockItsOwner);
  CPPUNIT_TEST(testDueOccurrencesDoNotDelayOtherJobs);
  CPPUNIT_TEST(testGangThatWaitsForALastingTaskHoldsBackNoOthers);
  CPPUNIT_TEST(testGangOfWholeWorkersThatWaitsHoldsBackNoOthers);
  CPPUNIT_TEST(testGangThatWaitsForALongTaskHoldsBackNoOthers);
  CPPUNIT_TEST(testNoTaskYieldsToAGangThatWaitsForALastingTask);
  CPPUNIT_TEST(testGangStartsOnceTheLastingTaskHasEnded);
  CPPUNIT_TEST(testGangOfWholeWorkersStarts);
  CPPUNIT_TEST(testStepsThatFitNowhereDoNotHideOthers);
  CPPUNIT_TEST(testManyTasksDoNotDelayOtherJobs);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a job whose graph of steps has 2^39 paths and that keeps its
  // owner busy for ever (incident 49, review/6).
  void testGraphWithManyPathsDoesNotBlockItsOwner() {
    LargeJobBench Bench;
    std::vector<StepSpec> Steps;
    for (int S = 0; S < 40; ++S) {
      StepSpec Step = CellNodeBench::step(1, 500);
      Step.DependsOn.resize(static_cast<std::size_t>(S));
      std::iota(Step.DependsOn.begin(), Step.DependsOn.end(), 0);
      Steps.push_back(std::move(Step));
    }
    Bench.submitLarge(Bench.jobOf(Bench.largeId(), Steps));
    Bench.runWithSmallJobs(20s);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Bench.stateOf(Bench.largeId()));
    Bench.checkSmallJobs();
  }

  // Guards against a job with thousands of due occurrences that keeps its owner
  // busy and whose progress is longer than the store accepts (incident 49,
  // review/7).
  void testDueOccurrencesDoNotDelayOtherJobs() {
    LargeJobBench Bench;
    JobSpec Job = Bench.jobOf(Bench.largeId(), {CellNodeBench::step(2, 500)});
    Job.Repetitions = 10000;
    Job.Interval = 1s;
    Bench.submitLarge(Job);
    Bench.runWithSmallJobs(20s);
    Bench.run(2s);
    // Its occurrences go on meanwhile.
    CPPUNIT_ASSERT(Bench.Starts[Bench.largeId()] > 1000);
    Bench.cancel(*Bench.alive().front(), Bench.largeId());
    Bench.run(2s);
    Bench.checkSmallJobs();
  }

  // Guards against a gang whose claim can't come true, as a task lasts on one
  // of the workers that it needs, and that holds back all other jobs of its
  // priority (incident 49, review/8).
  void testGangThatWaitsForALastingTaskHoldsBackNoOthers() {
    StepSpec Service = CellNodeBench::step(1, 18000);
    Service.LongRunning = true;
    checkJobsBeside(Service, GangCpus);
  }

  // The same for a gang that leaves nothing of a worker to others.
  void testGangOfWholeWorkersThatWaitsHoldsBackNoOthers() {
    StepSpec Service = CellNodeBench::step(1, 18000);
    Service.LongRunning = true;
    checkJobsBeside(Service, 30000);
  }

  // The same for a task that takes ten minutes.
  void testGangThatWaitsForALongTaskHoldsBackNoOthers() {
    StepSpec Long = CellNodeBench::step(1, 18000);
    Long.EstimatedDuration = 10min;
    checkJobsBeside(Long, 30000);
  }

  // Guards against tasks that leave half of each worker to a more urgent gang
  // which can't start as long as a task lasts.
  void testNoTaskYieldsToAGangThatWaitsForALastingTask() {
    LargeJobBench Bench;
    StepSpec Service = CellNodeBench::step(1, 18000);
    Service.LongRunning = true;
    Bench.Duration = 10min;
    Bench.submitLarge(Bench.jobOf(Bench.largeId(), {Service}));
    Bench.run(1s);
    StepSpec Gang = CellNodeBench::step(LargeJobBench::Workers, 20000);
    Gang.Gang = true;
    JobSpec GangJob = Bench.jobOf(Bench.idIn(0, 100001), {Gang});
    GangJob.Queue.Priority = 1;
    Bench.submitLarge(GangJob);
    Bench.run(4s);
    const std::string Id = Bench.idIn(0, 100002);
    constexpr int Tasks = 2 * (LargeJobBench::Workers - 1);
    Bench.submitLarge(Bench.jobOf(Id, {CellNodeBench::step(Tasks, 10000)}));
    Bench.run(1s);
    CPPUNIT_ASSERT_EQUAL(Tasks, Bench.Starts[Id]);
    CPPUNIT_ASSERT(!Bench.StartedAt.contains(GangJob.Id));
  }

  // Guards against a gang that is forgotten while it holds no claim.
  void testGangStartsOnceTheLastingTaskHasEnded() {
    LargeJobBench Bench;
    StepSpec Service = CellNodeBench::step(1, 18000);
    Service.LongRunning = true;
    Bench.Duration = 10min;
    const std::string Id = Bench.largeId();
    Bench.submitLarge(Bench.jobOf(Id, {Service}));
    Bench.run(1s);
    Bench.Duration = 100ms;
    const std::string Gang = submitGang(Bench, GangCpus);
    Bench.runWithSmallJobs(5s);
    CPPUNIT_ASSERT(!Bench.StartedAt.contains(Gang));
    Bench.cancel(*Bench.alive().front(), Id);
    Bench.runWithSmallJobs(5s);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), Bench.stateOf(Gang));
    Bench.run(1s);
    Bench.checkSmallJobs();
  }

  // Guards against a gang that never starts since its members need a part of
  // the headroom of a worker, which its queue never gets (review/10).
  void testGangOfWholeWorkersStarts() {
    LargeJobBench Bench;
    StepSpec Gang = CellNodeBench::step(3, 31000);
    Gang.Gang = true;
    Bench.submitLarge(Bench.jobOf(Bench.largeId(), {Gang}));
    Bench.runWithSmallJobs(10s);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Bench.stateOf(Bench.largeId()));
    Bench.checkSmallJobs();
  }

  // Guards against steps that can't be placed and take all places of a pass, so
  // that no other step of their owner starts (case rack of review/rig-2).
  void testStepsThatFitNowhereDoNotHideOthers() {
    LargeJobBench Bench;
    StepSpec Nowhere = CellNodeBench::step(1, 500);
    Nowhere.RequiredLabels = {"none"};
    JobSpec Job =
        Bench.jobOf(Bench.largeId(), std::vector<StepSpec>(1000, Nowhere));
    Job.Queue.Priority = 0;
    Bench.submitLarge(Job);
    Bench.runWithSmallJobs(20s);
    Bench.run(2s);
    CPPUNIT_ASSERT(!Bench.StartedAt.contains(Bench.largeId()));
    Bench.cancel(*Bench.alive().front(), Bench.largeId());
    Bench.run(2s);
    Bench.checkSmallJobs(3s);
  }

  // Guards against a job of thousands of tasks during which small jobs of its
  // shard are refused.
  void testManyTasksDoNotDelayOtherJobs() {
    LargeJobBench Bench(2);
    StepSpec Many = CellNodeBench::step(5000, 10);
    Many.Demand.MemoryMb = 1;
    Many.MaximumPerWorker = 1000;
    JobSpec Job = Bench.jobOf(Bench.largeId(), {Many});
    Job.Payload = std::string(4000, 'x');
    Bench.submitLarge(Job);
    Bench.runWithSmallJobs(10s);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         Bench.stateOf(Bench.largeId()));
    Bench.checkSmallJobs();
  }

private:
  static constexpr std::uint64_t GangCpus = 17000;

  /// Submits a gang with a member for each worker.
  static std::string submitGang(LargeJobBench &Bench, std::uint64_t Cpus) {
    StepSpec Gang = CellNodeBench::step(LargeJobBench::Workers, Cpus);
    Gang.Gang = true;
    const std::string Id = Bench.idIn(0, 100001);
    Bench.submitLarge(Bench.jobOf(Id, {Gang}));
    return Id;
  }
  static void checkJobsBeside(const StepSpec &Lasting, std::uint64_t Cpus) {
    LargeJobBench Bench;
    Bench.Duration = 10min;
    Bench.submitLarge(Bench.jobOf(Bench.largeId(), {Lasting}));
    Bench.run(1s);
    Bench.Duration = 100ms;
    const std::string Gang = submitGang(Bench, Cpus);
    Bench.runWithSmallJobs(20s);
    Bench.run(2s);
    CPPUNIT_ASSERT(!Bench.StartedAt.contains(Gang));
    for (const std::string &Id : {Gang, Bench.largeId()})
      Bench.cancel(*Bench.alive().front(), Id);
    Bench.run(2s);
    Bench.checkSmallJobs();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeJobTest);

} // namespace hickory
