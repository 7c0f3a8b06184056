#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Processes that place gangs on the same workers at the same time. They learn
/// of each other's placements from exchanges, at intervals of 0.75 s.
struct GangContentionBench : CellNodeBench {
  static constexpr int Processes = 16;
  static constexpr int Workers = 192; ///< Each runs three tasks.
  static constexpr int NarrowTasks = 9;
  static constexpr int WideTasks = 96;
  static constexpr std::chrono::milliseconds NarrowGangInterval{8};

  GangContentionBench() : CellNodeBench(Processes) {
    // As between two regions.
    Environment.Network.Latency = 8ms;
    Environment.Network.ChooseFault = [this](const std::string &,
                                             const std::string &,
                                             const std::string &Call) {
      ++Calls[Call];
      return CallFault{};
    };
    Environment.Configuration.Queues.front().Priority = 1;
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int) {
      Waiting.erase(TaskName::jobOf(Task));
      return RunPlan{.Duration = 300ms};
    };
    for (int I = 0; I < Workers; ++I)
      addWorker(fmt::format("w{:03}", I), 32000);
    // The exchanges of the processes are spread over time.
    for (int I = 0; I < Processes; ++I) {
      startNode(fmt::format("p{}:1", I));
      run(47ms);
    }
    run(4s);
  }

  /// Submits a gang that is owned by the holder of the shard.
  std::string submitGang(int Shard, int Tasks) {
    StepSpec Gang = step(Tasks, 9000);
    Gang.Gang = true;
    const std::string Id = idIn(Shard, Submitted[Shard]++);
    Waiting.insert(Id);
    submit(*alive()[static_cast<std::size_t>(Shard)], jobOf(Id, {Gang}));
    return Id;
  }
  /// Lets the time pass while narrow gangs arrive at all processes. They use
  /// about 0.6 of the capacity.
  void runWithNarrowGangs(std::chrono::milliseconds Duration) {
    for (std::chrono::milliseconds Passed{0}; Passed < Duration;
         Passed += NarrowGangInterval) {
      submitGang(NextShard, NarrowTasks);
      NextShard = (NextShard + 1) % Processes;
      run(NarrowGangInterval);
    }
  }
  /// Submits a wide gang and returns the time until it has started.
  std::chrono::milliseconds startWideGang(int Shard) {
    const std::string Id = submitGang(Shard, WideTasks);
    std::chrono::milliseconds Waited{0};
    for (; Waiting.contains(Id) && Waited < 10s; Waited += NarrowGangInterval)
      runWithNarrowGangs(NarrowGangInterval);
    return Waited;
  }

  std::map<int, int> Submitted;  ///< By shard.
  std::set<std::string> Waiting; ///< Jobs that have not started.
  std::map<std::string, int> Calls;
  int NextShard = 0;
};

} // namespace

class GangContentionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangContentionTest);
  CPPUNIT_TEST(testWideGangsStartBesideNarrowOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against wide gangs that wait although capacity for them is free: by
  // the time their reservations arrive, other gangs have taken a few of the
  // chosen workers, and the whole attempt fails, again and again.
  void testWideGangsStartBesideNarrowOnes() {
    GangContentionBench Bench;
    Bench.runWithNarrowGangs(2s);
    std::chrono::milliseconds Longest{0};
    for (int Shard = 0; Shard < 8; ++Shard)
      Longest = std::max(Longest, Bench.startWideGang(Shard));
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("a wide gang waited for {} ms", Longest.count()),
        Longest <= 1500ms);
    // An attempt that fails must not cost a stop call for each member, as most
    // attempts of wide gangs fail on a busy cell.
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} stop calls, {} reservation calls",
                                       Bench.Calls["stop"],
                                       Bench.Calls["reserve"]),
                           Bench.Calls["stop"] < Bench.Calls["reserve"]);
    Bench.run(5s);
    Bench.finalViolations();
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.Environment.History.report());
    // No member of a gang was started without the others.
    CPPUNIT_ASSERT_EQUAL(std::string(), Bench.trace("\"alone\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangContentionTest);

} // namespace hickory
