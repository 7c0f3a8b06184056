#include "Fakes/FakeLogClient.h"
#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/FakeTimerService.h"
#include "Jobs/JobRunner.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr const char *Stream = "domain.north";
constexpr const char *Key = "north/service-1";

/// One rack with unlimited capacity, whose owner starts or refuses tasks as
/// configured by the test.
class FakeRackService final : public RackService {
public:
  bool RefuseStarts = false;
  std::uint32_t LastAttempt = 0; ///< Of the calls of place().
  int RefusedStarts = 0;

  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest Request) override {
    LastAttempt = Request.attempt();
    peer::PlaceReply Reply;
    Reply.set_status(RefuseStarts ? peer::STATUS_UNAVAILABLE : peer::STATUS_OK);
    Reply.set_worker("w1");
    RefusedStarts += RefuseStarts ? 1 : 0;
    co_return Reply;
  }
  asio::awaitable<peer::ReserveReply> reserve(peer::ReserveRequest) override {
    co_return peer::ReserveReply();
  }
  asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest) override {
    peer::TaskStatusReply Reply;
    Reply.set_status(peer::STATUS_NOT_FOUND);
    co_return Reply;
  }
  asio::awaitable<peer::StopTaskReply>
  stopTask(peer::StopTaskRequest) override {
    co_return peer::StopTaskReply();
  }
  asio::awaitable<peer::ExecuteReply> execute(peer::ExecuteRequest) override {
    co_return peer::ExecuteReply();
  }
  [[nodiscard]] std::vector<peer::RackLoad> rackLoads() const override {
    peer::RackLoad Load;
    Load.set_rack("r1");
    for (records::Resources *Amount :
         {Load.mutable_free(), Load.mutable_total(),
          Load.mutable_largest_free(), Load.mutable_largest_worker()}) {
      Amount->set_cpus_milli(1000000);
      Amount->set_memory_mb(1000000);
    }
    return {Load};
  }
  [[nodiscard]] std::vector<peer::MemberUse> memberUse() const override {
    return {};
  }
};

class FakeConfigView final : public ConfigView {
public:
  JobClassConfig Class{
      .Name = "service", .Pool = "main", .Kind = WorkKind::Service};

  [[nodiscard]] std::uint64_t version() const override { return 1; }
  [[nodiscard]] std::optional<JobClassConfig>
  jobClass(const std::string & /*Name*/) const override {
    return Class;
  }
  [[nodiscard]] std::optional<PoolConfig>
  pool(const std::string & /*Name*/) const override {
    return std::nullopt;
  }
  [[nodiscard]] bool hasMember(const std::string & /*Name*/) const override {
    return true;
  }
  [[nodiscard]] std::vector<QuotaConfig> quotas() const override { return {}; }
};

/// A job owner that also owns one rack.
struct JobOwnerFixture {
  /// Reads and writes SharedLog if it is given, otherwise a log of its own.
  explicit JobOwnerFixture(FakeLogClient *SharedLog = nullptr)
      : OwnLog(Timers), Log(SharedLog == nullptr ? OwnLog : *SharedLog),
        Directory{.SelfSlot = "a",
                  .SelfDomain = "north",
                  .SelfRegion = "west",
                  .Slots = {{"a", "north", "west", "127.0.0.1:1"}}} {
    Table.onChange([this](const std::string &Changed) {
      if (ShardAcquired)
        Runner.keyChanged(Changed);
    });
    readLog();
    Ownership.acquire(keyShard(Key), false);
    Ownership.acquire(rackShard("r1"), false);
    ShardAcquired = true;
    Runner.acquire(keyShard(Key), false);
    asio::co_spawn(Context, Runner.dispatchLoop(), asio::detached);
  }
  ~JobOwnerFixture() {
    Writer.stop();
    Context.restart();
    Context.poll();
  }

  void readLog() {
    const auto Entries = Log.entries(Stream);
    for (; NextOffset < Entries.size(); ++NextOffset) {
      records::RecordBatch Batch;
      CPPUNIT_ASSERT(Batch.ParseFromString(Entries[NextOffset]));
      for (const records::Record &Record : Batch.records())
        Table.apply(NextOffset, Batch.incarnation(), Record);
    }
  }

