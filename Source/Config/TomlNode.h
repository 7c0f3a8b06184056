#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// A parsed TOML value with its line. Keeps the parser's headers, which are
/// slow to compile, out of every other file.
class TomlNode {
public:
  using Array = std::vector<TomlNode>;
  using Table = std::map<std::string, TomlNode>;
  /// Monostate stands for dates and times, which parseToml() refuses.
  using Value = std::variant<std::monostate, bool, std::int64_t, double,
                             std::string, Array, Table>;

  TomlNode() = default;
  TomlNode(Value Content, std::uint32_t Line)
      : Content_(std::move(Content)), Line_(Line) {}

  template <typename T> [[nodiscard]] const T *as() const {
    return std::get_if<T>(&Content_);
  }
  template <typename Visitor> void visit(Visitor &&Receiver) const {
    std::visit(std::forward<Visitor>(Receiver), Content_);
  }
  [[nodiscard]] std::uint32_t line() const { return Line_; }
  /// Name of the type for error messages, for example "an integer".
  [[nodiscard]] const char *typeName() const;

private:
  Value Content_;
  std::uint32_t Line_ = 0;
};

/// Parses a whole document. The error names Name, line and column. Dates and
/// times are refused, because no file of ours has any.
Result<TomlNode> parseToml(const std::string &Text, const std::string &Name);

/// Text of a table with its keys in sorted order, so that equal tables have
/// equal text.
std::string formatToml(const TomlNode &Table);

/// Reads a whole file.
Result<std::string> readTextFile(const std::string &Path);

} // namespace hickory
