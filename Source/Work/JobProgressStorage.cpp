#include "Work/JobProgress.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

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

// Keys of the state of a job.
constexpr const char *AllSteps = "steps"; ///< Of all occurrences.
/// Numbers of the occurrences that are not done. With them, the steps of the
/// others are left out.
constexpr const char *OpenOccurrences = "open";
constexpr const char *OpenSteps = "open_steps";

/// Number of steps and tasks of all opened occurrences up to which all of them
/// are stored, as earlier releases need it.
constexpr std::size_t MaximumPlainEntries = 2000;

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

json doneStep(int Tasks) {
  return json::array({std::string(static_cast<std::size_t>(Tasks), '1'), 0,
                      json::array(), json::object()});
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
  json Open = json::array();
  const std::size_t Entries =
      Spec_.Steps.size() + static_cast<std::size_t>(TasksPerOccurrence_);
  const bool OnlyOpen =
      Spec_.Repetitions > 0 &&
      static_cast<std::size_t>(Opened_) * Entries > MaximumPlainEntries;
  const auto Add = [&All](const Occurrence &Entry) {
    for (const StepProgress &Step : Entry.Steps)
      All.push_back(toJson(Step));
  };
  if (OnlyOpen)
    for (const auto &[Number, Entry] : Occurrences_) {
      Open.push_back(Number);
      Add(Entry);
    }
  else
    for (int Number = 0; Number < Opened_; ++Number)
      if (const Occurrence *Entry = findOccurrence(Number))
        Add(*Entry);
      else
        for (const StepSpec &Step : Spec_.Steps)
          All.push_back(doneStep(Step.Count));
  json State = {{"state", nameOf(State_)}, {"occurrences", Opened_}};
  if (OnlyOpen) {
    State[OpenOccurrences] = std::move(Open);
    State[OpenSteps] = std::move(All);
  } else {
    State[AllSteps] = std::move(All);
  }
  return State;
}

void JobProgress::restore(const json &Durable) {
  const int Count =
      std::min(Durable.at("occurrences").get<int>(), plannedOccurrences());
  const bool OnlyOpen = Durable.contains(OpenOccurrences);
  const json &All = Durable.at(OnlyOpen ? OpenSteps : AllSteps);
  std::vector<int> Numbers;
  if (OnlyOpen) {
    Numbers = Durable[OpenOccurrences].get<std::vector<int>>();
  } else {
    Numbers.resize(static_cast<std::size_t>(std::max(0, Count)));
    std::iota(Numbers.begin(), Numbers.end(), 0);
  }
  Opened_ = std::max(Opened_, Count);
  const auto Name = Durable.at("state").get<std::string>();
  for (const JobState State :
       {JobState::Pending, JobState::Running, JobState::Completed,
        JobState::Failed, JobState::Cancelled})
    if (Name == nameOf(State))
      State_ = State;
  std::size_t Next = 0;
  for (const int Number : Numbers) {
    Occurrence *Known = findOccurrence(Number);
    Occurrence &Entry = Known == nullptr ? createOccurrence(Number) : *Known;
    for (StepProgress &Step : Entry.Steps)
      if (Next < All.size())
        restoreStep(Step, All[Next++]);
    findOpenSteps(Entry);
    if (Spec_.Repetitions > 0 && Entry.isDone())
      Occurrences_.erase(Number);
  }
}

} // namespace hickory
