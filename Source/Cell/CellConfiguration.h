#pragma once

#include "Cell/ClientAccount.h"
#include "Work/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// A part of the configuration that was ignored or corrected.
struct RejectedAccount {
  std::string Name;   ///< Of the account or queue; empty if it has none.
  std::string Reason; ///< Never contains a key.
};

/// The configuration in force, as published by the operator.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<QueuePolicy> Queues;
  /// Nothing if the configuration does not use accounts: calls then need no
  /// API key.
  std::optional<std::vector<ClientAccount>> Accounts;
  std::vector<RejectedAccount> RejectedAccounts;
  /// Index in Accounts by name, made by indexAccounts().
  std::unordered_map<std::string, std::size_t> AccountIndex;

  /// Returns the host's queue with the longest prefix of the path; null if
  /// there is none.
  [[nodiscard]] const QueuePolicy *findQueue(const std::string &Host,
                                             const std::string &Path) const;
  [[nodiscard]] const QueuePolicy *
  findQueueByName(const std::string &Name) const;
  /// Makes findAccount() independent of the number of accounts. Their names
  /// must be distinct, and must not change afterwards.
  void indexAccounts();
  /// Returns null if there is no account of the name.
  [[nodiscard]] const ClientAccount *findAccount(const std::string &Name) const;
};

} // namespace hickory
