#include "DomainSimulation.h"

#include "Base/Notifier.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/PausableTimerService.h"
#include "Membership/Ownership.h"
#include "RecordingSink.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <deque>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr Clock::duration StepLength = 50ms;
constexpr std::size_t Instances = 3;
/// Limit after which a writer appends the same batch again.
constexpr Clock::duration AppendTimeout = 1s;

} // namespace

/// Writes like LogWriter: one batch on its way, repeated until it is answered.
class DomainSimulation::Appender final : public RecordAppender {
public:
  Appender(DomainSimulation &World, Process &Self)
      : World_(World), Self_(Self) {}

  Result<void> enqueue(records::Record Record) override {
    Queue_.push_back(std::move(Record));
    return {};
  }
  [[nodiscard]] bool reachable() const override { return Reachable_; }
  void restart(std::uint64_t Incarnation) override {
    Incarnation_ = Incarnation;
    Sequence_ = 0;
    Queue_.clear();
    InFlight_.reset();
    ++Attempt_;
  }
  asio::awaitable<void> flush(std::chrono::milliseconds Deadline) override;
  void work();
  [[nodiscard]] bool idle() const { return Queue_.empty() && !InFlight_; }

private:
  DomainSimulation &World_;
  Process &Self_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::deque<records::Record> Queue_;
  std::optional<records::RecordBatch> InFlight_;
  std::uint64_t Attempt_ = 0;
  std::optional<Time> AttemptEnd_;
  bool Reachable_ = true;
};

class DomainSimulation::Peers final : public FakePeerClient {
public:
  Peers(DomainSimulation &World, Process &Self) : World_(World), Self_(Self) {}

  asio::awaitable<Result<peer::HelloReply>>
  hello(std::string Slot, peer::HelloRequest Request, Millis Timeout) override;
  asio::awaitable<Result<peer::ConsentReply>>
  consent(std::string Slot, peer::ConsentRequest Request,
          Millis Timeout) override;

private:
  template <typename Reply>
  asio::awaitable<Result<Reply>> call(std::string Slot, Millis Timeout,
                                      std::function<Reply(Ownership &)> Handle);

  DomainSimulation &World_;
  Process &Self_;
};

/// One run of an instance's program. Members are destroyed from the last to the
/// first: Ownership before the context whose coroutines refer to it.
struct DomainSimulation::Process {
  Process(DomainSimulation &World, std::size_t Index, std::uint64_t Id)
      : Index(Index), Id(Id), Offset(World.between(0s, 1h)),
        Rate(1 + World.Options_.ClockSpread * (2 * World.Random_.unit() - 1)),
        Start(World.Now_) {
    setClock(World.Now_);
    Directory = World.Directory_;
    Directory.SelfSlot = Directory.Slots[Index].Slot;
    Events = std::make_unique<EventLog>(
        Timers, EventLogOptions{.Process = Directory.SelfSlot, .Capacity = 64});
    State = std::make_unique<DomainState>(&Sink, World.Options_.StateFaults);
    Writer = std::make_unique<Appender>(World, *this);
    Calls = std::make_unique<Peers>(World, *this);
    Owner = std::make_unique<Ownership>(Context.get_executor(), Timers, *State,
                                        *Writer, *Calls, Directory, Counters,
                                        *Events, Random(World.Random_.next()),
                                        World.Options_.Ownership);
  }

  void setClock(Time Global) {
    const auto Passed = std::chrono::duration<double>(Global - Start) * Rate;
    Timers.setNow(Time(1h) + Offset +
                  std::chrono::duration_cast<Duration>(Passed));
  }
  void poll() {
    Context.restart();
    Context.poll();
  }

  std::size_t Index;
  std::uint64_t Id;
  Duration Offset;
  double Rate;
  Time Start;
  PausableTimerService Timers;
  asio::io_context Context;
  PeerDirectory Directory;
  Metrics Counters;
  std::unique_ptr<EventLog> Events;
  RecordingSink Sink;
  std::unique_ptr<DomainState> State;
  std::unique_ptr<Appender> Writer;
  std::unique_ptr<Peers> Calls;
  std::unique_ptr<Ownership> Owner;
  Subscription Changes;
  Subscription Releases;
  std::set<std::string> Told; ///< Shards reported as acquired.
  std::vector<std::function<void()>> Inbox;
  std::uint64_t ReadFrom = 0;
  Time RunAt;
  Time PausedUntil;
  bool Running = false;
  bool Drained = false;
};

