#pragma once

#include "Cell/CellRecords.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// An entry of the platform's list that does not describe a usable worker.
struct RejectedEntry {
  std::string Key;
  std::string Reason;
};

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
  /// Returns the unusable entries, with the reason, that apply() has found
  /// since the previous call. An entry is returned once as long as its reason
  /// is the same.
  std::vector<RejectedEntry> takeRejected() {
    return std::exchange(NewlyRejected_, {});
  }
  /// Number of entries that are unusable now.
  [[nodiscard]] std::size_t rejected() const { return Rejected_.size(); }

private:
  bool store(const std::string &Key, WorkerEntry Entry);
  /// Removes an entry that is gone, or that is unusable for the reason given.
  bool remove(const std::string &Key, const std::string &Reason);

  const CellRecords &Records_;
  std::map<std::string, WorkerEntry> Workers_;
  std::map<std::string, std::string> Rejected_; ///< Reason by key.
  std::vector<RejectedEntry> NewlyRejected_;
};

} // namespace hickory
