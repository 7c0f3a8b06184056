#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Http/HttpClient.h"

#include <asio/any_io_executor.hpp>

namespace hickory::emulator {

/// Addresses of a process behind the balancer.
struct BalancerTarget {
  std::string Gateway;
  std::string Ready;
  int Misses = 0; ///< Consecutive failed probes.
};

/// The platform's balancer: probes the readiness of each process once per
/// second and sends new connections to the processes in rotation. Open
/// connections stay where they are.
class Balancer {
public:
  Balancer(asio::any_io_executor Executor, TimerService &Timers,
           HttpClient &Client)
      : Executor_(std::move(Executor)), Timers_(Timers), Client_(Client) {}

  void start(std::vector<BalancerTarget> Targets);
  /// Returns once the probes in progress have ended.
  asio::awaitable<void> stop();
  /// Returns the gateway address for a new connection.
  [[nodiscard]] std::string pick(Random &Choices) const;

private:
  asio::awaitable<void> probe(BalancerTarget &Target);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  HttpClient &Client_;
  std::vector<BalancerTarget> Targets_;
  std::size_t ActiveProbes_ = 0;
  bool Stopped_ = false;
};

} // namespace hickory::emulator
