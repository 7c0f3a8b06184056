#pragma once

#include "Emulator/EmulatorSettings.h"

namespace hickory::emulator {

/// One kind of job that the load tool sends.
struct JobKind {
  std::string Name;
  std::string Queue;
  double PerSecond = 1;
  double CancelShare = 0;
  json Steps = json::array(); ///< The steps in the format of a submission.
  std::string Spec;           ///< JSON text that parseRunPlan() reads.
  /// Share of the jobs whose first task crashes each worker that starts it.
  double CrashShare = 0;
  std::string CrashingSpec; ///< Spec of these jobs.
};

/// A fault to inject during a run: a command for the emulator's control address
/// or a signal to an instance.
struct PlannedFault {
  double AtSeconds = 0;
  json Command;
  int Instance = -1; ///< Negative if the fault is a command for the emulator.

  [[nodiscard]] bool targetsInstance() const { return Instance >= 0; }
  /// Whether the fault is no planned work of the platform.
  [[nodiscard]] bool isUnplanned() const {
    return kind() == "kill-instance" || kind() == "pause-instance" ||
           (!targetsInstance() && kind() != "change-routes");
  }
  [[nodiscard]] std::string kind() const {
    return Command.at("kind").get<std::string>();
  }
};

/// The table [load] of a settings file.
struct LoadSettings {
  int Instances = 3;
  double Seconds = 10;
  /// How long to wait for unfinished jobs after the last submission.
  double FinishSeconds = 60;
  std::vector<JobKind> Kinds;
  std::vector<PlannedFault> Faults;
  /// Number of randomly drawn stops, reloads and changes of the configuration.
  int PlannedWork = 0;
  /// Whether clients keep their connections open (see KeepAliveClient).
  bool KeepAlive = false;
  /// Share of the requests that such clients send before the previous response.
  double PipelinedShare = 0;
};

/// Reads one step and adds it to the steps of the kind's submission and to the
/// plan of its runs.
inline void readStep(CheckedTable Table, JobKind &Kind, json &Plan) {
  json Request = {{"count", Table.integer("count", 1, 1, 10000)}};
  const int DurationMs = Table.integer("ms", 100, 1, 600000);
  Request["estimated-ms"] = DurationMs;
  for (const char *Quantity : {"cpu", "mem-mb", "gpu"})
    if (const int Amount = Table.integer(Quantity, 0, 0, 1000000); Amount > 0)
      Request[Quantity] = Amount;
  if (Table.flag("gang", false))
    Request["gang"] = true;
  if (auto Dependencies = Table.integers("depends-on"); !Dependencies.empty()) {
    for (const int Dependency : Dependencies)
      if (Dependency < 0 || Dependency >= static_cast<int>(Kind.Steps.size()))
        throw SettingsError(fmt::format(
            "{}: depends-on names step {}, which is not an earlier step",
            Kind.Name, Dependency));
    Request["depends-on"] = Dependencies;
  }
  Table.rejectUnknownKeys();
  json PlanStep = Request;
  PlanStep.erase("estimated-ms");
  PlanStep.erase("depends-on");
  PlanStep["ms"] = DurationMs;
  Plan.push_back(std::move(PlanStep));
  Kind.Steps.push_back(std::move(Request));
}

/// Sets the specs of the kind's jobs. Plan holds the plans of the steps' runs.
inline void setSpecs(JobKind &Kind, const json &Plan, int CrashDelayMs) {
  constexpr std::size_t MaximumSpecBytes = 4000;
  json Spec = {{"queue", Kind.Queue}, {"steps", Plan}};
  Kind.Spec = Spec.dump();
  Spec["crash-after-ms"] = CrashDelayMs;
  Kind.CrashingSpec = Spec.dump();
  if (Kind.CrashingSpec.size() > MaximumSpecBytes)
    throw SettingsError(Kind.Name +
                        ": too many steps for a spec of 4000 bytes");
  // A run that fails ends after half of its time.
  const int EarliestEndMs = Plan.front().at("ms").get<int>() / 2;
  if (Kind.CrashShare > 0 && CrashDelayMs >= EarliestEndMs)
    throw SettingsError(
        fmt::format("{}: crash-after-ms must be less than half of the first "
                    "step's ms, {}, not {}",
                    Kind.Name, EarliestEndMs, CrashDelayMs));
}

inline JobKind readKind(CheckedTable Table, const EmulatorSettings &Platform) {
  JobKind Kind;
  Kind.Name = Table.text("name", "");
  Kind.Queue = Table.text("queue", "");
  const bool IsKnownQueue =
      std::any_of(Platform.Routes.begin(), Platform.Routes.end(),
                  [&](const auto &Route) { return Route.Name == Kind.Queue; });
  if (Kind.Name.empty() || !IsKnownQueue)
    throw SettingsError(fmt::format(
        "each of load.kinds must have a name and the name of a route as queue, "
        "not \"{}\" and \"{}\"",
        Kind.Name, Kind.Queue));
  Kind.PerSecond = Table.number("per-second", 1, 0.001, 10000);
  Kind.CancelShare = Table.number("cancel-share", 0, 0, 1);
  Kind.CrashShare = Table.number("crash-share", 0, 0, 1);
  const int CrashDelayMs = Table.integer("crash-after-ms", 5, 0, 600000);
  json Plan = json::array();
  for (const CheckedTable &Step : Table.tables("steps"))
    readStep(Step, Kind, Plan);
  Table.rejectUnknownKeys();
  if (Kind.Steps.empty())
    throw SettingsError(Kind.Name + ": a kind must have at least one step");
  setSpecs(Kind, Plan, CrashDelayMs);
  return Kind;
}

inline PlannedFault readFault(CheckedTable Table, int Instances) {
  PlannedFault Fault;
  Fault.AtSeconds = Table.number("at-seconds", 0, 0, 86400);
  const std::string Kind = Table.text("kind", "");
  static const std::set<std::string> EmulatorFaultKinds = {
      "lose-answers", "reset-orders",   "refuse-orders",
      "late-orders",  "store-down",     "deal-anew",
      "drop-history", "restart-worker", "change-routes"};
  static const std::set<std::string> InstanceFaultKinds = {
      "kill-instance", "stop-instance", "pause-instance", "reload-instance"};
  if (InstanceFaultKinds.contains(Kind))
    Fault.Instance = Table.integer("instance", 0, 0, Instances - 1);
  else if (!EmulatorFaultKinds.contains(Kind))
    throw SettingsError("load.troubles: \"" + Kind +
                        "\" is not a known kind of trouble");
  Fault.Command = {{"kind", Kind},
                   {"share", Table.number("share", 1, 0, 1)},
                   {"seconds", Table.number("seconds", 1, 0, 3600)}};
  if (Table.contains("worker"))
    Fault.Command["worker"] = Table.text("worker", "");
  Table.rejectUnknownKeys();
  return Fault;
}

inline LoadSettings readLoadSettings(CheckedTable Table,
                                     const EmulatorSettings &Platform) {
  LoadSettings Settings;
  Settings.Instances = Table.integer("instances", 3, 1, 100);
  Settings.Seconds = Table.number("seconds", 10, 0.1, 86400);
  Settings.FinishSeconds = Table.number("finish-seconds", 60, 1, 3600);
  Settings.PlannedWork = Table.integer("planned-work", 0, 0, 10000);
  Settings.KeepAlive = Table.flag("keep-alive", false);
  Settings.PipelinedShare = Table.number("pipelined-share", 0, 0, 1);
  for (const CheckedTable &Kind : Table.tables("kinds"))
    Settings.Kinds.push_back(readKind(Kind, Platform));
  if (Settings.Kinds.empty())
    throw SettingsError("load.kinds must name at least one kind of job");
  for (const CheckedTable &Fault : Table.tables("troubles"))
    Settings.Faults.push_back(readFault(Fault, Settings.Instances));
  Table.rejectUnknownKeys();
  return Settings;
}

/// Throws SettingsError for a table that neither program reads.
inline void checkTopLevel(const json &File) {
  for (const auto &[Key, Value] : File.items())
    if (Key != "platform" && Key != "load")
      throw SettingsError(Key + " is not a known table");
}

} // namespace hickory::emulator
