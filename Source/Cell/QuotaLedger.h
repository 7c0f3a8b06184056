#pragma once

#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"
#include "Cell/QuotaAmount.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

struct QuotaLedgerOptions {
  /// Room that is too small for the need that has been refused longest is kept
  /// for it after this time.
  std::chrono::milliseconds HoldAfter{1000};
  /// Amounts are recalled from other shards for a need that has been refused
  /// for this time.
  std::chrono::milliseconds RecallAfter{500};
  /// A need that has not been reported again for this time is dropped. Owners
  /// report refused needs about every 100 ms.
  std::chrono::milliseconds NeedLifetime{400};
};

/// Amounts that the owners of the job shards hold of the caps of accounts: the
/// decisions of the holder of the shard of the accounts' names, in one epoch.
/// It keeps the sum of what is held by an account within its cap, and grants
/// nothing before the owners of all job shards have reported. What former
/// owners of a shard may still use counts like what its owner holds.
class QuotaLedger {
public:
  /// Shards is the number of job shards.
  explicit QuotaLedger(int Shards, QuotaLedgerOptions Options = {})
      : Shards_(static_cast<std::size_t>(Shards)), Options_(Options) {}

  /// Version: of the configuration that has the caps.
  void setCaps(const QuotaCaps &Caps, std::uint64_t Version);
  /// Records a term of a job shard that this process has learned of. Reports of
  /// earlier ones have no effect.
  void noteTerm(int Shard, std::uint64_t Epoch);
  /// Records that a list of holders, requested from the store after this term
  /// of the ledger had begun, names the owner that has the job shard in this
  /// epoch. An owner whose takeover begins later knows this term of the ledger
  /// before it reports.
  void noteListed(int Shard, std::uint64_t Epoch);
  /// Returns true once all job shards have reported, so that more is granted.
  [[nodiscard]] bool isOpen() const { return Open_; }
  /// Applies the report of a job shard's owner and decides what it gets.
  /// Version: of the owner's configuration.
  ShardGrants apply(const ShardUsageReport &Report, std::uint64_t Version,
                    Clock::time_point Now);

  struct Totals {
    Resources Used;
    Resources Held;
    int Waiting = 0; ///< Number of shards with a need that is not met.
  };
  [[nodiscard]] Totals totalsOf(const std::string &Account,
                                Clock::time_point Now) const;

private:
  struct JobShard {
    std::uint64_t Term = 0;     ///< Latest known epoch.
    std::uint64_t Listed = 0;   ///< See noteListed().
    std::uint64_t Epoch = 0;    ///< Of the latest report.
    std::uint64_t Sequence = 0; ///< Of the latest report.
    std::uint64_t Version = 0;  ///< Of the configuration of its sender.
    bool Reported = false;
    bool OutOfReachKnown = false;
    std::map<std::string, Resources> OutOfReach; ///< See ShardUsageReport.
    ShardGrants Answer;                          ///< To the latest report.
  };
  struct Use {
    AccountUsage Report;
    /// The owner may have this much running: the larger of what it has reported
    /// and what it was granted since.
    Resources Held;
    /// Bound of what unseen runs of the shard's former owners may use.
    Resources Unseen;
    /// Below Held if the owner was asked to return the rest.
    Resources Target;
    Clock::time_point WaitingSince{};
    Clock::time_point ReportedAt{};

    /// Returns the amount beyond Held with which the waiting step can start.
    [[nodiscard]] Resources minimum() const {
      return plusSaturated(Report.Used, Report.Minimum).minusClamped(Held);
    }
    /// Returns what is used for certain or granted.
    [[nodiscard]] Resources known() const {
      return plusSaturated(Held, Report.Inherited);
    }
    [[nodiscard]] Resources total() const {
      return plusSaturated(known(), Unseen);
    }
    [[nodiscard]] Resources need() const {
      return Report.Wanted.minusClamped(Held);
    }
  };
  using Uses = std::map<int, Use>; ///< By job shard.

  [[nodiscard]] bool isWaiting(const Use &Each, Clock::time_point Now) const {
    return !Each.Report.Minimum.empty() && !Each.minimum().empty() &&
           Now - Each.ReportedAt <= Options_.NeedLifetime;
  }
  void openIfReported();
  /// Returns the bound of what unseen runs of former owners of the job shard
  /// may use. With the known ones, they use at most what these owners held by
  /// their reports, if there are any.
  [[nodiscard]] Resources unseenBy(const ShardUsageReport &Report,
                                   const AccountUsage &Usage) const;
  /// Returns the most that the account may have running. The unseen runs of all
  /// shards are on the same workers out of reach.
  [[nodiscard]] Resources mostInUse(const Uses &All) const;
  AccountGrant decide(const std::string &Account, int Shard,
                      std::uint64_t Version, Clock::time_point Now);
  /// Returns what is left for the shard after the needs that were refused
  /// before its own.
  [[nodiscard]] Resources roomFor(const Uses &All, int Shard, Resources Room,
                                  Clock::time_point Now) const;
  /// Returns what the shard is to return for the need that was refused longest.
  [[nodiscard]] Resources recallFrom(const Uses &All, int Shard,
                                     const Resources &Room,
                                     Clock::time_point Now) const;

  std::vector<JobShard> Shards_;
  QuotaLedgerOptions Options_;
  QuotaCaps Caps_;
  std::uint64_t Version_ = 0;
  /// Version with which the present cap came, by account. An owner with an
  /// earlier one gets nothing: it may skip this one, and would then keep grants
  /// of a larger cap.
  std::map<std::string, std::uint64_t> CapVersions_;
  std::map<std::string, Uses> Accounts_;
  bool Open_ = false;
};

} // namespace hickory
