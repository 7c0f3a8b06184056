#include "Timeline/TimelineWriter.h"

#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <map>

namespace hickory {

namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

std::string formatWall(microseconds SinceEpoch) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(SinceEpoch);
  const std::time_t Time = Seconds.count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(Time),
                     (SinceEpoch - Seconds).count());
}

std::string formatFields(const TimelineEvent &Event) {
  std::string Out;
  for (const auto &[Key, Value] : Event.Fields.items())
    Out += fmt::format(" {}={}", Key, Event.field(Key.c_str()));
  return Out;
}

std::string formatMs(microseconds Value) {
  return fmt::format("{:.3f} ms", static_cast<double>(Value.count()) / 1000.0);
}

} // namespace

std::string formatOffsets(const ClockAligner &Clocks) {
  std::string Out;
  for (const auto &[Run, Offset] : Clocks.offsets()) {
    Out += fmt::format("# clock {}: ", Run);
    switch (Offset.From) {
    case ClockAligner::Source::Reference:
      Out += "reference\n";
      break;
    case ClockAligner::Source::Messages:
      Out += fmt::format("{} +- {}, from messages\n", formatMs(Offset.Value),
                         formatMs(Offset.Uncertainty));
      break;
    case ClockAligner::Source::OneWay:
      Out += fmt::format("{}, from messages in one direction; transit time "
                         "is not known\n",
                         formatMs(Offset.Value));
      break;
    case ClockAligner::Source::WallClock:
      Out += fmt::format("{}, from wall clocks; no messages to the reference\n",
                         formatMs(Offset.Value));
      break;
    }
  }
  if (Clocks.inconsistency().count() > 0)
    Out += fmt::format("# clocks do not run at the same rate: messages "
                       "contradict constant offsets by {}\n",
                       formatMs(Clocks.inconsistency()));
  return Out;
}

std::string formatTimelineText(const std::vector<TimelineEvent> &Events,
                               const ClockAligner &Clocks) {
  std::size_t Width = 0;
  for (const TimelineEvent &Event : Events)
    Width = std::max(Width, Event.Run.size());
  std::string Out;
  for (const TimelineEvent &Event : Events)
    Out += fmt::format("{} {:<{}} {}: {}{}\n",
                       formatWall(Event.Aligned + Clocks.wallBase()), Event.Run,
                       Width, Event.Part, Event.Name, formatFields(Event));
  return Out;
}

std::string formatChromeTrace(const std::vector<TimelineEvent> &Events,
                              const ClockAligner &Clocks) {
  Json List = Json::array();
  std::map<std::string, int> Processes;
  std::map<std::pair<std::string, std::string>, int> Threads;
  const auto Place = [&](const TimelineEvent &Event, Json Item) {
    Item["pid"] = Processes.at(Event.Run);
    Item["tid"] = Threads.at({Event.Run, Event.Part});
    return Item;
  };
  for (const TimelineEvent &Event : Events) {
    if (const auto [It, New] = Processes.emplace(
            Event.Run, static_cast<int>(Processes.size()) + 1);
        New)
      List.push_back({{"ph", "M"},
                      {"name", "process_name"},
                      {"pid", It->second},
                      {"args", {{"name", Event.Run}}}});
    if (const auto [It, New] =
            Threads.emplace(std::make_pair(Event.Run, Event.Part),
                            static_cast<int>(Threads.size()) + 1);
        New)
      List.push_back({{"ph", "M"},
                      {"name", "thread_name"},
                      {"pid", Processes.at(Event.Run)},
                      {"tid", It->second},
                      {"args", {{"name", Event.Part}}}});
  }
  std::map<std::string, const TimelineEvent *> Sent;
  for (const TimelineEvent &Event : Events)
    if (Event.Name == "rpc_sent")
      Sent.emplace(Event.field("call"), &Event);
  for (const TimelineEvent &Event : Events) {
    const std::int64_t Time = (Event.Aligned + Clocks.wallBase()).count();
    List.push_back(Place(Event, {{"ph", "i"},
                                 {"s", "t"},
                                 {"name", Event.Name},
                                 {"cat", Event.Part},
                                 {"ts", Time},
                                 {"args", Event.Fields}}));
    const auto Caller = Sent.find(Event.field("call"));
    if (Caller == Sent.end())
      continue;
    const TimelineEvent &Start = *Caller->second;
    const std::int64_t StartTime = (Start.Aligned + Clocks.wallBase()).count();
    if (Event.Name == "rpc_replied" && Event.Run == Start.Run)
      List.push_back(Place(Start, {{"ph", "X"},
                                   {"name", "call " + Caller->first},
                                   {"cat", "rpc"},
                                   {"ts", StartTime},
                                   {"dur", Time - StartTime},
                                   {"args", Start.Fields}}));
    if (Event.Name == "rpc_received") {
      const Json Flow = {
          {"name", "rpc"}, {"cat", "rpc"}, {"id", Caller->first}};
      Json From = Place(Start, Flow);
      From["ph"] = "s";
      From["ts"] = StartTime;
      Json To = Place(Event, Flow);
      To["ph"] = "f";
      To["bp"] = "e";
      To["ts"] = Time;
      List.push_back(std::move(From));
      List.push_back(std::move(To));
    }
  }
  return Json{{"traceEvents", std::move(List)}, {"displayTimeUnit", "ms"}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickory
