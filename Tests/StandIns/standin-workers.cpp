// Hosts many workers of the platform in one process, each on its own port of
// 127.0.0.1 (design page, section 10.3). Its history file is the ground truth
// of what ran where and when.
#include "StandIns/StandInServer.h"
#include "StandIns/StandInSupport.h"

#include "Base/Random.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <set>

namespace hickory {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

struct Settings {
  std::string Config;
  std::string PortsFile;
  std::string AddressesFile;
  std::string History;
  std::uint64_t Seed = 1;
  int ControlPort = 0;
  double TimeScale = 1;
  int StopAfterSeconds = 3600;
};

/// Task name and attempt.
using TaskKey = std::pair<std::string, std::uint32_t>;

struct Task {
  std::string State = "running";
  std::int64_t CpusMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  std::int64_t LeaseUntilMs = 0;
  double UseFactor = 1;
  SteadyClock::time_point StartedAt;
  /// When the run is over; the largest value for a service.
  SteadyClock::time_point DoneAt = SteadyClock::time_point::max();
  SteadyClock::time_point Due; ///< Its place in the agenda.
};

/// What happens to all workers of the process.
struct Totals {
  std::uint64_t Requests = 0;
  std::uint64_t Started = 0;
  std::uint64_t Ended = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Stopped = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t LateStarts = 0;
  std::uint64_t OverCapacity = 0;
  std::uint64_t RanTwice = 0;
  std::vector<std::string> Violations;
};

class Farm;

/// One worker.
class Worker {
public:
  Worker(Farm &Owner, asio::io_context &Context, json Instance,
         std::uint16_t Port, Random Source);

  void open() { Server_.open(); }
  [[nodiscard]] const std::string &name() const { return Name_; }
  [[nodiscard]] json instance() const {
    json Copy = Instance_;
    Copy["address"] = Server_.address();
    return Copy;
  }
  [[nodiscard]] std::string rack() const { return Instance_.value("rack", ""); }
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] json state();

  /// Applies a fault or its end. Returns false for an unknown operation.
  bool control(const std::string &Operation, const json &Parameters);
  /// Ends tasks that are due.
  void settle(const TaskKey &Key);

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  handle(StandInServer::Request Request);
  asio::awaitable<void> waitWhilePaused();
  asio::awaitable<void> restartAfter(milliseconds Delay);
  asio::awaitable<void> sleep(milliseconds Delay);
  void apply(const json &Command);
  void start(const json &Command);
  void renew(std::int64_t UntilMs);
  void schedule(const TaskKey &Key, Task &Item);
  void end(const TaskKey &Key, Task &Item, const std::string &State,
           const std::string &Event, SteadyClock::time_point When);
  void dropAll();
  void newBoot();
  void checkCapacity(const TaskKey &Key);

  [[nodiscard]] std::int64_t clockMs() const;
  /// When the worker's clock will show, or showed, this value.
  [[nodiscard]] SteadyClock::time_point whenClockShows(std::int64_t Ms) const;

  Farm &Owner_;
  asio::io_context &Context_;
  json Instance_;
  std::string Name_;
  Random Source_;
  StandInServer Server_;
  std::string BootId_;
  double ClockRate_ = 1;
  std::int64_t ClockOffsetMs_ = 0;
  std::map<TaskKey, Task> Tasks_;

  // Faults.
  bool FailStarts_ = false;
  bool Leaving_ = false;
  milliseconds UsageLag_{0};
  milliseconds RequestDelay_{0};
  milliseconds ReplyDelay_{0};
  double LoseRequests_ = 0;
  double LoseReplies_ = 0;
  SteadyClock::time_point PausedUntil_{};
  std::uint64_t Life_ = 0; ///< Counts deaths, so that old work stops.
};

/// All workers, the history and the agenda of task ends.
class Farm {
public:
  Farm(asio::io_context &Context, const Settings &Options);

