// Stands in for many workers of the platform in one process, each on its own
// port of 127.0.0.1 (design page, section 10.3). Its history file is the ground
// truth of which tasks ran on which worker and when.
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
  SteadyClock::time_point StartTime;
  /// When the run ends by itself; the maximum value if it never does.
  SteadyClock::time_point EndTime = SteadyClock::time_point::max();
  /// EndTime or the end of the lease, whichever is earlier.
  SteadyClock::time_point Deadline;
};

/// Counters over all workers of the process.
struct WorkerCounters {
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

class WorkerHost;

/// One worker with its tasks and faults.
class Worker {
public:
  Worker(WorkerHost &Host, asio::io_context &Context, json Instance,
         std::uint16_t Port, Random RandomSource);

  void open() { Server_.open(); }
  [[nodiscard]] const std::string &name() const { return Name_; }
  [[nodiscard]] json instance() const {
    json Copy = Instance_;
    Copy["address"] = Server_.address();
    return Copy;
  }
  [[nodiscard]] std::string rack() const { return Instance_.value("rack", ""); }
  [[nodiscard]] std::size_t runningCount() const;
  [[nodiscard]] json state();

  /// Applies a control operation, which starts or ends a fault. Returns false
  /// for an unknown operation.
  bool control(const std::string &Operation, const json &Parameters);
  /// Ends the task if its run or its lease has ended; otherwise schedules the
  /// check again.
  void endIfDue(const TaskKey &Key);

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  handle(StandInServer::Request Request);
  asio::awaitable<void> waitWhilePaused();
  asio::awaitable<void> restartAfter(milliseconds Delay);
  asio::awaitable<void> sleep(milliseconds Delay);
  void apply(const json &Command);
  void start(const json &Command);
  void renew(std::int64_t UntilMs);
  void schedule(const TaskKey &Key, Task &TaskState);
  void end(const TaskKey &Key, Task &TaskState, const std::string &State,
           const std::string &Event, SteadyClock::time_point Time);
  void dropAllTasks();
  void renewBootId();
  void checkCapacity(const TaskKey &Key);

  [[nodiscard]] std::int64_t clockMs() const;
  /// Time at which the worker's clock shows the given value.
  [[nodiscard]] SteadyClock::time_point timeOfClockValue(std::int64_t Ms) const;

  WorkerHost &Host_;
  asio::io_context &Context_;
  json Instance_;
  std::string Name_;
  Random Random_;
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
  double LostRequestProbability_ = 0;
  double LostReplyProbability_ = 0;
  SteadyClock::time_point PausedUntil_{};
  /// Counts the times that the worker died, so that coroutines that were
  /// started before stop.
  std::uint64_t Incarnation_ = 0;
};

/// All workers, the history file, and the deadlines of all running tasks.
class WorkerHost {
public:
  WorkerHost(asio::io_context &Context, const Settings &Options);

  void run();
  void record(const Worker &TaskWorker, const TaskKey &Key,
              const Task &TaskState, const std::string &Event,
              SteadyClock::time_point Time);
  void addViolation(const std::string &Text);
  void addRunningTask(const std::string &Name);
  void removeRunningTask(const std::string &Name);
  void schedule(SteadyClock::time_point Deadline, Worker &TaskWorker,
                const TaskKey &Key);
  void unschedule(SteadyClock::time_point Deadline, Worker &TaskWorker,
                  const TaskKey &Key);

  WorkerCounters Counters;
  const Settings &Options;

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  handleControl(StandInServer::Request Request);
  [[nodiscard]] json stats() const;
  void startDeadlineTimer();

