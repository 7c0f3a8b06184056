#include "Cell/CellDaemon.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

/// Longest time between two evaluations of the list of workers while records
/// are written but no entry changes.
constexpr std::chrono::seconds UnchangedListPeriod{1};
/// Short, as other processes rely on a read that has ended recently.
constexpr std::chrono::milliseconds ConfigurationPollWait{700};
/// Time for which the reads of the store have failed when an owner asks other
/// processes. A single lost answer makes no further calls.
constexpr std::chrono::milliseconds OwnerRelayDelay{1000};
/// Largest number of events about the accounts of one configuration. Standard
/// output takes 200 lines a second, and other events need some of them.
constexpr std::size_t LoggedRejections = 50;

} // namespace

CellDaemon::CellDaemon(asio::io_context &Context, CellServices Services,
                       CellDaemonOptions Options)
    : Context_(Context), Services_(Services), Options_(std::move(Options)),
      Timers_(Context), Events_(Timers_, Options_.Events),
      Map_(Options_.Shards), Accounts_(Timers_, Events_, Metrics_),
      Shards_(Context.get_executor(), Timers_, Services.Store, Events_,
              Options_.Membership),
      Pool_(Context.get_executor(), Timers_, Services.Workers, Events_, Map_,
            Options_.Workers),
      Jobs_(Context.get_executor(), Timers_, Services.Store, Events_, Map_,
            Options_.Jobs),
      View_(Pool_, Map_), Peers_(Services.Peers, Options_.Address),
      Adviser_(Timers_, Services.Adviser, Peers_,
               {.Address = Options_.Address}),
      Quota_(Context.get_executor(), Timers_, Map_, Jobs_, Shards_,
             Configuration_, Peers_, Events_, Metrics_,
             {.Address = Options_.Address, .Overage = Options_.QuotaOverage}),
      Dispatcher_(Context.get_executor(), Timers_, Jobs_, View_, Peers_,
                  Adviser_, Shards_, Configuration_, Events_, Metrics_,
                  Options_.Dispatch),
      LoadControl_(Timers_, Jobs_, View_, Configuration_, Events_, Metrics_,
                   {.Address = Options_.Address,
                    .Admission = Options_.AdmissionControl}),
      UseMonitor_(Timers_, Pool_, Events_, Metrics_),
      Node_(Context.get_executor(), Timers_, Shards_, Map_, Pool_, Jobs_, View_,
            Dispatcher_, Adviser_, Peers_, Options_.Node),
      Gateway_(Shards_, Map_, Peers_, Node_, Configuration_, Timers_, Events_),
      ListedWorkers_(Services.Records),
      Workers_(Timers_, Services.Store, Events_,
               {.Name = "workers_list",
                .Topic = Options_.WorkersTopic,
                .IsNeeded = [this] { return Shards_.isParticipating(); }},
               [this](const auto &Values, const auto &Changed) {
                 updateWorkers(Values, Changed);
               }),
      Relay_(Peers_, Options_.Address,
             [this](Clock::duration Failing) {
               return configurationSources(Failing);
             }),
      Operator_(Timers_, Services.Store, Events_,
                {.Name = "configuration",
                 .Topic = Options_.OperatorTopic,
                 .PollWait = ConfigurationPollWait,
                 .Relay = &Relay_},
                [this](const auto &Values, const auto & /*Changed*/) {
                  updateConfiguration(Values);
                }),
      Supervisor_(Context.get_executor(), Timers_) {
  Peers_.setLocal(Node_);
  Node_.setRelaySource(Operator_);
  Jobs_.setQuota(Quota_.allotment());
  Dispatcher_.setQuota(Quota_);
  Node_.setQuota(Quota_);
  Gateway_.setQuotaOverage(Options_.QuotaOverage);
  Quota_.onGranted([this] { Dispatcher_.wake(); });
  Node_.setLoadControl(LoadControl_);
  Dispatcher_.setLoadControl(LoadControl_);
  Shards_.onAssigned([this](int Shard, std::uint64_t Epoch) {
    Pool_.assign(Shard, Epoch);
    Jobs_.assign(Shard, Epoch);
  });
  Shards_.onRevoked([this](int Shard) {
    Pool_.revoke(Shard);
    Jobs_.revoke(Shard);
  });
  Pool_.onRecordWorker([this](int Shard, WorkerEntry Entry) {
    Jobs_.recordWorker(Shard, std::move(Entry));
  });
  Pool_.onDeleteWorker([this](int Shard, const std::string &Worker) {
    Jobs_.deleteWorker(Shard, Worker);
  });
  Jobs_.onWorkersRead([this](int Shard, const std::vector<WorkerEntry> &Read) {
    Pool_.restore(Shard, Read);
  });
  Jobs_.onWorkerRecorded([this](int Shard, const std::string &Worker) {
    Pool_.markRecorded(Shard, Worker);
  });
  Pool_.onFenced([this](int /*Shard*/) { Shards_.requestJoin(); });
  Pool_.setOwnershipSource({.Confirm =
                                [this](int Shard, std::uint64_t Epoch) {
                                  return Jobs_.confirmOwnership(Shard, Epoch);
                                },
                            .ConfirmedAt =
                                [this](int Shard, std::uint64_t Epoch) {
                                  auto At =
                                      Jobs_.ownershipConfirmedAt(Shard, Epoch);
                                  if (At)
                                    At = std::max(*At, Shards_.confirmedAt());
                                  return At;
                                }});
  Pool_.onEndsChanged([this] { Node_.requestEndDelivery(); });
  Jobs_.onFenced([this](int Shard) { Shards_.handleFenced(Shard); });
  Jobs_.onRunEnded([this](RunOutcome Outcome) {
    Metrics_.count("runs_ended_total", 1,
                   fmt::format("how=\"{}\"", nameOf(Outcome)));
  });
  Jobs_.onEndWithoutEffect(
      [this] { Metrics_.count("ends_without_effect_total"); });
  Jobs_.onStepsReady([this] { Dispatcher_.wake(); });
  Jobs_.onShardOpened([this] {
    Node_.requestExchange();
    Shards_.refreshHolders();
  });
  Jobs_.onHolderListNeeded([this] { Shards_.refreshHolders(); });
  Jobs_.setHolderCheck(
      [this](int Shard, const std::string &Member, Clock::time_point Since) {
        return Shards_.isListedSince(Shard, Member, Since);
      });
  Shards_.onHolderListRead([this] { Jobs_.handleHolderList(); });
  Jobs_.onStopRuns([this](std::vector<RunId> Runs) {
    Dispatcher_.orderSender().stopRuns(std::move(Runs));
  });
  Adviser_.setProcessLists([this] { return Node_.owners(); },
                           [this] { return Node_.helpers(); });
  Supervisor_.add(Workers_);
  Supervisor_.add(Operator_);
  Supervisor_.add(Shards_);
}

