#include "Jobs/SubmitRouter.h"

#include <algorithm>
#include <set>

namespace hickory {

using std::chrono::milliseconds;

namespace {

/// Pause between rounds over all candidates while a domain has no owner for a
/// key, for example during a takeover.
constexpr milliseconds RoundPause{50};

/// Longest wait for one slot when there are others to try.
constexpr milliseconds AttemptTimeout{3000};

/// Calls that may have reached a slot without an answer.
class LostCalls {
public:
  void add(const std::string &Slot, const Error &Failure) {
    if (Failure.hadNoEffect()) {
      // No process listens there, so the one that was called has gone.
      Restarted_ = Restarted_ || Slots_.count(Slot) != 0;
      return;
    }
    Slots_.insert(Slot);
    Restarted_ = Restarted_ || Failure.Code != ErrorCode::Timeout;
  }
  [[nodiscard]] bool any() const { return !Slots_.empty(); }
  /// True if Slot's "not run" also speaks for the lost calls: a second call of
  /// a key joins the first one, but only within one process.
  [[nodiscard]] bool coveredBy(const std::string &Slot) const {
    return Slots_.empty() ||
           (!Restarted_ && Slots_.size() == 1 && Slots_.count(Slot) != 0);
  }

private:
  std::set<std::string> Slots_;
  bool Restarted_ = false; ///< The process of a slot may have changed.
};

peer::SubmitReply withLostCalls(peer::SubmitReply Reply,
                                const std::string &From,
                                const LostCalls &Lost) {
  if (Reply.outcome() != records::OUTCOME_NOT_RUN || Lost.coveredBy(From))
    return Reply;
  Reply.set_status(peer::STATUS_UNKNOWN);
  Reply.set_outcome(records::OUTCOME_UNKNOWN);
  Reply.set_detail("an instance that did not answer may have run the request; "
                   "ask again with the same key; the present owner of the key "
                   "says: " +
                   Reply.detail());
  return Reply;
}

/// The owner needs part of the remaining time for its own calls.
constexpr milliseconds ForwardAllowance{20};

constexpr milliseconds RetryAfterUnavailable{1000};

milliseconds remaining(TimerService &Timers, Clock::time_point Deadline) {
  return std::chrono::duration_cast<milliseconds>(Deadline - Timers.now());
}

} // namespace

SubmitRouter::SubmitRouter(TimerService &Timers, OwnershipView &Ownership,
                           const PeerDirectory &Directory, CellView &Cell,
                           PeerClient &Peers, JobService &Local,
                           Metrics &Counters)
    : Timers_(Timers), Ownership_(Ownership), Directory_(Directory),
      Cell_(Cell), Peers_(Peers), Local_(Local), Counters_(Counters) {
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
  LostCalls Lost;
  while (true) {
    std::vector<std::string> Slots = candidates(Request.key());
    if (Slots.empty() && Ownership_.holds(keyShard(Request.key()))) {
      Request.set_timeout_ms(remaining(Timers_, Deadline).count());
      peer::SubmitReply Reply = co_await Local_.submit(Request);
      if (Reply.status() != peer::STATUS_NOT_OWNER)
        co_return withLostCalls(std::move(Reply), Directory_.SelfSlot, Lost);
    }
    std::set<std::string> Tried;
    for (std::size_t I = 0; I < Slots.size(); ++I) {
      const std::string Slot = Slots[I];
      const milliseconds Left = remaining(Timers_, Deadline) - ForwardAllowance;
      if (Left <= milliseconds::zero())
        break;
      if (!Tried.insert(Slot).second)
        continue;
      Request.set_timeout_ms(Left.count());
      Request.set_hops(1);
      Counters_.count("hickory_forwarded_requests_total");
      // A paused owner must not use up the caller's time. A second call for the
      // same key joins the first one at the owner.
      const Result<peer::SubmitReply> Reply =
          co_await Peers_.submit(Slot, Request, std::min(Left, AttemptTimeout));
      if (!Reply) {
        Lost.add(Slot, Reply.error());
        continue;
      }
      if (Reply->status() == peer::STATUS_NOT_OWNER) {
        if (!Reply->owner_slot().empty() &&
            Reply->owner_slot() != Directory_.SelfSlot)
          Slots.push_back(Reply->owner_slot());
        continue;
      }
      co_return withLostCalls(*Reply, Slot, Lost);
    }
    if (remaining(Timers_, Deadline) <= RoundPause + ForwardAllowance)
      break;
    co_await Timers_.sleepFor(RoundPause);
  }
  peer::SubmitReply Reply;
  Reply.set_status(Lost.any() ? peer::STATUS_UNKNOWN
                              : peer::STATUS_UNAVAILABLE);
  Reply.set_outcome(Lost.any() ? records::OUTCOME_UNKNOWN
                               : records::OUTCOME_NOT_RUN);
  Reply.set_detail("no instance of failure domain " +
                   homeDomain(Request.key(), Domains_) +
                   " took the request in time; ask again with the same key");
  Reply.set_retry_after_ms(RetryAfterUnavailable.count());
  co_return Reply;
}

asio::awaitable<peer::QueryReply>
SubmitRouter::query(peer::QueryRequest Request, Clock::duration Timeout) {
  const Clock::time_point Deadline = Timers_.now() + Timeout;
  while (remaining(Timers_, Deadline) > milliseconds::zero()) {
    std::vector<std::string> Slots = candidates(Request.key());
    if (Slots.empty() && Ownership_.holds(keyShard(Request.key()))) {
      peer::QueryReply Reply = co_await Local_.query(Request);
      if (Reply.status() != peer::STATUS_NOT_OWNER)
        co_return Reply;
    }
    for (const std::string &Slot : Slots) {
      const milliseconds Left =
          std::min(AttemptTimeout, remaining(Timers_, Deadline));
      if (Left <= milliseconds::zero())
        break;
      const Result<peer::QueryReply> Reply =
          co_await Peers_.query(Slot, Request, Left);
      if (Reply && Reply->status() != peer::STATUS_NOT_OWNER)
        co_return *Reply;
    }
    co_await Timers_.sleepFor(RoundPause);
  }
  peer::QueryReply Reply;
  Reply.set_status(peer::STATUS_UNAVAILABLE);
  Reply.set_detail("the owner of this key cannot be reached; ask again");
  co_return Reply;
}

asio::awaitable<peer::CancelReply>
SubmitRouter::cancel(std::vector<std::string> Keys, Clock::duration Timeout) {
  const Clock::time_point Deadline = Timers_.now() + Timeout;
  peer::CancelReply Total;
  Total.set_status(peer::STATUS_OK);
  while (!Keys.empty() && remaining(Timers_, Deadline) > milliseconds::zero()) {
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
        Reply = co_await Local_.cancel(std::move(Request));
      else
        Reply = co_await Peers_.cancel(Slot, std::move(Request),
                                       remaining(Timers_, Deadline));
      if (Reply && Reply->status() == peer::STATUS_OK)
        Total.set_cancelled(Total.cancelled() + Reply->cancelled());
      else
        Keys.insert(Keys.end(), Batch.begin(), Batch.end());
    }
    if (!Keys.empty())
      co_await Timers_.sleepFor(RoundPause);
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
    const peer::TaskEndedReply Reply = co_await Local_.taskEnded(Notice);
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
