#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <string_view>

namespace hickory {

/// A node of the supervisor tree: one long-running activity of a daemon.
class Component {
public:
  virtual ~Component() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;

  /// Runs until stop() or a failure. After a failure the supervisor calls it
  /// again, and it must rebuild what it needs.
  virtual asio::awaitable<Result<void>> run() = 0;

  /// Finishes work in flight and gives up what others should take over.
  virtual asio::awaitable<void> drain() { co_return; }

  /// Makes run() return soon.
  virtual void stop() = 0;
};

} // namespace hickory
