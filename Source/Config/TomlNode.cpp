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

} // namespace

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
  return convert(Parsed.table());
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
