#include "Base/AsioTimerService.h"

#include <asio/steady_timer.hpp>
#include <memory>

namespace hickory {

Subscription AsioTimerService::after(Clock::duration Delay,
                                     std::function<void()> Callback) {
  struct State {
    asio::steady_timer Timer;
    bool Cancelled = false;
  };
  auto Armed = std::make_shared<State>(State{asio::steady_timer(Context_)});
  Armed->Timer.expires_after(Delay);
  Armed->Timer.async_wait(
      [Armed, Callback = std::move(Callback)](const std::error_code &Code) {
        if (!Code && !Armed->Cancelled)
          Callback();
      });
  return Subscription([Armed] {
    Armed->Cancelled = true;
    Armed->Timer.cancel();
  });
}

} // namespace hickory
