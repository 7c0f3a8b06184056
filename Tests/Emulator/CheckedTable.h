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

/// A fault of a settings file, as one line for the user.
class SettingsError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

inline json jsonFrom(const TomlNode &Node) {
  if (const auto *Table = Node.as<TomlNode::Table>()) {
    json Object = json::object();
    for (const auto &[Key, Child] : *Table)
      Object[Key] = jsonFrom(Child);
    return Object;
  }
  if (const auto *Array = Node.as<TomlNode::Array>()) {
    json List = json::array();
    for (const TomlNode &Child : *Array)
      List.push_back(jsonFrom(Child));
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

inline json loadToml(const std::string &Path) {
  const auto Text = readTextFile(Path);
  if (!Text)
    throw SettingsError(Text.error().Message);
  const auto Parsed = parseToml(*Text, Path);
  if (!Parsed)
    throw SettingsError(Parsed.error().Message);
  return jsonFrom(*Parsed);
}

/// Reads the keys of one table; close() refuses the keys that nobody read.
class CheckedTable {
public:
  CheckedTable(json Table, std::string Name)
      : Table_(std::move(Table)), Name_(std::move(Name)) {
    if (!Table_.is_object())
      throw SettingsError(Name_ + " must be a table");
  }

  double number(const std::string &Key, double Default, double Least,
                double Most) {
    const json Value = take(Key, Default);
    if (!Value.is_number())
      throw SettingsError(fmt::format("{}.{} must be a number", Name_, Key));
    const double Number = Value.get<double>();
    if (!(Number >= Least && Number <= Most))
      throw SettingsError(fmt::format("{}.{} must be from {} to {}, not {}",
                                      Name_, Key, Least, Most, Number));
    return Number;
  }
  int integer(const std::string &Key, int Default, int Least, int Most) {
    const json Value = take(Key, Default);
    if (!Value.is_number_integer())
      throw SettingsError(fmt::format("{}.{} must be an integer", Name_, Key));
    const auto Number = Value.get<std::int64_t>();
    if (Number < Least || Number > Most)
      throw SettingsError(fmt::format("{}.{} must be from {} to {}, not {}",
                                      Name_, Key, Least, Most, Number));
    return static_cast<int>(Number);
  }
  bool flag(const std::string &Key, bool Default) {
    const json Value = take(Key, Default);
    if (!Value.is_boolean())
      throw SettingsError(
          fmt::format("{}.{} must be true or false", Name_, Key));
    return Value.get<bool>();
  }
  std::string text(const std::string &Key, const std::string &Default) {
    const json Value = take(Key, Default);
    if (!Value.is_string())
      throw SettingsError(fmt::format("{}.{} must be a string", Name_, Key));
    return Value.get<std::string>();
  }
  /// The tables of an array, each with a name for error messages.
  std::vector<CheckedTable> tables(const std::string &Key) {
    const json Value = take(Key, json::array());
    if (!Value.is_array())
      throw SettingsError(
          fmt::format("{}.{} must be an array of tables", Name_, Key));
    std::vector<CheckedTable> Found;
    for (const json &Item : Value)
      Found.emplace_back(Item,
                         fmt::format("{}.{}[{}]", Name_, Key, Found.size()));
    return Found;
  }
  CheckedTable table(const std::string &Key) {
    return {take(Key, json::object()), Name_ + "." + Key};
  }
  std::vector<int> integers(const std::string &Key) {
    const json Value = take(Key, json::array());
    std::vector<int> Found;
    if (Value.is_array())
      for (const json &Item : Value)
        if (Item.is_number_integer())
          Found.push_back(Item.get<int>());
    if (!Value.is_array() || Found.size() != Value.size())
      throw SettingsError(
          fmt::format("{}.{} must be an array of integers", Name_, Key));
    return Found;
  }
  [[nodiscard]] bool contains(const std::string &Key) const {
    return Table_.contains(Key);
  }
  /// Refuses unknown keys.
  void close() const {
    for (const auto &[Key, Value] : Table_.items())
      if (!Taken_.contains(Key))
        throw SettingsError(
            fmt::format("{}.{} is not a known key", Name_, Key));
  }

private:
  json take(const std::string &Key, json Default) {
    Taken_.insert(Key);
    return Table_.contains(Key) ? Table_[Key] : std::move(Default);
  }

  json Table_;
  std::string Name_;
  std::set<std::string> Taken_;
};

} // namespace hickory::emulator
