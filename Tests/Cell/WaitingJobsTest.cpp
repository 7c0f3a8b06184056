#include "Cell/ShardMoveBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

using Kind = CallFault::Kind;

/// ShardMoveBench with jobs on shard 1 that can't be placed.
struct WaitingJobsBench : ShardMoveBench {
  static constexpr int Jobs = 8;

  explicit WaitingJobsBench(int Submitted = Jobs) {
    list("draining");
    run(1s);
    submitUpTo(Submitted);
    run(2s);
  }

  void submitUpTo(int Count) {
    for (; Accepted < Count; ++Accepted)
      submitTo(jobOf(idIn(1, Accepted), {step(1)}));
  }
  /// Returns the number that the process reports; nothing if it refuses.
  static std::optional<int> reportedBy(TestCellNode &Node) {
    return Node.gateway().waitingJobs("queue").Waiting;
  }
  /// Lets the time pass and checks that no process reports another number than
  /// Jobs. Returns how many times it was reported.
  int countReports(std::chrono::milliseconds Duration) {
    int Reports = 0;
    for (std::chrono::milliseconds Passed{0}; Passed < Duration;
         Passed += Step) {
      run(Step);
      for (TestCellNode *Node : alive()) {
        const std::optional<int> Reported = reportedBy(*Node);
        Reports += Reported ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            fmt::format("{} after {} ms", Node->address(), Passed.count()),
            Jobs, Reported.value_or(Jobs));
      }
    }
    return Reports;
  }
  static constexpr std::chrono::milliseconds Step{20};
  int Accepted = 0;
};

} // namespace

class WaitingJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingJobsTest);
  CPPUNIT_TEST(testAllProcessesReportAllWaitingJobs);
  CPPUNIT_TEST(testSilentOwnerIsNotReportedByOldCounts);
  CPPUNIT_TEST(testFormerOwnerIsNotBelievedOnceTheStoreListsTheNext);
  CPPUNIT_TEST(testJobsOfAMovingShardAreNotLeftOut);
  CPPUNIT_TEST(testJobsOfAKilledOwnerAreNotLeftOut);
  CPPUNIT_TEST(testRunThatNeverBeganLeavesItsJobWaiting);
  CPPUNIT_TEST(testStartedJobsAreNotReported);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a fixture that tests nothing: without faults, every process
  // reports the number.
  void testAllProcessesReportAllWaitingJobs() {
    WaitingJobsBench Bench;
    CPPUNIT_ASSERT_EQUAL(4 * 100, Bench.countReports(2s));
  }

  // Guards against the count of an owner that has not answered for seconds.
  void testSilentOwnerIsNotReportedByOldCounts() {
    WaitingJobsBench Bench(1);
    Bench.Environment.Network.ChooseFault = [](const std::string &From,
                                               const std::string &To,
                                               const std::string &Call) {
      return From == "a:1" && To == "p:1" && Call == "exchange"
                 ? CallFault{.Type = Kind::LostReply}
                 : CallFault{};
    };
    Bench.submitUpTo(WaitingJobsBench::Jobs);
    Bench.run(3s);
    // All processes but a:1 know the number.
    CPPUNIT_ASSERT_EQUAL(3 * 100, Bench.countReports(2s));
  }

  // Guards against the count of a process that has lost the shard without
  // noticing, if the next owner can't be asked.
  void testFormerOwnerIsNotBelievedOnceTheStoreListsTheNext() {
    WaitingJobsBench Bench(1);
    Bench.BlockedLinks = {{"a:1", "b:1"}, {"p:1", "b:1"}, {"o:1", "b:1"}};
    Bench.loseJoinsOf(*Bench.FirstOwner);
    Bench.Environment.Store.assignOwners({{1, Bench.SecondHolder.member()}});
    Bench.run(2s);
    for (; Bench.Accepted < WaitingJobsBench::Jobs; ++Bench.Accepted) {
      const std::string Id = Bench.idIn(1, Bench.Accepted);
      Bench.submit(Bench.SecondHolder,
                   Bench.jobOf(Id, {WaitingJobsBench::step(1)}));
      Bench.run(200ms);
      CPPUNIT_ASSERT(Bench.Environment.History.accepted(Id));
    }
    Bench.countReports(2s);
  }

  // Guards against a sum without a shard that no process has open.
  void testJobsOfAMovingShardAreNotLeftOut() {
    WaitingJobsBench Bench;
    // The next owner can't read the journal for a while.
    Bench.LostStoreCalls.insert({"o:1", "newest"});
    Bench.moveJob();
    // The former owner's number still counts at processes with shards.
    CPPUNIT_ASSERT(Bench.countReports(1s) >= 3 * 50);
    Bench.countReports(2s);
    Bench.LostStoreCalls.clear();
    Bench.countReports(4s);
    CPPUNIT_ASSERT_EQUAL(4 * 50, Bench.countReports(1s));
  }

  // Guards against a sum without a shard that has lost its holder.
  void testJobsOfAKilledOwnerAreNotLeftOut() {
    WaitingJobsBench Bench;
    Bench.FirstOwner->kill();
    CPPUNIT_ASSERT(Bench.countReports(1s) >= 2 * 50);
    Bench.countReports(2s);
    Bench.moveJob();
    Bench.countReports(4s);
    CPPUNIT_ASSERT_EQUAL(3 * 50, Bench.countReports(1s));
  }

  // Guards against a job that counts as started because an order was sent that
  // its worker never executed.
  void testRunThatNeverBeganLeavesItsJobWaiting() {
    WaitingJobsBench Bench;
    Bench.Environment.Workers.ChooseFault =
        [](const std::string &, const std::string &, const std::string &Call) {
          return Call == "start" ? CallFault{.Type = Kind::LostRequest}
                                 : CallFault{};
        };
    Bench.release();
    Bench.run(6s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.Environment.History.starts());
    CPPUNIT_ASSERT_EQUAL(4 * 100, Bench.countReports(2s));
  }

  // Guards against jobs that are reported to wait after they have begun.
  void testStartedJobsAreNotReported() {
    WaitingJobsBench Bench;
    Bench.release();
    Bench.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(WaitingJobsBench::Jobs),
                         Bench.Environment.History.starts());
    for (TestCellNode *Node : Bench.alive())
      CPPUNIT_ASSERT_EQUAL(0, WaitingJobsBench::reportedBy(*Node).value_or(-1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingJobsTest);

} // namespace hickory
