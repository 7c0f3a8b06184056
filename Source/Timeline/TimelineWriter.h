#pragma once

#include "Timeline/ClockAligner.h"

#include <string>
#include <vector>

namespace hickory {

/// Returns comment lines ("# ...") with the offset of each clock and how it was
/// determined.
std::string formatOffsets(const ClockAligner &Clocks);

/// Returns one line per event, in the given order.
std::string formatTimelineText(const std::vector<TimelineEvent> &Events,
                               const ClockAligner &Clocks);

/// Returns a trace in the Chrome trace event format: an instant event per
/// event, a complete event per call in the caller's thread, and a flow from
/// each caller to its callee.
std::string formatChromeTrace(const std::vector<TimelineEvent> &Events,
                              const ClockAligner &Clocks);

} // namespace hickory
