#pragma once

#include "Base/TimerService.h"
#include "Cell/AccountLoad.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// The latest load reports of all owners of jobs.
///
/// A report belongs to an owner, not to a shard: the jobs of a shard that moves
/// count twice at most until the former owner's report is replaced or dropped.
class DemandView {
public:
  /// Age from which a report is dropped. The exchange takes up to 2.3 s with
  /// 45 peers.
  static constexpr std::chrono::milliseconds MaximumAge{3000};

  /// Sums by account, with loads of one priority.
  using ByAccount = std::map<std::string, AccountLoad>;
  struct Sums {
    std::map<int, ByAccount> ByPriority;
    std::size_t Reports = 0;        ///< Number of owners that are counted.
    Clock::duration OldestReport{}; ///< Age of the oldest report.
  };

  /// Replaces the owner's report. It was requested at RequestedAt; an answer to
  /// an earlier request than the latest one is ignored.
  void apply(const std::string &Owner, std::vector<AccountLoad> Loads,
             Clock::time_point RequestedAt);
  /// Adds a load to the owner's report until its next one; does nothing if
  /// there is no report.
  void add(const std::string &Owner, const AccountLoad &Load);
  /// Returns the sums of the reports that are not too old.
  [[nodiscard]] Sums sums(Clock::time_point Now) const;
  /// Drops the reports that are too old.
  void dropExpired(Clock::time_point Now);

private:
  struct Report {
    std::vector<AccountLoad> Loads;
    Clock::time_point RequestedAt{};
  };

  std::map<std::string, Report> Reports_; ///< By address of the owner.
};

} // namespace hickory
