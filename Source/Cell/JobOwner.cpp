#include "Cell/JobOwner.h"

#include "Base/WaitForAll.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

using nlohmann::json;

constexpr const char *JobPrefix = "j/";
constexpr const char *ProgressPrefix = "p/";
constexpr const char *WorkerPrefix = "w/";
/// Never written with a value.
constexpr const char *ProofKey = "t/";
constexpr std::chrono::milliseconds RecordRetry{200};

constexpr int Accepted = 200;
constexpr int Gone = 410;
constexpr int TryLater = 503;
constexpr int OutcomeUnknown = 504;

int statusOf(JournalOutcome Outcome) {
  switch (Outcome) {
  case JournalOutcome::Written:
    return Accepted;
  case JournalOutcome::NotWritten:
    return TryLater;
  case JournalOutcome::Unknown:
    return OutcomeUnknown;
  }
  return OutcomeUnknown;
}

bool sameRun(const RunReport &Report, const RunId &Run) {
  return Report.Run == Run.Run && Report.Worker == Run.Worker &&
         Report.Task == Run.Task.toString();
}

} // namespace

JobOwner::JobOwner(const asio::any_io_executor &Executor, TimerService &Timers,
                   StoreClient &Store, EventLog &Events, ShardMap Shards,
                   JobOwnerOptions Options)
    : Executor_(Executor), Timers_(Timers), Store_(Store), Events_(Events),
      Map_(Shards), Options_(std::move(Options)) {}

void JobOwner::assign(int Number, std::uint64_t Epoch) {
  revoke(Number);
  Shard &Owner = Shards_[Number];
  Owner.Epoch = Epoch;
  ShardJournalOptions Options{
      .Topic = Options_.Topic, .Shard = Number, .Epoch = Epoch};
  Owner.Journal = std::make_shared<ShardJournal>(Executor_, Timers_, Store_,
                                                 std::move(Options));
  Owner.Journal->onFenced([this, Number, Epoch] {
    const auto It = Shards_.find(Number);
    if (It != Shards_.end() && It->second.Epoch == Epoch && Fenced_)
      Fenced_(Number);
  });
  asio::co_spawn(Executor_, open(Number, Epoch), asio::detached);
}

asio::awaitable<void> JobOwner::open(int Number, std::uint64_t Epoch) {
  const auto Journal = Shards_.at(Number).Journal;
  const auto Records = co_await Journal->acquire();
  const auto It = Shards_.find(Number);
  if (!Records || It == Shards_.end() || It->second.Epoch != Epoch)
    co_return;
  load(Number, It->second, *Records);
  asio::co_spawn(Executor_, Journal->run(), asio::detached);
  if (Opened_)
    Opened_();
}

void JobOwner::load(int Number, Shard &Owner,
                    const std::vector<KeyedRecord> &Records) {
  std::map<std::string, json> Progress;
  std::vector<WorkerEntry> Workers;
  for (const KeyedRecord &Record : Records) {
    if (!Record.Value)
      continue;
    json Value = json::parse(*Record.Value, nullptr, false);
    if (Value.is_discarded())
      continue;
    const std::string Id = Record.Key.substr(2);
    if (Record.Key.starts_with(WorkerPrefix)) {
      Workers.push_back({.Id = Id,
                         .Service = Value.at("service").get<std::string>(),
                         .Address = Value.at("address").get<std::string>(),
                         .Capacity = Value.at("capacity").get<Resources>()});
      continue;
    }
    if (Record.Key.starts_with(ProgressPrefix)) {
      Progress[Id] = std::move(Value);
      continue;
    }
    auto Job = std::make_shared<OwnedJob>(Value.get<JobSpec>(), Owner.Journal);
    Job->Shard = Number;
    Job->Accepted = true;
    Job->AcceptedAt = Timers_.now();
    Owner.Jobs[Id] = std::move(Job);
  }
  for (auto &[Id, Value] : Progress) {
    JobPointer &Job = Owner.Jobs[Id];
    if (!Job) {
      // Only the final state is kept of a finished job.
      Job = std::make_shared<OwnedJob>(JobSpec{.Id = Id}, Owner.Journal);
      Job->Shard = Number;
      Job->Accepted = true;
    }
    Job->Progress.restore(Value);
    if (Job->Progress.isFinished()) {
      Job->FinishWritten = true;
      Job->FinishedAt = Timers_.now();
    }
  }
  for (const auto &[Id, Job] : Owner.Jobs)
    if (!Job->Progress.isFinished()) {
      Job->Progress.markUnfinishedTasksUnknown();
      Active_[Id] = Job;
    }
  if (WorkersRead_)
    WorkersRead_(Number, std::move(Workers));
  Owner.Ready = true;
  Owner.ReadyAt = Timers_.now();
  int TasksDone = 0;
  for (const auto &[Id, Job] : Owner.Jobs)
    TasksDone += Job->Progress.tasksDone();
  Events_.emit("jobs", "shard_open",
               {{"shard", Number},
                {"epoch", Owner.Epoch},
                {"jobs", Owner.Jobs.size()},
                {"tasks_done", TasksDone}});
}

void JobOwner::revoke(int Number) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end())
    return;
  for (const auto &[Id, Job] : It->second.Jobs)
    Active_.erase(Id);
  const auto Journal = It->second.Journal;
  Shards_.erase(It);
  Journal->stop();
}

JobOwner::JournalPointer JobOwner::journalOf(int Number) const {
  const auto It = Shards_.find(Number);
  return It == Shards_.end() ? nullptr : It->second.Journal;
}

void JobOwner::recordWorker(int Number, WorkerEntry Entry) {
  if (auto Journal = journalOf(Number))
    asio::co_spawn(Executor_,
                   writeWorker(Number, std::move(Journal), std::move(Entry)),
                   asio::detached);
}

asio::awaitable<void> JobOwner::writeWorker(int Number, JournalPointer Journal,
                                            WorkerEntry Entry) {
  while (journalOf(Number) == Journal) {
    const json Value = {{"service", Entry.Service},
                        {"address", Entry.Address},
                        {"capacity", Entry.Capacity}};
    std::vector<KeyedRecord> Records;
    Records.push_back({.Key = WorkerPrefix + Entry.Id, .Value = Value.dump()});
    const auto Outcome = co_await write(Journal, std::move(Records));
    if (Outcome == JournalOutcome::Written) {
      if (WorkerRecorded_ && journalOf(Number) == Journal)
        WorkerRecorded_(Number, Entry.Id);
      co_return;
    }
    co_await Timers_.sleepFor(RecordRetry);
  }
}

void JobOwner::deleteWorker(int Number, const std::string &Worker) {
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = WorkerPrefix + Worker});
  if (auto Journal = journalOf(Number))
    asio::co_spawn(Executor_, forget(std::move(Journal), std::move(Records)),
                   asio::detached);
}

JobOwner::JobPointer JobOwner::findJob(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  if (It == Shards_.end())
    return nullptr;
  const auto Job = It->second.Jobs.find(Id);
  return Job == It->second.Jobs.end() ? nullptr : Job->second;
}

JobOwner::Shard *JobOwner::readyShard(const std::string &Id) {
  const auto It = Shards_.find(Map_.shardOf(Id));
  return It == Shards_.end() || !It->second.Ready ? nullptr : &It->second;
}

asio::awaitable<JournalOutcome>
JobOwner::write(JournalPointer Journal, std::vector<KeyedRecord> Records) {
  co_return co_await Journal->write(std::move(Records),
                                    Timers_.now() + Options_.WriteLimit);
}

