#pragma once

#include "Base/EventLog.h"
#include "Cell/FakeStoreClient.h"
#include "Cell/FakeWorkerClient.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <optional>

namespace hickory {

/// A context whose time advances only when the test says so.
struct CellTestBench {
  void poll() {
    Context.restart();
    Context.poll();
  }

  /// Advances in steps of 1 ms, so that coroutines go on in between.
  void run(std::chrono::milliseconds Duration) {
    poll();
    for (std::chrono::milliseconds Passed{0}; Passed < Duration;
         Passed += std::chrono::milliseconds(1)) {
      Timers.advance(std::chrono::milliseconds(1));
      poll();
    }
  }

  /// Starts a coroutine; the pointer receives its value.
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
