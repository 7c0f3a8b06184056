#pragma once

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// Recorded histories of one run, each a list of JSON objects in file order.
/// All times are microseconds of the machine's wall clock, which all recording
/// processes share.
struct RunHistory {
  using Events = std::vector<nlohmann::json>;
  Events Client;    ///< Calls and replies of the load generator.
  Events Workers;   ///< Task starts and ends on the worker stand-in.
  Events Executors; ///< Request starts and ends on the executor stand-in.
  Events Faults;    ///< Injected faults: {t_us, fault, target, gateway}.
  Events Probes;    ///< Polled status: {t_us, slot, ready, config_version}.
  Events GatewayClosures;   ///< "closed" events of instances.
  nlohmann::json Upstreams; ///< Instance list document with capacities.
};

struct HistoryCheckerOptions {
  /// Time during which a leaving upstream may still receive new work. Covers
  /// the lag of the instance list, one poll of the list and a start in flight.
  std::int64_t LeavingGraceUs = 5000000;
  /// Maximum time from the acceptance of a configuration until every ready
  /// instance shows it.
  std::int64_t ConfigPropagationLimitUs = 18000000;
  /// One-way network delay between a client and an instance. A call sent less
  /// than this before the instance closes its gateway does not arrive.
  std::int64_t ClientOneWayDelayUs = 1000;
  /// Time after a kill, cut or pause of an instance during which calls sent to
  /// it may be cut off. The longest pause of Utilities/prove is 6 s.
  std::int64_t FaultEffectUs = 10000000;
};

/// Checks the guarantees of the scheduler against the recorded histories of one
/// run.
class HistoryChecker {
public:
  /// Result of the check of one guarantee.
  struct GuaranteeResult {
    std::uint64_t Violations = 0;
    /// Descriptions of the first MaximumExamples violations.
    std::vector<std::string> Examples;
    std::uint64_t Checked = 0; ///< Events or keys that were examined.
  };

  HistoryChecker(RunHistory History, HistoryCheckerOptions Options = {})
      : History_(std::move(History)), Options_(Options) {}

  /// Returns the results by the short name of the guarantee.
  std::map<std::string, GuaranteeResult> check() {
    checkCapacity();
    checkSinglePlace();
    checkOwnAnswers();
    checkNotRun();
    checkAtMostOnce();
    checkLeaving();
    checkGracefulStop();
    checkConfiguration();
    return Results_;
  }

private:
  using json = nlohmann::json;
  static constexpr std::size_t MaximumExamples = 3;

  void addViolation(const std::string &Guarantee, std::string Text) {
    GuaranteeResult &Result = Results_[Guarantee];
    ++Result.Violations;
    if (Result.Examples.size() < MaximumExamples)
      Result.Examples.push_back(std::move(Text));
  }

  static std::int64_t timeUs(const json &Event) {
    return Event.contains("wall_us") ? Event["wall_us"].get<std::int64_t>()
                                     : Event["t_us"].get<std::int64_t>();
  }

  static std::string stringField(const json &Event, const char *Name) {
    return Event.contains(Name) && Event[Name].is_string()
               ? Event[Name].get<std::string>()
               : std::string();
  }

  static bool isStart(const json &Event) {
    return stringField(Event, "event") == "started";
  }
  static bool isEnd(const json &Event) {
    const std::string Name = stringField(Event, "event");
    return Name == "ended" || Name == "expired" || Name == "stopped" ||
           Name == "dropped";
  }

  /// The id of an executor run is "<key>#<attempt>".
  static std::string keyOfId(const std::string &Id) {
    return Id.substr(0, Id.rfind('#'));
  }

  // 1. The resources of the tasks that run on a worker never exceed its
  // capacity.
  void checkCapacity() {
    GuaranteeResult &Result = Results_["capacity"];
    std::map<std::string, json> UpstreamByName;
    for (const json &Upstream : History_.Upstreams["instances"])
      UpstreamByName[stringField(Upstream, "name")] = Upstream;
    const char *Quantities[] = {"cpus_milli", "memory_mb", "accelerators"};
    std::map<std::string, std::map<std::string, std::int64_t>> Used;
    for (const json &Event : History_.Workers) {
      const std::string Worker = stringField(Event, "worker");
      if (!isStart(Event) && !isEnd(Event))
        continue;
      ++Result.Checked;
      for (const char *Quantity : Quantities) {
        std::int64_t &Committed = Used[Worker][Quantity];
        const std::int64_t Amount = Event.value(Quantity, std::int64_t(0));
        Committed += isStart(Event) ? Amount : -Amount;
        // A worker that is not in the list has no capacity.
        const auto Listed = UpstreamByName.find(Worker);
        const std::int64_t Limit =
            Listed == UpstreamByName.end()
                ? 0
                : Listed->second.value(Quantity, std::int64_t(0));
        if (isStart(Event) && Committed > Limit)
          addViolation("capacity",
                       fmt::format("{} of {} committed on {} of {} when {} "
                                   "started",
                                   Committed, Quantity, Limit, Worker,
                                   stringField(Event, "task")));
      }
    }
  }

