#pragma once

#include "Base/TimerService.h"

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hickory {

struct EventLogOptions {
  std::string Process; ///< Slot name, or the name of the program.
  std::size_t Capacity =
      20000;        ///< Events kept in memory; instances have no disk.
  std::string File; ///< Also append JSON lines here unless empty.
  bool StandardOutput = false; ///< Also write to standard output.
  /// Bounds what is written under load; what is left out is counted.
  std::uint64_t LinesPerSecond = 200;
};

/// Bounded record of what happened in this process. hickory-timeline merges
/// the records of all processes.
class EventLog {
public:
  EventLog(TimerService &Timers, EventLogOptions Options);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Part is the fixed log prefix of the part, Name the kind of event in
  /// lower_snake_case. Fields are flat; use the keys task, key, worker,
  /// executor, rack, shard, peer, incarnation where they apply.
  void emit(std::string_view Part, std::string_view Name,
            nlohmann::json Fields = nlohmann::json::object());

  /// JSON lines of the events from sequence From on.
  [[nodiscard]] std::string linesFrom(std::uint64_t From) const;

private:
  void writeToOutput(const std::string &Line);

  TimerService &Timers_;
  EventLogOptions Options_;
  std::deque<std::string> Lines_;
  std::uint64_t NextSequence_ = 0;
  int File_ = -1;
  Clock::time_point Second_{}; ///< Begin of the second that Written_ counts.
  std::uint64_t Written_ = 0;
  std::uint64_t LeftOut_ = 0;
};

} // namespace hickory
