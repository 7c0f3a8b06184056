#pragma once

#include "Work/JobSpec.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace hickory {

/// The dependencies between the steps of a job. All of it is computed once, in
/// time proportional to the number of steps and dependencies, since a graph of
/// N steps can have 2^(N - 1) paths.
class StepGraph {
public:
  /// Dependencies that do not name an earlier step are ignored.
  explicit StepGraph(const std::vector<StepSpec> &Steps);

  /// Returns the steps that depend on the step, each once.
  [[nodiscard]] const std::vector<int> &successors(int Step) const {
    return Nodes_[static_cast<std::size_t>(Step)].Successors;
  }
  /// Returns the number of different steps that the step depends on.
  [[nodiscard]] int dependencyCount(int Step) const {
    return Nodes_[static_cast<std::size_t>(Step)].Dependencies;
  }
  /// Returns the estimated time of the longest chain that begins with the step.
  [[nodiscard]] std::chrono::milliseconds criticalPathTimeFrom(int Step) const {
    return Nodes_[static_cast<std::size_t>(Step)].TimeToEnd;
  }
  /// Returns the estimated time of the longest chain of dependent steps.
  [[nodiscard]] std::chrono::milliseconds criticalPathTime() const {
    return CriticalPathTime_;
  }

private:
  struct Node {
    std::vector<int> Successors;
    int Dependencies = 0;
    std::chrono::milliseconds TimeToEnd{0};
  };

  std::vector<Node> Nodes_;
  std::chrono::milliseconds CriticalPathTime_{0};
};

} // namespace hickory
