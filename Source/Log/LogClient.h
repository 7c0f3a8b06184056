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

  /// Returns the offset. After Timeout or Unavailable the payload may have
  /// been appended all the same. Overloaded carries RetryAfter.
  virtual asio::awaitable<Result<std::uint64_t>>
  append(std::string Stream, std::string Payload) = 0;

  virtual asio::awaitable<Result<LogPage>> read(std::string Stream,
                                                LogReadOptions Options) = 0;
};

} // namespace hickory
