#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/SchedulableStep.h"
#include "Cell/ShardMembership.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct RunOrderSenderOptions {
  std::chrono::milliseconds StopRetry{250};
  /// A step waits so long after a worker refused one of its tasks.
  std::chrono::milliseconds RejectedPause{20};
};

/// Sends placements and stops to the holders of workers, and tells the jobs
/// what became of them. A placement whose effect is unknown is stopped.
class RunOrderSender {
public:
  RunOrderSender(const asio::any_io_executor &Executor, TimerService &Timers,
                 JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
                 const ShardMembership &Shards, EventLog &Events,
                 Metrics &Counters, RunOrderSenderOptions Options);

  /// Starts the first tasks of the step on the chosen candidates, a gang only
  /// when all its members have room.
  void place(const SchedulableStep &Item,
             const std::vector<Candidate> &Candidates,
             const std::vector<std::size_t> &Chosen);
  void stopRuns(std::vector<RunId> Runs);
  /// True if an order for a job of the shard may go to the holder of the
  /// worker; else what is missing is asked for.
  [[nodiscard]] bool canOrder(int JobShard, const std::string &Worker);
  /// True while an order or a stop of the run has no definite answer.
  [[nodiscard]] bool hasPendingOrder(const RunId &Run) const;
  void stop() { Stopped_ = true; }

private:
  struct Placing {
    RunId Run;
    PlaceOrder Order;
  };
  using OrdersByAddress = std::map<std::string, std::vector<Placing>>;
  /// Answers of all holders of a gang's workers.
  using Reservations = std::vector<Result<PlaceReply>>;

  /// The order for the given task on the candidate.
  [[nodiscard]] Placing orderFor(const SchedulableStep &Item, int Run,
                                 int Index, const Candidate &Chosen) const;
  asio::awaitable<void> placeAt(std::string Address, ShardEpoch Job,
                                std::vector<Placing> Orders);
  asio::awaitable<void> placeGang(ShardEpoch Job, OrdersByAddress Orders);
  /// True if the gang may still start where its room is reserved.
  [[nodiscard]] bool maySend(const ShardEpoch &Job,
                             const OrdersByAddress &Orders);
  /// What all addresses answer to the orders, in their order.
  asio::awaitable<Reservations> reserveAll(ShardEpoch Job,
                                           const OrdersByAddress &Orders);
  asio::awaitable<void> reserveAt(std::string Address, PlaceRequest Request,
                                  std::shared_ptr<Reservations> Shared,
                                  std::size_t Index);
  void withdraw(const std::string &Address, const std::vector<Placing> &Orders,
                const Result<PlaceReply> &Reply);
  asio::awaitable<void> release(std::string Address, StopRequest Request);
  void applyResult(const Placing &Item, const PlaceResult &Result);
  asio::awaitable<void> stopUntilAnswered(RunId Run);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  JobOwner &Jobs_;
  CapacityView &View_;
  CellPeer &Peers_;
  const ShardMembership &Shards_;
  ShardMap Map_;
  EventLog &Events_;
  Metrics &Counters_;
  RunOrderSenderOptions Options_;
  std::set<std::string> Ordering_; ///< TASK#RUN@WORKER
  std::set<std::string> Stopping_; ///< TASK#RUN@WORKER
  bool Stopped_ = false;
};

} // namespace hickory
