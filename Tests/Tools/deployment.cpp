// Writes the files of a deployment on loopback: the settings of each instance,
// the list of upstreams, the network links with their delays, and the
// configuration objects. Utilities/demo and Utilities/prove start the
// processes.
#include "Support/ToolProgram.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <vector>

namespace {

using nlohmann::json;

constexpr double KernvaalDomainDelayMs = 0.5;
constexpr double KarriRidgeDomainDelayMs = 1.5;
constexpr double RegionDelayMs = 8;
constexpr double ClientDelayMs = 1;
/// 30 Mbit/s in each direction.
constexpr std::uint64_t RegionBytesPerSecond = 30000000 / 8;
constexpr int SlotsPerDomain = 2;
constexpr int RackSize = 8;

struct Domain {
  std::string Name;
  std::string Region;
};

/// Job classes of a member, which the load generator gets in --classes.
struct JobClassNames {
  std::string Batch;
  std::string Urgent;
  std::string Gang;
  std::string Service;
  std::string Request;
  std::string OnceRequest;
};

struct Member {
  std::string Name;
  std::vector<Domain> Domains; ///< The first hosts the log and the list.
  double DomainDelayMs;
  int WorkerCpusMilli;
  int WorkerMemoryMb;
  JobClassNames JobClasses;
};

Member kernvaal() {
  return {.Name = "kernvaal",
          .Domains = {{"paarl-a", "western-cape"},
                      {"paarl-b", "western-cape"},
                      {"midrand-a", "gauteng"}},
          .DomainDelayMs = KernvaalDomainDelayMs,
          .WorkerCpusMilli = 32000,
          .WorkerMemoryMb = 131072,
          .JobClasses = {.Batch = "kernel-sorting",
                         .Urgent = "silo-alarm",
                         .Gang = "lot-regrading",
                         .Service = "floor-display",
                         .Request = "moisture-check",
                         .OnceRequest = "sheller-calibration"}};
}

Member karriRidge() {
  return {.Name = "karri-ridge",
          .Domains = {{"perth-north", "perth"},
                      {"perth-south", "perth"},
                      {"albany-port", "albany"}},
          .DomainDelayMs = KarriRidgeDomainDelayMs,
          .WorkerCpusMilli = 16000,
          .WorkerMemoryMb = 32768,
          .JobClasses = {.Batch = "log-archive",
                         .Urgent = "beacon-check",
                         .Gang = "fleet-survey",
                         .Service = "booking-desk",
                         .Request = "beacon-lookup",
                         .OnceRequest = "booking-charge"}};
}

class PortPool {
public:
  explicit PortPool(std::vector<int> Ports) : Ports_(std::move(Ports)) {}
  int nextPort() {
    if (Next_ >= Ports_.size())
      throw std::runtime_error(fmt::format(
          "all {} reserved ports are in use; reserve more", Ports_.size()));
    return Ports_[Next_++];
  }

private:
  std::vector<int> Ports_;
  std::size_t Next_ = 0;
};

/// Ports of one instance slot.
struct SlotPorts {
  std::string Name;
  Domain HomeDomain;
  int GatewayPort;
  int PeerPort;
  int ClientLinkPort; ///< Port of the link from clients to the gateway.
};

class DeploymentWriter {
public:
  DeploymentWriter(Member SelectedMember, PortPool Ports,
                   std::filesystem::path Folder, int Workers, int Executors,
                   std::string ExtraSettings)
      : Member_(std::move(SelectedMember)), Ports_(std::move(Ports)),
        Folder_(std::move(Folder)), Workers_(Workers), Executors_(Executors),
        ExtraSettings_(std::move(ExtraSettings)) {}

  void write() {
    LogPort_ = Ports_.nextPort();
    ListPort_ = Ports_.nextPort();
    RelayControlPort_ = Ports_.nextPort();
    WorkersControlPort_ = Ports_.nextPort();
    ExecutorsControlPort_ = Ports_.nextPort();
    for (const Domain &HomeDomain : Member_.Domains)
      for (int Index = 1; Index <= SlotsPerDomain; ++Index)
        addSlot(HomeDomain, Index);
    for (const Domain &From : Member_.Domains)
      writeDomain(From);
    save("relay.json", json{{"links", Links_}}.dump(1));
    save("workers.json", upstreams("worker", Workers_).dump(1));
    save("executors.json", upstreams("executor", Executors_).dump(1));
    save("config.toml", configuration());
    save("env", environment());
  }

private:
  void save(const std::string &Name, const std::string &Text) const {
    std::ofstream File(Folder_ / Name);
    File << Text;
    if (!File.flush())
      throw std::runtime_error("cannot write " + (Folder_ / Name).string());
  }

