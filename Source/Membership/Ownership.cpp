#include "Membership/Ownership.h"

#include "Base/Hash.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Rendezvous hashing: the slot with the highest weight is preferred.
std::uint64_t weight(const std::string &Shard, const std::string &Slot) {
  return stableHash(Shard + "@" + Slot);
}

} // namespace

struct Ownership::ConsentRound {
  explicit ConsentRound(const asio::any_io_executor &Executor)
      : Finished(Executor) {}
  std::size_t Waiting = 0;
  std::size_t Missing = 0;
  Notifier Finished;
};

Ownership::Ownership(asio::any_io_executor Executor, TimerService &Timers,
                     DomainState &State, RecordAppender &Writer,
                     PeerClient &Peers, const PeerDirectory &Directory,
                     Metrics &Counters, EventLog &Events, Random Generator,
                     OwnershipOptions Options)
    : Executor_(std::move(Executor)), Timers_(Timers), State_(State),
      Writer_(Writer), Peers_(Peers), Directory_(Directory),
      Counters_(Counters), Events_(Events), Generator_(Generator),
      Options_(Options), Wake_(Executor_), Lease_(Options.Lease),
      Subscribers_(
          std::make_shared<Callbacks<std::function<void(const Change &)>>>()),
      Releasers_(std::make_shared<Callbacks<ReleaseCallback>>()) {
  Changes_ = State_.subscribe(
      [this](const DomainState::Change &Event) { onDomainChange(Event); });
  drawIncarnation();
  LastSnapshot_ = Timers_.now();
}

Ownership::~Ownership() = default;

asio::awaitable<Result<void>> Ownership::run() {
  StartedAt_ = Timers_.now();
  Subscription Ticks = Timers_.every(Options_.Tick, [this] { Wake_.notify(); });
  while (!Stopped_) {
    step();
    co_await Wake_.wait();
  }
  co_return Result<void>();
}

void Ownership::stop() {
  Stopped_ = true;
  Lease_.revoke();
  Wake_.notify();
}

asio::awaitable<void> Ownership::drain() {
  if (finished())
    co_return;
  Draining_ = true;
  Events_.emit("ownership", "drain", {{"incarnation", Incarnation_}});
  std::vector<std::string> Shards;
  Shards.reserve(Held_.size());
  for (const auto &[Shard, Since] : Held_)
    Shards.push_back(Shard);
  for (const std::string &Shard : Shards)
    startHandover(Shard);
  const Clock::time_point Deadline = Timers_.now() + Options_.DrainLimit;
  const auto Unfinished = [this] {
    return !Handovers_.empty() ||
           std::any_of(Surrendered_.begin(), Surrendered_.end(),
                       [](const auto &Entry) { return !Entry.second.Queued; });
  };
  while (!finished() && Unfinished() && Timers_.now() < Deadline) {
    co_await Timers_.sleepFor(Options_.Tick);
    queueReleases();
  }
  if (finished())
    co_return;
  leave();
  co_await Writer_.flush(Options_.LeaveFlushLimit);
}

void Ownership::leave() {
  // From here on nothing is held, whether or not the Leave arrives. Shards that
  // were not released count as not released for their next owner.
  Left_ = true;
  Lease_.revoke();
  if (State_.member(Incarnation_)) {
    records::Record Record;
    Record.mutable_leave()->set_incarnation(Incarnation_);
    if (Result<void> Queued = Writer_.enqueue(std::move(Record)); !Queued)
      LOG(WARNING) << "ownership: cannot record that this instance leaves: "
                   << Queued.error().Message;
  }
  Events_.emit("ownership", "leave", {{"incarnation", Incarnation_}});
  Handovers_.clear();
  for (const auto &[Shard, Since] : std::exchange(Held_, {}))
    notify({.Shard = Shard, .Acquired = false});
}

// ---------------------------------------------------------------------------
// View

Clock::time_point Ownership::leaseEnd() const { return Lease_.end(); }

