#include "Work/StepGraph.h"

#include <algorithm>

namespace hickory {

StepGraph::StepGraph(const std::vector<StepSpec> &Steps)
    : Nodes_(Steps.size()) {
  for (std::size_t S = 0; S < Steps.size(); ++S)
    for (const int Earlier : Steps[S].DependsOn) {
      const auto Number = static_cast<int>(S);
      if (Earlier < 0 || Earlier >= Number)
        continue;
      auto &Successors = Nodes_[static_cast<std::size_t>(Earlier)].Successors;
      // Successors are added in ascending order, so that a repeated dependency
      // is the last one.
      if (!Successors.empty() && Successors.back() == Number)
        continue;
      Successors.push_back(Number);
      ++Nodes_[S].Dependencies;
    }
  for (std::size_t S = Steps.size(); S-- > 0;) {
    std::chrono::milliseconds Longest{0};
    for (const int Next : Nodes_[S].Successors)
      Longest =
          std::max(Longest, Nodes_[static_cast<std::size_t>(Next)].TimeToEnd);
    Nodes_[S].TimeToEnd = Longest + Steps[S].EstimatedDuration;
    CriticalPathTime_ = std::max(CriticalPathTime_, Nodes_[S].TimeToEnd);
  }
}

} // namespace hickory
