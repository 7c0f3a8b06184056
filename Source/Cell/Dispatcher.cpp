#include "Cell/Dispatcher.h"

#include "Base/Hash.h"
#include "Base/Milliseconds.h"
#include "Base/WaitForAll.h"
#include "Cell/AccountLoadControl.h"
#include "Cell/GangWait.h"
#include "Cell/QuotaClient.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds PassDelay{3};
/// Assumed share of good workers of a queue before any advice about it.
constexpr double InitialGoodShare = 0.4;
/// Weight of one answer in the share of good workers of a queue.
constexpr double GoodShareWeight = 0.1;
/// Assumed number of workers in a call, to classify queues by the length of
/// their calls.
constexpr std::size_t TypicalWorkersAsked = 30;
/// Time that a short call takes for its workers, as a share of the time that
/// any call takes.
constexpr double ShortCallShare = 0.35;
constexpr std::size_t MinimumPerShortCall = 4;
constexpr std::size_t MaximumPerShortCall = 100;

/// Returns the number of workers in a call for tickets that takes little longer
/// than one about a single worker.
std::size_t workersPerShortCall(const AdvicePolicy &Policy) {
  if (Policy.TimePerWorker.count() <= 0)
    return MaximumPerShortCall;
  const double Workers = ShortCallShare * Policy.DecisionTime.count() /
                         Policy.TimePerWorker.count();
  return static_cast<std::size_t>(
      std::clamp(Workers, static_cast<double>(MinimumPerShortCall),
                 static_cast<double>(MaximumPerShortCall)));
}

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
      WaitingGangs_(Timers), Orders_(Executor, Timers, Jobs, View, Peers,
                                     Shards, Events, Counters, Options.Orders),
      Gangs_(Executor, Timers, Jobs, View, Peers, Shards, Events, Counters,
             Options.Gangs) {
  Counters_.gauge("yields_to_gangs_of_priority",
                  [this] { return WaitingGangs_.mostUrgent().value_or(-1); });
  Orders_.setCandidateSource([this](const SchedulableStep &Schedulable) {
    // Called between passes.
    beginPass(true);
    return permitted(Schedulable, candidatesFor(Schedulable));
  });
  Orders_.setTicketSource(
      [this](SchedulableStep Schedulable, std::vector<std::string> Workers) {
        return requestTickets(std::move(Schedulable), std::move(Workers));
      });
}

asio::awaitable<void> Dispatcher::run() {
  while (!Stopped_) {
    const auto UntilDeferrableDue = DeferrableDueAt_ - Timers_.now();
    if (DeferrableSkipped_ && UntilDeferrableDue > Clock::duration::zero())
      co_await Wake_.waitFor(Timers_, UntilDeferrableDue);
    else if (!DeferrableSkipped_)
      co_await Wake_.wait();
    if (Stopped_)
      co_return;
    runPass();
    // Coalesces events that occur close together into one pass.
    co_await Timers_.sleepFor(PassDelay);
  }
}

void Dispatcher::stop() {
  Stopped_ = true;
  Orders_.stop();
  Wake_.notify();
}

std::string Dispatcher::serviceOf(const JobSpec &Job) const {
  const QueuePolicy *Policy = Configuration_.findQueueByName(Job.Queue.Name);
  return Policy == nullptr ? Job.Queue.Service : Policy->Service;
}

double &Dispatcher::goodShareOf(const std::string &Queue) {
  return GoodShare_.try_emplace(Queue, InitialGoodShare).first->second;
}

Clock::time_point Dispatcher::dueAt(const OwnedJob &Job, int Occurrence) const {
  if (Job.Progress.spec().Repetitions == 0)
    return Job.AcceptedAt;
  const auto SinceEpoch = Timers_.wallNow().time_since_epoch();
  return Timers_.now() -
         std::chrono::duration_cast<Clock::duration>(
             SinceEpoch - Clock::duration(Job.Progress.dueAt(Occurrence)));
}

