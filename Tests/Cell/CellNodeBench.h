#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Base/Supervisor.h"
#include "Cell/AccountLoadControl.h"
#include "Cell/CellGateway.h"
#include "Cell/CellNode.h"
#include "Cell/FakeAdvice.h"
#include "Cell/FakeGroupStore.h"
#include "Cell/FakeWorkers.h"
#include "Cell/HttpCellPeer.h"
#include "Cell/KeyedFollower.h"
#include "Cell/ProcessorUseMonitor.h"
#include "Fakes/FakeTimerService.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A clock that advances when the test says so and, by a nanosecond, with each
/// call of now(): successive events have different times, as with a real clock.
class StrictTimerService final : public TimerService {
public:
  [[nodiscard]] Clock::time_point now() const override {
    const Clock::time_point Begin = Timers_.now();
    CallsOfNow_ = Begin == Last_ ? CallsOfNow_ + 1 : 0;
    Last_ = Begin;
    return Begin + std::chrono::nanoseconds(CallsOfNow_);
  }
  [[nodiscard]] std::chrono::system_clock::time_point wallNow() const override {
    return Timers_.wallNow();
  }
  [[nodiscard]] Subscription after(Clock::duration Delay,
                                   std::function<void()> Callback) override {
    return Timers_.after(Delay, std::move(Callback));
  }
  void advance(Clock::duration Step) { Timers_.advance(Step); }

private:
  FakeTimerService Timers_;
  mutable Clock::time_point Last_{};
  mutable std::int64_t CallsOfNow_ = 0;
};

/// Delivers calls between processes by address and injects faults into them.
class FakeCellNetwork {
public:
  using Server = std::function<asio::awaitable<HttpServerResponse>(
      HttpServerRequest Request)>;

  explicit FakeCellNetwork(TimerService &Timers) : Timers_(Timers) {}

  /// Chooses the fault of each call. Names of calls are those of HttpCellPeer,
  /// and "reserve" for placements that only reserve capacity.
  std::function<CallFault(const std::string &From, const std::string &To,
                          const std::string &Call)>
      ChooseFault;
  std::chrono::milliseconds Latency{1}; ///< Of each request and each reply.

  void serve(const std::string &Address, Server Handler) {
    Servers_[Address] = std::make_shared<Server>(std::move(Handler));
  }
  void refuse(const std::string &Address) { Servers_.erase(Address); }

