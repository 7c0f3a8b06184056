#include "Backends/WorkerSession.h"

#include "Backends/SignalWait.h"
#include "Base/Backoff.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickory {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Phase = WorkerTask::Phase;

/// True for a complete answer that says that the worker did nothing.
bool refusedAll(int Status) {
  return Status == 503 || Status == 429 || (Status >= 400 && Status < 500);
}

records::OutcomeKind outcomeOf(const std::string &State) {
  if (State == "done")
    return records::OUTCOME_COMPLETED;
  if (State == "stopped")
    return records::OUTCOME_CANCELLED;
  return records::OUTCOME_FAILED;
}

} // namespace

/// One message to the worker and the starts that it carries.
struct WorkerSession::Exchange {
  bool ReadOnly = false;
  json Body;
  std::vector<TaskPointer> Starts;
};

WorkerSession::WorkerSession(std::shared_ptr<RackContext> Context,
                             Upstream Worker)
    : Context_(std::move(Context)), Worker_(std::move(Worker)),
      Shard_(rackShard(Worker_.Rack)), Wake_(Context_->Executor),
      Total_(Worker_.Total) {}

void WorkerSession::open(Clock::time_point Acquired) {
  RenewalBasis_ = Acquired;
  LastReportAt_ = Acquired;
  asio::co_spawn(
      Context_->Executor,
      [](std::shared_ptr<WorkerSession> Self) -> asio::awaitable<void> {
        co_await Self->run();
      }(shared_from_this()),
      asio::detached);
}

void WorkerSession::close() {
  Closed_ = true;
  Wake_.notify();
  for (const auto &[Id, Task] : Tasks_) {
    if (Task->State == Phase::Queued)
      Task->enter(Phase::NotStarted);
    else
      Task->enter(Task->State); // Wakes calls that wait in vain.
  }
}

void WorkerSession::update(const Upstream &Worker) {
  const bool Moved = Worker.Address != Worker_.Address;
  Worker_ = Worker;
  if (!StateRead_)
    Total_ = Worker.Total;
  if (Moved)
    Wake_.notify();
}

Clock::duration WorkerSession::withRateMargin(Clock::duration Duration) const {
  return duration_cast<Clock::duration>(
      Duration * (1 + Context_->Options.Lease.ClockRateMargin));
}

bool WorkerSession::tasksKnown() const {
  return StateRead_ ||
         Context_->Timers.now() >=
             RenewalBasis_ + withRateMargin(Context_->Options.Lease.RunLease);
}

bool WorkerSession::mayStart() const {
  if (Closed_ || Worker_.Leaving)
    return false;
  if (!Context_->Options.Protections.ReadBeforeCommit)
    return true;
  const auto &Lease = Context_->Options.Lease;
  const auto Now = Context_->Timers.now();
  if (!StateRead_ || !Answering_ ||
      Now > LastReportAt_ + 2 * Lease.HeartbeatPeriod ||
      (BusySince_ && Now > *BusySince_ + Lease.SlowAnswer))
    return false;
  const auto Health = health();
  return Health != HealthTracker::State::SetAside &&
         Health != HealthTracker::State::Probing;
}

Capacity WorkerSession::committed() const {
  Capacity Sum = Reserved_;
  for (const auto &[Id, Task] : Tasks_)
    if (Task->isCommitted())
      Sum += Task->Size;
  return Sum;
}

WorkerSession::TaskPointer WorkerSession::start(WorkerTask Task) {
  auto Shared = std::make_shared<WorkerTask>(std::move(Task));
  Shared->State = Phase::Queued;
  Shared->CommittedAt = Context_->Timers.now();
  Tasks_[Shared->Id] = Shared;
  Wake_.notify();
  return Shared;
}

void WorkerSession::cancelQueued(const TaskPointer &Task) {
  if (Task->State == Phase::Queued)
    notStarted(Task, "the start was given up before it was sent");
}

void WorkerSession::requestStop(const TaskPointer &Task, std::string Reason,
                                bool CheckpointFirst) {
  Task->StopWanted = true;
  Task->StopReason = std::move(Reason);
  Task->CheckpointFirst = CheckpointFirst;
  Wake_.notify();
}

