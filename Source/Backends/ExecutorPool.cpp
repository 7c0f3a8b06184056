#include "Backends/ExecutorPool.h"

#include "Backends/SignalWait.h"
#include "Base/Backoff.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <tuple>

namespace hickory {

namespace {

using std::chrono::milliseconds;
using TryState = Execution::Try::State;

peer::ExecuteReply replyWith(peer::Status Status, std::string Detail) {
  peer::ExecuteReply Reply;
  Reply.set_status(Status);
  Reply.set_detail(std::move(Detail));
  return Reply;
}

peer::ExecuteReply answered(const Execution &Item) {
  peer::ExecuteReply Reply;
  Reply.set_status(peer::STATUS_OK);
  Reply.set_answer(*Item.Answer);
  Reply.set_executor(Item.AnsweredBy);
  return Reply;
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

} // namespace

ExecutorPool::ExecutorPool(std::shared_ptr<RackContext> Context,
                           std::string Rack)
    : Context_(std::move(Context)), Rack_(std::move(Rack)),
      Budget_({.Share = Context_->Options.RetryShare,
               .Maximum = Context_->Options.RetryBurst}) {}

void ExecutorPool::update(const std::vector<Upstream> &Executors) {
  for (const Upstream &One : Executors) {
    SessionPointer &Session = Sessions_[One.Name];
    if (Session)
      Session->update(One);
    else
      Session = std::make_shared<ExecutorSession>(Context_, One);
  }
}

void ExecutorPool::close() {
  for (const auto &[Name, Session] : Sessions_)
    Session->close();
}

std::uint32_t ExecutorPool::freeSlots() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Session] : Sessions_)
    if (Session->mayExecute())
      Sum += Session->freeSlots();
  return static_cast<std::uint32_t>(Sum);
}

ExecutorPool::SessionPointer ExecutorPool::find(const std::string &Name) const {
  const auto It = Sessions_.find(Name);
  return It == Sessions_.end() ? nullptr : It->second;
}

asio::awaitable<peer::ExecuteReply>
ExecutorPool::execute(peer::ExecuteRequest Request,
                      std::function<bool()> MaySend) {
  const auto Self = shared_from_this();
  const auto Deadline =
      Context_->Timers.now() +
      milliseconds(std::max<std::int64_t>(Request.timeout_ms(), 1));
  const auto Once = Context_->OnceSent.find(Request.id());
  if (Once != Context_->OnceSent.end() && Once->second.NotRun)
    co_return replyWith(peer::STATUS_UNAVAILABLE,
                        "the executor refused this id; use a new attempt");
  const auto Current = Context_->Executions.find(Request.id());
  if (Current != Context_->Executions.end())
    co_return co_await join(Current->second, Deadline);
  if (Request.resolve_only())
    co_return co_await resolve(Request, Once != Context_->OnceSent.end()
                                            ? Once->second.Executor
                                            : Request.executor());
  if (Once != Context_->OnceSent.end() &&
      Context_->Options.Protections.ExecuteOnce)
    co_return co_await resolve(Request, Once->second.Executor);

  auto Item = std::make_shared<Execution>(Context_->Executor);
  Item->Id = Request.id();
  Item->Payload = Request.payload();
  Item->Rack = Rack_;
  Item->NonRepeatable = Request.non_repeatable();
  Item->Deadline = Deadline;
  Context_->Executions[Item->Id] = Item;
  ++InFlight_;
  peer::ExecuteReply Reply = co_await runToEnd(Request, Item, MaySend);
  --InFlight_;
  Item->Finished = true;
  Context_->Executions.erase(Item->Id);
  co_return Reply;
}

asio::awaitable<peer::ExecuteReply>
ExecutorPool::join(std::shared_ptr<Execution> Item,
                   Clock::time_point Deadline) {
  while (!Item->Answer && !Item->Finished && Context_->Timers.now() < Deadline)
    co_await Context_->Timers.sleepFor(milliseconds(20));
  if (Item->Answer)
    co_return answered(*Item);
  co_return replyWith(peer::STATUS_UNKNOWN,
                      "an earlier call with this id got no answer");
}