std::vector<SchedulableStep>
Dispatcher::collectReadySteps(bool WithDeferrable) {
  std::vector<SchedulableStep> Steps;
  const Clock::time_point Now = Timers_.now();
  if (LoadControl_ != nullptr)
    LoadControl_->refresh();
  for (const auto &[Id, Job] : Jobs_.activeJobs()) {
    const bool AboveShare =
        LoadControl_ != nullptr && LoadControl_->isAboveShare(*Job);
    if (!WithDeferrable && Job->Progress.spec().Queue.Priority > 0)
      continue;
    const JobSpec &Spec = Job->Progress.spec();
    for (ReadyStep &Step : Job->Progress.readySteps()) {
      // It would take the place of a step that can start.
      if (Quota_ != nullptr &&
          Quota_->isBlocked(Job->Shard, Spec.Account,
                            Spec.Steps[static_cast<std::size_t>(Step.Step)]))
        continue;
      if (const auto It = Job->NotBefore.find({Step.Occurrence, Step.Step});
          It != Job->NotBefore.end() && It->second > Now)
        continue;
      DispatchRank Rank =
          rankStep(Job->Progress.spec().Queue, Job->Progress.graph(), Step.Step,
                   dueAt(*Job, Step.Occurrence), Now);
      Rank.AboveShare = AboveShare;
      Steps.push_back({.Job = Job, .Step = std::move(Step), .Rank = Rank});
    }
  }
  std::ranges::sort(
      Steps, std::less<>(),
      [](const SchedulableStep &Schedulable) { return Schedulable.Rank; });
  chooseForPass(Steps, WithDeferrable ? NextInTurn_ : NextUrgentInTurn_);
  return Steps;
}

void Dispatcher::chooseForPass(std::vector<SchedulableStep> &Steps,
                               std::size_t &NextInTurn) const {
  const std::size_t Maximum = Options_.MaximumStepsPerPass;
  if (Steps.size() <= Maximum)
    return;
  const auto InTurn = static_cast<std::size_t>(Options_.ShareInTurn *
                                               static_cast<double>(Maximum));
  const std::size_t First = Maximum - InTurn;
  const std::size_t Others = Steps.size() - First;
  const auto Begin = Steps.begin() + static_cast<std::ptrdiff_t>(First);
  NextInTurn %= Others;
  std::rotate(Begin, Begin + static_cast<std::ptrdiff_t>(NextInTurn),
              Steps.end());
  Steps.resize(Maximum);
  NextInTurn += InTurn;
  // The rotation may have put less urgent steps first.
  std::ranges::sort(
      Steps, std::less<>(),
      [](const SchedulableStep &Schedulable) { return Schedulable.Rank; });
}

Resources Dispatcher::freeFor(const SchedulableStep &Schedulable,
                              const CapacityView::Row &Worker) const {
  const bool MustYield =
      !Schedulable.step().Gang && MostUrgentWaitingGang_ &&
      *MostUrgentWaitingGang_ < Schedulable.job().Queue.Priority;
  if (!MustYield)
    return Worker.free();
  return freeBesideWaitingGangs(
      Schedulable.step().Demand, Worker.free(), Worker.listed().Entry.Capacity,
      Worker.taskCpusMilli(), Options_.Gangs.Placement);
}

void Dispatcher::beginPass(bool WithDeferrable) {
  OrderableInPass_.clear();
  MostUrgentWaitingGang_ = WaitingGangs_.mostUrgent();
  View_.refreshHeldWorkers();
  if (WithDeferrable)
    Gangs_.markClaimedWorkers();
}

void Dispatcher::runPass() {
  const Clock::time_point Now = Timers_.now();
  DeferrableSkipped_ = Now < DeferrableDueAt_;
  beginPass(!DeferrableSkipped_);
  if (DeferrableSkipped_) {
    for (const SchedulableStep &Schedulable : collectReadySteps(false))
      dispatchStep(Schedulable);
    return;
  }
  DeferrableDueAt_ = Now + Options_.DeferrableInterval;
  Gangs_.beginPass();
  for (const SchedulableStep &Schedulable : collectReadySteps(true))
    dispatchStep(Schedulable);
  Gangs_.endPass();
  learnForUpcomingGangs();
}