  void advance(Clock::duration Length) {
    for (Clock::duration Passed{}; Passed < Length; Passed += 20ms) {
      Timers.advance(20ms);
      Context.restart();
      Context.poll();
      readLog();
    }
  }

  void submit() {
    peer::SubmitRequest Request;
    Request.set_key(Key);
    Request.set_member("karri-ridge");
    Request.set_job_class("service");
    Request.set_is_job(true);
    Request.set_tasks(1);
    Request.mutable_per_task()->set_cpus_milli(1000);
    Request.set_timeout_ms(5000);
    asio::co_spawn(Context, Runner.submit(Request, Config.Class),
                   asio::detached);
    advance(1s);
  }

  /// Reports, as the rack owner, that an attempt was stopped.
  void reportEnd(std::uint32_t Attempt) {
    records::TaskEnded Ended;
    Ended.set_key(Key);
    Ended.set_attempt(Attempt);
    Ended.set_outcome(records::OUTCOME_CANCELLED);
    asio::co_spawn(Context, Runner.taskEnded(Ended), asio::detached);
    advance(2s);
  }

  records::OutcomeKind cancel() {
    CPPUNIT_ASSERT_EQUAL(1U, Runner.cancel({Key}));
    advance(10s);
    const KeyRecord *KeyState = Table.find(Key);
    CPPUNIT_ASSERT(KeyState != nullptr && KeyState->Outcome);
    return KeyState->Outcome->outcome();
  }

  asio::io_context Context;
  FakeTimerService Timers;
  FakeLogClient OwnLog;
  FakeLogClient &Log;
  PeerDirectory Directory;
  Metrics Counters;
  EventLog Events{Timers, {.Process = "a"}};
  FakeOwnershipView Ownership{Timers};
  FakeConfigView Config;
  FakePeerClient Peers;
  FakeRackService Racks;
  CellView Cell{Timers, Directory};
  RackChooser Chooser{Ownership, Directory, Cell, Racks, Peers};
  FairShare Shares{Timers};
  JobTable Table;
  LogWriter Writer{Context.get_executor(),
                   Timers,
                   Log,
                   Counters,
                   {.Stream = Stream, .Incarnation = 7, .Seed = 1}};
  JobRunner Runner{{},        Context.get_executor(),
                   Timers,    Config,
                   Ownership, Writer,
                   Table,     Chooser,
                   Shares,    Counters,
                   Events};
  std::size_t NextOffset = 0;
  bool ShardAcquired = false;
};

} // namespace

class JobCancelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobCancelTest);
  CPPUNIT_TEST(jobThatNeverStartedIsNotRun);
  CPPUNIT_TEST(jobThatRanBeforeIsNotReportedAsNotRun);
  CPPUNIT_TEST(successorKnowsThatAnEarlierAttemptRan);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { FLAGS_minloglevel = google::GLOG_ERROR; }
  void tearDown() override { FLAGS_minloglevel = google::GLOG_INFO; }

  // Guards against reporting a job that did not run as possibly run.
  void jobThatNeverStartedIsNotRun() {
    JobOwnerFixture Setup;
    Setup.Racks.RefuseStarts = true;
    Setup.submit();
    CPPUNIT_ASSERT(Setup.Racks.RefusedStarts > 1);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, Setup.cancel());
  }

  // Guards against the outcome "not run" for a job whose first attempt ran and
  // ended and whose second attempt was refused. Occurred with a service whose
  // rack owner failed.
  void jobThatRanBeforeIsNotReportedAsNotRun() {
    JobOwnerFixture Setup;
    Setup.submit();
    CPPUNIT_ASSERT_EQUAL(1U, Setup.Racks.LastAttempt);
    Setup.Racks.RefuseStarts = true;
    Setup.reportEnd(1);
    CPPUNIT_ASSERT(Setup.Racks.LastAttempt > 1);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_CANCELLED, Setup.cancel());
  }

  // Guards against the outcome "not run" for such a job if the job owner was
  // replaced between the two attempts.
  void successorKnowsThatAnEarlierAttemptRan() {
    JobOwnerFixture First;
    First.submit();
    First.Racks.RefuseStarts = true;
    First.reportEnd(1);
    JobOwnerFixture Second(&First.Log);
    Second.Racks.RefuseStarts = true;
    Second.advance(1s);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_CANCELLED, Second.cancel());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCancelTest);

} // namespace hickory
