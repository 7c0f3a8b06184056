#include "Jobs/RequestService.h"

#include "Base/Hash.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <glog/logging.h>

namespace hickory {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RackPollInterval{20};
constexpr milliseconds ReadBackInterval{5};
constexpr milliseconds ResolveInterval{200};
constexpr milliseconds ResolveCallTimeout{1000};
/// How long a takeover tries to resolve one intent before the outcome is
/// recorded as unknown.
constexpr std::chrono::seconds RecoveryResolveTime{10};
constexpr milliseconds RetryAfterBusy{1000};
constexpr std::chrono::seconds DiscardPeriod{30};
/// Tries to dispatch a request that certainly did not run before.
constexpr std::uint32_t MaximumDispatchTries = 5;

peer::SubmitReply notRun(peer::Status Status, std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(Status);
  Reply.set_outcome(records::OUTCOME_NOT_RUN);
  Reply.set_detail(std::move(Detail));
  Reply.set_retry_after_ms(RetryAfterBusy.count());
  return Reply;
}

peer::SubmitReply unknownOutcome(std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(peer::STATUS_UNKNOWN);
  Reply.set_outcome(records::OUTCOME_UNKNOWN);
  Reply.set_detail(std::move(Detail));
  return Reply;
}

peer::SubmitReply completed(const peer::ExecuteReply &Executed) {
  peer::SubmitReply Reply;
  Reply.set_status(peer::STATUS_OK);
  Reply.set_outcome(records::OUTCOME_COMPLETED);
  Reply.set_answer(Executed.answer());
  Reply.set_executor(Executed.executor());
  return Reply;
}

peer::SubmitReply keyConflict() {
  peer::SubmitReply Reply;
  Reply.set_status(peer::STATUS_CONFLICT);
  Reply.set_detail("this idempotency key was used for another request; use a "
                   "new key");
  return Reply;
}

std::string requestDigest(const peer::SubmitRequest &Request) {
  return sha256(Request.member() + '\0' + Request.job_class() + '\0' +
                Request.payload());
}

std::string attemptId(const std::string &Key, std::uint32_t Attempt) {
  return Key + "#" + std::to_string(Attempt);
}

} // namespace

peer::SubmitReply replyFromOutcome(const records::Outcome &Outcome) {
  peer::SubmitReply Reply;
  Reply.set_outcome(Outcome.outcome());
  Reply.set_status(Outcome.outcome() == records::OUTCOME_UNKNOWN
                       ? peer::STATUS_UNKNOWN
                       : peer::STATUS_OK);
  Reply.set_answer(Outcome.answer());
  Reply.set_detail(Outcome.detail());
  return Reply;
}

RequestService::RequestService(RequestServiceOptions Options,
                               asio::any_io_executor Executor,
                               TimerService &Timers, ConfigView &Config,
                               OwnershipView &Ownership, LogWriter &Writer,
                               JobTable &Table, RackChooser &Racks,
                               Metrics &Counters, EventLog &Events)
    : Options_(Options), Executor_(Executor), Timers_(Timers), Config_(Config),
      Ownership_(Ownership), Writer_(Writer), Table_(Table), Racks_(Racks),
      Counters_(Counters), Events_(Events),
      Waiting_(Executor, Options.MaximumWaiting),
      DiscardTimer_(Timers.every(DiscardPeriod, [this] { discardExpired(); })) {
}

asio::awaitable<peer::SubmitReply>
RequestService::submit(peer::SubmitRequest Request, JobClassConfig Class) {
  const std::string Key = Request.key();
  const std::string Digest = requestDigest(Request);
  const Clock::time_point Deadline =
      Timers_.now() + milliseconds(Request.timeout_ms());
  std::shared_ptr<Entry> Item;
  if (const auto It = Entries_.find(Key); It != Entries_.end()) {
    Item = It->second;
    // A repeatable request whose outcome could not be determined may run again.
    if (Item->Done && Item->Reply.outcome() == records::OUTCOME_UNKNOWN &&
        !Class.NonRepeatable && Item->Digest == Digest) {
      Item->Done = false;
      asio::co_spawn(Executor_, run(Item, Request, Class), asio::detached);
    }
  } else {
    if (const KeyRecord *Known = Table_.find(Key)) {
      if (Known->Accepted)
        co_return keyConflict();
      if (Known->Outcome)
        co_return replyFromOutcome(*Known->Outcome);
      if (Known->Intent)
        co_return co_await resolveIntent(*Known->Intent, Deadline);
    }
    Item = std::make_shared<Entry>(Executor_);
    Item->Digest = Digest;
    Item->Shard = keyShard(Key);
    Entries_.emplace(Key, Item);
    // The work goes on when the caller or its connection goes away. It may
    // finish, and leave Entries_, before co_spawn returns.
    asio::co_spawn(Executor_, run(Item, Request, std::move(Class)),
                   asio::detached);
  }
  if (Item->Digest != Digest)
    co_return keyConflict();
  while (!Item->Done && Timers_.now() < Deadline)
    co_await Item->Changed.waitFor(Timers_, Deadline - Timers_.now());
  if (!Item->Done)
    co_return unknownOutcome(
        "no answer in time; ask again with the same key to learn the outcome");
  co_return Item->Reply;
}

