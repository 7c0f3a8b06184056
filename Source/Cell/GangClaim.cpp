#include "Cell/GangClaim.h"

#include <algorithm>
#include <tuple>

namespace hickory {

void GangClaimTable::setRemoteClaims(const std::string &Address,
                                     std::vector<GangClaim> Claims,
                                     Clock::time_point Now) {
  if (Claims.empty())
    RemoteClaims_.erase(Address);
  else
    RemoteClaims_[Address] = {.Claims = std::move(Claims), .ReceivedAt = Now};
}

std::unordered_map<std::string, WorkerClaim>
GangClaimTable::claimedWorkers(Clock::time_point Now) const {
  std::unordered_map<std::string, WorkerClaim> Claimed;
  const auto Add = [&Claimed](const GangClaim &Claim) {
    for (std::size_t I = 0; I < Claim.Workers.size(); ++I) {
      const auto [It, IsNew] = Claimed.try_emplace(
          Claim.Workers[I], WorkerClaim{.StartBy = Claim.StartBy});
      WorkerClaim &Sum = It->second;
      Sum.StartBy = std::min(Sum.StartBy, Claim.StartBy);
      if (I >= Claim.Reserved.size() ||
          (Sum.Reserved && !Sum.Reserved->add(Claim.Reserved[I])))
        Sum.Reserved.reset();
    }
  };
  if (OwnClaim_)
    Add(*OwnClaim_);
  for (const auto &[Address, Received] : RemoteClaims_)
    if (Now - Received.ReceivedAt <= Options_.Lifetime)
      std::ranges::for_each(Received.Claims, Add);
  return Claimed;
}

bool GangClaimTable::canClaim(Clock::time_point StartBy, std::size_t Workers,
                              std::size_t CellWorkers,
                              Clock::time_point Now) const {
  std::size_t ClaimedEarlier = 0;
  for (const auto &[Address, Received] : RemoteClaims_)
    if (Now - Received.ReceivedAt <= Options_.Lifetime)
      for (const GangClaim &Claim : Received.Claims)
        if (Claim.StartBy < StartBy)
          ClaimedEarlier += Claim.Workers.size();
  return ClaimedEarlier == 0 ||
         static_cast<double>(ClaimedEarlier + Workers) <=
             Options_.MaximumShare * static_cast<double>(CellWorkers);
}

namespace {

/// A candidate for a claim, by its index.
struct ClaimCandidate {
  int Slots = 0;
  int SlotsWhenEmpty = 0;
  std::uint64_t FreeCpus = 0;
  std::uint64_t TieBreak = 0; ///< See Candidate.
  std::size_t Index = 0;

  /// Returns the number of members that the claim expects on the worker if it
  /// waits there for capacity for ExtraMembers.
  [[nodiscard]] int members(int ExtraMembers) const {
    return std::min(Slots + ExtraMembers, SlotsWhenEmpty);
  }
};

/// Returns the candidates, those with the most free capacity first.
std::vector<ClaimCandidate>
claimCandidates(const PlacementNeed &Need,
                const std::vector<Candidate> &Candidates) {
  std::vector<ClaimCandidate> Found;
  Found.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    if (const int Empty = slotsWhenEmpty(Need, Candidates[I]); Empty > 0)
      Found.push_back({.Slots = slotsOn(Need, Candidates[I]),
                       .SlotsWhenEmpty = Empty,
                       .FreeCpus = Candidates[I].Free.CpusMilli,
                       .TieBreak = Candidates[I].TieBreak,
                       .Index = I});
  std::ranges::stable_sort(
      Found, std::greater<>(), [](const ClaimCandidate &Each) {
        return std::tuple(Each.Slots, Each.FreeCpus, Each.TieBreak);
      });
  return Found;
}

} // namespace

std::vector<ClaimedWorker>
chooseWorkersToClaim(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates) {
  const auto Order = claimCandidates(Need, Candidates);
  for (int ExtraMembers = 1; ExtraMembers <= Need.Count; ++ExtraMembers) {
    int Expected = 0;
    std::size_t Count = 0;
    for (; Count < Order.size() && Expected < Need.Count; ++Count)
      Expected += Order[Count].members(ExtraMembers);
    if (Expected < Need.Count)
      continue;
    std::vector<ClaimedWorker> Claimed;
    Claimed.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Claimed.push_back({.Id = Candidates[Order[I].Index].Worker->Id,
                         .Members = Order[I].members(ExtraMembers)});
    return Claimed;
  }
  return {};
}

} // namespace hickory
