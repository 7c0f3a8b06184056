#pragma once

#include "Base/TimerService.h"
#include "Work/CrashRecord.h"
#include "Work/JobSpec.h"
#include "Work/StepGraph.h"

#include <algorithm>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

enum class TaskPhase {
  Unknown, ///< May still be running after a takeover.
  Waiting,
  Placing, ///< A start was requested and is not confirmed yet.
  Running,
  Done,
};

/// Outcome of a run, as reported by its worker or by the owner of the worker.
enum class RunOutcome {
  Done,
  Failed, ///< The task or its worker failed.
  Stopped,
  LeaseExpired,
  GangAborted,    ///< Another member of the gang ended.
  GangIncomplete, ///< The other members did not start in time.
  Lost,           ///< The worker no longer has it and gives no reason.
  Rejected,       ///< The worker refused to start it.
  Crashed,        ///< Its worker crashed; only its job can be the cause.
  CrashSuspected, ///< Its worker crashed; other jobs may be the cause too.
  CrashPossible,  ///< Its worker may have crashed, or before it has begun.
};

const char *nameOf(RunOutcome Outcome);
/// Returns Lost if Name is not the name of an outcome.
RunOutcome runOutcomeFromName(const std::string &Name);

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

const char *nameOf(JobState State);

/// Identifies one start of a task on a worker.
struct RunId {
  TaskName Task;
  int Run = 0;
  std::string Worker;
};

/// A run that failed. The number alone does not identify a run, as successive
/// owners of a job may use the same one.
struct FailedRun {
  int Run = 0;
  std::string Worker; ///< Empty for a gang, and if it was not stored.
};

/// A run that its worker's holder reports while the task has another run.
struct RefusedRun {
  int Run = 0;
  std::string Worker;
  Clock::time_point Since{}; ///< When it was first reported.
};

struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  int Run = 0;                       ///< Number of the latest run.
  std::vector<FailedRun> FailedRuns; ///< Each run once.
  CrashRecord Crashes;
  std::string Worker;
  std::string Checkpoint;
  bool Begun = false; ///< The worker is known to have executed the start.
  /// After a takeover: a run may exist that no holder of a worker has reported.
  bool MayRunUnseen = false;
  Clock::time_point PhaseSince{}; ///< Start of the phase.
  /// They are being stopped. Until they have ended, the task is not started.
  std::vector<RefusedRun> RefusedRuns;
};

struct StepProgress {
  std::vector<TaskProgress> Tasks;
  int LastRun = 0;                   ///< Highest run number of any task.
  std::vector<FailedRun> FailedRuns; ///< Failed runs of a gang as a whole.
  int DoneTasks = 0;
  int WaitingTasks = 0;
  int ActiveTasks = 0; ///< Running, or being placed.
  int UnseenTasks = 0; ///< See TaskProgress::MayRunUnseen.
  /// Number of steps that this one depends on and that are not done.
  int OpenDependencies = 0;
  bool GangStopping = false; ///< Members of the latest run are being stopped.

  [[nodiscard]] bool isDone() const {
    return DoneTasks == static_cast<int>(Tasks.size());
  }
  /// Adds the tasks of a new step.
  void addTasks(int Count, TaskPhase Phase);
  /// Changes the phase of one of the tasks, and the numbers of tasks by phase.
  void setPhase(TaskProgress &Task, TaskPhase Phase);

  void setMayRunUnseen(TaskProgress &Task, bool MayRun);

private:
  /// Returns the number of tasks in this phase; null if they are not counted.
  int *counterOf(TaskPhase Phase);
};

/// One execution of a job. A repeating job has several.
struct Occurrence {
  int Number = 0;
  std::vector<StepProgress> Steps;
  /// Steps that are not done, and whose dependencies are.
  std::set<int> OpenSteps;
  int DoneSteps = 0;
  bool Started = false; ///< A task has been placed, or may have been.

  [[nodiscard]] bool isDone() const {
    return DoneSteps == static_cast<int>(Steps.size());
  }
};

/// Tasks of one step that can be started now.
struct ReadyStep {
  int Occurrence = 0;
  int Step = 0;
  std::vector<int> Tasks;
};

/// What a job has running and waiting.
struct JobLoad {
  Resources Running;       ///< Of tasks that run, may run or are being placed.
  Resources WaitingDemand; ///< Of tasks that could start now.
  /// Demand times estimated milliseconds of all tasks that have not started.
  Resources WaitingWork;
};

/// What the owner of a job must do after an event.
struct ProgressEffect {
  bool Applied = false; ///< A task changed its phase, or the job was cancelled.
  bool MustPersist = false; ///< Store the state before acknowledging the event.
  bool Finished = false;    ///< The event finished the job.
  std::vector<RunId> Stop;  ///< Runs that must be stopped.
  /// Number of the occurrence that the event completed; it is forgotten.
  std::optional<int> CompletedOccurrence;
};

