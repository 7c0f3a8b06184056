// Stands in for many executors of the platform in one process, each on its own
// port of 127.0.0.1 (design page, section 10.4). Its history file is the ground
// truth of how often each request id was executed.
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
  /// Mean time to execute a request; the times are uniformly distributed
  /// between 0.5 and 1.5 times the mean.
  int WorkMs = 20;
  int LateMs = 3000;    ///< Delay of a late reply.
  int SwapWaitMs = 200; ///< How long a reply waits for one to swap with.
  // Fault probabilities per request.
  double LateReplies = 0;
  double CrossedReplies = 0;
  double FailedRuns = 0;
  double LostReplies = 0;
  double LostRequests = 0;
  int StopAfterSeconds = 3600;
};

struct ExecutorCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t LateReplies = 0;
  std::uint64_t CrossedReplies = 0;
  std::uint64_t Failed = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t LostRequests = 0;
  std::uint64_t ResultQueries = 0;
  std::uint64_t OverSlots = 0;
  std::uint64_t OverConnections = 0;
  std::uint64_t RepeatedRuns = 0; ///< Runs of an id that had already run.
  std::vector<std::string> Violations;
};

/// Fault probabilities of one executor; control operations change them.
struct FaultProbabilities {
  double LateReplies = 0;
  double CrossedReplies = 0;
  double FailedRuns = 0;
  double LostReplies = 0;
  double LostRequests = 0;
};

class ExecutorHost;

/// One executor with its results and faults.
class Executor {
public:
  Executor(ExecutorHost &Host, asio::io_context &Context, json Instance,
           std::uint16_t Port, Random RandomSource);

  void open() { Server_.open(); }
  [[nodiscard]] const std::string &name() const { return Name_; }
  [[nodiscard]] json instance() const {
    json Copy = Instance_;
    Copy["address"] = Server_.address();
    return Copy;
  }
  [[nodiscard]] std::string rack() const { return Instance_.value("rack", ""); }
  [[nodiscard]] json stats() const;
  /// Applies a control operation, which starts or ends a fault. Returns false
  /// for an unknown operation.
  bool control(const std::string &Operation, const json &Parameters);

private:
  using OptionalReply = std::optional<StandInServer::Reply>;

  /// A reply that waits to be swapped with the reply to another request.
  struct SwappableReply {
    explicit SwappableReply(const asio::any_io_executor &SignalExecutor)
        : Swapped(SignalExecutor) {}
    std::string Id;
    std::string AnswerText;
    Notifier Swapped;
    bool IsSwapped = false;
  };

  struct Result {
    std::string State;
    std::string Answer;
  };

  asio::awaitable<OptionalReply> handle(StandInServer::Request Request);
  asio::awaitable<OptionalReply> execute(json Body);
  OptionalReply queryResult(const std::string &Id);
  /// Waits up to SwapWaitMs for the reply to another request and swaps the two.
  asio::awaitable<void> swapReply(std::string &Id, std::string &AnswerText);
  asio::awaitable<void> sleep(milliseconds Delay);
  asio::awaitable<void> restartAfter(milliseconds Delay);
  void record(const std::string &Id, const std::string &Event);

  ExecutorHost &Host_;
  asio::io_context &Context_;
  json Instance_;
  std::string Name_;
  Random Random_;
  StandInServer Server_;
  FaultProbabilities Faults_;
  std::size_t Running_ = 0;
  std::size_t PeakRunning_ = 0;
  std::size_t PeakConnections_ = 0;
  std::uint64_t RunCount_ = 0;
  bool Leaving_ = false;
  int WorkMs_;
  SteadyClock::time_point PausedUntil_{};
  /// Counts the times that the executor died, so that coroutines that were
  /// started before stop.
  std::uint64_t Incarnation_ = 0;
  std::map<std::string, Result> Results_;
  std::shared_ptr<SwappableReply> ReplyToSwap_;
};

/// All executors and the history file.
class ExecutorHost {
public:
  ExecutorHost(asio::io_context &Context, const Settings &Options);
  void run();
  void append(const json &Event) { History_.append(Event); }
  void addViolation(const std::string &Text);

