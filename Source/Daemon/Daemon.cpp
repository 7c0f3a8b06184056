#include "Daemon/Daemon.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds FlushLimit{3000};
constexpr milliseconds PeerDrainLimit{5000};
constexpr std::chrono::seconds QuotaPeriod{1};
/// How long a list or an executor may hold idle connections together.
constexpr long PlatformConnections = 16;
constexpr long UpstreamConnections = 256;
constexpr const char *UnansweredBody =
    R"({"code":"stopping","message":"this instance stops before the outcome )"
    R"(is known; ask another one, with the same key"})";

std::string domainStream(const Settings &Configured) {
  return "domain." + Configured.Instance.FailureDomain;
}

OwnershipOptions ownershipOptions(const Settings &Configured,
                                  const OwnershipFaults &Faults) {
  const Settings::LeaseSettings &Lease = Configured.Lease;
  OwnershipOptions Options;
  Options.Lease = Lease.InstanceLease;
  Options.HeartbeatPeriod = Lease.Heartbeat;
  Options.ClockRateMarginPercent = static_cast<int>(Lease.ClockMarginPercent);
  Options.PreferenceWait = Lease.PreferredWait;
  Options.TakeoverWait = Lease.withMargin(Lease.StartLease);
  Options.ConsentAfter = Lease.InstanceLease / 2;
  Options.SnapshotRecords = Configured.Log.SnapshotRecords;
  Options.SnapshotPeriod = Configured.Log.SnapshotPeriod;
  Options.Faults = Faults;
  return Options;
}

RackManagerOptions rackOptions(const Settings &Configured) {
  const Settings::LeaseSettings &Lease = Configured.Lease;
  RackManagerOptions Options;
  Options.Lease.StartLease = Lease.StartLease;
  Options.Lease.RunLease = Lease.RunLease;
  Options.Lease.ClockRateMargin = Lease.ClockMarginPercent / 100.0;
  Options.Lease.HeartbeatPeriod = Configured.Workers.Heartbeat;
  Options.Lease.CallTimeout = Configured.Workers.RequestTimeout;
  Options.TakeoverWait = Lease.withMargin(Lease.StartLease);
  Options.RetryShare = Configured.Requests.RetryBudgetPercent / 100.0;
  return Options;
}

GatewayOptions gatewayOptions(const Settings &Configured) {
  const Settings::GatewaySettings &Given = Configured.Gateway;
  return {.Server = {.Address = Given.Address,
                     .Port = Given.Port,
                     .MaximumBodyBytes = Given.MaximumBodyBytes,
                     .MaximumHeaderBytes = Given.MaximumHeaderBytes,
                     .MaximumConnections = Given.MaximumConnections,
                     .UnansweredBody = UnansweredBody},
          .MaximumWaitingRequests = Given.MaximumWaitingRequests,
          .DefaultTimeout = Configured.Requests.DefaultTimeout};
}

} // namespace