  void addSlot(const Domain &HomeDomain, int Index) {
    SlotPorts Slot{.Name = fmt::format("{}-{}", HomeDomain.Name, Index),
                   .HomeDomain = HomeDomain,
                   .GatewayPort = Ports_.nextPort(),
                   .PeerPort = Ports_.nextPort(),
                   .ClientLinkPort = 0};
    Slot.ClientLinkPort = addLink("client-" + Slot.Name, "client",
                                  Slot.GatewayPort, ClientDelayMs, 0);
    Slots_.push_back(Slot);
  }

  int addLink(const std::string &Name, const std::string &Group, int Target,
              double DelayMs, std::uint64_t BytesPerSecond) {
    const int Port = Ports_.nextPort();
    Links_.push_back({{"name", Name},
                      {"group", Group},
                      {"listen_port", Port},
                      {"target", fmt::format("127.0.0.1:{}", Target)},
                      {"delay_ms", DelayMs},
                      {"rate_bytes_per_s", BytesPerSecond}});
    return Port;
  }

  /// Adds a link from one domain to a process in another domain, with the delay
  /// and rate between the two. Returns the port of the link.
  int linkBetween(const std::string &Name, const Domain &From, const Domain &To,
                  const std::string &Group, int Target) {
    const bool SameRegion = From.Region == To.Region;
    return addLink(Name, Group, Target,
                   SameRegion ? Member_.DomainDelayMs : RegionDelayMs,
                   SameRegion ? 0 : RegionBytesPerSecond);
  }

  void writeDomain(const Domain &From) {
    const Domain &PlatformDomain = Member_.Domains.front();
    const int LogLinkPort = linkBetween(
        "log-" + From.Name, From, PlatformDomain, "log-" + From.Name, LogPort_);
    const int ListLinkPort =
        linkBetween("list-" + From.Name, From, PlatformDomain,
                    "list-" + From.Name, ListPort_);
    std::string PeerSettings;
    for (const Domain &To : Member_.Domains) {
      PeerSettings += fmt::format(
          "\n[[domain]]\nname = \"{}\"\nregion = \"{}\"\n", To.Name, To.Region);
      for (const SlotPorts &Slot : Slots_) {
        if (Slot.HomeDomain.Name != To.Name)
          continue;
        const int Port =
            To.Name == From.Name
                ? Slot.PeerPort
                : linkBetween(
                      fmt::format("peer-{}-{}", From.Name, Slot.Name), From, To,
                      fmt::format("peer-{}-{}", std::min(From.Name, To.Name),
                                  std::max(From.Name, To.Name)),
                      Slot.PeerPort);
        PeerSettings +=
            fmt::format("[[domain.slot]]\nname = \"{}\"\npeer_address = "
                        "\"127.0.0.1:{}\"\n",
                        Slot.Name, Port);
      }
    }
    for (const SlotPorts &Slot : Slots_)
      if (Slot.HomeDomain.Name == From.Name)
        save(Slot.Name + ".toml",
             settings(Slot, LogLinkPort, ListLinkPort) + PeerSettings);
  }

  [[nodiscard]] std::string settings(const SlotPorts &Slot, int LogLinkPort,
                                     int ListLinkPort) const {
    return fmt::format(
        "[instance]\nslot = \"{}\"\nfailure_domain = \"{}\"\nregion = "
        "\"{}\"\n\n[gateway]\naddress = \"127.0.0.1\"\nport = {}\n\n"
        "[peer]\naddress = \"127.0.0.1\"\nport = {}\n\n[platform]\n"
        "log_url = \"http://127.0.0.1:{}\"\nlist_url = "
        "\"http://127.0.0.1:{}/v1/instances\"\nlist_period_ms = 1000\n\n"
        "[events]\nfile = \"{}\"\n{}\n",
        Slot.Name, Slot.HomeDomain.Name, Slot.HomeDomain.Region,
        Slot.GatewayPort, Slot.PeerPort, LogLinkPort, ListLinkPort,
        (Folder_ / (Slot.Name + ".events")).string(), ExtraSettings_);
  }

