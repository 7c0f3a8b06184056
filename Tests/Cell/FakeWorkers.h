#pragma once

#include "Cell/CallFault.h"
#include "Cell/RunHistory.h"
#include "Cell/WorkerClient.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Duration and outcome of a run.
struct RunPlan {
  std::chrono::milliseconds Duration{300};
  std::string Outcome = "done"; ///< "crash": the run crashes its worker.
};

/// Workers that check fencing tokens, leases and whether a run was stopped or
/// has ended, as documented by the platform. Capacity and the other rules are
/// checked by RunHistory, not by the workers.
class FakeWorkers {
public:
  FakeWorkers(TimerService &Timers, RunHistory &History)
      : Timers_(Timers), History_(History) {}

  /// Chooses the fault of each call. Names of calls: start, stop and, for
  /// heartbeats, hold.
  std::function<CallFault(const std::string &Process, const std::string &Worker,
                          const std::string &Call)>
      ChooseFault;
  /// Called when a run starts.
  std::function<RunPlan(const std::string &Task, int Run)> ChoosePlan;
  /// Called when a worker starts again: it writes its entry in the list anew.
  std::function<void(const std::string &Worker)> Register;
  /// Number of members of the gang that the task belongs to; 0 for none.
  std::function<int(const std::string &Task)> GangSize;

  void add(WorkerEntry Entry) {
    Worker &New = Workers_[Entry.Id];
    New.Entry = std::move(Entry);
    restart(New.Entry.Id);
  }
  [[nodiscard]] const WorkerEntry &entry(const std::string &Id) const {
    return Workers_.at(Id).Entry;
  }
  /// Starts a new incarnation of the worker, without any of its former state.
  void restart(const std::string &Id) {
    const WorkerEntry Entry = Workers_.at(Id).Entry;
    History_.workerDown(Id);
    Workers_[Id] = Worker{.Entry = Entry, .StartedAt = Timers_.now()};
    // Incarnations are at least 1 ms apart.
    Workers_[Id].Entry.StartedAtMs = ++LastStartedAtMs_;
    History_.workerUp(Id, Entry.Capacity);
    if (Register)
      Register(Id);
  }
  /// Ends the worker's incarnation. The next one starts after DownTime.
  void crash(const std::string &Id) {
    restart(Id);
    Worker &Next = Workers_[Id];
    Next.DownUntil = Timers_.now() + DownTime;
    Next.OldestReachedMs = Next.Entry.StartedAtMs;
  }
  /// Returns false for a call to the incarnation that started at StartedAtMs if
  /// the worker has crashed since: its connections are broken.
  [[nodiscard]] bool isReached(const std::string &Id,
                               std::int64_t StartedAtMs) const {
    return StartedAtMs >= Workers_.at(Id).OldestReachedMs;
  }
  [[nodiscard]] bool isDown(const std::string &Id) const {
    return Timers_.now() < Workers_.at(Id).DownUntil;
  }
  [[nodiscard]] std::size_t running(const std::string &Id) const {
    return Workers_.at(Id).Running.size();
  }
  /// Returns the names of the tasks that run on the worker.
  [[nodiscard]] std::vector<std::string> tasksOn(const std::string &Id) const {
    std::vector<std::string> Tasks;
    for (const auto &[Name, RunState] : Workers_.at(Id).Running)
      Tasks.push_back(Name.first);
    return Tasks;
  }
  [[nodiscard]] std::vector<std::string> ids() const {
    std::vector<std::string> All;
    All.reserve(Workers_.size());
    for (const auto &[Id, Worker] : Workers_)
      All.push_back(Id);
    return All;
  }

  /// Ends the runs that are complete and those of workers whose lease has
  /// expired.
  void tick() {
    for (auto &[Id, Target] : Workers_)
      tick(Target);
    for (const std::string &Id : crashingWorkers())
      crash(Id);
  }

  [[nodiscard]] CallFault faultFor(const std::string &Process,
                                   const std::string &Id,
                                   const std::string &Call) const {
    if (isDown(Id))
      return {.Type = CallFault::Kind::Refused};
    return ChooseFault ? ChooseFault(Process, Id, Call) : CallFault{};
  }