WorkerSession::TaskPointer WorkerSession::find(const TaskId &Id) const {
  const auto It = Tasks_.find(Id);
  return It == Tasks_.end() ? nullptr : It->second;
}

bool WorkerSession::startsSettled() const {
  const auto Now = Context_->Timers.now();
  for (const auto &[Id, Task] : Tasks_)
    if (Task->State == Phase::Queued ||
        (Task->State == Phase::Sent &&
         Now <
             Task->SentAt + withRateMargin(Context_->Options.Lease.StartLease)))
      return false;
  return true;
}

asio::awaitable<void> WorkerSession::run() {
  const auto &Lease = Context_->Options.Lease;
  BackoffOptions Pauses{.Initial = milliseconds(100),
                        .Maximum = Lease.HeartbeatPeriod};
  Backoff Pause(Pauses, Context_->Source);
  bool First = true;
  while (!Closed_) {
    bool Answered = false;
    milliseconds Wait = Lease.HeartbeatPeriod;
    if (Context_->Ownership.holds(Shard_)) {
      Answered = co_await exchange();
      Answering_ = Answered;
      if (Closed_)
        break;
      loseTasksIfLeaseOver();
      if (Answered && hasUrgentCommands())
        continue;
      if (!Answered) {
        Wait = Pause.next();
      } else {
        Pause.reset();
        // Spreads the heartbeats of a rack over the period.
        if (std::exchange(First, false))
          Wait = milliseconds(Context_->Source.below(
              static_cast<std::uint64_t>(Wait.count()) + 1));
      }
    } else {
      Wait = milliseconds(100);
    }
    co_await waitUntil(Wake_, Context_->Timers, Context_->Timers.now() + Wait);
  }
}

bool WorkerSession::hasUrgentCommands() const {
  for (const auto &[Id, Task] : Tasks_)
    if (Task->State == Phase::Queued)
      return true;
  return false;
}

asio::awaitable<bool> WorkerSession::exchange() {
  Exchange Next;
  Next.ReadOnly = !StateRead_ && Context_->Options.Protections.ReadBeforeCommit;
  HttpClientRequest Request;
  Request.Url = "http://" + Worker_.Address + "/v1/state";
  Request.Timeout = Context_->Options.Lease.CallTimeout;
  Request.MayResend = true;
  if (!Next.ReadOnly) {
    if (!buildCommands(Next))
      co_return false;
    Request.Method = "POST";
    Request.Url = "http://" + Worker_.Address + "/v1/commands";
    Request.Body = Next.Body.dump();
    // A second copy of a start could run after a restart of the worker.
    Request.MayResend =
        std::none_of(Next.Starts.begin(), Next.Starts.end(),
                     [](const auto &Task) { return Task->NonRepeatable; });
  }
  Context_->Counters.count("hickory_worker_bytes_total",
                           static_cast<double>(Request.Body.size()));
  BusySince_ = Context_->Timers.now();
  auto Reply = co_await Context_->Client.send(std::move(Request));
  BusySince_.reset();
  if (Closed_)
    co_return false;
  Context_->Counters.count("hickory_worker_exchanges_total");
  if (Reply)
    Context_->Counters.count("hickory_worker_bytes_total",
                             static_cast<double>(Reply->Body.size()));
  if (!Reply) {
    Context_->Counters.count("hickory_worker_exchange_failures_total");
    if (Reply.error().hadNoEffect())
      startsNotSent(Next, "the worker cannot be reached");
    co_return false;
  }
  if (Reply->Status != 200) {
    Context_->Counters.count("hickory_worker_exchange_failures_total");
    const json Body = json::parse(Reply->Body, nullptr, false);
    if (Body.is_object() && Body.contains("state") &&
        Body["state"] == "leaving")
      Context_->Upstreams.setSaidLeaving(Worker_.Name, true);
    if (refusedAll(Reply->Status))
      startsNotSent(Next, fmt::format("the worker answered with status {}",
                                      Reply->Status));
    co_return false;
  }
  co_return handleReport(Reply->Body, Next);
}

