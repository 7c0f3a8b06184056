#pragma once

#include "Cell/ClientAccount.h"
#include "Work/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// The configuration in force, as published by the operator.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<QueuePolicy> Queues;
  /// Nothing if the configuration does not use accounts: calls then need no
  /// API key.
  std::optional<std::vector<ClientAccount>> Accounts;

  /// Returns the host's queue with the longest prefix of the path; null if
  /// there is none.
  [[nodiscard]] const QueuePolicy *findQueue(const std::string &Host,
                                             const std::string &Path) const;
  [[nodiscard]] const QueuePolicy *
  findQueueByName(const std::string &Name) const;
  /// Returns null if there is no account of the name.
  [[nodiscard]] const ClientAccount *findAccount(const std::string &Name) const;
};

} // namespace hickory
