#pragma once

#include "Timeline/TimelineEvent.h"

#include <string>

namespace hickory {

/// Selects events that match all criteria. An empty criterion matches every
/// event.
struct TimelineFilter {
  std::string Key;      ///< Key of a job or request; its tasks match too.
  std::string Task;     ///< `<key>#<index>`
  std::string Worker;   ///< Name of a worker or executor.
  std::string Instance; ///< Name of a process or of one of its runs.
  std::string Part;     ///< Component that emitted the event.

  [[nodiscard]] bool matches(const TimelineEvent &Event) const;
};

} // namespace hickory
