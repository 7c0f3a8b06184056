#include "Jobs/JobRunner.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <glog/logging.h>

namespace hickory {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds ReadBackInterval{5};
constexpr milliseconds StatusInterval{200};
constexpr milliseconds GangReservation{2000};
/// How often running tasks are checked for a change of their rack's owner.
constexpr std::chrono::seconds VerificationPeriod{2};
constexpr std::int64_t RetryAfterMs = 1000;

std::string taskName(const std::string &Key, std::uint32_t Index) {
  return Key + "#" + std::to_string(Index);
}

peer::SubmitReply refused(peer::Status Status, std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(Status);
  Reply.set_outcome(records::OUTCOME_NOT_RUN);
  Reply.set_detail(std::move(Detail));
  Reply.set_retry_after_ms(RetryAfterMs);
  return Reply;
}

bool sameJob(const records::JobAccepted &Known,
             const peer::SubmitRequest &Request) {
  return Known.member() == Request.member() &&
         Known.job_class() == Request.job_class() &&
         Known.tasks() == Request.tasks() &&
         Known.per_task().cpus_milli() == Request.per_task().cpus_milli() &&
         Known.per_task().memory_mb() == Request.per_task().memory_mb() &&
         Known.per_task().accelerators() == Request.per_task().accelerators();
}

std::string splitTaskName(const std::string &Name, std::uint32_t &Index) {
  const std::size_t Hash = Name.rfind('#');
  CHECK(Hash != std::string::npos);
  Index = static_cast<std::uint32_t>(std::stoul(Name.substr(Hash + 1)));
  return Name.substr(0, Hash);
}

} // namespace

JobRunner::JobRunner(JobRunnerOptions Options, asio::any_io_executor Executor,
                     TimerService &Timers, ConfigView &Config,
                     OwnershipView &Ownership, LogWriter &Writer,
                     JobTable &Table, RackChooser &Racks, FairShare &Shares,
                     Metrics &Counters, EventLog &Events)
    : Options_(Options), Executor_(Executor), Timers_(Timers), Config_(Config),
      Ownership_(Ownership), Writer_(Writer), Table_(Table), Racks_(Racks),
      Counters_(Counters), Events_(Events),
      Queue_(Timers, Shares, {.MaximumSize = Options.MaximumQueued}),
      Wake_(Executor) {}

