#include "Scheduling/FairShare.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

namespace {

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Larger amounts are refused, so that sums over all members and instances
/// cannot overflow.
constexpr Resources Plausible{.CpusMilli = std::uint64_t(1) << 44,
                              .MemoryMb = std::uint64_t(1) << 44,
                              .Accelerators = std::uint64_t(1) << 32};

/// Sum of two amounts, each of which is bounded by what workers have.
Resources sum(Resources A, const Resources &B) {
  CHECK(A.add(B)) << "sum of held resources overflows";
  return A;
}

std::array<double, 3> fractions(const Resources &Part, const Resources &Whole) {
  const auto Fraction = [](std::uint64_t P, std::uint64_t W) {
    return W == 0 ? 0.0 : static_cast<double>(P) / static_cast<double>(W);
  };
  return {Fraction(Part.CpusMilli, Whole.CpusMilli),
          Fraction(Part.MemoryMb, Whole.MemoryMb),
          Fraction(Part.Accelerators, Whole.Accelerators)};
}

} // namespace

void FairShare::setQuotas(const std::vector<ShareQuota> &Quotas) {
  for (auto &[Name, Of] : Accounts_) {
    settleDebt(Of);
    Of.Entitled = {};
    Of.TeamQuotas.clear();
  }
  for (const ShareQuota &Quota : Quotas) {
    if (!Quota.Entitled.fitsIn(Plausible)) {
      LOG(WARNING) << "sharing: quota of member " << Quota.Member
                   << " is implausibly large and ignored";
      continue;
    }
    Account &Of = Accounts_[Quota.Member];
    if (Quota.Team.empty())
      Of.Entitled = sum(Of.Entitled, Quota.Entitled);
    else
      Of.TeamQuotas[Quota.Team] =
          sum(Of.TeamQuotas[Quota.Team], Quota.Entitled);
  }
  rescale();
}

void FairShare::setTotal(const Resources &Total) {
  for (auto &[Name, Of] : Accounts_)
    settleDebt(Of);
  Total_ = Total;
  rescale();
}

void FairShare::acquire(const std::string &Member, const std::string &Team,
                        const Resources &Amount) {
  // Not only in merge(): an instance that is cut off receives no summary.
  dropStale();
  const auto [It, New] = Accounts_.try_emplace(Member);
  if (New)
    rescale();
  Account &Of = It->second;
  settleDebt(Of);
  Of.Here = sum(Of.Here, Amount);
  Holding &Held = Of.Teams[Team];
  Held.Held = sum(Held.Held, Amount);
  ++Held.Running;
}

Result<void> FairShare::release(const std::string &Member,
                                const std::string &Team,
                                const Resources &Amount) {
  const auto It = Accounts_.find(Member);
  if (It == Accounts_.end())
    return fail(ErrorCode::NotFound,
                fmt::format("member {} holds nothing here", Member));
  const auto TeamAt = It->second.Teams.find(Team);
  if (TeamAt == It->second.Teams.end() || TeamAt->second.Running == 0 ||
      !Amount.fitsIn(TeamAt->second.Held))
    return fail(ErrorCode::InvalidArgument,
                fmt::format("team {} of member {} does not hold {} here", Team,
                            Member, Amount.toString()));
  settleDebt(It->second);
  CHECK(TeamAt->second.Held.subtract(Amount));
  CHECK(It->second.Here.subtract(Amount));
  if (--TeamAt->second.Running == 0)
    It->second.Teams.erase(TeamAt);
  return {};
}

Result<void> FairShare::mergeSummary(const std::string &Source,
                                     const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses)
    if (!Resources::fromRecord(Use.held()).fitsIn(Plausible))
      return fail(ErrorCode::InvalidArgument,
                  fmt::format("{} reports an implausible amount for member {}",
                              Source, Use.member()));
  dropStale();
  Summary &Last = Summaries_[Source];
  removeElsewhere(Last.Uses);
  Last.Received = Timers_.now();
  Last.Uses = Uses;
  addElsewhere(Last.Uses);
  return {};
}

