#include "Cell/GracefulStop.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PollPeriod{20};
/// Consecutive polls without a request after which the process exits. Requests
/// that have arrived meanwhile are read between two polls.
constexpr int IdlePolls = 10;
constexpr milliseconds IdleTime = IdlePolls * PollPeriod;
/// Time for writing the responses that are sent at the limit.
constexpr milliseconds WriteTime{300};

nlohmann::json describe(const DrainableServer &Server) {
  const auto Oldest = Server.oldestRequest();
  return {{"in_flight", Server.requestsInFlight()},
          {"oldest", Oldest ? Oldest->Call : ""},
          {"oldest_ms", Oldest ? Oldest->Age.count() : 0}};
}

} // namespace

void GracefulStop::recordFailedProbe() {
  if (!Requested_)
    return;
  ++FailedProbes_;
  LastFailedProbe_ = Timers_.now();
}

bool GracefulStop::isRemovedFromBalancer() const {
  return FailedProbes_ >= Options_.ProbesUntilRemoved &&
         Timers_.now() - LastFailedProbe_ >= Options_.ProbeMargin;
}

bool GracefulStop::isIdle() const {
  return HandedOver_ && Clients_.requestsInFlight() == 0 &&
         Peers_.requestsInFlight() == 0;
}

void GracefulStop::logStep(std::string_view Step) const {
  Events_.emit("stop", Step,
               {{"after_ms", std::chrono::duration_cast<milliseconds>(
                                 Timers_.now() - RequestedAt_)
                                 .count()},
                {"failed_probes", FailedProbes_},
                {"handed_over", HandedOver_},
                {"clients", describe(Clients_)},
                {"peers", describe(Peers_)}});
}

asio::awaitable<void> GracefulStop::handOver() {
  co_await HandOver_();
  HandedOver_ = true;
}

asio::awaitable<bool> GracefulStop::waitUntilIdle(Clock::time_point Deadline) {
  int Idle = 0;
  std::uint64_t Received = 0;
  while (Timers_.now() < Deadline) {
    const std::uint64_t Now =
        Clients_.requestsReceived() + Peers_.requestsReceived();
    Idle = isIdle() && Now == Received ? Idle + 1 : 0;
    Received = Now;
    if (Idle > IdlePolls)
      co_return true;
    co_await Timers_.sleepFor(PollPeriod);
  }
  co_return isIdle();
}

asio::awaitable<void> GracefulStop::answerRemaining() {
  Metrics_.count("requests_cut_by_stop_total",
                 static_cast<double>(Clients_.requestsInFlight()),
                 "from=\"client\"");
  Metrics_.count("requests_cut_by_stop_total",
                 static_cast<double>(Peers_.requestsInFlight()),
                 "from=\"peer\"");
  Clients_.answerRemaining();
  Peers_.answerRemaining();
  const Clock::time_point Deadline = Timers_.now() + WriteTime;
  while (Clients_.requestsInFlight() + Peers_.requestsInFlight() > 0 &&
         Timers_.now() < Deadline)
    co_await Timers_.sleepFor(PollPeriod);
}

asio::awaitable<void> GracefulStop::waitForBalancer() {
  const auto Longest =
      std::min(Options_.ProbeLimit, Options_.Limit - WriteTime - IdleTime);
  while (!isRemovedFromBalancer() && Timers_.now() - RequestedAt_ < Longest)
    co_await Timers_.sleepFor(PollPeriod);
}

asio::awaitable<void> GracefulStop::run() {
  Requested_ = true;
  RequestedAt_ = Timers_.now();
  Clients_.closeAfterResponse();
  asio::co_spawn(Executor_, handOver(), asio::detached);
  co_await waitForBalancer();
  Clients_.stop();
  logStep("listener_closed");
  const bool Idle =
      co_await waitUntilIdle(RequestedAt_ + Options_.Limit - WriteTime);
  logStep(Idle ? "idle" : "limit_reached");
  if (!Idle)
    co_await answerRemaining();
}

} // namespace hickory
