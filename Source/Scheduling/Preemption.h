#pragma once

#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A task on a worker, as far as preemption is concerned.
struct PreemptionCandidate {
  std::string Id;
  std::uint32_t Priority = 0;
  Resources Held;
  bool NonRepeatable = false;
  Clock::duration Ran{0};
};

struct PreemptionOptions {
  std::size_t MaximumVictims = 4;
};

/// Tasks of one worker to stop so that Need, of the given priority, fits next
/// to what is free there: lowest priority first and no more than necessary.
/// None if that takes more than the allowed number, or tasks of equal or
/// higher priority, or non-repeatable ones. Empty if Need fits already.
std::optional<std::vector<std::string>>
chooseVictims(const Resources &Need, std::uint32_t Priority,
              const Resources &Free,
              const std::vector<PreemptionCandidate> &Running,
              const PreemptionOptions &Options = {});

} // namespace hickory
