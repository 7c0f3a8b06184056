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

/// What happens to one call.
struct CallFault {
  enum class Kind {
    None,        ///< Executed and answered.
    Refused,     ///< Not carried out, and the caller is told so.
    LostRequest, ///< Neither carried out nor answered.
    LostReply,   ///< Carried out, and the caller learns nothing.
    Delayed,     ///< No answer; carried out after Delay.
    Duplicated,  ///< Carried out again after Delay.
  };
  Kind Type = Kind::None;
  std::chrono::milliseconds Delay{0};
};

/// False once the process was killed: nothing that it does has an effect.
using ProcessAlive = std::shared_ptr<bool>;

/// Longer than any test.
constexpr std::chrono::hours Forever{10000};

/// Passes on the call of a process, which never continues once it is killed.
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
                                   std::function<T()> Effect) {
  co_await Timers.sleepFor(Delay);
  Effect();
}

/// Carries out an effect as its fate says.
template <typename T>
asio::awaitable<Result<T>>
executeWithFault(TimerService &Timers, CallFault Fault,
                 std::chrono::milliseconds Latency,
                 std::chrono::milliseconds Timeout, std::function<T()> Effect) {
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
  T Answer = Effect();
  if (Fault.Type == Kind::LostReply) {
    co_await Timers.sleepFor(Timeout);
    co_return fail(ErrorCode::Timeout, "no answer");
  }
  co_return Answer;
}

} // namespace hickory
