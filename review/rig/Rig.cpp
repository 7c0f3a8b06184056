#include "Rig.h"

#include "Emulator/CellInstance.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace review {

namespace {

// The bounds of kernvaal-mill.
constexpr std::int64_t HoldMaximumMs = 10000;
constexpr milliseconds StopTime{100}; // stop-ms is 400 at most.
constexpr milliseconds Heartbeat{1500};
constexpr int CpuMilli = 32000;
constexpr int MemoryMb = 131072;

std::string keyOf(const std::string &Task, int Number) {
  return fmt::format("{}#{}", Task, Number);
}

} // namespace

// --- Executor ---------------------------------------------------------------

Executor::Executor(Rig &Owner, std::string Id, int Index, std::string Kind)
    : Rig_(Owner), Id_(std::move(Id)), Index_(Index), Kind_(std::move(Kind)),
      Born_(wallMicroseconds() / 1000), ClockStart_(Owner.Timers.now()) {
  Server_ = std::make_unique<StandInServer>(
      Owner.Context, 0, [this](StandInServer::Request Incoming) {
        return handle(std::move(Incoming));
      });
  beat();
  Server_->open();
  asio::co_spawn(Owner.Context, beatLoop(), asio::detached);
}

std::int64_t Executor::clockMs() const {
  return std::chrono::duration_cast<milliseconds>(Rig_.Timers.now() -
                                                  ClockStart_)
      .count();
}

void Executor::record(json Event) const {
  Event["executor"] = Id_;
  Event["kind"] = Kind_;
  Rig_.record(std::move(Event));
}

std::vector<std::string> Executor::runningTasks() const {
  std::vector<std::string> Names;
  for (const auto &[Key, Each] : Runs_)
    Names.push_back(Each.Task);
  return Names;
}

bool Executor::runs(const std::string &Task) const {
  for (const auto &[Key, Each] : Runs_)
    if (Each.Task == Task)
      return true;
  return false;
}

void Executor::beat() {
  if (!Up_ || Cut_)
    return;
  LastBeat_ = Rig_.Timers.now();
  const json Entry = {
      {"service", "crackline-ops"},
      {"address", Server_->address()},
      {"zone", "paarl-a"},
      {"version", "1"},
      {"slots", 8},
      {"state", Draining_ ? "draining" : "ready"},
      {"cold-remaining-ms", 0},
      {"sequence", ++Beats_},
      {"born", Born_},
      {"labels", {Kind_, fmt::format("r1-{}", Index_ / 8)}},
      {"capacity", {{"cpu", CpuMilli}, {"mem-mb", MemoryMb}, {"gpu", 0}}}};
  Listed_ = true;
  Rig_.Store->putRecord("keyed.servers", Id_, Entry.dump());
}

asio::awaitable<void> Executor::beatLoop() {
  // The store removes an entry after three heartbeat intervals of silence.
  // The executors don't report all at the same time.
  auto Next = Rig_.Timers.now() + milliseconds(Index_ * 125) % Heartbeat;
  while (true) {
    co_await Rig_.Timers.sleepFor(50ms);
    const auto Now = Rig_.Timers.now();
    if (Now >= Next) {
      Next = Now + Heartbeat;
      beat();
    }
    if (Listed_ && Now - LastBeat_ > 3 * Heartbeat) {
      Listed_ = false;
      record({{"event", "entry_removed"}});
      Rig_.Store->putRecord("keyed.servers", Id_, "");
    }
  }
}

void Executor::crash() {
  record({{"event", "crash"}, {"runs", runningTasks()}});
  Up_ = false;
  ++Life_;
  auto Dropped = std::exchange(Runs_, {});
  LeaseTimer_ = {};
  LeaseEnd_ = 0;
  Token_ = 0;
  Highest_.clear();
  Ends_.clear();
  LastNumber_ = 0;
  Server_->close();
  for (const auto &[Key, Each] : Dropped)
    if (Rig_.OnEnded)
      Rig_.OnEnded(*this, Each.Task, Each.Number, "crash");
  Waiters_.wakeAll();
}

void Executor::startAgain(std::string Kind) {
  Kind_ = std::move(Kind);
  Up_ = true;
  Draining_ = false;
  Born_ = std::max(Born_ + 1, wallMicroseconds() / 1000);
  ClockStart_ = Rig_.Timers.now();
  Beats_ = 0;
  record({{"event", "up_again"}, {"born", Born_}});
  // Its report is in the store before it takes the first call.
  beat();
  Server_->open();
}

