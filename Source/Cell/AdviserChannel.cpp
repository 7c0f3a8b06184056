#include "Cell/AdviserChannel.h"

#include <algorithm>

namespace hickory {

namespace {

/// For configurations that state no latency target.
constexpr std::chrono::milliseconds DefaultShortCall{150};

} // namespace

bool AdviserChannel::takes(const AdviceCost &Call,
                           Clock::time_point Now) const {
  if (Calls_ == 0)
    return true;
  return Call.Urgent && !Call.Long && Calls_ < Options_.MostCalls &&
         BusyUntil_ <= Now + Options_.UrgentWait;
}

void AdviserChannel::begin(const AdviceCost &Call, Clock::time_point Now) {
  ++Calls_;
  BusyUntil_ = std::max(BusyUntil_, Now) + Call.Time;
}

void AdviserChannel::end(Clock::time_point Now) {
  if (--Calls_ == 0)
    BusyUntil_ = Now;
}

std::chrono::milliseconds maxShortCallTime(const CellConfiguration &In) {
  std::chrono::milliseconds Shortest{0};
  for (const QueuePolicy &Queue : In.Queues)
    if (Queue.Priority == 0 && Queue.TargetLatency.count() > 0 &&
        (Shortest.count() == 0 || Queue.TargetLatency < Shortest))
      Shortest = Queue.TargetLatency;
  return Shortest.count() == 0 ? DefaultShortCall : Shortest / 2;
}

std::set<std::string> processesForCalls(bool Long,
                                        const std::set<std::string> &Owners,
                                        const std::set<std::string> &Helpers) {
  std::vector<std::string> All(Helpers.begin(), Helpers.end());
  std::ranges::set_difference(Owners, Helpers, std::back_inserter(All));
  const std::size_t ForLong = std::max(Helpers.size(), (All.size() + 1) / 2);
  const auto Border = All.begin() + static_cast<std::ptrdiff_t>(ForLong);
  if (Long || Border == All.end())
    return {All.begin(), Border};
  return {Border, All.end()};
}

} // namespace hickory
