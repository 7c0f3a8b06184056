#include "Emulator/EmulatedWorkerPool.h"

#include "StandIns/StandInSupport.h"

#include <fmt/format.h>

namespace hickory::emulator {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int MisdirectedRequest = 421;
constexpr milliseconds MaximumHoldWait{2000};
constexpr std::size_t MaximumFinishedPerReply = 500;
constexpr int RackCount = 4;

std::string runKey(const std::string &Task, int RunNumber) {
  return fmt::format("{}#{}", Task, RunNumber);
}

std::string gangName(const RunPlan &Plan, int RunNumber) {
  return fmt::format("{}#{}", Plan.Step, RunNumber);
}

} // namespace

EmulatedWorker::EmulatedWorker(EmulatedWorkerPool &Pool, std::string Id,
                               int Index)
    : Pool_(Pool), Id_(std::move(Id)), Index_(Index) {
  startProcess();
}

milliseconds EmulatedWorker::workerClock() const {
  return std::chrono::duration_cast<milliseconds>(Pool_.Timers_.now() -
                                                  ClockStart_);
}

CallReply EmulatedWorker::makeReply(int Status, const char *Reason) const {
  CallReply Reply{
      .Status = Status,
      .Body = {{"clock-ms", workerClock().count()}, {"born", BootTimeMs_}}};
  if (Reason != nullptr)
    Reply.Body["reason"] = Reason;
  return Reply;
}

void EmulatedWorker::recordEvent(json Event) const {
  Event["worker"] = Id_;
  Event["born"] = BootTimeMs_;
  Pool_.RecordEvent_(std::move(Event));
}

std::optional<CallReply>
EmulatedWorker::checkCall(const json &Body, const std::string &ExpectedWorker) {
  if (!Body.is_object())
    return makeReply(BadRequest, nullptr);
  if (!ExpectedWorker.empty() && ExpectedWorker != Id_)
    return makeReply(MisdirectedRequest, nullptr);
  const std::int64_t Token = Body.value("fencing-token", std::int64_t{0});
  if (Token < FencingToken_)
    return makeReply(Conflict, "fence");
  FencingToken_ = Token;
  return std::nullopt;
}

void EmulatedWorker::extendLease(milliseconds Until) {
  Until = std::min(Until, workerClock() + Pool_.Settings_.MaximumLease);
  if (Until <= workerClock() || (LeaseEnd_ && Until <= *LeaseEnd_))
    return;
  LeaseEnd_ = Until;
  LeaseTimer_ =
      Pool_.Timers_.after(Until - workerClock(), [this] { expireLease(); });
}

void EmulatedWorker::expireLease() {
  LeaseEnd_.reset();
  recordEvent({{"event", "lease_lapsed"}});
  std::vector<std::string> Keys;
  Keys.reserve(Runs_.size());
  for (const auto &[Key, Run] : Runs_)
    Keys.push_back(Key);
  for (const std::string &Key : Keys)
    finishRun(Key, "lapsed");
}

bool EmulatedWorker::hasCapacity(const RunPlan &Plan) const {
  std::int64_t CpusMilli = Plan.CpusMilli;
  std::int64_t MemoryMb = Plan.MemoryMb;
  std::int64_t Accelerators = Plan.Accelerators;
  for (const auto &[Key, Run] : Runs_) {
    CpusMilli += Run.Plan.CpusMilli;
    MemoryMb += Run.Plan.MemoryMb;
    Accelerators += Run.Plan.Accelerators;
  }
  const EmulatorSettings &Settings = Pool_.Settings_;
  return CpusMilli <= Settings.CpusMilli && MemoryMb <= Settings.MemoryMb &&
         Accelerators <= Settings.Accelerators;
}