bool Ownership::holds(const std::string &Shard) const {
  // The clock is read here, at the time of use: after a pause the lease may
  // have ended before any timer had a chance to run.
  if (finished() ||
      (!Lease_.holds(Timers_.now()) && !Options_.Faults.SkipLeaseCheck))
    return false;
  const std::optional<ShardOwner> Owner = State_.ownerOf(Shard);
  if (!Owner || Owner->Incarnation != Incarnation_)
    return false;
  const auto Given = Surrendered_.find(Shard);
  return Given == Surrendered_.end() || Given->second.Epoch != Owner->Epoch ||
         Options_.Faults.HoldWhileReleasing;
}

std::optional<ShardOwner> Ownership::ownerOf(const std::string &Shard) const {
  return State_.ownerOf(Shard);
}

std::vector<std::string> Ownership::heldShards() const {
  std::vector<std::string> Shards;
  for (const auto &[Shard, Since] : Held_)
    if (holds(Shard))
      Shards.push_back(Shard);
  return Shards;
}

bool Ownership::logReachable() const {
  return LastReadBack_ &&
         Timers_.now() - *LastReadBack_ < Options_.LogReachableAge &&
         Writer_.reachable();
}

Subscription
Ownership::subscribe(std::function<void(const Change &)> Callback) {
  const std::uint64_t Id = NextCallback_++;
  Subscribers_->emplace(Id, std::move(Callback));
  return Subscription([List = Subscribers_, Id] { List->erase(Id); });
}

Subscription Ownership::onRelease(ReleaseCallback Callback) {
  const std::uint64_t Id = NextCallback_++;
  Releasers_->emplace(Id, std::move(Callback));
  return Subscription([List = Releasers_, Id] { List->erase(Id); });
}

void Ownership::setRacks(std::vector<std::string> Racks) {
  Racks_ = std::set<std::string>(Racks.begin(), Racks.end());
  Preferred_.clear();
  Wake_.notify();
}

void Ownership::notify(const Change &Event) {
  Events_.emit("ownership", Event.Acquired ? "shard_acquired" : "shard_lost",
               {{"shard", Event.Shard}, {"incarnation", Incarnation_}});
  // A copy, because a callback may end subscriptions or add new ones.
  const auto Copy = *Subscribers_;
  for (const auto &[Id, Callback] : Copy)
    if (Subscribers_->contains(Id))
      Callback(Event);
}

// ---------------------------------------------------------------------------
// Calls of other instances

peer::ConsentReply Ownership::consent(const peer::ConsentRequest &Request) {
  peer::ConsentReply Reply;
  Reply.set_incarnation(Incarnation_);
  const auto *Member = State_.member(Request.incarnation());
  const milliseconds Asked(Request.duration_ms());
  if (Expiring_.contains(Request.incarnation()))
    Reply.set_reason("an Expire for this incarnation is on its way");
  else if (Member && !Member->live())
    Reply.set_reason("this incarnation has expired or left");
  else if (Asked > 10 * Options_.Lease)
    Reply.set_reason("the duration is too long");
  else
    Reply.set_granted(true);
  Counters_.count("ownership_consent_answers_total", 1,
                  Reply.granted() ? "granted=\"yes\"" : "granted=\"no\"");
  // Counted from the receipt, which is after the time from which the caller
  // counts, with a margin for a caller whose clock runs slower.
  if (Reply.granted() && !Options_.Faults.ForgetConsent)
    Promises_.grant(Request.incarnation(),
                    Timers_.now() + withMargin(std::max<Clock::duration>(
                                        Asked, Options_.Lease)));
  return Reply;
}

peer::HelloReply
Ownership::hello(const peer::HelloRequest & /*Request*/) const {
  peer::HelloReply Reply;
  Reply.set_slot(Directory_.SelfSlot);
  Reply.set_incarnation(Incarnation_);
  Reply.set_clock_us(
      duration_cast<std::chrono::microseconds>(Timers_.now().time_since_epoch())
          .count());
  Reply.set_draining(Draining_ || finished());
  return Reply;
}

