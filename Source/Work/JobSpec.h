#pragma once

#include "Scheduling/Resources.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// What one call to the adviser of a queue costs and how long it counts.
struct AdvicePolicy {
  std::chrono::duration<double, std::milli> DecisionTime{0};
  std::chrono::duration<double, std::milli> TimePerWorker{0};
  std::chrono::milliseconds Validity{0};
};

/// Configuration of one queue of jobs.
struct QueuePolicy {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service; ///< Pool of workers that runs the queue's tasks.
  int Priority = 0;    ///< 0 comes first.
  int MaximumAttempts = 1;
  double Stretch = 1;
  std::chrono::milliseconds TargetLatency{0};
  std::optional<AdvicePolicy> Advice;
};

/// A group of like tasks of a job.
struct StepSpec {
  int Count = 1;
  Resources Demand; ///< Of each task.
  std::chrono::milliseconds EstimatedDuration{0};
  std::vector<int> DependsOn; ///< Numbers of earlier steps.
  bool Checkpointing = false;
  bool Gang = false; ///< The tasks work only together.
  bool SameRack = false;
  bool Speculative = false;
  bool LongRunning = false;                ///< Runs until the job is cancelled.
  bool BestEffortCpu = false;              ///< Its processors are not counted.
  std::vector<std::string> RequiredLabels; ///< Labels of the worker.
  std::string DataRack;
  int MaximumPerWorker = 0; ///< Most tasks on one worker; 0 is no limit.
};

struct JobSpec {
  std::string Id;
  QueuePolicy Queue; ///< As it was when the job was accepted.
  std::string Payload;
  std::vector<StepSpec> Steps;
  int Repetitions = 0;                   ///< 0 runs once, at once.
  std::chrono::milliseconds FirstRun{0}; ///< Since the Unix epoch.
  std::chrono::milliseconds Interval{0};
};

/// True if stopping a task of the step and starting it again loses little.
inline bool isPreemptible(const StepSpec &Step) {
  return Step.Checkpointing && !Step.Gang && !Step.LongRunning;
}

/// Names one task: JOB.OCCURRENCE.STEP.INDEX.
struct TaskName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  bool operator==(const TaskName &) const = default;
  [[nodiscard]] std::string toString() const;
  /// The name without the index.
  [[nodiscard]] std::string stepName() const;
  /// Nothing if the text is not a task's name.
  static std::optional<TaskName> parse(const std::string &Text);
  /// The id of the job in a task's name, which is not checked.
  static std::string jobOf(const std::string &Text) {
    return Text.substr(0, Text.find('.'));
  }
};

// The names below are those that nlohmann-json looks up.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(nlohmann::json &Json, const Resources &Value);
void from_json(const nlohmann::json &Json, Resources &Value);
void to_json(nlohmann::json &Json, const QueuePolicy &Value);
void from_json(const nlohmann::json &Json, QueuePolicy &Value);
void to_json(nlohmann::json &Json, const StepSpec &Value);
void from_json(const nlohmann::json &Json, StepSpec &Value);
void to_json(nlohmann::json &Json, const JobSpec &Value);
void from_json(const nlohmann::json &Json, JobSpec &Value);
// NOLINTEND(readability-identifier-naming)

} // namespace hickory
