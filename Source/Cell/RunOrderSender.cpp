#include "Cell/RunOrderSender.h"

#include "Base/Hash.h"
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
      .EstimatedMs = Step.EstimatedDuration.count(),
      .LongRunning = Step.LongRunning,
      .HolderEpoch = holderEpochOf(Id.Worker),
      .WorkerStartedAtMs = Chosen.Worker->StartedAtMs};
  return {.Run = std::move(Id), .Order = std::move(Order)};
}

RunReference
RunOrderSender::referenceTo(const PendingPlacement &Placement) const {
  return {.Task = Placement.Order.Task,
          .Run = Placement.Run.Run,
          .Worker = Placement.Run.Worker,
          .HolderEpoch = holderEpochOf(Placement.Run.Worker)};
}

std::string RunOrderSender::beginPlacement(const SchedulableStep &Schedulable,
                                           const PendingPlacement &Placement) {
  Schedulable.Job->Progress.markPlacing(Placement.Run, Timers_.now());
  Jobs_.countRun(*Schedulable.Job, Placement.Run);
  PendingOrders_.insert(keyOf(Placement.Run));
  View_.reserveInFlight(Placement.Run.Worker, Placement.Order.Demand);
  return Shards_.holderOf(Map_.shardOf(Placement.Run.Worker)).value_or("");
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
  std::vector<GangMember> Members;
  Members.reserve(Chosen.size());
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    GangMember Member{.Placement = makePlacement(Schedulable, Run,
                                                 Schedulable.Step.Tasks[I],
                                                 Candidates[Chosen[I]]),
                      .Rack = Candidates[Chosen[I]].Worker->Rack};
    Member.Address = beginPlacement(Schedulable, Member.Placement);
    Members.push_back(std::move(Member));
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
    asio::co_spawn(Executor_,
                   placeGang({.Schedulable = Schedulable,
                              .Job = Shard,
                              .Members = std::move(Members)}),
                   asio::detached);
    return;
  }
  OrdersByAddress ByAddress;
  for (GangMember &Member : Members)
    ByAddress[Member.Address].push_back(std::move(Member.Placement));
  for (auto &[Address, Orders] : ByAddress)
    asio::co_spawn(Executor_, placeAt(Address, Shard, std::move(Orders), false),
                   asio::detached);
}

asio::awaitable<void>
RunOrderSender::reserveAt(std::string Address, PlaceRequest Request,
                          std::shared_ptr<Result<PlaceReply>> Reply) {
  *Reply = co_await Peers_.place(std::move(Address), std::move(Request));
}

asio::awaitable<void> RunOrderSender::reserveMissing(GangPlacement &Gang) {
  struct ReservationCall {
    PlaceRequest Request;
    std::vector<std::size_t> Members; ///< Indices, in the order of the request.
    std::shared_ptr<Result<PlaceReply>> Reply =
        std::make_shared<Result<PlaceReply>>(
            fail(ErrorCode::NotSent, "the shard has no holder"));
  };
  std::map<std::string, ReservationCall> ByAddress;
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    const GangMember &Member = Gang.Members[I];
    if (Member.Reserved)
      continue;
    ReservationCall &Call = ByAddress[Member.Address];
    Call.Request.Job = Gang.Job;
    Call.Request.ReserveOnly = true;
    Call.Request.Orders.push_back(Member.Placement.Order);
    Call.Request.Orders.back().Payload.clear();
    Call.Members.push_back(I);
  }
  std::vector<asio::awaitable<void>> Calls;
  for (auto &[Address, Call] : ByAddress)
    if (!Address.empty())
      Calls.push_back(reserveAt(Address, std::move(Call.Request), Call.Reply));
  co_await waitForAll(Executor_, std::move(Calls));
  for (const auto &[Address, Call] : ByAddress) {
    const Result<PlaceReply> &Reply = *Call.Reply;
    StopRequest Unanswered;
    for (std::size_t I = 0; I < Call.Members.size(); ++I) {
      GangMember &Member = Gang.Members[Call.Members[I]];
      if (Reply && I < Reply->Results.size()) {
        applyReservation(Gang, Member, Reply->Results[I]);
        continue;
      }
      Unanswered.Runs.push_back(referenceTo(Member.Placement));
      applyReservation(Gang, Member,
                       {.Status = PlaceStatus::Rejected,
                        .Reason = Reply ? "no_result" : Reply.error().Message});
    }
    if (Reply)
      View_.applyLoads(Reply->Loads);
    if (!Address.empty() && !Unanswered.Runs.empty())
      asio::co_spawn(Executor_,
                     releaseReservations(Address, std::move(Unanswered)),
                     asio::detached);
  }
}

void RunOrderSender::applyReservation(GangPlacement &Gang, GangMember &Member,
                                      const PlaceResult &Result) {
  const PendingPlacement &Placement = Member.Placement;
  View_.clearInFlight(Placement.Run.Worker, Placement.Order.Demand);
  Member.Reserved = Result.Status == PlaceStatus::Reserved;
  if (Member.Reserved)
    return;
  PendingOrders_.erase(keyOf(Placement.Run));
  Gang.ExcludedWorkers.insert(Placement.Run.Worker);
  View_.markUnusable(Placement.Run.Worker);
  countRejection(Placement, Result.Reason);
}

