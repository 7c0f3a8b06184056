#include "Jobs/WaitQueue.h"

#include <iterator>

namespace hickory {

WaitQueue::Ticket::Ticket(WaitQueue &Queue, std::uint32_t Priority)
    : Queue_(Queue),
      Position_(-static_cast<std::int64_t>(Priority), Queue.NextArrival_++),
      Wake_(std::make_shared<Notifier>(Queue.Executor_)) {
  Queue_.Waiting_.emplace(Position_, Entry{Rejected_, Wake_});
  if (Queue_.Waiting_.size() <= Queue_.Capacity_)
    return;
  const auto Last = std::prev(Queue_.Waiting_.end());
  *Last->second.Rejected = true;
  Last->second.Wake->notify();
  Queue_.Waiting_.erase(Last);
}

WaitQueue::Ticket::~Ticket() {
  Queue_.Waiting_.erase(Position_);
  Queue_.wakeFirst();
}

bool WaitQueue::Ticket::isFirst() const {
  return !Queue_.Waiting_.empty() &&
         Queue_.Waiting_.begin()->first == Position_;
}

asio::awaitable<void> WaitQueue::Ticket::wait(TimerService &Timers,
                                              Clock::duration Limit) {
  co_await Wake_->waitFor(Timers, Limit);
}

void WaitQueue::wakeFirst() {
  if (!Waiting_.empty())
    Waiting_.begin()->second.Wake->notify();
}

} // namespace hickory