asio::awaitable<int> JobOwner::submit(JobSpec Spec) {
  Shard *Owner = readyShard(Spec.Id);
  if (Owner == nullptr)
    co_return TryLater;
  const std::string Id = Spec.Id;
  const int Number = Map_.shardOf(Id);
  JobPointer Job = findJob(Id);
  if (Job && Job->Accepted)
    co_return Accepted;
  if (Owner->Journal->isUnavailable())
    co_return Job && Job->MayBeStored ? OutcomeUnknown : TryLater;
  if (!Job) {
    if (Owner->Jobs.size() >= Options_.MaximumJobsPerShard)
      co_return TryLater;
    Job = std::make_shared<OwnedJob>(std::move(Spec), Owner->Journal);
    Job->Shard = Number;
    Job->AcceptedAt = Timers_.now();
    Owner->Jobs[Id] = Job;
  }
  if (!Job->Accepted) {
    // Advice can be asked for while the journal is written.
    Active_[Id] = Job;
    if (Work_)
      Work_();
  }
  // A repetition of the call writes the same record again.
  std::vector<KeyedRecord> Records;
  Records.push_back(
      {.Key = JobPrefix + Id, .Value = json(Job->Progress.spec()).dump()});
  ++Job->Submitting;
  const JournalOutcome Outcome = co_await Job->Journal->write(
      std::move(Records), Timers_.now() + Options_.WriteLimit, true);
  --Job->Submitting;
  Job->MayBeStored = Job->MayBeStored || Outcome == JournalOutcome::Unknown;
  if (Outcome == JournalOutcome::Written && !Job->Accepted) {
    Job->Accepted = true;
    if (Work_)
      Work_();
  }
  // The shard may have been given up meanwhile.
  if (!Job->Accepted && Job->Submitting == 0 && findJob(Id) == Job) {
    Active_.erase(Id);
    if (!Job->MayBeStored)
      Shards_.at(Number).Jobs.erase(Id);
  }
  if (Job->Accepted)
    co_return Accepted;
  co_return Job->MayBeStored ? OutcomeUnknown : statusOf(Outcome);
}

asio::awaitable<int> JobOwner::cancel(std::string Id) {
  if (readyShard(Id) == nullptr)
    co_return TryLater;
  const JobPointer Job = findJob(Id);
  // Its submission is under way or has an unknown outcome.
  if (Job && !Job->Accepted)
    co_return TryLater;
  if (!Job) {
    const int Number = Map_.shardOf(Id);
    // A later owner may have accepted it.
    co_return co_await confirmOwnership(Number, Shards_.at(Number).Epoch)
        ? Gone
        : TryLater;
  }
  if (!Job->Progress.isFinished()) {
    Events_.emit("jobs", "cancelled", {{"job", Id}});
    applyEffect(Job, Job->Progress.cancel(Timers_.now()));
  }
  std::vector<JobPointer> Changed{Job};
  co_await flush(Job->Journal, std::move(Changed));
  co_return Job->FinishWritten ? Accepted : OutcomeUnknown;
}

asio::awaitable<JobStateReply> JobOwner::confirmedState(std::string Id) {
  JobStateReply Reply = state(Id);
  const int Number = Map_.shardOf(Id);
  if (Reply.Status == Gone &&
      !co_await confirmOwnership(Number, Shards_.at(Number).Epoch))
    Reply.Status = TryLater;
  co_return Reply;
}

JobStateReply JobOwner::state(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  if (It == Shards_.end() || !It->second.Ready)
    return {.Status = TryLater};
  const JobPointer Job = findJob(Id);
  if (!Job)
    return {.Status = Gone};
  if (!Job->Accepted)
    return {.Status = TryLater};
  JobState Shown = Job->Progress.state();
  // A final state is shown only once it can't be lost.
  if (Job->Progress.isFinished() && !Job->FinishWritten)
    Shown = JobState::Running;
  return {.Status = Accepted, .State = nameOf(Shown)};
}

void JobOwner::applyEffect(const JobPointer &Job,
                           const ProgressEffect &Effect) {
  if (Effect.MustPersist)
    ++Job->Version;
  if (Effect.Finished) {
    const std::string &Id = Job->Progress.spec().Id;
    Active_.erase(Id);
    Job->FinishedAt = Timers_.now();
    Events_.emit(
        "jobs", "finished",
        {{"job", Id},
         {"queue", Job->Progress.spec().Queue.Name},
         {"state", nameOf(Job->Progress.state())},
         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        Job->FinishedAt - Job->AcceptedAt)
                        .count()}});
  }
  if (!Effect.Stop.empty() && Stop_)
    Stop_(Effect.Stop);
  if (Effect.Applied && Work_)
    Work_();
}

