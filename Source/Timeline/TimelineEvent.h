#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hickory {

/// One event that a process wrote to its EventLog.
struct TimelineEvent {
  std::string Process; ///< Name of the slot or program.
  /// Name of the run: Process, with the suffix "~2", "~3" ... after restarts.
  std::string Run;
  std::uint64_t Sequence = 0;
  std::chrono::microseconds WallTime{0};
  std::chrono::microseconds MonotonicTime{0};
  std::string Part; ///< Component that emitted the event.
  std::string Name;
  nlohmann::json Fields; ///< All fields except the members above.
  /// Time on the reference process's monotonic clock; set by ClockAligner.
  std::chrono::microseconds AlignedTime{0};

  /// Returns the value of a field as text; empty if absent.
  [[nodiscard]] std::string field(const char *Key) const {
    const auto It = Fields.find(Key);
    if (It == Fields.end())
      return {};
    return It->is_string() ? It->get<std::string>() : It->dump();
  }
};

} // namespace hickory
