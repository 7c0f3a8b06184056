#pragma once

#include "Base/Subscription.h"
#include "Base/TimerService.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

struct ShardOwner {
  std::string Slot;
  std::uint64_t Incarnation = 0;
  std::uint64_t Epoch = 0;
};

/// What the other parts need to know of membership and ownership in this
/// instance's failure domain.
class OwnershipView {
public:
  virtual ~OwnershipView() = default;

  [[nodiscard]] virtual std::uint64_t incarnation() const = 0;

  /// End of this instance's lease. Nothing may be started, dispatched or
  /// answered for a shard at or after this time.
  [[nodiscard]] virtual Clock::time_point leaseEnd() const = 0;

  /// True if this instance owns the shard and its lease holds now.
  [[nodiscard]] virtual bool holds(const std::string &Shard) const = 0;

  /// Owner according to the log, whether or not its lease still holds.
  [[nodiscard]] virtual std::optional<ShardOwner>
  ownerOf(const std::string &Shard) const = 0;

  [[nodiscard]] virtual std::vector<std::string> heldShards() const = 0;

  /// True if the log answered recently, so that records can be kept.
  [[nodiscard]] virtual bool logReachable() const = 0;

  struct Change {
    std::string Shard;
    bool Acquired = false;
    /// Only when acquired: the previous owner did not release the shard, so
    /// commands that it sent may still be on their way.
    bool PreviousOwnerExpired = false;
  };
  /// Called after this instance acquired or lost a shard.
  [[nodiscard]] virtual Subscription
  subscribe(std::function<void(const Change &)> Callback) = 0;

  /// Called before a planned release; the receiver finishes or stops what it
  /// does for the shard, then calls Done.
  [[nodiscard]] virtual Subscription
  onRelease(std::function<void(std::string Shard, std::function<void()> Done)>
                Callback) = 0;

  /// The rack shards that exist in this domain, from the instance list.
  virtual void setRacks(std::vector<std::string> Racks) = 0;
};

inline std::string rackShard(const std::string &Rack) { return "rack/" + Rack; }

/// Ranges of idempotency keys per failure domain.
constexpr std::uint32_t KeyShardsPerDomain = 8;

/// Shard name of a key within its home domain.
std::string keyShard(const std::string &Key);

/// Home domain of a key: its prefix before the first '/' if that names a
/// domain, else chosen by hash. Domains must be sorted and not empty.
const std::string &homeDomain(const std::string &Key,
                              const std::vector<std::string> &Domains);

} // namespace hickory