void Executor::cut(bool Silent) {
  record({{"event", "cut"}, {"silent", Silent}, {"runs", runningTasks()}});
  Cut_ = true;
  SilentCut_ = Silent;
  if (!Silent)
    Server_->close();
}

void Executor::heal() {
  record({{"event", "healed"}, {"runs", runningTasks()}});
  Cut_ = false;
  if (!SilentCut_)
    Server_->open();
}

void Executor::drain() {
  record({{"event", "draining"}, {"runs", runningTasks()}});
  Draining_ = true;
  beat();
}

asio::awaitable<Executor::Answer>
Executor::handle(StandInServer::Request Incoming) {
  // What arrives during a cut is lost.
  if (Cut_) {
    co_await Rig_.Timers.sleepFor(4s);
    co_return Answer();
  }
  const std::uint64_t Life = Life_;
  auto Reply = co_await execute(std::move(Incoming));
  if (Cut_) {
    co_await Rig_.Timers.sleepFor(4s);
    co_return Answer();
  }
  co_return Life == Life_ ? Reply : Answer();
}

asio::awaitable<Executor::Answer>
Executor::execute(StandInServer::Request Incoming) {
  const json Body = json::parse(Incoming.Body, nullptr, false);
  const auto Reply = [](int Status, const json &Content) {
    return Answer(
        StandInServer::Reply{.Status = Status, .Body = Content.dump()});
  };
  if (!Body.is_object())
    co_return Reply(400, own());
  if (const auto It = Incoming.Headers.find("x-expected-instance");
      It != Incoming.Headers.end() && It->second != Id_)
    co_return Reply(421, own());
  const std::int64_t Token = Body.value("fencing-token", std::int64_t{0});
  if (Token < Token_) {
    ++Fences_;
    record({{"event", "fence"}, {"token", Token}, {"seen", Token_}});
    json Content = own();
    Content["reason"] = "fence";
    co_return Reply(409, Content);
  }
  Token_ = Token;
  int Status = 200;
  if (Incoming.Path == "/api/run-start") {
    const json Content = start(Body, Status);
    co_return Reply(Status, Content);
  }
  if (Incoming.Path == "/api/run-stop")
    co_return Reply(200, stop(Body));
  if (Incoming.Path == "/api/hold") {
    const json Content = co_await hold(Body, Life_, Status);
    co_return Reply(Status, Content);
  }
  co_return Reply(404, own());
}

void Executor::extend(const json &Body) {
  const std::int64_t Until = std::min(
      Body.value("deadline-ms", std::int64_t{0}), clockMs() + HoldMaximumMs);
  if (Until <= LeaseEnd_ || Until <= clockMs())
    return;
  LeaseEnd_ = Until;
  LeaseTimer_ =
      Rig_.Timers.after(milliseconds(Until - clockMs()), [this] { lapse(); });
}

void Executor::lapse() {
  std::vector<std::string> Keys;
  for (const auto &[Key, Each] : Runs_)
    Keys.push_back(Key);
  if (!Keys.empty())
    record({{"event", "lease_lapsed"}});
  for (const std::string &Key : Keys)
    finish(Key, "lapsed");
}

json Executor::start(const json &Body, int &Status) {
  json Content = own();
  const auto Refuse = [&](const char *Reason) {
    Status = 409;
    Content["reason"] = Reason;
    return Content;
  };
  if (Body.value("deadline-ms", std::int64_t{0}) <= clockMs())
    return Refuse("late");
  extend(Body);
  const auto Task = Body.at("task").get<std::string>();
  const int Number = Body.at("run").get<int>();
  const std::string Key = keyOf(Task, Number);
  if (Runs_.contains(Key))
    return Content;
  if (const auto It = Highest_.find(Task);
      It != Highest_.end() && Number <= It->second)
    return Refuse("old");
  Run &New = Runs_[Key];
  New.Task = Task;
  New.Number = Number;
  New.Spec = json::parse(Body.value("spec", std::string("{}")), nullptr, false);
  New.WorkStart = Rig_.Timers.now();
  const milliseconds Work(New.Spec.value("work", 1000));
  record({{"event", "started"},
          {"task", Task},
          {"run", Number},
          {"spec", New.Spec},
          {"token", Token_},
          {"draining", Draining_}});
  New.Timer = Rig_.Timers.after(Work, [this, Key] { finish(Key, "done"); });
  if (Rig_.OnStarted)
    Rig_.OnStarted(*this, Task, Number);
  return Content;
}