asio::awaitable<void>
DomainSimulation::Appender::flush(std::chrono::milliseconds Deadline) {
  const Time End = Self_.Timers.now() + Deadline;
  while (!idle() && Self_.Timers.now() < End)
    co_await Self_.Timers.sleepFor(50ms);
}

void DomainSimulation::Appender::work() {
  const Time Now = Self_.Timers.now();
  if (!InFlight_ && !Queue_.empty() && World_.chance(0.7)) {
    InFlight_.emplace();
    InFlight_->set_incarnation(Incarnation_);
    InFlight_->set_sequence(++Sequence_);
    for (; !Queue_.empty(); Queue_.pop_front())
      *InFlight_->add_records() = std::move(Queue_.front());
    AttemptEnd_.reset();
  }
  if (!InFlight_ || (AttemptEnd_ && Now < *AttemptEnd_))
    return;
  if (AttemptEnd_)
    Reachable_ = false;
  AttemptEnd_ = Now + AppendTimeout;
  World_.append(Self_, *InFlight_, [this, Attempt = ++Attempt_](bool Success) {
    if (Attempt != Attempt_)
      return;
    Reachable_ = Success;
    if (Success)
      InFlight_.reset();
    else
      AttemptEnd_ = Self_.Timers.now() + 300ms;
  });
}

template <typename Reply>
asio::awaitable<Result<Reply>>
DomainSimulation::Peers::call(std::string Slot, Millis Timeout,
                              std::function<Reply(Ownership &)> Handle) {
  struct Pending {
    explicit Pending(const asio::any_io_executor &Executor) : Done(Executor) {}
    void finish(Result<Reply> Value) {
      if (!Outcome)
        Outcome = std::move(Value);
      Done.notify();
    }
    Notifier Done;
    std::optional<Result<Reply>> Outcome;
  };
  auto Call = std::make_shared<Pending>(co_await asio::this_coro::executor);
  // Messages may outlive the caller's process and with it the call.
  const auto Finish = [Weak =
                           std::weak_ptr<Pending>(Call)](Result<Reply> Value) {
    if (const auto Waiting = Weak.lock())
      Waiting->finish(std::move(Value));
  };
  World_.send(
      Self_, Slot,
      [Finish, Handle](Process &Receiver) -> std::function<void()> {
        return [Finish, Answer = Handle(*Receiver.Owner)] { Finish(Answer); };
      },
      [Finish] { Finish(fail(ErrorCode::ConnectionRefused, "refused")); });
  const Subscription Limit = Self_.Timers.after(
      Timeout, [Call] { Call->finish(fail(ErrorCode::Timeout, "no answer")); });
  co_await Call->Done.wait();
  co_return *Call->Outcome;
}

asio::awaitable<Result<peer::HelloReply>>
DomainSimulation::Peers::hello(std::string Slot, peer::HelloRequest Request,
                               Millis Timeout) {
  std::function<peer::HelloReply(Ownership &)> Handle =
      [Request](Ownership &Receiver) { return Receiver.hello(Request); };
  return call<peer::HelloReply>(std::move(Slot), Timeout, std::move(Handle));
}

asio::awaitable<Result<peer::ConsentReply>>
DomainSimulation::Peers::consent(std::string Slot, peer::ConsentRequest Request,
                                 Millis Timeout) {
  std::function<peer::ConsentReply(Ownership &)> Handle =
      [Request](Ownership &Receiver) { return Receiver.consent(Request); };
  return call<peer::ConsentReply>(std::move(Slot), Timeout, std::move(Handle));
}