bool RunOrderSender::replaceRejected(GangPlacement &Gang) {
  const SchedulableStep &Schedulable = Gang.Schedulable;
  if (!CandidateSource_)
    return false;
  std::vector<Candidate> Candidates = CandidateSource_(Schedulable);
  std::erase_if(Candidates, [&Gang](const Candidate &Each) {
    return Gang.ExcludedWorkers.contains(Each.Worker->Id);
  });
  const auto Missing =
      std::ranges::count(Gang.Members, false, &GangMember::Reserved);
  const PlacementNeed Need{.Step = &Schedulable.step(),
                           .Count = static_cast<int>(Missing)};
  const auto Kept =
      std::ranges::find(Gang.Members, true, &GangMember::Reserved);
  std::vector<std::size_t> Chosen;
  if (Need.Step->SameRack && Kept != Gang.Members.end()) {
    const std::string &Rack = Kept->Rack;
    std::vector<Candidate> InRack = Candidates;
    std::erase_if(InRack, [&Rack](const Candidate &Each) {
      return Each.Worker->Rack != Rack;
    });
    Chosen = placeStep(Need, InRack);
    if (std::ssize(Chosen) == Missing)
      Candidates = std::move(InRack);
  }
  if (std::ssize(Chosen) < Missing)
    Chosen = placeStep(Need, Candidates);
  if (std::ssize(Chosen) < Missing)
    return false;
  std::size_t Next = 0;
  for (GangMember &Member : Gang.Members) {
    if (Member.Reserved)
      continue;
    const RunId Rejected = Member.Placement.Run;
    Jobs_.uncountRun(Rejected);
    const Candidate &Replacement = Candidates[Chosen[Next++]];
    Member.Placement = makePlacement(Schedulable, Rejected.Run,
                                     Rejected.Task.Index, Replacement);
    Member.Rack = Replacement.Worker->Rack;
    Member.Address = beginPlacement(Schedulable, Member.Placement);
  }
  Events_.emit("dispatch", "replacing",
               {{"job", Schedulable.job().Id},
                {"step", Schedulable.Step.Step},
                {"tasks", Missing}});
  return true;
}

asio::awaitable<void> RunOrderSender::reserveAll(GangPlacement &Gang,
                                                 Clock::time_point Begin) {
  co_await reserveMissing(Gang);
  while (canStartGang(Gang) && !allReserved(Gang)) {
    if (Timers_.now() - Begin > Options_.ReplacementTime ||
        !replaceRejected(Gang))
      break;
    co_await reserveMissing(Gang);
  }
}

asio::awaitable<void> RunOrderSender::obtainTickets(GangPlacement &Gang,
                                                    Clock::time_point Begin) {
  const bool NeedsTickets =
      Gang.Schedulable.job().Queue.Advice.has_value() && TicketSource_;
  while (NeedsTickets && canStartGang(Gang) &&
         Timers_.now() - Begin < Options_.ReservationUseTime) {
    auto Workers = workersWithoutTicket(Gang);
    if (Workers.empty())
      co_return;
    co_await TicketSource_(Gang.Schedulable, std::move(Workers));
  }
}