void JobRunner::record(records::Record Record) {
  if (const Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
    LOG(WARNING) << "jobs: record not kept: " << Queued.error().Message;
}

JobRunner::JobPointer JobRunner::findJob(const std::string &Key) const {
  const auto It = Jobs_.find(Key);
  return It == Jobs_.end() ? nullptr : It->second;
}

// Acceptance ----------------------------------------------------------------

asio::awaitable<peer::SubmitReply>
JobRunner::submit(peer::SubmitRequest Request, JobClassConfig Class) {
  const std::string Key = Request.key();
  const Clock::time_point Deadline =
      Timers_.now() + milliseconds(Request.timeout_ms());
  while (Accepting_.count(Key) != 0 && Timers_.now() < Deadline) {
    const std::shared_ptr<Notifier> Progress = Accepting_[Key];
    co_await Progress->waitFor(Timers_, ReadBackInterval);
  }
  peer::SubmitReply Reply;
  const KeyRecord *Existing = Table_.find(Key);
  const bool OfRequest = Existing != nullptr && !Existing->Accepted &&
                         (Existing->Intent || Existing->Outcome);
  if (OfRequest || (Existing != nullptr && Existing->Accepted)) {
    if (OfRequest || !sameJob(*Existing->Accepted, Request)) {
      Reply.set_status(peer::STATUS_CONFLICT);
      Reply.set_detail("this idempotency key was used for another job; use a "
                       "new key");
      co_return Reply;
    }
    Reply.set_outcome(Existing->Outcome ? Existing->Outcome->outcome()
                                        : records::OUTCOME_PENDING);
    co_return Reply;
  }
  if (Unconfirmed_.count(Key) != 0) {
    Reply.set_status(peer::STATUS_UNKNOWN);
    Reply.set_outcome(records::OUTCOME_UNKNOWN);
    Reply.set_detail("an earlier call may yet have this job accepted; ask "
                     "again with the same key");
    co_return Reply;
  }
  if (Request.tasks() == 0 || Request.tasks() > Options_.MaximumTasksPerJob)
    co_return refused(peer::STATUS_INVALID,
                      "tasks must be between 1 and " +
                          std::to_string(Options_.MaximumTasksPerJob));
  if (Queue_.size() + Request.tasks() > Options_.MaximumQueued)
    co_return refused(peer::STATUS_OVERLOADED,
                      "too many tasks wait; come back later");
  if (!Ownership_.logReachable())
    co_return refused(peer::STATUS_UNAVAILABLE,
                      "the log is away, so the job cannot be kept");

  records::Record Record;
  records::JobAccepted &Accepted = *Record.mutable_job_accepted();
  Accepted.set_key(Key);
  Accepted.set_member(Request.member());
  Accepted.set_team(Request.team());
  Accepted.set_job_class(Request.job_class());
  Accepted.set_tasks(Request.tasks());
  *Accepted.mutable_per_task() = Request.per_task();
  Accepted.set_declared_run_ms(Request.declared_run_ms());
  Accepted.set_gang(Class.Kind == WorkKind::Gang);
  Accepted.set_service(Class.Kind == WorkKind::Service);
  Accepted.set_non_repeatable(Class.NonRepeatable);

  auto Progress = std::make_shared<Notifier>(Executor_);
  Accepting_[Key] = Progress;
  const Result<std::uint64_t> Written =
      co_await Writer_.append(std::move(Record), Deadline - Timers_.now());
  // The acceptance counts only if the log's readers count it.
  bool ReadBack = false;
  while (Written && Timers_.now() < Deadline) {
    const KeyRecord *Known = Table_.find(Key);
    ReadBack = Known != nullptr && Known->Accepted;
    if (ReadBack)
      break;
    co_await Timers_.sleepFor(ReadBackInterval);
  }
  Accepting_.erase(Key);
  Progress->notify();
  if (!ReadBack) {
    if (!Written && (Written.error().Code == ErrorCode::Cancelled ||
                     Written.error().Code == ErrorCode::Overloaded))
      co_return refused(peer::STATUS_UNAVAILABLE, Written.error().Message);
    Unconfirmed_.insert(Key);
    Reply.set_status(peer::STATUS_UNKNOWN);
    Reply.set_outcome(records::OUTCOME_UNKNOWN);
    Reply.set_detail("the job may have been accepted; ask again with the same "
                     "key");
    co_return Reply;
  }
  Counters_.count("hickory_jobs_accepted_total");
  Events_.emit("jobs", "job_accepted",
               {{"key", Key}, {"tasks", Request.tasks()}});
  if (findJob(Key) == nullptr && Ownership_.holds(keyShard(Key)))
    startJob(Key, false);
  co_return Reply;
}

void JobRunner::startJob(const std::string &Key, bool MayRunUnassigned) {
  const KeyRecord *Known = Table_.find(Key);
  CHECK(Known != nullptr && Known->Accepted);
  auto Owner = std::make_shared<Job>();
  Owner->Accepted = *Known->Accepted;
  Owner->Shard = keyShard(Key);
  Owner->Cancelled = Known->Cancelled;
  Owner->AcceptedAt = Timers_.now();
  if (const auto Class = Config_.jobClass(Owner->Accepted.job_class())) {
    Owner->Priority = Class->Priority;
    Owner->MaximumAttempts = Class->MaximumAttempts;
    Owner->Pool = Class->Pool;
  }
  Owner->Tasks.resize(Owner->Accepted.tasks());
  Jobs_[Key] = Owner;
  std::vector<std::pair<std::uint32_t, std::vector<std::string>>> ToRecover;
  bool AnyQueued = false;
  for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index) {
    Task &Current = Owner->Tasks[Index];
    const auto It = Known->Tasks.find(Index);
    if (It != Known->Tasks.end()) {
      Current.Attempt = It->second.Assigned.attempt();
      Current.Rack = It->second.Assigned.rack();
      Current.Ended = It->second.Ended;
      // The log table does not say how earlier attempts ended.
      Current.MayHaveRun = Current.Attempt > 1 ||
                           (Current.Ended && Current.Ended->outcome() !=
                                                 records::OUTCOME_NOT_RUN);
    }
    if (Current.Ended) {
      Current.State = Phase::Ended;
    } else if (Current.Attempt > 0 && !Options_.SkipRecoveryCheck) {
      Current.State = Phase::Recovering;
      ToRecover.push_back({Index, {Current.Rack}});
    } else if (MayRunUnassigned && OwnRacks_ && !Options_.SkipRecoveryCheck) {
      // While the log is away, tasks are placed on racks of this domain
      // without a logged assignment.
      Current.State = Phase::Recovering;
      Current.Attempt = 1;
      ToRecover.push_back({Index, OwnRacks_()});
    } else {
      Current.State = Phase::Queued;
      AnyQueued = true;
    }
  }
  if (Owner->Accepted.gang() && AnyQueued && ToRecover.empty())
    enqueueGang(Owner);
  for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index) {
    const Phase State = Owner->Tasks[Index].State;
    if (State == Phase::Queued &&
        (!Owner->Accepted.gang() || !ToRecover.empty()))
      enqueueTask(Owner, Index);
    else if (State == Phase::Ended)
      handleEnd(Owner, Index);
  }
  for (auto &[Index, Racks] : ToRecover)
    asio::co_spawn(Executor_, recoverTask(Owner, Index, std::move(Racks)),
                   asio::detached);
  Wake_.notify();
}

