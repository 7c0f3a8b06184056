#pragma once

#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <deque>

namespace hickory {

struct UrgentReserveOptions {
  /// The reserve covers the urgent demand of one interval of this length, which
  /// is the time limit for the start of urgent work.
  Clock::duration Interval = std::chrono::milliseconds(2700);
  /// How long the demand of an interval counts.
  Clock::duration PeakRetention = std::chrono::minutes(10);
  double Margin = 1.25; ///< Factor on the peak demand.
  /// Maximum fraction of the capacity that is kept free. Free capacity is lost
  /// to other work, and preemption covers rarer peaks.
  double MaximumFraction = 0.02;
};

/// Computes how much capacity a rack owner keeps free for urgent work: the peak
/// demand of recent intervals with a margin, up to a fraction of the capacity.
class UrgentReserve {
public:
  explicit UrgentReserve(TimerService &Timers,
                         UrgentReserveOptions Options = {})
      : Timers_(Timers), Options_(Options) {}

  /// Records urgent work that arrived, whether or not it could be placed.
  void recordDemand(const Resources &Demand);
  /// Amount to keep free if the capacity is Total.
  [[nodiscard]] Resources headroom(const Resources &Total) const;
  /// True if non-urgent work may use Need without reducing the reserve.
  [[nodiscard]] bool allowsNonUrgent(const Resources &Need,
                                     const Resources &Free,
                                     const Resources &Total) const;

private:
  struct IntervalDemand {
    Clock::time_point Start{};
    Resources Demand;
  };

  TimerService &Timers_;
  UrgentReserveOptions Options_;
  std::deque<IntervalDemand> Intervals_;
};

} // namespace hickory
