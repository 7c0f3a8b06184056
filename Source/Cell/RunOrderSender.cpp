#include "Cell/RunOrderSender.h"

#include "Base/Milliseconds.h"
#include "Base/WaitForAll.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

/// Reason for members with a reservation when another member of the gang has
/// none.
constexpr const char *IncompleteGang = "gang_incomplete";

std::string keyOf(const RunId &Run) {
  return fmt::format("{}#{}@{}", Run.Task.toString(), Run.Run, Run.Worker);
}

} // namespace

RunOrderSender::RunOrderSender(const asio::any_io_executor &Executor,
                               TimerService &Timers, JobOwner &Jobs,
                               CapacityView &View, CellPeer &Peers,
                               const ShardMembership &Shards, EventLog &Events,
                               Metrics &Counters, RunOrderSenderOptions Options)
    : Executor_(Executor), Timers_(Timers), Jobs_(Jobs), View_(View),
      Peers_(Peers), Shards_(Shards), Map_(Jobs.shardCount()), Events_(Events),
      Counters_(Counters), Options_(Options) {}

RunOrderSender::PendingPlacement
RunOrderSender::makePlacement(const SchedulableStep &Schedulable, int Run,
                              int Index, const Candidate &Chosen) const {
  const JobSpec &Job = Schedulable.job();
  const StepSpec &Step = Schedulable.step();
  RunId Id{.Task = {.Job = Job.Id,
                    .Occurrence = Schedulable.Step.Occurrence,
                    .Step = Schedulable.Step.Step,
                    .Index = Index},
           .Run = Run,
           .Worker = Chosen.Worker->Id};
  const std::string *Ticket =
      Schedulable.advice().ticketFor(Id.Worker, Timers_.now());
  PlaceOrder Order{
      .Task = Id.Task.toString(),
      .Run = Run,
      .Worker = Id.Worker,
      .Demand = Step.Demand,
      .Payload = Job.Payload,
      .Checkpoint = Schedulable.Job->Progress.checkpointOf(Id.Task),
      .Ticket = Ticket == nullptr ? "" : *Ticket,
      // Only estimates for priority 0 are exact enough to judge a worker by.
      .ExpectedMs =
          Job.Queue.Priority == 0 ? Step.EstimatedDuration.count() : 0,
      .Priority = Job.Queue.Priority,
      .Preemptible = isPreemptible(Step),
      .CrashSuspect = Schedulable.Job->Progress.isCrashSuspect(Id.Task),
      .HolderEpoch = holderEpochOf(Id.Worker)};
  return {.Run = std::move(Id), .Order = std::move(Order)};
}

void RunOrderSender::place(const SchedulableStep &Schedulable,
                           const std::vector<Candidate> &Candidates,
                           const std::vector<std::size_t> &Chosen) {
  if (Chosen.empty())
    return;
  JobProgress &Progress = Schedulable.Job->Progress;
  const auto Epoch = Jobs_.epochOf(Schedulable.Job->Shard);
  const int Run =
      Progress.nextRun(Schedulable.Step.Occurrence, Schedulable.Step.Step);
  OrdersByAddress ByAddress;
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    PendingPlacement Placement = makePlacement(
        Schedulable, Run, Schedulable.Step.Tasks[I], Candidates[Chosen[I]]);
    Progress.markPlacing(Placement.Run, Timers_.now());
    PendingOrders_.insert(keyOf(Placement.Run));
    View_.reserveInFlight(Placement.Run.Worker, Placement.Order.Demand);
    const auto Holder = Shards_.holderOf(Map_.shardOf(Placement.Run.Worker));
    ByAddress[Holder.value_or("")].push_back(std::move(Placement));
  }
  Events_.emit("dispatch", "placing",
               {{"job", Schedulable.job().Id},
                {"step", Schedulable.Step.Step},
                {"run", Run},
                {"tasks", Chosen.size()},
                {"age_ms",
                 toMilliseconds(Timers_.now() - Schedulable.Job->AcceptedAt)}});
  const ShardEpoch Shard{.Shard = Schedulable.Job->Shard,
                         .Epoch = Epoch.value_or(0)};
  if (Schedulable.step().Gang) {
    asio::co_spawn(Executor_, placeGang(Shard, std::move(ByAddress)),
                   asio::detached);
    return;
  }
  for (auto &[Address, Orders] : ByAddress)
    asio::co_spawn(Executor_, placeAt(Address, Shard, std::move(Orders)),
                   asio::detached);
}

