#pragma once

#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Base/Random.h"
#include "Membership/ConsentTable.h"
#include "Membership/DomainState.h"
#include "Membership/InstanceLease.h"
#include "Membership/OwnershipOptions.h"
#include "Membership/OwnershipView.h"
#include "Membership/RecordAppender.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerDirectory.h"

#include <asio/any_io_executor.hpp>
#include <map>
#include <set>

namespace hickory {

/// This instance's part in its failure domain: keeps the instance lease, claims
/// and hands over shards, replaces dead members and answers consent calls.
///
/// The gRPC server must listen on the slot's address before run() is called,
/// and until drain() or stop() has returned: others take a refused connection
/// as proof that this process neither holds a lease nor expires anyone.
class Ownership final : public Component, public OwnershipView {
public:
  /// Writes as a new incarnation from the start: calls Writer.restart().
  /// References must outlive this object, and it must outlive the executor's
  /// pending work.
  Ownership(asio::any_io_executor Executor, TimerService &Timers,
            DomainState &State, RecordAppender &Writer, PeerClient &Peers,
            const PeerDirectory &Directory, Metrics &Counters, EventLog &Events,
            Random Generator, OwnershipOptions Options = {});
  ~Ownership() override;

  [[nodiscard]] std::string_view name() const override { return "ownership"; }
  asio::awaitable<Result<void>> run() override;
  /// Hands all shards over and leaves.
  asio::awaitable<void> drain() override;
  void stop() override;

  [[nodiscard]] std::uint64_t incarnation() const override {
    return Incarnation_;
  }
  [[nodiscard]] Clock::time_point leaseEnd() const override;
  [[nodiscard]] bool holds(const std::string &Shard) const override;
  [[nodiscard]] std::optional<ShardOwner>
  ownerOf(const std::string &Shard) const override;
  [[nodiscard]] std::vector<std::string> heldShards() const override;
  [[nodiscard]] bool logReachable() const override;
  [[nodiscard]] Subscription
  subscribe(std::function<void(const Change &)> Callback) override;
  [[nodiscard]] Subscription
  onRelease(std::function<void(std::string, std::function<void()>)> Callback)
      override;
  void setRacks(std::vector<std::string> Racks) override;

  /// Answers of the PeerHandler. Both must be given on the executor.
  peer::ConsentReply consent(const peer::ConsentRequest &Request);
  /// The config offset is left for the caller to fill in.
  [[nodiscard]] peer::HelloReply hello(const peer::HelloRequest &Request) const;

  [[nodiscard]] bool draining() const { return Draining_; }

private:
  /// A planned release that receivers are still preparing.
  struct Handover {
    std::uint64_t Epoch = 0;
    std::size_t Waiting = 0; ///< Receivers that have not called Done.
  };
  /// A shard that was given up; never held again under this epoch.
  struct Surrender {
    std::uint64_t Epoch = 0;
    Clock::time_point NotBefore;
    bool Queued = false;
  };
  struct ConsentRound;

  void step();
  void join();
  void sendHeartbeat();
  void startConsentRound();
  asio::awaitable<void> runConsentRound(Clock::time_point Sent);
  asio::awaitable<void> askConsent(std::string Slot,
                                   std::shared_ptr<ConsentRound> Round);
  void checkMembers();
  asio::awaitable<void> probeMember(std::uint64_t Incarnation,
                                    std::string Slot);
  void expire(std::uint64_t Incarnation, std::string_view Reason);
  void claimFreeShards();
  void claimIfDue(const std::string &Shard, Clock::time_point Now);
  void balance();
  void startHandover(const std::string &Shard);
  void finishHandover(const std::string &Shard, std::uint64_t Epoch);
  void queueReleases();
  void writeSnapshotIfDue();
  void leave();

  void onDomainChange(const DomainState::Change &Event);
  void onOwnHeartbeat();
  void onReleased(const DomainState::Change &Event);
  void onAcquired(const DomainState::Change &Event);
  void onLoaded();
  /// Loses everything and goes on as a new incarnation.
  void restartIncarnation(std::string_view Reason);
  void drawIncarnation();
  void notify(const Change &Event);

  /// True if this incarnation is a live member with an unexpired lease.
  [[nodiscard]] bool mayAct() const;
  [[nodiscard]] bool finished() const { return Left_ || Stopped_; }
  [[nodiscard]] Clock::duration withMargin(Clock::duration Length) const;
  [[nodiscard]] const DomainState::Member *
  newestMember(const std::string &Slot) const;
  [[nodiscard]] bool isNewer(std::uint64_t Candidate,
                             std::uint64_t Incarnation) const;
  /// Slot that should own the shard; every instance with the same members and
  /// racks finds the same.
  std::string preferredSlot(const std::string &Shard);
  void assignPreferred(const std::vector<std::string> &Shards);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  DomainState &State_;
  RecordAppender &Writer_;
  PeerClient &Peers_;
  const PeerDirectory &Directory_;
  Metrics &Counters_;
  EventLog &Events_;
  Random Generator_;
  OwnershipOptions Options_;
  Notifier Wake_;
  Subscription Changes_;

  InstanceLease Lease_;
  ConsentTable Promises_;
  std::uint64_t Incarnation_ = 0;
  bool Draining_ = false;
  bool Left_ = false;
  bool Stopped_ = false;
  bool LapseReported_ = true;

  /// Others may have counted a refused connection as consent until the port
  /// was bound, so silence expires nobody until a lease after this time.
  std::optional<Clock::time_point> StartedAt_;
  bool JoinQueued_ = false;
  Clock::time_point JoinedAt_;
  /// When the Join or Heartbeat that has not been read back was queued. There
  /// is one at a time, so that a read-back belongs to it and no other.
  std::optional<Clock::time_point> Outstanding_;
  Clock::time_point LastHeartbeat_;
  std::optional<Clock::time_point> LastReadBack_; ///< When that was queued.
  bool ConsentRunning_ = false;
  Clock::time_point LastConsentRound_;

  /// Local times at which records of members were read.
  std::map<std::uint64_t, Clock::time_point> Observed_;
  std::map<std::uint64_t, Clock::time_point> JoinSeen_;
  std::map<std::uint64_t, Clock::time_point> LastProbe_;
  std::set<std::uint64_t> Probing_;
  /// Expire records that are queued or on their way.
  std::set<std::uint64_t> Expiring_;

  std::set<std::string> Racks_;
  std::map<std::string, Clock::time_point> Held_; ///< And since when.
  std::map<std::string, Clock::time_point> FreeSince_;
  std::map<std::string, std::uint64_t> Claiming_; ///< Epoch of queued claim.
  std::map<std::string, Handover> Handovers_;
  std::map<std::string, Surrender> Surrendered_;
  /// Slot that released the shard although it was preferred: it is draining.
  std::map<std::string, std::uint64_t> DrainedFrom_;
  /// Cache of preferred slots; empty if it must be computed.
  std::map<std::string, std::string> Preferred_;
  std::optional<Clock::time_point> SnapshotQueued_;
  Clock::time_point LastSnapshot_;

  template <typename F> using Callbacks = std::map<std::uint64_t, F>;
  using ReleaseCallback =
      std::function<void(std::string, std::function<void()>)>;
  std::shared_ptr<Callbacks<std::function<void(const Change &)>>> Subscribers_;
  std::shared_ptr<Callbacks<ReleaseCallback>> Releasers_;
  std::uint64_t NextCallback_ = 0;
  /// Ends with this object; Done callbacks hold a weak reference.
  std::shared_ptr<char> Alive_ = std::make_shared<char>();
};

} // namespace hickory
