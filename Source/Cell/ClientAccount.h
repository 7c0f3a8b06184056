#pragma once

#include "Scheduling/Resources.h"

#include <string>
#include <vector>

namespace hickory {

/// Configuration of one client account.
struct ClientAccount {
  std::string Name;
  /// SHA-256 digests of the API keys. The keys themselves are not kept, so that
  /// they can't appear in logs or messages.
  std::vector<std::string> KeyDigests;
  /// Share of the cell relative to that of the other accounts while capacity is
  /// short, and the number of jobs a second that the account is entitled to.
  double Weight = 1;
  /// Most that the account's tasks may use at the same time over all workers; 0
  /// is no limit.
  Resources Cap;
};

} // namespace hickory
