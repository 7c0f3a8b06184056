#include "Membership/DomainState.h"

#include <algorithm>

namespace hickory {

namespace {

/// A member that ended this many offsets ago is forgotten. At the planned 56
/// batches/s per domain this is about 10 hours, far longer than an append can
/// be delayed.
constexpr std::uint64_t ForgetAfterOffsets = 2'000'000;

} // namespace

void DomainState::onBatch(std::uint64_t Offset,
                          const records::RecordBatch &Batch) {
  Covers_ = Offset;
  RecordsSinceSnapshot_ += static_cast<std::uint64_t>(Batch.records_size());
  const std::uint64_t Author = Batch.incarnation();
  // The reader drops duplicates too, but a reader that started from a snapshot
  // has not seen the first copy. The state has, through last_sequence.
  const auto Known = Members_.find(Author);
  if (Known != Members_.end() && !Faults_.CountDuplicates &&
      Batch.sequence() <= Known->second.LastSequence)
    return;
  for (const records::Record &Record : Batch.records())
    apply(Offset, Author, Record);
  const auto Member = Members_.find(Author);
  if (Member != Members_.end())
    Member->second.LastSequence =
        std::max(Member->second.LastSequence, Batch.sequence());
}

void DomainState::apply(std::uint64_t Offset, std::uint64_t Author,
                        const records::Record &Record) {
  using Kind = records::Record;
  if (Record.kind_case() == Kind::kJoin)
    return applyJoin(Offset, Author, Record.join());
  if (Record.kind_case() == Kind::kDomainSnapshot) {
    RecordsSinceSnapshot_ = 0;
    return notify({.Kind = ChangeKind::Snapshot, .Author = Author});
  }
  // Fencing: whatever an expired, departed or unknown incarnation wrote has no
  // effect, so its successor can rely on what it read at its claim.
  Member *Writer = findLive(Author);
  if (!Writer)
    return;
  switch (Record.kind_case()) {
  case Kind::kHeartbeat:
    if (Record.heartbeat().incarnation() != Author)
      return;
    Writer->LastHeartbeatOffset = Offset;
    return notify({.Kind = ChangeKind::Heartbeat,
                   .Incarnation = Author,
                   .Author = Author});
  case Kind::kExpire:
    return applyExpire(Author, Record.expire());
  case Kind::kLeave:
    if (Record.leave().incarnation() != Author)
      return;
    Writer->Left = true;
    return notify(
        {.Kind = ChangeKind::Left, .Incarnation = Author, .Author = Author});
  case Kind::kClaim:
    return applyClaim(Author, Record.claim());
  case Kind::kRelease:
    return applyRelease(Author, Record.release());
  case Kind::kJobAccepted:
  case Kind::kIntent:
  case Kind::kAssign:
  case Kind::kTaskEnded:
  case Kind::kOutcome:
  case Kind::kUsage:
  case Kind::kJobCancelled:
    if (Sink_)
      Sink_->apply(Offset, Author, Record);
    return;
  default:
    return; // Records of other streams have no meaning here.
  }
}

void DomainState::applyJoin(std::uint64_t Offset, std::uint64_t Author,
                            const records::Join &Join) {
  // An incarnation joins once. A second Join must not undo an Expire.
  if (Join.incarnation() != Author || Author == 0 || Members_.contains(Author))
    return;
  forgetOldMembers(Offset);
  Member &Added = Members_[Author];
  Added.Slot = Join.slot();
  Added.Incarnation = Author;
  Added.JoinOrder = NextJoinOrder_++;
  Added.LastHeartbeatOffset = Offset;
  notify({.Kind = ChangeKind::Joined, .Incarnation = Author, .Author = Author});
}

void DomainState::applyExpire(std::uint64_t Author,
                              const records::Expire &Expire) {
  Member *Target = findLive(Expire.incarnation());
  // A heartbeat that the writer of the Expire had not read may have extended
  // the target's lease, so the Expire is void.
  if (!Target || (Target->LastHeartbeatOffset > Expire.based_on() &&
                  !Faults_.IgnoreBasedOn))
    return notify({.Kind = ChangeKind::ExpireVoid,
                   .Incarnation = Expire.incarnation(),
                   .Author = Author});
  Target->Expired = true;
  notify({.Kind = ChangeKind::Expired,
          .Incarnation = Expire.incarnation(),
          .Author = Author});
}

void DomainState::applyClaim(std::uint64_t Author,
                             const records::Claim &Claim) {
  if (Claim.incarnation() != Author)
    return;
  Shard &Claimed = Shards_[Claim.shard()];
  if (findLive(Claimed.Owner) || Claim.epoch() != Claimed.Epoch + 1)
    return;
  const bool PreviousOwnerExpired = Claimed.Owner != 0;
  Claimed.Epoch = Claim.epoch();
  Claimed.Owner = Author;
  notify({.Kind = ChangeKind::Claimed,
          .Incarnation = Author,
          .Author = Author,
          .Shard = Claim.shard(),
          .Epoch = Claim.epoch(),
          .PreviousOwnerExpired = PreviousOwnerExpired});
}

void DomainState::applyRelease(std::uint64_t Author,
                               const records::Release &Release) {
  const auto It = Shards_.find(Release.shard());
  if (It == Shards_.end() || It->second.Owner != Author ||
      It->second.Epoch != Release.epoch())
    return;
  It->second.Owner = 0;
  notify({.Kind = ChangeKind::Released,
          .Incarnation = Author,
          .Author = Author,
          .Shard = Release.shard(),
          .Epoch = Release.epoch()});
}

void DomainState::forgetOldMembers(std::uint64_t Offset) {
  // Decided by the stream alone, so that all instances forget the same members.
  // The last owner of a shard is kept: it shows that the shard was not
  // released.
  std::erase_if(Members_, [&](const auto &Entry) {
    const Member &Old = Entry.second;
    return !Old.live() &&
           Old.LastHeartbeatOffset + ForgetAfterOffsets < Offset &&
           std::none_of(Shards_.begin(), Shards_.end(), [&](const auto &Item) {
             return Item.second.Owner == Old.Incarnation;
           });
  });
}

std::optional<std::uint64_t>
DomainState::loadSnapshot(const records::RecordBatch &Batch) {
  for (const records::Record &Record : Batch.records()) {
    if (!Record.has_domain_snapshot())
      continue;
    const records::DomainSnapshot &Snapshot = Record.domain_snapshot();
    Members_.clear();
    Shards_.clear();
    NextJoinOrder_ = 0;
    for (const auto &Saved : Snapshot.members()) {
      Member &Loaded = Members_[Saved.incarnation()];
      Loaded.Slot = Saved.slot();
      Loaded.Incarnation = Saved.incarnation();
      Loaded.JoinOrder = NextJoinOrder_++;
      Loaded.LastHeartbeatOffset = Saved.last_heartbeat_offset();
      Loaded.LastSequence = Saved.last_sequence();
      Loaded.Expired = Saved.expired();
      Loaded.Left = Saved.left();
    }
    for (const auto &Saved : Snapshot.shards())
      Shards_[Saved.shard()] = {.Epoch = Saved.epoch(), .Owner = Saved.owner()};
    Covers_ = Snapshot.covers();
    RecordsSinceSnapshot_ = 0;
    if (Sink_)
      Sink_->load(Snapshot);
    notify({.Kind = ChangeKind::Loaded});
    return Covers_;
  }
  return std::nullopt;
}

LastSequences DomainState::lastSequences() const {
  LastSequences Known;
  for (const auto &[Incarnation, Entry] : Members_)
    Known.emplace(Incarnation, Entry.LastSequence);
  return Known;
}

void DomainState::onCaughtUp(std::uint64_t /*Next*/) {
  CaughtUp_ = true;
  notify({.Kind = ChangeKind::CaughtUp});
}

records::DomainSnapshot DomainState::snapshot() const {
  records::DomainSnapshot Snapshot;
  Snapshot.set_covers(Covers_);
  // In order of joining, from which the loader restores JoinOrder.
  std::vector<const Member *> Ordered;
  Ordered.reserve(Members_.size());
  for (const auto &[Incarnation, Entry] : Members_)
    Ordered.push_back(&Entry);
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Member *Left, const Member *Right) {
              return Left->JoinOrder < Right->JoinOrder;
            });
  for (const Member *Entry : Ordered) {
    auto &Saved = *Snapshot.add_members();
    Saved.set_slot(Entry->Slot);
    Saved.set_incarnation(Entry->Incarnation);
    Saved.set_last_heartbeat_offset(Entry->LastHeartbeatOffset);
    Saved.set_last_sequence(Entry->LastSequence);
    Saved.set_expired(Entry->Expired);
    Saved.set_left(Entry->Left);
  }
  for (const auto &[Name, Entry] : Shards_) {
    auto &Saved = *Snapshot.add_shards();
    Saved.set_shard(Name);
    Saved.set_epoch(Entry.Epoch);
    Saved.set_owner(Entry.Owner);
  }
  if (Sink_)
    Sink_->save(Snapshot);
  return Snapshot;
}

