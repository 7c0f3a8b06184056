#pragma once

#include "Config/TomlNode.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace hickory::emulator {

using nlohmann::json;

/// An error in a settings file; its message is one line for the user.
class SettingsError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

inline json tomlToJson(const TomlNode &Node) {
  if (const auto *Table = Node.as<TomlNode::Table>()) {
    json Object = json::object();
    for (const auto &[Key, Child] : *Table)
      Object[Key] = tomlToJson(Child);
    return Object;
  }
  if (const auto *Array = Node.as<TomlNode::Array>()) {
    json List = json::array();
    for (const TomlNode &Child : *Array)
      List.push_back(tomlToJson(Child));
    return List;
  }
  if (const auto *Text = Node.as<std::string>())
    return *Text;
  if (const auto *Integer = Node.as<std::int64_t>())
    return *Integer;
  if (const auto *Number = Node.as<double>())
    return *Number;
  if (const auto *Flag = Node.as<bool>())
    return *Flag;
  return nullptr;
}

/// Reads a TOML file; throws SettingsError if it cannot be read or parsed.
inline json loadToml(const std::string &Path) {
  const auto Text = readTextFile(Path);
  if (!Text)
    throw SettingsError(Text.error().Message);
  const auto Parsed = parseToml(*Text, Path);
  if (!Parsed)
    throw SettingsError(Parsed.error().Message);
  return tomlToJson(*Parsed);
}

/// Reads and checks the keys of one table. Every function throws SettingsError
/// for a value of the wrong type or outside its range.
class CheckedTable {
public:
  CheckedTable(json Table, std::string Name)
      : Table_(std::move(Table)), Name_(std::move(Name)) {
    if (!Table_.is_object())
      throw SettingsError(Name_ + " must be a table");
  }

  double number(const std::string &Key, double Default, double Minimum,
                double Maximum) {
    const json Value = readKey(Key, Default);
    if (!Value.is_number())
      throw SettingsError(fmt::format("{}.{} must be a number", Name_, Key));
    const double Number = Value.get<double>();
    if (!(Number >= Minimum && Number <= Maximum))
      throw SettingsError(fmt::format("{}.{} must be from {} to {}, not {}",
                                      Name_, Key, Minimum, Maximum, Number));
    return Number;
  }
  int integer(const std::string &Key, int Default, int Minimum, int Maximum) {
    const json Value = readKey(Key, Default);
    if (!Value.is_number_integer())
      throw SettingsError(fmt::format("{}.{} must be an integer", Name_, Key));
    const auto Number = Value.get<std::int64_t>();
    if (Number < Minimum || Number > Maximum)
      throw SettingsError(fmt::format("{}.{} must be from {} to {}, not {}",
                                      Name_, Key, Minimum, Maximum, Number));
    return static_cast<int>(Number);
  }
  bool flag(const std::string &Key, bool Default) {
    const json Value = readKey(Key, Default);
    if (!Value.is_boolean())
      throw SettingsError(
          fmt::format("{}.{} must be true or false", Name_, Key));
    return Value.get<bool>();
  }
  std::string text(const std::string &Key, const std::string &Default) {
    const json Value = readKey(Key, Default);
    if (!Value.is_string())
      throw SettingsError(fmt::format("{}.{} must be a string", Name_, Key));
    return Value.get<std::string>();
  }
  /// Returns the tables of an array, each named by its index in error messages.
  std::vector<CheckedTable> tables(const std::string &Key) {
    const json Value = readKey(Key, json::array());
    if (!Value.is_array())
      throw SettingsError(
          fmt::format("{}.{} must be an array of tables", Name_, Key));
    std::vector<CheckedTable> Result;
    for (const json &Element : Value)
      Result.emplace_back(Element,
                          fmt::format("{}.{}[{}]", Name_, Key, Result.size()));
    return Result;
  }
  CheckedTable table(const std::string &Key) {
    return {readKey(Key, json::object()), Name_ + "." + Key};
  }
  std::vector<int> integers(const std::string &Key) {
    const json Value = readKey(Key, json::array());
    std::vector<int> Result;
    if (Value.is_array())
      for (const json &Element : Value)
        if (Element.is_number_integer())
          Result.push_back(Element.get<int>());
    if (!Value.is_array() || Result.size() != Value.size())
      throw SettingsError(
          fmt::format("{}.{} must be an array of integers", Name_, Key));
    return Result;
  }
  [[nodiscard]] bool contains(const std::string &Key) const {
    return Table_.contains(Key);
  }
  /// Throws SettingsError for a key that has not been read. Call it after the
  /// last key is read, so that a misspelled key is not ignored.
  void rejectUnknownKeys() const {
    for (const auto &[Key, Value] : Table_.items())
      if (!ReadKeys_.contains(Key))
        throw SettingsError(
            fmt::format("{}.{} is not a known key", Name_, Key));
  }

private:
  json readKey(const std::string &Key, json Default) {
    ReadKeys_.insert(Key);
    return Table_.contains(Key) ? Table_[Key] : std::move(Default);
  }

  json Table_;
  std::string Name_;
  std::set<std::string> ReadKeys_;
};

} // namespace hickory::emulator
