#pragma once

#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"
#include "Cell/StoreClient.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hickory {

/// Reads the records of a topic from another process that follows it.
class KeyedRelay {
public:
  virtual ~KeyedRelay() = default;
  /// Returns the records from the offset From on, after waiting up to Wait if
  /// there are none. Returns nothing if no process can be asked, or if those
  /// that were asked may not know the latest records. Failing is the time for
  /// which the caller's reads of the store have failed; 0 if they have not.
  virtual asio::awaitable<std::optional<RecordsReply>>
  read(std::uint64_t From, std::chrono::milliseconds Wait,
       Clock::duration Failing) = 0;
};

struct KeyedFollowerOptions {
  std::string Name;
  std::string Topic;
  int Partition = 0;
  std::chrono::milliseconds PollWait{1500};
  /// Pause between two reads, so that many changes cost few calls.
  std::chrono::milliseconds ReadPause{300};
  /// A read is given up after a short silence, however large the records are
  /// that are being transferred.
  TransferLimits ReadLimits;
  /// Records are relayed to other processes until this time after the store was
  /// last known to have no further ones.
  std::chrono::milliseconds RelayedFor{2200};
  /// Nothing is read while this function is set and returns false.
  std::function<bool()> IsNeeded;
  /// Asked before the store, if set.
  KeyedRelay *Relay = nullptr;
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
  /// Relays no further records; waiting processes are told to ask another one.
  void stopRelaying() { Relaying_ = false; }
  /// Returns false until the first complete read.
  [[nodiscard]] bool isReady() const { return Ready_; }

  /// Returns the newest record of each key that was written at or after From,
  /// after waiting up to Wait if there is none.
  asio::awaitable<RecordsReply> recordsFrom(std::uint64_t From,
                                            std::chrono::milliseconds Wait);

private:
  asio::awaitable<bool> readRelay();
  asio::awaitable<bool> readStore();
  asio::awaitable<bool> readNewest();
  asio::awaitable<bool> readTail();
  /// Returns for how long the reads of the store have failed; 0 if the latest
  /// one succeeded.
  [[nodiscard]] Clock::duration failingFor() const;
  /// Returns the time that the store may wait for new records. After a failure
  /// it answers at once, so that its return is noticed soon.
  [[nodiscard]] std::chrono::milliseconds pollWait() const;
  std::set<std::string> apply(std::vector<KeyedRecord> Records);
  [[nodiscard]] bool isCurrent() const;

  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  KeyedFollowerOptions Options_;
  ChangeCallback OnChange_;
  std::map<std::string, std::string> Values_;
  std::map<std::string, std::uint64_t> Offsets_; ///< Of the values, by key.
  std::uint64_t NextOffset_ = 0;
  /// Time at which the store had no further records.
  std::optional<Clock::time_point> CurrentAt_;
  /// Start of the first of the latest reads of the store that all failed.
  std::optional<Clock::time_point> FailingSince_;
  bool RelayedInstead_ = false; ///< Records are relayed as the store fails.
  bool Positioned_ = false;     ///< NextOffset_ continues what was read.
  bool Ready_ = false;
  bool Reachable_ = true;
  bool Relaying_ = true;
  bool Stopping_ = false;
};

} // namespace hickory
