#include "Emulator/WorkerFarm.h"

#include "StandIns/StandInSupport.h"

#include <fmt/format.h>

namespace hickory::emulator {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int WrongInstance = 421;
constexpr milliseconds LongestWait{2000};
constexpr std::size_t EndsPerAnswer = 500;
constexpr int Racks = 4;

std::string keyOf(const std::string &Task, int Run) {
  return fmt::format("{}#{}", Task, Run);
}

std::string gangOf(const RunPlan &Plan, int Run) {
  return fmt::format("{}#{}", Plan.Step, Run);
}

} // namespace

EmulatedWorker::EmulatedWorker(WorkerFarm &Farm, std::string Id, int Number)
    : Farm_(Farm), Id_(std::move(Id)), Number_(Number) {
  restart();
}

milliseconds EmulatedWorker::clockNow() const {
  return std::chrono::duration_cast<milliseconds>(Farm_.Timers_.now() - Start_);
}

CallReply EmulatedWorker::answer(int Status, const char *Reason) const {
  CallReply Reply{.Status = Status,
                  .Body = {{"clock-ms", clockNow().count()}, {"born", Born_}}};
  if (Reason != nullptr)
    Reply.Body["reason"] = Reason;
  return Reply;
}

void EmulatedWorker::note(json Event) const {
  Event["worker"] = Id_;
  Event["born"] = Born_;
  Farm_.Note_(std::move(Event));
}

std::optional<CallReply> EmulatedWorker::refuse(const json &Body,
                                                const std::string &Instance) {
  if (!Body.is_object())
    return answer(BadRequest, nullptr);
  if (!Instance.empty() && Instance != Id_)
    return answer(WrongInstance, nullptr);
  const std::int64_t Token = Body.value("fencing-token", std::int64_t{0});
  if (Token < Fence_)
    return answer(Conflict, "fence");
  Fence_ = Token;
  return std::nullopt;
}

void EmulatedWorker::extendLease(milliseconds Until) {
  Until = std::min(Until, clockNow() + Farm_.Settings_.LongestLease);
  if (Until <= clockNow() || (LeaseEnd_ && Until <= *LeaseEnd_))
    return;
  LeaseEnd_ = Until;
  LeaseTimer_ =
      Farm_.Timers_.after(Until - clockNow(), [this] { leaseEnded(); });
}

void EmulatedWorker::leaseEnded() {
  LeaseEnd_.reset();
  note({{"event", "lease_lapsed"}});
  std::vector<std::string> Keys;
  Keys.reserve(Runs_.size());
  for (const auto &[Key, Item] : Runs_)
    Keys.push_back(Key);
  for (const std::string &Key : Keys)
    finish(Key, "lapsed");
}

bool EmulatedWorker::hasRoom(const RunPlan &Plan) const {
  std::int64_t Cpu = Plan.Cpu;
  std::int64_t MemoryMb = Plan.MemoryMb;
  std::int64_t Gpu = Plan.Gpu;
  for (const auto &[Key, Item] : Runs_) {
    Cpu += Item.Plan.Cpu;
    MemoryMb += Item.Plan.MemoryMb;
    Gpu += Item.Plan.Gpu;
  }
  const EmulatorSettings &Settings = Farm_.Settings_;
  return Cpu <= Settings.Cpu && MemoryMb <= Settings.MemoryMb &&
         Gpu <= Settings.Gpu;
}

CallReply EmulatedWorker::start(const json &Body, const std::string &Instance) {
  if (auto Refusal = refuse(Body, Instance))
    return *Refusal;
  const auto Task = Body.value("task", std::string());
  const int Number = Body.value("run", 0);
  auto Plan = planFrom(Task, Body.value("spec", std::string()));
  if (!Plan || Number < 1)
    return answer(BadRequest, nullptr);
  const milliseconds Deadline(Body.value("deadline-ms", std::int64_t{0}));
  if (Deadline <= clockNow())
    return answer(Conflict, "late");
  extendLease(Deadline);
  const std::string Key = keyOf(Task, Number);
  if (Runs_.contains(Key))
    return answer(Ok, nullptr);
  const auto Ended = HighestEnded_.find(Task);
  if (Ended != HighestEnded_.end() && Number <= Ended->second)
    return answer(Conflict, "old");
  if (!Farm_.holdsTicket(*Plan, *this, Body.value("ticket", std::string())))
    return answer(Conflict, "ticket");
  if (Farm_.Settings_.AdmissionCheck && !hasRoom(*Plan))
    return answer(Conflict, "room");
  begin(Key, Body, std::move(*Plan));
  return answer(Ok, nullptr);
}

