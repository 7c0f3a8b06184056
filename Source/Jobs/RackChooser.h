#pragma once

#include "Backends/RackService.h"
#include "Config/ConfigView.h"
#include "Jobs/CellView.h"
#include "Membership/OwnershipView.h"
#include "Peers/PeerClient.h"

#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Chooses racks for work and calls their owners, which may be this instance or
/// another one. Prefers the racks of this instance, then those of its failure
/// domain, then those of its region.
class RackChooser {
public:
  RackChooser(OwnershipView &Ownership, const PeerDirectory &Directory,
              CellView &Cell, RackService &LocalRacks, PeerClient &Peers)
      : Ownership_(Ownership), Directory_(Directory), Cell_(Cell),
        LocalRacks_(LocalRacks), Peers_(Peers) {}

  /// Returns the racks with free executor slots, nearest first and, at equal
  /// distance, those with the most free slots first.
  [[nodiscard]] std::vector<RackLocation>
  executorRacks(const std::optional<PoolConfig> &Pool) const;

  /// Returns the racks with workers, nearest first and, at equal distance,
  /// those with the least free CPU first, which preserves large free blocks.
  [[nodiscard]] std::vector<RackLocation> workerRacks(bool OwnDomainOnly) const;

  /// Chooses a rack for each of Tasks tasks and subtracts their resources from
  /// Available, a list from workerRacks(). Returns fewer racks and leaves
  /// Available unchanged if the free resources are not sufficient.
  std::vector<RackLocation> chooseRacks(std::vector<RackLocation> &Available,
                                        const std::optional<PoolConfig> &Pool,
                                        const records::Resources &PerTask,
                                        std::uint32_t Tasks) const;

  /// Excludes a remote rack from placement until its owner's next summary.
  /// Called when the rack refused a task that appeared to fit.
  void markFull(const std::string &Rack) { Cell_.markFull(Rack); }

  [[nodiscard]] bool isInOwnDomain(const RackLocation &Rack) const {
    return Rack.FailureDomain == Directory_.SelfDomain;
  }

  /// Returns the last known owner of a rack. The load is only set if the owner
  /// is known from a summary.
  [[nodiscard]] std::optional<RackLocation>
  locate(const std::string &Rack) const;

  asio::awaitable<Result<peer::ExecuteReply>>
  execute(RackLocation Rack, peer::ExecuteRequest Request);
  asio::awaitable<Result<peer::PlaceReply>> place(RackLocation Rack,
                                                  peer::PlaceRequest Request);
  asio::awaitable<Result<peer::ReserveReply>>
  reserve(RackLocation Rack, peer::ReserveRequest Request);
  asio::awaitable<Result<peer::TaskStatusReply>>
  taskStatus(RackLocation Rack, peer::TaskStatusRequest Request);
  asio::awaitable<Result<peer::StopTaskReply>>
  stopTask(RackLocation Rack, peer::StopTaskRequest Request);

private:
  [[nodiscard]] std::vector<RackLocation> allRacks() const;
  [[nodiscard]] int distance(const RackLocation &Rack) const;
  [[nodiscard]] bool isLocal(const RackLocation &Rack) const {
    return Rack.Slot == Directory_.SelfSlot;
  }

  OwnershipView &Ownership_;
  const PeerDirectory &Directory_;
  CellView &Cell_;
  RackService &LocalRacks_;
  PeerClient &Peers_;
};

} // namespace hickory
