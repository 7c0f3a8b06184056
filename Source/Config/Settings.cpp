#include "Config/Settings.h"

#include "Config/TomlTableReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace hickory {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads one duration; the unit is part of the key.
milliseconds readMilliseconds(TomlTableReader &Table, const std::string &Key,
                              milliseconds Minimum, milliseconds Maximum,
                              milliseconds Default) {
  return milliseconds(Table.integer(Key, {.Minimum = Minimum.count(),
                                          .Maximum = Maximum.count(),
                                          .Unit = "milliseconds",
                                          .Default = Default.count()}));
}

std::uint16_t readPort(TomlTableReader &Table, std::int64_t Minimum) {
  return static_cast<std::uint16_t>(
      Table.integer("port", {.Minimum = Minimum, .Maximum = 65535}));
}

/// Reads all tables of a settings file into one Settings value.
class SettingsParser {
public:
  SettingsParser(const TomlNode &Document, TomlProblems &Problems)
      : Root_(&Document, "", Problems), Problems_(Problems) {}

  Settings parse() {
    readInstance();
    readGateway();
    readPeer();
    readDomains();
    readPlatform();
    readLog();
    readLease();
    readWorkers();
    readRequests();
    readSharing();
    readEvents();
    Root_.refuseUnknownKeys();
    checkPlace();
    fillDirectory();
    return std::move(Out_);
  }

private:
  TomlTableReader reader(const std::string &Key) {
    return {Root_.table(Key), Key, Problems_};
  }

  void readInstance() {
    TomlTableReader Table = reader("instance");
    Out_.Instance.Slot = Table.text("slot", {.Check = checkName});
    Out_.Instance.FailureDomain =
        Table.text("failure_domain", {.Check = checkName});
    Out_.Instance.Region = Table.text("region", {.Check = checkName});
    SlotLine_ = Table.lineOf("slot");
    DomainLine_ = Table.lineOf("failure_domain");
    RegionLine_ = Table.lineOf("region");
    Table.refuseUnknownKeys();
  }

  void readGateway() {
    TomlTableReader Table = reader("gateway");
    Settings::GatewaySettings &Gateway = Out_.Gateway;
    Gateway.Address = Table.text("address", {.Check = checkIpAddress});
    Gateway.Port = readPort(Table, 0);
    Gateway.MaximumBodyBytes = static_cast<std::size_t>(
        Table.integer("max_body_bytes", {.Minimum = 1024,
                                         .Maximum = 64 << 20,
                                         .Unit = "bytes",
                                         .Default = Gateway.MaximumBodyBytes}));
    Gateway.MaximumHeaderBytes = static_cast<std::size_t>(Table.integer(
        "max_header_bytes", {.Minimum = 1024,
                             .Maximum = 1 << 20,
                             .Unit = "bytes",
                             .Default = Gateway.MaximumHeaderBytes}));
    Gateway.MaximumConnections = static_cast<std::size_t>(Table.integer(
        "max_connections", {.Minimum = 1,
                            .Maximum = 100000,
                            .Unit = "connections",
                            .Default = Gateway.MaximumConnections}));
    Gateway.MaximumWaitingRequests = static_cast<std::size_t>(Table.integer(
        "max_waiting_requests", {.Minimum = 1,
                                 .Maximum = 1000000,
                                 .Unit = "requests",
                                 .Default = Gateway.MaximumWaitingRequests}));
    Table.refuseUnknownKeys();
  }

  void readPeer() {
    TomlTableReader Table = reader("peer");
    Out_.Peer.Address = Table.text("address", {.Check = checkIpAddress});
    Out_.Peer.Port = readPort(Table, 1);
    Table.refuseUnknownKeys();
  }

  void readDomains() {
    const std::vector<const TomlNode *> Domains = Root_.tables("domain");
    if (Domains.empty())
      Problems_.add(0, "domain",
                    "is missing; write one [[domain]] table for each failure "
                    "domain of the cell");
    std::map<std::string, std::uint32_t> DomainLines;
    std::map<std::string, std::string> SlotPlaces;
    std::map<std::string, std::string> AddressPlaces;
    for (const TomlNode *Node : Domains) {
      TomlTableReader Table(Node, "domain", Problems_);
      Settings::DomainSettings Domain;
      Domain.Name = Table.text("name", {.Check = checkName});
      Domain.Region = Table.text("region", {.Check = checkName});
      const auto [Same, New] =
          DomainLines.emplace(Domain.Name, Table.lineOf("name"));
      if (!New && !Domain.Name.empty())
        Table.problem("name",
                      fmt::format("\"{}\" is used in line {} already; give "
                                  "each failure domain its own name",
                                  Domain.Name, Same->second));
      const auto Slots = Table.tables("slot");
      if (Slots.empty())
        Table.problem("slot", "is missing; write one [[domain.slot]] table "
                              "for each instance of the failure domain");
      for (const TomlNode *SlotNode : Slots)
        Domain.Slots.push_back(
            readSlot(*SlotNode, Domain.Name, SlotPlaces, AddressPlaces));
      Table.refuseUnknownKeys();
      Out_.Domains.push_back(std::move(Domain));
    }
  }

