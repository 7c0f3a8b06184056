#pragma once

#include "Base/Subscription.h"
#include "Log/LogReader.h"
#include "Membership/JobRecordSink.h"
#include "Membership/OwnershipView.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// Membership and ownership of one failure domain, replayed from its stream.
/// Every instance that has read the same prefix of the stream is in the same
/// state, so nothing here depends on time or on the local instance.
class DomainState final : public LogConsumer {
public:
  struct Member {
    std::string Slot;
    std::uint64_t Incarnation = 0;
    std::uint64_t JoinOrder = 0;           ///< Higher: joined later.
    std::uint64_t LastHeartbeatOffset = 0; ///< Of the last Join or Heartbeat.
    std::uint64_t LastSequence = 0;
    bool Expired = false;
    bool Left = false;
    [[nodiscard]] bool live() const { return !Expired && !Left; }
    bool operator==(const Member &) const = default;
  };

  struct Shard {
    std::uint64_t Epoch = 0;
    /// Last owner; 0 if it released the shard. The shard is free if the owner
    /// is 0 or no longer live.
    std::uint64_t Owner = 0;
    bool operator==(const Shard &) const = default;
  };

  enum class ChangeKind {
    Joined,
    Heartbeat,
    Expired,
    ExpireVoid, ///< An Expire of Incarnation had no effect.
    Left,
    Claimed,
    Released,
    Snapshot, ///< A snapshot was read; it changes nothing.
    Loaded,   ///< The whole state was replaced by a snapshot.
    CaughtUp,
  };
  struct Change {
    ChangeKind Kind = ChangeKind::Joined;
    std::uint64_t Incarnation = 0; ///< The member concerned.
    std::uint64_t Author = 0;      ///< The incarnation that wrote the record.
    std::string Shard = {};
    std::uint64_t Epoch = 0;
    /// Only for Claimed: the previous owner did not release the shard.
    bool PreviousOwnerExpired = false;
  };

  /// Protections that tests remove. Never set in a daemon.
  struct Faults {
    bool IgnoreBasedOn = false;    ///< Every Expire is valid.
    bool ApplyVoidRecords = false; ///< Records of expired members count.
    bool CountDuplicates = false;  ///< A batch appended twice counts twice.
  };

  /// Sink may be null; it must outlive this object.
  explicit DomainState(JobRecordSink *Sink = nullptr) : Sink_(Sink) {}
  DomainState(JobRecordSink *Sink, Faults Removed)
      : Sink_(Sink), Faults_(Removed) {}

  /// For a sink that is created after this object. Call it before the replay
  /// starts.
  void setSink(JobRecordSink &Sink) { Sink_ = &Sink; }

  void onBatch(std::uint64_t Offset,
               const records::RecordBatch &Batch) override;
  std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) override;
  [[nodiscard]] LastSequences lastSequences() const override;
  void onCaughtUp(std::uint64_t Next) override;

  /// The state at the last delivered offset.
  [[nodiscard]] records::DomainSnapshot snapshot() const;
  /// Records delivered since the last snapshot was read.
  [[nodiscard]] std::uint64_t recordsSinceSnapshot() const {
    return RecordsSinceSnapshot_;
  }

  [[nodiscard]] bool caughtUp() const { return CaughtUp_; }
  /// Null if the incarnation never joined or was forgotten.
  [[nodiscard]] const Member *member(std::uint64_t Incarnation) const;
  [[nodiscard]] std::vector<const Member *> liveMembers() const;
  /// Epoch 0 if it was never claimed.
  [[nodiscard]] Shard shard(const std::string &Name) const;
  /// Nothing if the shard is free.
  [[nodiscard]] std::optional<ShardOwner>
  ownerOf(const std::string &Name) const;
  [[nodiscard]] const std::map<std::string, Shard> &shards() const {
    return Shards_;
  }

  /// Called after each change. The callback must not end its own subscription.
  [[nodiscard]] Subscription
  subscribe(std::function<void(const Change &)> Callback);

private:
  void apply(std::uint64_t Offset, std::uint64_t Author,
             const records::Record &Record);
  void applyJoin(std::uint64_t Offset, std::uint64_t Author,
                 const records::Join &Join);
  void applyExpire(std::uint64_t Author, const records::Expire &Expire);
  void applyClaim(std::uint64_t Author, const records::Claim &Claim);
  void applyRelease(std::uint64_t Author, const records::Release &Release);
  void forgetOldMembers(std::uint64_t Offset);
  [[nodiscard]] Member *findLive(std::uint64_t Incarnation);
  void notify(const Change &Event);

  JobRecordSink *Sink_;
  Faults Faults_;
  std::map<std::uint64_t, Member> Members_;
  std::map<std::string, Shard> Shards_;
  std::uint64_t Covers_ = 0;
  std::uint64_t NextJoinOrder_ = 0;
  std::uint64_t RecordsSinceSnapshot_ = 0;
  bool CaughtUp_ = false;
  using Callbacks =
      std::map<std::uint64_t, std::function<void(const Change &)>>;
  std::shared_ptr<Callbacks> Callbacks_ = std::make_shared<Callbacks>();
  std::uint64_t NextCallback_ = 0;
};

} // namespace hickory
