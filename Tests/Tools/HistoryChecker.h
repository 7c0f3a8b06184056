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
  Events Client;    ///< Calls and returns of the load generator.
  Events Workers;   ///< What the worker stand-in ran.
  Events Executors; ///< What the executor stand-in ran.
  Events Faults;    ///< What the driver did: {t_us, fault, target}.
  Events Probes;    ///< {t_us, slot, ready, config_version} read in a loop.
  Events Stops;     ///< Events with which instances closed their gateways.
  nlohmann::json Upstreams; ///< List document with capacities.
};

struct CheckerOptions {
  /// How long a leaving upstream may still get new work: the list's lag, a poll
  /// of the list and a start in flight.
  std::int64_t LeavingGraceUs = 5000000;
  /// From the acceptance of a configuration to its being in force everywhere.
  std::int64_t ConfigLimitUs = 18000000;
  /// One-way delay between a caller and an instance. A call sent less than this
  /// before the instance ended reaches nobody.
  std::int64_t ClientDelayUs = 1000;
  /// How long after a kill, cut or pause of an instance the fault may cut off
  /// calls sent to it. The longest pause of Utilities/prove is 6 s.
  std::int64_t FaultReachUs = 10000000;
};

/// Decides from the recorded histories alone whether each guarantee held.
class HistoryChecker {
public:
  /// Number and shortest explanations of the violations of one guarantee.
  struct GuaranteeResult {
    std::uint64_t Violations = 0;
    std::vector<std::string> Examples;
    std::uint64_t Checked = 0; ///< Events that the check looked at.
  };

  HistoryChecker(RunHistory History, CheckerOptions Options = {})
      : History_(std::move(History)), Options_(Options) {}

  /// Keyed by the guarantee's short name.
  std::map<std::string, GuaranteeResult> check() {
    checkCapacity();
    checkSinglePlace();
    checkOwnAnswers();
    checkNotRun();
    checkAtMostOnce();
    checkLeaving();
    checkGracefulStop();
    checkConfiguration();
    return Findings_;
  }

private:
  using json = nlohmann::json;
  static constexpr std::size_t MaximumExamples = 3;

  void violation(const std::string &Guarantee, std::string Text) {
    GuaranteeResult &Found = Findings_[Guarantee];
    ++Found.Violations;
    if (Found.Examples.size() < MaximumExamples)
      Found.Examples.push_back(std::move(Text));
  }

  static std::int64_t time(const json &Event) {
    return Event.contains("wall_us") ? Event["wall_us"].get<std::int64_t>()
                                     : Event["t_us"].get<std::int64_t>();
  }

  static std::string text(const json &Event, const char *Name) {
    return Event.contains(Name) && Event[Name].is_string()
               ? Event[Name].get<std::string>()
               : std::string();
  }

  static bool isStart(const json &Event) {
    return text(Event, "event") == "started";
  }
  static bool isEnd(const json &Event) {
    const std::string Name = text(Event, "event");
    return Name == "ended" || Name == "expired" || Name == "stopped" ||
           Name == "dropped";
  }

  /// The id of an executor run is "<key>#<attempt>".
  static std::string keyOfId(const std::string &Id) {
    return Id.substr(0, Id.rfind('#'));
  }

  // 1. The sum of what runs on a worker never exceeds it.
  void checkCapacity() {
    GuaranteeResult &Found = Findings_["capacity"];
    std::map<std::string, json> Total;
    for (const json &Upstream : History_.Upstreams["instances"])
      Total[text(Upstream, "name")] = Upstream;
    const char *Quantities[] = {"cpus_milli", "memory_mb", "accelerators"};
    std::map<std::string, std::map<std::string, std::int64_t>> Used;
    for (const json &Event : History_.Workers) {
      const std::string Worker = text(Event, "worker");
      if (!isStart(Event) && !isEnd(Event))
        continue;
      ++Found.Checked;
      for (const char *Quantity : Quantities) {
        std::int64_t &Sum = Used[Worker][Quantity];
        const std::int64_t Amount = Event.value(Quantity, std::int64_t(0));
        Sum += isStart(Event) ? Amount : -Amount;
        // A worker that the list lacks has nothing to commit.
        const auto Known = Total.find(Worker);
        const std::int64_t Limit =
            Known == Total.end()
                ? 0
                : Known->second.value(Quantity, std::int64_t(0));
        if (isStart(Event) && Sum > Limit)
          violation("capacity",
                    fmt::format("{} of {} committed on {} of {} when {} "
                                "started",
                                Sum, Quantity, Limit, Worker,
                                text(Event, "task")));
      }
    }
  }

