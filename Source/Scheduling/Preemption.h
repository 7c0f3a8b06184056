#pragma once

#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A running task that preemption may stop.
struct PreemptionCandidate {
  std::string Id;
  std::uint32_t Priority = 0;
  Resources Held;
  bool NonRepeatable = false; ///< Must not run twice, so is never preempted.
  Clock::duration RunTime{0};
};

struct PreemptionOptions {
  std::size_t MaximumVictims = 4;
};

/// Returns the ids of the tasks of one worker to stop so that Need, which has
/// the given priority, fits: lowest priority first and no more than necessary.
/// Returns an empty list if Need fits already, and std::nullopt if it would
/// take more than MaximumVictims tasks, tasks of equal or higher priority, or
/// non-repeatable tasks.
std::optional<std::vector<std::string>>
chooseVictims(const Resources &Need, std::uint32_t Priority,
              const Resources &Free,
              const std::vector<PreemptionCandidate> &Running,
              const PreemptionOptions &Options = {});

} // namespace hickory