json Executor::stop(const json &Body) {
  const auto Task = Body.at("task").get<std::string>();
  const int Number = Body.at("run").get<int>();
  int &Highest = Highest_[Task];
  Highest = std::max(Highest, Number);
  const std::string Key = keyOf(Task, Number);
  const auto It = Runs_.find(Key);
  if (It != Runs_.end() && !It->second.Stopping) {
    record({{"event", "stop"}, {"task", Task}, {"run", Number}});
    It->second.Stopping = true;
    It->second.Timer =
        Rig_.Timers.after(StopTime, [this, Key] { finish(Key, "stopped"); });
  }
  return own();
}

void Executor::finish(const std::string &Key, const std::string &How) {
  const auto It = Runs_.find(Key);
  if (It == Runs_.end())
    return;
  const Run Ended = std::move(It->second);
  Runs_.erase(It);
  int &Highest = Highest_[Ended.Task];
  Highest = std::max(Highest, Ended.Number);
  Ends_.push_back({.Number = ++LastNumber_,
                   .Task = Ended.Task,
                   .Run = Ended.Number,
                   .How = How});
  record({{"event", "ended"},
          {"task", Ended.Task},
          {"run", Ended.Number},
          {"how", How},
          {"number", LastNumber_}});
  if (Rig_.OnEnded)
    Rig_.OnEnded(*this, Ended.Task, Ended.Number, How);
  Waiters_.wakeAll();
}

json Executor::lists() const {
  json Content = own();
  Content["running"] = json::array();
  Content["finished"] = json::array();
  for (const auto &[Key, Each] : Runs_) {
    const auto Worked = std::chrono::duration_cast<milliseconds>(
                            Rig_.Timers.now() - Each.WorkStart)
                            .count();
    const auto Percent = std::clamp<std::int64_t>(
        100 * Worked / std::max(1, Each.Spec.value("work", 1000)), 0, 100);
    Content["running"].push_back({Each.Task, Each.Number, "", Percent, 0});
  }
  for (const End &Each : Ends_)
    if (Content["finished"].size() < 500)
      Content["finished"].push_back(
          {Each.Number, Each.Task, Each.Run, Each.How, ""});
  return Content;
}

asio::awaitable<json> Executor::hold(json Body, std::uint64_t Life,
                                     int &Status) {
  const auto Acknowledged = Body.value("acknowledged", std::int64_t{0});
  for (const End &Each : Ends_)
    if (Each.Number <= Acknowledged) {
      record({{"event", "acknowledged"},
              {"task", Each.Task},
              {"run", Each.Run},
              {"how", Each.How},
              {"number", Each.Number},
              {"up_to", Acknowledged}});
      if (Rig_.OnAcknowledged)
        Rig_.OnAcknowledged(*this, Each.Task, Each.Run, Each.How);
    }
  std::erase_if(Ends_, [Acknowledged](const End &Each) {
    return Each.Number <= Acknowledged;
  });
  extend(Body);
  const auto Wait =
      std::min<std::int64_t>(2000, Body.value("wait-ms", std::int64_t{0}));
  if (Ends_.empty() && Wait > 0)
    co_await Waiters_.wait(Rig_.Timers, milliseconds(Wait));
  Status = 200;
  co_return Life == Life_ ? lists() : json::object();
}

// --- Rig --------------------------------------------------------------------

Rig::Rig(Options Given) : Settings(std::move(Given)), Client_(Context) {
  std::filesystem::remove(Settings.Folder + "/record.txt");
  Record_ = std::make_unique<HistoryFile>(Settings.Folder + "/record.txt");
  Begin_ = Timers.now();
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  WorkFolder_ = ::mkdtemp(Template.data());
  Store = std::make_unique<emulator::EmulatedStore>(Timers, StoreSettings);
  Routes = json::array({{{"name", "sheller-cal"},
                         {"host", "mill.example"},
                         {"path-prefix", "/cal/"},
                         {"service", "crackline-ops"},
                         {"priority", 0},
                         {"max-attempts", 4},
                         {"stretch", 4.0},
                         {"target-latency-ms", 3000}}});
}

void Rig::removeFolder() {
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(WorkFolder_, Ignored);
  else
    std::cout << WorkFolder_ << std::endl;
}

void Rig::record(json Event) {
  json Line = {
      {"t_ms", std::chrono::duration_cast<milliseconds>(Timers.now() - Begin_)
                   .count()}};
  Line.update(Event);
  Record_->append(Line);
}

void Rig::violation(const std::string &Rule, json Event) {
  ++Violations;
  Event["event"] = "VIOLATION";
  Event["rule"] = Rule;
  std::cout << Event.dump() << std::endl;
  record(std::move(Event));
}