void WorkerSession::startsNotSent(const Exchange &Failed,
                                  const std::string &Detail) {
  for (const TaskPointer &Task : Failed.Starts)
    if (Task->State == Phase::Sent)
      notStarted(Task, Detail);
}

std::int64_t WorkerSession::workerClockMs() const {
  // The clock was read before the report arrived, and it runs slower than ours
  // by at most the rate margin; so it shows at least this value now.
  const auto Elapsed = Context_->Timers.now() - LastReportAt_;
  const double Slowest = 1 - Context_->Options.Lease.ClockRateMargin;
  return LastClockMs_ +
         static_cast<std::int64_t>(
             static_cast<double>(duration_cast<milliseconds>(Elapsed).count()) *
             Slowest);
}

bool WorkerSession::buildCommands(Exchange &Next) {
  const auto &Lease = Context_->Options.Lease;
  const auto Remaining =
      Context_->Ownership.leaseEnd() - Context_->Timers.now();
  if (Remaining <= Clock::duration::zero())
    return false;
  Next.Body = {{"renew_until_ms",
                LastClockMs_ + (Lease.RunLease - Lease.ClockMargin).count()},
               {"commands", json::array()}};
  RenewalBasis_ = std::max(RenewalBasis_, LastReportAt_);
  json &Commands = Next.Body["commands"];
  // addStart may remove tasks from Tasks_.
  std::vector<TaskPointer> Queued;
  for (const auto &[Id, Task] : Tasks_) {
    if (Task->State == Phase::Queued) {
      Queued.push_back(Task);
      continue;
    }
    const auto Command = [&](const char *Operation) {
      Commands.push_back({{"op", Operation},
                          {"task", Id.wireName()},
                          {"attempt", Id.Attempt}});
    };
    if (Task->State == Phase::Running && Task->StopWanted) {
      if (Task->CheckpointFirst)
        Command("checkpoint");
      Command("stop");
    } else if (Task->Acknowledged && Task->Listed) {
      Command("forget");
    }
  }
  for (const TaskPointer &Task : Queued)
    addStart(Next, Task, Remaining);
  return true;
}

void WorkerSession::addStart(Exchange &Next, const TaskPointer &Task,
                             Clock::duration Remaining) {
  const auto &Options = Context_->Options;
  const auto Length =
      std::min<milliseconds>(Options.Lease.StartLease,
                             duration_cast<milliseconds>(Remaining)) -
      Options.Lease.ClockMargin;
  if (Length <= milliseconds(0)) {
    notStarted(Task, "the lease of this instance is about to end");
    return;
  }
  if (Context_->IsFenced(Task->Id)) {
    notStarted(Task, "the attempt was fenced");
    return;
  }
  Task->StartLeaseEndMs = workerClockMs() + Length.count();
  Task->SentAt = Context_->Timers.now();
  Task->BootId = BootId_;
  Task->enter(Phase::Sent);
  constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max();
  Next.Body["commands"].push_back(
      {{"op", "start"},
       {"task", Task->Id.wireName()},
       {"attempt", Task->Id.Attempt},
       {"lease_until_ms", Options.Protections.LimitStartLease
                              ? Task->StartLeaseEndMs
                              : Unlimited},
       {"cpus_milli", Task->Size.CpusMilli},
       {"memory_mb", Task->Size.MemoryMb},
       {"accelerators", Task->Size.Accelerators},
       {"run_ms", Task->RunTime.count()}});
  Next.Starts.push_back(Task);
  Context_->WorkerHealth.started(Worker_.Name);
}

