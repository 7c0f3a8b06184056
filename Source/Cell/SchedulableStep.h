#pragma once

#include "Cell/DispatchOrder.h"
#include "Cell/JobOwner.h"
#include "Cell/Placement.h"

#include <string>
#include <utility>

namespace hickory {

/// A step of an owned job whose tasks may start now, with its place in the
/// dispatch order.
struct SchedulableStep {
  JobOwner::JobPointer Job;
  ReadyStep Step;
  DispatchRank Rank;

  [[nodiscard]] const JobSpec &job() const { return Job->Progress.spec(); }
  [[nodiscard]] const StepSpec &step() const {
    return job().Steps[static_cast<std::size_t>(Step.Step)];
  }
  [[nodiscard]] std::pair<int, int> key() const {
    return {Step.Occurrence, Step.Step};
  }
  [[nodiscard]] StepAdvice &advice() const { return Job->Advice[key()]; }
  [[nodiscard]] PlacementNeed need() const {
    return {.Step = &step(), .Count = static_cast<int>(Step.Tasks.size())};
  }
  /// JOB.OCCURRENCE.STEP
  [[nodiscard]] std::string stepName() const {
    return TaskName{
        .Job = job().Id, .Occurrence = Step.Occurrence, .Step = Step.Step}
        .stepName();
  }
};

} // namespace hickory
