#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A record of a topic that keeps the newest record of each key.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value; ///< Nothing removes the key.
  std::uint64_t Offset = 0;         ///< Set by reads.
};

/// Identifies an append, so that a former owner's append is refused and a
/// repeated one is done once.
struct AppendStamp {
  std::string Producer;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

enum class AppendStatus {
  Appended,
  Fenced,        ///< A higher epoch was seen.
  WrongSequence, ///< Another sequence number is due; see Expected.
  NotDone,       ///< Certain to have had no effect; try again later.
};

struct AppendReply {
  AppendStatus Status = AppendStatus::Appended;
  std::uint64_t Expected = 0;
};

struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool HasMore = false;
  std::uint64_t EndOffset = 0;
};

struct TailPage {
  bool Expired = false; ///< Records from the offset on were dropped.
  std::uint64_t EndOffset = 0;
  std::uint64_t NextOffset = 0; ///< Offset to read from next.
  std::vector<KeyedRecord> Records;
};

struct GroupMembership {
  std::uint64_t Generation = 0;
  std::vector<int> Shards;
};

struct ShardHolder {
  int Shard = 0;
  std::string Member;
};

/// The platform's store, as far as the cell uses it. Errors of all calls: the
/// effect is unknown unless the error says that it had none.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// Without records the call only sets the epoch.
  virtual asio::awaitable<Result<AppendReply>>
  append(std::string Topic, int Partition, std::vector<KeyedRecord> Records,
         AppendStamp Stamp, std::chrono::milliseconds Timeout) = 0;
  /// One page of the newest record of each key; AfterKey continues.
  virtual asio::awaitable<Result<NewestPage>>
  readNewest(std::string Topic, int Partition, std::string AfterKey) = 0;
  /// Records from the offset on; waits for a first one.
  virtual asio::awaitable<Result<TailPage>>
  readTail(std::string Topic, int Partition, std::uint64_t From,
           std::chrono::milliseconds Wait) = 0;
  /// Joins or stays in the group that deals the partitions of the topic.
  virtual asio::awaitable<Result<GroupMembership>>
  join(std::string Group, std::string Member, std::string Topic,
       std::chrono::milliseconds TimeToLive, std::uint64_t Generation,
       std::chrono::milliseconds Timeout) = 0;
  virtual asio::awaitable<Result<void>> leave(std::string Group,
                                              std::string Member) = 0;
  virtual asio::awaitable<Result<std::vector<ShardHolder>>>
  listHolders(std::string Group) = 0;
};

} // namespace hickory
