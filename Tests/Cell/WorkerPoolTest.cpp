#include "Cell/WorkerPool.h"

#include "Cell/CellTestBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Epoch = 5;

/// A pool that holds the only shard in term Epoch.
struct PoolBench : CellTestBench {
  PoolBench() {
    Pool.onRecordWorker([this](int Shard, const WorkerEntry &Entry) {
      Recorded.insert(Entry.Id);
      Pool.markRecorded(Shard, Entry.Id);
    });
    Pool.onDeleteWorker(
        [this](int, const std::string &Id) { Recorded.erase(Id); });
    Pool.onFenced([this](int /*Shard*/) { Fenced = true; });
    Pool.setOwnershipSource(
        {.Confirm = [](int, std::uint64_t) -> asio::awaitable<bool> {
           co_return true;
         },
         .ConfirmedAt =
             [this](int, std::uint64_t) {
               return std::optional(Timers.now());
             }});
    Pool.assign(0, Epoch);
    Pool.restore(0, {});
  }
  void listWorker() {
    Pool.updateWorkers({{"w",
                         {.Id = "w",
                          .Service = "pool",
                          .Address = "10.0.0.1:80",
                          .Capacity = {.CpusMilli = 4000, .MemoryMb = 1000}}}});
    run(100ms);
  }
  PlaceResult place(int Run) {
    const auto Result = begin(
        Pool.place({.Shard = 0, .Epoch = 1}, {.Task = "j.0.0.0",
                                              .Run = Run,
                                              .Worker = "w",
                                              .Demand = {.CpusMilli = 1000},
                                              .HolderEpoch = Epoch}));
    run(50ms);
    CPPUNIT_ASSERT(Result->has_value());
    return **Result;
  }
  bool stop(std::uint64_t HolderEpoch) {
    return Pool.stopRun({.Task = "j.0.0.0",
                         .Run = 1,
                         .Worker = "w",
                         .HolderEpoch = HolderEpoch});
  }

  bool Fenced = false;
  std::set<std::string> Recorded;
  WorkerPool Pool{
      Context.get_executor(), Timers, Worker, Events, ShardMap(1), {}};
};

} // namespace

class WorkerPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerPoolTest);
  CPPUNIT_TEST(testStopOnAnUnlistedWorkerIsConfirmedAndKept);
  CPPUNIT_TEST(testOnlyTheTermInForceConfirmsAStop);
  CPPUNIT_TEST(testRemovedWorkerThatIsListedAgainIsNotFenced);
  CPPUNIT_TEST(testEntryThatNobodyAnswersForDelaysNoTakeover);
  CPPUNIT_TEST(testRecordedWorkerThatDoesNotAnswerMayHaveRuns);
  CPPUNIT_TEST(testWorkerThatHasLeftIdleDelaysNoTakeover);
  CPPUNIT_TEST(testWorkerThatIsNotListedKeepsItsRecordWhileItHasRuns);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a stop that is repeated without end because its worker is
  // gone, and against a placement that arrives after the stop of its run was
  // confirmed and the worker is listed.
  void testStopOnAnUnlistedWorkerIsConfirmedAndKept() {
    PoolBench Bench;
    CPPUNIT_ASSERT(Bench.stop(Epoch));
    Bench.listWorker();
    CPPUNIT_ASSERT(Bench.place(1).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(0, Bench.Worker.Starts);
    CPPUNIT_ASSERT(Bench.place(2).Status == PlaceStatus::Started);
  }

  // Guards against the confirmation of a process that does not hold the worker
  // yet or any more.
  void testOnlyTheTermInForceConfirmsAStop() {
    PoolBench Bench;
    CPPUNIT_ASSERT(!Bench.stop(Epoch + 1));
    CPPUNIT_ASSERT(Bench.stop(Epoch - 1));
    Bench.Pool.revoke(0);
    CPPUNIT_ASSERT(!Bench.stop(Epoch));
  }

  // Guards against a shard that is given up for good: the worker had started
  // again and was then out of reach for so long that its agent was removed. The
  // next agent began with the first token, which the worker refused, and the
  // refusal was taken for a later holder.
  void testRemovedWorkerThatIsListedAgainIsNotFenced() {
    PoolBench Bench;
    Bench.listWorker();
    Bench.Worker.restart();
    Bench.run(2s);
    CPPUNIT_ASSERT(Bench.place(1).Status == PlaceStatus::Started);
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(200ms);
    Bench.Pool.handleEndAccepted(
        {.Task = "j.0.0.0", .Run = 1, .Worker = "w", .How = "done"});
    Bench.run(200ms);
    Bench.Worker.Reachable = false;
    while (Bench.Pool.find(0, "w") != nullptr) {
      Bench.run(1s);
      Bench.Pool.updateWorkers({});
    }
    Bench.Worker.Reachable = true;
    Bench.listWorker();
    CPPUNIT_ASSERT(!Bench.Fenced);
    // The former agent's tombstones hold as well.
    CPPUNIT_ASSERT(Bench.place(1).Status == PlaceStatus::Rejected);
    CPPUNIT_ASSERT(Bench.place(2).Status == PlaceStatus::Started);
  }

  // Guards against an entry of another service for which each takeover of the
  // cell waits until a lease must have ended that was never granted (review/9).
  void testEntryThatNobodyAnswersForDelaysNoTakeover() {
    PoolBench Bench;
    Bench.Worker.Reachable = false;
    Bench.listWorker();
    Bench.run(2s);
    CPPUNIT_ASSERT(Bench.Pool.loads().front().Resolved);
    CPPUNIT_ASSERT(Bench.Recorded.empty());
    // The next term finds no record of it.
    Bench.Pool.revoke(0);
    Bench.Pool.assign(0, Epoch + 1);
    CPPUNIT_ASSERT(!Bench.Pool.loads().front().Resolved);
    Bench.Pool.restore(0, {});
    CPPUNIT_ASSERT(Bench.Pool.loads().front().Resolved);
    Bench.Worker.Reachable = true;
    Bench.run(2s);
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    CPPUNIT_ASSERT(Bench.Pool.loads().front().Usable);
  }

  // Guards against a takeover that ignores runs on a worker that is out of
  // reach.
  void testRecordedWorkerThatDoesNotAnswerMayHaveRuns() {
    PoolBench Bench;
    Bench.listWorker();
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    const WorkerEntry Entry = Bench.Pool.find(0, "w")->entry();
    Bench.Worker.Reachable = false;
    Bench.Pool.revoke(0);
    Bench.Pool.assign(0, Epoch + 1);
    Bench.Pool.restore(0, {Entry});
    Bench.run(1s);
    CPPUNIT_ASSERT(!Bench.Pool.loads().front().Resolved);
  }

  // Guards against a takeover that waits for the leases of a worker which the
  // platform has removed while it was idle.
  void testWorkerThatHasLeftIdleDelaysNoTakeover() {
    PoolBench Bench;
    Bench.listWorker();
    Bench.run(12s);
    Bench.Pool.updateWorkers({});
    CPPUNIT_ASSERT(Bench.Recorded.empty());
    // It may be back.
    Bench.listWorker();
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    CPPUNIT_ASSERT(Bench.place(1).Status == PlaceStatus::Started);
  }

  // Guards against a later holder that starts a task again which still runs on
  // a worker that the platform no longer lists, and against one that does not
  // know of orders of former holders which may still arrive.
  void testWorkerThatIsNotListedKeepsItsRecordWhileItHasRuns() {
    PoolBench Bench;
    Bench.listWorker();
    Bench.Pool.updateWorkers({});
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    Bench.listWorker();
    Bench.run(12s);
    CPPUNIT_ASSERT(Bench.place(1).Status == PlaceStatus::Started);
    Bench.Pool.updateWorkers({});
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    Bench.Worker.end("j.0.0.0", 1, "done");
    Bench.run(200ms);
    Bench.Pool.updateWorkers({});
    CPPUNIT_ASSERT(Bench.Recorded.contains("w"));
    Bench.Pool.handleEndAccepted(
        {.Task = "j.0.0.0", .Run = 1, .Worker = "w", .How = "done"});
    Bench.run(200ms);
    Bench.Pool.updateWorkers({});
    CPPUNIT_ASSERT(Bench.Recorded.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerPoolTest);

} // namespace hickory