// Queue and placement -------------------------------------------------------

void JobRunner::enqueueTask(const JobPointer &Owner, std::uint32_t Index) {
  Owner->Tasks[Index].State = Phase::Queued;
  PendingWork Work{.Key = taskName(Owner->Accepted.key(), Index),
                   .Member = Owner->Accepted.member(),
                   .Team = Owner->Accepted.team(),
                   .Priority = Owner->Priority,
                   .PerTask = Resources::fromRecord(Owner->Accepted.per_task()),
                   .EstimatedRun =
                       Owner->Accepted.service()
                           ? Clock::duration::max()
                           : Clock::duration(milliseconds(
                                 Owner->Accepted.declared_run_ms())),
                   .Evictable = false};
  if (const auto Queued = Queue_.enqueue(std::move(Work)); !Queued) {
    LOG(WARNING) << "jobs: " << Queued.error().Message;
    asio::co_spawn(Executor_, requeueLater(Owner, Index), asio::detached);
  }
  Wake_.notify();
}

void JobRunner::enqueueGang(const JobPointer &Owner) {
  PendingWork Work{.Key = taskName(Owner->Accepted.key(), 0),
                   .Member = Owner->Accepted.member(),
                   .Team = Owner->Accepted.team(),
                   .Priority = Owner->Priority,
                   .PerTask = Resources::fromRecord(Owner->Accepted.per_task()),
                   .Tasks = Owner->Accepted.tasks(),
                   .EstimatedRun =
                       milliseconds(Owner->Accepted.declared_run_ms()),
                   .Evictable = false};
  if (const auto Queued = Queue_.enqueue(std::move(Work)); !Queued)
    LOG(WARNING) << "jobs: " << Queued.error().Message;
  Wake_.notify();
}

asio::awaitable<void> JobRunner::requeueLater(JobPointer Owner,
                                              std::uint32_t Index) {
  Task &Current = Owner->Tasks[Index];
  Current.State = Phase::Queued;
  const std::uint32_t Doublings = std::min(Current.Refusals++, 10U);
  co_await Timers_.sleepFor(
      std::min(Options_.InitialRetryDelay * (1U << Doublings),
               Options_.MaximumRetryDelay));
  if (Owner->Lost || Owner->Tasks[Index].State != Phase::Queued)
    co_return;
  if (Owner->Cancelled) {
    handleEnd(Owner, Index);
    co_return;
  }
  enqueueTask(Owner, Index);
}

asio::awaitable<void> JobRunner::dispatchLoop() {
  while (true) {
    co_await Wake_.waitFor(Timers_, Options_.DispatchPeriod);
    takeCancelled();
    startUnstarted();
    if (Timers_.now() >= NextVerification_) {
      NextVerification_ = Timers_.now() + VerificationPeriod;
      verifyRunning();
    }
    while (!FinishedKeys_.empty() &&
           FinishedKeys_.front().first + Options_.KeepOutcomes <
               Timers_.now()) {
      Table_.forget(FinishedKeys_.front().second);
      FinishedKeys_.pop_front();
    }
    if (Queue_.size() == 0 || Starting_ >= Options_.MaximumStarting)
      continue;
    std::vector<RackLocation> OwnRacks = Racks_.workerRacks(true);
    std::vector<RackLocation> AllRacks = Racks_.workerRacks(false);
    Queue_.dispatch(
        [&](const PendingWork &Work) {
          return tryPlace(Work, OwnRacks, AllRacks);
        },
        Options_.MaximumStarting - Starting_);
  }
}

