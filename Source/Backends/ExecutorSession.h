#pragma once

#include "Backends/RackContext.h"

#include <memory>
#include <set>
#include <string>

namespace hickory {

/// Sends requests to one executor of a rack that this instance owns and counts
/// its slots and connections.
class ExecutorSession : public std::enable_shared_from_this<ExecutorSession> {
public:
  ExecutorSession(std::shared_ptr<RackContext> Context, Upstream Executor);

  void update(const Upstream &Executor) { Executor_ = Executor; }
  void close() { Closed_ = true; }

  [[nodiscard]] const Upstream &executor() const { return Executor_; }
  [[nodiscard]] HealthTracker::State health() const {
    return Context_->ExecutorHealth.state(Executor_.Name);
  }
  /// Requests that occupy a slot, as far as is known.
  [[nodiscard]] std::size_t occupied() const { return Occupied_.size(); }
  [[nodiscard]] std::size_t freeSlots() const {
    return Occupied_.size() < Executor_.Slots
               ? Executor_.Slots - Occupied_.size()
               : 0;
  }
  /// True if a request may be sent now.
  [[nodiscard]] bool mayExecute() const;

  /// Sends the execute call of Item.Tries[Index] and stores its outcome there.
  /// Self keeps the session alive, also before the coroutine runs.
  asio::awaitable<void> call(std::shared_ptr<ExecutorSession> Self,
                             std::shared_ptr<Execution> Item,
                             std::size_t Index);

  enum class ResultState { Unreachable, NotKnown, Running, Done };
  /// Asks for the result of an execution and delivers it if there is one.
  asio::awaitable<ResultState> fetchResult(std::shared_ptr<Execution> Item);

  /// True if the execution may still be running or queued there.
  [[nodiscard]] bool occupiedBy(const std::string &Id) const {
    return Occupied_.contains(Id);
  }

  /// Keeps the slot of an unresolved execution occupied until the executor
  /// says that it is free.
  void watchSlot(const std::shared_ptr<Execution> &Item);

private:
  void handleAnswer(const std::shared_ptr<Execution> &Item, std::size_t Index,
                    const Result<HttpClientResponse> &Reply);
  void handleBody(const std::shared_ptr<Execution> &Item, Execution::Try &Own,
                  const std::string &Body);
  void handleStatus(const std::shared_ptr<Execution> &Item, Execution::Try &Own,
                    const HttpClientResponse &Reply);
  void release(const std::string &Id);
  asio::awaitable<void> watch(std::shared_ptr<ExecutorSession> Self,
                              std::shared_ptr<Execution> Item);

  std::shared_ptr<RackContext> Context_;
  Upstream Executor_;
  bool Closed_ = false;
  std::size_t Calls_ = 0;          ///< HTTP calls in flight.
  std::set<std::string> Occupied_; ///< Ids whose slots may still be in use.
};

} // namespace hickory
