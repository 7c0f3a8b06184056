#include "Cell/AdviserChannel.h"

#include "Base/Hash.h"

#include <algorithm>

namespace hickory {

namespace {

/// Used if the configuration states no latency target.
constexpr std::chrono::milliseconds DefaultShortCall{150};
/// Of fewer processes, all carry calls that only learn workers.
constexpr std::size_t FewestWithoutLearning = 8;

} // namespace

bool AdviserChannel::canAccept(const AdviceCost &Call,
                               Clock::time_point Now) const {
  if (CallsInFlight_ == 0)
    return true;
  return Call.Urgent && !Call.Long && CallsInFlight_ < Options_.MaximumCalls &&
         BusyUntil_ <= Now + Options_.MaximumUrgentWait;
}

std::chrono::milliseconds AdviserChannel::freeIn(Clock::time_point Now) const {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(BusyUntil_ - Now, Clock::duration::zero()));
}

void AdviserChannel::beginCall(const AdviceCost &Call, Clock::time_point Now) {
  ++CallsInFlight_;
  BusyUntil_ = std::max(BusyUntil_, Now) + Call.Time;
}

void AdviserChannel::endCall(Clock::time_point Now) {
  if (--CallsInFlight_ == 0)
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

void dropProcessesWithoutLearning(std::vector<std::string> &Processes) {
  if (Processes.size() < FewestWithoutLearning)
    return;
  // All processes drop the same ones, spread over the failure domains.
  std::ranges::sort(Processes, std::less<>(), stableHash);
  Processes.erase(Processes.begin(),
                  Processes.begin() +
                      static_cast<std::ptrdiff_t>(Processes.size() / 4));
}

} // namespace hickory
