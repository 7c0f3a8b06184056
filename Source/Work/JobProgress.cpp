#include "Work/JobProgress.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

namespace hickory {

namespace {

/// Starts are not stored, so a new owner skips this many run numbers, which the
/// previous owner may have used.
constexpr int RunGapAfterTakeover = 16;
/// Number of tasks in open occurrences that have not started up to which
/// another one is opened. An occurrence waits no longer behind this many, as
/// all occurrences of a job need the same.
constexpr int MaximumUnstartedTasks = 64;
/// Size of the stored state of the open occurrences up to which another one is
/// opened. It leaves space for failed runs in a record of the store.
constexpr std::size_t MaximumOpenBytes = 160U << 10U;
constexpr std::size_t BytesPerOccurrence = 8;
constexpr std::size_t BytesPerStep = 16; ///< And one for each task.
/// A task that has run for this time does not crash its workers. Longer than it
/// takes to notice that a worker has crashed.
constexpr std::chrono::minutes SoundRunTime{1};

constexpr std::pair<RunOutcome, const char *> OutcomeNames[] = {
    {RunOutcome::Done, "done"},
    {RunOutcome::Failed, "failed"},
    {RunOutcome::Stopped, "stopped"},
    {RunOutcome::LeaseExpired, "lapsed"},
    {RunOutcome::GangAborted, "broken"},
    {RunOutcome::GangIncomplete, "alone"},
    {RunOutcome::Lost, "lost"},
    {RunOutcome::Rejected, "rejected"},
    {RunOutcome::Crashed, "crashed"},
    {RunOutcome::CrashSuspected, "crash_suspected"},
    {RunOutcome::CrashPossible, "crash_possible"}};

bool isActive(TaskPhase Phase) {
  return Phase == TaskPhase::Placing || Phase == TaskPhase::Running;
}

std::optional<CrashEvidence> evidenceOf(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Crashed:
    return CrashEvidence::Blamed;
  case RunOutcome::CrashSuspected:
    return CrashEvidence::Certain;
  case RunOutcome::CrashPossible:
    return CrashEvidence::Possible;
  default:
    return std::nullopt;
  }
}

/// Returns true if only a run that has begun can have this outcome. A worker
/// may never have executed the start of a lost, stopped or rejected run, or of
/// one that ended with a crash of the worker.
bool provesStart(RunOutcome Outcome) {
  return Outcome != RunOutcome::Lost && Outcome != RunOutcome::Stopped &&
         Outcome != RunOutcome::Rejected && !evidenceOf(Outcome);
}

/// Returns true if the run was not in the list, as an outcome may be reported
/// more than once.
bool addFailedRun(std::vector<FailedRun> &Runs, FailedRun New) {
  const bool Known = std::ranges::any_of(Runs, [&New](const FailedRun &Each) {
    return Each.Run == New.Run && (Each.Worker.empty() || New.Worker.empty() ||
                                   Each.Worker == New.Worker);
  });
  if (!Known)
    Runs.push_back(std::move(New));
  return !Known;
}

} // namespace

const char *nameOf(RunOutcome Outcome) {
  for (const auto &[Value, Name] : OutcomeNames)
    if (Value == Outcome)
      return Name;
  return "lost";
}

RunOutcome runOutcomeFromName(const std::string &Name) {
  for (const auto &[Value, Text] : OutcomeNames)
    if (Name == Text)
      return Value;
  return RunOutcome::Lost;
}

