#pragma once

#include "Base/TimerService.h"
#include "Cell/CellConfiguration.h"

#include <set>
#include <string>
#include <vector>

namespace hickory {

/// What a call to the adviser means for its line.
struct AdviceCost {
  std::chrono::milliseconds Time{0}; ///< That the adviser needs for it.
  bool Urgent = false;
  /// So long that an urgent call must not wait behind it.
  bool Long = false;
};

struct AdviserChannelOptions {
  /// An urgent call joins the calls on a line that are done within this time.
  std::chrono::milliseconds UrgentWait{60};
  /// The adviser refuses calls when 32 of a process wait.
  std::size_t MostCalls = 16;
};

/// The calls of one process to the adviser, which handles them in turn.
class AdviserChannel {
public:
  explicit AdviserChannel(AdviserChannelOptions Options = {})
      : Options_(Options) {}

  /// True if the call may be sent now. Urgent calls may wait for short ones;
  /// others need an idle line, so that an urgent one finds little to wait for.
  [[nodiscard]] bool takes(const AdviceCost &Call, Clock::time_point Now) const;
  void begin(const AdviceCost &Call, Clock::time_point Now);
  /// The adviser has answered a call, or it was given up.
  void end(Clock::time_point Now);

private:
  AdviserChannelOptions Options_;
  std::size_t Calls_ = 0;
  Clock::time_point BusyUntil_{}; ///< By the stated times of the calls.
};

/// Longest call behind which an urgent call may wait: half of the shortest
/// latency target of the most urgent queues.
std::chrono::milliseconds maxShortCallTime(const CellConfiguration &In);

/// Processes whose lines carry long calls, or the others, which carry short
/// ones only. Answers loads where long calls would hold all lines at a time and
/// urgent steps could ask nowhere: processes that own no shards carry long
/// calls first, and at least half of all lines do. With one process, its line
/// carries both.
std::set<std::string> processesForCalls(bool Long,
                                        const std::set<std::string> &Owners,
                                        const std::set<std::string> &Helpers);

} // namespace hickory
