#pragma once

#include "Base/TimerService.h"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace hickory {

/// Remembers the runs that must not start on a worker any more, because they
/// were rejected, stopped or have ended there. An owner's run numbers of a task
/// only increase, so that the highest one is enough; a later owner may use one
/// again, and tries the next one if it is rejected. An order is in transit for
/// seconds at most; older entries are dropped.
class RunTombstones {
public:
  explicit RunTombstones(std::chrono::seconds Lifetime) : Lifetime_(Lifetime) {}

  void add(const std::string &Task, int Run, Clock::time_point Now) {
    dropExpired(Now);
    Entry &Latest = ByTask_[Task];
    Latest.Run = std::max(Latest.Run, Run);
    Latest.AddedAt = Now;
    ByTime_.emplace_back(Now, Task);
  }

  [[nodiscard]] bool covers(const std::string &Task, int Run) const {
    const auto It = ByTask_.find(Task);
    return It != ByTask_.end() && It->second.Run >= Run;
  }

private:
  struct Entry {
    int Run = 0;
    Clock::time_point AddedAt{};
  };

  void dropExpired(Clock::time_point Now) {
    while (!ByTime_.empty() && Now - ByTime_.front().first > Lifetime_) {
      const auto It = ByTask_.find(ByTime_.front().second);
      // A later call of add() may have renewed the entry of the task.
      if (It != ByTask_.end() && It->second.AddedAt == ByTime_.front().first)
        ByTask_.erase(It);
      ByTime_.pop_front();
    }
  }

  std::chrono::seconds Lifetime_;
  std::unordered_map<std::string, Entry> ByTask_;
  std::deque<std::pair<Clock::time_point, std::string>> ByTime_;
};

} // namespace hickory
