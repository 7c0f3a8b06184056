// Starts the emulated platform and instances of hickory-cell, sends a load and
// checks the recorded history. Usage: see --help. The exit status is 0 only if
// no rule was violated and all processes ran until they were stopped.
#include "Base/AsioTimerService.h"
#include "Emulator/CellInstance.h"
#include "Emulator/InstanceFaults.h"
#include "Emulator/KeepAliveClient.h"
#include "Emulator/LoadClients.h"
#include "Emulator/PlatformHistoryChecker.h"
#include "Http/CurlHttpClient.h"
#include "Support/RunCoroutine.h"
#include "Support/ToolProgram.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <filesystem>
#include <iostream>
#include <set>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;

/// hickory-cell stops in under a second; the limit leaves room for a machine
/// under load, which must not fail a run.
constexpr std::chrono::milliseconds StopTimeout{30000};
constexpr std::chrono::seconds ReadyTimeout{60};
constexpr std::chrono::milliseconds StallCheckPeriod{20};
/// A timer that fires later than this shows that the machine is overloaded.
constexpr std::chrono::milliseconds StallThreshold{100};

struct EmulateOptions {
  std::string Settings;
  std::string Output;
  std::string Programs;
  int Instances = 0;
  double Seconds = 0;
  double PipelinedShare = -1; ///< Negative if not given.
  int Seed = 1;
};

/// One complete run: starts the processes, sends the load and checks the
/// history.
class Experiment {
public:
  Experiment(EmulateOptions Options, EmulatorSettings Platform,
             LoadSettings Load)
      : Options_(std::move(Options)), Platform_(std::move(Platform)),
        Load_(std::move(Load)), Timers_(Context_), Client_(Context_),
        Balancer_(Context_.get_executor(), Timers_, Client_),
        KeepAlive_(Context_, Timers_, Balancer_, Load_.PipelinedShare,
                   static_cast<std::uint64_t>(Options_.Seed),
                   path("requests.jsonl")),
        InstanceFaults_(
            Timers_,
            {.Start = [this](Instance &Cell) { startInstance(Cell); },
             .ReportFailure =
                 [this](const std::string &Text) { reportFailure(Text); },
             .HasStalledSince =
                 [this](Clock::time_point Begin) {
                   return LastStall_ >= Begin;
                 }}) {
    const auto Drawn =
        drawPlannedWork(Load_, static_cast<std::uint64_t>(Options_.Seed));
    Load_.Faults.insert(Load_.Faults.end(), Drawn.begin(), Drawn.end());
  }

  int run() {
    startEmulator();
    startInstances();
    runCoroutine(Context_, awaitReady(), ReadyTimeout + 10s);
    std::vector<std::string> GatewayAddresses;
    GatewayAddresses.reserve(Instances_.size());
    for (const Instance &Cell : Instances_)
      GatewayAddresses.push_back(Cell.at(GatewayPort));
    HttpClient &Client =
        Load_.KeepAlive ? static_cast<HttpClient &>(KeepAlive_) : Client_;
    LoadClients Clients(Context_.get_executor(), Timers_, Client, Load_,
                        std::move(GatewayAddresses),
                        static_cast<std::uint64_t>(Options_.Seed),
                        path("clients.jsonl"));
    const auto Timeout = std::chrono::seconds(
        static_cast<int>(Load_.Seconds + Load_.FinishSeconds) + 120);
    const json Stats = runCoroutine(Context_, sendLoad(Clients), Timeout);
    printLoadResults(Clients);
    printProcesses(Stats);
    const bool ProcessesSucceeded = stopAllProcesses();
    const bool RequestsKept = printRequestCheck();
    const bool RulesKept = printHistoryCheck(Clients);
    return ProcessesSucceeded && RequestsKept && RulesKept ? 0 : 1;
  }

private:
  [[nodiscard]] std::string path(const std::string &Name) const {
    return Options_.Output + "/" + Name;
  }

  std::unique_ptr<ChildProcess> start(const std::string &Name,
                                      std::vector<std::string> Command) {
    return startWithLog(path(Name + ".log"), std::move(Command));
  }

  void startEmulator() {
    Emulator_ = start("emulator", {Options_.Programs + "/platform-emulator",
                                   "--settings=" + Options_.Settings,
                                   "--ports-file=" + path("ports.json"),
                                   "--history=" + path("workers.jsonl"),
                                   fmt::format("--callers={}", Load_.Instances),
                                   fmt::format("--seed={}", Options_.Seed)});
    while (!std::filesystem::exists(path("ports.json")))
      if (Emulator_->exitsWithin(20ms))
        throw SettingsError("the emulator did not start: " +
                            readFile(path("emulator.log")));
    Addresses_ = json::parse(readFile(path("ports.json")));
  }

