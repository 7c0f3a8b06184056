#pragma once

#include "Base/TimerService.h"
#include "Cell/CellConfiguration.h"

#include <set>
#include <string>
#include <vector>

namespace hickory {

/// Cost of a call to the adviser for the channel that carries it.
struct AdviceCost {
  std::chrono::milliseconds Time{0}; ///< Estimated time in the adviser.
  bool Urgent = false;
  /// The call takes so long that an urgent call must not wait behind it.
  bool Long = false;
  /// The call only learns which workers are good for a gang. Others wait for a
  /// ticket, some of them with reserved capacity.
  bool Learning = false;
};

struct AdviserChannelOptions {
  /// An urgent call may wait on a busy channel if the calls in flight are
  /// estimated to complete within this time.
  std::chrono::milliseconds MaximumUrgentWait{60};
  /// The adviser refuses calls of a process once 32 of them wait.
  std::size_t MaximumCalls = 16;
};

/// Tracks the calls in flight from one process to the adviser, which handles
/// them one after the other.
class AdviserChannel {
public:
  explicit AdviserChannel(AdviserChannelOptions Options = {})
      : Options_(Options) {}

  /// Returns true if the call may be sent now. Urgent calls may wait behind
  /// short ones; all other calls need an idle channel, so that urgent calls do
  /// not have to wait long.
  [[nodiscard]] bool canAccept(const AdviceCost &Call,
                               Clock::time_point Now) const;
  /// Returns the time until the calls in flight are estimated to complete.
  [[nodiscard]] std::chrono::milliseconds freeIn(Clock::time_point Now) const;
  void beginCall(const AdviceCost &Call, Clock::time_point Now);
  /// Records that a call was answered or has failed.
  void endCall(Clock::time_point Now);

private:
  AdviserChannelOptions Options_;
  std::size_t CallsInFlight_ = 0;
  Clock::time_point BusyUntil_{}; ///< By the calls' estimates.
};

/// Returns the longest call behind which an urgent call may wait: half of the
/// shortest latency target of the most urgent queues.
std::chrono::milliseconds maxShortCallTime(const CellConfiguration &In);

/// Returns the processes whose channels carry long calls, or the remaining
/// ones, whose channels carry only short calls. The split prevents long calls
/// from occupying all channels at a time, which would leave none to urgent
/// steps. Helpers, which own no shards, are the first to carry long calls, and
/// at least half of all channels do. A single process carries both.
std::set<std::string> processesForCalls(bool Long,
                                        const std::set<std::string> &Owners,
                                        const std::set<std::string> &Helpers);

/// Removes the quarter of the processes whose channels carry no calls that only
/// learn workers. Otherwise such calls would occupy all channels, and gangs
/// would wait for tickets with capacity reserved. Keeps all of fewer than
/// eight.
void dropProcessesWithoutLearning(std::vector<std::string> &Processes);

} // namespace hickory