asio::awaitable<std::optional<StandInServer::Reply>>
Rig::answerStore(StandInServer::Request Incoming) {
  if (StoreDelay.count() > 0)
    co_await Timers.sleepFor(StoreDelay);
  co_return co_await Store->handle(std::move(Incoming));
}

void Rig::startCell(Cell &Started) {
  // The process must not inherit the listeners of the stand-ins.
  for (const auto &Each : std::filesystem::directory_iterator("/proc/self/fd"))
    if (const int Descriptor = std::stoi(Each.path().filename().string());
        Descriptor > 2)
      ::fcntl(Descriptor, F_SETFD, FD_CLOEXEC);
  Started.Process = emulator::startWithLog(
      WorkFolder_ + "/" + Started.Name + ".log",
      {"/usr/bin/env", "HICKORYPICK_SETTINGS=" + Started.SettingsFile,
       Settings.Program});
}

asio::awaitable<bool> Rig::start() {
  StoreServer_ = std::make_unique<StandInServer>(
      Context, 0, [this](StandInServer::Request Incoming) {
        return answerStore(std::move(Incoming));
      });
  StoreServer_->open();
  AdviserServer_ = std::make_unique<StandInServer>(
      Context, 0,
      [](StandInServer::Request)
          -> asio::awaitable<std::optional<StandInServer::Reply>> {
        co_return StandInServer::Reply{.Status = 200, .Body = "{\"good\":[]}"};
      });
  AdviserServer_->open();
  const json Configuration = {
      {"version", 3},
      {"routes", Routes},
      {"services", {{{"name", "crackline-ops"}, {"admission-check", false}}}},
      {"limits", json::object()}};
  Store->putRecord("keyed.op", "config", Configuration.dump());
  for (int I = 0; I < Settings.Executors; ++I)
    add(fmt::format("x{:02}", I), I % 2 == 0 ? "a" : "b");
  int NextAddress = static_cast<int>(::getpid()) * 16 % 40000;
  for (int I = 0; I < Settings.Instances; ++I) {
    const auto Free = emulator::findAddress(Context, NextAddress);
    Cell New{.Name = fmt::format("edge-{}", I + 1),
             .Ip = Free.Ip,
             .Ports = Free.Ports,
             .SettingsFile = fmt::format("{}/{}.json", WorkFolder_, I),
             .Process = nullptr};
    const auto At = [&New](std::size_t Index) {
      return fmt::format("{}:{}", New.Ip, New.Ports[Index]);
    };
    const json File = {
        {"node", New.Name},
        {"role", "cell"},
        {"machine-class", "edge"},
        {"serves", {"edge"}},
        {"ip", New.Ip},
        {"zone", "paarl-a"},
        {"region", "western-cape"},
        {"zones", {{"paarl-a", "western-cape"}, {"midrand-a", "gauteng"}}},
        {"bind-addresses",
         {{"front", At(0)}, {"ready", At(1)}, {"control", At(2)}}},
        {"internal-ports", {New.Ports[3], New.Ports[3]}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"loss-counts", false},
        {"limits",
         {{"cpu-share", 0.25},
          {"cores", 1},
          {"memory-mb", 260},
          {"max-fds", 4200},
          {"link-mbps", 1000.0},
          {"disk-mb", 0}}},
        {"data-dir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat-ms", 1500},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "sched", "platform"}},
        {"fault-tolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
        {"bounds",
         {{"contact-ms", 3000},
          {"ack-ms", 4000},
          {"drain-ms", 2500},
          {"grace-s", 6},
          {"hold-max-ms", HoldMaximumMs},
          {"stop-ms", 400},
          {"gang-timeout-ms", 3000},
          {"cancel_ms", 3000},
          {"visible_ms", 3000},
          {"finish_s", 14},
          {"status_s", 120},
          {"lease-ms", 3000}}},
        {"orders", "call"},
        {"advice", AdviserServer_->address()},
        {"platform",
         {{"address", StoreServer_->address()},
          {"form", "log"},
          {"writes-per-s", 600},
          {"reads-per-s", 2000},
          {"parts", 24},
          {"append-ms", 1.0},
          {"record-bytes", 262144},
          {"call-bytes", 2097152},
          {"ttl-min-ms", 1000}}}};
    writeFile(New.SettingsFile, File.dump());
    startCell(New);
    Cells.push_back(std::move(New));
  }
  for (int Try = 0; Try < 200; ++Try) {
    co_await Timers.sleepFor(100ms);
    bool All = true;
    for (const Cell &Each : Cells) {
      HttpClientRequest Probe{.Url = fmt::format("http://{}:{}/api/readiness",
                                                 Each.Ip, Each.Ports[1]),
                              .Timeout = 500ms};
      const auto Reply = co_await Client_.send(std::move(Probe));
      All = All && Reply && Reply->Status == 200;
    }
    if (All) {
      // The takeovers of the start settle.
      co_await Timers.sleepFor(3s);
      record({{"event", "ready"}});
      co_return true;
    }
  }
  co_return false;
}

