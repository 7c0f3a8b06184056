#pragma once

#include "Base/TimerService.h"

#include <cstdint>

namespace hickory {

/// Converts a duration to whole milliseconds, for logs and messages.
inline std::int64_t toMilliseconds(Clock::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace hickory
