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
struct CallFate {
  enum class Kind {
    Answered,
    Refused,     ///< Not carried out, and the caller is told so.
    LostRequest, ///< Neither carried out nor answered.
    LostAnswer,  ///< Carried out, and the caller learns nothing.
    Late,        ///< No answer; carried out after Delay.
    Twice,       ///< Carried out again after Delay.
  };
  Kind What = Kind::Answered;
  std::chrono::milliseconds Delay{0};
};

/// False once the process was killed: nothing that it does has an effect.
using ProcessGate = std::shared_ptr<bool>;

/// Longer than any test.
constexpr std::chrono::hours Forever{10000};

/// Passes on the call of a process, which never continues once it is killed.
template <typename T>
asio::awaitable<T> callFrom(TimerService &Timers, ProcessGate Alive,
                            asio::awaitable<T> Call) {
  if (!*Alive)
    co_await Timers.sleepFor(Forever);
  T Answer = co_await std::move(Call);
  if (!*Alive)
    co_await Timers.sleepFor(Forever);
  co_return Answer;
}

template <typename T>
asio::awaitable<void> carryOutLater(TimerService &Timers,
                                    std::chrono::milliseconds Delay,
                                    std::function<T()> Effect) {
  co_await Timers.sleepFor(Delay);
  Effect();
}

/// Carries out an effect as its fate says.
template <typename T>
asio::awaitable<Result<T>>
carryOut(TimerService &Timers, CallFate Fate, std::chrono::milliseconds Latency,
         std::chrono::milliseconds Timeout, std::function<T()> Effect) {
  using Kind = CallFate::Kind;
  const auto Executor = co_await asio::this_coro::executor;
  if (Fate.What == Kind::Late || Fate.What == Kind::Twice)
    asio::co_spawn(Executor, carryOutLater<T>(Timers, Fate.Delay, Effect),
                   asio::detached);
  if (Fate.What == Kind::LostRequest || Fate.What == Kind::Late) {
    co_await Timers.sleepFor(Timeout);
    co_return fail(ErrorCode::Timeout, "no answer");
  }
  co_await Timers.sleepFor(Latency);
  if (Fate.What == Kind::Refused)
    co_return fail(ErrorCode::NotSent, "refused");
  T Answer = Effect();
  if (Fate.What == Kind::LostAnswer) {
    co_await Timers.sleepFor(Timeout);
    co_return fail(ErrorCode::Timeout, "no answer");
  }
  co_return Answer;
}

} // namespace hickory
