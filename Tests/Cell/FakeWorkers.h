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

/// Outcome a run goes on.
struct RunCourse {
  std::chrono::milliseconds Takes{300};
  std::string Outcome = "done";
};

/// Workers that guard nothing but their fencing token, in the way that the
/// platform's pages describe.
class FakeWorkers {
public:
  FakeWorkers(TimerService &Timers, RunHistory &History)
      : Timers_(Timers), History_(History) {}

  /// Asked for the fate of each call. Names of calls: start, stop, hold.
  std::function<CallFault(const std::string &Process, const std::string &Worker,
                          const std::string &Call)>
      ChooseFault;
  /// Asked when a run starts.
  std::function<RunCourse(const std::string &Task, int Run)> ChooseCourse;
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
  /// It runs and knows nothing of before.
  void restart(const std::string &Id) {
    const WorkerEntry Entry = Workers_.at(Id).Entry;
    History_.workerDown(Id);
    Workers_[Id] = Worker{.Entry = Entry, .BornAt = Timers_.now()};
    // At least 1 ms between two incarnations.
    Workers_[Id].Entry.StartedAtMs = ++LastBorn_;
    History_.workerUp(Id, Entry.Capacity);
  }
  [[nodiscard]] std::size_t running(const std::string &Id) const {
    return Workers_.at(Id).Running.size();
  }
  [[nodiscard]] std::vector<std::string> ids() const {
    std::vector<std::string> All;
    All.reserve(Workers_.size());
    for (const auto &[Id, Worker] : Workers_)
      All.push_back(Id);
    return All;
  }

  /// Ends runs whose time is over or whose lease has lapsed.
  void tick() {
    for (auto &[Id, On] : Workers_)
      tick(On);
  }

  [[nodiscard]] CallFault faultFor(const std::string &Process,
                                   const std::string &Id,
                                   const std::string &Call) const {
    return ChooseFault ? ChooseFault(Process, Id, Call) : CallFault{};
  }

  OrderReply start(const std::string &Id, std::int64_t Token,
                   std::chrono::milliseconds LeaseEnd,
                   const StartOrder &Order) {
    Worker &On = Workers_.at(Id);
    tick(On);
    if (!acceptToken(On, Token))
      return reply(On, OrderStatus::Fenced);
    const Key Name(Order.Task, Order.Run);
    On.LeaseEnd = std::max(On.LeaseEnd, capped(On, LeaseEnd));
    if (On.Running.contains(Name))
      return reply(On, OrderStatus::Ok);
    if (const auto It = On.Closed.find(Order.Task);
        It != On.Closed.end() && It->second >= Order.Run)
      return reply(On, OrderStatus::Old);
    if (LeaseEnd <= clock(On))
      return reply(On, OrderStatus::Late);
    const RunCourse Course =
        ChooseCourse ? ChooseCourse(Order.Task, Order.Run) : RunCourse{};
    const int Members = GangSize ? GangSize(Order.Task) : 0;
    On.Running[Name] = {.Course = Course,
                        .EndsAt = Timers_.now() +
                                  (Members > 0 ? GangTimeout : Course.Takes),
                        .Alone = Members > 0};
    History_.started(Id, Order.Task, Order.Run);
    if (Members > 0)
      joinGang(Order, Members);
    return reply(On, OrderStatus::Ok);
  }

  OrderReply stop(const std::string &Id, std::int64_t Token,
                  const std::string &Task, int Run) {
    Worker &On = Workers_.at(Id);
    tick(On);
    if (!acceptToken(On, Token))
      return reply(On, OrderStatus::Fenced);
    int &Closed = On.Closed[Task];
    Closed = std::max(Closed, Run);
    if (On.Running.contains({Task, Run}))
      end(On, {Task, Run}, "stopped");
    return reply(On, OrderStatus::Ok);
  }

  /// Takes what the order says, or nothing if its token is too low.
  HeartbeatReply heartbeat(const std::string &Id, std::int64_t Token,
                           const HeartbeatOrder &Order) {
    Worker &On = Workers_.at(Id);
    tick(On);
    if (!acceptToken(On, Token))
      return {.Status = OrderStatus::Fenced};
    On.LeaseEnd = std::max(On.LeaseEnd, capped(On, Order.LeaseEnd));
    for (const ListedEnd &Item : On.Ended)
      if (Item.Row.Number <= Order.Acknowledged)
        History_.acknowledged(Id, Item.Row.Task, Item.Row.Run, Item.Row.Outcome,
                              !Item.Lapsed);
    std::erase_if(On.Ended, [&](const ListedEnd &Item) {
      return Item.Row.Number <= Order.Acknowledged;
    });
    return lists(Id);
  }
  [[nodiscard]] bool hasEnds(const std::string &Id) const {
    return !Workers_.at(Id).Ended.empty();
  }
  [[nodiscard]] HeartbeatReply lists(const std::string &Id) const {
    const Worker &On = Workers_.at(Id);
    HeartbeatReply Reply{.ClockNow = clock(On),
                         .StartedAtMs = On.Entry.StartedAtMs};
    for (const auto &[Name, Run] : On.Running)
      Reply.Running.push_back({.Task = Name.first, .Run = Name.second});
    for (const ListedEnd &Item : On.Ended)
      Reply.Ended.push_back(Item.Row);
    return Reply;
  }

private:
  using Key = std::pair<std::string, int>;
  static constexpr std::chrono::milliseconds GangTimeout{3000};
  static constexpr std::chrono::milliseconds LongestHold{10000};

