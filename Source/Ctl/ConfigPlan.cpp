#include "Ctl/ConfigPlan.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hickory {

namespace {

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Returns the lines of Text that Other does not contain, prefixed with Mark.
/// Keys are sorted, so the order of lines does not matter.
std::string formatMissingLines(const std::string &Text,
                               const std::string &Other, char Mark) {
  const std::vector<std::string> OtherLines = splitLines(Other);
  std::string Out;
  for (const std::string &Line : splitLines(Text))
    if (!Line.empty() && std::find(OtherLines.begin(), OtherLines.end(),
                                   Line) == OtherLines.end())
      Out += fmt::format("    {} {}\n", Mark, Line);
  return Out;
}

const char *changeName(const ConfigPlan::Change &Change) {
  if (Change.Removed)
    return "remove";
  return Change.BaseVersion == 0 ? "add" : "change";
}

} // namespace

ConfigPlan::ConfigPlan(const LocalConfig &Local, const PublishedConfig &InForce,
                       bool Prune) {
  std::map<ConfigObjectId, const records::ConfigObject *> ObjectsInForce;
  for (const records::ConfigObject &Object : InForce.Objects)
    ObjectsInForce.emplace(ConfigObjectId{Object.kind(), Object.name()},
                           &Object);
  // The version of an object is the configuration version that last changed
  // it, so it is comparable with the version from which the files were created.
  const auto ComputeBaseVersion = [&](const records::ConfigObject &Object) {
    return Local.BasedOn ? std::min(*Local.BasedOn, Object.version())
                         : Object.version();
  };
  for (const auto &[Id, Toml] : Local.Objects) {
    const auto It = ObjectsInForce.find(Id);
    if (It == ObjectsInForce.end()) {
      Changes_.push_back({Id, "", Toml, false, 0});
      continue;
    }
    std::string Before = canonicalizeToml(It->second->toml());
    if (Before != Toml)
      Changes_.push_back({Id, std::move(Before), Toml, false,
                          ComputeBaseVersion(*It->second)});
  }
  if (!Prune)
    return;
  for (const auto &[Id, Object] : ObjectsInForce)
    if (!Local.Objects.contains(Id))
      Changes_.push_back({Id, canonicalizeToml(Object->toml()), "", true,
                          ComputeBaseVersion(*Object)});
}

records::ChangeSet ConfigPlan::makeChangeSet(const std::string &Id,
                                             const std::string &Author) const {
  records::ChangeSet Set;
  Set.set_id(Id);
  Set.set_author(Author);
  for (const Change &Planned : Changes_) {
    records::ConfigObject &Object = *Set.add_objects();
    Object.set_kind(Planned.Id.Kind);
    Object.set_name(Planned.Id.Name);
    Object.set_toml(Planned.After);
    Object.set_deleted(Planned.Removed);
    records::BaseVersion &Base = *Set.add_based_on();
    Base.set_kind(Planned.Id.Kind);
    Base.set_name(Planned.Id.Name);
    Base.set_version(Planned.BaseVersion);
  }
  return Set;
}

std::string ConfigPlan::toText() const {
  std::string Out;
  for (const Change &Planned : Changes_) {
    Out += fmt::format("{} {}\n", changeName(Planned), Planned.Id.text());
    Out += formatMissingLines(Planned.Before, Planned.After, '-');
    Out += formatMissingLines(Planned.After, Planned.Before, '+');
  }
  return Out;
}

std::string ConfigPlan::toJson() const {
  nlohmann::json ChangeList = nlohmann::json::array();
  for (const Change &Planned : Changes_)
    ChangeList.push_back({{"change", changeName(Planned)},
                          {"kind", Planned.Id.Kind},
                          {"name", Planned.Id.Name},
                          {"before", Planned.Before},
                          {"after", Planned.After}});
  return nlohmann::json{{"changes", ChangeList}}.dump();
}

} // namespace hickory
