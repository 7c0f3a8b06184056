#include "Cell/JobOwner.h"

#include "Base/Milliseconds.h"
#include "Base/WaitForAll.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <unordered_set>

namespace hickory {

namespace {

using nlohmann::json;

constexpr const char *JobPrefix = "j/";
constexpr const char *ProgressPrefix = "p/";
constexpr const char *WorkerPrefix = "w/";
/// Fields of the final state of a job that has an account.
constexpr const char *AccountField = "account";
constexpr const char *LargestDemandField = "largest_demand";
constexpr const char *StoppingDemandField = "stopping_demand";
/// Key of appends that only confirm the ownership. They have no value and thus
/// leave no record behind.
constexpr const char *ConfirmationKey = "t/";
constexpr std::chrono::milliseconds WorkerRecordRetryDelay{200};
/// Of a job whose progress is longer than this, at most two writes are pending:
/// one in flight, and one that goes with the next append. Each contains the
/// whole progress. Without a limit, the ends of a job of 5,000 tasks put 24 MB
/// into the queue of its journal, and other records were late. Shorter ones, of
/// each holder of a worker, fit into one append.
constexpr std::size_t LongProgressBytes = 2048;
constexpr int MaximumPendingWrites = 2;
constexpr std::chrono::seconds TakeoverEventInterval{1};
constexpr std::size_t MaximumWorkersInEvent = 8;
/// Number of workers out of reach that a report to a ledger names.
constexpr std::size_t MaximumWorkersInReport = 64;

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int StatusTimeout = 504;

int statusOf(JournalOutcome Outcome) {
  switch (Outcome) {
  case JournalOutcome::Written:
    return StatusOk;
  case JournalOutcome::NotWritten:
    return StatusUnavailable;
  case JournalOutcome::Unknown:
    return StatusTimeout;
  case JournalOutcome::Rejected:
    return StatusTooLarge;
  }
  return StatusTimeout;
}

/// Returns true if the progress of the job is not written before one of the
/// pending writes has ended, which may contain all of it.
bool mustAwaitPendingWrites(const OwnedJob &Job) {
  return Job.PendingWrites > 0 && Job.PendingBytes > LongProgressBytes &&
         (Job.PendingWrites >= MaximumPendingWrites ||
          Job.PendingVersion == Job.Version);
}

/// Returns the id after the two characters of the key's prefix.
std::string idOf(const KeyedRecord &Record) { return Record.Key.substr(2); }

/// Throws nlohmann::json::exception if the record has no value that is JSON.
json valueOf(const KeyedRecord &Record) {
  return json::parse(Record.Value.value_or(""));
}

WorkerEntry workerFrom(const KeyedRecord &Record) {
  const json Value = valueOf(Record);
  return {.Id = idOf(Record),
          .Service = Value.at("service").get<std::string>(),
          .Address = Value.at("address").get<std::string>(),
          .Capacity = Value.at("capacity").get<Resources>()};
}

/// Returns the account that a final state names; empty if it names none, or is
/// unreadable.
std::string accountOf(const KeyedRecord &Record) {
  const json Value = json::parse(Record.Value.value_or(""), nullptr, false);
  const bool IsNamed = Value.is_object() && Value.contains(AccountField) &&
                       Value[AccountField].is_string();
  return IsNamed ? Value[AccountField].get<std::string>() : std::string();
}

Resources largestDemandOf(const KeyedRecord &Record) {
  try {
    return valueOf(Record).value(LargestDemandField, Resources{});
  } catch (const json::exception &) {
    return {};
  }
}

/// Returns nothing if the final state does not tell, like that of an earlier
/// release.
std::optional<Resources> stoppingDemandOf(const KeyedRecord &Record) {
  try {
    return valueOf(Record).at(StoppingDemandField).get<Resources>();
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

bool isSameRun(const RunReport &Report, const RunId &Run) {
  return Report.Run == Run.Run && Report.Worker == Run.Worker &&
         Report.Task == Run.Task.toString();
}

} // namespace

JobOwner::JobOwner(const asio::any_io_executor &Executor, TimerService &Timers,
                   StoreClient &Store, EventLog &Events, ShardMap Shards,
                   JobOwnerOptions Options)
    : Executor_(Executor), Timers_(Timers), Store_(Store), Events_(Events),
      Map_(Shards), Options_(std::move(Options)) {}

void OwnedJob::forgetOccurrence(int Occurrence) {
  const auto Erase = [Occurrence](auto &ByOccurrenceAndStep) {
    ByOccurrenceAndStep.erase(
        ByOccurrenceAndStep.lower_bound({Occurrence, 0}),
        ByOccurrenceAndStep.lower_bound({Occurrence + 1, 0}));
  };
  Erase(Advice);
  Erase(NotBefore);
  Erase(FailedReservations);
  Erase(NextPreemptionAt);
  Erase(NextGangWaitEventAt);
}

void JobOwner::assign(int Number, std::uint64_t Epoch) {
  revoke(Number);
  OwnedShard &Owned = Shards_[Number];
  Owned.Epoch = Epoch;
  if (Quota_ != nullptr)
    Quota_->openShard(Number, Epoch);
  ShardJournalOptions Options{
      .Topic = Options_.Topic, .Shard = Number, .Epoch = Epoch};
  Options.Limits = Options_.Limits;
  Owned.Journal = std::make_shared<ShardJournal>(Executor_, Timers_, Store_,
                                                 std::move(Options));
  Owned.Journal->onFenced([this, Number, Epoch] {
    const auto It = Shards_.find(Number);
    if (It != Shards_.end() && It->second.Epoch == Epoch && Fenced_)
      Fenced_(Number);
  });
  asio::co_spawn(Executor_, openShard(Number, Epoch), asio::detached);
}

asio::awaitable<void> JobOwner::openShard(int Number, std::uint64_t Epoch) {
  const auto Journal = Shards_.at(Number).Journal;
  const auto Records = co_await Journal->acquire();
  const auto It = Shards_.find(Number);
  if (!Records || It == Shards_.end() || It->second.Epoch != Epoch)
    co_return;
  loadRecords(Number, It->second, *Records);
  asio::co_spawn(Executor_, Journal->run(), asio::detached);
  if (ShardOpened_)
    ShardOpened_();
}

void JobOwner::reportUnreadable(int Number, const KeyedRecord &Record,
                                const std::exception &Failure) {
  Events_.emit(
      "jobs", "record_unreadable",
      {{"shard", Number}, {"key", Record.Key}, {"error", Failure.what()}});
}

void JobOwner::loadJob(int Number, OwnedShard &Owned,
                       const KeyedRecord &Record) {
  auto Job =
      std::make_shared<OwnedJob>(valueOf(Record).get<JobSpec>(), Owned.Journal);
  Job->Shard = Number;
  Job->Accepted = true;
  Job->Inherited = true;
  Job->AcceptedAt = Timers_.now();
  Owned.Jobs[idOf(Record)] = std::move(Job);
}

void JobOwner::loadProgress(int Number, OwnedShard &Owned,
                            const KeyedRecord &Record) {
  const std::string Id = idOf(Record);
  JobPointer &Job = Owned.Jobs[Id];
  if (!Job) {
    JobSpec Spec{.Id = Id, .Account = accountOf(Record)};
    Job = std::make_shared<OwnedJob>(std::move(Spec), Owned.Journal);
    Job->LargestDemand = largestDemandOf(Record);
    Job->StoppingDemand = stoppingDemandOf(Record);
    Job->Shard = Number;
    Job->Accepted = true;
    Job->Inherited = true;
  }
  try {
    Job->Progress.restore(valueOf(Record));
  } catch (const std::exception &Failure) {
    // Without its progress, tasks that are done would start again.
    Job->Unreadable = true;
    Owned.HasUnreadableJob |= Job->Progress.spec().Steps.empty();
    reportUnreadable(Number, Record, Failure);
    return;
  }
  if (Job->Progress.isFinished()) {
    Job->FinalStateWritten = true;
    Job->FinishedAt = Timers_.now();
  }
}

void JobOwner::loadRecords(int Number, OwnedShard &Owned,
                           const std::vector<KeyedRecord> &Records) {
  std::vector<WorkerEntry> Workers;
  std::vector<const KeyedRecord *> Progress;
  for (const KeyedRecord &Record : Records) {
    if (Record.Key.starts_with(ProgressPrefix)) {
      Progress.push_back(&Record);
      continue;
    }
    // One unreadable record must not keep the others from being read.
    try {
      if (Record.Key.starts_with(WorkerPrefix))
        Workers.push_back(workerFrom(Record));
      else if (Record.Key.starts_with(JobPrefix))
        loadJob(Number, Owned, Record);
    } catch (const std::exception &Failure) {
      Owned.HasUnreadableJob |= Record.Key.starts_with(JobPrefix);
      reportUnreadable(Number, Record, Failure);
    }
  }
  // Of a finished job, the journal keeps only the progress.
  for (const KeyedRecord *Record : Progress)
    loadProgress(Number, Owned, *Record);
  for (const auto &[Id, Job] : Owned.Jobs)
    if (!Job->Progress.isFinished() && !Job->Unreadable) {
      Job->Progress.markUnfinishedTasksUnknown();
      Active_[Id] = Job;
    }
  if (WorkersRead_)
    WorkersRead_(Number, std::move(Workers));
  Owned.Ready = true;
  Owned.ReadyAt = Timers_.now();
  Owned.InheritedChanged = true;
  int TasksDone = 0;
  for (const auto &[Id, Job] : Owned.Jobs)
    TasksDone += Job->Progress.tasksDone();
  Events_.emit("jobs", "shard_open",
               {{"shard", Number},
                {"epoch", Owned.Epoch},
                {"jobs", Owned.Jobs.size()},
                {"tasks_done", TasksDone}});
}

void JobOwner::revoke(int Number) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end())
    return;
  for (const auto &[Id, Job] : It->second.Jobs)
    Active_.erase(Id);
  if (Quota_ != nullptr)
    Quota_->closeShard(Number);
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
    if (Outcome == JournalOutcome::Rejected) {
      Events_.emit("jobs", "worker_not_storable",
                   {{"shard", Number}, {"worker", Entry.Id}});
      co_return;
    }
    co_await Timers_.sleepFor(WorkerRecordRetryDelay);
  }
}

