#pragma once

#include "Tools/HistoryChecker.h"

#include <map>
#include <set>
#include <utility>

namespace hickory::emulator {

/// Recorded events of one run on the emulator, in order of time. All times are
/// microseconds of the wall clock ("wall_us").
struct PlatformHistory {
  RunHistory::Events Clients; ///< Recorded by the load tool.
  RunHistory::Events Workers; ///< Recorded by the emulator.
  nlohmann::json Capacity;    ///< Workers in the format of RunHistory.
  std::map<std::string, int> MaximumAttempts; ///< By queue.
};

struct PlatformCheckerOptions {
  /// Time after its acceptance by which all instances know a job.
  std::int64_t VisibilityDelayUs = 3000000;
};

/// Checks a history for violations of the platform's rules, as far as that
/// doesn't require knowledge of which processes could reach each other. Uses
/// the platform's names of the rules.
class PlatformHistoryChecker {
public:
  using RuleResult = HistoryChecker::GuaranteeResult;

  PlatformHistoryChecker(PlatformHistory History,
                         PlatformCheckerOptions Options = {})
      : History_(std::move(History)), Options_(Options) {}

  /// Returns the findings by the name of the rule.
  std::map<std::string, RuleResult> check() {
    readJobs();
    checkCapacityAndDuplicateRuns();
    checkRestartsAfterDone();
    checkDependencies();
    checkRejectedJobs();
    checkStartsAfterCrashes();
    checkLostJobs();
    return Results_;
  }

private:
  using json = nlohmann::json;
  static constexpr std::size_t MaximumExamples = 3;
  static constexpr int CrashesBeforeLimit = 3;
  static constexpr int ForbiddenStartAfterCrashes = 3;
  /// A task under which this many workers have crashed may be given up.
  static constexpr int CrashesBeforeGivingUp = 2;

  /// State of a job as its clients know it.
  struct JobRecord {
    json Steps = json::array();
    std::string Queue;
    std::optional<std::int64_t> AcceptedAt;
    bool MayBeAccepted = false; ///< A submission had no answer, or 502 or 504.
    bool Cancelled = false;     ///< A cancel was sent.
  };

  void addViolation(const std::string &Rule, std::string Text) {
    RuleResult &Result = Results_[Rule];
    ++Result.Violations;
    if (Result.Examples.size() < MaximumExamples)
      Result.Examples.push_back(std::move(Text));
  }

  static std::int64_t time(const json &Event) {
    return Event.at("wall_us").get<std::int64_t>();
  }
  static std::string text(const json &Event, const char *Name) {
    return Event.value(Name, std::string());
  }
  static std::string stepOf(const std::string &Task) {
    return Task.substr(0, Task.rfind('.'));
  }
  static std::string jobOf(const std::string &Task) {
    return Task.substr(0, Task.find('.'));
  }
  static bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

  void readJobs() {
    for (const json &Event : History_.Clients) {
      const std::string Kind = text(Event, "event");
      JobRecord &Job = Jobs_[text(Event, "job")];
      if (Kind == "submit") {
        Job.Steps = Event.at("steps");
        Job.Queue = text(Event, "queue");
      } else if (Kind == "submitted") {
        const int Status = Event.value("status", 0);
        if (isSuccess(Status) && !Job.AcceptedAt)
          Job.AcceptedAt = time(Event);
        // Status 0 means that there was no answer. A job may also have been
        // accepted if the answer was 502 or 504.
        if (Status == 0 || Status == 502 || Status == 504)
          Job.MayBeAccepted = true;
      } else if (Kind == "cancel") {
        Job.Cancelled = true;
      }
    }
  }

  // LIMIT is the rule "capacity" of HistoryChecker. The first part of TWICE is
  // its rule "single_place".
  void checkCapacityAndDuplicateRuns() {
    RunHistory WorkerHistory;
    for (const json &Event : History_.Workers)
      if (Event.contains("task"))
        WorkerHistory.Workers.push_back(Event);
    WorkerHistory.Upstreams = History_.Capacity;
    auto WorkerResults = HistoryChecker(std::move(WorkerHistory)).check();
    Results_["LIMIT"] = WorkerResults["capacity"];
    Results_["TWICE"] = WorkerResults["single_place"];
  }

  /// Returns the ids of the finished runs that were acknowledged, see
  /// finishedRunId().
  std::set<std::string> acknowledgedEnds() const {
    std::set<std::string> Acknowledged;
    std::map<std::string, std::vector<std::int64_t>> UnacknowledgedByBoot;
    for (const json &Event : History_.Workers) {
      const std::string Kind = text(Event, "event");
      const std::string WorkerBoot = workerBootOf(Event);
      if (Kind == "ended")
        UnacknowledgedByBoot[WorkerBoot].push_back(
            Event.at("number").get<std::int64_t>());
      // The end of a run before a lease expiry counts only if it was
      // acknowledged before the expiry.
      if (Kind == "lease_lapsed")
        UnacknowledgedByBoot[WorkerBoot].clear();
      if (Kind == "acknowledged")
        for (const std::int64_t Number : UnacknowledgedByBoot[WorkerBoot])
          if (Number <= Event.at("number").get<std::int64_t>())
            Acknowledged.insert(finishedRunId(WorkerBoot, Number));
    }
    return Acknowledged;
  }

