#pragma once

#include <algorithm>
#include <cstdint>
#include <set>

namespace hickory {

/// Numbers of the ends that one incarnation of a worker lists. They rise from
/// 1. A worker lists an end until its number, or a higher one, is acknowledged.
class EndNumbers {
public:
  /// Returns true if the end was added before.
  [[nodiscard]] bool contains(std::int64_t Number) const {
    return Number <= acknowledged() || Accepted_.contains(Number) ||
           Unaccepted_.contains(Number);
  }
  /// Adds an end that the owner of its job has not accepted yet.
  void add(std::int64_t Number) {
    Highest_ = std::max(Highest_, Number);
    Unaccepted_.insert(Number);
  }
  /// Records that the owner of the job has accepted the end.
  void accept(std::int64_t Number) {
    Unaccepted_.erase(Number);
    Accepted_.insert(Number);
    Accepted_.erase(Accepted_.begin(), Accepted_.upper_bound(acknowledged()));
  }
  [[nodiscard]] bool allAccepted() const { return Unaccepted_.empty(); }
  /// Returns the highest number up to which all ends are accepted.
  [[nodiscard]] std::int64_t acknowledged() const {
    return Unaccepted_.empty() ? Highest_ : *Unaccepted_.begin() - 1;
  }
  /// Counts the ends that are not accepted as accepted, as the worker no longer
  /// lists them.
  void dropUnaccepted() { Unaccepted_.clear(); }
  /// Begins with the numbers of a new incarnation.
  void restart() { *this = EndNumbers(); }

private:
  std::set<std::int64_t> Unaccepted_;
  std::set<std::int64_t> Accepted_; ///< Behind one that is not.
  std::int64_t Highest_ = 0;
};

} // namespace hickory
