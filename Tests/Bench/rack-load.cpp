// Places tasks and executes requests through one RackManager over real HTTP
// against standin-workers and standin-executors, and reports rate, latency and
// processor time. With --takeover-every the owner is replaced periodically
// while calls are in progress.
#include "Backends/RackManager.h"

#include "Base/AsioTimerService.h"
#include "Base/Random.h"
#include "Fakes/FakeOwnershipView.h"
#include "Http/CurlHttpClient.h"
#include "StandIns/StandInSupport.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <ctime>
#include <fmt/format.h>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <set>

namespace hickory {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct Settings {
  std::string WorkersFile;
  std::string ExecutorsFile;
  int Seconds = 10;
  int StartsPerSecond = 50;
  int ExecutesPerSecond = 0;
  int RunMs = 1000;
  int CpusMilli = 1000;
  int TakeoverEverySeconds = 0;
  long Seed = 1;
};

/// Counts task ends by outcome and acknowledges them immediately.
class CountingTaskEndSink final : public TaskEndSink {
public:
  std::map<std::string, std::uint64_t> ByOutcome;
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended) override {
    ++ByOutcome[records::OutcomeKind_Name(Ended.outcome())];
    co_return true;
  }
};

/// An owner of all racks in the address files.
struct Owner {
  FakeOwnershipView Ownership;
  InstanceList Upstreams;
  RackManager Manager;

  Owner(asio::io_context &Context, TimerService &Timers, HttpClient &Client,
        TaskEndSink &Ends, Metrics &Counters, EventLog &Events,
        std::uint64_t Incarnation, const std::string &Document)
      : Ownership(Timers),
        Upstreams({.Url = "", .FailureDomain = "bench"}, Context.get_executor(),
                  Timers, Client, Ownership, Counters, Events),
        Manager({}, Context.get_executor(), Timers, Client, Ownership,
                Upstreams, Ends, Counters, Events) {
    Ownership.Incarnation = Incarnation;
    const auto Applied = Upstreams.apply(Document);
    CHECK(Applied) << Applied.error().Message;
    asio::co_spawn(Context, Manager.run(), asio::detached);
  }
};

class RackLoadBench {
public:
  explicit RackLoadBench(Settings Options)
      : Options_(std::move(Options)), Timers_(Context_), Client_(Context_),
        Events_(Timers_, {}),
        Random_(static_cast<std::uint64_t>(Options_.Seed)) {
    json Instances = json::array();
    for (const std::string &File :
         {Options_.WorkersFile, Options_.ExecutorsFile}) {
      if (File.empty())
        continue;
      const json Parsed = json::parse(readFile(File));
      for (json InstanceEntry : Parsed.at("instances")) {
        InstanceEntry["failure_domain"] = "bench";
        (InstanceEntry["kind"] == "worker" ? WorkerRacks_ : ExecutorRacks_)
            .insert(InstanceEntry["rack"].get<std::string>());
        Instances.push_back(std::move(InstanceEntry));
      }
    }
    InstanceList_ = json{{"version", 1}, {"instances", Instances}}.dump();
  }

  void run() {
    asio::co_spawn(Context_, drive(), asio::detached);
    const std::clock_t StartedAt = std::clock();
    Context_.run();
    report(static_cast<double>(std::clock() - StartedAt) / CLOCKS_PER_SEC);
  }

private:
  void replaceOwner() {
    if (!Owners_.empty()) {
      for (const std::string &Shard : current().Ownership.heldShards())
        current().Ownership.lose(Shard);
    }
    Owners_.push_back(
        std::make_unique<Owner>(Context_, Timers_, Client_, EndSink_, Counters_,
                                Events_, Owners_.size() + 1, InstanceList_));
    // Posted, because the rack manager subscribes to ownership only when its
    // run() starts.
    asio::post(Context_, [this, NewOwner = Owners_.back().get()] {
      for (const auto *Racks : {&WorkerRacks_, &ExecutorRacks_})
        for (const std::string &Rack : *Racks)
          NewOwner->Ownership.acquire(rackShard(Rack), Owners_.size() > 1);
    });
  }
  Owner &current() { return *Owners_.back(); }

