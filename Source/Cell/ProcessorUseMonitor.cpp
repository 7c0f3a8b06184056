#include "Cell/ProcessorUseMonitor.h"

#include "Base/Milliseconds.h"

#include <algorithm>
#include <fmt/format.h>

namespace hickory {

namespace {

constexpr std::chrono::seconds EventPeriod{1};
constexpr double MilliPerCore = 1000;
/// Priorities from this one on share a gauge.
constexpr int LowestPriority = 3;

double runningAt(const ProcessorUse &Use, int Priority) {
  double Milli = 0;
  for (const auto &[Each, Cpus] : Use.Running)
    if (std::min(Each, LowestPriority) == Priority)
      Milli += static_cast<double>(Cpus);
  return Milli / MilliPerCore;
}

double toCores(std::uint64_t Milli) {
  return static_cast<double>(Milli) / MilliPerCore;
}

} // namespace

ProcessorUseMonitor::ProcessorUseMonitor(TimerService &Timers, WorkerPool &Pool,
                                         EventLog &Events, Metrics &Counters)
    : Timers_(Timers), Pool_(Pool), Events_(Events), Counters_(Counters) {
  registerGauges();
  Pool_.onReservationEnded([this](ReservationEnd End, Clock::duration Age) {
    Counters_.count("reservations_ended_total", 1,
                    fmt::format("how=\"{}\"", nameOf(End)));
    Counters_.observe("reservation_ms",
                      static_cast<double>(toMilliseconds(Age)));
  });
}

void ProcessorUseMonitor::registerGauges() {
  for (int Priority = 0; Priority <= LowestPriority; ++Priority)
    Counters_.gauge(
        "worker_cores",
        [this, Priority] { return runningAt(Pool_.processorUse(), Priority); },
        fmt::format("use=\"running\",priority=\"{}\"", Priority));
  const auto Register = [this](const char *Name,
                               std::uint64_t ProcessorUse::*Amount) {
    Counters_.gauge(
        "worker_cores",
        [this, Amount] { return toCores(Pool_.processorUse().*Amount); },
        fmt::format("use=\"{}\"", Name));
  };
  Register("reserved", &ProcessorUse::Reserved);
  Register("stopping", &ProcessorUse::Stopping);
  Register("free", &ProcessorUse::Free);
  Register("unusable", &ProcessorUse::Unusable);
}

asio::awaitable<void> ProcessorUseMonitor::run() {
  while (!Stopped_) {
    co_await Timers_.sleepFor(EventPeriod);
    if (Stopped_ || Pool_.heldShards().empty())
      continue;
    const ProcessorUse Use = Pool_.processorUse();
    nlohmann::json Fields = {{"reserved", toCores(Use.Reserved)},
                             {"stopping", toCores(Use.Stopping)},
                             {"free", toCores(Use.Free)},
                             {"unusable", toCores(Use.Unusable)}};
    for (int Priority = 0; Priority <= LowestPriority; ++Priority)
      Fields[fmt::format("running_{}", Priority)] = runningAt(Use, Priority);
    Events_.emit("workers", "cores", std::move(Fields));
  }
}

} // namespace hickory
