// Hosts many executors of the platform in one process, each on its own port of
// 127.0.0.1 (design page, section 10.4). Its history file is the ground truth
// of how often each id ran.
#include "StandIns/StandInServer.h"
#include "StandIns/StandInSupport.h"

#include "Base/Notifier.h"
#include "Base/Random.h"
#include "Http/HttpServer.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace hickory {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

struct Settings {
  std::string Config;
  std::string PortsFile;
  std::string AddressesFile;
  std::string History;
  std::uint64_t Seed = 1;
  int ControlPort = 0;
  int WorkMs = 20;   ///< Mean time to answer; uniform between half and 1.5.
  int LateMs = 3000; ///< How long a late reply is held back.
  int CrossMs = 200; ///< How long a reply waits for another to cross with.
  double Late = 0;   ///< Probabilities per request.
  double Crossed = 0;
  double Failing = 0;
  double LostReplies = 0;
  double LostRequests = 0;
  int StopAfterSeconds = 3600;
};

struct Totals {
  std::uint64_t Requests = 0;
  std::uint64_t Ran = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Late = 0;
  std::uint64_t Crossed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t LostRequests = 0;
  std::uint64_t ResultQueries = 0;
  std::uint64_t OverSlots = 0;
  std::uint64_t OverConnections = 0;
  std::uint64_t RanAgain = 0; ///< Runs of an id that had run before.
  std::vector<std::string> Violations;
};

/// Probabilities of an executor; changed by control.
struct Faults {
  double Late = 0;
  double Crossed = 0;
  double Failing = 0;
  double LostReplies = 0;
  double LostRequests = 0;
};

class Farm;

/// One executor.
class Executor {
public:
  Executor(Farm &Owner, asio::io_context &Context, json Instance,
           std::uint16_t Port, Random Source);

  void open() { Server_.open(); }
  [[nodiscard]] const std::string &name() const { return Name_; }
  [[nodiscard]] json instance() const {
    json Copy = Instance_;
    Copy["address"] = Server_.address();
    return Copy;
  }
  [[nodiscard]] std::string rack() const { return Instance_.value("rack", ""); }
  [[nodiscard]] json stats() const;
  bool control(const std::string &Operation, const json &Parameters);

private:
  using Answer = std::optional<StandInServer::Reply>;

  /// A reply that waits for another one to be swapped with.
  struct Crossing {
    explicit Crossing(const asio::any_io_executor &Where) : Swapped(Where) {}
    std::string Id;
    std::string Text;
    Notifier Swapped;
    bool Done = false;
  };

  struct Result {
    std::string State;
    std::string Answer;
  };

  asio::awaitable<Answer> handle(StandInServer::Request Request);
  asio::awaitable<Answer> execute(json Body);
  Answer result(const std::string &Id);
  /// Swaps the answer with that of another request, if one comes along.
  asio::awaitable<void> cross(std::string &Id, std::string &Text);
  asio::awaitable<void> sleep(milliseconds Delay);
  asio::awaitable<void> restartAfter(milliseconds Delay);
  void record(const std::string &Id, const std::string &Event);

  Farm &Owner_;
  asio::io_context &Context_;
  json Instance_;
  std::string Name_;
  Random Source_;
  StandInServer Server_;
  Faults Faults_;
  std::size_t Running_ = 0;
  std::size_t MostRunning_ = 0;
  std::size_t MostConnections_ = 0;
  std::uint64_t Ran_ = 0;
  bool Leaving_ = false;
  int WorkMs_;
  SteadyClock::time_point PausedUntil_{};
  std::uint64_t Life_ = 0;
  std::map<std::string, Result> Results_;
  std::shared_ptr<Crossing> WaitingToCross_;
};

/// All executors and the history.
class Farm {
public:
  Farm(asio::io_context &Context, const Settings &Options);
  void run();
  void append(const json &Event) { History_.append(Event); }
  void violation(const std::string &Text);

  Totals Count;
  const Settings &Options;
  std::map<std::string, int> RunsById;

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  handleControl(StandInServer::Request Request);
  [[nodiscard]] json stats() const;

