#include "Cell/GangClaim.h"

#include <algorithm>
#include <numeric>

namespace hickory {

void GangClaimTable::hear(const std::string &Address,
                          std::vector<GangClaim> Claims,
                          Clock::time_point Now) {
  if (Claims.empty())
    Others_.erase(Address);
  else
    Others_[Address] = {.Claims = std::move(Claims), .At = Now};
}

std::set<std::string>
GangClaimTable::keptFrom(const std::string &Step,
                         std::optional<Clock::time_point> GangStart,
                         Clock::time_point Now) const {
  std::set<std::string> Kept;
  const auto Keep = [&](const GangClaim &Claim) {
    if (Claim.Step != Step && (!GangStart || Claim.StartBy < *GangStart))
      Kept.insert(Claim.Workers.begin(), Claim.Workers.end());
  };
  if (Own_)
    Keep(*Own_);
  for (const auto &[Address, Item] : Others_)
    if (Now - Item.At <= Options_.Lifetime)
      std::ranges::for_each(Item.Claims, Keep);
  return Kept;
}

bool GangClaimTable::mayClaim(Clock::time_point StartBy, std::size_t Workers,
                              Clock::time_point Now) const {
  std::size_t Before = 0;
  for (const auto &[Address, Item] : Others_)
    if (Now - Item.At <= Options_.Lifetime)
      Before += static_cast<std::size_t>(
          std::ranges::count_if(Item.Claims, [&](const GangClaim &Claim) {
            return Claim.StartBy < StartBy;
          }));
  return Before < std::max<std::size_t>(1, Workers / Options_.WorkersPerClaim);
}

std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Good) {
  std::vector<std::size_t> Order(Good.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::stable_sort(Order, std::greater<>(), [&](std::size_t I) {
    return std::pair(slotsOn(Need, Good[I]), Good[I].Free.CpusMilli);
  });
  for (int More = 1; More <= Need.Count; ++More) {
    std::vector<ClaimedWorker> Claimed;
    int Expected = 0;
    for (const std::size_t I : Order) {
      if (Expected >= Need.Count)
        break;
      const int Members = std::min(slotsOn(Need, Good[I]) + More,
                                   slotsWhenEmpty(Need, Good[I]));
      if (Members == 0)
        continue;
      Expected += Members;
      Claimed.push_back({.Id = Good[I].Worker->Id, .Members = Members});
    }
    if (Expected >= Need.Count)
      return Claimed;
  }
  return {};
}

} // namespace hickory