void FairShare::removeSummary(const std::string &Source) {
  const auto It = Summaries_.find(Source);
  if (It == Summaries_.end())
    return;
  removeElsewhere(It->second.Uses);
  Summaries_.erase(It);
}

std::vector<peer::MemberUse> FairShare::localUsage() const {
  std::vector<peer::MemberUse> Uses;
  for (const auto &[Member, Of] : Accounts_)
    for (const auto &[Team, Held] : Of.Teams) {
      peer::MemberUse Use;
      Use.set_member(Member);
      Use.set_team(Team);
      Use.set_running(Held.Running);
      Use.set_dominant_share(Held.Held.dominantShareOf(Total_));
      if (auto Record = Held.Held.toRecord())
        *Use.mutable_held() = *Record;
      Uses.push_back(std::move(Use));
    }
  return Uses;
}

double FairShare::memberShare(const std::string &Member) const {
  const auto It = Accounts_.find(Member);
  return It == Accounts_.end() ? 0 : shareOf(It->second);
}

double FairShare::teamShare(const std::string &Member,
                            const std::string &Team) const {
  const auto It = Accounts_.find(Member);
  if (It == Accounts_.end())
    return 0;
  Resources Held;
  if (const auto At = It->second.Teams.find(Team); At != It->second.Teams.end())
    Held = At->second.Held;
  if (const auto At = It->second.TeamsElsewhere.find(Team);
      At != It->second.TeamsElsewhere.end())
    Held = sum(Held, At->second);
  return Held.dominantShareOf(Total_);
}

double FairShare::entitledShare(const std::string &Member) const {
  const auto It = Accounts_.find(Member);
  return It == Accounts_.end() ? Options_.DefaultShare * Scale_
                               : entitledOf(It->second);
}

std::chrono::duration<double> FairShare::debt(const std::string &Member) const {
  const auto It = Accounts_.find(Member);
  return std::chrono::duration<double>(
      It == Accounts_.end() ? 0 : debtOf(It->second));
}

double FairShare::memberRatio(const std::string &Member) const {
  const auto It = Accounts_.find(Member);
  if (It == Accounts_.end())
    return 0;
  const double Entitled = entitledOf(It->second);
  const double Ratio = shareOf(It->second) / Entitled;
  // Debt counts only among borrowers, so that paying it back does not take a
  // member below what it is entitled to.
  if (Ratio < 1)
    return Ratio;
  return Ratio +
         std::min(Options_.MaximumDebtPenalty,
                  debtOf(It->second) / Entitled / seconds(Options_.DebtUnit));
}

double FairShare::teamRatio(const std::string &Member,
                            const std::string &Team) const {
  const double Held = teamShare(Member, Team);
  if (Held == 0)
    return 0;
  const auto It = Accounts_.find(Member);
  double Entitled = Options_.DefaultShare;
  if (const auto Quota = It->second.TeamQuotas.find(Team);
      Quota != It->second.TeamQuotas.end())
    Entitled = std::max(Entitled, Quota->second.dominantShareOf(Total_));
  return Held / Entitled;
}

