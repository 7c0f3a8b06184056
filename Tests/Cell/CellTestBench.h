#pragma once

#include "Base/EventLog.h"
#include "Cell/FakeStoreClient.h"
#include "Cell/FakeWorkerClient.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <optional>

namespace hickory {

/// An execution context with fakes and a manual clock, which only the test
/// advances.
struct CellTestBench {
  /// Runs all handlers that are ready.
  void poll() {
    Context.restart();
    Context.poll();
  }

  /// Advances the clock in steps of 1 ms and runs the ready handlers after
  /// each.
  void run(std::chrono::milliseconds Duration) {
    poll();
    for (std::chrono::milliseconds Passed{0}; Passed < Duration;
         Passed += std::chrono::milliseconds(1)) {
      Timers.advance(std::chrono::milliseconds(1));
      poll();
    }
  }

  /// Starts a coroutine. The returned pointer receives its result; it stays
  /// empty if the coroutine throws.
  template <typename T>
  std::shared_ptr<std::optional<T>> begin(asio::awaitable<T> Work) {
    auto Value = std::make_shared<std::optional<T>>();
    asio::co_spawn(Context, std::move(Work),
                   [Value](std::exception_ptr Thrown, T Outcome) {
                     if (!Thrown)
                       *Value = std::move(Outcome);
                   });
    poll();
    return Value;
  }

  asio::io_context Context;
  FakeTimerService Timers;
  FakeStoreClient Store{Timers};
  FakeWorkerClient Worker{Timers};
  EventLog Events{Timers, {.Process = "test"}};
};

} // namespace hickory