bool WorkerSession::handleReport(const std::string &Body,
                                 const Exchange &Answered) {
  try {
    const json Report = json::parse(Body);
    if (Report.at("worker").get<std::string>() != Worker_.Name) {
      LOG(WARNING) << "racks: " << Worker_.Address << " is listed as worker "
                   << Worker_.Name << " but answers as " << Report.at("worker");
      return false;
    }
    // Reads every field that may be missing before anything is changed.
    const auto Boot = Report.at("boot_id").get<std::string>();
    const auto ClockMs = Report.at("clock_ms").get<std::int64_t>();
    const Capacity Total{Report.at("cpus_milli").get<std::int64_t>(),
                         Report.at("memory_mb").get<std::int64_t>(),
                         Report.at("accelerators").get<std::int64_t>()};
    const json &Listed = Report.at("tasks");
    LastClockMs_ = ClockMs;
    LastReportAt_ = Context_->Timers.now();
    Total_ = Total;
    if (BootId_ != Boot)
      handleRestart(Boot);
    for (const auto &[Id, Task] : Tasks_)
      Task->Listed = false;
    for (const json &Item : Listed)
      handleListed(Item);
    handleUnlisted(Answered);
    const std::string State = Report.value("state", "");
    if (!StateRead_) {
      StateRead_ = true;
      Context_->Events.emit("racks", "worker_read",
                            {{"worker", Worker_.Name},
                             {"rack", Worker_.Rack},
                             {"tasks", Tasks_.size()}});
    }
    // May call update(), so it comes last.
    if (!State.empty())
      Context_->Upstreams.setSaidLeaving(Worker_.Name, State == "leaving");
    return true;
  } catch (const json::exception &Problem) {
    LOG(WARNING) << "racks: worker " << Worker_.Name
                 << " sent an invalid report: " << Problem.what();
    return false;
  }
}

void WorkerSession::handleRestart(const std::string &BootId) {
  const bool Known = !BootId_.empty();
  BootId_ = BootId;
  if (!Known)
    return;
  LOG(INFO) << "racks: worker " << Worker_.Name << " restarted";
  Context_->Events.emit("racks", "worker_restarted",
                        {{"worker", Worker_.Name}, {"rack", Worker_.Rack}});
  const auto Current = Tasks_;
  for (const auto &[Id, Task] : Current)
    if (Task->State == Phase::Running)
      ended(Task, records::OUTCOME_FAILED, "worker restarted", true);
}

void WorkerSession::handleListed(const json &Item) {
  const auto Attempt = Item.at("attempt").get<std::uint32_t>();
  const auto Id = TaskId::parse(Item.at("task").get<std::string>(), Attempt);
  if (!Id) {
    LOG(WARNING) << "racks: worker " << Worker_.Name
                 << " lists a task without an index: " << Item.at("task");
    return;
  }
  const auto State = Item.at("state").get<std::string>();
  TaskPointer Task = find(*Id);
  // An attempt that was given up here but is listed all the same is treated
  // like one that another owner started: it occupies the worker.
  const bool Surprise =
      Task && State == "running" &&
      (Task->State == Phase::NotStarted || Task->State == Phase::Ended);
  if (!Task || Surprise) {
    WorkerTask Found;
    Found.Id = *Id;
    Found.Size = {Item.value("cpus_milli", std::int64_t{0}),
                  Item.value("memory_mb", std::int64_t{0}),
                  Item.value("accelerators", std::int64_t{0})};
    Found.CommittedAt = Context_->Timers.now();
    Found.SentAt = Found.CommittedAt;
    Found.Adopted = true;
    applyOrigin(Found);
    if (Surprise || Context_->IsFenced(*Id)) {
      LOG(WARNING) << "racks: worker " << Worker_.Name << " runs "
                   << Id->wireName() << " attempt " << Id->Attempt
                   << " that was given up; it is stopped";
      Found.StopWanted = true;
      Found.StopReason = "the attempt was given up";
    }
    Task = std::make_shared<WorkerTask>(std::move(Found));
    Tasks_[*Id] = Task;
    if (State == "running")
      Context_->Events.emit("racks", "task_adopted", fields(*Task));
  }
  Task->Listed = true;
  Task->UsedCpusMilli = Item.value("used_cpus_milli", std::int64_t{0});
  Task->UsedMemoryMb = Item.value("used_memory_mb", std::int64_t{0});
  if (State == "running") {
    if (Task->State != Phase::Running)
      confirmRunning(Task);
    if (!Task->HealthReported && Context_->Timers.now() - Task->RunningSince >=
                                     Context_->Options.ShortRun) {
      Task->HealthReported = true;
      Context_->WorkerHealth.succeeded(Worker_.Name, Id->Key);
    }
    return;
  }
  if (Task->State == Phase::Ended || Task->State == Phase::NotStarted)
    return;
  if (Task->State != Phase::Running)
    confirmRunning(Task);
  ended(Task, outcomeOf(State),
        State == "stopped" && !Task->StopReason.empty() ? Task->StopReason
                                                        : State,
        false);
}

