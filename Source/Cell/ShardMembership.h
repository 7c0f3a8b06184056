#pragma once

#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
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
  /// A process that is silent for so long loses its shards.
  std::chrono::milliseconds TimeToLive{1200};
  std::chrono::milliseconds JoinPeriod{300};
  std::chrono::milliseconds HoldersPeriod{400};
  /// Several tries fit in the time to live, so that one lost answer does not
  /// cost the shards. More while the store answers slowly.
  std::chrono::milliseconds JoinTimeout{300};
  std::chrono::milliseconds LongestJoinTimeout{700};
  int Shards = 24;
  /// Processor share of this process. Processes below LeastOwnerShare leave
  /// the shards to larger ones, which carry more orders each, and take some
  /// only when others have had none for ReserveWait.
  double ProcessorShare = 1;
  double LeastOwnerShare = 0.2;
  std::chrono::milliseconds ReserveWait{3000};
  /// Failed joins after which another process is asked to take this one out of
  /// the group.
  int FailuresBeforeRelief = 2;
  /// A process relieves another one only if its own calls have succeeded for
  /// so much longer than the other one's have failed.
  std::chrono::milliseconds ReliefMargin{200};
};

/// Stays in the group that deals the shards and follows who holds which.
///
/// The generation in which this process received a shard is the shard's epoch.
/// While the store is away, shards are kept: every effect on the store and on
/// workers is fenced by the epoch.
class ShardMembership final : public Component {
public:
  using Assigned = std::function<void(int Shard, std::uint64_t Epoch)>;
  using Revoked = std::function<void(int Shard)>;
  /// Asks another process to relieve this one, whose calls to the store have
  /// failed for that time. Returns whether it did.
  using RequestEviction = std::function<asio::awaitable<bool>(
      std::string Member, Clock::duration FailingFor)>;

  ShardMembership(const asio::any_io_executor &Executor, TimerService &Timers,
                  StoreClient &Store, EventLog &Events,
                  ShardMembershipOptions Options);

  void onAssigned(Assigned Callback) { Assigned_ = std::move(Callback); }
  void onRevoked(Revoked Callback) { Revoked_ = std::move(Callback); }
  void onEvictionNeeded(RequestEviction Callback) {
    RequestEviction_ = std::move(Callback);
  }

  [[nodiscard]] std::string_view name() const override { return "shards"; }
  asio::awaitable<Result<void>> run() override;
  /// Leaves the group, so that others receive the shards at once.
  asio::awaitable<void> drain() override;
  void stop() override { Stopping_ = true; }

  /// Address of the process that holds the shard; nothing if nobody does.
  [[nodiscard]] std::optional<std::string> holderOf(int Shard) const;
  /// Addresses of all processes that hold shards, without this one.
  [[nodiscard]] std::set<std::string> peers() const;
  [[nodiscard]] const std::map<int, std::uint64_t> &heldShards() const {
    return Held_;
  }
  /// False while this process leaves the shards to larger ones.
  [[nodiscard]] bool isParticipating() const { return InUse_; }
  /// Shards that the store lists with a holder.
  [[nodiscard]] std::size_t shardsWithHolder() const { return Holders_.size(); }

  /// Members have left: asks the store at once for the shards that are free.
  void requestJoin() {
    JoinDue_.notify();
    refreshHolders();
  }
  void refreshHolders() { HoldersDue_.notify(); }
  /// Called when the store has listed the holders of all shards.
  void onHolderListRead(std::function<void()> Callback) {
    HoldersReadCallback_ = std::move(Callback);
  }

  /// Takes a member that does not reach the store out of the group, so that its
  /// shards need not wait for the time to live. Returns false if the store is
  /// as likely away for all.
  asio::awaitable<bool> evictMember(std::string Member,
                                    Clock::duration FailingFor);
  /// Nothing listens at the address: its process is gone. Each member is taken
  /// out once only, since a link may refuse connections to a live process.
  asio::awaitable<void> evictMembersAt(std::string Address);

  /// A later epoch of the shard exists. It is given up, and taken again if the
  /// store still deals it to this process.
  void handleFenced(int Shard);
  /// Another member says that it holds the shard in this epoch. Returns false
  /// if a later holder is known, so that the claim is out of date.
  bool applyHolderReport(int Shard, std::uint64_t Epoch,
                         const std::string &Member);
  /// When this process learned of the term of the shard's holder; nothing if
  /// that holder has not been heard itself.
  [[nodiscard]] std::optional<Clock::time_point>
  termKnownSince(int Shard) const;
  /// True if the store, asked after that time, named the member as holder.
  [[nodiscard]] bool isListedSince(int Shard, const std::string &Member,
                                   Clock::time_point Since) const;
  [[nodiscard]] const std::string &member() const { return Options_.Member; }

private:
  /// The latest term of a shard's holder that anybody claimed.
  struct Term {
    std::uint64_t Epoch = 0;
    std::string Member;
    Clock::time_point KnownSince{};
  };

  void learn(int Shard, std::uint64_t Epoch, const std::string &Member);
  asio::awaitable<void> readHolders();
  asio::awaitable<void> followHolders();
  /// Members of that address, without this process.
  [[nodiscard]] std::vector<std::string>
  membersAt(const std::string &Address) const;
  /// Members of former processes at this address are gone: their shards need
  /// not wait for the time to live.
  asio::awaitable<void> removePredecessors();
  /// Returns when this process is needed as an owner.
  asio::awaitable<void> waitInReserve();
  void apply(const GroupMembership &Membership, bool Interrupted);
  void revoke(int Shard);
  void revokeAll();
  asio::awaitable<void> askRelief();
  void noteJoin(bool Succeeded, Clock::time_point SentAt);

  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  ShardMembershipOptions Options_;
  Assigned Assigned_;
  Revoked Revoked_;
  RequestEviction RequestEviction_;
  std::map<int, std::uint64_t> Held_;
  std::map<int, std::uint64_t> FencedAt_; ///< Epoch that was refused.
  std::map<int, std::string> Holders_;
  std::map<int, Term> Terms_;
  std::map<int, std::string> Listed_; ///< Members that the store named.
  Clock::time_point ListedAt_{};      ///< When the store was asked for these.
  std::function<void()> HoldersReadCallback_;
  Notifier JoinDue_;
  Notifier HoldersDue_;
  std::uint64_t Generation_ = 0;
  Clock::time_point LastJoin_{};
  ResponseTimeEstimator StoreAnswers_;
  /// Begin of the calls since which all joins succeeded, or all failed.
  std::optional<Clock::time_point> HealthySince_;
  std::optional<Clock::time_point> FailingSince_;
  std::set<std::string> Members_; ///< With shards, as last read.
  std::set<std::string> Removed_;
  bool InUse_ = true;
  bool HoldersRead_ = false; ///< The latest read succeeded.
  bool Stopping_ = false;
  bool Left_ = false;
};

} // namespace hickory
