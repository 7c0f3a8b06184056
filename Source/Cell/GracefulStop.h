#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Http/DrainableServer.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <functional>

namespace hickory {

struct GracefulStopOptions {
  /// Time from the request to stop until run() returns, whatever is in flight.
  std::chrono::milliseconds Limit{5000};
  /// Failed readiness probes after which the balancer sends no new connections.
  int ProbesUntilRemoved = 2;
  /// Time that the balancer may need to act on the last of these probes.
  std::chrono::milliseconds ProbeMargin{250};
  /// Longest wait for the probes, which may not arrive.
  std::chrono::milliseconds ProbeLimit{2800};
};

/// Ends the service of a process without cutting off a request: waits until the
/// balancer sends no new connections, closes the listener, and waits until
/// every request that was received, from clients and peers, has its response.
/// Requests that are still in flight at the limit are answered with 504.
class GracefulStop {
public:
  /// Gives the responsibilities of this process to others.
  using Handover = std::function<asio::awaitable<void>()>;

  GracefulStop(const asio::any_io_executor &Executor, TimerService &Timers,
               EventLog &Events, Metrics &Counters, DrainableServer &Clients,
               DrainableServer &Peers, Handover HandOver,
               GracefulStopOptions Options)
      : Executor_(Executor), Timers_(Timers), Events_(Events),
        Metrics_(Counters), Clients_(Clients), Peers_(Peers),
        HandOver_(std::move(HandOver)), Options_(Options) {}

  /// Call when a readiness probe has been answered with a failure.
  void recordFailedProbe();
  /// Returns when the process can exit. The handover runs beside the waiting,
  /// and is waited for.
  asio::awaitable<void> run();

private:
  asio::awaitable<void> handOver();
  asio::awaitable<void> waitForBalancer();
  [[nodiscard]] bool isRemovedFromBalancer() const;
  [[nodiscard]] bool isIdle() const;
  /// Returns when no request has been in flight for a while, and the handover
  /// has ended; returns false at the deadline.
  asio::awaitable<bool> waitUntilIdle(Clock::time_point Deadline);
  /// Answers the requests that are in flight at the deadline.
  asio::awaitable<void> answerRemaining();
  void logStep(std::string_view Step) const;

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  EventLog &Events_;
  Metrics &Metrics_;
  DrainableServer &Clients_;
  DrainableServer &Peers_;
  Handover HandOver_;
  GracefulStopOptions Options_;
  Clock::time_point RequestedAt_{};
  bool Requested_ = false;
  bool HandedOver_ = false;
  int FailedProbes_ = 0;
  Clock::time_point LastFailedProbe_{};
};

} // namespace hickory
