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
  /// Events kept in memory; instances have no disk.
  std::size_t Capacity = 20000;
  std::string File; ///< File to append JSON lines to; empty means none.
  bool StandardOutput = false; ///< Also write to standard output.
  /// Limit of lines written to standard output. Dropped lines are counted and
  /// reported in an event left_out.
  std::uint64_t LinesPerSecond = 200;
};

/// Bounded buffer of the latest structured events of this process.
/// hickory-timeline merges the events of all processes.
class EventLog {
public:
  EventLog(TimerService &Timers, EventLogOptions Options);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Part is the log prefix of the emitting component, Name the kind of event
  /// in lower_snake_case. Fields are flat; use the keys task, key, worker,
  /// executor, rack, shard, peer, incarnation where they apply.
  void emit(std::string_view Part, std::string_view Name,
            nlohmann::json Fields = nlohmann::json::object());

  /// Returns the events from sequence number From on as JSON lines.
  [[nodiscard]] std::string linesFrom(std::uint64_t From) const;

private:
  void writeToStandardOutput(const std::string &Line);

  TimerService &Timers_;
  EventLogOptions Options_;
  std::deque<std::string> Lines_;
  std::uint64_t NextSequence_ = 0;
  int File_ = -1;
  /// Start of the second that LinesInSecond_ covers.
  Clock::time_point SecondStart_{};
  std::uint64_t LinesInSecond_ = 0;
  std::uint64_t DroppedLines_ = 0;
};

} // namespace hickory