  /// Identifies the process of a worker between two restarts.
  static std::string workerBootOf(const json &Event) {
    return fmt::format("{}/{}", text(Event, "worker"),
                       Event.value("born", std::int64_t{0}));
  }
  static std::string finishedRunId(const std::string &WorkerBoot,
                                   std::int64_t Number) {
    return fmt::format("{}#{}", WorkerBoot, Number);
  }

  // The second part of TWICE: no task starts again after it has ended as
  // `done`. Only acknowledged ends count, even if the acknowledgement follows
  // the new start.
  void checkRestartsAfterDone() {
    const std::set<std::string> Acknowledged = acknowledgedEnds();
    /// By task, or by step for gangs.
    std::map<std::string, std::int64_t> DoneAt;
    for (const json &Event : History_.Workers) {
      const std::string Task = text(Event, "task");
      if (text(Event, "event") == "ended" && text(Event, "how") == "done" &&
          Acknowledged.contains(finishedRunId(
              workerBootOf(Event), Event.at("number").get<std::int64_t>())))
        DoneAt.emplace(Event.value("gang", false) ? stepOf(Task) : Task,
                       time(Event));
    }
    for (const json &Event : History_.Workers) {
      if (text(Event, "event") != "started")
        continue;
      const std::string Task = text(Event, "task");
      for (const std::string &Name : {Task, stepOf(Task)})
        if (const auto It = DoneAt.find(Name);
            It != DoneAt.end() && time(Event) > It->second)
          addViolation("TWICE",
                       fmt::format("{} run {} started on {} {} ms after a run "
                                   "had ended done",
                                   Task, Event.value("run", 0),
                                   text(Event, "worker"),
                                   (time(Event) - It->second) / 1000));
    }
  }

  // ORDER: a task starts only after all tasks of the steps that its own step
  // depends on are done.
  void checkDependencies() {
    RuleResult &Result = Results_["ORDER"];
    std::map<std::string, std::set<std::string>> DoneTasksByStep;
    std::set<std::string> DoneGangs;
    for (const json &Event : History_.Workers) {
      const std::string Task = text(Event, "task");
      const std::string Step = stepOf(Task);
      if (text(Event, "event") == "ended" && text(Event, "how") == "done") {
        DoneTasksByStep[Step].insert(Task);
        if (Event.value("gang", false))
          DoneGangs.insert(Step);
      }
      if (text(Event, "event") != "started")
        continue;
      ++Result.Checked;
      const auto It = Jobs_.find(jobOf(Task));
      if (It == Jobs_.end())
        continue;
      const std::string Occurrence = Step.substr(0, Step.rfind('.'));
      const auto Number = std::stoul(Step.substr(Step.rfind('.') + 1));
      if (Number >= It->second.Steps.size())
        continue;
      const json &OwnStep = It->second.Steps[Number];
      for (const json &Dependency :
           OwnStep.value("depends-on", json::array())) {
        const std::string Name =
            fmt::format("{}.{}", Occurrence, Dependency.get<int>());
        const auto Count = It->second.Steps.at(Dependency.get<std::size_t>())
                               .value("count", 1);
        if (!DoneGangs.contains(Name) &&
            DoneTasksByStep[Name].size() < static_cast<std::size_t>(Count))
          addViolation("ORDER", fmt::format("{} started when {} of {} tasks of "
                                            "step {} were done",
                                            Task, DoneTasksByStep[Name].size(),
                                            Count, Dependency.get<int>()));
      }
    }
    DoneTasksByStep_ = std::move(DoneTasksByStep);
    DoneGangs_ = std::move(DoneGangs);
  }

  // REFUSED: no task starts of a job whose submissions were all rejected.
  // UNASKED: no task starts of a job that no client submitted.
  void checkRejectedJobs() {
    Results_["REFUSED"].Checked = 0;
    for (const json &Event : History_.Workers) {
      if (text(Event, "event") != "started")
        continue;
      ++Results_["REFUSED"].Checked;
      const std::string Task = text(Event, "task");
      const auto It = Jobs_.find(jobOf(Task));
      if (It == Jobs_.end())
        addViolation("UNASKED",
                     Task + " belongs to a job that no client submitted");
      else if (!It->second.AcceptedAt && !It->second.MayBeAccepted)
        addViolation("REFUSED", Task + " started although its job was refused");
    }
  }

  [[nodiscard]] bool isDone(const std::string &Id, const JobRecord &Job) const {
    for (std::size_t Number = 0; Number < Job.Steps.size(); ++Number) {
      const std::string Step = fmt::format("{}.0.{}", Id, Number);
      const auto It = DoneTasksByStep_.find(Step);
      const std::size_t Count =
          It == DoneTasksByStep_.end() ? 0 : It->second.size();
      if (!DoneGangs_.contains(Step) &&
          Count < static_cast<std::size_t>(Job.Steps[Number].value("count", 1)))
        return false;
    }
    return true;
  }

