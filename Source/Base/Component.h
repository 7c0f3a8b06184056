#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <string_view>

namespace hickory {

/// A long-running activity of a daemon that a Supervisor runs and restarts.
class Component {
public:
  virtual ~Component() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;

  /// Runs until stop() is called or the component fails. After a failure the
  /// supervisor calls it again; it must then rebuild its state.
  virtual asio::awaitable<Result<void>> run() = 0;

  /// Finishes work in flight and releases what other instances should take
  /// over.
  virtual asio::awaitable<void> drain() { co_return; }

  /// Requests run() to return.
  virtual void stop() = 0;
};

} // namespace hickory
