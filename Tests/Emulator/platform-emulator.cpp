// Emulates the users' platform on loopback: store, discovery, executors and
// adviser in one process. Each caller gets its own store and adviser ports,
// because callers on one IP address can't be told apart otherwise. Usage: see
// --help; GET /stats and POST /trouble on the control address.
#include "Base/AsioTimerService.h"
#include "Base/Random.h"
#include "Emulator/EmulatedStore.h"
#include "Emulator/EmulatedWorkerPool.h"
#include "StandIns/StandInSupport.h"
#include "Support/ToolProgram.h"

#include <iostream>

namespace hickory::emulator {

namespace {

using Answer = std::optional<StandInServer::Reply>;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int MaximumOpenAdviceCalls = 32;
constexpr std::size_t MaximumAdvisedWorkers = 100;
/// How long a connection stays open after its answer was lost. Longer than the
/// timeout of any caller.
constexpr std::chrono::seconds LostAnswerDelay{4};
constexpr std::uint64_t MinimumCommandDelayMs = 300;
constexpr std::uint64_t CommandDelayRangeMs = 2200;

struct EmulatorOptions {
  std::string Settings;
  std::string PortsFile;
  std::string History;
  int Callers = 1;
  int Seed = 1;
};

/// A fault that affects a random share of the calls until a point in time.
struct FaultWindow {
  double Share = 0;
  Clock::time_point End{};
};

/// A worker that can't be reached for some time, although it runs on.
struct WorkerCut {
  Clock::time_point End{};
  /// Calls up to this token reach the worker: it is cut off only from holders
  /// that have not reached it before.
  std::int64_t HighestToken = 0;
};

class Emulator {
public:
  Emulator(asio::io_context &Context, const EmulatorSettings &Settings,
           const EmulatorOptions &Options);
  void start(const EmulatorOptions &Options);

private:
  asio::awaitable<Answer> answerStore(int Caller,
                                      StandInServer::Request Incoming);
  asio::awaitable<Answer> answerWorker(EmulatedWorker &Worker,
                                       StandInServer::Request Incoming);
  asio::awaitable<Answer> answerAdvice(int Caller,
                                       StandInServer::Request Incoming);
  asio::awaitable<Answer> answerControl(StandInServer::Request Incoming);
  /// Starts the fault that a /trouble request describes. Returns false for an
  /// unknown kind or worker.
  bool injectFault(const json &Body);
  /// Stores the record of another writer in a keyed topic. The command gives
  /// `key` and `value` as hexadecimal digits, since they may be any bytes; an
  /// empty value deletes the key. Returns false for a key that is too long.
  bool putForeignRecord(const json &Body);
  /// Cuts a worker off. Returns false for an unknown worker.
  bool cutWorker(const json &Body, Clock::time_point End);
  [[nodiscard]] bool isCutOff(const EmulatedWorker &Worker,
                              const StandInServer::Request &Incoming) const;
  /// Executes a command after a random delay.
  asio::awaitable<void> executeCommandLater(EmulatedWorker &Worker,
                                            StandInServer::Request Incoming);
  /// Handles a start or stop request of a worker.
  CallReply executeCommand(EmulatedWorker &Worker,
                           const StandInServer::Request &Incoming);
  /// Whether to inject the fault into the current call; draws a random number.
  bool shouldInject(const FaultWindow &Window) {
    return Timers_.now() < Window.End && Random_.unit() < Window.Share;
  }
  void incrementCounter(const char *Name) {
    Counters_[Name] = Counters_.value(Name, 0) + 1;
  }
  StandInServer &listen(std::uint16_t Port, StandInServer::Handler Handler);
  json advise(const json &Body);
  [[nodiscard]] json configuration() const;
  /// Puts the next version of the configuration into force.
  void publishConfiguration();

