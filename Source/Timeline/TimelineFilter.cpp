#include "Timeline/TimelineFilter.h"

namespace hickory {

namespace {

bool belongsToKey(const TimelineEvent &Event, const std::string &Key) {
  if (Event.field("key") == Key)
    return true;
  for (const char *Name : {"task", "id"})
    if (Event.field(Name).starts_with(Key + "#"))
      return true;
  const auto Keys = Event.Fields.find("keys");
  if (Keys != Event.Fields.end() && Keys->is_array())
    for (const nlohmann::json &Value : *Keys)
      if (Value.is_string() && Value.get<std::string>() == Key)
        return true;
  return false;
}

} // namespace

bool TimelineFilter::matches(const TimelineEvent &Event) const {
  if (!Key.empty() && !belongsToKey(Event, Key))
    return false;
  // Task is the index of a task or, with its key, KEY#INDEX.
  if (!Task.empty() && Event.field("task") != Task &&
      Event.field("key") + "#" + Event.field("task") != Task)
    return false;
  if (!Worker.empty() && Event.field("worker") != Worker &&
      Event.field("executor") != Worker)
    return false;
  if (!Instance.empty() && Event.Process != Instance && Event.Run != Instance)
    return false;
  return Part.empty() || Event.Part == Part;
}

} // namespace hickory