  asio::awaitable<Result<HttpClientResponse>> send(std::string From,
                                                   HttpClientRequest Request) {
    using Kind = CallFault::Kind;
    const std::size_t Begin = Request.Url.find("//") + 2;
    const std::size_t Slash = Request.Url.find('/', Begin);
    const std::string To = Request.Url.substr(Begin, Slash - Begin);
    const CallFault Fault = ChooseFault
                                ? ChooseFault(From, To, nameOf(Request, Slash))
                                : CallFault{};
    HttpServerRequest Received{.Method = Request.Method,
                               .Path = Request.Url.substr(Slash),
                               .Body = Request.Body};
    const auto Executor = co_await asio::this_coro::executor;
    const Clock::time_point Deadline = Timers_.now() + Request.Timeout;
    co_await Timers_.sleepFor(Latency);
    if (!Servers_.contains(To) || Fault.Type == Kind::Refused)
      co_return fail(ErrorCode::ConnectionRefused,
                     "connection refused by " + To);
    auto First = std::make_shared<Pending>(Executor);
    auto Second = std::make_shared<Pending>(Executor);
    if (Fault.Type == Kind::Delayed || Fault.Type == Kind::Duplicated)
      asio::co_spawn(Executor, arrive(To, Received, Fault.Delay, Second),
                     asio::detached);
    if (Fault.Type != Kind::Delayed && Fault.Type != Kind::LostRequest)
      asio::co_spawn(Executor,
                     arrive(To, Received, std::chrono::milliseconds(0), First),
                     asio::detached);
    // The caller of a resent request receives the reply to the last copy.
    const auto Awaited =
        Fault.Type == Kind::Duplicated && Request.MayResend ? Second : First;
    if (const auto Left = Deadline - Timers_.now();
        !Awaited->Reply && Left > Clock::duration::zero())
      co_await Awaited->Ready.waitFor(Timers_, Left);
    if (!Awaited->Reply || Fault.Type == Kind::LostReply) {
      if (Timers_.now() < Deadline)
        co_await Timers_.sleepFor(Deadline - Timers_.now());
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    co_await Timers_.sleepFor(Latency);
    co_return HttpClientResponse{.Status = Awaited->Reply->Status,
                                 .Body = Awaited->Reply->Body};
  }

private:
  struct Pending {
    explicit Pending(const asio::any_io_executor &Executor) : Ready(Executor) {}
    std::optional<HttpServerResponse> Reply;
    Notifier Ready;
  };

  static std::string nameOf(const HttpClientRequest &Request,
                            std::size_t Slash) {
    std::string Name = Request.Url.substr(Request.Url.rfind('/') + 1);
    (void)Slash;
    if (Name == "place" &&
        Request.Body.find("\"ReserveOnly\":true") != std::string::npos)
      Name = "reserve";
    return Name;
  }

  asio::awaitable<void> arrive(std::string To, HttpServerRequest Request,
                               std::chrono::milliseconds Delay,
                               std::shared_ptr<Pending> Done) {
    if (Delay.count() > 0)
      co_await Timers_.sleepFor(Delay);
    const auto It = Servers_.find(To);
    if (It == Servers_.end())
      co_return;
    const auto Receiver = It->second;
    auto Reply = co_await (*Receiver)(std::move(Request));
    Done->Reply = std::move(Reply);
    Done->Ready.notify();
  }

  TimerService &Timers_;
  std::map<std::string, std::shared_ptr<Server>> Servers_;
};

/// The network as seen by one process.
class FakeCellNetworkClient final : public HttpClient {
public:
  FakeCellNetworkClient(TimerService &Timers, FakeCellNetwork &Network,
                        std::string Address, ProcessAlive Alive)
      : Timers_(Timers), Network_(Network), Address_(std::move(Address)),
        Alive_(std::move(Alive)) {}

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    return callFromProcess(Timers_, Alive_,
                           Network_.send(Address_, std::move(Request)));
  }

private:
  TimerService &Timers_;
  FakeCellNetwork &Network_;
  std::string Address_;
  ProcessAlive Alive_;
};

/// The store, workers, network and configuration that the processes share.
struct CellEnvironment {
  asio::io_context Context;
  StrictTimerService Timers;
  RunHistory History;
  FakeGroupStore Store;
  FakeWorkers Workers{Timers, History};
  FakeCellNetwork Network{Timers};
  CellConfiguration Configuration;
  /// See FakeAdviceClient::RuleOf.
  std::function<AdviceRule *(const std::string &Step)> AdviceRuleOf;
  DispatcherOptions Dispatching;
  bool AdmissionControl = false;
  int Shards;

  explicit CellEnvironment(int Shards)
      : Store(Timers, Shards), Shards(Shards) {}
};

/// One process, with its components connected as in CellDaemon, which can't be
/// used here as it has its own clock.
class TestCellNode {
public:
  static constexpr const char *WorkersTopic = "keyed.workers";

