#include "Cell/WorkerAgent.h"

#include "Scheduling/Preemption.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

/// Tokens of one epoch, one for each incarnation of the worker that it sees.
constexpr std::int64_t TokensPerEpoch = 1024;
/// The worker's clock may be 2% slow.
constexpr double ClockRateMargin = 1.03;
constexpr std::chrono::milliseconds LapseMargin{300};
/// Several exchanges, also among many processes.
constexpr std::chrono::milliseconds TellingTime{4000};
constexpr std::chrono::milliseconds RetryDelay{150};
/// A worker lists at most so many ends at a time.
constexpr std::size_t MaximumEndsListed = 500;
constexpr int StartAttempts = 3;
/// A worker runs many small tasks beside each other.
constexpr std::size_t MaximumVictims = 8;

/// Victims are chosen by a number that is higher for more urgent work.
std::uint32_t urgencyOf(int Priority) {
  constexpr int MostUrgent = 1000;
  return static_cast<std::uint32_t>(
      std::clamp(MostUrgent - Priority, 0, MostUrgent));
}

} // namespace

const char *nameOf(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::Ok:
    return "ok";
  case OrderStatus::Fenced:
    return "fenced";
  case OrderStatus::Old:
    return "old";
  case OrderStatus::Late:
    return "late";
  case OrderStatus::NoRoom:
    return "room";
  case OrderStatus::BadTicket:
    return "ticket";
  case OrderStatus::Unhealthy:
    return "unhealthy";
  case OrderStatus::WrongIncarnation:
    return "incarnation";
  case OrderStatus::Invalid:
    return "invalid";
  }
  return "invalid";
}

WorkerAgent::WorkerAgent(const asio::any_io_executor &Executor,
                         TimerService &Timers, WorkerClient &Client,
                         EventLog &Events, WorkerEntry Entry,
                         std::uint64_t Epoch, Callbacks Listener,
                         WorkerAgentOptions Options)
    : Executor_(Executor), Timers_(Timers), Client_(Client), Events_(Events),
      Entry_(std::move(Entry)), Epoch_(Epoch), Listener_(std::move(Listener)),
      Options_(Options), Floor_(Options.FloorLifetime),
      LastExtension_(Timers.now()), Delivered_(Executor) {}

std::int64_t WorkerAgent::token() const {
  return static_cast<std::int64_t>(Epoch_) * TokensPerEpoch +
         std::min(Incarnations_, TokensPerEpoch - 1);
}

std::chrono::milliseconds WorkerAgent::clockNow() const {
  return Clock_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                      Timers_.now() - ClockAt_);
}

std::chrono::milliseconds WorkerAgent::extendLease() {
  LastExtension_ = Timers_.now();
  return clockNow() + Options_.Lease;
}

bool WorkerAgent::leaseLapsed(std::chrono::milliseconds Since) const {
  const auto Longest = std::chrono::duration_cast<Clock::duration>(
      Options_.Lease * ClockRateMargin + LapseMargin + Since);
  return Timers_.now() - LastExtension_ > Longest;
}

void WorkerAgent::setClock(std::chrono::milliseconds ClockNow) {
  // The answer is older than its receipt, so that this is a lower bound.
  Clock_ = ClockNow;
  ClockAt_ = Timers_.now();
  ClockKnown_ = true;
}

