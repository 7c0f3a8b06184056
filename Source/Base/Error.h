#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace hickory {

/// Kind of failure, for code that decides what to do next.
enum class ErrorCode {
  InvalidArgument, ///< The caller must change its input.
  NotFound,
  Conflict,          ///< A concurrent change was applied first.
  ConnectionRefused, ///< No process listens there; nothing was sent.
  NotSent,     ///< Failed before anything was sent; certain to have no effect.
  Unavailable, ///< Failed after something may have been sent.
  Timeout,     ///< No answer in time; the effect is unknown.
  NotOwner,
  Overloaded,
  Cancelled,
  Internal,
};

/// An expected failure. Passed as a value; never thrown.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// One sentence that says what failed or what to change.
  std::string Message;
  std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt;

  /// True if it is certain that the failed call had no effect.
  [[nodiscard]] bool hadNoEffect() const {
    return Code == ErrorCode::ConnectionRefused || Code == ErrorCode::NotSent;
  }
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shorthand for returning a failure from a function that returns Result<T>.
inline tl::unexpected<Error>
fail(ErrorCode Code, std::string Message,
     std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt) {
  return tl::unexpected<Error>(Error{Code, std::move(Message), RetryAfter});
}

} // namespace hickory
