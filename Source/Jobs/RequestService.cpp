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
/// How long a new owner tries to resolve one intent before it records the
/// outcome as unknown.
constexpr std::chrono::seconds RecoveryResolveTime{10};
constexpr milliseconds RetryAfterNotRun{1000};
constexpr std::chrono::seconds DiscardPeriod{30};
/// Lower bound of the attempts per request, so that a request that definitely
/// did not run is retried.
constexpr std::uint32_t MinimumAttemptLimit = 5;

peer::SubmitReply notRunReply(peer::Status Status, std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(Status);
  Reply.set_outcome(records::OUTCOME_NOT_RUN);
  Reply.set_detail(std::move(Detail));
  Reply.set_retry_after_ms(RetryAfterNotRun.count());
  return Reply;
}

peer::SubmitReply unknownReply(std::string Detail) {
  peer::SubmitReply Reply;
  Reply.set_status(peer::STATUS_UNKNOWN);
  Reply.set_outcome(records::OUTCOME_UNKNOWN);
  Reply.set_detail(std::move(Detail));
  return Reply;
}

peer::SubmitReply completedReply(const peer::ExecuteReply &Executed) {
  peer::SubmitReply Reply;
  Reply.set_status(peer::STATUS_OK);
  Reply.set_outcome(records::OUTCOME_COMPLETED);
  Reply.set_answer(Executed.answer());
  Reply.set_executor(Executed.executor());
  return Reply;
}

peer::SubmitReply conflictReply() {
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
  std::shared_ptr<RequestState> State;
  if (const auto It = Requests_.find(Key); It != Requests_.end()) {
    State = It->second;
    // A repeatable request whose outcome could not be determined may run again.
    if (State->Done && State->Reply.outcome() == records::OUTCOME_UNKNOWN &&
        !Class.NonRepeatable && State->Digest == Digest) {
      State->Done = false;
      asio::co_spawn(Executor_, run(State, Request, Class), asio::detached);
    }
  } else {
    if (const KeyRecord *KeyState = Table_.find(Key)) {
      if (KeyState->Accepted)
        co_return conflictReply();
      if (KeyState->Outcome)
        co_return replyFromOutcome(*KeyState->Outcome);
      if (KeyState->Intent)
        co_return co_await resolveIntent(*KeyState->Intent, Deadline);
    }
    State = std::make_shared<RequestState>(Executor_);
    State->Digest = Digest;
    State->Shard = keyShard(Key);
    Requests_.emplace(Key, State);
    // Runs detached, so that the request continues if the caller disconnects.
    // It may finish and be erased from Requests_ before co_spawn returns.
    asio::co_spawn(Executor_, run(State, Request, std::move(Class)),
                   asio::detached);
  }
  if (State->Digest != Digest)
    co_return conflictReply();
  while (!State->Done && Timers_.now() < Deadline)
    co_await State->Changed.waitFor(Timers_, Deadline - Timers_.now());
  if (!State->Done)
    co_return unknownReply(
        "no answer in time; retry with the same key to get the outcome");
  co_return State->Reply;
}

asio::awaitable<void> RequestService::run(std::shared_ptr<RequestState> State,
                                          peer::SubmitRequest Request,
                                          JobClassConfig Class) {
  const Clock::time_point Start = Timers_.now();
  peer::SubmitReply Reply = co_await runAttempts(State, Request, Class);
  if (Reply.outcome() == records::OUTCOME_NOT_RUN && !Class.NonRepeatable &&
      wasRecentlyAcquired(State->Shard))
    Reply =
        unknownReply("this instance did not run the request, but a previous "
                     "owner of the key may have run it; retry");
  State->Reply = Reply;
  State->Done = true;
  State->FinishedAt = Timers_.now();
  Counters_.observe(
      "hickory_request_seconds",
      std::chrono::duration<double>(Timers_.now() - Start).count());
  // A caller may retry with the same key after a definite "not run", unless an
  // intent is or may still be written to the log, followed by the outcome "not
  // run": dispatching on that intent would contradict the logged outcome.
  const KeyRecord *KeyState = Table_.find(Request.key());
  const bool IntentMayBeLogged =
      State->IntentQueued || (KeyState != nullptr && KeyState->Intent);
  if (Reply.outcome() == records::OUTCOME_NOT_RUN && !IntentMayBeLogged)
    Requests_.erase(Request.key());
  State->Changed.notify();
}

