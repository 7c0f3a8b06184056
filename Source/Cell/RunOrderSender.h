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
  std::chrono::milliseconds StopRetryDelay{250};
  /// Delay before a step is placed again after one of its tasks was rejected.
  std::chrono::milliseconds RejectedRetryDelay{20};
};

/// Sends placements and stop orders to the holders of workers, and records the
/// outcomes in the jobs. A placement with an unknown outcome is stopped.
class RunOrderSender {
public:
  RunOrderSender(const asio::any_io_executor &Executor, TimerService &Timers,
                 JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
                 const ShardMembership &Shards, EventLog &Events,
                 Metrics &Counters, RunOrderSenderOptions Options);

  /// Starts the first tasks of the step on the chosen candidates. A gang is
  /// started only after capacity has been reserved for all of its members.
  void place(const SchedulableStep &Schedulable,
             const std::vector<Candidate> &Candidates,
             const std::vector<std::size_t> &Chosen);
  void stopRuns(std::vector<RunId> Runs);
  /// Returns true if a placement for a job of the shard may be sent to the
  /// holder of the workers' shard. If only the confirmation of the ownership of
  /// the job's shard is missing, requests it and returns false.
  [[nodiscard]] bool canOrder(int JobShard, int WorkerShard);
  /// Returns true while a placement of the run has no answer, or its stop no
  /// confirmation from the holder of its worker.
  [[nodiscard]] bool hasPendingOrder(const RunId &Run) const;
  void stop() { Stopped_ = true; }

private:
  struct PendingPlacement {
    RunId Run;
    PlaceOrder Order;
  };
  using OrdersByAddress = std::map<std::string, std::vector<PendingPlacement>>;
  /// Answers of the holders of a gang's workers, in the order of
  /// OrdersByAddress.
  using ReservationReplies = std::vector<Result<PlaceReply>>;

  /// Returns the order that starts the task on the candidate.
  [[nodiscard]] PendingPlacement
  makePlacement(const SchedulableStep &Schedulable, int Run, int Index,
                const Candidate &Chosen) const;
  asio::awaitable<void> placeAt(std::string Address, ShardEpoch Job,
                                std::vector<PendingPlacement> Orders);
  asio::awaitable<void> placeGang(ShardEpoch Job, OrdersByAddress Orders);
  /// Returns true if the gang may still be started on its reserved capacity.
  [[nodiscard]] bool canStartGang(const ShardEpoch &Job,
                                  const OrdersByAddress &Orders);
  /// Sends the reservations of a gang and returns the answers.
  asio::awaitable<ReservationReplies> reserveAll(ShardEpoch Job,
                                                 const OrdersByAddress &Orders);
  asio::awaitable<void> reserveAt(std::string Address, PlaceRequest Request,
                                  std::shared_ptr<ReservationReplies> Shared,
                                  std::size_t Index);
  /// Rejects the placements of a gang that is not started, and releases their
  /// reservations.
  void withdrawReservations(const std::string &Address,
                            const std::vector<PendingPlacement> &Orders,
                            const Result<PlaceReply> &Reply);
  asio::awaitable<void> releaseReservations(std::string Address,
                                            StopRequest Request);
  void applyResult(const PendingPlacement &Placement,
                   const PlaceResult &Result);
  asio::awaitable<void> stopUntilConfirmed(RunId Run);
  /// Returns the latest term of the worker's shard that its holder has
  /// reported.
  [[nodiscard]] std::uint64_t holderEpochOf(const std::string &Worker) const;

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
  std::set<std::string> PendingOrders_; ///< TASK#RUN@WORKER
  std::set<std::string> PendingStops_;  ///< TASK#RUN@WORKER
  bool Stopped_ = false;
};

} // namespace hickory
