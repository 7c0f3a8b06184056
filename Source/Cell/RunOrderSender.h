#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/SchedulableStep.h"
#include "Cell/ShardMembership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct RunOrderSenderOptions {
  std::chrono::milliseconds StopRetryDelay{250};
  /// Delay before a step is placed again after one of its tasks was rejected.
  std::chrono::milliseconds RejectedRetryDelay{20};
  /// Bound of the jitter before a gang is placed again. Above the interval of
  /// exchanges, so that processes which receive the same reports at the same
  /// time do not all place their gangs then.
  std::chrono::milliseconds MaximumGangRetryDelay{640};
  /// Time after the first reservation of a gang during which rejected members
  /// are replaced.
  std::chrono::milliseconds ReplacementTime{400};
  /// A gang is not started later than this after its first reservation. Below
  /// WorkerAgentOptions::ReservationLifetime, so that the start orders arrive
  /// before the reservations expire.
  std::chrono::milliseconds ReservationUseTime{2600};
  /// Minimum remaining validity of a ticket, for the time until the placement
  /// has reached the holder of the worker and its start order the worker.
  std::chrono::milliseconds TicketMargin{150};
};

/// Sends placements and stop orders to the holders of workers, and records the
/// outcomes in the jobs. A placement with an unknown outcome is stopped.
class RunOrderSender {
public:
  RunOrderSender(const asio::any_io_executor &Executor, TimerService &Timers,
                 JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
                 const ShardMembership &Shards, EventLog &Events,
                 Metrics &Counters, RunOrderSenderOptions Options);

  /// Sets the function that returns the workers on which tasks of the step may
  /// be placed at present.
  void setCandidateSource(
      std::function<std::vector<Candidate>(const SchedulableStep &)> Source) {
    CandidateSource_ = std::move(Source);
  }
  /// Sets the function that requests tickets for the workers, and returns once
  /// all requests are answered or have failed.
  void
  setTicketSource(std::function<asio::awaitable<void>(SchedulableStep,
                                                      std::vector<std::string>)>
                      Source) {
    TicketSource_ = std::move(Source);
  }
  /// Starts the first tasks of the step on the chosen candidates. A gang is
  /// started only after capacity has been reserved for all of its members:
  /// those whose worker rejects them are placed on other workers, while the
  /// others keep their reservations. Then tickets are requested for the workers
  /// that need one.
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
  struct GangMember {
    PendingPlacement Placement;
    std::string Rack;
    std::string Address; ///< Of the worker's holder; empty if there is none.
    bool Reserved = false;
  };
  /// A gang for whose members capacity is being reserved.
  struct GangPlacement {
    SchedulableStep Schedulable;
    ShardEpoch Job;
    std::vector<GangMember> Members;
    /// Workers that have rejected a member, or whose holder did not answer.
    std::set<std::string> ExcludedWorkers;
  };

  /// Returns the order that starts the task on the candidate.
  [[nodiscard]] PendingPlacement
  makePlacement(const SchedulableStep &Schedulable, int Run, int Index,
                const Candidate &Chosen) const;
  /// Returns the run of the placement, for a stop order.
  [[nodiscard]] RunReference
  referenceTo(const PendingPlacement &Placement) const;
  /// Records that the placement is about to be sent, and returns the address of
  /// the worker's holder, which is empty if there is none.
  std::string beginPlacement(const SchedulableStep &Schedulable,
                             const PendingPlacement &Placement);
  /// AreReserved: capacity is reserved for the orders, so that the view no
  /// longer counts them as in flight.
  asio::awaitable<void> placeAt(std::string Address, ShardEpoch Job,
                                std::vector<PendingPlacement> Orders,
                                bool AreReserved);
  asio::awaitable<void> placeGang(GangPlacement Gang);
  [[nodiscard]] static bool allReserved(const GangPlacement &Gang) {
    return std::ranges::all_of(Gang.Members, &GangMember::Reserved);
  }
  /// Returns true if the gang may still be started: its reservations are held
  /// by the present holders, and nothing has ended it meanwhile.
  [[nodiscard]] bool canStartGang(const GangPlacement &Gang);
  /// Reserves capacity for all members, and replaces those that are rejected.
  asio::awaitable<void> reserveAll(GangPlacement &Gang,
                                   Clock::time_point Begin);
  /// Requests tickets for the members' workers that have no valid one, until
  /// all have one or the gang can't be started any more.
  asio::awaitable<void> obtainTickets(GangPlacement &Gang,
                                      Clock::time_point Begin);
  /// Returns the workers of members without a ticket that is valid until the
  /// start orders have arrived.
  [[nodiscard]] std::vector<std::string>
  workersWithoutTicket(const GangPlacement &Gang) const;
  /// Asks the holders to reserve capacity for the members that have none. Those
  /// that are rejected have no reservation afterwards.
  asio::awaitable<void> reserveMissing(GangPlacement &Gang);
  asio::awaitable<void> reserveAt(std::string Address, PlaceRequest Request,
                                  std::shared_ptr<Result<PlaceReply>> Reply);
  void applyReservation(GangPlacement &Gang, GangMember &Member,
                        const PlaceResult &Result);
  /// Places the members without a reservation on other workers. Returns false
  /// if there is not enough capacity for all of them.
  bool replaceRejected(GangPlacement &Gang);
  /// Returns the time until the next attempt to place the gang:
  /// RejectedRetryDelay and a jitter whose bound doubles with each failed
  /// attempt. Without it, processes that see the same capacity at the same time
  /// reject each other's gangs again and again.
  [[nodiscard]] std::chrono::milliseconds
  gangRetryDelay(const GangPlacement &Gang) const;
  /// Records that the gang is not started, and releases its reservations, the
  /// first of which was requested at Begin.
  void withdrawGang(const GangPlacement &Gang, Clock::time_point Begin);
  void reportWithdrawal(const GangPlacement &Gang, Clock::time_point Begin);
  asio::awaitable<void> releaseReservations(std::string Address,
                                            StopRequest Request);
  void countRejection(const PendingPlacement &Placement,
                      const std::string &Reason);
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
  std::function<std::vector<Candidate>(const SchedulableStep &)>
      CandidateSource_;
  std::function<asio::awaitable<void>(SchedulableStep,
                                      std::vector<std::string>)>
      TicketSource_;
  std::set<std::string> PendingOrders_; ///< TASK#RUN@WORKER
  std::set<std::string> PendingStops_;  ///< TASK#RUN@WORKER
  bool Stopped_ = false;
};

} // namespace hickory