void JobOwner::deleteWorker(int Number, const std::string &Worker) {
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = WorkerPrefix + Worker});
  if (auto Journal = journalOf(Number))
    asio::co_spawn(Executor_,
                   deleteRecords(std::move(Journal), std::move(Records)),
                   asio::detached);
}

JobOwner::JobPointer JobOwner::findJob(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  if (It == Shards_.end())
    return nullptr;
  const auto Job = It->second.Jobs.find(Id);
  return Job == It->second.Jobs.end() ? nullptr : Job->second;
}

JobOwner::OwnedShard *JobOwner::readyShard(const std::string &Id) {
  const auto It = Shards_.find(Map_.shardOf(Id));
  return It == Shards_.end() || !It->second.Ready ? nullptr : &It->second;
}

asio::awaitable<JournalOutcome>
JobOwner::write(JournalPointer Journal, std::vector<KeyedRecord> Records) {
  co_return co_await Journal->write(std::move(Records),
                                    Timers_.now() + Options_.WriteTimeout);
}

asio::awaitable<int> JobOwner::submit(JobSpec Spec) {
  OwnedShard *Owned = readyShard(Spec.Id);
  if (Owned == nullptr)
    co_return StatusUnavailable;
  const std::string Id = Spec.Id;
  const int Number = Map_.shardOf(Id);
  JobPointer Job = findJob(Id);
  if (Job && Job->Accepted)
    co_return StatusOk;
  if (Owned->Journal->isUnavailable())
    co_return Job && Job->MayBeStored ? StatusTimeout : StatusUnavailable;
  // A repeated submission writes the same record again.
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = JobPrefix + Id,
                     .Value = json(Job ? Job->Progress.spec() : Spec).dump()});
  if (!Owned->Journal->allows(Records))
    co_return StatusTooLarge;
  if (!Job) {
    if (Owned->Jobs.size() >= Options_.MaximumJobsPerShard)
      co_return StatusUnavailable;
    Job = std::make_shared<OwnedJob>(std::move(Spec), Owned->Journal);
    Job->Shard = Number;
    Job->AcceptedAt = Timers_.now();
    Owned->Jobs[Id] = Job;
  }
  if (!Job->Accepted) {
    // The dispatcher can ask for advice while the journal write is in progress.
    Active_[Id] = Job;
    if (StepsReady_)
      StepsReady_();
  }
  ++Job->PendingSubmissions;
  const JournalOutcome Outcome = co_await Job->Journal->write(
      std::move(Records), Timers_.now() + Options_.WriteTimeout, true);
  --Job->PendingSubmissions;
  Job->MayBeStored = Job->MayBeStored || Outcome == JournalOutcome::Unknown;
  if (Outcome == JournalOutcome::Written && !Job->Accepted) {
    Job->Accepted = true;
    if (StepsReady_)
      StepsReady_();
  }
  // This process may have given up the shard during the write.
  if (!Job->Accepted && Job->PendingSubmissions == 0 && findJob(Id) == Job) {
    Active_.erase(Id);
    if (!Job->MayBeStored)
      Shards_.at(Number).Jobs.erase(Id);
  }
  if (Job->Accepted)
    co_return StatusOk;
  co_return Job->MayBeStored ? StatusTimeout : statusOf(Outcome);
}