void Dispatcher::learnForUpcomingGangs() {
  const Clock::time_point Now = Timers_.now();
  for (const auto &[Id, Job] : Jobs_.activeJobs()) {
    const JobSpec &Spec = Job->Progress.spec();
    if (!Spec.Queue.Advice || Spec.Steps.size() < 2 || !Job->Accepted)
      continue;
    for (ReadyStep &Step : Job->Progress.upcomingSteps()) {
      if (!Spec.Steps[static_cast<std::size_t>(Step.Step)].Gang)
        continue;
      const DispatchRank Rank =
          rankStep(Spec.Queue, Job->Progress.graph(), Step.Step,
                   dueAt(*Job, Step.Occurrence), Now);
      const SchedulableStep Schedulable{
          .Job = Job, .Step = std::move(Step), .Rank = Rank};
      learnWorkers(Schedulable, candidatesFor(Schedulable));
    }
  }
}

bool Dispatcher::canOrderInPass(int JobShard, int WorkerShard) {
  auto &Row = OrderableInPass_[JobShard];
  if (Row.empty())
    Row.resize(static_cast<std::size_t>(Jobs_.shardCount()));
  auto &Known = Row[static_cast<std::size_t>(WorkerShard)];
  if (!Known)
    Known = Orders_.canOrder(JobShard, WorkerShard);
  return *Known;
}

std::vector<Candidate>
Dispatcher::candidatesFor(const SchedulableStep &Schedulable) {
  const JobSpec &Job = Schedulable.job();
  const StepSpec &Step = Schedulable.step();
  const PlacementNeed Need = Schedulable.need();
  const auto HasLabels = [&Step](const WorkerEntry &Worker) {
    return std::ranges::all_of(
        Step.RequiredLabels, [&](const std::string &Label) {
          return std::ranges::count(Worker.Labels, Label) > 0;
        });
  };
  const std::uint64_t StepHash =
      Step.Gang ? stableHash(Schedulable.stepName()) : 0;
  const StepAdvice *Advice = Job.Queue.Advice ? &Schedulable.advice() : nullptr;
  std::vector<Candidate> Found;
  // Most workers are full: whether the step fits is checked before what takes a
  // search.
  for (const CapacityView::Row &Row : View_.workersOf(serviceOf(Job))) {
    if (!Row.isUsable())
      continue;
    const CapacityView::ListedWorker &Listed = Row.listed();
    const WorkerEntry &Worker = Listed.Entry;
    const Resources Headroom =
        headroomOf(Worker.Capacity, Step.Demand, Job.Queue.Priority,
                   Options_.Gangs.Placement);
    Candidate New{.Worker = &Worker,
                  .Free = freeFor(Schedulable, Row).minusClamped(Headroom),
                  .Lasting = Row.lasting(),
                  .Headroom = Headroom,
                  .Local = Row.isLocal(),
                  .Suspect = Row.isSuspect(),
                  .TieBreak = StepHash ^ Listed.Hash};
    if (!Step.Gang && slotsOn(Need, New) == 0)
      continue;
    if (Step.MaximumPerWorker > 0) {
      New.AlreadyPlaced = Schedulable.Job->Progress.countActiveOn(
          Schedulable.Step.Occurrence, Schedulable.Step.Step, Worker.Id);
      if (!Step.Gang && slotsOn(Need, New) == 0)
        continue;
    }
    New.Blocked = GangClaimManager::isBlocked(Schedulable, Row);
    if (New.Blocked) {
      Candidate Spare = New;
      Spare.Free = GangClaimManager::spareFree(New.Free, Row);
      Spare.Blocked = false;
      // Capacity that would be in the way of the gang for long is not given.
      if (slotsOn(Need, Spare) > 0 && !Step.LongRunning)
        New = Spare;
    }
    if (!HasLabels(Worker) || (New.Blocked && !Step.Gang) ||
        !canOrderInPass(Schedulable.Job->Shard, Listed.Shard))
      continue;
    if (Advice != nullptr)
      New.Advice = Advice->findAt(Listed.RowIndex, Listed.Hash, Worker.Id);
    Found.push_back(New);
  }
  dropSuspects(Found);
  return Found;
}