  asio::io_context &Context_;
  HistoryFile History_;
  std::map<std::string, std::unique_ptr<Worker>> Workers_;
  std::unique_ptr<StandInServer> Control_;
  std::set<std::tuple<SteadyClock::time_point, Worker *, TaskKey>>
      TaskDeadlines_;
  asio::steady_timer DeadlineTimer_;
  std::map<std::string, int> RunningByTask_;
};

Worker::Worker(WorkerHost &Host, asio::io_context &Context, json Instance,
               std::uint16_t Port, Random RandomSource)
    : Host_(Host), Context_(Context), Instance_(std::move(Instance)),
      Name_(Instance_.at("name").get<std::string>()), Random_(RandomSource),
      Server_(Context, Port, [this](StandInServer::Request Request) {
        return handle(std::move(Request));
      }) {
  // The clocks of the workers are not synchronised, so each has a random offset
  // by default.
  ClockOffsetMs_ =
      Instance_.contains("clock_offset_ms")
          ? Instance_.at("clock_offset_ms").get<std::int64_t>()
          : static_cast<std::int64_t>(Random_.below(1'000'000'000));
  ClockRate_ = Instance_.value("clock_rate", 1.0);
  renewBootId();
}

void Worker::renewBootId() {
  BootId_ = fmt::format("{}-{:016x}", Name_, Random_.next());
}

std::int64_t Worker::clockMs() const {
  const auto Elapsed =
      duration_cast<microseconds>(SteadyClock::now().time_since_epoch());
  return ClockOffsetMs_ +
         static_cast<std::int64_t>(static_cast<double>(Elapsed.count()) *
                                   ClockRate_ / 1000.0);
}

SteadyClock::time_point Worker::timeOfClockValue(std::int64_t Ms) const {
  const double Microseconds =
      static_cast<double>(Ms - ClockOffsetMs_) * 1000.0 / ClockRate_;
  // Limits the value so that the time point, in nanoseconds, fits in 64 bits.
  constexpr double MaximumMicroseconds = 9e15;
  return SteadyClock::time_point(microseconds(
      static_cast<std::int64_t>(std::min(Microseconds, MaximumMicroseconds))));
}

std::size_t Worker::runningCount() const {
  return static_cast<std::size_t>(
      std::count_if(Tasks_.begin(), Tasks_.end(), [](const auto &Entry) {
        return Entry.second.State == "running";
      }));
}

json Worker::state() {
  json TaskList = json::array();
  const auto Now = SteadyClock::now();
  for (const auto &[Key, TaskState] : Tasks_) {
    const bool IsUsageKnown =
        TaskState.State == "running" && Now - TaskState.StartTime >= UsageLag_;
    const auto Used = [&](std::int64_t Declared) {
      return IsUsageKnown
                 ? static_cast<std::int64_t>(static_cast<double>(Declared) *
                                             TaskState.UseFactor)
                 : 0;
    };
    TaskList.push_back({{"task", Key.first},
                        {"attempt", Key.second},
                        {"state", TaskState.State},
                        {"lease_until_ms", TaskState.LeaseUntilMs},
                        {"cpus_milli", TaskState.CpusMilli},
                        {"memory_mb", TaskState.MemoryMb},
                        {"accelerators", TaskState.Accelerators},
                        {"used_cpus_milli", Used(TaskState.CpusMilli)},
                        {"used_memory_mb", Used(TaskState.MemoryMb)}});
  }
  return {{"worker", Name_},
          {"boot_id", BootId_},
          {"clock_ms", clockMs()},
          {"state", Leaving_ ? "leaving" : "live"},
          {"cpus_milli", Instance_.value("cpus_milli", 0)},
          {"memory_mb", Instance_.value("memory_mb", 0)},
          {"accelerators", Instance_.value("accelerators", 0)},
          {"tasks", std::move(TaskList)}};
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
  using OptionalReply = std::optional<StandInServer::Reply>;
  ++Host_.Counters.Requests;
  const std::uint64_t Incarnation = Incarnation_;
  if (Random_.unit() < LostRequestProbability_)
    co_return OptionalReply();
  if (RequestDelay_.count() > 0)
    co_await sleep(RequestDelay_);
  co_await waitWhilePaused();
  // The worker died while the request was delayed.
  if (Incarnation != Incarnation_)
    co_return OptionalReply();
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
  } catch (const json::exception &Exception) {
    Reply.Status = 400;
    Reply.Body = json{{"message", Exception.what()}}.dump();
  }
  const bool ShouldLoseReply = Random_.unit() < LostReplyProbability_;
  if (ReplyDelay_.count() > 0)
    co_await sleep(ReplyDelay_);
  co_await waitWhilePaused();
  if (ShouldLoseReply || Incarnation != Incarnation_)
    co_return OptionalReply();
  co_return OptionalReply(std::move(Reply));
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
  Task &TaskState = It->second;
  if (Operation == "stop") {
    if (TaskState.State == "running")
      end(Key, TaskState, "stopped", "stopped", SteadyClock::now());
  } else if (Operation == "forget") {
    if (TaskState.State != "running")
      Tasks_.erase(It);
  } else if (Operation == "checkpoint") {
    Host_.record(*this, Key, TaskState, "checkpointed", SteadyClock::now());
  } else if (Operation == "throttle") {
    TaskState.UseFactor = std::min(TaskState.UseFactor, 1.0);
    Host_.record(*this, Key, TaskState, "throttled", SteadyClock::now());
  }
}

void Worker::start(const json &Command) {
  const TaskKey Key{Command.at("task").get<std::string>(),
                    Command.at("attempt").get<std::uint32_t>()};
  const auto Now = SteadyClock::now();
  Task TaskState;
  TaskState.LeaseUntilMs = Command.at("lease_until_ms").get<std::int64_t>();
  TaskState.CpusMilli = Command.at("cpus_milli").get<std::int64_t>();
  TaskState.MemoryMb = Command.at("memory_mb").get<std::int64_t>();
  TaskState.Accelerators = Command.at("accelerators").get<std::int64_t>();
  if (Tasks_.contains(Key))
    return; // The start command was repeated.
  if (clockMs() >= TaskState.LeaseUntilMs) {
    ++Host_.Counters.LateStarts;
    Host_.record(*this, Key, TaskState, "late_start", Now);
    return;
  }
  TaskState.StartTime = Now;
  TaskState.UseFactor = 0.2 + Random_.unit();
  const auto RunMs = Command.value("run_ms", std::int64_t{0});
  if (RunMs > 0)
    TaskState.EndTime =
        Now + duration_cast<SteadyClock::duration>(milliseconds(RunMs) *
                                                   Host_.Options.TimeScale);
  Task &Stored = Tasks_.emplace(Key, TaskState).first->second;
  ++Host_.Counters.Started;
  Host_.record(*this, Key, Stored, "started", Now);
  Host_.addRunningTask(Key.first);
  checkCapacity(Key);
  schedule(Key, Stored);
  if (FailStarts_)
    end(Key, Stored, "failed", "ended", Now);
}

void Worker::checkCapacity(const TaskKey &Key) {
  std::int64_t CpusMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  for (const auto &[Other, TaskState] : Tasks_) {
    if (TaskState.State != "running")
      continue;
    CpusMilli += TaskState.CpusMilli;
    MemoryMb += TaskState.MemoryMb;
    Accelerators += TaskState.Accelerators;
  }
  if (CpusMilli <= Instance_.value("cpus_milli", std::int64_t{0}) &&
      MemoryMb <= Instance_.value("memory_mb", std::int64_t{0}) &&
      Accelerators <= Instance_.value("accelerators", std::int64_t{0}))
    return;
  ++Host_.Counters.OverCapacity;
  Host_.addViolation(fmt::format(
      "{}: start of {} attempt {} commits {} mCPU, {} MB, {} accelerators",
      Name_, Key.first, Key.second, CpusMilli, MemoryMb, Accelerators));
}

void Worker::renew(std::int64_t UntilMs) {
  if (UntilMs <= clockMs())
    return;
  for (auto &[Key, TaskState] : Tasks_)
    if (TaskState.State == "running" && UntilMs > TaskState.LeaseUntilMs) {
      TaskState.LeaseUntilMs = UntilMs;
      schedule(Key, TaskState);
    }
}

void Worker::schedule(const TaskKey &Key, Task &TaskState) {
  Host_.unschedule(TaskState.Deadline, *this, Key);
  TaskState.Deadline =
      std::min(TaskState.EndTime, timeOfClockValue(TaskState.LeaseUntilMs));
  Host_.schedule(TaskState.Deadline, *this, Key);
}

void Worker::endIfDue(const TaskKey &Key) {
  const auto It = Tasks_.find(Key);
  if (It == Tasks_.end() || It->second.State != "running")
    return;
  Task &TaskState = It->second;
  const auto LeaseEnd = timeOfClockValue(TaskState.LeaseUntilMs);
  const auto Now = SteadyClock::now();
  if (LeaseEnd <= Now && LeaseEnd < TaskState.EndTime)
    end(Key, TaskState, "expired", "expired", LeaseEnd);
  else if (TaskState.EndTime <= Now)
    end(Key, TaskState, "done", "ended", TaskState.EndTime);
  else
    schedule(Key, TaskState);
}

void Worker::end(const TaskKey &Key, Task &TaskState, const std::string &State,
                 const std::string &Event, SteadyClock::time_point Time) {
  Host_.unschedule(TaskState.Deadline, *this, Key);
  TaskState.State = State;
  Host_.removeRunningTask(Key.first);
  if (Event == "expired")
    ++Host_.Counters.Expired;
  else if (Event == "stopped")
    ++Host_.Counters.Stopped;
  else if (Event == "dropped")
    ++Host_.Counters.Dropped;
  else
    ++Host_.Counters.Ended;
  Host_.record(*this, Key, TaskState, Event, Time);
}

void Worker::dropAllTasks() {
  ++Incarnation_;
  for (auto &[Key, TaskState] : Tasks_)
    if (TaskState.State == "running")
      end(Key, TaskState, "dropped", "dropped", SteadyClock::now());
  Tasks_.clear();
}

asio::awaitable<void> Worker::restartAfter(milliseconds Delay) {
  const std::uint64_t Incarnation = Incarnation_;
  if (Delay.count() > 0)
    co_await sleep(Delay);
  if (Incarnation == Incarnation_ && !Server_.isOpen()) {
    renewBootId();
    Server_.open();
  }
}

bool Worker::control(const std::string &Operation, const json &Parameters) {
  const milliseconds Duration(Parameters.value("ms", std::int64_t{0}));
  const double Probability = Parameters.value("probability", 1.0);
  if (Operation == "die" || Operation == "restart") {
    dropAllTasks();
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
    LostRequestProbability_ = Probability;
  } else if (Operation == "lose_replies") {
    LostReplyProbability_ = Probability;
  } else if (Operation == "heal") {
    FailStarts_ = false;
    Leaving_ = false;
    UsageLag_ = RequestDelay_ = ReplyDelay_ = milliseconds(0);
    LostRequestProbability_ = LostReplyProbability_ = 0;
    PausedUntil_ = {};
    asio::co_spawn(Context_, restartAfter(milliseconds(0)), asio::detached);
  } else {
    return false;
  }
  return true;
}

WorkerHost::WorkerHost(asio::io_context &Context, const Settings &Options)
    : Options(Options), Context_(Context), History_(Options.History),
      DeadlineTimer_(Context) {
  Random RandomSource(Options.Seed);
  const std::vector<std::uint16_t> Ports = readPorts(Options.PortsFile);
  std::size_t Index = 0;
  for (json &Instance : readInstances(Options.Config, "worker")) {
    std::uint16_t Port = portOf(Instance.value("address", ""));
    if (Index < Ports.size())
      Port = Ports[Index];
    ++Index;
    const auto Name = Instance.at("name").get<std::string>();
    Workers_[Name] = std::make_unique<Worker>(
        *this, Context, std::move(Instance), Port, Random(RandomSource.next()));
  }
  Control_ = std::make_unique<StandInServer>(
      Context, static_cast<std::uint16_t>(Options.ControlPort),
      [this](StandInServer::Request Request) {
        return handleControl(std::move(Request));
      });
}

void WorkerHost::run() {
  json Document = {{"control", Control_->address()},
                   {"instances", json::array()}};
  for (const auto &[Name, Worker] : Workers_) {
    Worker->open();
    Document["instances"].push_back(Worker->instance());
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

void WorkerHost::record(const Worker &TaskWorker, const TaskKey &Key,
                        const Task &TaskState, const std::string &Event,
                        SteadyClock::time_point Time) {
  // An end is recorded with the time at which it was due, which is slightly
  // earlier than the time at which this process detects it.
  const auto ElapsedUs =
      duration_cast<microseconds>(SteadyClock::now() - Time).count();
  History_.append({{"worker", TaskWorker.name()},
                   {"rack", TaskWorker.rack()},
                   {"task", Key.first},
                   {"attempt", Key.second},
                   {"event", Event},
                   {"state", TaskState.State},
                   {"wall_us", wallMicroseconds() - ElapsedUs},
                   {"lease_until_ms", TaskState.LeaseUntilMs},
                   {"cpus_milli", TaskState.CpusMilli},
                   {"memory_mb", TaskState.MemoryMb},
                   {"accelerators", TaskState.Accelerators}});
}

void WorkerHost::addViolation(const std::string &Text) {
  constexpr std::size_t MaximumSamples = 20;
  if (Counters.Violations.size() < MaximumSamples)
    Counters.Violations.push_back(Text);
  History_.append({{"event", "violation"},
                   {"detail", Text},
                   {"wall_us", wallMicroseconds()}});
}

void WorkerHost::addRunningTask(const std::string &Name) {
  if (++RunningByTask_[Name] == 1)
    return;
  ++Counters.RanTwice;
  addViolation(fmt::format("{} runs twice at the same time", Name));
}

void WorkerHost::removeRunningTask(const std::string &Name) {
  const auto It = RunningByTask_.find(Name);
  if (It != RunningByTask_.end() && --It->second == 0)
    RunningByTask_.erase(It);
}

void WorkerHost::schedule(SteadyClock::time_point Deadline, Worker &TaskWorker,
                          const TaskKey &Key) {
  const bool IsFirst =
      TaskDeadlines_.empty() || Deadline < std::get<0>(*TaskDeadlines_.begin());
  TaskDeadlines_.emplace(Deadline, &TaskWorker, Key);
  if (IsFirst)
    startDeadlineTimer();
}

void WorkerHost::unschedule(SteadyClock::time_point Deadline,
                            Worker &TaskWorker, const TaskKey &Key) {
  TaskDeadlines_.erase({Deadline, &TaskWorker, Key});
}

void WorkerHost::startDeadlineTimer() {
  if (TaskDeadlines_.empty())
    return;
  DeadlineTimer_.expires_at(std::get<0>(*TaskDeadlines_.begin()));
  DeadlineTimer_.async_wait([this](const std::error_code &Code) {
    if (Code)
      return;
    const auto Now = SteadyClock::now();
    while (!TaskDeadlines_.empty() &&
           std::get<0>(*TaskDeadlines_.begin()) <= Now) {
      const auto Due = *TaskDeadlines_.begin();
      TaskDeadlines_.erase(TaskDeadlines_.begin());
      std::get<1>(Due)->endIfDue(std::get<2>(Due));
    }
    startDeadlineTimer();
  });
}

json WorkerHost::stats() const {
  json ByWorker = json::object();
  std::size_t Running = 0;
  for (const auto &[Name, Worker] : Workers_) {
    ByWorker[Name] = Worker->runningCount();
    Running += Worker->runningCount();
  }
  return {{"workers", Workers_.size()},
          {"requests", Counters.Requests},
          {"running", Running},
          {"running_by_worker", std::move(ByWorker)},
          {"started", Counters.Started},
          {"ended", Counters.Ended},
          {"expired", Counters.Expired},
          {"stopped", Counters.Stopped},
          {"dropped", Counters.Dropped},
          {"late_starts", Counters.LateStarts},
          {"violations",
           {{"over_capacity", Counters.OverCapacity},
            {"ran_twice", Counters.RanTwice},
            {"samples", Counters.Violations}}}};
}

asio::awaitable<std::optional<StandInServer::Reply>>
WorkerHost::handleControl(StandInServer::Request Request) {
  StandInServer::Reply Reply;
  if (Request.Method == "GET" && Request.Path == "/stats") {
    Reply.Body = stats().dump();
  } else if (Request.Method == "POST" && Request.Path == "/control") {
    try {
      // {"op", "ms", ...} with "worker" or "rack" to select by name; without
      // either, applies to all workers.
      const json Body = json::parse(Request.Body);
      const auto Operation = Body.at("op").get<std::string>();
      int Affected = 0;
      for (const auto &[Name, Worker] : Workers_) {
        if ((Body.contains("worker") && Body["worker"] != Name) ||
            (Body.contains("rack") && Body["rack"] != Worker->rack()))
          continue;
        if (Worker->control(Operation, Body))
          ++Affected;
        History_.append({{"worker", Name},
                         {"event", "control"},
                         {"op", Operation},
                         {"wall_us", wallMicroseconds()}});
      }
      Reply.Status = Affected > 0 ? 200 : 404;
      Reply.Body = json{{"affected", Affected}}.dump();
    } catch (const json::exception &Exception) {
      Reply.Status = 400;
      Reply.Body = json{{"message", Exception.what()}}.dump();
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
       "file that receives the addresses of the workers", "FILE"},
      {"history", 0, POPT_ARG_STRING, &History, 0,
       "file to which events of tasks are appended (JSON lines)", "FILE"},
      {"control-port", 0, POPT_ARG_INT, &Options.ControlPort, 0,
       "port for control and statistics", "PORT"},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of all random choices",
       "NUMBER"},
      {"time-scale", 0, POPT_ARG_DOUBLE, &Options.TimeScale, 0,
       "factor by which the run time of tasks is multiplied", "FACTOR"},
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
    hickory::WorkerHost Workers(Context, Options);
    Workers.run();
  } catch (const std::exception &Exception) {
    std::cerr << "standin-workers: " << Exception.what() << "\n";
    return 1;
  }
  return 0;
}
