// Starts the emulated platform and instances of hickory-cell on it, sends a
// load, and judges the history. Usage: see --help. The exit status is 0 only if
// no rule was broken.
#include "Base/AsioTimerService.h"
#include "Emulator/LoadClients.h"
#include "Emulator/PlatformHistoryChecker.h"
#include "Http/CurlHttpClient.h"
#include "Support/ChildProcess.h"
#include "Support/RunCoroutine.h"
#include "Support/ToolProgram.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <filesystem>
#include <iostream>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t MetricsPort = 9190; ///< Fixed in hickory-cell.
/// A busy machine must not fail a run; hickory-cell needs under a second.
constexpr std::chrono::milliseconds GraceTime{30000};
constexpr std::chrono::seconds ReadyLimit{60};

struct Options {
  std::string Settings;
  std::string Output;
  std::string Programs;
  int Instances = 0;
  double Seconds = 0;
  int Seed = 1;
};

/// A process of the system and where it listens.
struct Instance {
  std::string Name;
  std::string Ip;
  std::vector<std::uint16_t> Ports;
  std::unique_ptr<ChildProcess> Process;
  bool InTrouble = false;
  [[nodiscard]] std::string at(std::size_t Index) const {
    return fmt::format("{}:{}", Ip, Ports[Index]);
  }
};

/// Indices of Instance::Ports.
enum PortUse : std::size_t { Front, Ready, Control, Internal, PortUses };

/// A loopback address on which the fixed port is free, with free ports. Each
/// run starts at another address, so that runs on one machine do not meet.
Instance findAddress(asio::io_context &Context, int &NextAddress) {
  using asio::ip::tcp;
  for (int Tries = 0; Tries < 1000; ++Tries, ++NextAddress) {
    Instance Found;
    Found.Ip = fmt::format("127.{}.{}.{}", 16 + NextAddress / 62500 % 200,
                           NextAddress / 250 % 250, 2 + NextAddress % 250);
    const auto Address = asio::ip::make_address(Found.Ip);
    try {
      const tcp::acceptor Metrics(Context, {Address, MetricsPort});
      std::vector<tcp::acceptor> Held;
      for (std::size_t Use = 0; Use < PortUses; ++Use) {
        Held.emplace_back(Context, tcp::endpoint(Address, 0));
        Found.Ports.push_back(Held.back().local_endpoint().port());
      }
    } catch (const std::system_error &) {
      continue;
    }
    ++NextAddress;
    return Found;
  }
  throw std::runtime_error("no loopback address is free");
}

/// The platform's settings file of one process.
json cellSettings(const Instance &Made, const json &Addresses,
                  std::size_t Number, const EmulatorSettings &Platform) {
  return {{"node", Made.Name},
          {"role", "cell"},
          {"machine-class", "edge"},
          {"serves", {"edge"}},
          {"ip", Made.Ip},
          {"zone", "zone-a"},
          {"region", "region-a"},
          {"zones", {{"zone-a", "region-a"}}},
          {"bind-addresses",
           {{"front", Made.at(Front)},
            {"ready", Made.at(Ready)},
            {"control", Made.at(Control)}}},
          {"internal-ports", {Made.Ports[Internal], Made.Ports[Internal]}},
          {"seeds", json::array()},
          {"bootstrap", true},
          {"limits", {{"cpu-share", 1.0}, {"cores", 1}, {"memory-mb", 260}}},
          {"data-dir", nullptr},
          {"discovery", "platform"},
          {"heartbeat-ms", 1500},
          {"bounds",
           {{"hold-max-ms", Platform.LongestLease.count()},
            {"stop-ms", Platform.StopTime.count()},
            {"gang-timeout-ms", Platform.GangTimeout.count()}}},
          {"orders", "call"},
          {"advice", Addresses.at("advisers").at(Number)},
          {"platform",
           {{"address", Addresses.at("stores").at(Number)},
            {"form", "log"},
            {"parts", Platform.Partitions},
            {"append-ms", Platform.AppendTime.count()},
            {"ttl-min-ms", 1000}}}};
}

/// One whole run: processes, load, verdict.
class Experiment {
public:
  Experiment(Options Given, EmulatorSettings Platform, LoadSettings Load)
      : Given_(std::move(Given)), Platform_(std::move(Platform)),
        Load_(std::move(Load)), Timers_(Context_), Client_(Context_) {}

  int run() {
    startEmulator();
    startInstances();
    runCoroutine(Context_, awaitReady(), ReadyLimit + 10s);
    std::vector<std::string> Fronts;
    Fronts.reserve(Instances_.size());
    for (const Instance &Made : Instances_)
      Fronts.push_back(Made.at(Front));
    LoadClients Clients(
        Context_.get_executor(), Timers_, Client_, Load_, std::move(Fronts),
        static_cast<std::uint64_t>(Given_.Seed), path("clients.jsonl"));
    const auto Limit = std::chrono::seconds(
        static_cast<int>(Load_.Seconds + Load_.FinishSeconds) + 120);
    const json Stats = runCoroutine(Context_, sendLoad(Clients), Limit);
    printLoad(Clients);
    printProcesses(Stats);
    const bool AllRan = stopAll();
    const bool RulesKept = printVerdict(Clients);
    return AllRan && RulesKept ? 0 : 1;
  }

private:
  [[nodiscard]] std::string path(const std::string &Name) const {
    return Given_.Output + "/" + Name;
  }

  /// Starts a program whose output goes to a file; the shell becomes it.
  std::unique_ptr<ChildProcess> start(const std::string &Name,
                                      std::vector<std::string> Command) {
    std::vector<std::string> Whole = {
        "/bin/sh", "-c", R"(log=$1; shift; exec "$@" >>"$log" 2>&1)", "sh",
        path(Name + ".log")};
    Whole.insert(Whole.end(), Command.begin(), Command.end());
    return std::make_unique<ChildProcess>(std::move(Whole));
  }

  void startEmulator() {
    Emulator_ = start("emulator", {Given_.Programs + "/platform-emulator",
                                   "--settings=" + Given_.Settings,
                                   "--ports-file=" + path("ports.json"),
                                   "--history=" + path("workers.jsonl"),
                                   fmt::format("--callers={}", Load_.Instances),
                                   fmt::format("--seed={}", Given_.Seed)});
    while (!std::filesystem::exists(path("ports.json")))
      if (Emulator_->endsWithin(20ms))
        throw SettingsError("the emulator did not start: " +
                            readFile(path("emulator.log")));
    Addresses_ = json::parse(readFile(path("ports.json")));
  }

  void startInstances() {
    int NextAddress = ::getpid() * 110;
    for (int Number = 0; Number < Load_.Instances; ++Number) {
      Instance Made = findAddress(Context_, NextAddress);
      Made.Name = fmt::format("cell-{}", Number);
      writeFile(path(Made.Name + ".json"),
                cellSettings(Made, Addresses_, static_cast<std::size_t>(Number),
                             Platform_)
                    .dump(2));
      startInstance(Made);
      Instances_.push_back(std::move(Made));
    }
  }

  void startInstance(Instance &Made) {
    Made.Process =
        start(Made.Name, {Given_.Programs + "/hickory-cell",
                          "--settings=" + path(Made.Name + ".json")});
  }

  asio::awaitable<json> get(std::string Url) {
    HttpClientRequest Request{.Url = std::move(Url), .MayResend = true};
    const auto Reply = co_await Client_.send(std::move(Request));
    if (!Reply || Reply->Status != 200)
      co_return nullptr;
    co_return json::parse(Reply->Body, nullptr, false);
  }

  asio::awaitable<int> awaitReady() {
    const auto Deadline = Timers_.now() + ReadyLimit;
    for (const Instance &Made : Instances_)
      while ((co_await get("http://" + Made.at(Ready) + "/api/readiness"))
                 .is_null()) {
        if (Timers_.now() > Deadline || Made.Process->endsWithin(0ms))
          throw std::runtime_error(Made.Name + " did not get ready; see " +
                                   path(Made.Name + ".log"));
        co_await Timers_.sleepFor(50ms);
      }
    co_return 0;
  }

