#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

enum class VerdictKind {
  Accepted,
  Conflict, ///< Somebody else changed one of the objects first.
  Rejected, ///< The result would not be a valid configuration.
};

/// What became of a change set. Every instance reaches the same verdict,
/// because it depends on the log alone.
struct ConfigVerdict {
  std::string Id; ///< Of the change set.
  VerdictKind Kind = VerdictKind::Rejected;
  /// Accepted: version of the configuration. Conflict: version of the object
  /// that won, 0 if it does not exist.
  std::uint64_t Version = 0;
  std::string Object;              ///< Conflict: "kind.name".
  std::vector<std::string> Errors; ///< Rejected: what to change.

  bool operator==(const ConfigVerdict &) const = default;
};

} // namespace hickory