asio::awaitable<int> JobOwner::cancel(std::string Id) {
  if (readyShard(Id) == nullptr)
    co_return StatusUnavailable;
  const JobPointer Job = findJob(Id);
  // Its submission is in progress or has an unknown outcome, or its progress is
  // not known.
  if (Job && (!Job->Accepted || Job->Unreadable))
    co_return StatusUnavailable;
  if (!Job) {
    const int Number = Map_.shardOf(Id);
    // A later owner of the shard may have accepted the job.
    co_return co_await confirmOwnership(Number, Shards_.at(Number).Epoch)
        ? StatusGone
        : StatusUnavailable;
  }
  if (!Job->Progress.isFinished()) {
    Events_.emit("jobs", "cancelled", {{"job", Id}});
    applyEffect(Job, Job->Progress.cancel(Timers_.now()));
  }
  std::vector<JobPointer> Changed{Job};
  co_await writeProgress(Job->Journal, std::move(Changed));
  co_return Job->FinalStateWritten ? StatusOk : StatusTimeout;
}

asio::awaitable<JobStateReply> JobOwner::confirmedState(std::string Id) {
  JobStateReply Reply = state(Id);
  const int Number = Map_.shardOf(Id);
  if (Reply.Status == StatusGone &&
      !co_await confirmOwnership(Number, Shards_.at(Number).Epoch))
    Reply.Status = StatusUnavailable;
  co_return Reply;
}

JobStateReply JobOwner::state(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  if (It == Shards_.end() || !It->second.Ready)
    return {.Status = StatusUnavailable};
  const JobPointer Job = findJob(Id);
  if (!Job)
    return {.Status = StatusGone};
  if (!Job->Accepted || Job->Unreadable)
    return {.Status = StatusUnavailable};
  JobState Reported = Job->Progress.state();
  // A final state is reported only once it is in the journal.
  if (Job->Progress.isFinished() && !Job->FinalStateWritten)
    Reported = JobState::Running;
  return {.Status = StatusOk, .State = nameOf(Reported)};
}

void JobOwner::applyEffect(const JobPointer &Job,
                           const ProgressEffect &Effect) {
  if (Effect.MustPersist)
    ++Job->Version;
  if (Effect.CompletedOccurrence)
    Job->forgetOccurrence(*Effect.CompletedOccurrence);
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
  if (!Effect.Stop.empty() && StopRuns_)
    StopRuns_(Effect.Stop);
  if (Effect.Applied && StepsReady_)
    StepsReady_();
}

asio::awaitable<void> JobOwner::writeProgress(JournalPointer Journal,
                                              std::vector<JobPointer> Jobs,
                                              Clock::time_point Deadline) {
  std::vector<ProgressWrite> Parts;
  std::vector<asio::awaitable<void>> Writes;
  std::unordered_set<const OwnedJob *> Seen;
  std::size_t Bytes = 0;
  for (const JobPointer &Job : Jobs) {
    if (Job->WrittenVersion == Job->Version || !Seen.insert(Job.get()).second)
      continue;
    if (mustAwaitPendingWrites(*Job)) {
      Writes.push_back(writeAfterPending(Journal, Job, Deadline));
      continue;
    }
    auto Records = progressRecords(*Journal, Job);
    const std::size_t JobBytes = StoreLimits::sizeOf(Records);
    Bytes += JobBytes;
    if (Parts.empty() || Bytes > Options_.MaximumWriteBytes) {
      Parts.emplace_back().Deadline = Deadline;
      Bytes = JobBytes;
    }
    std::ranges::move(Records, std::back_inserter(Parts.back().Records));
    Parts.back().Versions.emplace_back(Job, Job->Version);
    ++Job->PendingWrites;
    Job->PendingVersion = Job->Version;
    Job->PendingBytes = JobBytes;
  }
  for (ProgressWrite &Part : Parts)
    Writes.push_back(writeTogether(Journal, std::move(Part)));
  co_await waitForAll(Executor_, std::move(Writes));
}

asio::awaitable<void> JobOwner::writeAfterPending(JournalPointer Journal,
                                                  JobPointer Job,
                                                  Clock::time_point Deadline) {
  const std::uint64_t Version = Job->Version;
  if (!Job->WriteEnded)
    Job->WriteEnded = std::make_unique<Notifier>(Executor_);
  while (Job->WrittenVersion < Version && mustAwaitPendingWrites(*Job)) {
    const auto Left = Deadline - Timers_.now();
    if (Left <= Clock::duration::zero())
      co_return;
    co_await Job->WriteEnded->waitFor(Timers_, Left);
  }
  if (Job->WrittenVersion >= Version)
    co_return;
  std::vector<JobPointer> One{Job};
  co_await writeProgress(std::move(Journal), std::move(One), Deadline);
}

