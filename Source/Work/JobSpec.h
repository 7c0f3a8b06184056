#pragma once

#include "Scheduling/Resources.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Expected time of a call to the adviser, the service that is asked about
/// workers for the tasks of a queue, and validity of its answer.
struct AdvicePolicy {
  /// Fixed part of the time of a call.
  std::chrono::duration<double, std::milli> DecisionTime{0};
  /// Time that each worker in the call adds.
  std::chrono::duration<double, std::milli> TimePerWorker{0};
  std::chrono::milliseconds Validity{0}; ///< How long an answer may be used.
};

/// Configuration of one queue of jobs.
struct QueuePolicy {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service; ///< Pool of workers that run the queue's tasks.
  /// Calls need no API key. Of no effect on accepted jobs, so it is not stored
  /// with them.
  bool Public = false;
  int Priority = 0; ///< 0 is the highest.
  int MaximumAttempts = 1;
  /// The target time from the acceptance of a job to its completion is Stretch
  /// times the duration of its longest chain of steps, plus TargetLatency.
  double Stretch = 1;
  std::chrono::milliseconds TargetLatency{0};
  std::optional<AdvicePolicy> Advice;
};

/// A group of identical tasks of a job.
struct StepSpec {
  int Count = 1;
  Resources Demand; ///< Resources of each task.
  std::chrono::milliseconds EstimatedDuration{0};
  std::vector<int> DependsOn; ///< Indices of steps that must be done before.
  bool Checkpointing = false; ///< Tasks can resume from a checkpoint.
  bool Gang = false;          ///< All tasks must run at the same time.
  bool SameRack = false;      ///< A gang is placed in one rack if possible.
  bool Speculative = false;   ///< Stored, but does not affect placement.
  bool LongRunning = false;   ///< Runs until the job is cancelled.
  bool BestEffortCpu = false; ///< Reserves no processors.
  /// Labels that the worker must have.
  std::vector<std::string> RequiredLabels;
  /// Rack whose workers are preferred; empty if there is none.
  std::string DataRack;
  int MaximumPerWorker = 0; ///< Maximum tasks per worker; 0 is no limit.
};

struct JobSpec {
  std::string Id;
  QueuePolicy Queue; ///< Policy when the job was accepted.
  /// Name of the client account that submitted it; empty if the configuration
  /// had no accounts, the queue is public or an earlier release accepted it.
  std::string Account;
  std::string Payload;
  std::vector<StepSpec> Steps;
  int Repetitions = 0;                   ///< 0 runs the job once, immediately.
  std::chrono::milliseconds FirstRun{0}; ///< Time since the Unix epoch.
  std::chrono::milliseconds Interval{0};
};

/// True if a task of the step can be stopped and restarted with little loss of
/// work.
inline bool isPreemptible(const StepSpec &Step) {
  return Step.Checkpointing && !Step.Gang && !Step.LongRunning;
}

/// Name of a task, written as JOB.OCCURRENCE.STEP.INDEX.
struct TaskName {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  bool operator==(const TaskName &) const = default;
  [[nodiscard]] std::string toString() const;
  /// The name without the index.
  [[nodiscard]] std::string stepName() const;
  /// Returns nothing if Text is not the name of a task.
  static std::optional<TaskName> parse(const std::string &Text);
  /// Returns the job id in the name of a task. Does not validate the name.
  static std::string jobOf(const std::string &Text) {
    return Text.substr(0, Text.find('.'));
  }
};

// nlohmann-json finds these functions by their names.
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