  static Clock::duration seconds(double Value) {
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Value));
  }

  asio::awaitable<void> causeTrouble(PlannedTrouble Planned) {
    co_await Timers_.sleepFor(seconds(Planned.AtSeconds));
    std::cout << fmt::format("{:.1f} s: {}", Planned.AtSeconds,
                             Planned.Command.dump())
              << (Planned.isForInstance()
                      ? fmt::format(" on instance {}\n", Planned.Instance)
                      : std::string("\n"))
              << std::flush;
    if (Planned.isForInstance())
      co_await troubleInstance(Planned);
    else
      co_await command(Planned);
    --TroublesOpen_;
  }

  asio::awaitable<void> command(PlannedTrouble Planned) {
    HttpClientRequest Request{.Method = "POST",
                              .Url = "http://" +
                                     Addresses_["control"].get<std::string>() +
                                     "/trouble",
                              .Body = Planned.Command.dump()};
    const auto Reply = co_await Client_.send(std::move(Request));
    if (!Reply || Reply->Status != 200)
      complain("the emulator refused " + Planned.Command.dump());
  }

  /// Pauses an instance, or ends it and starts it again after a while.
  asio::awaitable<void> troubleInstance(PlannedTrouble Planned) {
    Instance &Made = Instances_[static_cast<std::size_t>(Planned.Instance)];
    // One trouble of an instance follows the end of the former.
    while (std::exchange(Made.InTrouble, true))
      co_await Timers_.sleepFor(20ms);
    const auto Length = seconds(Planned.Command.at("seconds").get<double>());
    if (Made.Process->endsWithin(0ms))
      complain(Made.Name + " had ended by itself");
    else if (Planned.kind() == "pause-instance") {
      ::kill(Made.Process->id(), SIGSTOP);
      co_await Timers_.sleepFor(Length);
      ::kill(Made.Process->id(), SIGCONT);
      Made.InTrouble = false;
      co_return;
    } else
      co_await endInstance(Made, Planned.kind() == "stop-instance");
    co_await Timers_.sleepFor(Length);
    startInstance(Made);
    Made.InTrouble = false;
  }

  asio::awaitable<void> endInstance(Instance &Made, bool Planned) {
    ::kill(Made.Process->id(), Planned ? SIGTERM : SIGKILL);
    const auto Deadline = Timers_.now() + GraceTime;
    while (!Made.Process->endsWithin(0ms) && Timers_.now() < Deadline)
      co_await Timers_.sleepFor(10ms);
    if (Made.Process->endsWithin(0ms))
      co_return;
    complain(Made.Name + " did not stop on SIGTERM");
    Made.Process.reset();
  }

  void complain(const std::string &Text) {
    std::cout << Text << "\n";
    Sound_ = false;
  }

  asio::awaitable<json> sendLoad(LoadClients &Clients) {
    TroublesOpen_ = Load_.Troubles.size();
    for (const PlannedTrouble &Planned : Load_.Troubles)
      asio::co_spawn(Context_, causeTrouble(Planned), asio::detached);
    co_await Clients.run();
    while (TroublesOpen_ > 0)
      co_await Timers_.sleepFor(20ms);
    co_return co_await get("http://" +
                           Addresses_["control"].get<std::string>() + "/stats");
  }

  static std::string percentiles(std::vector<double> Values) {
    if (Values.empty())
      return "none";
    std::sort(Values.begin(), Values.end());
    const auto At = [&Values](double Share) {
      return Values[static_cast<std::size_t>(
          Share * static_cast<double>(Values.size() - 1))];
    };
    return fmt::format("p50 {:.0f}, p90 {:.0f}, p99 {:.0f}, max {:.0f} ms",
                       At(0.5), At(0.9), At(0.99), Values.back());
  }

  void printLoad(const LoadClients &Clients) {
    for (const auto &[Name, Seen] : Clients.results()) {
      std::cout << fmt::format(
          "{}: {} sent, {} accepted, {} refused, {} without an answer, {} "
          "cancelled, {} completed, {} failed\n  accepted after {}\n  "
          "completed after {}\n",
          Name, Seen.Sent, Seen.Accepted, Seen.Refused, Seen.Unanswered,
          Seen.Cancelled, Seen.Completed, Seen.Failed,
          percentiles(Seen.AcceptMs), percentiles(Seen.CompleteMs));
      Completed_ += Seen.Completed;
    }
  }

  void printProcesses(const json &Stats) {
    std::cout << "emulator: " << Stats.dump() << "\n";
    for (const Instance &Made : Instances_) {
      const std::string Folder = fmt::format("/proc/{}/", Made.Process->id());
      std::ifstream Stat(Folder + "stat");
      std::string Field;
      double Ticks = 0;
      // The program's name, field 2, has no space.
      for (int Number = 1; Number <= 15 && Stat >> Field; ++Number)
        if (Number >= 14)
          Ticks += std::stod(Field);
      std::ifstream Status(Folder + "status");
      std::string Line;
      std::string Peak = "unknown";
      while (std::getline(Status, Line))
        if (Line.starts_with("VmHWM:"))
          Peak = Line.substr(Line.find_first_of("0123456789"));
      std::cout << fmt::format(
          "{}: processor time {:.2f} s, peak memory {}\n", Made.Name,
          Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)), Peak);
    }
  }

  /// False if a process had ended by itself or did not stop in time.
  bool stopAll() {
    for (const Instance &Made : Instances_) {
      if (Made.Process->endsWithin(0ms))
        complain(Made.Name + " had ended by itself");
      else
        Made.Process->terminate();
    }
    for (const Instance &Made : Instances_)
      if (!Made.Process->endsWithin(GraceTime))
        complain(Made.Name + " did not stop on SIGTERM");
    Emulator_->terminate();
    if (!Emulator_->endsWithin(GraceTime))
      complain("the emulator did not stop on SIGTERM");
    if (Completed_ == 0)
      complain("no job was completed");
    return Sound_;
  }

  bool printVerdict(const LoadClients &Clients) {
    PlatformHistory History{.Clients = Clients.history()};
    std::ifstream File(path("workers.jsonl"));
    for (std::string Line; std::getline(File, Line);)
      History.Workers.push_back(json::parse(Line));
    History.Capacity = {{"instances", json::array()}};
    for (int Number = 0; Number < Platform_.Workers; ++Number)
      History.Capacity["instances"].push_back(
          {{"name", fmt::format("w{:03}", Number)},
           {"cpus_milli", Platform_.Cpu},
           {"memory_mb", Platform_.MemoryMb},
           {"accelerators", Platform_.Gpu}});
    for (const RouteSettings &Route : Platform_.Routes)
      History.MaximumAttempts[Route.Name] = Route.MaximumAttempts;
    bool Kept = true;
    for (const auto &[Rule, Found] :
         PlatformHistoryChecker(std::move(History)).check()) {
      std::cout << fmt::format("{}: {} violations, {} events checked\n", Rule,
                               Found.Violations, Found.Checked);
      for (const std::string &Example : Found.Examples)
        std::cout << "  " << Example << "\n";
      Kept = Kept && Found.Violations == 0;
    }
    std::cout << (Kept ? "no rule was broken\n" : "RULES WERE BROKEN\n")
              << "seed " << Given_.Seed << ", files in " << Given_.Output
              << "\n";
    return Kept;
  }

  Options Given_;
  EmulatorSettings Platform_;
  LoadSettings Load_;
  asio::io_context Context_{1};
  AsioTimerService Timers_;
  CurlHttpClient Client_;
  json Addresses_;
  std::unique_ptr<ChildProcess> Emulator_;
  std::vector<Instance> Instances_;
  std::uint64_t Completed_ = 0;
  std::size_t TroublesOpen_ = 0;
  bool Sound_ = true; ///< All processes and commands did as they should.
};