  void startInstances() {
    int NextAddress = ::getpid() * 110;
    for (int Number = 0; Number < Load_.Instances; ++Number) {
      Instance Cell = findAddress(Context_, NextAddress);
      Cell.Name = fmt::format("cell-{}", Number);
      writeFile(path(Cell.Name + ".json"),
                cellSettings(Cell, Addresses_, static_cast<std::size_t>(Number),
                             Platform_)
                    .dump(2));
      startInstance(Cell);
      Instances_.push_back(std::move(Cell));
    }
  }

  void startInstance(Instance &Cell) {
    Cell.Process =
        start(Cell.Name, {Options_.Programs + "/hickory-cell",
                          "--settings=" + path(Cell.Name + ".json")});
  }

  asio::awaitable<json> get(std::string Url) {
    HttpClientRequest Request{.Url = std::move(Url), .MayResend = true};
    const auto Reply = co_await Client_.send(std::move(Request));
    if (!Reply || Reply->Status != 200)
      co_return nullptr;
    co_return json::parse(Reply->Body, nullptr, false);
  }

  asio::awaitable<int> awaitReady() {
    const auto Deadline = Timers_.now() + ReadyTimeout;
    for (const Instance &Cell : Instances_)
      while ((co_await get("http://" + Cell.at(ReadyPort) + "/api/readiness"))
                 .is_null()) {
        if (Timers_.now() > Deadline || Cell.Process->exitsWithin(0ms))
          throw std::runtime_error(Cell.Name + " did not become ready; see " +
                                   path(Cell.Name + ".log"));
        co_await Timers_.sleepFor(50ms);
      }
    co_return 0;
  }

