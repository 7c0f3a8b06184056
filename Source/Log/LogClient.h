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
  std::uint32_t Maximum = 500;       ///< Maximum number of entries to return.
  std::chrono::milliseconds Wait{0}; ///< Longest wait for a first entry.
};

/// Client of the platform's append-only log service.
class LogClient {
public:
  virtual ~LogClient() = default;

  /// Appends an entry and returns its offset. After Timeout, Unavailable or
  /// Overloaded the payload may have been appended nevertheless. Overloaded
  /// carries the Retry-After of the service, if any. InvalidArgument means that
  /// the service will never accept this payload.
  virtual asio::awaitable<Result<std::uint64_t>>
  append(std::string Stream, std::string Payload) = 0;

  /// Reads entries from From on, or from the oldest retained entry if that is
  /// later. Next is at most the end of the stream. Reading a stream that has no
  /// entries succeeds. Fails with Overloaded, NotFound or InvalidArgument if
  /// the service responds so, and with the error of the call or Unavailable if
  /// there is no valid response.
  virtual asio::awaitable<Result<LogPage>> read(std::string Stream,
                                                LogReadOptions Options) = 0;
};

} // namespace hickory
