#include "Cell/Dispatcher.h"

#include "Base/Milliseconds.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds PassInterval{3};
constexpr double InitialGoodShare = 0.4;
/// Weight of one answer in the share of good workers of a queue.
constexpr double GoodShareWeight = 0.1;
/// Of one call, by which queues are told apart.
constexpr std::size_t UsualWorkersAsked = 30;

} // namespace

Dispatcher::Dispatcher(const asio::any_io_executor &Executor,
                       TimerService &Timers, JobOwner &Jobs, CapacityView &View,
                       CellPeer &Peers, AdviceRouter &Adviser,
                       const ShardMembership &Shards,
                       const CellConfiguration &Configuration, EventLog &Events,
                       Metrics &Counters, DispatcherOptions Options)
    : Executor_(Executor), Timers_(Timers), Jobs_(Jobs), View_(View),
      Adviser_(Adviser), Configuration_(Configuration), Events_(Events),
      Counters_(Counters), Options_(Options), Wake_(Executor),
      Orders_(Executor, Timers, Jobs, View, Peers, Shards, Events, Counters,
              Options.Orders),
      Gangs_(Executor, Timers, Jobs, View, Peers, Shards, Events, Counters,
             Options.Gangs) {}

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
  Orders_.stop();
  Wake_.notify();
}

std::string Dispatcher::serviceOf(const JobSpec &Job) const {
  const QueuePolicy *Now = Configuration_.findQueueByName(Job.Queue.Name);
  return Now == nullptr ? Job.Queue.Service : Now->Service;
}

double &Dispatcher::goodShareOf(const std::string &Queue) {
  return GoodShare_.try_emplace(Queue, InitialGoodShare).first->second;
}

std::vector<SchedulableStep> Dispatcher::collect(bool WithPatient) const {
  std::vector<SchedulableStep> Items;
  const Clock::time_point Now = Timers_.now();
  for (const auto &[Id, Job] : Jobs_.activeJobs()) {
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
                    [](const SchedulableStep &Item) { return Item.Rank; });
  if (Items.size() > Options_.MaximumSteps)
    Items.resize(Options_.MaximumSteps);
  return Items;
}

void Dispatcher::pass() {
  const Clock::time_point Now = Timers_.now();
  PatientSkipped_ = Now < PatientDueAt_;
  if (PatientSkipped_) {
    for (const SchedulableStep &Item : collect(false))
      serve(Item);
    return;
  }
  PatientDueAt_ = Now + Options_.PatientInterval;
  Gangs_.beginPass();
  for (const SchedulableStep &Item : collect(true))
    serve(Item);
  Gangs_.endPass();
}

std::vector<Candidate> Dispatcher::candidatesFor(const SchedulableStep &Item) {
  const JobSpec &Job = Item.job();
  const StepSpec &Step = Item.step();
  const std::string Service = serviceOf(Job);
  const PlacementNeed Need = Item.need();
  const std::set<std::string> &Kept = Gangs_.keptFrom(Item);
  std::vector<Candidate> Found;
  for (const auto &[Id, Worker] : View_.workers()) {
    if (Worker.Service != Service || Worker.Draining || Kept.contains(Id))
      continue;
    const bool Labelled =
        std::ranges::all_of(Step.RequiredLabels, [&](const std::string &Label) {
          return std::ranges::count(Worker.Labels, Label) > 0;
        });
    const CapacityView::WorkerCapacity Room = View_.capacityOn(Id);
    if (!Labelled || !Room.Usable)
      continue;
    Candidate New{.Worker = &Worker,
                  .Free =
                      usableFree(Room.Free, Worker.Capacity, Job.Queue.Priority,
                                 Options_.Gangs.Placement),
                  .Local = Room.Local,
                  .Suspect = Room.Suspect};
    if (Step.MaximumPerWorker > 0)
      New.AlreadyPlaced = Item.Job->Progress.countActiveOn(Item.Step.Occurrence,
                                                           Item.Step.Step, Id);
    if ((Step.Gang || slotsOn(Need, New) > 0) &&
        Orders_.canOrder(Item.Job->Shard, Id))
      Found.push_back(New);
  }
  dropSuspects(Found);
  return Found;
}

void Dispatcher::serve(const SchedulableStep &Item) {
  const JobSpec &Job = Item.job();
  const PlacementNeed Need = Item.need();
  const auto Candidates = candidatesFor(Item);
  if (!Job.Queue.Advice) {
    if (!Item.Job->Accepted)
      return;
    const auto Chosen = placeStep(Need, Candidates);
    Orders_.place(Item, Candidates, Chosen);
    if (Chosen.empty())
      Gangs_.claimFor(Item, Candidates);
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
  Orders_.place(Item, Ticketed, Chosen);
  const int Left = Need.Count - static_cast<int>(Chosen.size());
  if (Left == Need.Count && Item.Job->Accepted)
    Gangs_.claimFor(Item, Candidates);
  if (Left > 0 && (Item.Job->Accepted || Ticketed.empty()))
    askFor(Item, Candidates, Left);
}

AdviceCost Dispatcher::costOf(const SchedulableStep &Item,
                              std::size_t Workers) const {
  const AdvicePolicy &Policy = *Item.job().Queue.Advice;
  const auto TimeFor = [&Policy](std::size_t Count) {
    return std::chrono::ceil<std::chrono::milliseconds>(
        Policy.DecisionTime +
        Policy.TimePerWorker * static_cast<double>(Count));
  };
  return {.Time = TimeFor(Workers),
          .Urgent = !Item.Rank.Patient,
          .Long =
              TimeFor(UsualWorkersAsked) > maxShortCallTime(Configuration_)};
}

void Dispatcher::askFor(const SchedulableStep &Item,
                        const std::vector<Candidate> &Candidates, int Count) {
  const JobSpec &Job = Item.job();
  StepAdvice &Advice = Item.advice();
  const AdviceCost Usual = costOf(Item, UsualWorkersAsked);
  const Clock::time_point Now = Timers_.now();
  if (Advice.Asking || Advice.AskAgainAt > Now || !Adviser_.canAsk(Usual))
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
      .Step = Item.stepName(), .Workers = std::move(Workers), .Cost = Cost};
  asio::co_spawn(Executor_, ask(Item, std::move(Call)), asio::detached);
}

asio::awaitable<void> Dispatcher::ask(SchedulableStep Item, AdviceCall Call) {
  const Clock::time_point AskedAt = Timers_.now();
  const auto Reply = co_await Adviser_.ask(Call);
  applyAdvice(Item, Call, Reply, AskedAt);
  if (!Reply)
    co_await Timers_.sleepFor(Call.Cost.Long ? Options_.LongCallPause
                                             : Options_.ShortCallPause);
  wake();
}

void Dispatcher::applyAdvice(const SchedulableStep &Item,
                             const AdviceCall &Call,
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
  Counters_.observe("advice_ms", static_cast<double>(toMilliseconds(Took)));
  Events_.emit("dispatch", "advice",
               {{"step", Item.stepName()},
                {"queue", Queue.Name},
                {"asked", Call.Workers.size()},
                {"good", Reply ? Reply->Good.size() : 0},
                {"error", Reply ? "" : Reply.error().Message},
                {"took_ms", toMilliseconds(Took)}});
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

} // namespace hickory