Options parse(int Count, const char **Arguments) {
  Options Given;
  char *Settings = nullptr;
  char *Output = nullptr;
  const poptOption Table[] = {
      {"settings", 0, POPT_ARG_STRING, static_cast<void *>(&Settings), 0,
       "TOML file with the tables [platform] and [load]", "FILE"},
      {"output", 0, POPT_ARG_STRING, static_cast<void *>(&Output), 0,
       "new or empty folder for logs and histories; default: one in /tmp",
       "DIR"},
      {"instances", 0, POPT_ARG_INT, &Given.Instances, 0,
       "in place of load.instances", "N"},
      {"seconds", 0, POPT_ARG_DOUBLE, &Given.Seconds, 0,
       "in place of load.seconds", "S"},
      {"seed", 0, POPT_ARG_INT, &Given.Seed, 0, "seed of all draws", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::parseOptions(Count, Arguments, Table);
  if (Settings == nullptr)
    throw SettingsError("--settings is required (see --help)");
  Given.Settings = Settings;
  Given.Programs =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  std::string Folder = Output == nullptr ? "" : Output;
  if (Folder.empty()) {
    Folder = "/tmp/hickorypick-emulate-XXXXXX";
    if (::mkdtemp(Folder.data()) == nullptr)
      throw SettingsError("cannot make a folder in /tmp");
  }
  std::filesystem::create_directories(Folder);
  if (!std::filesystem::is_empty(Folder))
    throw SettingsError("the output folder " + Folder + " is not empty");
  Given.Output = Folder;
  return Given;
}

int run(int Count, const char **Arguments) {
  const Options Given = parse(Count, Arguments);
  json File = loadToml(Given.Settings);
  checkTopLevel(File);
  if (Given.Instances != 0)
    File["load"]["instances"] = Given.Instances;
  if (Given.Seconds != 0)
    File["load"]["seconds"] = Given.Seconds;
  const EmulatorSettings Platform = readEmulatorSettings(
      {File.value("platform", json::object()), "platform"});
  const LoadSettings Load =
      readLoadSettings({File.value("load", json::object()), "load"}, Platform);
  return Experiment(Given, Platform, Load).run();
}

} // namespace

} // namespace hickory::emulator

int main(int Count, const char **Arguments) {
  try {
    hickory::tool::initLogging(Arguments[0]);
    return hickory::emulator::run(Count, Arguments);
  } catch (const hickory::emulator::SettingsError &Failure) {
    std::cerr << "emulate: " << Failure.what() << "\n";
    return 2;
  } catch (const std::exception &Failure) {
    std::cerr << "emulate: " << Failure.what() << "\n";
    return 1;
  }
}