DomainSimulation::DomainSimulation(SimulationOptions Options)
    : Options_(Options), Random_(Options_.Seed), Processes_(Instances),
      StartAt_(Instances, Now_), AppendDownUntil_(Instances),
      ReadDownUntil_(Instances) {
  const auto Draw = [this] {
    const double Choices[] = {0, 0.5, 1, 3};
    return Choices[Random_.below(4)];
  };
  if (Options_.Rates)
    Rates_ = *Options_.Rates;
  else
    Rates_ = {.Pause = Draw(),
              .Kill = Draw(),
              .Drain = Draw(),
              .LogOutage = Draw(),
              .SlotOutage = Draw(),
              .PeerOutage = Draw(),
              .SlowAppend = Draw(),
              .LostAnswer = Draw(),
              .SlowRead = Draw()};
  Directory_.SelfDomain = "north";
  for (std::size_t I = 0; I < Instances; ++I)
    Directory_.Slots.push_back({std::string(1, static_cast<char>('a' + I)),
                                "north", "west", "simulated"});
  for (std::uint32_t I = 0; I < KeyShardsPerDomain; ++I)
    Shards_.push_back("keys/" + std::to_string(I));
  Shards_.push_back(rackShard("r1"));
}

DomainSimulation::~DomainSimulation() = default;

bool DomainSimulation::chance(double Probability) {
  return Random_.unit() < Probability;
}

Clock::duration DomainSimulation::between(Duration Low, Duration High) {
  return Low +
         std::chrono::duration_cast<Duration>((High - Low) * Random_.unit());
}

void DomainSimulation::at(Time When, std::function<void()> Action) {
  Events_.emplace(When, std::move(Action));
}

std::optional<std::string> DomainSimulation::run() {
  advance(Options_.Length);
  for (const auto &Subject : Processes_)
    if (Subject && !Violation_)
      compareWithReplay(*Subject);
  for (std::size_t I = 0; I < Instances; ++I)
    endProcess(I);
  return Violation_;
}

void DomainSimulation::advance(Duration Length) {
  const Time End = Now_ + Length;
  while (Now_ < End && !Violation_)
    step();
}

void DomainSimulation::step() {
  Now_ += StepLength;
  for (auto &Subject : Processes_)
    if (Subject)
      Subject->setClock(Now_);
  checkRules("time passed");
  while (!Events_.empty() && Events_.begin()->first <= Now_) {
    auto Node = Events_.extract(Events_.begin());
    Node.mapped()();
  }
  injectFaults();
  std::vector<std::size_t> Order(Instances);
  for (std::size_t I = 0; I < Instances; ++I)
    Order[I] = I;
  for (std::size_t I = Instances; I > 1; --I)
    std::swap(Order[I - 1], Order[Random_.below(I)]);
  for (const std::size_t Index : Order) {
    if (!Processes_[Index] && StartAt_[Index] <= Now_)
      startProcess(Index);
    if (Processes_[Index] && Processes_[Index]->PausedUntil <= Now_)
      runProcess(*Processes_[Index]);
    if (Processes_[Index] && Processes_[Index]->Drained)
      endProcess(Index);
  }
}

void DomainSimulation::kill(std::size_t Index, Duration StartAfter) {
  endProcess(Index);
  StartAt_[Index] = Now_ + StartAfter;
}

void DomainSimulation::pause(std::size_t Index, Duration Length) {
  if (Processes_[Index])
    Processes_[Index]->PausedUntil = Now_ + Length;
}

void DomainSimulation::drain(std::size_t Index) {
  Process *Subject = Processes_[Index].get();
  if (!Subject || !Subject->Running || Subject->Owner->draining())
    return;
  ++Totals_.Drains;
  asio::co_spawn(Subject->Context, Subject->Owner->drain(),
                 [Subject](const std::exception_ptr &) {
                   Subject->Owner->stop();
                   Subject->Drained = true;
                 });
}

void DomainSimulation::stopLog(Duration Length) {
  LogDownUntil_ = Now_ + Length;
}

void DomainSimulation::stopAppends(std::size_t Index, Duration Length) {
  AppendDownUntil_[Index] = Now_ + Length;
}

void DomainSimulation::stopReads(std::size_t Index, Duration Length) {
  ReadDownUntil_[Index] = Now_ + Length;
}