  // 2. A task that runs somewhere does not start again before it ended.
  void checkSinglePlace() {
    GuaranteeResult &Found = Findings_["single_place"];
    std::map<std::string, std::string> RunningOn;
    for (const json &Event : History_.Workers) {
      const std::string Task = text(Event, "task");
      if (isStart(Event)) {
        ++Found.Checked;
        const auto It = RunningOn.find(Task);
        if (It != RunningOn.end())
          violation("single_place",
                    fmt::format("{} started on {} while it ran on {}", Task,
                                text(Event, "worker"), It->second));
        RunningOn[Task] = text(Event, "worker");
      } else if (isEnd(Event)) {
        RunningOn.erase(Task);
      }
    }
  }

  /// Answers of the executor stand-in are "answer:<payload>:<id>".
  static bool isOwnAnswer(const std::string &Answer, const std::string &Key) {
    const std::string Prefix = "answer:payload of " + Key + ":" + Key + "#";
    return Answer.starts_with(Prefix) && Answer.size() > Prefix.size() &&
           Answer.find_first_not_of("0123456789", Prefix.size()) ==
               std::string::npos;
  }

  // 3. A completed request has an answer, which is the whole one derived from
  // the caller's own payload, and all answers to one key are the same.
  void checkOwnAnswers() {
    GuaranteeResult &Found = Findings_["own_answer"];
    std::map<std::string, std::string> Answers;
    for (const json &Event : History_.Client) {
      if (text(Event, "op") != "return" || !Event.contains("body"))
        continue;
      const std::string Kind = text(Event, "kind");
      const bool MustHaveAnswer = (Kind == "request" || Kind == "once") &&
                                  text(Event["body"], "outcome") == "completed";
      if (!MustHaveAnswer && !Event["body"].contains("answer"))
        continue;
      const std::string Key = text(Event, "key");
      const std::string Answer = text(Event["body"], "answer");
      if (Key.empty())
        continue;
      ++Found.Checked;
      if (!isOwnAnswer(Answer, Key))
        violation("own_answer",
                  fmt::format("the answer to {} was \"{}\"", Key, Answer));
      const auto [It, New] = Answers.emplace(Key, Answer);
      if (!New && It->second != Answer)
        violation("own_answer", fmt::format("{} was answered \"{}\" and \"{}\"",
                                            Key, It->second, Answer));
    }
  }

  /// Times at which any part of a key was started, by key.
  std::map<std::string, std::vector<std::int64_t>> startTimes() const {
    std::map<std::string, std::vector<std::int64_t>> Times;
    for (const json &Event : History_.Workers)
      if (isStart(Event))
        Times[keyOfId(text(Event, "task"))].push_back(time(Event));
    for (const json &Event : History_.Executors)
      if (isStart(Event))
        Times[keyOfId(text(Event, "id"))].push_back(time(Event));
    return Times;
  }