Daemon::Daemon(asio::io_context &Context, const Settings &Configured,
               DaemonFaults Faults)
    : Context_(Context), Settings_(Configured), Timers_(Context),
      Events_(Timers_, {.Process = Settings_.Instance.Slot,
                        .Capacity = Settings_.Events.Capacity,
                        .File = Settings_.Events.File}),
      PlatformHttp_(Context, {.MaximumConnections = PlatformConnections}),
      UpstreamHttp_(Context, {.MaximumConnections = UpstreamConnections}),
      Log_(PlatformHttp_, Settings_.Platform.LogUrl,
           Settings_.Platform.LogTimeout),
      DomainWriter_(Context.get_executor(), Timers_, Log_, Counters_,
                    {.Stream = domainStream(Settings_),
                     .Slot = Settings_.Instance.Slot,
                     .Linger = Settings_.Log.Linger}),
      ConfigWriter_(Context.get_executor(), Timers_, Log_, Counters_,
                    {.Stream = "config",
                     .Slot = Settings_.Instance.Slot,
                     .Incarnation = Random::fromSystem().next(),
                     .Linger = Settings_.Log.Linger}),
      Appender_(DomainWriter_), Domain_(&Table_), Config_(Timers_),
      DomainReader_(Context.get_executor(), Timers_, Log_, Counters_, Domain_,
                    {.Stream = domainStream(Settings_)}),
      ConfigReader_(Context.get_executor(), Timers_, Log_, Counters_, Config_,
                    {.Stream = "config"}),
      Peers_(Context, Settings_.Directory, Counters_),
      Ownership_(Context.get_executor(), Timers_, Domain_, Appender_, Peers_,
                 Settings_.Directory, Counters_, Events_, Random::fromSystem(),
                 ownershipOptions(Settings_, Faults.Ownership)),
      Upstreams_({.Url = Settings_.Platform.ListUrl,
                  .FailureDomain = Settings_.Instance.FailureDomain,
                  .PollPeriod = Settings_.Platform.ListPeriod},
                 Context.get_executor(), Timers_, PlatformHttp_, Ownership_,
                 Counters_, Events_),
      Racks_(rackOptions(Settings_), Context.get_executor(), Timers_,
             UpstreamHttp_, Ownership_, Upstreams_, *this, Counters_, Events_),
      Cell_(Timers_, Settings_.Directory), Shares_(Timers_),
      Chooser_(Ownership_, Settings_.Directory, Cell_, Racks_, Peers_),
      Requests_({.MaximumWaiting = Settings_.Gateway.MaximumWaitingRequests,
                 .SkipIntent = Faults.SkipIntent},
                Context.get_executor(), Timers_, Config_, Ownership_,
                DomainWriter_, Table_, Chooser_, Counters_, Events_),
      Runner_({.SkipRecoveryCheck = Faults.SkipRecoveryCheck},
              Context.get_executor(), Timers_, Config_, Ownership_,
              DomainWriter_, Table_, Chooser_, Shares_, Counters_, Events_),
      Jobs_(Context.get_executor(), Timers_, Config_, Ownership_, Table_,
            Requests_, Runner_),
      Router_(Timers_, Ownership_, Settings_.Directory, Cell_, Peers_, Jobs_,
              Counters_),
      Summaries_({.Period = Settings_.Sharing.SummaryPeriod},
                 Context.get_executor(), Timers_, Ownership_,
                 Settings_.Directory, Peers_, Racks_, Cell_, Shares_, Config_),
      ConfigSnapshots_({}, Context.get_executor(), Timers_, Settings_.Directory,
                       Domain_, Config_, ConfigWriter_),
      DomainReaderPart_("domain-log", DomainReader_),
      ConfigReaderPart_("config-log", ConfigReader_),
      Gateway_(Context, gatewayOptions(Settings_),
               GatewayDependencies{.Timers = Timers_,
                                   .Counters = Counters_,
                                   .Events = Events_,
                                   .Ownership = Ownership_,
                                   .Directory = Settings_.Directory,
                                   .Config = Config_,
                                   .ConfigWriter = ConfigWriter_,
                                   .Router = Router_,
                                   .Runner = Runner_,
                                   .Racks = Racks_,
                                   .Upstreams = Upstreams_,
                                   .Cell = Cell_,
                                   .Ready = [this] { return ready(); },
                                   .RequestDrain = [this] { requestDrain(); }}),
      PeerServer_(
          Context,
          fmt::format("{}:{}", Settings_.Peer.Address, Settings_.Peer.Port),
          *this),
      Supervisor_(Context.get_executor(), Timers_) {
  Racks_.setOriginLookup(
      [this](const std::string &Key) -> std::optional<TaskOrigin> {
        const KeyRecord *Known = Table_.find(Key);
        if (Known == nullptr || !Known->Accepted)
          return std::nullopt;
        return TaskOrigin{.Member = Known->Accepted->member(),
                          .Team = Known->Accepted->team()};
      });
  Runner_.setRackLookup([this] { return Upstreams_.racks(); });
  registerGauges();
}

Result<void> Daemon::start() {
  // Peers take a refused connection as proof that this process is gone, so the
  // port is open before anything else happens.
  const Result<std::uint16_t> Port = PeerServer_.start();
  if (!Port)
    return tl::unexpected<Error>(Port.error());
  Events_.emit("daemon", "started",
               {{"incarnation", std::to_string(Ownership_.incarnation())}});
  QuotaTimer_ = Timers_.every(QuotaPeriod, [this] { shareQuotas(); });
  for (Component *Child : std::initializer_list<Component *>{
           &ConfigReaderPart_, &DomainReaderPart_, &Ownership_, &Upstreams_,
           &Racks_, &Jobs_, &Summaries_, &ConfigSnapshots_, &Gateway_})
    Supervisor_.add(*Child);
  Supervisor_.onGiveUp([this](const std::string &Reason) {
    LOG(ERROR) << "daemon: stopping because " << Reason;
    if (!Draining_) {
      Draining_ = true;
      asio::co_spawn(Context_, drain(false), asio::detached);
    }
  });
  Supervisor_.start();
  return {};
}

void Daemon::requestDrain() {
  // A second signal must not cut off the requests that are being finished.
  if (Draining_)
    return;
  Draining_ = true;
  LOG(INFO) << "daemon: draining";
  Events_.emit("daemon", "draining");
  asio::co_spawn(Context_, drain(true), asio::detached);
}

void Daemon::logReloadRequest() {
  LOG(INFO) << "daemon: SIGHUP changes nothing; settings are read at the start";
  Events_.emit("daemon", "reload");
}

asio::awaitable<void> Daemon::drain(bool Clean) {
  Summaries_.setDraining();
  co_await Supervisor_.drainAndStop();
  co_await DomainWriter_.flush(FlushLimit);
  co_await ConfigWriter_.flush(FlushLimit);
  co_await PeerServer_.drain(PeerDrainLimit);
  Events_.emit("daemon", "stopped", {{"clean", Clean}});
  PeerServer_.stop();
  DomainWriter_.stop();
  ConfigWriter_.stop();
  if (OnStopped_)
    OnStopped_(Clean);
}

