#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Cell/CellConfiguration.h"
#include "Cell/CellPeer.h"
#include "Cell/JobOwner.h"
#include "Cell/QuotaAllotment.h"
#include "Cell/QuotaLedger.h"
#include "Cell/ShardMembership.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct QuotaClientOptions {
  std::string Address; ///< Of this process.
  /// Part of a cap by which a task or gang that starts alone may exceed it.
  double Overage = 0;
  /// Coalesces the needs of steps that are refused close together.
  std::chrono::milliseconds CoalesceTime{5};
  std::chrono::milliseconds ReportPeriod{1000};
  /// Longest time between two searches for calls that are due.
  std::chrono::milliseconds SearchPeriod{25};
  std::chrono::milliseconds MinimumCallInterval{20};
  std::chrono::milliseconds FailedRetryDelay{100};
};

/// Calls the holders of the ledgers for the job shards of this process, and
/// answers such calls for the ledgers that it holds. Without an account with a
/// cap in the configuration it makes no call.
class QuotaClient {
public:
  QuotaClient(const asio::any_io_executor &Executor, TimerService &Timers,
              ShardMap Map, JobOwner &Jobs, const ShardMembership &Shards,
              const CellConfiguration &Configuration, CellPeer &Peers,
              EventLog &Events, Metrics &Counters, QuotaClientOptions Options);

  asio::awaitable<void> run();
  void stop();
  /// Sets the callback for steps that may have become startable.
  void onGranted(std::function<void()> Callback) {
    Granted_ = std::move(Callback);
  }
  /// Applies the caps of the configuration.
  void handleConfiguration();
  /// Counts the runs of the owned shards. Set as JobOwner::setQuota().
  [[nodiscard]] QuotaAllotment &allotment() { return Allotment_; }

  /// See QuotaAllotment::startable(). MayStart: the step is refused and does
  /// not only ask ahead.
  int startable(const QuotaStep &Step, int Count, bool MayStart);
  [[nodiscard]] bool isBlocked(int Shard, const std::string &Account,
                               const StepSpec &Step) const {
    return Allotment_.isBlocked(Shard, Account, Step, Timers_.now());
  }
  QuotaReply answer(const QuotaRequest &Request);
  /// Returns the account's ledger totals; zeros if this process does not hold
  /// its ledger.
  [[nodiscard]] QuotaLedger::Totals totalsOf(const std::string &Account) const;

private:
  struct HeldLedger {
    std::uint64_t Epoch = 0;
    QuotaLedger Ledger;
  };
  struct Contact {
    Clock::time_point SentAt{};
    Clock::time_point RetryAt{};
    std::uint64_t Epoch = 0;
    std::uint64_t News = 0; ///< See QuotaAllotment::newsCount().
  };

  void callDue();
  asio::awaitable<void> call(std::string Address, std::vector<int> Ledgers);
  /// Tells the allotment which owned shards may be reported to the ledger.
  void noteKnownLedger(int Ledger);
  HeldLedger *heldLedger(int Shard);
  void reportWaiting(const QuotaStep &Step, int Count, int Startable);
  void registerGauges();

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ShardMap Map_;
  JobOwner &Jobs_;
  const ShardMembership &Shards_;
  const CellConfiguration &Configuration_;
  CellPeer &Peers_;
  EventLog &Events_;
  Metrics &Counters_;
  QuotaClientOptions Options_;
  QuotaAllotment Allotment_;
  std::map<int, HeldLedger> Ledgers_;
  std::map<int, Contact> Contacts_; ///< By ledger.
  std::set<std::string> InFlight_;  ///< Holders with a call in flight.
  std::set<std::string> NamedAccounts_;
  /// Number of events about an account in the second that began then.
  std::map<std::string, std::pair<Clock::time_point, int>> EventsSent_;
  std::function<void()> Granted_;
  Notifier Wake_;
  bool Stopped_ = false;
};

} // namespace hickory