  // 4. Nothing of a key ran before "not run" was said, nor after it unless the
  // caller asked again. A cancellation does not ask for the work.
  void checkNotRun() {
    GuaranteeResult &Found = Findings_["not_run"];
    const auto Starts = startTimes();
    std::map<std::string, std::vector<std::int64_t>> Calls;
    for (const json &Event : History_.Client)
      if (text(Event, "op") == "call" && text(Event, "method") == "POST" &&
          !text(Event, "kind").starts_with("cancel-"))
        Calls[text(Event, "key")].push_back(time(Event));
    for (const json &Event : History_.Client) {
      if (text(Event, "op") != "return" || !Event.contains("body") ||
          text(Event["body"], "outcome") != "not_run")
        continue;
      ++Found.Checked;
      const std::string Key = text(Event, "key");
      const std::int64_t Said = time(Event);
      const auto It = Starts.find(Key);
      if (It == Starts.end())
        continue;
      std::optional<std::int64_t> AskedAgain;
      for (const std::int64_t Call : Calls[Key])
        if (Call > Said && (!AskedAgain || Call < *AskedAgain))
          AskedAgain = Call;
      for (const std::int64_t Start : It->second)
        if (Start <= Said || !AskedAgain || Start < *AskedAgain) {
          violation("not_run",
                    fmt::format("{} was said not to have run, but it started "
                                "{} ms {}",
                                Key, std::abs(Start - Said) / 1000,
                                Start <= Said ? "before" : "after"));
          break;
        }
    }
  }

  // 5. A key of non-repeatable work runs at most once.
  void checkAtMostOnce() {
    GuaranteeResult &Found = Findings_["at_most_once"];
    std::map<std::string, int> Runs;
    std::set<std::string> OnceKeys;
    for (const json &Event : History_.Client)
      if (text(Event, "kind") == "once")
        OnceKeys.insert(text(Event, "key"));
    for (const json &Event : History_.Executors) {
      const std::string Key = keyOfId(text(Event, "id"));
      if (isStart(Event) && OnceKeys.count(Key) != 0 && ++Runs[Key] == 2)
        violation("at_most_once", fmt::format("{} ran twice", Key));
    }
    Found.Checked = OnceKeys.size();
  }

  // 6. No new work for an upstream some seconds after it first began to leave.
  // No history has an upstream that is live again.
  void checkLeaving() {
    GuaranteeResult &Found = Findings_["leaving"];
    std::map<std::string, std::int64_t> LeftAt;
    for (const json &Event : History_.Faults)
      if (text(Event, "fault") == "leaving")
        LeftAt.emplace(text(Event, "target"), time(Event));
    Found.Checked = LeftAt.size();
    const auto Check = [&](const json &Event, const std::string &Upstream,
                           const std::string &Work) {
      const auto It = LeftAt.find(Upstream);
      if (!isStart(Event) || It == LeftAt.end() ||
          time(Event) <= It->second + Options_.LeavingGraceUs)
        return;
      violation("leaving",
                fmt::format("{} started {} {} ms after it began to "
                            "leave",
                            Upstream, Work, (time(Event) - It->second) / 1000));
    };
    for (const json &Event : History_.Workers)
      Check(Event, text(Event, "worker"), text(Event, "task"));
    for (const json &Event : History_.Executors)
      Check(Event, text(Event, "executor"), text(Event, "id"));
  }

  /// When the instance closed its gateway, after a drain began.
  [[nodiscard]] std::optional<std::int64_t>
  stopAfter(const std::string &Slot, std::int64_t Begin) const {
    std::optional<std::int64_t> First;
    for (const json &Event : History_.Stops)
      if (text(Event, "process") == Slot && time(Event) > Begin &&
          (!First || time(Event) < *First))
        First = time(Event);
    return First;
  }

