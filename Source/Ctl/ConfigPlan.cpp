#include "Ctl/ConfigPlan.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hickory {

namespace {

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Lines of Text that Other lacks; keys are sorted, so order does not matter.
std::string linesMissingIn(const std::string &Text, const std::string &Other,
                           char Mark) {
  const std::vector<std::string> Known = linesOf(Other);
  std::string Out;
  for (const std::string &Line : linesOf(Text))
    if (!Line.empty() &&
        std::find(Known.begin(), Known.end(), Line) == Known.end())
      Out += fmt::format("    {} {}\n", Mark, Line);
  return Out;
}

const char *describe(const ConfigPlan::Change &Change) {
  if (Change.Removed)
    return "remove";
  return Change.BaseVersion == 0 ? "add" : "change";
}

} // namespace

ConfigPlan::ConfigPlan(const LocalConfig &Local, const PublishedConfig &InForce,
                       bool Prune) {
  std::map<ConfigObjectId, const records::ConfigObject *> Current;
  for (const records::ConfigObject &Object : InForce.Objects)
    Current.emplace(ConfigObjectId{Object.kind(), Object.name()}, &Object);
  // The version of an object is that of the configuration that last changed
  // it, so it compares with the version that the files were made from.
  const auto BaseOf = [&](const records::ConfigObject &Object) {
    return Local.BasedOn ? std::min(*Local.BasedOn, Object.version())
                         : Object.version();
  };
  for (const auto &[Id, Toml] : Local.Objects) {
    const auto It = Current.find(Id);
    if (It == Current.end()) {
      Changes_.push_back({Id, "", Toml, false, 0});
      continue;
    }
    std::string Before = canonicalToml(It->second->toml());
    if (Before != Toml)
      Changes_.push_back(
          {Id, std::move(Before), Toml, false, BaseOf(*It->second)});
  }
  if (!Prune)
    return;
  for (const auto &[Id, Object] : Current)
    if (!Local.Objects.contains(Id))
      Changes_.push_back(
          {Id, canonicalToml(Object->toml()), "", true, BaseOf(*Object)});
}

records::ChangeSet ConfigPlan::changeSet(const std::string &Id,
                                         const std::string &Author) const {
  records::ChangeSet Set;
  Set.set_id(Id);
  Set.set_author(Author);
  for (const Change &Item : Changes_) {
    records::ConfigObject &Object = *Set.add_objects();
    Object.set_kind(Item.Id.Kind);
    Object.set_name(Item.Id.Name);
    Object.set_toml(Item.After);
    Object.set_deleted(Item.Removed);
    records::BaseVersion &Base = *Set.add_based_on();
    Base.set_kind(Item.Id.Kind);
    Base.set_name(Item.Id.Name);
    Base.set_version(Item.BaseVersion);
  }
  return Set;
}

std::string ConfigPlan::text() const {
  std::string Out;
  for (const Change &Item : Changes_) {
    Out += fmt::format("{} {}\n", describe(Item), Item.Id.text());
    Out += linesMissingIn(Item.Before, Item.After, '-');
    Out += linesMissingIn(Item.After, Item.Before, '+');
  }
  return Out;
}

std::string ConfigPlan::json() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Change &Item : Changes_)
    List.push_back({{"change", describe(Item)},
                    {"kind", Item.Id.Kind},
                    {"name", Item.Id.Name},
                    {"before", Item.Before},
                    {"after", Item.After}});
  return nlohmann::json{{"changes", List}}.dump();
}

} // namespace hickory