  TestCellNode(CellEnvironment &Environment, const std::string &Address,
               int Incarnation)
      : Environment_(Environment), Address_(Address),
        Member_(fmt::format("{}/{}", Address, Incarnation)),
        Events_(Environment.Timers, {.Process = Address}),
        Store_(Environment.Timers, Environment.Store, Address, Alive_),
        WorkersClient_(Environment.Timers, Environment.Workers, Address,
                       Alive_),
        NetworkClient_(Environment.Timers, Environment.Network, Address,
                       Alive_),
        Advice_(Environment.Timers, std::chrono::milliseconds(20)),
        Map_(Environment.Shards),
        Shards_(Environment.Context.get_executor(), Environment.Timers, Store_,
                Events_, {.Member = Member_, .Shards = Environment.Shards}),
        Pool_(Environment.Context.get_executor(), Environment.Timers,
              WorkersClient_, Events_, Map_, {}),
        Jobs_(Environment.Context.get_executor(), Environment.Timers, Store_,
              Events_, Map_, {}),
        View_(Pool_, Map_), Peers_(NetworkClient_, Address),
        Adviser_(Environment.Timers, Advice_, Peers_, {.Address = Address}),
        Quota_(Environment.Context.get_executor(), Environment.Timers, Map_,
               Jobs_, Shards_, Environment.Configuration, Peers_, Events_,
               Metrics_, {.Address = Address}),
        Dispatcher_(Environment.Context.get_executor(), Environment.Timers,
                    Jobs_, View_, Peers_, Adviser_, Shards_,
                    Environment.Configuration, Events_, Metrics_,
                    Environment.Dispatching),
        LoadControl_(
            Environment.Timers, Jobs_, View_, Environment.Configuration,
            Events_, Metrics_,
            {.Address = Address, .Admission = Environment.AdmissionControl}),
        UseMonitor_(Environment.Timers, Pool_, Events_, Metrics_),
        Node_(Environment.Context.get_executor(), Environment.Timers, Shards_,
              Map_, Pool_, Jobs_, View_, Dispatcher_, Adviser_, Peers_,
              {.Address = Address}),
        Gateway_(Shards_, Map_, Peers_, Node_, Environment.Configuration,
                 Environment.Timers, Events_),
        WorkersFollower_(Environment.Timers, Store_, Events_,
                         {.Name = "workers_list", .Topic = WorkersTopic},
                         [this](const auto &Values, const auto &) {
                           updateWorkers(Values);
                         }),
        Supervisor_(Environment.Context.get_executor(), Environment.Timers) {
    wire();
    Supervisor_.add(WorkersFollower_);
    Supervisor_.add(Shards_);
    Environment.Network.serve(Address, [this](HttpServerRequest Request) {
      return answerCellCall(Node_, std::move(Request));
    });
    Supervisor_.start();
    asio::co_spawn(Environment.Context, Dispatcher_.run(), asio::detached);
    asio::co_spawn(Environment.Context, Quota_.run(), asio::detached);
    asio::co_spawn(Environment.Context, UseMonitor_.run(), asio::detached);
    Node_.start();
  }

  /// Kills the process: nothing that it does has an effect from now on.
  void kill() {
    *Alive_ = false;
    Environment_.Network.refuse(Address_);
    WorkersFollower_.stop();
    Shards_.stop();
    Dispatcher_.stop();
    Quota_.stop();
    UseMonitor_.stop();
    Node_.stop();
    Pool_.stop();
  }
  asio::awaitable<void> drain() {
    Draining_ = true;
    co_await Shards_.drain();
    Node_.announceLeaving();
    co_await Environment_.Timers.sleepFor(std::chrono::milliseconds(2800));
    if (*Alive_)
      kill();
  }