  void run();
  void record(const Worker &Where, const TaskKey &Key, const Task &Item,
              const std::string &Event, SteadyClock::time_point When);
  void violation(const std::string &Text);
  void noteStarted(const std::string &Name);
  void noteEnded(const std::string &Name);
  void schedule(SteadyClock::time_point Due, Worker &Where, const TaskKey &Key);
  void unschedule(SteadyClock::time_point Due, Worker &Where,
                  const TaskKey &Key);

  Totals Count;
  const Settings &Options;

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  handleControl(StandInServer::Request Request);
  [[nodiscard]] json stats() const;
  void arm();

  asio::io_context &Context_;
  HistoryFile History_;
  std::map<std::string, std::unique_ptr<Worker>> Workers_;
  std::unique_ptr<StandInServer> Control_;
  std::set<std::tuple<SteadyClock::time_point, Worker *, TaskKey>> Agenda_;
  asio::steady_timer Alarm_;
  std::map<std::string, int> RunningByName_;
};

Worker::Worker(Farm &Owner, asio::io_context &Context, json Instance,
               std::uint16_t Port, Random Source)
    : Owner_(Owner), Context_(Context), Instance_(std::move(Instance)),
      Name_(Instance_.at("name").get<std::string>()), Source_(Source),
      Server_(Context, Port, [this](StandInServer::Request Request) {
        return handle(std::move(Request));
      }) {
  // Clocks of workers are not synchronised.
  ClockOffsetMs_ =
      Instance_.contains("clock_offset_ms")
          ? Instance_.at("clock_offset_ms").get<std::int64_t>()
          : static_cast<std::int64_t>(Source_.below(1'000'000'000));
  ClockRate_ = Instance_.value("clock_rate", 1.0);
  newBoot();
}

void Worker::newBoot() {
  BootId_ = fmt::format("{}-{:016x}", Name_, Source_.next());
}

std::int64_t Worker::clockMs() const {
  const auto Elapsed =
      duration_cast<microseconds>(SteadyClock::now().time_since_epoch());
  return ClockOffsetMs_ +
         static_cast<std::int64_t>(static_cast<double>(Elapsed.count()) *
                                   ClockRate_ / 1000.0);
}

SteadyClock::time_point Worker::whenClockShows(std::int64_t Ms) const {
  const double Micros =
      static_cast<double>(Ms - ClockOffsetMs_) * 1000.0 / ClockRate_;
  constexpr double Farthest = 9e15; // Keeps the sum within 64 bits.
  return SteadyClock::time_point(
      microseconds(static_cast<std::int64_t>(std::min(Micros, Farthest))));
}

std::size_t Worker::running() const {
  return static_cast<std::size_t>(
      std::count_if(Tasks_.begin(), Tasks_.end(), [](const auto &Item) {
        return Item.second.State == "running";
      }));
}

json Worker::state() {
  json Listed = json::array();
  const auto Now = SteadyClock::now();
  for (const auto &[Key, Item] : Tasks_) {
    const bool UsageKnown =
        Item.State == "running" && Now - Item.StartedAt >= UsageLag_;
    const auto Used = [&](std::int64_t Declared) {
      return UsageKnown ? static_cast<std::int64_t>(
                              static_cast<double>(Declared) * Item.UseFactor)
                        : 0;
    };
    Listed.push_back({{"task", Key.first},
                      {"attempt", Key.second},
                      {"state", Item.State},
                      {"lease_until_ms", Item.LeaseUntilMs},
                      {"cpus_milli", Item.CpusMilli},
                      {"memory_mb", Item.MemoryMb},
                      {"accelerators", Item.Accelerators},
                      {"used_cpus_milli", Used(Item.CpusMilli)},
                      {"used_memory_mb", Used(Item.MemoryMb)}});
  }
  return {{"worker", Name_},
          {"boot_id", BootId_},
          {"clock_ms", clockMs()},
          {"state", Leaving_ ? "leaving" : "live"},
          {"cpus_milli", Instance_.value("cpus_milli", 0)},
          {"memory_mb", Instance_.value("memory_mb", 0)},
          {"accelerators", Instance_.value("accelerators", 0)},
          {"tasks", std::move(Listed)}};
}

asio::awaitable<void> Worker::sleep(milliseconds Delay) {
  asio::steady_timer Timer(Context_, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Worker::waitWhilePaused() {
  while (SteadyClock::now() < PausedUntil_) {
    asio::steady_timer Timer(Context_, PausedUntil_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<std::optional<StandInServer::Reply>>
Worker::handle(StandInServer::Request Request) {
  using Answer = std::optional<StandInServer::Reply>;
  ++Owner_.Count.Requests;
  const std::uint64_t Life = Life_;
  if (Source_.unit() < LoseRequests_)
    co_return Answer();
  if (RequestDelay_.count() > 0)
    co_await sleep(RequestDelay_);
  co_await waitWhilePaused();
  // Died meanwhile.
  if (Life != Life_)
    co_return Answer();
  StandInServer::Reply Reply;
  try {
    if (Request.Method == "POST" && Request.Path == "/v1/commands") {
      const json Body = json::parse(Request.Body);
      for (const json &Command : Body.at("commands"))
        apply(Command);
      renew(Body.value("renew_until_ms", std::int64_t{0}));
    } else if (Request.Method != "GET" || Request.Path != "/v1/state") {
      Reply.Status = 404;
    }
    if (Reply.Status == 200)
      Reply.Body = state().dump();
  } catch (const json::exception &Problem) {
    Reply.Status = 400;
    Reply.Body = json{{"message", Problem.what()}}.dump();
  }
  const bool Lost = Source_.unit() < LoseReplies_;
  if (ReplyDelay_.count() > 0)
    co_await sleep(ReplyDelay_);
  co_await waitWhilePaused();
  if (Lost || Life != Life_)
    co_return Answer();
  co_return Answer(std::move(Reply));
}

void Worker::apply(const json &Command) {
  const auto Operation = Command.at("op").get<std::string>();
  if (Operation == "start") {
    start(Command);
    return;
  }
  const TaskKey Key{Command.at("task").get<std::string>(),
                    Command.at("attempt").get<std::uint32_t>()};
  const auto It = Tasks_.find(Key);
  if (It == Tasks_.end())
    return;
  Task &Item = It->second;
  if (Operation == "stop") {
    if (Item.State == "running")
      end(Key, Item, "stopped", "stopped", SteadyClock::now());
  } else if (Operation == "forget") {
    if (Item.State != "running")
      Tasks_.erase(It);
  } else if (Operation == "checkpoint") {
    Owner_.record(*this, Key, Item, "checkpointed", SteadyClock::now());
  } else if (Operation == "throttle") {
    Item.UseFactor = std::min(Item.UseFactor, 1.0);
    Owner_.record(*this, Key, Item, "throttled", SteadyClock::now());
  }
}

void Worker::start(const json &Command) {
  const TaskKey Key{Command.at("task").get<std::string>(),
                    Command.at("attempt").get<std::uint32_t>()};
  const auto Now = SteadyClock::now();
  Task Item;
  Item.LeaseUntilMs = Command.at("lease_until_ms").get<std::int64_t>();
  Item.CpusMilli = Command.at("cpus_milli").get<std::int64_t>();
  Item.MemoryMb = Command.at("memory_mb").get<std::int64_t>();
  Item.Accelerators = Command.at("accelerators").get<std::int64_t>();
  if (Tasks_.contains(Key))
    return; // The same command again.
  if (clockMs() >= Item.LeaseUntilMs) {
    ++Owner_.Count.LateStarts;
    Owner_.record(*this, Key, Item, "late_start", Now);
    return;
  }
  Item.StartedAt = Now;
  Item.UseFactor = 0.2 + Source_.unit();
  const auto RunMs = Command.value("run_ms", std::int64_t{0});
  if (RunMs > 0)
    Item.DoneAt = Now + duration_cast<SteadyClock::duration>(
                            milliseconds(RunMs) * Owner_.Options.TimeScale);
  Task &Stored = Tasks_.emplace(Key, Item).first->second;
  ++Owner_.Count.Started;
  Owner_.record(*this, Key, Stored, "started", Now);
  Owner_.noteStarted(Key.first);
  checkCapacity(Key);
  schedule(Key, Stored);
  if (FailStarts_)
    end(Key, Stored, "failed", "ended", Now);
}

void Worker::checkCapacity(const TaskKey &Key) {
  std::int64_t Cpus = 0;
  std::int64_t Memory = 0;
  std::int64_t Accelerators = 0;
  for (const auto &[Other, Item] : Tasks_) {
    if (Item.State != "running")
      continue;
    Cpus += Item.CpusMilli;
    Memory += Item.MemoryMb;
    Accelerators += Item.Accelerators;
  }
  if (Cpus <= Instance_.value("cpus_milli", std::int64_t{0}) &&
      Memory <= Instance_.value("memory_mb", std::int64_t{0}) &&
      Accelerators <= Instance_.value("accelerators", std::int64_t{0}))
    return;
  ++Owner_.Count.OverCapacity;
  Owner_.violation(fmt::format(
      "{}: start of {} attempt {} commits {} mCPU, {} MB, {} accelerators",
      Name_, Key.first, Key.second, Cpus, Memory, Accelerators));
}

void Worker::renew(std::int64_t UntilMs) {
  if (UntilMs <= clockMs())
    return;
  for (auto &[Key, Item] : Tasks_)
    if (Item.State == "running" && UntilMs > Item.LeaseUntilMs) {
      Item.LeaseUntilMs = UntilMs;
      schedule(Key, Item);
    }
}

void Worker::schedule(const TaskKey &Key, Task &Item) {
  Owner_.unschedule(Item.Due, *this, Key);
  Item.Due = std::min(Item.DoneAt, whenClockShows(Item.LeaseUntilMs));
  Owner_.schedule(Item.Due, *this, Key);
}

void Worker::settle(const TaskKey &Key) {
  const auto It = Tasks_.find(Key);
  if (It == Tasks_.end() || It->second.State != "running")
    return;
  Task &Item = It->second;
  const auto Lapse = whenClockShows(Item.LeaseUntilMs);
  const auto Now = SteadyClock::now();
  if (Lapse <= Now && Lapse < Item.DoneAt)
    end(Key, Item, "expired", "expired", Lapse);
  else if (Item.DoneAt <= Now)
    end(Key, Item, "done", "ended", Item.DoneAt);
  else
    schedule(Key, Item);
}

void Worker::end(const TaskKey &Key, Task &Item, const std::string &State,
                 const std::string &Event, SteadyClock::time_point When) {
  Owner_.unschedule(Item.Due, *this, Key);
  Item.State = State;
  Owner_.noteEnded(Key.first);
  if (Event == "expired")
    ++Owner_.Count.Expired;
  else if (Event == "stopped")
    ++Owner_.Count.Stopped;
  else if (Event == "dropped")
    ++Owner_.Count.Dropped;
  else
    ++Owner_.Count.Ended;
  Owner_.record(*this, Key, Item, Event, When);
}

void Worker::dropAll() {
  ++Life_;
  for (auto &[Key, Item] : Tasks_)
    if (Item.State == "running")
      end(Key, Item, "dropped", "dropped", SteadyClock::now());
  Tasks_.clear();
}

asio::awaitable<void> Worker::restartAfter(milliseconds Delay) {
  const std::uint64_t Life = Life_;
  if (Delay.count() > 0)
    co_await sleep(Delay);
  if (Life == Life_ && !Server_.isOpen()) {
    newBoot();
    Server_.open();
  }
}

bool Worker::control(const std::string &Operation, const json &Parameters) {
  const milliseconds Duration(Parameters.value("ms", std::int64_t{0}));
  const double Probability = Parameters.value("probability", 1.0);
  if (Operation == "die" || Operation == "restart") {
    dropAll();
    Server_.close();
    if (Operation == "restart")
      asio::co_spawn(Context_, restartAfter(Duration), asio::detached);
  } else if (Operation == "revive") {
    asio::co_spawn(Context_, restartAfter(Duration), asio::detached);
  } else if (Operation == "pause") {
    PausedUntil_ = SteadyClock::now() + Duration;
  } else if (Operation == "fail_starts") {
    FailStarts_ = Parameters.value("on", true);
  } else if (Operation == "leaving") {
    Leaving_ = Parameters.value("on", true);
  } else if (Operation == "usage_lag") {
    UsageLag_ = Duration;
  } else if (Operation == "request_delay") {
    RequestDelay_ = Duration;
  } else if (Operation == "reply_delay") {
    ReplyDelay_ = Duration;
  } else if (Operation == "lose_requests") {
    LoseRequests_ = Probability;
  } else if (Operation == "lose_replies") {
    LoseReplies_ = Probability;
  } else if (Operation == "heal") {
    FailStarts_ = false;
    Leaving_ = false;
    UsageLag_ = RequestDelay_ = ReplyDelay_ = milliseconds(0);
    LoseRequests_ = LoseReplies_ = 0;
    PausedUntil_ = {};
    asio::co_spawn(Context_, restartAfter(milliseconds(0)), asio::detached);
  } else {
    return false;
  }
  return true;
}

Farm::Farm(asio::io_context &Context, const Settings &Options)
    : Options(Options), Context_(Context), History_(Options.History),
      Alarm_(Context) {
  Random Source(Options.Seed);
  const std::vector<std::uint16_t> Ports = readPorts(Options.PortsFile);
  std::size_t Index = 0;
  for (json &Instance : readInstances(Options.Config, "worker")) {
    std::uint16_t Port = portOf(Instance.value("address", ""));
    if (Index < Ports.size())
      Port = Ports[Index];
    ++Index;
    const auto Name = Instance.at("name").get<std::string>();
    Workers_[Name] = std::make_unique<Worker>(
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
  for (const auto &[Name, One] : Workers_) {
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

void Farm::record(const Worker &Where, const TaskKey &Key, const Task &Item,
                  const std::string &Event, SteadyClock::time_point When) {
  // Ends are recorded at the time at which they were due, which is a little
  // before the time at which this process noticed.
  const auto Ago =
      duration_cast<microseconds>(SteadyClock::now() - When).count();
  History_.append({{"worker", Where.name()},
                   {"rack", Where.rack()},
                   {"task", Key.first},
                   {"attempt", Key.second},
                   {"event", Event},
                   {"state", Item.State},
                   {"wall_us", wallMicroseconds() - Ago},
                   {"lease_until_ms", Item.LeaseUntilMs},
                   {"cpus_milli", Item.CpusMilli},
                   {"memory_mb", Item.MemoryMb},
                   {"accelerators", Item.Accelerators}});
}

void Farm::violation(const std::string &Text) {
  constexpr std::size_t Kept = 20;
  if (Count.Violations.size() < Kept)
    Count.Violations.push_back(Text);
  History_.append({{"event", "violation"},
                   {"detail", Text},
                   {"wall_us", wallMicroseconds()}});
}

void Farm::noteStarted(const std::string &Name) {
  if (++RunningByName_[Name] == 1)
    return;
  ++Count.RanTwice;
  violation(fmt::format("{} runs twice at the same time", Name));
}

void Farm::noteEnded(const std::string &Name) {
  const auto It = RunningByName_.find(Name);
  if (It != RunningByName_.end() && --It->second == 0)
    RunningByName_.erase(It);
}

void Farm::schedule(SteadyClock::time_point Due, Worker &Where,
                    const TaskKey &Key) {
  const bool First = Agenda_.empty() || Due < std::get<0>(*Agenda_.begin());
  Agenda_.emplace(Due, &Where, Key);
  if (First)
    arm();
}

void Farm::unschedule(SteadyClock::time_point Due, Worker &Where,
                      const TaskKey &Key) {
  Agenda_.erase({Due, &Where, Key});
}

void Farm::arm() {
  if (Agenda_.empty())
    return;
  Alarm_.expires_at(std::get<0>(*Agenda_.begin()));
  Alarm_.async_wait([this](const std::error_code &Code) {
    if (Code)
      return;
    const auto Now = SteadyClock::now();
    while (!Agenda_.empty() && std::get<0>(*Agenda_.begin()) <= Now) {
      const auto Entry = *Agenda_.begin();
      Agenda_.erase(Agenda_.begin());
      std::get<1>(Entry)->settle(std::get<2>(Entry));
    }
    arm();
  });
}

json Farm::stats() const {
  json ByWorker = json::object();
  std::size_t Running = 0;
  for (const auto &[Name, One] : Workers_) {
    ByWorker[Name] = One->running();
    Running += One->running();
  }
  return {{"workers", Workers_.size()},
          {"requests", Count.Requests},
          {"running", Running},
          {"running_by_worker", std::move(ByWorker)},
          {"started", Count.Started},
          {"ended", Count.Ended},
          {"expired", Count.Expired},
          {"stopped", Count.Stopped},
          {"dropped", Count.Dropped},
          {"late_starts", Count.LateStarts},
          {"violations",
           {{"over_capacity", Count.OverCapacity},
            {"ran_twice", Count.RanTwice},
            {"samples", Count.Violations}}}};
}

asio::awaitable<std::optional<StandInServer::Reply>>
Farm::handleControl(StandInServer::Request Request) {
  StandInServer::Reply Reply;
  if (Request.Method == "GET" && Request.Path == "/stats") {
    Reply.Body = stats().dump();
  } else if (Request.Method == "POST" && Request.Path == "/control") {
    try {
      // {"worker": name, "rack": name or neither for all, "op", "ms", ...}
      const json Body = json::parse(Request.Body);
      const auto Operation = Body.at("op").get<std::string>();
      int Affected = 0;
      for (const auto &[Name, One] : Workers_) {
        if ((Body.contains("worker") && Body["worker"] != Name) ||
            (Body.contains("rack") && Body["rack"] != One->rack()))
          continue;
        if (One->control(Operation, Body))
          ++Affected;
        History_.append({{"worker", Name},
                         {"event", "control"},
                         {"op", Operation},
                         {"wall_us", wallMicroseconds()}});
      }
      Reply.Status = Affected > 0 ? 200 : 404;
      Reply.Body = json{{"affected", Affected}}.dump();
    } catch (const json::exception &Problem) {
      Reply.Status = 400;
      Reply.Body = json{{"message", Problem.what()}}.dump();
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
      {"time-scale", 0, POPT_ARG_DOUBLE, &Options.TimeScale, 0,
       "factor on the run time of tasks", "FACTOR"},
      {"stop-after", 0, POPT_ARG_INT, &Options.StopAfterSeconds, 0,
       "longest time to run", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Parser =
      poptGetContext("standin-workers", Count, Arguments, Table, 0);
  const int Code = poptGetNextOpt(Parser);
  if (Code < -1 || Config == nullptr) {
    std::cerr << "standin-workers: "
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
    hickory::Farm Workers(Context, Options);
    Workers.run();
  } catch (const std::exception &Problem) {
    std::cerr << "standin-workers: " << Problem.what() << "\n";
    return 1;
  }
  return 0;
}
