#pragma once

#include "Base/TimerService.h"
#include "Peer.pb.h"
#include "Peers/PeerDirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// The owner of a rack and its load according to the owner's latest summary.
struct RackLocation {
  std::string Slot;
  std::string FailureDomain;
  std::string Region;
  std::uint64_t Incarnation = 0;
  peer::RackLoad Load;
};

/// The latest summary received from each other instance. The free capacity in
/// a summary is only a hint; the rack owner decides whether work fits.
class CellView {
public:
  CellView(TimerService &Timers, const PeerDirectory &Directory)
      : Timers_(Timers), Directory_(Directory) {}

  /// Replaces the previous summary of the slot that sent this one.
  void update(peer::SummaryRequest Summary);

  /// Returns the slot that owns a key shard of a failure domain according to
  /// the latest summary that lists the shard.
  [[nodiscard]] std::optional<std::string>
  keyShardOwner(const std::string &Domain, const std::string &Shard) const;

  /// Returns the owner of a rack according to the latest summary that lists
  /// the rack.
  [[nodiscard]] std::optional<RackLocation>
  findRack(const std::string &Rack) const;

  /// Returns the racks in summaries that are recent enough to place work by.
  /// Racks of draining instances are left out.
  [[nodiscard]] std::vector<RackLocation> freshRacks() const;

  /// Subtracts resources and executor slots that this instance has just used
  /// on a remote rack, so that it does not overcommit the rack before the next
  /// summary arrives.
  void consume(const std::string &Rack, const records::Resources &Used,
               std::uint32_t Slots);

  /// Excludes the rack from placement until the next summary that lists it.
  void markFull(const std::string &Rack);

  [[nodiscard]] std::vector<peer::SummaryRequest> summaries() const;

private:
  struct ReceivedSummary {
    peer::SummaryRequest Summary;
    Clock::time_point ReceivedAt;
  };

  TimerService &Timers_;
  const PeerDirectory &Directory_;
  std::map<std::string, ReceivedSummary> SummariesBySlot_;
};

} // namespace hickory