  asio::awaitable<void> drive() {
    replaceOwner();
    co_await Timers_.sleepFor(milliseconds(500));
    const auto StartedAt = Timers_.now();
    const auto End = StartedAt + std::chrono::seconds(Options_.Seconds);
    auto NextTakeover =
        Options_.TakeoverEverySeconds > 0
            ? StartedAt + std::chrono::seconds(Options_.TakeoverEverySeconds)
            : Clock::time_point::max();
    std::int64_t Placed = 0;
    std::int64_t Executed = 0;
    while (Timers_.now() < End) {
      const double Elapsed =
          std::chrono::duration<double>(Timers_.now() - StartedAt).count();
      for (; static_cast<double>(Placed) < Elapsed * Options_.StartsPerSecond;
           ++Placed)
        asio::co_spawn(Context_, placeOne(Placed), asio::detached);
      for (;
           static_cast<double>(Executed) < Elapsed * Options_.ExecutesPerSecond;
           ++Executed)
        asio::co_spawn(Context_, executeOne(Executed), asio::detached);
      if (Timers_.now() >= NextTakeover) {
        replaceOwner();
        NextTakeover += std::chrono::seconds(Options_.TakeoverEverySeconds);
      }
      co_await Timers_.sleepFor(milliseconds(5));
    }
    co_await Timers_.sleepFor(milliseconds(Options_.RunMs + 6000));
    for (const auto &EachOwner : Owners_)
      EachOwner->Manager.stop();
    co_await Timers_.sleepFor(milliseconds(100));
    Context_.stop();
  }

  std::string pickRack(const std::set<std::string> &Racks) {
    auto It = Racks.begin();
    std::advance(It, static_cast<std::ptrdiff_t>(Random_.below(Racks.size())));
    return *It;
  }

  asio::awaitable<void> placeOne(std::int64_t Number) {
    if (WorkerRacks_.empty())
      co_return;
    Owner &Target = current();
    peer::PlaceRequest Request;
    Request.set_key(fmt::format("bench-{}-{}", Options_.Seed, Number));
    Request.set_attempt(1);
    Request.set_rack(pickRack(WorkerRacks_));
    Request.set_target_incarnation(Target.Ownership.Incarnation);
    Request.mutable_resources()->set_cpus_milli(
        static_cast<std::uint64_t>(Options_.CpusMilli));
    Request.mutable_resources()->set_memory_mb(64);
    Request.set_run_ms(Options_.RunMs);
    const auto StartedAt = Timers_.now();
    const auto Reply = co_await Target.Manager.place(std::move(Request));
    ++PlacesByStatus_[peer::Status_Name(Reply.status())];
    if (Reply.status() == peer::STATUS_OK)
      PlaceMs_.push_back(millisecondsSince(StartedAt));
  }

  asio::awaitable<void> executeOne(std::int64_t Number) {
    if (ExecutorRacks_.empty())
      co_return;
    Owner &Target = current();
    peer::ExecuteRequest Request;
    Request.set_id(fmt::format("bench-{}-{}#1", Options_.Seed, Number));
    Request.set_rack(pickRack(ExecutorRacks_));
    Request.set_target_incarnation(Target.Ownership.Incarnation);
    Request.set_payload(fmt::format("payload {}", Number));
    Request.set_timeout_ms(2000);
    Request.set_non_repeatable(Number % 4 == 0);
    const std::string ExpectedAnswer =
        "answer:" + Request.payload() + ":" + Request.id();
    const auto StartedAt = Timers_.now();
    const auto Reply = co_await Target.Manager.execute(std::move(Request));
    ++ExecutesByStatus_[peer::Status_Name(Reply.status())];
    if (Reply.status() != peer::STATUS_OK)
      co_return;
    ExecuteMs_.push_back(millisecondsSince(StartedAt));
    WrongAnswers_ += Reply.answer() == ExpectedAnswer ? 0 : 1;
  }

  [[nodiscard]] double millisecondsSince(Clock::time_point StartedAt) const {
    return std::chrono::duration<double, std::milli>(Timers_.now() - StartedAt)
        .count();
  }

  static std::string percentiles(std::vector<double> Values) {
    if (Values.empty())
      return "none";
    std::sort(Values.begin(), Values.end());
    const auto ValueAt = [&](double Fraction) {
      return Values[static_cast<std::size_t>(
          Fraction * static_cast<double>(Values.size() - 1))];
    };
    return fmt::format("p50 {:.2f} ms, p99 {:.2f} ms, maximum {:.2f} ms",
                       ValueAt(0.5), ValueAt(0.99), Values.back());
  }

