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

/// Larger amounts are rejected, so that sums over all members and instances
/// cannot overflow.
constexpr Resources MaximumPlausibleAmount{.CpusMilli = std::uint64_t(1) << 44,
                                           .MemoryMb = std::uint64_t(1) << 44,
                                           .Accelerators = std::uint64_t(1)
                                                           << 32};

/// Returns A + B. Each operand is limited by MaximumPlausibleAmount.
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
  for (auto &[Name, Entry] : Accounts_) {
    updateDebt(Entry);
    Entry.Entitled = {};
    Entry.TeamQuotas.clear();
  }
  for (const ShareQuota &Quota : Quotas) {
    if (!Quota.Entitled.fitsIn(MaximumPlausibleAmount)) {
      LOG(WARNING) << "sharing: quota of member " << Quota.Member
                   << " is implausibly large and ignored";
      continue;
    }
    Account &Entry = Accounts_[Quota.Member];
    if (Quota.Team.empty())
      Entry.Entitled = sum(Entry.Entitled, Quota.Entitled);
    else
      Entry.TeamQuotas[Quota.Team] =
          sum(Entry.TeamQuotas[Quota.Team], Quota.Entitled);
  }
  updateScale();
}

void FairShare::setTotal(const Resources &Total) {
  for (auto &[Name, Entry] : Accounts_)
    updateDebt(Entry);
  Total_ = Total;
  updateScale();
}

void FairShare::acquire(const std::string &Member, const std::string &Team,
                        const Resources &Amount) {
  // mergeSummary() alone is not enough: an isolated instance receives no
  // summaries.
  dropStaleSummaries();
  const auto [It, IsNew] = Accounts_.try_emplace(Member);
  if (IsNew)
    updateScale();
  Account &Entry = It->second;
  updateDebt(Entry);
  Entry.LocalUsage = sum(Entry.LocalUsage, Amount);
  TeamUsage &Held = Entry.Teams[Team];
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
  updateDebt(It->second);
  CHECK(TeamAt->second.Held.subtract(Amount));
  CHECK(It->second.LocalUsage.subtract(Amount));
  if (--TeamAt->second.Running == 0)
    It->second.Teams.erase(TeamAt);
  return {};
}

Result<void> FairShare::mergeSummary(const std::string &Source,
                                     const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses)
    if (!Resources::fromRecord(Use.held()).fitsIn(MaximumPlausibleAmount))
      return fail(ErrorCode::InvalidArgument,
                  fmt::format("{} reports an implausible amount for member {}",
                              Source, Use.member()));
  dropStaleSummaries();
  Summary &Last = Summaries_[Source];
  removeRemoteUsage(Last.Uses);
  Last.Received = Timers_.now();
  Last.Uses = Uses;
  addRemoteUsage(Last.Uses);
  return {};
}

void FairShare::removeSummary(const std::string &Source) {
  const auto It = Summaries_.find(Source);
  if (It == Summaries_.end())
    return;
  removeRemoteUsage(It->second.Uses);
  Summaries_.erase(It);
}