const char *nameOf(JobState State) {
  switch (State) {
  case JobState::Pending:
    return "pending";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "pending";
}

int *StepProgress::counterOf(TaskPhase Phase) {
  switch (Phase) {
  case TaskPhase::Unknown:
    return nullptr;
  case TaskPhase::Waiting:
    return &WaitingTasks;
  case TaskPhase::Placing:
  case TaskPhase::Running:
    return &ActiveTasks;
  case TaskPhase::Done:
    return &DoneTasks;
  }
  return nullptr;
}

void StepProgress::addTasks(int Count, TaskPhase Phase) {
  const bool MayRun = Phase == TaskPhase::Unknown;
  Tasks.resize(static_cast<std::size_t>(Count),
               {.Phase = Phase, .MayRunUnseen = MayRun});
  UnseenTasks += MayRun ? Count : 0;
  if (int *Counter = counterOf(Phase))
    *Counter += Count;
}

void StepProgress::setPhase(TaskProgress &Task, TaskPhase Phase) {
  if (int *Former = counterOf(Task.Phase))
    --*Former;
  if (int *Next = counterOf(Phase))
    ++*Next;
  Task.Phase = Phase;
  // That a gang is done does not show where its other members run.
  if (Phase != TaskPhase::Done)
    setMayRunUnseen(Task, Phase == TaskPhase::Unknown);
}

void StepProgress::setMayRunUnseen(TaskProgress &Task, bool MayRun) {
  if (Task.MayRunUnseen != MayRun)
    UnseenTasks += MayRun ? 1 : -1;
  Task.MayRunUnseen = MayRun;
}

JobProgress::JobProgress(JobSpec Spec)
    : Spec_(std::move(Spec)), Graph_(Spec_.Steps) {
  for (const StepSpec &Step : Spec_.Steps)
    TasksPerOccurrence_ += Step.Count;
  if (Spec_.Repetitions == 0)
    addDueOccurrences(std::chrono::milliseconds(0));
}

bool JobProgress::addDueOccurrences(std::chrono::milliseconds SinceEpoch) {
  bool Added = false;
  if (isFinished() || Opened_ == plannedOccurrences())
    return false;
  for (int Unstarted = unstartedOccurrences();
       Opened_ < plannedOccurrences() && mayOpenBeside(Unstarted);
       ++Unstarted) {
    if (Spec_.Repetitions > 0 && SinceEpoch < dueAt(Opened_))
      break;
    addOccurrence();
    Added = true;
  }
  return Added;
}

int JobProgress::unstartedOccurrences() const {
  return static_cast<int>(
      std::ranges::count_if(Occurrences_, [](const auto &NumberAndEntry) {
        return !NumberAndEntry.second.Started;
      }));
}

bool JobProgress::mayOpenBeside(int Unstarted) const {
  if (Occurrences_.empty())
    return true;
  const std::size_t Bytes = BytesPerOccurrence +
                            BytesPerStep * Spec_.Steps.size() +
                            static_cast<std::size_t>(TasksPerOccurrence_);
  return (Occurrences_.size() + 1) * Bytes <= MaximumOpenBytes &&
         (Unstarted == 0 ||
          (Unstarted + 1) * TasksPerOccurrence_ <= MaximumUnstartedTasks);
}

void JobProgress::closeUnstarted() {
  int Unstarted = unstartedOccurrences();
  while (Spec_.Repetitions > 0 && Unstarted > 1 &&
         Unstarted * TasksPerOccurrence_ > MaximumUnstartedTasks) {
    const auto Latest = std::prev(Occurrences_.end());
    const Occurrence &Entry = Latest->second;
    const bool HasHistory =
        Entry.Started || Latest->first != Opened_ - 1 ||
        std::ranges::any_of(Entry.Steps, [](const StepProgress &Step) {
          return !Step.FailedRuns.empty() ||
                 std::ranges::any_of(Step.Tasks, [](const TaskProgress &Task) {
                   return !Task.FailedRuns.empty() || !Task.Crashes.empty() ||
                          !Task.RefusedRuns.empty();
                 });
        });
    if (HasHistory)
      return;
    Occurrences_.erase(Latest);
    --Opened_;
    --Unstarted;
  }
}

Occurrence &JobProgress::createOccurrence(int Number) {
  Occurrence &New = Occurrences_[Number];
  New.Number = Number;
  New.Started = HasUnknownTasks_;
  for (const StepSpec &Spec : Spec_.Steps) {
    StepProgress &Step = New.Steps.emplace_back();
    // The previous owner may have started tasks of this occurrence.
    Step.addTasks(Spec.Count,
                  HasUnknownTasks_ ? TaskPhase::Unknown : TaskPhase::Waiting);
    Step.LastRun = SkippedRuns_;
  }
  findOpenSteps(New);
  return New;
}

void JobProgress::findOpenSteps(Occurrence &Entry) const {
  const auto Steps = static_cast<int>(Entry.Steps.size());
  for (int S = 0; S < Steps; ++S)
    Entry.Steps[static_cast<std::size_t>(S)].OpenDependencies =
        Graph_.dependencyCount(S);
  for (int S = 0; S < Steps; ++S)
    if (Entry.Steps[static_cast<std::size_t>(S)].isDone())
      for (const int Next : Graph_.successors(S))
        --Entry.Steps[static_cast<std::size_t>(Next)].OpenDependencies;
  Entry.OpenSteps.clear();
  Entry.DoneSteps = static_cast<int>(
      std::ranges::count_if(Entry.Steps, &StepProgress::isDone));
  for (int S = 0; S < Steps; ++S) {
    const StepProgress &Step = Entry.Steps[static_cast<std::size_t>(S)];
    if (Step.OpenDependencies == 0 && !Step.isDone())
      Entry.OpenSteps.insert(Entry.OpenSteps.end(), S);
  }
}

void JobProgress::openSuccessors(Occurrence &Entry, int Step) const {
  Entry.OpenSteps.erase(Step);
  ++Entry.DoneSteps;
  for (const int Next : Graph_.successors(Step)) {
    StepProgress &Successor = Entry.Steps[static_cast<std::size_t>(Next)];
    if (--Successor.OpenDependencies == 0 && !Successor.isDone())
      Entry.OpenSteps.insert(Next);
  }
}

void JobProgress::addOccurrencesUpTo(const TaskName &Task) {
  while (!isFinished() && Task.Occurrence < Spec_.Repetitions &&
         Task.Occurrence >= Opened_)
    addOccurrence();
}

Occurrence *JobProgress::findOccurrence(int Number) {
  const auto It = Occurrences_.find(Number);
  return It == Occurrences_.end() ? nullptr : &It->second;
}

const Occurrence *JobProgress::findOccurrence(int Number) const {
  return const_cast<JobProgress *>(this)->findOccurrence(Number);
}

const StepProgress *JobProgress::findStep(int Occurrence, int Step) const {
  const auto *Entry = findOccurrence(Occurrence);
  if (Entry == nullptr || Step >= static_cast<int>(Entry->Steps.size()))
    return nullptr;
  return &Entry->Steps[static_cast<std::size_t>(Step)];
}

StepProgress *JobProgress::stepOf(const TaskName &Task) {
  Occurrence *Entry = findOccurrence(Task.Occurrence);
  if (Entry == nullptr || Task.Step >= static_cast<int>(Entry->Steps.size()))
    return nullptr;
  StepProgress &Step = Entry->Steps[static_cast<std::size_t>(Task.Step)];
  return Task.Index < static_cast<int>(Step.Tasks.size()) ? &Step : nullptr;
}

void JobProgress::closeIfDone(int Number, ProgressEffect &Effect) {
  // A job that runs once keeps its tasks until it is forgotten.
  if (Spec_.Repetitions == 0 || !findOccurrence(Number)->isDone())
    return;
  Occurrences_.erase(Number);
  Effect.CompletedOccurrence = Number;
}

const TaskProgress *JobProgress::find(const TaskName &Task) const {
  const StepProgress *Step = const_cast<JobProgress *>(this)->stepOf(Task);
  return Step == nullptr ? nullptr
                         : &Step->Tasks[static_cast<std::size_t>(Task.Index)];
}

int JobProgress::tasksDone() const {
  int Done =
      (Opened_ - static_cast<int>(Occurrences_.size())) * TasksPerOccurrence_;
  for (const auto &[Number, Entry] : Occurrences_)
    for (const StepProgress &Step : Entry.Steps)
      Done += Step.DoneTasks;
  return Done;
}

JobLoad JobProgress::load() const {
  JobLoad Load;
  if (isFinished())
    return Load;
  const auto Add = [](Resources &Sum, const Resources &Amount,
                      std::int64_t Count) {
    if (const auto Product = Amount.times(static_cast<std::uint64_t>(Count)))
      (void)Sum.add(*Product);
  };
  for (const auto &[Number, Entry] : Occurrences_)
    for (std::size_t S = 0; S < Entry.Steps.size(); ++S) {
      const StepProgress &Step = Entry.Steps[S];
      const StepSpec &Spec = Spec_.Steps[S];
      if (Step.isDone())
        continue;
      Add(Load.Running, Spec.Demand,
          std::ssize(Step.Tasks) - Step.DoneTasks - Step.WaitingTasks);
      if (Step.WaitingTasks == 0)
        continue;
      if (Step.OpenDependencies == 0)
        Add(Load.WaitingDemand, Spec.Demand, Step.WaitingTasks);
      if (const auto Work = Spec.Demand.times(static_cast<std::uint64_t>(
              std::max<std::int64_t>(0, Spec.EstimatedDuration.count()))))
        Add(Load.WaitingWork, *Work, Step.WaitingTasks);
    }
  return Load;
}

std::vector<ReadyStep> JobProgress::readySteps() const {
  std::vector<ReadyStep> Ready;
  if (isFinished())
    return Ready;
  for (const auto &[Number, Entry] : Occurrences_)
    for (const int S : Entry.OpenSteps) {
      const StepProgress &Step = Entry.Steps[static_cast<std::size_t>(S)];
      if (Step.WaitingTasks == 0)
        continue;
      ReadyStep Found{.Occurrence = Entry.Number, .Step = S};
      for (std::size_t I = 0; I < Step.Tasks.size(); ++I)
        if (Step.Tasks[I].Phase == TaskPhase::Waiting &&
            Step.Tasks[I].RefusedRuns.empty())
          Found.Tasks.push_back(static_cast<int>(I));
      const bool AllWaiting = Found.Tasks.size() == Step.Tasks.size();
      const bool Gang = Spec_.Steps[static_cast<std::size_t>(S)].Gang;
      if (!Found.Tasks.empty() && (AllWaiting || !Gang))
        Ready.push_back(std::move(Found));
    }
  return Ready;
}

std::vector<ReadyStep> JobProgress::upcomingSteps() const {
  std::vector<ReadyStep> Upcoming;
  if (isFinished())
    return Upcoming;
  for (const auto &[Number, Entry] : Occurrences_) {
    // Number of dependencies that run, by step. A step whose other
    // dependencies are done is upcoming.
    std::map<int, int> RunningDependencies;
    for (const int S : Entry.OpenSteps) {
      const StepProgress &Step = Entry.Steps[static_cast<std::size_t>(S)];
      const bool Runs =
          Step.ActiveTasks + Step.DoneTasks ==
              static_cast<int>(Step.Tasks.size()) &&
          std::ranges::none_of(Step.Tasks, [](const TaskProgress &Task) {
            return Task.Phase == TaskPhase::Placing;
          });
      if (Runs)
        for (const int Next : Graph_.successors(S))
          ++RunningDependencies[Next];
    }
    for (const auto &[S, Running] : RunningDependencies) {
      const StepProgress &Step = Entry.Steps[static_cast<std::size_t>(S)];
      if (Running < Step.OpenDependencies)
        continue;
      ReadyStep Found{.Occurrence = Entry.Number, .Step = S};
      Found.Tasks.resize(Step.Tasks.size());
      std::iota(Found.Tasks.begin(), Found.Tasks.end(), 0);
      Upcoming.push_back(std::move(Found));
    }
  }
  return Upcoming;
}

int JobProgress::nextRun(int Occurrence, int Step) const {
  const StepProgress *Found = findStep(Occurrence, Step);
  return Found == nullptr ? 1 : Found->LastRun + 1;
}

std::string JobProgress::checkpointOf(const TaskName &Task) const {
  const TaskProgress *Found = find(Task);
  if (Found == nullptr)
    return {};
  if (!Spec_.Steps[static_cast<std::size_t>(Task.Step)].Gang)
    return Found->Checkpoint;
  // The checkpoint of any member is valid for all; the greatest one has the
  // most progress.
  std::string Latest;
  for (const TaskProgress &Member : findStep(Task.Occurrence, Task.Step)->Tasks)
    Latest = std::max(Latest, Member.Checkpoint);
  return Latest;
}

bool JobProgress::setCrashPossible(const RunId &Run, bool Possible) {
  StepProgress *Step = stepOf(Run.Task);
  if (Step == nullptr || isFinished())
    return false;
  CrashRecord &Crashes =
      Step->Tasks[static_cast<std::size_t>(Run.Task.Index)].Crashes;
  return Possible ? Crashes.add(Run.Run, Run.Worker, CrashEvidence::Possible)
                  : Crashes.retract(Run.Run, Run.Worker);
}

bool JobProgress::isCrashSuspect(const TaskName &Task) const {
  const TaskProgress *Found = find(Task);
  if (Found == nullptr)
    return false;
  if (!Spec_.Steps[static_cast<std::size_t>(Task.Step)].Gang)
    return !Found->Crashes.empty();
  return std::ranges::any_of(
      findStep(Task.Occurrence, Task.Step)->Tasks,
      [](const TaskProgress &Member) { return !Member.Crashes.empty(); });
}

int JobProgress::countActiveOn(int Occurrence, int Step,
                               const std::string &Worker) const {
  const StepProgress *Found = findStep(Occurrence, Step);
  if (Found == nullptr)
    return 0;
  const auto &Tasks = Found->Tasks;
  return static_cast<int>(
      std::ranges::count_if(Tasks, [&](const TaskProgress &Task) {
        return isActive(Task.Phase) && Task.Worker == Worker;
      }));
}

void JobProgress::markPlacing(const RunId &Run, Clock::time_point Now) {
  StepProgress *Step = stepOf(Run.Task);
  if (Step == nullptr)
    return;
  TaskProgress &Task = Step->Tasks[static_cast<std::size_t>(Run.Task.Index)];
  Step->setPhase(Task, TaskPhase::Placing);
  findOccurrence(Run.Task.Occurrence)->Started = true;
  Task.Run = Run.Run;
  Task.Worker = Run.Worker;
  Task.Begun = false;
  Task.PhaseSince = Now;
  Step->LastRun = std::max(Step->LastRun, Run.Run);
}

void JobProgress::restartPhaseTimer(const RunId &Run, Clock::time_point Now) {
  StepProgress *Step = stepOf(Run.Task);
  if (Step == nullptr)
    return;
  TaskProgress &Task = Step->Tasks[static_cast<std::size_t>(Run.Task.Index)];
  if (isActive(Task.Phase) && Task.Run == Run.Run)
    Task.PhaseSince = Now;
}

ProgressEffect JobProgress::markRunning(const RunId &Run,
                                        const std::string &Checkpoint,
                                        Clock::time_point Now, bool Begun) {
  ProgressEffect Effect;
  addOccurrencesUpTo(Run.Task);
  StepProgress *Step = stepOf(Run.Task);
  if (Step == nullptr || isFinished()) {
    Effect.Stop.push_back(Run);
    return Effect;
  }
  TaskProgress &Task = Step->Tasks[static_cast<std::size_t>(Run.Task.Index)];
  const bool Current =
      isActive(Task.Phase) && Task.Run == Run.Run && Task.Worker == Run.Worker;
  if (!Current && Task.Phase != TaskPhase::Unknown) {
    refuse(*Step, Task, Run, Now);
    Effect.Stop.push_back(Run);
    return Effect;
  }
  Effect.Applied = Task.Phase != TaskPhase::Running;
  if (Effect.Applied)
    Task.PhaseSince = Now;
  Step->setPhase(Task, TaskPhase::Running);
  findOccurrence(Run.Task.Occurrence)->Started = true;
  Task.Run = Run.Run;
  Task.Worker = Run.Worker;
  Task.Begun = Begun || (Current && Task.Begun);
  Task.Checkpoint = std::max(Task.Checkpoint, Checkpoint);
  Step->LastRun = std::max(Step->LastRun, Run.Run);
  if (Begun && State_ == JobState::Pending)
    State_ = JobState::Running;
  if (Step->GangStopping)
    Effect.Stop.push_back(Run);
  return Effect;
}

void JobProgress::refuse(StepProgress &Step, TaskProgress &Task,
                         const RunId &Run, Clock::time_point Now) {
  Step.LastRun = std::max(Step.LastRun, Run.Run);
  const bool Known =
      std::ranges::any_of(Task.RefusedRuns, [&Run](const RefusedRun &Each) {
        return Each.Run == Run.Run && Each.Worker == Run.Worker;
      });
  if (Known || Task.Phase == TaskPhase::Done)
    return;
  Task.RefusedRuns.push_back(
      {.Run = Run.Run, .Worker = Run.Worker, .Since = Now});
  ++RefusedRuns_;
}

void JobProgress::stopGang(const TaskName &Member, StepProgress &Step,
                           ProgressEffect &Effect) {
  Step.GangStopping = true;
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskName Other = Member;
    Other.Index = static_cast<int>(I);
    const TaskProgress &Task = Step.Tasks[I];
    if (isActive(Task.Phase))
      Effect.Stop.push_back(
          {.Task = Other, .Run = Task.Run, .Worker = Task.Worker});
  }
}

