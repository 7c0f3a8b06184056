#pragma once

#include "Work/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Queues in force, as the operator published them.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<QueuePolicy> Queues;

  /// Queue of the host with the longest prefix of the path; null if none.
  [[nodiscard]] const QueuePolicy *find(const std::string &Host,
                                        const std::string &Path) const;
  [[nodiscard]] const QueuePolicy *byName(const std::string &Name) const;
};

} // namespace hickory