std::vector<Candidate>
Dispatcher::permitted(const SchedulableStep &Schedulable,
                      const std::vector<Candidate> &Candidates) const {
  const bool NeedsAdvice = Schedulable.job().Queue.Advice.has_value();
  const bool Gang = Schedulable.step().Gang;
  const Clock::time_point Until = Timers_.now() + Options_.Orders.TicketMargin;
  const auto IsPermitted = [&](const Candidate &Each) {
    if (Each.Blocked)
      return false;
    if (!NeedsAdvice)
      return true;
    return Each.Advice != nullptr &&
           (Gang ? Each.Advice->Good : Each.Advice->hasTicket(Until));
  };
  std::vector<Candidate> Permitted;
  std::ranges::copy_if(Candidates, std::back_inserter(Permitted), IsPermitted);
  return Permitted;
}

void Dispatcher::dispatchStep(const SchedulableStep &Schedulable) {
  if (Schedulable.step().Gang)
    dispatchGang(Schedulable);
  else
    dispatchTasks(Schedulable);
}

int Dispatcher::withinQuota(const SchedulableStep &Schedulable,
                            std::size_t Count) {
  const auto Tasks = static_cast<int>(Count);
  if (Quota_ == nullptr || Tasks == 0 || Schedulable.job().Account.empty())
    return Tasks;
  return Quota_->startable({.Shard = Schedulable.Job->Shard,
                            .Account = Schedulable.job().Account,
                            .Name = Schedulable.stepName(),
                            .Spec = &Schedulable.step(),
                            .Priority = Schedulable.job().Queue.Priority},
                           Tasks, Schedulable.Job->Accepted);
}

void Dispatcher::dispatchTasks(const SchedulableStep &Schedulable) {
  const bool Accepted = Schedulable.Job->Accepted;
  const auto Candidates = candidatesFor(Schedulable);
  const auto Permitted = permitted(Schedulable, Candidates);
  std::vector<std::size_t> Chosen;
  if (Accepted)
    Chosen = placeStep(Schedulable.need(), Permitted);
  else if (!Candidates.empty())
    withinQuota(Schedulable, Schedulable.Step.Tasks.size());
  const int Left = Schedulable.need().Count - static_cast<int>(Chosen.size());
  Chosen.resize(
      static_cast<std::size_t>(withinQuota(Schedulable, Chosen.size())));
  Orders_.place(Schedulable, Permitted, Chosen);
  if (Schedulable.job().Queue.Advice && Left > 0 &&
      (Accepted || Permitted.empty()))
    startAdviceCall(Schedulable, Candidates, Left);
}

void Dispatcher::dispatchGang(const SchedulableStep &Schedulable) {
  const bool Accepted = Schedulable.Job->Accepted;
  const auto Candidates = candidatesFor(Schedulable);
  const auto Permitted = permitted(Schedulable, Candidates);
  std::vector<std::size_t> Chosen;
  if (Accepted)
    Chosen = placeStep(Schedulable.need(), Permitted);
  else if (!Candidates.empty())
    withinQuota(Schedulable, Schedulable.Step.Tasks.size());
  if (!Chosen.empty()) {
    // Without its quota, it claims no workers.
    if (withinQuota(Schedulable, Chosen.size()) == std::ssize(Chosen))
      Orders_.place(Schedulable, Permitted, Chosen);
    return;
  }
  if (Accepted && Schedulable.Rank.Deferrable &&
      fitsWhenEmpty(Schedulable.need(), Permitted))
    WaitingGangs_.recordOwn(Schedulable.job().Queue.Priority,
                            Schedulable.Job->AcceptedAt);
  if (Accepted)
    Gangs_.claimWorkersFor(Schedulable, Permitted);
  if (Schedulable.job().Queue.Advice)
    learnWorkers(Schedulable, Candidates);
  reportGangWait(Schedulable, Candidates);
}