  /// Numbers of failed runs by job and task. A gang counts as one task.
  std::map<std::string, std::map<std::string, int>> failuresByJob() const {
    std::map<std::string, std::map<std::string, int>> Failures;
    for (const json &Event : History_.Workers)
      if (text(Event, "how") == "failed") {
        const std::string Task = text(Event, "task");
        ++Failures[jobOf(Task)]
                  [Event.value("gang", false) ? stepOf(Task) : Task];
      }
    return Failures;
  }

  // BUDGET: a task is not started three times more after it has crashed three
  // workers.
  void checkStartsAfterCrashes() {
    RuleResult &Result = Results_["BUDGET"];
    std::map<std::string, int> Crashes; ///< By the task that caused them.
    std::map<std::string, int> StartsAfterCrashes;
    for (const json &Event : History_.Workers) {
      const std::string Kind = text(Event, "event");
      const std::string Task = text(Event, "task");
      if (Kind == "crashed") {
        ++Result.Checked;
        ++Crashes[Task];
      }
      if (Kind == "started" && Crashes[Task] >= CrashesBeforeLimit &&
          ++StartsAfterCrashes[Task] == ForbiddenStartAfterCrashes)
        addViolation("BUDGET",
                     fmt::format("{} run {} started on {} after it had crashed "
                                 "{} workers",
                                 Task, Event.value("run", 0),
                                 text(Event, "worker"), Crashes[Task]));
    }
  }

  /// Returns the jobs with a task under which so many workers have crashed that
  /// it may be given up. All runs on a worker count that ended with its
  /// process, as those who can't see the cause can't tell them apart.
  std::set<std::string> jobsThatMayBeGivenUp() const {
    std::set<std::string> Jobs;
    std::map<std::string, int> Crashes; ///< By task.
    for (const json &Event : History_.Workers)
      if (text(Event, "event") == "dropped") {
        const std::string Task = text(Event, "task");
        if (++Crashes[Task] >= CrashesBeforeGivingUp)
          Jobs.insert(jobOf(Task));
      }
    return Jobs;
  }

  // LOST: an accepted job stays known, ends, is reported as failed only if a
  // task failed often enough or two workers have crashed under it, and as
  // cancelled only if a client cancelled it.
  // MIXED: it is reported as completed only if all its tasks are done.
  void checkLostJobs() {
    Results_["LOST"].Checked = 0;
    Results_["MIXED"].Checked = 0;
    const auto Failures = failuresByJob();
    const auto MayBeGivenUp = jobsThatMayBeGivenUp();
    for (const json &Event : History_.Clients) {
      const std::string Kind = text(Event, "event");
      if (Kind != "state" && Kind != "last_state")
        continue;
      const std::string Id = text(Event, "job");
      const JobRecord &Job = Jobs_[Id];
      if (Job.Cancelled || !Job.AcceptedAt)
        continue;
      ++Results_["LOST"].Checked;
      const int Status = Event.value("status", 0);
      const std::string State = text(Event, "state");
      const std::int64_t SentUs = Event.value("sent_us", time(Event));
      if (Status == 410 &&
          SentUs > *Job.AcceptedAt + Options_.VisibilityDelayUs)
        addViolation("LOST",
                     fmt::format("{} was accepted but unknown {} ms later", Id,
                                 (SentUs - *Job.AcceptedAt) / 1000));
      if (State == "cancelled")
        addViolation(
            "LOST",
            Id + " was reported as cancelled, but no client cancelled it");
      if (State == "failed" && !MayBeGivenUp.contains(Id))
        checkFailedJob(Id, Job, Failures);
      if (State == "completed") {
        ++Results_["MIXED"].Checked;
        if (!isDone(Id, Job))
          addViolation("MIXED",
                       Id + " was reported as completed, but not all of its "
                            "tasks were done");
      }
      if (Kind == "last_state" && State != "completed" && State != "failed")
        addViolation(
            "LOST",
            fmt::format("{} had not ended at the end of the run: status "
                        "{}, state \"{}\"",
                        Id, Status, State));
    }
  }

  void checkFailedJob(
      const std::string &Id, const JobRecord &Job,
      const std::map<std::string, std::map<std::string, int>> &Failures) {
    const auto MaximumAttempts = History_.MaximumAttempts.find(Job.Queue);
    const int RequiredFailures =
        MaximumAttempts == History_.MaximumAttempts.end()
            ? 1
            : MaximumAttempts->second;
    const auto It = Failures.find(Id);
    if (It != Failures.end())
      for (const auto &[Task, Count] : It->second)
        if (Count >= RequiredFailures)
          return;
    addViolation("LOST",
                 fmt::format("{} was reported as failed, but no task "
                             "failed {} times, and under none {} "
                             "workers crashed",
                             Id, RequiredFailures, CrashesBeforeGivingUp));
  }

  PlatformHistory History_;
  PlatformCheckerOptions Options_;
  std::map<std::string, JobRecord> Jobs_;
  std::map<std::string, std::set<std::string>> DoneTasksByStep_;
  std::set<std::string> DoneGangs_;
  std::map<std::string, RuleResult> Results_;
};

} // namespace hickory::emulator
