#include "Cell/WorkerAgent.h"

#include "Scheduling/Preemption.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

/// Number of fencing tokens in one epoch: one for each incarnation of the
/// worker that is seen in the epoch.
constexpr std::int64_t FencingTokensPerEpoch = 1024;
/// Factor by which a lease may last longer on the slowest clock that a worker
/// may have. That clock is 2% slow; the rest is margin.
constexpr double SlowestClockFactor = 1.03;
constexpr std::chrono::milliseconds LeaseExpiryMargin{300};
/// A shorter lease could end before the order that grants it arrives.
constexpr std::chrono::milliseconds ShortestLease{500};
/// Covers several exchanges, also in a cell of many processes.
constexpr std::chrono::milliseconds OwnerNotificationTime{4000};
constexpr std::chrono::milliseconds RetryDelay{150};
/// A worker lists at most this many ends in one reply.
constexpr std::size_t MaximumListedEnds = 500;
constexpr int StartAttempts = 3;
/// A run that is expected to end within this time is waited for by gangs.
constexpr std::chrono::seconds SoonEnding{30};
/// More than a few, since a worker runs many small tasks at the same time.
constexpr std::size_t MaximumVictims = 8;
/// Reason of a rejection, see mustStartApart().
constexpr const char *CrashSuspectPresent = "crash_suspect";

/// Converts a priority, of which 0 is the most urgent, to that of
/// chooseVictims(), which is higher for more urgent work.
std::uint32_t preemptionUrgency(int Priority) {
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
  case OrderStatus::WrongWorker:
    return "incarnation";
  case OrderStatus::Invalid:
    return "invalid";
  }
  return "invalid";
}

const char *nameOf(ReservationEnd End) {
  switch (End) {
  case ReservationEnd::Started:
    return "started";
  case ReservationEnd::Released:
    return "released";
  case ReservationEnd::Expired:
    return "expired";
  case ReservationEnd::Lost:
    return "lost";
  }
  return "lost";
}

WorkerAgent::WorkerAgent(const asio::any_io_executor &Executor,
                         TimerService &Timers, WorkerClient &Client,
                         EventLog &Events, WorkerEntry Entry,
                         std::uint64_t Epoch, Callbacks Listener,
                         WorkerAgentOptions Options)
    : Executor_(Executor), Timers_(Timers), Client_(Client), Events_(Events),
      Entry_(std::move(Entry)), Epoch_(Epoch), Listener_(std::move(Listener)),
      Options_(Options), Tombstones_(Options.TombstoneLifetime),
      AllEndsAccepted_(Executor), DeliveryWait_(Options.DeliveryWait) {
  // A former holder may have extended the lease, and may still do so.
  recordExtension(Options_.OwnershipLease);
  FormerLeasesEndBy_ = LeaseEndsBy_;
}

std::int64_t WorkerAgent::fencingToken() const {
  return static_cast<std::int64_t>(Epoch_) * FencingTokensPerEpoch +
         std::min(IncarnationsSeen_, FencingTokensPerEpoch - 1);
}

std::chrono::milliseconds WorkerAgent::workerClockNow() const {
  return WorkerClock_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                            Timers_.now() - WorkerClockReadAt_);
}

std::optional<std::chrono::milliseconds> WorkerAgent::extendLease() {
  const auto ConfirmedAt = Listener_.OwnershipConfirmedAt();
  if (!ConfirmedAt)
    return std::nullopt;
  const auto OwnershipLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          *ConfirmedAt + Options_.OwnershipLease - Timers_.now());
  const auto Preferred =
      Entry_.Draining ? std::min(Options_.DrainingLease, Options_.LeaseDuration)
                      : Options_.LeaseDuration;
  const auto Duration = std::min(Preferred, OwnershipLeft);
  const bool Withheld = Duration < ShortestLease;
  if (Withheld && !LeaseWithheld_)
    Events_.emit("workers", "lease_withheld",
                 {{"worker", Entry_.Id}, {"runs", Runs_.size()}});
  LeaseWithheld_ = Withheld;
  if (Withheld)
    return std::nullopt;
  recordExtension(Duration);
  return workerClockNow() + Duration;
}

void WorkerAgent::recordExtension(std::chrono::milliseconds Duration) {
  const auto Longest = std::chrono::duration_cast<Clock::duration>(
      Duration * SlowestClockFactor + LeaseExpiryMargin);
  // A worker never shortens a lease.
  LeaseEndsBy_ = std::max(LeaseEndsBy_, Timers_.now() + Longest);
}

bool WorkerAgent::hasLeaseExpired(std::chrono::milliseconds MinimumAge) const {
  return Timers_.now() > LeaseEndsBy_ + MinimumAge;
}

void WorkerAgent::setWorkerClock(std::chrono::milliseconds ClockNow) {
  // The reply was sent before it is received, so that this is a lower bound.
  WorkerClock_ = ClockNow;
  WorkerClockReadAt_ = Timers_.now();
  WorkerClockKnown_ = true;
}

