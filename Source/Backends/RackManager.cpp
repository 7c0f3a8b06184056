#include "Backends/RackManager.h"

#include "Backends/BestFitPicker.h"
#include "Backends/ExecutorPool.h"
#include "Backends/RackContext.h"
#include "Backends/SignalWait.h"
#include "Backends/WorkerSession.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickory {

namespace {

using std::chrono::milliseconds;
using Phase = WorkerTask::Phase;
using SessionPointer = std::shared_ptr<WorkerSession>;
using TaskPointer = std::shared_ptr<WorkerTask>;

constexpr std::string_view RackPrefix = "rack/";

/// Capacity held for tasks of a gang that are placed a moment later.
struct Reservation {
  struct Piece {
    SessionPointer Session;
    Capacity Size;
  };
  std::vector<Piece> Pieces;
  Subscription Expiry;
};

/// A rack whose shard this instance holds.
struct HeldRack {
  std::string Name;
  Clock::time_point Acquired;
  bool Ready = false;     ///< The wait after a takeover is over.
  bool Releasing = false; ///< Takes no new work.
  std::map<std::string, SessionPointer> Workers;
  std::shared_ptr<ExecutorPool> Executors;
  std::map<std::uint64_t, Reservation> Reservations;
};

using RackPointer = std::shared_ptr<HeldRack>;

peer::PlaceReply placeReply(peer::Status Status, std::string Detail,
                            const std::string &Worker = {}) {
  peer::PlaceReply Reply;
  Reply.set_status(Status);
  Reply.set_detail(std::move(Detail));
  Reply.set_worker(Worker);
  return Reply;
}

peer::ExecuteReply executeReply(peer::Status Status, std::string Detail) {
  peer::ExecuteReply Reply;
  Reply.set_status(Status);
  Reply.set_detail(std::move(Detail));
  return Reply;
}

bool isUtf8(const std::string &Text) {
  try {
    static_cast<void>(nlohmann::json(Text).dump());
    return true;
  } catch (const nlohmann::json::exception &) {
    return false;
  }
}

int preference(HealthTracker::State State) {
  switch (State) {
  case HealthTracker::State::Healthy:
    return 0;
  case HealthTracker::State::Degraded:
    return 1;
  default:
    return 2;
  }
}

const char *stateName(const WorkerTask &Task) {
  if (Task.State == Phase::Running)
    return "running";
  if (Task.State != Phase::Ended)
    return "starting";
  switch (Task.End.outcome()) {
  case records::OUTCOME_COMPLETED:
    return "done";
  case records::OUTCOME_CANCELLED:
    return "stopped";
  default:
    return Task.End.detail() == "expired" ? "expired" : "failed";
  }
}

double dominantShare(const Capacity &Part, const Capacity &Whole) {
  const auto Share = [](std::int64_t Left, std::int64_t Right) {
    return Right <= 0 ? 0.0
                      : static_cast<double>(Left) / static_cast<double>(Right);
  };
  return std::max({Share(Part.CpusMilli, Whole.CpusMilli),
                   Share(Part.MemoryMb, Whole.MemoryMb),
                   Share(Part.Accelerators, Whole.Accelerators)});
}

} // namespace

class RackManager::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  explicit Implementation(std::shared_ptr<RackContext> Context)
      : Context_(std::move(Context)), Wake_(Context_->Executor),
        Picker_(std::make_unique<BestFitPicker>(
            Context_->Options.Protections.CheckCapacity)) {
    Context_->IsFenced = [this](const TaskId &Id) { return isFenced(Id); };
  }

  asio::awaitable<Result<void>> run();
  asio::awaitable<void> drain();
  void stop();

  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest Request);
  asio::awaitable<peer::ReserveReply> reserve(peer::ReserveRequest Request);
  asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest Request);
  asio::awaitable<peer::StopTaskReply> stopTask(peer::StopTaskRequest Request);
  asio::awaitable<peer::ExecuteReply> execute(peer::ExecuteRequest Request);
  [[nodiscard]] std::vector<peer::RackLoad> rackLoads() const;
  [[nodiscard]] std::vector<peer::MemberUse> memberUse() const;
  [[nodiscard]] std::vector<WorkerView> workers() const;
  [[nodiscard]] std::vector<TaskSummary> tasks() const;
  [[nodiscard]] RackContext &context() { return *Context_; }