CallReply EmulatedWorker::start(const json &Body,
                                const std::string &ExpectedWorker) {
  if (auto Refusal = checkCall(Body, ExpectedWorker))
    return *Refusal;
  const auto Task = Body.value("task", std::string());
  const int RunNumber = Body.value("run", 0);
  auto Plan = parseRunPlan(Task, Body.value("spec", std::string()));
  if (!Plan || RunNumber < 1)
    return makeReply(BadRequest, nullptr);
  const milliseconds Deadline(Body.value("deadline-ms", std::int64_t{0}));
  if (Deadline <= workerClock())
    return makeReply(Conflict, "late");
  extendLease(Deadline);
  const std::string Key = runKey(Task, RunNumber);
  if (Runs_.contains(Key))
    return makeReply(Ok, nullptr);
  const auto Ended = HighestEndedRun_.find(Task);
  if (Ended != HighestEndedRun_.end() && RunNumber <= Ended->second)
    return makeReply(Conflict, "old");
  if (!Pool_.hasValidTicket(*Plan, *this, Body.value("ticket", std::string())))
    return makeReply(Conflict, "ticket");
  if (Pool_.Settings_.AdmissionCheck && !hasCapacity(*Plan))
    return makeReply(Conflict, "room");
  startRun(Key, Body, std::move(*Plan));
  return makeReply(Ok, nullptr);
}

void EmulatedWorker::startRun(const std::string &Key, const json &Body,
                              RunPlan Plan) {
  ActiveRun &Run = Runs_[Key];
  Run.Task = Body.at("task").get<std::string>();
  Run.RunNumber = Body.at("run").get<int>();
  Run.Plan = std::move(Plan);
  recordEvent({{"event", "started"},
               {"task", Run.Task},
               {"run", Run.RunNumber},
               {"cpus_milli", Run.Plan.CpusMilli},
               {"memory_mb", Run.Plan.MemoryMb},
               {"accelerators", Run.Plan.Accelerators}});
  if (Run.Plan.CrashDelay)
    Run.CrashTimer =
        Pool_.Timers_.after(*Run.Plan.CrashDelay, [this, Key] { crash(Key); });
  if (Run.Plan.Gang)
    Pool_.joinGang(*this, Key);
  else
    startWork(Key);
}

void EmulatedWorker::startWork(const std::string &Key) {
  ActiveRun &Run = Runs_.at(Key);
  Run.IsWorking = true;
  Run.WorkStart = Pool_.Timers_.now();
  const bool Fails =
      uniformFromHash(Pool_.Seed_, Key) < Pool_.Settings_.FailedRunShare;
  Run.Timer = Pool_.Timers_.after(
      Fails ? Run.Plan.WorkTime / 2 : Run.Plan.WorkTime,
      [this, Key, Fails] { finishRun(Key, Fails ? "failed" : "done"); });
}

CallReply EmulatedWorker::stop(const json &Body,
                               const std::string &ExpectedWorker) {
  if (auto Refusal = checkCall(Body, ExpectedWorker))
    return *Refusal;
  const auto Task = Body.value("task", std::string());
  const int RunNumber = Body.value("run", 0);
  int &Highest = HighestEndedRun_[Task];
  Highest = std::max(Highest, RunNumber);
  const std::string Key = runKey(Task, RunNumber);
  const auto It = Runs_.find(Key);
  if (It != Runs_.end() && !It->second.IsStopping) {
    It->second.IsStopping = true;
    It->second.Timer =
        Pool_.Timers_.after(Pool_.Settings_.StopDuration,
                            [this, Key] { finishRun(Key, "stopped"); });
  }
  return makeReply(Ok, nullptr);
}

