#include "Config/ConfigJson.h"

#include <fmt/format.h>
#include <initializer_list>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

using Json = nlohmann::json;

/// Reads the fields of one JSON object and keeps the first problem.
class FieldReader {
public:
  FieldReader(const Json &Value, std::string Path, std::string &Problem)
      : Value_(Value), Path_(std::move(Path)), Problem_(Problem) {
    if (!Value_.is_object())
      note("", "must be a JSON object");
  }

  std::string text(const char *Key, bool Required = true) {
    const Json *Field = find(Key, Required);
    if (Field == nullptr)
      return {};
    if (Field->is_string())
      return Field->get<std::string>();
    note(Key, "must be a string");
    return {};
  }

  std::uint64_t number(const char *Key, bool Required = true) {
    const Json *Field = find(Key, Required);
    if (Field == nullptr)
      return 0;
    if (Field->is_number_unsigned())
      return Field->get<std::uint64_t>();
    note(Key, "must be an integer of at least 0");
    return 0;
  }

  bool flag(const char *Key) {
    const Json *Field = find(Key, false);
    if (Field == nullptr)
      return false;
    if (Field->is_boolean())
      return Field->get<bool>();
    note(Key, "must be true or false");
    return false;
  }

  /// Elements of an array; empty if absent and not required.
  const Json &array(const char *Key, bool Required = true) {
    static const Json Empty = Json::array();
    const Json *Field = find(Key, Required);
    if (Field == nullptr)
      return Empty;
    if (Field->is_array())
      return *Field;
    note(Key, "must be an array");
    return Empty;
  }

  void allowOnly(std::initializer_list<const char *> Keys) {
    if (!Value_.is_object())
      return;
    for (const auto &[Key, Field] : Value_.items()) {
      bool Known = false;
      for (const char *Allowed : Keys)
        Known = Known || Key == Allowed;
      if (!Known)
        note(Key, "is not a known field; remove it");
    }
  }

  void note(const std::string &Key, const std::string &Message) {
    if (!Problem_.empty())
      return;
    std::string Place = Path_;
    if (!Key.empty())
      Place += Place.empty() ? Key : "." + Key;
    Problem_ = Place.empty() ? "the body " + Message : Place + " " + Message;
  }

private:
  const Json *find(const char *Key, bool Required) {
    if (!Value_.is_object())
      return nullptr;
    const auto It = Value_.find(Key);
    if (It != Value_.end())
      return &*It;
    if (Required)
      note(Key, "is missing");
    return nullptr;
  }

  const Json &Value_;
  std::string Path_;
  std::string &Problem_;
};