PlacementOutcome JobRunner::tryPlace(const PendingWork &Work,
                                     std::vector<RackLocation> &OwnRacks,
                                     std::vector<RackLocation> &AllRacks) {
  std::uint32_t Index = 0;
  const JobPointer Owner = findJob(splitTaskName(Work.Key, Index));
  if (!Owner || Suspended_.count(Owner->Shard) != 0 || !held(*Owner))
    return PlacementOutcome::Skip;
  const bool LogAway = !Ownership_.logReachable();
  // After a takeover, an attempt that is not in the log is only looked for if
  // it is the first.
  if (LogAway && (Owner->Accepted.non_repeatable() || Work.Tasks > 1 ||
                  Owner->Tasks[Index].Attempt > 0))
    return PlacementOutcome::Skip;
  std::vector<RackLocation> &Known = LogAway ? OwnRacks : AllRacks;
  const auto Pool = Config_.pool(Owner->Pool);
  const records::Resources &PerTask = Owner->Accepted.per_task();
  if (Work.Tasks > 1) {
    std::vector<RackLocation> Chosen =
        Racks_.takeRoom(Known, Pool, PerTask, Work.Tasks);
    if (Chosen.size() < Work.Tasks)
      return PlacementOutcome::NoCapacity;
    for (Task &Member : Owner->Tasks)
      Member.State = Phase::Starting;
    Starting_ += Work.Tasks;
    asio::co_spawn(Executor_, startGang(Owner, std::move(Chosen)),
                   asio::detached);
    return PlacementOutcome::Placed;
  }
  std::vector<RackLocation> Chosen = Racks_.takeRoom(Known, Pool, PerTask, 1);
  if (Chosen.empty())
    return PlacementOutcome::NoCapacity;
  Owner->Tasks[Index].State = Phase::Starting;
  ++Starting_;
  asio::co_spawn(Executor_,
                 startTask(Owner, Index, std::move(Chosen.front()), 0),
                 asio::detached);
  return PlacementOutcome::Placed;
}

asio::awaitable<bool> JobRunner::recordAssign(JobPointer Owner,
                                              std::uint32_t Index,
                                              const RackLocation &Rack) {
  records::Record Record;
  records::Assign &Assign = *Record.mutable_assign();
  Assign.set_key(Owner->Accepted.key());
  Assign.set_task(Index);
  Assign.set_attempt(Owner->Tasks[Index].Attempt);
  Assign.set_rack(Rack.Load.rack());
  Assign.set_rack_incarnation(Rack.Incarnation);
  Assign.set_slot(Rack.Slot);
  // Only tasks on racks of this domain can be found again without the log,
  // and only repeatable ones may be placed again after a doubtful answer.
  const bool MayRunUnassigned = !Owner->Accepted.non_repeatable() &&
                                Racks_.inOwnDomain(Rack) &&
                                Owner->Tasks[Index].Attempt == 1;
  if (MayRunUnassigned && !Ownership_.logReachable()) {
    record(std::move(Record));
    co_return true;
  }
  const Result<std::uint64_t> Written =
      co_await Writer_.append(std::move(Record), Options_.LogWait);
  co_return Written.has_value();
}

asio::awaitable<void> JobRunner::startTask(JobPointer Owner,
                                           std::uint32_t Index,
                                           RackLocation Rack,
                                           std::uint64_t Reservation) {
  Task &Current = Owner->Tasks[Index];
  const std::uint32_t Attempt = ++Current.Attempt;
  Current.Rack = Rack.Load.rack();
  Current.Ended.reset();
  const bool Assigned = co_await recordAssign(Owner, Index, Rack);
  // The lease may have ended while the record was written.
  if (!Assigned || !held(*Owner) || Owner->Cancelled) {
    --Starting_;
    if (!Owner->Lost)
      co_await requeueLater(Owner, Index);
    co_return;
  }
  peer::PlaceRequest Request;
  Request.set_key(Owner->Accepted.key());
  Request.set_task(Index);
  Request.set_attempt(Attempt);
  Request.set_rack(Current.Rack);
  Request.set_member(Owner->Accepted.member());
  Request.set_team(Owner->Accepted.team());
  Request.set_job_class(Owner->Accepted.job_class());
  *Request.mutable_resources() = Owner->Accepted.per_task();
  Request.set_run_ms(
      Owner->Accepted.service() ? 0 : Owner->Accepted.declared_run_ms());
  Request.set_service(Owner->Accepted.service());
  Request.set_priority(Owner->Priority);
  Request.set_non_repeatable(Owner->Accepted.non_repeatable());
  Request.set_reservation(Reservation);
  const Result<peer::PlaceReply> Placed =
      co_await Racks_.place(Rack, std::move(Request));
  --Starting_;
  Wake_.notify();
  // The attempt may have ended, and the next one begun, before the answer to
  // its start came.
  if (Owner->Lost || Current.State != Phase::Starting ||
      Current.Attempt != Attempt)
    co_return;
  if (Placed && Placed->status() == peer::STATUS_OK) {
    Current.State = Phase::Running;
    Current.MayHaveRun = true;
    Current.Worker = Placed->worker();
    Current.RackIncarnation = Rack.Incarnation;
    Current.Refusals = 0;
    const auto Waited = Timers_.now() - Owner->AcceptedAt;
    Counters_.observe("hickory_task_wait_seconds",
                      std::chrono::duration<double>(Waited).count());
    Events_.emit("jobs", "task_placed",
                 {{"key", Owner->Accepted.key()},
                  {"task", Index},
                  {"attempt", Current.Attempt},
                  {"rack", Current.Rack},
                  {"worker", Current.Worker},
                  {"class", Owner->Accepted.job_class()},
                  {"waited_ms",
                   std::chrono::duration_cast<milliseconds>(Waited).count()}});
    if (Owner->Cancelled)
      co_await stopTask(Owner, Index);
    co_return;
  }
  const bool Certain = Placed ? Placed->status() != peer::STATUS_UNKNOWN
                              : Placed.error().hadNoEffect();
  if (Certain) {
    Counters_.count("hickory_place_refusals_total");
    Racks_.noteRefused(Current.Rack);
    co_await requeueLater(Owner, Index);
    co_return;
  }
  Current.State = Phase::Recovering;
  std::vector<std::string> Where = {Current.Rack};
  co_await recoverTask(Owner, Index, std::move(Where));
}