asio::awaitable<void> WorkerAgent::run() {
  const auto Self = shared_from_this();
  while (!Stopping_) {
    // After lost contact another incarnation of the worker may answer, whose
    // ends have the same numbers.
    HeartbeatOrder Order{.Acknowledged =
                             Reachable_ ? EndNumbers_.acknowledged() : 0,
                         .AnswerTime = answerTime()};
    // Without contact the lease is not extended, so that it expires: an order
    // may reach the worker even if its reply is lost.
    if (WorkerClockKnown_ && Reachable_) {
      Order.LeaseEnd = extendLease().value_or(std::chrono::milliseconds(0));
      Order.Wait = Entry_.Draining ? Options_.DrainingHeartbeatWait
                                   : Options_.HeartbeatWait;
    }
    const Clock::time_point SentAt = Timers_.now();
    const auto Reply =
        co_await Client_.heartbeat(Entry_, fencingToken(), Order);
    if (Stopping_)
      co_return;
    if (!Reply) {
      markUnreachable(Reply.error().Code);
      co_await handleLeaseExpiry(Reply.error().Code ==
                                 ErrorCode::ConnectionRefused);
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    if (Reply->Status == OrderStatus::Fenced) {
      co_await resolveFence();
      continue;
    }
    if (Reply->Status == OrderStatus::WrongWorker) {
      // Another worker answers at the address, so that this one no longer
      // exists.
      if (!Replaced_) {
        Events_.emit("workers", "replaced", {{"worker", Entry_.Id}});
        recordLostContact(LastContactAt_);
      }
      Replaced_ = true;
      blameRunsForCrash(true);
      endAllRuns(RunOutcome::Lost);
      Resolved_ = true;
      Reachable_ = false;
      WorkerClockKnown_ = false;
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    if (Reply->Status != OrderStatus::Ok) {
      markUnreachable(ErrorCode::Unavailable);
      co_await handleLeaseExpiry(false);
      co_await Timers_.sleepFor(RetryDelay);
      continue;
    }
    dropExpiredReservations();
    applyHeartbeat(*Reply, SentAt);
    updateQuarantine();
    co_await Timers_.sleepFor(Options_.HeartbeatPause);
    if (!Stopping_ && !EndNumbers_.allAccepted())
      co_await waitForDelivery();
  }
}

asio::awaitable<void> WorkerAgent::resolveFence() {
  Events_.emit("workers", "fenced",
               {{"worker", Entry_.Id}, {"token", fencingToken()}});
  Reachable_ = false;
  Listener_.Fenced();
  while (!Stopping_) {
    const bool Confirmed = co_await Listener_.ConfirmOwnership();
    if (Confirmed && !Stopping_)
      ++IncarnationsSeen_;
    co_await Timers_.sleepFor(RetryDelay);
    if (Confirmed)
      co_return;
  }
}

asio::awaitable<void> WorkerAgent::waitForDelivery() {
  const std::chrono::milliseconds Wait = DeliveryWait_;
  DeliveryWait_ = std::min(2 * Wait, Options_.MaximumDeliveryWait);
  co_await AllEndsAccepted_.waitFor(Timers_, Wait);
}

std::chrono::milliseconds WorkerAgent::answerTime() const {
  const bool Patient =
      UnansweredHeartbeats_ % Options_.PatientProbeInterval == 0;
  return Patient ? Options_.AnswerTime : Options_.ProbeAnswerTime;
}

void WorkerAgent::markUnreachable(ErrorCode Cause) {
  ++UnansweredHeartbeats_;
  if (Reachable_)
    Events_.emit("workers", "lost_contact", {{"worker", Entry_.Id}});
  // A connection breaks at once when its worker crashes. Without an answer, the
  // worker may have crashed at any time since the latest one.
  recordLostContact(Cause == ErrorCode::Timeout ? LastContactAt_
                                                : Timers_.now());
  Reachable_ = false;
}

void WorkerAgent::recordLostContact(Clock::time_point AliveUntil) {
  if (!Reachable_)
    return;
  LostAt_ = {.AliveUntil = AliveUntil, .GoneBy = Timers_.now()};
  // Job owners store this at once, so that it is not lost with this process.
  for (const SuspectRun &Suspect : suspectRuns(false))
    NewSuspects_.push_back(
        {.Task = Suspect.Task, .Run = Suspect.Run, .Worker = Entry_.Id});
  if (!NewSuspects_.empty())
    Listener_.EndsChanged();
}

StartedRun WorkerAgent::startedRun(const RunKey &Key,
                                   const TrackedRun &Tracked) {
  return {.Task = Key.first,
          .Run = Key.second,
          .StartedBy = Tracked.StartedBy,
          .Suspect = Tracked.CrashSuspect};
}

std::vector<SuspectRun> WorkerAgent::suspectRuns(bool IsCertain) {
  clearSuspects();
  const bool WasKnown = LostAt_.GoneBy != Clock::time_point();
  if (Entry_.Draining || !WasKnown)
    return {};
  std::vector<StartedRun> Active;
  for (const auto &[Key, Tracked] : Runs_)
    if (Tracked.State != Phase::Ended && Tracked.State != Phase::Reserved)
      Active.push_back(startedRun(Key, Tracked));
  std::vector<SuspectRun> Suspects = findCrashSuspects(Active, LostAt_);
  for (SuspectRun &Suspect : Suspects) {
    if (!IsCertain)
      Suspect.Outcome = RunOutcome::CrashPossible;
    Runs_[RunKey(Suspect.Task, Suspect.Run)].CrashOutcome = Suspect.Outcome;
  }
  return Suspects;
}

void WorkerAgent::blameRunsForCrash(bool IsCertain) {
  const auto Active = std::ranges::count_if(Runs_, [](const auto &KeyAndRun) {
    return KeyAndRun.second.State != Phase::Ended &&
           KeyAndRun.second.State != Phase::Reserved;
  });
  const std::vector<SuspectRun> Found = suspectRuns(IsCertain);
  if (Entry_.Draining || Active == 0)
    return;
  nlohmann::json Suspects = nlohmann::json::array();
  for (const SuspectRun &Suspect : Found)
    Suspects.push_back(Suspect.Task);
  const bool Blamed =
      std::ranges::count(Found, RunOutcome::Crashed, &SuspectRun::Outcome) > 0;
  Events_.emit("workers", "crashed",
               {{"worker", Entry_.Id},
                {"runs", Active},
                {"suspects", std::move(Suspects)},
                {"certain", IsCertain},
                {"blamed", Blamed}});
}

void WorkerAgent::clearSuspects() {
  // A certain crash is that of an earlier incarnation.
  for (auto &[Key, Tracked] : Runs_)
    if (Tracked.State != Phase::Ended &&
        Tracked.CrashOutcome == RunOutcome::CrashPossible)
      Tracked.CrashOutcome.reset();
}

std::vector<RunReference> WorkerAgent::takeNewSuspects() {
  return std::exchange(NewSuspects_, {});
}

asio::awaitable<void> WorkerAgent::handleLeaseExpiry(bool Refused) {
  if (!hasLeaseExpired())
    co_return;
  const bool AllEnded = std::ranges::all_of(Runs_, [](const auto &KeyAndRun) {
    return KeyAndRun.second.State == Phase::Ended &&
           KeyAndRun.second.EndNumber == 0;
  });
  if (Resolved_ && AllEnded) {
    WorkerClockKnown_ = false;
    co_return;
  }
  // A later holder may have extended the lease, so that the runs are not lost.
  if (!co_await Listener_.ConfirmOwnership())
    co_return;
  // A start may have extended the lease meanwhile.
  if (Stopping_ || !hasLeaseExpired())
    co_return;
  Events_.emit("workers", "lapsed",
               {{"worker", Entry_.Id}, {"runs", Runs_.size()}});
  // A silent worker may have crashed or be cut off.
  blameRunsForCrash(Refused);
  endAllRuns(RunOutcome::Lost);
  Resolved_ = true;
  WorkerClockKnown_ = false;
}

void WorkerAgent::applyHeartbeat(const HeartbeatReply &Reply,
                                 Clock::time_point SentAt) {
  if (StartedAtMs_ != 0 && Reply.StartedAtMs != 0 &&
      Reply.StartedAtMs != StartedAtMs_)
    handleWorkerRestart(Reply.StartedAtMs, SentAt);
  else if (!Reachable_)
    clearSuspects();
  if (!Reachable_)
    Events_.emit("workers", "contact",
                 {{"worker", Entry_.Id},
                  {"token", fencingToken()},
                  {"running", Reply.Running.size()},
                  {"ended", Reply.Ended.size()}});
  StartedAtMs_ = Reply.StartedAtMs;
  UnansweredHeartbeats_ = 0;
  LastContactAt_ = Timers_.now();
  Replaced_ = false;
  Reachable_ = true;
  if (!std::exchange(HasAnswered_, true) && Listener_.Contacted)
    Listener_.Contacted();
  AcceptsOrders_ = true;
  setWorkerClock(Reply.ClockNow);
  std::set<RunKey> Listed;
  for (const RunningTask &Row : Reply.Running) {
    Listed.emplace(Row.Task, Row.Run);
    applyRunning(Row);
  }
  for (const EndedTask &Row : Reply.Ended) {
    Listed.emplace(Row.Task, Row.Run);
    applyEnded(Row);
  }
  // If the reply is full, further ends are listed once these are acknowledged.
  if (Reply.Ended.size() < MaximumListedEnds) {
    Resolved_ = true;
    endMissingRuns(Listed, SentAt);
  }
  if (!EndNumbers_.allAccepted())
    Listener_.EndsChanged();
}

void WorkerAgent::updateQuarantine() {
  const bool Quarantined = RunHealth_.isQuarantined(Timers_.now());
  if (Quarantined != Quarantined_)
    Events_.emit("workers", Quarantined ? "set_aside" : "tried_again",
                 {{"worker", Entry_.Id}, {"runs", Runs_.size()}});
  Quarantined_ = Quarantined;
}

void WorkerAgent::handleWorkerRestart(std::int64_t StartedAtMs,
                                      Clock::time_point SentAt) {
  Events_.emit("workers", "reborn",
               {{"worker", Entry_.Id}, {"born", StartedAtMs}});
  recordLostContact(LastContactAt_);
  blameRunsForCrash(true);
  // Orders for the previous incarnation must be fenced by this one.
  ++IncarnationsSeen_;
  // An order that reached the new incarnation with a time of the former one's
  // clock, which was ahead, has asked for a far longer lease.
  recordExtension(Options_.MaximumLease);
  EndNumbers_.restart();
  // The new incarnation may have executed a start after it sent this reply.
  // Such a run ends once its stop is answered.
  std::map<RunKey, TrackedRun> Uncertain;
  for (const auto &KeyAndRun : Runs_) {
    const TrackedRun &Tracked = KeyAndRun.second;
    if (Tracked.State == Phase::Starting ||
        (Tracked.State == Phase::Stopping && !Tracked.Confirmed) ||
        (Tracked.State == Phase::Running && Tracked.ConfirmedAt >= SentAt))
      Uncertain.insert(KeyAndRun);
  }
  for (const auto &KeyAndRun : Uncertain)
    Runs_.erase(KeyAndRun.first);
  endAllRuns(RunOutcome::Lost);
  for (const auto &[Key, Tracked] : Uncertain) {
    Runs_[Key] = Tracked;
    stopRun(Key.first, Key.second);
  }
}

void WorkerAgent::applyRunning(const RunningTask &Row) {
  const RunKey Key(Row.Task, Row.Run);
  auto It = Runs_.find(Key);
  if (It == Runs_.end()) {
    It = Runs_.emplace(Key, TrackedRun{.State = Phase::Running}).first;
    It->second.ConfirmedAt = Timers_.now();
    It->second.Confirmed = true;
    if (Tombstones_.covers(Row.Task, Row.Run))
      stopRun(Row.Task, Row.Run);
  }
  TrackedRun &Tracked = It->second;
  Tracked.NeverOrdered = false;
  Tracked.Begun = true;
  Tracked.StartedBy = std::min(Tracked.StartedBy, Timers_.now());
  Tracked.Checkpoint = std::max(Tracked.Checkpoint, Row.Checkpoint);
  if (Tracked.State == Phase::Ended && Tracked.EndNumber == 0) {
    // The run was assumed to have ended, which may already be reported, so it
    // must be stopped.
    Tracked.State = Phase::Running;
    Tracked.DemandKnown = false;
    stopRun(Row.Task, Row.Run);
  }
  if (Tracked.State == Phase::Starting) {
    Tracked.State = Phase::Running;
    Tracked.Confirmed = true;
    Tracked.ConfirmedAt = Timers_.now();
  }
}

void WorkerAgent::applyEnded(const EndedTask &Row) {
  if (EndNumbers_.contains(Row.Number))
    return;
  TrackedRun &Tracked = Runs_[RunKey(Row.Task, Row.Run)];
  Tracked.NeverOrdered = false;
  Tracked.Begun = true;
  Tracked.Checkpoint = std::max(Tracked.Checkpoint, Row.Checkpoint);
  const RunOutcome Outcome = runOutcomeFromName(Row.Outcome);
  if (Outcome == RunOutcome::Done || Outcome == RunOutcome::Failed)
    RunHealth_.recordEnd(Row.Task, Row.Run, Outcome == RunOutcome::Failed,
                         Timers_.now());
  else
    RunHealth_.forget(Row.Task, Row.Run);
  endRun(Tracked, Outcome, Row.Number);
}

void WorkerAgent::endRun(TrackedRun &Tracked, RunOutcome Outcome,
                         std::int64_t Number) {
  Tracked.State = Phase::Ended;
  Tracked.Outcome = Outcome;
  Tracked.EndNumber = Number;
  Tracked.Demand = {};
  Tracked.DemandKnown = true;
  Tracked.Delivery = {};
  if (Number == 0)
    return;
  EndNumbers_.add(Number);
  DeliveryWait_ = Options_.DeliveryWait;
}

void WorkerAgent::endMissingRuns(const std::set<RunKey> &Listed,
                                 Clock::time_point SentAt) {
  bool Changed = false;
  for (auto &[Key, Tracked] : Runs_) {
    const bool ShouldBeListed =
        Tracked.Confirmed && Tracked.ConfirmedAt < SentAt &&
        (Tracked.State == Phase::Running || Tracked.State == Phase::Stopping);
    if (!ShouldBeListed || Listed.contains(Key))
      continue;
    const RunOutcome Outcome = Tracked.State == Phase::Stopping
                                   ? RunOutcome::Stopped
                                   : RunOutcome::Lost;
    endRun(Tracked, Tracked.CrashOutcome.value_or(Outcome), 0);
    Changed = true;
  }
  if (Changed)
    Listener_.EndsChanged();
}

void WorkerAgent::endAllRuns(RunOutcome Outcome) {
  RunHealth_ = WorkerHealth();
  std::erase_if(Runs_, [this](const auto &KeyAndRun) {
    const TrackedRun &Tracked = KeyAndRun.second;
    if (Tracked.State != Phase::Reserved)
      return false;
    reportReservationEnd(Tracked, ReservationEnd::Lost);
    return true;
  });
  for (auto &[Key, Tracked] : Runs_) {
    if (Tracked.State != Phase::Ended)
      endRun(Tracked, Tracked.CrashOutcome.value_or(Outcome), 0);
    // The worker no longer lists these ends, so that there is nothing to
    // acknowledge.
    Tracked.EndNumber = 0;
  }
  EndNumbers_.dropUnaccepted();
  if (!Runs_.empty())
    Listener_.EndsChanged();
}

void WorkerAgent::handleEndAccepted(const EndReport &End) {
  const auto It = Runs_.find(RunKey(End.Task, End.Run));
  if (It == Runs_.end() || It->second.State != Phase::Ended)
    return;
  // The outcome may have changed since the end was reported.
  if (nameOf(It->second.Outcome) != End.How) {
    Events_.emit("workers", "end_changed",
                 {{"task", End.Task},
                  {"run", End.Run},
                  {"worker", Entry_.Id},
                  {"reported", End.How},
                  {"how", nameOf(It->second.Outcome)}});
    It->second.Delivery = {};
    return;
  }
  DeliveryWait_ = Options_.DeliveryWait;
  const std::int64_t Number = It->second.EndNumber;
  Runs_.erase(It);
  Tombstones_.add(End.Task, End.Run, Timers_.now());
  if (Number == 0)
    return;
  EndNumbers_.accept(Number);
  if (EndNumbers_.allAccepted())
    AllEndsAccepted_.notify();
}

WorkerAgent::CommittedResources WorkerAgent::committedResources() const {
  CommittedResources Sum;
  for (const auto &[Key, Tracked] : Runs_) {
    // The sums do not overflow, as all of it fits in the worker.
    (void)Sum.All.add(Tracked.Demand);
    if (Tracked.LongRunning ||
        (Tracked.Estimated > SoonEnding &&
         Tracked.ConfirmedAt + Tracked.Estimated > Timers_.now() + SoonEnding))
      (void)Sum.Lasting.add(Tracked.Demand);
    if (Tracked.Priority > 0 && !Tracked.InGang &&
        Tracked.State != Phase::Reserved)
      Sum.TaskCpusMilli += Tracked.Demand.CpusMilli;
  }
  return Sum;
}

bool WorkerAgent::isUsable() const {
  const bool AllDemandsKnown =
      std::ranges::all_of(Runs_, [](const auto &KeyAndRun) {
        return KeyAndRun.second.DemandKnown;
      });
  return Resolved_ && Reachable_ && AcceptsOrders_ && Listed_ && Recorded_ &&
         WorkerClockKnown_ && AllDemandsKnown && !Entry_.Draining &&
         isCurrentIncarnation(Entry_.StartedAtMs);
}

bool WorkerAgent::isCurrentIncarnation(std::int64_t StartedAtMs) const {
  return StartedAtMs == 0 || StartedAtMs_ == 0 || StartedAtMs == StartedAtMs_;
}

WorkerLoad WorkerAgent::load() const {
  const CommittedResources Committed = committedResources();
  return {.Id = Entry_.Id,
          .Free = Entry_.Capacity.minusClamped(Committed.All),
          .Resolved = Resolved_,
          .Usable = isUsable() && !hasJustStartedSuspect(),
          .Suspect = Quarantined_,
          .Lasting = Committed.Lasting,
          .TaskCpusMilli = Committed.TaskCpusMilli};
}

void WorkerAgent::addUse(ProcessorUse &Use) const {
  for (const auto &[Key, Tracked] : Runs_) {
    const std::uint64_t Cpus = Tracked.Demand.CpusMilli;
    if (Tracked.State == Phase::Reserved)
      Use.Reserved += Cpus;
    else if (Tracked.State == Phase::Stopping)
      Use.Stopping += Cpus;
    else if (Tracked.State != Phase::Ended)
      Use.Running[Tracked.Priority] += Cpus;
  }
  const WorkerLoad Load = load();
  (Load.Usable && !Load.Suspect ? Use.Free : Use.Unusable) +=
      Load.Free.CpusMilli;
}

std::optional<WorkerLoad>
WorkerAgent::loadIfChangedSince(Clock::time_point Since) {
  if (WorkerLoad Load = load(); Load != LatestLoad_) {
    LatestLoad_ = std::move(Load);
    LoadChangedAt_ = Timers_.now();
  }
  return LoadChangedAt_ > Since ? std::optional(LatestLoad_) : std::nullopt;
}

void WorkerAgent::dropExpiredReservations() {
  std::erase_if(Runs_, [this](const auto &KeyAndRun) {
    const TrackedRun &Tracked = KeyAndRun.second;
    const bool Expired =
        Tracked.State == Phase::Reserved &&
        Timers_.now() - Tracked.ConfirmedAt > Options_.ReservationLifetime;
    if (Expired)
      reportReservationEnd(Tracked, ReservationEnd::Expired);
    return Expired;
  });
}

void WorkerAgent::reportReservationEnd(const TrackedRun &Reserved,
                                       ReservationEnd End) const {
  if (Listener_.ReservationEnded)
    Listener_.ReservationEnded(End, Timers_.now() - Reserved.ConfirmedAt);
}

std::optional<PlaceResult>
WorkerAgent::repeatedResult(const RunKey &Key) const {
  const auto It = Runs_.find(Key);
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
  const RunKey Key(Order.Task, Order.Run);
  dropExpiredReservations();
  if (const auto Earlier = repeatedResult(Key))
    return *Earlier;
  if (const auto Refusal = findRefusal(Order))
    return rejectRun(Key, *Refusal);
  if (hasJustStartedSuspect(TaskName::jobOf(Order.Task)))
    return rejectRun(Key, CrashSuspectPresent);
  Runs_[Key] =
      TrackedRun{.State = Phase::Reserved,
                 .Demand = Order.Demand,
                 .DemandKnown = true,
                 .Estimated = std::chrono::milliseconds(Order.EstimatedMs),
                 .LongRunning = Order.LongRunning,
                 .ConfirmedAt = Timers_.now(),
                 .StartedBy = Timers_.now(),
                 .CrashSuspect = Order.CrashSuspect};
  return {.Status = PlaceStatus::Reserved};
}

std::optional<std::string> WorkerAgent::findRefusal(const PlaceOrder &Order) {
  const WorkerLoad Load = load();
  if (!isUsable())
    return "worker_unusable";
  if (!isCurrentIncarnation(Order.WorkerStartedAtMs))
    return nameOf(OrderStatus::WrongWorker);
  if (!Order.Demand.fitsIn(Load.Free))
    return "room";
  if (Tombstones_.covers(Order.Task, Order.Run))
    return "stopped";
  for (const auto &[Key, Tracked] : Runs_)
    if (Key.first == Order.Task && Tracked.State != Phase::Ended)
      return "task_present";
  return std::nullopt;
}

bool WorkerAgent::hasJustStartedSuspect(const std::string &ExceptJob) const {
  return std::ranges::any_of(Runs_, [&](const auto &KeyAndRun) {
    const auto &[Key, Tracked] = KeyAndRun;
    return Tracked.State != Phase::Ended && Tracked.CrashSuspect &&
           mustStartApart(startedRun(Key, Tracked), Timers_.now()) &&
           TaskName::jobOf(Key.first) != ExceptJob;
  });
}

PlaceResult WorkerAgent::rejectRun(const RunKey &Key,
                                   const std::string &Reason) {
  Runs_.erase(Key);
  Tombstones_.add(Key.first, Key.second, Timers_.now());
  return {.Status = PlaceStatus::Rejected, .Reason = Reason};
}

asio::awaitable<PlaceResult> WorkerAgent::start(PlaceOrder Order) {
  const auto Self = shared_from_this();
  const RunKey Key(Order.Task, Order.Run);
  dropExpiredReservations();
  if (const auto Earlier = repeatedResult(Key);
      Earlier && Earlier->Status != PlaceStatus::Reserved)
    co_return *Earlier;
  const auto Reservation = Runs_.find(Key);
  const bool WasReserved = Reservation != Runs_.end();
  if (WasReserved) {
    if (Reservation->second.State == Phase::Reserved)
      reportReservationEnd(Reservation->second, ReservationEnd::Started);
    // Frees the order's own reservation.
    Runs_.erase(Reservation);
  }
  if (const auto Refusal = findRefusal(Order))
    co_return rejectRun(Key, *Refusal);
  // The other members of a gang start on their reservations.
  if (!WasReserved && hasJustStartedSuspect(TaskName::jobOf(Order.Task)))
    co_return rejectRun(Key, CrashSuspectPresent);
  Runs_[Key] =
      TrackedRun{.State = Phase::Starting,
                 .Demand = Order.Demand,
                 .DemandKnown = true,
                 .Estimated = std::chrono::milliseconds(Order.EstimatedMs),
                 .LongRunning = Order.LongRunning,
                 .InGang = WasReserved,
                 .Checkpoint = Order.Checkpoint,
                 .Priority = Order.Priority,
                 .Preemptible = Order.Preemptible,
                 .CrashSuspect = Order.CrashSuspect};
  bool MayBeRunning = false;
  std::string Refusal = "unreachable";
  // Without contact, another incarnation may receive the next attempt.
  for (int Attempt = 0; Attempt < StartAttempts && Reachable_; ++Attempt) {
    StartOrder Start{.Task = Order.Task,
                     .Run = Order.Run,
                     .Payload = Order.Payload,
                     .Checkpoint = Order.Checkpoint,
                     .Ticket = Order.Ticket};
    const auto LeaseEnd = extendLease();
    if (!LeaseEnd) {
      Refusal = "ownership_unconfirmed";
      break;
    }
    const auto Reply =
        co_await Client_.start(Entry_, fencingToken(), *LeaseEnd,
                               std::move(Start), Options_.StartTimeout);
    const auto It = Runs_.find(Key);
    if (It != Runs_.end() && It->second.State == Phase::Running)
      // A heartbeat listed the run before this reply arrived.
      co_return PlaceResult{.Status = PlaceStatus::Started};
    if (It == Runs_.end() || It->second.State != Phase::Starting)
      // The run has already ended or is being stopped.
      co_return PlaceResult{.Status = PlaceStatus::Pending};
    if (!Reply) {
      MayBeRunning = MayBeRunning || !Reply.error().hadNoEffect();
      continue;
    }
    if (Reply->Status == OrderStatus::Ok) {
      LastContactAt_ = Timers_.now();
      RunHealth_.recordStart(Order.Task, Order.Run,
                             std::chrono::milliseconds(Order.ExpectedMs),
                             Timers_.now());
      It->second.State = Phase::Running;
      It->second.Begun = true;
      It->second.Confirmed = true;
      It->second.ConfirmedAt = Timers_.now();
      It->second.StartedBy = Timers_.now();
      Events_.emit("workers", "started",
                   {{"task", Order.Task},
                    {"run", Order.Run},
                    {"worker", Entry_.Id},
                    {"token", fencingToken()}});
      co_return PlaceResult{.Status = PlaceStatus::Started};
    }
    if (Reply->Status == OrderStatus::Unhealthy)
      AcceptsOrders_ = false;
    if (!MayBeRunning)
      co_return rejectRun(Key, nameOf(Reply->Status));
    break;
  }
  if (!MayBeRunning)
    co_return rejectRun(Key, Refusal);
  stopRun(Order.Task, Order.Run);
  co_return PlaceResult{.Status = PlaceStatus::Pending};
}

void WorkerAgent::stopRun(const std::string &Task, int RunNumber) {
  Tombstones_.add(Task, RunNumber, Timers_.now());
  const RunKey Key(Task, RunNumber);
  auto It = Runs_.find(Key);
  if (It == Runs_.end() && !Resolved_) {
    // A former holder may have started it.
    Runs_.emplace(Key, TrackedRun{.State = Phase::Stopping});
    asio::co_spawn(Executor_, stopUntilAnswered(Key), asio::detached);
    return;
  }
  if (It == Runs_.end()) {
    // The run was never started here, or its end has already been accepted.
    // The owner of the job may wait for its end.
    It = Runs_.emplace(Key, TrackedRun{.NeverOrdered = true}).first;
    endRun(It->second, RunOutcome::Stopped, 0);
    Listener_.EndsChanged();
    return;
  }
  TrackedRun &Tracked = It->second;
  if (Tracked.State == Phase::Reserved) {
    reportReservationEnd(Tracked, ReservationEnd::Released);
    Runs_.erase(It);
    return;
  }
  if (Tracked.State == Phase::Stopping || Tracked.State == Phase::Ended)
    return;
  Events_.emit("workers", "stopping",
               {{"task", Task}, {"run", RunNumber}, {"worker", Entry_.Id}});
  RunHealth_.forget(Task, RunNumber);
  Tracked.State = Phase::Stopping;
  Tracked.Confirmed = false;
  asio::co_spawn(Executor_, stopUntilAnswered(Key), asio::detached);
}

asio::awaitable<void> WorkerAgent::stopUntilAnswered(RunKey Key) {
  const auto Self = shared_from_this();
  while (!Stopping_) {
    auto It = Runs_.find(Key);
    if (It == Runs_.end() || It->second.State != Phase::Stopping)
      co_return;
    const std::int64_t Token = fencingToken();
    const auto Reply = co_await Client_.stop(Entry_, Token, Key.first,
                                             Key.second, Options_.StopTimeout);
    It = Runs_.find(Key);
    if (Stopping_ || It == Runs_.end() || It->second.State != Phase::Stopping)
      co_return;
    if (Reply && Reply->Status == OrderStatus::Ok) {
      It->second.Confirmed = true;
      It->second.ConfirmedAt = Timers_.now();
      co_return;
    }
    co_await Timers_.sleepFor(RetryDelay);
    // The next heartbeat is refused as well; see resolveFence().
    while (Reply && Reply->Status == OrderStatus::Fenced && !Stopping_ &&
           fencingToken() == Token)
      co_await Timers_.sleepFor(RetryDelay);
  }
}

void WorkerAgent::setDemand(const RunDemand &Update) {
  const auto It = Runs_.find(RunKey(Update.Task, Update.Run));
  if (It == Runs_.end() || It->second.DemandKnown)
    return;
  It->second.Demand = Update.Demand;
  It->second.DemandKnown = true;
  It->second.Priority = Update.Priority;
  It->second.Preemptible = Update.Preemptible;
  It->second.Estimated = std::chrono::milliseconds(Update.EstimatedMs);
  It->second.LongRunning = Update.LongRunning;
  It->second.InGang = Update.Gang;
}

int WorkerAgent::preemptRuns(const Resources &Demand, int Priority) {
  const WorkerLoad Load = load();
  if (!Load.Usable)
    return 0;
  std::vector<PreemptionCandidate> Running;
  std::vector<RunKey> Keys;
  Resources ExpectedFree = Load.Free;
  for (const auto &[Key, Tracked] : Runs_) {
    if (Tracked.State == Phase::Stopping)
      (void)ExpectedFree.add(Tracked.Demand);
    if (Tracked.State != Phase::Running || !Tracked.Preemptible)
      continue;
    Running.push_back({.Id = std::to_string(Keys.size()),
                       .Priority = preemptionUrgency(Tracked.Priority),
                       .Held = Tracked.Demand,
                       .RunTime = Timers_.now() - Tracked.ConfirmedAt});
    Keys.push_back(Key);
  }
  const auto Victims =
      chooseVictims(Demand, preemptionUrgency(Priority), ExpectedFree, Running,
                    {.MaximumVictims = MaximumVictims});
  if (!Victims)
    return 0;
  for (const std::string &Id : *Victims) {
    const RunKey &Key = Keys[std::stoul(Id)];
    Events_.emit("workers", "preempted",
                 {{"task", Key.first},
                  {"run", Key.second},
                  {"worker", Entry_.Id},
                  {"for_priority", Priority}});
    stopRun(Key.first, Key.second);
  }
  return static_cast<int>(Victims->size());
}

void WorkerAgent::appendRuns(
    const std::function<bool(const std::string &Task)> &IsWanted,
    std::vector<RunReport> &Reports) const {
  for (const auto &[Key, Tracked] : Runs_) {
    if (Tracked.State == Phase::Reserved || !IsWanted(Key.first))
      continue;
    Reports.push_back(
        {.Task = Key.first,
         .Run = Key.second,
         .Worker = Entry_.Id,
         .Checkpoint = Tracked.Checkpoint,
         .DemandKnown = Tracked.DemandKnown,
         .How = Tracked.State == Phase::Ended ? nameOf(Tracked.Outcome) : "",
         .Begun = Tracked.Begun,
         .CrashPossible = Tracked.CrashOutcome.has_value()});
  }
}

EndReport WorkerAgent::endReport(const RunKey &Key,
                                 const TrackedRun &Ended) const {
  return {.Task = Key.first,
          .Run = Key.second,
          .Worker = Entry_.Id,
          .How = nameOf(Ended.Outcome),
          .Checkpoint = Ended.Checkpoint};
}

std::vector<EndReport> WorkerAgent::undeliveredEnds() const {
  std::vector<EndReport> Reports;
  for (const auto &[Key, Tracked] : Runs_)
    if (Tracked.State == Phase::Ended)
      Reports.push_back(endReport(Key, Tracked));
  return Reports;
}

void WorkerAgent::takeDueEnds(std::vector<EndReport> &Reports) {
  const Clock::time_point Now = Timers_.now();
  for (auto &[Key, Tracked] : Runs_) {
    EndDelivery &Delivery = Tracked.Delivery;
    if (Tracked.State != Phase::Ended || Delivery.InProgress ||
        Delivery.DueAt > Now)
      continue;
    Delivery.InProgress = true;
    Reports.push_back(endReport(Key, Tracked));
  }
}

void WorkerAgent::handleEndNotAccepted(const EndReport &End) {
  const auto It = Runs_.find(RunKey(End.Task, End.Run));
  if (It == Runs_.end())
    return;
  EndDelivery &Delivery = It->second.Delivery;
  Delivery.InProgress = false;
  Delivery.RetryDelay =
      std::clamp(2 * Delivery.RetryDelay, Options_.EndRetryDelay,
                 Options_.MaximumEndRetryDelay);
  Delivery.DueAt = Timers_.now() + Delivery.RetryDelay;
}

void WorkerAgent::update(const WorkerEntry &Entry) {
  if (Entry.Draining && !Entry_.Draining)
    Events_.emit("workers", "draining", {{"worker", Entry.Id}});
  Entry_ = Entry;
  Listed_ = true;
}

void WorkerAgent::markUnlisted() {
  if (Listed_)
    Events_.emit("workers", "unlisted", {{"worker", Entry_.Id}});
  Listed_ = false;
}

bool WorkerAgent::hasLeftIdle() const {
  return !Listed_ && HasAnswered_ && Resolved_ && Runs_.empty() &&
         Timers_.now() > FormerLeasesEndBy_;
}

bool WorkerAgent::isRemovable() const {
  // Job owners learn from exchanges that nothing runs on the worker. If the
  // worker were removed earlier, its runs would count as running forever.
  return !Listed_ && !Reachable_ && Resolved_ && Runs_.empty() &&
         hasLeaseExpired(OwnerNotificationTime);
}

void WorkerAgent::restoreTermState(WorkerTermState State) {
  IncarnationsSeen_ = State.IncarnationsSeen;
  Tombstones_ = std::move(State.Tombstones);
}

void WorkerAgent::stop() { Stopping_ = true; }

} // namespace hickory