void EmulatedWorker::finishRun(const std::string &Key,
                               const std::string &Outcome) {
  const auto It = Runs_.find(Key);
  if (It == Runs_.end())
    return;
  // Keeps the timer alive until the end of this call, because this call may be
  // made from the timer's callback.
  const ActiveRun Ended = std::move(It->second);
  Runs_.erase(It);
  int &Highest = HighestEndedRun_[Ended.Task];
  Highest = std::max(Highest, Ended.RunNumber);
  FinishedRuns_.push_back({.Sequence = ++LastFinishedSequence_,
                           .Task = Ended.Task,
                           .RunNumber = Ended.RunNumber,
                           .Outcome = Outcome});
  recordEvent({{"event", "ended"},
               {"task", Ended.Task},
               {"run", Ended.RunNumber},
               {"how", Outcome},
               {"number", LastFinishedSequence_},
               {"gang", Ended.Plan.Gang},
               {"cpus_milli", Ended.Plan.CpusMilli},
               {"memory_mb", Ended.Plan.MemoryMb},
               {"accelerators", Ended.Plan.Accelerators}});
  HoldWaiters_.wakeAll();
  if (Ended.Plan.Gang)
    Pool_.leaveGang(*this, Key, Ended.Plan, Ended.RunNumber);
}

asio::awaitable<CallReply> EmulatedWorker::hold(json Body,
                                                std::string ExpectedWorker) {
  if (auto Refusal = checkCall(Body, ExpectedWorker))
    co_return *Refusal;
  const std::int64_t Acknowledged = Body.value("acknowledged", std::int64_t{0});
  if (!FinishedRuns_.empty() && FinishedRuns_.front().Sequence <= Acknowledged)
    recordEvent({{"event", "acknowledged"}, {"number", Acknowledged}});
  while (!FinishedRuns_.empty() &&
         FinishedRuns_.front().Sequence <= Acknowledged)
    FinishedRuns_.pop_front();
  if (Body.contains("deadline-ms"))
    extendLease(milliseconds(Body.value("deadline-ms", std::int64_t{0})));
  const auto Wait = std::min(
      MaximumHoldWait, milliseconds(Body.value("wait-ms", std::int64_t{0})));
  if (FinishedRuns_.empty() && Wait.count() > 0)
    co_await HoldWaiters_.wait(Pool_.Timers_, Wait);
  CallReply Reply = makeReply(Ok, nullptr);
  Reply.Body["running"] = json::array();
  Reply.Body["finished"] = json::array();
  for (const auto &[Key, Run] : Runs_) {
    const auto TimeWorked = Pool_.Timers_.now() - Run.WorkStart;
    const auto Percent =
        Run.IsWorking && Run.Plan.WorkTime.count() > 0
            ? std::min<std::int64_t>(100, 100 * TimeWorked / Run.Plan.WorkTime)
            : 0;
    Reply.Body["running"].push_back({Run.Task, Run.RunNumber, "", Percent, 0});
  }
  for (const FinishedRun &Run : FinishedRuns_) {
    if (Reply.Body["finished"].size() == MaximumFinishedPerReply)
      break;
    Reply.Body["finished"].push_back(
        {Run.Sequence, Run.Task, Run.RunNumber, Run.Outcome, ""});
  }
  co_return Reply;
}

std::map<std::string, EmulatedWorker::ActiveRun> EmulatedWorker::endProcess() {
  auto DroppedRuns = std::exchange(Runs_, {});
  for (const auto &[Key, Run] : DroppedRuns)
    recordEvent({{"event", "dropped"},
                 {"task", Run.Task},
                 {"run", Run.RunNumber},
                 {"how", "dropped"},
                 {"cpus_milli", Run.Plan.CpusMilli},
                 {"memory_mb", Run.Plan.MemoryMb},
                 {"accelerators", Run.Plan.Accelerators}});
  LeaseTimer_ = {};
  LeaseEnd_.reset();
  FencingToken_ = 0;
  HighestEndedRun_.clear();
  FinishedRuns_.clear();
  LastFinishedSequence_ = 0;
  for (const auto &[Key, Run] : DroppedRuns)
    if (Run.Plan.Gang)
      Pool_.leaveGang(*this, Key, Run.Plan, Run.RunNumber);
  HoldWaiters_.wakeAll();
  return DroppedRuns;
}

