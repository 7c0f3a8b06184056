// Sends a mix of all kinds of work to a deployment, retries with the same key
// when a reply is missing, and records every call and reply in a history for
// history-checker. Prints one JSON summary line at the end.
#include "Base/AsioTimerService.h"
#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Http/CurlHttpClient.h"
#include "Http/HttpServer.h"
#include "Support/ToolProgram.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <set>

namespace hickory {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// How long a client retries before it gives up on a key.
constexpr std::chrono::seconds RetryTimeLimit{60};
constexpr milliseconds RetryInterval{250};
constexpr milliseconds JobPollInterval{500};
constexpr std::chrono::seconds CallTimeout{10};
/// How long a client waits for its jobs after the end of the load.
constexpr std::chrono::seconds JobCompletionLimit{60};
constexpr milliseconds ProbeInterval{250};

/// Address of a gateway, and the domain or slot that it belongs to.
struct Gateway {
  std::string Domain;
  std::string Address;
};

struct LoadOptions {
  std::vector<Gateway> Gateways;
  std::string Member;
  /// Batch, urgent, gang, service, request, non-repeatable request.
  std::vector<std::string> Classes;
  std::chrono::seconds Duration{20};
  double Rate = 1; ///< Multiplies all arrival rates.
  std::uint64_t Seed = 1;
  std::string HistoryFile;
  std::vector<Gateway> Probes; ///< Slot and direct address of each instance.
  std::string ProbeFile;
};

struct ArrivalRate {
  const char *Kind;
  double PerSecond;
};

class LoadGenerator {
public:
  LoadGenerator(asio::io_context &Context, LoadOptions Options)
      : Context_(Context), Options_(std::move(Options)), Timers_(Context),
        Client_(Context,
                {.MaximumConnections = 512, .MaximumConnectionsPerHost = 256}),
        Random_(Options_.Seed), History_(Options_.HistoryFile, std::ios::app),
        ProbeHistory_(Options_.ProbeFile, std::ios::app),
        RunName_(fmt::format("{:x}-{:x}", Options_.Seed,
                             Timers_.wallNow().time_since_epoch().count())) {}

  void start() { asio::co_spawn(Context_, run(), asio::detached); }
  [[nodiscard]] bool succeeded() const { return Unaccounted_ == 0; }

private:
  asio::awaitable<void> run() {
    const Clock::time_point End = Timers_.now() + Options_.Duration;
    constexpr int Services = 6;
    for (int I = 0; I < Services; ++I)
      spawn(runService(nextKey("service"), End));
    const ArrivalRate Rates[] = {{"request", 60},
                                 {"once", 12},
                                 {"batch", 8},
                                 {"urgent", 3},
                                 {"gang", 0.7}};
    for (const ArrivalRate &Arrival : Rates)
      spawn(generateArrivals(Arrival, End));
    for (const Gateway &Instance : Options_.Probes)
      asio::co_spawn(Context_, recordProbes(Instance), asio::detached);
    co_await Timers_.sleepFor(Options_.Duration);
    while (ActiveCount_ > 0)
      co_await Timers_.sleepFor(milliseconds(20));
    printSummary();
    Context_.stop();
  }

  /// Starts a coroutine that run() waits for.
  void spawn(asio::awaitable<void> Work) {
    ++ActiveCount_;
    asio::co_spawn(Context_, std::move(Work),
                   [this](const std::exception_ptr &Failure) {
                     CHECK(Failure == nullptr);
                     --ActiveCount_;
                   });
  }

  asio::awaitable<void> generateArrivals(ArrivalRate Arrival,
                                         Clock::time_point End) {
    const std::string Kind = Arrival.Kind;
    while (true) {
      const double IntervalSeconds =
          -std::log(1 - Random_.unit()) / (Arrival.PerSecond * Options_.Rate);
      co_await Timers_.sleepFor(std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(IntervalSeconds)));
      if (Timers_.now() >= End)
        co_return;
      if (Kind == "request" || Kind == "once")
        spawn(runRequest(nextKey(Kind), Kind));
      else
        spawn(runJob(nextKey(Kind), Kind));
    }
  }

  std::string nextKey(const std::string &Kind) {
    const Gateway &Home = randomGateway();
    return fmt::format("{}/{}-{}-{}", Home.Domain, Kind, RunName_, NextKey_++);
  }

  const Gateway &randomGateway() {
    return Options_.Gateways[Random_.below(Options_.Gateways.size())];
  }

