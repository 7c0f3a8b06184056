#pragma once

#include "Fakes/FakeConfigView.h"
#include "Fakes/FakeLogClient.h"
#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/FakeRackService.h"
#include "Fakes/FakeTimerService.h"
#include "Jobs/JobManager.h"
#include "Log/LogWriter.h"
#include "Scheduling/FairShare.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestAssert.h>
#include <memory>
#include <optional>
#include <set>

namespace hickory {

using namespace std::chrono_literals;

struct JobsHarnessOptions {
  RequestServiceOptions Requests;
  JobRunnerOptions Runner;
};

/// The components of one job owner.
class JobOwner {
public:
  JobOwner(const JobsHarnessOptions &Options, asio::io_context &Context,
           FakeTimerService &Timers, FakeLogClient &Log, FakeConfigView &Config,
           FakeRackService &Racks, std::uint64_t Incarnation)
      : Ownership(Timers), Writer(Context.get_executor(), Timers, Log, Counters,
                                  writerOptions(Incarnation)),
        Cell(Timers, Directory),
        Chooser(Ownership, Directory, Cell, Racks, Peers), Shares(Timers),
        Events(Timers, {.Process = "test"}),
        Requests(Options.Requests, Context.get_executor(), Timers, Config,
                 Ownership, Writer, Table, Chooser, Counters, Events),
        Runner(Options.Runner, Context.get_executor(), Timers, Config,
               Ownership, Writer, Table, Chooser, Shares, Counters, Events),
        Manager(Context.get_executor(), Timers, Config, Ownership, Table,
                Requests, Runner) {
    Ownership.Incarnation = Incarnation;
    for (const peer::RackLoad &Load : Racks.Loads)
      Ownership.acquire(rackShard(Load.rack()), false);
    Runner.setRackLookup([&Racks] {
      std::vector<std::string> Names;
      for (const peer::RackLoad &Load : Racks.Loads)
        if (!Load.has_executors())
          Names.push_back(Load.rack());
      return Names;
    });
    asio::co_spawn(Context, Manager.run(), asio::detached);
  }

  FakeOwnershipView Ownership;
  Metrics Counters;
  LogWriter Writer;
  PeerDirectory Directory{.SelfSlot = "slot-1",
                          .SelfDomain = "d",
                          .SelfRegion = "r",
                          .Slots = {{"slot-1", "d", "r", "127.0.0.1:1"}}};
  CellView Cell;
  FakePeerClient Peers;
  RackChooser Chooser;
  FairShare Shares;
  EventLog Events;
  JobTable Table;
  RequestService Requests;
  JobRunner Runner;
  JobManager Manager;
  bool HoldReads = false; ///< Stops applying log records.
  std::size_t NextOffset = 0;

private:
  static LogWriterOptions writerOptions(std::uint64_t Incarnation) {
    return {.Stream = "d",
            .Slot = "slot-1",
            .Incarnation = Incarnation,
            .Seed = Incarnation};
  }
};

/// One failure domain with one active job owner at a time, racks that survive a
/// takeover, and a log whose records are applied to the table of every owner.
class JobsHarness {
public:
  explicit JobsHarness(JobsHarnessOptions Options = {}) : Options_(Options) {
    Config.Classes["repeat"] = {.Name = "repeat",
                                .Kind = WorkKind::Request,
                                .Accept = Acceptance::Synchronous};
    Config.Classes["once"] = {.Name = "once",
                              .Kind = WorkKind::Request,
                              .Accept = Acceptance::Synchronous,
                              .NonRepeatable = true};
    Config.Classes["batch"] = {.Name = "batch", .MaximumAttempts = 3};
    Config.Classes["batch-once"] = {.Name = "batch-once",
                                    .NonRepeatable = true};
    Config.Classes["gang"] = {.Name = "gang", .Kind = WorkKind::Gang};
    Racks.addExecutorRack("e1", 8);
    Racks.addWorkerRack("r1", 1000000);
    addOwner(7);
    acquireAll(false);
  }
  ~JobsHarness() {
    // Waiting requests refer to their service until they time out.
    for (auto &Owner : Owners_)
      while (Owner->Requests.waiting() > 0)
        run(100ms);
  }
  JobsHarness(const JobsHarness &) = delete;
  JobsHarness &operator=(const JobsHarness &) = delete;

  FakeTimerService Timers;
  asio::io_context Context;
  FakeLogClient Log{Timers};
  FakeConfigView Config;
  FakeRackService Racks{Timers};

  JobOwner &owner() { return *Owners_.back(); }
  /// Acquires all key shards for the current owner.
  void acquireAll(bool PreviousOwnerExpired) {
    for (std::uint32_t I = 0; I < KeyShardsPerDomain; ++I)
      owner().Ownership.acquire("keys/" + std::to_string(I),
                                PreviousOwnerExpired);
  }
  void loseAll() {
    for (std::uint32_t I = 0; I < KeyShardsPerDomain; ++I)
      owner().Ownership.lose("keys/" + std::to_string(I));
  }