void JobProgress::completeTask(const RunId &Run, StepProgress &Step,
                               ProgressEffect &Effect) {
  const bool Gang = Spec_.Steps[static_cast<std::size_t>(Run.Task.Step)].Gang;
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    // If one member of a gang is done, the whole gang is done.
    if (!Gang && static_cast<int>(I) != Run.Task.Index)
      continue;
    TaskProgress &Task = Step.Tasks[I];
    const bool IsOtherRun =
        Task.Run != Run.Run || (!Gang && Task.Worker != Run.Worker);
    if (isActive(Task.Phase) && IsOtherRun) {
      TaskName Name = Run.Task;
      Name.Index = static_cast<int>(I);
      Effect.Stop.push_back(
          {.Task = Name, .Run = Task.Run, .Worker = Task.Worker});
    }
    Step.setPhase(Task, TaskPhase::Done);
    if (static_cast<int>(I) == Run.Task.Index)
      Step.setMayRunUnseen(Task, false);
  }
  if (Step.isDone())
    openSuccessors(*findOccurrence(Run.Task.Occurrence), Run.Task.Step);
  Step.GangStopping = false;
  Effect.Applied = true;
  Effect.MustPersist = true;
}

TaskPhase JobProgress::phaseAfterEnd() const {
  // Until the takeover is complete, the previous owner may still start the
  // task: it may see the same end, and not all holders of workers know that it
  // has been replaced.
  return HasUnknownTasks_ ? TaskPhase::Unknown : TaskPhase::Waiting;
}