// ---------------------------------------------------------------------------
// Periodic work

void Ownership::step() {
  if (!State_.caughtUp() || finished())
    return;
  if (!JoinQueued_) {
    join();
    return;
  }
  const auto *Self = State_.member(Incarnation_);
  if (!Self || !Self->live())
    return;
  const bool Holds = Lease_.holds(Timers_.now());
  if (!Holds && !LapseReported_) {
    LOG(WARNING) << "ownership: the instance lease lapsed";
    Events_.emit("ownership", "lease_lapsed", {{"incarnation", Incarnation_}});
    Counters_.count("ownership_lease_lapses_total");
  }
  LapseReported_ = !Holds;
  sendHeartbeat();
  startConsentRound();
  queueReleases();
  Promises_.removeEnded(Timers_.now());
  checkMembers();
  claimFreeShards();
  balance();
  writeSnapshotIfDue();
}

void Ownership::drawIncarnation() {
  do
    Incarnation_ = Generator_.next();
  while (Incarnation_ == 0);
  Writer_.restart(Incarnation_);
  JoinQueued_ = false;
}

void Ownership::join() {
  if (Draining_)
    return;
  records::Record Record;
  Record.mutable_join()->set_slot(Directory_.SelfSlot);
  Record.mutable_join()->set_incarnation(Incarnation_);
  const Clock::time_point Now = Timers_.now();
  if (!Writer_.enqueue(std::move(Record)))
    return;
  JoinQueued_ = true;
  Outstanding_ = Now;
  LastHeartbeat_ = Now;
  LOG(INFO) << "ownership: joins as incarnation " << Incarnation_;
  Events_.emit("ownership", "join", {{"incarnation", Incarnation_}});
}

void Ownership::sendHeartbeat() {
  const Clock::time_point Now = Timers_.now();
  if (Outstanding_ || Now - LastHeartbeat_ < Options_.HeartbeatPeriod)
    return;
  records::Record Record;
  Record.mutable_heartbeat()->set_incarnation(Incarnation_);
  if (!Writer_.enqueue(std::move(Record)))
    return;
  Outstanding_ = Now;
  LastHeartbeat_ = Now;
}

void Ownership::onOwnHeartbeat() {
  if (!Outstanding_ || finished())
    return;
  // Counted from before the append, since others count from when they read the
  // heartbeat, which is after the append.
  const Clock::time_point Sent =
      Options_.Faults.LeaseFromReadBack ? Timers_.now() : *Outstanding_;
  Lease_.extendFromHeartbeat(Sent);
  LastReadBack_ = Sent;
  Outstanding_.reset();
}

void Ownership::startConsentRound() {
  const Clock::time_point Now = Timers_.now();
  const bool Lapsed = !Lease_.holds(Now) && !Options_.Faults.ReviveByConsent;
  if (Lapsed || ConsentRunning_ ||
      Now - Lease_.start() < Options_.ConsentAfter ||
      Now - LastConsentRound_ < Options_.ConsentPeriod)
    return;
  ConsentRunning_ = true;
  LastConsentRound_ = Now;
  asio::co_spawn(Executor_, runConsentRound(Now), asio::detached);
}