  /// Expires the current job owner: its lease ends and its later records are
  /// ignored. A new owner takes over after it has read the whole log.
  void takeOver(std::uint64_t Incarnation) {
    owner().Ownership.setLeaseEnd(Timers.now());
    ExpiredFromOffset_.emplace(owner().Ownership.incarnation(), Log.end("d"));
    owner().Ownership.LogReachable = false;
    for (auto &Owner : Owners_)
      Owner->HoldReads = false;
    addOwner(Incarnation);
    applyNewRecords();
    acquireAll(true);
  }

  /// Advances the time in small steps.
  void run(Clock::duration Duration, Clock::duration Step = 5ms) {
    const auto End = Timers.now() + Duration;
    settle();
    while (Timers.now() < End) {
      Timers.advance(std::min<Clock::duration>(Step, End - Timers.now()));
      settle();
    }
  }
  void settle() {
    do {
      Context.restart();
      Context.poll();
    } while (applyNewRecords());
  }

  template <typename T> using Pending = std::shared_ptr<std::optional<T>>;
  template <typename T> Pending<T> start(asio::awaitable<T> Work) {
    auto Value = std::make_shared<std::optional<T>>();
    asio::co_spawn(Context, std::move(Work),
                   [Value](const std::exception_ptr &Exception, T Result) {
                     if (Exception)
                       std::rethrow_exception(Exception);
                     *Value = std::move(Result);
                   });
    return Value;
  }
  template <typename T>
  T finish(const Pending<T> &Value, Clock::duration Limit = 30s) {
    const auto End = Timers.now() + Limit;
    settle();
    while (!*Value && Timers.now() < End)
      run(5ms);
    CPPUNIT_ASSERT_MESSAGE("the call did not complete in time",
                           Value->has_value());
    return **Value;
  }
  template <typename T> T await(asio::awaitable<T> Work) {
    return finish(start(std::move(Work)));
  }

  static peer::SubmitRequest request(const std::string &Key,
                                     const std::string &Class,
                                     const std::string &Payload = "p") {
    peer::SubmitRequest Request;
    Request.set_key(Key);
    Request.set_member("m");
    Request.set_job_class(Class);
    Request.set_payload(Payload);
    Request.set_timeout_ms(2000);
    return Request;
  }
  static peer::SubmitRequest job(const std::string &Key,
                                 std::uint32_t Tasks = 1,
                                 const std::string &Class = "batch") {
    peer::SubmitRequest Request = request(Key, Class, "");
    Request.set_is_job(true);
    Request.set_tasks(Tasks);
    Request.mutable_per_task()->set_cpus_milli(100);
    Request.mutable_per_task()->set_memory_mb(10);
    Request.set_declared_run_ms(1000);
    return Request;
  }
  Pending<peer::SubmitReply> submit(peer::SubmitRequest Request) {
    return start(owner().Manager.submit(std::move(Request)));
  }
  static records::TaskEnded ended(const peer::PlaceRequest &Placed,
                                  records::OutcomeKind Outcome) {
    records::TaskEnded Ended;
    Ended.set_key(Placed.key());
    Ended.set_task(Placed.task());
    Ended.set_attempt(Placed.attempt());
    Ended.set_outcome(Outcome);
    return Ended;
  }

private:
  void addOwner(std::uint64_t Incarnation) {
    Owners_.push_back(std::make_unique<JobOwner>(Options_, Context, Timers, Log,
                                                 Config, Racks, Incarnation));
  }

  /// Applies new log records to the tables; returns whether there were any.
  bool applyNewRecords() {
    const auto Entries = Log.entries("d");
    bool Any = false;
    for (auto &Owner : Owners_) {
      if (Owner->HoldReads)
        continue;
      for (; Owner->NextOffset < Entries.size(); ++Owner->NextOffset) {
        Any = true;
        records::RecordBatch Batch;
        CPPUNIT_ASSERT(Batch.ParseFromString(Entries[Owner->NextOffset]));
        if (!isEffective(Batch, Owner->NextOffset))
          continue;
        for (const records::Record &Record : Batch.records())
          Owner->Table.apply(Owner->NextOffset, Batch.incarnation(), Record);
      }
    }
    return Any;
  }
  /// Returns false for duplicate batches and for batches of expired
  /// incarnations.
  bool isEffective(const records::RecordBatch &Batch, std::size_t Offset) {
    const auto It = ExpiredFromOffset_.find(Batch.incarnation());
    if (It != ExpiredFromOffset_.end() && Offset >= It->second)
      return false;
    const auto First =
        FirstOffset_
            .try_emplace({Batch.incarnation(), Batch.sequence()}, Offset)
            .first->second;
    return First == Offset;
  }

  JobsHarnessOptions Options_;
  std::vector<std::unique_ptr<JobOwner>> Owners_;
  std::map<std::uint64_t, std::uint64_t>
      ExpiredFromOffset_; ///< By incarnation.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> FirstOffset_;
};

} // namespace hickory