Result<Json> parseJson(const std::string &Text) {
  Json Value = Json::parse(Text, nullptr, false);
  if (Value.is_discarded())
    return fail(ErrorCode::InvalidArgument, "the body is not valid JSON");
  return Value;
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

const char *verdictName(VerdictKind Kind) {
  switch (Kind) {
  case VerdictKind::Accepted:
    return "accepted";
  case VerdictKind::Conflict:
    return "conflict";
  case VerdictKind::Rejected:
    return "rejected";
  }
  return "rejected";
}

Result<records::ChangeSet> changeSetFromJson(const std::string &Text) {
  const Result<Json> Body = parseJson(Text);
  if (!Body)
    return tl::unexpected(Body.error());
  std::string Problem;
  records::ChangeSet Changes;
  FieldReader Root(*Body, "", Problem);
  Root.allowOnly({"id", "author", "based_on", "objects"});
  Changes.set_id(Root.text("id", false));
  Changes.set_author(Root.text("author", false));
  std::size_t Index = 0;
  for (const Json &Item : Root.array("based_on", false)) {
    FieldReader Fields(Item, fmt::format("based_on[{}]", Index++), Problem);
    Fields.allowOnly({"kind", "name", "version"});
    records::BaseVersion &Base = *Changes.add_based_on();
    Base.set_kind(Fields.text("kind"));
    Base.set_name(Fields.text("name"));
    Base.set_version(Fields.number("version"));
  }
  Index = 0;
  for (const Json &Item : Root.array("objects")) {
    FieldReader Fields(Item, fmt::format("objects[{}]", Index++), Problem);
    Fields.allowOnly({"kind", "name", "toml", "deleted"});
    records::ConfigObject &Object = *Changes.add_objects();
    Object.set_kind(Fields.text("kind"));
    Object.set_name(Fields.text("name"));
    Object.set_deleted(Fields.flag("deleted"));
    Object.set_toml(Fields.text("toml", !Object.deleted()));
  }
  if (!Problem.empty())
    return fail(ErrorCode::InvalidArgument, Problem);
  return Changes;
}

std::string changeSetToJson(const records::ChangeSet &Changes) {
  Json Body = {{"id", Changes.id()},
               {"author", Changes.author()},
               {"based_on", Json::array()},
               {"objects", Json::array()}};
  for (const records::BaseVersion &Base : Changes.based_on())
    Body["based_on"].push_back({{"kind", Base.kind()},
                                {"name", Base.name()},
                                {"version", Base.version()}});
  for (const records::ConfigObject &Object : Changes.objects()) {
    Json Item = {{"kind", Object.kind()}, {"name", Object.name()}};
    if (Object.deleted())
      Item["deleted"] = true;
    else
      Item["toml"] = Object.toml();
    Body["objects"].push_back(std::move(Item));
  }
  return dump(Body);
}

std::string verdictToJson(const ConfigVerdict &Verdict) {
  Json Body = {{"id", Verdict.Id},
               {"verdict", verdictName(Verdict.Kind)},
               {"version", Verdict.Version},
               {"errors", Verdict.Errors}};
  if (Verdict.Kind == VerdictKind::Conflict)
    Body["object"] = Verdict.Object;
  return dump(Body);
}

Result<ConfigVerdict> verdictFromJson(const std::string &Text) {
  const Result<Json> Body = parseJson(Text);
  if (!Body)
    return tl::unexpected(Body.error());
  std::string Problem;
  ConfigVerdict Verdict;
  FieldReader Root(*Body, "", Problem);
  Verdict.Id = Root.text("id", false);
  const std::string Kind = Root.text("verdict");
  Verdict.Version = Root.number("version", false);
  Verdict.Object = Root.text("object", false);
  for (const Json &Item : Root.array("errors", false))
    Verdict.Errors.push_back(Item.is_string() ? Item.get<std::string>()
                                              : Item.dump());
  if (Kind == "accepted")
    Verdict.Kind = VerdictKind::Accepted;
  else if (Kind == "conflict")
    Verdict.Kind = VerdictKind::Conflict;
  else if (Kind == "rejected")
    Verdict.Kind = VerdictKind::Rejected;
  else
    Root.note("verdict", "must be accepted, conflict or rejected");
  if (!Problem.empty())
    return fail(ErrorCode::InvalidArgument, Problem);
  return Verdict;
}

std::string publishedConfigToJson(const PublishedConfig &Config) {
  Json Body = {{"version", Config.Version}, {"objects", Json::array()}};
  for (const records::ConfigObject &Object : Config.Objects)
    Body["objects"].push_back({{"kind", Object.kind()},
                               {"name", Object.name()},
                               {"version", Object.version()},
                               {"toml", Object.toml()}});
  return dump(Body);
}

Result<PublishedConfig> publishedConfigFromJson(const std::string &Text) {
  const Result<Json> Body = parseJson(Text);
  if (!Body)
    return tl::unexpected(Body.error());
  std::string Problem;
  PublishedConfig Config;
  FieldReader Root(*Body, "", Problem);
  Config.Version = Root.number("version");
  std::size_t Index = 0;
  for (const Json &Item : Root.array("objects")) {
    FieldReader Fields(Item, fmt::format("objects[{}]", Index++), Problem);
    records::ConfigObject Object;
    Object.set_kind(Fields.text("kind"));
    Object.set_name(Fields.text("name"));
    Object.set_version(Fields.number("version"));
    Object.set_toml(Fields.text("toml"));
    Config.Objects.push_back(std::move(Object));
  }
  if (!Problem.empty())
    return fail(ErrorCode::InvalidArgument, Problem);
  return Config;
}

} // namespace hickory
