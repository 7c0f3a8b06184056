#include "Gateway/AdmissionControl.h"

namespace hickory {

namespace {
constexpr std::uint32_t UrgentPriority = 1000;
constexpr std::uint32_t NormalPriority = 100;
} // namespace

AdmissionControl::Permit AdmissionControl::admit(std::uint32_t Priority) {
  std::size_t Allowed = Limit_ / 2;
  if (Priority >= UrgentPriority)
    Allowed = Limit_;
  else if (Priority >= NormalPriority)
    Allowed = Limit_ * 4 / 5;
  if (InProgress_ >= Allowed)
    return Permit(nullptr);
  ++InProgress_;
  return Permit(this);
}

} // namespace hickory
