#pragma once

#include "Base/Error.h"
#include "Work/JobSpec.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// A worker's entry in the platform's list.
struct WorkerEntry {
  std::string Id;
  std::string Service; ///< Pool that the worker belongs to.
  std::string Address; ///< ip:port
  std::string FailureDomain;
  std::vector<std::string> Labels; ///< Kind and rack, in this order.
  Resources Capacity;
  std::string Rack;
  bool Draining = false;
  std::int64_t StartedAtMs =
      0; ///< Start of this incarnation, Unix milliseconds.

  bool operator==(const WorkerEntry &) const = default;
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
  Fenced, ///< The worker has seen a higher fencing token.
  Old,    ///< This or a later run of the task was stopped or has ended on the
          ///< worker.
  Late,   ///< The lease that the order grants has already ended.
  NoRoom,
  BadTicket,
  Unhealthy,   ///< The worker does not accept orders at present.
  WrongWorker, ///< Another worker answers at the address.
  Invalid,
};

const char *nameOf(OrderStatus Status);

struct OrderReply {
  OrderStatus Status = OrderStatus::Ok;
  std::chrono::milliseconds ClockNow{0}; ///< The worker's clock.
};

struct RunningTask {
  std::string Task;
  int Run = 0;
  std::string Checkpoint;
  int Percent = 0;
};

struct EndedTask {
  std::int64_t Number =
      0; ///< Sequence number of the end within this incarnation.
  std::string Task;
  int Run = 0;
  std::string Outcome;
  std::string Checkpoint;
};

struct HeartbeatOrder {
  /// The worker may drop its ends up to this number; 0: none.
  std::int64_t Acknowledged = 0;
  std::chrono::milliseconds LeaseEnd{
      0}; ///< By the worker's clock; 0: not extended.
  std::chrono::milliseconds Wait{0}; ///< Longest time to wait for an end.
  /// The call times out this time after Wait.
  std::chrono::milliseconds AnswerTime{1000};
};

struct HeartbeatReply {
  OrderStatus Status = OrderStatus::Ok;
  std::chrono::milliseconds ClockNow{0};
  std::int64_t StartedAtMs = 0;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
};

/// Sends orders to workers. Every order carries a fencing token; the worker
/// ignores an order whose token is lower than one that it has seen. After an
/// error the order may still be executed, also later, unless the error says
/// that it had no effect.
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
  /// Extends the lease, acknowledges ends, waits up to Order.Wait for new ends
  /// and returns what runs on the worker.
  virtual asio::awaitable<Result<HeartbeatReply>>
  heartbeat(WorkerEntry Worker, std::int64_t Token, HeartbeatOrder Order) = 0;
};

struct Ticket {
  std::string Worker;
  std::string Text;
};

struct Advice {
  std::vector<Ticket> Good;
  std::chrono::milliseconds Validity{0};
};

/// Calls the service that tells which workers may run a step. The service
/// handles one call of each process at a time.
class AdviceClient {
public:
  virtual ~AdviceClient() = default;
  virtual asio::awaitable<Result<Advice>>
  ask(std::string Step, std::vector<std::string> Workers,
      std::chrono::milliseconds Timeout) = 0;
};

} // namespace hickory