private:
  /// Why a call for a rack cannot be served; STATUS_OK if it can.
  struct Check {
    peer::Status Status = peer::STATUS_OK;
    std::string Detail;
    RackPointer Rack;
  };

  void acquire(const std::string &Shard, bool PreviousOwnerExpired);
  /// Self keeps this alive, also before the coroutine runs; so in release.
  asio::awaitable<void> makeReady(std::shared_ptr<Implementation> Self,
                                  RackPointer Rack, bool PreviousOwnerExpired);
  void lose(const std::string &Shard);
  asio::awaitable<void> release(std::shared_ptr<Implementation> Self,
                                std::string Shard, std::function<void()> Done);
  static void closeRack(const RackPointer &Rack);
  void sync(const RackPointer &Rack);
  void syncAll();
  void forgetOld();
  [[nodiscard]] bool settled(const HeldRack &Rack) const;
  [[nodiscard]] bool isCurrent(const RackPointer &Rack) const;

  [[nodiscard]] Check checkRack(const std::string &Name) const;
  [[nodiscard]] Check checkWork(const std::string &Name,
                                std::uint64_t Incarnation) const;
  [[nodiscard]] bool isFenced(const TaskId &Id) const {
    return Context_->Options.Protections.Fence && Fences_.contains(Id);
  }
  struct Found {
    SessionPointer Session;
    TaskPointer Task;
  };
  [[nodiscard]] static Found findIn(const HeldRack &Rack, const TaskId &Id);
  [[nodiscard]] Found findOtherAttempt(const TaskId &Id) const;
  /// A session whose capacity is free, or was reserved, for the task.
  [[nodiscard]] SessionPointer chooseWorker(HeldRack &Rack,
                                            const peer::PlaceRequest &Request,
                                            const Capacity &Need,
                                            peer::PlaceReply &Refusal);
  [[nodiscard]] SessionPointer
  bestFit(const HeldRack &Rack, const Capacity &Need, bool AllowProbe) const;
  SessionPointer takeReserved(HeldRack &Rack, std::uint64_t Id,
                              const Capacity &Need);
  static void releaseReservation(HeldRack &Rack, std::uint64_t Id);
  /// Waits until the outcome of the start is known, or Deadline.
  asio::awaitable<void> awaitStart(SessionPointer Session, TaskPointer Task,
                                   Clock::time_point Deadline);
  asio::awaitable<void> awaitChange(TaskPointer Task, Clock::time_point Until);
  [[nodiscard]] bool allTasksKnown(const HeldRack &Rack) const;

  std::shared_ptr<RackContext> Context_;
  Notifier Wake_;
  bool Stopped_ = false;
  bool Draining_ = false;
  std::unique_ptr<WorkerPicker> Picker_;
  std::map<std::string, RackPointer> Racks_;
  std::map<TaskId, Clock::time_point> Fences_;
  std::uint64_t NextReservation_ = 1;
  std::vector<Subscription> Subscriptions_;
};

// ---- Ownership

asio::awaitable<Result<void>> RackManager::Implementation::run() {
  const auto Self = shared_from_this();
  Stopped_ = false;
  Subscriptions_.clear();
  Subscriptions_.push_back(Context_->Ownership.subscribe(
      [this](const OwnershipView::Change &Changed) {
        if (!Changed.Shard.starts_with(RackPrefix))
          return;
        if (Changed.Acquired)
          acquire(Changed.Shard, Changed.PreviousOwnerExpired);
        else
          lose(Changed.Shard);
      }));
  Subscriptions_.push_back(Context_->Ownership.onRelease(
      [this](std::string Shard, std::function<void()> Done) {
        if (Shard.starts_with(RackPrefix))
          asio::co_spawn(
              Context_->Executor,
              release(shared_from_this(), std::move(Shard), std::move(Done)),
              asio::detached);
        else
          Done();
      }));
  Subscriptions_.push_back(
      Context_->Upstreams.subscribe([this] { syncAll(); }));
  Subscriptions_.push_back(
      Context_->Timers.every(std::chrono::minutes(1), [this] { forgetOld(); }));
  // What happened before is not known here, so the careful way is taken.
  for (const std::string &Shard : Context_->Ownership.heldShards())
    if (Shard.starts_with(RackPrefix))
      acquire(Shard, true);
  while (!Stopped_)
    co_await Wake_.wait();
  Subscriptions_.clear();
  for (const auto &[Name, Rack] : Racks_)
    closeRack(Rack);
  Racks_.clear();
  co_return Result<void>();
}

void RackManager::Implementation::stop() {
  Stopped_ = true;
  Wake_.notify();
}

asio::awaitable<void> RackManager::Implementation::drain() {
  const auto Self = shared_from_this();
  Draining_ = true;
  const auto GiveUp = Context_->Timers.now() + Context_->Options.ReleaseLimit;
  const auto AllSettled = [this] {
    return std::all_of(Racks_.begin(), Racks_.end(), [this](const auto &Item) {
      return settled(*Item.second);
    });
  };
  while (!AllSettled() && Context_->Timers.now() < GiveUp)
    co_await Context_->Timers.sleepFor(milliseconds(20));
}