asio::awaitable<void> JobRunner::startGang(JobPointer Owner,
                                           std::vector<RackLocation> Racks) {
  std::map<std::string, std::vector<std::size_t>> ByRack;
  for (std::size_t I = 0; I < Racks.size(); ++I)
    ByRack[Racks[I].Load.rack()].push_back(I);
  std::map<std::string, std::uint64_t> Reservations;
  bool Complete = true;
  for (const auto &[Rack, Members] : ByRack) {
    peer::ReserveRequest Request;
    Request.set_rack(Rack);
    *Request.mutable_per_task() = Owner->Accepted.per_task();
    Request.set_tasks(static_cast<std::uint32_t>(Members.size()));
    Request.set_valid_ms(GangReservation.count() + Options_.LogWait.count());
    Request.set_key(Owner->Accepted.key());
    Request.set_member(Owner->Accepted.member());
    const Result<peer::ReserveReply> Reply =
        co_await Racks_.reserve(Racks[Members.front()], Request);
    if (Reply && Reply->reservation() != 0)
      Reservations[Rack] = Reply->reservation();
    if (!Reply || Reply->status() != peer::STATUS_OK ||
        Reply->tasks() < Members.size()) {
      Racks_.noteRefused(Rack);
      Complete = false;
      break;
    }
  }
  if (Complete && held(*Owner)) {
    for (std::uint32_t Index = 0; Index < Racks.size(); ++Index) {
      const std::uint64_t Reservation = Reservations[Racks[Index].Load.rack()];
      asio::co_spawn(Executor_,
                     startTask(Owner, Index, Racks[Index], Reservation),
                     asio::detached);
    }
    co_return;
  }
  for (const auto &[Rack, Reservation] : Reservations) {
    peer::ReserveRequest Release;
    Release.set_rack(Rack);
    Release.set_release(Reservation);
    co_await Racks_.reserve(Racks[ByRack[Rack].front()], Release);
  }
  Starting_ -= Racks.size();
  for (Task &Member : Owner->Tasks)
    Member.State = Phase::Queued;
  if (Owner->Lost)
    co_return;
  co_await Timers_.sleepFor(Options_.InitialRetryDelay);
  if (!Owner->Lost && !Owner->Cancelled)
    enqueueGang(Owner);
  else if (!Owner->Lost)
    for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index)
      handleEnd(Owner, Index);
}

// Recovery and ends ---------------------------------------------------------