asio::awaitable<peer::SubmitReply>
RequestService::runAttempts(std::shared_ptr<RequestState> State,
                            peer::SubmitRequest Request, JobClassConfig Class) {
  const Clock::time_point Deadline =
      Timers_.now() + milliseconds(Request.timeout_ms());
  const bool LogOutcome =
      Class.NonRepeatable || Class.Accept == Acceptance::Logged;
  peer::SubmitReply LastReply =
      notRunReply(peer::STATUS_UNAVAILABLE, "not attempted");
  const std::uint32_t AttemptLimit =
      std::max(Class.MaximumAttempts, MinimumAttemptLimit);
  for (std::uint32_t Attempt = 1; Attempt <= AttemptLimit; ++Attempt) {
    if (Class.NonRepeatable && !Options_.SkipIntent &&
        !Ownership_.logReachable()) {
      LastReply =
          notRunReply(peer::STATUS_UNAVAILABLE,
                      "the log is unreachable, so the intent to run this "
                      "non-repeatable request cannot be recorded");
      break;
    }
    bool Rejected = false;
    const std::optional<RackLocation> Rack =
        co_await waitForRack(Class, Deadline, Rejected);
    if (!Rack) {
      LastReply = notRunReply(
          Rejected ? peer::STATUS_OVERLOADED : peer::STATUS_NO_CAPACITY,
          Rejected ? "too many requests are waiting; retry later"
                   : "no executor became free in time");
      break;
    }
    if (Class.NonRepeatable && !Options_.SkipIntent) {
      const Result<void> Recorded =
          co_await recordIntent(Request, Attempt, Rack->Load.rack(), Deadline);
      State->IntentQueued = State->IntentQueued || Recorded ||
                            (Recorded.error().Code != ErrorCode::Cancelled &&
                             Recorded.error().Code != ErrorCode::Overloaded);
      if (!Recorded) {
        LastReply =
            notRunReply(peer::STATUS_UNAVAILABLE, Recorded.error().Message);
        recordOutcome(Request.key(), Request.member(), LastReply);
        break;
      }
    }
    // The lease may have expired while the intent was written.
    if (!Ownership_.holds(State->Shard)) {
      LastReply = notRunReply(peer::STATUS_UNAVAILABLE,
                              "this instance lost the ownership of the key");
      break;
    }
    const std::string Id = attemptId(Request.key(), Attempt);
    peer::ExecuteRequest ExecuteCall;
    ExecuteCall.set_id(Id);
    ExecuteCall.set_payload(Request.payload());
    ExecuteCall.set_member(Request.member());
    ExecuteCall.set_non_repeatable(Class.NonRepeatable);
    ExecuteCall.set_timeout_ms(
        std::chrono::duration_cast<milliseconds>(Deadline - Timers_.now())
            .count());
    const Result<peer::ExecuteReply> Executed =
        co_await Racks_.execute(*Rack, ExecuteCall);
    if (Executed && Executed->status() == peer::STATUS_OK) {
      LastReply = completedReply(*Executed);
      if (LogOutcome)
        recordOutcome(Request.key(), Request.member(), LastReply);
      co_return LastReply;
    }
    const bool OutcomeKnown = Executed
                                  ? Executed->status() != peer::STATUS_UNKNOWN
                                  : Executed.error().hadNoEffect();
    if (!OutcomeKnown) {
      State->MayHaveRun = true;
      if (Class.NonRepeatable) {
        const auto Resolved = co_await resolve(Id, Rack->Load.rack(), Deadline);
        if (Resolved) {
          LastReply = completedReply(*Resolved);
          recordOutcome(Request.key(), Request.member(), LastReply);
          co_return LastReply;
        }
        co_return unknownReply("the executor did not answer; this "
                               "non-repeatable request is not retried");
      }
    }
    if (Timers_.now() >= Deadline)
      break;
    const std::string Reason =
        Executed ? Executed->detail() : Executed.error().Message;
    LastReply =
        notRunReply(peer::STATUS_UNAVAILABLE, "last attempt: " + Reason);
    Counters_.count("hickory_request_retries_total");
  }
  if (State->MayHaveRun)
    co_return unknownReply("an executor may have run this request, but its "
                           "answer was lost; retry with the same key");
  if (LogOutcome && Table_.find(Request.key()) != nullptr)
    recordOutcome(Request.key(), Request.member(), LastReply);
  co_return LastReply;
}