void RackManager::Implementation::acquire(const std::string &Shard,
                                          bool PreviousOwnerExpired) {
  const std::string Name = Shard.substr(RackPrefix.size());
  if (const auto Old = Racks_.find(Name); Old != Racks_.end())
    closeRack(Old->second);
  auto Rack = std::make_shared<HeldRack>();
  Rack->Name = Name;
  Rack->Acquired = Context_->Timers.now();
  Rack->Executors = std::make_shared<ExecutorPool>(Context_, Name);
  Racks_[Name] = Rack;
  Context_->Events.emit("racks", "rack_acquired",
                        {{"rack", Name},
                         {"previous_owner_expired", PreviousOwnerExpired},
                         {"incarnation", Context_->Ownership.incarnation()}});
  asio::co_spawn(Context_->Executor,
                 makeReady(shared_from_this(), Rack, PreviousOwnerExpired),
                 asio::detached);
}

asio::awaitable<void>
RackManager::Implementation::makeReady(std::shared_ptr<Implementation> Self,
                                       RackPointer Rack,
                                       bool PreviousOwnerExpired) {
  CHECK(Self.get() == this);
  if (PreviousOwnerExpired)
    co_await Context_->Timers.sleepFor(Context_->Options.TakeoverWait);
  if (!isCurrent(Rack))
    co_return;
  Rack->Ready = true;
  sync(Rack);
}

bool RackManager::Implementation::isCurrent(const RackPointer &Rack) const {
  const auto It = Racks_.find(Rack->Name);
  return It != Racks_.end() && It->second == Rack;
}

void RackManager::Implementation::lose(const std::string &Shard) {
  const auto It = Racks_.find(Shard.substr(RackPrefix.size()));
  if (It == Racks_.end())
    return;
  Context_->Events.emit("racks", "rack_lost",
                        {{"rack", It->first},
                         {"incarnation", Context_->Ownership.incarnation()}});
  const RackPointer Rack = It->second;
  Racks_.erase(It);
  closeRack(Rack);
}

void RackManager::Implementation::closeRack(const RackPointer &Rack) {
  Rack->Releasing = true;
  Rack->Reservations.clear();
  for (const auto &[Name, Session] : Rack->Workers)
    Session->close();
  Rack->Executors->close();
}

bool RackManager::Implementation::settled(const HeldRack &Rack) const {
  return Rack.Executors->inFlight() == 0 &&
         std::all_of(
             Rack.Workers.begin(), Rack.Workers.end(),
             [](const auto &Item) { return Item.second->startsSettled(); });
}

asio::awaitable<void>
RackManager::Implementation::release(std::shared_ptr<Implementation> Self,
                                     std::string Shard,
                                     std::function<void()> Done) {
  CHECK(Self.get() == this);
  const auto It = Racks_.find(Shard.substr(RackPrefix.size()));
  if (It != Racks_.end()) {
    const RackPointer Rack = It->second;
    Rack->Releasing = true;
    const auto GiveUp = Context_->Timers.now() + Context_->Options.ReleaseLimit;
    // A start that the successor could not see in the worker's state must not
    // be on its way when the shard is released.
    while (isCurrent(Rack) && !settled(*Rack) &&
           Context_->Timers.now() < GiveUp)
      co_await Context_->Timers.sleepFor(milliseconds(10));
    closeRack(Rack);
  }
  Done();
}

void RackManager::Implementation::syncAll() {
  const auto Current = Racks_;
  for (const auto &[Name, Rack] : Current)
    sync(Rack);
}

void RackManager::Implementation::sync(const RackPointer &Rack) {
  if (!Rack->Ready || Rack->Releasing)
    return;
  std::vector<Upstream> Executors;
  std::map<std::string, bool> Seen;
  for (Upstream &One : Context_->Upstreams.inRack(Rack->Name)) {
    if (One.Kind == UpstreamKind::Executor) {
      Executors.push_back(std::move(One));
      continue;
    }
    Seen[One.Name] = true;
    SessionPointer &Session = Rack->Workers[One.Name];
    if (Session) {
      Session->update(One);
    } else {
      Session = std::make_shared<WorkerSession>(Context_, std::move(One));
      Session->open(Rack->Acquired);
    }
  }
  Rack->Executors->update(Executors);
  for (auto It = Rack->Workers.begin(); It != Rack->Workers.end();) {
    if (!Seen.contains(It->first) && It->second->tasks().empty()) {
      It->second->close();
      It = Rack->Workers.erase(It);
    } else {
      ++It;
    }
  }
}

void RackManager::Implementation::forgetOld() {
  const auto Limit = Context_->Timers.now() - Context_->Options.Memory;
  std::erase_if(Fences_, [&](const auto &Item) { return Item.second < Limit; });
  std::erase_if(Context_->OnceSent,
                [&](const auto &Item) { return Item.second.When < Limit; });
}