void DomainSimulation::cutPeers(std::size_t Left, std::size_t Right,
                                Duration Length) {
  PeersCutUntil_[std::minmax(Left, Right)] = Now_ + Length;
}

std::size_t DomainSimulation::heldBy(std::size_t Index) const {
  return Processes_[Index] ? Processes_[Index]->Owner->heldShards().size() : 0;
}

bool DomainSimulation::running(std::size_t Index) const {
  return Processes_[Index] != nullptr;
}

void DomainSimulation::startProcess(std::size_t Index) {
  Processes_[Index] = std::make_unique<Process>(*this, Index, NextProcess_++);
  Process &Subject = *Processes_[Index];
  // The port is open from now on, the part starts a little later.
  Subject.RunAt = Now_ + between(0ms, 300ms);
  Subject.Owner->setRacks({"r1"});
  Subject.Changes = Subject.Owner->subscribe(
      [this, &Subject](const OwnershipView::Change &Event) {
        if (Event.Acquired)
          onAcquired(Subject, Event.Shard, Event.PreviousOwnerExpired);
        else
          Subject.Told.erase(Event.Shard);
      });
  Subject.Releases = Subject.Owner->onRelease(
      [this, &Subject](const std::string &, std::function<void()> Done) {
        if (chance(0.3))
          return Done();
        const std::uint64_t Id = Subject.Id;
        at(Now_ + between(0s, 2s), [this, Index = Subject.Index, Id, Done] {
          if (Process *Receiver = findProcess(Index, Id))
            Receiver->Inbox.push_back(Done);
        });
      });
  // Sometimes the beginning of the log is not read, but a snapshot.
  std::vector<std::size_t> Snapshots;
  for (std::size_t I = 0; I < Log_.size(); ++I)
    if (std::any_of(
            Log_[I].records().begin(), Log_[I].records().end(),
            [](const auto &Record) { return Record.has_domain_snapshot(); }))
      Snapshots.push_back(I);
  if (!Snapshots.empty() && chance(0.5))
    Subject.ReadFrom = *Subject.State->loadSnapshot(
                           Log_[Snapshots[Random_.below(Snapshots.size())]]) +
                       1;
}

void DomainSimulation::endProcess(std::size_t Index) {
  if (!Processes_[Index])
    return;
  const Metrics &Counters = Processes_[Index]->Counters;
  Totals_.ConsentExtensions += static_cast<std::uint64_t>(Counters.counterValue(
      "ownership_consent_rounds_total", "result=\"extended\""));
  Totals_.OwnExpiries += static_cast<std::uint64_t>(
      Counters.counterValue("ownership_incarnations_ended_total"));
  for (const char *Reason : {"silence", "evidence", "successor"})
    Totals_.Expired += static_cast<std::uint64_t>(Counters.counterValue(
        "ownership_expires_total", fmt::format("reason=\"{}\"", Reason)));
  Totals_.Snapshots += static_cast<std::uint64_t>(
      Counters.counterValue("ownership_snapshots_total"));
  Processes_[Index].reset();
  StartAt_[Index] =
      Now_ + (chance(0.7) ? between(100ms, 3s) : between(3s, 15s));
}

void DomainSimulation::injectFaults() {
  for (std::size_t I = 0; I < Instances; ++I) {
    Process *Subject = Processes_[I].get();
    if (Subject && Subject->PausedUntil <= Now_ && chance(0.002 * Rates_.Pause))
      Subject->PausedUntil =
          Now_ + (chance(0.5) ? between(300ms, 3s) : between(3s, 14s));
    if (Subject && chance(0.0008 * Rates_.Kill))
      endProcess(I);
    Subject = Processes_[I].get();
    if (chance(0.0004 * Rates_.Drain))
      drain(I);
    if (chance(0.001 * Rates_.SlotOutage)) {
      const Time Until = Now_ + between(2s, 18s);
      const std::uint64_t Which = Random_.below(3);
      if (Which != 0)
        AppendDownUntil_[I] = Until;
      if (Which != 1)
        ReadDownUntil_[I] = Until;
    }
    for (std::size_t J = 0; J < I; ++J)
      if (chance(0.0007 * Rates_.PeerOutage))
        PeersCutUntil_[{J, I}] = Now_ + between(1s, 15s);
    // A job record that nobody may count once its writer has expired.
    if (Subject && chance(0.01)) {
      records::Record Record;
      Record.mutable_job_cancelled()->set_key("key" +
                                              std::to_string(Random_.below(5)));
      (void)Subject->Writer->enqueue(std::move(Record));
    }
  }
  if (chance(0.0008 * Rates_.LogOutage))
    LogDownUntil_ = Now_ + between(3s, 25s);
}