  asio::io_context &Context_;
  HistoryFile History_;
  std::map<std::string, std::unique_ptr<Executor>> Executors_;
  std::unique_ptr<StandInServer> Control_;
};

StandInServer::Reply reply(int Status, const json &Body) {
  return {.Status = Status, .Body = Body.dump()};
}

Executor::Executor(Farm &Owner, asio::io_context &Context, json Instance,
                   std::uint16_t Port, Random Source)
    : Owner_(Owner), Context_(Context), Instance_(std::move(Instance)),
      Name_(Instance_.at("name").get<std::string>()), Source_(Source),
      Server_(Context, Port,
              [this](StandInServer::Request Request) {
                return handle(std::move(Request));
              }),
      Faults_{.Late = Owner.Options.Late,
              .Crossed = Owner.Options.Crossed,
              .Failing = Owner.Options.Failing,
              .LostReplies = Owner.Options.LostReplies,
              .LostRequests = Owner.Options.LostRequests},
      WorkMs_(Owner.Options.WorkMs) {}

asio::awaitable<void> Executor::sleep(milliseconds Delay) {
  asio::steady_timer Timer(Context_, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

void Executor::record(const std::string &Id, const std::string &Event) {
  Owner_.append({{"executor", Name_},
                 {"rack", rack()},
                 {"id", Id},
                 {"event", Event},
                 {"wall_us", wallMicroseconds()}});
}

asio::awaitable<Executor::Answer>
Executor::handle(StandInServer::Request Request) {
  ++Owner_.Count.Requests;
  MostConnections_ = std::max(MostConnections_, Server_.connections());
  const std::size_t Allowed = Instance_.value("connections", std::size_t{64});
  if (Server_.connections() > Allowed) {
    ++Owner_.Count.OverConnections;
    Owner_.violation(fmt::format("{}: {} connections open, {} allowed", Name_,
                                 Server_.connections(), Allowed));
  }
  const std::uint64_t Life = Life_;
  while (SteadyClock::now() < PausedUntil_) {
    asio::steady_timer Timer(Context_, PausedUntil_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (Life != Life_)
    co_return Answer();
  const std::string ResultPath = "/v1/results/";
  if (Request.Method == "GET" && Request.Path.starts_with(ResultPath)) {
    ++Owner_.Count.ResultQueries;
    co_return result(percentDecode(Request.Path.substr(ResultPath.size())));
  }
  if (Request.Method != "POST" || Request.Path != "/v1/execute")
    co_return reply(404, {{"message", "no such path"}});
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("id") || !Body["id"].is_string() ||
      !Body.contains("payload") || !Body["payload"].is_string())
    co_return reply(400, {{"message", "id and payload must be strings"}});
  co_return co_await execute(std::move(Body));
}

asio::awaitable<Executor::Answer> Executor::execute(json Body) {
  const std::uint64_t Life = Life_;
  std::string Id = Body["id"].get<std::string>();
  if (Leaving_) {
    ++Owner_.Count.Refused;
    co_return reply(503, {{"state", "leaving"}});
  }
  if (Source_.unit() < Faults_.LostRequests) {
    ++Owner_.Count.LostRequests;
    record(Id, "request_lost");
    co_return Answer();
  }
  const std::size_t Slots = Instance_.value("slots", std::size_t{8});
  if (Running_ >= Slots) {
    ++Owner_.Count.OverSlots;
    ++Owner_.Count.Refused;
    Owner_.violation(
        fmt::format("{}: request {} exceeds {} slots", Name_, Id, Slots));
    StandInServer::Reply Busy = reply(503, {{"state", "busy"}});
    Busy.RetryAfterSeconds = 1;
    co_return Busy;
  }
  ++Running_;
  MostRunning_ = std::max(MostRunning_, Running_);
  ++Owner_.Count.Ran;
  ++Ran_;
  if (++Owner_.RunsById[Id] > 1)
    ++Owner_.Count.RanAgain;
  record(Id, "started");
  Results_[Id] = {"running", ""};
  const auto Work = static_cast<std::uint64_t>(std::max(WorkMs_, 1));
  co_await sleep(milliseconds(Work / 2 + Source_.below(Work + 1)));
  if (Life != Life_)
    co_return Answer();
  --Running_;
  if (Source_.unit() < Faults_.Failing) {
    ++Owner_.Count.Failed;
    Results_.erase(Id);
    record(Id, "failed");
    co_return reply(500, {{"id", Id}, {"message", "the run failed"}});
  }
  std::string Text = "answer:" + Body["payload"].get<std::string>() + ":" + Id;
  Results_[Id] = {"done", Text};
  record(Id, "done");
  if (Source_.unit() < Faults_.LostReplies) {
    ++Owner_.Count.LostReplies;
    record(Id, "reply_lost");
    co_return Answer();
  }
  if (Source_.unit() < Faults_.Late) {
    ++Owner_.Count.Late;
    record(Id, "reply_late");
    co_await sleep(milliseconds(Owner_.Options.LateMs));
  } else if (Source_.unit() < Faults_.Crossed) {
    co_await cross(Id, Text);
  }
  if (Life != Life_)
    co_return Answer();
  co_return reply(200, {{"id", Id}, {"answer", Text}});
}

asio::awaitable<void> Executor::cross(std::string &Id, std::string &Text) {
  if (WaitingToCross_) {
    const auto Other = std::exchange(WaitingToCross_, nullptr);
    std::swap(Other->Id, Id);
    std::swap(Other->Text, Text);
    Other->Done = true;
    Other->Swapped.notify();
    Owner_.Count.Crossed += 2;
    record(Id, "reply_crossed");
    record(Other->Id, "reply_crossed");
    co_return;
  }
  const auto Own = std::make_shared<Crossing>(Context_.get_executor());
  Own->Id = Id;
  Own->Text = Text;
  WaitingToCross_ = Own;
  asio::steady_timer Limit(Context_, milliseconds(Owner_.Options.CrossMs));
  Limit.async_wait([Own](const std::error_code &Code) {
    if (!Code)
      Own->Swapped.notify();
  });
  co_await Own->Swapped.wait();
  if (WaitingToCross_ == Own)
    WaitingToCross_.reset();
  Id = Own->Id;
  Text = Own->Text;
}

Executor::Answer Executor::result(const std::string &Id) {
  const auto It = Results_.find(Id);
  if (It == Results_.end())
    return reply(200, {{"id", Id}, {"state", "unknown"}, {"answer", ""}});
  return reply(
      200,
      {{"id", Id}, {"state", It->second.State}, {"answer", It->second.Answer}});
}

asio::awaitable<void> Executor::restartAfter(milliseconds Delay) {
  const std::uint64_t Life = Life_;
  co_await sleep(Delay);
  if (Life == Life_ && !Server_.isOpen())
    Server_.open();
}

bool Executor::control(const std::string &Operation, const json &Parameters) {
  const milliseconds Duration(Parameters.value("ms", std::int64_t{0}));
  const double Probability = Parameters.value("probability", 1.0);
  if (Operation == "die" || Operation == "restart") {
    ++Life_;
    for (const auto &[Id, Stored] : Results_)
      if (Stored.State == "running")
        record(Id, "dropped");
    Results_.clear();
    Running_ = 0;
    WaitingToCross_.reset();
    Server_.close();
    if (Operation == "restart")
      asio::co_spawn(Context_, restartAfter(Duration), asio::detached);
  } else if (Operation == "revive") {
    asio::co_spawn(Context_, restartAfter(Duration), asio::detached);
  } else if (Operation == "pause") {
    PausedUntil_ = SteadyClock::now() + Duration;
  } else if (Operation == "leaving") {
    Leaving_ = Parameters.value("on", true);
  } else if (Operation == "work") {
    WorkMs_ = static_cast<int>(Duration.count());
  } else if (Operation == "late") {
    Faults_.Late = Probability;
  } else if (Operation == "crossed") {
    Faults_.Crossed = Probability;
  } else if (Operation == "failing") {
    Faults_.Failing = Probability;
  } else if (Operation == "lost_replies") {
    Faults_.LostReplies = Probability;
  } else if (Operation == "lost_requests") {
    Faults_.LostRequests = Probability;
  } else if (Operation == "heal") {
    Faults_ = {};
    Leaving_ = false;
    PausedUntil_ = {};
    asio::co_spawn(Context_, restartAfter(milliseconds(0)), asio::detached);
  } else {
    return false;
  }
  return true;
}

json Executor::stats() const {
  return {{"ran", Ran_},
          {"running", Running_},
          {"most_running", MostRunning_},
          {"most_connections", MostConnections_}};
}

Farm::Farm(asio::io_context &Context, const Settings &Options)
    : Options(Options), Context_(Context), History_(Options.History) {
  Random Source(Options.Seed);
  const std::vector<std::uint16_t> Ports = readPorts(Options.PortsFile);
  std::size_t Index = 0;
  for (json &Instance : readInstances(Options.Config, "executor")) {
    std::uint16_t Port = portOf(Instance.value("address", ""));
    if (Index < Ports.size())
      Port = Ports[Index];
    ++Index;
    const auto Name = Instance.at("name").get<std::string>();
    Executors_[Name] = std::make_unique<Executor>(
        *this, Context, std::move(Instance), Port, Random(Source.next()));
  }
  Control_ = std::make_unique<StandInServer>(
      Context, static_cast<std::uint16_t>(Options.ControlPort),
      [this](StandInServer::Request Request) {
        return handleControl(std::move(Request));
      });
}

void Farm::run() {
  json Document = {{"control", Control_->address()},
                   {"instances", json::array()}};
  for (const auto &[Name, One] : Executors_) {
    One->open();
    Document["instances"].push_back(One->instance());
  }
  Control_->open();
  if (!Options.AddressesFile.empty())
    writeFile(Options.AddressesFile, Document.dump(1));
  std::cout << "control " << Control_->address() << std::endl;
  asio::signal_set Signals(Context_, SIGTERM, SIGINT);
  Signals.async_wait([this](const std::error_code &, int) { Context_.stop(); });
  asio::steady_timer Limit(Context_,
                           std::chrono::seconds(Options.StopAfterSeconds));
  Limit.async_wait([this](const std::error_code &) { Context_.stop(); });
  Context_.run();
  std::cout << stats().dump(1) << std::endl;
}

void Farm::violation(const std::string &Text) {
  constexpr std::size_t Kept = 20;
  if (Count.Violations.size() < Kept)
    Count.Violations.push_back(Text);
  History_.append({{"event", "violation"},
                   {"detail", Text},
                   {"wall_us", wallMicroseconds()}});
}

json Farm::stats() const {
  json ByExecutor = json::object();
  for (const auto &[Name, One] : Executors_)
    ByExecutor[Name] = One->stats();
  return {{"executors", Executors_.size()},
          {"requests", Count.Requests},
          {"ran", Count.Ran},
          {"ran_again", Count.RanAgain},
          {"refused", Count.Refused},
          {"late", Count.Late},
          {"crossed", Count.Crossed},
          {"failed", Count.Failed},
          {"lost_replies", Count.LostReplies},
          {"lost_requests", Count.LostRequests},
          {"result_queries", Count.ResultQueries},
          {"by_executor", std::move(ByExecutor)},
          {"violations",
           {{"over_slots", Count.OverSlots},
            {"over_connections", Count.OverConnections},
            {"samples", Count.Violations}}}};
}

asio::awaitable<std::optional<StandInServer::Reply>>
Farm::handleControl(StandInServer::Request Request) {
  StandInServer::Reply Reply;
  if (Request.Method == "GET" && Request.Path == "/stats") {
    Reply.Body = stats().dump();
  } else if (Request.Method == "POST" && Request.Path == "/control") {
    try {
      // {"executor": name, "rack": name or neither for all, "op", "ms", ...}
      const json Body = json::parse(Request.Body);
      const auto Operation = Body.at("op").get<std::string>();
      int Affected = 0;
      for (const auto &[Name, One] : Executors_) {
        if ((Body.contains("executor") && Body["executor"] != Name) ||
            (Body.contains("rack") && Body["rack"] != One->rack()))
          continue;
        if (One->control(Operation, Body))
          ++Affected;
        History_.append({{"executor", Name},
                         {"event", "control"},
                         {"op", Operation},
                         {"wall_us", wallMicroseconds()}});
      }
      Reply = reply(Affected > 0 ? 200 : 404, {{"affected", Affected}});
    } catch (const json::exception &Problem) {
      Reply = reply(400, {{"message", Problem.what()}});
    }
  } else {
    Reply.Status = 404;
  }
  co_return std::optional<StandInServer::Reply>(std::move(Reply));
}

} // namespace

} // namespace hickory

int main(int Count, const char **Arguments) {
  char *Config = nullptr;
  char *PortsFile = nullptr;
  char *AddressesFile = nullptr;
  char *History = nullptr;
  long Seed = 1;
  hickory::Settings Options;
  const poptOption Table[] = {
      {"config", 'c', POPT_ARG_STRING, &Config, 0,
       "JSON file with the instances", "FILE"},
      {"ports-file", 0, POPT_ARG_STRING, &PortsFile, 0,
       "ports to use, one a line", "FILE"},
      {"addresses-file", 0, POPT_ARG_STRING, &AddressesFile, 0,
       "where to write the chosen addresses", "FILE"},
      {"history", 0, POPT_ARG_STRING, &History, 0,
       "where to append what ran (JSON lines)", "FILE"},
      {"control-port", 0, POPT_ARG_INT, &Options.ControlPort, 0,
       "port for control and statistics", "PORT"},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of all random choices",
       "NUMBER"},
      {"work-ms", 0, POPT_ARG_INT, &Options.WorkMs, 0,
       "mean time to answer a request", "MS"},
      {"late-ms", 0, POPT_ARG_INT, &Options.LateMs, 0,
       "how long a late reply is held back", "MS"},
      {"cross-ms", 0, POPT_ARG_INT, &Options.CrossMs, 0,
       "how long a reply waits for another to be swapped with", "MS"},
      {"late", 0, POPT_ARG_DOUBLE, &Options.Late, 0,
       "probability of a late reply", "P"},
      {"crossed", 0, POPT_ARG_DOUBLE, &Options.Crossed, 0,
       "probability of a crossed reply", "P"},
      {"failing", 0, POPT_ARG_DOUBLE, &Options.Failing, 0,
       "probability of a failed run", "P"},
      {"lost-replies", 0, POPT_ARG_DOUBLE, &Options.LostReplies, 0,
       "probability of a lost reply", "P"},
      {"lost-requests", 0, POPT_ARG_DOUBLE, &Options.LostRequests, 0,
       "probability of a lost request", "P"},
      {"stop-after", 0, POPT_ARG_INT, &Options.StopAfterSeconds, 0,
       "longest time to run", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Parser =
      poptGetContext("standin-executors", Count, Arguments, Table, 0);
  const int Code = poptGetNextOpt(Parser);
  if (Code < -1 || Config == nullptr) {
    std::cerr << "standin-executors: "
              << (Code < -1 ? poptStrerror(Code) : "--config is missing")
              << "\n";
    return 2;
  }
  const auto Text = [](const char *Value) {
    return std::string(Value == nullptr ? "" : Value);
  };
  Options.Config = Text(Config);
  Options.PortsFile = Text(PortsFile);
  Options.AddressesFile = Text(AddressesFile);
  Options.History = Text(History);
  Options.Seed = static_cast<std::uint64_t>(Seed);
  poptFreeContext(Parser);
  try {
    asio::io_context Context;
    hickory::Farm Executors(Context, Options);
    Executors.run();
  } catch (const std::exception &Problem) {
    std::cerr << "standin-executors: " << Problem.what() << "\n";
    return 1;
  }
  return 0;
}
