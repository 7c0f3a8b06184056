#include "Jobs/CellView.h"

#include <algorithm>

namespace hickory {

namespace {

/// Older summaries are not used to choose racks. Summaries are sent to other
/// failure domains every two seconds by default, so that six consecutive ones
/// may be lost.
constexpr std::chrono::seconds MaximumSummaryAge{15};

std::uint64_t subtract(std::uint64_t From, std::uint64_t Amount) {
  return From > Amount ? From - Amount : 0;
}

void subtractFrom(records::Resources &Free, const records::Resources &Used) {
  Free.set_cpus_milli(subtract(Free.cpus_milli(), Used.cpus_milli()));
  Free.set_memory_mb(subtract(Free.memory_mb(), Used.memory_mb()));
  Free.set_accelerators(static_cast<std::uint32_t>(
      subtract(Free.accelerators(), Used.accelerators())));
}

} // namespace

void CellView::update(peer::SummaryRequest Summary) {
  const std::string Slot = Summary.slot();
  SummariesBySlot_[Slot] = {std::move(Summary), Timers_.now()};
}

std::optional<std::string>
CellView::keyShardOwner(const std::string &Domain,
                        const std::string &Shard) const {
  const ReceivedSummary *Latest = nullptr;
  for (const auto &[Slot, Entry] : SummariesBySlot_) {
    if (Entry.Summary.failure_domain() != Domain)
      continue;
    const auto &Shards = Entry.Summary.key_shards();
    if (std::find(Shards.begin(), Shards.end(), Shard) == Shards.end())
      continue;
    if (Latest == nullptr || Entry.ReceivedAt > Latest->ReceivedAt)
      Latest = &Entry;
  }
  if (Latest == nullptr)
    return std::nullopt;
  return Latest->Summary.slot();
}

std::optional<RackLocation> CellView::findRack(const std::string &Rack) const {
  std::optional<RackLocation> Found;
  Clock::time_point FoundAt{};
  for (const auto &[Slot, Entry] : SummariesBySlot_)
    for (const peer::RackLoad &Load : Entry.Summary.racks())
      if (Load.rack() == Rack && (!Found || Entry.ReceivedAt > FoundAt)) {
        const PeerSlot *Peer = Directory_.find(Slot);
        Found = RackLocation{.Slot = Slot,
                             .FailureDomain = Entry.Summary.failure_domain(),
                             .Region = Peer == nullptr ? "" : Peer->Region,
                             .Incarnation = Entry.Summary.incarnation(),
                             .Load = Load};
        FoundAt = Entry.ReceivedAt;
      }
  return Found;
}

std::vector<RackLocation> CellView::freshRacks() const {
  std::vector<RackLocation> Racks;
  const Clock::time_point Now = Timers_.now();
  for (const auto &[Slot, Entry] : SummariesBySlot_) {
    if (Now - Entry.ReceivedAt > MaximumSummaryAge || Entry.Summary.draining())
      continue;
    const PeerSlot *Peer = Directory_.find(Slot);
    for (const peer::RackLoad &Load : Entry.Summary.racks())
      Racks.push_back({.Slot = Slot,
                       .FailureDomain = Entry.Summary.failure_domain(),
                       .Region = Peer == nullptr ? "" : Peer->Region,
                       .Incarnation = Entry.Summary.incarnation(),
                       .Load = Load});
  }
  return Racks;
}

void CellView::consume(const std::string &Rack, const records::Resources &Used,
                       std::uint32_t Slots) {
  for (auto &[Slot, Entry] : SummariesBySlot_)
    for (peer::RackLoad &Load : *Entry.Summary.mutable_racks())
      if (Load.rack() == Rack) {
        subtractFrom(*Load.mutable_free(), Used);
        subtractFrom(*Load.mutable_largest_free(), Used);
        Load.set_free_slots(
            static_cast<std::uint32_t>(subtract(Load.free_slots(), Slots)));
      }
}

void CellView::markFull(const std::string &Rack) {
  for (auto &[Slot, Entry] : SummariesBySlot_)
    for (peer::RackLoad &Load : *Entry.Summary.mutable_racks())
      if (Load.rack() == Rack)
        Load.clear_largest_free();
}

std::vector<peer::SummaryRequest> CellView::summaries() const {
  std::vector<peer::SummaryRequest> All;
  All.reserve(SummariesBySlot_.size());
  for (const auto &[Slot, Entry] : SummariesBySlot_)
    All.push_back(Entry.Summary);
  return All;
}

} // namespace hickory