void DomainSimulation::runProcess(Process &Subject) {
  if (!Subject.Running && Subject.RunAt <= Now_) {
    Subject.Running = true;
    asio::co_spawn(Subject.Context, Subject.Owner->run(),
                   [](const std::exception_ptr &, const Result<void> &) {});
  }
  // After a pause, timers, messages and log entries that came meanwhile are
  // seen in any order.
  std::vector<int> Order = {0, 1, 2, 3};
  for (std::size_t I = Order.size(); I > 1; --I)
    std::swap(Order[I - 1], Order[Random_.below(I)]);
  for (const int Action : Order) {
    const char *Name = "";
    if (Action == 0) {
      Name = "timers";
      Subject.Timers.runDue();
    } else if (Action == 1) {
      Name = "messages";
      auto Messages = std::exchange(Subject.Inbox, {});
      for (std::size_t I = Messages.size(); I > 1; --I)
        std::swap(Messages[I - 1], Messages[Random_.below(I)]);
      for (const auto &Message : Messages)
        Message();
    } else if (Action == 2) {
      Name = "log read";
      readLog(Subject);
    } else {
      Name = "append";
      Subject.Writer->work();
    }
    Subject.poll();
    checkRules(fmt::format("{} in {}", Name, Subject.Directory.SelfSlot));
  }
}

void DomainSimulation::readLog(Process &Subject) {
  if (ReadDownUntil_[Subject.Index] > Now_ || LogDownUntil_ > Now_ ||
      chance(Rates_.SlowRead > 0 ? 0.3 : 0))
    return;
  if (chance(0.003 * Rates_.SlowRead))
    ReadDownUntil_[Subject.Index] = Now_ + between(500ms, 4s);
  std::uint64_t Last = Log_.size();
  if (Subject.ReadFrom < Last && chance(0.2))
    Last = Subject.ReadFrom + Random_.below(Last - Subject.ReadFrom + 1);
  while (Subject.ReadFrom < Last) {
    Subject.State->onBatch(Subject.ReadFrom, Log_[Subject.ReadFrom]);
    ++Subject.ReadFrom;
  }
  if (!Subject.State->caughtUp() && Subject.ReadFrom == Log_.size())
    Subject.State->onCaughtUp(Subject.ReadFrom);
}

DomainSimulation::Process *DomainSimulation::findProcess(std::size_t Index,
                                                         std::uint64_t Id) {
  Process *Found = Processes_[Index].get();
  return Found && Found->Id == Id ? Found : nullptr;
}

void DomainSimulation::send(
    const Process &From, const std::string &Slot,
    std::function<std::function<void()>(Process &)> Deliver,
    std::function<void()> Refused) {
  ++Totals_.Calls;
  const std::size_t Source = From.Index;
  const std::uint64_t Caller = From.Id;
  const auto Target = static_cast<std::size_t>(Slot.front() - 'a');
  const auto Cut = [this, Source, Target] {
    const auto It = PeersCutUntil_.find(std::minmax(Source, Target));
    return It != PeersCutUntil_.end() && It->second > Now_;
  };
  const auto Latency = [this] {
    return chance(0.9) ? between(0ms, 60ms) : between(60ms, 1500ms);
  };
  const auto Return = [this, Source, Caller, Cut,
                       Latency](std::function<void()> Action) {
    at(Now_ + Latency(), [this, Source, Caller, Cut, Action] {
      if (Process *Receiver = findProcess(Source, Caller); Receiver && !Cut())
        Receiver->Inbox.push_back(Action);
    });
  };
  at(Now_ + Latency(), [this, Target, Cut, Return, Deliver, Refused] {
    if (Cut())
      return;
    Process *Receiver = Processes_[Target].get();
    if (!Receiver)
      return Return(Refused);
    Receiver->Inbox.push_back(
        [Return, Deliver, Receiver] { Return(Deliver(*Receiver)); });
  });
}

