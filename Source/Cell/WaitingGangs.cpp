#include "Cell/WaitingGangs.h"

#include <algorithm>

namespace hickory {

void WaitingGangs::recordOwn(int Priority, Clock::time_point AcceptedAt) {
  const Clock::time_point Now = Timers_.now();
  if (Now - AcceptedAt >= Options_.Patience)
    OwnSeenAt_[Priority] = Now;
}

void WaitingGangs::setRemote(const std::string &Address,
                             std::optional<int> Priority) {
  if (Priority)
    Remote_[Address] = {.Priority = *Priority, .ReceivedAt = Timers_.now()};
  else
    Remote_.erase(Address);
}

std::optional<int> WaitingGangs::ownPriority() const {
  const Clock::time_point Now = Timers_.now();
  for (const auto &[Priority, SeenAt] : OwnSeenAt_)
    if (Now - SeenAt <= Options_.Lifetime)
      return Priority;
  return std::nullopt;
}

std::optional<int> WaitingGangs::mostUrgent() const {
  std::optional<int> Found = ownPriority();
  for (const auto &[Address, Each] : Remote_)
    if (isCurrent(Each))
      Found = std::min(Found.value_or(Each.Priority), Each.Priority);
  return Found;
}

} // namespace hickory
