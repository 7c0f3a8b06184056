#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hickory {

/// One line of a process's EventLog.
struct TimelineEvent {
  std::string Process; ///< Slot or program.
  std::string Run;     ///< Process, with "~2", "~3" ... after restarts.
  std::uint64_t Sequence = 0;
  std::chrono::microseconds Wall{0};
  std::chrono::microseconds Monotonic{0};
  std::string Part;
  std::string Name;
  nlohmann::json Fields; ///< Without those above.
  /// Time on the reference process's monotonic clock; set by ClockAligner.
  std::chrono::microseconds Aligned{0};

  /// Value of a field as text; empty if absent.
  [[nodiscard]] std::string field(const char *Key) const {
    const auto It = Fields.find(Key);
    if (It == Fields.end())
      return {};
    return It->is_string() ? It->get<std::string>() : It->dump();
  }
};

} // namespace hickory
