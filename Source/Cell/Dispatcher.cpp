#include "Cell/Dispatcher.h"

#include "Base/WaitForAll.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds PassInterval{3};
/// A member found room, and another one did not.
constexpr const char *IncompleteGang = "gang_incomplete";
constexpr double InitialGoodShare = 0.4;
/// Weight of one answer in the share of good workers of a queue.
constexpr double GoodShareWeight = 0.1;
/// Of one call, by which queues are told apart.
constexpr std::size_t UsualWorkersAsked = 30;

std::string keyOf(const RunId &Run) {
  return fmt::format("{}#{}", Run.Task.toString(), Run.Run);
}

/// Gangs that are late already come after all others.
constexpr std::chrono::hours LateClaim{1};

Clock::time_point claimTime(const DispatchRank &Rank) {
  return Rank.Late ? Rank.StartBy + LateClaim : Rank.StartBy;
}

std::int64_t milliseconds(Clock::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

Dispatcher::Dispatcher(const asio::any_io_executor &Executor,
                       TimerService &Timers, JobOwner &Jobs, CapacityView &View,
                       CellPeer &Peers, AdviceRouter &Adviser,
                       ShardMembership &Shards,
                       const CellConfiguration &Configuration, EventLog &Events,
                       Metrics &Counters, DispatcherOptions Options)
    : Executor_(Executor), Timers_(Timers), Jobs_(Jobs), View_(View),
      Peers_(Peers), Adviser_(Adviser), Shards_(Shards),
      Map_(Jobs.shardCount()), Configuration_(Configuration), Events_(Events),
      Counters_(Counters), Options_(Options), Wake_(Executor) {}

asio::awaitable<void> Dispatcher::run() {
  while (!Stopped_) {
    const auto UntilPatient = PatientDueAt_ - Timers_.now();
    if (PatientSkipped_ && UntilPatient > Clock::duration::zero())
      co_await Wake_.waitFor(Timers_, UntilPatient);
    else if (!PatientSkipped_)
      co_await Wake_.wait();
    if (Stopped_)
      co_return;
    pass();
    // Events that come close together share one pass.
    co_await Timers_.sleepFor(PassInterval);
  }
}

void Dispatcher::stop() {
  Stopped_ = true;
  Wake_.notify();
}

std::string Dispatcher::serviceOf(const JobSpec &Job) const {
  const QueuePolicy *Now = Configuration_.byName(Job.Queue.Name);
  return Now == nullptr ? Job.Queue.Service : Now->Service;
}

double &Dispatcher::goodShareOf(const std::string &Queue) {
  return GoodShare_.try_emplace(Queue, InitialGoodShare).first->second;
}

std::vector<Dispatcher::ReadyItem> Dispatcher::collect(bool WithPatient) const {
  std::vector<ReadyItem> Items;
  const Clock::time_point Now = Timers_.now();
  for (const auto &[Id, Job] : Jobs_.active()) {
    if (!WithPatient && Job->Progress.spec().Queue.Priority > 0)
      continue;
    for (ReadyStep &Step : Job->Progress.readySteps()) {
      if (const auto It = Job->NotBefore.find({Step.Occurrence, Step.Step});
          It != Job->NotBefore.end() && It->second > Now)
        continue;
      const DispatchRank Rank =
          rankStep(Job->Progress.spec(), Step.Step, Job->AcceptedAt, Now);
      Items.push_back({.Job = Job, .Step = std::move(Step), .Rank = Rank});
    }
  }
  std::ranges::sort(Items, std::less<>(),
                    [](const ReadyItem &Item) { return Item.Rank; });
  if (Items.size() > Options_.MaximumSteps)
    Items.resize(Options_.MaximumSteps);
  return Items;
}

void Dispatcher::pass() {
  const Clock::time_point Now = Timers_.now();
  PatientSkipped_ = Now < PatientDueAt_;
  if (PatientSkipped_) {
    for (const ReadyItem &Item : collect(false))
      serve(Item);
    return;
  }
  PatientDueAt_ = Now + Options_.PatientInterval;
  const auto Former = Claims_.own();
  NextClaim_.reset();
  KeptFromTasks_ = Claims_.keptFrom("", std::nullopt, Now);
  for (const ReadyItem &Item : collect(true))
    serve(Item);
  Claims_.setOwn(std::move(NextClaim_));
  const auto &Claim = Claims_.own();
  if (Claim && (!Former || Former->Step != Claim->Step))
    Events_.emit(
        "dispatch", "claim",
        {{"step", Claim->Step},
         {"workers", Claim->Workers.size()},
         {"start_in_ms", milliseconds(Claim->StartBy - Timers_.now())}});
}

void Dispatcher::makeRoom(const ReadyItem &Item,
                          const std::vector<ClaimedWorker> &Claimed) {
  auto &NotBefore = Item.Job->MakeRoomAt[Item.key()];
  const auto Epoch = Jobs_.epochOf(Item.Job->Shard);
  if (Timers_.now() < NotBefore || !Epoch)
    return;
  NotBefore = Timers_.now() + Options_.MakeRoomInterval;
  const JobSpec &Job = Item.job();
  const int Priority = Job.Queue.Priority;
  std::map<std::string, MakeRoomRequest> ByAddress;
  for (const ClaimedWorker &Each : Claimed) {
    const auto Holder = Shards_.holderOf(Map_.shardOf(Each.Id));
    if (!Holder)
      continue;
    const Resources &Capacity = View_.workers().at(Each.Id).Capacity;
    RoomNeed Room{.Worker = Each.Id,
                  .Demand = headroomOf(Capacity, Priority, Options_.Placement),
                  .Priority = Priority};
    // Sums of what fits in a worker do not overflow.
    (void)Room.Demand.add(
        Item.step()
            .Demand.times(static_cast<std::uint64_t>(Each.Members))
            .value_or(Resources{}));
    MakeRoomRequest &Request = ByAddress[*Holder];
    Request.Job = {.Shard = Item.Job->Shard, .Epoch = *Epoch};
    Request.Needs.push_back(std::move(Room));
  }
  for (auto &[Address, Request] : ByAddress)
    asio::co_spawn(Executor_,
                   askForRoom(stepNameOf(Item), Address, std::move(Request)),
                   asio::detached);
}

asio::awaitable<void> Dispatcher::askForRoom(std::string Step,
                                             std::string Address,
                                             MakeRoomRequest Request) {
  const std::size_t Workers = Request.Needs.size();
  const auto Reply =
      co_await Peers_.makeRoom(std::move(Address), std::move(Request));
  if (!Reply || Reply->Stopped == 0)
    co_return;
  Counters_.count("preempted_total", Reply->Stopped);
  Events_.emit(
      "dispatch", "room_made",
      {{"step", Step}, {"workers", Workers}, {"stopped", Reply->Stopped}});
}

std::vector<ClaimReport> Dispatcher::claims() const {
  std::vector<ClaimReport> Reports;
  if (const auto &Claim = Claims_.own())
    Reports.push_back(
        {.Step = Claim->Step,
         .Workers = Claim->Workers,
         .StartInMs = milliseconds(Claim->StartBy - Timers_.now())});
  return Reports;
}

void Dispatcher::hearClaims(const std::string &Address,
                            const std::vector<ClaimReport> &Reports) {
  std::vector<GangClaim> Heard;
  Heard.reserve(Reports.size());
  const Clock::time_point Now = Timers_.now();
  for (const ClaimReport &Report : Reports)
    Heard.push_back(
        {.Step = Report.Step,
         .Workers = Report.Workers,
         .StartBy = Now + std::chrono::milliseconds(Report.StartInMs)});
  Claims_.hear(Address, std::move(Heard), Now);
}

void Dispatcher::claimFor(const ReadyItem &Item,
                          const std::vector<Candidate> &Candidates) {
  const JobSpec &Job = Item.job();
  const StepSpec &Step = Item.step();
  const Clock::time_point StartBy = claimTime(Item.Rank);
  if (!Step.Gang || !Item.Rank.Patient || NextClaim_ ||
      !Claims_.mayClaim(StartBy, View_.workers().size(), Timers_.now()))
    return;
  const StepAdvice &Advice = Item.advice();
  std::vector<Candidate> Good;
  for (const Candidate &Each : Candidates)
    if (!Job.Queue.Advice || Advice.isGood(Each.Worker->Id))
      Good.push_back(Each);
  const PlacementNeed Need = Item.need();
  const auto Claimed = chooseClaim(Need, Good);
  if (Claimed.empty())
    return;
  if (mayPreempt(Item.Rank, Timers_.now()))
    makeRoom(Item, Claimed);
  NextClaim_ = GangClaim{.Step = stepNameOf(Item), .StartBy = StartBy};
  for (const ClaimedWorker &Each : Claimed)
    NextClaim_->Workers.push_back(Each.Id);
}

bool Dispatcher::mayOrder(const ReadyItem &Item, const std::string &Worker) {
  // A later owner of the job hears of the run from the holder that the store
  // lists. That holder's term must have begun before this owner proved that it
  // had no successor; else both could start the task.
  const auto Since = Shards_.termKnownSince(Map_.shardOf(Worker));
  if (!Since)
    return false;
  if (Jobs_.provedSince(Item.Job->Shard, *Since))
    return true;
  Jobs_.prove(Item.Job->Shard);
  return false;
}

std::vector<Candidate> Dispatcher::candidatesFor(const ReadyItem &Item) {
  const JobSpec &Job = Item.job();
  const StepSpec &Step = Item.step();
  const std::string Service = serviceOf(Job);
  const PlacementNeed Need = Item.need();
  std::set<std::string> KeptFromGang;
  if (Item.Rank.Patient && Step.Gang)
    KeptFromGang =
        Claims_.keptFrom(stepNameOf(Item), claimTime(Item.Rank), Timers_.now());
  const std::set<std::string> None;
  const auto &Kept = Step.Gang           ? KeptFromGang
                     : Item.Rank.Patient ? KeptFromTasks_
                                         : None;
  std::vector<Candidate> Found;
  for (const auto &[Id, Worker] : View_.workers()) {
    if (Worker.Service != Service || Worker.Draining || Kept.contains(Id))
      continue;
    const bool Labelled =
        std::ranges::all_of(Step.Requirements, [&](const std::string &Label) {
          return std::ranges::count(Worker.Labels, Label) > 0;
        });
    const CapacityView::Room Room = View_.roomOn(Id);
    if (!Labelled || !Room.Usable)
      continue;
    Candidate New{.Worker = &Worker,
                  .Free = usableFree(Room.Free, Worker.Capacity,
                                     Job.Queue.Priority, Options_.Placement),
                  .Local = Room.Local,
                  .Suspect = Room.Suspect};
    if (Step.AntiAffinity > 0)
      New.AlreadyPlaced =
          Item.Job->Progress.placedOn(Item.Step.Occurrence, Item.Step.Step, Id);
    if ((Step.Gang || slotsOn(Need, New) > 0) && mayOrder(Item, Id))
      Found.push_back(New);
  }
  dropSuspects(Found);
  return Found;
}

void Dispatcher::serve(const ReadyItem &Item) {
  const JobSpec &Job = Item.job();
  const PlacementNeed Need = Item.need();
  const auto Candidates = candidatesFor(Item);
  if (!Job.Queue.Advice) {
    if (!Item.Job->Accepted)
      return;
    const auto Chosen = placeStep(Need, Candidates);
    placeOn(Item, Candidates, Chosen);
    if (Chosen.empty())
      claimFor(Item, Candidates);
    return;
  }
  const StepAdvice &Advice = Item.advice();
  std::vector<Candidate> Ticketed;
  for (const Candidate &Each : Candidates)
    if (Advice.ticketFor(Each.Worker->Id,
                         Timers_.now() + Options_.TicketMargin) != nullptr)
      Ticketed.push_back(Each);
  const auto Chosen = Item.Job->Accepted ? placeStep(Need, Ticketed)
                                         : std::vector<std::size_t>();
  placeOn(Item, Ticketed, Chosen);
  const int Left = Need.Count - static_cast<int>(Chosen.size());
  if (Left == Need.Count && Item.Job->Accepted)
    claimFor(Item, Candidates);
  if (Left > 0 && (Item.Job->Accepted || Ticketed.empty()))
    askFor(Item, Candidates, Left);
}

AdviceCost Dispatcher::costOf(const ReadyItem &Item,
                              std::size_t Workers) const {
  const AdvicePolicy &Policy = *Item.job().Queue.Advice;
  const auto TimeFor = [&Policy](std::size_t Count) {
    return std::chrono::ceil<std::chrono::milliseconds>(
        Policy.Decide + Policy.PerWorker * static_cast<double>(Count));
  };
  return {.Time = TimeFor(Workers),
          .Urgent = !Item.Rank.Patient,
          .Long =
              TimeFor(UsualWorkersAsked) > longestShortCall(Configuration_)};
}

void Dispatcher::askFor(const ReadyItem &Item,
                        const std::vector<Candidate> &Candidates, int Count) {
  const JobSpec &Job = Item.job();
  StepAdvice &Advice = Item.advice();
  const AdviceCost Usual = costOf(Item, UsualWorkersAsked);
  const Clock::time_point Now = Timers_.now();
  if (Advice.Asking || Advice.AskAgainAt > Now || !Adviser_.mayAsk(Usual))
    return;
  const PlacementNeed Need{.Step = &Item.step(), .Count = Count};
  auto Workers =
      chooseWorkersToAsk(Need, Candidates, Advice, goodShareOf(Job.Queue.Name),
                         Now + Usual.Time + Options_.TicketMargin);
  if (Workers.empty())
    return;
  Advice.Asking = true;
  const AdviceCost Cost = costOf(Item, Workers.size());
  AdviceCall Call{
      .Step = stepNameOf(Item), .Workers = std::move(Workers), .Cost = Cost};
  asio::co_spawn(Executor_, ask(Item, std::move(Call)), asio::detached);
}

asio::awaitable<void> Dispatcher::ask(ReadyItem Item, AdviceCall Call) {
  const Clock::time_point AskedAt = Timers_.now();
  const auto Reply = co_await Adviser_.ask(Call);
  applyAdvice(Item, Call, Reply, AskedAt);
  if (!Reply)
    co_await Timers_.sleepFor(Call.Cost.Long ? Options_.LongCallPause
                                             : Options_.ShortCallPause);
  wake();
}

void Dispatcher::applyAdvice(const ReadyItem &Item, const AdviceCall &Call,
                             const Result<Advice> &Reply,
                             Clock::time_point AskedAt) {
  const QueuePolicy &Queue = Item.job().Queue;
  StepAdvice &Known = Item.advice();
  Known.Asking = false;
  if (!Reply) {
    Counters_.count("advice_without_answer_total");
    Known.AskAgainAt =
        Timers_.now() +
        (Call.Cost.Long ? Options_.LongCallPause : Options_.ShortCallPause);
    if (Reply.error().Code == ErrorCode::Overloaded)
      return;
  }
  const auto Took = Timers_.now() - AskedAt;
  Counters_.count("advice_calls_total");
  Counters_.observe("advice_ms", static_cast<double>(milliseconds(Took)));
  Events_.emit("dispatch", "advice",
               {{"step", stepNameOf(Item)},
                {"queue", Queue.Name},
                {"asked", Call.Workers.size()},
                {"good", Reply ? Reply->Good.size() : 0},
                {"error", Reply ? "" : Reply.error().Message},
                {"took_ms", milliseconds(Took)}});
  if (!Reply)
    return;
  // The ticket was made just before the answer was sent.
  Advice Answer{.Good = Reply->Good, .Validity = Queue.Advice->Validity};
  Known.apply(Call.Workers, Answer, Timers_.now());
  double &Share = goodShareOf(Queue.Name);
  Share += GoodShareWeight * (static_cast<double>(Reply->Good.size()) /
                                  static_cast<double>(Call.Workers.size()) -
                              Share);
}

std::string Dispatcher::stepNameOf(const ReadyItem &Item) {
  return TaskName{.Job = Item.job().Id,
                  .Occurrence = Item.Step.Occurrence,
                  .Step = Item.Step.Step}
      .stepName();
}

void Dispatcher::placeOn(const ReadyItem &Item,
                         const std::vector<Candidate> &Candidates,
                         const std::vector<std::size_t> &Chosen) {
  if (Chosen.empty())
    return;
  JobProgress &Progress = Item.Job->Progress;
  const JobSpec &Job = Progress.spec();
  const StepSpec &Step = Item.step();
  const StepAdvice &Advice = Item.advice();
  const auto Epoch = Jobs_.epochOf(Item.Job->Shard);
  const int Run = Progress.nextRun(Item.Step.Occurrence, Item.Step.Step);
  OrdersByAddress ByAddress;
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    const WorkerEntry &Worker = *Candidates[Chosen[I]].Worker;
    const RunId Id{.Task = {.Job = Job.Id,
                            .Occurrence = Item.Step.Occurrence,
                            .Step = Item.Step.Step,
                            .Index = Item.Step.Tasks[I]},
                   .Run = Run,
                   .Worker = Worker.Id};
    const std::string *Ticket = Advice.ticketFor(Worker.Id, Timers_.now());
    PlaceOrder Order{.Task = Id.Task.toString(),
                     .Run = Run,
                     .Worker = Worker.Id,
                     .Demand = Step.Demand,
                     .Payload = Job.Payload,
                     .Checkpoint = Progress.checkpointOf(Id.Task),
                     .Ticket = Ticket == nullptr ? "" : *Ticket,
                     .ExpectedMs =
                         Job.Queue.Priority == 0 ? Step.Estimated.count() : 0,
                     .Priority = Job.Queue.Priority,
                     .Preemptible = isPreemptible(Step)};
    Progress.markPlacing(Id, Timers_.now());
    Ordering_.insert(keyOf(Id));
    View_.reserve(Worker.Id, Step.Demand);
    const auto Holder = Shards_.holderOf(Map_.shardOf(Worker.Id));
    ByAddress[Holder.value_or("")].push_back(
        {.Run = Id, .Order = std::move(Order)});
  }
  Events_.emit(
      "dispatch", "placing",
      {{"job", Job.Id},
       {"step", Item.Step.Step},
       {"run", Run},
       {"tasks", Chosen.size()},
       {"age_ms", milliseconds(Timers_.now() - Item.Job->AcceptedAt)}});
  const ShardEpoch Shard{.Shard = Item.Job->Shard, .Epoch = Epoch.value_or(0)};
  if (Step.Gang) {
    asio::co_spawn(Executor_, placeGang(Shard, std::move(ByAddress)),
                   asio::detached);
    return;
  }
  for (auto &[Address, Orders] : ByAddress)
    asio::co_spawn(Executor_, placeAt(Address, Shard, std::move(Orders)),
                   asio::detached);
}

