#pragma once

#include "Base/Component.h"
#include "Base/TimerService.h"

#include <asio/any_io_executor.hpp>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace hickory {

struct SupervisorOptions {
  std::chrono::milliseconds InitialBackoff{100};
  std::chrono::milliseconds MaximumBackoff{5000};
  int MaximumRestarts = 5; ///< Within RestartWindow.
  std::chrono::seconds RestartWindow{60};
};

/// Restarts failed components with exponential backoff and gives up on one that
/// fails too often. Components start in the order in which they were added and
/// are drained and stopped in reverse order.
class Supervisor {
public:
  Supervisor(asio::any_io_executor Executor, TimerService &Timers,
             SupervisorOptions Options = {});

  void add(Component &Child);

  /// Callback is called if a component exceeds MaximumRestarts; the process
  /// should then stop.
  void onGiveUp(std::function<void(std::string)> Callback) {
    OnGiveUp_ = std::move(Callback);
  }

  void start();
  asio::awaitable<void> drainAndStop();

private:
  struct ChildState {
    Component *Child;
    std::deque<Clock::time_point> Restarts;
  };

  /// Runs the component once. An exception counts as a failure.
  static asio::awaitable<Result<void>> runChild(Component &Child);
  asio::awaitable<void> superviseChild(ChildState &State);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  SupervisorOptions Options_;
  std::deque<ChildState> Children_;
  std::function<void(std::string)> OnGiveUp_;
  bool Stopping_ = false;
};

} // namespace hickory
