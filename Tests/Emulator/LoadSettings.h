#pragma once

#include "Emulator/EmulatorSettings.h"

namespace hickory::emulator {

/// One kind of job that the load tool sends.
struct JobKind {
  std::string Name;
  std::string Queue;
  double PerSecond = 1;
  double CancelShare = 0;
  json Steps = json::array(); ///< As sent to the system.
  std::string Spec;           ///< The plan of the runs, see RunPlan.
};

/// A command for the emulator's control address, or a signal to an instance.
struct PlannedTrouble {
  double AtSeconds = 0;
  json Command;
  int Instance = -1; ///< Negative: of a command for the emulator.

  [[nodiscard]] bool isForInstance() const { return Instance >= 0; }
  [[nodiscard]] std::string kind() const {
    return Command.at("kind").get<std::string>();
  }
};

/// The table [load] of an experiment.
struct LoadSettings {
  int Instances = 3;
  double Seconds = 10;
  double FinishSeconds = 60; ///< For the jobs that are still under way.
  std::vector<JobKind> Kinds;
  std::vector<PlannedTrouble> Troubles;
};

/// Adds one step to the kind's request and to the plan of its runs.
inline void readStep(CheckedTable Table, JobKind &Kind, json &Plan) {
  json Sent = {{"count", Table.integer("count", 1, 1, 10000)}};
  const int Work = Table.integer("ms", 100, 1, 600000);
  Sent["estimated-ms"] = Work;
  for (const char *Quantity : {"cpu", "mem-mb", "gpu"})
    if (const int Amount = Table.integer(Quantity, 0, 0, 1000000); Amount > 0)
      Sent[Quantity] = Amount;
  if (Table.flag("gang", false))
    Sent["gang"] = true;
  if (auto Earlier = Table.integers("depends-on"); !Earlier.empty()) {
    for (const int Number : Earlier)
      if (Number < 0 || Number >= static_cast<int>(Kind.Steps.size()))
        throw SettingsError(
            fmt::format("{}: depends-on names step {}, which is no earlier one",
                        Kind.Name, Number));
    Sent["depends-on"] = Earlier;
  }
  Table.close();
  json Planned = Sent;
  Planned.erase("estimated-ms");
  Planned.erase("depends-on");
  Planned["ms"] = Work;
  Plan.push_back(std::move(Planned));
  Kind.Steps.push_back(std::move(Sent));
}

inline JobKind readKind(CheckedTable Table, const EmulatorSettings &Platform) {
  JobKind Kind;
  Kind.Name = Table.text("name", "");
  Kind.Queue = Table.text("queue", "");
  const bool Known =
      std::any_of(Platform.Routes.begin(), Platform.Routes.end(),
                  [&](const auto &Route) { return Route.Name == Kind.Queue; });
  if (Kind.Name.empty() || !Known)
    throw SettingsError(fmt::format(
        "each of load.kinds must have a name and the name of a route as queue, "
        "not \"{}\" and \"{}\"",
        Kind.Name, Kind.Queue));
  Kind.PerSecond = Table.number("per-second", 1, 0.001, 10000);
  Kind.CancelShare = Table.number("cancel-share", 0, 0, 1);
  json Plan = json::array();
  for (const CheckedTable &Step : Table.tables("steps"))
    readStep(Step, Kind, Plan);
  Table.close();
  if (Kind.Steps.empty())
    throw SettingsError(Kind.Name + ": a kind must have at least one step");
  constexpr std::size_t LongestSpec = 4000;
  Kind.Spec = json{{"queue", Kind.Queue}, {"steps", Plan}}.dump();
  if (Kind.Spec.size() > LongestSpec)
    throw SettingsError(Kind.Name +
                        ": too many steps for a spec of 4000 bytes");
  return Kind;
}

inline PlannedTrouble readTrouble(CheckedTable Table, int Instances) {
  PlannedTrouble Read;
  Read.AtSeconds = Table.number("at-seconds", 0, 0, 86400);
  const std::string Kind = Table.text("kind", "");
  static const std::set<std::string> Known = {
      "lose-answers", "reset-orders", "refuse-orders", "late-orders",
      "store-down",   "deal-anew",    "drop-history",  "restart-worker"};
  static const std::set<std::string> ForInstances = {
      "kill-instance", "stop-instance", "pause-instance"};
  if (ForInstances.contains(Kind))
    Read.Instance = Table.integer("instance", 0, 0, Instances - 1);
  else if (!Known.contains(Kind))
    throw SettingsError("load.troubles: \"" + Kind +
                        "\" is not a known kind of trouble");
  Read.Command = {{"kind", Kind},
                  {"share", Table.number("share", 1, 0, 1)},
                  {"seconds", Table.number("seconds", 1, 0, 3600)}};
  if (Table.contains("worker"))
    Read.Command["worker"] = Table.text("worker", "");
  Table.close();
  return Read;
}

inline LoadSettings readLoadSettings(CheckedTable Table,
                                     const EmulatorSettings &Platform) {
  LoadSettings Read;
  Read.Instances = Table.integer("instances", 3, 1, 100);
  Read.Seconds = Table.number("seconds", 10, 0.1, 86400);
  Read.FinishSeconds = Table.number("finish-seconds", 60, 1, 3600);
  for (const CheckedTable &Kind : Table.tables("kinds"))
    Read.Kinds.push_back(readKind(Kind, Platform));
  if (Read.Kinds.empty())
    throw SettingsError("load.kinds must name at least one kind of job");
  for (const CheckedTable &Item : Table.tables("troubles"))
    Read.Troubles.push_back(readTrouble(Item, Read.Instances));
  Table.close();
  return Read;
}

/// Refuses tables that neither program reads.
inline void checkTopLevel(const json &File) {
  for (const auto &[Key, Value] : File.items())
    if (Key != "platform" && Key != "load")
      throw SettingsError(Key + " is not a known table");
}

} // namespace hickory::emulator