asio::awaitable<void>
Dispatcher::reserveAt(std::string Address, PlaceRequest Request,
                      std::shared_ptr<Reservations> Shared, std::size_t Index) {
  (*Shared)[Index] =
      co_await Peers_.place(std::move(Address), std::move(Request));
}

asio::awaitable<Dispatcher::Reservations>
Dispatcher::reserveAll(ShardEpoch Job, const OrdersByAddress &Orders) {
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

asio::awaitable<void> Dispatcher::placeGang(ShardEpoch Job,
                                            OrdersByAddress Orders) {
  const auto Replies = co_await reserveAll(Job, Orders);
  const bool Complete =
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

void Dispatcher::withdraw(const std::string &Address,
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

asio::awaitable<void> Dispatcher::release(std::string Address,
                                          StopRequest Request) {
  // If the call is lost, the reservations end by themselves.
  co_await Peers_.stop(std::move(Address), std::move(Request));
}

asio::awaitable<void> Dispatcher::placeAt(std::string Address, ShardEpoch Job,
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

void Dispatcher::applyResult(const Placing &Item, const PlaceResult &Result) {
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

bool Dispatcher::isOrdering(const RunId &Run) const {
  return Ordering_.contains(keyOf(Run));
}

void Dispatcher::stopRuns(std::vector<RunId> Runs) {
  for (RunId &Run : Runs)
    if (Stopping_.insert(keyOf(Run) + "@" + Run.Worker).second)
      asio::co_spawn(Executor_, stopUntilAnswered(std::move(Run)),
                     asio::detached);
}

asio::awaitable<void> Dispatcher::stopUntilAnswered(RunId Run) {

  // A successor of this process, or of the worker's holder, finds the run in
  // its exchange and stops it.
  while (!Stopped_ && Jobs_.epochOf(Map_.shardOf(Run.Task.Job))) {
    // Ordered after the placement, which may still be on its way.
    if (!isOrdering(Run)) {
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
  Stopping_.erase(keyOf(Run) + "@" + Run.Worker);
}

} // namespace hickory
