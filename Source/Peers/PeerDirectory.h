#pragma once

#include <map>
#include <string>
#include <vector>

namespace hickory {

/// One instance's place in the cell, from the settings.
struct PeerSlot {
  std::string Slot;
  std::string FailureDomain;
  std::string Region;
  std::string Address; ///< "ip:port" of its gRPC server, as seen from here.
};

/// All slots of the cell. Fixed for the life of the process.
struct PeerDirectory {
  std::string SelfSlot;
  std::string SelfDomain;
  std::string SelfRegion;
  std::vector<PeerSlot> Slots; ///< Contains this instance too.

  [[nodiscard]] const PeerSlot *find(const std::string &Slot) const {
    for (const PeerSlot &Candidate : Slots)
      if (Candidate.Slot == Slot)
        return &Candidate;
    return nullptr;
  }
  [[nodiscard]] std::vector<PeerSlot> inDomain(const std::string &Name) const {
    std::vector<PeerSlot> Found;
    for (const PeerSlot &Candidate : Slots)
      if (Candidate.FailureDomain == Name)
        Found.push_back(Candidate);
    return Found;
  }
};

} // namespace hickory
