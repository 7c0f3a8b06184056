#pragma once

#include "Base/Error.h"
#include "Records.pb.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>

namespace hickory {

/// What Ownership needs of the writer of its domain's stream.
class RecordAppender {
public:
  virtual ~RecordAppender() = default;

  /// Queues a record; records keep their order. It may be appended at any
  /// later time, even after the process has ended.
  virtual Result<void> enqueue(records::Record Record) = 0;

  /// True if the last append succeeded, or none failed yet.
  [[nodiscard]] virtual bool reachable() const = 0;

  /// Drops queued records and writes as another incarnation from now on.
  virtual void restart(std::uint64_t Incarnation) = 0;

  /// Appends what is queued, waiting at most Deadline.
  virtual asio::awaitable<void> flush(std::chrono::milliseconds Deadline) = 0;
};

} // namespace hickory
