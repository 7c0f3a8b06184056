// Emulates the users' platform on loopback: store, discovery, executors and
// adviser in one process. Each caller has listeners of its own for the store
// and the adviser, which tell callers of one address apart. Usage: see --help;
// GET /stats and POST /trouble on the control address.
#include "Base/AsioTimerService.h"
#include "Base/Random.h"
#include "Emulator/EmulatedStore.h"
#include "Emulator/WorkerFarm.h"
#include "StandIns/StandInSupport.h"
#include "Support/ToolProgram.h"

#include <iostream>

namespace hickory::emulator {

namespace {

using Answer = std::optional<StandInServer::Reply>;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int TooMany = 429;
constexpr int Unhealthy = 503;
constexpr int MostAdviceCalls = 32;
constexpr std::size_t MostAdvisedWorkers = 100;
/// Longer than any caller waits for an answer that was lost.
constexpr std::chrono::seconds LostAnswerSilence{4};
constexpr std::uint64_t ShortestDelayMs = 300;
constexpr std::uint64_t DelaySpanMs = 2200;

struct Options {
  std::string Settings;
  std::string PortsFile;
  std::string History;
  int Callers = 1;
  int Seed = 1;
};

/// Something that happens to a share of the calls until a point in time.
struct Window {
  double Share = 0;
  Clock::time_point Until{};
};

class Emulator {
public:
  Emulator(asio::io_context &Context, const EmulatorSettings &Settings,
           const Options &Given);
  void start(const Options &Given);

private:
  asio::awaitable<Answer> answerStore(StandInServer::Request Incoming);
  asio::awaitable<Answer> answerWorker(EmulatedWorker &Worker,
                                       StandInServer::Request Incoming);
  asio::awaitable<Answer> answerAdvice(int Caller,
                                       StandInServer::Request Incoming);
  asio::awaitable<Answer> answerControl(StandInServer::Request Incoming);
  bool trouble(const json &Body);
  asio::awaitable<void> carryOutLate(EmulatedWorker &Worker,
                                     StandInServer::Request Incoming);
  CallReply order(EmulatedWorker &Worker,
                  const StandInServer::Request &Incoming);
  bool drawn(const Window &Drawn) {
    return Timers_.now() < Drawn.Until && Source_.unit() < Drawn.Share;
  }
  void count(const char *Name) { Counts_[Name] = Counts_.value(Name, 0) + 1; }
  StandInServer &listen(std::uint16_t Port, StandInServer::Handler Handler);
  json advise(const json &Body);
  [[nodiscard]] json configuration() const;

