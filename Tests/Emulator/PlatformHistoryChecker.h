#pragma once

#include "Tools/HistoryChecker.h"

#include <map>
#include <set>
#include <utility>

namespace hickory::emulator {

/// What one run on the emulator recorded, in order of time. All times are
/// microseconds of the wall clock ("wall_us").
struct PlatformHistory {
  RunHistory::Events Clients; ///< Of the load tool.
  RunHistory::Events Workers; ///< Of the emulator.
  nlohmann::json Capacity;    ///< Of each worker, as in RunHistory.
  std::map<std::string, int> MaximumAttempts; ///< By queue.
};

struct PlatformCheckerOptions {
  /// A job is known everywhere so long after its acceptance.
  std::int64_t VisibleUs = 3000000;
};

/// Decides from a history whether the platform's rules were kept, as far as
/// they need no knowledge of which processes were in touch. Names the rules as
/// the platform does.
class PlatformHistoryChecker {
public:
  using Finding = HistoryChecker::GuaranteeResult;

  PlatformHistoryChecker(PlatformHistory History,
                         PlatformCheckerOptions Options = {})
      : History_(std::move(History)), Options_(Options) {}

  std::map<std::string, Finding> check() {
    readJobs();
    checkSharedRules();
    checkRestarts();
    checkOrder();
    checkRefused();
    checkLost();
    return Findings_;
  }

private:
  using json = nlohmann::json;
  static constexpr std::size_t MaximumExamples = 3;

  /// What is known of a job from its clients.
  struct Job {
    json Steps = json::array();
    std::string Queue;
    std::optional<std::int64_t> AcceptedAt;
    bool MayBeAccepted = false; ///< A submission had no answer.
    bool Cancelled = false;     ///< A cancel was sent.
  };

  void violation(const std::string &Rule, std::string Text) {
    Finding &Found = Findings_[Rule];
    ++Found.Violations;
    if (Found.Examples.size() < MaximumExamples)
      Found.Examples.push_back(std::move(Text));
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
      Job &Known = Jobs_[text(Event, "job")];
      if (Kind == "submit") {
        Known.Steps = Event.at("steps");
        Known.Queue = text(Event, "queue");
      } else if (Kind == "submitted") {
        const int Status = Event.value("status", 0);
        if (isSuccess(Status) && !Known.AcceptedAt)
          Known.AcceptedAt = time(Event);
        // 0 stands for no answer.
        if (Status == 0 || Status == 502 || Status == 504)
          Known.MayBeAccepted = true;
      } else if (Kind == "cancel") {
        Known.Cancelled = true;
      }
    }
  }

  // LIMIT is the capacity rule of the stand-in workers, and the first half of
  // TWICE is their rule of a single place.
  void checkSharedRules() {
    RunHistory Shared;
    for (const json &Event : History_.Workers)
      if (Event.contains("task"))
        Shared.Workers.push_back(Event);
    Shared.Upstreams = History_.Capacity;
    auto Found = HistoryChecker(std::move(Shared)).check();
    Findings_["LIMIT"] = Found["capacity"];
    Findings_["TWICE"] = Found["single_place"];
  }

  /// Ends that were taken note of, by worker, life and number.
  std::set<std::string> acknowledgedEnds() const {
    std::set<std::string> Noted;
    std::map<std::string, std::vector<std::int64_t>> Listed;
    for (const json &Event : History_.Workers) {
      const std::string Kind = text(Event, "event");
      const std::string Life = lifeOf(Event);
      if (Kind == "ended")
        Listed[Life].push_back(Event.at("number").get<std::int64_t>());
      // An end listed before the lease lapsed counts only if it was noted
      // before that.
      if (Kind == "lease_lapsed")
        Listed[Life].clear();
      if (Kind == "acknowledged")
        for (const std::int64_t Number : Listed[Life])
          if (Number <= Event.at("number").get<std::int64_t>())
            Noted.insert(endName(Life, Number));
    }
    return Noted;
  }

  static std::string lifeOf(const json &Event) {
    return fmt::format("{}/{}", text(Event, "worker"),
                       Event.value("born", std::int64_t{0}));
  }
  static std::string endName(const std::string &Life, std::int64_t Number) {
    return fmt::format("{}#{}", Life, Number);
  }

  // The second half of TWICE: nothing starts after an end `done` that was
  // taken note of then or later.
  void checkRestarts() {
    const std::set<std::string> Noted = acknowledgedEnds();
    std::map<std::string, std::int64_t> DoneAt; ///< Tasks, and steps of gangs.
    for (const json &Event : History_.Workers) {
      const std::string Task = text(Event, "task");
      if (text(Event, "event") == "ended" && text(Event, "how") == "done" &&
          Noted.contains(
              endName(lifeOf(Event), Event.at("number").get<std::int64_t>())))
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
          violation("TWICE",
                    fmt::format("{} run {} started on {} {} ms after a run "
                                "had ended done",
                                Task, Event.value("run", 0),
                                text(Event, "worker"),
                                (time(Event) - It->second) / 1000));
    }
  }