void CellDaemon::start() {
  Events_.emit("daemon", "started",
               {{"address", Options_.Address}, {"shards", Options_.Shards}});
  Supervisor_.start();
  asio::co_spawn(Context_, Dispatcher_.run(), asio::detached);
  asio::co_spawn(Context_, Quota_.run(), asio::detached);
  asio::co_spawn(Context_, UseMonitor_.run(), asio::detached);
  Node_.start();
}

void CellDaemon::updateWorkers(const std::map<std::string, std::string> &Values,
                               const std::set<std::string> &Changed) {
  const bool ListChanged = ListedWorkers_.apply(Values, Changed);
  for (const RejectedEntry &Rejected : ListedWorkers_.takeRejected()) {
    Metrics_.count("worker_entries_rejected_total");
    Events_.emit("workers_list", "entry_rejected",
                 {{"worker", Rejected.Key}, {"reason", Rejected.Reason}});
  }
  const Clock::time_point Now = Timers_.now();
  // Workers that have left are removed some time after their entry.
  if (!ListChanged && Now - WorkersAppliedAt_ < UnchangedListPeriod)
    return;
  WorkersAppliedAt_ = Now;
  Pool_.updateWorkers(ListedWorkers_.workers());
  View_.updateWorkers(ListedWorkers_.workers());
  Dispatcher_.wake();
}

void CellDaemon::updateConfiguration(
    const std::map<std::string, std::string> &Values) {
  for (const auto &[Key, Value] : Values) {
    auto Read = Services_.Records.parseConfiguration(Key, Value);
    // A delayed read may return an older version.
    if (!Read || Read->Version <= Configuration_.Version)
      continue;
    Configuration_ = std::move(*Read);
    updateAccounts();
    Events_.emit("configuration", "in_force",
                 {{"version", Configuration_.Version},
                  {"queues", Configuration_.Queues.size()},
                  {"accounts_required", Accounts_.isRequired()},
                  {"accounts", Accounts_.accounts()},
                  {"keys", Accounts_.keys()}});
    Quota_.handleConfiguration();
  }
  Dispatcher_.wake();
}

void CellDaemon::updateAccounts() {
  Accounts_.update(Configuration_);
  const auto &Rejected = Configuration_.RejectedAccounts;
  if (Rejected.empty())
    return;
  Metrics_.count("accounts_rejected_total",
                 static_cast<double>(Rejected.size()));
  for (std::size_t I = 0; I < std::min(Rejected.size(), LoggedRejections); ++I)
    Events_.emit("configuration", "account_rejected",
                 {{"name", Rejected[I].Name},
                  {"reason", Rejected[I].Reason},
                  {"rejected", Rejected.size()}});
}

std::vector<std::string>
CellDaemon::configurationSources(Clock::duration StoreFailing) const {
  const bool IsOwner = !Shards_.heldShards().empty();
  if (IsOwner && StoreFailing < OwnerRelayDelay)
    return {};
  if (StoreFailing == Clock::duration(0))
    return Node_.ownersNearby();
  return ConfigurationRelay::alternate(Node_.ownersNearby(),
                                       Node_.ownersElsewhere());
}

bool CellDaemon::isReady() const {
  return !Draining_ && Configuration_.Version > 0 &&
         (Workers_.isReady() || !Shards_.isParticipating()) &&
         Shards_.shardsWithHolder() > 0 && !Node_.isIsolated();
}

asio::awaitable<void> CellDaemon::handOver() {
  Draining_ = true;
  Events_.emit("daemon", "draining");
  Operator_.stopRelaying();
  co_await Shards_.drain();
  Node_.announceLeaving();
}

void CellDaemon::stop() {
  Events_.emit("daemon", "stopped");
  Dispatcher_.stop();
  Quota_.stop();
  UseMonitor_.stop();
  Node_.stop();
  Pool_.stop();
}

} // namespace hickory
