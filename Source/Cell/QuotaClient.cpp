#include "Cell/QuotaClient.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

/// Number of accounts that metrics name.
constexpr std::size_t MaximumNamedAccounts = 64;
constexpr int MaximumEventsPerSecond = 2;

QuotaCaps capsOf(const CellConfiguration &Configuration) {
  QuotaCaps Caps;
  if (Configuration.Accounts)
    for (const ClientAccount &Account : *Configuration.Accounts)
      if (!Account.Cap.empty())
        Caps.emplace(Account.Name, Account.Cap);
  return Caps;
}

} // namespace

QuotaClient::QuotaClient(const asio::any_io_executor &Executor,
                         TimerService &Timers, ShardMap Map, JobOwner &Jobs,
                         const ShardMembership &Shards,
                         const CellConfiguration &Configuration,
                         CellPeer &Peers, EventLog &Events, Metrics &Counters,
                         QuotaClientOptions Options)
    : Executor_(Executor), Timers_(Timers), Map_(Map), Jobs_(Jobs),
      Shards_(Shards), Configuration_(Configuration), Peers_(Peers),
      Events_(Events), Counters_(Counters), Options_(std::move(Options)),
      Allotment_(Map, {.Overage = Options_.Overage}), Wake_(Executor) {}

void QuotaClient::handleConfiguration() {
  QuotaCaps Caps = capsOf(Configuration_);
  for (auto &[Shard, Held] : Ledgers_)
    Held.Ledger.setCaps(Caps, Configuration_.Version);
  Allotment_.setCaps(std::move(Caps), Configuration_.Version);
  // Reports at once, as ledgers may recall amounts.
  for (auto &[Ledger, Latest] : Contacts_)
    Latest.SentAt = {};
  registerGauges();
  Wake_.notify();
}

void QuotaClient::registerGauges() {
  const auto CpusOf = [](const Resources &Amount) {
    return static_cast<double>(Amount.CpusMilli);
  };
  for (const auto &[Name, Cap] : Allotment_.caps()) {
    if (NamedAccounts_.size() >= MaximumNamedAccounts)
      return;
    if (!NamedAccounts_.insert(Name).second)
      continue;
    const std::string Labels =
        fmt::format("account=\"{}\"", metricLabelValue(Name));
    Counters_.gauge(
        "quota_used_cpu_milli",
        [this, CpusOf, Account = Name] {
          return CpusOf(Allotment_.used(Account));
        },
        Labels);
    Counters_.gauge(
        "quota_cap_cpu_milli",
        [this, CpusOf, Account = Name] {
          const auto It = Allotment_.caps().find(Account);
          return It == Allotment_.caps().end() ? 0 : CpusOf(It->second);
        },
        Labels);
    Counters_.gauge(
        "quota_granted_cpu_milli",
        [this, CpusOf, Account = Name] {
          return CpusOf(totalsOf(Account).Held);
        },
        Labels);
    Counters_.gauge(
        "quota_waiting_shards",
        [this, Account = Name] {
          return static_cast<double>(totalsOf(Account).Waiting);
        },
        Labels);
  }
}

QuotaLedger::Totals QuotaClient::totalsOf(const std::string &Account) const {
  const auto It = Ledgers_.find(Map_.shardOf(Account));
  return It == Ledgers_.end()
             ? QuotaLedger::Totals{}
             : It->second.Ledger.totalsOf(Account, Timers_.now());
}

int QuotaClient::startable(const QuotaStep &Step, int Count, bool MayStart) {
  const int Startable = Allotment_.startable(Step, Count, Timers_.now());
  if (Startable < Count) {
    Wake_.notify();
    if (MayStart)
      reportWaiting(Step, Count, Startable);
  }
  return Startable;
}

void QuotaClient::reportWaiting(const QuotaStep &Step, int Count,
                                int Startable) {
  const bool Named = NamedAccounts_.contains(Step.Account);
  Counters_.count(
      "quota_refused_total", 1,
      fmt::format("account=\"{}\"",
                  Named ? metricLabelValue(Step.Account) : "other"));
  const Clock::time_point Now = Timers_.now();
  std::erase_if(EventsSent_, [Now](const auto &Entry) {
    return Now - Entry.second.first >= std::chrono::seconds(1);
  });
  if (EventsSent_.size() >= MaximumNamedAccounts &&
      !EventsSent_.contains(Step.Account))
    return;
  auto &[Begin, Sent] = EventsSent_[Step.Account];
  if (Now - Begin >= std::chrono::seconds(1)) {
    Begin = Now;
    Sent = 0;
  }
  if (Sent++ >= MaximumEventsPerSecond)
    return;
  Events_.emit(
      "quota", "step_waits",
      {{"account", Step.Account},
       {"step", Step.Name},
       {"shard", Step.Shard},
       {"tasks", Count},
       {"startable", Startable},
       {"used", Allotment_.usedIn(Step.Shard, Step.Account).toString()},
       {"granted", Allotment_.grantedIn(Step.Shard, Step.Account).toString()}});
}

asio::awaitable<void> QuotaClient::run() {
  while (!Stopped_) {
    if (Allotment_.caps().empty())
      co_await Wake_.wait();
    else
      co_await Wake_.waitFor(Timers_, Options_.SearchPeriod);
    if (Stopped_)
      co_return;
    co_await Timers_.sleepFor(Options_.CoalesceTime);
    callDue();
  }
}

void QuotaClient::stop() {
  Stopped_ = true;
  Wake_.notify();
}