// ---- Checks

RackManager::Implementation::Check
RackManager::Implementation::checkRack(const std::string &Name) const {
  const auto It = Racks_.find(Name);
  if (It == Racks_.end())
    return {peer::STATUS_NOT_OWNER, "this instance does not own the rack", {}};
  if (!Context_->Ownership.holds(rackShard(Name)))
    return {peer::STATUS_UNAVAILABLE,
            "the lease of this instance does not hold",
            {}};
  return {peer::STATUS_OK, {}, It->second};
}

RackManager::Implementation::Check
RackManager::Implementation::checkWork(const std::string &Name,
                                       std::uint64_t Incarnation) const {
  Check Checked = checkRack(Name);
  if (Checked.Status != peer::STATUS_OK)
    return Checked;
  if (Incarnation != Context_->Ownership.incarnation())
    return {peer::STATUS_WRONG_INCARNATION,
            "the call was meant for another incarnation",
            {}};
  if (Draining_ || Checked.Rack->Releasing)
    return {peer::STATUS_UNAVAILABLE, "the rack is being handed over", {}};
  if (!Checked.Rack->Ready)
    return {peer::STATUS_UNAVAILABLE, "the rack is being taken over", {}};
  return Checked;
}

RackManager::Implementation::Found
RackManager::Implementation::findIn(const HeldRack &Rack, const TaskId &Id) {
  for (const auto &[Name, Session] : Rack.Workers)
    if (TaskPointer Task = Session->find(Id))
      return {Session, Task};
  return {};
}

RackManager::Implementation::Found
RackManager::Implementation::findOtherAttempt(const TaskId &Id) const {
  const TaskId First{Id.Key, Id.Task, 0};
  for (const auto &[RackName, Rack] : Racks_)
    for (const auto &[Name, Session] : Rack->Workers) {
      const auto &Tasks = Session->tasks();
      for (auto It = Tasks.lower_bound(First);
           It != Tasks.end() && It->first.Key == Id.Key &&
           It->first.Task == Id.Task;
           ++It)
        if (It->first.Attempt != Id.Attempt && It->second->isCommitted())
          return {Session, It->second};
    }
  return {};
}

bool RackManager::Implementation::allTasksKnown(const HeldRack &Rack) const {
  const auto &Options = Context_->Options;
  const auto Now = Context_->Timers.now();
  // A worker that is missing from the list may run a task of a previous owner.
  const auto Since = Context_->Upstreams.knownSince();
  const auto RunLeaseOver =
      Rack.Acquired +
      std::chrono::duration_cast<Clock::duration>(
          Options.Lease.RunLease * (1 + Options.Lease.ClockRateMargin));
  if (Now < RunLeaseOver && (!Since || Now - *Since < Options.ListHistory))
    return false;
  return std::all_of(
      Rack.Workers.begin(), Rack.Workers.end(),
      [](const auto &Item) { return Item.second->tasksKnown(); });
}

// ---- Tasks

SessionPointer RackManager::Implementation::bestFit(const HeldRack &Rack,
                                                    const Capacity &Need,
                                                    bool AllowProbe) const {
  std::vector<WorkerPicker::Candidate> Candidates;
  std::vector<SessionPointer> Sessions;
  for (const auto &[Name, Session] : Rack.Workers) {
    if (!Session->mayStart())
      continue;
    const auto Health = Session->health();
    if (Health == HealthTracker::State::ProbeDue && !AllowProbe)
      continue;
    Candidates.push_back(
        {Session->free(), Session->total(), preference(Health)});
    Sessions.push_back(Session);
  }
  const auto Index = Picker_->pick(Candidates, Need);
  return Index ? Sessions[*Index] : nullptr;
}

SessionPointer RackManager::Implementation::takeReserved(HeldRack &Rack,
                                                         std::uint64_t Id,
                                                         const Capacity &Need) {
  const auto It = Rack.Reservations.find(Id);
  if (It == Rack.Reservations.end())
    return nullptr;
  auto &Pieces = It->second.Pieces;
  const auto Piece =
      std::find_if(Pieces.begin(), Pieces.end(), [&](const auto &One) {
        return Need.fitsInto(One.Size) && One.Session->mayStart();
      });
  if (Piece == Pieces.end())
    return nullptr;
  const SessionPointer Session = Piece->Session;
  Session->removeReserved(Piece->Size);
  Pieces.erase(Piece);
  if (Pieces.empty())
    Rack.Reservations.erase(It);
  return Session;
}