asio::awaitable<peer::ExecuteReply>
ExecutorPool::runToEnd(const peer::ExecuteRequest &Request,
                       const std::shared_ptr<Execution> &Item,
                       const std::function<bool()> &MaySend) {
  const auto &Options = Context_->Options;
  BackoffOptions Pauses{.Initial = Options.ResultPollInitial,
                        .Maximum = Options.ResultPollMaximum};
  Backoff RetryPause(Pauses, Context_->Source);
  auto PollDelay = Options.ResultPollInitial;
  Budget_.earn();
  while (!Item->Answer && Context_->Timers.now() < Item->Deadline) {
    const bool AnyOpen =
        std::any_of(Item->Tries.begin(), Item->Tries.end(),
                    [](const Execution::Try &One) { return One.isOpen(); });
    if (!AnyOpen) {
      if (!Item->Tries.empty()) {
        if (!mayTryAgain(Request, *Item) || !Budget_.spend())
          break;
        Context_->Counters.count("hickory_execute_retries_total");
        // An answer that arrives meanwhile ends the pause.
        co_await waitUntil(Item->Changed, Context_->Timers,
                           std::min(Item->Deadline, Context_->Timers.now() +
                                                        RetryPause.next()));
        if (Item->Answer)
          break;
      }
      if (auto Refusal = co_await sendTry(Request, Item, MaySend)) {
        if (Item->Tries.empty())
          co_return *Refusal;
        break;
      }
    }
    // A call that is simply slow is asked about only after a while.
    auto Next = Clock::time_point::max();
    for (const Execution::Try &One : Item->Tries) {
      if (One.Status == TryState::Lost)
        Next = std::min(Next, Context_->Timers.now() + PollDelay);
      else if (One.Status == TryState::InFlight)
        Next = std::min(Next, std::max(One.SentAt + Options.ExecutePatience,
                                       Context_->Timers.now() + PollDelay));
    }
    co_await waitUntil(Item->Changed, Context_->Timers,
                       std::min(Next, Item->Deadline));
    if (!Item->Answer)
      co_await queryOpenTries(Item);
    PollDelay = std::min(PollDelay * 2, Options.ResultPollMaximum);
  }
  co_return finish(Request, Item);
}

asio::awaitable<std::optional<peer::ExecuteReply>>
ExecutorPool::sendTry(const peer::ExecuteRequest &Request,
                      const std::shared_ptr<Execution> &Item,
                      const std::function<bool()> &MaySend) {
  const auto GiveUp = std::min(Item->Deadline, Context_->Timers.now() +
                                                   Context_->Options.SlotWait);
  SessionPointer Session = pick(Request, *Item);
  while (!Session && Context_->Timers.now() < GiveUp) {
    co_await Context_->Timers.sleepFor(milliseconds(10));
    Session = pick(Request, *Item);
  }
  if (!Session)
    co_return replyWith(peer::STATUS_NO_CAPACITY,
                        "no executor of the rack has a free slot");
  if (!MaySend())
    co_return replyWith(peer::STATUS_UNAVAILABLE,
                        "this instance no longer serves the rack");
  Execution::Try Next;
  Next.Executor = Session->executor().Name;
  Next.SentAt = Context_->Timers.now();
  Item->Tries.push_back(std::move(Next));
  if (Item->NonRepeatable)
    Context_->OnceSent[Item->Id] = {Session->executor().Name,
                                    Context_->Timers.now()};
  asio::co_spawn(Context_->Executor,
                 Session->call(Session, Item, Item->Tries.size() - 1),
                 asio::detached);
  co_return std::nullopt;
}

bool ExecutorPool::mayTryAgain(const peer::ExecuteRequest &Request,
                               const Execution &Item) const {
  if (!Item.NonRepeatable || !Context_->Options.Protections.ExecuteOnce)
    return true;
  // Nothing may have reached an executor, and no record names the executor.
  return Request.executor().empty() &&
         std::none_of(Item.Tries.begin(), Item.Tries.end(),
                      [](const Execution::Try &One) { return One.Sent; });
}

ExecutorPool::SessionPointer
ExecutorPool::pick(const peer::ExecuteRequest &Request, const Execution &Item) {
  SessionPointer Best;
  std::tuple<bool, int, std::size_t, std::uint64_t> BestRank;
  for (const auto &[Name, Session] : Sessions_) {
    if (!Session->mayExecute() || Session->occupiedBy(Item.Id) ||
        (!Request.executor().empty() && Name != Request.executor()))
      continue;
    const bool Tried = std::any_of(
        Item.Tries.begin(), Item.Tries.end(), [&](const Execution::Try &One) {
          return One.Executor == Session->executor().Name;
        });
    // The last part spreads requests over equally loaded executors.
    const std::tuple Rank(Tried, preference(Session->health()),
                          Session->occupied(), Context_->Source.next());
    if (!Best || Rank < BestRank) {
      Best = Session;
      BestRank = Rank;
    }
  }
  return Best;
}