void EmulatedWorker::begin(const std::string &Key, const json &Body,
                           RunPlan Plan) {
  Run &Item = Runs_[Key];
  Item.Task = Body.at("task").get<std::string>();
  Item.Number = Body.at("run").get<int>();
  Item.Plan = std::move(Plan);
  note({{"event", "started"},
        {"task", Item.Task},
        {"run", Item.Number},
        {"cpus_milli", Item.Plan.Cpu},
        {"memory_mb", Item.Plan.MemoryMb},
        {"accelerators", Item.Plan.Gpu}});
  if (Item.Plan.Gang)
    Farm_.joinGang(*this, Key);
  else
    work(Key);
}

void EmulatedWorker::work(const std::string &Key) {
  Run &Item = Runs_.at(Key);
  Item.Working = true;
  Item.WorksSince = Farm_.Timers_.now();
  const bool Fails = drawFrom(Farm_.Seed_, Key) < Farm_.Settings_.FailShare;
  Item.Timer = Farm_.Timers_.after(
      Fails ? Item.Plan.Work / 2 : Item.Plan.Work,
      [this, Key, Fails] { finish(Key, Fails ? "failed" : "done"); });
}

CallReply EmulatedWorker::stop(const json &Body, const std::string &Instance) {
  if (auto Refusal = refuse(Body, Instance))
    return *Refusal;
  const auto Task = Body.value("task", std::string());
  const int Number = Body.value("run", 0);
  int &Highest = HighestEnded_[Task];
  Highest = std::max(Highest, Number);
  const std::string Key = keyOf(Task, Number);
  const auto It = Runs_.find(Key);
  if (It != Runs_.end() && !It->second.Stopping) {
    It->second.Stopping = true;
    It->second.Timer = Farm_.Timers_.after(
        Farm_.Settings_.StopTime, [this, Key] { finish(Key, "stopped"); });
  }
  return answer(Ok, nullptr);
}

void EmulatedWorker::finish(const std::string &Key, const std::string &How) {
  const auto It = Runs_.find(Key);
  if (It == Runs_.end())
    return;
  // Keeps the timer, whose callback may be running, until the end of this call.
  const Run Ended = std::move(It->second);
  Runs_.erase(It);
  int &Highest = HighestEnded_[Ended.Task];
  Highest = std::max(Highest, Ended.Number);
  Ends_.push_back({.Number = ++LastEnd_,
                   .Task = Ended.Task,
                   .Run = Ended.Number,
                   .How = How});
  note({{"event", "ended"},
        {"task", Ended.Task},
        {"run", Ended.Number},
        {"how", How},
        {"number", LastEnd_},
        {"gang", Ended.Plan.Gang},
        {"cpus_milli", Ended.Plan.Cpu},
        {"memory_mb", Ended.Plan.MemoryMb},
        {"accelerators", Ended.Plan.Gpu}});
  Waiting_.wakeAll();
  if (Ended.Plan.Gang)
    Farm_.leaveGang(*this, Key, Ended.Plan, Ended.Number);
}

