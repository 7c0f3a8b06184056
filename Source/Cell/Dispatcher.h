#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Signal.h"
#include "Cell/AdviceRouter.h"
#include "Cell/CapacityView.h"
#include "Cell/CellConfiguration.h"
#include "Cell/CellPeer.h"
#include "Cell/DispatchOrder.h"
#include "Cell/GangClaim.h"
#include "Cell/JobOwner.h"
#include "Cell/Placement.h"
#include "Cell/ShardMembership.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct DispatcherOptions {
  PlacementOptions Placement;
  /// A ticket must hold for the way to the worker.
  std::chrono::milliseconds TicketMargin{150};
  /// Steps that can wait are looked at no more often, as a pass over many steps
  /// and workers takes milliseconds.
  std::chrono::milliseconds PatientInterval{40};
  /// Steps looked at in one pass; the rest is less urgent.
  std::size_t MaximumSteps = 200;
  std::chrono::milliseconds StopRetry{250};
  /// A step asks again so long after no line to the adviser was free.
  std::chrono::milliseconds ShortCallPause{15};
  std::chrono::milliseconds LongCallPause{120};
  /// A step waits so long after a worker refused one of its tasks.
  std::chrono::milliseconds RejectedPause{20};
  /// Between two requests to make room for the same step.
  std::chrono::milliseconds MakeRoomInterval{700};
};

/// Starts the ready steps of the jobs of this process: asks for advice, chooses
/// workers, places, and stops what must not go on.
class Dispatcher {
public:
  Dispatcher(const asio::any_io_executor &Executor, TimerService &Timers,
             JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
             AdviceRouter &Adviser, ShardMembership &Shards,
             const CellConfiguration &Configuration, EventLog &Events,
             Metrics &Counters, DispatcherOptions Options);

  /// Looks for work to start whenever wake() was called, until stop().
  asio::awaitable<void> run();
  void wake() { Wake_.notify(); }
  void stop();

  /// The claim of a gang of this process, for others.
  [[nodiscard]] std::vector<ClaimReport> claims() const;
  /// Another process said what it claims.
  void hearClaims(const std::string &Address,
                  const std::vector<ClaimReport> &Reports);

  void stopRuns(std::vector<RunId> Runs);
  /// True while an order for the run has no definite answer.
  [[nodiscard]] bool isOrdering(const RunId &Run) const;

private:
  struct ReadyItem {
    JobOwner::JobPointer Job;
    ReadyStep Step;
    DispatchRank Rank;

    [[nodiscard]] const JobSpec &job() const { return Job->Progress.spec(); }
    [[nodiscard]] const StepSpec &step() const {
      return job().Steps[static_cast<std::size_t>(Step.Step)];
    }
    [[nodiscard]] std::pair<int, int> key() const {
      return {Step.Occurrence, Step.Step};
    }
    [[nodiscard]] StepAdvice &advice() const { return Job->Advice[key()]; }
    [[nodiscard]] PlacementNeed need() const {
      return {.Step = &step(), .Count = static_cast<int>(Step.Tasks.size())};
    }
  };
  struct Placing {
    RunId Run;
    PlaceOrder Order;
  };

  /// Answers of all holders of a gang's workers.
  using Reservations = std::vector<Result<PlaceReply>>;

  void pass();
  /// Without the steps that can wait if they are not due.
  [[nodiscard]] std::vector<ReadyItem> collect(bool WithPatient) const;
  /// Starts what has a place and a valid ticket, and asks for advice on the
  /// rest.
  void serve(const ReadyItem &Item);
  /// True if an order of the step's job may go to the holder of the worker.
  [[nodiscard]] bool mayOrder(const ReadyItem &Item, const std::string &Worker);
  /// Workers that may run the step; for a gang also those without room now.
  [[nodiscard]] std::vector<Candidate> candidatesFor(const ReadyItem &Item);
  /// Asks the holders of claimed workers to stop less urgent runs there.
  void makeRoom(const ReadyItem &Item,
                const std::vector<ClaimedWorker> &Claimed);
  asio::awaitable<void> askForRoom(std::string Step, std::string Address,
                                   MakeRoomRequest Request);
  /// Collects room for the first gang that waits.
  void claimFor(const ReadyItem &Item,
                const std::vector<Candidate> &Candidates);
  void placeOn(const ReadyItem &Item, const std::vector<Candidate> &Candidates,
               const std::vector<std::size_t> &Chosen);
  void askFor(const ReadyItem &Item, const std::vector<Candidate> &Candidates,
              int Count);
  asio::awaitable<void> ask(ReadyItem Item, AdviceCall Call);
  void applyAdvice(const ReadyItem &Item, const AdviceCall &Call,
                   const Result<Advice> &Reply, Clock::time_point AskedAt);
  /// What a call about so many workers costs.
  [[nodiscard]] AdviceCost costOf(const ReadyItem &Item,
                                  std::size_t Workers) const;
  asio::awaitable<void> placeAt(std::string Address, ShardEpoch Job,
                                std::vector<Placing> Orders);
  using OrdersByAddress = std::map<std::string, std::vector<Placing>>;
  /// Starts a gang only when all its members have room.
  asio::awaitable<void> placeGang(ShardEpoch Job, OrdersByAddress Orders);
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
  [[nodiscard]] static std::string stepNameOf(const ReadyItem &Item);
  [[nodiscard]] std::string serviceOf(const JobSpec &Job) const;
  double &goodShareOf(const std::string &Queue);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  JobOwner &Jobs_;
  CapacityView &View_;
  CellPeer &Peers_;
  AdviceRouter &Adviser_;
  ShardMembership &Shards_;
  ShardMap Map_;
  const CellConfiguration &Configuration_;
  EventLog &Events_;
  Metrics &Counters_;
  DispatcherOptions Options_;
  Signal Wake_;
  std::set<std::string> Ordering_; ///< TASK#RUN
  std::set<std::string> Stopping_;
  std::map<std::string, double> GoodShare_; ///< By queue.
  GangClaims Claims_;
  std::optional<GangClaim> NextClaim_; ///< Made by the pass under way.
  /// Workers that claims keep from all steps but gangs, in this pass.
  std::set<std::string> KeptFromTasks_;
  Clock::time_point PatientDueAt_{};
  bool PatientSkipped_ = false; ///< By the latest pass.
  bool Stopped_ = false;
};

} // namespace hickory
