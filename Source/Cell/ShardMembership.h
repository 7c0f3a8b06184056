#pragma once

#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"
#include "Cell/ResponseTimeEstimator.h"
#include "Cell/StoreClient.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct ShardMembershipOptions {
  std::string Group = "shards";
  std::string Topic = "keyed.journal";
  std::string Member; ///< ADDRESS/INCARNATION of this process.
  /// A member that has not joined for this time loses its shards.
  std::chrono::milliseconds TimeToLive{1200};
  std::chrono::milliseconds JoinPeriod{300};
  std::chrono::milliseconds HolderListPeriod{400};
  /// Timeout of a join call. Several attempts fit into TimeToLive, so that one
  /// lost response does not cost the shards. It grows up to LongestJoinTimeout
  /// while the store responds slowly.
  std::chrono::milliseconds JoinTimeout{300};
  std::chrono::milliseconds LongestJoinTimeout{700};
  int Shards = 24;
  /// Share of a processor that this process has. A process below
  /// MinimumOwnerShare is on standby: it leaves the shards to larger processes,
  /// which can handle more orders each, and joins the group only when some
  /// shards have had no holder for StandbyWait.
  double ProcessorShare = 1;
  double MinimumOwnerShare = 0.2;
  std::chrono::milliseconds StandbyWait{3000};
  /// Number of consecutive failed joins after which another process is asked to
  /// remove this one from the group.
  int FailuresBeforeRemoval = 2;
  /// A process removes a member only if its own joins have succeeded for longer
  /// than the member's have failed, by at least this margin.
  std::chrono::milliseconds RemovalMargin{200};
};

/// Keeps this process a member of the store's group that assigns the shards,
/// and tracks which process holds each shard.
///
/// A shard is a part of the jobs and of the workers. Its holder is the process
/// to which the group assigns it. The holder manages the workers of the shard
/// (see WorkerPool) and is the owner of its jobs (see JobOwner). The holder of
/// a worker is the holder of the worker's shard, and the owner of a job is the
/// holder of the job's shard.
///
/// The generation in which this process received a shard is the shard's epoch.
/// While the store is unreachable, shards are kept: this is safe, as every
/// write to the store and every order to a worker is fenced by the epoch.
class ShardMembership final : public Component {
public:
  using Assigned = std::function<void(int Shard, std::uint64_t Epoch)>;
  using Revoked = std::function<void(int Shard)>;
  /// Asks another process to remove this member, whose calls to the store have
  /// failed for FailingFor. Returns whether it was removed.
  using RequestRemoval = std::function<asio::awaitable<bool>(
      std::string Member, Clock::duration FailingFor)>;

  ShardMembership(const asio::any_io_executor &Executor, TimerService &Timers,
                  StoreClient &Store, EventLog &Events,
                  ShardMembershipOptions Options);

  void onAssigned(Assigned Callback) { Assigned_ = std::move(Callback); }
  void onRevoked(Revoked Callback) { Revoked_ = std::move(Callback); }
  void onRemovalNeeded(RequestRemoval Callback) {
    RequestRemoval_ = std::move(Callback);
  }

  [[nodiscard]] std::string_view name() const override { return "shards"; }
  asio::awaitable<Result<void>> run() override;
  /// Leaves the group, so that its shards are reassigned at once.
  asio::awaitable<void> drain() override;
  void stop() override { Stopping_ = true; }

  /// Returns the address of the process that holds the shard; nothing if no
  /// holder is known.
  [[nodiscard]] std::optional<std::string> holderOf(int Shard) const;
  /// Returns the addresses of all other processes that hold shards.
  [[nodiscard]] std::set<std::string> peers() const;
  /// Returns the shards that this process holds, with their epochs.
  [[nodiscard]] const std::map<int, std::uint64_t> &heldShards() const {
    return Held_;
  }
  /// Returns when the latest successful join was sent. The held shards were not
  /// assigned to another process by then.
  [[nodiscard]] Clock::time_point confirmedAt() const { return LastJoin_; }
  /// Returns false while this process is on standby.
  [[nodiscard]] bool isParticipating() const { return Participating_; }
  /// Returns the number of shards with a known holder.
  [[nodiscard]] std::size_t shardsWithHolder() const { return Holders_.size(); }