const DomainState::Member *
DomainState::member(std::uint64_t Incarnation) const {
  const auto It = Members_.find(Incarnation);
  return It == Members_.end() ? nullptr : &It->second;
}

std::vector<const DomainState::Member *> DomainState::liveMembers() const {
  std::vector<const Member *> Live;
  for (const auto &[Incarnation, Entry] : Members_)
    if (Entry.live())
      Live.push_back(&Entry);
  return Live;
}

DomainState::Shard DomainState::shard(const std::string &Name) const {
  const auto It = Shards_.find(Name);
  return It == Shards_.end() ? Shard{} : It->second;
}

std::optional<ShardOwner> DomainState::ownerOf(const std::string &Name) const {
  const auto It = Shards_.find(Name);
  if (It == Shards_.end())
    return std::nullopt;
  const Member *Owner = member(It->second.Owner);
  if (!Owner || !Owner->live())
    return std::nullopt;
  return ShardOwner{Owner->Slot, Owner->Incarnation, It->second.Epoch};
}

DomainState::Member *DomainState::findLive(std::uint64_t Incarnation) {
  const auto It = Members_.find(Incarnation);
  if (It == Members_.end())
    return nullptr;
  return It->second.live() || Faults_.ApplyVoidRecords ? &It->second : nullptr;
}

Subscription
DomainState::subscribe(std::function<void(const Change &)> Callback) {
  const std::uint64_t Id = NextCallback_++;
  Callbacks_->emplace(Id, std::move(Callback));
  return Subscription([Callbacks = Callbacks_, Id] { Callbacks->erase(Id); });
}

void DomainState::notify(const Change &Event) {
  for (const auto &[Id, Callback] : *Callbacks_)
    Callback(Event);
}

} // namespace hickory
