#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Cell/WorkerPool.h"

#include <asio/awaitable.hpp>

namespace hickory {

/// Shows what the processors of the held workers are used for, and how the
/// reservations on them end: as metrics, and as an event each second.
class ProcessorUseMonitor {
public:
  ProcessorUseMonitor(TimerService &Timers, WorkerPool &Pool, EventLog &Events,
                      Metrics &Counters);

  /// Emits the events until stop() is called.
  asio::awaitable<void> run();
  void stop() { Stopped_ = true; }

private:
  void registerGauges();

  TimerService &Timers_;
  WorkerPool &Pool_;
  EventLog &Events_;
  Metrics &Counters_;
  bool Stopped_ = false;
};

} // namespace hickory