asio::awaitable<void> JobOwner::flush(JournalPointer Journal,
                                      std::vector<JobPointer> Jobs) {
  std::vector<KeyedRecord> Records;
  std::vector<std::pair<JobPointer, std::uint64_t>> Versions;
  for (const JobPointer &Job : Jobs) {
    if (Job->WrittenVersion == Job->Version)
      continue;
    const std::string &Id = Job->Progress.spec().Id;
    const bool Finished = Job->Progress.isFinished();
    json Durable = Finished ? json{{"state", nameOf(Job->Progress.state())},
                                   {"occurrences", 0},
                                   {"steps", json::array()}}
                            : Job->Progress.durableState();
    Records.push_back({.Key = ProgressPrefix + Id, .Value = Durable.dump()});
    if (Finished)
      Records.push_back({.Key = JobPrefix + Id});
    Versions.emplace_back(Job, Job->Version);
  }
  if (Records.empty())
    co_return;
  const JournalOutcome Outcome = co_await write(Journal, std::move(Records));
  if (Outcome != JournalOutcome::Written) {
    Events_.emit("jobs", "progress_not_stored",
                 {{"shard", Journal->shard()},
                  {"epoch", Journal->epoch()},
                  {"jobs", Versions.size()},
                  {"outcome", nameOf(Outcome)}});
    co_return;
  }
  for (const auto &[Job, Version] : Versions) {
    Job->WrittenVersion = std::max(Job->WrittenVersion, Version);
    Job->FinishWritten =
        Job->Progress.isFinished() && Job->WrittenVersion == Job->Version;
  }
}

asio::awaitable<void>
JobOwner::confirmUnknown(JournalPointer Journal,
                         std::vector<KeyedRecord> Records,
                         std::shared_ptr<bool> Confirmed) {
  const std::size_t Count = Records.size();
  const JournalOutcome Outcome = co_await write(Journal, std::move(Records));
  *Confirmed = Outcome == JournalOutcome::Written;
  Events_.emit("jobs", "unknown_ends",
               {{"shard", Journal->shard()},
                {"epoch", Journal->epoch()},
                {"ends", Count},
                {"outcome", nameOf(Outcome)}});
}

JobOwner::JobPointer JobOwner::applyEnd(const EndReport &End) {
  const auto Task = TaskName::parse(End.Task);
  const JobPointer Job = Task ? findJob(Task->Job) : nullptr;
  if (!Job)
    return nullptr;
  const RunId Run{.Task = *Task, .Run = End.Run, .Worker = End.Worker};
  const ProgressEffect Effect = Job->Progress.markEnded(
      Run, runOutcomeFromName(End.How), End.Checkpoint, Timers_.now());
  Events_.emit("jobs", "run_ended",
               {{"task", End.Task},
                {"run", End.Run},
                {"worker", End.Worker},
                {"how", End.How},
                {"epoch", Job->Journal->epoch()},
                {"applied", Effect.Applied}});
  applyEffect(Job, Effect);
  return Job;
}

