#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <stdexcept>

namespace hickory {

/// Runs a coroutine on the context until it ends and returns its value.
/// Throws what the coroutine throws, and if it does not end within Limit.
template <typename T>
T runCoroutine(asio::io_context &Context, asio::awaitable<T> Work,
               std::chrono::seconds Limit = std::chrono::seconds(60)) {
  std::optional<T> Value;
  std::exception_ptr Failure;
  asio::steady_timer Watchdog(Context, Limit);
  Watchdog.async_wait([&Context](const std::error_code &Code) {
    if (!Code)
      Context.stop();
  });
  asio::co_spawn(Context, std::move(Work),
                 [&](std::exception_ptr Thrown, T Result) {
                   Failure = Thrown;
                   if (!Thrown)
                     Value = std::move(Result);
                   Context.stop();
                 });
  Context.restart();
  Context.run();
  if (Failure)
    std::rethrow_exception(Failure);
  if (!Value)
    throw std::runtime_error("coroutine did not end in time");
  return std::move(*Value);
}

} // namespace hickory