/// State machine for the tasks of one job. It reads no clock and performs no
/// I/O: callers pass in the time and act on the returned effects.
///
/// Of a repeating job it keeps only the open occurrences: those that were due,
/// were opened, and are not done. Occurrences are opened in order, and only
/// while few open ones wait for their first start, so that a job costs what it
/// has at work and not what has ever been due.
class JobProgress {
public:
  explicit JobProgress(JobSpec Spec);

  [[nodiscard]] const JobSpec &spec() const { return Spec_; }
  [[nodiscard]] const StepGraph &graph() const { return Graph_; }
  [[nodiscard]] JobState state() const { return State_; }
  [[nodiscard]] bool isFinished() const {
    return State_ != JobState::Pending && State_ != JobState::Running;
  }
  /// True once a task is known to have begun, and also for a job that was
  /// cancelled while pending.
  [[nodiscard]] bool hasStarted() const { return State_ != JobState::Pending; }
  /// Returns the number of tasks that are done.
  [[nodiscard]] int tasksDone() const;
  /// Returns the load of the open occurrences. Amounts that overflow are left
  /// out.
  [[nodiscard]] JobLoad load() const;
  /// Returns the time since the Unix epoch at which the occurrence of a
  /// repeating job is due.
  [[nodiscard]] std::chrono::milliseconds dueAt(int Occurrence) const {
    return Spec_.FirstRun + Occurrence * Spec_.Interval;
  }
  /// Returns the number of open occurrences.
  [[nodiscard]] std::size_t openOccurrences() const {
    return Occurrences_.size();
  }
  [[nodiscard]] const TaskProgress *find(const TaskName &Task) const;

  /// Opens occurrences that are due at the given time since the Unix epoch, as
  /// long as the open ones that have not started have few tasks. Returns true
  /// if any was opened.
  bool addDueOccurrences(std::chrono::milliseconds SinceEpoch);

  [[nodiscard]] std::vector<ReadyStep> readySteps() const;
  /// Returns the steps, with all of their tasks, that become ready once tasks
  /// that are running at present are done.
  [[nodiscard]] std::vector<ReadyStep> upcomingSteps() const;
  /// Run number for the next start of the step's tasks; all of them share it.
  [[nodiscard]] int nextRun(int Occurrence, int Step) const;
  /// Checkpoint to start a task from. For a gang, the latest checkpoint of any
  /// member. Empty if there is none.
  [[nodiscard]] std::string checkpointOf(const TaskName &Task) const;
  /// Records whether the worker of a run that has not ended may have crashed
  /// under it. Returns true if the state must be stored, so that the suspicion
  /// outlives the job's owner and the worker's holder.
  bool setCrashPossible(const RunId &Run, bool Possible);
  /// Returns true if workers may have crashed under runs of the task or another
  /// member of its gang.
  [[nodiscard]] bool isCrashSuspect(const TaskName &Task) const;
  /// Number of tasks of the step that are running on Worker or being placed
  /// there, which means that their start is not confirmed yet.
  [[nodiscard]] int countActiveOn(int Occurrence, int Step,
                                  const std::string &Worker) const;

  void markPlacing(const RunId &Run, Clock::time_point Now);
  /// Restarts the phase of an active run at Now, so that reports sent earlier
  /// no longer apply to it.
  void restartPhaseTimer(const RunId &Run, Clock::time_point Now);
  /// Records that a run was confirmed, including one that a previous owner
  /// started. Begun: the worker is known to have executed the start.
  ProgressEffect markRunning(const RunId &Run, const std::string &Checkpoint,
                             Clock::time_point Now, bool Begun = true);
  ProgressEffect markEnded(const RunId &Run, RunOutcome Outcome,
                           const std::string &Checkpoint,
                           Clock::time_point Now);
  /// Returns the outcome of a run that its worker's holder does not know. If it
  /// has begun, its worker may have crashed while another process took the
  /// worker over.
  [[nodiscard]] RunOutcome outcomeIfAbsent(const RunId &Run) const;
  /// Records that the members of a gang are not started, as capacity was not
  /// reserved for all of them. Unlike the end of a member, it stops no other
  /// member.
  ProgressEffect markNotStarted(const std::vector<RunId> &Members,
                                Clock::time_point Now);
  ProgressEffect cancel(Clock::time_point Now);
  /// Ends the job as failed.
  ProgressEffect fail();