  asio::io_context &Context_;
  const EmulatorSettings &Settings_;
  AsioTimerService Timers_;
  HistoryFile History_;
  Random Random_;
  EmulatedStore Store_;
  EmulatedWorkerPool Pool_;
  std::vector<std::unique_ptr<StandInServer>> Servers_;
  json Addresses_;
  int ConfigurationVersion_ = 3;
  FaultWindow LostAnswers_;
  FaultWindow DelayedCommands_;
  FaultWindow ResetCommands_;
  FaultWindow RejectedCommands_;
  std::map<std::string, WorkerCut> WorkerCuts_; ///< By id.
  /// Until when callers get no answer from the store.
  std::map<int, Clock::time_point> StoreCuts_;
  /// Queued and running advice calls, by caller.
  std::map<int, int> OpenAdviceCalls_;
  /// When the adviser has processed all queued calls, by caller.
  std::map<int, Clock::time_point> AdviserIdleAt_;
  json Counters_ = json::object();
};

Answer answerFrom(const CallReply &Reply) {
  return StandInServer::Reply{.Status = Reply.Status,
                              .Body = Reply.Body.dump()};
}

/// Throws std::invalid_argument if the member is not a text of hexadecimal
/// digits.
std::string bytesFromHex(const json &Body, const char *Name) {
  const auto Digits = Body.at(Name).get<std::string>();
  if (Digits.size() % 2 != 0 ||
      Digits.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw std::invalid_argument(std::string(Name) + " is not hexadecimal");
  std::string Bytes;
  Bytes.reserve(Digits.size() / 2);
  for (std::size_t Index = 0; Index < Digits.size(); Index += 2)
    Bytes.push_back(
        static_cast<char>(std::stoi(Digits.substr(Index, 2), nullptr, 16)));
  return Bytes;
}

std::string expectedInstance(const StandInServer::Request &Incoming) {
  const auto It = Incoming.Headers.find("x-expected-instance");
  return It == Incoming.Headers.end() ? std::string() : It->second;
}

Emulator::Emulator(asio::io_context &Context, const EmulatorSettings &Settings,
                   const EmulatorOptions &Options)
    : Context_(Context), Settings_(Settings), Timers_(Context),
      History_(Options.History),
      Random_(static_cast<std::uint64_t>(Options.Seed)),
      Store_(Timers_, Settings),
      Pool_(
          Timers_, Settings, static_cast<std::uint64_t>(Options.Seed),
          [this](json Event) {
            Event["wall_us"] = wallMicroseconds();
            History_.append(Event);
          },
          [this](const std::string &Id, const json &Entry) {
            Store_.putRecord("keyed.servers", Id,
                             Entry.is_null() ? std::string() : Entry.dump());
          }) {}

StandInServer &Emulator::listen(std::uint16_t Port,
                                StandInServer::Handler Handler) {
  Servers_.push_back(
      std::make_unique<StandInServer>(Context_, Port, std::move(Handler)));
  Servers_.back()->open();
  return *Servers_.back();
}

json Emulator::configuration() const {
  json Routes = json::array();
  for (const RouteSettings &Route : Settings_.Routes) {
    json RouteJson = {{"name", Route.Name},
                      {"host", Route.Name + ".example"},
                      {"path-prefix", "/" + Route.Name + "/"},
                      {"service", "workers"},
                      {"priority", Route.Priority},
                      {"max-attempts", Route.MaximumAttempts},
                      {"stretch", 2.0},
                      {"target-latency-ms", Route.TargetLatencyMs}};
    if (Route.Advice)
      RouteJson["advice"] = {{"decide-ms", Route.AdviceBaseMs},
                             {"each-ms", Route.AdvicePerWorkerMs},
                             {"valid-ms", Route.TicketValidMs}};
    Routes.push_back(std::move(RouteJson));
  }
  // A route without jobs, in every second version.
  if (ConfigurationVersion_ % 2 == 0) {
    Routes.push_back(Routes.front());
    Routes.back()["name"] = "added";
    Routes.back()["host"] = "added.example";
    Routes.back()["path-prefix"] = "/added/";
  }
  return {
      {"version", ConfigurationVersion_},
      {"routes", std::move(Routes)},
      {"services",
       {{{"name", "workers"}, {"admission-check", Settings_.AdmissionCheck}}}},
      {"limits", json::object()}};
}

void Emulator::publishConfiguration() {
  Store_.putRecord("keyed.op", "config", configuration().dump());
  ++ConfigurationVersion_;
}

void Emulator::start(const EmulatorOptions &Options) {
  Addresses_ = {{"stores", json::array()}, {"advisers", json::array()}};
  for (int Caller = 0; Caller < Options.Callers; ++Caller) {
    Addresses_["stores"].push_back(
        listen(0, [this, Caller](StandInServer::Request Incoming) {
          return answerStore(Caller, std::move(Incoming));
        }).address());
    Addresses_["advisers"].push_back(
        listen(0, [this, Caller](StandInServer::Request Incoming) {
          return answerAdvice(Caller, std::move(Incoming));
        }).address());
  }
  publishConfiguration();
  for (const auto &Worker : Pool_.workers()) {
    EmulatedWorker &ServedWorker = *Worker;
    StandInServer &Server =
        listen(0, [this, &ServedWorker](StandInServer::Request Incoming) {
          return answerWorker(ServedWorker, std::move(Incoming));
        });
    ServedWorker.Address = Server.address();
    ServedWorker.SetListening = [&Server](bool IsUp) {
      if (IsUp)
        Server.open();
      else
        Server.close();
    };
    Store_.putRecord("keyed.servers", ServedWorker.id(),
                     ServedWorker.registryEntry().dump());
  }
  Addresses_["control"] =
      listen(static_cast<std::uint16_t>(Settings_.ControlPort),
             [this](StandInServer::Request Incoming) {
               return answerControl(std::move(Incoming));
             })
          .address();
  if (!Options.PortsFile.empty())
    writeFile(Options.PortsFile, Addresses_.dump() + "\n");
}

asio::awaitable<Answer> Emulator::answerStore(int Caller,
                                              StandInServer::Request Incoming) {
  if (Timers_.now() < StoreCuts_[Caller]) {
    co_await Timers_.sleepFor(LostAnswerDelay);
    co_return Answer();
  }
  const bool ShouldLoseAnswer = shouldInject(LostAnswers_);
  auto Reply = co_await Store_.handle(std::move(Incoming));
  if (!ShouldLoseAnswer)
    co_return Reply;
  incrementCounter("lost-answers");
  co_await Timers_.sleepFor(LostAnswerDelay);
  co_return Answer();
}

CallReply Emulator::executeCommand(EmulatedWorker &Worker,
                                   const StandInServer::Request &Incoming) {
  const json Body = json::parse(Incoming.Body, nullptr, false);
  const std::string Instance = expectedInstance(Incoming);
  try {
    if (Incoming.Path == "/api/run-start")
      return Worker.start(Body, Instance);
    if (Incoming.Path == "/api/run-stop")
      return Worker.stop(Body, Instance);
  } catch (const json::exception &) {
    return {.Status = BadRequest};
  }
  return {.Status = NotFound};
}

asio::awaitable<void>
Emulator::executeCommandLater(EmulatedWorker &Worker,
                              StandInServer::Request Incoming) {
  const int CrashCount = Worker.crashCount();
  co_await Timers_.sleepFor(
      milliseconds(MinimumCommandDelayMs + Random_.below(CommandDelayRangeMs)));
  // A crash has broken the connection on which the command was sent.
  if (Worker.crashCount() == CrashCount)
    executeCommand(Worker, Incoming);
}

asio::awaitable<Answer>
Emulator::answerWorker(EmulatedWorker &Worker,
                       StandInServer::Request Incoming) {
  if (Incoming.Method != "POST")
    co_return answerFrom({.Status = NotFound});
  if (isCutOff(Worker, Incoming)) {
    co_await Timers_.sleepFor(LostAnswerDelay);
    co_return Answer();
  }
  if (Incoming.Path == "/api/hold") {
    json Body = json::parse(Incoming.Body, nullptr, false);
    co_return answerFrom(
        co_await Worker.hold(std::move(Body), expectedInstance(Incoming)));
  }
  if (shouldInject(RejectedCommands_)) {
    incrementCounter("refused-orders");
    co_return answerFrom({.Status = ServiceUnavailable});
  }
  if (!shouldInject(DelayedCommands_)) {
    const CallReply Reply = executeCommand(Worker, Incoming);
    if (!shouldInject(ResetCommands_))
      co_return answerFrom(Reply);
    // The command has been executed, but the connection is closed without an
    // answer.
    incrementCounter("reset-orders");
    co_return Answer();
  }
  incrementCounter("late-orders");
  asio::co_spawn(Context_, executeCommandLater(Worker, std::move(Incoming)),
                 asio::detached);
  co_await Timers_.sleepFor(LostAnswerDelay);
  co_return Answer();
}

json Emulator::advise(const json &Body) {
  json Approved = json::array();
  const auto Step = Body.at("step").get<std::string>();
  for (const json &WorkerId : Body.at("workers")) {
    const EmulatedWorker *Worker = Pool_.find(WorkerId.get<std::string>());
    if (Worker != nullptr && Pool_.isApproved(Step, Worker->id()))
      Approved.push_back({Worker->id(), Pool_.issueTicket(Step, *Worker)});
  }
  return {{"good", std::move(Approved)}};
}

asio::awaitable<Answer>
Emulator::answerAdvice(int Caller, StandInServer::Request Incoming) {
  const json Body = json::parse(Incoming.Body, nullptr, false);
  if (Incoming.Path != "/api/advise" || !Body.is_object() ||
      !Body.contains("step") || !Body.contains("workers") ||
      Body["workers"].size() > MaximumAdvisedWorkers)
    co_return answerFrom({.Status = BadRequest});
  if (OpenAdviceCalls_[Caller] > MaximumOpenAdviceCalls)
    co_return answerFrom({.Status = TooManyRequests});
  double DurationMs = 0;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      DurationMs = std::max(
          DurationMs,
          Route.AdviceBaseMs + Route.AdvicePerWorkerMs *
                                   static_cast<double>(Body["workers"].size()));
  const auto Duration = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(DurationMs));
  Clock::time_point &IdleAt = AdviserIdleAt_[Caller];
  IdleAt = std::max(IdleAt, Timers_.now()) + Duration;
  ++OpenAdviceCalls_[Caller];
  incrementCounter("advice-calls");
  co_await Timers_.sleepFor(IdleAt - Timers_.now());
  --OpenAdviceCalls_[Caller];
  try {
    co_return answerFrom({.Status = 200, .Body = advise(Body)});
  } catch (const json::exception &) {
    co_return answerFrom({.Status = BadRequest});
  }
}

bool Emulator::putForeignRecord(const json &Body) {
  const std::string Key = bytesFromHex(Body, "key");
  if (Key.size() > EmulatedStore::MaximumKeyBytes)
    return false;
  Store_.putRecord(Body.value("topic", "keyed.servers"), Key,
                   bytesFromHex(Body, "value"));
  incrementCounter("foreign-records");
  return true;
}

bool Emulator::cutWorker(const json &Body, Clock::time_point End) {
  const EmulatedWorker *Worker = Pool_.find(Body.at("worker"));
  if (Worker == nullptr)
    return false;
  const bool OnlyNewHolders = Body.value("only-new-holders", false);
  WorkerCuts_[Worker->id()] = {
      .End = End, .HighestToken = OnlyNewHolders ? Worker->fencingToken() : -1};
  return true;
}

bool Emulator::isCutOff(const EmulatedWorker &Worker,
                        const StandInServer::Request &Incoming) const {
  const auto It = WorkerCuts_.find(Worker.id());
  if (It == WorkerCuts_.end() || Timers_.now() >= It->second.End)
    return false;
  const json Body = json::parse(Incoming.Body, nullptr, false);
  return !Body.is_object() ||
         Body.value("fencing-token", std::int64_t{0}) > It->second.HighestToken;
}

bool Emulator::injectFault(const json &Body) {
  const auto Kind = Body.value("kind", std::string());
  const milliseconds Duration(
      static_cast<std::int64_t>(Body.value("seconds", 1.0) * 1000));
  const FaultWindow Window{.Share = Body.value("share", 1.0),
                           .End = Timers_.now() + Duration};
  if (Kind == "lose-answers")
    LostAnswers_ = Window;
  else if (Kind == "late-orders")
    DelayedCommands_ = Window;
  else if (Kind == "reset-orders")
    ResetCommands_ = Window;
  else if (Kind == "refuse-orders")
    RejectedCommands_ = Window;
  else if (Kind == "store-down")
    Store_.startOutage(Duration);
  else if (Kind == "deal-anew")
    Store_.reassignAll();
  else if (Kind == "drop-history")
    Store_.trimAll();
  else if (Kind == "change-routes")
    publishConfiguration();
  else if (Kind == "cut-store")
    StoreCuts_[Body.at("caller").get<int>()] = Window.End;
  else if (Kind == "cut-worker") {
    if (!cutWorker(Body, Window.End))
      return false;
  } else if (Kind == "put-entry") {
    if (!putForeignRecord(Body))
      return false;
  } else if (Kind == "restart-worker") {
    auto &Workers = Pool_.workers();
    EmulatedWorker *Worker = Body.contains("worker")
                                 ? Pool_.find(Body["worker"].get<std::string>())
                                 : Workers[Random_.below(Workers.size())].get();
    if (Worker == nullptr)
      return false;
    Worker->restart();
  } else
    return false;
  json Event = Body;
  Event["event"] = "trouble";
  Event["wall_us"] = wallMicroseconds();
  History_.append(Event);
  return true;
}

asio::awaitable<Answer>
Emulator::answerControl(StandInServer::Request Incoming) {
  if (Incoming.Method == "GET" && Incoming.Path == "/stats") {
    json Stats = Counters_;
    Stats["store-calls"] = Store_.callCount();
    std::size_t Running = 0;
    for (const auto &Worker : Pool_.workers())
      Running += Worker->runningCount();
    Stats["running"] = Running;
    Stats["crashes"] = Pool_.crashCount();
    co_return answerFrom({.Status = 200, .Body = std::move(Stats)});
  }
  const json Body = json::parse(Incoming.Body, nullptr, false);
  if (Incoming.Method != "POST" || Incoming.Path != "/trouble" ||
      !Body.is_object())
    co_return answerFrom({.Status = NotFound});
  bool IsValid = false;
  try {
    IsValid = injectFault(Body);
  } catch (const std::exception &) {
    IsValid = false;
  }
  co_return answerFrom({.Status = IsValid ? 200 : BadRequest});
}

EmulatorOptions parse(int Count, const char **Arguments) {
  EmulatorOptions Options;
  char *Settings = nullptr;
  char *Ports = nullptr;
  char *History = nullptr;
  const poptOption Table[] = {
      {"settings", 0, POPT_ARG_STRING, static_cast<void *>(&Settings), 0,
       "TOML file with a table [platform]", "FILE"},
      {"ports-file", 0, POPT_ARG_STRING, static_cast<void *>(&Ports), 0,
       "file that receives the addresses as JSON", "FILE"},
      {"history", 0, POPT_ARG_STRING, static_cast<void *>(&History), 0,
       "file that receives the events of the executors", "FILE"},
      {"callers", 0, POPT_ARG_INT, &Options.Callers, 0,
       "number of callers, each with its own store and adviser ports", "N"},
      {"seed", 0, POPT_ARG_INT, &Options.Seed, 0, "seed of all random choices",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::parseOptions(Count, Arguments, Table);
  Options.Settings = Settings == nullptr ? "" : Settings;
  Options.PortsFile = Ports == nullptr ? "" : Ports;
  Options.History = History == nullptr ? "" : History;
  constexpr int MaximumCallers = 500;
  if (Options.Settings.empty())
    throw SettingsError("--settings is required (see --help)");
  if (Options.Callers < 1 || Options.Callers > MaximumCallers)
    throw SettingsError(
        fmt::format("--callers must be from 1 to {}", MaximumCallers));
  return Options;
}

void run(int Count, const char **Arguments) {
  const EmulatorOptions Options = parse(Count, Arguments);
  const json File = loadToml(Options.Settings);
  const EmulatorSettings Settings = readEmulatorSettings(
      {File.value("platform", json::object()), "platform"});
  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  Emulator Platform(Context, Settings, Options);
  try {
    Platform.start(Options);
  } catch (const std::system_error &Exception) {
    throw SettingsError(
        fmt::format("cannot listen (platform.control-port is {}): {}",
                    Settings.ControlPort, Exception.what()));
  }
  Context.run();
  // Skips the destructors: suspended coroutines refer to members that would be
  // destroyed before them.
  _exit(0);
}

} // namespace

} // namespace hickory::emulator

int main(int Count, const char **Arguments) {
  try {
    hickory::tool::initLogging(Arguments[0]);
    hickory::emulator::run(Count, Arguments);
  } catch (const std::exception &Exception) {
    std::cerr << "platform-emulator: " << Exception.what() << "\n";
    return 2;
  }
}
