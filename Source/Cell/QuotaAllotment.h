#pragma once

#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"
#include "Cell/QuotaAmount.h"
#include "Cell/ShardMap.h"
#include "Work/JobProgress.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

struct QuotaAllotmentOptions {
  /// Part of a cap by which a task or gang that starts alone may exceed it.
  double Overage = 0;
  /// Freed room is kept for one to two times this while no other owner waits.
  std::chrono::milliseconds KeepTime{300};
  /// What was granted is kept at least this long, also while other owners wait:
  /// the journal may still be storing the job.
  std::chrono::milliseconds GrantTime{100};
  /// Time until a refused need is reported again.
  std::chrono::milliseconds RetryDelay{100};
  /// Time for which passes skip the steps after a refusal. Shorter, so that a
  /// pass has renewed the needs before they are reported again.
  std::chrono::milliseconds BlockedTime{70};
  /// A need that no pass has seen for this time is dropped.
  std::chrono::milliseconds NeedLifetime{250};
  /// A step refused for this time is not passed by steps that are not more
  /// urgent.
  std::chrono::milliseconds HoldAfter{1000};
  /// Number of steps of an account and shard whose needs are reported.
  std::size_t MaximumNeeds = 64;
};

/// A step that is about to be started.
struct QuotaStep {
  int Shard = 0; ///< Of its job.
  std::string Account;
  std::string Name; ///< JOB.OCCURRENCE.STEP
  const StepSpec *Spec = nullptr;
  int Priority = 0;
};

/// Bound of what the runs that former owners of a shard have started use, while
/// the takeover of the shard is not complete.
struct InheritedDemand {
  /// Demand of the tasks that may run and of which no run is known, by account.
  std::map<std::string, Resources> UnseenTasks;
  /// Accounts of which the journal does not tell what may run.
  std::set<std::string> UnboundedAccounts;
  /// Workers of which not all runs are known, with their capacity; nothing if
  /// there may be others. Runs of which none is known can only be there.
  std::optional<std::map<std::string, Resources>> OutOfReach;
};

/// What the jobs of the shards that this process owns use of the caps of their
/// accounts, and what they may use: the allotment of each account and shard,
/// which only the ledger of the account raises. Runs are counted by name from
/// before their placement is sent until their end is confirmed, whatever has
/// become of their job.
class QuotaAllotment {
public:
  explicit QuotaAllotment(ShardMap Map, QuotaAllotmentOptions Options = {})
      : Map_(Map), Options_(Options) {}

  /// Sets the caps that are in force. An account whose cap is new or smaller
  /// starts nothing until its ledger has answered.
  void setCaps(QuotaCaps Caps, std::uint64_t Version);
  [[nodiscard]] const QuotaCaps &caps() const { return Caps_; }
  void setOverage(double Overage) { Options_.Overage = Overage; }

  void openShard(int Shard, std::uint64_t Epoch) {
    Shards_[Shard] = {.Epoch = Epoch};
  }
  void closeShard(int Shard) { Shards_.erase(Shard); }
  /// Sets what the jobs that former owners of the shard have accepted may use,
  /// once its journal has been read, and whenever less of it may run.
  void setInherited(int Shard, InheritedDemand Demand);
  /// Records that the holder of the ledger is known from a list that was
  /// requested from the store after the shard's journal had been read. The
  /// shard is reported to the ledger from then on: a ledger that opens without
  /// its report is a former one, of which this process accepts no grants.
  void setLedgerKnown(int Shard, int Ledger);
  /// All runs of the shard's jobs are known, and former owners can start
  /// nothing more.
  void setResolved(int Shard);
  /// Returns a number that rises when a ledger should get a report early.
  [[nodiscard]] std::uint64_t newsCount() const { return News_; }

  /// Counts a run; its demand counts once. IsInherited: a former owner of the
  /// shard has started it.
  void beginRun(int Shard, const std::string &Account, const RunId &Run,
                const Resources &Demand, Clock::time_point Now,
                bool IsInherited = false);
  /// Records that the run was still there, so that reports sent before do not
  /// prove its end.
  void confirmRun(int Shard, const RunId &Run, Clock::time_point Now);
  void endRun(int Shard, const RunId &Run);
  /// Ends the runs for which the predicate is true. Since: when the run was
  /// last known.
  void endRuns(const std::function<bool(const RunId &Run,
                                        Clock::time_point Since)> &HasEnded);

