#pragma once

#include "Config/TomlNode.h"

#include <chrono>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// Collects every problem of one document, so that the reader of the error can
/// correct all of them at once.
struct TomlProblems {
  std::string File;
  std::vector<std::string> Lines; ///< "file:line: key: what to write instead"

  void add(std::uint32_t Line, const std::string &Key,
           const std::string &Message);
  [[nodiscard]] std::string joined() const;
};

struct IntegerRule {
  std::int64_t Minimum = 0;
  std::int64_t Maximum = INT64_MAX;
  std::string Unit = {};
  std::optional<std::int64_t> Default = std::nullopt; ///< Absent: required.
};

struct NumberRule {
  double Minimum = 0;
  double Maximum = 1e9;
  std::string Unit = {};
  std::optional<double> Default = std::nullopt;
};

struct TextRule {
  std::optional<std::string> Default = std::nullopt;
  /// Returns what the value must be, or an empty string if it is right.
  std::function<std::string(const std::string &)> Check = nullptr;
};

/// Reads the keys of one table, checks type and range of each, and reports
/// keys that nobody asked for. After a problem a default value is returned so
/// that reading goes on.
class TomlTableReader {
public:
  /// Node may be null: every key is then absent. Path is the table's key.
  TomlTableReader(const TomlNode *Node, std::string Path,
                  TomlProblems &Problems);

  std::int64_t integer(const std::string &Key, const IntegerRule &Rule);
  double number(const std::string &Key, const NumberRule &Rule);
  std::string text(const std::string &Key, const TextRule &Rule = {});
  bool flag(const std::string &Key, bool Default);
  std::vector<std::string> texts(const std::string &Key);
  /// Absent or wrong: null.
  const TomlNode *table(const std::string &Key);
  /// Elements of an array of tables.
  std::vector<const TomlNode *> tables(const std::string &Key);

  /// Reports every key that was not asked for.
  void refuseUnknownKeys();

  void problem(const std::string &Key, const std::string &Message);
  /// Also makes Key a known one, so that an optional key need not be read.
  [[nodiscard]] bool has(const std::string &Key);
  [[nodiscard]] std::uint32_t lineOf(const std::string &Key) const;
  [[nodiscard]] std::string pathOf(const std::string &Key) const;

private:
  const TomlNode *find(const std::string &Key);

  const TomlNode::Table *Table_ = nullptr;
  std::uint32_t Line_ = 0;
  std::string Path_;
  TomlProblems &Problems_;
  std::set<std::string> Known_;
};

/// Rules for text values.
std::string checkName(const std::string &Text);
std::string checkIpAddress(const std::string &Text);
std::string checkEndpoint(const std::string &Text); ///< "ip:port"
std::string checkHttpUrl(const std::string &Text);  ///< http://ip:port

} // namespace hickory