asio::awaitable<void> Ownership::runConsentRound(Clock::time_point Sent) {
  const std::uint64_t Incarnation = Incarnation_;
  auto Round = std::make_shared<ConsentRound>(Executor_);
  for (const PeerSlot &Slot : Directory_.inDomain(Directory_.SelfDomain)) {
    if (Slot.Slot == Directory_.SelfSlot)
      continue;
    ++Round->Waiting;
    asio::co_spawn(Executor_, askConsent(Slot.Slot, Round), asio::detached);
  }
  while (Round->Waiting > 0)
    co_await Round->Finished.wait();
  ConsentRunning_ = false;
  const std::size_t Allowed = Options_.Faults.ConsentByMajority ? 1 : 0;
  const auto *Self = State_.member(Incarnation);
  if (Incarnation != Incarnation_ || finished() || !Self || !Self->live() ||
      Round->Missing > Allowed) {
    Counters_.count("ownership_consent_rounds_total", 1, "result=\"denied\"");
    co_return;
  }
  // Every process that could append an Expire has promised not to, or has
  // started after Sent and must wait longer than the extension lasts.
  const Clock::time_point Now =
      Options_.Faults.ReviveByConsent ? Sent : Timers_.now();
  if (Options_.Faults.ReviveByConsent && !Lease_.holds(Now))
    Lease_.extendFromHeartbeat(Sent);
  const bool Extended = Lease_.extendByConsent(Sent, Now);
  Counters_.count("ownership_consent_rounds_total", 1,
                  Extended ? "result=\"extended\"" : "result=\"late\"");
  if (Extended)
    Events_.emit("ownership", "lease_extended_by_consent",
                 {{"incarnation", Incarnation_}});
}

asio::awaitable<void>
Ownership::askConsent(std::string Slot, std::shared_ptr<ConsentRound> Round) {
  peer::ConsentRequest Request;
  Request.set_incarnation(Incarnation_);
  Request.set_slot(Directory_.SelfSlot);
  Request.set_duration_ms(Options_.Lease.count());
  const auto Reply = co_await Peers_.consent(std::move(Slot), Request,
                                             Options_.ConsentTimeout);
  // A refused connection counts: whoever starts there later has no authority
  // to expire by silence until this extension is over.
  const bool Granted = Reply
                           ? Reply->granted()
                           : Reply.error().Code == ErrorCode::ConnectionRefused;
  if (!Granted)
    ++Round->Missing;
  --Round->Waiting;
  Round->Finished.notify();
}

void Ownership::checkMembers() {
  const Clock::time_point Now = Timers_.now();
  const auto *Self = State_.member(Incarnation_);
  const Clock::duration Silence = withMargin(Options_.Lease);
  for (const DomainState::Member *Member : State_.liveMembers()) {
    const std::uint64_t Incarnation = Member->Incarnation;
    if (Incarnation == Incarnation_ || Expiring_.contains(Incarnation))
      continue;
    // This process has bound the slot's address, which only one process can do
    // at a time, so the one that joined here before is gone.
    if (Member->Slot == Directory_.SelfSlot &&
        Member->JoinOrder < Self->JoinOrder) {
      expire(Incarnation, "successor");
      continue;
    }
    const Clock::time_point Seen =
        Observed_.try_emplace(Incarnation, Now).first->second;
    const bool MaySilence = StartedAt_ && (Now - *StartedAt_ >= Silence ||
                                           Options_.Faults.ExpireWithoutWait);
    // The log must work for this instance, else the silence may be its own. A
    // wrong Expire would be void then, but would cost an append.
    if (Now - Seen >= Silence && MaySilence && logReachable() &&
        !Promises_.promised(Incarnation, Now)) {
      expire(Incarnation, "silence");
      continue;
    }
    const auto Probed = LastProbe_.find(Incarnation);
    if (Now - Seen < Options_.ProbeAfter || Probing_.contains(Incarnation) ||
        (Probed != LastProbe_.end() &&
         Now - Probed->second < Options_.ProbePeriod))
      continue;
    Probing_.insert(Incarnation);
    LastProbe_[Incarnation] = Now;
    asio::co_spawn(Executor_, probeMember(Incarnation, Member->Slot),
                   asio::detached);
  }
}

