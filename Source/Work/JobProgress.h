#pragma once

#include "Base/TimerService.h"
#include "Work/JobSpec.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

enum class TaskPhase {
  Unknown, ///< After a takeover: it may run somewhere.
  Waiting,
  Placing, ///< Ordered, not confirmed.
  Running,
  Done,
};

/// How a run ended, as its worker or the worker's owner says.
enum class RunOutcome {
  Done,
  Failed, ///< Through its own fault or the worker's.
  Stopped,
  LeaseExpired,   ///< Its lease ended.
  GangAborted,    ///< Another member of the gang ended.
  GangIncomplete, ///< It waited too long for the other members.
  Lost,           ///< The worker no longer has it, and does not say why.
  Rejected,       ///< It never started.
};

const char *nameOf(RunOutcome End);
/// Lost if the text names no end.
RunOutcome runOutcomeFromName(const std::string &Name);

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

const char *nameOf(JobState State);

/// One start of a task on a worker.
struct RunId {
  TaskName Task;
  int Run = 0;
  std::string Worker;
};

struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  int Run = 0;                 ///< Of the latest start.
  std::vector<int> FailedRuns; ///< An end may be reported more than once.
  std::string Worker;
  std::string Checkpoint;
  Clock::time_point PhaseSince{}; ///< Of the phase.
};

struct StepProgress {
  std::vector<TaskProgress> Tasks;
  int LastRun = 0;             ///< Highest run of any task.
  std::vector<int> FailedRuns; ///< Of a gang as a whole.
  int Done = 0;
  bool GangStopping = false; ///< Members of the latest run are being stopped.
};

struct Occurrence {
  int Number = 0;
  std::vector<StepProgress> Steps;
};

/// Tasks of one step that may start now.
struct ReadyStep {
  int Occurrence = 0;
  int Step = 0;
  std::vector<int> Tasks;
};

/// What an event means for others.
struct ProgressEffect {
  bool Applied = false; ///< False if the event does not concern a current run.
  bool MustPersist = false; ///< Must be stored before it is acknowledged.
  bool Finished = false;
  std::vector<RunId> Stop; ///< Runs that must not go on.
};

/// What is known of the tasks of one job. Has no clock and sends nothing.
class JobProgress {
public:
  explicit JobProgress(JobSpec Spec);

  [[nodiscard]] const JobSpec &spec() const { return Spec_; }
  [[nodiscard]] JobState state() const { return State_; }
  [[nodiscard]] bool isFinished() const {
    return State_ != JobState::Pending && State_ != JobState::Running;
  }
  /// True once a task was confirmed to run or to have ended.
  [[nodiscard]] bool hasStarted() const { return State_ != JobState::Pending; }
  [[nodiscard]] const std::vector<Occurrence> &occurrences() const {
    return Occurrences_;
  }
  [[nodiscard]] int tasksDone() const;
  [[nodiscard]] const TaskProgress *find(const TaskName &Task) const;

  /// Makes the occurrences that are due at this time of day. Returns true if
  /// there are new ones.
  bool addDueOccurrences(std::chrono::milliseconds SinceEpoch);

  [[nodiscard]] std::vector<ReadyStep> readySteps() const;
  /// Number of the next run of these tasks; the same for all of them.
  [[nodiscard]] int nextRun(int Occurrence, int Step) const;
  /// Checkpoint to start a task from: of any member for a gang.
  [[nodiscard]] std::string checkpointOf(const TaskName &Task) const;
  /// Tasks of the step on that worker which are placed or running.
  [[nodiscard]] int countActiveOn(int Occurrence, int Step,
                                  const std::string &Worker) const;

  void markPlacing(const RunId &Run, Clock::time_point Now);
  /// What was sent before now says nothing of the run.
  void restartPhaseTimer(const RunId &Run, Clock::time_point Now);
  /// A confirmation, also of a run that this owner did not order itself.
  ProgressEffect markRunning(const RunId &Run, const std::string &Checkpoint,
                             Clock::time_point Now);
  ProgressEffect markEnded(const RunId &Run, RunOutcome End,
                           const std::string &Checkpoint,
                           Clock::time_point Now);
  ProgressEffect cancel(Clock::time_point Now);

  /// After a takeover all tasks that have not ended may run somewhere.
  void markUnfinishedTasksUnknown();
  /// Everything that runs is known now.
  ProgressEffect resolveUnknownTasks(Clock::time_point Now);
  [[nodiscard]] bool hasUnknownTasks() const { return Unknown_; }

  /// All runs that are placed or running.
  [[nodiscard]] std::vector<RunId> activeRuns() const;

  /// The part that must outlast the owner.
  [[nodiscard]] nlohmann::json durableState() const;
  void restore(const nlohmann::json &Durable);

private:
  void addOccurrence();
  /// A run of an occurrence shows that it is due, whatever the clock here says.
  void addOccurrenceOf(const TaskName &Task);
  StepProgress *stepOf(const TaskName &Task);
  [[nodiscard]] bool dependenciesDone(const Occurrence &In, int Step) const;
  void endDone(const RunId &Run, StepProgress &Step, ProgressEffect &Effect);
  void endGangMember(const RunId &Run, StepProgress &Step,
                     ProgressEffect &Effect);
  void breakGang(const TaskName &Member, StepProgress &Step,
                 ProgressEffect &Effect);
  void collectActive(const Occurrence &In, std::vector<RunId> &Runs) const;
  void finishIfDone(ProgressEffect &Effect);
  void finishAs(JobState State, ProgressEffect &Effect);

  JobSpec Spec_;
  std::vector<Occurrence> Occurrences_;
  JobState State_ = JobState::Pending;
  bool Unknown_ = false; ///< After a takeover, until all runs are known.
};

} // namespace hickory
