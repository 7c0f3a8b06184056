#include "Jobs/SubmitRouter.h"

#include <algorithm>
#include <set>

namespace hickory {

using std::chrono::milliseconds;

namespace {

/// Delay between two passes over all candidate slots while a failure domain has
/// no owner for a key, for example during a takeover.
constexpr milliseconds CandidateRoundDelay{50};

/// Maximum wait for the answer of one slot before the next one is tried.
constexpr milliseconds AttemptTimeout{3000};

/// Tracks the calls that may have reached a slot but were not answered.
class UnansweredCalls {
public:
  void add(const std::string &Slot, const Error &Failure) {
    if (Failure.hadNoEffect()) {
      // The call was not sent, or no process listens at the address. The
      // process that received an earlier call may thus have terminated.
      Restarted_ = Restarted_ || Slots_.count(Slot) != 0;
      return;
    }
    Slots_.insert(Slot);
    Restarted_ = Restarted_ || Failure.Code != ErrorCode::Timeout;
  }
  [[nodiscard]] bool any() const { return !Slots_.empty(); }
  /// Returns true if the reply "not run" of Slot is also valid for the
  /// unanswered calls. A second call for a key joins the first one, but only
  /// within one process.
  [[nodiscard]] bool isCoveredBy(const std::string &Slot) const {
    return Slots_.empty() ||
           (!Restarted_ && Slots_.size() == 1 && Slots_.count(Slot) != 0);
  }

private:
  std::set<std::string> Slots_;
  bool Restarted_ = false; ///< The process of a slot may have changed.
};

peer::SubmitReply adjustForUnansweredCalls(peer::SubmitReply Reply,
                                           const std::string &From,
                                           const UnansweredCalls &Unanswered) {
  if (Reply.outcome() != records::OUTCOME_NOT_RUN ||
      Unanswered.isCoveredBy(From))
    return Reply;
  Reply.set_status(peer::STATUS_UNKNOWN);
  Reply.set_outcome(records::OUTCOME_UNKNOWN);
  Reply.set_detail("an instance that did not answer may have run the request; "
                   "retry with the same key; the current owner of the key "
                   "replied: " +
                   Reply.detail());
  return Reply;
}

/// Part of the remaining time that this instance keeps for itself when it
/// forwards a request.
constexpr milliseconds ForwardingMargin{20};

constexpr milliseconds RetryAfterUnavailable{1000};

milliseconds remainingTime(TimerService &Timers, Clock::time_point Deadline) {
  return std::chrono::duration_cast<milliseconds>(Deadline - Timers.now());
}

} // namespace

SubmitRouter::SubmitRouter(TimerService &Timers, OwnershipView &Ownership,
                           const PeerDirectory &Directory, CellView &Cell,
                           PeerClient &Peers, JobService &LocalService,
                           Metrics &Counters)
    : Timers_(Timers), Ownership_(Ownership), Directory_(Directory),
      Cell_(Cell), Peers_(Peers), LocalService_(LocalService),
      Counters_(Counters) {
  std::set<std::string> Names;
  for (const PeerSlot &Slot : Directory_.Slots)
    Names.insert(Slot.FailureDomain);
  Domains_.assign(Names.begin(), Names.end());
}

std::vector<std::string>
SubmitRouter::candidates(const std::string &Key) const {
  const std::string &Domain = homeDomain(Key, Domains_);
  const std::string Shard = keyShard(Key);
  std::string Preferred;
  if (Domain == Directory_.SelfDomain) {
    if (Ownership_.holds(Shard))
      return {};
    if (const auto Owner = Ownership_.ownerOf(Shard))
      Preferred = Owner->Slot;
  } else if (const auto Owner = Cell_.keyShardOwner(Domain, Shard)) {
    Preferred = *Owner;
  }
  std::vector<std::string> Slots;
  if (!Preferred.empty() && Preferred != Directory_.SelfSlot)
    Slots.push_back(Preferred);
  for (const PeerSlot &Slot : Directory_.inDomain(Domain))
    if (Slot.Slot != Preferred && Slot.Slot != Directory_.SelfSlot)
      Slots.push_back(Slot.Slot);
  return Slots;
}

asio::awaitable<peer::SubmitReply>
SubmitRouter::submit(peer::SubmitRequest Request) {
  const Clock::time_point Deadline =
      Timers_.now() + milliseconds(Request.timeout_ms());
  UnansweredCalls Unanswered;
  while (true) {
    std::vector<std::string> Slots = candidates(Request.key());
    if (Slots.empty() && Ownership_.holds(keyShard(Request.key()))) {
      Request.set_timeout_ms(remainingTime(Timers_, Deadline).count());
      peer::SubmitReply Reply = co_await LocalService_.submit(Request);
      if (Reply.status() != peer::STATUS_NOT_OWNER)
        co_return adjustForUnansweredCalls(std::move(Reply),
                                           Directory_.SelfSlot, Unanswered);
    }
    std::set<std::string> Tried;
    for (std::size_t I = 0; I < Slots.size(); ++I) {
      const std::string Slot = Slots[I];
      const milliseconds RemainingTime =
          remainingTime(Timers_, Deadline) - ForwardingMargin;
      if (RemainingTime <= milliseconds::zero())
        break;
      if (!Tried.insert(Slot).second)
        continue;
      Request.set_timeout_ms(RemainingTime.count());
      Request.set_hops(1);
      Counters_.count("hickory_forwarded_requests_total");
      // Limits the wait, so that a paused owner does not consume the whole
      // timeout. A second call for the same key joins the first one at the
      // owner.
      const Result<peer::SubmitReply> Reply = co_await Peers_.submit(
          Slot, Request, std::min(RemainingTime, AttemptTimeout));
      if (!Reply) {
        Unanswered.add(Slot, Reply.error());
        continue;
      }
      if (Reply->status() == peer::STATUS_NOT_OWNER) {
        if (!Reply->owner_slot().empty() &&
            Reply->owner_slot() != Directory_.SelfSlot)
          Slots.push_back(Reply->owner_slot());
        continue;
      }
      co_return adjustForUnansweredCalls(*Reply, Slot, Unanswered);
    }
    if (remainingTime(Timers_, Deadline) <=
        CandidateRoundDelay + ForwardingMargin)
      break;
    co_await Timers_.sleepFor(CandidateRoundDelay);
  }
  peer::SubmitReply Reply;
  Reply.set_status(Unanswered.any() ? peer::STATUS_UNKNOWN
                                    : peer::STATUS_UNAVAILABLE);
  Reply.set_outcome(Unanswered.any() ? records::OUTCOME_UNKNOWN
                                     : records::OUTCOME_NOT_RUN);
  Reply.set_detail("no instance of failure domain " +
                   homeDomain(Request.key(), Domains_) +
                   " accepted the request in time; retry with the same key");
  Reply.set_retry_after_ms(RetryAfterUnavailable.count());
  co_return Reply;
}

asio::awaitable<peer::QueryReply>
SubmitRouter::query(peer::QueryRequest Request, Clock::duration Timeout) {
  const Clock::time_point Deadline = Timers_.now() + Timeout;
  while (remainingTime(Timers_, Deadline) > milliseconds::zero()) {
    std::vector<std::string> Slots = candidates(Request.key());
    if (Slots.empty() && Ownership_.holds(keyShard(Request.key()))) {
      peer::QueryReply Reply = co_await LocalService_.query(Request);
      if (Reply.status() != peer::STATUS_NOT_OWNER)
        co_return Reply;
    }
    for (const std::string &Slot : Slots) {
      const milliseconds RemainingTime =
          std::min(AttemptTimeout, remainingTime(Timers_, Deadline));
      if (RemainingTime <= milliseconds::zero())
        break;
      const Result<peer::QueryReply> Reply =
          co_await Peers_.query(Slot, Request, RemainingTime);
      if (Reply && Reply->status() != peer::STATUS_NOT_OWNER)
        co_return *Reply;
    }
    co_await Timers_.sleepFor(CandidateRoundDelay);
  }
  peer::QueryReply Reply;
  Reply.set_status(peer::STATUS_UNAVAILABLE);
  Reply.set_detail("the owner of this key cannot be reached; retry later");
  co_return Reply;
}

asio::awaitable<peer::CancelReply>
SubmitRouter::cancel(std::vector<std::string> Keys, Clock::duration Timeout) {
  const Clock::time_point Deadline = Timers_.now() + Timeout;
  peer::CancelReply Total;
  Total.set_status(peer::STATUS_OK);
  while (!Keys.empty() &&
         remainingTime(Timers_, Deadline) > milliseconds::zero()) {
    std::map<std::string, std::vector<std::string>> BySlot;
    for (std::string &Key : Keys) {
      const std::vector<std::string> Slots = candidates(Key);
      BySlot[Slots.empty() ? Directory_.SelfSlot : Slots.front()].push_back(
          std::move(Key));
    }
    Keys.clear();
    for (auto &[Slot, Batch] : BySlot) {
      peer::CancelRequest Request;
      Request.mutable_keys()->Assign(Batch.begin(), Batch.end());
      Result<peer::CancelReply> Reply;
      if (Slot == Directory_.SelfSlot)
        Reply = co_await LocalService_.cancel(std::move(Request));
      else
        Reply = co_await Peers_.cancel(Slot, std::move(Request),
                                       remainingTime(Timers_, Deadline));
      if (Reply && Reply->status() == peer::STATUS_OK)
        Total.set_cancelled(Total.cancelled() + Reply->cancelled());
      else
        Keys.insert(Keys.end(), Batch.begin(), Batch.end());
    }
    if (!Keys.empty())
      co_await Timers_.sleepFor(CandidateRoundDelay);
  }
  if (!Keys.empty())
    Total.set_status(peer::STATUS_UNAVAILABLE);
  co_return Total;
}

asio::awaitable<bool> SubmitRouter::taskEnded(records::TaskEnded Ended) {
  peer::TaskEndedNotice Notice;
  *Notice.add_ended() = Ended;
  const std::vector<std::string> Slots = candidates(Ended.key());
  if (Slots.empty()) {
    const peer::TaskEndedReply Reply = co_await LocalService_.taskEnded(Notice);
    co_return Reply.status() == peer::STATUS_OK;
  }
  for (const std::string &Slot : Slots) {
    const Result<peer::TaskEndedReply> Reply =
        co_await Peers_.taskEnded(Slot, Notice, AttemptTimeout);
    if (Reply && Reply->status() == peer::STATUS_OK)
      co_return true;
  }
  co_return false;
}

} // namespace hickory