  asio::io_context &Context_;
  const EmulatorSettings &Settings_;
  AsioTimerService Timers_;
  HistoryFile History_;
  Random Source_;
  EmulatedStore Store_;
  WorkerFarm Farm_;
  std::vector<std::unique_ptr<StandInServer>> Servers_;
  json Addresses_;
  Window LostAnswers_;
  Window LateOrders_;
  Window ResetOrders_;
  Window RefusedOrders_;
  std::map<int, int> AdviceCalls_; ///< Waiting and in work, by caller.
  std::map<int, Clock::time_point> AdviceFreeAt_;
  json Counts_ = json::object();
};

Answer answerFrom(const CallReply &Reply) {
  return StandInServer::Reply{.Status = Reply.Status,
                              .Body = Reply.Body.dump()};
}

std::string expectedInstance(const StandInServer::Request &Incoming) {
  const auto It = Incoming.Headers.find("x-expected-instance");
  return It == Incoming.Headers.end() ? std::string() : It->second;
}

Emulator::Emulator(asio::io_context &Context, const EmulatorSettings &Settings,
                   const Options &Given)
    : Context_(Context), Settings_(Settings), Timers_(Context),
      History_(Given.History), Source_(static_cast<std::uint64_t>(Given.Seed)),
      Store_(Timers_, Settings),
      Farm_(
          Timers_, Settings, static_cast<std::uint64_t>(Given.Seed),
          [this](json Event) {
            Event["wall_us"] = wallMicroseconds();
            History_.append(Event);
          },
          [this](const std::string &Id, const json &Entry) {
            Store_.put("keyed.servers", Id, Entry.dump());
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
    json Item = {{"name", Route.Name},
                 {"host", Route.Name + ".example"},
                 {"path-prefix", "/" + Route.Name + "/"},
                 {"service", "workers"},
                 {"priority", Route.Priority},
                 {"max-attempts", Route.MaximumAttempts},
                 {"stretch", 2.0},
                 {"target-latency-ms", Route.TargetLatencyMs}};
    if (Route.Advice)
      Item["advice"] = {{"decide-ms", Route.DecideMs},
                        {"each-ms", Route.EachMs},
                        {"valid-ms", Route.ValidMs}};
    Routes.push_back(std::move(Item));
  }
  return {
      {"version", 3},
      {"routes", std::move(Routes)},
      {"services",
       {{{"name", "workers"}, {"admission-check", Settings_.AdmissionCheck}}}},
      {"limits", json::object()}};
}

void Emulator::start(const Options &Given) {
  Addresses_ = {{"stores", json::array()}, {"advisers", json::array()}};
  for (int Caller = 0; Caller < Given.Callers; ++Caller) {
    Addresses_["stores"].push_back(
        listen(0, [this](StandInServer::Request Incoming) {
          return answerStore(std::move(Incoming));
        }).address());
    Addresses_["advisers"].push_back(
        listen(0, [this, Caller](StandInServer::Request Incoming) {
          return answerAdvice(Caller, std::move(Incoming));
        }).address());
  }
  Store_.put("keyed.op", "config", configuration().dump());
  for (const auto &Worker : Farm_.workers()) {
    EmulatedWorker &Served = *Worker;
    Served.Address =
        listen(0, [this, &Served](StandInServer::Request Incoming) {
          return answerWorker(Served, std::move(Incoming));
        }).address();
    Store_.put("keyed.servers", Served.id(), Served.entry().dump());
  }
  Addresses_["control"] =
      listen(static_cast<std::uint16_t>(Settings_.ControlPort),
             [this](StandInServer::Request Incoming) {
               return answerControl(std::move(Incoming));
             })
          .address();
  if (!Given.PortsFile.empty())
    writeFile(Given.PortsFile, Addresses_.dump() + "\n");
}

asio::awaitable<Answer> Emulator::answerStore(StandInServer::Request Incoming) {
  const bool Lost = drawn(LostAnswers_);
  auto Reply = co_await Store_.handle(std::move(Incoming));
  if (!Lost)
    co_return Reply;
  count("lost-answers");
  co_await Timers_.sleepFor(LostAnswerSilence);
  co_return Answer();
}

CallReply Emulator::order(EmulatedWorker &Worker,
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

asio::awaitable<void> Emulator::carryOutLate(EmulatedWorker &Worker,
                                             StandInServer::Request Incoming) {
  co_await Timers_.sleepFor(
      milliseconds(ShortestDelayMs + Source_.below(DelaySpanMs)));
  order(Worker, Incoming);
}

asio::awaitable<Answer>
Emulator::answerWorker(EmulatedWorker &Worker,
                       StandInServer::Request Incoming) {
  if (Incoming.Method != "POST")
    co_return answerFrom({.Status = NotFound});
  if (Incoming.Path == "/api/hold") {
    json Body = json::parse(Incoming.Body, nullptr, false);
    co_return answerFrom(
        co_await Worker.hold(std::move(Body), expectedInstance(Incoming)));
  }
  if (drawn(RefusedOrders_)) {
    count("refused-orders");
    co_return answerFrom({.Status = Unhealthy});
  }
  if (!drawn(LateOrders_)) {
    const CallReply Reply = order(Worker, Incoming);
    if (!drawn(ResetOrders_))
      co_return answerFrom(Reply);
    // Carried out, and the connection ends without an answer.
    count("reset-orders");
    co_return Answer();
  }
  count("late-orders");
  asio::co_spawn(Context_, carryOutLate(Worker, std::move(Incoming)),
                 asio::detached);
  co_await Timers_.sleepFor(LostAnswerSilence);
  co_return Answer();
}

json Emulator::advise(const json &Body) {
  json Good = json::array();
  const auto Step = Body.at("step").get<std::string>();
  for (const json &Item : Body.at("workers")) {
    const EmulatedWorker *Worker = Farm_.find(Item.get<std::string>());
    if (Worker != nullptr && Farm_.isGood(Step, Worker->id()))
      Good.push_back({Worker->id(), Farm_.ticket(Step, *Worker)});
  }
  return {{"good", std::move(Good)}};
}

asio::awaitable<Answer>
Emulator::answerAdvice(int Caller, StandInServer::Request Incoming) {
  const json Body = json::parse(Incoming.Body, nullptr, false);
  if (Incoming.Path != "/api/advise" || !Body.is_object() ||
      !Body.contains("step") || !Body.contains("workers") ||
      Body["workers"].size() > MostAdvisedWorkers)
    co_return answerFrom({.Status = BadRequest});
  if (AdviceCalls_[Caller] > MostAdviceCalls)
    co_return answerFrom({.Status = TooMany});
  double CostMs = 0;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      CostMs = std::max(CostMs, Route.DecideMs +
                                    Route.EachMs * static_cast<double>(
                                                       Body["workers"].size()));
  const auto Cost = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(CostMs));
  Clock::time_point &FreeAt = AdviceFreeAt_[Caller];
  FreeAt = std::max(FreeAt, Timers_.now()) + Cost;
  ++AdviceCalls_[Caller];
  count("advice-calls");
  co_await Timers_.sleepFor(FreeAt - Timers_.now());
  --AdviceCalls_[Caller];
  try {
    co_return answerFrom({.Status = 200, .Body = advise(Body)});
  } catch (const json::exception &) {
    co_return answerFrom({.Status = BadRequest});
  }
}

bool Emulator::trouble(const json &Body) {
  const auto Kind = Body.value("kind", std::string());
  const milliseconds Length(
      static_cast<std::int64_t>(Body.value("seconds", 1.0) * 1000));
  const Window Drawn{.Share = Body.value("share", 1.0),
                     .Until = Timers_.now() + Length};
  if (Kind == "lose-answers")
    LostAnswers_ = Drawn;
  else if (Kind == "late-orders")
    LateOrders_ = Drawn;
  else if (Kind == "reset-orders")
    ResetOrders_ = Drawn;
  else if (Kind == "refuse-orders")
    RefusedOrders_ = Drawn;
  else if (Kind == "store-down")
    Store_.refuseFor(Length);
  else if (Kind == "deal-anew")
    Store_.dealAnew();
  else if (Kind == "drop-history")
    Store_.dropHistory();
  else if (Kind == "restart-worker") {
    auto &Workers = Farm_.workers();
    EmulatedWorker *Worker = Body.contains("worker")
                                 ? Farm_.find(Body["worker"].get<std::string>())
                                 : Workers[Source_.below(Workers.size())].get();
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
    json Stats = Counts_;
    Stats["store-calls"] = Store_.calls();
    std::size_t Running = 0;
    for (const auto &Worker : Farm_.workers())
      Running += Worker->running();
    Stats["running"] = Running;
    co_return answerFrom({.Status = 200, .Body = std::move(Stats)});
  }
  const json Body = json::parse(Incoming.Body, nullptr, false);
  if (Incoming.Method != "POST" || Incoming.Path != "/trouble" ||
      !Body.is_object())
    co_return answerFrom({.Status = NotFound});
  bool Known = false;
  try {
    Known = trouble(Body);
  } catch (const json::exception &) {
    Known = false;
  }
  co_return answerFrom({.Status = Known ? 200 : BadRequest});
}

Options parse(int Count, const char **Arguments) {
  Options Given;
  char *Settings = nullptr;
  char *Ports = nullptr;
  char *History = nullptr;
  const poptOption Table[] = {
      {"settings", 0, POPT_ARG_STRING, static_cast<void *>(&Settings), 0,
       "TOML file with a table [platform]", "FILE"},
      {"ports-file", 0, POPT_ARG_STRING, static_cast<void *>(&Ports), 0,
       "file that receives the addresses as JSON", "FILE"},
      {"history", 0, POPT_ARG_STRING, static_cast<void *>(&History), 0,
       "file that receives what the executors ran", "FILE"},
      {"callers", 0, POPT_ARG_INT, &Given.Callers, 0,
       "listeners of the store and the adviser", "N"},
      {"seed", 0, POPT_ARG_INT, &Given.Seed, 0, "seed of all draws", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::parseOptions(Count, Arguments, Table);
  Given.Settings = Settings == nullptr ? "" : Settings;
  Given.PortsFile = Ports == nullptr ? "" : Ports;
  Given.History = History == nullptr ? "" : History;
  constexpr int MostCallers = 500;
  if (Given.Settings.empty())
    throw SettingsError("--settings is required (see --help)");
  if (Given.Callers < 1 || Given.Callers > MostCallers)
    throw SettingsError(
        fmt::format("--callers must be from 1 to {}", MostCallers));
  return Given;
}

void run(int Count, const char **Arguments) {
  const Options Given = parse(Count, Arguments);
  const json File = loadToml(Given.Settings);
  const EmulatorSettings Settings = readEmulatorSettings(
      {File.value("platform", json::object()), "platform"});
  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  Emulator Platform(Context, Settings, Given);
  try {
    Platform.start(Given);
  } catch (const std::system_error &Failure) {
    throw SettingsError(
        fmt::format("cannot listen (platform.control-port is {}): {}",
                    Settings.ControlPort, Failure.what()));
  }
  Context.run();
  // Coroutines that still wait refer to parts that are destroyed in another
  // order.
  _exit(0);
}

} // namespace

} // namespace hickory::emulator

int main(int Count, const char **Arguments) {
  try {
    hickory::tool::initLogging(Arguments[0]);
    hickory::emulator::run(Count, Arguments);
  } catch (const std::exception &Failure) {
    std::cerr << "platform-emulator: " << Failure.what() << "\n";
    return 2;
  }
}