asio::awaitable<void> RunOrderSender::placeGang(GangPlacement Gang) {
  const Clock::time_point Begin = Timers_.now();
  co_await reserveAll(Gang, Begin);
  if (allReserved(Gang))
    co_await obtainTickets(Gang, Begin);
  if (!allReserved(Gang) || !canStartGang(Gang) ||
      !workersWithoutTicket(Gang).empty() ||
      Timers_.now() - Begin > Options_.ReservationUseTime) {
    withdrawGang(Gang, Begin);
    co_return;
  }
  Gang.Schedulable.Job->FailedReservations.erase(Gang.Schedulable.key());
  OrdersByAddress ByAddress;
  for (GangMember &Member : Gang.Members) {
    PlaceOrder &Order = Member.Placement.Order;
    if (const std::string *Ticket =
            Gang.Schedulable.advice().ticketFor(Order.Worker, Timers_.now()))
      Order.Ticket = *Ticket;
    ByAddress[Member.Address].push_back(std::move(Member.Placement));
  }
  for (auto &[Address, Orders] : ByAddress)
    asio::co_spawn(Executor_,
                   placeAt(Address, Gang.Job, std::move(Orders), true),
                   asio::detached);
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

bool RunOrderSender::canStartGang(const GangPlacement &Gang) {
  if (Jobs_.epochOf(Gang.Job.Shard) != Gang.Job.Epoch)
    return false;
  const JobProgress &Progress = Gang.Schedulable.Job->Progress;
  return !Progress.isFinished() &&
         std::ranges::all_of(Gang.Members, [&](const GangMember &Member) {
           const RunId &Run = Member.Placement.Run;
           const TaskProgress *Task = Progress.find(Run.Task);
           const bool IsCurrent =
               Task != nullptr && Task->Phase == TaskPhase::Placing &&
               Task->Run == Run.Run && Task->Worker == Run.Worker;
           const int WorkerShard = Map_.shardOf(Run.Worker);
           return IsCurrent &&
                  (!Member.Reserved ||
                   (Shards_.holderOf(WorkerShard) == Member.Address &&
                    Shards_.latestTerm(WorkerShard).Epoch ==
                        Member.Placement.Order.HolderEpoch &&
                    canOrder(Gang.Job.Shard, WorkerShard)));
         });
}

std::vector<std::string>
RunOrderSender::workersWithoutTicket(const GangPlacement &Gang) const {
  if (!Gang.Schedulable.job().Queue.Advice)
    return {};
  const auto Until = Timers_.now() + Options_.TicketMargin;
  std::set<std::string> Workers;
  for (const GangMember &Member : Gang.Members) {
    const std::string &Worker = Member.Placement.Run.Worker;
    if (Gang.Schedulable.advice().ticketFor(Worker, Until) == nullptr)
      Workers.insert(Worker);
  }
  return {Workers.begin(), Workers.end()};
}

std::chrono::milliseconds
RunOrderSender::gangRetryDelay(const GangPlacement &Gang) const {
  const int Failed =
      ++Gang.Schedulable.Job->FailedReservations[Gang.Schedulable.key()];
  std::chrono::milliseconds Bound = Options_.RejectedRetryDelay;
  for (int I = 0; I < Failed && Bound < Options_.MaximumGangRetryDelay; ++I)
    Bound *= 2;
  Bound = std::min(Bound, Options_.MaximumGangRetryDelay);
  const RunId &First = Gang.Members.front().Placement.Run;
  return Options_.RejectedRetryDelay +
         std::chrono::milliseconds(stableHash(keyOf(First)) %
                                   static_cast<std::uint64_t>(Bound.count()));
}

void RunOrderSender::reportWithdrawal(const GangPlacement &Gang,
                                      Clock::time_point Begin) {
  const auto Reserved =
      std::ranges::count(Gang.Members, true, &GangMember::Reserved);
  std::string Reason = "changed";
  if (Reserved < std::ssize(Gang.Members))
    Reason = "capacity";
  else if (!workersWithoutTicket(Gang).empty())
    Reason = "tickets";
  Counters_.count("gangs_withdrawn_total", 1,
                  fmt::format("reason=\"{}\"", Reason));
  Events_.emit("dispatch", "gang_withdrawn",
               {{"job", Gang.Schedulable.job().Id},
                {"step", Gang.Schedulable.Step.Step},
                {"run", Gang.Members.front().Placement.Run.Run},
                {"tasks", Gang.Members.size()},
                {"reserved", Reserved},
                {"reason", Reason},
                {"held_ms", toMilliseconds(Timers_.now() - Begin)}});
}

void RunOrderSender::withdrawGang(const GangPlacement &Gang,
                                  Clock::time_point Begin) {
  reportWithdrawal(Gang, Begin);
  std::map<std::string, StopRequest> Reserved;
  std::vector<RunId> Runs;
  for (const GangMember &Member : Gang.Members) {
    const PendingPlacement &Placement = Member.Placement;
    Runs.push_back(Placement.Run);
    if (!Member.Reserved)
      continue;
    PendingOrders_.erase(keyOf(Placement.Run));
    View_.release(Placement.Run.Worker, Placement.Order.Demand);
    countRejection(Placement, IncompleteGang);
    Reserved[Member.Address].Runs.push_back(referenceTo(Placement));
  }
  Jobs_.markNotStarted(Runs, Timers_.now() + gangRetryDelay(Gang));
  for (auto &[Address, Request] : Reserved)
    asio::co_spawn(Executor_, releaseReservations(Address, std::move(Request)),
                   asio::detached);
}

asio::awaitable<void> RunOrderSender::releaseReservations(std::string Address,
                                                          StopRequest Request) {
  // If the call is lost, the reservations expire.
  co_await Peers_.stop(std::move(Address), std::move(Request));
}

asio::awaitable<void>
RunOrderSender::placeAt(std::string Address, ShardEpoch Job,
                        std::vector<PendingPlacement> Orders,
                        bool AreReserved) {
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
    if (!AreReserved)
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
  countRejection(Placement, Result.Reason);
  if (Result.Reason == nameOf(OrderStatus::BadTicket))
    Jobs_.invalidateTicket(Placement.Run);
  View_.markUnusable(Placement.Run.Worker);
  Jobs_.markRejected(Placement.Run,
                     Timers_.now() + Options_.RejectedRetryDelay);
}

void RunOrderSender::countRejection(const PendingPlacement &Placement,
                                    const std::string &Reason) {
  Counters_.count("starts_rejected_total", 1,
                  fmt::format("reason=\"{}\"", Reason));
  Events_.emit("dispatch", "rejected",
               {{"task", Placement.Order.Task},
                {"run", Placement.Run.Run},
                {"worker", Placement.Run.Worker},
                {"reason", Reason}});
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