  [[nodiscard]] json upstreams(const std::string &Kind, int Count) const {
    json List = json::array();
    const std::size_t Domains = Member_.Domains.size();
    std::vector<int> InDomain(Domains, 0);
    for (int I = 0; I < Count; ++I) {
      const std::size_t Index = static_cast<std::size_t>(I) % Domains;
      const std::string &Name = Member_.Domains[Index].Name;
      const int Number = InDomain[Index]++;
      List.push_back(
          {{"name", fmt::format("{}-{}-{}", Name, Kind, Number)},
           {"kind", Kind},
           {"address", ""},
           {"rack",
            fmt::format("{}-{}{}", Name, Kind.substr(0, 1), Number / RackSize)},
           {"failure_domain", Name},
           {"state", "live"},
           {"cpus_milli", Kind == "worker" ? Member_.WorkerCpusMilli : 0},
           {"memory_mb", Kind == "worker" ? Member_.WorkerMemoryMb : 0},
           {"accelerators", 0},
           {"slots", Kind == "executor" ? 8 : 0},
           {"connections", Kind == "executor" ? 64 : 0}});
    }
    return {{"version", 1}, {"instances", List}};
  }

  [[nodiscard]] std::string configuration() const {
    const JobClassNames &JobClasses = Member_.JobClasses;
    std::string Text = "[member.kernvaal]\n[member.karri-ridge]\n[pool.main]\n";
    Text += "[policy.patient]\nkind = \"batch\"\npriority = 50\n"
            "max_attempts = 10\n"
            "[policy.urgent]\nkind = \"batch\"\npriority = 1000\n"
            "max_attempts = 10\n"
            "[policy.gang]\nkind = \"gang\"\npriority = 200\n"
            "max_attempts = 10\n"
            "[policy.service]\nkind = \"service\"\npriority = 300\n"
            "[policy.answer]\nkind = \"request\"\npriority = 1000\n"
            "acceptance = \"synchronous\"\n"
            "[policy.once]\nkind = \"request\"\npriority = 100\n"
            "acceptance = \"logged\"\nnon_repeatable = true\n";
    const auto AddClass = [&](const std::string &Name, const char *Policy) {
      Text += fmt::format("[job_class.{}]\nmember = \"{}\"\npool = \"main\"\n"
                          "policy = \"{}\"\n",
                          Name, Member_.Name, Policy);
    };
    AddClass(JobClasses.Batch, "patient");
    AddClass(JobClasses.Urgent, "urgent");
    AddClass(JobClasses.Gang, "gang");
    AddClass(JobClasses.Service, "service");
    AddClass(JobClasses.Request, "answer");
    AddClass(JobClasses.OnceRequest, "once");
    Text += fmt::format(
        "[quota.{0}]\nmember = \"{0}\"\npool = \"main\"\ncpus_milli = {1}\n"
        "memory_mb = {2}\n",
        Member_.Name,
        static_cast<std::int64_t>(Member_.WorkerCpusMilli) * Workers_,
        static_cast<std::int64_t>(Member_.WorkerMemoryMb) * Workers_);
    return Text;
  }

  /// Returns the shell variables that Utilities/deployment.sh sources.
  [[nodiscard]] std::string environment() const {
    std::string Names;
    std::string ClientAddresses;
    std::string GatewayAddresses;
    for (const SlotPorts &Slot : Slots_) {
      Names += Slot.Name + " ";
      ClientAddresses += fmt::format("{}=127.0.0.1:{},", Slot.HomeDomain.Name,
                                     Slot.ClientLinkPort);
      GatewayAddresses +=
          fmt::format("{}=127.0.0.1:{},", Slot.Name, Slot.GatewayPort);
    }
    ClientAddresses.pop_back();
    GatewayAddresses.pop_back();
    const JobClassNames &JobClasses = Member_.JobClasses;
    return fmt::format(
        "member={}\nlog_port={}\nlist_port={}\nrelay_control={}\n"
        "workers_control={}\nexecutors_control={}\nslots=\"{}\"\n"
        "clients=\"{}\"\ngateways=\"{}\"\nclasses=\"{},{},{},{},{},{}\"\n",
        Member_.Name, LogPort_, ListPort_, RelayControlPort_,
        WorkersControlPort_, ExecutorsControlPort_, Names, ClientAddresses,
        GatewayAddresses, JobClasses.Batch, JobClasses.Urgent, JobClasses.Gang,
        JobClasses.Service, JobClasses.Request, JobClasses.OnceRequest);
  }

