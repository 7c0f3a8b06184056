#pragma once

#include "Base/TimerService.h"
#include "Cell/WorkerClient.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// One worker in memory that checks only the fencing token.
class FakeWorkerClient final : public WorkerClient {
public:
  explicit FakeWorkerClient(TimerService &Timers) : Timers_(Timers) {}

  bool Reachable = true;
  bool Refuses = false; ///< Connections are refused; the worker runs on.
  bool IsAnotherWorker = false; ///< Another worker answers at the address.
  /// Starts are executed, but their replies are lost.
  bool LoseStartAnswers = false;
  /// Starts are neither executed nor answered.
  bool LoseStarts = false;
  std::int64_t StartedAtMs = 1;
  std::int64_t HighestToken = 0;
  std::int64_t Acknowledged = 0;
  std::map<std::pair<std::string, int>, std::string>
      Running; ///< Checkpoint of each run.
  std::vector<EndedTask> Ended;
  std::vector<std::pair<std::string, int>> Stops;
  int Starts = 0;
  int Heartbeats = 0;
  std::chrono::milliseconds LeaseEnd{0};

  void end(const std::string &Task, int Run, const std::string &Outcome) {
    Running.erase({Task, Run});
    Ended.push_back({.Number = NextEnd_++,
                     .Task = Task,
                     .Run = Run,
                     .Outcome = Outcome,
                     .Checkpoint = {}});
  }
  void restart() {
    ++StartedAtMs;
    HighestToken = 0;
    Acknowledged = 0;
    NextEnd_ = 1;
    Running.clear();
    Ended.clear();
  }

  asio::awaitable<Result<OrderReply>>
  start(WorkerEntry /*Worker*/, std::int64_t Token,
        std::chrono::milliseconds Lease, StartOrder Order,
        std::chrono::milliseconds Timeout) override {
    ++Starts;
    if (Refuses)
      co_return fail(ErrorCode::ConnectionRefused, "refused");
    if (!Reachable || LoseStarts) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_await Timers_.sleepFor(std::chrono::milliseconds(1));
    if (!acceptToken(Token))
      co_return OrderReply{.Status = OrderStatus::Fenced};
    const std::pair<std::string, int> Name(Order.Task, Order.Run);
    if (std::ranges::count(Stops, Name) > 0)
      co_return OrderReply{.Status = OrderStatus::Old};
    Running[Name] = Order.Checkpoint;
    LeaseEnd = std::max(LeaseEnd, Lease);
    if (LoseStartAnswers) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_return OrderReply{};
  }

  asio::awaitable<Result<OrderReply>>
  stop(WorkerEntry /*Worker*/, std::int64_t Token, std::string Task, int Run,
       std::chrono::milliseconds Timeout) override {
    if (!Reachable) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Refuses)
      co_return fail(ErrorCode::ConnectionRefused, "refused");
    co_await Timers_.sleepFor(std::chrono::milliseconds(1));
    if (!acceptToken(Token))
      co_return OrderReply{.Status = OrderStatus::Fenced};
    Stops.emplace_back(Task, Run);
    if (Running.contains({Task, Run}))
      end(Task, Run, "stopped");
    co_return OrderReply{};
  }

  asio::awaitable<Result<HeartbeatReply>>
  heartbeat(WorkerEntry /*Worker*/, std::int64_t Token,
            HeartbeatOrder Order) override {
    ++Heartbeats;
    if (Refuses)
      co_return fail(ErrorCode::ConnectionRefused, "refused");
    if (!Reachable) {
      co_await Timers_.sleepFor(Order.Wait + std::chrono::seconds(1));
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_await Timers_.sleepFor(std::chrono::milliseconds(20));
    if (!Reachable)
      co_return fail(ErrorCode::Timeout, "no answer");
    if (IsAnotherWorker)
      co_return HeartbeatReply{.Status = OrderStatus::WrongWorker};
    if (!acceptToken(Token))
      co_return HeartbeatReply{.Status = OrderStatus::Fenced};
    LeaseEnd = std::max(LeaseEnd, Order.LeaseEnd);
    Acknowledged = std::max(Acknowledged, Order.Acknowledged);
    HeartbeatReply Reply{.ClockNow = clock(), .StartedAtMs = StartedAtMs};
    for (const auto &[Name, Checkpoint] : Running)
      Reply.Running.push_back(
          {.Task = Name.first, .Run = Name.second, .Checkpoint = Checkpoint});
    for (const EndedTask &Item : Ended)
      if (Item.Number > Acknowledged)
        Reply.Ended.push_back(Item);
    co_return Reply;
  }

  [[nodiscard]] std::chrono::milliseconds clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Timers_.now().time_since_epoch());
  }

private:
  bool acceptToken(std::int64_t Token) {
    if (Token < HighestToken)
      return false;
    HighestToken = Token;
    return true;
  }

  TimerService &Timers_;
  std::int64_t NextEnd_ = 1;
};

} // namespace hickory
