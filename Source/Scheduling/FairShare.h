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

/// What a member, or one of its teams, is entitled to.
struct ShareQuota {
  std::string Member;
  std::string Team; ///< Empty: the whole member.
  Resources Entitled;
};

struct FairShareOptions {
  /// Share of the total that a member or team without quota is entitled to.
  double DefaultShare = 0.001;
  Clock::duration DebtHalfLife = std::chrono::minutes(5);
  /// Holding twice its entitlement for this long puts a borrower behind one
  /// without debt as much as holding once more its entitlement does.
  Clock::duration DebtUnit = std::chrono::minutes(10);
  /// Bound of what debt adds to a ratio. Small, so that shares stay close to
  /// what entitlements() says even among borrowers.
  double MaximumDebtPenalty = 0.02;
  /// A summary not renewed for this long no longer counts.
  Clock::duration SummaryLifetime = std::chrono::minutes(5);
};

/// Dominant-resource shares of members and teams over the whole cell: what
/// this instance committed, plus the last summary of every other instance.
/// Members below their entitlement go first, by how much of it they hold;
/// capacity that nobody is entitled to use is lent, preferably to those who
/// borrowed least lately. Debt never takes a member below its entitlement.
class FairShare final : public ShareRatios {
public:
  explicit FairShare(TimerService &Timers, FairShareOptions Options = {})
      : Timers_(Timers), Options_(Options) {}

  /// Replaces all quotas.
  void setQuotas(const std::vector<ShareQuota> &Quotas);
  /// Resources of the whole cell, as far as known.
  void setTotal(const Resources &Total);

  void acquire(const std::string &Member, const std::string &Team,
               const Resources &Amount);
  /// Fails if the team does not hold as much here.
  Result<void> release(const std::string &Member, const std::string &Team,
                       const Resources &Amount);

  /// Replaces what Source (the slot of another instance) reported before.
  /// Fails, and keeps the earlier report, if an amount is implausible.
  Result<void> mergeSummary(const std::string &Source,
                            const std::vector<peer::MemberUse> &Uses);
  void removeSummary(const std::string &Source);
  /// What this instance holds, for the summary that it sends.
  [[nodiscard]] std::vector<peer::MemberUse> localUsage() const;

  /// Held anywhere in the cell, as a share of the total.
  [[nodiscard]] double memberShare(const std::string &Member) const;
  [[nodiscard]] double teamShare(const std::string &Member,
                                 const std::string &Team) const;
  /// Quota as a share of the total. Scaled down if all quotas together exceed
  /// the total.
  [[nodiscard]] double entitledShare(const std::string &Member) const;
  /// Decayed time integral of the share held above the entitlement.
  [[nodiscard]] std::chrono::duration<double>
  debt(const std::string &Member) const;

  [[nodiscard]] double memberRatio(const std::string &Member) const override;
  [[nodiscard]] double teamRatio(const std::string &Member,
                                 const std::string &Team) const override;

  /// Dominant share that each member should hold if all had work for Wanted:
  /// shares grow in proportion to the quotas until a member has all it wants
  /// or a resource that it needs is used up.
  [[nodiscard]] std::map<std::string, double>
  entitlements(const std::map<std::string, Resources> &Wanted) const;

private:
  struct Holding {
    Resources Held;
    std::uint32_t Running = 0;
  };
  struct Account {
    Resources Entitled;
    Resources Here;
    Resources Elsewhere;
    std::map<std::string, Resources> TeamQuotas;
    std::map<std::string, Holding> Teams;
    std::map<std::string, Resources> TeamsElsewhere;
    double Debt = 0; ///< Seconds.
    Clock::time_point DebtAsOf{};
  };
  struct Summary {
    Clock::time_point Received{};
    std::vector<peer::MemberUse> Uses;
  };

  [[nodiscard]] double shareOf(const Account &Of) const;
  [[nodiscard]] double entitledOf(const Account &Of) const;
  [[nodiscard]] double debtOf(const Account &Of) const;
  /// Brings the debt up to date before the held amount changes.
  void settleDebt(Account &Of);
  void rescale();
  void addElsewhere(const std::vector<peer::MemberUse> &Uses);
  void removeElsewhere(const std::vector<peer::MemberUse> &Uses);
  void dropStale();

  TimerService &Timers_;
  FairShareOptions Options_;
  Resources Total_;
  /// Factor that keeps the sum of all entitled shares within one.
  double Scale_ = 1;
  std::map<std::string, Account> Accounts_;
  std::map<std::string, Summary> Summaries_;
};

} // namespace hickory
