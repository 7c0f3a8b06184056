#include "Work/JobProgress.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

using nlohmann::json;

namespace {

// A step is stored as an array with these elements.
constexpr std::size_t DoneTasksAt = 0; ///< A character per task: '1' if done.
constexpr std::size_t LastRunAt = 1;
constexpr std::size_t FailedGangRunsAt = 2; ///< Run numbers.
constexpr std::size_t FailedTaskRunsAt = 3; ///< Run numbers by task.
/// Object that is stored only if it is not empty. Earlier releases ignore it.
constexpr std::size_t DetailsAt = 4;

// Keys of the object.
constexpr const char *TaskCrashes = "crashes";   ///< By task.
constexpr const char *FailedWorkers = "workers"; ///< Of failed runs, by task.

std::vector<int> numbersOf(const std::vector<FailedRun> &Runs) {
  std::vector<int> Numbers;
  Numbers.reserve(Runs.size());
  for (const FailedRun &Each : Runs)
    Numbers.push_back(Each.Run);
  return Numbers;
}

std::vector<std::string> workersOf(const std::vector<FailedRun> &Runs) {
  std::vector<std::string> Workers;
  Workers.reserve(Runs.size());
  for (const FailedRun &Each : Runs)
    Workers.push_back(Each.Worker);
  return Workers;
}

/// Workers may be shorter than Numbers, and is empty if an earlier release
/// stored the runs.
std::vector<FailedRun> failedRuns(const std::vector<int> &Numbers,
                                  const std::vector<std::string> &Workers) {
  std::vector<FailedRun> Runs;
  Runs.reserve(Numbers.size());
  for (std::size_t I = 0; I < Numbers.size(); ++I)
    Runs.push_back({.Run = Numbers[I],
                    .Worker = I < Workers.size() ? Workers[I] : std::string()});
  return Runs;
}

json toJson(const StepProgress &Step) {
  std::string Done;
  json Failures = json::object();
  json Details = json::object();
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    const TaskProgress &Task = Step.Tasks[I];
    const std::string Index = std::to_string(I);
    Done.push_back(Task.Phase == TaskPhase::Done ? '1' : '0');
    if (!Task.FailedRuns.empty()) {
      Failures[Index] = numbersOf(Task.FailedRuns);
      Details[FailedWorkers][Index] = workersOf(Task.FailedRuns);
    }
    if (!Task.Crashes.empty())
      Details[TaskCrashes][Index] = Task.Crashes.toJson();
  }
  json Stored = json::array({std::move(Done), Step.LastRun,
                             numbersOf(Step.FailedRuns), std::move(Failures)});
  if (!Details.empty())
    Stored.push_back(std::move(Details));
  return Stored;
}

/// Returns the member of Details[Key] for a task, or null.
json detailOf(const json &Details, const char *Key, const std::string &Index) {
  const auto All = Details.find(Key);
  if (All == Details.end())
    return {};
  const auto Found = All->find(Index);
  return Found == All->end() ? json() : *Found;
}

void restoreTask(TaskProgress &Task, const std::string &Index,
                 const json &Failures, const json &Details) {
  const json Workers = detailOf(Details, FailedWorkers, Index);
  if (const auto It = Failures.find(Index); It != Failures.end())
    Task.FailedRuns =
        failedRuns(It->get<std::vector<int>>(),
                   Workers.is_null() ? std::vector<std::string>()
                                     : Workers.get<std::vector<std::string>>());
  if (const json Crashes = detailOf(Details, TaskCrashes, Index);
      !Crashes.is_null())
    Task.Crashes = CrashRecord::fromJson(Crashes);
}

void restoreStep(StepProgress &Step, const json &Stored) {
  const auto Done = Stored.at(DoneTasksAt).get<std::string>();
  const json &Failures = Stored.at(FailedTaskRunsAt);
  const json Details =
      Stored.size() > DetailsAt ? Stored[DetailsAt] : json::object();
  Step.LastRun = Stored.at(LastRunAt).get<int>();
  Step.FailedRuns =
      failedRuns(Stored.at(FailedGangRunsAt).get<std::vector<int>>(), {});
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskProgress &Task = Step.Tasks[I];
    if (I < Done.size() && Done[I] == '1')
      Step.setPhase(Task, TaskPhase::Done);
    restoreTask(Task, std::to_string(I), Failures, Details);
  }
}

} // namespace

json JobProgress::durableState() const {
  json All = json::array();
  for (const Occurrence &Entry : Occurrences_)
    for (const StepProgress &Step : Entry.Steps)
      All.push_back(toJson(Step));
  return json{{"state", nameOf(State_)},
              {"occurrences", Occurrences_.size()},
              {"steps", std::move(All)}};
}

void JobProgress::restore(const json &Durable) {
  const auto Count = Durable.at("occurrences").get<std::size_t>();
  const json &All = Durable.at("steps");
  while (
      Occurrences_.size() < Count &&
      addDueOccurrences(Spec_.FirstRun + static_cast<int>(Occurrences_.size()) *
                                             Spec_.Interval)) {
  }
  const auto Name = Durable.at("state").get<std::string>();
  for (const JobState State :
       {JobState::Pending, JobState::Running, JobState::Completed,
        JobState::Failed, JobState::Cancelled})
    if (Name == nameOf(State))
      State_ = State;
  std::size_t Next = 0;
  for (Occurrence &Entry : Occurrences_) {
    for (StepProgress &Step : Entry.Steps)
      if (Next < All.size())
        restoreStep(Step, All[Next++]);
    findOpenSteps(Entry);
  }
}

} // namespace hickory
