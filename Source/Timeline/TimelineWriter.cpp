#include "Timeline/TimelineWriter.h"

#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <map>

namespace hickory {

namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

std::string formatWallClock(microseconds SinceEpoch) {
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

std::string formatMilliseconds(microseconds Value) {
  return fmt::format("{:.3f} ms", static_cast<double>(Value.count()) / 1000.0);
}

} // namespace

std::string formatOffsets(const ClockAligner &Clocks) {
  std::string Out;
  for (const auto &[Run, Offset] : Clocks.offsets()) {
    Out += fmt::format("# clock {}: ", Run);
    switch (Offset.Source) {
    case ClockAligner::OffsetSource::Reference:
      Out += "reference\n";
      break;
    case ClockAligner::OffsetSource::Messages:
      Out += fmt::format("{} +- {}, from messages\n",
                         formatMilliseconds(Offset.Value),
                         formatMilliseconds(Offset.Uncertainty));
      break;
    case ClockAligner::OffsetSource::OneWay:
      Out += fmt::format("{}, from messages in one direction; transit time "
                         "is not known\n",
                         formatMilliseconds(Offset.Value));
      break;
    case ClockAligner::OffsetSource::WallClock:
      Out += fmt::format("{}, from wall clocks; no messages to the reference\n",
                         formatMilliseconds(Offset.Value));
      break;
    }
  }
  if (Clocks.inconsistency().count() > 0)
    Out += fmt::format("# clocks do not run at the same rate: messages "
                       "contradict constant offsets by {}\n",
                       formatMilliseconds(Clocks.inconsistency()));
  return Out;
}

std::string formatTimelineText(const std::vector<TimelineEvent> &Events,
                               const ClockAligner &Clocks) {
  std::size_t Width = 0;
  for (const TimelineEvent &Event : Events)
    Width = std::max(Width, Event.Run.size());
  std::string Out;
  for (const TimelineEvent &Event : Events)
    Out += fmt::format(
        "{} {:<{}} {}: {}{}\n",
        formatWallClock(Event.AlignedTime + Clocks.wallClockOffset()),
        Event.Run, Width, Event.Part, Event.Name, formatFields(Event));
  return Out;
}

std::string formatChromeTrace(const std::vector<TimelineEvent> &Events,
                              const ClockAligner &Clocks) {
  Json TraceEvents = Json::array();
  std::map<std::string, int> Processes;
  std::map<std::pair<std::string, std::string>, int> Threads;
  const auto WithThreadIds = [&](const TimelineEvent &Event, Json TraceEvent) {
    TraceEvent["pid"] = Processes.at(Event.Run);
    TraceEvent["tid"] = Threads.at({Event.Run, Event.Part});
    return TraceEvent;
  };
  for (const TimelineEvent &Event : Events) {
    if (const auto [It, Inserted] = Processes.emplace(
            Event.Run, static_cast<int>(Processes.size()) + 1);
        Inserted)
      TraceEvents.push_back({{"ph", "M"},
                             {"name", "process_name"},
                             {"pid", It->second},
                             {"args", {{"name", Event.Run}}}});
    if (const auto [It, Inserted] =
            Threads.emplace(std::make_pair(Event.Run, Event.Part),
                            static_cast<int>(Threads.size()) + 1);
        Inserted)
      TraceEvents.push_back({{"ph", "M"},
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
    const std::int64_t Time =
        (Event.AlignedTime + Clocks.wallClockOffset()).count();
    TraceEvents.push_back(WithThreadIds(Event, {{"ph", "i"},
                                                {"s", "t"},
                                                {"name", Event.Name},
                                                {"cat", Event.Part},
                                                {"ts", Time},
                                                {"args", Event.Fields}}));
    const auto Caller = Sent.find(Event.field("call"));
    if (Caller == Sent.end())
      continue;
    const TimelineEvent &Start = *Caller->second;
    const std::int64_t StartTime =
        (Start.AlignedTime + Clocks.wallClockOffset()).count();
    if (Event.Name == "rpc_replied" && Event.Run == Start.Run)
      TraceEvents.push_back(
          WithThreadIds(Start, {{"ph", "X"},
                                {"name", "call " + Caller->first},
                                {"cat", "rpc"},
                                {"ts", StartTime},
                                {"dur", Time - StartTime},
                                {"args", Start.Fields}}));
    if (Event.Name == "rpc_received") {
      const Json Flow = {
          {"name", "rpc"}, {"cat", "rpc"}, {"id", Caller->first}};
      Json FlowStart = WithThreadIds(Start, Flow);
      FlowStart["ph"] = "s";
      FlowStart["ts"] = StartTime;
      Json FlowEnd = WithThreadIds(Event, Flow);
      FlowEnd["ph"] = "f";
      FlowEnd["bp"] = "e";
      FlowEnd["ts"] = Time;
      TraceEvents.push_back(std::move(FlowStart));
      TraceEvents.push_back(std::move(FlowEnd));
    }
  }
  return Json{{"traceEvents", std::move(TraceEvents)},
              {"displayTimeUnit", "ms"}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickory
