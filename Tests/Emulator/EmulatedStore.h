#pragma once

#include "Base/TimerService.h"
#include "Emulator/EmulatorSettings.h"
#include "Emulator/LogPartition.h"
#include "Emulator/MemberGroup.h"
#include "StandIns/StandInServer.h"
#include "Support/WaiterList.h"

#include <memory>

namespace hickory::emulator {

/// The platform's store: logs, newest records of keyed topics, and groups. It
/// has no limits on rate or volume, and records do not expire.
class EmulatedStore {
public:
  using Request = StandInServer::Request;
  using Reply = StandInServer::Reply;

  EmulatedStore(TimerService &Timers, const EmulatorSettings &Settings)
      : Timers_(Timers), Settings_(Settings) {}

  asio::awaitable<Reply> handle(Request Incoming);
  /// A record of the platform itself, also in topics that are closed to the
  /// system.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// Refuses all calls with 503 for so long; the time of the groups stands
  /// still.
  void refuseFor(milliseconds Time);
  void dealAnew();
  /// Drops the older records of all logs; the newest of each key remain.
  void dropHistory();
  [[nodiscard]] std::uint64_t calls() const { return Calls_; }

private:
  struct Topic {
    std::vector<LogPartition> Parts;
    std::vector<Clock::time_point> BusyUntil;
  };

  Topic &topic(const std::string &Name);
  LogPartition *partition(const Request &Incoming, std::size_t &Number);
  MemberGroup &group(const std::string &Name);
  [[nodiscard]] milliseconds groupTime() const;
  [[nodiscard]] bool isRefusing() const {
    return Timers_.now() < RefusingUntil_;
  }

  asio::awaitable<Reply> append(Request Incoming);
  asio::awaitable<Reply> read(Request Incoming);
  Reply newest(const Request &Incoming);
  Reply trim(const Request &Incoming);
  Reply join(const json &Body);
  Reply leave(const json &Body);
  Reply commit(const json &Body);
  Reply owners(const Request &Incoming);

  TimerService &Timers_;
  const EmulatorSettings &Settings_;
  std::map<std::string, Topic> Topics_;
  std::map<std::string, MemberGroup> Groups_;
  std::map<std::string, std::string> GroupTopics_;
  std::map<std::string, std::map<int, std::uint64_t>> Committed_;
  WaiterList Appended_;
  Clock::time_point RefusingUntil_{};
  milliseconds RefusedBefore_{0}; ///< Sum of the ended refusals.
  Clock::time_point RefusingSince_{};
  std::uint64_t Calls_ = 0;
};

} // namespace hickory::emulator