asio::awaitable<CallReply> EmulatedWorker::hold(json Body,
                                                std::string Instance) {
  if (auto Refusal = refuse(Body, Instance))
    co_return *Refusal;
  const std::int64_t Acknowledged = Body.value("acknowledged", std::int64_t{0});
  if (!Ends_.empty() && Ends_.front().Number <= Acknowledged)
    note({{"event", "acknowledged"}, {"number", Acknowledged}});
  while (!Ends_.empty() && Ends_.front().Number <= Acknowledged)
    Ends_.pop_front();
  if (Body.contains("deadline-ms"))
    extendLease(milliseconds(Body.value("deadline-ms", std::int64_t{0})));
  const auto Wait = std::min(
      LongestWait, milliseconds(Body.value("wait-ms", std::int64_t{0})));
  if (Ends_.empty() && Wait.count() > 0)
    co_await Waiting_.wait(Farm_.Timers_, Wait);
  CallReply Reply = answer(Ok, nullptr);
  Reply.Body["running"] = json::array();
  Reply.Body["finished"] = json::array();
  for (const auto &[Key, Item] : Runs_) {
    const auto Worked = Farm_.Timers_.now() - Item.WorksSince;
    const auto Percent =
        Item.Working && Item.Plan.Work.count() > 0
            ? std::min<std::int64_t>(100, 100 * Worked / Item.Plan.Work)
            : 0;
    Reply.Body["running"].push_back({Item.Task, Item.Number, "", Percent, 0});
  }
  for (const End &Item : Ends_) {
    if (Reply.Body["finished"].size() == EndsPerAnswer)
      break;
    Reply.Body["finished"].push_back(
        {Item.Number, Item.Task, Item.Run, Item.How, ""});
  }
  co_return Reply;
}

void EmulatedWorker::restart() {
  const auto Lost = std::exchange(Runs_, {});
  for (const auto &[Key, Item] : Lost)
    note({{"event", "dropped"},
          {"task", Item.Task},
          {"run", Item.Number},
          {"how", "dropped"},
          {"cpus_milli", Item.Plan.Cpu},
          {"memory_mb", Item.Plan.MemoryMb},
          {"accelerators", Item.Plan.Gpu}});
  LeaseTimer_ = {};
  LeaseEnd_.reset();
  Fence_ = 0;
  HighestEnded_.clear();
  Ends_.clear();
  LastEnd_ = 0;
  Start_ = Farm_.Timers_.now();
  // Two lives of a worker must differ in their birth.
  Born_ = std::max(Born_ + 1, wallMicroseconds() / 1000);
  note({{"event", "born"}});
  for (const auto &[Key, Item] : Lost)
    if (Item.Plan.Gang)
      Farm_.leaveGang(*this, Key, Item.Plan, Item.Number);
  if (!Address.empty())
    Farm_.Register_(Id_, entry());
  Waiting_.wakeAll();
}

json EmulatedWorker::entry() const {
  const EmulatorSettings &Settings = Farm_.Settings_;
  return {{"service", "workers"},
          {"address", Address},
          {"zone", "zone-a"},
          {"version", "1"},
          {"slots", 64},
          {"state", "ready"},
          {"cold-remaining-ms", 0},
          {"sequence", 1},
          {"born", Born_},
          {"labels", {"plain", fmt::format("rack-{}", Number_ % Racks)}},
          {"capacity",
           {{"cpu", Settings.Cpu},
            {"mem-mb", Settings.MemoryMb},
            {"gpu", Settings.Gpu}}}};
}

WorkerFarm::WorkerFarm(TimerService &Timers, const EmulatorSettings &Settings,
                       std::uint64_t Seed, History Note, Registry Register)
    : Timers_(Timers), Settings_(Settings), Seed_(Seed), Note_(std::move(Note)),
      Register_(std::move(Register)) {
  for (int Number = 0; Number < Settings.Workers; ++Number)
    Workers_.push_back(std::make_unique<EmulatedWorker>(
        *this, fmt::format("w{:03}", Number), Number));
}

EmulatedWorker *WorkerFarm::find(const std::string &Id) {
  for (const auto &Worker : Workers_)
    if (Worker->id() == Id)
      return Worker.get();
  return nullptr;
}

const RouteSettings *WorkerFarm::route(const std::string &Queue) const {
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Name == Queue)
      return &Route;
  return nullptr;
}

