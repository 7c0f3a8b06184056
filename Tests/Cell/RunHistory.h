#pragma once

#include "Work/JobSpec.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Watches what workers do and what clients are told, and notes each break of
/// the platform's rules. The names of the rules begin its lines.
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
  /// The answer to one of the client's attempts.
  void answered(const std::string &Job, int Status) {
    Client &Known = Clients_[Job];
    Known.Accepted = Known.Accepted || Status == 200;
    Known.Refused = Known.Refused || Status == 503;
    Known.OnlyRefused = Known.OnlyRefused && Status == 503;
  }
  void cancelSent(const std::string &Job) { Clients_[Job].Cancelled = true; }
  [[nodiscard]] bool accepted(const std::string &Job) const {
    const auto It = Clients_.find(Job);
    return It != Clients_.end() && It->second.Accepted;
  }

  void workerUp(const std::string &Worker, const Resources &Capacity) {
    Workers_[Worker] = {.Capacity = Capacity};
  }
  /// It runs and remembers nothing any more: its ends can't be noted.
  void workerDown(const std::string &Worker) {
    Workers_[Worker].Running.clear();
    for (auto &[Task, Known] : OnEndsChanged_) {
      const auto Here = [&Worker](const RunAt &End) {
        return End.first == Worker;
      };
      std::erase_if(Known.DoneListed, Here);
      std::erase_if(Known.StartedAfterDone, Here);
    }
  }

  void started(const std::string &Worker, const std::string &Task, int Run) {
    const auto Name = TaskName::parse(Task);
    const auto Job = Name ? Jobs_.find(Name->Job) : Jobs_.end();
    if (Job == Jobs_.end()) {
      note("UNASKED", Worker, Task, Run, "its job was not submitted");
      return;
    }
    Started_.insert(Name->Job);
    for (const auto &[Id, Other] : Workers_)
      for (const auto &[OtherTask, OtherRun] : Other.Running)
        if (OtherTask == Task)
          note("TWICE", Worker, Task, Run,
               fmt::format("run {} is on {}", OtherRun, Id));
    Ends &Known = OnEndsChanged_[Task];
    if (Known.DoneNoted)
      note("TWICE", Worker, Task, Run, "its acknowledged end was done");
    Known.StartedAfterDone.insert(Known.DoneListed.begin(),
                                  Known.DoneListed.end());
    const int Attempts = Job->second.Queue.MaximumAttempts;
    if (Known.Failed.size() >= static_cast<std::size_t>(Attempts))
      Known.StartedAfterFailures.push_back(Known.Failed);
    checkBudget(Worker, Task, Run, Attempts);
    checkOrder(Worker, *Name, Run, Job->second);
    Workers_[Worker].Running.emplace(Task, Run);
    checkRoom(Worker, Task, Run);
  }

  void ended(const std::string &Worker, const std::string &Task, int Run,
             const std::string &How) {
    Workers_[Worker].Running.erase({Task, Run});
    Ends &Known = OnEndsChanged_[Task];
    if (How == "done") {
      Known.Done = true;
      Known.DoneListed.emplace(Worker, Run);
    }
    if (How == "failed")
      Known.Failed.emplace(Worker, Run);
  }

  /// The worker was told that the end is taken note of. InTime: its lease did
  /// not lapse between the end and that.
  void acknowledged(const std::string &Worker, const std::string &Task, int Run,
                    const std::string &How, bool InTime) {
    if (!InTime)
      return;
    Ends &Known = OnEndsChanged_[Task];
    if (How == "done") {
      if (Known.StartedAfterDone.contains({Worker, Run}))
        note("TWICE", Worker, Task, Run,
             "it was started again after this end, which is noted");
      Known.DoneNoted = true;
    }
    if (How == "failed") {
      Known.FailedNoted.emplace(Worker, Run);
      if (const auto Job = Jobs_.find(TaskName::jobOf(Task));
          Job != Jobs_.end())
        checkBudget(Worker, Task, Run, Job->second.Queue.MaximumAttempts);
    }
  }

  /// All trouble ended long ago. StateOf names the state that clients read.
  template <typename Function> void finish(const Function &StateOf) {
    for (const auto &[Id, Known] : Clients_) {
      // An attempt may also have had no answer.
      if (Known.Refused && Known.OnlyRefused && Started_.contains(Id))
        Violations_.push_back("REFUSED " + Id + ": tasks started");
      if (!Known.Accepted || Known.Cancelled)
        continue;
      const std::string State = StateOf(Id);
      if (State == "failed" && hasFailedTask(Id))
        continue;
      if (State != "completed")
        Violations_.push_back("LOST " + Id + ": its state is " + State);
      else if (const std::string Open = openTask(Id); !Open.empty())
        Violations_.push_back("MIXED " + Id + ": completed, and " + Open +
                              " is not done");
    }
    for (const auto &[Id, Worker] : Workers_)
      for (const auto &[Task, Run] : Worker.Running)
        Violations_.push_back(
            fmt::format("UNASKED {}#{} on {}: runs on", Task, Run, Id));
  }

  [[nodiscard]] std::size_t starts() const { return Starts_; }