  /// Returns how many of the step's Count tasks may start now: of a gang all or
  /// none. The rest is recorded as a need.
  int startable(const QuotaStep &Step, int Count, Clock::time_point Now);
  /// Returns true if nothing of the step can start before the ledger is asked
  /// again. Reads only the account and the demand of the step.
  [[nodiscard]] bool isBlocked(int Shard, const std::string &Account,
                               const StepSpec &Step,
                               Clock::time_point Now) const;

  /// Returns the shards of the names of the accounts with a cap.
  [[nodiscard]] std::set<int> ledgers() const;
  /// Returns the ledgers that should be called before their next regular report
  /// is due: something is needed, or others wait for what is not used.
  [[nodiscard]] std::set<int> ledgersToCall(Clock::time_point Now);
  /// Returns true if steps are no longer blocked that were so at the latest
  /// call.
  [[nodiscard]] bool takeUnblocked(Clock::time_point Now);
  /// Lowers the allotments to what is needed, and returns the report about all
  /// owned shards for a ledger in the highest known epoch; it has no shards if
  /// there is nothing to report.
  LedgerReport report(int Ledger, Clock::time_point Now);
  /// Records an epoch of a ledger. Replies of earlier ones have no effect.
  void noteLedgerEpoch(int Ledger, std::uint64_t Epoch);
  [[nodiscard]] std::uint64_t ledgerEpoch(int Ledger) const {
    const auto It = LedgerEpochs_.find(Ledger);
    return It == LedgerEpochs_.end() ? 0 : It->second;
  }
  /// Applies the reply to the latest report.
  void apply(const LedgerGrants &Reply, Clock::time_point Now);

  /// Returns the demand of the counted runs of the job.
  [[nodiscard]] Resources demandOf(int Shard, const std::string &Job) const;
  [[nodiscard]] Resources used(const std::string &Account) const;
  [[nodiscard]] Resources usedIn(int Shard, const std::string &Account) const;
  [[nodiscard]] Resources grantedIn(int Shard,
                                    const std::string &Account) const;

private:
  struct CountedRun {
    RunId Run;
    std::string Account;
    Resources Demand;
    Clock::time_point Since{};
    /// A former owner has started it, and the takeover is not complete.
    bool Inherited = false;
  };
  struct Need {
    Resources Total;
    Resources Minimum; ///< Starts the step.
    int Priority = 0;
    Clock::time_point Since{};
    Clock::time_point SeenAt{};
  };
  struct Use {
    Resources Used;      ///< By runs that are not inherited.
    Resources Inherited; ///< Demand of the inherited runs that are known.
    Resources Granted;
    Resources Peak;     ///< Largest use since PeakSince.
    Resources LastPeak; ///< In the period before.
    Clock::time_point PeakSince{};
    std::map<std::string, Need> Needs; ///< By step.
    bool Contended = false;
    Clock::time_point KeepUntil{}; ///< See GrantTime.
    Clock::time_point RetryAt{};
    Clock::time_point BlockedUntil{};
    bool Blocked = false; ///< No pass was asked for since BlockedUntil.

    [[nodiscard]] Resources room() const { return Granted.minusClamped(Used); }
  };
  struct OwnedShard {
    std::uint64_t Epoch = 0;
    bool Resolved = false;
    InheritedDemand Unseen;                           ///< Unless resolved.
    std::set<int> KnownLedgers;                       ///< See setLedgerKnown().
    std::unordered_map<std::string, CountedRun> Runs; ///< TASK#RUN@WORKER
    std::map<std::string, Use> Accounts;
    /// Of the latest report, by ledger.
    std::map<int, std::uint64_t> Sequences;
  };

  [[nodiscard]] static bool mayReport(const OwnedShard &Owned, int Ledger) {
    return Owned.Resolved || Owned.KnownLedgers.contains(Ledger);
  }
  /// Returns the bound of what inherited runs use of which none is known.
  [[nodiscard]] static Resources unseenOf(const OwnedShard &Owned,
                                          const std::string &Account);
  [[nodiscard]] const Use *findUse(int Shard, const std::string &Account) const;
  void dropOldNeeds(Use &Account, Clock::time_point Now) const;
  [[nodiscard]] static const Need *longest(const Use &Account);
  void rollPeaks(Use &Account, Clock::time_point Now) const;
  /// Returns what is to be kept of the allotment.
  [[nodiscard]] Resources kept(Use &Account, Clock::time_point Now) const;

  ShardMap Map_;
  QuotaAllotmentOptions Options_;
  QuotaCaps Caps_;
  std::uint64_t Version_ = 0;
  std::map<int, OwnedShard> Shards_;
  std::map<int, std::uint64_t> LedgerEpochs_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t News_ = 0;
};

} // namespace hickory
