#pragma once

#include "Cell/DispatchOrder.h"
#include "Cell/Placement.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// Workers whose free capacity is held back for a waiting gang until the gang
/// fits.
struct GangClaim {
  std::string Step; ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> Workers;
  Clock::time_point StartBy{}; ///< Claims with an earlier time come first.
  /// Capacity that the gang needs on each of the workers, in their order. Of a
  /// worker without an amount, all is claimed.
  std::vector<Resources> Reserved;
};

/// What gangs have claimed of one worker.
struct WorkerClaim {
  Clock::time_point StartBy{}; ///< Earliest of the claims.
  /// Sum of what the gangs need; nothing if all of the worker is claimed.
  std::optional<Resources> Reserved = Resources{};
};

struct GangClaimTableOptions {
  /// Time after which a claim expires that its process no longer reports.
  std::chrono::milliseconds Lifetime{1500};
  /// Share of the cell's workers that all claims together may hold, which keeps
  /// most capacity in use. The earliest claim may hold more.
  double MaximumShare = 0.1;
};

/// Returns true if a claim of this StartBy keeps a deferrable step off the
/// claimed worker. GangStart is the StartBy of a gang, and nothing for other
/// steps.
inline bool isBlocked(Clock::time_point ClaimStart,
                      std::optional<Clock::time_point> GangStart) {
  return !GangStart || ClaimStart < *GangStart;
}

/// The claims of this process and those reported by other processes.
class GangClaimTable {
public:
  explicit GangClaimTable(GangClaimTableOptions Options = {})
      : Options_(Options) {}

  /// Replaces the claims of the process at the address.
  void setRemoteClaims(const std::string &Address,
                       std::vector<GangClaim> Claims, Clock::time_point Now);
  void setOwnClaim(std::optional<GangClaim> Claim) {
    OwnClaim_ = std::move(Claim);
  }
  [[nodiscard]] const std::optional<GangClaim> &ownClaim() const {
    return OwnClaim_;
  }

  /// Returns the claimed workers.
  [[nodiscard]] std::unordered_map<std::string, WorkerClaim>
  claimedWorkers(Clock::time_point Now) const;
  /// Returns true if a claim of so many workers may be made beside the claims
  /// of other processes that come before it. CellWorkers is the number of all
  /// workers.
  [[nodiscard]] bool canClaim(Clock::time_point StartBy, std::size_t Workers,
                              std::size_t CellWorkers,
                              Clock::time_point Now) const;

private:
  struct ReceivedClaims {
    std::vector<GangClaim> Claims;
    Clock::time_point ReceivedAt{};
  };

  GangClaimTableOptions Options_;
  std::optional<GangClaim> OwnClaim_;
  std::map<std::string, ReceivedClaims> RemoteClaims_; ///< By address.
};

/// A worker to claim, and the number of gang members that are to fit on it.
struct ClaimedWorker {
  std::string Id;
  int Members = 0;
};

/// Chooses the workers to claim among those that are good for the gang. Without
/// a claim, small tasks would take each piece of capacity as soon as it is
/// free, so that wide gangs never fit (starvation). Claims as few workers as
/// possible, each of which is to free capacity for one more member, or for more
/// if the gang needs that. Returns nothing if the gang would not fit even if
/// only what lasts ran on them: such a claim would only keep others from them.
std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates);

} // namespace hickory