void JobProgress::endGangMember(const RunId &Run, StepProgress &Step,
                                ProgressEffect &Effect) {
  Step.setPhase(Step.Tasks[static_cast<std::size_t>(Run.Task.Index)],
                phaseAfterEnd());
  if (!Step.GangStopping)
    stopGang(Run.Task, Step, Effect);
  if (Step.ActiveTasks == 0)
    Step.GangStopping = false;
}

bool JobProgress::recordCrash(TaskProgress &Task, const RunId &Run,
                              RunOutcome Outcome, Clock::time_point Now) {
  const bool IsSound = Task.Phase == TaskPhase::Running &&
                       Task.Run == Run.Run && Task.Worker == Run.Worker &&
                       Now - Task.PhaseSince >= SoundRunTime;
  if (IsSound) {
    const bool Changed = !Task.Crashes.empty();
    Task.Crashes.clear();
    return Changed;
  }
  if (const auto Evidence = evidenceOf(Outcome))
    return Task.Crashes.add(Run.Run, Run.Worker, *Evidence);
  // The worker has listed the end, so that it has not crashed before.
  return provesStart(Outcome) && Task.Crashes.retract(Run.Run, Run.Worker);
}

RunOutcome JobProgress::outcomeIfAbsent(const RunId &Run) const {
  const TaskProgress *Task = find(Run.Task);
  const bool HasBegun = Task != nullptr && Task->Phase == TaskPhase::Running &&
                        Task->Run == Run.Run && Task->Worker == Run.Worker &&
                        Task->Begun;
  return HasBegun ? RunOutcome::CrashPossible : RunOutcome::Lost;
}