asio::awaitable<void> Ownership::probeMember(std::uint64_t Incarnation,
                                             std::string Slot) {
  // The Join was read before this call starts, and the process bound the
  // address before it wrote the Join. So a refusal is about this incarnation's
  // process, not about the time before it started; a result that arrives late
  // is not applied to a member that joined in between.
  peer::HelloRequest Request;
  Request.set_slot(Directory_.SelfSlot);
  Request.set_incarnation(Incarnation_);
  const auto Reply =
      co_await Peers_.hello(Slot, Request, Options_.ProbeTimeout);
  Probing_.erase(Incarnation);
  if (Options_.Faults.JudgeLateProbe)
    if (const auto *Newest = newestMember(Slot))
      Incarnation = Newest->Incarnation;
  bool Gone = false;
  if (Reply)
    // An older process that is shutting down can still answer on an open
    // connection; only a newer one proves that the member is gone.
    Gone = Reply->incarnation() != Incarnation && !Reply->draining() &&
           isNewer(Reply->incarnation(), Incarnation);
  else
    Gone = Reply.error().Code == ErrorCode::ConnectionRefused ||
           Options_.Faults.ExpireOnSilence;
  const auto *Member = State_.member(Incarnation);
  if (Gone && !finished() && Member && Member->live() &&
      !Expiring_.contains(Incarnation))
    expire(Incarnation, "evidence");
}

void Ownership::expire(std::uint64_t Incarnation, std::string_view Reason) {
  if (!mayAct())
    return;
  const auto *Member = State_.member(Incarnation);
  records::Record Record;
  Record.mutable_expire()->set_incarnation(Incarnation);
  Record.mutable_expire()->set_based_on(Member->LastHeartbeatOffset);
  if (!Writer_.enqueue(std::move(Record)))
    return;
  Expiring_.insert(Incarnation);
  LOG(INFO) << "ownership: expires incarnation " << Incarnation << " of "
            << Member->Slot << " by " << Reason;
  Counters_.count("ownership_expires_total", 1,
                  fmt::format("reason=\"{}\"", Reason));
  Events_.emit("ownership", "expire",
               {{"peer", Member->Slot},
                {"incarnation", Incarnation},
                {"reason", Reason}});
}

// ---------------------------------------------------------------------------
// Shards

void Ownership::claimFreeShards() {
  if (!mayAct() || Draining_)
    return;
  const Clock::time_point Now = Timers_.now();
  for (std::uint32_t Range = 0; Range < KeyShardsPerDomain; ++Range)
    claimIfDue("keys/" + std::to_string(Range), Now);
  for (const std::string &Rack : Racks_)
    claimIfDue(rackShard(Rack), Now);
}

void Ownership::claimIfDue(const std::string &Shard, Clock::time_point Now) {
  const DomainState::Shard Current = State_.shard(Shard);
  const auto *Owner = State_.member(Current.Owner);
  if (Owner && Owner->live()) {
    FreeSince_.erase(Shard);
    return;
  }
  const Clock::time_point Since =
      FreeSince_.try_emplace(Shard, Now).first->second;
  const bool Preferred = preferredSlot(Shard) == Directory_.SelfSlot;
  // A first member that claimed everything at once would have to hand most of
  // it over again when the others have joined.
  if ((!Preferred && Now - Since < Options_.PreferenceWait) ||
      Now - JoinedAt_ < Options_.PreferenceWait)
    return;
  const std::uint64_t Epoch = Current.Epoch + 1;
  const auto Queued = Claiming_.find(Shard);
  if (Queued != Claiming_.end() && Queued->second == Epoch)
    return;
  records::Record Record;
  Record.mutable_claim()->set_shard(Shard);
  Record.mutable_claim()->set_epoch(Epoch);
  Record.mutable_claim()->set_incarnation(Incarnation_);
  if (!Writer_.enqueue(std::move(Record)))
    return;
  Claiming_[Shard] = Epoch;
  Counters_.count("ownership_claims_total");
}

