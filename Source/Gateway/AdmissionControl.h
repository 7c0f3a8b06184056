#pragma once

#include <cstddef>
#include <cstdint>

namespace hickory {

/// Refuses requests early when too many are in progress, the least urgent
/// first: each level of urgency may fill only part of the limit.
class AdmissionControl {
public:
  explicit AdmissionControl(std::size_t Limit) : Limit_(Limit) {}

  /// Holds one place while a request is in progress.
  class Permit {
  public:
    explicit Permit(AdmissionControl *Owner) : Owner_(Owner) {}
    Permit(Permit &&Other) noexcept : Owner_(Other.Owner_) {
      Other.Owner_ = nullptr;
    }
    Permit(const Permit &) = delete;
    Permit &operator=(const Permit &) = delete;
    Permit &operator=(Permit &&) = delete;
    ~Permit() {
      if (Owner_ != nullptr)
        --Owner_->InProgress_;
    }
    explicit operator bool() const { return Owner_ != nullptr; }

  private:
    AdmissionControl *Owner_;
  };

  /// False in the result means: refuse.
  [[nodiscard]] Permit admit(std::uint32_t Priority);
  [[nodiscard]] std::size_t inProgress() const { return InProgress_; }

private:
  std::size_t Limit_;
  std::size_t InProgress_ = 0;
};

} // namespace hickory