asio::awaitable<void>
RunOrderSender::reserveAt(std::string Address, PlaceRequest Request,
                          std::shared_ptr<ReservationReplies> Shared,
                          std::size_t Index) {
  (*Shared)[Index] =
      co_await Peers_.place(std::move(Address), std::move(Request));
}

asio::awaitable<RunOrderSender::ReservationReplies>
RunOrderSender::reserveAll(ShardEpoch Job, const OrdersByAddress &Orders) {
  auto Shared = std::make_shared<ReservationReplies>(
      Orders.size(), fail(ErrorCode::NotSent, "the shard has no holder"));
  std::vector<asio::awaitable<void>> Calls;
  std::size_t Index = 0;
  for (const auto &[Address, Placements] : Orders) {
    PlaceRequest Request{.Job = Job, .ReserveOnly = true};
    for (const PendingPlacement &Placement : Placements) {
      PlaceOrder Order = Placement.Order;
      Order.Payload.clear();
      Request.Orders.push_back(std::move(Order));
    }
    if (!Address.empty())
      Calls.push_back(reserveAt(Address, std::move(Request), Shared, Index));
    ++Index;
  }
  co_await waitForAll(Executor_, std::move(Calls));
  co_return std::move(*Shared);
}

asio::awaitable<void> RunOrderSender::placeGang(ShardEpoch Job,
                                                OrdersByAddress Orders) {
  const auto Replies = co_await reserveAll(Job, Orders);
  const bool Complete =
      canStartGang(Job, Orders) &&
      std::ranges::all_of(Replies, [](const Result<PlaceReply> &Reply) {
        return Reply &&
               std::ranges::all_of(Reply->Results, [](const auto &Result) {
                 return Result.Status == PlaceStatus::Reserved;
               });
      });
  std::size_t Index = 0;
  for (auto &[Address, Placements] : Orders)
    if (Complete)
      asio::co_spawn(Executor_, placeAt(Address, Job, std::move(Placements)),
                     asio::detached);
    else
      withdrawReservations(Address, Placements, Replies[Index++]);
}

bool RunOrderSender::canOrder(int JobShard, int WorkerShard) {
  // A later owner of the job learns of the run from the worker's holder that
  // the store lists. This process must therefore have confirmed its ownership
  // of the job's shard after that holder's term was known; else both owners
  // could start the task.
  const auto Since = Shards_.termKnownSince(WorkerShard);
  if (!Since)
    return false;
  if (Jobs_.isOwnershipConfirmedSince(JobShard, *Since))
    return true;
  Jobs_.requestOwnershipConfirmation(JobShard);
  return false;
}

bool RunOrderSender::canStartGang(const ShardEpoch &Job,
                                  const OrdersByAddress &Orders) {
  if (Jobs_.epochOf(Job.Shard) != Job.Epoch)
    return false;
  for (const auto &[Address, Placements] : Orders)
    for (const PendingPlacement &Placement : Placements) {
      const int WorkerShard = Map_.shardOf(Placement.Run.Worker);
      if (Shards_.holderOf(WorkerShard) != Address ||
          Shards_.latestTerm(WorkerShard).Epoch !=
              Placement.Order.HolderEpoch ||
          !canOrder(Job.Shard, WorkerShard))
        return false;
    }
  return true;
}

void RunOrderSender::withdrawReservations(
    const std::string &Address, const std::vector<PendingPlacement> &Orders,
    const Result<PlaceReply> &Reply) {
  StopRequest Reserved;
  for (std::size_t I = 0; I < Orders.size(); ++I) {
    const PendingPlacement &Placement = Orders[I];
    View_.clearInFlight(Placement.Run.Worker, Placement.Order.Demand);
    PendingOrders_.erase(keyOf(Placement.Run));
    PlaceResult Result{.Status = PlaceStatus::Rejected,
                       .Reason = IncompleteGang};
    if (Reply && I < Reply->Results.size() &&
        Reply->Results[I].Status == PlaceStatus::Rejected)
      Result = Reply->Results[I];
    else
      Reserved.Runs.push_back(
          {.Task = Placement.Order.Task,
           .Run = Placement.Run.Run,
           .Worker = Placement.Run.Worker,
           .HolderEpoch = holderEpochOf(Placement.Run.Worker)});
    applyResult(Placement, Result);
  }
  if (Reply)
    View_.applyLoads(Reply->Loads);
  if (!Address.empty() && !Reserved.Runs.empty())
    asio::co_spawn(Executor_, releaseReservations(Address, std::move(Reserved)),
                   asio::detached);
}

asio::awaitable<void> RunOrderSender::releaseReservations(std::string Address,
                                                          StopRequest Request) {
  // If the call is lost, the reservations expire.
  co_await Peers_.stop(std::move(Address), std::move(Request));
}