asio::awaitable<void> RequestService::run(std::shared_ptr<Entry> Item,
                                          peer::SubmitRequest Request,
                                          JobClassConfig Class) {
  const Clock::time_point Start = Timers_.now();
  peer::SubmitReply Reply = co_await runAttempts(Item, Request, Class);
  if (Reply.outcome() == records::OUTCOME_NOT_RUN && !Class.NonRepeatable &&
      recentlyAcquired(Item->Shard))
    Reply = unknownOutcome("this request did not run here now, but an earlier "
                           "owner of the key may have run it; ask again");
  Item->Reply = Reply;
  Item->Done = true;
  Item->FinishedAt = Timers_.now();
  Counters_.observe(
      "hickory_request_seconds",
      std::chrono::duration<double>(Timers_.now() - Start).count());
  // A caller may try again with the same key after a certain "not run", unless
  // an intent stands in the log or may still be written there, followed by the
  // outcome "not run": what is dispatched on it would contradict the log.
  const KeyRecord *Known = Table_.find(Request.key());
  const bool Kept = Item->IntentQueued || (Known != nullptr && Known->Intent);
  if (Reply.outcome() == records::OUTCOME_NOT_RUN && !Kept)
    Entries_.erase(Request.key());
  Item->Changed.notify();
}

asio::awaitable<peer::SubmitReply>
RequestService::runAttempts(std::shared_ptr<Entry> Item,
                            peer::SubmitRequest Request, JobClassConfig Class) {
  const Clock::time_point Deadline =
      Timers_.now() + milliseconds(Request.timeout_ms());
  const bool KeepOutcome =
      Class.NonRepeatable || Class.Accept == Acceptance::Logged;
  peer::SubmitReply Last = notRun(peer::STATUS_UNAVAILABLE, "not attempted");
  const std::uint32_t Tries =
      std::max(Class.MaximumAttempts, MaximumDispatchTries);
  for (std::uint32_t Attempt = 1; Attempt <= Tries; ++Attempt) {
    if (Class.NonRepeatable && !Options_.SkipIntent &&
        !Ownership_.logReachable()) {
      Last = notRun(peer::STATUS_UNAVAILABLE,
                    "the log is away, so the intent to run this "
                    "non-repeatable request cannot be kept");
      break;
    }
    bool TurnedAway = false;
    const std::optional<RackLocation> Rack =
        co_await waitForRack(Class, Deadline, TurnedAway);
    if (!Rack) {
      Last = notRun(TurnedAway ? peer::STATUS_OVERLOADED
                               : peer::STATUS_NO_CAPACITY,
                    TurnedAway ? "too many requests wait; come back later"
                               : "no executor became free in time");
      break;
    }
    if (Class.NonRepeatable && !Options_.SkipIntent) {
      const Result<void> Recorded =
          co_await recordIntent(Request, Attempt, Rack->Load.rack(), Deadline);
      Item->IntentQueued = Item->IntentQueued || Recorded ||
                           (Recorded.error().Code != ErrorCode::Cancelled &&
                            Recorded.error().Code != ErrorCode::Overloaded);
      if (!Recorded) {
        Last = notRun(peer::STATUS_UNAVAILABLE, Recorded.error().Message);
        recordOutcome(Request.key(), Request.member(), Last);
        break;
      }
    }
    // The lease may have ended while the intent was written.
    if (!Ownership_.holds(Item->Shard)) {
      Last = notRun(peer::STATUS_UNAVAILABLE,
                    "this instance lost the ownership of the key");
      break;
    }
    const std::string Id = attemptId(Request.key(), Attempt);
    peer::ExecuteRequest Call;
    Call.set_id(Id);
    Call.set_payload(Request.payload());
    Call.set_member(Request.member());
    Call.set_non_repeatable(Class.NonRepeatable);
    Call.set_timeout_ms(
        std::chrono::duration_cast<milliseconds>(Deadline - Timers_.now())
            .count());
    const Result<peer::ExecuteReply> Executed =
        co_await Racks_.execute(*Rack, Call);
    if (Executed && Executed->status() == peer::STATUS_OK) {
      Last = completed(*Executed);
      if (KeepOutcome)
        recordOutcome(Request.key(), Request.member(), Last);
      co_return Last;
    }
    const bool Certain = Executed ? Executed->status() != peer::STATUS_UNKNOWN
                                  : Executed.error().hadNoEffect();
    if (!Certain) {
      Item->MayHaveRun = true;
      if (Class.NonRepeatable) {
        const auto Found = co_await resolve(Id, Rack->Load.rack(), Deadline);
        if (Found) {
          Last = completed(*Found);
          recordOutcome(Request.key(), Request.member(), Last);
          co_return Last;
        }
        co_return unknownOutcome("the executor did not answer; this "
                                 "non-repeatable request is not run again");
      }
    }
    if (Timers_.now() >= Deadline)
      break;
    const std::string Why =
        Executed ? Executed->detail() : Executed.error().Message;
    Last = notRun(peer::STATUS_UNAVAILABLE, "last attempt: " + Why);
    Counters_.count("hickory_request_retries_total");
  }
  if (Item->MayHaveRun)
    co_return unknownOutcome("an executor may have run this request, but its "
                             "answer was lost; ask again with a new key");
  if (KeepOutcome && Table_.find(Request.key()) != nullptr)
    recordOutcome(Request.key(), Request.member(), Last);
  co_return Last;
}

