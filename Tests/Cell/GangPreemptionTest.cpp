#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Workers that are full of preemptible tasks, while further ones wait at all
/// processes for each piece of capacity. Processes learn of each other's claims
/// from exchanges, at intervals of 0.75 s.
struct GangPreemptionBench : CellNodeBench {
  static constexpr int Processes = 16;
  static constexpr int Workers = 48; ///< Each runs eight of the small tasks.
  static constexpr int SmallTasksPerJob = 40;
  static constexpr int GangTasks = 48;
  static constexpr std::chrono::milliseconds StepTime{10};
  /// Latest start that meets the objective of the gangs.
  static constexpr std::chrono::milliseconds LongestWait{2000};

  GangPreemptionBench() : CellNodeBench(Processes) {
    // As between two regions.
    Environment.Network.Latency = 8ms;
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int) {
      const bool InGang = Gangs.contains(TaskName::jobOf(Task));
      Waiting.erase(TaskName::jobOf(Task));
      return RunPlan{.Duration = InGang ? 300ms : 4000ms};
    };
    for (int I = 0; I < Workers; ++I)
      addWorker(fmt::format("w{:03}", I), 32000);
    // The exchanges of the processes are spread over time.
    for (int I = 0; I < Processes; ++I) {
      startNode(fmt::format("p{}:1", I));
      run(47ms);
    }
    run(4s);
    for (int Shard = 0; Shard < Processes; ++Shard)
      for (int Job = 0; Job < 4; ++Job)
        submitSmallTasks(Shard);
    run(3s);
  }

  void submitSmallTasks(int Shard) {
    StepSpec Small = step(SmallTasksPerJob, 4000);
    Small.Checkpointing = true;
    Small.EstimatedDuration = 4000ms;
    JobSpec Job = jobOf(idIn(Shard, Submitted[Shard]++), {Small});
    Job.Queue.Priority = 2;
    submit(*alive()[static_cast<std::size_t>(Shard)], Job);
  }
  /// Submits a gang and returns the time until it has started.
  std::chrono::milliseconds startGang(int Shard) {
    StepSpec Gang = step(GangTasks, 9000);
    Gang.Gang = true;
    Gang.EstimatedDuration = 300ms;
    JobSpec Job = jobOf(idIn(Shard, Submitted[Shard]++), {Gang});
    Job.Queue.Priority = 1;
    Job.Queue.TargetLatency = LongestWait;
    Waiting.insert(Job.Id);
    Gangs.insert(Job.Id);
    submit(*alive()[static_cast<std::size_t>(Shard)], Job);
    std::chrono::milliseconds Waited{0};
    for (; Waiting.contains(Job.Id) && Waited < 10s; Waited += StepTime)
      run(StepTime);
    return Waited;
  }

  std::map<int, int> Submitted;  ///< By shard.
  std::set<std::string> Waiting; ///< Gangs that have not started.
  std::set<std::string> Gangs;
};

} // namespace

class GangPreemptionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangPreemptionTest);
  CPPUNIT_TEST(testGangGetsTheCapacityThatIsFreedForIt);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against gangs that are late because capacity that was freed for them
  // is given to waiting tasks of other processes, which do not know the claim.
  void testGangGetsTheCapacityThatIsFreedForIt() {
    GangPreemptionBench Bench;
    std::string Waits;
    std::chrono::milliseconds Longest{0};
    for (int Shard = 0; Shard < 8; ++Shard) {
      const auto Waited = Bench.startGang(Shard);
      Waits += fmt::format(" {}", Waited.count());
      Longest = std::max(Longest, Waited);
      Bench.run(1s);
    }
    CPPUNIT_ASSERT_MESSAGE("ms until the gangs started:" + Waits,
                           Longest <= Bench.LongestWait);
    Bench.run(60s);
    Bench.finalViolations();
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Environment.History.report());
    // No member of a gang was started without the others.
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.trace("\"alone\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangPreemptionTest);

} // namespace hickory
