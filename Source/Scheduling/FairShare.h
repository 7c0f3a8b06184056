#pragma once

#include "Base/TimerService.h"
#include "Peer.pb.h"
#include "Scheduling/Resources.h"
#include "Scheduling/ShareRatios.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Resources that a member, or one of its teams, is entitled to.
struct ShareQuota {
  std::string Member;
  std::string Team; ///< Empty for the quota of the whole member.
  Resources Entitled;
};

struct FairShareOptions {
  /// Share of the total that a member or team without quota is entitled to.
  double DefaultShare = 0.001;
  /// Debt decays by half in this time.
  Clock::duration DebtHalfLife = std::chrono::minutes(5);
  /// Divisor of the debt: debt / entitled share / DebtUnit is added to the
  /// ratio of a borrower, at most MaximumDebtPenalty.
  Clock::duration DebtUnit = std::chrono::minutes(10);
  /// Upper bound of what debt adds to a ratio. Small, so that the shares of
  /// borrowers, too, stay close to the result of entitlements().
  double MaximumDebtPenalty = 0.02;
  /// A summary of another instance expires if it is not renewed in this time.
  Clock::duration SummaryLifetime = std::chrono::minutes(5);
};

/// Dominant-resource fair shares of members and teams over the whole cell,
/// computed from the usage of this instance and the last summary of every other
/// instance. Members below their entitlement go first, ordered by the fraction
/// of it that they hold. Unused capacity is lent, preferably to the members
/// with the least debt. Debt never takes a member below its entitlement.
class FairShare final : public ShareRatios {
public:
  explicit FairShare(TimerService &Timers, FairShareOptions Options = {})
      : Timers_(Timers), Options_(Options) {}

  /// Replaces all quotas.
  void setQuotas(const std::vector<ShareQuota> &Quotas);
  /// Sets the known capacity of the whole cell.
  void setTotal(const Resources &Total);

  /// Adds Amount, the resources of one task, to the usage of this instance.
  void acquire(const std::string &Member, const std::string &Team,
               const Resources &Amount);
  /// Removes the resources of one task from the usage of this instance. Fails
  /// if the team does not hold as much here.
  Result<void> release(const std::string &Member, const std::string &Team,
                       const Resources &Amount);

  /// Replaces the summary of Source, the slot of another instance. Fails, and
  /// keeps the earlier summary, if an amount is implausibly large.
  Result<void> mergeSummary(const std::string &Source,
                            const std::vector<peer::MemberUse> &Uses);
  void removeSummary(const std::string &Source);
  /// Usage of this instance, for the summary that it sends to other instances.
  [[nodiscard]] std::vector<peer::MemberUse> localUsage() const;

  /// Dominant share of the cell's capacity that the member holds.
  [[nodiscard]] double memberShare(const std::string &Member) const;
  [[nodiscard]] double teamShare(const std::string &Member,
                                 const std::string &Team) const;
  /// Quota as a share of the cell's capacity, scaled down if the quotas exceed
  /// the capacity.
  [[nodiscard]] double entitledShare(const std::string &Member) const;
  /// Decayed time integral of the share held above the entitlement, in seconds.
  [[nodiscard]] std::chrono::duration<double>
  debt(const std::string &Member) const;

  [[nodiscard]] double memberRatio(const std::string &Member) const override;
  [[nodiscard]] double teamRatio(const std::string &Member,
                                 const std::string &Team) const override;

  /// Returns the dominant share that each member should hold, given the demand
  /// of all members. Computed by progressive filling: shares grow in proportion
  /// to the quotas until the demand is met or a resource that it needs is used
  /// up.
  [[nodiscard]] std::map<std::string, double>
  entitlements(const std::map<std::string, Resources> &Demands) const;

private:
  struct TeamUsage {
    Resources Held;
    std::uint32_t Running = 0;
  };
  struct Account {
    Resources Entitled;
    Resources LocalUsage;
    Resources RemoteUsage;
    std::map<std::string, Resources> TeamQuotas;
    std::map<std::string, TeamUsage> Teams;
    std::map<std::string, Resources> RemoteTeamUsage;
    double Debt = 0; ///< Seconds.
    Clock::time_point DebtAsOf{};
  };
  struct Summary {
    Clock::time_point Received{};
    std::vector<peer::MemberUse> Uses;
  };

  [[nodiscard]] double usedShare(const Account &Entry) const;
  [[nodiscard]] double entitledShareOf(const Account &Entry) const;
  [[nodiscard]] double debtOf(const Account &Entry) const;
  /// Updates the debt to the present time. Call it before usage or entitlement
  /// changes.
  void updateDebt(Account &Entry);
  void updateScale();
  void addRemoteUsage(const std::vector<peer::MemberUse> &Uses);
  void removeRemoteUsage(const std::vector<peer::MemberUse> &Uses);
  void dropStaleSummaries();

  TimerService &Timers_;
  FairShareOptions Options_;
  Resources Total_;
  /// Factor that limits the sum of all entitled shares to 1.
  double Scale_ = 1;
  std::map<std::string, Account> Accounts_;
  std::map<std::string, Summary> Summaries_;
};

} // namespace hickory