  ExecutorCounters Counters;
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

Executor::Executor(ExecutorHost &Host, asio::io_context &Context, json Instance,
                   std::uint16_t Port, Random RandomSource)
    : Host_(Host), Context_(Context), Instance_(std::move(Instance)),
      Name_(Instance_.at("name").get<std::string>()), Random_(RandomSource),
      Server_(Context, Port,
              [this](StandInServer::Request Request) {
                return handle(std::move(Request));
              }),
      Faults_{.LateReplies = Host.Options.LateReplies,
              .CrossedReplies = Host.Options.CrossedReplies,
              .FailedRuns = Host.Options.FailedRuns,
              .LostReplies = Host.Options.LostReplies,
              .LostRequests = Host.Options.LostRequests},
      WorkMs_(Host.Options.WorkMs) {}

asio::awaitable<void> Executor::sleep(milliseconds Delay) {
  asio::steady_timer Timer(Context_, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

void Executor::record(const std::string &Id, const std::string &Event) {
  Host_.append({{"executor", Name_},
                {"rack", rack()},
                {"id", Id},
                {"event", Event},
                {"wall_us", wallMicroseconds()}});
}

asio::awaitable<Executor::OptionalReply>
Executor::handle(StandInServer::Request Request) {
  ++Host_.Counters.Requests;
  PeakConnections_ = std::max(PeakConnections_, Server_.connectionCount());
  const std::size_t ConnectionLimit =
      Instance_.value("connections", std::size_t{64});
  if (Server_.connectionCount() > ConnectionLimit) {
    ++Host_.Counters.OverConnections;
    Host_.addViolation(fmt::format("{}: {} connections open, {} allowed", Name_,
                                   Server_.connectionCount(), ConnectionLimit));
  }
  const std::uint64_t Incarnation = Incarnation_;
  while (SteadyClock::now() < PausedUntil_) {
    asio::steady_timer Timer(Context_, PausedUntil_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (Incarnation != Incarnation_)
    co_return OptionalReply();
  const std::string ResultPath = "/v1/results/";
  if (Request.Method == "GET" && Request.Path.starts_with(ResultPath)) {
    ++Host_.Counters.ResultQueries;
    co_return queryResult(
        percentDecode(Request.Path.substr(ResultPath.size())));
  }
  if (Request.Method != "POST" || Request.Path != "/v1/execute")
    co_return reply(404, {{"message", "no such path"}});
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("id") || !Body["id"].is_string() ||
      !Body.contains("payload") || !Body["payload"].is_string())
    co_return reply(400, {{"message", "id and payload must be strings"}});
  co_return co_await execute(std::move(Body));
}

asio::awaitable<Executor::OptionalReply> Executor::execute(json Body) {
  const std::uint64_t Incarnation = Incarnation_;
  std::string Id = Body["id"].get<std::string>();
  if (Leaving_) {
    ++Host_.Counters.Rejected;
    co_return reply(503, {{"state", "leaving"}});
  }
  if (Random_.unit() < Faults_.LostRequests) {
    ++Host_.Counters.LostRequests;
    record(Id, "request_lost");
    co_return OptionalReply();
  }
  const std::size_t Slots = Instance_.value("slots", std::size_t{8});
  if (Running_ >= Slots) {
    ++Host_.Counters.OverSlots;
    ++Host_.Counters.Rejected;
    Host_.addViolation(
        fmt::format("{}: request {} exceeds {} slots", Name_, Id, Slots));
    StandInServer::Reply Busy = reply(503, {{"state", "busy"}});
    Busy.RetryAfterSeconds = 1;
    co_return Busy;
  }
  ++Running_;
  PeakRunning_ = std::max(PeakRunning_, Running_);
  ++Host_.Counters.Runs;
  ++RunCount_;
  if (++Host_.RunsById[Id] > 1)
    ++Host_.Counters.RepeatedRuns;
  record(Id, "started");
  Results_[Id] = {"running", ""};
  const auto MeanWorkMs = static_cast<std::uint64_t>(std::max(WorkMs_, 1));
  co_await sleep(milliseconds(MeanWorkMs / 2 + Random_.below(MeanWorkMs + 1)));
  if (Incarnation != Incarnation_)
    co_return OptionalReply();
  --Running_;
  if (Random_.unit() < Faults_.FailedRuns) {
    ++Host_.Counters.Failed;
    Results_.erase(Id);
    record(Id, "failed");
    co_return reply(500, {{"id", Id}, {"message", "the run failed"}});
  }
  std::string AnswerText =
      "answer:" + Body["payload"].get<std::string>() + ":" + Id;
  Results_[Id] = {"done", AnswerText};
  record(Id, "done");
  if (Random_.unit() < Faults_.LostReplies) {
    ++Host_.Counters.LostReplies;
    record(Id, "reply_lost");
    co_return OptionalReply();
  }
  if (Random_.unit() < Faults_.LateReplies) {
    ++Host_.Counters.LateReplies;
    record(Id, "reply_late");
    co_await sleep(milliseconds(Host_.Options.LateMs));
  } else if (Random_.unit() < Faults_.CrossedReplies) {
    co_await swapReply(Id, AnswerText);
  }
  if (Incarnation != Incarnation_)
    co_return OptionalReply();
  co_return reply(200, {{"id", Id}, {"answer", AnswerText}});
}

asio::awaitable<void> Executor::swapReply(std::string &Id,
                                          std::string &AnswerText) {
  if (ReplyToSwap_) {
    const auto OtherReply = std::exchange(ReplyToSwap_, nullptr);
    std::swap(OtherReply->Id, Id);
    std::swap(OtherReply->AnswerText, AnswerText);
    OtherReply->IsSwapped = true;
    OtherReply->Swapped.notify();
    Host_.Counters.CrossedReplies += 2;
    record(Id, "reply_crossed");
    record(OtherReply->Id, "reply_crossed");
    co_return;
  }
  const auto OwnReply =
      std::make_shared<SwappableReply>(Context_.get_executor());
  OwnReply->Id = Id;
  OwnReply->AnswerText = AnswerText;
  ReplyToSwap_ = OwnReply;
  asio::steady_timer Limit(Context_, milliseconds(Host_.Options.SwapWaitMs));
  Limit.async_wait([OwnReply](const std::error_code &Code) {
    if (!Code)
      OwnReply->Swapped.notify();
  });
  co_await OwnReply->Swapped.wait();
  if (ReplyToSwap_ == OwnReply)
    ReplyToSwap_.reset();
  Id = OwnReply->Id;
  AnswerText = OwnReply->AnswerText;
}

Executor::OptionalReply Executor::queryResult(const std::string &Id) {
  const auto It = Results_.find(Id);
  if (It == Results_.end())
    return reply(200, {{"id", Id}, {"state", "unknown"}, {"answer", ""}});
  return reply(
      200,
      {{"id", Id}, {"state", It->second.State}, {"answer", It->second.Answer}});
}

asio::awaitable<void> Executor::restartAfter(milliseconds Delay) {
  const std::uint64_t Incarnation = Incarnation_;
  co_await sleep(Delay);
  if (Incarnation == Incarnation_ && !Server_.isOpen())
    Server_.open();
}

bool Executor::control(const std::string &Operation, const json &Parameters) {
  const milliseconds Duration(Parameters.value("ms", std::int64_t{0}));
  const double Probability = Parameters.value("probability", 1.0);
  if (Operation == "die" || Operation == "restart") {
    ++Incarnation_;
    for (const auto &[Id, Stored] : Results_)
      if (Stored.State == "running")
        record(Id, "dropped");
    Results_.clear();
    Running_ = 0;
    ReplyToSwap_.reset();
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
    Faults_.LateReplies = Probability;
  } else if (Operation == "crossed") {
    Faults_.CrossedReplies = Probability;
  } else if (Operation == "failing") {
    Faults_.FailedRuns = Probability;
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
  return {{"ran", RunCount_},
          {"running", Running_},
          {"most_running", PeakRunning_},
          {"most_connections", PeakConnections_}};
}

ExecutorHost::ExecutorHost(asio::io_context &Context, const Settings &Options)
    : Options(Options), Context_(Context), History_(Options.History) {
  Random RandomSource(Options.Seed);
  const std::vector<std::uint16_t> Ports = readPorts(Options.PortsFile);
  std::size_t Index = 0;
  for (json &Instance : readInstances(Options.Config, "executor")) {
    std::uint16_t Port = portOf(Instance.value("address", ""));
    if (Index < Ports.size())
      Port = Ports[Index];
    ++Index;
    const auto Name = Instance.at("name").get<std::string>();
    Executors_[Name] = std::make_unique<Executor>(
        *this, Context, std::move(Instance), Port, Random(RandomSource.next()));
  }
  Control_ = std::make_unique<StandInServer>(
      Context, static_cast<std::uint16_t>(Options.ControlPort),
      [this](StandInServer::Request Request) {
        return handleControl(std::move(Request));
      });
}

void ExecutorHost::run() {
  json Document = {{"control", Control_->address()},
                   {"instances", json::array()}};
  for (const auto &[Name, Executor] : Executors_) {
    Executor->open();
    Document["instances"].push_back(Executor->instance());
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

void ExecutorHost::addViolation(const std::string &Text) {
  constexpr std::size_t MaximumSamples = 20;
  if (Counters.Violations.size() < MaximumSamples)
    Counters.Violations.push_back(Text);
  History_.append({{"event", "violation"},
                   {"detail", Text},
                   {"wall_us", wallMicroseconds()}});
}

json ExecutorHost::stats() const {
  json ByExecutor = json::object();
  for (const auto &[Name, Executor] : Executors_)
    ByExecutor[Name] = Executor->stats();
  return {{"executors", Executors_.size()},
          {"requests", Counters.Requests},
          {"ran", Counters.Runs},
          {"ran_again", Counters.RepeatedRuns},
          {"refused", Counters.Rejected},
          {"late", Counters.LateReplies},
          {"crossed", Counters.CrossedReplies},
          {"failed", Counters.Failed},
          {"lost_replies", Counters.LostReplies},
          {"lost_requests", Counters.LostRequests},
          {"result_queries", Counters.ResultQueries},
          {"by_executor", std::move(ByExecutor)},
          {"violations",
           {{"over_slots", Counters.OverSlots},
            {"over_connections", Counters.OverConnections},
            {"samples", Counters.Violations}}}};
}

asio::awaitable<std::optional<StandInServer::Reply>>
ExecutorHost::handleControl(StandInServer::Request Request) {
  StandInServer::Reply Reply;
  if (Request.Method == "GET" && Request.Path == "/stats") {
    Reply.Body = stats().dump();
  } else if (Request.Method == "POST" && Request.Path == "/control") {
    try {
      // {"op", "ms", ...} with "executor" or "rack" to select by name; without
      // either, applies to all executors.
      const json Body = json::parse(Request.Body);
      const auto Operation = Body.at("op").get<std::string>();
      int Affected = 0;
      for (const auto &[Name, Executor] : Executors_) {
        if ((Body.contains("executor") && Body["executor"] != Name) ||
            (Body.contains("rack") && Body["rack"] != Executor->rack()))
          continue;
        if (Executor->control(Operation, Body))
          ++Affected;
        History_.append({{"executor", Name},
                         {"event", "control"},
                         {"op", Operation},
                         {"wall_us", wallMicroseconds()}});
      }
      Reply = reply(Affected > 0 ? 200 : 404, {{"affected", Affected}});
    } catch (const json::exception &Exception) {
      Reply = reply(400, {{"message", Exception.what()}});
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
       "file with the ports to use, one per line", "FILE"},
      {"addresses-file", 0, POPT_ARG_STRING, &AddressesFile, 0,
       "file that receives the addresses of the executors", "FILE"},
      {"history", 0, POPT_ARG_STRING, &History, 0,
       "file to which events of requests are appended (JSON lines)", "FILE"},
      {"control-port", 0, POPT_ARG_INT, &Options.ControlPort, 0,
       "port for control and statistics", "PORT"},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of all random choices",
       "NUMBER"},
      {"work-ms", 0, POPT_ARG_INT, &Options.WorkMs, 0,
       "mean time to execute a request", "MS"},
      {"late-ms", 0, POPT_ARG_INT, &Options.LateMs, 0, "delay of a late reply",
       "MS"},
      {"cross-ms", 0, POPT_ARG_INT, &Options.SwapWaitMs, 0,
       "how long a crossed reply waits for another to swap with", "MS"},
      {"late", 0, POPT_ARG_DOUBLE, &Options.LateReplies, 0,
       "probability of a late reply", "P"},
      {"crossed", 0, POPT_ARG_DOUBLE, &Options.CrossedReplies, 0,
       "probability that a reply is swapped with another one", "P"},
      {"failing", 0, POPT_ARG_DOUBLE, &Options.FailedRuns, 0,
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
    hickory::ExecutorHost Executors(Context, Options);
    Executors.run();
  } catch (const std::exception &Exception) {
    std::cerr << "standin-executors: " << Exception.what() << "\n";
    return 1;
  }
  return 0;
}
