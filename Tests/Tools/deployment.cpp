// Writes the files of a whole deployment on loopback: settings of each entry
// instance, the upstreams, the network links with their delays, and the
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

constexpr double DomainDelayKernvaalMs = 0.5;
constexpr double DomainDelayKarriRidgeMs = 1.5;
constexpr double RegionDelayMs = 8;
constexpr double ClientDelayMs = 1;
/// 30 Mbit/s each way.
constexpr std::uint64_t RegionBytesPerSecond = 30000000 / 8;
constexpr int SlotsPerDomain = 2;
constexpr int RackSize = 8;

struct Domain {
  std::string Name;
  std::string Region;
};

/// The classes of work of one member; the load generator uses the same names.
struct WorkNames {
  std::string Batch;
  std::string Urgent;
  std::string Gang;
  std::string Service;
  std::string Request;
  std::string OnceRequest;
};

struct Member {
  std::string Name;
  std::vector<Domain> Domains; ///< The store is in the region of the first.
  double DomainDelayMs;
  int WorkerCpusMilli;
  int WorkerMemoryMb;
  WorkNames Work;
};

Member kernvaal() {
  return {.Name = "kernvaal",
          .Domains = {{"paarl-a", "western-cape"},
                      {"paarl-b", "western-cape"},
                      {"midrand-a", "gauteng"}},
          .DomainDelayMs = DomainDelayKernvaalMs,
          .WorkerCpusMilli = 32000,
          .WorkerMemoryMb = 131072,
          .Work = {.Batch = "kernel-sorting",
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
          .DomainDelayMs = DomainDelayKarriRidgeMs,
          .WorkerCpusMilli = 16000,
          .WorkerMemoryMb = 32768,
          .Work = {.Batch = "log-archive",
                   .Urgent = "beacon-check",
                   .Gang = "fleet-survey",
                   .Service = "booking-desk",
                   .Request = "beacon-lookup",
                   .OnceRequest = "booking-charge"}};
}

class PortPool {
public:
  explicit PortPool(std::vector<int> Ports) : Ports_(std::move(Ports)) {}
  int take() {
    if (Next_ >= Ports_.size())
      throw std::runtime_error(fmt::format(
          "only {} ports were reserved; reserve more", Ports_.size()));
    return Ports_[Next_++];
  }

private:
  std::vector<int> Ports_;
  std::size_t Next_ = 0;
};

struct SlotPorts {
  std::string Name;
  Domain Home;
  int Gateway;
  int Peer;
  int ClientLink;
};

class DeploymentWriter {
public:
  DeploymentWriter(Member Owner, PortPool Ports, std::filesystem::path Folder,
                   int Workers, int Executors, std::string Lease)
      : Owner_(std::move(Owner)), Ports_(std::move(Ports)),
        Folder_(std::move(Folder)), Workers_(Workers), Executors_(Executors),
        Lease_(std::move(Lease)) {}

  void write() {
    LogPort_ = Ports_.take();
    ListPort_ = Ports_.take();
    RelayControl_ = Ports_.take();
    WorkersControl_ = Ports_.take();
    ExecutorsControl_ = Ports_.take();
    for (const Domain &Home : Owner_.Domains)
      for (int Index = 1; Index <= SlotsPerDomain; ++Index)
        addSlot(Home, Index);
    for (const Domain &From : Owner_.Domains)
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

  void addSlot(const Domain &Home, int Index) {
    SlotPorts Slot{.Name = fmt::format("{}-{}", Home.Name, Index),
                   .Home = Home,
                   .Gateway = Ports_.take(),
                   .Peer = Ports_.take(),
                   .ClientLink = 0};
    Slot.ClientLink = addLink("client-" + Slot.Name, "client", Slot.Gateway,
                              ClientDelayMs, 0);
    Slots_.push_back(Slot);
  }

  int addLink(const std::string &Name, const std::string &Group, int Target,
              double DelayMs, std::uint64_t BytesPerSecond) {
    const int Port = Ports_.take();
    Links_.push_back({{"name", Name},
                      {"group", Group},
                      {"listen_port", Port},
                      {"target", fmt::format("127.0.0.1:{}", Target)},
                      {"delay_ms", DelayMs},
                      {"rate_bytes_per_s", BytesPerSecond}});
    return Port;
  }

  /// A link from a domain to a process in another place.
  int linkBetween(const std::string &Name, const Domain &From, const Domain &To,
                  const std::string &Group, int Target) {
    const bool SameRegion = From.Region == To.Region;
    return addLink(Name, Group, Target,
                   SameRegion ? Owner_.DomainDelayMs : RegionDelayMs,
                   SameRegion ? 0 : RegionBytesPerSecond);
  }

  void writeDomain(const Domain &From) {
    const Domain &Store = Owner_.Domains.front();
    const int Log = linkBetween("log-" + From.Name, From, Store,
                                "log-" + From.Name, LogPort_);
    const int List = linkBetween("list-" + From.Name, From, Store,
                                 "list-" + From.Name, ListPort_);
    std::string Peers;
    for (const Domain &To : Owner_.Domains) {
      Peers += fmt::format("\n[[domain]]\nname = \"{}\"\nregion = \"{}\"\n",
                           To.Name, To.Region);
      for (const SlotPorts &Slot : Slots_) {
        if (Slot.Home.Name != To.Name)
          continue;
        const int Port =
            To.Name == From.Name
                ? Slot.Peer
                : linkBetween(
                      fmt::format("peer-{}-{}", From.Name, Slot.Name), From, To,
                      fmt::format("peer-{}-{}", std::min(From.Name, To.Name),
                                  std::max(From.Name, To.Name)),
                      Slot.Peer);
        Peers += fmt::format("[[domain.slot]]\nname = \"{}\"\npeer_address = "
                             "\"127.0.0.1:{}\"\n",
                             Slot.Name, Port);
      }
    }
    for (const SlotPorts &Slot : Slots_)
      if (Slot.Home.Name == From.Name)
        save(Slot.Name + ".toml", settings(Slot, Log, List) + Peers);
  }

  [[nodiscard]] std::string settings(const SlotPorts &Slot, int Log,
                                     int List) const {
    return fmt::format(
        "[instance]\nslot = \"{}\"\nfailure_domain = \"{}\"\nregion = "
        "\"{}\"\n\n[gateway]\naddress = \"127.0.0.1\"\nport = {}\n\n"
        "[peer]\naddress = \"127.0.0.1\"\nport = {}\n\n[platform]\n"
        "log_url = \"http://127.0.0.1:{}\"\nlist_url = "
        "\"http://127.0.0.1:{}/v1/instances\"\nlist_period_ms = 1000\n\n"
        "[events]\nfile = \"{}\"\n{}\n",
        Slot.Name, Slot.Home.Name, Slot.Home.Region, Slot.Gateway, Slot.Peer,
        Log, List, (Folder_ / (Slot.Name + ".events")).string(), Lease_);
  }

  [[nodiscard]] json upstreams(const std::string &Kind, int Count) const {
    json List = json::array();
    const std::size_t Domains = Owner_.Domains.size();
    std::vector<int> InDomain(Domains, 0);
    for (int I = 0; I < Count; ++I) {
      const std::size_t Index = static_cast<std::size_t>(I) % Domains;
      const std::string &Name = Owner_.Domains[Index].Name;
      const int Number = InDomain[Index]++;
      List.push_back(
          {{"name", fmt::format("{}-{}-{}", Name, Kind, Number)},
           {"kind", Kind},
           {"address", ""},
           {"rack",
            fmt::format("{}-{}{}", Name, Kind.substr(0, 1), Number / RackSize)},
           {"failure_domain", Name},
           {"state", "live"},
           {"cpus_milli", Kind == "worker" ? Owner_.WorkerCpusMilli : 0},
           {"memory_mb", Kind == "worker" ? Owner_.WorkerMemoryMb : 0},
           {"accelerators", 0},
           {"slots", Kind == "executor" ? 8 : 0},
           {"connections", Kind == "executor" ? 64 : 0}});
    }
    return {{"version", 1}, {"instances", List}};
  }

  [[nodiscard]] std::string configuration() const {
    const WorkNames &Work = Owner_.Work;
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
                          Name, Owner_.Name, Policy);
    };
    AddClass(Work.Batch, "patient");
    AddClass(Work.Urgent, "urgent");
    AddClass(Work.Gang, "gang");
    AddClass(Work.Service, "service");
    AddClass(Work.Request, "answer");
    AddClass(Work.OnceRequest, "once");
    Text += fmt::format(
        "[quota.{0}]\nmember = \"{0}\"\npool = \"main\"\ncpus_milli = {1}\n"
        "memory_mb = {2}\n",
        Owner_.Name,
        static_cast<std::int64_t>(Owner_.WorkerCpusMilli) * Workers_,
        static_cast<std::int64_t>(Owner_.WorkerMemoryMb) * Workers_);
    return Text;
  }

  /// Shell variables for the scripts.
  [[nodiscard]] std::string environment() const {
    std::string Names;
    std::string Clients;
    std::string Direct;
    for (const SlotPorts &Slot : Slots_) {
      Names += Slot.Name + " ";
      Clients +=
          fmt::format("{}=127.0.0.1:{},", Slot.Home.Name, Slot.ClientLink);
      Direct += fmt::format("{}=127.0.0.1:{},", Slot.Name, Slot.Gateway);
    }
    Clients.pop_back();
    Direct.pop_back();
    const WorkNames &Work = Owner_.Work;
    return fmt::format(
        "member={}\nlog_port={}\nlist_port={}\nrelay_control={}\n"
        "workers_control={}\nexecutors_control={}\nslots=\"{}\"\n"
        "clients=\"{}\"\ngateways=\"{}\"\nclasses=\"{},{},{},{},{},{}\"\n",
        Owner_.Name, LogPort_, ListPort_, RelayControl_, WorkersControl_,
        ExecutorsControl_, Names, Clients, Direct, Work.Batch, Work.Urgent,
        Work.Gang, Work.Service, Work.Request, Work.OnceRequest);
  }

  Member Owner_;
  PortPool Ports_;
  std::filesystem::path Folder_;
  int Workers_;
  int Executors_;
  std::string Lease_;
  int LogPort_ = 0;
  int ListPort_ = 0;
  int RelayControl_ = 0;
  int WorkersControl_ = 0;
  int ExecutorsControl_ = 0;
  std::vector<SlotPorts> Slots_;
  json Links_ = json::array();
};