  /// Joins again at once, to receive the shards of members that have left.
  void requestJoin() {
    JoinDue_.notify();
    refreshHolders();
  }
  /// Requests a new holder list from the store.
  void refreshHolders() { HolderListDue_.notify(); }
  /// Sets the callback for a new holder list from the store.
  void onHolderListRead(std::function<void()> Callback) {
    HolderListReadCallback_ = std::move(Callback);
  }

  /// Removes a member that cannot reach the store from the group, so that its
  /// shards are reassigned before its time to live ends. Returns false if the
  /// removal fails, or without an attempt if the store may be unreachable for
  /// all processes.
  asio::awaitable<bool> removeMember(std::string Member,
                                     Clock::duration FailingFor);
  /// Removes the members at an address that refuses connections, which usually
  /// means that the process has ended. The removal of each member is attempted
  /// only once, since a faulty link may refuse connections to a live process.
  asio::awaitable<void> removeMembersAt(std::string Address);

  /// Gives up the shard, of which a later epoch exists. It is taken again if
  /// the store assigns it to this process in a generation after that of the
  /// lost epoch.
  void handleFenced(int Shard);
  /// Records that a member reports itself as the holder of the shard in this
  /// epoch. Returns false if a later epoch is known, so that the report is
  /// stale.
  bool applyHolderReport(int Shard, std::uint64_t Epoch,
                         const std::string &Member);
  /// Returns the latest term of the shard that its holder has reported; epoch 0
  /// if there is none.
  [[nodiscard]] ShardEpoch latestTerm(int Shard) const;
  /// Returns true if a holder list that was requested at or after Since names
  /// the process that has reported the latest term.
  [[nodiscard]] bool isLatestTermListedSince(int Shard,
                                             Clock::time_point Since) const;
  /// Returns the time at which this process learned of the current term of the
  /// shard; nothing if the shard's holder has not reported that term itself.
  [[nodiscard]] std::optional<Clock::time_point>
  termKnownSince(int Shard) const;
  /// Returns true if a holder list that was requested at or after Since names
  /// the member as the shard's holder.
  [[nodiscard]] bool isListedSince(int Shard, const std::string &Member,
                                   Clock::time_point Since) const;
  [[nodiscard]] const std::string &member() const { return Options_.Member; }

private:
  /// The latest known term of a shard, as reported by its holder.
  struct Term {
    std::uint64_t Epoch = 0;
    std::string Member;
    Clock::time_point KnownSince{};
  };

  void recordTerm(int Shard, std::uint64_t Epoch, const std::string &Member);
  asio::awaitable<void> readHolders();
  asio::awaitable<void> followHolders();
  /// Returns the members at the address, except this process.
  [[nodiscard]] std::vector<std::string>
  membersAt(const std::string &Address) const;
  /// Removes the members of earlier processes at this address, which have
  /// ended, so that their shards are reassigned before their time to live ends.
  asio::awaitable<void> removePredecessors();
  /// Returns when some shards have had no holder for StandbyWait.
  asio::awaitable<void> waitOnStandby();
  void apply(const GroupMembership &Membership, bool Interrupted);
  void revoke(int Shard);
  void revokeAll();
  asio::awaitable<void> requestRemoval();
  void recordJoinResult(bool Succeeded, Clock::time_point SentAt);

  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  ShardMembershipOptions Options_;
  Assigned Assigned_;
  Revoked Revoked_;
  RequestRemoval RequestRemoval_;
  std::map<int, std::uint64_t> Held_;
  std::map<int, std::uint64_t> FencedAt_; ///< Epochs that were fenced.
  std::map<int, std::string> Holders_;
  std::map<int, Term> Terms_;
  std::map<int, std::string> ListedHolders_; ///< As listed by the store.
  Clock::time_point ListedAt_{};             ///< Time of that request.
  std::function<void()> HolderListReadCallback_;
  Notifier JoinDue_;
  Notifier HolderListDue_;
  std::uint64_t Generation_ = 0;
  Clock::time_point LastJoin_{};
  ResponseTimeEstimator StoreResponseTimes_;
  /// Time since which all joins have succeeded, or have failed.
  std::optional<Clock::time_point> HealthySince_;
  std::optional<Clock::time_point> FailingSince_;
  std::set<std::string> Members_; ///< Members with shards, as last read.
  std::set<std::string> Removed_;
  bool Participating_ = true;
  bool HolderListRead_ = false; ///< The latest request succeeded.
  bool Stopping_ = false;
  bool Left_ = false;
  bool Joining_ = false; ///< A join, or the leave that undoes it, is in flight.
};

} // namespace hickory