asio::awaitable<void> JobRunner::recoverTask(JobPointer Owner,
                                             std::uint32_t Index,
                                             std::vector<std::string> Racks) {
  const std::uint32_t Attempt = Owner->Tasks[Index].Attempt;
  std::set<std::string> Open(Racks.begin(), Racks.end());
  while (!Open.empty()) {
    Task &Current = Owner->Tasks[Index];
    if (Owner->Lost || Current.State != Phase::Recovering ||
        Current.Attempt != Attempt)
      co_return;
    const std::vector<std::string> Asked(Open.begin(), Open.end());
    for (const std::string &Rack : Asked) {
      const std::optional<RackLocation> Location = Racks_.locate(Rack);
      if (!Location)
        continue;
      peer::TaskStatusRequest Request;
      Request.set_key(Owner->Accepted.key());
      Request.set_task(Index);
      Request.set_attempt(Attempt);
      Request.set_rack(Rack);
      Request.set_fence(true);
      const Result<peer::TaskStatusReply> Reply =
          co_await Racks_.taskStatus(*Location, std::move(Request));
      if (Owner->Lost || Current.State != Phase::Recovering)
        co_return;
      if (!Reply)
        continue;
      if (Reply->status() == peer::STATUS_OK) {
        // If it has ended, the rack owner reports the end.
        Current.State = Phase::Running;
        Current.MayHaveRun = true;
        Current.Rack = Rack;
        Current.Worker = Reply->worker();
        Current.RackIncarnation = Location->Incarnation;
        Events_.emit("jobs", "task_recovered",
                     {{"key", Owner->Accepted.key()},
                      {"task", Index},
                      {"attempt", Attempt},
                      {"worker", Current.Worker}});
        if (Owner->Cancelled)
          co_await stopTask(Owner, Index);
        co_return;
      }
      if (Reply->status() == peer::STATUS_NOT_FOUND)
        Open.erase(Rack);
    }
    if (!Open.empty())
      co_await Timers_.sleepFor(StatusInterval);
  }
  Events_.emit(
      "jobs", "task_not_found",
      {{"key", Owner->Accepted.key()}, {"task", Index}, {"attempt", Attempt}});
  // It does not run and never will, but it may have run and ended: a worker
  // that restarted and a rack owner that changed know nothing of it.
  Owner->Tasks[Index].MayHaveRun = true;
  if (!Owner->Accepted.non_repeatable()) {
    co_await requeueLater(Owner, Index);
    co_return;
  }
  records::TaskEnded Ended;
  Ended.set_key(Owner->Accepted.key());
  Ended.set_task(Index);
  Ended.set_attempt(Attempt);
  Ended.set_outcome(records::OUTCOME_UNKNOWN);
  Ended.set_member(Owner->Accepted.member());
  Ended.set_detail("found nowhere after a change of owner");
  co_await taskEnded(std::move(Ended));
}

asio::awaitable<bool> JobRunner::taskEnded(records::TaskEnded Ended) {
  const std::string Key = Ended.key();
  const JobPointer Owner = findJob(Key);
  if (!Owner) {
    // Finished before, or unknown: nothing is waiting for this end. A job of a
    // shard that was just acquired is loaded by acquire() before this.
    const KeyRecord *Known = Table_.find(Key);
    co_return Known == nullptr || !Known->Accepted || Known->Outcome;
  }
  const std::uint32_t Index = Ended.task();
  if (Index >= Owner->Tasks.size())
    co_return true;
  Task &Current = Owner->Tasks[Index];
  const std::uint32_t Attempt = Ended.attempt();
  if (Attempt < Current.Attempt && Current.UnloggedEnds.count(Attempt) == 0)
    co_return true;
  if (Attempt >= Current.Attempt && !Current.Ended) {
    Current.Attempt = Ended.attempt();
    Current.Ended = Ended;
    Current.State = Phase::Ended;
    if (Ended.outcome() != records::OUTCOME_NOT_RUN)
      Current.MayHaveRun = true;
    records::Record Record;
    *Record.mutable_task_ended() = Ended;
    const Result<void> Queued = Writer_.enqueue(
        std::move(Record), [Owner, Index, Attempt](std::uint64_t) {
          Owner->Tasks[Index].UnloggedEnds.erase(Attempt);
        });
    if (!Queued) {
      Current.Ended.reset();
      Current.State = Phase::Running;
      co_return false;
    }
    Current.UnloggedEnds.insert(Attempt);
    Events_.emit("jobs", "task_accounted",
                 {{"key", Key},
                  {"task", Index},
                  {"attempt", Attempt},
                  {"outcome", records::OutcomeKind_Name(Ended.outcome())}});
    handleEnd(Owner, Index);
  }
  const Clock::time_point Deadline = Timers_.now() + Options_.LogWait / 2;
  while (Timers_.now() < Deadline && !Owner->Lost) {
    if (Owner->Tasks[Index].UnloggedEnds.count(Attempt) == 0)
      co_return true;
    co_await Timers_.sleepFor(ReadBackInterval);
  }
  co_return false;
}

bool JobRunner::shouldRetry(const Job &Owner, const Task &Ended) const {
  if (Owner.Cancelled)
    return false;
  // The rack owner found out that the attempt never started.
  if (Ended.Ended && Ended.Ended->outcome() == records::OUTCOME_NOT_RUN)
    return true;
  if (Owner.Accepted.non_repeatable())
    return false;
  if (Owner.Accepted.service())
    return true;
  if (!Ended.Ended || Ended.Ended->outcome() == records::OUTCOME_COMPLETED)
    return false;
  return Ended.Attempt < Owner.MaximumAttempts;
}

void JobRunner::handleEnd(const JobPointer &Owner, std::uint32_t Index) {
  Task &Current = Owner->Tasks[Index];
  if (!Owner->Cancelled && Current.Ended && shouldRetry(*Owner, Current)) {
    Counters_.count("hickory_task_retries_total");
    // The end must be in the log before the next attempt is: it is queued in
    // the writer ahead of the next assignment.
    asio::co_spawn(Executor_, requeueLater(Owner, Index), asio::detached);
    return;
  }
  Current.State = Phase::Ended;
  Current.ResultKnown = true;
  finishIfDone(Owner);
}