  [[nodiscard]] bool alive() const { return *Alive_; }
  [[nodiscard]] bool draining() const { return Draining_; }
  [[nodiscard]] const std::string &address() const { return Address_; }
  [[nodiscard]] const std::string &member() const { return Member_; }
  [[nodiscard]] CellGateway &gateway() { return Gateway_; }
  [[nodiscard]] QuotaClient &quota() { return Quota_; }
  [[nodiscard]] CellNode &node() { return Node_; }
  [[nodiscard]] const WorkerPool &pool() const { return Pool_; }
  [[nodiscard]] JobOwner &jobs() { return Jobs_; }
  [[nodiscard]] ShardMembership &shards() { return Shards_; }
  [[nodiscard]] EventLog &events() { return Events_; }
  [[nodiscard]] Metrics &metrics() { return Metrics_; }

private:
  void wire() {
    Advice_.RuleOf = Environment_.AdviceRuleOf;
    Peers_.setLocal(Node_);
    Jobs_.setQuota(Quota_.allotment());
    Dispatcher_.setQuota(Quota_);
    Node_.setQuota(Quota_);
    Quota_.onGranted([this] { Dispatcher_.wake(); });
    Quota_.handleConfiguration();
    Node_.setLoadControl(LoadControl_);
    Dispatcher_.setLoadControl(LoadControl_);
    Shards_.onAssigned([this](int Shard, std::uint64_t Epoch) {
      Pool_.assign(Shard, Epoch);
      Jobs_.assign(Shard, Epoch);
    });
    Shards_.onRevoked([this](int Shard) {
      Pool_.revoke(Shard);
      Jobs_.revoke(Shard);
    });
    Pool_.onRecordWorker([this](int Shard, WorkerEntry Entry) {
      Jobs_.recordWorker(Shard, std::move(Entry));
    });
    Pool_.onDeleteWorker([this](int Shard, const std::string &Worker) {
      Jobs_.deleteWorker(Shard, Worker);
    });
    Jobs_.onWorkersRead(
        [this](int Shard, const std::vector<WorkerEntry> &Read) {
          Pool_.restore(Shard, Read);
        });
    Jobs_.onWorkerRecorded([this](int Shard, const std::string &Worker) {
      Pool_.markRecorded(Shard, Worker);
    });
    Pool_.onFenced([this](int /*Shard*/) { Shards_.requestJoin(); });
    Pool_.setOwnershipSource({.Confirm =
                                  [this](int Shard, std::uint64_t Epoch) {
                                    return Jobs_.confirmOwnership(Shard, Epoch);
                                  },
                              .ConfirmedAt =
                                  [this](int Shard, std::uint64_t Epoch) {
                                    auto At = Jobs_.ownershipConfirmedAt(Shard,
                                                                         Epoch);
                                    if (At)
                                      At = std::max(*At, Shards_.confirmedAt());
                                    return At;
                                  }});
    Pool_.onEndsChanged([this] { Node_.requestEndDelivery(); });
    Jobs_.onFenced([this](int Shard) { Shards_.handleFenced(Shard); });
    Jobs_.onStepsReady([this] { Dispatcher_.wake(); });
    Jobs_.onShardOpened([this] {
      Node_.requestExchange();
      Shards_.refreshHolders();
    });
    Jobs_.onHolderListNeeded([this] { Shards_.refreshHolders(); });
    Jobs_.setHolderCheck(
        [this](int Shard, const std::string &Member, Clock::time_point Since) {
          return Shards_.isListedSince(Shard, Member, Since);
        });
    Shards_.onHolderListRead([this] { Jobs_.handleHolderList(); });
    Jobs_.onStopRuns([this](std::vector<RunId> Runs) {
      Dispatcher_.orderSender().stopRuns(std::move(Runs));
    });
    Adviser_.setProcessLists([this] { return Node_.owners(); },
                             [this] { return Node_.helpers(); });
  }

  void updateWorkers(const std::map<std::string, std::string> &Values) {
    std::map<std::string, WorkerEntry> Listed;
    for (const auto &[Id, Value] : Values) {
      WorkerEntry Entry = Environment_.Workers.entry(Id);
      Entry.Draining = Value == "draining";
      Listed.emplace(Id, std::move(Entry));
    }
    Pool_.updateWorkers(Listed);
    View_.updateWorkers(Listed);
    Dispatcher_.wake();
  }

  CellEnvironment &Environment_;
  std::string Address_;
  std::string Member_;
  ProcessAlive Alive_ = std::make_shared<bool>(true);
  EventLog Events_;
  Metrics Metrics_;
  FakeGroupStoreClient Store_;
  FakeWorkersClient WorkersClient_;
  FakeCellNetworkClient NetworkClient_;
  FakeAdviceClient Advice_;
  ShardMap Map_;
  ShardMembership Shards_;
  WorkerPool Pool_;
  JobOwner Jobs_;
  CapacityView View_;
  HttpCellPeer Peers_;
  AdviceRouter Adviser_;
  QuotaClient Quota_;
  Dispatcher Dispatcher_;
  AccountLoadControl LoadControl_;
  ProcessorUseMonitor UseMonitor_;
  CellNode Node_;
  CellGateway Gateway_;
  KeyedFollower WorkersFollower_;
  Supervisor Supervisor_;
  bool Draining_ = false;
};

/// A cell of complete processes on one store, one set of workers and one
/// network.
class CellNodeBench {
public:
  explicit CellNodeBench(int Shards) : Environment(Shards) {
    Environment.Configuration.Version = 1;
    QueuePolicy Queue{.Name = "queue", .Service = "pool"};
    Queue.MaximumAttempts = 3;
    Environment.Configuration.Queues.push_back(Queue);
    Environment.Workers.Register = [this](const std::string &Id) {
      registerAgain(Id);
    };
    Environment.Workers.GangSize = [this](const std::string &Task) {
      const auto Name = TaskName::parse(Task);
      const auto Job = Name ? Jobs_.find(Name->Job) : Jobs_.end();
      if (Job == Jobs_.end())
        return 0;
      const StepSpec &Step =
          Job->second.Steps[static_cast<std::size_t>(Name->Step)];
      return Step.Gang ? Step.Count : 0;
    };
  }