ProgressEffect JobProgress::markEnded(const RunId &Run, RunOutcome Outcome,
                                      const std::string &Checkpoint,
                                      Clock::time_point Now) {
  ProgressEffect Effect;
  addOccurrencesUpTo(Run.Task);
  StepProgress *Step = stepOf(Run.Task);
  if (Step == nullptr || isFinished())
    return Effect;
  const StepSpec &Spec = Spec_.Steps[static_cast<std::size_t>(Run.Task.Step)];
  TaskProgress &Task = Step->Tasks[static_cast<std::size_t>(Run.Task.Index)];
  if (Task.Phase == TaskPhase::Done)
    return Effect;
  Step->LastRun = std::max(Step->LastRun, Run.Run);
  Task.Checkpoint = std::max(Task.Checkpoint, Checkpoint);
  if (provesStart(Outcome) && State_ == JobState::Pending)
    State_ = JobState::Running;
  // The outcome of an earlier run is recorded too, because the worker will not
  // report it again once it is acknowledged: a task that is done must not start
  // again, and each failure counts as an attempt.
  std::vector<FailedRun> &FailedRuns =
      Spec.Gang ? Step->FailedRuns : Task.FailedRuns;
  if (Outcome == RunOutcome::Failed)
    Effect.MustPersist |= addFailedRun(
        FailedRuns,
        {.Run = Run.Run, .Worker = Spec.Gang ? std::string() : Run.Worker});
  const bool Current =
      isActive(Task.Phase) && Task.Run == Run.Run && Task.Worker == Run.Worker;
  const auto RefusedRunsEnded = static_cast<int>(
      std::erase_if(Task.RefusedRuns, [&Run](const RefusedRun &Each) {
        return Each.Run == Run.Run && Each.Worker == Run.Worker;
      }));
  RefusedRuns_ -= RefusedRunsEnded;
  const bool WasRefused = RefusedRunsEnded > 0;
  // The step may have become ready.
  Effect.Applied = WasRefused && Task.Phase == TaskPhase::Waiting;
  Effect.MustPersist |= recordCrash(Task, Run, Outcome, Now);
  if (Outcome == RunOutcome::Done && !Spec.LongRunning) {
    completeTask(Run, *Step, Effect);
  } else if (Current) {
    Task.PhaseSince = Now;
    Effect.Applied = true;
    if (Spec.Gang && !Spec.LongRunning)
      endGangMember(Run, *Step, Effect);
    else
      Step->setPhase(Task, phaseAfterEnd());
  }
  const bool AttemptsUsed =
      !Spec.LongRunning &&
      static_cast<int>(FailedRuns.size()) >= Spec_.Queue.MaximumAttempts;
  if ((AttemptsUsed || Task.Crashes.isConclusive()) &&
      Task.Phase != TaskPhase::Done)
    finishAs(JobState::Failed, Effect);
  else if (Outcome == RunOutcome::Done)
    closeIfDone(Run.Task.Occurrence, Effect);
  finishIfComplete(Effect);
  return Effect;
}