void Ownership::balance() {
  if (!mayAct() || Draining_ || !logReachable())
    return;
  const Clock::time_point Now = Timers_.now();
  std::vector<std::string> Moving;
  for (const auto &[Shard, Since] : Held_) {
    if (Handovers_.size() + Moving.size() >= Options_.MaximumHandovers)
      break;
    if (Now - Since < Options_.RebalanceAfter || Handovers_.contains(Shard))
      continue;
    const std::string Slot = preferredSlot(Shard);
    if (Slot == Directory_.SelfSlot)
      continue;
    const auto *Receiver = newestMember(Slot);
    if (!Receiver)
      continue;
    const auto Joined = JoinSeen_.find(Receiver->Incarnation);
    const auto Seen = Observed_.find(Receiver->Incarnation);
    if (Joined == JoinSeen_.end() || Seen == Observed_.end() ||
        Now - Joined->second < Options_.RebalanceAfter ||
        Now - Seen->second >= Options_.ProbeAfter)
      continue;
    Moving.push_back(Shard);
  }
  for (const std::string &Shard : Moving)
    startHandover(Shard);
}

void Ownership::startHandover(const std::string &Shard) {
  const std::uint64_t Epoch = State_.shard(Shard).Epoch;
  const auto [It, Started] = Handovers_.try_emplace(Shard);
  if (!Started)
    return;
  const auto Copy = *Releasers_;
  It->second = {.Epoch = Epoch, .Waiting = Copy.size() + 1};
  Events_.emit("ownership", "handover", {{"shard", Shard}});
  const auto MakeDone = [this, Shard, Epoch] {
    return [this, Shard, Epoch, Guard = std::weak_ptr<char>(Alive_),
            Called = std::make_shared<bool>(false)] {
      if (Guard.expired() || std::exchange(*Called, true))
        return;
      const auto Entry = Handovers_.find(Shard);
      if (Entry == Handovers_.end() || Entry->second.Epoch != Epoch)
        return;
      if (--Entry->second.Waiting == 0)
        finishHandover(Shard, Epoch);
    };
  };
  for (const auto &[Id, Callback] : Copy)
    Callback(Shard, MakeDone());
  // The count includes this call, so that a receiver that is done at once does
  // not finish the handover before the others were told.
  MakeDone()();
}

void Ownership::finishHandover(const std::string &Shard, std::uint64_t Epoch) {
  Handovers_.erase(Shard);
  const auto Held = Held_.find(Shard);
  if (Held == Held_.end())
    return;
  // Not held from here on: once the Release is queued it may take effect at any
  // time without this instance's knowledge.
  Surrendered_[Shard] = {.Epoch = Epoch,
                         .NotBefore = Held->second + Options_.TakeoverWait};
  Held_.erase(Held);
  queueReleases();
  notify({.Shard = Shard, .Acquired = false});
}

void Ownership::queueReleases() {
  const Clock::time_point Now = Timers_.now();
  for (auto &[Shard, Given] : Surrendered_) {
    if (Given.Queued || Now < Given.NotBefore)
      continue;
    records::Record Record;
    Record.mutable_release()->set_shard(Shard);
    Record.mutable_release()->set_epoch(Given.Epoch);
    Record.mutable_release()->set_incarnation(Incarnation_);
    Given.Queued = Writer_.enqueue(std::move(Record)).has_value();
  }
}

void Ownership::writeSnapshotIfDue() {
  if (!mayAct() || State_.recordsSinceSnapshot() == 0)
    return;
  const Clock::time_point Now = Timers_.now();
  if (State_.recordsSinceSnapshot() < Options_.SnapshotRecords &&
      Now - LastSnapshot_ < Options_.SnapshotPeriod)
    return;
  for (const DomainState::Member *Member : State_.liveMembers())
    if (Member->Slot < Directory_.SelfSlot)
      return;
  // One at a time; a later one if the first one was lost with an incarnation.
  if (SnapshotQueued_ && Now - *SnapshotQueued_ < Options_.SnapshotPeriod)
    return;
  records::Record Record;
  *Record.mutable_domain_snapshot() = State_.snapshot();
  if (!Writer_.enqueue(std::move(Record)))
    return;
  SnapshotQueued_ = Now;
  Counters_.count("ownership_snapshots_total");
}

// ---------------------------------------------------------------------------
// Replayed changes