void RackManager::Implementation::releaseReservation(HeldRack &Rack,
                                                     std::uint64_t Id) {
  const auto It = Rack.Reservations.find(Id);
  if (It == Rack.Reservations.end())
    return;
  for (const Reservation::Piece &Piece : It->second.Pieces)
    Piece.Session->removeReserved(Piece.Size);
  Rack.Reservations.erase(It);
}

SessionPointer RackManager::Implementation::chooseWorker(
    HeldRack &Rack, const peer::PlaceRequest &Request, const Capacity &Need,
    peer::PlaceReply &Refusal) {
  if (Request.reservation() != 0) {
    SessionPointer Session = takeReserved(Rack, Request.reservation(), Need);
    if (!Session)
      Refusal = placeReply(peer::STATUS_NO_CAPACITY,
                           "the reservation has ended or is used up");
    return Session;
  }
  SessionPointer Session = bestFit(Rack, Need, !Request.non_repeatable());
  if (!Session)
    Refusal = placeReply(peer::STATUS_NO_CAPACITY,
                         "no worker of the rack has room for the task");
  return Session;
}

asio::awaitable<void>
RackManager::Implementation::awaitChange(TaskPointer Task,
                                         Clock::time_point Until) {
  auto Changed = std::make_shared<Notifier>(Context_->Executor);
  Task->Waiters.push_back(Changed);
  co_await waitUntil(*Changed, Context_->Timers, Until);
  std::erase(Task->Waiters, Changed);
}

asio::awaitable<void> RackManager::Implementation::awaitStart(
    SessionPointer Session, TaskPointer Task, Clock::time_point Deadline) {
  const auto QueuedUntil = std::min(
      Deadline, Context_->Timers.now() + Context_->Options.QueuedLimit);
  while (Task->State == Phase::Queued && !Session->closed()) {
    if (Context_->Timers.now() >= QueuedUntil) {
      Session->cancelQueued(Task);
      co_return;
    }
    co_await awaitChange(Task, QueuedUntil);
  }
  while (Task->State == Phase::Sent && !Session->closed() &&
         Context_->Timers.now() < Deadline)
    co_await awaitChange(Task, Deadline);
}

asio::awaitable<peer::PlaceReply>
RackManager::Implementation::place(peer::PlaceRequest Request) {
  const auto Self = shared_from_this();
  const auto Begun = Context_->Timers.now();
  const auto Deadline = Begun + Context_->Options.CallLimit;
  const TaskId Id{Request.key(), Request.task(), Request.attempt()};
  const Capacity Need = Capacity::from(Request.resources());
  constexpr int MaximumTries = 3;
  peer::PlaceReply Reply =
      placeReply(peer::STATUS_UNAVAILABLE, "no worker took the start");
  for (int Try = 0; Try < MaximumTries; ++Try) {
    // Checked again before each try, because time has passed.
    const Check Checked =
        checkWork(Request.rack(), Request.target_incarnation());
    if (Checked.Status != peer::STATUS_OK)
      co_return placeReply(Checked.Status, Checked.Detail);
    if (isFenced(Id))
      co_return placeReply(peer::STATUS_FENCED,
                           "the attempt was fenced and will not run here");
    Found Known = findIn(*Checked.Rack, Id);
    if (!Known.Task) {
      if (const Found Other = findOtherAttempt(Id); Other.Task)
        co_return placeReply(
            peer::STATUS_UNAVAILABLE,
            fmt::format("attempt {} of the task is still on worker {}",
                        Other.Task->Id.Attempt, Other.Session->worker().Name));
      peer::PlaceReply Refusal;
      Known.Session = chooseWorker(*Checked.Rack, Request, Need, Refusal);
      if (!Known.Session)
        co_return Try == 0 ? Refusal : Reply;
      WorkerTask Task;
      Task.Id = Id;
      Task.Size = Need;
      Task.Member = Request.member();
      Task.Team = Request.team();
      Task.NonRepeatable = Request.non_repeatable();
      if (!Request.service())
        Task.RunTime = milliseconds(Request.run_ms());
      Known.Task = Known.Session->start(std::move(Task));
    }
    const std::string Worker = Known.Session->worker().Name;
    co_await awaitStart(Known.Session, Known.Task, Deadline);
    switch (Known.Task->State) {
    case Phase::Running:
    case Phase::Ended:
      if (!Known.Task->Confirmed)
        co_return placeReply(peer::STATUS_UNKNOWN, Known.Task->End.detail(),
                             Worker);
      Context_->Counters.observe(
          "hickory_place_seconds",
          std::chrono::duration<double>(Context_->Timers.now() - Begun)
              .count());
      co_return placeReply(peer::STATUS_OK, {}, Worker);
    case Phase::Sent:
    case Phase::Queued:
      Known.Task->OutcomeOpen = true;
      co_return placeReply(peer::STATUS_UNKNOWN,
                           "the worker did not answer; the start may have "
                           "taken effect",
                           Worker);
    case Phase::NotStarted:
      Reply = placeReply(peer::STATUS_UNAVAILABLE, Known.Task->End.detail());
      break;
    }
    if (Context_->Timers.now() >= Deadline || Request.reservation() != 0)
      break;
  }
  co_return Reply;
}

