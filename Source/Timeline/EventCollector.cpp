#include "Timeline/EventCollector.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <sstream>

namespace hickory {

namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

std::optional<TimelineEvent> parseLine(const std::string &Line) {
  Json Body = Json::parse(Line, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  for (const char *Key : {"seq", "wall_us", "mono_us"})
    if (!Body.contains(Key) || !Body.at(Key).is_number_integer())
      return std::nullopt;
  for (const char *Key : {"process", "part", "event"})
    if (!Body.contains(Key) || !Body.at(Key).is_string())
      return std::nullopt;
  TimelineEvent Event;
  Event.Sequence = Body.at("seq").get<std::uint64_t>();
  Event.WallTime = microseconds(Body.at("wall_us").get<std::int64_t>());
  Event.MonotonicTime = microseconds(Body.at("mono_us").get<std::int64_t>());
  Event.Process = Body.at("process").get<std::string>();
  Event.Part = Body.at("part").get<std::string>();
  Event.Name = Body.at("event").get<std::string>();
  for (const char *Key :
       {"seq", "wall_us", "mono_us", "process", "part", "event"})
    Body.erase(Key);
  Event.Fields = std::move(Body);
  return Event;
}

} // namespace

void EventCollector::addLines(const std::string &Text) {
  std::map<std::string, Run> CurrentRuns;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);) {
    if (Line.empty())
      continue;
    auto Event = parseLine(Line);
    if (!Event) {
      ++Malformed_;
      continue;
    }
    Run &Current = CurrentRuns[Event->Process];
    if (!Current.empty() && Event->Sequence <= Current.rbegin()->first) {
      const auto Duplicate = Current.find(Event->Sequence);
      if (Duplicate != Current.end() &&
          Duplicate->second.MonotonicTime == Event->MonotonicTime)
        continue;
      addRun(Event->Process, std::exchange(Current, Run()));
    }
    const std::uint64_t Sequence = Event->Sequence;
    Current.emplace(Sequence, std::move(*Event));
  }
  for (auto &[Process, Events] : CurrentRuns)
    if (!Events.empty())
      addRun(Process, std::move(Events));
}

void EventCollector::addRun(const std::string &Process, Run Events) {
  std::vector<Run> &ProcessRuns = Runs_[Process];
  for (Run &Existing : ProcessRuns) {
    Run Merged = Existing;
    bool IsSameRun = true;
    for (const auto &[Sequence, Event] : Events) {
      const auto [It, Inserted] = Merged.emplace(Sequence, Event);
      IsSameRun = IsSameRun &&
                  (Inserted || It->second.MonotonicTime == Event.MonotonicTime);
    }
    // Within one run the monotonic clock increases with the sequence.
    IsSameRun = IsSameRun && std::is_sorted(Merged.begin(), Merged.end(),
                                            [](const auto &A, const auto &B) {
                                              return A.second.MonotonicTime <
                                                     B.second.MonotonicTime;
                                            });
    if (IsSameRun) {
      Existing = std::move(Merged);
      return;
    }
  }
  ProcessRuns.push_back(std::move(Events));
}

std::vector<TimelineEvent> EventCollector::takeEvents() {
  std::vector<TimelineEvent> All;
  for (auto &[Process, ProcessRuns] : Runs_) {
    // Runs are numbered in the order of their wall-clock start times.
    std::sort(ProcessRuns.begin(), ProcessRuns.end(),
              [](const Run &A, const Run &B) {
                return A.begin()->second.WallTime < B.begin()->second.WallTime;
              });
    for (std::size_t I = 0; I < ProcessRuns.size(); ++I)
      for (auto &[Sequence, Event] : ProcessRuns[I]) {
        Event.Run = I == 0 ? Process : fmt::format("{}~{}", Process, I + 1);
        All.push_back(std::move(Event));
      }
  }
  Runs_.clear();
  return All;
}

} // namespace hickory
