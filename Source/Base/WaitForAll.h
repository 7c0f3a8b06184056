#pragma once

#include "Base/Notifier.h"

#include <asio/co_spawn.hpp>
#include <exception>
#include <memory>
#include <vector>

namespace hickory {

/// Runs all coroutines at the same time and returns when the last has ended.
inline asio::awaitable<void>
waitForAll(asio::any_io_executor Executor,
           std::vector<asio::awaitable<void>> Parts) {
  if (Parts.empty())
    co_return;
  auto Done = std::make_shared<Notifier>(Executor);
  auto Open = std::make_shared<std::size_t>(Parts.size());
  for (asio::awaitable<void> &Part : Parts)
    asio::co_spawn(Executor, std::move(Part),
                   [Done, Open](const std::exception_ptr & /*Thrown*/) {
                     if (--*Open == 0)
                       Done->notify();
                   });
  co_await Done->wait();
}

} // namespace hickory
