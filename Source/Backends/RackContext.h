#pragma once

#include "Backends/Execution.h"
#include "Backends/HealthTracker.h"
#include "Backends/InstanceList.h"
#include "Backends/RackManager.h"
#include "Backends/TaskId.h"
#include "Base/Random.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickory {

/// Collaborators that the rack manager shares with its worker and executor
/// sessions.
struct RackContext {
  RackManagerOptions Options;
  asio::any_io_executor Executor;
  TimerService &Timers;
  HttpClient &Client;
  OwnershipView &Ownership;
  InstanceList &Upstreams;
  TaskEndSink &Ends;
  Metrics &Counters;
  EventLog &Events;
  HealthTracker WorkerHealth;
  HealthTracker ExecutorHealth;
  Random Source;
  /// True if the job owner was promised that the attempt never runs.
  std::function<bool(const TaskId &)> IsFenced;
  std::function<std::optional<TaskOrigin>(const std::string &Key)> FindOrigin;
  ExecutionTable Executions;
  /// Non-repeatable ids that were sent, the executor and when, so that no id
  /// is sent twice.
  struct SentOnce {
    std::string Executor;
    Clock::time_point When;
    bool NotRun = false; ///< The executor refused it.
  };
  std::map<std::string, SentOnce> OnceSent;
};

} // namespace hickory