  Member Member_;
  PortPool Ports_;
  std::filesystem::path Folder_;
  int Workers_;
  int Executors_;
  std::string ExtraSettings_;
  int LogPort_ = 0;
  int ListPort_ = 0;
  int RelayControlPort_ = 0;
  int WorkersControlPort_ = 0;
  int ExecutorsControlPort_ = 0;
  std::vector<SlotPorts> Slots_;
  json Links_ = json::array();
};

/// Merges the address files of the stand-ins into one instance list document.
void mergeLists(const std::vector<std::string> &Inputs,
                const std::string &Output) {
  json Merged = {{"version", 1}, {"instances", json::array()}};
  for (const std::string &Input : Inputs) {
    const json InputDocument =
        json::parse(hickory::tool::readFile(Input.c_str()));
    for (const json &Instance : InputDocument["instances"])
      Merged["instances"].push_back(Instance);
  }
  std::ofstream(Output) << Merged.dump(1);
}

} // namespace

int main(int Count, const char **Arguments) {
  char *MemberName = nullptr;
  char *PortsFile = nullptr;
  char *Folder = nullptr;
  char *MergeFiles = nullptr;
  char *ExtraFile = nullptr;
  int Workers = 50;
  int Executors = 50;
  const poptOption Table[] = {
      {"member", 0, POPT_ARG_STRING, &MemberName, 0, "kernvaal or karri-ridge",
       "NAME"},
      {"ports-file", 0, POPT_ARG_STRING, &PortsFile, 0,
       "JSON array of ports to use", "FILE"},
      {"out", 0, POPT_ARG_STRING, &Folder, 0, "folder for the files", "DIR"},
      {"workers", 0, POPT_ARG_INT, &Workers, 0, "number of workers", "N"},
      {"executors", 0, POPT_ARG_INT, &Executors, 0, "number of executors", "N"},
      {"extra-settings", 0, POPT_ARG_STRING, &ExtraFile, 0,
       "file with settings to add to those of each instance", "FILE"},
      {"merge-lists", 0, POPT_ARG_STRING, &MergeFiles, 0,
       "only merge the address files A,B into the file C", "A,B,C"},
      POPT_AUTOHELP POPT_TABLEEND};
  hickory::tool::initLogging(Arguments[0]);
  hickory::tool::parseOptions(Count, Arguments, Table);
  try {
    if (MergeFiles != nullptr) {
      std::stringstream Names(MergeFiles);
      std::vector<std::string> Files;
      for (std::string Name; std::getline(Names, Name, ',');)
        Files.push_back(Name);
      const std::string Output = Files.back();
      Files.pop_back();
      mergeLists(Files, Output);
      return 0;
    }
    if (MemberName == nullptr || PortsFile == nullptr || Folder == nullptr) {
      std::cerr
          << "--member, --ports-file and --out are required; see --help\n";
      return 2;
    }
    const std::vector<int> Ports =
        json::parse(hickory::tool::readFile(PortsFile)).get<std::vector<int>>();
    const Member SelectedMember =
        std::string(MemberName) == "kernvaal" ? kernvaal() : karriRidge();
    const std::string ExtraText =
        ExtraFile == nullptr ? "" : hickory::tool::readFile(ExtraFile);
    DeploymentWriter(SelectedMember, PortPool(Ports), Folder, Workers,
                     Executors, ExtraText)
        .write();
  } catch (const std::exception &Failure) {
    std::cerr << "deployment: " << Failure.what() << "\n";
    return 1;
  }
  return 0;
}
