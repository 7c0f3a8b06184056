#pragma once

#include "Base/TimerService.h"
#include "Emulator/ConsumerGroup.h"
#include "Emulator/EmulatorSettings.h"
#include "Emulator/LogPartition.h"
#include "StandIns/StandInServer.h"
#include "Support/WaiterList.h"

#include <memory>

namespace hickory::emulator {

/// Emulates the platform's store: partitioned logs, the latest record of each
/// key of keyed topics, and consumer groups. It has no limits on rate or
/// volume, and records do not expire.
class EmulatedStore {
public:
  using Request = StandInServer::Request;
  using Reply = StandInServer::Reply;

  EmulatedStore(TimerService &Timers, const EmulatorSettings &Settings)
      : Timers_(Timers), Settings_(Settings) {}

  /// The length of a key is stored in one byte.
  static constexpr std::size_t MaximumKeyBytes = 255;

  /// Handles one HTTP request.
  asio::awaitable<Reply> handle(Request Incoming);
  /// Appends a record as the platform itself does, also to a topic that is
  /// read-only for callers.
  void putRecord(const std::string &Topic, const std::string &Key,
                 const std::string &Value);
  /// Answers all calls with 503 for the given time. The clock of the consumer
  /// groups is stopped meanwhile, so no member expires.
  void startOutage(milliseconds Duration);
  /// Moves all partitions of all groups to other members at once.
  void reassignAll();
  /// Removes all records from the logs; the latest record of each key remains.
  void trimAll();
  [[nodiscard]] std::uint64_t callCount() const { return CallCount_; }

private:
  struct Topic {
    std::vector<LogPartition> Partitions;
    /// By partition: when the appends that arrived so far are answered.
    std::vector<Clock::time_point> BusyUntil;
  };

  /// Creates the topic if it does not exist.
  Topic &topic(const std::string &Name);
  /// Returns the partition that a request names and sets its number; returns
  /// null if the request names none.
  LogPartition *findPartition(const Request &Incoming, std::size_t &Number);
  ConsumerGroup &group(const std::string &Name);
  /// Clock of the consumer groups, which is stopped during an outage.
  [[nodiscard]] milliseconds groupClock() const;
  [[nodiscard]] bool isInOutage() const { return Timers_.now() < OutageEnd_; }

  asio::awaitable<Reply> append(Request Incoming);
  asio::awaitable<Reply> read(Request Incoming);
  Reply latestByKey(const Request &Incoming);
  Reply trim(const Request &Incoming);
  Reply join(const json &Body);
  Reply leave(const json &Body);
  Reply commit(const json &Body);
  Reply owners(const Request &Incoming);

  TimerService &Timers_;
  const EmulatorSettings &Settings_;
  std::map<std::string, Topic> Topics_;
  std::map<std::string, ConsumerGroup> Groups_;
  std::map<std::string, std::string> TopicByGroup_;
  std::map<std::string, std::map<int, std::uint64_t>> CommittedOffsets_;
  WaiterList Appended_;
  Clock::time_point OutageEnd_{};
  milliseconds PastOutageTime_{0}; ///< Total length of the earlier outages.
  Clock::time_point OutageStart_{};
  std::uint64_t CallCount_ = 0;
};

} // namespace hickory::emulator
