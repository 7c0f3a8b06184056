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
  Event.Wall = microseconds(Body.at("wall_us").get<std::int64_t>());
  Event.Monotonic = microseconds(Body.at("mono_us").get<std::int64_t>());
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
  std::map<std::string, Run> Open;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);) {
    if (Line.empty())
      continue;
    auto Event = parseLine(Line);
    if (!Event) {
      ++Malformed_;
      continue;
    }
    Run &Current = Open[Event->Process];
    if (!Current.empty() && Event->Sequence <= Current.rbegin()->first) {
      const auto Same = Current.find(Event->Sequence);
      if (Same != Current.end() && Same->second.Monotonic == Event->Monotonic)
        continue;
      addRun(Event->Process, std::exchange(Current, Run()));
    }
    const std::uint64_t Sequence = Event->Sequence;
    Current.emplace(Sequence, std::move(*Event));
  }
  for (auto &[Process, Events] : Open)
    if (!Events.empty())
      addRun(Process, std::move(Events));
}

void EventCollector::addRun(const std::string &Process, Run Events) {
  std::vector<Run> &Known = Runs_[Process];
  for (Run &Other : Known) {
    Run Merged = Other;
    bool Same = true;
    for (const auto &[Sequence, Event] : Events) {
      const auto [It, New] = Merged.emplace(Sequence, Event);
      Same = Same && (New || It->second.Monotonic == Event.Monotonic);
    }
    // Within one run the monotonic clock follows the sequence.
    Same =
        Same && std::is_sorted(Merged.begin(), Merged.end(),
                               [](const auto &A, const auto &B) {
                                 return A.second.Monotonic < B.second.Monotonic;
                               });
    if (Same) {
      Other = std::move(Merged);
      return;
    }
  }
  Known.push_back(std::move(Events));
}

std::vector<TimelineEvent> EventCollector::take() {
  std::vector<TimelineEvent> All;
  for (auto &[Process, Known] : Runs_) {
    // Runs are numbered by wall-clock time.
    std::sort(Known.begin(), Known.end(), [](const Run &A, const Run &B) {
      return A.begin()->second.Wall < B.begin()->second.Wall;
    });
    for (std::size_t I = 0; I < Known.size(); ++I)
      for (auto &[Sequence, Event] : Known[I]) {
        Event.Run = I == 0 ? Process : fmt::format("{}~{}", Process, I + 1);
        All.push_back(std::move(Event));
      }
  }
  Runs_.clear();
  return All;
}

} // namespace hickory