asio::awaitable<peer::ReserveReply>
RackManager::Implementation::reserve(peer::ReserveRequest Request) {
  peer::ReserveReply Reply;
  const Check Checked = checkWork(Request.rack(), Request.target_incarnation());
  Reply.set_status(Checked.Status);
  if (Request.release() != 0) {
    // Possible also while the rack is being handed over.
    if (const auto It = Racks_.find(Request.rack()); It != Racks_.end())
      releaseReservation(*It->second, Request.release());
    Reply.set_status(peer::STATUS_OK);
    co_return Reply;
  }
  if (Checked.Status != peer::STATUS_OK)
    co_return Reply;
  const Capacity Need = Capacity::from(Request.per_task());
  Reservation Held;
  for (std::uint32_t I = 0; I < Request.tasks(); ++I) {
    const SessionPointer Session = bestFit(*Checked.Rack, Need, false);
    if (!Session)
      break;
    Session->addReserved(Need);
    Held.Pieces.push_back({Session, Need});
  }
  if (Held.Pieces.empty()) {
    Reply.set_status(peer::STATUS_NO_CAPACITY);
    co_return Reply;
  }
  const std::uint64_t Id = NextReservation_++;
  const auto Valid =
      std::clamp(milliseconds(Request.valid_ms()), milliseconds(1),
                 Context_->Options.MaximumReservation);
  Held.Expiry = Context_->Timers.after(
      Valid, [Rack = std::weak_ptr<HeldRack>(Checked.Rack), Id] {
        if (const RackPointer Alive = Rack.lock())
          releaseReservation(*Alive, Id);
      });
  Reply.set_reservation(Id);
  Reply.set_tasks(static_cast<std::uint32_t>(Held.Pieces.size()));
  Checked.Rack->Reservations.emplace(Id, std::move(Held));
  co_return Reply;
}

asio::awaitable<peer::TaskStatusReply>
RackManager::Implementation::taskStatus(peer::TaskStatusRequest Request) {
  peer::TaskStatusReply Reply;
  const Check Checked = checkRack(Request.rack());
  Reply.set_status(Checked.Status);
  if (Checked.Status != peer::STATUS_OK)
    co_return Reply;
  const TaskId Id{Request.key(), Request.task(), Request.attempt()};
  // A fence is set only with the answer that the attempt never started. Set
  // earlier, it would stop the task when its worker is read later.
  const auto SetFence = [&] {
    if (Request.fence())
      Fences_[Id] = Context_->Timers.now();
  };
  if (!Checked.Rack->Ready) {
    Reply.set_status(peer::STATUS_UNAVAILABLE);
    co_return Reply;
  }
  const Found Known = findIn(*Checked.Rack, Id);
  if (!Known.Task) {
    if (allTasksKnown(*Checked.Rack)) {
      SetFence();
      Reply.set_status(peer::STATUS_NOT_FOUND);
    } else {
      Reply.set_status(peer::STATUS_UNKNOWN);
    }
    co_return Reply;
  }
  Reply.set_worker(Known.Session->worker().Name);
  if (Request.fence())
    Known.Session->cancelQueued(Known.Task);
  switch (Known.Task->State) {
  case Phase::Queued:
  case Phase::Sent:
    Reply.set_status(peer::STATUS_UNKNOWN);
    break;
  case Phase::NotStarted:
    SetFence();
    Reply.set_status(peer::STATUS_NOT_FOUND);
    co_return Reply;
  case Phase::Running:
  case Phase::Ended:
    break;
  }
  Reply.set_state(stateName(*Known.Task));
  co_return Reply;
}

