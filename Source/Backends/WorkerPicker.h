#pragma once

#include "Backends/Capacity.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hickory {

/// Chooses a worker of a rack for a task. A rack has few workers, so every
/// implementation may look at all of them.
class WorkerPicker {
public:
  virtual ~WorkerPicker() = default;

  struct Candidate {
    Capacity Free;
    Capacity Total;
    /// Workers with a lower value are preferred, whatever their fit.
    int Preference = 0;
  };

  /// Index of the chosen candidate; empty if the task fits into none.
  [[nodiscard]] virtual std::optional<std::size_t>
  pick(const std::vector<Candidate> &Candidates,
       const Capacity &Need) const = 0;
};

} // namespace hickory
