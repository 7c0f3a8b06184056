#pragma once

#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/TimerService.h"
#include "Cell/StoreClient.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hickory {

struct KeyedFollowerOptions {
  std::string Name;
  std::string Topic;
  int Partition = 0;
  std::chrono::milliseconds PollWait{1500};
  /// Pause between two reads, so that many changes cost few calls.
  std::chrono::milliseconds ReadPause{300};
  /// Nothing is read while this function is set and returns false.
  std::function<bool()> IsNeeded;
};

/// Maintains a copy of the newest record of each key of a topic.
class KeyedFollower final : public Component {
public:
  /// Receives all values, and the keys that were written or deleted since the
  /// previous call.
  using ChangeCallback =
      std::function<void(const std::map<std::string, std::string> &Values,
                         const std::set<std::string> &Changed)>;

  KeyedFollower(TimerService &Timers, StoreClient &Store, EventLog &Events,
                KeyedFollowerOptions Options, ChangeCallback OnChange);

  [[nodiscard]] std::string_view name() const override { return Options_.Name; }
  asio::awaitable<Result<void>> run() override;
  void stop() override { Stopping_ = true; }
  /// Returns false until the first complete read.
  [[nodiscard]] bool isReady() const { return Ready_; }

private:
  asio::awaitable<bool> readNewest();
  asio::awaitable<bool> readTail();
  std::set<std::string> apply(std::vector<KeyedRecord> Records);

  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  KeyedFollowerOptions Options_;
  ChangeCallback OnChange_;
  std::map<std::string, std::string> Values_;
  std::uint64_t NextOffset_ = 0;
  bool Ready_ = false;
  bool Reachable_ = true;
  bool Stopping_ = false;
};

} // namespace hickory
