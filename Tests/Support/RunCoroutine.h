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
/// Rethrows the exception of the coroutine; throws std::runtime_error if it
/// does not end within the timeout.
template <typename T>
T runCoroutine(asio::io_context &Context, asio::awaitable<T> Coroutine,
               std::chrono::seconds Timeout = std::chrono::seconds(60)) {
  std::optional<T> Value;
  std::exception_ptr Exception;
  asio::steady_timer Watchdog(Context, Timeout);
  Watchdog.async_wait([&Context](const std::error_code &Code) {
    if (!Code)
      Context.stop();
  });
  asio::co_spawn(Context, std::move(Coroutine),
                 [&](std::exception_ptr Thrown, T Result) {
                   Exception = Thrown;
                   if (!Thrown)
                     Value = std::move(Result);
                   Context.stop();
                 });
  Context.restart();
  Context.run();
  if (Exception)
    std::rethrow_exception(Exception);
  if (!Value)
    throw std::runtime_error("coroutine did not end before the timeout");
  return std::move(*Value);
}

} // namespace hickory