  /// After a takeover: marks all tasks that are not done as possibly running.
  void markUnfinishedTasksUnknown();
  /// Call it once all running tasks have been reported. Tasks that are still
  /// unknown wait for a new start, and incomplete gangs are stopped.
  ProgressEffect resolveUnknownTasks(Clock::time_point Now);
  [[nodiscard]] bool hasUnknownTasks() const { return HasUnknownTasks_; }
  /// Returns the demand of the tasks of which a run may exist that no holder of
  /// a worker has reported since the takeover, also if the job is finished;
  /// nothing if that can't be told. Zero once the takeover is complete.
  [[nodiscard]] std::optional<Resources> unseenDemand() const;

  /// All runs that are running or being placed.
  [[nodiscard]] std::vector<RunId> activeRuns() const;
  /// Returns the refused runs, with the time since which each is known.
  [[nodiscard]] std::vector<std::pair<RunId, Clock::time_point>>
  refusedRuns() const;

  /// State that must survive the loss of the owner: an object with the state of
  /// the job, the number of occurrences that were opened and, per step, the
  /// done tasks, the last run number, the failed runs and those under which
  /// workers have crashed. If many occurrences were opened, it lists the open
  /// ones and has only their steps; earlier releases don't run such a job.
  [[nodiscard]] nlohmann::json durableState() const;
  /// Restores the result of durableState(). Throws nlohmann::json::exception if
  /// a field is missing or has a wrong type. Steps that are missing at the end
  /// of the list keep their state.
  void restore(const nlohmann::json &Durable);

private:
  /// Records what the end of the run says of crashes. Returns true if the state
  /// must be stored.
  bool recordCrash(TaskProgress &Task, const RunId &Run, RunOutcome Outcome,
                   Clock::time_point Now);
  /// Returns true if a task has crashed so many workers that it must not be
  /// started again.
  [[nodiscard]] bool hasTaskToGiveUp() const;
  Occurrence &createOccurrence(int Number);
  /// Opens the next occurrence.
  void addOccurrence() { createOccurrence(Opened_++); }
  /// Adds the occurrences up to that of Task. A reported run proves that its
  /// occurrence is due, whatever the local clock says.
  void addOccurrencesUpTo(const TaskName &Task);
  Occurrence *findOccurrence(int Number);
  [[nodiscard]] const Occurrence *findOccurrence(int Number) const;
  StepProgress *stepOf(const TaskName &Task);
  [[nodiscard]] const StepProgress *findStep(int Occurrence, int Step) const;
  /// Returns the number of open occurrences that have not started.
  [[nodiscard]] int unstartedOccurrences() const;
  /// Returns true if another occurrence that is due may be opened beside this
  /// number of open ones that have not started.
  [[nodiscard]] bool mayOpenBeside(int Unstarted) const;
  /// Closes the latest occurrences, of which no task has ever run, if more are
  /// open than are opened at once.
  void closeUnstarted();
  /// Forgets the occurrence if all of its steps are done.
  void closeIfDone(int Number, ProgressEffect &Effect);
  [[nodiscard]] int plannedOccurrences() const {
    return std::max(1, Spec_.Repetitions);
  }
  /// Computes which steps are open from the tasks that are done.
  void findOpenSteps(Occurrence &Entry) const;
  /// Opens the steps that waited only for this step, which is done.
  void openSuccessors(Occurrence &Entry, int Step) const;
  void completeTask(const RunId &Run, StepProgress &Step,
                    ProgressEffect &Effect);
  /// Returns the phase of a task whose run has ended without being done.
  [[nodiscard]] TaskPhase phaseAfterEnd() const;
  void endGangMember(const RunId &Run, StepProgress &Step,
                     ProgressEffect &Effect);
  void stopGang(const TaskName &Member, StepProgress &Step,
                ProgressEffect &Effect);
  /// Records a run that must be stopped, as the task has another one.
  void refuse(StepProgress &Step, TaskProgress &Task, const RunId &Run,
              Clock::time_point Now);
  void appendActiveRuns(const Occurrence &Entry,
                        std::vector<RunId> &Runs) const;
  void finishIfComplete(ProgressEffect &Effect);
  void finishAs(JobState State, ProgressEffect &Effect);

  JobSpec Spec_;
  StepGraph Graph_;
  int TasksPerOccurrence_ = 0;
  int Opened_ = 0;      ///< Number of occurrences that were opened.
  int SkippedRuns_ = 0; ///< Run numbers that previous owners may have used.
  /// Open occurrences by number. All other opened ones are done.
  std::map<int, Occurrence> Occurrences_;
  int RefusedRuns_ = 0; ///< Of all tasks.
  JobState State_ = JobState::Pending;
  bool HasUnknownTasks_ = false; ///< From takeover until resolveUnknownTasks().
};

} // namespace hickory
