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

/// Chooses racks for work and calls their owners, here or on another instance.
/// Work stays near: own racks, own failure domain, own region, then the rest.
class RackChooser {
public:
  RackChooser(OwnershipView &Ownership, const PeerDirectory &Directory,
              CellView &Cell, RackService &LocalRacks, PeerClient &Peers)
      : Ownership_(Ownership), Directory_(Directory), Cell_(Cell),
        LocalRacks_(LocalRacks), Peers_(Peers) {}

  /// Racks with executors that have free slots, nearest and emptiest first.
  [[nodiscard]] std::vector<RackLocation>
  forRequests(const std::optional<PoolConfig> &Pool) const;

  /// Racks with workers, nearest first and among equals the fullest first, so
  /// that large free blocks are kept.
  [[nodiscard]] std::vector<RackLocation> workerRacks(bool OwnDomainOnly) const;

  /// Chooses a rack for each of Tasks tasks and takes their room out of Known,
  /// a list from workerRacks(). Returns fewer if there is not enough room.
  std::vector<RackLocation> takeRoom(std::vector<RackLocation> &Known,
                                     const std::optional<PoolConfig> &Pool,
                                     const records::Resources &PerTask,
                                     std::uint32_t Tasks) const;

  /// A rack refused a task although it seemed to have room; it is left alone
  /// until its owner's next summary.
  void noteRefused(const std::string &Rack) { Cell_.markFull(Rack); }

  [[nodiscard]] bool inOwnDomain(const RackLocation &Rack) const {
    return Rack.FailureDomain == Directory_.SelfDomain;
  }

  /// Current owner of a rack, as far as known.
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