void Dispatcher::reportGangWait(const SchedulableStep &Schedulable,
                                const std::vector<Candidate> &Candidates) {
  const Clock::time_point Now = Timers_.now();
  if (!Schedulable.step().Gang || !Schedulable.Job->Accepted)
    return;
  auto &ReportAt = Schedulable.Job->NextGangWaitEventAt[Schedulable.key()];
  if (Now < ReportAt)
    return;
  ReportAt = Now + Options_.GangWaitEventInterval;
  const QueuePolicy &Queue = Schedulable.job().Queue;
  const StepAdvice *Advice = Queue.Advice ? &Schedulable.advice() : nullptr;
  const auto Blocked = std::ranges::count_if(
      View_.workersOf(serviceOf(Schedulable.job())),
      [&Schedulable](const CapacityView::Row &Row) {
        return GangClaimManager::isBlocked(Schedulable, Row);
      });
  const GangWait Wait = describeGangWait(Schedulable.need(), Candidates, Advice,
                                         Now + Options_.Orders.TicketMargin);
  Counters_.count("gang_waits_total", 1,
                  fmt::format("reason=\"{}\"", nameOf(Wait.reason())));
  Events_.emit(
      "dispatch", "gang_waits",
      {{"step", Schedulable.stepName()},
       {"queue", Queue.Name},
       {"reason", nameOf(Wait.reason())},
       {"tasks", Wait.Tasks},
       {"slots_empty", Wait.SlotsWhenEmpty},
       {"slots_free", Wait.FreeSlots},
       {"good_slots_empty", Wait.GoodSlotsWhenEmpty},
       {"good_slots_free", Wait.GoodFreeSlots},
       {"ticketed_slots_free", Wait.TicketedFreeSlots},
       {"workers_blocked", Blocked},
       {"claimed", Gangs_.hasClaim(Schedulable)},
       {"calls_in_flight", Advice == nullptr ? 0 : Advice->callsInFlight()},
       {"late", Schedulable.Rank.Late},
       {"start_in_ms", toMilliseconds(Schedulable.Rank.StartBy - Now)},
       {"age_ms", toMilliseconds(Now - Schedulable.Job->AcceptedAt)}});
}

AdviceCost Dispatcher::costOf(const SchedulableStep &Schedulable,
                              std::size_t Workers) const {
  const AdvicePolicy &Policy = *Schedulable.job().Queue.Advice;
  const auto TimeFor = [&Policy](std::size_t Count) {
    return std::chrono::ceil<std::chrono::milliseconds>(
        Policy.DecisionTime +
        Policy.TimePerWorker * static_cast<double>(Count));
  };
  return {.Time = TimeFor(Workers),
          .Urgent = !Schedulable.Rank.Deferrable,
          .Long =
              TimeFor(TypicalWorkersAsked) > maxShortCallTime(Configuration_)};
}

bool Dispatcher::canAskAbout(const SchedulableStep &Schedulable,
                             int MaximumCalls, bool Learning) const {
  const StepAdvice &Advice = Schedulable.advice();
  AdviceCost Cost = costOf(Schedulable, TypicalWorkersAsked);
  Cost.Learning = Learning;
  return Advice.callsInFlight() < MaximumCalls &&
         Advice.RetryAt <= Timers_.now() && Adviser_.canAsk(Cost);
}

void Dispatcher::startAdviceCall(const SchedulableStep &Schedulable,
                                 const std::vector<Candidate> &Candidates,
                                 int Count) {
  if (!canAskAbout(Schedulable, 1, false))
    return;
  const PlacementNeed Need{.Step = &Schedulable.step(), .Count = Count};
  const auto UsualTime = costOf(Schedulable, TypicalWorkersAsked).Time;
  auto Workers = chooseWorkersToAsk(Need, Candidates, Schedulable.advice(),
                                    goodShareOf(Schedulable.job().Queue.Name),
                                    Timers_.now() + UsualTime +
                                        Options_.Orders.TicketMargin);
  if (!Workers.empty())
    beginAdviceCall(Schedulable, std::move(Workers), false);
}

void Dispatcher::learnWorkers(const SchedulableStep &Schedulable,
                              const std::vector<Candidate> &Candidates) {
  while (canAskAbout(Schedulable, Options_.MaximumCallsPerGang, true)) {
    auto Workers = chooseWorkersToLearn(
        Schedulable.need(), Candidates, Schedulable.advice(),
        goodShareOf(Schedulable.job().Queue.Name));
    if (Workers.empty())
      return;
    beginAdviceCall(Schedulable, std::move(Workers), true);
  }
}