  Settings::SlotSettings
  readSlot(const TomlNode &Node, const std::string &Domain,
           std::map<std::string, std::string> &SlotPlaces,
           std::map<std::string, std::string> &AddressPlaces) {
    TomlTableReader Table(&Node, "domain.slot", Problems_);
    Settings::SlotSettings Slot;
    Slot.Name = Table.text("name", {.Check = checkName});
    Slot.PeerAddress = Table.text("peer_address", {.Check = checkEndpoint});
    if (Table.has("gateway_address"))
      Slot.GatewayAddress =
          Table.text("gateway_address", {.Check = checkEndpoint});
    const std::string Place =
        fmt::format("line {} (failure domain \"{}\")", Node.line(), Domain);
    if (const auto [Same, New] = SlotPlaces.emplace(Slot.Name, Place);
        !New && !Slot.Name.empty())
      Table.problem("name", fmt::format("\"{}\" is used in {} already; give "
                                        "each slot of the cell its own name",
                                        Slot.Name, Same->second));
    if (const auto [Same, New] = AddressPlaces.emplace(Slot.PeerAddress, Place);
        !New && !Slot.PeerAddress.empty())
      Table.problem("peer_address",
                    fmt::format("\"{}\" is used in {} already; two slots "
                                "cannot share an address",
                                Slot.PeerAddress, Same->second));
    Table.refuseUnknownKeys();
    return Slot;
  }

  void readPlatform() {
    TomlTableReader Table = reader("platform");
    Settings::PlatformSettings &Platform = Out_.Platform;
    Platform.LogUrl = Table.text("log_url", {.Check = checkHttpUrl});
    Platform.ListUrl = Table.text("list_url", {.Check = checkHttpUrl});
    Platform.LogTimeout =
        readMilliseconds(Table, "log_timeout_ms", milliseconds(50), seconds(60),
                         Platform.LogTimeout);
    Platform.ListPeriod =
        readMilliseconds(Table, "list_period_ms", milliseconds(50), seconds(60),
                         Platform.ListPeriod);
    LogTimeoutLine_ = Table.lineOf("log_timeout_ms");
    Table.refuseUnknownKeys();
  }

  void readLog() {
    TomlTableReader Table = reader("log");
    Settings::LogSettings &Log = Out_.Log;
    Log.Linger = readMilliseconds(Table, "linger_ms", milliseconds(0),
                                  seconds(2), Log.Linger);
    Log.SnapshotRecords = static_cast<std::uint32_t>(
        Table.integer("snapshot_records", {.Minimum = 10,
                                           .Maximum = 1000000,
                                           .Unit = "records",
                                           .Default = Log.SnapshotRecords}));
    Log.SnapshotPeriod = seconds(Table.integer(
        "snapshot_period_s", {.Minimum = 1,
                              .Maximum = 86400,
                              .Unit = "seconds",
                              .Default = Log.SnapshotPeriod.count()}));
    Table.refuseUnknownKeys();
  }

  void readLease() {
    TomlTableReader Table = reader("lease");
    Settings::LeaseSettings &Lease = Out_.Lease;
    Lease.InstanceLease =
        readMilliseconds(Table, "instance_lease_ms", milliseconds(100),
                         seconds(600), Lease.InstanceLease);
    Lease.Heartbeat = readMilliseconds(Table, "heartbeat_ms", milliseconds(10),
                                       seconds(120), Lease.Heartbeat);
    Lease.ClockMarginPercent = static_cast<std::uint32_t>(Table.integer(
        "clock_margin_percent", {.Minimum = 1,
                                 .Maximum = 50,
                                 .Unit = "percent",
                                 .Default = Lease.ClockMarginPercent}));
    Lease.StartLease =
        readMilliseconds(Table, "start_lease_ms", milliseconds(50),
                         seconds(600), Lease.StartLease);
    Lease.RunLease = readMilliseconds(Table, "run_lease_ms", milliseconds(500),
                                      seconds(3600), Lease.RunLease);
    Lease.Consent = readMilliseconds(Table, "consent_ms", milliseconds(100),
                                     seconds(600), Lease.Consent);
    Lease.PreferredWait =
        readMilliseconds(Table, "preferred_wait_ms", milliseconds(0),
                         seconds(60), Lease.PreferredWait);
    checkLease(Table);
    Table.refuseUnknownKeys();
  }