void WorkerSession::handleUnlisted(const Exchange &Answered) {
  const auto Current = Tasks_;
  for (const auto &[Id, Task] : Current) {
    if (Task->Listed)
      continue;
    if (Task->State == Phase::Running) {
      ended(Task, records::OUTCOME_FAILED,
            "the worker no longer lists the task", true);
    } else if (Task->State == Phase::Sent) {
      const bool Processed =
          std::find(Answered.Starts.begin(), Answered.Starts.end(), Task) !=
          Answered.Starts.end();
      if (!Processed && !startHasLapsed(*Task))
        continue;
      if (Task->BootId != BootId_) {
        // It may have run until the restart.
        ended(Task, records::OUTCOME_FAILED, "worker restarted", true);
      } else if (Processed) {
        Context_->WorkerHealth.failed(Worker_.Name);
        notStarted(Task, "the worker did not run the start");
      } else {
        notStarted(Task, "the start did not reach the worker in time");
      }
    } else {
      dropIfDone(Task);
    }
  }
}

bool WorkerSession::startHasLapsed(const WorkerTask &Task) const {
  if (!Context_->Options.Protections.KeepUnresolvedStarts)
    return true;
  // The worker's clock shows the end of the start's lease: the start will not
  // be run even if it arrives later.
  if (Task.BootId == BootId_)
    return LastClockMs_ >= Task.StartLeaseEndMs;
  // A restarted worker may have set its clock back.
  const auto &Lease = Context_->Options.Lease;
  const auto Age = Context_->Timers.now() - Task.SentAt;
  return Age >= withRateMargin(Lease.RunLease) ||
         (Age >= withRateMargin(Lease.StartLease) &&
          LastClockMs_ >= Task.StartLeaseEndMs);
}

void WorkerSession::loseTasksIfLeaseOver() {
  const auto &Lease = Context_->Options.Lease;
  const auto Now = Context_->Timers.now();
  if (Now < RenewalBasis_ + withRateMargin(Lease.RunLease) ||
      Now < LastReportAt_ + withRateMargin(Lease.RunLease))
    return;
  const auto Current = Tasks_;
  for (const auto &[Id, Task] : Current) {
    // A start that was sent may have taken effect and run until now.
    if (Task->State == Phase::Running ||
        (Task->State == Phase::Sent &&
         Now >= Task->SentAt + withRateMargin(Lease.RunLease)))
      ended(Task, records::OUTCOME_FAILED, "worker lost", true);
  }
}

json WorkerSession::fields(const WorkerTask &Task) const {
  return {{"key", Task.Id.Key},
          {"task", Task.Id.Task},
          {"attempt", Task.Id.Attempt},
          {"worker", Worker_.Name},
          {"rack", Worker_.Rack},
          {"incarnation", Context_->Ownership.incarnation()}};
}

void WorkerSession::applyOrigin(WorkerTask &Task) {
  if (!Task.Member.empty() || !Context_->FindOrigin)
    return;
  if (auto Found = Context_->FindOrigin(Task.Id.Key)) {
    Task.Member = Found->Member;
    Task.Team = Found->Team;
  }
}

void WorkerSession::confirmRunning(const TaskPointer &Task) {
  Task->Confirmed = true;
  Task->RunningSince = Context_->Timers.now();
  Task->BootId = BootId_;
  Task->enter(Phase::Running);
  if (!Task->Adopted) {
    Context_->Events.emit("racks", "task_started", fields(*Task));
    Context_->Counters.count("hickory_task_starts_total");
  }
}