  OrderReply start(const std::string &Id, std::int64_t Token,
                   std::chrono::milliseconds LeaseEnd,
                   const StartOrder &Order) {
    Worker &Target = Workers_.at(Id);
    tick(Target);
    if (!acceptToken(Target, Token))
      return reply(Target, OrderStatus::Fenced);
    const Key Name(Order.Task, Order.Run);
    Target.LeaseEnd = std::max(Target.LeaseEnd, capped(Target, LeaseEnd));
    if (Target.Running.contains(Name))
      return reply(Target, OrderStatus::Ok);
    if (const auto It = Target.HighestClosedRun.find(Order.Task);
        It != Target.HighestClosedRun.end() && It->second >= Order.Run)
      return reply(Target, OrderStatus::Old);
    if (LeaseEnd <= clock(Target))
      return reply(Target, OrderStatus::Late);
    const RunPlan Plan =
        ChoosePlan ? ChoosePlan(Order.Task, Order.Run) : RunPlan{};
    const int Members = GangSize ? GangSize(Order.Task) : 0;
    Target.Running[Name] = {
        .Plan = Plan,
        .EndsAt = Timers_.now() + (Members > 0 ? GangTimeout : Plan.Duration),
        .GangIncomplete = Members > 0};
    History_.started(Id, Order.Task, Order.Run);
    if (Members > 0)
      joinGang(Order, Members);
    return reply(Target, OrderStatus::Ok);
  }

  OrderReply stop(const std::string &Id, std::int64_t Token,
                  const std::string &Task, int Run) {
    Worker &Target = Workers_.at(Id);
    tick(Target);
    if (!acceptToken(Target, Token))
      return reply(Target, OrderStatus::Fenced);
    int &HighestClosedRun = Target.HighestClosedRun[Task];
    HighestClosedRun = std::max(HighestClosedRun, Run);
    if (Target.Running.contains({Task, Run}))
      end(Target, {Task, Run}, "stopped");
    return reply(Target, OrderStatus::Ok);
  }

  /// Applies a heartbeat, unless its token is too low.
  HeartbeatReply heartbeat(const std::string &Id, std::int64_t Token,
                           const HeartbeatOrder &Order) {
    Worker &Target = Workers_.at(Id);
    tick(Target);
    if (!acceptToken(Target, Token))
      return {.Status = OrderStatus::Fenced};
    Target.LeaseEnd = std::max(Target.LeaseEnd, capped(Target, Order.LeaseEnd));
    for (const ListedEnd &End : Target.Ended)
      if (End.Row.Number <= Order.Acknowledged)
        History_.acknowledged(Id, End.Row.Task, End.Row.Run, End.Row.Outcome,
                              !End.LeaseExpired);
    std::erase_if(Target.Ended, [&](const ListedEnd &End) {
      return End.Row.Number <= Order.Acknowledged;
    });
    return listRuns(Id);
  }
  [[nodiscard]] bool hasEnds(const std::string &Id) const {
    return !Workers_.at(Id).Ended.empty();
  }
  [[nodiscard]] HeartbeatReply listRuns(const std::string &Id) const {
    const Worker &Target = Workers_.at(Id);
    HeartbeatReply Reply{.ClockNow = clock(Target),
                         .StartedAtMs = Target.Entry.StartedAtMs};
    for (const auto &[Name, Run] : Target.Running)
      Reply.Running.push_back({.Task = Name.first, .Run = Name.second});
    for (const ListedEnd &End : Target.Ended)
      Reply.Ended.push_back(End.Row);
    return Reply;
  }

private:
  using Key = std::pair<std::string, int>;
  static constexpr std::chrono::milliseconds GangTimeout{3000};
  static constexpr std::chrono::milliseconds DownTime{3000};
  static constexpr std::chrono::milliseconds MaximumLease{10000};

  struct Run {
    RunPlan Plan;
    Clock::time_point EndsAt{};
    bool GangIncomplete =
        false; ///< Not all members of its gang are running yet.
  };
  struct ListedEnd {
    EndedTask Row;
    bool LeaseExpired = false; ///< The lease expired after this end.
  };
  struct Worker {
    WorkerEntry Entry;
    Clock::time_point StartedAt{};
    Clock::time_point DownUntil{};
    /// Start of the oldest incarnation to which a call may have been sent that
    /// still reaches this one.
    std::int64_t OldestReachedMs = 0;
    std::int64_t HighestToken = 0;
    std::int64_t LastEnd = 0;
    std::chrono::milliseconds LeaseEnd{0};
    std::map<Key, Run> Running;
    std::map<std::string, int>
        HighestClosedRun; ///< Highest run of each task that was stopped or has
                          ///< ended.
    std::vector<ListedEnd> Ended;
  };

