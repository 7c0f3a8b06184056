#pragma once

#include "Emulator/CheckedTable.h"

#include <chrono>

namespace hickory::emulator {

using std::chrono::milliseconds;

/// A queue of the platform's configuration.
struct RouteSettings {
  std::string Name;
  int Priority = 0;
  int MaximumAttempts = 3;
  int TargetLatencyMs = 2000;
  bool Advice = false;
  double DecideMs = 0;
  double EachMs = 0;
  int ValidMs = 0;
  double GoodShare = 1; ///< Share of the workers that may run a step.
};

/// The table [platform] of an experiment.
struct EmulatorSettings {
  int ControlPort = 0;
  int Partitions = 24;
  milliseconds AppendTime{1};
  int Workers = 8;
  int Cpu = 8000;
  int MemoryMb = 16384;
  int Gpu = 0;
  bool AdmissionCheck = true;
  milliseconds LongestLease{10000};
  milliseconds StopTime{100};
  milliseconds GangTimeout{3000};
  double FailShare = 0; ///< Share of the runs that end `failed`.
  std::vector<RouteSettings> Routes;
};

inline RouteSettings readRoute(CheckedTable Table) {
  RouteSettings Route;
  Route.Name = Table.text("name", "");
  if (Route.Name.empty())
    throw SettingsError("each of platform.routes must have a name");
  Route.Priority = Table.integer("priority", 0, 0, 100);
  Route.MaximumAttempts = Table.integer("max-attempts", 3, 1, 1000);
  Route.TargetLatencyMs = Table.integer("target-latency-ms", 2000, 1, 3600000);
  Route.Advice = Table.contains("advice");
  CheckedTable Advice = Table.table("advice");
  Route.DecideMs = Advice.number("decide-ms", 5, 0, 10000);
  Route.EachMs = Advice.number("each-ms", 1, 0, 1000);
  Route.ValidMs = Advice.integer("valid-ms", 10000, 1, 3600000);
  Route.GoodShare = Advice.number("good-share", 1, 0.01, 1);
  Advice.close();
  Table.close();
  return Route;
}

inline EmulatorSettings readEmulatorSettings(CheckedTable Table) {
  EmulatorSettings Read;
  Read.ControlPort = Table.integer("control-port", 0, 0, 65535);
  Read.Partitions = Table.integer("parts", 24, 1, 1000);
  Read.AppendTime = milliseconds(Table.integer("append-ms", 1, 0, 1000));
  Read.Workers = Table.integer("workers", 8, 1, 500);
  Read.Cpu = Table.integer("cpu", 8000, 1, 1000000);
  Read.MemoryMb = Table.integer("mem-mb", 16384, 1, 10000000);
  Read.Gpu = Table.integer("gpu", 0, 0, 1000);
  Read.AdmissionCheck = Table.flag("admission-check", true);
  Read.LongestLease =
      milliseconds(Table.integer("hold-max-ms", 10000, 100, 600000));
  Read.StopTime = milliseconds(Table.integer("stop-ms", 100, 0, 10000));
  Read.GangTimeout =
      milliseconds(Table.integer("gang-timeout-ms", 3000, 1, 600000));
  Read.FailShare = Table.number("fail-share", 0, 0, 1);
  for (const CheckedTable &Route : Table.tables("routes"))
    Read.Routes.push_back(readRoute(Route));
  if (Read.Routes.empty())
    throw SettingsError("platform.routes must name at least one route");
  Table.close();
  return Read;
}

} // namespace hickory::emulator