void WorkerSession::notStarted(const TaskPointer &Task,
                               const std::string &Detail) {
  json Fields = fields(*Task);
  Fields["detail"] = Detail;
  Context_->Events.emit("racks", "start_refused", std::move(Fields));
  Context_->Counters.count("hickory_task_starts_refused_total");
  fillEnd(*Task, records::OUTCOME_NOT_RUN, Detail);
  Task->enter(Phase::NotStarted);
  if (Task->OutcomeOpen)
    asio::co_spawn(Context_->Executor, report(shared_from_this(), Task),
                   asio::detached);
  else
    dropIfDone(Task);
}

void WorkerSession::ended(const TaskPointer &Task, records::OutcomeKind Outcome,
                          const std::string &Detail, bool Lost) {
  json Fields = fields(*Task);
  Fields["outcome"] = records::OutcomeKind_Name(Outcome);
  Fields["detail"] = Detail;
  Context_->Events.emit("racks", Lost ? "task_lost" : "task_ended",
                        std::move(Fields));
  Context_->Counters.count(Lost ? "hickory_tasks_lost_total"
                                : "hickory_tasks_ended_total");
  if (!Lost)
    noteHealthAtEnd(Task, Outcome);
  fillEnd(*Task, Outcome, Detail);
  Task->enter(Phase::Ended);
  if (!std::exchange(Task->Reporting, true))
    asio::co_spawn(Context_->Executor, report(shared_from_this(), Task),
                   asio::detached);
}

void WorkerSession::noteHealthAtEnd(const TaskPointer &Task,
                                    records::OutcomeKind Outcome) {
  if (Task->HealthReported || Task->Adopted)
    return;
  // An end is seen up to one heartbeat after it happened.
  const bool Short =
      Context_->Timers.now() - Task->SentAt <
      Context_->Options.ShortRun + Context_->Options.Lease.HeartbeatPeriod;
  if (Outcome == records::OUTCOME_COMPLETED)
    Context_->WorkerHealth.succeeded(Worker_.Name, Task->Id.Key);
  else if (Outcome == records::OUTCOME_FAILED && Short)
    Context_->WorkerHealth.failed(Worker_.Name, Task->Id.Key);
}

void WorkerSession::fillEnd(WorkerTask &Task, records::OutcomeKind Outcome,
                            const std::string &Detail) {
  applyOrigin(Task);
  Task.End.set_key(Task.Id.Key);
  Task.End.set_task(Task.Id.Task);
  Task.End.set_attempt(Task.Id.Attempt);
  Task.End.set_outcome(Outcome);
  Task.End.set_worker(Worker_.Name);
  Task.End.set_member(Task.Member);
  *Task.End.mutable_resources() = Task.Size.toMessage();
  Task.End.set_held_ms(
      duration_cast<milliseconds>(Context_->Timers.now() - Task.CommittedAt)
          .count());
  Task.End.set_detail(Detail);
}

asio::awaitable<void> WorkerSession::report(std::shared_ptr<WorkerSession> Self,
                                            TaskPointer Task) {
  CHECK(Self.get() == this);
  BackoffOptions Pauses{.Initial = milliseconds(200),
                        .Maximum = milliseconds(5000)};
  Backoff Pause(Pauses, Context_->Source);
  while (!Closed_) {
    records::TaskEnded Copy = Task->End;
    if (co_await Context_->Ends.taskEnded(std::move(Copy))) {
      Task->Acknowledged = true;
      dropIfDone(Task);
      co_return;
    }
    if (!Closed_)
      co_await Context_->Timers.sleepFor(Pause.next());
  }
}

void WorkerSession::dropIfDone(const TaskPointer &Task) {
  // A listed task is kept until the worker has forgotten it, so that it is
  // not adopted again.
  const bool Done = Task->Acknowledged ||
                    (Task->State == Phase::NotStarted && !Task->OutcomeOpen);
  const auto It = Tasks_.find(Task->Id);
  if (Done && !Task->Listed && It != Tasks_.end() && It->second == Task)
    Tasks_.erase(It);
}

} // namespace hickory
