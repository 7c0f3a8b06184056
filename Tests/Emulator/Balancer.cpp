#include "Emulator/Balancer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory::emulator {

namespace {

constexpr std::chrono::seconds ProbePeriod{1};
constexpr std::chrono::milliseconds PollPeriod{20};
constexpr int MissesUntilRemoved = 2;

} // namespace

void Balancer::start(std::vector<BalancerTarget> Targets) {
  Targets_ = std::move(Targets);
  for (BalancerTarget &Target : Targets_) {
    ++ActiveProbes_;
    asio::co_spawn(Executor_, probe(Target), asio::detached);
  }
}

asio::awaitable<void> Balancer::stop() {
  Stopped_ = true;
  while (ActiveProbes_ > 0)
    co_await Timers_.sleepFor(PollPeriod);
}

std::string Balancer::pick(Random &Choices) const {
  std::vector<const BalancerTarget *> InRotation;
  for (const BalancerTarget &Target : Targets_)
    if (Target.Misses < MissesUntilRemoved)
      InRotation.push_back(&Target);
  if (InRotation.size() * 2 < Targets_.size())
    return Targets_[Choices.below(Targets_.size())].Gateway;
  return InRotation[Choices.below(InRotation.size())]->Gateway;
}

asio::awaitable<void> Balancer::probe(BalancerTarget &Target) {
  while (!Stopped_) {
    const auto NextProbe = Timers_.now() + ProbePeriod;
    HttpClientRequest Request{.Url =
                                  "http://" + Target.Ready + "/api/readiness",
                              .Timeout = ProbePeriod};
    const auto Reply = co_await Client_.send(std::move(Request));
    Target.Misses = Reply && Reply->Status == 200 ? 0 : Target.Misses + 1;
    co_await Timers_.sleepFor(NextProbe - Timers_.now());
  }
  --ActiveProbes_;
}

} // namespace hickory::emulator
