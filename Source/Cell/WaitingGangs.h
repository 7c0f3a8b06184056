#pragma once

#include "Base/TimerService.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace hickory {

struct WaitingGangsOptions {
  /// Age from which a job's gang counts as waiting. Before, it learns which
  /// workers are good for it.
  std::chrono::milliseconds Patience{1500};
  /// Time for which a gang is taken to go on waiting after a report. Above the
  /// interval of exchanges.
  std::chrono::milliseconds Lifetime{1500};
};

/// The most urgent priority of the gangs that wait for capacity, of this
/// process and of those that report to it.
class WaitingGangs {
public:
  explicit WaitingGangs(TimerService &Timers, WaitingGangsOptions Options = {})
      : Timers_(Timers), Options_(Options) {}

  /// Records that a gang of this process waits, whose job was accepted then.
  void recordOwn(int Priority, Clock::time_point AcceptedAt);
  /// Records the report of another process: nothing if none of its gangs waits.
  void setRemote(const std::string &Address, std::optional<int> Priority);

  /// Returns the most urgent priority of this process's waiting gangs.
  [[nodiscard]] std::optional<int> ownPriority() const;
  /// Returns the most urgent priority of all waiting gangs.
  [[nodiscard]] std::optional<int> mostUrgent() const;

private:
  struct Report {
    int Priority = 0;
    Clock::time_point ReceivedAt{};
  };

  [[nodiscard]] bool isCurrent(const Report &Each) const {
    return Timers_.now() - Each.ReceivedAt <= Options_.Lifetime;
  }

  TimerService &Timers_;
  WaitingGangsOptions Options_;
  std::map<int, Clock::time_point> OwnSeenAt_; ///< By priority.
  std::map<std::string, Report> Remote_;       ///< By address.
};

} // namespace hickory