asio::awaitable<peer::StopTaskReply>
RackManager::Implementation::stopTask(peer::StopTaskRequest Request) {
  const auto Self = shared_from_this();
  peer::StopTaskReply Reply;
  const Check Checked = checkRack(Request.rack());
  Reply.set_status(Checked.Status);
  if (Checked.Status == peer::STATUS_OK && !Checked.Rack->Ready)
    Reply.set_status(peer::STATUS_UNAVAILABLE);
  if (Reply.status() != peer::STATUS_OK)
    co_return Reply;
  const TaskId Id{Request.key(), Request.task(), Request.attempt()};
  const Found Known = findIn(*Checked.Rack, Id);
  if (!Known.Task) {
    Reply.set_status(allTasksKnown(*Checked.Rack) ? peer::STATUS_NOT_FOUND
                                                  : peer::STATUS_UNKNOWN);
    co_return Reply;
  }
  Known.Session->cancelQueued(Known.Task);
  // Work that is preempted or moved goes on elsewhere from its checkpoint.
  const bool Checkpoint = Request.reason().starts_with("preempt") ||
                          Request.reason().starts_with("move");
  const auto Deadline = Context_->Timers.now() + Context_->Options.CallLimit;
  Known.Session->requestStop(Known.Task, Request.reason(), Checkpoint);
  while (Known.Task->isCommitted() && !Known.Session->closed() &&
         Context_->Timers.now() < Deadline)
    co_await awaitChange(Known.Task, Deadline);
  Reply.set_status(Known.Task->isCommitted() ? peer::STATUS_UNKNOWN
                   : Known.Task->State == Phase::NotStarted
                       ? peer::STATUS_NOT_FOUND
                       : peer::STATUS_OK);
  co_return Reply;
}

// ---- Requests

asio::awaitable<peer::ExecuteReply>
RackManager::Implementation::execute(peer::ExecuteRequest Request) {
  const auto Self = shared_from_this();
  if (!isUtf8(Request.payload()))
    co_return executeReply(peer::STATUS_INVALID,
                           "the payload must be UTF-8 text");
  const Check Checked =
      Request.resolve_only()
          ? checkRack(Request.rack())
          : checkWork(Request.rack(), Request.target_incarnation());
  if (Checked.Status != peer::STATUS_OK)
    co_return executeReply(Checked.Status, Checked.Detail);
  if (!Checked.Rack->Ready)
    co_return executeReply(peer::STATUS_UNAVAILABLE,
                           "the rack is being taken over");
  const std::string Rack = Request.rack();
  const std::uint64_t Incarnation = Request.target_incarnation();
  const auto Pool = Checked.Rack->Executors;
  const std::function<bool()> MaySend = [this, Rack, Incarnation] {
    return checkWork(Rack, Incarnation).Status == peer::STATUS_OK;
  };
  co_return co_await Pool->execute(std::move(Request), MaySend);
}

// ---- Views