  static bool acceptToken(Worker &Target, std::int64_t Token) {
    if (Token < Target.HighestToken)
      return false;
    Target.HighestToken = Token;
    return true;
  }
  [[nodiscard]] std::chrono::milliseconds clock(const Worker &Target) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Timers_.now() - Target.StartedAt);
  }
  [[nodiscard]] std::chrono::milliseconds
  capped(const Worker &Target, std::chrono::milliseconds LeaseEnd) const {
    return std::min(LeaseEnd, clock(Target) + MaximumLease);
  }
  [[nodiscard]] OrderReply reply(const Worker &Target,
                                 OrderStatus Status) const {
    return {.Status = Status, .ClockNow = clock(Target)};
  }

  /// Name is a copy, as the original may be a key of Target.Running.
  void end(Worker &Target, Key Name, const std::string &Outcome) {
    Target.Running.erase(Name);
    int &HighestClosedRun = Target.HighestClosedRun[Name.first];
    HighestClosedRun = std::max(HighestClosedRun, Name.second);
    Target.Ended.push_back({.Row = {.Number = ++Target.LastEnd,
                                    .Task = Name.first,
                                    .Run = Name.second,
                                    .Outcome = Outcome,
                                    .Checkpoint = {}}});
    History_.ended(Target.Entry.Id, Name.first, Name.second, Outcome);
    if (GangSize && GangSize(Name.first) > 0)
      endGang(Name, Outcome == "done" ? "done" : "broken");
  }

  /// Returns the workers with a run that crashes them now.
  [[nodiscard]] std::vector<std::string> crashingWorkers() {
    std::vector<std::string> Crashing;
    for (const auto &[Id, Target] : Workers_)
      for (const auto &[Name, RunState] : Target.Running)
        if (RunState.Plan.Outcome == "crash" &&
            Timers_.now() >= RunState.EndsAt) {
          History_.crashed(Name.first);
          Crashing.push_back(Id);
          break;
        }
    return Crashing;
  }

  void tick(Worker &Target) {
    if (clock(Target) >= Target.LeaseEnd) {
      for (ListedEnd &End : Target.Ended)
        End.LeaseExpired = true;
      while (!Target.Running.empty())
        end(Target, Target.Running.begin()->first, "lapsed");
    }
    std::vector<std::pair<Key, std::string>> Due;
    for (const auto &[Name, RunState] : Target.Running)
      if (Timers_.now() >= RunState.EndsAt && RunState.Plan.Outcome != "crash")
        Due.emplace_back(Name, RunState.GangIncomplete ? "alone"
                                                       : RunState.Plan.Outcome);
    for (const auto &[Name, Outcome] : Due)
      if (Target.Running.contains(Name))
        end(Target, Name, Outcome);
  }

  static std::string stepOf(const std::string &Task) {
    return Task.substr(0, Task.rfind('.'));
  }

  void joinGang(const StartOrder &Order, int Members) {
    std::vector<Run *> Present;
    for (auto &[Id, Target] : Workers_)
      for (auto &[Name, RunState] : Target.Running)
        if (Name.second == Order.Run &&
            stepOf(Name.first) == stepOf(Order.Task))
          Present.push_back(&RunState);
    if (static_cast<int>(Present.size()) != Members)
      return;
    const RunPlan Plan = Present.front()->Plan;
    for (Run *RunState : Present) {
      RunState->GangIncomplete = false;
      RunState->Plan = Plan;
      RunState->EndsAt = Timers_.now() + Plan.Duration;
    }
  }

  /// Ends the other members of a gang once one member has ended.
  void endGang(const Key &First, const std::string &Outcome) {
    for (auto &[Id, Target] : Workers_) {
      std::vector<Key> Others;
      for (const auto &[Name, RunState] : Target.Running)
        if (!RunState.GangIncomplete && Name.second == First.second &&
            stepOf(Name.first) == stepOf(First.first))
          Others.push_back(Name);
      for (const Key &Name : Others)
        if (Target.Running.contains(Name))
          end(Target, Name, Outcome);
    }
  }

  TimerService &Timers_;
  RunHistory &History_;
  std::map<std::string, Worker> Workers_;
  std::int64_t LastStartedAtMs_ = 0;
};

