#pragma once

#include "Base/TimerService.h"
#include "Peer.pb.h"
#include "Peers/PeerDirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Where a rack is owned, and what was free there when its owner last told.
struct RackLocation {
  std::string Slot;
  std::string FailureDomain;
  std::string Region;
  std::uint64_t Incarnation = 0;
  peer::RackLoad Load;
};

/// What this instance knows of all other instances from their summaries. Free
/// capacity in it is a hint; the rack owner decides.
class CellView {
public:
  CellView(TimerService &Timers, const PeerDirectory &Directory)
      : Timers_(Timers), Directory_(Directory) {}

  void update(peer::SummaryRequest Summary);

  /// Slot that owns a key shard of a domain according to its last summary.
  [[nodiscard]] std::optional<std::string>
  keyShardOwner(const std::string &Domain, const std::string &Shard) const;

  /// Owner of a rack according to the latest summary that names it.
  [[nodiscard]] std::optional<RackLocation>
  findRack(const std::string &Rack) const;

  /// Racks in summaries that are recent enough to place work by.
  [[nodiscard]] std::vector<RackLocation> freshRacks() const;

  /// Notes capacity that this instance has just used up elsewhere, so that it
  /// does not send more work there before the next summary.
  void consume(const std::string &Rack, const records::Resources &Used,
               std::uint32_t Slots);

  /// Nothing is placed on the rack before the next summary that names it.
  void markFull(const std::string &Rack);

  [[nodiscard]] std::vector<peer::SummaryRequest> summaries() const;

private:
  struct Heard {
    peer::SummaryRequest Summary;
    Clock::time_point At;
  };

  TimerService &Timers_;
  const PeerDirectory &Directory_;
  std::map<std::string, Heard> BySlot_;
};

} // namespace hickory