void EmulatedWorker::startProcess() {
  ClockStart_ = Pool_.Timers_.now();
  // The boot time identifies the worker's process, so that it must differ from
  // the previous one.
  BootTimeMs_ = std::max(BootTimeMs_ + 1, wallMicroseconds() / 1000);
  recordEvent({{"event", "born"}});
  if (!Address.empty())
    Pool_.Register_(Id_, registryEntry());
}

void EmulatedWorker::restart() {
  if (IsDown_)
    return;
  const auto DroppedRuns = endProcess();
  startProcess();
}

void EmulatedWorker::crash(const std::string &Key) {
  const ActiveRun &Run = Runs_.at(Key);
  recordEvent(
      {{"event", "crashed"}, {"task", Run.Task}, {"run", Run.RunNumber}});
  const auto DroppedRuns = endProcess();
  IsDown_ = true;
  ++CrashCount_;
  const bool HasNewId = ++Pool_.CrashCount_ % 2 == 0;
  if (SetListening)
    SetListening(false);
  ReturnTimer_ = Pool_.Timers_.after(Pool_.Settings_.CrashDowntime,
                                     [this, HasNewId] { comeBack(HasNewId); });
}

void EmulatedWorker::comeBack(bool HasNewId) {
  if (HasNewId) {
    Pool_.Register_(Id_, nullptr);
    Id_ = fmt::format("w{:03}-{}", Index_, ++IdCount_);
  }
  IsDown_ = false;
  startProcess();
  if (SetListening)
    SetListening(true);
}

json EmulatedWorker::registryEntry() const {
  const EmulatorSettings &Settings = Pool_.Settings_;
  return {{"service", "workers"},
          {"address", Address},
          {"zone", "zone-a"},
          {"version", "1"},
          {"slots", 64},
          {"state", "ready"},
          {"cold-remaining-ms", 0},
          {"sequence", 1},
          {"born", BootTimeMs_},
          {"labels", {"plain", fmt::format("rack-{}", Index_ % RackCount)}},
          {"capacity",
           {{"cpu", Settings.CpusMilli},
            {"mem-mb", Settings.MemoryMb},
            {"gpu", Settings.Accelerators}}}};
}

EmulatedWorkerPool::EmulatedWorkerPool(TimerService &Timers,
                                       const EmulatorSettings &Settings,
                                       std::uint64_t Seed,
                                       EventRecorder RecordEvent,
                                       Registrar Register)
    : Timers_(Timers), Settings_(Settings), Seed_(Seed),
      RecordEvent_(std::move(RecordEvent)), Register_(std::move(Register)) {
  for (int Index = 0; Index < Settings.Workers; ++Index)
    Workers_.push_back(std::make_unique<EmulatedWorker>(
        *this, fmt::format("w{:03}", Index), Index));
}

EmulatedWorker *EmulatedWorkerPool::find(const std::string &Id) {
  for (const auto &Worker : Workers_)
    if (Worker->id() == Id)
      return Worker.get();
  return nullptr;
}

const RouteSettings *EmulatedWorkerPool::route(const std::string &Queue) const {
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Name == Queue)
      return &Route;
  return nullptr;
}

bool EmulatedWorkerPool::isApproved(const std::string &Step,
                                    const std::string &Worker) const {
  // The adviser is asked about steps and does not know their queues, so the
  // lowest share of all routes applies.
  double Share = 1;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      Share = std::min(Share, Route.ApprovedWorkerShare);
  // Each step has at least one worker that may run it; otherwise its job could
  // never end.
  const auto AlwaysApproved = static_cast<std::size_t>(
      uniformFromHash(Seed_, Step) * static_cast<double>(Workers_.size()));
  if (AlwaysApproved < Workers_.size() &&
      Workers_[AlwaysApproved]->id() == Worker)
    return true;
  return uniformFromHash(Seed_, Step + "@" + Worker) < Share;
}