  // A task starts after all tasks of the steps that its own depends on.
  void checkOrder() {
    Finding &Found = Findings_["ORDER"];
    std::map<std::string, std::set<std::string>> Done; ///< Tasks by step.
    std::set<std::string> DoneGangs;
    for (const json &Event : History_.Workers) {
      const std::string Task = text(Event, "task");
      const std::string Step = stepOf(Task);
      if (text(Event, "event") == "ended" && text(Event, "how") == "done") {
        Done[Step].insert(Task);
        if (Event.value("gang", false))
          DoneGangs.insert(Step);
      }
      if (text(Event, "event") != "started")
        continue;
      ++Found.Checked;
      const auto It = Jobs_.find(jobOf(Task));
      if (It == Jobs_.end())
        continue;
      const std::string Occurrence = Step.substr(0, Step.rfind('.'));
      const auto Number = std::stoul(Step.substr(Step.rfind('.') + 1));
      if (Number >= It->second.Steps.size())
        continue;
      const json &Own = It->second.Steps[Number];
      for (const json &Earlier : Own.value("depends-on", json::array())) {
        const std::string Name =
            fmt::format("{}.{}", Occurrence, Earlier.get<int>());
        const auto Count =
            It->second.Steps.at(Earlier.get<std::size_t>()).value("count", 1);
        if (!DoneGangs.contains(Name) &&
            Done[Name].size() < static_cast<std::size_t>(Count))
          violation("ORDER", fmt::format("{} started when {} of {} tasks of "
                                         "step {} were done",
                                         Task, Done[Name].size(), Count,
                                         Earlier.get<int>()));
      }
    }
    Done_ = std::move(Done);
    DoneGangs_ = std::move(DoneGangs);
  }

  // Nothing starts of a job whose submissions were all refused, or that nobody
  // sent.
  void checkRefused() {
    Findings_["REFUSED"].Checked = 0;
    for (const json &Event : History_.Workers) {
      if (text(Event, "event") != "started")
        continue;
      ++Findings_["REFUSED"].Checked;
      const std::string Task = text(Event, "task");
      const auto It = Jobs_.find(jobOf(Task));
      if (It == Jobs_.end())
        violation("UNASKED", Task + " belongs to a job that nobody sent");
      else if (!It->second.AcceptedAt && !It->second.MayBeAccepted)
        violation("REFUSED", Task + " started though its job was refused");
    }
  }

  [[nodiscard]] bool isDone(const std::string &Id, const Job &Known) const {
    for (std::size_t Number = 0; Number < Known.Steps.size(); ++Number) {
      const std::string Step = fmt::format("{}.0.{}", Id, Number);
      const auto It = Done_.find(Step);
      const std::size_t Count = It == Done_.end() ? 0 : It->second.size();
      if (!DoneGangs_.contains(Step) &&
          Count <
              static_cast<std::size_t>(Known.Steps[Number].value("count", 1)))
        return false;
    }
    return true;
  }

  /// Failed runs of each task, and of each gang as a whole.
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

  // An accepted job stays known, is shown as failed or cancelled only with a
  // cause, and ends. MIXED: it is shown as completed only if all tasks ended.
  void checkLost() {
    Findings_["LOST"].Checked = 0;
    Findings_["MIXED"].Checked = 0;
    const auto Failures = failuresByJob();
    for (const json &Event : History_.Clients) {
      const std::string Kind = text(Event, "event");
      if (Kind != "state" && Kind != "last_state")
        continue;
      const std::string Id = text(Event, "job");
      const Job &Known = Jobs_[Id];
      if (Known.Cancelled || !Known.AcceptedAt)
        continue;
      ++Findings_["LOST"].Checked;
      const int Status = Event.value("status", 0);
      const std::string State = text(Event, "state");
      const std::int64_t Sent = Event.value("sent_us", time(Event));
      if (Status == 410 && Sent > *Known.AcceptedAt + Options_.VisibleUs)
        violation("LOST",
                  fmt::format("{} was accepted, and unknown {} ms later", Id,
                              (Sent - *Known.AcceptedAt) / 1000));
      if (State == "cancelled")
        violation("LOST", Id + " was shown as cancelled, and nobody had");
      if (State == "failed")
        checkFailed(Id, Known, Failures);
      if (State == "completed") {
        ++Findings_["MIXED"].Checked;
        if (!isDone(Id, Known))
          violation("MIXED",
                    Id + " was shown as completed, and a task had not ended");
      }
      if (Kind == "last_state" && State != "completed" && State != "failed")
        violation("LOST",
                  fmt::format("{} had not ended at the end of the run: status "
                              "{}, state \"{}\"",
                              Id, Status, State));
    }
  }

  void checkFailed(
      const std::string &Id, const Job &Known,
      const std::map<std::string, std::map<std::string, int>> &Failures) {
    const auto Attempts = History_.MaximumAttempts.find(Known.Queue);
    const int Needed =
        Attempts == History_.MaximumAttempts.end() ? 1 : Attempts->second;
    const auto It = Failures.find(Id);
    if (It != Failures.end())
      for (const auto &[Task, Count] : It->second)
        if (Count >= Needed)
          return;
    violation("LOST", fmt::format("{} was shown as failed, and no task had "
                                  "failed {} times",
                                  Id, Needed));
  }

  PlatformHistory History_;
  PlatformCheckerOptions Options_;
  std::map<std::string, Job> Jobs_;
  std::map<std::string, std::set<std::string>> Done_; ///< Tasks by step.
  std::set<std::string> DoneGangs_;
  std::map<std::string, Finding> Findings_;
};

} // namespace hickory::emulator
