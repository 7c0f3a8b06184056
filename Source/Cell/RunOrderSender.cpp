#include "Cell/RunOrderSender.h"

#include "Base/Milliseconds.h"
#include "Base/WaitForAll.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

/// A member found room, and another one did not.
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

RunOrderSender::Placing
RunOrderSender::orderFor(const SchedulableStep &Item, int Run, int Index,
                         const Candidate &Chosen) const {
  const JobSpec &Job = Item.job();
  const StepSpec &Step = Item.step();
  RunId Id{.Task = {.Job = Job.Id,
                    .Occurrence = Item.Step.Occurrence,
                    .Step = Item.Step.Step,
                    .Index = Index},
           .Run = Run,
           .Worker = Chosen.Worker->Id};
  const std::string *Ticket = Item.advice().ticketFor(Id.Worker, Timers_.now());
  PlaceOrder Order{.Task = Id.Task.toString(),
                   .Run = Run,
                   .Worker = Id.Worker,
                   .Demand = Step.Demand,
                   .Payload = Job.Payload,
                   .Checkpoint = Item.Job->Progress.checkpointOf(Id.Task),
                   .Ticket = Ticket == nullptr ? "" : *Ticket,
                   .ExpectedMs = Job.Queue.Priority == 0
                                     ? Step.EstimatedDuration.count()
                                     : 0,
                   .Priority = Job.Queue.Priority,
                   .Preemptible = isPreemptible(Step)};
  return {.Run = std::move(Id), .Order = std::move(Order)};
}

void RunOrderSender::place(const SchedulableStep &Item,
                           const std::vector<Candidate> &Candidates,
                           const std::vector<std::size_t> &Chosen) {
  if (Chosen.empty())
    return;
  JobProgress &Progress = Item.Job->Progress;
  const auto Epoch = Jobs_.epochOf(Item.Job->Shard);
  const int Run = Progress.nextRun(Item.Step.Occurrence, Item.Step.Step);
  OrdersByAddress ByAddress;
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    Placing New =
        orderFor(Item, Run, Item.Step.Tasks[I], Candidates[Chosen[I]]);
    Progress.markPlacing(New.Run, Timers_.now());
    Ordering_.insert(keyOf(New.Run));
    View_.reserve(New.Run.Worker, New.Order.Demand);
    const auto Holder = Shards_.holderOf(Map_.shardOf(New.Run.Worker));
    ByAddress[Holder.value_or("")].push_back(std::move(New));
  }
  Events_.emit(
      "dispatch", "placing",
      {{"job", Item.job().Id},
       {"step", Item.Step.Step},
       {"run", Run},
       {"tasks", Chosen.size()},
       {"age_ms", toMilliseconds(Timers_.now() - Item.Job->AcceptedAt)}});
  const ShardEpoch Shard{.Shard = Item.Job->Shard, .Epoch = Epoch.value_or(0)};
  if (Item.step().Gang) {
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
                          std::shared_ptr<Reservations> Shared,
                          std::size_t Index) {
  (*Shared)[Index] =
      co_await Peers_.place(std::move(Address), std::move(Request));
}