asio::awaitable<void>
RunOrderSender::placeAt(std::string Address, ShardEpoch Job,
                        std::vector<PendingPlacement> Orders) {
  Result<PlaceReply> Reply =
      fail(ErrorCode::NotSent, "the shard has no holder");
  if (!Address.empty()) {
    PlaceRequest Request{.Job = Job};
    for (const PendingPlacement &Placement : Orders)
      Request.Orders.push_back(Placement.Order);
    Reply = co_await Peers_.place(Address, std::move(Request));
  }
  for (std::size_t I = 0; I < Orders.size(); ++I) {
    const PendingPlacement &Placement = Orders[I];
    View_.clearInFlight(Placement.Run.Worker, Placement.Order.Demand);
    PendingOrders_.erase(keyOf(Placement.Run));
    if (Reply && I < Reply->Results.size())
      applyResult(Placement, Reply->Results[I]);
    else if (!Reply && Reply.error().hadNoEffect())
      applyResult(Placement, {.Status = PlaceStatus::Rejected,
                              .Reason = Reply.error().Message});
    else
      // The outcome is unknown. After the stop order, the holder makes sure
      // that the run ends and reports its end.
      stopRuns({Placement.Run});
  }
  if (Reply)
    View_.applyLoads(Reply->Loads);
}

void RunOrderSender::applyResult(const PendingPlacement &Placement,
                                 const PlaceResult &Result) {
  if (Result.Status == PlaceStatus::Started) {
    Counters_.count("starts_total");
    Jobs_.markStarted(Placement.Run);
    return;
  }
  if (Result.Status == PlaceStatus::Pending) {
    Jobs_.markOrdered(Placement.Run);
    return;
  }
  Counters_.count("starts_rejected_total", 1,
                  fmt::format("reason=\"{}\"", Result.Reason));
  Events_.emit("dispatch", "rejected",
               {{"task", Placement.Order.Task},
                {"run", Placement.Run.Run},
                {"worker", Placement.Run.Worker},
                {"reason", Result.Reason}});
  if (Result.Reason == nameOf(OrderStatus::BadTicket))
    Jobs_.invalidateTicket(Placement.Run);
  if (Result.Reason == IncompleteGang)
    View_.release(Placement.Run.Worker, Placement.Order.Demand);
  else
    View_.markUnusable(Placement.Run.Worker);
  Jobs_.markRejected(Placement.Run,
                     Timers_.now() + Options_.RejectedRetryDelay);
}

bool RunOrderSender::hasPendingOrder(const RunId &Run) const {
  const std::string Key = keyOf(Run);
  // A placement without an answer may still be executed until the holder of the
  // worker has confirmed the stop.
  return PendingOrders_.contains(Key) || PendingStops_.contains(Key);
}

void RunOrderSender::stopRuns(std::vector<RunId> Runs) {
  for (RunId &Run : Runs)
    if (PendingStops_.insert(keyOf(Run)).second)
      asio::co_spawn(Executor_, stopUntilConfirmed(std::move(Run)),
                     asio::detached);
}

std::uint64_t RunOrderSender::holderEpochOf(const std::string &Worker) const {
  return Shards_.latestTerm(Map_.shardOf(Worker)).Epoch;
}

asio::awaitable<void> RunOrderSender::stopUntilConfirmed(RunId Run) {
  // If this process or the worker's holder loses its shard, the next owner or
  // holder finds the run in an exchange and stops it.
  while (!Stopped_ && Jobs_.epochOf(Map_.shardOf(Run.Task.Job))) {
    // The stop order must follow the placement, which may still be in flight.
    if (!PendingOrders_.contains(keyOf(Run))) {
      const auto Holder = Shards_.holderOf(Map_.shardOf(Run.Worker));
      if (Holder) {
        StopRequest Request;
        Request.Runs.push_back({.Task = Run.Task.toString(),
                                .Run = Run.Run,
                                .Worker = Run.Worker,
                                .HolderEpoch = holderEpochOf(Run.Worker)});
        const auto Reply = co_await Peers_.stop(*Holder, std::move(Request));
        if (Reply && Reply->NotHeld.empty())
          break;
        if (Reply)
          Events_.emit("dispatch", "stop_not_confirmed",
                       {{"task", Run.Task.toString()},
                        {"run", Run.Run},
                        {"worker", Run.Worker},
                        {"holder", *Holder}});
      }
    }
    co_await Timers_.sleepFor(Options_.StopRetryDelay);
  }
  PendingStops_.erase(keyOf(Run));
}

} // namespace hickory
