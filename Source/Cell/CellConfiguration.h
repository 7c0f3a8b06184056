#pragma once

#include "Work/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// The configuration in force, as published by the operator.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<QueuePolicy> Queues;

  /// Returns the host's queue with the longest prefix of the path; null if
  /// there is none.
  [[nodiscard]] const QueuePolicy *findQueue(const std::string &Host,
                                             const std::string &Path) const;
  [[nodiscard]] const QueuePolicy *
  findQueueByName(const std::string &Name) const;
};

} // namespace hickory