asio::awaitable<RunOrderSender::Reservations>
RunOrderSender::reserveAll(ShardEpoch Job, const OrdersByAddress &Orders) {
  auto Shared = std::make_shared<Reservations>(
      Orders.size(), fail(ErrorCode::NotSent, "the shard has no holder"));
  std::vector<asio::awaitable<void>> Calls;
  std::size_t Index = 0;
  for (const auto &[Address, Items] : Orders) {
    PlaceRequest Request{.Job = Job, .ReserveOnly = true};
    for (const Placing &Item : Items) {
      PlaceOrder Order = Item.Order;
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
      maySend(Job, Orders) &&
      std::ranges::all_of(Replies, [](const Result<PlaceReply> &Reply) {
        return Reply &&
               std::ranges::all_of(Reply->Results, [](const auto &Result) {
                 return Result.Status == PlaceStatus::Reserved;
               });
      });
  std::size_t Index = 0;
  for (auto &[Address, Items] : Orders)
    if (Complete)
      asio::co_spawn(Executor_, placeAt(Address, Job, std::move(Items)),
                     asio::detached);
    else
      withdraw(Address, Items, Replies[Index++]);
}

bool RunOrderSender::canOrder(int JobShard, const std::string &Worker) {
  // A later owner of the job hears of the run from the holder that the store
  // lists. That holder's term must have begun before this owner proved that it
  // had no successor; else both could start the task.
  const auto Since = Shards_.termKnownSince(Map_.shardOf(Worker));
  if (!Since)
    return false;
  if (Jobs_.isOwnershipConfirmedSince(JobShard, *Since))
    return true;
  Jobs_.requestOwnershipConfirmation(JobShard);
  return false;
}

bool RunOrderSender::maySend(const ShardEpoch &Job,
                             const OrdersByAddress &Orders) {
  if (Jobs_.epochOf(Job.Shard) != Job.Epoch)
    return false;
  for (const auto &[Address, Items] : Orders)
    for (const Placing &Item : Items)
      if (Shards_.holderOf(Map_.shardOf(Item.Run.Worker)) != Address ||
          !canOrder(Job.Shard, Item.Run.Worker))
        return false;
  return true;
}

void RunOrderSender::withdraw(const std::string &Address,
                              const std::vector<Placing> &Orders,
                              const Result<PlaceReply> &Reply) {
  StopRequest Kept;
  for (std::size_t I = 0; I < Orders.size(); ++I) {
    const Placing &Item = Orders[I];
    View_.placed(Item.Run.Worker, Item.Order.Demand);
    Ordering_.erase(keyOf(Item.Run));
    PlaceResult Result{.Status = PlaceStatus::Rejected,
                       .Reason = IncompleteGang};
    if (Reply && I < Reply->Results.size() &&
        Reply->Results[I].Status == PlaceStatus::Rejected)
      Result = Reply->Results[I];
    else
      Kept.Runs.push_back({.Task = Item.Order.Task,
                           .Run = Item.Run.Run,
                           .Worker = Item.Run.Worker});
    applyResult(Item, Result);
  }
  if (Reply)
    View_.applyLoads(Reply->Loads);
  if (!Address.empty() && !Kept.Runs.empty())
    asio::co_spawn(Executor_, release(Address, std::move(Kept)),
                   asio::detached);
}

asio::awaitable<void> RunOrderSender::release(std::string Address,
                                              StopRequest Request) {
  // If the call is lost, the reservations end by themselves.
  co_await Peers_.stop(std::move(Address), std::move(Request));
}

asio::awaitable<void> RunOrderSender::placeAt(std::string Address,
                                              ShardEpoch Job,
                                              std::vector<Placing> Orders) {
  Result<PlaceReply> Reply =
      fail(ErrorCode::NotSent, "the shard has no holder");
  if (!Address.empty()) {
    PlaceRequest Request{.Job = Job};
    for (const Placing &Item : Orders)
      Request.Orders.push_back(Item.Order);
    Reply = co_await Peers_.place(Address, std::move(Request));
  }
  for (std::size_t I = 0; I < Orders.size(); ++I) {
    const Placing &Item = Orders[I];
    View_.placed(Item.Run.Worker, Item.Order.Demand);
    Ordering_.erase(keyOf(Item.Run));
    if (Reply && I < Reply->Results.size())
      applyResult(Item, Reply->Results[I]);
    else if (!Reply && Reply.error().hadNoEffect())
      applyResult(Item, {.Status = PlaceStatus::Rejected,
                         .Reason = Reply.error().Message});
    else
      // Unknown: the holder makes sure that it ends and reports that.
      stopRuns({Item.Run});
  }
  if (Reply)
    View_.applyLoads(Reply->Loads);
}

void RunOrderSender::applyResult(const Placing &Item,
                                 const PlaceResult &Result) {
  if (Result.Status == PlaceStatus::Started) {
    Counters_.count("starts_total");
    Jobs_.started(Item.Run);
    return;
  }
  if (Result.Status == PlaceStatus::Pending) {
    Jobs_.ordered(Item.Run);
    return;
  }
  Counters_.count("starts_rejected_total", 1,
                  fmt::format("reason=\"{}\"", Result.Reason));
  Events_.emit("dispatch", "rejected",
               {{"task", Item.Order.Task},
                {"run", Item.Run.Run},
                {"worker", Item.Run.Worker},
                {"reason", Result.Reason}});
  if (Result.Reason == nameOf(OrderStatus::BadTicket))
    Jobs_.dropTicket(Item.Run);
  if (Result.Reason == IncompleteGang)
    View_.released(Item.Run.Worker, Item.Order.Demand);
  else
    View_.refused(Item.Run.Worker);
  Jobs_.rejected(Item.Run, Timers_.now() + Options_.RejectedPause);
}

bool RunOrderSender::hasPendingOrder(const RunId &Run) const {
  const std::string Key = keyOf(Run);
  // A placement without an answer may arrive until its stop is answered.
  return Ordering_.contains(Key) || Stopping_.contains(Key);
}

void RunOrderSender::stopRuns(std::vector<RunId> Runs) {
  for (RunId &Run : Runs)
    if (Stopping_.insert(keyOf(Run)).second)
      asio::co_spawn(Executor_, stopUntilAnswered(std::move(Run)),
                     asio::detached);
}

asio::awaitable<void> RunOrderSender::stopUntilAnswered(RunId Run) {
  // A successor of this process, or of the worker's holder, finds the run in
  // its exchange and stops it.
  while (!Stopped_ && Jobs_.epochOf(Map_.shardOf(Run.Task.Job))) {
    // Ordered after the placement, which may still be on its way.
    if (!Ordering_.contains(keyOf(Run))) {
      const auto Holder = Shards_.holderOf(Map_.shardOf(Run.Worker));
      if (Holder) {
        StopRequest Request;
        Request.Runs.push_back({.Task = Run.Task.toString(),
                                .Run = Run.Run,
                                .Worker = Run.Worker});
        const auto Reply = co_await Peers_.stop(*Holder, std::move(Request));
        if (Reply)
          break;
      }
    }
    co_await Timers_.sleepFor(Options_.StopRetry);
  }
  Stopping_.erase(keyOf(Run));
}

} // namespace hickory
