#pragma once

#include "Backends/WorkerPicker.h"

namespace hickory {

/// Best fit: least accelerators left over, then least of the dominant remaining
/// resource. Keeps large gaps for large tasks.
class BestFitPicker final : public WorkerPicker {
public:
  /// CheckFit is switched off only by tests.
  explicit BestFitPicker(bool CheckFit = true) : CheckFit_(CheckFit) {}

  [[nodiscard]] std::optional<std::size_t>
  pick(const std::vector<Candidate> &Candidates,
       const Capacity &Need) const override;

private:
  bool CheckFit_;
};

} // namespace hickory