std::vector<KeyedRecord> JobOwner::progressRecords(const ShardJournal &Journal,
                                                   const JobPointer &Job) {
  const std::string &Id = Job->Progress.spec().Id;
  std::vector<KeyedRecord> Records;
  if (!Job->Progress.isFinished()) {
    Records.push_back({.Key = ProgressPrefix + Id,
                       .Value = Job->Progress.durableState().dump()});
    if (Journal.allows(Records))
      return Records;
    Records.clear();
    failUnstorable(Job);
  }
  json Final = {{"state", nameOf(Job->Progress.state())},
                {"occurrences", 0},
                {"steps", json::array()}};
  const JobSpec &Spec = Job->Progress.spec();
  if (!Spec.Account.empty()) {
    // A later owner counts the runs that are still being stopped.
    Resources Largest = Job->LargestDemand;
    for (const StepSpec &Step : Spec.Steps)
      Largest = maximumOf(Largest, Step.Demand);
    Final[AccountField] = Spec.Account;
    Final[LargestDemandField] = Largest;
    Job->StoppingDemand = stoppingDemand(*Job);
    if (Job->StoppingDemand)
      Final[StoppingDemandField] = *Job->StoppingDemand;
  }
  Records.push_back({.Key = ProgressPrefix + Id, .Value = Final.dump()});
  Records.push_back({.Key = JobPrefix + Id});
  return Records;
}

void JobOwner::failUnstorable(const JobPointer &Job) {
  Events_.emit("jobs", "progress_not_storable",
               {{"job", Job->Progress.spec().Id}, {"shard", Job->Shard}});
  applyEffect(Job, Job->Progress.fail());
}

asio::awaitable<void> JobOwner::writeTogether(JournalPointer Journal,
                                              ProgressWrite Write) {
  const JournalOutcome Outcome =
      co_await Journal->write(std::move(Write.Records), Write.Deadline);
  for (const auto &[Job, Version] : Write.Versions) {
    --Job->PendingWrites;
    if (Outcome == JournalOutcome::Written)
      Job->WrittenVersion = std::max(Job->WrittenVersion, Version);
    if (Job->WriteEnded)
      Job->WriteEnded->notify();
  }
  if (Outcome != JournalOutcome::Written) {
    Events_.emit("jobs", "progress_not_stored",
                 {{"shard", Journal->shard()},
                  {"epoch", Journal->epoch()},
                  {"jobs", Write.Versions.size()},
                  {"outcome", nameOf(Outcome)}});
    if (Outcome != JournalOutcome::Rejected)
      co_return;
    // The limits of the store are smaller than the settings say. The next write
    // of a job that fails here contains its final state, which is short.
    if (Write.Versions.size() == 1 &&
        !Write.Versions.front().first->Progress.isFinished())
      failUnstorable(Write.Versions.front().first);
    else if (Write.Versions.size() > 1)
      for (const auto &[Job, Version] : Write.Versions) {
        std::vector<JobPointer> One{Job};
        co_await writeProgress(Journal, std::move(One));
      }
    co_return;
  }
  for (const auto &[Job, Version] : Write.Versions) {
    if (Job->WrittenVersion == Job->Version)
      Job->MustStore = false;
    Job->FinalStateWritten =
        Job->Progress.isFinished() && Job->WrittenVersion == Job->Version;
  }
}

