#pragma once

#include "Cell/CellRecords.h"

#include <map>
#include <set>
#include <string>

namespace hickory {

/// The usable workers of the platform's list. Parses only the records that have
/// changed: each worker rewrites its record with every heartbeat, usually
/// without a change that matters here.
class WorkerList {
public:
  explicit WorkerList(const CellRecords &Records) : Records_(Records) {}

  /// Applies the records with the changed keys. Returns true if a worker was
  /// added or removed, or if its entry changed.
  bool apply(const std::map<std::string, std::string> &Values,
             const std::set<std::string> &Changed);
  [[nodiscard]] const std::map<std::string, WorkerEntry> &workers() const {
    return Workers_;
  }

private:
  const CellRecords &Records_;
  std::map<std::string, WorkerEntry> Workers_;
};

} // namespace hickory