ProgressEffect JobProgress::markNotStarted(const std::vector<RunId> &Members,
                                           Clock::time_point Now) {
  ProgressEffect Effect;
  if (isFinished())
    return Effect;
  for (const RunId &Run : Members) {
    StepProgress *Step = stepOf(Run.Task);
    if (Step == nullptr)
      continue;
    TaskProgress &Task = Step->Tasks[static_cast<std::size_t>(Run.Task.Index)];
    if (Task.Phase != TaskPhase::Placing || Task.Run != Run.Run ||
        Task.Worker != Run.Worker)
      continue;
    Step->setPhase(Task, phaseAfterEnd());
    Task.PhaseSince = Now;
    Effect.Applied = true;
    if (Step->ActiveTasks == 0)
      Step->GangStopping = false;
  }
  return Effect;
}

void JobProgress::finishIfComplete(ProgressEffect &Effect) {
  if (isFinished() || Opened_ < plannedOccurrences())
    return;
  for (const auto &[Number, Entry] : Occurrences_)
    if (!Entry.isDone())
      return;
  finishAs(JobState::Completed, Effect);
}

void JobProgress::finishAs(JobState State, ProgressEffect &Effect) {
  State_ = State;
  Effect.Finished = true;
  Effect.MustPersist = true;
  for (RunId &Run : activeRuns())
    Effect.Stop.push_back(std::move(Run));
}

