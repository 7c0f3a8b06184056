#pragma once

#include "Timeline/TimelineEvent.h"

#include <string>

namespace hickory {

/// Chooses events. An empty text matches every event.
struct TimelineFilter {
  std::string Key;      ///< Events of the job or request and of its tasks.
  std::string Task;     ///< `<key>#<index>`
  std::string Worker;   ///< Worker or executor.
  std::string Instance; ///< Process, with or without the number of its run.
  std::string Part;

  [[nodiscard]] bool matches(const TimelineEvent &Event) const;
};

} // namespace hickory
