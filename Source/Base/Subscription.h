#pragma once

#include <functional>
#include <utility>

namespace hickory {

/// Cancels a registered callback when destroyed, so that the callback cannot
/// run after its receiver is gone.
class Subscription {
public:
  Subscription() = default;
  explicit Subscription(std::function<void()> Cancel)
      : Cancel_(std::move(Cancel)) {}
  Subscription(Subscription &&Other) noexcept
      : Cancel_(std::exchange(Other.Cancel_, nullptr)) {}
  Subscription &operator=(Subscription &&Other) noexcept {
    if (this != &Other) {
      reset();
      Cancel_ = std::exchange(Other.Cancel_, nullptr);
    }
    return *this;
  }
  Subscription(const Subscription &) = delete;
  Subscription &operator=(const Subscription &) = delete;
  ~Subscription() { reset(); }

  void reset() {
    if (Cancel_)
      std::exchange(Cancel_, nullptr)();
  }

private:
  std::function<void()> Cancel_;
};

} // namespace hickory