private:
  using RunAt = std::pair<std::string, int>; ///< Worker and run.

  struct Client {
    bool Accepted = false;
    bool Refused = false;
    bool OnlyRefused = true; ///< All answers; true if there was none.
    bool Cancelled = false;
  };
  struct Worker {
    Resources Capacity;
    std::set<std::pair<std::string, int>> Running;
  };
  struct Ends {
    bool Done = false;          ///< On any worker.
    std::set<RunAt> DoneListed; ///< By workers that may list them still.
    bool DoneNoted = false;
    /// Ends before a start. It breaks the rule if one of them is noted.
    std::set<RunAt> StartedAfterDone;
    std::set<RunAt> Failed;
    std::set<RunAt> FailedNoted;
    /// What had failed at starts beyond the attempts.
    std::vector<std::set<RunAt>> StartedAfterFailures;
  };

  void note(const char *Rule, const std::string &Worker,
            const std::string &Task, int Run, const std::string &What) {
    Violations_.push_back(
        fmt::format("{} {}#{} on {}: {}", Rule, Task, Run, Worker, What));
  }

  void checkBudget(const std::string &Worker, const std::string &Task, int Run,
                   int Attempts) {
    Ends &Known = OnEndsChanged_[Task];
    const bool Broken = std::ranges::any_of(
        Known.StartedAfterFailures, [&](const auto &Before) {
          return std::ranges::count_if(Before, [&](const RunAt &Failed) {
                   return Known.FailedNoted.contains(Failed);
                 }) >= Attempts;
        });
    if (Broken && BudgetNoted_.insert(Task).second)
      note("BUDGET", Worker, Task, Run, "started after its last attempt");
  }

  void checkOrder(const std::string &Worker, const TaskName &Task, int Run,
                  const JobSpec &Job) {
    ++Starts_;
    for (const int Earlier :
         Job.Steps[static_cast<std::size_t>(Task.Step)].DependsOn)
      if (!stepDone(Job, Task.Occurrence, Earlier))
        note("ORDER", Worker, Task.toString(), Run,
             fmt::format("step {} is not done", Earlier));
  }

  [[nodiscard]] bool stepDone(const JobSpec &Job, int Occurrence,
                              int Step) const {
    const StepSpec &Spec = Job.Steps[static_cast<std::size_t>(Step)];
    int Done = 0;
    for (int I = 0; I < Spec.Count; ++I) {
      const TaskName Task{
          .Job = Job.Id, .Occurrence = Occurrence, .Step = Step, .Index = I};
      const auto It = OnEndsChanged_.find(Task.toString());
      Done += It != OnEndsChanged_.end() && It->second.Done ? 1 : 0;
    }
    return Spec.Gang ? Done > 0 : Done == Spec.Count;
  }

  /// The first task that is not done; empty if all are.
  [[nodiscard]] std::string openTask(const std::string &Id) const {
    const JobSpec &Job = Jobs_.at(Id);
    for (int K = 0; K < std::max(1, Job.Repetitions); ++K)
      for (std::size_t S = 0; S < Job.Steps.size(); ++S)
        if (!stepDone(Job, K, static_cast<int>(S)))
          return fmt::format("step {}.{}", K, S);
    return {};
  }

  [[nodiscard]] bool hasFailedTask(const std::string &Id) const {
    const JobSpec &Job = Jobs_.at(Id);
    const auto Attempts = static_cast<std::size_t>(Job.Queue.MaximumAttempts);
    // A gang fails as a whole, whichever of its members do.
    std::map<std::string, std::set<RunAt>> Failed;
    for (const auto &[Task, Known] : OnEndsChanged_) {
      const auto Name = TaskName::parse(Task);
      if (!Name || Name->Job != Id)
        continue;
      const bool Gang = Job.Steps[static_cast<std::size_t>(Name->Step)].Gang;
      Failed[Gang ? Name->stepName() : Task].insert(Known.Failed.begin(),
                                                    Known.Failed.end());
    }
    return std::ranges::any_of(Failed, [Attempts](const auto &Item) {
      return Item.second.size() >= Attempts;
    });
  }

  void checkRoom(const std::string &Id, const std::string &Task, int Run) {
    const Worker &On = Workers_[Id];
    Resources Sum;
    for (const auto &[Name, Number] : On.Running)
      if (const auto Parsed = TaskName::parse(Name); Parsed)
        (void)Sum.add(Jobs_.at(Parsed->Job)
                          .Steps[static_cast<std::size_t>(Parsed->Step)]
                          .Demand);
    if (!Sum.fitsIn(On.Capacity))
      note("LIMIT", Id, Task, Run,
           fmt::format("{} of {} in use", Sum.toString(),
                       On.Capacity.toString()));
  }

  std::map<std::string, JobSpec> Jobs_;
  std::map<std::string, Client> Clients_;
  std::map<std::string, Worker> Workers_;
  std::map<std::string, Ends> OnEndsChanged_; ///< By task.
  std::set<std::string> Started_;             ///< Jobs.
  std::set<std::string> BudgetNoted_;
  std::size_t Starts_ = 0;
  std::vector<std::string> Violations_;
};

} // namespace hickory
