#pragma once

#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// The number of waiting jobs of a queue, and what it was computed from.
struct WaitingJobsCount {
  /// Nothing if some shard has no report, or only one that is too old.
  std::optional<int> Jobs;
  Clock::duration OldestReport{}; ///< Age of the oldest report.
  int MissingShards = 0;          ///< Shards without a report.
};

/// The jobs of each shard that have not started, as its owners have reported
/// them. While a shard moves, the latest report of its former owner counts
/// until it is too old.
class WaitingJobsView {
public:
  /// Age up to which a report counts, as the platform permits for the number of
  /// waiting jobs.
  static constexpr std::chrono::milliseconds MaximumAge{2000};

  explicit WaitingJobsView(int Shards) : Shards_(Shards) {}

  /// Applies the report of an owner, which was requested at RequestedAt.
  /// Ignored if a later owner of the shard has reported.
  void apply(const ShardWaitingJobs &Report, Clock::time_point RequestedAt);
  [[nodiscard]] WaitingJobsCount count(const std::string &Queue,
                                       Clock::time_point Now) const;

private:
  struct Entry {
    ShardWaitingJobs Report;
    Clock::time_point RequestedAt{};
  };

  int Shards_;
  std::map<int, Entry> Entries_; ///< By shard.
};

} // namespace hickory