std::vector<peer::RackLoad> RackManager::Implementation::rackLoads() const {
  std::vector<peer::RackLoad> Loads;
  for (const auto &[Name, Rack] : Racks_) {
    if (!Rack->Ready || Rack->Releasing)
      continue;
    Capacity Total;
    Capacity Free;
    Capacity Largest;
    bool AnyRead = false;
    for (const auto &[WorkerName, Session] : Rack->Workers) {
      AnyRead |= Session->stateRead();
      if (!Session->mayStart())
        continue;
      Total += Session->total();
      Capacity Left = Session->free();
      Left = {std::max<std::int64_t>(Left.CpusMilli, 0),
              std::max<std::int64_t>(Left.MemoryMb, 0),
              std::max<std::int64_t>(Left.Accelerators, 0)};
      Free += Left;
      if (std::tie(Left.Accelerators, Left.CpusMilli, Left.MemoryMb) >
          std::tie(Largest.Accelerators, Largest.CpusMilli, Largest.MemoryMb))
        Largest = Left;
    }
    if (!AnyRead && Rack->Executors->empty())
      continue;
    peer::RackLoad Load;
    Load.set_rack(Name);
    if (const auto Owner = Context_->Ownership.ownerOf(rackShard(Name)))
      Load.set_epoch(Owner->Epoch);
    Load.set_has_executors(!Rack->Executors->empty());
    *Load.mutable_free() = Free.toMessage();
    *Load.mutable_total() = Total.toMessage();
    *Load.mutable_largest_free() = Largest.toMessage();
    Load.set_free_slots(Rack->Executors->freeSlots());
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

std::vector<peer::MemberUse> RackManager::Implementation::memberUse() const {
  struct Use {
    Capacity Held;
    std::uint32_t Running = 0;
  };
  std::map<std::pair<std::string, std::string>, Use> Uses;
  Capacity Total;
  for (const auto &[Name, Rack] : Racks_)
    for (const auto &[WorkerName, Session] : Rack->Workers) {
      Total += Session->total();
      for (const auto &[Id, Task] : Session->tasks()) {
        if (!Task->isCommitted())
          continue;
        Use &Sum = Uses[{Task->Member, Task->Team}];
        Sum.Held += Task->Size;
        ++Sum.Running;
      }
    }
  std::vector<peer::MemberUse> Result;
  for (const auto &[Origin, Sum] : Uses) {
    peer::MemberUse Message;
    Message.set_member(Origin.first);
    Message.set_team(Origin.second);
    Message.set_dominant_share(dominantShare(Sum.Held, Total));
    Message.set_running(Sum.Running);
    *Message.mutable_held() = Sum.Held.toMessage();
    Result.push_back(std::move(Message));
  }
  return Result;
}

std::vector<RackManager::WorkerView>
RackManager::Implementation::workers() const {
  std::vector<WorkerView> Views;
  for (const auto &[Name, Rack] : Racks_)
    for (const auto &[WorkerName, Session] : Rack->Workers) {
      const auto Health = Session->health();
      WorkerView View;
      View.Name = WorkerName;
      View.Rack = Name;
      View.Address = Session->worker().Address;
      View.StateRead = Session->stateRead();
      View.Leaving = Session->worker().Leaving;
      View.SetAside = Health == HealthTracker::State::SetAside ||
                      Health == HealthTracker::State::Probing;
      View.Total = Session->total();
      View.Committed = Session->committed();
      View.Tasks = Session->tasks().size();
      Views.push_back(std::move(View));
    }
  return Views;
}

std::vector<RackManager::TaskSummary>
RackManager::Implementation::tasks() const {
  std::vector<TaskSummary> Summaries;
  for (const auto &[Name, Rack] : Racks_)
    for (const auto &[WorkerName, Session] : Rack->Workers)
      for (const auto &[Id, Task] : Session->tasks()) {
        TaskSummary Summary;
        Summary.Key = Id.Key;
        Summary.Task = Id.Task;
        Summary.Attempt = Id.Attempt;
        Summary.State = stateName(*Task);
        Summary.Worker = WorkerName;
        Summary.Rack = Name;
        Summary.Member = Task->Member;
        Summary.Size = Task->Size;
        Summary.UsedCpusMilli = Task->UsedCpusMilli;
        Summary.UsedMemoryMb = Task->UsedMemoryMb;
        Summaries.push_back(std::move(Summary));
      }
  return Summaries;
}

// ---- Public interface

RackManager::RackManager(RackManagerOptions Options,
                         asio::any_io_executor Executor, TimerService &Timers,
                         HttpClient &Client, OwnershipView &Ownership,
                         InstanceList &Upstreams, TaskEndSink &Ends,
                         Metrics &Counters, EventLog &Events) {
  const Random Source =
      Options.Seed == 0 ? Random::fromSystem() : Random(Options.Seed);
  const HealthTracker Health(Options.Health, Timers);
  auto Context = std::make_shared<RackContext>(RackContext{
      .Options = Options,
      .Executor = std::move(Executor),
      .Timers = Timers,
      .Client = Client,
      .Ownership = Ownership,
      .Upstreams = Upstreams,
      .Ends = Ends,
      .Counters = Counters,
      .Events = Events,
      .WorkerHealth = Health,
      .ExecutorHealth = Health,
      .Source = Source,
      .IsFenced = nullptr,
      .FindOrigin = nullptr,
      .Executions = {},
      .OnceSent = {},
  });
  Implementation_ = std::make_shared<Implementation>(std::move(Context));
}

RackManager::~RackManager() { Implementation_->stop(); }

asio::awaitable<Result<void>> RackManager::run() {
  return Implementation_->run();
}
asio::awaitable<void> RackManager::drain() { return Implementation_->drain(); }
void RackManager::stop() { Implementation_->stop(); }

asio::awaitable<peer::PlaceReply>
RackManager::place(peer::PlaceRequest Request) {
  return Implementation_->place(std::move(Request));
}
asio::awaitable<peer::ReserveReply>
RackManager::reserve(peer::ReserveRequest Request) {
  return Implementation_->reserve(std::move(Request));
}
asio::awaitable<peer::TaskStatusReply>
RackManager::taskStatus(peer::TaskStatusRequest Request) {
  return Implementation_->taskStatus(std::move(Request));
}
asio::awaitable<peer::StopTaskReply>
RackManager::stopTask(peer::StopTaskRequest Request) {
  return Implementation_->stopTask(std::move(Request));
}
asio::awaitable<peer::ExecuteReply>
RackManager::execute(peer::ExecuteRequest Request) {
  return Implementation_->execute(std::move(Request));
}
std::vector<peer::RackLoad> RackManager::rackLoads() const {
  return Implementation_->rackLoads();
}
std::vector<peer::MemberUse> RackManager::memberUse() const {
  return Implementation_->memberUse();
}
void RackManager::setOriginLookup(
    std::function<std::optional<TaskOrigin>(const std::string &Key)> Lookup) {
  Implementation_->context().FindOrigin = std::move(Lookup);
}
std::vector<RackManager::WorkerView> RackManager::workers() const {
  return Implementation_->workers();
}
std::vector<RackManager::TaskSummary> RackManager::tasks() const {
  return Implementation_->tasks();
}

} // namespace hickory
