#include "Base/Supervisor.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

Supervisor::Supervisor(asio::any_io_executor Executor, TimerService &Timers,
                       SupervisorOptions Options)
    : Executor_(std::move(Executor)), Timers_(Timers), Options_(Options) {}

void Supervisor::add(Component &Child) { Children_.push_back({&Child, {}}); }

void Supervisor::start() {
  for (ChildState &State : Children_)
    asio::co_spawn(Executor_, superviseChild(State), asio::detached);
}

asio::awaitable<Result<void>> Supervisor::runChild(Component &Child) {
  // An exception that leaves a detached coroutine would be discarded and end
  // the component without a trace.
  try {
    co_return co_await Child.run();
  } catch (const std::exception &Failure) {
    co_return fail(ErrorCode::Internal, Failure.what());
  }
}

asio::awaitable<void> Supervisor::superviseChild(ChildState &State) {
  auto Backoff = Options_.InitialBackoff;
  while (!Stopping_) {
    Result<void> Outcome = co_await runChild(*State.Child);
    if (Stopping_ || Outcome)
      co_return;
    LOG(WARNING) << "supervisor: component " << State.Child->name()
                 << " failed: " << Outcome.error().Message;
    const auto Now = Timers_.now();
    State.Restarts.push_back(Now);
    while (State.Restarts.front() + Options_.RestartWindow < Now)
      State.Restarts.pop_front();
    if (static_cast<int>(State.Restarts.size()) > Options_.MaximumRestarts) {
      if (OnGiveUp_)
        OnGiveUp_(fmt::format("component {} failed {} times: {}",
                              State.Child->name(), State.Restarts.size(),
                              Outcome.error().Message));
      co_return;
    }
    if (State.Restarts.size() == 1)
      Backoff = Options_.InitialBackoff;
    co_await Timers_.sleepFor(Backoff);
    Backoff = std::min(Backoff * 2, Options_.MaximumBackoff);
  }
}

asio::awaitable<void> Supervisor::drainAndStop() {
  Stopping_ = true;
  for (auto It = Children_.rbegin(); It != Children_.rend(); ++It)
    co_await It->Child->drain();
  for (auto It = Children_.rbegin(); It != Children_.rend(); ++It)
    It->Child->stop();
}

} // namespace hickory