void Ownership::onDomainChange(const DomainState::Change &Event) {
  using Kind = DomainState::ChangeKind;
  const bool Own = Event.Incarnation == Incarnation_;
  const Clock::time_point Now = Timers_.now();
  switch (Event.Kind) {
  case Kind::Joined:
    Preferred_.clear();
    JoinSeen_[Event.Incarnation] = Now;
    Observed_[Event.Incarnation] = Now;
    if (Own)
      JoinedAt_ = Now;
    [[fallthrough]];
  case Kind::Heartbeat:
    // The time of reading, which is not before the time of the append.
    Observed_[Event.Incarnation] = Now;
    if (Options_.Faults.ExpireWithoutWait && !State_.caughtUp())
      Observed_[Event.Incarnation] = Now - 2 * Options_.Lease;
    if (Own)
      onOwnHeartbeat();
    else if (Event.Kind == Kind::Heartbeat)
      return;
    break;
  case Kind::Expired:
  case Kind::Left:
    Preferred_.clear();
    Observed_.erase(Event.Incarnation);
    JoinSeen_.erase(Event.Incarnation);
    LastProbe_.erase(Event.Incarnation);
    Expiring_.erase(Event.Incarnation);
    std::erase_if(DrainedFrom_, [&](const auto &Entry) {
      return Entry.second == Event.Incarnation;
    });
    if (Own && Event.Kind == Kind::Expired && !finished())
      restartIncarnation("expired");
    break;
  case Kind::ExpireVoid:
    if (Event.Author == Incarnation_)
      Expiring_.erase(Event.Incarnation);
    return;
  case Kind::Claimed:
    FreeSince_.erase(Event.Shard);
    if (Own)
      onAcquired(Event);
    return;
  case Kind::Released:
    onReleased(Event);
    break;
  case Kind::Loaded:
    onLoaded();
    break;
  case Kind::Snapshot:
    SnapshotQueued_.reset();
    LastSnapshot_ = Now;
    return;
  case Kind::CaughtUp:
    break;
  }
  Wake_.notify();
}

void Ownership::onReleased(const DomainState::Change &Event) {
  FreeSince_[Event.Shard] = Timers_.now();
  // A preferred owner that releases a shard does not want it: it is draining,
  // and the next one need not wait for it.
  const auto *Owner = State_.member(Event.Incarnation);
  if (Owner && preferredSlot(Event.Shard) == Owner->Slot)
    DrainedFrom_[Event.Shard] = Event.Incarnation;
  if (Event.Incarnation == Incarnation_)
    Surrendered_.erase(Event.Shard);
}

void Ownership::onAcquired(const DomainState::Change &Event) {
  Claiming_.erase(Event.Shard);
  Surrendered_.erase(Event.Shard);
  if (finished())
    return;
  Held_[Event.Shard] = Timers_.now();
  notify({.Shard = Event.Shard,
          .Acquired = true,
          .PreviousOwnerExpired = Event.PreviousOwnerExpired});
  // The claim was queued before the drain began.
  if (Draining_)
    startHandover(Event.Shard);
}

void Ownership::onLoaded() {
  const Clock::time_point Now = Timers_.now();
  Preferred_.clear();
  Observed_.clear();
  DrainedFrom_.clear();
  for (const DomainState::Member *Member : State_.liveMembers()) {
    Observed_[Member->Incarnation] = Now;
    JoinSeen_[Member->Incarnation] = Now;
  }
  LastSnapshot_ = Now;
  // The reader skipped records, so it is not known which heartbeats of this
  // incarnation were among them. A new incarnation is always right; its first
  // act is to expire the old one.
  if (JoinQueued_ && !finished())
    restartIncarnation("skipped");
}

