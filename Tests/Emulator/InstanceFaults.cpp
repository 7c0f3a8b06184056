#include "Emulator/InstanceFaults.h"

#include <array>
#include <fstream>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds PollPeriod{10};

Clock::duration toDuration(const json &Seconds) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Seconds.get<double>()));
}

/// Whether the process has installed a handler for the signal.
bool catchesSignal(pid_t Process, int Signal) {
  std::ifstream Status(fmt::format("/proc/{}/status", Process));
  const std::string Key = "SigCgt:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Key))
      return (std::stoull(Line.substr(Key.size()), nullptr, 16) >>
                  (Signal - 1) &
              1) != 0;
  return false;
}

} // namespace

asio::awaitable<void> InstanceFaults::inject(Instance &Cell,
                                             PlannedFault Fault) {
  while (std::exchange(Cell.HasActiveFault, true))
    co_await Timers_.sleepFor(20ms);
  const auto Duration = toDuration(Fault.Command.at("seconds"));
  const auto Delay = toDuration(Fault.Command.value("delay", json(0)));
  const std::string Kind = Fault.kind();
  const pid_t Process = Cell.Process->id();
  if (Cell.Process->exitsWithin(0ms)) {
    Callbacks_.ReportFailure(Cell.Name + " exited unexpectedly");
    Callbacks_.Start(Cell);
  } else if (Kind == "pause-instance") {
    ::kill(Process, SIGSTOP);
    co_await Timers_.sleepFor(Duration);
    ::kill(Process, SIGCONT);
  } else if (Kind == "reload-instance") {
    // SIGHUP ends a process that has no handler yet: hickory-cell in its first
    // 10 to 20 ms.
    while (!Cell.Process->exitsWithin(0ms) && !catchesSignal(Process, SIGHUP))
      co_await Timers_.sleepFor(PollPeriod);
    if (!Cell.Process->exitsWithin(0ms))
      ::kill(Process, SIGHUP);
  } else {
    MoreSignals More;
    More.Signals = Fault.Command.value("more-signals", std::vector<int>());
    More.Delay = Delay;
    co_await stop(Cell, Kind == "kill-instance" ? SIGKILL : SIGTERM, More);
    co_await Timers_.sleepFor(Duration);
    Callbacks_.Start(Cell);
    if (Kind == "stop-starting-instance") {
      co_await Timers_.sleepFor(Delay);
      const MoreSignals None;
      co_await stop(Cell, SIGTERM, None);
      Callbacks_.Start(Cell);
    }
  }
  Cell.HasActiveFault = false;
}

asio::awaitable<void> InstanceFaults::stop(Instance &Cell, int Signal,
                                           MoreSignals More) {
  const auto Begin = Timers_.now();
  ::kill(Cell.Process->id(), Signal);
  while (!Cell.Process->exitsWithin(0ms)) {
    if (Timers_.now() - Begin > GraceTime) {
      // A machine that is overloaded must not fail the run.
      if (!Callbacks_.HasStalledSince(Begin))
        Callbacks_.ReportFailure(Cell.Name + " did not exit within grace-s");
      Cell.Process.reset(); // Kills it.
      co_return;
    }
    if (Timers_.now() - Begin >= More.Delay)
      for (const int Next : std::exchange(More.Signals, {}))
        ::kill(Cell.Process->id(), Next);
    co_await Timers_.sleepFor(PollPeriod);
  }
}

std::vector<PlannedFault> drawPlannedWork(const LoadSettings &Load,
                                          std::uint64_t Seed) {
  static constexpr std::array Kinds = {
      "stop-instance",          "stop-instance",   "stop-instance-twice",
      "stop-starting-instance", "reload-instance", "change-routes"};
  static constexpr double MaximumDowntime = 1.5;
  static constexpr double MaximumSignalDelay = 3;
  static constexpr double MaximumStartTime = 0.5;
  Random Choices(Seed);
  std::vector<PlannedFault> Faults;
  for (int Number = 0; Number < Load.PlannedWork; ++Number) {
    std::string Kind = Kinds.at(Choices.below(Kinds.size()));
    PlannedFault Fault{.AtSeconds = Choices.unit() * Load.Seconds};
    const bool RestartsAtOnce = Choices.unit() < 0.5;
    const double Downtime = Choices.unit() * MaximumDowntime;
    const double Delay = Choices.unit();
    const auto Target = static_cast<int>(
        Choices.below(static_cast<std::uint64_t>(Load.Instances)));
    Fault.Command = {{"seconds", RestartsAtOnce ? 0 : Downtime}};
    if (Kind == "stop-instance-twice") {
      Fault.Command["more-signals"] = {SIGTERM, SIGHUP, SIGINT};
      Fault.Command["delay"] = Delay * MaximumSignalDelay;
    } else if (Kind == "stop-starting-instance") {
      Fault.Command["delay"] = Delay * MaximumStartTime;
    }
    if (Kind != "change-routes")
      Fault.Instance = Target;
    Fault.Command["kind"] = std::move(Kind);
    Faults.push_back(std::move(Fault));
  }
  return Faults;
}

} // namespace hickory::emulator