asio::awaitable<void>
JobOwner::confirmUnknownEnds(JournalPointer Journal,
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

ProgressEffect JobOwner::endRun(OwnedJob &Job, const RunId &Run,
                                RunOutcome Outcome,
                                const std::string &Checkpoint) {
  uncountRun(Run);
  ProgressEffect Effect =
      Job.Progress.markEnded(Run, Outcome, Checkpoint, Timers_.now());
  if (Effect.Applied && RunEnded_)
    RunEnded_(Outcome);
  return Effect;
}

JobOwner::JobPointer JobOwner::applyEnd(const EndReport &End) {
  const auto Task = TaskName::parse(End.Task);
  if (!Task)
    return nullptr;
  const RunId Run{.Task = *Task, .Run = End.Run, .Worker = End.Worker};
  const JobPointer Job = findJob(Task->Job);
  if (!Job) {
    uncountRun(Run);
    return nullptr;
  }
  const ProgressEffect Effect =
      endRun(*Job, Run, runOutcomeFromName(End.How), End.Checkpoint);
  if (Effect.Applied)
    Events_.emit("jobs", "run_ended",
                 {{"task", End.Task},
                  {"run", End.Run},
                  {"worker", End.Worker},
                  {"how", End.How},
                  {"epoch", Job->Journal->epoch()}});
  else if (EndWithoutEffect_)
    EndWithoutEffect_();
  applyEffect(Job, Effect);
  return Job;
}

void JobOwner::suspectRun(const RunReference &Suspect) {
  const auto Task = TaskName::parse(Suspect.Task);
  if (!Task || readyShard(Task->Job) == nullptr)
    return;
  if (const JobPointer Job = findJob(Task->Job))
    setCrashPossible(
        Job, {.Task = *Task, .Run = Suspect.Run, .Worker = Suspect.Worker},
        true);
}

asio::awaitable<EndsReply> JobOwner::acceptEnds(EndsRequest Request) {
  struct UnconfirmedEnds {
    std::vector<KeyedRecord> Records;
    std::shared_ptr<bool> Confirmed = std::make_shared<bool>(false);
  };
  std::map<JournalPointer, std::vector<JobPointer>> Changed;
  std::map<JournalPointer, UnconfirmedEnds> UnknownEnds;
  /// For each end its job, or for an unknown job whether the end is accepted.
  std::vector<std::pair<JobPointer, std::shared_ptr<bool>>> Answers;
  for (const RunReference &Suspect : Request.Suspects)
    suspectRun(Suspect);
  for (const EndReport &End : Request.Ends) {
    const auto Task = TaskName::parse(End.Task);
    const OwnedShard *Owned = Task ? readyShard(Task->Job) : nullptr;
    const JobPointer Job = Owned != nullptr ? applyEnd(End) : nullptr;
    auto Accepted = std::make_shared<bool>(!Task);
    if (Job) {
      if (Job->WrittenVersion != Job->Version)
        Changed[Job->Journal].push_back(Job);
    } else if (Owned != nullptr) {
      UnconfirmedEnds &Unknown = UnknownEnds[Owned->Journal];
      Unknown.Records.push_back({.Key = ProgressPrefix + Task->Job});
      Accepted = Unknown.Confirmed;
    }
    Answers.emplace_back(Job, std::move(Accepted));
  }
  std::vector<asio::awaitable<void>> Writes;
  Writes.reserve(Changed.size() + UnknownEnds.size());
  for (auto &[Journal, Jobs] : Changed)
    Writes.push_back(writeProgress(Journal, std::move(Jobs)));
  for (auto &[Journal, Unknown] : UnknownEnds)
    Writes.push_back(confirmUnknownEnds(Journal, std::move(Unknown.Records),
                                        Unknown.Confirmed));
  co_await waitForAll(Executor_, std::move(Writes));
  EndsReply Reply;
  for (const auto &[Job, Accepted] : Answers) {
    Reply.Accepted.push_back(Job ? isEndSettled(*Job) : *Accepted);
    if (Job && Reply.Accepted.back())
      Reply.Owners.push_back(
          {.Shard = Job->Shard, .Epoch = Job->Journal->epoch()});
  }
  co_return Reply;
}

bool JobOwner::isTakeoverComplete(const OwnedJob &Job) const {
  const auto It = Shards_.find(Job.Shard);
  const bool Current = It != Shards_.end() && It->second.Journal == Job.Journal;
  return Current && (It->second.Resolved || !Job.Inherited);
}

bool JobOwner::isEndSettled(const OwnedJob &Job) const {
  // The holder of the worker forgets an accepted end. A previous owner that has
  // not noticed the takeover would take the run for lost and start the task
  // again on a worker whose holder does not know of the takeover either.
  return Job.WrittenVersion == Job.Version && isTakeoverComplete(Job);
}

void JobOwner::markOrdered(const RunId &Run) {
  if (const JobPointer Job = findJob(Run.Task.Job))
    Job->Progress.restartPhaseTimer(Run, Timers_.now());
  confirmRun(Run);
}

void JobOwner::markStarted(const RunId &Run) {
  confirmRun(Run);
  if (const JobPointer Job = findJob(Run.Task.Job))
    applyEffect(Job, Job->Progress.markRunning(Run, {}, Timers_.now()));
}

void JobOwner::countRun(const OwnedJob &Job, const RunId &Run) {
  const JobSpec &Spec = Job.Progress.spec();
  if (Quota_ == nullptr || Spec.Account.empty())
    return;
  const auto Step = static_cast<std::size_t>(Run.Task.Step);
  Quota_->beginRun(Job.Shard, Spec.Account, Run,
                   Step < Spec.Steps.size() ? Spec.Steps[Step].Demand
                                            : Job.LargestDemand,
                   Timers_.now(), Job.Inherited);
}

void JobOwner::confirmRun(const RunId &Run) {
  if (Quota_ != nullptr)
    Quota_->confirmRun(Map_.shardOf(Run.Task.Job), Run, Timers_.now());
}

void JobOwner::uncountRun(const RunId &Run) {
  if (Quota_ != nullptr)
    Quota_->endRun(Map_.shardOf(Run.Task.Job), Run);
}

std::optional<Clock::time_point> JobOwner::openedAt(int Shard) const {
  const auto It = Shards_.find(Shard);
  return It != Shards_.end() && It->second.Ready
             ? std::optional(It->second.ReadyAt)
             : std::nullopt;
}

bool JobOwner::hasTakeoverSince(Clock::time_point Since) const {
  return std::ranges::any_of(Shards_, [Since](const auto &NumberAndShard) {
    const OwnedShard &Owned = NumberAndShard.second;
    return Owned.Ready && !Owned.Resolved && Owned.ReadyAt >= Since;
  });
}

std::vector<int> JobOwner::shardsWithInheritedDemand() const {
  std::vector<int> Found;
  for (const auto &[Number, Owned] : Shards_)
    if (Owned.Ready && !Owned.Resolved && !Owned.HasUnreadableJob)
      Found.push_back(Number);
  return Found;
}

void JobOwner::updateInheritedDemand() {
  if (Quota_ == nullptr)
    return;
  for (auto &[Number, Owned] : Shards_)
    if (Owned.Ready && !Owned.Resolved &&
        std::exchange(Owned.InheritedChanged, false))
      Quota_->setInherited(Number, inheritedDemand(Owned));
}

InheritedDemand JobOwner::inheritedDemand(const OwnedShard &Owned) const {
  InheritedDemand Demand{.OutOfReach = workersOutOfReach(Owned)};
  for (const auto &[Id, Job] : Owned.Jobs) {
    const std::string &Account = Job->Progress.spec().Account;
    if (!Job->Inherited || Account.empty())
      continue;
    // Of a job that was finished before the takeover, there is no progress.
    const std::optional<Resources> Unseen = Job->Progress.hasUnknownTasks()
                                                ? Job->Progress.unseenDemand()
                                                : Job->StoppingDemand;
    if (Unseen && !Job->Unreadable)
      Demand.UnseenTasks[Account] =
          plusSaturated(Demand.UnseenTasks[Account], *Unseen);
    else
      Demand.UnboundedAccounts.insert(Account);
  }
  return Demand;
}

std::optional<Resources> JobOwner::stoppingDemand(const OwnedJob &Job) const {
  if (Quota_ == nullptr)
    return std::nullopt;
  const auto Unseen = isTakeoverComplete(Job) ? std::optional(Resources{})
                                              : Job.Progress.unseenDemand();
  if (!Unseen)
    return std::nullopt;
  return plusSaturated(*Unseen,
                       Quota_->demandOf(Job.Shard, Job.Progress.spec().Id));
}

bool JobOwner::hasOutdatedFinalState(const OwnedJob &Job) const {
  if (!Job.FinalStateWritten || Job.Progress.spec().Account.empty() ||
      Job.StoppingDemand == Resources{} || !isTakeoverComplete(Job))
    return false;
  return Quota_ != nullptr &&
         Quota_->demandOf(Job.Shard, Job.Progress.spec().Id).empty();
}

void JobOwner::invalidateTicket(const RunId &Run) {
  if (const JobPointer Job = findJob(Run.Task.Job))
    Job->Advice[{Run.Task.Occurrence, Run.Task.Step}].invalidateTicket(
        Run.Worker);
}

void JobOwner::markRejected(const RunId &Run, Clock::time_point NotBefore) {
  uncountRun(Run);
  const JobPointer Job = findJob(Run.Task.Job);
  if (!Job)
    return;
  Job->NotBefore[{Run.Task.Occurrence, Run.Task.Step}] = NotBefore;
  applyEffect(Job, endRun(*Job, Run, RunOutcome::Rejected, {}));
}

void JobOwner::markNotStarted(const std::vector<RunId> &Members,
                              Clock::time_point NotBefore) {
  for (const RunId &Run : Members)
    uncountRun(Run);
  const TaskName &Task = Members.front().Task;
  const JobPointer Job = findJob(Task.Job);
  if (!Job)
    return;
  Job->NotBefore[{Task.Occurrence, Task.Step}] = NotBefore;
  const ProgressEffect Effect =
      Job->Progress.markNotStarted(Members, Timers_.now());
  if (Effect.Applied && RunEnded_)
    for (std::size_t I = 0; I < Members.size(); ++I)
      RunEnded_(RunOutcome::Rejected);
  applyEffect(Job, Effect);
}

void JobOwner::applyRunReport(const RunReport &Report) {
  const auto Task = TaskName::parse(Report.Task);
  if (!Task || readyShard(Task->Job) == nullptr)
    return;
  const RunId Run{.Task = *Task, .Run = Report.Run, .Worker = Report.Worker};
  const JobPointer Job = findJob(Task->Job);
  if (Job && !Report.How.empty())
    // The end is accepted later, when it is delivered. It is applied here
    // already, so that a new owner does not start the task again before that.
    applyEffect(Job, endRun(*Job, Run, runOutcomeFromName(Report.How),
                            Report.Checkpoint));
  else if (Job)
    adopt(Job, Run, Report);
  else if (Report.How.empty() && StopRuns_)
    StopRuns_({Run});
}

void JobOwner::adopt(const JobPointer &Job, const RunId &Run,
                     const RunReport &Report) {
  // Also a run that is refused, or of a finished job.
  countRun(*Job, Run);
  const ProgressEffect Effect = Job->Progress.markRunning(
      Run, Report.Checkpoint, Timers_.now(), Report.Begun);
  if (Effect.Applied || !Effect.Stop.empty())
    Events_.emit("jobs", Effect.Applied ? "run_adopted" : "run_refused",
                 {{"task", Run.Task.toString()},
                  {"run", Run.Run},
                  {"worker", Run.Worker}});
  applyEffect(Job, Effect);
  setCrashPossible(Job, Run, Report.CrashPossible);
}

void JobOwner::setCrashPossible(const JobPointer &Job, const RunId &Run,
                                bool Possible) {
  if (!Job->Progress.setCrashPossible(Run, Possible))
    return;
  ++Job->Version;
  storeProgress(Job);
}

void JobOwner::storeProgress(const JobPointer &Job) {
  Job->MustStore = true;
  asio::co_spawn(Executor_, writeProgress(Job->Journal, {Job}), asio::detached);
}

void JobOwner::applyExchange(
    const std::string &Member, const ExchangeReply &Reply,
    Clock::time_point SentAt,
    const std::function<bool(const RunId &)> &HasPendingOrder) {
  for (const RunReport &Report : Reply.Runs)
    applyRunReport(Report);
  markAbsentRunsLost(Reply, SentAt, HasPendingOrder);
  recordReports(Member, Reply, SentAt);
}

void JobOwner::markAbsentRunsLost(
    const ExchangeReply &Reply, Clock::time_point SentAt,
    const std::function<bool(const RunId &)> &HasPendingOrder) {
  std::set<std::string> Resolved;
  for (const WorkerLoad &Worker : Reply.Workers)
    if (Worker.Resolved)
      Resolved.insert(Worker.Id);
  std::set<std::string> Present;
  for (const RunReport &Report : Reply.Runs)
    Present.insert(Report.Task);
  const auto IsAbsent = [&](const RunId &Run, Clock::time_point KnownSince) {
    if (!Resolved.contains(Run.Worker) || KnownSince >= SentAt ||
        HasPendingOrder(Run))
      return false;
    return !Present.contains(Run.Task.toString()) ||
           std::ranges::none_of(Reply.Runs, [&](const RunReport &Report) {
             return isSameRun(Report, Run);
           });
  };
  std::vector<RunId> Absent;
  for (const auto &[Id, Job] : Active_) {
    for (RunId &Run : Job->Progress.activeRuns())
      if (IsAbsent(Run, Job->Progress.find(Run.Task)->PhaseSince))
        Absent.push_back(std::move(Run));
    for (auto &[Run, Since] : Job->Progress.refusedRuns())
      if (IsAbsent(Run, Since))
        Absent.push_back(std::move(Run));
  }
  if (Quota_ != nullptr)
    Quota_->endRuns(IsAbsent);
  for (const RunId &Run : Absent)
    if (const JobPointer Job = findJob(Run.Task.Job)) {
      Events_.emit("jobs", "run_absent",
                   {{"task", Run.Task.toString()},
                    {"run", Run.Run},
                    {"worker", Run.Worker}});
      const ProgressEffect Effect =
          endRun(*Job, Run, Job->Progress.outcomeIfAbsent(Run), {});
      applyEffect(Job, Effect);
      if (Effect.MustPersist)
        storeProgress(Job);
    }
}

void JobOwner::recordReports(const std::string &Member,
                             const ExchangeReply &Reply,
                             Clock::time_point SentAt) {
  std::set<int> Unresolved;
  for (const WorkerLoad &Worker : Reply.Workers)
    if (!Worker.Resolved)
      Unresolved.insert(Map_.shardOf(Worker.Id));
  for (auto &[Number, Owned] : Shards_) {
    if (!Owned.Ready || Owned.Resolved || SentAt <= Owned.ReadyAt)
      continue;
    for (const HeldShard &Entry : Reply.Held) {
      if (!Entry.Ready)
        continue;
      if (!Unresolved.contains(Entry.Shard))
        Owned.Reported[Entry.Shard] = Member;
      applyWorkersReport(Owned, Entry.Shard, Member, Reply);
    }
    markListedReports(Owned);
    resolveIfAllReported(Number, Owned);
    const bool AllReported =
        static_cast<int>(Owned.Reported.size()) == Map_.count();
    if (!Owned.Resolved && AllReported && HolderListNeeded_)
      HolderListNeeded_();
  }
}

void JobOwner::applyWorkersReport(OwnedShard &Owned, int Shard,
                                  const std::string &Member,
                                  const ExchangeReply &Reply) const {
  std::map<std::string, std::optional<Resources>> OutOfReach;
  for (const WorkerLoad &Worker : Reply.Workers) {
    if (Worker.Resolved || Map_.shardOf(Worker.Id) != Shard)
      continue;
    const auto Capacity = Reply.OutOfReach.find(Worker.Id);
    OutOfReach[Worker.Id] = Capacity == Reply.OutOfReach.end()
                                ? std::nullopt
                                : std::optional(Capacity->second);
  }
  WorkersReport &Known = Owned.WorkersReports[Shard];
  if (!Known.IsListed) {
    Known.Member = Member;
    Known.OutOfReach = std::move(OutOfReach);
    return;
  }
  // All runs on the others have been reported.
  std::erase_if(Known.OutOfReach, [&OutOfReach](const auto &WorkerAndCapacity) {
    return !OutOfReach.contains(WorkerAndCapacity.first);
  });
}

std::optional<std::map<std::string, Resources>>
JobOwner::workersOutOfReach(const OwnedShard &Owned) const {
  std::map<std::string, Resources> Found;
  for (int Shard = 0; Shard < Map_.count(); ++Shard) {
    const auto It = Owned.WorkersReports.find(Shard);
    if (It == Owned.WorkersReports.end() || !It->second.IsListed)
      return std::nullopt;
    for (const auto &[Worker, Capacity] : It->second.OutOfReach) {
      if (!Capacity || Found.size() == MaximumWorkersInReport)
        return std::nullopt;
      Found.emplace(Worker, *Capacity);
    }
  }
  return Found;
}

void JobOwner::handleHolderList() {
  for (auto &[Number, Owned] : Shards_) {
    if (!Owned.Ready || Owned.Resolved)
      continue;
    markListedReports(Owned);
    resolveIfAllReported(Number, Owned);
  }
}

void JobOwner::markListedReports(OwnedShard &Owned) const {
  for (auto &[Shard, Report] : Owned.WorkersReports)
    Report.IsListed =
        Report.IsListed ||
        (HolderCheck_ && HolderCheck_(Shard, Report.Member, Owned.ReadyAt));
  Owned.InheritedChanged = true;
}

void JobOwner::resolveIfAllReported(int Number, OwnedShard &Owned) {
  // A process that has lost its shard without noticing sends stale reports.
  // Only reports of holders that the store has listed since the takeover count.
  const bool Complete =
      static_cast<int>(Owned.Reported.size()) == Map_.count() &&
      std::ranges::all_of(Owned.Reported, [&](const auto &Report) {
        return HolderCheck_ &&
               HolderCheck_(Report.first, Report.second, Owned.ReadyAt);
      });
  if (!Complete)
    return;
  Owned.Resolved = true;
  if (Quota_ != nullptr)
    Quota_->setResolved(Number);
  resolveUnknownRuns(Number, Owned);
}

void JobOwner::reportWaitingTakeovers() {
  const Clock::time_point Now = Timers_.now();
  for (auto &[Number, Owned] : Shards_) {
    const auto Waiting = Now - Owned.ReadyAt;
    if (!Owned.Ready || Owned.Resolved || Waiting < TakeoverEventInterval ||
        Now < Owned.NextWaitEventAt)
      continue;
    Owned.NextWaitEventAt = Now + TakeoverEventInterval;
    std::vector<int> Missing;
    std::vector<std::string> Workers;
    for (int Shard = 0; Shard < Map_.count(); ++Shard) {
      if (Owned.Reported.contains(Shard))
        continue;
      Missing.push_back(Shard);
      for (const auto &[Worker, Capacity] :
           Owned.WorkersReports[Shard].OutOfReach)
        Workers.push_back(Worker);
    }
    const std::size_t OutOfReach = Workers.size();
    Workers.resize(std::min(OutOfReach, MaximumWorkersInEvent));
    Events_.emit("jobs", "takeover_waits",
                 {{"shard", Number},
                  {"epoch", Owned.Epoch},
                  {"waiting_ms", toMilliseconds(Waiting)},
                  {"shards_not_reported", Missing},
                  {"workers_out_of_reach", OutOfReach},
                  {"workers", Workers}});
  }
}

void JobOwner::resolveUnknownRuns(int Number, OwnedShard &Owned) {
  std::vector<JobPointer> Jobs;
  for (const auto &[Id, Job] : Owned.Jobs)
    if (Job->Progress.hasUnknownTasks() && !Job->Progress.isFinished())
      Jobs.push_back(Job);
  Events_.emit("jobs", "resolved",
               {{"shard", Number},
                {"epoch", Owned.Epoch},
                {"jobs", Jobs.size()},
                {"took_ms", toMilliseconds(Timers_.now() - Owned.ReadyAt)}});
  for (const JobPointer &Job : Jobs) {
    ProgressEffect Effect = Job->Progress.resolveUnknownTasks(Timers_.now());
    // Lets applyEffect() report that steps may have become ready.
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
                       .Preemptible = isPreemptible(Step),
                       .EstimatedMs = Step.EstimatedDuration.count(),
                       .LongRunning = Step.LongRunning,
                       .Gang = Step.Gang});
  }
  return Demands;
}