void DomainSimulation::append(const Process &From,
                              const records::RecordBatch &Batch,
                              std::function<void(bool)> Answer) {
  const std::size_t Source = From.Index;
  const std::uint64_t Writer = From.Id;
  const auto Return = [this, Source, Writer, Answer](Duration Delay,
                                                     bool Success) {
    at(Now_ + Delay, [this, Source, Writer, Answer, Success] {
      if (Process *Receiver = findProcess(Source, Writer))
        Receiver->Inbox.push_back([Answer, Success] { Answer(Success); });
    });
  };
  if (AppendDownUntil_[Source] > Now_) {
    if (chance(0.5)) // Else the caller waits for its limit.
      Return(between(0ms, 200ms), false);
    return;
  }
  const bool Slow = chance(0.04 * Rates_.SlowAppend);
  const Duration Delay = Slow ? between(500ms, 12s) : between(0ms, 80ms);
  at(Now_ + Delay, [this, Batch, Return] {
    if (LogDownUntil_ > Now_)
      return Return(between(0ms, 50ms), false);
    if (!Appended_.emplace(Batch.incarnation(), Batch.sequence()).second)
      ++Totals_.Duplicates;
    Log_.push_back(Batch);
    if (!chance(0.06 * Rates_.LostAnswer))
      Return(between(0ms, 80ms), true);
  });
}

void DomainSimulation::onAcquired(Process &Subject, const std::string &Shard,
                                  bool Expired) {
  Subject.Told.insert(Shard);
  ++Totals_.Acquired;
  const std::uint64_t Epoch = Subject.State->shard(Shard).Epoch;
  if (Expired) {
    TakenOver_[Shard] = {Epoch, Now_};
    return;
  }
  // Start commands of an expired owner may arrive for 2 s. Whoever is told that
  // the shard was released starts work at once. An instance that lags may also
  // read an earlier claim of its own now.
  const auto Last = TakenOver_.find(Shard);
  if (Last != TakenOver_.end() && Last->second.first < Epoch &&
      Now_ - Last->second.second < 2s)
    Violation_ = fmt::format(
        "seed {}: {} acquired {} as released, but its last owner but one may "
        "still have start commands on the way",
        Options_.Seed, Subject.Directory.SelfSlot, Shard);
}

void DomainSimulation::checkRules(const std::string &After) {
  if (Violation_)
    return;
  for (const std::string &Shard : Shards_) {
    const Process *Holder = nullptr;
    for (const auto &Subject : Processes_) {
      if (!Subject || !Subject->Owner->holds(Shard))
        continue;
      if (!Subject->Told.contains(Shard) &&
          !Options_.Ownership.Faults.HoldWhileReleasing)
        Violation_ =
            fmt::format("seed {}: {} holds {} but its subscribers were "
                        "not told",
                        Options_.Seed, Subject->Directory.SelfSlot, Shard);
      if (Holder)
        Violation_ = fmt::format(
            "seed {}: {} and {} both hold {} after {:.2f} s, after {}",
            Options_.Seed, Holder->Directory.SelfSlot,
            Subject->Directory.SelfSlot, Shard,
            std::chrono::duration<double>(Now_.time_since_epoch() - 1h).count(),
            After);
      Holder = Subject.get();
    }
  }
}

void DomainSimulation::compareWithReplay(const Process &Subject) {
  if (Subject.ReadFrom == 0)
    return;
  RecordingSink Sink;
  DomainState Replayed(&Sink, Options_.StateFaults);
  for (std::uint64_t I = 0; I < Subject.ReadFrom; ++I)
    Replayed.onBatch(I, Log_[I]);
  if (Replayed.snapshot().SerializeAsString() !=
      Subject.State->snapshot().SerializeAsString())
    Violation_ = fmt::format("seed {}: the state of {} differs from a replay",
                             Options_.Seed, Subject.Directory.SelfSlot);
}

} // namespace hickory