  /// Returns an id that belongs to the shard.
  [[nodiscard]] std::string idIn(int Shard, int Number = 0) const {
    for (int I = 0;; ++I) {
      std::string Id = fmt::format("{:016x}", I);
      if (ShardMap(Environment.Shards).shardOf(Id) == Shard && Number-- == 0)
        return Id;
    }
  }
  void addWorker(const std::string &Id, std::uint64_t Cpus = 4000,
                 std::uint64_t MemoryMb = 8000) {
    WorkerEntry Entry{.Id = Id, .Service = "pool", .Address = Id + ":80"};
    Entry.Capacity = {.CpusMilli = Cpus, .MemoryMb = MemoryMb};
    Environment.Workers.add(std::move(Entry));
    Environment.Store.put(TestCellNode::WorkersTopic, Id, "ready");
  }
  TestCellNode &startNode(const std::string &Address) {
    Nodes_.push_back(
        std::make_unique<TestCellNode>(Environment, Address, ++Incarnations_));
    return *Nodes_.back();
  }
  [[nodiscard]] std::vector<TestCellNode *> alive() const {
    std::vector<TestCellNode *> Found;
    for (const auto &Node : Nodes_)
      if (Node->alive())
        Found.push_back(Node.get());
    return Found;
  }

  /// Returns the processes that are alive and not draining.
  [[nodiscard]] std::vector<TestCellNode *> members() const {
    auto Found = alive();
    std::erase_if(Found, [](const auto *Node) { return Node->draining(); });
    return Found;
  }

  [[nodiscard]] JobSpec jobOf(const std::string &Id,
                              std::vector<StepSpec> Steps) const {
    return {.Id = Id,
            .Queue = Environment.Configuration.Queues.front(),
            .Steps = std::move(Steps)};
  }
  static StepSpec step(int Count, std::uint64_t Cpus = 1000) {
    StepSpec Step{.Count = Count};
    Step.Demand = {.CpusMilli = Cpus, .MemoryMb = 100};
    Step.EstimatedDuration = std::chrono::milliseconds(300);
    return Step;
  }
  /// Makes the job known to the checks. Done by submit().
  void remember(const JobSpec &Job) {
    Environment.History.submitted(Job);
    Jobs_.insert_or_assign(Job.Id, Job);
  }
  /// Submits the job at the process, and then at others until it is accepted or
  /// refused.
  void submit(TestCellNode &At, const JobSpec &Job) {
    Environment.History.submitted(Job);
    Jobs_.emplace(Job.Id, Job);
    asio::co_spawn(Environment.Context, submitThrough(&At, Job),
                   asio::detached);
  }
  void cancel(TestCellNode &At, const std::string &Id) {
    Environment.History.cancelSent(Id);
    asio::co_spawn(Environment.Context, cancelThrough(&At, Id), asio::detached);
  }

  /// Advances the time in steps of 1 ms and runs the coroutines after each
  /// step.
  void run(std::chrono::milliseconds Duration) {
    poll();
    for (std::chrono::milliseconds Passed{0}; Passed < Duration;
         Passed += std::chrono::milliseconds(1)) {
      Environment.Timers.advance(std::chrono::milliseconds(1));
      Environment.Workers.tick();
      poll();
    }
  }

  /// Asks all processes for the number of waiting jobs and records a violation
  /// if one reports too few. Jobs that have waited for less than WaitingDelay
  /// need not be reported.
  void checkWaitingJobs() {
    static constexpr std::chrono::seconds WaitingDelay{5};
    const std::string &Queue = Environment.Configuration.Queues.front().Name;
    for (TestCellNode *Node : members())
      if (const auto Reported = Node->gateway().waitingJobs(Queue).Waiting)
        Environment.History.checkWaitingJobs(Node->address(), *Reported,
                                             Environment.Timers.now() -
                                                 WaitingDelay);
  }