void Ownership::restartIncarnation(std::string_view Reason) {
  LOG(WARNING) << "ownership: incarnation " << Incarnation_ << " " << Reason
               << "; all its shards are lost";
  Events_.emit("ownership", "incarnation_ended",
               {{"incarnation", Incarnation_}, {"reason", Reason}});
  Counters_.count("ownership_incarnations_ended_total");
  Lease_.revoke();
  LapseReported_ = true;
  Outstanding_.reset();
  LastReadBack_.reset();
  Expiring_.clear();
  Handovers_.clear();
  Surrendered_.clear();
  Claiming_.clear();
  SnapshotQueued_.reset();
  // Promises stay: they bind the process, not the incarnation.
  drawIncarnation();
  for (const auto &[Shard, Since] : std::exchange(Held_, {}))
    notify({.Shard = Shard, .Acquired = false});
}

// ---------------------------------------------------------------------------
// Helpers

bool Ownership::mayAct() const {
  const auto *Self = State_.member(Incarnation_);
  return !finished() && Self && Self->live() && Lease_.holds(Timers_.now());
}

Clock::duration Ownership::withMargin(Clock::duration Length) const {
  return Length * (100 + Options_.ClockRateMarginPercent) / 100;
}

const DomainState::Member *
Ownership::newestMember(const std::string &Slot) const {
  const DomainState::Member *Newest = nullptr;
  for (const DomainState::Member *Member : State_.liveMembers())
    if (Member->Slot == Slot &&
        (!Newest || Newest->JoinOrder < Member->JoinOrder))
      Newest = Member;
  return Newest;
}

bool Ownership::isNewer(std::uint64_t Candidate,
                        std::uint64_t Incarnation) const {
  const auto *First = State_.member(Candidate);
  const auto *Second = State_.member(Incarnation);
  // An incarnation that has not joined yet is newer than all that have.
  return !First || (Second && First->JoinOrder > Second->JoinOrder);
}

std::string Ownership::preferredSlot(const std::string &Shard) {
  if (Preferred_.empty()) {
    std::vector<std::string> Keys;
    for (std::uint32_t Range = 0; Range < KeyShardsPerDomain; ++Range)
      Keys.push_back("keys/" + std::to_string(Range));
    assignPreferred(Keys);
    std::vector<std::string> Racks;
    Racks.reserve(Racks_.size());
    for (const std::string &Rack : Racks_)
      Racks.push_back(rackShard(Rack));
    assignPreferred(Racks);
  }
  const auto Drained = DrainedFrom_.find(Shard);
  const auto Known = Preferred_.find(Shard);
  if (Drained == DrainedFrom_.end() && Known != Preferred_.end())
    return Known->second;
  std::string Best;
  std::uint64_t BestWeight = 0;
  for (const DomainState::Member *Member : State_.liveMembers()) {
    if (Drained != DrainedFrom_.end() && Drained->second == Member->Incarnation)
      continue;
    const std::uint64_t Weight = weight(Shard, Member->Slot);
    if (Best.empty() || Weight > BestWeight) {
      BestWeight = Weight;
      Best = Member->Slot;
    }
  }
  return Best;
}

void Ownership::assignPreferred(const std::vector<std::string> &Shards) {
  std::map<std::string, std::size_t> Assigned;
  for (const DomainState::Member *Member : State_.liveMembers())
    Assigned.emplace(Member->Slot, 0);
  if (Assigned.empty())
    return;
  // Rendezvous hashing alone gives one of 7 members up to half of the 8 key
  // ranges and others none, so no member gets more than an equal share.
  const std::size_t Share =
      (Shards.size() + Assigned.size() - 1) / Assigned.size();
  for (const std::string &Shard : Shards) {
    auto Best = Assigned.end();
    std::uint64_t BestWeight = 0;
    for (auto It = Assigned.begin(); It != Assigned.end(); ++It) {
      const std::uint64_t Weight = weight(Shard, It->first);
      if (It->second < Share &&
          (Best == Assigned.end() || Weight > BestWeight)) {
        Best = It;
        BestWeight = Weight;
      }
    }
    ++Best->second;
    Preferred_[Shard] = Best->first;
  }
}

} // namespace hickory
