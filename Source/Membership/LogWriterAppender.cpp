#include "Membership/LogWriterAppender.h"

namespace hickory {

Result<void> LogWriterAppender::enqueue(records::Record Record) {
  return Writer_.enqueue(std::move(Record));
}

bool LogWriterAppender::reachable() const { return Writer_.isReachable(); }

void LogWriterAppender::restart(std::uint64_t Incarnation) {
  Writer_.restart(Incarnation);
}

asio::awaitable<void>
LogWriterAppender::flush(std::chrono::milliseconds Deadline) {
  return Writer_.flush(Deadline);
}

} // namespace hickory