asio::awaitable<std::optional<RackLocation>>
RequestService::waitForRack(const JobClassConfig &Class,
                            Clock::time_point Deadline, bool &TurnedAway) {
  const std::optional<PoolConfig> Pool = Config_.pool(Class.Pool);
  WaitQueue::Ticket Ticket(Waiting_, Class.Priority);
  while (Timers_.now() < Deadline) {
    if (Ticket.turnedAway()) {
      TurnedAway = true;
      co_return std::nullopt;
    }
    if (Ticket.isFirst()) {
      const std::vector<RackLocation> Candidates = Racks_.forRequests(Pool);
      if (!Candidates.empty())
        co_return Candidates.front();
    }
    co_await Ticket.wait(Timers_, RackPollInterval);
  }
  co_return std::nullopt;
}

asio::awaitable<Result<void>>
RequestService::recordIntent(const peer::SubmitRequest &Request,
                             std::uint32_t Attempt, std::string Rack,
                             Clock::time_point Deadline) {
  const std::string Key = Request.key();
  const std::uint64_t Incarnation = Ownership_.incarnation();
  records::Record Record;
  records::Intent &Intent = *Record.mutable_intent();
  Intent.set_key(Key);
  Intent.set_attempt(Attempt);
  Intent.set_rack(Rack);
  Intent.set_member(Request.member());
  Intent.set_incarnation(Incarnation);
  const Result<std::uint64_t> Written =
      co_await Writer_.append(std::move(Record), Deadline - Timers_.now());
  if (!Written)
    co_return fail(Written.error().Code,
                   "the intent could not be kept: " + Written.error().Message);
  // Only the log's order says whether this intent is the first of its key and
  // this incarnation was still a member when it was written.
  while (Timers_.now() < Deadline) {
    const KeyRecord *Known = Table_.find(Key);
    if (Known != nullptr && Known->Intent &&
        Known->Intent->attempt() >= Attempt) {
      if (Known->Intent->attempt() == Attempt &&
          Known->Intent->incarnation() == Incarnation)
        co_return Result<void>();
      co_return fail(ErrorCode::Conflict,
                     "another instance recorded an intent for this key first");
    }
    co_await Timers_.sleepFor(ReadBackInterval);
  }
  co_return fail(ErrorCode::Timeout, "the intent was not read back in time");
}

asio::awaitable<std::optional<peer::ExecuteReply>>
RequestService::resolve(std::string Id, std::string Rack,
                        Clock::time_point Deadline) {
  while (Timers_.now() < Deadline) {
    if (const std::optional<RackLocation> Owner = Racks_.locate(Rack)) {
      peer::ExecuteRequest Call;
      Call.set_id(Id);
      Call.set_rack(Rack);
      Call.set_resolve_only(true);
      Call.set_timeout_ms(ResolveCallTimeout.count());
      const Result<peer::ExecuteReply> Reply =
          co_await Racks_.execute(*Owner, std::move(Call));
      if (Reply && Reply->status() == peer::STATUS_OK)
        co_return *Reply;
    }
    co_await Timers_.sleepFor(ResolveInterval);
  }
  co_return std::nullopt;
}

