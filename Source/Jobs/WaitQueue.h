#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"

#include <asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <memory>

namespace hickory {

/// Bounded priority queue of requests that wait for a free executor slot.
/// Requests of equal priority are served in order of arrival. When the queue is
/// full, the request with the lowest priority is rejected.
class WaitQueue {
public:
  WaitQueue(asio::any_io_executor Executor, std::size_t Capacity)
      : Executor_(std::move(Executor)), Capacity_(Capacity) {}

  /// A position in the queue; the destructor removes it.
  class Ticket {
  public:
    Ticket(WaitQueue &Queue, std::uint32_t Priority);
    ~Ticket();
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    [[nodiscard]] bool isFirst() const;
    /// Returns true if the queue was full and this request had the lowest
    /// priority.
    [[nodiscard]] bool isRejected() const { return *Rejected_; }
    /// Waits until the request becomes the first or is rejected, at most Limit.
    /// May return early.
    asio::awaitable<void> wait(TimerService &Timers, Clock::duration Limit);

  private:
    friend class WaitQueue;
    WaitQueue &Queue_;
    std::pair<std::int64_t, std::uint64_t> Position_;
    std::shared_ptr<bool> Rejected_ = std::make_shared<bool>(false);
    std::shared_ptr<Notifier> Wake_;
  };

  [[nodiscard]] std::size_t size() const { return Waiting_.size(); }

  /// Wakes the first request in the queue, because a slot may have become free.
  void wakeFirst();

private:
  struct Entry {
    std::shared_ptr<bool> Rejected;
    std::shared_ptr<Notifier> Wake;
  };

  asio::any_io_executor Executor_;
  std::size_t Capacity_;
  std::uint64_t NextArrival_ = 0;
  /// Ordered by descending priority, then arrival.
  std::map<std::pair<std::int64_t, std::uint64_t>, Entry> Waiting_;
};

} // namespace hickory