  void checkLease(TomlTableReader &Table) {
    const Settings::LeaseSettings &Lease = Out_.Lease;
    if (Lease.InstanceLease <= 3 * Lease.Heartbeat)
      Table.problem("instance_lease_ms",
                    fmt::format("is {} with heartbeat_ms = {}; write more than "
                                "{} or shorten heartbeat_ms, so that two lost "
                                "heartbeats do not end the lease",
                                Lease.InstanceLease.count(),
                                Lease.Heartbeat.count(),
                                3 * Lease.Heartbeat.count()));
    if (Lease.Consent > Lease.InstanceLease)
      Table.problem("consent_ms",
                    fmt::format("is {}; write at most instance_lease_ms = {}",
                                Lease.Consent.count(),
                                Lease.InstanceLease.count()));
    if (Lease.Consent <= Lease.Heartbeat)
      Table.problem("consent_ms",
                    fmt::format("is {}; write more than heartbeat_ms = {}, so "
                                "that consent lasts until the next renewal",
                                Lease.Consent.count(),
                                Lease.Heartbeat.count()));
    if (Lease.StartLease >= Lease.InstanceLease)
      Table.problem("start_lease_ms",
                    fmt::format("is {}; write less than instance_lease_ms = {}",
                                Lease.StartLease.count(),
                                Lease.InstanceLease.count()));
    // A takeover without evidence takes one instance lease with its margin,
    // and running tasks must outlast it.
    if (Lease.RunLease < 2 * Lease.InstanceLease)
      Table.problem("run_lease_ms",
                    fmt::format("is {}; write at least twice "
                                "instance_lease_ms = {}, so that running tasks "
                                "survive a takeover",
                                Lease.RunLease.count(),
                                Lease.InstanceLease.count()));
    if (Lease.PreferredWait >= Lease.InstanceLease)
      Table.problem("preferred_wait_ms",
                    fmt::format("is {}; write less than instance_lease_ms = {}",
                                Lease.PreferredWait.count(),
                                Lease.InstanceLease.count()));
    if (Out_.Platform.LogTimeout >= Lease.InstanceLease)
      Problems_.add(LogTimeoutLine_, "platform.log_timeout_ms",
                    fmt::format("is {}; write less than "
                                "lease.instance_lease_ms = {}",
                                Out_.Platform.LogTimeout.count(),
                                Lease.InstanceLease.count()));
  }

  void readWorkers() {
    TomlTableReader Table = reader("workers");
    Settings::WorkerSettings &Workers = Out_.Workers;
    Workers.Heartbeat =
        readMilliseconds(Table, "heartbeat_ms", milliseconds(10), seconds(120),
                         Workers.Heartbeat);
    Workers.RequestTimeout =
        readMilliseconds(Table, "request_timeout_ms", milliseconds(10),
                         seconds(60), Workers.RequestTimeout);
    if (3 * (Workers.Heartbeat + Workers.RequestTimeout) > Out_.Lease.RunLease)
      Table.problem("heartbeat_ms",
                    fmt::format("is {} with request_timeout_ms = {}; write "
                                "values whose sum is at most a third of "
                                "lease.run_lease_ms = {}, so that two lost "
                                "renewals do not end a task",
                                Workers.Heartbeat.count(),
                                Workers.RequestTimeout.count(),
                                Out_.Lease.RunLease.count()));
    Table.refuseUnknownKeys();
  }

  void readRequests() {
    TomlTableReader Table = reader("requests");
    Settings::RequestSettings &Requests = Out_.Requests;
    Requests.DefaultTimeout =
        readMilliseconds(Table, "default_timeout_ms", milliseconds(10),
                         seconds(3600), Requests.DefaultTimeout);
    Requests.RetryBudgetPercent = static_cast<std::uint32_t>(Table.integer(
        "retry_budget_percent", {.Minimum = 0,
                                 .Maximum = 100,
                                 .Unit = "percent",
                                 .Default = Requests.RetryBudgetPercent}));
    Table.refuseUnknownKeys();
  }

