#pragma once

#include "Cell/DispatchOrder.h"
#include "Cell/Placement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Workers whose free capacity is held back for a waiting gang until the gang
/// fits.
struct GangClaim {
  std::string Step; ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> Workers;
  Clock::time_point StartBy{}; ///< Claims with an earlier time come first.
};

struct GangClaimTableOptions {
  /// Time after which a claim expires that its process no longer reports.
  std::chrono::milliseconds Lifetime{1500};
  /// Number of workers in the cell per permitted claim, which keeps most
  /// capacity in use.
  std::size_t WorkersPerClaim = 12;
};

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

  /// Returns the workers that a deferrable step may not use: for a gang, those
  /// of claims with an earlier StartBy than GangStart; for other steps, those
  /// of all claims. A step's own claim does not block it.
  [[nodiscard]] std::set<std::string>
  workersBlockedFor(const std::string &Step,
                    std::optional<Clock::time_point> GangStart,
                    Clock::time_point Now) const;
  /// Returns true if few enough claims of other processes come before a claim
  /// with this StartBy. Workers is the number of all workers.
  [[nodiscard]] bool canClaim(Clock::time_point StartBy, std::size_t Workers,
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
/// all of them were empty.
std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates);

} // namespace hickory
