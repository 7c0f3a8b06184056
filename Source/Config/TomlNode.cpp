#include "Config/TomlNode.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace hickory {

namespace {

TomlNode convert(const toml::node &Node) {
  const auto Line = static_cast<std::uint32_t>(Node.source().begin.line);
  if (const auto *Table = Node.as_table()) {
    TomlNode::Table Content;
    for (const auto &[Key, Child] : *Table)
      Content.emplace(std::string(Key.str()), convert(Child));
    return {std::move(Content), Line};
  }
  if (const auto *Array = Node.as_array()) {
    TomlNode::Array Content;
    Content.reserve(Array->size());
    for (const toml::node &Child : *Array)
      Content.push_back(convert(Child));
    return {std::move(Content), Line};
  }
  if (const auto *Text = Node.as_string())
    return {Text->get(), Line};
  if (const auto *Integer = Node.as_integer())
    return {Integer->get(), Line};
  if (const auto *Number = Node.as_floating_point())
    return {Number->get(), Line};
  if (const auto *Flag = Node.as_boolean())
    return {Flag->get(), Line};
  return {std::monostate(), Line};
}

/// First date or time in the tree, or null.
const TomlNode *findDate(const TomlNode &Node) {
  if (Node.as<std::monostate>() != nullptr)
    return &Node;
  if (const auto *Table = Node.as<TomlNode::Table>())
    for (const auto &[Key, Child] : *Table)
      if (const TomlNode *Found = findDate(Child))
        return Found;
  if (const auto *Array = Node.as<TomlNode::Array>())
    for (const TomlNode &Child : *Array)
      if (const TomlNode *Found = findDate(Child))
        return Found;
  return nullptr;
}

/// Inserts Node into a table or array of the parser's types.
struct Inserter {
  toml::table *Table = nullptr;
  toml::array *Array = nullptr;
  std::string Key;

  template <typename T> void insert(T &&Value) {
    if (Table != nullptr)
      Table->insert_or_assign(Key, std::forward<T>(Value));
    else
      Array->push_back(std::forward<T>(Value));
  }
  void operator()(std::monostate /*None*/) {}
  void operator()(bool Value) { insert(Value); }
  void operator()(std::int64_t Value) { insert(Value); }
  void operator()(double Value) { insert(Value); }
  void operator()(const std::string &Value) { insert(Value); }
  void operator()(const TomlNode::Array &Value) {
    toml::array Content;
    for (const TomlNode &Child : Value)
      Child.visit(Inserter{.Array = &Content, .Key = {}});
    insert(std::move(Content));
  }
  void operator()(const TomlNode::Table &Value) {
    toml::table Content;
    for (const auto &[Name, Child] : Value)
      Child.visit(Inserter{.Table = &Content, .Key = Name});
    insert(std::move(Content));
  }
};

} // namespace

std::string formatToml(const TomlNode &Table) {
  toml::table Content;
  if (const auto *Entries = Table.as<TomlNode::Table>())
    for (const auto &[Name, Child] : *Entries)
      Child.visit(Inserter{.Table = &Content, .Key = Name});
  std::ostringstream Text;
  Text << Content;
  std::string Out = Text.str();
  if (!Out.empty() && Out.back() != '\n')
    Out.push_back('\n');
  return Out;
}

const char *TomlNode::typeName() const {
  static constexpr std::array<const char *, 7> Names = {
      "a date or time", "a boolean", "an integer", "a floating-point number",
      "a string",       "an array",  "a table"};
  return Names[Content_.index()];
}

Result<TomlNode> parseToml(const std::string &Text, const std::string &Name) {
  const toml::parse_result Parsed = toml::parse(Text, Name);
  if (Parsed.failed()) {
    const toml::parse_error &Failure = Parsed.error();
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}:{}:{}: not valid TOML: {}", Name,
                            Failure.source().begin.line,
                            Failure.source().begin.column,
                            std::string(Failure.description())));
  }
  TomlNode Document = convert(Parsed.table());
  if (const TomlNode *Date = findDate(Document))
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}:{}: dates and times are not used here; write a "
                            "string or an integer",
                            Name, Date->line()));
  return Document;
}

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fail(ErrorCode::NotFound, fmt::format("{}: cannot be read: {}", Path,
                                                 std::strerror(errno)));
  std::ostringstream Text;
  Text << File.rdbuf();
  if (File.bad())
    return fail(ErrorCode::NotFound,
                fmt::format("{}: cannot be read completely", Path));
  return Text.str();
}

} // namespace hickory
