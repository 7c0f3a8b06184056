#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A record of a compacted topic, which keeps the newest record of each key.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value; ///< No value: the key is deleted.
  std::uint64_t Offset = 0;         ///< Set by reads.
};

/// What the store accepts in one append.
struct StoreLimits {
  /// Largest length of a record: one byte, its key and its value.
  std::size_t RecordBytes = 256U << 10U;
  /// Largest sum of all records, with the four bytes of the length of each.
  std::size_t CallBytes = 2U << 20U;

  /// Longest key; its length is stored in one byte.
  static constexpr std::size_t KeyBytes = 255;

  /// Returns the size of the record in a call.
  [[nodiscard]] static std::size_t sizeOf(const KeyedRecord &Record) {
    constexpr std::size_t LengthBytes = 5; // Of the record and of its key.
    return LengthBytes + Record.Key.size() +
           (Record.Value ? Record.Value->size() : 0);
  }
  [[nodiscard]] static std::size_t
  sizeOf(const std::vector<KeyedRecord> &Records) {
    std::size_t Bytes = 0;
    for (const KeyedRecord &Record : Records)
      Bytes += sizeOf(Record);
    return Bytes;
  }
  /// Returns true if the store accepts an append of the records.
  [[nodiscard]] bool allow(const std::vector<KeyedRecord> &Records) const {
    constexpr std::size_t LengthBytes = 4;
    for (const KeyedRecord &Record : Records)
      if (Record.Key.size() > KeyBytes ||
          sizeOf(Record) > RecordBytes + LengthBytes)
        return false;
    return sizeOf(Records) <= CallBytes;
  }
};

/// Identifies an append, so that the store fences appends of former owners and
/// executes a repeated append only once.
struct AppendStamp {
  std::string Producer;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

enum class AppendStatus {
  Appended,
  Fenced,        ///< The store has seen a higher epoch.
  WrongSequence, ///< The store expects another sequence number; see
                 ///< AppendReply::Expected.
  NotDone,       ///< The append had no effect; retry later.
  Invalid,       ///< The store never accepts these records; no effect.
};

struct AppendReply {
  AppendStatus Status = AppendStatus::Appended;
  std::uint64_t Expected = 0;
};

struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool HasMore = false;
  std::uint64_t EndOffset = 0; ///< Offset after the partition's last record.
};

struct TailPage {
  bool Expired =
      false; ///< The store has dropped records at or after the offset.
  std::uint64_t EndOffset = 0;  ///< Offset after the partition's last record.
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

/// Limits on a read whose size is not known in advance.
struct TransferLimits {
  /// Time without a byte after which the store is taken to be silent.
  std::chrono::milliseconds Idle{1000};
  /// Time for a whole transfer that goes on.
  std::chrono::milliseconds Total{8000};
};

/// The calls of the platform's store that the cell uses. After an error the
/// effect of a call is unknown unless the error says that it had none.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// Appends the records. Without records, the call only raises the epoch that
  /// the store requires.
  virtual asio::awaitable<Result<AppendReply>>
  append(std::string Topic, int Partition, std::vector<KeyedRecord> Records,
         AppendStamp Stamp, std::chrono::milliseconds Timeout) = 0;
  /// Reads one page of the newest record of each key, beginning after AfterKey.
  virtual asio::awaitable<Result<NewestPage>>
  readNewest(std::string Topic, int Partition, std::string AfterKey,
             TransferLimits Limits) = 0;
  /// Reads records from the offset From on, and waits up to Wait if there are
  /// none. Returns no records if none arrived, and Expired if the store no
  /// longer has all of them. The limits count from the end of Wait.
  virtual asio::awaitable<Result<TailPage>>
  readTail(std::string Topic, int Partition, std::uint64_t From,
           std::chrono::milliseconds Wait, TransferLimits Limits) = 0;
  /// Joins, or renews the membership in, the group that assigns the partitions
  /// of the topic to its members. The membership ends TimeToLive after the
  /// latest join. Generation is that of the caller's previous reply, or 0.
  /// Returns the group's generation and the partitions of the member.
  virtual asio::awaitable<Result<GroupMembership>>
  join(std::string Group, std::string Member, std::string Topic,
       std::chrono::milliseconds TimeToLive, std::uint64_t Generation,
       std::chrono::milliseconds Timeout) = 0;
  virtual asio::awaitable<Result<void>> leave(std::string Group,
                                              std::string Member) = 0;
  /// Returns the members to which the partitions are assigned. A partition
  /// without a member is left out or has an empty Member.
  virtual asio::awaitable<Result<std::vector<ShardHolder>>>
  listHolders(std::string Group) = 0;
};

} // namespace hickory
