#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Emulator/CellInstance.h"
#include "Emulator/LoadSettings.h"

#include <asio/awaitable.hpp>
#include <functional>

namespace hickory::emulator {

/// Injects faults into hickory-cell processes: signals of planned work as the
/// platform sends them, kills and pauses.
class InstanceFaults {
public:
  struct Callbacks {
    std::function<void(Instance &)> Start;
    std::function<void(const std::string &)> ReportFailure;
    /// Whether this process could not run for a while since the given time.
    std::function<bool(Clock::time_point)> HasStalledSince;
  };

  InstanceFaults(TimerService &Timers, Callbacks Calls)
      : Timers_(Timers), Callbacks_(std::move(Calls)) {}

  /// Faults of one instance do not overlap, those of several do. Returns when
  /// the process runs again.
  asio::awaitable<void> inject(Instance &Cell, PlannedFault Fault);

private:
  /// Signals that are sent to a stopping process.
  struct MoreSignals {
    std::vector<int> Signals = {};
    Clock::duration Delay{};
  };

  /// Sends a signal and waits for the exit, with SIGKILL after grace-s.
  asio::awaitable<void> stop(Instance &Cell, int Signal, MoreSignals More);

  TimerService &Timers_;
  Callbacks Callbacks_;
};

/// Draws the planned work of a run: stops, some during a start or followed by a
/// second signal, SIGHUPs and changes of the configuration.
std::vector<PlannedFault> drawPlannedWork(const LoadSettings &Load,
                                          std::uint64_t Seed);

} // namespace hickory::emulator
