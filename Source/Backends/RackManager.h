#pragma once

#include "Backends/HealthTracker.h"
#include "Backends/InstanceList.h"
#include "Backends/RackService.h"
#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Http/HttpClient.h"
#include "Membership/OwnershipView.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickory {

/// Timing of the lease protocol between a rack owner and its workers (design
/// section 6). The relations between these values carry the safety argument.
struct WorkerLeaseOptions {
  std::chrono::milliseconds StartLease{2000};
  std::chrono::milliseconds RunLease{60000};
  /// Subtracted from every lease end; covers the worker's clock resolution.
  std::chrono::milliseconds ClockMargin{50};
  /// Bound on how much faster or slower a worker's clock may run than ours.
  double ClockRateMargin = 0.05;
  std::chrono::milliseconds HeartbeatPeriod{2000};
  std::chrono::milliseconds CallTimeout{1000};
  /// Nothing is started on a worker that has not answered the current message
  /// for this long, or that has not been heard for two heartbeat periods.
  std::chrono::milliseconds SlowAnswer{250};
};

/// Switched off only by tests, to show that a protection is needed.
struct RackProtections {
  bool CheckCapacity = true;
  bool LimitStartLease = true;
  bool Fence = true;
  bool ReadBeforeCommit = true;
  bool KeepUnresolvedStarts = true;
  bool MatchAnswersById = true;
  bool ExecuteOnce = true;
};

struct RackManagerOptions {
  WorkerLeaseOptions Lease;
  /// Wait after taking over from an expired owner, so that every start that
  /// it sent has either run or lapsed: StartLease plus the clock-rate margin.
  std::chrono::milliseconds TakeoverWait{2100};
  /// Longest time that place and stopTask wait for a worker's answer and for
  /// the resolution of a lost one. Longer than StartLease plus a heartbeat
  /// would never be needed with a worker that answers.
  std::chrono::milliseconds CallLimit{3000};
  /// place gives up a worker whose start could not be sent for this long.
  std::chrono::milliseconds QueuedLimit{400};
  /// How long the list must have been followed until a task that no listed
  /// worker has is taken as gone. A worker that vanished from the list before
  /// may still run it until its run lease ends.
  std::chrono::milliseconds ListHistory{63000};
  /// Reservations end after this time even if the caller asks for more.
  std::chrono::milliseconds MaximumReservation{10000};
  /// How long fences and the ids of non-repeatable executions are remembered;
  /// far longer than any call between instances can be delayed.
  std::chrono::minutes Memory{10};
  /// A task that fails sooner than this after its start counts against the
  /// worker's health.
  std::chrono::milliseconds ShortRun{1000};
  /// How long execute waits for a free slot; the job owner queues by priority,
  /// so requests must not queue here.
  std::chrono::milliseconds SlotWait{100};
  /// Time without an answer after which the result is asked for.
  std::chrono::milliseconds ExecutePatience{500};
  /// Time without any sign of an executor after which a repeatable request is
  /// tried on another one.
  std::chrono::milliseconds AbandonAfter{2000};
  std::chrono::milliseconds ResultPollInitial{50};
  std::chrono::milliseconds ResultPollMaximum{500};
  /// Longest wait for executions in flight before a planned release.
  std::chrono::milliseconds ReleaseLimit{10000};
  double RetryShare = 0.1; ///< Retries per request, over a pool.
  double RetryBurst = 10;
  HealthTrackerOptions Health;
  std::uint64_t Seed = 0; ///< 0: from the operating system.
  RackProtections Protections;
};

/// Whose work a task is; not known to the worker that runs it.
struct TaskOrigin {
  std::string Member;
  std::string Team;
};

/// Commits the capacity of the racks that this instance owns, and follows
/// their workers and executors.
class RackManager final : public Component, public RackService {
public:
  RackManager(RackManagerOptions Options, asio::any_io_executor Executor,
              TimerService &Timers, HttpClient &Client,
              OwnershipView &Ownership, InstanceList &Upstreams,
              TaskEndSink &Ends, Metrics &Counters, EventLog &Events);
  ~RackManager() override;

  [[nodiscard]] std::string_view name() const override { return "racks"; }
  asio::awaitable<Result<void>> run() override;
  asio::awaitable<void> drain() override;
  void stop() override;

  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest Request) override;
  asio::awaitable<peer::ReserveReply>
  reserve(peer::ReserveRequest Request) override;
  asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest Request) override;
  asio::awaitable<peer::StopTaskReply>
  stopTask(peer::StopTaskRequest Request) override;
  asio::awaitable<peer::ExecuteReply>
  execute(peer::ExecuteRequest Request) override;
  [[nodiscard]] std::vector<peer::RackLoad> rackLoads() const override;
  [[nodiscard]] std::vector<peer::MemberUse> memberUse() const override;

  /// Finds the origin of adopted tasks, for example from the job records of
  /// the domain. Without it, they are counted for no member.
  void setOriginLookup(
      std::function<std::optional<TaskOrigin>(const std::string &Key)> Lookup);

  /// What is known of a worker, for display.
  struct WorkerView {
    std::string Name;
    std::string Rack;
    std::string Address;
    bool StateRead = false;
    bool Leaving = false;
    bool SetAside = false;
    Capacity Total;
    Capacity Committed;
    std::size_t Tasks = 0;
  };
  /// What is known of a task, for display.
  struct TaskSummary {
    std::string Key;
    std::uint32_t Task = 0;
    std::uint32_t Attempt = 0;
    std::string State;
    std::string Worker;
    std::string Rack;
    std::string Member;
    Capacity Size;
    /// As the worker reported it, which may lag.
    std::int64_t UsedCpusMilli = 0;
    std::int64_t UsedMemoryMb = 0;
  };
  [[nodiscard]] std::vector<WorkerView> workers() const;
  [[nodiscard]] std::vector<TaskSummary> tasks() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

} // namespace hickory
