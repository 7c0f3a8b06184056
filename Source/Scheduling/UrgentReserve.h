#pragma once

#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <deque>

namespace hickory {

struct UrgentReserveOptions {
  /// Demand that arrives within one slot must find room at once. The slot is
  /// the time limit for urgent starts.
  Clock::duration Slot = std::chrono::milliseconds(2700);
  /// How long the largest demand is remembered.
  Clock::duration Memory = std::chrono::minutes(10);
  double Margin = 1.25;
  /// Largest part of the capacity that is kept free. Capacity kept free is lost
  /// to other work, and preemption covers rarer peaks.
  double MaximumFraction = 0.02;
};

/// How much capacity a rack owner keeps free for urgent work: the largest
/// recent demand of one slot with a margin, up to a fraction of the capacity.
class UrgentReserve {
public:
  explicit UrgentReserve(TimerService &Timers,
                         UrgentReserveOptions Options = {})
      : Timers_(Timers), Options_(Options) {}

  /// Urgent work arrived, whether or not it found room.
  void recordDemand(const Resources &Demand);
  [[nodiscard]] Resources headroom(const Resources &Total) const;
  /// True if non-urgent work may take Need without touching the reserve.
  [[nodiscard]] bool allowsNonUrgent(const Resources &Need,
                                     const Resources &Free,
                                     const Resources &Total) const;

private:
  struct SlotDemand {
    Clock::time_point Start{};
    Resources Demand;
  };

  TimerService &Timers_;
  UrgentReserveOptions Options_;
  std::deque<SlotDemand> Slots_;
};

} // namespace hickory
