#pragma once

#include "Base/Notifier.h"

#include <asio/co_spawn.hpp>
#include <exception>
#include <memory>
#include <vector>

namespace hickory {

/// Runs the coroutines concurrently and returns when all have ended. Exceptions
/// are discarded.
inline asio::awaitable<void>
waitForAll(asio::any_io_executor Executor,
           std::vector<asio::awaitable<void>> Coroutines) {
  if (Coroutines.empty())
    co_return;
  auto Done = std::make_shared<Notifier>(Executor);
  auto Remaining = std::make_shared<std::size_t>(Coroutines.size());
  for (asio::awaitable<void> &Coroutine : Coroutines)
    asio::co_spawn(Executor, std::move(Coroutine),
                   [Done, Remaining](const std::exception_ptr & /*Thrown*/) {
                     if (--*Remaining == 0)
                       Done->notify();
                   });
  co_await Done->wait();
}

} // namespace hickory