  asio::awaitable<void> injectFault(PlannedFault Fault) {
    co_await Timers_.sleepFor(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Fault.AtSeconds)));
    if (Fault.isUnplanned())
      KeepAlive_.recordUnplannedFault();
    std::cout << fmt::format("{:.1f} s: {}", Fault.AtSeconds,
                             Fault.Command.dump())
              << (Fault.targetsInstance()
                      ? fmt::format(" on instance {}\n", Fault.Instance)
                      : std::string("\n"))
              << std::flush;
    if (Fault.targetsInstance())
      co_await InstanceFaults_.inject(
          Instances_[static_cast<std::size_t>(Fault.Instance)], Fault);
    else
      co_await sendFaultCommand(Fault);
    --PendingFaults_;
  }

  asio::awaitable<void> sendFaultCommand(PlannedFault Fault) {
    HttpClientRequest Request{.Method = "POST",
                              .Url = "http://" +
                                     Addresses_["control"].get<std::string>() +
                                     "/trouble",
                              .Body = Fault.Command.dump()};
    const auto Reply = co_await Client_.send(std::move(Request));
    if (!Reply || Reply->Status != 200)
      reportFailure("the emulator rejected the command " +
                    Fault.Command.dump());
  }

  void reportFailure(const std::string &Text) {
    std::cout << Text << "\n";
    Succeeded_ = false;
  }

  void startBalancer() {
    std::vector<BalancerTarget> Targets;
    Targets.reserve(Instances_.size());
    for (const Instance &Cell : Instances_)
      Targets.push_back(
          {.Gateway = Cell.at(GatewayPort), .Ready = Cell.at(ReadyPort)});
    Balancer_.start(std::move(Targets));
  }

  /// Records when this process, and so probably all of them, could not run.
  asio::awaitable<void> watchForStalls() {
    while (!Finished_) {
      const auto Due = Timers_.now() + StallCheckPeriod;
      const std::int64_t Begin = wallMicroseconds();
      co_await Timers_.sleepFor(StallCheckPeriod);
      if (Timers_.now() < Due + StallThreshold)
        continue;
      LastStall_ = Timers_.now();
      ++StallCount_;
      KeepAlive_.recordStall({.Begin = Begin, .End = wallMicroseconds()});
    }
  }

  asio::awaitable<json> sendLoad(LoadClients &Clients) {
    startBalancer();
    asio::co_spawn(Context_, watchForStalls(), asio::detached);
    PendingFaults_ = Load_.Faults.size();
    for (const PlannedFault &Fault : Load_.Faults)
      asio::co_spawn(Context_, injectFault(Fault), asio::detached);
    co_await Clients.run();
    while (PendingFaults_ > 0)
      co_await Timers_.sleepFor(20ms);
    co_await KeepAlive_.close();
    co_await Balancer_.stop();
    Finished_ = true;
    co_await Timers_.sleepFor(2 * StallCheckPeriod);
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

  void printLoadResults(const LoadClients &Clients) {
    for (const auto &[Name, Totals] : Clients.results()) {
      std::cout << fmt::format(
          "{}: {} sent ({} crash workers), {} accepted, {} refused, {} without "
          "an answer, {} cancelled, {} completed, {} failed\n  accepted after "
          "{}\n  completed after {}\n",
          Name, Totals.Submitted, Totals.Crashing, Totals.Accepted,
          Totals.Rejected, Totals.Unanswered, Totals.Cancelled,
          Totals.Completed, Totals.Failed,
          percentiles(Totals.AcceptLatenciesMs),
          percentiles(Totals.CompletionLatenciesMs));
      Completed_ += Totals.Completed;
      CrashingSent_ += Totals.Crashing;
    }
  }

  void printProcesses(const json &Stats) {
    std::cout << "emulator: " << Stats.dump() << "\n";
    if (Stats.is_object())
      CrashCount_ = Stats.value("crashes", 0);
    for (const Instance &Cell : Instances_) {
      const std::string Folder = fmt::format("/proc/{}/", Cell.Process->id());
      std::ifstream Stat(Folder + "stat");
      std::string Field;
      double CpuTicks = 0;
      // Splitting at spaces is safe, because the program's name (field 2) has
      // none.
      for (int Number = 1; Number <= 15 && Stat >> Field; ++Number)
        if (Number >= 14)
          CpuTicks += std::stod(Field);
      std::ifstream Status(Folder + "status");
      std::string Line;
      std::string PeakMemory = "unknown";
      while (std::getline(Status, Line))
        if (Line.starts_with("VmHWM:"))
          PeakMemory = Line.substr(Line.find_first_of("0123456789"));
      std::cout << fmt::format(
          "{}: processor time {:.2f} s, peak memory {}\n", Cell.Name,
          CpuTicks / static_cast<double>(::sysconf(_SC_CLK_TCK)), PeakMemory);
    }
  }

  /// Returns false if any process exited by itself or did not stop in time, or
  /// if another failure was reported during the run.
  bool stopAllProcesses() {
    for (const Instance &Cell : Instances_) {
      if (Cell.Process->exitsWithin(0ms))
        reportFailure(Cell.Name + " exited unexpectedly");
      else
        Cell.Process->terminate();
    }
    for (const Instance &Cell : Instances_)
      if (!Cell.Process->exitsWithin(StopTimeout))
        reportFailure(Cell.Name + " did not exit in time");
    Emulator_->terminate();
    if (!Emulator_->exitsWithin(StopTimeout))
      reportFailure("the emulator did not exit in time");
    if (Completed_ == 0)
      reportFailure("no job was completed");
    if (CrashingSent_ > 0 && CrashCount_ == 0)
      reportFailure("no worker crashed, although jobs that crash workers were "
                    "sent");
    return Succeeded_;
  }

  /// Checks the rule LOST of planned work.
  bool printRequestCheck() {
    if (!Load_.KeepAlive)
      return true;
    std::cout << "requests on kept connections:";
    for (const auto &[Outcome, Count] : KeepAlive_.outcomes())
      std::cout << fmt::format(" {} {},", Count, Outcome);
    std::cout << fmt::format(" {} lost; {} stalls of this process\n",
                             KeepAlive_.lost().size(), StallCount_);
    for (const std::string &Lost : KeepAlive_.lost())
      std::cout << "  LOST: " << Lost << "\n";
    return KeepAlive_.lost().empty();
  }

  bool printHistoryCheck(const LoadClients &Clients) {
    PlatformHistory History{.Clients = Clients.history()};
    std::ifstream File(path("workers.jsonl"));
    for (std::string Line; std::getline(File, Line);)
      History.Workers.push_back(json::parse(Line));
    History.Capacity = {{"instances", json::array()}};
    // A worker that is back after a crash may have a new id.
    std::set<std::string> Workers;
    for (const json &Event : History.Workers)
      if (Event.value("event", std::string()) == "born")
        Workers.insert(Event.at("worker").get<std::string>());
    for (const std::string &Worker : Workers)
      History.Capacity["instances"].push_back(
          {{"name", Worker},
           {"cpus_milli", Platform_.CpusMilli},
           {"memory_mb", Platform_.MemoryMb},
           {"accelerators", Platform_.Accelerators}});
    for (const RouteSettings &Route : Platform_.Routes)
      History.MaximumAttempts[Route.Name] = Route.MaximumAttempts;
    bool RulesKept = true;
    for (const auto &[Rule, Result] :
         PlatformHistoryChecker(std::move(History)).check()) {
      std::cout << fmt::format("{}: {} violations, {} events checked\n", Rule,
                               Result.Violations, Result.Checked);
      for (const std::string &Example : Result.Examples)
        std::cout << "  " << Example << "\n";
      RulesKept = RulesKept && Result.Violations == 0;
    }
    std::cout << (RulesKept ? "no rule was violated\n"
                            : "RULES WERE VIOLATED\n")
              << "seed " << Options_.Seed << ", files in " << Options_.Output
              << "\n";
    return RulesKept;
  }

  EmulateOptions Options_;
  EmulatorSettings Platform_;
  LoadSettings Load_;
  asio::io_context Context_{1};
  AsioTimerService Timers_;
  CurlHttpClient Client_;
  Balancer Balancer_;
  KeepAliveClient KeepAlive_;
  InstanceFaults InstanceFaults_;
  json Addresses_;
  std::unique_ptr<ChildProcess> Emulator_;
  std::vector<Instance> Instances_;
  std::uint64_t Completed_ = 0;
  std::uint64_t CrashingSent_ = 0; ///< Submitted jobs that crash workers.
  int CrashCount_ = 0;             ///< Crashes of workers.
  std::size_t PendingFaults_ = 0;
  Clock::time_point LastStall_{};
  int StallCount_ = 0;
  bool Finished_ = false; ///< The load was sent, and its faults injected.
  bool Succeeded_ = true; ///< No failure was reported.
};