bool Daemon::ready() const {
  // Without the log, the configuration of another instance of the domain will
  // do: this instance then serves nothing older than its domain has seen.
  const bool HasConfig = Config_.caughtUp() || Summaries_.configFromPeer();
  return HasConfig && Ownership_.leaseEnd() > Timers_.now();
}

void Daemon::shareQuotas() {
  std::vector<ShareQuota> Quotas;
  for (const QuotaConfig &Quota : Config_.quotas())
    Quotas.push_back({.Member = Quota.Member,
                      .Team = Quota.Team,
                      .Entitled = {.CpusMilli = Quota.CpusMilli,
                                   .MemoryMb = Quota.MemoryMb,
                                   .Accelerators = Quota.Accelerators}});
  Shares_.setQuotas(Quotas);
  Resources Total;
  const auto Add = [&Total](const peer::RackLoad &Load) {
    if (!Load.has_executors())
      (void)Total.add(Resources::fromRecord(Load.total()));
  };
  for (const peer::RackLoad &Load : Racks_.rackLoads())
    Add(Load);
  for (const RackLocation &Rack : Cell_.freshRacks())
    Add(Rack.Load);
  Shares_.setTotal(Total);
}

void Daemon::registerGauges() {
  Counters_.gauge("hickory_config_version",
                  [this] { return static_cast<double>(Config_.version()); });
  Counters_.gauge("hickory_held_shards", [this] {
    return static_cast<double>(Ownership_.heldShards().size());
  });
  Counters_.gauge("hickory_queued_tasks", [this] {
    return static_cast<double>(Runner_.view().QueuedWork);
  });
  Counters_.gauge("hickory_jobs",
                  [this] { return static_cast<double>(Runner_.view().Jobs); });
  Counters_.gauge("hickory_known_keys",
                  [this] { return static_cast<double>(Table_.size()); });
  Counters_.gauge("hickory_log_reachable",
                  [this] { return Ownership_.logReachable() ? 1.0 : 0.0; });
}

// Calls of other instances --------------------------------------------------

asio::awaitable<peer::HelloReply> Daemon::hello(peer::HelloRequest Request) {
  peer::HelloReply Reply = Ownership_.hello(Request);
  Reply.set_config_offset(Config_.version());
  co_return Reply;
}

asio::awaitable<peer::ConsentReply>
Daemon::consent(peer::ConsentRequest Request) {
  co_return Ownership_.consent(Request);
}

asio::awaitable<peer::SubmitReply> Daemon::submit(peer::SubmitRequest Request) {
  co_return co_await Jobs_.submit(std::move(Request));
}

asio::awaitable<peer::QueryReply> Daemon::query(peer::QueryRequest Request) {
  co_return co_await Jobs_.query(std::move(Request));
}

asio::awaitable<peer::CancelReply> Daemon::cancel(peer::CancelRequest Request) {
  co_return co_await Jobs_.cancel(std::move(Request));
}

asio::awaitable<peer::PlaceReply> Daemon::place(peer::PlaceRequest Request) {
  co_return co_await Racks_.place(std::move(Request));
}

asio::awaitable<peer::ReserveReply>
Daemon::reserve(peer::ReserveRequest Request) {
  co_return co_await Racks_.reserve(std::move(Request));
}

asio::awaitable<peer::TaskStatusReply>
Daemon::taskStatus(peer::TaskStatusRequest Request) {
  co_return co_await Racks_.taskStatus(std::move(Request));
}

asio::awaitable<peer::StopTaskReply>
Daemon::stopTask(peer::StopTaskRequest Request) {
  co_return co_await Racks_.stopTask(std::move(Request));
}

asio::awaitable<peer::TaskEndedReply>
Daemon::taskEnded(peer::TaskEndedNotice Notice) {
  co_return co_await Jobs_.taskEnded(std::move(Notice));
}

asio::awaitable<peer::ExecuteReply>
Daemon::execute(peer::ExecuteRequest Request) {
  co_return co_await Racks_.execute(std::move(Request));
}

asio::awaitable<peer::SummaryReply>
Daemon::summary(peer::SummaryRequest Request) {
  co_return Summaries_.receive(std::move(Request));
}

asio::awaitable<peer::ConfigTailReply>
Daemon::configTail(peer::ConfigTailRequest Request) {
  peer::ConfigTailReply Reply;
  if (Request.want_snapshot())
    if (const auto Snapshot = Config_.save())
      *Reply.mutable_snapshot() = *Snapshot;
  co_return Reply;
}

asio::awaitable<bool> Daemon::taskEnded(records::TaskEnded Ended) {
  co_return co_await Router_.taskEnded(std::move(Ended));
}

} // namespace hickory