void QuotaClient::callDue() {
  const Clock::time_point Now = Timers_.now();
  if (Allotment_.takeUnblocked(Now) && Granted_)
    Granted_();
  const std::set<int> Urgent = Allotment_.ledgersToCall(Now);
  std::map<std::string, std::vector<int>> Due;
  for (const int Ledger : Allotment_.ledgers()) {
    const auto Holder = Shards_.holderOf(Ledger);
    Contact &Latest = Contacts_[Ledger];
    if (!Holder || InFlight_.contains(*Holder) || Now < Latest.RetryAt)
      continue;
    Allotment_.noteLedgerEpoch(Ledger, Shards_.latestTerm(Ledger).Epoch);
    noteKnownLedger(Ledger);
    const bool HasNews = Allotment_.ledgerEpoch(Ledger) != Latest.Epoch ||
                         Allotment_.newsCount() != Latest.News;
    const auto Passed = Now - Latest.SentAt;
    if (HasNews || Passed >= Options_.ReportPeriod ||
        (Urgent.contains(Ledger) && Passed >= Options_.MinimumCallInterval))
      Due[*Holder].push_back(Ledger);
  }
  for (auto &[Address, Ledgers] : Due)
    asio::co_spawn(Executor_, call(Address, std::move(Ledgers)),
                   asio::detached);
}

asio::awaitable<void> QuotaClient::call(std::string Address,
                                        std::vector<int> Ledgers) {
  Jobs_.updateInheritedDemand();
  QuotaRequest Request{.Sender = Options_.Address};
  for (const int Ledger : Ledgers) {
    Contact &Latest = Contacts_[Ledger];
    Latest.SentAt = Timers_.now();
    Latest.News = Allotment_.newsCount();
    LedgerReport Report = Allotment_.report(Ledger, Timers_.now());
    Latest.Epoch = Report.Epoch;
    if (!Report.Shards.empty())
      Request.Ledgers.push_back(std::move(Report));
  }
  if (Request.Ledgers.empty() || !InFlight_.insert(Address).second)
    co_return;
  Counters_.count("quota_calls_total");
  const auto Reply = co_await Peers_.quota(Address, std::move(Request));
  InFlight_.erase(Address);
  if (!Reply) {
    Counters_.count("quota_calls_failed_total");
    for (const int Ledger : Ledgers) {
      Contacts_[Ledger].RetryAt = Timers_.now() + Options_.FailedRetryDelay;
      Contacts_[Ledger].SentAt = {};
    }
    co_return;
  }
  for (const LedgerGrants &Grants : Reply->Ledgers) {
    Allotment_.apply(Grants, Timers_.now());
    // The shard has another holder, which the next exchanges report.
    if (Grants.Epoch == 0)
      Contacts_[Grants.Ledger].RetryAt =
          Timers_.now() + Options_.FailedRetryDelay;
  }
  if (Granted_)
    Granted_();
  Wake_.notify();
}

QuotaClient::HeldLedger *QuotaClient::heldLedger(int Shard) {
  const auto Epoch = Jobs_.epochOf(Shard);
  const auto It = Ledgers_.find(Shard);
  if (It != Ledgers_.end() && Epoch != It->second.Epoch)
    Ledgers_.erase(It);
  if (!Epoch)
    return nullptr;
  const auto [Held, IsNew] = Ledgers_.try_emplace(
      Shard, HeldLedger{.Epoch = *Epoch, .Ledger = QuotaLedger(Map_.count())});
  QuotaLedger &Ledger = Held->second.Ledger;
  if (IsNew)
    Ledger.setCaps(Allotment_.caps(), Configuration_.Version);
  const auto OpenedAt = Jobs_.openedAt(Shard);
  for (int Number = 0; Number < Map_.count(); ++Number) {
    const std::uint64_t Term = Shards_.latestTerm(Number).Epoch;
    Ledger.noteTerm(Number, std::max(Term, Jobs_.epochOf(Number).value_or(0)));
    if (OpenedAt && Shards_.isLatestTermListedSince(Number, *OpenedAt))
      Ledger.noteListed(Number, Term);
  }
  return &Held->second;
}

void QuotaClient::noteKnownLedger(int Ledger) {
  for (const int Shard : Jobs_.shardsWithInheritedDemand())
    if (Shards_.isLatestTermListedSince(Ledger, *Jobs_.openedAt(Shard)))
      Allotment_.setLedgerKnown(Shard, Ledger);
}

QuotaReply QuotaClient::answer(const QuotaRequest &Request) {
  QuotaReply Reply;
  for (const LedgerReport &Report : Request.Ledgers) {
    LedgerGrants &Grants =
        Reply.Ledgers.emplace_back(LedgerGrants{.Ledger = Report.Ledger});
    HeldLedger *Held = heldLedger(Report.Ledger);
    if (Held == nullptr)
      continue;
    Grants.Epoch = Held->Epoch;
    if (Report.Epoch != Held->Epoch)
      continue;
    const bool WasOpen = Held->Ledger.isOpen();
    for (const ShardUsageReport &Shard : Report.Shards)
      Grants.Shards.push_back(
          Held->Ledger.apply(Shard, Report.Version, Timers_.now()));
    if (!WasOpen && Held->Ledger.isOpen())
      Events_.emit("quota", "ledger_open",
                   {{"shard", Report.Ledger}, {"epoch", Held->Epoch}});
  }
  return Reply;
}

} // namespace hickory