  // 7. A planned stop answers every call that reached the instance before it
  // closed its gateway. The instance ends and the driver notices it only later;
  // calls sent in between never reached the gateway. Calls that
  // another fault of the instance can have cut off are left out.
  void checkGracefulStop() {
    GuaranteeResult &Found = Findings_["graceful_stop"];
    struct Stop {
      std::int64_t Begin;
      std::optional<std::int64_t> End;
    };
    /// By gateway address, in the order in which they began.
    std::map<std::string, std::vector<Stop>> Stops;
    /// Times of other faults, by gateway address.
    std::map<std::string, std::vector<std::int64_t>> OtherFaults;
    for (const json &Event : History_.Faults) {
      const std::string Fault = text(Event, "fault");
      const std::string Gateway = text(Event, "gateway");
      if (Fault == "drain" && Gateway.empty())
        violation("graceful_stop",
                  fmt::format("the stop of {} cannot be checked: its gateway "
                              "was not recorded",
                              text(Event, "target")));
      if (Fault == "drain")
        Stops[Gateway].push_back(
            {time(Event), stopAfter(text(Event, "target"), time(Event))});
      else if (Fault == "kill" || Fault == "cut" || Fault == "pause")
        OtherFaults[Gateway].push_back(time(Event));
      if (Fault == "drain_failed")
        violation("graceful_stop",
                  fmt::format("the drain of {} ended with status {}",
                              text(Event, "target"),
                              Event.value("status", -1)));
    }
    std::map<std::uint64_t, json> Calls;
    for (const json &Event : History_.Client) {
      if (text(Event, "op") == "call") {
        Calls[Event["call"].get<std::uint64_t>()] = Event;
        continue;
      }
      const std::string Gateway = text(Event, "gateway");
      const auto It = Stops.find(Gateway);
      if (It == Stops.end() || !Event.contains("call"))
        continue;
      const json &Call = Calls[Event["call"].get<std::uint64_t>()];
      const bool During = std::any_of(
          It->second.begin(), It->second.end(), [&](const Stop &Planned) {
            return time(Event) >= Planned.Begin &&
                   (!Planned.End ||
                    time(Call) + Options_.ClientDelayUs <= *Planned.End);
          });
      const auto &Others = OtherFaults[Gateway];
      const bool Excused =
          std::any_of(Others.begin(), Others.end(), [&](std::int64_t Fault) {
            return Fault <= time(Event) &&
                   time(Call) <= Fault + Options_.FaultReachUs;
          });
      if (!During || Excused)
        continue;
      ++Found.Checked;
      // Refused and NotSent mean that the instance never had the call.
      constexpr int Refused = 3;
      constexpr int NotSent = 4;
      if (!Event.contains("error"))
        continue;
      const int Code = Event["error"].get<int>();
      if (Code != Refused && Code != NotSent)
        violation("graceful_stop",
                  fmt::format("a call for {} was cut off: {}",
                              text(Event, "key"), text(Event, "message")));
    }
  }

  // 8. The version that a ready instance shows never falls, and reaches every
  // instance that can be reached within the limit.
  void checkConfiguration() {
    GuaranteeResult &Found = Findings_["configuration"];
    std::map<std::string, std::uint64_t> Highest;
    std::map<std::string, std::string> DomainOf;
    std::map<std::string, std::uint64_t> HighestInDomain;
    for (const json &Event : History_.Probes) {
      if (!Event.value("ready", false))
        continue;
      ++Found.Checked;
      const std::string Slot = text(Event, "slot");
      const std::uint64_t Version = Event["config_version"];
      std::uint64_t &Best = Highest[Slot];
      if (Version < Best)
        violation("configuration",
                  fmt::format("{} went back from version {} to {}", Slot, Best,
                              Version));
      Best = std::max(Best, Version);
    }
    for (const json &Event : History_.Faults) {
      if (text(Event, "fault") != "config_accepted")
        continue;
      const std::uint64_t Version = Event["version"];
      const std::int64_t Accepted = time(Event);
      for (const json &Probe : History_.Probes) {
        const bool Late = time(Probe) > Accepted + Options_.ConfigLimitUs;
        if (Late && Probe.value("ready", false) &&
            !Probe.value("cut_off", false) &&
            Probe["config_version"].get<std::uint64_t>() < Version) {
          violation("configuration",
                    fmt::format("{} still shows version {} after {} ms; {} was "
                                "accepted",
                                text(Probe, "slot"),
                                Probe["config_version"].get<std::uint64_t>(),
                                (time(Probe) - Accepted) / 1000, Version));
          break;
        }
      }
    }
  }

  RunHistory History_;
  CheckerOptions Options_;
  std::map<std::string, GuaranteeResult> Findings_;
};

} // namespace hickory