asio::awaitable<EndsReply> JobOwner::acceptEnds(EndsRequest Request) {
  struct Unknown {
    std::vector<KeyedRecord> Records;
    std::shared_ptr<bool> Confirmed = std::make_shared<bool>(false);
  };
  std::map<JournalPointer, std::vector<JobPointer>> Changed;
  std::map<JournalPointer, Unknown> Others;
  /// Per end: its job, or else whether the end was accepted for it.
  std::vector<std::pair<JobPointer, std::shared_ptr<bool>>> Answers;
  for (const EndReport &End : Request.Ends) {
    const auto Task = TaskName::parse(End.Task);
    const Shard *Owner = Task ? readyShard(Task->Job) : nullptr;
    const JobPointer Job = Owner != nullptr ? applyEnd(End) : nullptr;
    auto Accepted = std::make_shared<bool>(!Task);
    if (Job) {
      if (Job->WrittenVersion != Job->Version)
        Changed[Job->Journal].push_back(Job);
    } else if (Owner != nullptr) {
      Unknown &Other = Others[Owner->Journal];
      Other.Records.push_back({.Key = ProgressPrefix + Task->Job});
      Accepted = Other.Confirmed;
    }
    Answers.emplace_back(Job, std::move(Accepted));
  }
  std::vector<asio::awaitable<void>> Writes;
  Writes.reserve(Changed.size() + Others.size());
  for (auto &[Journal, Jobs] : Changed)
    Writes.push_back(flush(Journal, std::move(Jobs)));
  for (auto &[Journal, Other] : Others)
    Writes.push_back(
        confirmUnknown(Journal, std::move(Other.Records), Other.Confirmed));
  co_await waitForAll(Executor_, std::move(Writes));
  EndsReply Reply;
  for (const auto &[Job, Accepted] : Answers) {
    Reply.Accepted.push_back(Job ? Job->WrittenVersion == Job->Version
                                 : *Accepted);
    if (Job && Reply.Accepted.back())
      Reply.Owners.push_back(
          {.Shard = Job->Shard, .Epoch = Job->Journal->epoch()});
  }
  co_return Reply;
}

void JobOwner::ordered(const RunId &Run) {
  if (const JobPointer Job = findJob(Run.Task.Job))
    Job->Progress.restartPhaseTimer(Run, Timers_.now());
}

void JobOwner::started(const RunId &Run) {
  if (const JobPointer Job = findJob(Run.Task.Job))
    applyEffect(Job, Job->Progress.markRunning(Run, {}, Timers_.now()));
}

void JobOwner::dropTicket(const RunId &Run) {
  if (const JobPointer Job = findJob(Run.Task.Job))
    Job->Advice[{Run.Task.Occurrence, Run.Task.Step}].dropTicket(Run.Worker);
}

void JobOwner::rejected(const RunId &Run, Clock::time_point NotBefore) {
  const JobPointer Job = findJob(Run.Task.Job);
  if (!Job)
    return;
  Job->NotBefore[{Run.Task.Occurrence, Run.Task.Step}] = NotBefore;
  applyEffect(Job, Job->Progress.markEnded(Run, RunOutcome::Rejected, {},
                                           Timers_.now()));
}

void JobOwner::applyRunReport(const RunReport &Report) {
  const auto Task = TaskName::parse(Report.Task);
  if (!Task || readyShard(Task->Job) == nullptr)
    return;
  const RunId Run{.Task = *Task, .Run = Report.Run, .Worker = Report.Worker};
  const JobPointer Job = findJob(Task->Job);
  if (Job && !Report.How.empty())
    // The end itself is accepted when it is delivered; until then, it must be
    // known to a new owner before that starts the task again.
    applyEffect(Job,
                Job->Progress.markEnded(Run, runOutcomeFromName(Report.How),
                                        Report.Checkpoint, Timers_.now()));
  else if (Job)
    adopt(Job, Run, Report.Checkpoint);
  else if (Report.How.empty() && Stop_)
    Stop_({Run});
}

void JobOwner::adopt(const JobPointer &Job, const RunId &Run,
                     const std::string &Checkpoint) {
  const ProgressEffect Effect =
      Job->Progress.markRunning(Run, Checkpoint, Timers_.now());
  if (Effect.Applied || !Effect.Stop.empty())
    Events_.emit("jobs", Effect.Applied ? "run_adopted" : "run_refused",
                 {{"task", Run.Task.toString()},
                  {"run", Run.Run},
                  {"worker", Run.Worker}});
  applyEffect(Job, Effect);
}

void JobOwner::applyExchange(
    const std::string &Member, const ExchangeReply &Reply,
    Clock::time_point SentAt,
    const std::function<bool(const RunId &)> &Ordering) {
  for (const RunReport &Report : Reply.Runs)
    applyRunReport(Report);
  endAbsent(Reply, SentAt, Ordering);
  noteReported(Member, Reply, SentAt);
}