asio::awaitable<std::optional<RackLocation>>
RequestService::waitForRack(const JobClassConfig &Class,
                            Clock::time_point Deadline, bool &Rejected) {
  const std::optional<PoolConfig> Pool = Config_.pool(Class.Pool);
  WaitQueue::Ticket Ticket(Waiting_, Class.Priority);
  while (Timers_.now() < Deadline) {
    if (Ticket.isRejected()) {
      Rejected = true;
      co_return std::nullopt;
    }
    if (Ticket.isFirst()) {
      const std::vector<RackLocation> Candidates = Racks_.executorRacks(Pool);
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
    co_return fail(Written.error().Code, "the intent could not be recorded: " +
                                             Written.error().Message);
  // Only the order of the log decides whether this intent is the first of its
  // key and whether this incarnation was still a member when it was written.
  while (Timers_.now() < Deadline) {
    const KeyRecord *KeyState = Table_.find(Key);
    if (KeyState != nullptr && KeyState->Intent &&
        KeyState->Intent->attempt() >= Attempt) {
      if (KeyState->Intent->attempt() == Attempt &&
          KeyState->Intent->incarnation() == Incarnation)
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
      peer::ExecuteRequest ExecuteCall;
      ExecuteCall.set_id(Id);
      ExecuteCall.set_rack(Rack);
      ExecuteCall.set_resolve_only(true);
      ExecuteCall.set_timeout_ms(ResolveCallTimeout.count());
      const Result<peer::ExecuteReply> Reply =
          co_await Racks_.execute(*Owner, std::move(ExecuteCall));
      if (Reply && Reply->status() == peer::STATUS_OK)
        co_return *Reply;
    }
    co_await Timers_.sleepFor(ResolveInterval);
  }
  co_return std::nullopt;
}

asio::awaitable<peer::SubmitReply>
RequestService::resolveIntent(records::Intent OpenIntent,
                              Clock::time_point Deadline) {
  const std::string Id = attemptId(OpenIntent.key(), OpenIntent.attempt());
  const auto Resolved = co_await resolve(Id, OpenIntent.rack(), Deadline);
  if (!Resolved)
    co_return unknownReply("a previous owner of this key failed after it "
                           "recorded its intent to run "
                           "the request; the request is not run again");
  peer::SubmitReply Reply = completedReply(*Resolved);
  const KeyRecord *KeyState = Table_.find(OpenIntent.key());
  if (KeyState != nullptr && !KeyState->Outcome)
    recordOutcome(OpenIntent.key(), OpenIntent.member(), Reply);
  co_return Reply;
}

asio::awaitable<void> RequestService::resolveOpenIntents(std::string Shard) {
  const std::vector<std::string> Keys =
      Table_.unfinished([&](const std::string &Key) {
        return keyShard(Key) == Shard && Requests_.count(Key) == 0;
      });
  for (const std::string &Key : Keys) {
    const KeyRecord *KeyState = Table_.find(Key);
    if (KeyState == nullptr || !KeyState->Intent || KeyState->Outcome)
      continue;
    const records::Intent OpenIntent = *KeyState->Intent;
    Events_.emit("requests", "intent_recovered",
                 {{"key", Key}, {"rack", OpenIntent.rack()}});
    peer::SubmitReply Reply =
        co_await resolveIntent(OpenIntent, Timers_.now() + RecoveryResolveTime);
    if (!Ownership_.holds(Shard))
      co_return;
    if (Reply.outcome() == records::OUTCOME_UNKNOWN)
      recordOutcome(Key, OpenIntent.member(), Reply);
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
  const auto It = Requests_.find(Key);
  if (It != Requests_.end()) {
    if (It->second->Done)
      Fill(It->second->Reply);
    else
      Reply.set_outcome(records::OUTCOME_PENDING);
    co_return Reply;
  }
  const KeyRecord *KeyState = Table_.find(Key);
  if (KeyState == nullptr || KeyState->Accepted) {
    Reply.set_status(peer::STATUS_NOT_FOUND);
    co_return Reply;
  }
  if (KeyState->Outcome)
    Fill(replyFromOutcome(*KeyState->Outcome));
  else if (KeyState->Intent)
    Fill(co_await resolveIntent(*KeyState->Intent,
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
  // The first owner of a shard has no predecessor that may have run requests.
  if (Owner && Owner->Epoch > 1)
    AcquiredAt_[Shard] = Timers_.now();
}

bool RequestService::wasRecentlyAcquired(const std::string &Shard) const {
  const auto It = AcquiredAt_.find(Shard);
  return It != AcquiredAt_.end() &&
         Timers_.now() < It->second + Options_.AnswerRetention;
}

std::size_t RequestService::inFlight(const std::string &Shard) const {
  std::size_t Count = 0;
  for (const auto &[Key, State] : Requests_)
    if (!State->Done && State->Shard == Shard)
      ++Count;
  return Count;
}

void RequestService::discardExpired() {
  const Clock::time_point Now = Timers_.now();
  std::erase_if(Requests_, [&](const auto &Pair) {
    const RequestState &State = *Pair.second;
    if (!State.Done || State.FinishedAt + Options_.AnswerRetention >= Now)
      return false;
    // Keeps the answer in memory until the outcome has been logged.
    const KeyRecord *KeyState = Table_.find(Pair.first);
    return !State.IntentQueued || (KeyState != nullptr && KeyState->Outcome) ||
           !Ownership_.holds(State.Shard);
  });
}

} // namespace hickory