bool JobOwner::isOwnerOf(const std::string &Id) const {
  const auto It = Shards_.find(Map_.shardOf(Id));
  return It != Shards_.end() && It->second.Ready;
}

std::vector<ShardEpoch> JobOwner::heldShards() const {
  std::vector<ShardEpoch> All;
  for (const auto &[Number, Owned] : Shards_)
    if (Owned.Ready)
      All.push_back({.Shard = Number, .Epoch = Owned.Epoch});
  return All;
}

std::optional<std::uint64_t> JobOwner::epochOf(int Number) const {
  const auto It = Shards_.find(Number);
  return It == Shards_.end() ? std::nullopt : std::optional(It->second.Epoch);
}

bool JobOwner::isOwnershipConfirmedSince(int Number,
                                         Clock::time_point Since) const {
  const auto Journal = journalOf(Number);
  return Journal && Journal->confirmedAt() > Since;
}

std::optional<Clock::time_point>
JobOwner::ownershipConfirmedAt(int Number, std::uint64_t Epoch) const {
  const auto Journal = journalOf(Number);
  if (!Journal || Journal->epoch() != Epoch ||
      Journal->confirmedAt() == Clock::time_point{})
    return std::nullopt;
  return Journal->confirmedAt();
}

void JobOwner::requestOwnershipConfirmation(int Number) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || !It->second.Ready || It->second.Confirming)
    return;
  It->second.Confirming = true;
  asio::co_spawn(Executor_, runOwnershipConfirmation(Number, It->second.Epoch),
                 asio::detached);
}

