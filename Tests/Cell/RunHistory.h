#pragma once

#include "Base/TimerService.h"
#include "Work/JobSpec.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Records what workers do and what clients are told, and each violation of the
/// platform's rules. Each line of the report begins with the name of the rule:
///   TWICE    A task was started while it ran, or again after an end as done
///            that is acknowledged.
///   BUDGET   A task was started again after its last permitted attempt failed,
///            or three times more after three workers had crashed under it.
///   LIMIT    The runs on a worker exceed its capacity.
///   ORDER    A step was started before a step that it depends on was done.
///   UNASKED  A task of no submitted job was started, or a run goes on at the
///            end of the test.
///   LOST     An accepted job that was not cancelled has neither completed nor
///            failed because a task failed in all attempts or two workers
///            crashed under it.
///   MIXED    A job is reported as completed although a step is not done, or
///            under half of the jobs that wait are reported.
///   REFUSED  Tasks of a job were started although each attempt to submit the
///            job was refused.
class RunHistory {
public:
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return Violations_;
  }
  [[nodiscard]] std::string report() const {
    std::string Text;
    for (const std::string &Line : Violations_)
      Text += Line + "\n";
    return Text;
  }

  void submitted(const JobSpec &Job) { Jobs_.try_emplace(Job.Id, Job); }
  /// Records the reply to one of the client's attempts.
  void answered(const std::string &Job, int Status,
                Clock::time_point Now = {}) {
    Client &Record = Clients_[Job];
    if (Status == 200 && !Record.Accepted)
      Record.AcceptedAt = Now;
    Record.Accepted = Record.Accepted || Status == 200;
    Record.Refused = Record.Refused || Status == 503;
    Record.OnlyRefused = Record.OnlyRefused && Status == 503;
  }
  void cancelSent(const std::string &Job) { Clients_[Job].Cancelled = true; }
  [[nodiscard]] bool accepted(const std::string &Job) const {
    const auto It = Clients_.find(Job);
    return It != Clients_.end() && It->second.Accepted;
  }

  /// Checks the number of waiting jobs that a process has reported. Counts the
  /// jobs without repetitions that were accepted by AcceptedBy and of which no
  /// task has started.
  void checkWaitingJobs(const std::string &Process, int Reported,
                        Clock::time_point AcceptedBy) {
    const auto Waiting =
        std::ranges::count_if(Clients_, [&](const auto &IdAndClient) {
          const auto &[Id, Record] = IdAndClient;
          return Record.Accepted && Record.AcceptedAt <= AcceptedBy &&
                 !Record.Cancelled && !StartedJobs_.contains(Id) &&
                 Jobs_.at(Id).Repetitions == 0;
        });
    if (std::ptrdiff_t{2} * Reported < Waiting)
      Violations_.push_back(
          fmt::format("MIXED {}: {} jobs are reported to wait, of {}", Process,
                      Reported, Waiting));
  }

  void workerUp(const std::string &Worker, const Resources &Capacity) {
    Workers_[Worker] = {.Capacity = Capacity};
  }
  /// The worker has lost its runs and its state: its ends can't be acknowledged
  /// any more.
  void workerDown(const std::string &Worker) {
    for (const auto &[Task, Run] : Workers_[Worker].Running)
      ++EndsByTask_[Task].WorkersLost;
    Workers_[Worker].Running.clear();
    for (auto &[Task, Record] : EndsByTask_) {
      const auto Here = [&Worker](const WorkerAndRun &End) {
        return End.first == Worker;
      };
      std::erase_if(Record.DoneListed, Here);
      std::erase_if(Record.StartedAfterDone, Here);
    }
  }

  /// The task has crashed its worker.
  void crashed(const std::string &Task) { ++EndsByTask_[Task].Crashes; }
  /// Returns how many workers the task has crashed.
  [[nodiscard]] int crashesOf(const std::string &Task) const {
    const auto It = EndsByTask_.find(Task);
    return It == EndsByTask_.end() ? 0 : It->second.Crashes;
  }

  void started(const std::string &Worker, const std::string &Task, int Run) {
    const auto Name = TaskName::parse(Task);
    const auto Job = Name ? Jobs_.find(Name->Job) : Jobs_.end();
    if (Job == Jobs_.end()) {
      addViolation("UNASKED", Worker, Task, Run, "its job was not submitted");
      return;
    }
    StartedJobs_.insert(Name->Job);
    for (const auto &[Id, Other] : Workers_)
      for (const auto &[OtherTask, OtherRun] : Other.Running)
        if (OtherTask == Task)
          addViolation("TWICE", Worker, Task, Run,
                       fmt::format("run {} is on {}", OtherRun, Id));
    TaskEnds &Record = EndsByTask_[Task];
    if (Record.DoneAcknowledged)
      addViolation("TWICE", Worker, Task, Run, "its acknowledged end was done");
    Record.StartedAfterDone.insert(Record.DoneListed.begin(),
                                   Record.DoneListed.end());
    const int Attempts = Job->second.Queue.MaximumAttempts;
    if (Record.Failed.size() >= static_cast<std::size_t>(Attempts))
      Record.StartedAfterFailures.push_back(Record.Failed);
    if (Record.Crashes >= CrashesBeforeLimit &&
        ++Record.StartsAfterCrashes == ForbiddenStartAfterCrashes)
      addViolation("BUDGET", Worker, Task, Run,
                   fmt::format("{} workers have crashed", Record.Crashes));
    checkBudget(Worker, Task, Run, Attempts);
    checkOrder(Worker, *Name, Run, Job->second);
    Workers_[Worker].Running.emplace(Task, Run);
    checkCapacity(Worker, Task, Run);
  }

  void ended(const std::string &Worker, const std::string &Task, int Run,
             const std::string &How) {
    Workers_[Worker].Running.erase({Task, Run});
    TaskEnds &Record = EndsByTask_[Task];
    if (How == "done") {
      Record.Done = true;
      Record.DoneListed.emplace(Worker, Run);
    }
    if (How == "failed")
      Record.Failed.emplace(Worker, Run);
  }

  /// The worker has received the acknowledgement of the end. InTime: its lease
  /// did not expire between the end and the acknowledgement.
  void acknowledged(const std::string &Worker, const std::string &Task, int Run,
                    const std::string &How, bool InTime) {
    if (!InTime)
      return;
    TaskEnds &Record = EndsByTask_[Task];
    if (How == "done") {
      if (Record.StartedAfterDone.contains({Worker, Run}))
        addViolation("TWICE", Worker, Task, Run,
                     "it was started again before this end was acknowledged");
      Record.DoneAcknowledged = true;
    }
    if (How == "failed") {
      Record.FailedAcknowledged.emplace(Worker, Run);
      if (const auto Job = Jobs_.find(TaskName::jobOf(Task));
          Job != Jobs_.end())
        checkBudget(Worker, Task, Run, Job->second.Queue.MaximumAttempts);
    }
  }

  /// Checks the final state, once all faults have ended and jobs have had time
  /// to complete. StateOf returns the state of a job.
  template <typename Function> void checkFinalState(const Function &StateOf) {
    for (const auto &[Id, Record] : Clients_) {
      // This holds only if every attempt was refused: an attempt without a
      // reply may have been accepted.
      if (Record.Refused && Record.OnlyRefused && StartedJobs_.contains(Id))
        Violations_.push_back("REFUSED " + Id + ": tasks started");
      if (!Record.Accepted || Record.Cancelled)
        continue;
      const std::string State = StateOf(Id);
      if (State == "failed" && (hasFailedTask(Id) || mayBeGivenUp(Id)))
        continue;
      if (State != "completed")
        Violations_.push_back("LOST " + Id + ": its state is " + State);
      else if (const std::string OpenStep = firstOpenStep(Id);
               !OpenStep.empty())
        Violations_.push_back("MIXED " + Id + ": completed, and " + OpenStep +
                              " is not done");
    }
    for (const auto &[Id, Worker] : Workers_)
      for (const auto &[Task, Run] : Worker.Running)
        Violations_.push_back(
            fmt::format("UNASKED {}#{} on {}: runs on", Task, Run, Id));
  }

  [[nodiscard]] std::size_t starts() const { return Starts_; }