ProgressEffect JobProgress::cancel(Clock::time_point /*Now*/) {
  ProgressEffect Effect;
  if (isFinished())
    return Effect;
  Effect.Applied = true;
  finishAs(JobState::Cancelled, Effect);
  return Effect;
}

ProgressEffect JobProgress::fail() {
  ProgressEffect Effect;
  if (isFinished())
    return Effect;
  Effect.Applied = true;
  finishAs(JobState::Failed, Effect);
  return Effect;
}

void JobProgress::markUnfinishedTasksUnknown() {
  HasUnknownTasks_ = true;
  SkippedRuns_ += RunGapAfterTakeover;
  for (auto &[Number, Entry] : Occurrences_) {
    Entry.Started = true;
    for (StepProgress &Step : Entry.Steps) {
      Step.LastRun += RunGapAfterTakeover;
      for (TaskProgress &Task : Step.Tasks)
        if (Task.Phase != TaskPhase::Done)
          Step.setPhase(Task, TaskPhase::Unknown);
    }
  }
}

std::optional<Resources> JobProgress::unseenDemand() const {
  Resources Sum;
  if (!HasUnknownTasks_)
    return Sum;
  // A former owner may have opened occurrences that are not stored.
  if (Spec_.Repetitions > 0)
    return std::nullopt;
  for (const auto &[Number, Entry] : Occurrences_)
    for (std::size_t S = 0; S < Entry.Steps.size(); ++S) {
      const auto Demand = Spec_.Steps[S].Demand.times(
          static_cast<std::uint64_t>(Entry.Steps[S].UnseenTasks));
      if (!Demand || !Sum.add(*Demand))
        return std::nullopt;
    }
  return Sum;
}

