#pragma once

#include <asio/signal_set.hpp>
#include <functional>
#include <system_error>

namespace hickory {

/// Calls OnSignal with the number of each POSIX signal that arrives, until the
/// set is cancelled or destroyed.
inline void watchSignals(asio::signal_set &Signals,
                         std::function<void(int Number)> OnSignal) {
  Signals.async_wait([&Signals, OnSignal = std::move(OnSignal)](
                         const std::error_code &Code, int Number) {
    if (Code)
      return;
    OnSignal(Number);
    watchSignals(Signals, OnSignal);
  });
}

} // namespace hickory
