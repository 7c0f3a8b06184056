#pragma once

#include "Base/Error.h"
#include "Work/JobSpec.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// A worker as the platform lists it.
struct WorkerEntry {
  std::string Id;
  std::string Service; ///< Pool that it belongs to.
  std::string Address; ///< ip:port
  std::string FailureDomain;
  std::vector<std::string> Labels; ///< Kind and rack.
  Resources Capacity;
  std::string Rack;
  bool Draining = false;
  std::int64_t Born = 0; ///< Start of this incarnation, Unix milliseconds.
};

struct StartOrder {
  std::string Task;
  int Run = 0;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;
};

enum class OrderStatus {
  Ok,
  Fenced, ///< A higher fencing token was seen.
  Old,    ///< This or a later run was stopped or has ended there.
  Late,   ///< The lease that the order gives has ended.
  NoRoom,
  BadTicket,
  Unhealthy, ///< The worker does nothing at present.
  WrongIncarnation,
  Invalid,
};

const char *nameOf(OrderStatus Status);

struct OrderReply {
  OrderStatus Status = OrderStatus::Ok;
  std::chrono::milliseconds ClockNow{0}; ///< Of the worker.
};

struct RunningTask {
  std::string Task;
  int Run = 0;
  std::string Checkpoint;
  int Percent = 0;
};

struct EndedTask {
  std::int64_t Number = 0; ///< Counts the ends of this incarnation.
  std::string Task;
  int Run = 0;
  std::string How;
  std::string Checkpoint;
};

struct HoldOrder {
  std::int64_t Acknowledged = 0;
  std::chrono::milliseconds LeaseEnd{0}; ///< Worker's clock; 0 is not sent.
  std::chrono::milliseconds Wait{0};     ///< For an end.
};

struct HoldReply {
  OrderStatus Status = OrderStatus::Ok;
  std::chrono::milliseconds ClockNow{0};
  std::int64_t Born = 0;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
};

/// Orders for workers. Every order carries a fencing token; the worker does
/// nothing for one that is lower than another it has seen. Errors: the order
/// may be carried out, also later, unless the error says that it had no effect.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;

  virtual asio::awaitable<Result<OrderReply>>
  start(WorkerEntry Worker, std::int64_t Token,
        std::chrono::milliseconds LeaseEnd, StartOrder Order,
        std::chrono::milliseconds Timeout) = 0;
  virtual asio::awaitable<Result<OrderReply>>
  stop(WorkerEntry Worker, std::int64_t Token, std::string Task, int Run,
       std::chrono::milliseconds Timeout) = 0;
  virtual asio::awaitable<Result<HoldReply>>
  hold(WorkerEntry Worker, std::int64_t Token, HoldOrder Order) = 0;
};

struct Ticket {
  std::string Worker;
  std::string Text;
};

struct Advice {
  std::vector<Ticket> Good;
  std::chrono::milliseconds Validity{0};
};

/// Tells which workers may run a step. Handles one call of a process at a time.
class AdviceClient {
public:
  virtual ~AdviceClient() = default;
  virtual asio::awaitable<Result<Advice>>
  ask(std::string Step, std::vector<std::string> Workers,
      std::chrono::milliseconds Timeout) = 0;
};

} // namespace hickory
