#pragma once

#include "Emulator/CheckedTable.h"
#include "Emulator/LogPartition.h"

#include <chrono>

namespace hickory::emulator {

using std::chrono::milliseconds;

/// A route of the platform's configuration. Jobs name it as their queue.
struct RouteSettings {
  std::string Name;
  int Priority = 0;
  int MaximumAttempts = 3;
  int TargetLatencyMs = 2000;
  bool Advice = false;          ///< Runs need a ticket of the adviser.
  double AdviceBaseMs = 0;      ///< Time of an advice call for no workers.
  double AdvicePerWorkerMs = 0; ///< Additional time for each worker asked for.
  int TicketValidMs = 0;
  double ApprovedWorkerShare = 1; ///< Share of the workers that may run a step.
};

/// The table [platform] of a settings file.
struct EmulatorSettings {
  int ControlPort = 0;
  int Partitions = 24;
  milliseconds AppendDuration{1};
  AppendLimits Limits;
  int Workers = 8;
  int CpusMilli = 8000;
  int MemoryMb = 16384;
  int Accelerators = 0;
  bool AdmissionCheck = true;
  milliseconds MaximumLease{10000};
  milliseconds StopDuration{100};
  milliseconds GangTimeout{3000};
  double FailedRunShare = 0; ///< Share of the runs that end as `failed`.
  /// Time after which a crashed worker is back.
  milliseconds CrashDowntime{3000};
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
  Route.AdviceBaseMs = Advice.number("decide-ms", 5, 0, 10000);
  Route.AdvicePerWorkerMs = Advice.number("each-ms", 1, 0, 1000);
  Route.TicketValidMs = Advice.integer("valid-ms", 10000, 1, 3600000);
  Route.ApprovedWorkerShare = Advice.number("good-share", 1, 0.01, 1);
  Advice.rejectUnknownKeys();
  Table.rejectUnknownKeys();
  return Route;
}

inline EmulatorSettings readEmulatorSettings(CheckedTable Table) {
  EmulatorSettings Settings;
  Settings.ControlPort = Table.integer("control-port", 0, 0, 65535);
  Settings.Partitions = Table.integer("parts", 24, 1, 1000);
  Settings.AppendDuration =
      milliseconds(Table.integer("append-ms", 1, 0, 1000));
  Settings.Workers = Table.integer("workers", 8, 1, 500);
  Settings.CpusMilli = Table.integer("cpu", 8000, 1, 1000000);
  Settings.MemoryMb = Table.integer("mem-mb", 16384, 1, 10000000);
  Settings.Accelerators = Table.integer("gpu", 0, 0, 1000);
  Settings.AdmissionCheck = Table.flag("admission-check", true);
  Settings.MaximumLease =
      milliseconds(Table.integer("hold-max-ms", 10000, 100, 600000));
  Settings.StopDuration = milliseconds(Table.integer("stop-ms", 100, 0, 10000));
  Settings.GangTimeout =
      milliseconds(Table.integer("gang-timeout-ms", 3000, 1, 600000));
  Settings.FailedRunShare = Table.number("fail-share", 0, 0, 1);
  Settings.CrashDowntime =
      milliseconds(Table.integer("crash-down-ms", 3000, 1, 600000));
  for (const CheckedTable &Route : Table.tables("routes"))
    Settings.Routes.push_back(readRoute(Route));
  if (Settings.Routes.empty())
    throw SettingsError("platform.routes must name at least one route");
  Table.rejectUnknownKeys();
  return Settings;
}

} // namespace hickory::emulator