std::string EmulatedWorkerPool::issueTicket(const std::string &Step,
                                            const EmulatedWorker &Worker) {
  std::string Ticket =
      fmt::format("{}@{}@{}", Step, Worker.id(), Worker.bootTimeMs());
  int TicketValidMs = 0;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      TicketValidMs = std::max(TicketValidMs, Route.TicketValidMs);
  Tickets_[Ticket] = Timers_.now() + milliseconds(TicketValidMs);
  return Ticket;
}

bool EmulatedWorkerPool::hasValidTicket(const RunPlan &Plan,
                                        const EmulatedWorker &Worker,
                                        const std::string &Ticket) const {
  const RouteSettings *Route = route(Plan.Queue);
  if (Route == nullptr || !Route->Advice)
    return true;
  const std::string Expected =
      fmt::format("{}@{}@{}", Plan.Step, Worker.id(), Worker.bootTimeMs());
  const auto It = Tickets_.find(Ticket);
  return Ticket == Expected && It != Tickets_.end() &&
         Timers_.now() <= It->second;
}

void EmulatedWorkerPool::joinGang(EmulatedWorker &Worker,
                                  const std::string &Key) {
  const EmulatedWorker::ActiveRun &Run = Worker.Runs_.at(Key);
  const std::string Name = gangName(Run.Plan, Run.RunNumber);
  Gang &JoinedGang = Gangs_[Name];
  JoinedGang.Members.push_back({.Worker = &Worker, .Key = Key});
  if (JoinedGang.Members.size() == 1)
    JoinedGang.Timer = Timers_.after(Settings_.GangTimeout,
                                     [this, Name] { endGang(Name, "alone"); });
  if (JoinedGang.Members.size() < static_cast<std::size_t>(Run.Plan.TaskCount))
    return;
  JoinedGang.IsComplete = true;
  const bool Fails = uniformFromHash(Seed_, Name) < Settings_.FailedRunShare;
  for (const GangMember &Member : JoinedGang.Members) {
    EmulatedWorker::ActiveRun &MemberRun = Member.Worker->Runs_.at(Member.Key);
    MemberRun.IsWorking = true;
    MemberRun.WorkStart = Timers_.now();
  }
  JoinedGang.Timer = Timers_.after(Run.Plan.WorkTime, [this, Name, Fails] {
    endGang(Name, Fails ? "failed" : "done");
  });
}

void EmulatedWorkerPool::endGang(const std::string &Name,
                                 const std::string &Outcome) {
  const auto It = Gangs_.find(Name);
  if (It == Gangs_.end())
    return;
  // Removes the gang first, so that the ends of its members do not call
  // endGang() again.
  const Gang Ended = std::move(It->second);
  Gangs_.erase(It);
  for (const GangMember &Member : Ended.Members) {
    const auto RunIt = Member.Worker->Runs_.find(Member.Key);
    // The run of a member that is being stopped will end as stopped.
    if (RunIt == Member.Worker->Runs_.end() || RunIt->second.IsStopping)
      continue;
    // One member has failed; the runs of all others end as broken.
    const bool IsBroken =
        Outcome == "failed" && &Member != &Ended.Members.front();
    Member.Worker->finishRun(Member.Key, IsBroken ? "broken" : Outcome);
  }
}

void EmulatedWorkerPool::leaveGang(const EmulatedWorker &Worker,
                                   const std::string &Key, const RunPlan &Plan,
                                   int RunNumber) {
  const auto It = Gangs_.find(gangName(Plan, RunNumber));
  if (It == Gangs_.end())
    return;
  std::erase_if(It->second.Members, [&](const GangMember &Member) {
    return Member.Worker == &Worker && Member.Key == Key;
  });
  if (It->second.IsComplete)
    endGang(It->first, "broken");
  else if (It->second.Members.empty())
    Gangs_.erase(It);
}

} // namespace hickory::emulator