ProgressEffect JobProgress::resolveUnknownTasks(Clock::time_point Now) {
  ProgressEffect Effect;
  HasUnknownTasks_ = false;
  for (auto &[Number, Entry] : Occurrences_) {
    bool HasRun = false;
    for (std::size_t S = 0; S < Entry.Steps.size(); ++S) {
      StepProgress &Step = Entry.Steps[S];
      bool FoundUnknown = false;
      for (TaskProgress &Task : Step.Tasks)
        if (Task.Phase == TaskPhase::Unknown) {
          Step.setPhase(Task, TaskPhase::Waiting);
          Task.PhaseSince = Now;
          FoundUnknown = true;
        }
      const bool SameRun =
          std::ranges::all_of(Step.Tasks, [&](const TaskProgress &Task) {
            return Task.Run == Step.Tasks.front().Run;
          });
      if (!Spec_.Steps[S].Gang || (!FoundUnknown && SameRun))
        continue;
      const TaskName Member{.Job = Spec_.Id,
                            .Occurrence = Entry.Number,
                            .Step = static_cast<int>(S)};
      ProgressEffect GangEffect;
      stopGang(Member, Step, GangEffect);
      Step.GangStopping = !GangEffect.Stop.empty();
      Effect.Stop.insert(Effect.Stop.end(), GangEffect.Stop.begin(),
                         GangEffect.Stop.end());
    }
    for (const StepProgress &Step : Entry.Steps)
      HasRun = HasRun || Step.ActiveTasks > 0 || Step.DoneTasks > 0;
    Entry.Started = HasRun;
  }
  closeUnstarted();
  if (hasTaskToGiveUp())
    finishAs(JobState::Failed, Effect);
  return Effect;
}

bool JobProgress::hasTaskToGiveUp() const {
  for (const auto &[Number, Entry] : Occurrences_)
    for (const StepProgress &Step : Entry.Steps)
      for (const TaskProgress &Task : Step.Tasks)
        if (Task.Phase == TaskPhase::Waiting && Task.Crashes.isConclusive())
          return true;
  return false;
}

void JobProgress::appendActiveRuns(const Occurrence &Entry,
                                   std::vector<RunId> &Runs) const {
  for (std::size_t S = 0; S < Entry.Steps.size(); ++S) {
    if (Entry.Steps[S].ActiveTasks == 0)
      continue;
    for (std::size_t I = 0; I < Entry.Steps[S].Tasks.size(); ++I) {
      const TaskProgress &Task = Entry.Steps[S].Tasks[I];
      if (isActive(Task.Phase))
        Runs.push_back({.Task = {.Job = Spec_.Id,
                                 .Occurrence = Entry.Number,
                                 .Step = static_cast<int>(S),
                                 .Index = static_cast<int>(I)},
                        .Run = Task.Run,
                        .Worker = Task.Worker});
    }
  }
}

std::vector<RunId> JobProgress::activeRuns() const {
  std::vector<RunId> Runs;
  for (const auto &[Number, Entry] : Occurrences_)
    appendActiveRuns(Entry, Runs);
  return Runs;
}

std::vector<std::pair<RunId, Clock::time_point>>
JobProgress::refusedRuns() const {
  std::vector<std::pair<RunId, Clock::time_point>> Runs;
  if (RefusedRuns_ == 0)
    return Runs;
  for (const auto &[Number, Entry] : Occurrences_)
    for (std::size_t S = 0; S < Entry.Steps.size(); ++S)
      for (std::size_t I = 0; I < Entry.Steps[S].Tasks.size(); ++I)
        for (const RefusedRun &Each : Entry.Steps[S].Tasks[I].RefusedRuns)
          Runs.emplace_back(RunId{.Task = {.Job = Spec_.Id,
                                           .Occurrence = Entry.Number,
                                           .Step = static_cast<int>(S),
                                           .Index = static_cast<int>(I)},
                                  .Run = Each.Run,
                                  .Worker = Each.Worker},
                            Each.Since);
  return Runs;
}

} // namespace hickory