asio::awaitable<bool> JobOwner::confirmOwnership(int Number,
                                                 std::uint64_t Epoch) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || It->second.Epoch != Epoch)
    co_return false;
  const auto Journal = It->second.Journal;
  std::vector<KeyedRecord> Records;
  Records.push_back({.Key = ConfirmationKey});
  co_return co_await write(Journal, std::move(Records)) ==
      JournalOutcome::Written;
}

asio::awaitable<void> JobOwner::runOwnershipConfirmation(int Number,
                                                         std::uint64_t Epoch) {
  co_await confirmOwnership(Number, Epoch);
  const auto It = Shards_.find(Number);
  if (It == Shards_.end() || It->second.Epoch != Epoch)
    co_return;
  It->second.Confirming = false;
  if (StepsReady_)
    StepsReady_();
}

std::vector<ShardWaitingJobs> JobOwner::waitingJobs() const {
  std::map<int, ShardWaitingJobs> ByShard;
  for (const auto &[Number, Owned] : Shards_)
    if (Owned.Ready)
      ByShard[Number] = {.Shard = Number, .Epoch = Owned.Epoch};
  for (const auto &[Id, Job] : Active_) {
    const JobSpec &Spec = Job->Progress.spec();
    if (!Job->Progress.hasStarted() && Spec.Repetitions == 0)
      ++ByShard[Job->Shard].Jobs[Spec.Queue.Name];
  }
  std::vector<ShardWaitingJobs> Reports;
  Reports.reserve(ByShard.size());
  for (auto &[Number, Report] : ByShard)
    Reports.push_back(std::move(Report));
  return Reports;
}

