#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"

#include <asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <memory>

namespace hickory {

/// Bounded waiting line for requests that find no free executor slot. The most
/// urgent request is served first, equals in order of arrival; when the line is
/// full, the least urgent one is turned away.
class WaitQueue {
public:
  WaitQueue(asio::any_io_executor Executor, std::size_t Capacity)
      : Executor_(std::move(Executor)), Capacity_(Capacity) {}

  /// A place in the line; leaves it when destroyed.
  class Ticket {
  public:
    Ticket(WaitQueue &Queue, std::uint32_t Priority);
    ~Ticket();
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    [[nodiscard]] bool isFirst() const;
    /// The line was full and this request was the least urgent.
    [[nodiscard]] bool turnedAway() const { return *TurnedAway_; }
    /// Waits until something changed in the line, at most Limit.
    asio::awaitable<void> wait(TimerService &Timers, Clock::duration Limit);

  private:
    friend class WaitQueue;
    WaitQueue &Queue_;
    std::pair<std::int64_t, std::uint64_t> Position_;
    std::shared_ptr<bool> TurnedAway_ = std::make_shared<bool>(false);
    std::shared_ptr<Notifier> Wake_;
  };

  [[nodiscard]] std::size_t size() const { return Waiting_.size(); }

  /// Wakes the first in line, because a slot may have become free.
  void wakeFirst();

private:
  struct Entry {
    std::shared_ptr<bool> TurnedAway;
    std::shared_ptr<Notifier> Wake;
  };

  asio::any_io_executor Executor_;
  std::size_t Capacity_;
  std::uint64_t NextArrival_ = 0;
  /// Ordered by descending priority, then arrival.
  std::map<std::pair<std::int64_t, std::uint64_t>, Entry> Waiting_;
};

} // namespace hickory