void JobOwner::endAbsent(const ExchangeReply &Reply, Clock::time_point SentAt,
                         const std::function<bool(const RunId &)> &Ordering) {
  std::set<std::string> Resolved;
  for (const WorkerLoad &Worker : Reply.Workers)
    if (Worker.Resolved)
      Resolved.insert(Worker.Id);
  std::set<std::string> Present;
  for (const RunReport &Report : Reply.Runs)
    Present.insert(Report.Task);
  std::vector<RunId> Absent;
  for (const auto &[Id, Job] : Active_)
    for (RunId &Run : Job->Progress.activeRuns()) {
      const TaskProgress *Task = Job->Progress.find(Run.Task);
      if (!Resolved.contains(Run.Worker) || Task->PhaseSince >= SentAt ||
          Ordering(Run))
        continue;
      if (Present.contains(Run.Task.toString()) &&
          std::ranges::any_of(Reply.Runs, [&](const RunReport &Report) {
            return sameRun(Report, Run);
          }))
        continue;
      Absent.push_back(std::move(Run));
    }
  for (const RunId &Run : Absent)
    if (const JobPointer Job = findJob(Run.Task.Job)) {
      Events_.emit("jobs", "run_absent",
                   {{"task", Run.Task.toString()},
                    {"run", Run.Run},
                    {"worker", Run.Worker}});
      applyEffect(Job, Job->Progress.markEnded(Run, RunOutcome::Lost, {},
                                               Timers_.now()));
    }
}

void JobOwner::noteReported(const std::string &Member,
                            const ExchangeReply &Reply,
                            Clock::time_point SentAt) {
  std::set<int> Unclear;
  for (const WorkerLoad &Worker : Reply.Workers)
    if (!Worker.Resolved)
      Unclear.insert(Map_.shardOf(Worker.Id));
  for (auto &[Number, Owner] : Shards_) {
    if (!Owner.Ready || Owner.Resolved || SentAt <= Owner.ReadyAt)
      continue;
    for (const HeldShard &Item : Reply.Held)
      if (Item.Ready && !Unclear.contains(Item.Shard))
        Owner.Reported[Item.Shard] = Member;
    resolveIfReported(Owner);
    const bool All = static_cast<int>(Owner.Reported.size()) == Map_.count();
    if (!Owner.Resolved && All && HoldersNeeded_)
      HoldersNeeded_();
  }
}

void JobOwner::handleHolderList() {
  for (auto &[Number, Owner] : Shards_)
    if (Owner.Ready && !Owner.Resolved)
      resolveIfReported(Owner);
}

void JobOwner::resolveIfReported(Shard &Owner) {
  // A process that has not heard of the loss of its shard reports what it knew
  // before; only what the store lists since the takeover counts.
  const bool Complete =
      static_cast<int>(Owner.Reported.size()) == Map_.count() &&
      std::ranges::all_of(Owner.Reported, [&](const auto &Item) {
        return Listed_ && Listed_(Item.first, Item.second, Owner.ReadyAt);
      });
  if (!Complete)
    return;
  Owner.Resolved = true;
  resolve(Owner);
}

void JobOwner::resolve(Shard &Owner) {
  std::vector<JobPointer> Jobs;
  for (const auto &[Id, Job] : Owner.Jobs)
    if (Job->Progress.hasUnknownTasks() && !Job->Progress.isFinished())
      Jobs.push_back(Job);
  if (!Jobs.empty())
    Events_.emit("jobs", "resolved", {{"jobs", Jobs.size()}});
  for (const JobPointer &Job : Jobs) {
    ProgressEffect Effect = Job->Progress.resolveUnknownTasks(Timers_.now());
    Effect.Applied = true;
    applyEffect(Job, Effect);
  }
}

std::vector<RunDemand> JobOwner::demandsFor(const ExchangeReply &Reply) const {
  std::vector<RunDemand> Demands;
  for (const RunReport &Report : Reply.Runs) {
    const auto Task = TaskName::parse(Report.Task);
    if (Report.DemandKnown || !Task)
      continue;
    const JobPointer Job = findJob(Task->Job);
    if (!Job || Job->Progress.find(*Task) == nullptr)
      continue;
    const StepSpec &Step =
        Job->Progress.spec().Steps[static_cast<std::size_t>(Task->Step)];
    Demands.push_back({.Task = Report.Task,
                       .Run = Report.Run,
                       .Worker = Report.Worker,
                       .Demand = Step.Demand,
                       .Priority = Job->Progress.spec().Queue.Priority,
                       .Preemptible = isPreemptible(Step)});
  }
  return Demands;
}