  // 2. A task does not start again before its previous run has ended.
  void checkSinglePlace() {
    GuaranteeResult &Result = Results_["single_place"];
    std::map<std::string, std::string> RunningOn;
    for (const json &Event : History_.Workers) {
      const std::string Task = stringField(Event, "task");
      if (isStart(Event)) {
        ++Result.Checked;
        const auto It = RunningOn.find(Task);
        if (It != RunningOn.end())
          addViolation("single_place",
                       fmt::format("{} started on {} while it ran on {}", Task,
                                   stringField(Event, "worker"), It->second));
        RunningOn[Task] = stringField(Event, "worker");
      } else if (isEnd(Event)) {
        RunningOn.erase(Task);
      }
    }
  }

  /// Returns whether an answer of the executor stand-in, which has the form
  /// "answer:<payload>:<id>", belongs to the key.
  static bool isOwnAnswer(const std::string &Answer, const std::string &Key) {
    const std::string Prefix = "answer:payload of " + Key + ":" + Key + "#";
    return Answer.starts_with(Prefix) && Answer.size() > Prefix.size() &&
           Answer.find_first_not_of("0123456789", Prefix.size()) ==
               std::string::npos;
  }

  // 3. A completed request has the complete answer to its own payload, and all
  // answers to one key are identical.
  void checkOwnAnswers() {
    GuaranteeResult &Result = Results_["own_answer"];
    std::map<std::string, std::string> Answers;
    for (const json &Event : History_.Client) {
      if (stringField(Event, "op") != "return" || !Event.contains("body"))
        continue;
      const std::string Kind = stringField(Event, "kind");
      const bool MustHaveAnswer =
          (Kind == "request" || Kind == "once") &&
          stringField(Event["body"], "outcome") == "completed";
      if (!MustHaveAnswer && !Event["body"].contains("answer"))
        continue;
      const std::string Key = stringField(Event, "key");
      const std::string Answer = stringField(Event["body"], "answer");
      if (Key.empty())
        continue;
      ++Result.Checked;
      if (!isOwnAnswer(Answer, Key))
        addViolation("own_answer",
                     fmt::format("the answer to {} was \"{}\"", Key, Answer));
      const auto [It, New] = Answers.emplace(Key, Answer);
      if (!New && It->second != Answer)
        addViolation("own_answer",
                     fmt::format("{} was answered \"{}\" and \"{}\"", Key,
                                 It->second, Answer));
    }
  }

  /// Returns the start times of all tasks and requests, by key.
  std::map<std::string, std::vector<std::int64_t>> startTimes() const {
    std::map<std::string, std::vector<std::int64_t>> Times;
    for (const json &Event : History_.Workers)
      if (isStart(Event))
        Times[keyOfId(stringField(Event, "task"))].push_back(timeUs(Event));
    for (const json &Event : History_.Executors)
      if (isStart(Event))
        Times[keyOfId(stringField(Event, "id"))].push_back(timeUs(Event));
    return Times;
  }

