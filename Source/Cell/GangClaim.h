#pragma once

#include "Cell/DispatchOrder.h"
#include "Cell/Placement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Workers whose room a waiting gang collects until all of it fits.
struct GangClaim {
  std::string Step; ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> Workers;
  Clock::time_point StartBy{}; ///< Claims with an earlier time come first.
};

struct GangClaimTableOptions {
  /// A claim that another process no longer names ends after so long.
  std::chrono::milliseconds Lifetime{1500};
  /// One claim for so many workers in all, so that most room stays in use.
  std::size_t WorkersPerClaim = 12;
};

/// The claims of all processes, as far as this one has heard of them.
class GangClaimTable {
public:
  explicit GangClaimTable(GangClaimTableOptions Options = {})
      : Options_(Options) {}

  /// Replaces what that process claimed before.
  void hear(const std::string &Address, std::vector<GangClaim> Claims,
            Clock::time_point Now);
  void setOwn(std::optional<GangClaim> Claim) { Own_ = std::move(Claim); }
  [[nodiscard]] const std::optional<GangClaim> &own() const { return Own_; }

  /// Workers that are kept from a step: for a gang, by claims that come before
  /// its own time; for other steps that can wait, by all claims.
  [[nodiscard]] std::set<std::string>
  keptFrom(const std::string &Step, std::optional<Clock::time_point> GangStart,
           Clock::time_point Now) const;
  /// True if few enough claims come before this one.
  [[nodiscard]] bool mayClaim(Clock::time_point StartBy, std::size_t Workers,
                              Clock::time_point Now) const;

private:
  struct Heard {
    std::vector<GangClaim> Claims;
    Clock::time_point At{};
  };

  GangClaimTableOptions Options_;
  std::optional<GangClaim> Own_;
  std::map<std::string, Heard> Others_; ///< By address.
};

/// A worker to claim, and how many members of the gang are to fit there.
struct ClaimedWorker {
  std::string Id;
  int Members = 0;
};

/// Chooses the workers to claim among those that are good for the gang. Answers
/// loads where small tasks take each piece of room as soon as it is free, so
/// that wide gangs never find it: each worker is to free room for one more
/// member, or for as many as the gang needs, and as few workers as possible are
/// claimed. Empty if the gang would not even fit on all of them.
std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Good);

} // namespace hickory