std::vector<AccountLoad> JobOwner::accountLoads() const {
  std::map<std::pair<int, std::string>, AccountLoad> Sums;
  for (const auto &[Id, Job] : Active_) {
    // A job that is being written counts, as it was admitted already.
    if (!Job->Accepted && Job->PendingSubmissions == 0)
      continue;
    const JobSpec &Spec = Job->Progress.spec();
    const JobLoad Load = Job->Progress.load();
    Sums[{Spec.Queue.Priority, Spec.Account}].add(
        {.Running = Load.Running,
         .WaitingDemand = Load.WaitingDemand,
         .WaitingWork = Load.WaitingWork});
  }
  std::vector<AccountLoad> Loads;
  Loads.reserve(Sums.size());
  for (auto &[Key, Sum] : Sums) {
    Sum.Priority = Key.first;
    Sum.Account = Key.second;
    Loads.push_back(std::move(Sum));
  }
  return Loads;
}

void JobOwner::tick() {
  reportWaitingTakeovers();
  const auto SinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
      Timers_.wallNow().time_since_epoch());
  bool Added = false;
  for (const auto &[Id, Job] : Active_)
    Added |= Job->Progress.spec().Repetitions > 0 &&
             Job->Progress.addDueOccurrences(SinceEpoch);
  if (Added && StepsReady_)
    StepsReady_();
  for (auto &[Number, Owned] : Shards_) {
    std::vector<KeyedRecord> Dropped;
    std::vector<JobPointer> Unwritten;
    std::erase_if(Owned.Jobs, [&](const auto &Entry) {
      OwnedJob &Job = *Entry.second;
      if (!Job.MustStore && hasOutdatedFinalState(Job)) {
        ++Job.Version;
        Job.MustStore = true;
      }
      if (Job.MustStore ||
          (Job.Progress.isFinished() && !Job.FinalStateWritten))
        Unwritten.push_back(Entry.second);
      if (!Job.FinalStateWritten ||
          Timers_.now() - Job.FinishedAt < Options_.FinishedJobRetention)
        return false;
      Dropped.push_back({.Key = ProgressPrefix + Entry.first});
      return true;
    });
    if (!Unwritten.empty())
      asio::co_spawn(Executor_,
                     writeProgress(Owned.Journal, std::move(Unwritten)),
                     asio::detached);
    if (!Dropped.empty())
      asio::co_spawn(Executor_,
                     deleteRecords(Owned.Journal, std::move(Dropped)),
                     asio::detached);
  }
}

asio::awaitable<void>
JobOwner::deleteRecords(JournalPointer Journal,
                        std::vector<KeyedRecord> Records) {
  co_await write(std::move(Journal), std::move(Records));
}

} // namespace hickory