void Dispatcher::beginAdviceCall(const SchedulableStep &Schedulable,
                                 std::vector<std::string> Workers,
                                 bool Learning) {
  AdviceCost Cost = costOf(Schedulable, Workers.size());
  Cost.Learning = Learning;
  Schedulable.advice().beginCall(Workers);
  asio::co_spawn(Executor_,
                 runAdviceCall(Schedulable, {.Step = Schedulable.stepName(),
                                             .Workers = std::move(Workers),
                                             .Cost = Cost}),
                 asio::detached);
}

asio::awaitable<void>
Dispatcher::requestTickets(SchedulableStep Schedulable,
                           std::vector<std::string> Workers) {
  const std::size_t PerCall =
      workersPerShortCall(*Schedulable.job().Queue.Advice);
  std::vector<asio::awaitable<void>> Calls;
  for (std::size_t Begin = 0; Begin < Workers.size(); Begin += PerCall) {
    const std::size_t End = std::min(Begin + PerCall, Workers.size());
    std::vector<std::string> Part(
        Workers.begin() + static_cast<std::ptrdiff_t>(Begin),
        Workers.begin() + static_cast<std::ptrdiff_t>(End));
    Schedulable.advice().beginCall(Part);
    const AdviceCost Cost = costOf(Schedulable, Part.size());
    Calls.push_back(runAdviceCall(Schedulable, {.Step = Schedulable.stepName(),
                                                .Workers = std::move(Part),
                                                .Cost = Cost}));
  }
  co_await waitForAll(Executor_, std::move(Calls));
}

asio::awaitable<void> Dispatcher::runAdviceCall(SchedulableStep Schedulable,
                                                AdviceCall Call) {
  const Clock::time_point AskedAt = Timers_.now();
  const auto Reply = co_await Adviser_.ask(Call);
  applyAdvice(Schedulable, Call, Reply, AskedAt);
  if (!Reply)
    co_await Timers_.sleepFor(Call.Cost.Long ? Options_.LongCallRetryDelay
                                             : Options_.ShortCallRetryDelay);
  wake();
}

void Dispatcher::applyAdvice(const SchedulableStep &Schedulable,
                             const AdviceCall &Call,
                             const Result<Advice> &Reply,
                             Clock::time_point AskedAt) {
  const QueuePolicy &Queue = Schedulable.job().Queue;
  StepAdvice &Collected = Schedulable.advice();
  Collected.endCall(Call.Workers);
  if (!Reply) {
    Counters_.count("advice_without_answer_total");
    Collected.RetryAt =
        Timers_.now() + (Call.Cost.Long ? Options_.LongCallRetryDelay
                                        : Options_.ShortCallRetryDelay);
    if (Reply.error().Code == ErrorCode::Overloaded)
      return;
  }
  const auto Took = Timers_.now() - AskedAt;
  Counters_.count("advice_calls_total");
  Counters_.observe("advice_ms", static_cast<double>(toMilliseconds(Took)));
  Events_.emit("dispatch", "advice",
               {{"step", Schedulable.stepName()},
                {"queue", Queue.Name},
                {"asked", Call.Workers.size()},
                {"good", Reply ? Reply->Good.size() : 0},
                {"error", Reply ? "" : Reply.error().Message},
                {"took_ms", toMilliseconds(Took)}});
  if (!Reply)
    return;
  // Tickets are issued just before the reply is sent, so that their validity
  // begins about now. The configured validity is used, since a reply through a
  // peer carries none.
  Advice Answer{.Good = Reply->Good, .Validity = Queue.Advice->Validity};
  Collected.apply(Call.Workers, Answer, Timers_.now());
  double &Share = goodShareOf(Queue.Name);
  Share += GoodShareWeight * (static_cast<double>(Reply->Good.size()) /
                                  static_cast<double>(Call.Workers.size()) -
                              Share);
}

} // namespace hickory