  /// Returns a gateway in the domain of the key for the first attempt and any
  /// gateway for retries.
  const Gateway &gatewayFor(const std::string &Key, int Attempt) {
    if (Attempt > 0)
      return randomGateway();
    const std::string Domain = Key.substr(0, Key.find('/'));
    std::vector<const Gateway *> LocalGateways;
    for (const Gateway &Candidate : Options_.Gateways)
      if (Candidate.Domain == Domain)
        LocalGateways.push_back(&Candidate);
    return *LocalGateways[Random_.below(LocalGateways.size())];
  }

  void record(json Event) {
    Event["t_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                        Timers_.wallNow().time_since_epoch())
                        .count();
    if (History_.is_open())
      History_ << Event.dump() << '\n' << std::flush;
  }

  asio::awaitable<Result<HttpClientResponse>>
  call(std::string Method, std::string Address, std::string Path,
       std::string Body, std::string Key, std::string Kind) {
    const std::uint64_t Call = NextCall_++;
    record({{"op", "call"},
            {"call", Call},
            {"method", Method},
            {"key", Key},
            {"kind", Kind},
            {"gateway", Address}});
    HttpClientRequest Request{.Method = std::move(Method),
                              .Url = "http://" + Address + Path,
                              .Body = std::move(Body),
                              .Timeout = CallTimeout};
    Result<HttpClientResponse> Reply =
        co_await Client_.send(std::move(Request));
    json Event = {{"op", "return"},
                  {"call", Call},
                  {"key", Key},
                  {"kind", Kind},
                  {"gateway", Address}};
    if (Reply) {
      Event["status"] = Reply->Status;
      const json Document = json::parse(Reply->Body, nullptr, false);
      if (Document.is_object())
        Event["body"] = Document;
    } else {
      Event["error"] = static_cast<int>(Reply.error().Code);
      Event["message"] = Reply.error().Message;
    }
    record(std::move(Event));
    co_return Reply;
  }

  /// Sends the body until there is a definite reply or the client gives up.
  /// Returns the outcome, which is empty if the client gave up.
  asio::awaitable<std::string> submit(std::string Path, json Body,
                                      std::string Key, std::string Kind) {
    const Clock::time_point Start = Timers_.now();
    for (int Attempt = 0; Timers_.now() - Start < RetryTimeLimit; ++Attempt) {
      const std::string Address = gatewayFor(Key, Attempt).Address;
      auto Reply = co_await call("POST", Address, Path, Body.dump(), Key, Kind);
      if (Reply) {
        const json Document = json::parse(Reply->Body, nullptr, false);
        const std::string Outcome =
            Document.is_object() ? Document.value("outcome", "") : "";
        if (Reply->Status == 200 || Reply->Status == 202) {
          ReplySeconds_[Kind].add(
              std::chrono::duration<double>(Timers_.now() - Start).count());
          co_return Outcome;
        }
        if (Reply->Status >= 400 && Reply->Status < 429 && Reply->Status != 404)
          co_return "refused";
        // A non-repeatable request whose recorded outcome is "not run" or
        // "unknown" keeps that outcome.
        if (Kind == "once" && Attempt > 20 &&
            (Outcome == "not_run" || Outcome == "unknown"))
          co_return Outcome;
      }
      co_await Timers_.sleepFor(RetryInterval);
    }
    co_return "";
  }

  asio::awaitable<void> runRequest(std::string Key, std::string Kind) {
    const bool IsNonRepeatable = Kind == "once";
    const json Body = {{"key", Key},
                       {"member", Options_.Member},
                       {"class", Options_.Classes[IsNonRepeatable ? 5 : 4]},
                       {"payload", "payload of " + Key},
                       {"timeout_ms", 8000}};
    const std::string Outcome =
        co_await submit("/v1/requests", Body, Key, Kind);
    countOutcome(Kind, Outcome);
  }

  json makeJobBody(const std::string &Key, const std::string &Kind) {
    json Body = {{"key", Key}, {"member", Options_.Member}};
    if (Kind == "urgent") {
      Body["class"] = Options_.Classes[1];
      Body["tasks"] = 1;
      Body["cpus_milli"] = 1000;
      Body["memory_mb"] = 1024;
      Body["run_ms"] = 200 + Random_.below(600);
    } else if (Kind == "gang") {
      Body["class"] = Options_.Classes[2];
      Body["tasks"] = 3 + Random_.below(6);
      Body["cpus_milli"] = 2000;
      Body["memory_mb"] = 2048;
      Body["run_ms"] = 1000 + Random_.below(2000);
    } else if (Kind == "service") {
      Body["class"] = Options_.Classes[3];
      Body["tasks"] = 2;
      Body["cpus_milli"] = 500;
      Body["memory_mb"] = 512;
      Body["run_ms"] = 0;
    } else {
      Body["class"] = Options_.Classes[0];
      Body["tasks"] = 1 + Random_.below(4);
      Body["cpus_milli"] = 500 + 500 * Random_.below(8);
      Body["memory_mb"] = 512 + 512 * Random_.below(8);
      Body["run_ms"] = 500 + Random_.below(4000);
    }
    return Body;
  }

  asio::awaitable<void> runJob(std::string Key, std::string Kind) {
    const json Body = makeJobBody(Key, Kind);
    const std::string SubmitOutcome =
        co_await submit("/v1/jobs", Body, Key, Kind);
    if (SubmitOutcome == "refused" || SubmitOutcome.empty()) {
      countOutcome(Kind, SubmitOutcome);
      co_return;
    }
    constexpr std::uint64_t CancelOneIn = 15;
    if (Kind == "batch" && Random_.below(CancelOneIn) == 0) {
      co_await Timers_.sleepFor(milliseconds(Random_.below(1500)));
      co_await cancel(Key, Kind);
    }
    const std::string Outcome = co_await waitForJob(Key, Kind);
    countOutcome(Kind, Outcome);
  }

  asio::awaitable<void> cancel(std::string Key, std::string Kind) {
    const Clock::time_point Start = Timers_.now();
    while (Timers_.now() - Start < RetryTimeLimit) {
      const std::string Address = randomGateway().Address;
      const json Body = {{"keys", {Key}}};
      auto Reply = co_await call("POST", Address, "/v1/cancel", Body.dump(),
                                 Key, "cancel-" + Kind);
      if (Reply && Reply->Status == 200)
        co_return;
      co_await Timers_.sleepFor(RetryInterval);
    }
  }

  /// Polls the configuration version of an instance and records it until the
  /// end of the run.
  asio::awaitable<void> recordProbes(Gateway Instance) {
    while (true) {
      co_await Timers_.sleepFor(ProbeInterval);
      HttpClientRequest Request{.Url =
                                    "http://" + Instance.Address + "/v1/status",
                                .Timeout = milliseconds(1000)};
      const auto Reply = co_await Client_.send(std::move(Request));
      if (!Reply || Reply->Status != 200)
        continue;
      const json Status = json::parse(Reply->Body, nullptr, false);
      if (!Status.is_object())
        continue;
      const auto Now = std::chrono::duration_cast<std::chrono::microseconds>(
          Timers_.wallNow().time_since_epoch());
      ProbeHistory_ << json{{"t_us", Now.count()},
                            {"slot", Instance.Domain},
                            {"ready", Status["ready"]},
                            {"config_version", Status["config_version"]}}
                           .dump()
                    << '\n'
                    << std::flush;
    }
  }

  asio::awaitable<std::string> waitForJob(std::string Key, std::string Kind) {
    const Clock::time_point Start = Timers_.now();
    while (Timers_.now() - Start < JobCompletionLimit + Options_.Duration) {
      co_await Timers_.sleepFor(JobPollInterval);
      const std::string Address = gatewayFor(Key, 1).Address;
      auto Reply =
          co_await call("GET", Address, "/v1/jobs/" + percentEncode(Key), "",
                        Key, "poll-" + Kind);
      if (!Reply || Reply->Status != 200)
        continue;
      const json Document = json::parse(Reply->Body, nullptr, false);
      const std::string Outcome =
          Document.is_object() ? Document.value("outcome", "") : "";
      if (!Outcome.empty() && Outcome != "pending")
        co_return Outcome;
    }
    co_return "";
  }

  asio::awaitable<void> runService(std::string Key, Clock::time_point End) {
    const std::string SubmitOutcome = co_await submit(
        "/v1/jobs", makeJobBody(Key, "service"), Key, "service");
    if (SubmitOutcome == "refused" || SubmitOutcome.empty()) {
      countOutcome("service", SubmitOutcome);
      co_return;
    }
    if (Timers_.now() < End)
      co_await Timers_.sleepFor(End - Timers_.now());
    co_await cancel(Key, "service");
    const std::string Outcome = co_await waitForJob(Key, "service");
    countOutcome("service", Outcome);
  }

  void countOutcome(const std::string &Kind, const std::string &Outcome) {
    const std::string OutcomeName = Outcome.empty() ? "unaccounted" : Outcome;
    ++Outcomes_[Kind][OutcomeName];
    if (Outcome.empty())
      ++Unaccounted_;
  }

  void printSummary() {
    json ReplyTimes = json::object();
    for (const auto &[Kind, Values] : ReplySeconds_)
      ReplyTimes[Kind] = {{"count", Values.count()},
                          {"p50_s", Values.percentile(0)},
                          {"p99_s", Values.percentile(1)},
                          {"max_s", Values.maximum()}};
    std::cout << json{{"seed", Options_.Seed},
                      {"outcomes", Outcomes_},
                      {"answer_seconds", ReplyTimes},
                      {"unaccounted", Unaccounted_}}
                     .dump()
              << std::endl;
  }

  asio::io_context &Context_;
  LoadOptions Options_;
  AsioTimerService Timers_;
  CurlHttpClient Client_;
  Random Random_;
  std::ofstream History_;
  std::ofstream ProbeHistory_;
  std::string RunName_;
  std::uint64_t NextKey_ = 0;
  std::uint64_t NextCall_ = 0;
  std::uint64_t Unaccounted_ = 0;
  int ActiveCount_ = 0;
  std::map<std::string, std::map<std::string, std::uint64_t>> Outcomes_;
  std::map<std::string, Distribution> ReplySeconds_;
};

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

/// Parses a list of NAME=ip:port separated by commas.
std::vector<Gateway> parseGateways(const std::string &Text) {
  std::vector<Gateway> Parsed;
  for (const std::string &Pair : split(Text)) {
    const std::size_t Equals = Pair.find('=');
    Parsed.push_back({Pair.substr(0, Equals), Pair.substr(Equals + 1)});
  }
  return Parsed;
}

} // namespace
} // namespace hickory

