#pragma once

#include "Base/TimerService.h"

namespace hickory {

/// Until when this instance may act. Counted on the local monotonic clock and
/// always checked against the time of use, never by a timer: a process that
/// was paused may run late callbacks after its lease has ended.
class InstanceLease {
public:
  explicit InstanceLease(Clock::duration Length) : Length_(Length) {}

  [[nodiscard]] bool holds(Clock::time_point Now) const { return Now < End_; }
  [[nodiscard]] Clock::time_point end() const { return End_; }
  /// Time from which the current extension is counted.
  [[nodiscard]] Clock::time_point start() const { return End_ - Length_; }

  /// A heartbeat that was handed to the writer at Sent was read back as valid.
  /// This may revive a lapsed lease: an Expire that stands later in the log
  /// must be based on this heartbeat or a later one to be valid.
  void extendFromHeartbeat(Clock::time_point Sent);

  /// All other slots agreed to requests sent at or after Sent. Ignored if the
  /// lease has lapsed: an Expire that was sent meanwhile by a process which has
  /// died since may still arrive in the log, and no grant covers it.
  bool extendByConsent(Clock::time_point Sent, Clock::time_point Now);

  /// Ends the lease at once.
  void revoke() { End_ = Clock::time_point(); }

private:
  Clock::duration Length_;
  Clock::time_point End_;
};

} // namespace hickory