  // 4. If the outcome "not_run" was returned for a key, nothing of the key had
  // started, and nothing starts later unless the client submits it again. A
  // cancellation is not a submission.
  void checkNotRun() {
    GuaranteeResult &Result = Results_["not_run"];
    const auto Starts = startTimes();
    std::map<std::string, std::vector<std::int64_t>> Calls;
    for (const json &Event : History_.Client)
      if (stringField(Event, "op") == "call" &&
          stringField(Event, "method") == "POST" &&
          !stringField(Event, "kind").starts_with("cancel-"))
        Calls[stringField(Event, "key")].push_back(timeUs(Event));
    for (const json &Event : History_.Client) {
      if (stringField(Event, "op") != "return" || !Event.contains("body") ||
          stringField(Event["body"], "outcome") != "not_run")
        continue;
      ++Result.Checked;
      const std::string Key = stringField(Event, "key");
      const std::int64_t ReportedAt = timeUs(Event);
      const auto It = Starts.find(Key);
      if (It == Starts.end())
        continue;
      std::optional<std::int64_t> ResubmittedAt;
      for (const std::int64_t Call : Calls[Key])
        if (Call > ReportedAt && (!ResubmittedAt || Call < *ResubmittedAt))
          ResubmittedAt = Call;
      for (const std::int64_t Start : It->second)
        if (Start <= ReportedAt || !ResubmittedAt || Start < *ResubmittedAt) {
          addViolation("not_run",
                       fmt::format("{} was reported as not run, but it started "
                                   "{} ms {} the report",
                                   Key, std::abs(Start - ReportedAt) / 1000,
                                   Start <= ReportedAt ? "before" : "after"));
          break;
        }
    }
  }

  // 5. A non-repeatable request runs at most once.
  void checkAtMostOnce() {
    GuaranteeResult &Result = Results_["at_most_once"];
    std::map<std::string, int> Runs;
    std::set<std::string> OnceKeys;
    for (const json &Event : History_.Client)
      if (stringField(Event, "kind") == "once")
        OnceKeys.insert(stringField(Event, "key"));
    for (const json &Event : History_.Executors) {
      const std::string Key = keyOfId(stringField(Event, "id"));
      if (isStart(Event) && OnceKeys.count(Key) != 0 && ++Runs[Key] == 2)
        addViolation("at_most_once", fmt::format("{} ran twice", Key));
    }
    Result.Checked = OnceKeys.size();
  }

  // 6. An upstream receives no new work later than LeavingGraceUs after it was
  // first marked as leaving. In the recorded runs a leaving upstream never
  // becomes live again.
  void checkLeaving() {
    GuaranteeResult &Result = Results_["leaving"];
    std::map<std::string, std::int64_t> LeftAt;
    for (const json &Event : History_.Faults)
      if (stringField(Event, "fault") == "leaving")
        LeftAt.emplace(stringField(Event, "target"), timeUs(Event));
    Result.Checked = LeftAt.size();
    const auto Check = [&](const json &Event, const std::string &Upstream,
                           const std::string &StartedWork) {
      const auto It = LeftAt.find(Upstream);
      if (!isStart(Event) || It == LeftAt.end() ||
          timeUs(Event) <= It->second + Options_.LeavingGraceUs)
        return;
      addViolation("leaving",
                   fmt::format("{} started {} {} ms after it was marked as "
                               "leaving",
                               Upstream, StartedWork,
                               (timeUs(Event) - It->second) / 1000));
    };
    for (const json &Event : History_.Workers)
      Check(Event, stringField(Event, "worker"), stringField(Event, "task"));
    for (const json &Event : History_.Executors)
      Check(Event, stringField(Event, "executor"), stringField(Event, "id"));
  }

  /// Returns when the instance first closed its gateway after the given time.
  [[nodiscard]] std::optional<std::int64_t>
  gatewayClosedAfter(const std::string &Slot, std::int64_t Begin) const {
    std::optional<std::int64_t> First;
    for (const json &Event : History_.GatewayClosures)
      if (stringField(Event, "process") == Slot && timeUs(Event) > Begin &&
          (!First || timeUs(Event) < *First))
        First = timeUs(Event);
    return First;
  }