  struct Run {
    RunCourse Course;
    Clock::time_point EndsAt{};
    bool Alone = false; ///< Not all members of its gang are there.
  };
  struct ListedEnd {
    EndedTask Row;
    bool Lapsed = false; ///< The lease lapsed after it.
  };
  struct Worker {
    WorkerEntry Entry;
    Clock::time_point BornAt{};
    std::int64_t HighestToken = 0;
    std::int64_t LastEnd = 0;
    std::chrono::milliseconds LeaseEnd{0};
    std::map<Key, Run> Running;
    std::map<std::string, int> Closed; ///< Highest run stopped or ended.
    std::vector<ListedEnd> Ended;
  };

  static bool acceptToken(Worker &On, std::int64_t Token) {
    if (Token < On.HighestToken)
      return false;
    On.HighestToken = Token;
    return true;
  }
  [[nodiscard]] std::chrono::milliseconds clock(const Worker &On) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Timers_.now() -
                                                                 On.BornAt);
  }
  [[nodiscard]] std::chrono::milliseconds
  capped(const Worker &On, std::chrono::milliseconds LeaseEnd) const {
    return std::min(LeaseEnd, clock(On) + LongestHold);
  }
  [[nodiscard]] OrderReply reply(const Worker &On, OrderStatus Status) const {
    return {.Status = Status, .ClockNow = clock(On)};
  }

  void end(Worker &On, const Key &Name, const std::string &Outcome) {
    On.Running.erase(Name);
    int &Closed = On.Closed[Name.first];
    Closed = std::max(Closed, Name.second);
    On.Ended.push_back({.Row = {.Number = ++On.LastEnd,
                                .Task = Name.first,
                                .Run = Name.second,
                                .Outcome = Outcome,
                                .Checkpoint = {}}});
    History_.ended(On.Entry.Id, Name.first, Name.second, Outcome);
    if (GangSize && GangSize(Name.first) > 0)
      endGang(Name, Outcome == "done" ? "done" : "broken");
  }

  void tick(Worker &On) {
    if (clock(On) >= On.LeaseEnd) {
      for (ListedEnd &Item : On.Ended)
        Item.Lapsed = true;
      while (!On.Running.empty())
        end(On, On.Running.begin()->first, "lapsed");
    }
    std::vector<std::pair<Key, std::string>> Due;
    for (const auto &[Name, Item] : On.Running)
      if (Timers_.now() >= Item.EndsAt)
        Due.emplace_back(Name, Item.Alone ? "alone" : Item.Course.Outcome);
    for (const auto &[Name, Outcome] : Due)
      if (On.Running.contains(Name))
        end(On, Name, Outcome);
  }

  static std::string stepOf(const std::string &Task) {
    return Task.substr(0, Task.rfind('.'));
  }

  void joinGang(const StartOrder &Order, int Members) {
    std::vector<Run *> Present;
    for (auto &[Id, On] : Workers_)
      for (auto &[Name, Item] : On.Running)
        if (Name.second == Order.Run &&
            stepOf(Name.first) == stepOf(Order.Task))
          Present.push_back(&Item);
    if (static_cast<int>(Present.size()) != Members)
      return;
    const RunCourse Course = Present.front()->Course;
    for (Run *Item : Present) {
      Item->Alone = false;
      Item->Course = Course;
      Item->EndsAt = Timers_.now() + Course.Takes;
    }
  }

  /// The other members of the run end with the first one.
  void endGang(const Key &First, const std::string &Outcome) {
    for (auto &[Id, On] : Workers_) {
      std::vector<Key> Others;
      for (const auto &[Name, Item] : On.Running)
        if (!Item.Alone && Name.second == First.second &&
            stepOf(Name.first) == stepOf(First.first))
          Others.push_back(Name);
      for (const Key &Name : Others)
        if (On.Running.contains(Name))
          end(On, Name, Outcome);
    }
  }

  TimerService &Timers_;
  RunHistory &History_;
  std::map<std::string, Worker> Workers_;
  std::int64_t LastBorn_ = 0;
};

/// The workers as one process reaches them.
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
  static constexpr std::chrono::milliseconds AnswerMargin{1000};

  asio::awaitable<Result<OrderReply>> call(const std::string &Id,
                                           const char *Name,
                                           std::chrono::milliseconds Timeout,
                                           std::function<OrderReply()> Effect) {
    return callFromProcess(Timers_, Alive_,
                           executeWithFault<OrderReply>(
                               Timers_, Workers_.faultFor(Process_, Id, Name),
                               Latency, Timeout, std::move(Effect)));
  }

  asio::awaitable<Result<HeartbeatReply>> waitForEnds(std::string Id,
                                                      std::int64_t Token,
                                                      HeartbeatOrder Order,
                                                      CallFault Fault) {
    const Clock::time_point Deadline =
        Timers_.now() + Order.Wait + AnswerMargin;
    std::function<HeartbeatReply()> Effect = [this, Id, Token, Order] {
      return Workers_.heartbeat(Id, Token, Order);
    };
    auto Reply = co_await executeWithFault<HeartbeatReply>(
        Timers_, Fault, Latency, Order.Wait + AnswerMargin, std::move(Effect));
    if (!Reply || Reply->Status != OrderStatus::Ok)
      co_return Reply;
    const Clock::time_point End = Timers_.now() + Order.Wait;
    while (Timers_.now() < End && !Workers_.hasEnds(Id) &&
           Workers_.entry(Id).StartedAtMs == Reply->StartedAtMs)
      co_await Timers_.sleepFor(Poll);
    if (Workers_.entry(Id).StartedAtMs != Reply->StartedAtMs) {
      // The connection broke when the worker ended.
      co_return fail(ErrorCode::Unavailable, "connection reset");
    }
    Reply = Workers_.lists(Id);
    co_await Timers_.sleepFor(Latency);
    co_return Reply;
  }

  TimerService &Timers_;
  FakeWorkers &Workers_;
  std::string Process_;
  ProcessAlive Alive_;
};

} // namespace hickory