private:
  using WorkerAndRun = std::pair<std::string, int>; ///< Worker and run number.
  static constexpr int CrashesBeforeLimit = 3;
  static constexpr int ForbiddenStartAfterCrashes = 3;
  /// A task under which this many workers have crashed may be given up.
  static constexpr int WorkersBeforeGivingUp = 2;

  struct Client {
    bool Accepted = false;
    Clock::time_point AcceptedAt{};
    bool Refused = false;
    bool OnlyRefused =
        true; ///< False once a reply was not a refusal; true without replies.
    bool Cancelled = false;
  };
  struct Worker {
    Resources Capacity;
    std::set<std::pair<std::string, int>> Running;
  };
  struct TaskEnds {
    bool Done = false;                 ///< Done on any worker.
    std::set<WorkerAndRun> DoneListed; ///< Ends that workers may still list.
    bool DoneAcknowledged = false;
    /// Ends that preceded another start. It is a violation if one of them
    /// is acknowledged.
    std::set<WorkerAndRun> StartedAfterDone;
    int WorkersLost = 0; ///< Workers that crashed during a run, for any cause.
    int Crashes = 0;     ///< Workers that the task has crashed.
    int StartsAfterCrashes = 0;
    std::set<WorkerAndRun> Failed;
    std::set<WorkerAndRun> FailedAcknowledged;
    /// The failed runs at each start after the last permitted attempt.
    std::vector<std::set<WorkerAndRun>> StartedAfterFailures;
  };

  void addViolation(const char *Rule, const std::string &Worker,
                    const std::string &Task, int Run, const std::string &What) {
    Violations_.push_back(
        fmt::format("{} {}#{} on {}: {}", Rule, Task, Run, Worker, What));
  }

  void checkBudget(const std::string &Worker, const std::string &Task, int Run,
                   int Attempts) {
    TaskEnds &Record = EndsByTask_[Task];
    const bool Broken = std::ranges::any_of(
        Record.StartedAfterFailures, [&](const auto &Before) {
          return std::ranges::count_if(Before, [&](const WorkerAndRun &Failed) {
                   return Record.FailedAcknowledged.contains(Failed);
                 }) >= Attempts;
        });
    if (Broken && BudgetViolations_.insert(Task).second)
      addViolation("BUDGET", Worker, Task, Run,
                   "started after its last attempt");
  }

  void checkOrder(const std::string &Worker, const TaskName &Task, int Run,
                  const JobSpec &Job) {
    ++Starts_;
    for (const int Earlier :
         Job.Steps[static_cast<std::size_t>(Task.Step)].DependsOn)
      if (!isStepDone(Job, Task.Occurrence, Earlier))
        addViolation("ORDER", Worker, Task.toString(), Run,
                     fmt::format("step {} is not done", Earlier));
  }

  [[nodiscard]] bool isStepDone(const JobSpec &Job, int Occurrence,
                                int Step) const {
    const StepSpec &Spec = Job.Steps[static_cast<std::size_t>(Step)];
    int Done = 0;
    for (int I = 0; I < Spec.Count; ++I) {
      const TaskName Task{
          .Job = Job.Id, .Occurrence = Occurrence, .Step = Step, .Index = I};
      const auto It = EndsByTask_.find(Task.toString());
      Done += It != EndsByTask_.end() && It->second.Done ? 1 : 0;
    }
    return Spec.Gang ? Done > 0 : Done == Spec.Count;
  }

  /// Returns the first step that is not done; empty if all are.
  [[nodiscard]] std::string firstOpenStep(const std::string &Id) const {
    const JobSpec &Job = Jobs_.at(Id);
    for (int K = 0; K < std::max(1, Job.Repetitions); ++K)
      for (std::size_t S = 0; S < Job.Steps.size(); ++S)
        if (!isStepDone(Job, K, static_cast<int>(S)))
          return fmt::format("step {}.{}", K, S);
    return {};
  }

  [[nodiscard]] bool hasFailedTask(const std::string &Id) const {
    const JobSpec &Job = Jobs_.at(Id);
    const auto Attempts = static_cast<std::size_t>(Job.Queue.MaximumAttempts);
    // A gang fails as a whole, whichever members fail.
    std::map<std::string, std::set<WorkerAndRun>> Failed;
    for (const auto &[Task, Record] : EndsByTask_) {
      const auto Name = TaskName::parse(Task);
      if (!Name || Name->Job != Id)
        continue;
      const bool Gang = Job.Steps[static_cast<std::size_t>(Name->Step)].Gang;
      Failed[Gang ? Name->stepName() : Task].insert(Record.Failed.begin(),
                                                    Record.Failed.end());
    }
    return std::ranges::any_of(Failed, [Attempts](const auto &Item) {
      return Item.second.size() >= Attempts;
    });
  }

  [[nodiscard]] bool mayBeGivenUp(const std::string &Id) const {
    return std::ranges::any_of(EndsByTask_, [&Id](const auto &Item) {
      return Item.second.WorkersLost >= WorkersBeforeGivingUp &&
             TaskName::jobOf(Item.first) == Id;
    });
  }

  void checkCapacity(const std::string &Id, const std::string &Task, int Run) {
    const Worker &Target = Workers_[Id];
    Resources Sum;
    for (const auto &[Name, Number] : Target.Running)
      if (const auto Parsed = TaskName::parse(Name); Parsed)
        (void)Sum.add(Jobs_.at(Parsed->Job)
                          .Steps[static_cast<std::size_t>(Parsed->Step)]
                          .Demand);
    if (!Sum.fitsIn(Target.Capacity))
      addViolation("LIMIT", Id, Task, Run,
                   fmt::format("{} of {} in use", Sum.toString(),
                               Target.Capacity.toString()));
  }

  std::map<std::string, JobSpec> Jobs_;
  std::map<std::string, Client> Clients_;
  std::map<std::string, Worker> Workers_;
  std::map<std::string, TaskEnds> EndsByTask_; ///< By task name.
  std::set<std::string> StartedJobs_; ///< Jobs of which a task has started.
  std::set<std::string> BudgetViolations_;
  std::size_t Starts_ = 0;
  std::vector<std::string> Violations_;
};

} // namespace hickory