void JobRunner::finishIfDone(const JobPointer &Owner) {
  if (Owner->Finished || Owner->Lost)
    return;
  bool AllCompleted = true;
  bool AnyUnknown = false;
  bool AnyStarted = false;
  for (const Task &Member : Owner->Tasks) {
    if (!Member.ResultKnown)
      return;
    const bool Completed =
        Member.Ended && Member.Ended->outcome() == records::OUTCOME_COMPLETED;
    AllCompleted = AllCompleted && Completed;
    AnyStarted = AnyStarted || Member.MayHaveRun;
    AnyUnknown = AnyUnknown || (Member.Ended && Member.Ended->outcome() ==
                                                    records::OUTCOME_UNKNOWN);
  }
  Owner->Finished = true;
  records::Record Record;
  records::Outcome &Outcome = *Record.mutable_outcome();
  Outcome.set_key(Owner->Accepted.key());
  Outcome.set_member(Owner->Accepted.member());
  if (AllCompleted)
    Outcome.set_outcome(records::OUTCOME_COMPLETED);
  else if (Owner->Cancelled)
    Outcome.set_outcome(AnyStarted ? records::OUTCOME_CANCELLED
                                   : records::OUTCOME_NOT_RUN);
  else if (AnyUnknown)
    Outcome.set_outcome(records::OUTCOME_UNKNOWN);
  else
    Outcome.set_outcome(records::OUTCOME_FAILED);
  Events_.emit("jobs", "job_finished",
               {{"key", Owner->Accepted.key()},
                {"outcome", records::OutcomeKind_Name(Outcome.outcome())}});
  if (const Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
    LOG(WARNING) << "jobs: outcome of " << Owner->Accepted.key()
                 << " not recorded: " << Queued.error().Message;
}

// Cancellation --------------------------------------------------------------

std::uint32_t JobRunner::cancel(const std::vector<std::string> &Keys) {
  std::uint32_t Count = 0;
  std::vector<std::string> Queued;
  for (const std::string &Key : Keys) {
    const JobPointer Owner = findJob(Key);
    if (!Owner || Owner->Cancelled || Owner->Finished)
      continue;
    Owner->Cancelled = true;
    ++Count;
    records::Record Record;
    Record.mutable_job_cancelled()->set_key(Key);
    record(std::move(Record));
    for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index) {
      if (Owner->Tasks[Index].State == Phase::Queued)
        Queued.push_back(taskName(Key, Index));
      else if (Owner->Tasks[Index].State == Phase::Running)
        asio::co_spawn(Executor_, stopTask(Owner, Index), asio::detached);
    }
  }
  Queue_.cancel(Queued);
  Wake_.notify();
  return Count;
}

void JobRunner::takeCancelled() {
  for (const PendingWork &Work : Queue_.takeCancelled(Options_.CancelBatch)) {
    std::uint32_t Index = 0;
    const JobPointer Owner = findJob(splitTaskName(Work.Key, Index));
    if (!Owner)
      continue;
    for (std::uint32_t I = Index; I < Index + Work.Tasks; ++I)
      handleEnd(Owner, I);
  }
}