  void readSharing() {
    TomlTableReader Table = reader("sharing");
    Out_.Sharing.SummaryPeriod =
        readMilliseconds(Table, "summary_period_ms", milliseconds(50),
                         seconds(60), Out_.Sharing.SummaryPeriod);
    Out_.Sharing.LinkPricePerMb =
        Table.number("link_price_per_mb", {.Minimum = 0,
                                           .Maximum = 1e6,
                                           .Unit = "price units per MB",
                                           .Default = 0});
    Table.refuseUnknownKeys();
  }

  void readEvents() {
    TomlTableReader Table = reader("events");
    Out_.Events.File = Table.text("file", {.Default = ""});
    Out_.Events.Capacity = static_cast<std::size_t>(
        Table.integer("capacity", {.Minimum = 0,
                                   .Maximum = 10000000,
                                   .Unit = "events",
                                   .Default = Out_.Events.Capacity}));
    Table.refuseUnknownKeys();
  }

  /// The instance must be listed in its own failure domain and region.
  void checkPlace() {
    const Settings::InstanceSettings &Self = Out_.Instance;
    if (Self.FailureDomain.empty() || Out_.Domains.empty())
      return;
    const auto Domain = std::find_if(
        Out_.Domains.begin(), Out_.Domains.end(), [&](const auto &Candidate) {
          return Candidate.Name == Self.FailureDomain;
        });
    if (Domain == Out_.Domains.end()) {
      Problems_.add(DomainLine_, "instance.failure_domain",
                    fmt::format("is \"{}\", which no [[domain]] names; add "
                                "the failure domain or correct the name",
                                Self.FailureDomain));
      return;
    }
    if (!Self.Region.empty() && !Domain->Region.empty() &&
        Domain->Region != Self.Region)
      Problems_.add(RegionLine_, "instance.region",
                    fmt::format("is \"{}\", but [[domain]] \"{}\" is in region "
                                "\"{}\"; make both the same",
                                Self.Region, Domain->Name, Domain->Region));
    const bool Listed =
        std::any_of(Domain->Slots.begin(), Domain->Slots.end(),
                    [&](const auto &Slot) { return Slot.Name == Self.Slot; });
    if (!Self.Slot.empty() && !Listed)
      Problems_.add(SlotLine_, "instance.slot",
                    fmt::format("is \"{}\", which is not a slot of failure "
                                "domain \"{}\"; add a [[domain.slot]] with "
                                "this name or correct the name",
                                Self.Slot, Domain->Name));
  }

  void fillDirectory() {
    PeerDirectory &Directory = Out_.Directory;
    Directory.SelfSlot = Out_.Instance.Slot;
    Directory.SelfDomain = Out_.Instance.FailureDomain;
    Directory.SelfRegion = Out_.Instance.Region;
    for (const Settings::DomainSettings &Domain : Out_.Domains)
      for (const Settings::SlotSettings &Slot : Domain.Slots)
        Directory.Slots.push_back(
            {Slot.Name, Domain.Name, Domain.Region, Slot.PeerAddress});
  }

  TomlTableReader Root_;
  TomlProblems &Problems_;
  Settings Out_;
  std::uint32_t SlotLine_ = 0;
  std::uint32_t DomainLine_ = 0;
  std::uint32_t RegionLine_ = 0;
  std::uint32_t LogTimeoutLine_ = 0;
};

} // namespace

std::vector<std::string> Settings::domainNames() const {
  std::vector<std::string> Names;
  Names.reserve(Domains.size());
  for (const DomainSettings &Domain : Domains)
    Names.push_back(Domain.Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

Result<Settings> parseSettings(const std::string &Text,
                               const std::string &Name) {
  const Result<TomlNode> Document = parseToml(Text, Name);
  if (!Document)
    return tl::unexpected(Document.error());
  TomlProblems Problems{.File = Name, .Lines = {}};
  Settings Parsed = SettingsParser(*Document, Problems).parse();
  if (!Problems.Lines.empty())
    return fail(ErrorCode::InvalidArgument, Problems.joined());
  return Parsed;
}

Result<Settings> loadSettings(const std::string &Path) {
  const Result<std::string> Text = readTextFile(Path);
  if (!Text)
    return tl::unexpected(Text.error());
  return parseSettings(*Text, Path);
}

} // namespace hickory
