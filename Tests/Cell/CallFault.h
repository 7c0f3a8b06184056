#pragma once

#include "Base/Error.h"
#include "Base/TimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/this_coro.hpp>
#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// The fault, if any, that is injected into one call.
struct CallFault {
  enum class Kind {
    None,        ///< Executed and answered.
    Refused,     ///< Not executed, and the caller learns that.
    LostRequest, ///< Neither executed nor answered.
    LostReply,   ///< Executed, but the reply is lost.
    Delayed,     ///< Not answered; executed after Delay.
    Duplicated,  ///< Executed and answered, and executed again after Delay.
  };
  Kind Type = Kind::None;
  std::chrono::milliseconds Delay{0};
};

/// False once the process was killed: its calls have no effect from then on.
using ProcessAlive = std::shared_ptr<bool>;

/// Longer than any test takes.
constexpr std::chrono::hours Forever{10000};

/// Makes a call on behalf of a process. The coroutine never resumes once the
/// process is killed.
template <typename T>
asio::awaitable<T> callFromProcess(TimerService &Timers, ProcessAlive Alive,
                                   asio::awaitable<T> Call) {
  if (!*Alive)
    co_await Timers.sleepFor(Forever);
  T Answer = co_await std::move(Call);
  if (!*Alive)
    co_await Timers.sleepFor(Forever);
  co_return Answer;
}

template <typename T>
asio::awaitable<void> executeLater(TimerService &Timers,
                                   std::chrono::milliseconds Delay,
                                   std::function<Result<T>()> Effect) {
  co_await Timers.sleepFor(Delay);
  Effect();
}

/// Runs the effect of a call with the given fault. The effect returns an error
/// if the receiver is gone.
template <typename T>
asio::awaitable<Result<T>> executeWithFault(TimerService &Timers,
                                            CallFault Fault,
                                            std::chrono::milliseconds Latency,
                                            std::chrono::milliseconds Timeout,
                                            std::function<Result<T>()> Effect) {
  using Kind = CallFault::Kind;
  const auto Executor = co_await asio::this_coro::executor;
  if (Fault.Type == Kind::Delayed || Fault.Type == Kind::Duplicated)
    asio::co_spawn(Executor, executeLater<T>(Timers, Fault.Delay, Effect),
                   asio::detached);
  if (Fault.Type == Kind::LostRequest || Fault.Type == Kind::Delayed) {
    co_await Timers.sleepFor(Timeout);
    co_return fail(ErrorCode::Timeout, "no answer");
  }
  co_await Timers.sleepFor(Latency);
  if (Fault.Type == Kind::Refused)
    co_return fail(ErrorCode::NotSent, "refused");
  Result<T> Answer = Effect();
  if (Fault.Type == Kind::LostReply) {
    co_await Timers.sleepFor(Timeout);
    co_return fail(ErrorCode::Timeout, "no answer");
  }
  co_return Answer;
}

} // namespace hickory