  void report(double CpuSeconds) const {
    std::cout << fmt::format("seconds {}  processor time {:.2f} s\n",
                             Options_.Seconds, CpuSeconds);
    const auto Print = [](const std::string &Title, const auto &Counts) {
      std::cout << Title;
      for (const auto &[Name, Count] : Counts)
        std::cout << "  " << Name << " " << Count;
      std::cout << "\n";
    };
    Print("place:   ", PlacesByStatus_);
    std::cout << "  " << percentiles(PlaceMs_) << "\n";
    Print("ends:    ", EndSink_.ByOutcome);
    Print("execute: ", ExecutesByStatus_);
    std::cout << "  " << percentiles(ExecuteMs_) << "\n";
    std::cout << fmt::format(
        "  wrong answers {}  late {}  crossed {}  retries {}\n", WrongAnswers_,
        Counters_.counterValue("hickory_answers_late_total"),
        Counters_.counterValue("hickory_answers_crossed_total"),
        Counters_.counterValue("hickory_execute_retries_total"));
    std::cout << fmt::format(
        "worker exchanges {}  failed {}  body bytes {}\n",
        Counters_.counterValue("hickory_worker_exchanges_total"),
        Counters_.counterValue("hickory_worker_exchange_failures_total"),
        Counters_.counterValue("hickory_worker_bytes_total"));
  }

  Settings Options_;
  asio::io_context Context_;
  AsioTimerService Timers_;
  CurlHttpClient Client_;
  Metrics Counters_;
  EventLog Events_;
  Random Random_;
  CountingTaskEndSink EndSink_;
  std::string InstanceList_;
  std::set<std::string> WorkerRacks_;
  std::set<std::string> ExecutorRacks_;
  std::vector<std::unique_ptr<Owner>> Owners_;
  std::map<std::string, std::uint64_t> PlacesByStatus_;
  std::map<std::string, std::uint64_t> ExecutesByStatus_;
  std::vector<double> PlaceMs_;
  std::vector<double> ExecuteMs_;
  std::uint64_t WrongAnswers_ = 0;
};

} // namespace

} // namespace hickory

int main(int Count, const char **Arguments) {
  google::InitGoogleLogging(Arguments[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::WARNING;
  char *Workers = nullptr;
  char *Executors = nullptr;
  hickory::Settings Options;
  const poptOption Table[] = {
      {"workers", 0, POPT_ARG_STRING, &Workers, 0,
       "addresses file of standin-workers", "FILE"},
      {"executors", 0, POPT_ARG_STRING, &Executors, 0,
       "addresses file of standin-executors", "FILE"},
      {"seconds", 0, POPT_ARG_INT, &Options.Seconds, 0, "length of the load",
       "SECONDS"},
      {"starts", 0, POPT_ARG_INT, &Options.StartsPerSecond, 0,
       "task starts per second", "RATE"},
      {"executes", 0, POPT_ARG_INT, &Options.ExecutesPerSecond, 0,
       "requests per second", "RATE"},
      {"run-ms", 0, POPT_ARG_INT, &Options.RunMs, 0, "run time of a task",
       "MS"},
      {"cpus-milli", 0, POPT_ARG_INT, &Options.CpusMilli, 0, "size of a task",
       "MILLI"},
      {"takeover-every", 0, POPT_ARG_INT, &Options.TakeoverEverySeconds, 0,
       "replace the owner this often; 0: never", "SECONDS"},
      {"seed", 0, POPT_ARG_LONG, &Options.Seed, 0, "seed of the load",
       "NUMBER"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Parser = poptGetContext("rack-load", Count, Arguments, Table, 0);
  const int Code = poptGetNextOpt(Parser);
  if (Code < -1) {
    std::cerr << "rack-load: " << poptStrerror(Code) << "\n";
    return 2;
  }
  Options.WorkersFile = Workers == nullptr ? "" : Workers;
  Options.ExecutorsFile = Executors == nullptr ? "" : Executors;
  poptFreeContext(Parser);
  hickory::RackLoadBench Benchmark(Options);
  Benchmark.run();
  return 0;
}
