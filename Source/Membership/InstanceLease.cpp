#include "Membership/InstanceLease.h"

#include <algorithm>

namespace hickory {

void InstanceLease::extendFromHeartbeat(Clock::time_point Sent) {
  End_ = std::max(End_, Sent + Length_);
}

bool InstanceLease::extendByConsent(Clock::time_point Sent,
                                    Clock::time_point Now) {
  if (!holds(Now))
    return false;
  End_ = std::max(End_, Sent + Length_);
  return true;
}

} // namespace hickory
