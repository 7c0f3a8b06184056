#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/GangClaim.h"
#include "Cell/SchedulableStep.h"
#include "Cell/ShardMembership.h"

#include <set>
#include <string>
#include <vector>

namespace hickory {

struct GangClaimManagerOptions {
  PlacementOptions Placement;
  /// Between two requests to make room for the same step.
  std::chrono::milliseconds MakeRoomInterval{700};
};

/// Collects room for the first gang of this process that waits: claims workers,
/// and has less urgent runs there stopped while that saves the gang. Keeps the
/// room that earlier gangs of all processes have claimed from other steps.
class GangClaimManager {
public:
  GangClaimManager(const asio::any_io_executor &Executor, TimerService &Timers,
                   JobOwner &Jobs, const CapacityView &View, CellPeer &Peers,
                   const ShardMembership &Shards, EventLog &Events,
                   Metrics &Counters, GangClaimManagerOptions Options);

  /// The claim of this process is made anew between these two.
  void beginPass();
  void endPass();
  /// Collects room for the gang, unless others come first.
  void claimFor(const SchedulableStep &Item,
                const std::vector<Candidate> &Candidates);
  /// Workers whose room is kept from the step; valid until the next call.
  [[nodiscard]] const std::set<std::string> &
  keptFrom(const SchedulableStep &Item);

  /// The claim of this process, for others.
  [[nodiscard]] std::vector<ClaimReport> ownClaims() const;
  /// Another process said what it claims.
  void applyClaims(const std::string &Address,
                   const std::vector<ClaimReport> &Reports);

private:
  /// Asks the holders of claimed workers to stop less urgent runs there.
  void makeRoom(const SchedulableStep &Item,
                const std::vector<ClaimedWorker> &Claimed);
  asio::awaitable<void> askForRoom(std::string Step, std::string Address,
                                   PreemptRequest Request);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  JobOwner &Jobs_;
  const CapacityView &View_;
  CellPeer &Peers_;
  const ShardMembership &Shards_;
  ShardMap Map_;
  EventLog &Events_;
  Metrics &Counters_;
  GangClaimManagerOptions Options_;
  GangClaimTable Claims_;
  std::optional<GangClaim> Next_; ///< Made by the pass under way.
  /// Workers that claims keep from all steps but gangs, in this pass.
  std::set<std::string> KeptFromTasks_;
  std::set<std::string> KeptFromStep_;
};

} // namespace hickory