asio::awaitable<peer::SubmitReply>
RequestService::resolveIntent(records::Intent Open,
                              Clock::time_point Deadline) {
  const std::string Id = attemptId(Open.key(), Open.attempt());
  const auto Found = co_await resolve(Id, Open.rack(), Deadline);
  if (!Found)
    co_return unknownOutcome(
        "an earlier owner of this key died after it recorded its intent to run "
        "the request; it is not run again");
  peer::SubmitReply Reply = completed(*Found);
  const KeyRecord *Known = Table_.find(Open.key());
  if (Known != nullptr && !Known->Outcome)
    recordOutcome(Open.key(), Open.member(), Reply);
  co_return Reply;
}

asio::awaitable<void> RequestService::resolveOpenIntents(std::string Shard) {
  const std::vector<std::string> Keys =
      Table_.unfinished([&](const std::string &Key) {
        return keyShard(Key) == Shard && Entries_.count(Key) == 0;
      });
  for (const std::string &Key : Keys) {
    const KeyRecord *Known = Table_.find(Key);
    if (Known == nullptr || !Known->Intent || Known->Outcome)
      continue;
    const records::Intent Open = *Known->Intent;
    Events_.emit("requests", "intent_recovered",
                 {{"key", Key}, {"rack", Open.rack()}});
    peer::SubmitReply Reply =
        co_await resolveIntent(Open, Timers_.now() + RecoveryResolveTime);
    if (!Ownership_.holds(Shard))
      co_return;
    if (Reply.outcome() == records::OUTCOME_UNKNOWN)
      recordOutcome(Key, Open.member(), Reply);
  }
}

asio::awaitable<peer::QueryReply> RequestService::query(std::string Key) {
  peer::QueryReply Reply;
  const auto Fill = [&Reply](const peer::SubmitReply &From) {
    Reply.set_status(peer::STATUS_OK);
    Reply.set_outcome(From.outcome());
    Reply.set_answer(From.answer());
    Reply.set_detail(From.detail());
  };
  const auto It = Entries_.find(Key);
  if (It != Entries_.end()) {
    if (It->second->Done)
      Fill(It->second->Reply);
    else
      Reply.set_outcome(records::OUTCOME_PENDING);
    co_return Reply;
  }
  const KeyRecord *Known = Table_.find(Key);
  if (Known == nullptr || Known->Accepted) {
    Reply.set_status(peer::STATUS_NOT_FOUND);
    co_return Reply;
  }
  if (Known->Outcome)
    Fill(replyFromOutcome(*Known->Outcome));
  else if (Known->Intent)
    Fill(co_await resolveIntent(*Known->Intent,
                                Timers_.now() + ResolveCallTimeout));
  else
    Reply.set_status(peer::STATUS_NOT_FOUND);
  co_return Reply;
}

void RequestService::recordOutcome(const std::string &Key,
                                   const std::string &Member,
                                   const peer::SubmitReply &Reply) {
  records::Record Record;
  records::Outcome &Outcome = *Record.mutable_outcome();
  Outcome.set_key(Key);
  Outcome.set_member(Member);
  Outcome.set_outcome(Reply.outcome());
  Outcome.set_answer(Reply.answer());
  Outcome.set_detail(Reply.detail());
  if (const Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
    LOG(WARNING) << "requests: outcome of " << Key
                 << " not recorded: " << Queued.error().Message;
}

void RequestService::acquire(const std::string &Shard) {
  const auto Owner = Ownership_.ownerOf(Shard);
  // Nobody answered for the shard before its first owner.
  if (Owner && Owner->Epoch > 1)
    AcquiredAt_[Shard] = Timers_.now();
}

bool RequestService::recentlyAcquired(const std::string &Shard) const {
  const auto It = AcquiredAt_.find(Shard);
  return It != AcquiredAt_.end() &&
         Timers_.now() < It->second + Options_.KeepAnswers;
}

std::size_t RequestService::inFlight(const std::string &Shard) const {
  std::size_t Count = 0;
  for (const auto &[Key, Item] : Entries_)
    if (!Item->Done && Item->Shard == Shard)
      ++Count;
  return Count;
}

void RequestService::discardExpired() {
  const Clock::time_point Now = Timers_.now();
  std::erase_if(Entries_, [&](const auto &Pair) {
    const Entry &Item = *Pair.second;
    if (!Item.Done || Item.FinishedAt + Options_.KeepAnswers >= Now)
      return false;
    // The answer is not given up before the log can give it.
    const KeyRecord *Known = Table_.find(Pair.first);
    return !Item.IntentQueued || (Known != nullptr && Known->Outcome) ||
           !Ownership_.holds(Item.Shard);
  });
}

} // namespace hickory