Executor &Rig::add(std::string Id, std::string Kind) {
  Executors.push_back(std::make_unique<Executor>(
      *this, std::move(Id), static_cast<int>(Executors.size()),
      std::move(Kind)));
  return *Executors.back();
}

void Rig::stop() {
  for (const Cell &Each : Cells)
    Each.Process->terminate();
  for (const Cell &Each : Cells) {
    if (!Each.Process->exitsWithin(3s))
      ::kill(Each.Process->id(), SIGKILL);
  }
  Cells.clear();
}

asio::awaitable<Rig::HttpAnswer> Rig::call(std::string Method, std::string Id,
                                           std::string Body, int Instance) {
  if (Instance < 0)
    Instance = NextInstance_++ % static_cast<int>(Cells.size());
  const Cell &Target = Cells[static_cast<std::size_t>(Instance)];
  HttpClientRequest Request{
      .Method = Method,
      .Url = fmt::format("http://{}:{}/cal/{}", Target.Ip, Target.Ports[0], Id),
      .Body = std::move(Body),
      .Timeout = 3000ms};
  Request.Headers.emplace_back("Host", "mill.example");
  Request.Headers.emplace_back("X-Deadline-Ms", "3000");
  const auto Reply = co_await Client_.send(std::move(Request));
  HttpAnswer Answer;
  if (Reply) {
    Answer.Status = Reply->Status;
    Answer.Body = json::parse(Reply->Body, nullptr, false);
  }
  record({{"event", "client"},
          {"method", Method},
          {"job", Id},
          {"status", Answer.Status},
          {"body", Reply ? Reply->Body : Reply.error().Message}});
  co_return Answer;
}

asio::awaitable<bool> Rig::submit(std::string Id, json Job) {
  for (int Try = 0; Try < 5; ++Try) {
    const auto Answer = co_await call("POST", Id, Job.dump());
    if (Answer.Status == 200 || Answer.Status == 202)
      co_return true;
    co_await Timers.sleepFor(1s);
  }
  co_return false;
}

asio::awaitable<std::string> Rig::stateOf(std::string Id) {
  const auto Answer = co_await call("GET", Id);
  if (Answer.Status == 200 && Answer.Body.is_object())
    co_return Answer.Body.value("state", std::string());
  co_return Answer.Status == 0 ? "no answer" : std::to_string(Answer.Status);
}

std::map<int, std::uint64_t> Rig::heldEpochs() const {
  std::map<int, std::uint64_t> Held;
  for (const Cell &Each : Cells) {
    std::ifstream Log(WorkFolder_ + "/" + Each.Name + ".log");
    std::string Line;
    while (std::getline(Log, Line)) {
      const auto Brace = Line.find('{');
      if (Brace == std::string::npos)
        continue;
      const json Event = json::parse(Line.substr(Brace), nullptr, false);
      if (Event.is_object() &&
          Event.value("event", std::string()) == "assigned") {
        const json &Fields = Event.contains("fields") ? Event["fields"] : Event;
        auto &Epoch = Held[Fields.value("shard", -1)];
        Epoch = std::max(Epoch, Fields.value("epoch", std::uint64_t{0}));
      }
    }
  }
  return Held;
}

json oneStep(int Count, int Cpu, int WorkMs, const std::string &Label) {
  json Step = {{"count", Count},
               {"cpu", Cpu},
               {"mem-mb", 256},
               {"estimated-ms", WorkMs}};
  if (!Label.empty())
    Step["requirements"] = Label;
  json Spec = {{"work", WorkMs}};
  if (!Label.empty())
    Spec["needs"] = Label;
  return {{"spec", Spec.dump()}, {"steps", json::array({Step})}};
}

std::string jobId(int Number) {
  return fmt::format("{:016x}", 0x5c0e7a2100000000ULL +
                                    static_cast<unsigned long long>(Number) *
                                        0x9e3779b1ULL);
}

} // namespace review