/// The workers as seen by one process.
class FakeWorkersClient final : public WorkerClient {
public:
  FakeWorkersClient(TimerService &Timers, FakeWorkers &Workers,
                    std::string Process, ProcessAlive Alive)
      : Timers_(Timers), Workers_(Workers), Process_(std::move(Process)),
        Alive_(std::move(Alive)) {}

  asio::awaitable<Result<OrderReply>>
  start(WorkerEntry Worker, std::int64_t Token,
        std::chrono::milliseconds LeaseEnd, StartOrder Order,
        std::chrono::milliseconds Timeout) override {
    return call(
        Worker.Id, "start", Timeout,
        [this, Id = Worker.Id, Token, LeaseEnd, Order = std::move(Order)] {
          return Workers_.start(Id, Token, LeaseEnd, Order);
        });
  }
  asio::awaitable<Result<OrderReply>>
  stop(WorkerEntry Worker, std::int64_t Token, std::string Task, int Run,
       std::chrono::milliseconds Timeout) override {
    return call(Worker.Id, "stop", Timeout,
                [this, Id = Worker.Id, Token, Task, Run] {
                  return Workers_.stop(Id, Token, Task, Run);
                });
  }
  asio::awaitable<Result<HeartbeatReply>>
  heartbeat(WorkerEntry Worker, std::int64_t Token,
            HeartbeatOrder Order) override {
    const CallFault Fault = Workers_.faultFor(Process_, Worker.Id, "hold");
    return callFromProcess(Timers_, Alive_,
                           waitForEnds(Worker.Id, Token, Order, Fault));
  }

private:
  static constexpr std::chrono::milliseconds Latency{2};
  static constexpr std::chrono::milliseconds Poll{10};

  asio::awaitable<Result<OrderReply>> call(const std::string &Id,
                                           const char *Name,
                                           std::chrono::milliseconds Timeout,
                                           std::function<OrderReply()> Effect) {
    return callFromProcess(
        Timers_, Alive_,
        executeWithFault<OrderReply>(
            Timers_, Workers_.faultFor(Process_, Id, Name), Latency, Timeout,
            unlessCrashed<OrderReply>(Id, std::move(Effect))));
  }

  /// Returns the effect of a call that is sent now. It fails if the worker
  /// crashes before it receives the call.
  template <typename T>
  std::function<Result<T>()> unlessCrashed(const std::string &Id,
                                           std::function<T()> Effect) {
    return [this, Id, Effect = std::move(Effect),
            SentTo = Workers_.entry(Id).StartedAtMs]() -> Result<T> {
      if (!Workers_.isReached(Id, SentTo))
        return fail(ErrorCode::Unavailable, "connection reset");
      return Effect();
    };
  }

  asio::awaitable<Result<HeartbeatReply>> waitForEnds(std::string Id,
                                                      std::int64_t Token,
                                                      HeartbeatOrder Order,
                                                      CallFault Fault) {
    std::function<HeartbeatReply()> Effect = [this, Id, Token, Order] {
      return Workers_.heartbeat(Id, Token, Order);
    };
    auto Reply = co_await executeWithFault<HeartbeatReply>(
        Timers_, Fault, Latency, Order.Wait + Order.AnswerTime,
        unlessCrashed<HeartbeatReply>(Id, std::move(Effect)));
    if (!Reply || Reply->Status != OrderStatus::Ok)
      co_return Reply;
    const Clock::time_point End = Timers_.now() + Order.Wait;
    while (Timers_.now() < End && !Workers_.hasEnds(Id) &&
           Workers_.entry(Id).StartedAtMs == Reply->StartedAtMs)
      co_await Timers_.sleepFor(Poll);
    if (Workers_.entry(Id).StartedAtMs != Reply->StartedAtMs) {
      // The restart of the worker reset the connection.
      co_return fail(ErrorCode::Unavailable, "connection reset");
    }
    Reply = Workers_.listRuns(Id);
    co_await Timers_.sleepFor(Latency);
    co_return Reply;
  }

  TimerService &Timers_;
  FakeWorkers &Workers_;
  std::string Process_;
  ProcessAlive Alive_;
};

} // namespace hickory