int main(int Count, const char **Arguments) {
  using namespace hickory;
  char *Gateways = nullptr;
  char *Member = nullptr;
  char *Classes = nullptr;
  char *History = nullptr;
  char *Probes = nullptr;
  char *ProbeFile = nullptr;
  int Seconds = 20;
  double Rate = 1;
  long Seed = 1;
  const poptOption Table[] = {
      {"gateways", 0, POPT_ARG_STRING, &Gateways, 0,
       "DOMAIN=ip:port of each instance, separated by commas", "LIST"},
      {"member", 0, POPT_ARG_STRING, &Member, 0,
       "member to which the work is charged", "NAME"},
      {"classes", 0, POPT_ARG_STRING, &Classes, 0,
       "job classes: batch,urgent,gang,service,request,non-repeatable", "LIST"},
      {"history", 0, POPT_ARG_STRING, &History, 0,
       "file to which calls and replies are recorded", "FILE"},
      {"probes", 0, POPT_ARG_STRING, &Probes, 0,
       "SLOT=ip:port of the instances to poll, separated by commas", "LIST"},
      {"probe-history", 0, POPT_ARG_STRING, &ProbeFile, 0,
       "file to which the polled versions are recorded", "FILE"},
      {"seconds", 0, POPT_ARG_INT, &Seconds, 0, "duration of the load", "N"},
      {"rate", 0, POPT_ARG_DOUBLE, &Rate, 0,
       "factor that multiplies all arrival rates", "X"},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of the load", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  constexpr std::size_t ClassCount = 6;
  if (Gateways == nullptr || Member == nullptr || Classes == nullptr ||
      split(Classes).size() != ClassCount) {
    std::cerr
        << "--gateways, --member and six --classes are required; see --help\n";
    return 2;
  }
  LoadOptions Options{.Gateways = parseGateways(Gateways),
                      .Member = Member,
                      .Classes = split(Classes),
                      .Duration = std::chrono::seconds(Seconds),
                      .Rate = Rate,
                      .Seed = static_cast<std::uint64_t>(Seed),
                      .HistoryFile = History == nullptr ? "" : History,
                      .Probes = parseGateways(Probes == nullptr ? "" : Probes),
                      .ProbeFile = ProbeFile == nullptr ? "" : ProbeFile};
  asio::io_context Context(1);
  LoadGenerator Generator(Context, std::move(Options));
  Generator.start();
  Context.run();
  return Generator.succeeded() ? 0 : 1;
}
