#include "Cell/GangClaim.h"

#include <algorithm>
#include <numeric>

namespace hickory {

void GangClaimTable::setRemoteClaims(const std::string &Address,
                                     std::vector<GangClaim> Claims,
                                     Clock::time_point Now) {
  if (Claims.empty())
    RemoteClaims_.erase(Address);
  else
    RemoteClaims_[Address] = {.Claims = std::move(Claims), .ReceivedAt = Now};
}

std::set<std::string>
GangClaimTable::workersBlockedFor(const std::string &Step,
                                  std::optional<Clock::time_point> GangStart,
                                  Clock::time_point Now) const {
  std::set<std::string> Blocked;
  const auto Block = [&](const GangClaim &Claim) {
    if (Claim.Step != Step && (!GangStart || Claim.StartBy < *GangStart))
      Blocked.insert(Claim.Workers.begin(), Claim.Workers.end());
  };
  if (OwnClaim_)
    Block(*OwnClaim_);
  for (const auto &[Address, Received] : RemoteClaims_)
    if (Now - Received.ReceivedAt <= Options_.Lifetime)
      std::ranges::for_each(Received.Claims, Block);
  return Blocked;
}

bool GangClaimTable::canClaim(Clock::time_point StartBy, std::size_t Workers,
                              Clock::time_point Now) const {
  std::size_t EarlierClaims = 0;
  for (const auto &[Address, Received] : RemoteClaims_)
    if (Now - Received.ReceivedAt <= Options_.Lifetime)
      EarlierClaims += static_cast<std::size_t>(
          std::ranges::count_if(Received.Claims, [&](const GangClaim &Claim) {
            return Claim.StartBy < StartBy;
          }));
  return EarlierClaims <
         std::max<std::size_t>(1, Workers / Options_.WorkersPerClaim);
}

std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates) {
  std::vector<std::size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::stable_sort(Order, std::greater<>(), [&](std::size_t I) {
    return std::pair(slotsOn(Need, Candidates[I]),
                     Candidates[I].Free.CpusMilli);
  });
  for (int ExtraMembers = 1; ExtraMembers <= Need.Count; ++ExtraMembers) {
    std::vector<ClaimedWorker> Claimed;
    int Expected = 0;
    for (const std::size_t I : Order) {
      if (Expected >= Need.Count)
        break;
      const int Members = std::min(slotsOn(Need, Candidates[I]) + ExtraMembers,
                                   slotsWhenEmpty(Need, Candidates[I]));
      if (Members == 0)
        continue;
      Expected += Members;
      Claimed.push_back({.Id = Candidates[I].Worker->Id, .Members = Members});
    }
    if (Expected >= Need.Count)
      return Claimed;
  }
  return {};
}

} // namespace hickory