void JobRunner::verifyRunning() {
  std::unordered_map<std::string, std::uint64_t> Owners;
  for (const auto &[Key, Owner] : Jobs_) {
    for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index) {
      Task &Current = Owner->Tasks[Index];
      if (Current.State != Phase::Running)
        continue;
      auto It = Owners.find(Current.Rack);
      if (It == Owners.end()) {
        const std::optional<RackLocation> Location =
            Racks_.locate(Current.Rack);
        It = Owners.emplace(Current.Rack, Location ? Location->Incarnation : 0)
                 .first;
      }
      if (It->second == 0 || It->second == Current.RackIncarnation)
        continue;
      Current.State = Phase::Recovering;
      std::vector<std::string> Where = {Current.Rack};
      asio::co_spawn(Executor_, recoverTask(Owner, Index, std::move(Where)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> JobRunner::stopTask(JobPointer Owner,
                                          std::uint32_t Index) {
  while (!Owner->Lost && Owner->Tasks[Index].State == Phase::Running) {
    const std::optional<RackLocation> Location =
        Racks_.locate(Owner->Tasks[Index].Rack);
    if (Location) {
      peer::StopTaskRequest Request;
      Request.set_key(Owner->Accepted.key());
      Request.set_task(Index);
      Request.set_attempt(Owner->Tasks[Index].Attempt);
      Request.set_rack(Owner->Tasks[Index].Rack);
      Request.set_reason("cancelled");
      const Result<peer::StopTaskReply> Reply =
          co_await Racks_.stopTask(*Location, std::move(Request));
      if (Reply && Reply->status() == peer::STATUS_OK)
        co_return;
    }
    co_await Timers_.sleepFor(Options_.InitialRetryDelay * 5);
  }
}

// Ownership changes ---------------------------------------------------------

void JobRunner::acquire(const std::string &Shard, bool PreviousOwnerExpired) {
  Suspended_.erase(Shard);
  const std::vector<std::string> Keys = Table_.unfinished(
      [&](const std::string &Key) { return keyShard(Key) == Shard; });
  for (const std::string &Key : Keys) {
    const KeyRecord *Known = Table_.find(Key);
    if (Known->Accepted && findJob(Key) == nullptr)
      startJob(Key, PreviousOwnerExpired);
  }
}

void JobRunner::keyChanged(const std::string &Key) {
  Unconfirmed_.erase(Key);
  const KeyRecord *Known = Table_.find(Key);
  if (Known == nullptr || !Known->Accepted)
    return;
  if (const JobPointer Current = findJob(Key)) {
    // Kept until the outcome is read back: the records before it would start
    // the job again.
    if (Known->Outcome && Current->Finished) {
      Jobs_.erase(Key);
      FinishedKeys_.emplace_back(Timers_.now(), Key);
    }
    return;
  }
  if (Known->Outcome)
    return;
  const auto Owner = Ownership_.ownerOf(keyShard(Key));
  if (!Owner || Owner->Incarnation != Ownership_.incarnation())
    return;
  Unstarted_.insert(Key);
  startUnstarted();
}

void JobRunner::startUnstarted() {
  for (auto It = Unstarted_.begin(); It != Unstarted_.end();) {
    const std::string Key = *It;
    const KeyRecord *Known = Table_.find(Key);
    const bool Obsolete =
        Known == nullptr || Known->Outcome || findJob(Key) != nullptr;
    if (!Obsolete && !Ownership_.holds(keyShard(Key))) {
      ++It;
      continue;
    }
    It = Unstarted_.erase(It);
    if (!Obsolete)
      startJob(Key, false);
  }
}

void JobRunner::lose(const std::string &Shard) {
  std::erase_if(Unstarted_,
                [&](const std::string &Key) { return keyShard(Key) == Shard; });
  std::erase_if(Jobs_, [&](const auto &Pair) {
    const JobPointer &Owner = Pair.second;
    if (Owner->Shard != Shard)
      return false;
    Owner->Lost = true;
    for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index)
      if (Owner->Tasks[Index].State == Phase::Queued)
        Queue_.remove(taskName(Pair.first, Index));
    return true;
  });
}

bool JobRunner::busy(const std::string &Shard) const {
  return std::any_of(Jobs_.begin(), Jobs_.end(), [&](const auto &Pair) {
    const Job &Owner = *Pair.second;
    return Owner.Shard == Shard &&
           std::any_of(Owner.Tasks.begin(), Owner.Tasks.end(),
                       [](const Task &Member) {
                         return Member.State == Phase::Starting;
                       });
  });
}

// Views ---------------------------------------------------------------------

peer::QueryReply JobRunner::query(const std::string &Key) const {
  peer::QueryReply Reply;
  const KeyRecord *Known = Table_.find(Key);
  if (Known == nullptr || !Known->Accepted) {
    Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }
  Reply.set_is_job(true);
  if (Known->Outcome) {
    Reply.set_outcome(Known->Outcome->outcome());
    Reply.set_detail(Known->Outcome->detail());
  }
  const JobPointer Owner = findJob(Key);
  if (!Owner)
    return Reply;
  constexpr const char *Names[] = {"recovering", "queued", "starting",
                                   "running", "ended"};
  for (std::uint32_t Index = 0; Index < Owner->Tasks.size(); ++Index) {
    const Task &Current = Owner->Tasks[Index];
    peer::TaskView &View = *Reply.add_tasks();
    View.set_task(Index);
    View.set_attempt(Current.Attempt);
    View.set_state(Names[static_cast<int>(Current.State)]);
    View.set_worker(Current.Worker);
    View.set_rack(Current.Rack);
  }
  return Reply;
}

JobRunner::QueueView JobRunner::view() const {
  return {.QueuedWork = Queue_.size(),
          .Jobs = Jobs_.size(),
          .Starting = Starting_,
          .LongestWait =
              std::chrono::duration_cast<milliseconds>(Queue_.longestWait())};
}

} // namespace hickory