asio::awaitable<void> WorkerAgent::run() {
  const auto Self = shared_from_this();
  while (!Stopping_) {
    // After a break of contact another incarnation may answer, whose ends have
    // the same numbers.
    HoldOrder Order{.Acknowledged = Reachable_ ? acknowledged() : 0};
    // Without contact the lease is left to end: every order that is sent may
    // arrive and extend it.
    if (ClockKnown_ && Reachable_) {
      Order.LeaseEnd = extendLease();
      Order.Wait = Options_.HoldWait;
    }
    const Clock::time_point SentAt = Timers_.now();
    const auto Reply = co_await Client_.hold(Entry_, token(), Order);
    if (Stopping_)
      co_return;
    if (!Reply) {
      holdFailed();
      co_await concludeLapse(Reply.error().Code ==
                             ErrorCode::ConnectionRefused);
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    if (Reply->Status == OrderStatus::Fenced) {
      Events_.emit("workers", "fenced",
                   {{"worker", Entry_.Id}, {"token", token()}});
      Listener_.Fenced();
      co_return;
    }
    if (Reply->Status == OrderStatus::WrongIncarnation) {
      // Another worker answers at the address: this one is gone.
      Events_.emit("workers", "replaced", {{"worker", Entry_.Id}});
      endAll(RunOutcome::Lost);
      Resolved_ = true;
      Reachable_ = false;
      ClockKnown_ = false;
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    if (Reply->Status != OrderStatus::Ok) {
      holdFailed();
      co_await concludeLapse(false);
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    dropOldReservations();
    applyHold(*Reply, SentAt);
    judge();
    co_await Timers_.sleepFor(Options_.HoldPause);
    if (!Stopping_ && !OpenEnds_.empty())
      co_await Delivered_.waitFor(Timers_, Options_.DeliveryWait);
  }
}

void WorkerAgent::holdFailed() {
  if (Reachable_)
    Events_.emit("workers", "lost_contact", {{"worker", Entry_.Id}});
  Reachable_ = false;
}

asio::awaitable<void> WorkerAgent::concludeLapse(bool Refused) {
  const bool Left = Refused && Entry_.Draining && !Listed_;
  if (!leaseLapsed() && !Left)
    co_return;
  const bool AllEnded = std::ranges::all_of(Runs_, [](const auto &Item) {
    return Item.second.State == Phase::Ended && Item.second.EndNumber == 0;
  });
  if (Resolved_ && AllEnded) {
    ClockKnown_ = false;
    co_return;
  }
  // A later holder may have extended the lease; its runs are not lost.
  if (!Left && !co_await Listener_.ProveTerm())
    co_return;
  if (Stopping_)
    co_return;
  Events_.emit("workers", "lapsed",
               {{"worker", Entry_.Id}, {"runs", Runs_.size()}});
  endAll(RunOutcome::Lost);
  Resolved_ = true;
  ClockKnown_ = false;
}

void WorkerAgent::applyHold(const HoldReply &Reply, Clock::time_point SentAt) {
  if (Born_ != 0 && Reply.Born != 0 && Reply.Born != Born_)
    reborn(Reply.Born);
  if (!Reachable_)
    Events_.emit("workers", "contact",
                 {{"worker", Entry_.Id},
                  {"token", token()},
                  {"running", Reply.Running.size()},
                  {"ended", Reply.Ended.size()}});
  Born_ = Reply.Born;
  Reachable_ = true;
  Healthy_ = true;
  setClock(Reply.ClockNow);
  std::set<Key> Listed;
  for (const RunningTask &Row : Reply.Running) {
    Listed.emplace(Row.Task, Row.Run);
    applyRunning(Row);
  }
  for (const EndedTask &Row : Reply.Ended) {
    Listed.emplace(Row.Task, Row.Run);
    applyEnded(Row);
  }
  // Ends beyond a full page are listed once these are acknowledged.
  if (Reply.Ended.size() < MaximumEndsListed) {
    Resolved_ = true;
    endMissing(Listed, SentAt);
  }
  if (!OpenEnds_.empty())
    Listener_.EndsChanged();
}

void WorkerAgent::judge() {
  const bool Suspect = Health_.isSuspect(Timers_.now());
  if (Suspect != Suspect_)
    Events_.emit("workers", Suspect ? "set_aside" : "tried_again",
                 {{"worker", Entry_.Id}, {"runs", Runs_.size()}});
  Suspect_ = Suspect;
}

void WorkerAgent::reborn(std::int64_t Born) {
  Events_.emit("workers", "reborn", {{"worker", Entry_.Id}, {"born", Born}});
  endAll(RunOutcome::Lost);
  // Orders for the incarnation before must not reach this one.
  ++Incarnations_;
  HighestEnd_ = 0;
  ClosedEnds_.clear();
}

void WorkerAgent::applyRunning(const RunningTask &Row) {
  const Key Name(Row.Task, Row.Run);
  auto It = Runs_.find(Name);
  if (It == Runs_.end()) {
    It = Runs_.emplace(Name, Run{.State = Phase::Running}).first;
    It->second.ConfirmedAt = Timers_.now();
    It->second.Confirmed = true;
    if (Floor_.covers(Row.Task, Row.Run))
      stopRun(Row.Task, Row.Run);
  }
  Run &Item = It->second;
  Item.NeverOrdered = false;
  Item.Checkpoint = std::max(Item.Checkpoint, Row.Checkpoint);
  if (Item.State == Phase::Ended && Item.EndNumber == 0) {
    // Its end was only concluded and may be reported: it must not go on.
    Item.State = Phase::Running;
    Item.DemandKnown = false;
    stopRun(Row.Task, Row.Run);
  }
  if (Item.State == Phase::Starting) {
    Item.State = Phase::Running;
    Item.Confirmed = true;
    Item.ConfirmedAt = Timers_.now();
  }
}

void WorkerAgent::applyEnded(const EndedTask &Row) {
  if (Row.Number <= acknowledged() || ClosedEnds_.contains(Row.Number) ||
      OpenEnds_.contains(Row.Number))
    return;
  HighestEnd_ = std::max(HighestEnd_, Row.Number);
  Run &Item = Runs_[Key(Row.Task, Row.Run)];
  Item.NeverOrdered = false;
  Item.Checkpoint = std::max(Item.Checkpoint, Row.Checkpoint);
  const RunOutcome How = runOutcomeFromName(Row.How);
  if (How == RunOutcome::Done || How == RunOutcome::Failed)
    Health_.ended(Row.Task, Row.Run, How == RunOutcome::Failed, Timers_.now());
  else
    Health_.forget(Row.Task, Row.Run);
  end(Item, How, Row.Number);
}

void WorkerAgent::end(Run &Item, RunOutcome How, std::int64_t Number) {
  Item.State = Phase::Ended;
  Item.How = How;
  Item.EndNumber = Number;
  Item.Demand = {};
  Item.DemandKnown = true;
  if (Number > 0)
    OpenEnds_.insert(Number);
}

void WorkerAgent::endMissing(const std::set<Key> &Listed,
                             Clock::time_point SentAt) {
  bool Changed = false;
  for (auto &[Name, Item] : Runs_) {
    const bool Settled =
        Item.Confirmed && Item.ConfirmedAt < SentAt &&
        (Item.State == Phase::Running || Item.State == Phase::Stopping);
    if (!Settled || Listed.contains(Name))
      continue;
    end(Item,
        Item.State == Phase::Stopping ? RunOutcome::Stopped : RunOutcome::Lost,
        0);
    Changed = true;
  }
  if (Changed)
    Listener_.EndsChanged();
}

void WorkerAgent::endAll(RunOutcome How) {
  Health_ = WorkerHealth();
  std::erase_if(Runs_, [](const auto &Item) {
    return Item.second.State == Phase::Reserved;
  });
  for (auto &[Name, Item] : Runs_) {
    if (Item.State != Phase::Ended)
      end(Item, How, 0);
    // A worker that forgot its ends can't have them acknowledged.
    Item.EndNumber = 0;
  }
  OpenEnds_.clear();
  if (!Runs_.empty())
    Listener_.EndsChanged();
}

std::int64_t WorkerAgent::acknowledged() const {
  return OpenEnds_.empty() ? HighestEnd_ : *OpenEnds_.begin() - 1;
}

void WorkerAgent::accepted(const EndReport &End) {
  const auto It = Runs_.find(Key(End.Task, End.Run));
  if (It == Runs_.end() || It->second.State != Phase::Ended)
    return;
  // What is known of the end may have changed since it was reported.
  if (nameOf(It->second.How) != End.How) {
    Events_.emit("workers", "end_changed",
                 {{"task", End.Task},
                  {"run", End.Run},
                  {"worker", Entry_.Id},
                  {"reported", End.How},
                  {"how", nameOf(It->second.How)}});
    return;
  }
  const std::int64_t Number = It->second.EndNumber;
  Runs_.erase(It);
  Floor_.raise(End.Task, End.Run, Timers_.now());
  if (Number == 0)
    return;
  OpenEnds_.erase(Number);
  if (OpenEnds_.empty())
    Delivered_.notify();
  ClosedEnds_.insert(Number);
  const std::int64_t Acknowledged = acknowledged();
  std::erase_if(ClosedEnds_, [Acknowledged](std::int64_t Closed) {
    return Closed <= Acknowledged;
  });
}

Resources WorkerAgent::committed() const {
  Resources Sum;
  for (const auto &[Name, Item] : Runs_)
    // Sums of what fits in a worker do not overflow.
    (void)Sum.add(Item.Demand);
  return Sum;
}

WorkerLoad WorkerAgent::load() const {
  bool AllKnown = true;
  for (const auto &[Name, Item] : Runs_)
    AllKnown = AllKnown && Item.DemandKnown;
  return {.Id = Entry_.Id,
          .Free = Entry_.Capacity.minusClamped(committed()),
          .Resolved = Resolved_,
          .Usable = Resolved_ && Reachable_ && Healthy_ && Listed_ &&
                    Recorded_ && ClockKnown_ && AllKnown && !Entry_.Draining,
          .Suspect = Suspect_};
}

void WorkerAgent::dropOldReservations() {
  std::erase_if(Runs_, [this](const auto &Item) {
    return Item.second.State == Phase::Reserved &&
           Timers_.now() - Item.second.ConfirmedAt > Options_.ReservationTime;
  });
}

std::optional<PlaceResult> WorkerAgent::repeatedAnswer(const Key &Name) const {
  const auto It = Runs_.find(Name);
  if (It == Runs_.end() || It->second.NeverOrdered)
    return std::nullopt;
  switch (It->second.State) {
  case Phase::Reserved:
    return PlaceResult{.Status = PlaceStatus::Reserved};
  case Phase::Running:
    return PlaceResult{.Status = PlaceStatus::Started};
  case Phase::Starting:
  case Phase::Stopping:
  case Phase::Ended:
    break;
  }
  return PlaceResult{.Status = PlaceStatus::Pending};
}

PlaceResult WorkerAgent::reserve(const PlaceOrder &Order) {
  const Key Name(Order.Task, Order.Run);
  dropOldReservations();
  if (const auto Known = repeatedAnswer(Name))
    return *Known;
  if (const auto Refusal = refusalOf(Order))
    return rejected(Name, *Refusal);
  Runs_[Name] = Run{.State = Phase::Reserved,
                    .Demand = Order.Demand,
                    .DemandKnown = true,
                    .ConfirmedAt = Timers_.now()};
  return {.Status = PlaceStatus::Reserved};
}

std::optional<std::string> WorkerAgent::refusalOf(const PlaceOrder &Order) {
  const WorkerLoad Now = load();
  if (!Now.Usable)
    return "worker_unusable";
  if (!Order.Demand.fitsIn(Now.Free))
    return "room";
  if (Floor_.covers(Order.Task, Order.Run))
    return "stopped";
  for (const auto &[Name, Item] : Runs_)
    if (Name.first == Order.Task && Item.State != Phase::Ended)
      return "task_present";
  return std::nullopt;
}

PlaceResult WorkerAgent::rejected(const Key &Name, const std::string &Reason) {
  Runs_.erase(Name);
  Floor_.raise(Name.first, Name.second, Timers_.now());
  return {.Status = PlaceStatus::Rejected, .Reason = Reason};
}

asio::awaitable<PlaceResult> WorkerAgent::start(PlaceOrder Order) {
  const auto Self = shared_from_this();
  const Key Name(Order.Task, Order.Run);
  dropOldReservations();
  if (const auto Known = repeatedAnswer(Name);
      Known && Known->Status != PlaceStatus::Reserved)
    co_return *Known;
  // The reserved room is the order's own.
  Runs_.erase(Name);
  if (const auto Refusal = refusalOf(Order))
    co_return rejected(Name, *Refusal);
  Runs_[Name] = Run{.State = Phase::Starting,
                    .Demand = Order.Demand,
                    .DemandKnown = true,
                    .Checkpoint = Order.Checkpoint,
                    .Priority = Order.Priority,
                    .Preemptible = Order.Preemptible};
  bool MayBeThere = false;
  for (int Attempt = 0; Attempt < StartAttempts; ++Attempt) {
    StartOrder Start{.Task = Order.Task,
                     .Run = Order.Run,
                     .Payload = Order.Payload,
                     .Checkpoint = Order.Checkpoint,
                     .Ticket = Order.Ticket};
    const auto Reply =
        co_await Client_.start(Entry_, token(), extendLease(), std::move(Start),
                               Options_.StartTimeout);
    const auto It = Runs_.find(Name);
    if (It != Runs_.end() && It->second.State == Phase::Running)
      // The worker listed it before this answer came.
      co_return PlaceResult{.Status = PlaceStatus::Started};
    if (It == Runs_.end() || It->second.State != Phase::Starting)
      // Its end is known already, or it is being stopped.
      co_return PlaceResult{.Status = PlaceStatus::Pending};
    if (!Reply) {
      MayBeThere = MayBeThere || !Reply.error().hadNoEffect();
      continue;
    }
    if (Reply->Status == OrderStatus::Ok) {
      Health_.started(Order.Task, Order.Run,
                      std::chrono::milliseconds(Order.ExpectedMs),
                      Timers_.now());
      It->second.State = Phase::Running;
      It->second.Confirmed = true;
      It->second.ConfirmedAt = Timers_.now();
      Events_.emit("workers", "started",
                   {{"task", Order.Task},
                    {"run", Order.Run},
                    {"worker", Entry_.Id},
                    {"token", token()}});
      co_return PlaceResult{.Status = PlaceStatus::Started};
    }
    if (Reply->Status == OrderStatus::Fenced) {
      // An earlier copy may have been carried out; the successor sees it.
      const auto Result = MayBeThere
                              ? PlaceResult{.Status = PlaceStatus::Pending}
                              : rejected(Name, nameOf(Reply->Status));
      Listener_.Fenced();
      co_return Result;
    }
    if (Reply->Status == OrderStatus::Unhealthy)
      Healthy_ = false;
    if (!MayBeThere)
      co_return rejected(Name, nameOf(Reply->Status));
    break;
  }
  if (!MayBeThere)
    co_return rejected(Name, "unreachable");
  stopRun(Order.Task, Order.Run);
  co_return PlaceResult{.Status = PlaceStatus::Pending};
}

void WorkerAgent::stopRun(const std::string &Task, int RunNumber) {
  Floor_.raise(Task, RunNumber, Timers_.now());
  const Key Name(Task, RunNumber);
  auto It = Runs_.find(Name);
  if (It == Runs_.end() && !Resolved_) {
    // It may run there, ordered by a former holder.
    Runs_.emplace(Name, Run{.State = Phase::Stopping});
    asio::co_spawn(Executor_, stopUntilAnswered(Name), asio::detached);
    return;
  }
  if (It == Runs_.end()) {
    // It never came here; the owner of the job waits for its end.
    It = Runs_.emplace(Name, Run{.NeverOrdered = true}).first;
    end(It->second, RunOutcome::Stopped, 0);
    Listener_.EndsChanged();
    return;
  }
  Run &Item = It->second;
  if (Item.State == Phase::Reserved) {
    Runs_.erase(It);
    return;
  }
  if (Item.State == Phase::Stopping || Item.State == Phase::Ended)
    return;
  Events_.emit("workers", "stopping",
               {{"task", Task}, {"run", RunNumber}, {"worker", Entry_.Id}});
  Health_.forget(Task, RunNumber);
  Item.State = Phase::Stopping;
  Item.Confirmed = false;
  asio::co_spawn(Executor_, stopUntilAnswered(Name), asio::detached);
}

asio::awaitable<void> WorkerAgent::stopUntilAnswered(Key Name) {
  const auto Self = shared_from_this();
  while (!Stopping_) {
    auto It = Runs_.find(Name);
    if (It == Runs_.end() || It->second.State != Phase::Stopping)
      co_return;
    const auto Reply = co_await Client_.stop(Entry_, token(), Name.first,
                                             Name.second, Options_.StopTimeout);
    It = Runs_.find(Name);
    if (Stopping_ || It == Runs_.end() || It->second.State != Phase::Stopping)
      co_return;
    if (Reply && Reply->Status == OrderStatus::Ok) {
      It->second.Confirmed = true;
      It->second.ConfirmedAt = Timers_.now();
      co_return;
    }
    if (Reply && Reply->Status == OrderStatus::Fenced) {
      Listener_.Fenced();
      co_return;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
}

void WorkerAgent::learnDemand(const RunDemand &Known) {
  const auto It = Runs_.find(Key(Known.Task, Known.Run));
  if (It == Runs_.end() || It->second.DemandKnown)
    return;
  It->second.Demand = Known.Demand;
  It->second.DemandKnown = true;
  It->second.Priority = Known.Priority;
  It->second.Preemptible = Known.Preemptible;
}

int WorkerAgent::preempt(const Resources &Demand, int Priority) {
  const WorkerLoad Now = load();
  if (!Now.Usable)
    return 0;
  std::vector<PreemptionCandidate> Running;
  std::vector<Key> Names;
  Resources Soon = Now.Free;
  for (const auto &[Name, Item] : Runs_) {
    if (Item.State == Phase::Stopping)
      (void)Soon.add(Item.Demand);
    if (Item.State != Phase::Running || !Item.Preemptible)
      continue;
    Running.push_back({.Id = std::to_string(Names.size()),
                       .Priority = urgencyOf(Item.Priority),
                       .Held = Item.Demand,
                       .RunTime = Timers_.now() - Item.ConfirmedAt});
    Names.push_back(Name);
  }
  const auto Victims = chooseVictims(Demand, urgencyOf(Priority), Soon, Running,
                                     {.MaximumVictims = MaximumVictims});
  if (!Victims)
    return 0;
  for (const std::string &Id : *Victims) {
    const Key &Name = Names[std::stoul(Id)];
    Events_.emit("workers", "preempted",
                 {{"task", Name.first},
                  {"run", Name.second},
                  {"worker", Entry_.Id},
                  {"for_priority", Priority}});
    stopRun(Name.first, Name.second);
  }
  return static_cast<int>(Victims->size());
}

std::vector<RunReport> WorkerAgent::runs() const {
  std::vector<RunReport> All;
  for (const auto &[Name, Item] : Runs_) {
    if (Item.State == Phase::Reserved)
      continue;
    All.push_back({.Task = Name.first,
                   .Run = Name.second,
                   .Worker = Entry_.Id,
                   .Checkpoint = Item.Checkpoint,
                   .DemandKnown = Item.DemandKnown,
                   .How = Item.State == Phase::Ended ? nameOf(Item.How) : ""});
  }
  return All;
}

std::vector<EndReport> WorkerAgent::undelivered() const {
  std::vector<EndReport> All;
  for (const auto &[Name, Item] : Runs_)
    if (Item.State == Phase::Ended)
      All.push_back({.Task = Name.first,
                     .Run = Name.second,
                     .Worker = Entry_.Id,
                     .How = nameOf(Item.How),
                     .Checkpoint = Item.Checkpoint});
  return All;
}

void WorkerAgent::update(const WorkerEntry &Entry) {
  if (Entry.Draining && !Entry_.Draining)
    Events_.emit("workers", "draining", {{"worker", Entry.Id}});
  Entry_ = Entry;
  Listed_ = true;
}

void WorkerAgent::unlisted() {
  if (Listed_)
    Events_.emit("workers", "unlisted", {{"worker", Entry_.Id}});
  Listed_ = false;
}

bool WorkerAgent::finished() const {
  // Owners of jobs learn from exchanges that nothing runs there; a worker that
  // is forgotten before leaves its runs counted as running for good.
  return !Listed_ && !Reachable_ && Resolved_ && Runs_.empty() &&
         leaseLapsed(TellingTime);
}

void WorkerAgent::stop() { Stopping_ = true; }

} // namespace hickory