std::map<std::string, double>
FairShare::entitlements(const std::map<std::string, Resources> &Wanted) const {
  struct Filling {
    std::string Member;
    double Weight = 0;
    double Share = 0;
    double WantedShare = 0;
    std::array<double, 3> Direction{}; ///< Use per unit of dominant share.
    bool Growing = true;
  };
  std::vector<Filling> All;
  for (const auto &[Member, Amount] : Wanted) {
    Filling One{.Member = Member,
                .Weight = entitledShare(Member),
                .WantedShare = Amount.dominantShareOf(Total_)};
    One.Growing = One.WantedShare > 0;
    if (One.Growing) {
      One.Direction = fractions(Amount, Total_);
      for (double &Part : One.Direction)
        Part /= One.WantedShare;
    }
    All.push_back(std::move(One));
  }
  std::array<double, 3> Left{1, 1, 1};
  constexpr double Tiny = 1e-12;
  // Each turn ends the growth of at least one member.
  for (std::size_t Turn = 0; Turn <= All.size(); ++Turn) {
    double Step = -1;
    std::array<double, 3> Speed{};
    for (const Filling &One : All)
      if (One.Growing) {
        const double Until = (One.WantedShare - One.Share) / One.Weight;
        Step = Step < 0 ? Until : std::min(Step, Until);
        for (std::size_t I = 0; I < Speed.size(); ++I)
          Speed[I] += One.Weight * One.Direction[I];
      }
    if (Step < 0)
      break;
    for (std::size_t I = 0; I < Speed.size(); ++I)
      if (Speed[I] > 0)
        Step = std::min(Step, Left[I] / Speed[I]);
    for (std::size_t I = 0; I < Speed.size(); ++I)
      Left[I] = std::max(0.0, Left[I] - Speed[I] * Step);
    for (Filling &One : All) {
      if (!One.Growing)
        continue;
      One.Share += One.Weight * Step;
      bool Ends = One.Share >= One.WantedShare - Tiny;
      for (std::size_t I = 0; I < Left.size(); ++I)
        Ends = Ends || (One.Direction[I] > 0 && Left[I] <= Tiny);
      One.Growing = !Ends;
    }
  }
  std::map<std::string, double> Shares;
  for (const Filling &One : All)
    Shares[One.Member] = One.Share;
  return Shares;
}

double FairShare::shareOf(const Account &Of) const {
  return sum(Of.Here, Of.Elsewhere).dominantShareOf(Total_);
}

double FairShare::entitledOf(const Account &Of) const {
  return Scale_ *
         std::max(Options_.DefaultShare, Of.Entitled.dominantShareOf(Total_));
}

double FairShare::debtOf(const Account &Of) const {
  const double Rate = std::log(2.0) / seconds(Options_.DebtHalfLife);
  const double Kept = std::exp(-Rate * seconds(Timers_.now() - Of.DebtAsOf));
  const double Excess = std::max(0.0, shareOf(Of) - entitledOf(Of));
  return Of.Debt * Kept + Excess / Rate * (1 - Kept);
}

void FairShare::settleDebt(Account &Of) {
  Of.Debt = Of.DebtAsOf == Clock::time_point{} ? 0 : debtOf(Of);
  Of.DebtAsOf = Timers_.now();
}

void FairShare::rescale() {
  Scale_ = 1;
  double Sum = 0;
  for (const auto &[Name, Of] : Accounts_)
    Sum += entitledOf(Of);
  if (Sum > 1)
    Scale_ = 1 / Sum;
}

void FairShare::addElsewhere(const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses) {
    const auto [It, New] = Accounts_.try_emplace(Use.member());
    if (New)
      rescale();
    settleDebt(It->second);
    const Resources Held = Resources::fromRecord(Use.held());
    if (Held.empty())
      continue;
    It->second.Elsewhere = sum(It->second.Elsewhere, Held);
    Resources &TeamHeld = It->second.TeamsElsewhere[Use.team()];
    TeamHeld = sum(TeamHeld, Held);
  }
}

void FairShare::removeElsewhere(const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses) {
    Account &Of = Accounts_[Use.member()];
    settleDebt(Of);
    const Resources Held = Resources::fromRecord(Use.held());
    if (Held.empty())
      continue;
    CHECK(Of.Elsewhere.subtract(Held));
    const auto TeamAt = Of.TeamsElsewhere.find(Use.team());
    CHECK(TeamAt != Of.TeamsElsewhere.end() && TeamAt->second.subtract(Held));
    if (TeamAt->second.empty())
      Of.TeamsElsewhere.erase(TeamAt);
  }
}

void FairShare::dropStale() {
  for (auto It = Summaries_.begin(); It != Summaries_.end();) {
    if (Timers_.now() - It->second.Received <= Options_.SummaryLifetime) {
      ++It;
      continue;
    }
    removeElsewhere(It->second.Uses);
    It = Summaries_.erase(It);
  }
}

} // namespace hickory