bool WorkerFarm::isGood(const std::string &Step,
                        const std::string &Worker) const {
  // The adviser is asked about steps, not queues; the routes share their rule.
  double Share = 1;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      Share = std::min(Share, Route.GoodShare);
  // Each step has a worker that may run it, else its job could never end.
  const auto Always = static_cast<std::size_t>(
      drawFrom(Seed_, Step) * static_cast<double>(Workers_.size()));
  if (Always < Workers_.size() && Workers_[Always]->id() == Worker)
    return true;
  return drawFrom(Seed_, Step + "@" + Worker) < Share;
}

std::string WorkerFarm::ticket(const std::string &Step,
                               const EmulatedWorker &Worker) {
  std::string Text = fmt::format("{}@{}@{}", Step, Worker.id(), Worker.born());
  int ValidMs = 0;
  for (const RouteSettings &Route : Settings_.Routes)
    if (Route.Advice)
      ValidMs = std::max(ValidMs, Route.ValidMs);
  Tickets_[Text] = Timers_.now() + milliseconds(ValidMs);
  return Text;
}

bool WorkerFarm::holdsTicket(const RunPlan &Plan, const EmulatedWorker &Worker,
                             const std::string &Ticket) const {
  const RouteSettings *Route = route(Plan.Queue);
  if (Route == nullptr || !Route->Advice)
    return true;
  const std::string Prefix =
      fmt::format("{}@{}@{}", Plan.Step, Worker.id(), Worker.born());
  const auto It = Tickets_.find(Ticket);
  return Ticket == Prefix && It != Tickets_.end() &&
         Timers_.now() <= It->second;
}

void WorkerFarm::joinGang(EmulatedWorker &Worker, const std::string &Key) {
  const EmulatedWorker::Run &Item = Worker.Runs_.at(Key);
  const std::string Name = gangOf(Item.Plan, Item.Number);
  Gang &Joined = Gangs_[Name];
  Joined.Members.push_back({.Worker = &Worker, .Key = Key});
  if (Joined.Members.size() == 1)
    Joined.Timer = Timers_.after(Settings_.GangTimeout,
                                 [this, Name] { endGang(Name, "alone"); });
  if (Joined.Members.size() < static_cast<std::size_t>(Item.Plan.Count))
    return;
  Joined.Complete = true;
  const bool Fails = drawFrom(Seed_, Name) < Settings_.FailShare;
  for (const Member &Each : Joined.Members) {
    EmulatedWorker::Run &Run = Each.Worker->Runs_.at(Each.Key);
    Run.Working = true;
    Run.WorksSince = Timers_.now();
  }
  Joined.Timer = Timers_.after(Item.Plan.Work, [this, Name, Fails] {
    endGang(Name, Fails ? "failed" : "done");
  });
}

void WorkerFarm::endGang(const std::string &Name, const std::string &How) {
  const auto It = Gangs_.find(Name);
  if (It == Gangs_.end())
    return;
  // Off the list first, so that its members' ends do not break it again.
  const Gang Ended = std::move(It->second);
  Gangs_.erase(It);
  for (const Member &Each : Ended.Members) {
    const auto Run = Each.Worker->Runs_.find(Each.Key);
    // A member that is being stopped lists that end.
    if (Run == Each.Worker->Runs_.end() || Run->second.Stopping)
      continue;
    // One member fails, and that breaks the others.
    const bool Broken = How == "failed" && &Each != &Ended.Members.front();
    Each.Worker->finish(Each.Key, Broken ? "broken" : How);
  }
}

void WorkerFarm::leaveGang(const EmulatedWorker &Worker, const std::string &Key,
                           const RunPlan &Plan, int Run) {
  const auto It = Gangs_.find(gangOf(Plan, Run));
  if (It == Gangs_.end())
    return;
  std::erase_if(It->second.Members, [&](const Member &Each) {
    return Each.Worker == &Worker && Each.Key == Key;
  });
  if (It->second.Complete)
    endGang(It->first, "broken");
  else if (It->second.Members.empty())
    Gangs_.erase(It);
}

} // namespace hickory::emulator
