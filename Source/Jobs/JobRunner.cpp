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
/// Interval at which running tasks are checked for a change of the rack owner.
constexpr std::chrono::seconds VerificationPeriod{2};
constexpr std::int64_t RetryAfterMs = 1000;

std::string taskName(const std::string &Key, std::uint32_t Index) {
  return Key + "#" + std::to_string(Index);
}

peer::SubmitReply notRunReply(peer::Status Status, std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(Status);
  Reply.set_outcome(records::OUTCOME_NOT_RUN);
  Reply.set_detail(std::move(Detail));
  Reply.set_retry_after_ms(RetryAfterMs);
  return Reply;
}

bool sameJob(const records::JobAccepted &Accepted,
             const peer::SubmitRequest &Request) {
  return Accepted.member() == Request.member() &&
         Accepted.job_class() == Request.job_class() &&
         Accepted.tasks() == Request.tasks() &&
         Accepted.per_task().cpus_milli() == Request.per_task().cpus_milli() &&
         Accepted.per_task().memory_mb() == Request.per_task().memory_mb() &&
         Accepted.per_task().accelerators() ==
             Request.per_task().accelerators();
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

void JobRunner::enqueueRecord(records::Record Record) {
  if (const Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
    LOG(WARNING) << "jobs: record not queued for the log: "
                 << Queued.error().Message;
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
  const KeyRecord *KeyState = Table_.find(Key);
  const bool UsedByRequest = KeyState != nullptr && !KeyState->Accepted &&
                             (KeyState->Intent || KeyState->Outcome);
  if (UsedByRequest || (KeyState != nullptr && KeyState->Accepted)) {
    if (UsedByRequest || !sameJob(*KeyState->Accepted, Request)) {
      Reply.set_status(peer::STATUS_CONFLICT);
      Reply.set_detail("this idempotency key was used for another job; use a "
                       "new key");
      co_return Reply;
    }
    Reply.set_outcome(KeyState->Outcome ? KeyState->Outcome->outcome()
                                        : records::OUTCOME_PENDING);
    co_return Reply;
  }
  if (UnconfirmedKeys_.count(Key) != 0) {
    Reply.set_status(peer::STATUS_UNKNOWN);
    Reply.set_outcome(records::OUTCOME_UNKNOWN);
    Reply.set_detail("an earlier call may have caused this job to be "
                     "accepted; retry with the same key");
    co_return Reply;
  }
  if (Request.tasks() == 0 || Request.tasks() > Options_.MaximumTasksPerJob)
    co_return notRunReply(peer::STATUS_INVALID,
                          "tasks must be between 1 and " +
                              std::to_string(Options_.MaximumTasksPerJob));
  if (Queue_.size() + Request.tasks() > Options_.MaximumQueued)
    co_return notRunReply(peer::STATUS_OVERLOADED,
                          "too many tasks are queued; retry later");
  if (!Ownership_.logReachable())
    co_return notRunReply(
        peer::STATUS_UNAVAILABLE,
        "the log is unreachable, so the job cannot be recorded");

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
  // The acceptance is valid only if it is read back from the log.
  bool ReadBack = false;
  while (Written && Timers_.now() < Deadline) {
    const KeyRecord *ReadState = Table_.find(Key);
    ReadBack = ReadState != nullptr && ReadState->Accepted;
    if (ReadBack)
      break;
    co_await Timers_.sleepFor(ReadBackInterval);
  }
  Accepting_.erase(Key);
  Progress->notify();
  if (!ReadBack) {
    if (!Written && (Written.error().Code == ErrorCode::Cancelled ||
                     Written.error().Code == ErrorCode::Overloaded))
      co_return notRunReply(peer::STATUS_UNAVAILABLE, Written.error().Message);
    UnconfirmedKeys_.insert(Key);
    Reply.set_status(peer::STATUS_UNKNOWN);
    Reply.set_outcome(records::OUTCOME_UNKNOWN);
    Reply.set_detail("the job may have been accepted; retry with the same "
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

void JobRunner::startJob(const std::string &Key, bool AssignmentMayBeUnlogged) {
  const KeyRecord *KeyState = Table_.find(Key);
  CHECK(KeyState != nullptr && KeyState->Accepted);
  auto ParentJob = std::make_shared<Job>();
  ParentJob->Accepted = *KeyState->Accepted;
  ParentJob->Shard = keyShard(Key);
  ParentJob->Cancelled = KeyState->Cancelled;
  ParentJob->AcceptedAt = Timers_.now();
  if (const auto Class = Config_.jobClass(ParentJob->Accepted.job_class())) {
    ParentJob->Priority = Class->Priority;
    ParentJob->MaximumAttempts = Class->MaximumAttempts;
    ParentJob->Pool = Class->Pool;
  }
  ParentJob->Tasks.resize(ParentJob->Accepted.tasks());
  Jobs_[Key] = ParentJob;
  std::vector<std::pair<std::uint32_t, std::vector<std::string>>> ToRecover;
  bool AnyQueued = false;
  for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index) {
    Task &Current = ParentJob->Tasks[Index];
    const auto It = KeyState->Tasks.find(Index);
    if (It != KeyState->Tasks.end()) {
      Current.Attempt = It->second.Assigned.attempt();
      Current.Rack = It->second.Assigned.rack();
      Current.Ended = It->second.Ended;
      // The job table does not record how earlier attempts ended.
      Current.MayHaveRun = Current.Attempt > 1 ||
                           (Current.Ended && Current.Ended->outcome() !=
                                                 records::OUTCOME_NOT_RUN);
    }
    if (Current.Ended) {
      Current.State = Phase::Ended;
    } else if (Current.Attempt > 0 && !Options_.SkipRecoveryCheck) {
      Current.State = Phase::Recovering;
      ToRecover.push_back({Index, {Current.Rack}});
    } else if (AssignmentMayBeUnlogged && OwnRackLookup_ &&
               !Options_.SkipRecoveryCheck) {
      // While the log is unreachable, tasks are placed on racks of this failure
      // domain without a logged assignment.
      Current.State = Phase::Recovering;
      Current.Attempt = 1;
      ToRecover.push_back({Index, OwnRackLookup_()});
    } else {
      Current.State = Phase::Queued;
      AnyQueued = true;
    }
  }
  if (ParentJob->Accepted.gang() && AnyQueued && ToRecover.empty())
    enqueueGang(ParentJob);
  for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index) {
    const Phase State = ParentJob->Tasks[Index].State;
    if (State == Phase::Queued &&
        (!ParentJob->Accepted.gang() || !ToRecover.empty()))
      enqueueTask(ParentJob, Index);
    else if (State == Phase::Ended)
      handleTaskEnd(ParentJob, Index);
  }
  for (auto &[Index, Racks] : ToRecover)
    asio::co_spawn(Executor_, recoverTask(ParentJob, Index, std::move(Racks)),
                   asio::detached);
  Wake_.notify();
}

// Queue and placement -------------------------------------------------------

void JobRunner::enqueueTask(const JobPointer &ParentJob, std::uint32_t Index) {
  ParentJob->Tasks[Index].State = Phase::Queued;
  PendingWork Work{
      .Key = taskName(ParentJob->Accepted.key(), Index),
      .Member = ParentJob->Accepted.member(),
      .Team = ParentJob->Accepted.team(),
      .Priority = ParentJob->Priority,
      .PerTask = Resources::fromRecord(ParentJob->Accepted.per_task()),
      .EstimatedRun = ParentJob->Accepted.service()
                          ? Clock::duration::max()
                          : Clock::duration(milliseconds(
                                ParentJob->Accepted.declared_run_ms())),
      .Evictable = false};
  if (const auto Queued = Queue_.enqueue(std::move(Work)); !Queued) {
    LOG(WARNING) << "jobs: " << Queued.error().Message;
    asio::co_spawn(Executor_, requeueLater(ParentJob, Index), asio::detached);
  }
  Wake_.notify();
}

void JobRunner::enqueueGang(const JobPointer &ParentJob) {
  PendingWork Work{
      .Key = taskName(ParentJob->Accepted.key(), 0),
      .Member = ParentJob->Accepted.member(),
      .Team = ParentJob->Accepted.team(),
      .Priority = ParentJob->Priority,
      .PerTask = Resources::fromRecord(ParentJob->Accepted.per_task()),
      .Tasks = ParentJob->Accepted.tasks(),
      .EstimatedRun = milliseconds(ParentJob->Accepted.declared_run_ms()),
      .Evictable = false};
  if (const auto Queued = Queue_.enqueue(std::move(Work)); !Queued)
    LOG(WARNING) << "jobs: " << Queued.error().Message;
  Wake_.notify();
}

asio::awaitable<void> JobRunner::requeueLater(JobPointer ParentJob,
                                              std::uint32_t Index) {
  Task &Current = ParentJob->Tasks[Index];
  Current.State = Phase::Queued;
  const std::uint32_t Doublings = std::min(Current.ConsecutiveRefusals++, 10U);
  co_await Timers_.sleepFor(
      std::min(Options_.InitialRetryDelay * (1U << Doublings),
               Options_.MaximumRetryDelay));
  if (ParentJob->ShardLost || ParentJob->Tasks[Index].State != Phase::Queued)
    co_return;
  if (ParentJob->Cancelled) {
    handleTaskEnd(ParentJob, Index);
    co_return;
  }
  enqueueTask(ParentJob, Index);
}

asio::awaitable<void> JobRunner::dispatchLoop() {
  while (true) {
    co_await Wake_.waitFor(Timers_, Options_.DispatchPeriod);
    finishCancelledTasks();
    startUnstartedJobs();
    if (Timers_.now() >= NextVerification_) {
      NextVerification_ = Timers_.now() + VerificationPeriod;
      verifyRunning();
    }
    while (!FinishedKeys_.empty() &&
           FinishedKeys_.front().first + Options_.OutcomeRetention <
               Timers_.now()) {
      Table_.erase(FinishedKeys_.front().second);
      FinishedKeys_.pop_front();
    }
    if (Queue_.size() == 0 ||
        StartsInProgress_ >= Options_.MaximumConcurrentStarts)
      continue;
    std::vector<RackLocation> OwnRacks = Racks_.workerRacks(true);
    std::vector<RackLocation> AllRacks = Racks_.workerRacks(false);
    Queue_.dispatch(
        [&](const PendingWork &Work) {
          return tryPlace(Work, OwnRacks, AllRacks);
        },
        Options_.MaximumConcurrentStarts - StartsInProgress_);
  }
}

PlacementOutcome JobRunner::tryPlace(const PendingWork &Work,
                                     std::vector<RackLocation> &OwnRacks,
                                     std::vector<RackLocation> &AllRacks) {
  std::uint32_t Index = 0;
  const JobPointer ParentJob = findJob(splitTaskName(Work.Key, Index));
  if (!ParentJob || SuspendedShards_.count(ParentJob->Shard) != 0 ||
      !isOwned(*ParentJob))
    return PlacementOutcome::Skip;
  const bool LogUnreachable = !Ownership_.logReachable();
  // After a takeover, an attempt that is not in the log is only recovered if it
  // is the first attempt of the task.
  if (LogUnreachable && (ParentJob->Accepted.non_repeatable() ||
                         Work.Tasks > 1 || ParentJob->Tasks[Index].Attempt > 0))
    return PlacementOutcome::Skip;
  std::vector<RackLocation> &Candidates = LogUnreachable ? OwnRacks : AllRacks;
  const auto Pool = Config_.pool(ParentJob->Pool);
  const records::Resources &PerTask = ParentJob->Accepted.per_task();
  if (Work.Tasks > 1) {
    std::vector<RackLocation> Chosen =
        Racks_.chooseRacks(Candidates, Pool, PerTask, Work.Tasks);
    if (Chosen.size() < Work.Tasks)
      return PlacementOutcome::NoCapacity;
    for (Task &MemberTask : ParentJob->Tasks)
      MemberTask.State = Phase::Starting;
    StartsInProgress_ += Work.Tasks;
    asio::co_spawn(Executor_, startGang(ParentJob, std::move(Chosen)),
                   asio::detached);
    return PlacementOutcome::Placed;
  }
  std::vector<RackLocation> Chosen =
      Racks_.chooseRacks(Candidates, Pool, PerTask, 1);
  if (Chosen.empty())
    return PlacementOutcome::NoCapacity;
  ParentJob->Tasks[Index].State = Phase::Starting;
  ++StartsInProgress_;
  asio::co_spawn(Executor_,
                 startTask(ParentJob, Index, std::move(Chosen.front()), 0),
                 asio::detached);
  return PlacementOutcome::Placed;
}

asio::awaitable<bool> JobRunner::recordAssign(JobPointer ParentJob,
                                              std::uint32_t Index,
                                              const RackLocation &Rack) {
  records::Record Record;
  records::Assign &Assign = *Record.mutable_assign();
  Assign.set_key(ParentJob->Accepted.key());
  Assign.set_task(Index);
  Assign.set_attempt(ParentJob->Tasks[Index].Attempt);
  Assign.set_rack(Rack.Load.rack());
  Assign.set_rack_incarnation(Rack.Incarnation);
  Assign.set_slot(Rack.Slot);
  // Without the log, a new owner can only find tasks on racks of this failure
  // domain, and only repeatable tasks may be retried if it is unknown whether
  // they ran.
  const bool CanStartUnlogged = !ParentJob->Accepted.non_repeatable() &&
                                Racks_.isInOwnDomain(Rack) &&
                                ParentJob->Tasks[Index].Attempt == 1;
  if (CanStartUnlogged && !Ownership_.logReachable()) {
    enqueueRecord(std::move(Record));
    co_return true;
  }
  const Result<std::uint64_t> Written =
      co_await Writer_.append(std::move(Record), Options_.LogTimeout);
  co_return Written.has_value();
}

asio::awaitable<void> JobRunner::startTask(JobPointer ParentJob,
                                           std::uint32_t Index,
                                           RackLocation Rack,
                                           std::uint64_t Reservation) {
  Task &Current = ParentJob->Tasks[Index];
  const std::uint32_t Attempt = ++Current.Attempt;
  Current.Rack = Rack.Load.rack();
  Current.Ended.reset();
  const bool Assigned = co_await recordAssign(ParentJob, Index, Rack);
  // The lease may have expired while the record was written.
  if (!Assigned || !isOwned(*ParentJob) || ParentJob->Cancelled) {
    --StartsInProgress_;
    if (!ParentJob->ShardLost)
      co_await requeueLater(ParentJob, Index);
    co_return;
  }
  peer::PlaceRequest Request;
  Request.set_key(ParentJob->Accepted.key());
  Request.set_task(Index);
  Request.set_attempt(Attempt);
  Request.set_rack(Current.Rack);
  Request.set_member(ParentJob->Accepted.member());
  Request.set_team(ParentJob->Accepted.team());
  Request.set_job_class(ParentJob->Accepted.job_class());
  *Request.mutable_resources() = ParentJob->Accepted.per_task();
  Request.set_run_ms(ParentJob->Accepted.service()
                         ? 0
                         : ParentJob->Accepted.declared_run_ms());
  Request.set_service(ParentJob->Accepted.service());
  Request.set_priority(ParentJob->Priority);
  Request.set_non_repeatable(ParentJob->Accepted.non_repeatable());
  Request.set_reservation(Reservation);
  const Result<peer::PlaceReply> Placed =
      co_await Racks_.place(Rack, std::move(Request));
  --StartsInProgress_;
  Wake_.notify();
  // The attempt may have ended, and the next one may have started, before the
  // reply to its start arrived.
  if (ParentJob->ShardLost || Current.State != Phase::Starting ||
      Current.Attempt != Attempt)
    co_return;
  if (Placed && Placed->status() == peer::STATUS_OK) {
    Current.State = Phase::Running;
    Current.MayHaveRun = true;
    Current.Worker = Placed->worker();
    Current.RackIncarnation = Rack.Incarnation;
    Current.ConsecutiveRefusals = 0;
    const auto Waited = Timers_.now() - ParentJob->AcceptedAt;
    Counters_.observe("hickory_task_wait_seconds",
                      std::chrono::duration<double>(Waited).count());
    Events_.emit("jobs", "task_placed",
                 {{"key", ParentJob->Accepted.key()},
                  {"task", Index},
                  {"attempt", Current.Attempt},
                  {"rack", Current.Rack},
                  {"worker", Current.Worker},
                  {"class", ParentJob->Accepted.job_class()},
                  {"waited_ms",
                   std::chrono::duration_cast<milliseconds>(Waited).count()}});
    if (ParentJob->Cancelled)
      co_await stopTask(ParentJob, Index);
    co_return;
  }
  const bool KnownNotStarted = Placed ? Placed->status() != peer::STATUS_UNKNOWN
                                      : Placed.error().hadNoEffect();
  if (KnownNotStarted) {
    Counters_.count("hickory_place_refusals_total");
    Racks_.markFull(Current.Rack);
    co_await requeueLater(ParentJob, Index);
    co_return;
  }
  Current.State = Phase::Recovering;
  std::vector<std::string> RacksToAsk = {Current.Rack};
  co_await recoverTask(ParentJob, Index, std::move(RacksToAsk));
}

asio::awaitable<void> JobRunner::startGang(JobPointer ParentJob,
                                           std::vector<RackLocation> Racks) {
  std::map<std::string, std::vector<std::size_t>> ByRack;
  for (std::size_t I = 0; I < Racks.size(); ++I)
    ByRack[Racks[I].Load.rack()].push_back(I);
  std::map<std::string, std::uint64_t> Reservations;
  bool Complete = true;
  for (const auto &[Rack, Members] : ByRack) {
    peer::ReserveRequest Request;
    Request.set_rack(Rack);
    *Request.mutable_per_task() = ParentJob->Accepted.per_task();
    Request.set_tasks(static_cast<std::uint32_t>(Members.size()));
    Request.set_valid_ms(GangReservation.count() + Options_.LogTimeout.count());
    Request.set_key(ParentJob->Accepted.key());
    Request.set_member(ParentJob->Accepted.member());
    const Result<peer::ReserveReply> Reply =
        co_await Racks_.reserve(Racks[Members.front()], Request);
    if (Reply && Reply->reservation() != 0)
      Reservations[Rack] = Reply->reservation();
    if (!Reply || Reply->status() != peer::STATUS_OK ||
        Reply->tasks() < Members.size()) {
      Racks_.markFull(Rack);
      Complete = false;
      break;
    }
  }
  if (Complete && isOwned(*ParentJob)) {
    for (std::uint32_t Index = 0; Index < Racks.size(); ++Index) {
      const std::uint64_t Reservation = Reservations[Racks[Index].Load.rack()];
      asio::co_spawn(Executor_,
                     startTask(ParentJob, Index, Racks[Index], Reservation),
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
  StartsInProgress_ -= Racks.size();
  for (Task &MemberTask : ParentJob->Tasks)
    MemberTask.State = Phase::Queued;
  if (ParentJob->ShardLost)
    co_return;
  co_await Timers_.sleepFor(Options_.InitialRetryDelay);
  if (!ParentJob->ShardLost && !ParentJob->Cancelled)
    enqueueGang(ParentJob);
  else if (!ParentJob->ShardLost)
    for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index)
      handleTaskEnd(ParentJob, Index);
}

// Recovery and ends ---------------------------------------------------------

asio::awaitable<void> JobRunner::recoverTask(JobPointer ParentJob,
                                             std::uint32_t Index,
                                             std::vector<std::string> Racks) {
  const std::uint32_t Attempt = ParentJob->Tasks[Index].Attempt;
  std::set<std::string> Unresolved(Racks.begin(), Racks.end());
  while (!Unresolved.empty()) {
    Task &Current = ParentJob->Tasks[Index];
    if (ParentJob->ShardLost || Current.State != Phase::Recovering ||
        Current.Attempt != Attempt)
      co_return;
    const std::vector<std::string> RacksToAsk(Unresolved.begin(),
                                              Unresolved.end());
    for (const std::string &Rack : RacksToAsk) {
      const std::optional<RackLocation> Location = Racks_.locate(Rack);
      if (!Location)
        continue;
      peer::TaskStatusRequest Request;
      Request.set_key(ParentJob->Accepted.key());
      Request.set_task(Index);
      Request.set_attempt(Attempt);
      Request.set_rack(Rack);
      Request.set_fence(true);
      const Result<peer::TaskStatusReply> Reply =
          co_await Racks_.taskStatus(*Location, std::move(Request));
      if (ParentJob->ShardLost || Current.State != Phase::Recovering)
        co_return;
      if (!Reply)
        continue;
      if (Reply->status() == peer::STATUS_OK) {
        // If the attempt has ended, the rack owner reports the end.
        Current.State = Phase::Running;
        Current.MayHaveRun = true;
        Current.Rack = Rack;
        Current.Worker = Reply->worker();
        Current.RackIncarnation = Location->Incarnation;
        Events_.emit("jobs", "task_recovered",
                     {{"key", ParentJob->Accepted.key()},
                      {"task", Index},
                      {"attempt", Attempt},
                      {"worker", Current.Worker}});
        if (ParentJob->Cancelled)
          co_await stopTask(ParentJob, Index);
        co_return;
      }
      if (Reply->status() == peer::STATUS_NOT_FOUND)
        Unresolved.erase(Rack);
    }
    if (!Unresolved.empty())
      co_await Timers_.sleepFor(StatusInterval);
  }
  Events_.emit("jobs", "task_not_found",
               {{"key", ParentJob->Accepted.key()},
                {"task", Index},
                {"attempt", Attempt}});
  // The attempt does not run and cannot start any more, but it may have run and
  // ended: a restarted worker and a new rack owner have no record of it.
  ParentJob->Tasks[Index].MayHaveRun = true;
  if (!ParentJob->Accepted.non_repeatable()) {
    co_await requeueLater(ParentJob, Index);
    co_return;
  }
  records::TaskEnded Ended;
  Ended.set_key(ParentJob->Accepted.key());
  Ended.set_task(Index);
  Ended.set_attempt(Attempt);
  Ended.set_outcome(records::OUTCOME_UNKNOWN);
  Ended.set_member(ParentJob->Accepted.member());
  Ended.set_detail("not found on any rack; the attempt may have run");
  co_await taskEnded(std::move(Ended));
}

asio::awaitable<bool> JobRunner::taskEnded(records::TaskEnded Ended) {
  const std::string Key = Ended.key();
  const JobPointer ParentJob = findJob(Key);
  if (!ParentJob) {
    // The end of a finished or unknown job is acknowledged. The jobs of a newly
    // acquired shard have already been loaded by acquire().
    const KeyRecord *KeyState = Table_.find(Key);
    co_return KeyState == nullptr || !KeyState->Accepted || KeyState->Outcome;
  }
  const std::uint32_t Index = Ended.task();
  if (Index >= ParentJob->Tasks.size())
    co_return true;
  Task &Current = ParentJob->Tasks[Index];
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
        std::move(Record), [ParentJob, Index, Attempt](std::uint64_t) {
          ParentJob->Tasks[Index].UnloggedEnds.erase(Attempt);
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
    handleTaskEnd(ParentJob, Index);
  }
  const Clock::time_point Deadline = Timers_.now() + Options_.LogTimeout / 2;
  while (Timers_.now() < Deadline && !ParentJob->ShardLost) {
    if (ParentJob->Tasks[Index].UnloggedEnds.count(Attempt) == 0)
      co_return true;
    co_await Timers_.sleepFor(ReadBackInterval);
  }
  co_return false;
}

bool JobRunner::shouldRetry(const Job &ParentJob, const Task &Ended) const {
  if (ParentJob.Cancelled)
    return false;
  // The rack owner determined that the attempt never started.
  if (Ended.Ended && Ended.Ended->outcome() == records::OUTCOME_NOT_RUN)
    return true;
  if (ParentJob.Accepted.non_repeatable())
    return false;
  if (ParentJob.Accepted.service())
    return true;
  if (!Ended.Ended || Ended.Ended->outcome() == records::OUTCOME_COMPLETED)
    return false;
  return Ended.Attempt < ParentJob.MaximumAttempts;
}

void JobRunner::handleTaskEnd(const JobPointer &ParentJob,
                              std::uint32_t Index) {
  Task &Current = ParentJob->Tasks[Index];
  if (!ParentJob->Cancelled && Current.Ended &&
      shouldRetry(*ParentJob, Current)) {
    Counters_.count("hickory_task_retries_total");
    // The end must precede the next attempt in the log. It does, because the
    // writer has queued it before the next assignment.
    asio::co_spawn(Executor_, requeueLater(ParentJob, Index), asio::detached);
    return;
  }
  Current.State = Phase::Ended;
  Current.ResultKnown = true;
  finishIfDone(ParentJob);
}

void JobRunner::finishIfDone(const JobPointer &ParentJob) {
  if (ParentJob->Finished || ParentJob->ShardLost)
    return;
  bool AllCompleted = true;
  bool AnyUnknown = false;
  bool AnyStarted = false;
  for (const Task &MemberTask : ParentJob->Tasks) {
    if (!MemberTask.ResultKnown)
      return;
    const bool Completed = MemberTask.Ended && MemberTask.Ended->outcome() ==
                                                   records::OUTCOME_COMPLETED;
    AllCompleted = AllCompleted && Completed;
    AnyStarted = AnyStarted || MemberTask.MayHaveRun;
    AnyUnknown =
        AnyUnknown || (MemberTask.Ended &&
                       MemberTask.Ended->outcome() == records::OUTCOME_UNKNOWN);
  }
  ParentJob->Finished = true;
  records::Record Record;
  records::Outcome &Outcome = *Record.mutable_outcome();
  Outcome.set_key(ParentJob->Accepted.key());
  Outcome.set_member(ParentJob->Accepted.member());
  if (AllCompleted)
    Outcome.set_outcome(records::OUTCOME_COMPLETED);
  else if (ParentJob->Cancelled)
    Outcome.set_outcome(AnyStarted ? records::OUTCOME_CANCELLED
                                   : records::OUTCOME_NOT_RUN);
  else if (AnyUnknown)
    Outcome.set_outcome(records::OUTCOME_UNKNOWN);
  else
    Outcome.set_outcome(records::OUTCOME_FAILED);
  Events_.emit("jobs", "job_finished",
               {{"key", ParentJob->Accepted.key()},
                {"outcome", records::OutcomeKind_Name(Outcome.outcome())}});
  if (const Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
    LOG(WARNING) << "jobs: outcome of " << ParentJob->Accepted.key()
                 << " not recorded: " << Queued.error().Message;
}

// Cancellation --------------------------------------------------------------

std::uint32_t JobRunner::cancel(const std::vector<std::string> &Keys) {
  std::uint32_t Count = 0;
  std::vector<std::string> Queued;
  for (const std::string &Key : Keys) {
    const JobPointer ParentJob = findJob(Key);
    if (!ParentJob || ParentJob->Cancelled || ParentJob->Finished)
      continue;
    ParentJob->Cancelled = true;
    ++Count;
    records::Record Record;
    Record.mutable_job_cancelled()->set_key(Key);
    enqueueRecord(std::move(Record));
    for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index) {
      if (ParentJob->Tasks[Index].State == Phase::Queued)
        Queued.push_back(taskName(Key, Index));
      else if (ParentJob->Tasks[Index].State == Phase::Running)
        asio::co_spawn(Executor_, stopTask(ParentJob, Index), asio::detached);
    }
  }
  Queue_.cancel(Queued);
  Wake_.notify();
  return Count;
}

void JobRunner::finishCancelledTasks() {
  for (const PendingWork &Work : Queue_.takeCancelled(Options_.CancelBatch)) {
    std::uint32_t Index = 0;
    const JobPointer ParentJob = findJob(splitTaskName(Work.Key, Index));
    if (!ParentJob)
      continue;
    for (std::uint32_t I = Index; I < Index + Work.Tasks; ++I)
      handleTaskEnd(ParentJob, I);
  }
}

void JobRunner::verifyRunning() {
  std::unordered_map<std::string, std::uint64_t> RackOwners;
  for (const auto &[Key, ParentJob] : Jobs_) {
    for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index) {
      Task &Current = ParentJob->Tasks[Index];
      if (Current.State != Phase::Running)
        continue;
      auto It = RackOwners.find(Current.Rack);
      if (It == RackOwners.end()) {
        const std::optional<RackLocation> Location =
            Racks_.locate(Current.Rack);
        It = RackOwners
                 .emplace(Current.Rack, Location ? Location->Incarnation : 0)
                 .first;
      }
      if (It->second == 0 || It->second == Current.RackIncarnation)
        continue;
      Current.State = Phase::Recovering;
      std::vector<std::string> RacksToAsk = {Current.Rack};
      asio::co_spawn(Executor_,
                     recoverTask(ParentJob, Index, std::move(RacksToAsk)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> JobRunner::stopTask(JobPointer ParentJob,
                                          std::uint32_t Index) {
  while (!ParentJob->ShardLost &&
         ParentJob->Tasks[Index].State == Phase::Running) {
    const std::optional<RackLocation> Location =
        Racks_.locate(ParentJob->Tasks[Index].Rack);
    if (Location) {
      peer::StopTaskRequest Request;
      Request.set_key(ParentJob->Accepted.key());
      Request.set_task(Index);
      Request.set_attempt(ParentJob->Tasks[Index].Attempt);
      Request.set_rack(ParentJob->Tasks[Index].Rack);
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
  SuspendedShards_.erase(Shard);
  const std::vector<std::string> Keys = Table_.unfinished(
      [&](const std::string &Key) { return keyShard(Key) == Shard; });
  for (const std::string &Key : Keys) {
    const KeyRecord *KeyState = Table_.find(Key);
    if (KeyState->Accepted && findJob(Key) == nullptr)
      startJob(Key, PreviousOwnerExpired);
  }
}

void JobRunner::keyChanged(const std::string &Key) {
  UnconfirmedKeys_.erase(Key);
  const KeyRecord *KeyState = Table_.find(Key);
  if (KeyState == nullptr || !KeyState->Accepted)
    return;
  if (const JobPointer Current = findJob(Key)) {
    // The job is removed only when its outcome is read back: reading the
    // records before the outcome would otherwise start the job again.
    if (KeyState->Outcome && Current->Finished) {
      Jobs_.erase(Key);
      FinishedKeys_.emplace_back(Timers_.now(), Key);
    }
    return;
  }
  if (KeyState->Outcome)
    return;
  const auto Owner = Ownership_.ownerOf(keyShard(Key));
  if (!Owner || Owner->Incarnation != Ownership_.incarnation())
    return;
  UnstartedKeys_.insert(Key);
  startUnstartedJobs();
}

void JobRunner::startUnstartedJobs() {
  for (auto It = UnstartedKeys_.begin(); It != UnstartedKeys_.end();) {
    const std::string Key = *It;
    const KeyRecord *KeyState = Table_.find(Key);
    const bool Obsolete =
        KeyState == nullptr || KeyState->Outcome || findJob(Key) != nullptr;
    if (!Obsolete && !Ownership_.holds(keyShard(Key))) {
      ++It;
      continue;
    }
    It = UnstartedKeys_.erase(It);
    if (!Obsolete)
      startJob(Key, false);
  }
}

void JobRunner::lose(const std::string &Shard) {
  std::erase_if(UnstartedKeys_,
                [&](const std::string &Key) { return keyShard(Key) == Shard; });
  std::erase_if(Jobs_, [&](const auto &Pair) {
    const JobPointer &ParentJob = Pair.second;
    if (ParentJob->Shard != Shard)
      return false;
    ParentJob->ShardLost = true;
    for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index)
      if (ParentJob->Tasks[Index].State == Phase::Queued)
        Queue_.remove(taskName(Pair.first, Index));
    return true;
  });
}

bool JobRunner::hasStartsInProgress(const std::string &Shard) const {
  return std::any_of(Jobs_.begin(), Jobs_.end(), [&](const auto &Pair) {
    const Job &ParentJob = *Pair.second;
    return ParentJob.Shard == Shard &&
           std::any_of(ParentJob.Tasks.begin(), ParentJob.Tasks.end(),
                       [](const Task &MemberTask) {
                         return MemberTask.State == Phase::Starting;
                       });
  });
}

// Queries -------------------------------------------------------------------

peer::QueryReply JobRunner::query(const std::string &Key) const {
  peer::QueryReply Reply;
  const KeyRecord *KeyState = Table_.find(Key);
  if (KeyState == nullptr || !KeyState->Accepted) {
    Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }
  Reply.set_is_job(true);
  if (KeyState->Outcome) {
    Reply.set_outcome(KeyState->Outcome->outcome());
    Reply.set_detail(KeyState->Outcome->detail());
  }
  const JobPointer ParentJob = findJob(Key);
  if (!ParentJob)
    return Reply;
  constexpr const char *Names[] = {"recovering", "queued", "starting",
                                   "running", "ended"};
  for (std::uint32_t Index = 0; Index < ParentJob->Tasks.size(); ++Index) {
    const Task &Current = ParentJob->Tasks[Index];
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
          .Starting = StartsInProgress_,
          .LongestWait =
              std::chrono::duration_cast<milliseconds>(Queue_.longestWait())};
}

} // namespace hickory
