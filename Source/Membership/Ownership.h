#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Part.h"
#include "Base/Random.h"
#include "Base/Signal.h"
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
class Ownership final : public Part, public OwnershipView {
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
};

} // namespace hickory