std::vector<peer::MemberUse> FairShare::localUsage() const {
  std::vector<peer::MemberUse> Uses;
  for (const auto &[Member, Entry] : Accounts_)
    for (const auto &[Team, Held] : Entry.Teams) {
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
  return It == Accounts_.end() ? 0 : usedShare(It->second);
}

double FairShare::teamShare(const std::string &Member,
                            const std::string &Team) const {
  const auto It = Accounts_.find(Member);
  if (It == Accounts_.end())
    return 0;
  Resources Held;
  if (const auto At = It->second.Teams.find(Team); At != It->second.Teams.end())
    Held = At->second.Held;
  if (const auto At = It->second.RemoteTeamUsage.find(Team);
      At != It->second.RemoteTeamUsage.end())
    Held = sum(Held, At->second);
  return Held.dominantShareOf(Total_);
}

double FairShare::entitledShare(const std::string &Member) const {
  const auto It = Accounts_.find(Member);
  return It == Accounts_.end() ? Options_.DefaultShare * Scale_
                               : entitledShareOf(It->second);
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
  const double Entitled = entitledShareOf(It->second);
  const double Ratio = usedShare(It->second) / Entitled;
  // Debt counts only for borrowers, so that a member below its entitlement is
  // not delayed by it.
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
FairShare::entitlements(const std::map<std::string, Resources> &Demands) const {
  struct MemberFill {
    std::string Member;
    double Weight = 0;
    double Share = 0;
    double DemandShare = 0;
    std::array<double, 3> Direction{}; ///< Usage per unit of dominant share.
    bool Growing = true;
  };
  std::vector<MemberFill> Fills;
  for (const auto &[Member, Amount] : Demands) {
    MemberFill Fill{.Member = Member,
                    .Weight = entitledShare(Member),
                    .DemandShare = Amount.dominantShareOf(Total_)};
    Fill.Growing = Fill.DemandShare > 0;
    if (Fill.Growing) {
      Fill.Direction = fractions(Amount, Total_);
      for (double &Part : Fill.Direction)
        Part /= Fill.DemandShare;
    }
    Fills.push_back(std::move(Fill));
  }
  std::array<double, 3> Remaining{1, 1, 1};
  constexpr double Epsilon = 1e-12;
  // Each iteration ends the growth of at least one member.
  for (std::size_t Iteration = 0; Iteration <= Fills.size(); ++Iteration) {
    double Step = -1;
    std::array<double, 3> Rate{};
    for (const MemberFill &Fill : Fills)
      if (Fill.Growing) {
        const double StepToDemand =
            (Fill.DemandShare - Fill.Share) / Fill.Weight;
        Step = Step < 0 ? StepToDemand : std::min(Step, StepToDemand);
        for (std::size_t I = 0; I < Rate.size(); ++I)
          Rate[I] += Fill.Weight * Fill.Direction[I];
      }
    if (Step < 0)
      break;
    for (std::size_t I = 0; I < Rate.size(); ++I)
      if (Rate[I] > 0)
        Step = std::min(Step, Remaining[I] / Rate[I]);
    for (std::size_t I = 0; I < Rate.size(); ++I)
      Remaining[I] = std::max(0.0, Remaining[I] - Rate[I] * Step);
    for (MemberFill &Fill : Fills) {
      if (!Fill.Growing)
        continue;
      Fill.Share += Fill.Weight * Step;
      bool IsFull = Fill.Share >= Fill.DemandShare - Epsilon;
      for (std::size_t I = 0; I < Remaining.size(); ++I)
        IsFull = IsFull || (Fill.Direction[I] > 0 && Remaining[I] <= Epsilon);
      Fill.Growing = !IsFull;
    }
  }
  std::map<std::string, double> Shares;
  for (const MemberFill &Fill : Fills)
    Shares[Fill.Member] = Fill.Share;
  return Shares;
}

double FairShare::usedShare(const Account &Entry) const {
  return sum(Entry.LocalUsage, Entry.RemoteUsage).dominantShareOf(Total_);
}

double FairShare::entitledShareOf(const Account &Entry) const {
  return Scale_ * std::max(Options_.DefaultShare,
                           Entry.Entitled.dominantShareOf(Total_));
}

double FairShare::debtOf(const Account &Entry) const {
  const double DecayRate = std::log(2.0) / seconds(Options_.DebtHalfLife);
  const double Remaining =
      std::exp(-DecayRate * seconds(Timers_.now() - Entry.DebtAsOf));
  const double Excess =
      std::max(0.0, usedShare(Entry) - entitledShareOf(Entry));
  return Entry.Debt * Remaining + Excess / DecayRate * (1 - Remaining);
}

void FairShare::updateDebt(Account &Entry) {
  Entry.Debt = Entry.DebtAsOf == Clock::time_point{} ? 0 : debtOf(Entry);
  Entry.DebtAsOf = Timers_.now();
}

void FairShare::updateScale() {
  Scale_ = 1;
  double Sum = 0;
  for (const auto &[Name, Entry] : Accounts_)
    Sum += entitledShareOf(Entry);
  if (Sum > 1)
    Scale_ = 1 / Sum;
}

void FairShare::addRemoteUsage(const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses) {
    const auto [It, IsNew] = Accounts_.try_emplace(Use.member());
    if (IsNew)
      updateScale();
    updateDebt(It->second);
    const Resources Held = Resources::fromRecord(Use.held());
    if (Held.empty())
      continue;
    It->second.RemoteUsage = sum(It->second.RemoteUsage, Held);
    Resources &TeamHeld = It->second.RemoteTeamUsage[Use.team()];
    TeamHeld = sum(TeamHeld, Held);
  }
}

void FairShare::removeRemoteUsage(const std::vector<peer::MemberUse> &Uses) {
  for (const peer::MemberUse &Use : Uses) {
    Account &Entry = Accounts_[Use.member()];
    updateDebt(Entry);
    const Resources Held = Resources::fromRecord(Use.held());
    if (Held.empty())
      continue;
    CHECK(Entry.RemoteUsage.subtract(Held));
    const auto TeamAt = Entry.RemoteTeamUsage.find(Use.team());
    CHECK(TeamAt != Entry.RemoteTeamUsage.end() &&
          TeamAt->second.subtract(Held));
    if (TeamAt->second.empty())
      Entry.RemoteTeamUsage.erase(TeamAt);
  }
}

void FairShare::dropStaleSummaries() {
  for (auto It = Summaries_.begin(); It != Summaries_.end();) {
    if (Timers_.now() - It->second.Received <= Options_.SummaryLifetime) {
      ++It;
      continue;
    }
    removeRemoteUsage(It->second.Uses);
    It = Summaries_.erase(It);
  }
}

} // namespace hickory
