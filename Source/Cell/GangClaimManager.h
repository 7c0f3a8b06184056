#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/GangClaim.h"
#include "Cell/SchedulableStep.h"
#include "Cell/ShardMembership.h"

#include <string>
#include <vector>

namespace hickory {

struct GangClaimManagerOptions {
  PlacementOptions Placement;
  /// Minimum time between preemption requests for the same step.
  std::chrono::milliseconds PreemptionInterval{700};
};

/// Accumulates free capacity for the first waiting gang of this process: claims
/// workers and requests the preemption of less urgent runs on them while that
/// lets the gang meet its objective. For other steps, it blocks the workers
/// that gangs of any process have claimed.
class GangClaimManager {
public:
  GangClaimManager(const asio::any_io_executor &Executor, TimerService &Timers,
                   JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
                   const ShardMembership &Shards, EventLog &Events,
                   Metrics &Counters, GangClaimManagerOptions Options);

  /// Begin and end of a dispatcher pass, which replaces the claim of this
  /// process.
  void beginPass() { PassClaim_.reset(); }
  void endPass();
  /// Marks the workers that gangs of any process have claimed in the view.
  void markClaimedWorkers();
  /// Claims workers among the candidates for the gang, unless earlier gangs
  /// have claimed too many. Does nothing for other steps.
  void claimWorkersFor(const SchedulableStep &Schedulable,
                       const std::vector<Candidate> &Candidates);
  /// Returns true if the current pass has claimed workers for the step.
  [[nodiscard]] bool hasClaim(const SchedulableStep &Schedulable) const;
  /// Returns true if the step may not use what gangs have claimed of the
  /// worker.
  [[nodiscard]] static bool isBlocked(const SchedulableStep &Schedulable,
                                      const CapacityView::Row &Worker);
  /// Returns what a blocked step may use of the worker's free capacity: what
  /// the gangs do not need. Other processes may use what is free on a worker
  /// that this process does not hold, so that nothing is left of it.
  [[nodiscard]] static Resources spareFree(const Resources &Free,
                                           const CapacityView::Row &Worker);

  /// Returns the claim of this process in the form for other processes.
  [[nodiscard]] std::vector<ClaimReport> ownClaims() const;
  /// Replaces the claims of another process.
  void applyClaims(const std::string &Address,
                   const std::vector<ClaimReport> &Reports);

private:
  /// Asks the holders of the claimed workers to preempt less urgent runs there.
  void requestPreemption(const SchedulableStep &Schedulable,
                         const std::vector<ClaimedWorker> &Claimed);
  asio::awaitable<void> sendPreemptionRequest(std::string Step,
                                              std::string Address,
                                              PreemptRequest Request);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  JobOwner &Jobs_;
  CapacityView &View_;
  CellPeer &Peers_;
  const ShardMembership &Shards_;
  ShardMap Map_;
  EventLog &Events_;
  Metrics &Counters_;
  GangClaimManagerOptions Options_;
  GangClaimTable Claims_;
  std::optional<GangClaim> PassClaim_; ///< Made by the current pass.
};

} // namespace hickory