  // 7. During a planned stop an instance answers every call that arrives before
  // it closes its gateway. The test driver notices the end of the process
  // only later; calls sent in between never reach the gateway. Calls that
  // another fault of the instance may have cut off are ignored.
  void checkGracefulStop() {
    GuaranteeResult &Result = Results_["graceful_stop"];
    struct Stop {
      std::int64_t Begin;
      std::optional<std::int64_t> End;
    };
    /// Planned stops by gateway address, in the order of their begin.
    std::map<std::string, std::vector<Stop>> Stops;
    /// Times of other faults, by gateway address.
    std::map<std::string, std::vector<std::int64_t>> CuttingFaults;
    for (const json &Event : History_.Faults) {
      const std::string Fault = stringField(Event, "fault");
      const std::string Gateway = stringField(Event, "gateway");
      if (Fault == "drain" && Gateway.empty())
        addViolation(
            "graceful_stop",
            fmt::format("the stop of {} cannot be checked: its gateway "
                        "was not recorded",
                        stringField(Event, "target")));
      if (Fault == "drain")
        Stops[Gateway].push_back(
            {timeUs(Event),
             gatewayClosedAfter(stringField(Event, "target"), timeUs(Event))});
      else if (Fault == "kill" || Fault == "cut" || Fault == "pause")
        CuttingFaults[Gateway].push_back(timeUs(Event));
      if (Fault == "drain_failed")
        addViolation("graceful_stop",
                     fmt::format("the drain of {} ended with status {}",
                                 stringField(Event, "target"),
                                 Event.value("status", -1)));
    }
    std::map<std::uint64_t, json> Calls;
    for (const json &Event : History_.Client) {
      if (stringField(Event, "op") == "call") {
        Calls[Event["call"].get<std::uint64_t>()] = Event;
        continue;
      }
      const std::string Gateway = stringField(Event, "gateway");
      const auto It = Stops.find(Gateway);
      if (It == Stops.end() || !Event.contains("call"))
        continue;
      const json &Call = Calls[Event["call"].get<std::uint64_t>()];
      const bool OverlapsStop = std::any_of(
          It->second.begin(), It->second.end(), [&](const Stop &Planned) {
            return timeUs(Event) >= Planned.Begin &&
                   (!Planned.End ||
                    timeUs(Call) + Options_.ClientOneWayDelayUs <=
                        *Planned.End);
          });
      const auto &InstanceFaults = CuttingFaults[Gateway];
      const bool MayBeCutByFault =
          std::any_of(InstanceFaults.begin(), InstanceFaults.end(),
                      [&](std::int64_t Fault) {
                        return Fault <= timeUs(Event) &&
                               timeUs(Call) <= Fault + Options_.FaultEffectUs;
                      });
      if (!OverlapsStop || MayBeCutByFault)
        continue;
      ++Result.Checked;
      // Values of ErrorCode for calls that never reached the instance.
      constexpr int Refused = 3;
      constexpr int NotSent = 4;
      if (!Event.contains("error"))
        continue;
      const int Code = Event["error"].get<int>();
      if (Code != Refused && Code != NotSent)
        addViolation("graceful_stop",
                     fmt::format("a call for {} was cut off: {}",
                                 stringField(Event, "key"),
                                 stringField(Event, "message")));
    }
  }

  // 8. The configuration version of a ready instance never decreases, and an
  // accepted version reaches every reachable instance within
  // ConfigPropagationLimitUs.
  void checkConfiguration() {
    GuaranteeResult &Result = Results_["configuration"];
    std::map<std::string, std::uint64_t> Highest;
    std::map<std::string, std::string> DomainOf;
    std::map<std::string, std::uint64_t> HighestInDomain;
    for (const json &Event : History_.Probes) {
      if (!Event.value("ready", false))
        continue;
      ++Result.Checked;
      const std::string Slot = stringField(Event, "slot");
      const std::uint64_t Version = Event["config_version"];
      std::uint64_t &HighestVersion = Highest[Slot];
      if (Version < HighestVersion)
        addViolation(
            "configuration",
            fmt::format(
                "the configuration version of {} decreased from {} to {}", Slot,
                HighestVersion, Version));
      HighestVersion = std::max(HighestVersion, Version);
    }
    for (const json &Event : History_.Faults) {
      if (stringField(Event, "fault") != "config_accepted")
        continue;
      const std::uint64_t Version = Event["version"];
      const std::int64_t AcceptedAt = timeUs(Event);
      for (const json &Probe : History_.Probes) {
        const bool IsLate =
            timeUs(Probe) > AcceptedAt + Options_.ConfigPropagationLimitUs;
        if (IsLate && Probe.value("ready", false) &&
            !Probe.value("cut_off", false) &&
            Probe["config_version"].get<std::uint64_t>() < Version) {
          addViolation(
              "configuration",
              fmt::format("{} still shows version {} after {} ms; {} was "
                          "accepted",
                          stringField(Probe, "slot"),
                          Probe["config_version"].get<std::uint64_t>(),
                          (timeUs(Probe) - AcceptedAt) / 1000, Version));
          break;
        }
      }
    }
  }

  RunHistory History_;
  HistoryCheckerOptions Options_;
  std::map<std::string, GuaranteeResult> Results_;
};

} // namespace hickory