EmulateOptions parse(int Count, const char **Arguments) {
  EmulateOptions Options;
  char *Settings = nullptr;
  char *Output = nullptr;
  const poptOption Table[] = {
      {"settings", 0, POPT_ARG_STRING, static_cast<void *>(&Settings), 0,
       "TOML file with the tables [platform] and [load]", "FILE"},
      {"output", 0, POPT_ARG_STRING, static_cast<void *>(&Output), 0,
       "new or empty folder for logs and histories; default: one in /tmp",
       "DIR"},
      {"instances", 0, POPT_ARG_INT, &Options.Instances, 0,
       "overrides load.instances", "N"},
      {"seconds", 0, POPT_ARG_DOUBLE, &Options.Seconds, 0,
       "overrides load.seconds", "S"},
      {"pipelined-share", 0, POPT_ARG_DOUBLE, &Options.PipelinedShare, 0,
       "overrides load.pipelined-share", "SHARE"},
      {"seed", 0, POPT_ARG_INT, &Options.Seed, 0, "seed of all random choices",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::parseOptions(Count, Arguments, Table);
  if (Settings == nullptr)
    throw SettingsError("--settings is required (see --help)");
  Options.Settings = Settings;
  Options.Programs =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  std::string Folder = Output == nullptr ? "" : Output;
  if (Folder.empty()) {
    Folder = "/tmp/hickorypick-emulate-XXXXXX";
    if (::mkdtemp(Folder.data()) == nullptr)
      throw SettingsError("cannot create a folder in /tmp");
  }
  std::filesystem::create_directories(Folder);
  if (!std::filesystem::is_empty(Folder))
    throw SettingsError("the output folder " + Folder + " is not empty");
  Options.Output = Folder;
  return Options;
}

int run(int Count, const char **Arguments) {
  const EmulateOptions Options = parse(Count, Arguments);
  json File = loadToml(Options.Settings);
  checkTopLevel(File);
  if (Options.Instances != 0)
    File["load"]["instances"] = Options.Instances;
  if (Options.Seconds != 0)
    File["load"]["seconds"] = Options.Seconds;
  if (Options.PipelinedShare >= 0)
    File["load"]["pipelined-share"] = Options.PipelinedShare;
  const EmulatorSettings Platform = readEmulatorSettings(
      {File.value("platform", json::object()), "platform"});
  const LoadSettings Load =
      readLoadSettings({File.value("load", json::object()), "load"}, Platform);
  return Experiment(Options, Platform, Load).run();
}

} // namespace

} // namespace hickory::emulator

int main(int Count, const char **Arguments) {
  try {
    hickory::tool::initLogging(Arguments[0]);
    return hickory::emulator::run(Count, Arguments);
  } catch (const hickory::emulator::SettingsError &Exception) {
    std::cerr << "emulate: " << Exception.what() << "\n";
    return 2;
  } catch (const std::exception &Exception) {
    std::cerr << "emulate: " << Exception.what() << "\n";
    return 1;
  }
}
