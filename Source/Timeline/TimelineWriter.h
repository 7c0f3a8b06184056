#pragma once

#include "Timeline/ClockAligner.h"

#include <string>
#include <vector>

namespace hickory {

/// Lines "# ..." that say how far each clock was off and how that is known.
std::string formatOffsets(const ClockAligner &Clocks);

/// One line per event, in the order given.
std::string formatTimelineText(const std::vector<TimelineEvent> &Events,
                               const ClockAligner &Clocks);

/// Chrome trace format: an instant per event, a span per call at its caller,
/// and a flow from each caller to its callee.
std::string formatChromeTrace(const std::vector<TimelineEvent> &Events,
                              const ClockAligner &Clocks);

} // namespace hickory
