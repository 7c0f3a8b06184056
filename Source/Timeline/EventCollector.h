#pragma once

#include "Timeline/TimelineEvent.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Gathers the event lines of many processes. The same run of a process may
/// come from several sources; a process that restarted counts as another run,
/// because its sequence, and possibly its monotonic clock, starts again.
class EventCollector {
public:
  /// Adds the JSON lines of one source. Lines that are not events are counted;
  /// the last line of a process that was killed may be incomplete.
  void addLines(const std::string &Text);

  /// All events, by run and sequence.
  [[nodiscard]] std::vector<TimelineEvent> take();

  [[nodiscard]] std::size_t malformedLines() const { return Malformed_; }

private:
  using Run = std::map<std::uint64_t, TimelineEvent>;

  void addRun(const std::string &Process, Run Events);

  std::map<std::string, std::vector<Run>> Runs_;
  std::size_t Malformed_ = 0;
};

} // namespace hickory