asio::awaitable<void>
ExecutorPool::queryOpenTries(const std::shared_ptr<Execution> &Item) {
  const auto &Options = Context_->Options;
  // A try may be added only by the caller, so the number of tries is fixed
  // here; references do not stay valid over co_await in general, so indices.
  for (std::size_t I = 0; I < Item->Tries.size() && !Item->Answer; ++I) {
    const auto Age = Context_->Timers.now() - Item->Tries[I].SentAt;
    const bool Due = Item->Tries[I].Status == TryState::Lost ||
                     (Item->Tries[I].Status == TryState::InFlight &&
                      Age >= Options.ExecutePatience);
    const SessionPointer Session = find(Item->Tries[I].Executor);
    if (!Due || !Session)
      continue;
    const auto State = co_await Session->fetchResult(Item);
    Execution::Try &One = Item->Tries[I];
    if (Item->NonRepeatable || One.Abandoned || !One.isOpen())
      continue;
    using ResultState = ExecutorSession::ResultState;
    if (State == ResultState::Unreachable)
      ++One.FailedQueries;
    const bool Gone =
        One.Status == TryState::Lost
            ? State == ResultState::NotKnown || One.FailedQueries >= 2
            : State != ResultState::Running && Age >= Options.AbandonAfter;
    if (Gone && State != ResultState::Done) {
      One.Abandoned = true;
      if (One.Status == TryState::InFlight)
        Context_->ExecutorHealth.failed(One.Executor);
    }
  }
}

peer::ExecuteReply
ExecutorPool::finish(const peer::ExecuteRequest &Request,
                     const std::shared_ptr<Execution> &Item) {
  for (const Execution::Try &One : Item->Tries)
    if (const SessionPointer Session = find(One.Executor))
      Session->watchSlot(Item);
  if (Item->Answer)
    return answered(*Item);
  const bool MayHaveRun =
      std::any_of(Item->Tries.begin(), Item->Tries.end(),
                  [](const Execution::Try &One) { return One.mayHaveRun(); });
  const Execution::Try *Last =
      Item->Tries.empty() ? nullptr : &Item->Tries.back();
  peer::ExecuteReply Reply = replyWith(
      MayHaveRun ? peer::STATUS_UNKNOWN : peer::STATUS_UNAVAILABLE,
      Last && !Last->Detail.empty() ? Last->Detail
                                    : "no answer before the deadline");
  if (Last)
    Reply.set_executor(Last->Executor);
  if (Item->NonRepeatable && !MayHaveRun) {
    const bool Sent =
        std::any_of(Item->Tries.begin(), Item->Tries.end(),
                    [](const Execution::Try &One) { return One.Sent; });
    const auto Once = Context_->OnceSent.find(Item->Id);
    if (Once != Context_->OnceSent.end()) {
      if (Sent)
        Once->second.NotRun = true;
      else
        Context_->OnceSent.erase(Once);
    }
  }
  return Reply;
}

asio::awaitable<peer::ExecuteReply>
ExecutorPool::resolve(peer::ExecuteRequest Request, std::string Executor) {
  auto Item = std::make_shared<Execution>(Context_->Executor);
  Item->Id = Request.id();
  Item->NonRepeatable = true;
  Item->Deadline =
      Context_->Timers.now() +
      milliseconds(std::max<std::int64_t>(Request.timeout_ms(), 1));
  // The request itself may still be on its way for a moment.
  const auto GiveUpUnknown =
      Context_->Timers.now() + Context_->Options.Lease.StartLease;
  BackoffOptions Pauses{.Initial = Context_->Options.ResultPollInitial,
                        .Maximum = Context_->Options.ResultPollMaximum};
  Backoff Pause(Pauses, Context_->Source);
  ++InFlight_;
  std::string Detail;
  for (;;) {
    std::vector<SessionPointer> Asked;
    for (const auto &[Name, Session] : Sessions_)
      if (Executor.empty() || Name == Executor)
        Asked.push_back(Session);
    bool Running = false;
    for (const SessionPointer &Session : Asked) {
      const auto State = co_await Session->fetchResult(Item);
      if (Item->Answer)
        break;
      Running |= State == ExecutorSession::ResultState::Running;
    }
    Detail = Asked.empty() ? "the executor of this id is not known"
             : Running     ? "the executor is still running it"
                           : "no executor has a result for this id";
    const auto Now = Context_->Timers.now();
    if (Item->Answer || Now >= Item->Deadline || Asked.empty() ||
        (!Running && Now >= GiveUpUnknown))
      break;
    co_await Context_->Timers.sleepFor(Pause.next() + milliseconds(10));
  }
  --InFlight_;
  if (Item->Answer)
    co_return answered(*Item);
  co_return replyWith(peer::STATUS_UNKNOWN, Detail);
}

} // namespace hickory