/// Joins the address files that the stand-ins wrote into one list document.
void mergeLists(const std::vector<std::string> &Inputs,
                const std::string &Output) {
  json Merged = {{"version", 1}, {"instances", json::array()}};
  for (const std::string &Input : Inputs) {
    const json Part = json::parse(hickory::tool::readFile(Input.c_str()));
    for (const json &Instance : Part["instances"])
      Merged["instances"].push_back(Instance);
  }
  std::ofstream(Output) << Merged.dump(1);
}

} // namespace

int main(int Count, const char **Arguments) {
  char *MemberName = nullptr;
  char *PortsFile = nullptr;
  char *Folder = nullptr;
  char *Merge = nullptr;
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
      {"merge-lists", 0, POPT_ARG_STRING, &Merge, 0,
       "only join address files A,B into the file C", "A,B,C"},
      POPT_AUTOHELP POPT_TABLEEND};
  hickory::tool::initLogging(Arguments[0]);
  hickory::tool::parseOptions(Count, Arguments, Table);
  try {
    if (Merge != nullptr) {
      std::stringstream Names(Merge);
      std::vector<std::string> Files;
      for (std::string Name; std::getline(Names, Name, ',');)
        Files.push_back(Name);
      const std::string Output = Files.back();
      Files.pop_back();
      mergeLists(Files, Output);
      return 0;
    }
    if (MemberName == nullptr || PortsFile == nullptr || Folder == nullptr) {
      std::cerr << "give --member, --ports-file and --out; see --help\n";
      return 2;
    }
    const std::vector<int> Ports =
        json::parse(hickory::tool::readFile(PortsFile)).get<std::vector<int>>();
    const Member Owner =
        std::string(MemberName) == "kernvaal" ? kernvaal() : karriRidge();
    const std::string Extra =
        ExtraFile == nullptr ? "" : hickory::tool::readFile(ExtraFile);
    DeploymentWriter(Owner, PortPool(Ports), Folder, Workers, Executors, Extra)
        .write();
  } catch (const std::exception &Failure) {
    std::cerr << "deployment: " << Failure.what() << "\n";
    return 1;
  }
  return 0;
}
