#pragma once

#include "Log/LogWriter.h"
#include "Membership/RecordAppender.h"

namespace hickory {

/// Lets Ownership write through the LogWriter that the other parts use too, so
/// that all records of an incarnation keep one order.
class LogWriterAppender final : public RecordAppender {
public:
  explicit LogWriterAppender(LogWriter &Writer) : Writer_(Writer) {}

  Result<void> enqueue(records::Record Record) override;
  [[nodiscard]] bool reachable() const override;
  void restart(std::uint64_t Incarnation) override;
  asio::awaitable<void> flush(std::chrono::milliseconds Deadline) override;

private:
  LogWriter &Writer_;
};

} // namespace hickory
