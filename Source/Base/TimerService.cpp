#include "Base/TimerService.h"

#include "Base/Notifier.h"

#include <memory>

namespace hickory {

namespace {

/// A timer that is armed again after each call of its callback.
struct PeriodicCallback : std::enable_shared_from_this<PeriodicCallback> {
  TimerService &Timers;
  Clock::duration Period;
  std::function<void()> Callback;
  Subscription Next;
  bool Cancelled = false;

  PeriodicCallback(TimerService &Timers, Clock::duration Period,
                   std::function<void()> Callback)
      : Timers(Timers), Period(Period), Callback(std::move(Callback)) {}

  void arm() {
    Next = Timers.after(Period, [Self = shared_from_this()] {
      if (Self->Cancelled)
        return;
      Self->Callback();
      if (!Self->Cancelled)
        Self->arm();
    });
  }
};

} // namespace

Subscription TimerService::every(Clock::duration Period,
                                 std::function<void()> Callback) {
  auto State =
      std::make_shared<PeriodicCallback>(*this, Period, std::move(Callback));
  State->arm();
  return Subscription([State] {
    State->Cancelled = true;
    State->Next.reset();
  });
}

asio::awaitable<void> TimerService::sleepFor(Clock::duration Delay) {
  Notifier Elapsed(co_await asio::this_coro::executor);
  Subscription Timer = after(Delay, [&Elapsed] { Elapsed.notify(); });
  co_await Elapsed.wait();
}

} // namespace hickory
