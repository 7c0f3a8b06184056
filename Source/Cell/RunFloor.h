#pragma once

#include "Base/TimerService.h"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace hickory {

/// Remembers which runs of a task may not start on a worker any more, because
/// they were refused, stopped or have ended there. Run numbers of a task only
/// rise, so the highest one is enough. An order is on its way for seconds at
/// most; older entries are dropped.
class RunFloor {
public:
  explicit RunFloor(std::chrono::seconds Lifetime) : Lifetime_(Lifetime) {}

  void raise(const std::string &Task, int Run, Clock::time_point Now) {
    dropOld(Now);
    Entry &Known = Highest_[Task];
    Known.Run = std::max(Known.Run, Run);
    Known.At = Now;
    Order_.emplace_back(Now, Task);
  }

  [[nodiscard]] bool covers(const std::string &Task, int Run) const {
    const auto It = Highest_.find(Task);
    return It != Highest_.end() && It->second.Run >= Run;
  }

private:
  struct Entry {
    int Run = 0;
    Clock::time_point At{};
  };

  void dropOld(Clock::time_point Now) {
    while (!Order_.empty() && Now - Order_.front().first > Lifetime_) {
      const auto It = Highest_.find(Order_.front().second);
      // A later entry of the same task may have raised it again.
      if (It != Highest_.end() && It->second.At == Order_.front().first)
        Highest_.erase(It);
      Order_.pop_front();
    }
  }

  std::chrono::seconds Lifetime_;
  std::unordered_map<std::string, Entry> Highest_;
  std::deque<std::pair<Clock::time_point, std::string>> Order_;
};

} // namespace hickory
