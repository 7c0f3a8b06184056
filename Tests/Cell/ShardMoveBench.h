#pragma once

#include "Cell/CellNodeBench.h"

#include <cppunit/TestAssert.h>

namespace hickory {

using namespace std::chrono_literals;

/// Processes on three shards, which the test assigns. Shard 0 has FirstWorker,
/// shard 1 the job and shard 2 SecondWorker. At first FirstHolder holds shard
/// 0, FirstOwner holds shard 1 and SecondOwner holds shard 2. During the test,
/// FirstHolder may lose shard 0 to SecondHolder, which holds none at first, and
/// FirstOwner may lose shard 1 to SecondOwner.
struct ShardMoveBench : CellNodeBench {
  ShardMoveBench()
      : CellNodeBench(3), FirstHolder(startNode("a:1")),
        SecondHolder(startNode("b:1")) {
    FirstOwner = &startNode("p:1");
    SecondOwner = &startNode("o:1");
    addWorker(FirstWorker = idIn(0));
    addWorker(SecondWorker = idIn(2));
    run(1500ms);
    Environment.Store.AutoRebalance = false;
    Environment.Store.assignOwners({{0, FirstHolder.member()},
                                    {1, FirstOwner->member()},
                                    {2, SecondOwner->member()}});
    run(3s);
    // Removals from the group are blocked, so that a process can be unaware of
    // lost shards for longer.
    Environment.Network.ChooseFault = [this](const std::string &From,
                                             const std::string &To,
                                             const std::string &Call) {
      const bool FailedCall = BlockedLinks.contains({From, To}) ||
                              BlockedLinks.contains({To, From});
      return FailedCall || Call == "relieve"
                 ? CallFault{.Type = CallFault::Kind::LostRequest}
                 : CallFault{};
    };
    Environment.Store.ChooseFault = [this](const std::string &Process,
                                           const std::string &Call) {
      return LostStoreCalls.contains({Process, Call})
                 ? CallFault{.Type = CallFault::Kind::LostRequest}
                 : CallFault{};
    };
    Environment.Workers.ChooseFault = [this](const std::string &Process,
                                             const std::string &,
                                             const std::string &) {
      return Process == ProcessWithoutWorkers
                 ? CallFault{.Type = CallFault::Kind::LostRequest}
                 : CallFault{};
    };
    Environment.Workers.ChoosePlan = [](const std::string &, int) {
      return RunPlan{.Duration = 4000ms};
    };
  }

  /// Submits a job of one task that can't be placed before release().
  void submitWaiting(int Number = 0) {
    list("draining");
    run(1s);
    submitTo(jobOf(idIn(1, Number), {step(1)}));
  }
  void release() { list("ready"); }
  void list(const std::string &State) {
    for (const std::string &Worker : {FirstWorker, SecondWorker})
      Environment.Store.put(TestCellNode::WorkersTopic, Worker, State);
  }
  void submitTo(const JobSpec &Job) {
    submit(*FirstOwner, Job);
    run(200ms);
    CPPUNIT_ASSERT(Environment.History.accepted(Job.Id));
  }
  /// The process does not learn that it has lost its shards.
  void loseJoinsOf(TestCellNode &Node) {
    LostStoreCalls.insert({Node.address(), "join"});
  }
  void moveJob() {
    Environment.Store.assignOwners({{1, SecondOwner->member()}});
  }
  void moveWorker() {
    Environment.Store.assignOwners({{0, SecondHolder.member()}});
  }
  void checkRules() {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Environment.History.report() + trace(idIn(1)),
                                 std::size_t(0),
                                 Environment.History.violations().size());
  }
  /// Ends all faults. After that the job must complete without a violation.
  void endFaults() {
    checkRules();
    BlockedLinks.clear();
    LostStoreCalls.clear();
    ProcessWithoutWorkers.clear();
    run(25s);
    finalViolations();
    checkRules();
    CPPUNIT_ASSERT(Environment.History.starts() > 0);
  }

  TestCellNode &FirstHolder;
  TestCellNode &SecondHolder;
  TestCellNode *FirstOwner = nullptr;
  TestCellNode *SecondOwner = nullptr;
  std::string FirstWorker;
  std::string SecondWorker;
  std::set<std::pair<std::string, std::string>> BlockedLinks;
  std::set<std::pair<std::string, std::string>> LostStoreCalls;
  std::string
      ProcessWithoutWorkers; ///< Process whose orders do not reach any worker.
};

} // namespace hickory