  /// Returns the job's state from the first live process that does not answer
  /// 503, or the HTTP status if there is no state. It may be out of date, as
  /// JobOwner::state() does not confirm the ownership.
  std::string stateOf(const std::string &Id) {
    for (TestCellNode *Node : alive()) {
      const JobStateReply Reply = Node->jobs().state(Id);
      if (Reply.Status != 503)
        return Reply.State.empty() ? std::to_string(Reply.Status) : Reply.State;
    }
    return "503";
  }
  /// Returns the violations. To be called once all faults have ended and the
  /// jobs have had time to complete.
  const std::vector<std::string> &finalViolations() {
    Environment.History.checkFinalState(
        [this](const std::string &Id) { return stateOf(Id); });
    return Environment.History.violations();
  }

  /// Returns the events of all processes that contain the text, ordered by
  /// time.
  [[nodiscard]] std::string trace(const std::string &Text) const {
    std::multimap<std::int64_t, std::string> Lines;
    for (const auto &Node : Nodes_) {
      const std::string All = Node->events().linesFrom(0);
      for (std::size_t Begin = 0; Begin < All.size();) {
        const std::size_t End = All.find('\n', Begin);
        std::string Line = All.substr(Begin, End - Begin);
        Begin = End + 1;
        if (Line.find(Text) == std::string::npos)
          continue;
        auto Event = nlohmann::json::parse(Line);
        const auto At = Event["mono_us"].get<std::int64_t>();
        for (const char *Unused : {"mono_us", "wall_us", "seq"})
          Event.erase(Unused);
        Lines.emplace(At, Event.dump());
      }
    }
    std::string Joined;
    for (const auto &[At, Line] : Lines)
      Joined += fmt::format("{} {}\n", At / 1000 - Origin, Line);
    return Joined;
  }

  CellEnvironment Environment;

protected:
  /// Writes the worker's entry again, as it is, if the list has one.
  void registerAgain(const std::string &Id) {
    FakeGroupStore &Store = Environment.Store;
    std::string After;
    while (true) {
      const NewestPage Page =
          Store.readNewest(TestCellNode::WorkersTopic, 0, After);
      for (const KeyedRecord &Record : Page.Records) {
        After = Record.Key;
        if (Record.Key == Id)
          return Store.put(TestCellNode::WorkersTopic, Id, Record.Value);
      }
      if (!Page.HasMore)
        return;
    }
  }
  /// Returns the demand of a task of a submitted job.
  [[nodiscard]] const Resources &demandOf(const std::string &Task) const {
    const auto Name = TaskName::parse(Task);
    return Jobs_.at(Name->Job)
        .Steps[static_cast<std::size_t>(Name->Step)]
        .Demand;
  }

private:
  static constexpr std::int64_t Origin =
      3600000; ///< Start of the fake clock, in ms.
  static constexpr std::chrono::milliseconds ClientPause{400};

  void poll() {
    Environment.Context.restart();
    Environment.Context.poll();
  }

  asio::awaitable<void> submitThrough(TestCellNode *First, JobSpec Job) {
    TestCellNode *At = First;
    for (std::size_t Attempt = 0;; ++Attempt) {
      if (At->alive()) {
        const GatewayAnswer Answer = co_await At->gateway().submit(Job);
        if (At->alive())
          Environment.History.answered(Job.Id, Answer.Status,
                                       Environment.Timers.now());
        else
          Environment.History.answered(Job.Id, 504);
        if (Answer.Status == 200 || Answer.Status == 503)
          co_return;
      }
      co_await Environment.Timers.sleepFor(ClientPause);
      const auto Others = alive();
      if (!Others.empty())
        At = Others[Attempt % Others.size()];
    }
  }
  asio::awaitable<void> cancelThrough(TestCellNode *First, std::string Id) {
    TestCellNode *At = First;
    for (std::size_t Attempt = 0;; ++Attempt) {
      if (At->alive()) {
        const GatewayAnswer Answer = co_await At->gateway().cancel(Id);
        if (Answer.Status == 200 || Answer.Status == 410)
          co_return;
      }
      co_await Environment.Timers.sleepFor(ClientPause);
      const auto Others = alive();
      if (!Others.empty())
        At = Others[Attempt % Others.size()];
    }
  }

  std::map<std::string, JobSpec> Jobs_;
  std::vector<std::unique_ptr<TestCellNode>> Nodes_;
  int Incarnations_ = 0;
};

} // namespace hickory
