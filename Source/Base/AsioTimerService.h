#pragma once

#include "Base/TimerService.h"

#include <asio/io_context.hpp>

namespace hickory {

/// TimerService on the system clocks and the timers of an Asio context.
class AsioTimerService final : public TimerService {
public:
  explicit AsioTimerService(asio::io_context &Context) : Context_(Context) {}

  [[nodiscard]] Clock::time_point now() const override { return Clock::now(); }
  [[nodiscard]] std::chrono::system_clock::time_point wallNow() const override {
    return std::chrono::system_clock::now();
  }
  [[nodiscard]] Subscription after(Clock::duration Delay,
                                   std::function<void()> Callback) override;

private:
  asio::io_context &Context_;
};

} // namespace hickory
