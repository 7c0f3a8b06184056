#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

struct LogEntry {
  std::uint64_t Offset = 0;
  std::string Payload;
};

struct LogPage {
  std::uint64_t Earliest = 0; ///< Offset of the oldest retained entry.
  std::uint64_t Next = 0;     ///< Offset to read from next.
  std::vector<LogEntry> Entries;
};

struct LogReadOptions {
  std::uint64_t From = 0;
  std::uint32_t Maximum = 500;
  std::chrono::milliseconds Wait{0}; ///< How long to wait for a first entry.
};

/// The platform's append-only log service.
class LogClient {
public:
  virtual ~LogClient() = default;

  /// Returns the offset. After Timeout, Unavailable or Overloaded the payload
  /// may have been appended all the same. Overloaded carries the service's
  /// Retry-After, if it sent one. InvalidArgument means that the service will
  /// never accept this payload.
  virtual asio::awaitable<Result<std::uint64_t>>
  append(std::string Stream, std::string Payload) = 0;

  /// Reads entries from From on, or from the oldest retained entry if that is
  /// later. Next is at most the end of the stream. A stream without entries
  /// exists and is empty.
  virtual asio::awaitable<Result<LogPage>> read(std::string Stream,
                                                LogReadOptions Options) = 0;
};

} // namespace hickory
