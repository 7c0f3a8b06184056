#pragma once

#include "Timeline/TimelineEvent.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Merges the event lines of many processes. Several sources may contain the
/// same run of a process. A restarted process counts as a new run, because its
/// sequence, and possibly its monotonic clock, starts again.
class EventCollector {
public:
  /// Adds the JSON lines of one source. Lines that are not events are counted
  /// as malformed and skipped; a killed process may leave an incomplete last
  /// line.
  void addLines(const std::string &Text);

  /// Removes all events and returns them, ordered by run and sequence.
  [[nodiscard]] std::vector<TimelineEvent> takeEvents();

  [[nodiscard]] std::size_t malformedLines() const { return Malformed_; }

private:
  using Run = std::map<std::uint64_t, TimelineEvent>;

  /// Merges Events into the run of the process that they belong to, or adds
  /// them as a new run.
  void addRun(const std::string &Process, Run Events);

  std::map<std::string, std::vector<Run>> Runs_;
  std::size_t Malformed_ = 0;
};

} // namespace hickory