bool JobOwner::isOwnerOf(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  return It != Shards_.end() && It->second.Ready;
}

std::vector<ShardEpoch> JobOwner::heldShards() const {
  std::vector<ShardEpoch> All;
  for (const auto &[Number, Owner] : Shards_)
    if (Owner.Ready)
      All.push_back({.Shard = Number, .Epoch = Owner.Epoch});
  return All;
}

std::optional<std::uint64_t> JobOwner::epochOf(int Number) const {
  const auto It = Shards_.find(Number);
  return It == Shards_.end() ? std::nullopt : std::optional(It->second.Epoch);
}

bool JobOwner::isOwnershipConfirmedSince(int Number,
                                         Clock::time_point Since) const {
  const auto Journal = journalOf(Number);
  return Journal && Journal->provedAt() > Since;
}

void JobOwner::requestOwnershipConfirmation(int Number) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || !It->second.Ready || It->second.Proving)
    return;
  It->second.Proving = true;
  asio::co_spawn(Executor_, appendProof(Number, It->second.Epoch),
                 asio::detached);
}

asio::awaitable<bool> JobOwner::confirmOwnership(int Number,
                                                 std::uint64_t Epoch) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || It->second.Epoch != Epoch)
    co_return false;
  const auto Journal = It->second.Journal;
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = ProofKey});
  co_return co_await write(Journal, std::move(Records)) ==
      JournalOutcome::Written;
}

asio::awaitable<void> JobOwner::appendProof(int Number, std::uint64_t Epoch) {
  co_await confirmOwnership(Number, Epoch);
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || It->second.Epoch != Epoch)
    co_return;
  It->second.Proving = false;
  if (Work_)
    Work_();
}

std::map<std::string, int> JobOwner::waitingJobs() const {
  std::map<std::string, int> Counts;
  for (const auto &[Id, Job] : Active_)
    if (!Job->Progress.hasStarted() && Job->Progress.spec().Repetitions == 0)
      ++Counts[Job->Progress.spec().Queue.Name];
  return Counts;
}

bool JobOwner::isWaitingKnown() const {
  return std::ranges::all_of(
      Shards_, [](const auto &Item) { return Item.second.Ready; });
}

void JobOwner::tick() {
  const auto SinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
      Timers_.wallNow().time_since_epoch());
  bool Due = false;
  for (const auto &[Id, Job] : Active_)
    Due |= Job->Progress.spec().Repetitions > 0 &&
           Job->Progress.addDueOccurrences(SinceEpoch);
  if (Due && Work_)
    Work_();
  for (auto &[Number, Owner] : Shards_) {
    std::vector<KeyedRecord> Dropped;
    std::vector<JobPointer> Unwritten;
    std::erase_if(Owner.Jobs, [&](const auto &Item) {
      const OwnedJob &Job = *Item.second;
      if (Job.Progress.isFinished() && !Job.FinishWritten)
        Unwritten.push_back(Item.second);
      if (!Job.FinishWritten ||
          Timers_.now() - Job.FinishedAt < Options_.KeepFinished)
        return false;
      Dropped.push_back({.Key = ProgressPrefix + Item.first});
      return true;
    });
    if (!Unwritten.empty())
      asio::co_spawn(Executor_, flush(Owner.Journal, std::move(Unwritten)),
                     asio::detached);
    if (!Dropped.empty())
      asio::co_spawn(Executor_, forget(Owner.Journal, std::move(Dropped)),
                     asio::detached);
  }
}

asio::awaitable<void> JobOwner::forget(JournalPointer Journal,
                                       std::vector<KeyedRecord> Records) {
  co_await write(std::move(Journal), std::move(Records));
}

} // namespace hickory
