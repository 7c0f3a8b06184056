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
  /// Dates and times are not used in any of our files; they are monostate.
  using Value = std::variant<std::monostate, bool, std::int64_t, double,
                             std::string, Array, Table>;

  TomlNode() = default;
  TomlNode(Value Content, std::uint32_t Line)
      : Content_(std::move(Content)), Line_(Line) {}

  template <typename T> [[nodiscard]] const T *as() const {
    return std::get_if<T>(&Content_);
  }
  [[nodiscard]] std::uint32_t line() const { return Line_; }
  /// Name of the type for error messages, for example "an integer".
  [[nodiscard]] const char *typeName() const;

private:
  Value Content_;
  std::uint32_t Line_ = 0;
};

/// Parses a whole document. The error names Name, line and column.
Result<TomlNode> parseToml(const std::string &Text, const std::string &Name);

/// Reads a whole file.
Result<std::string> readTextFile(const std::string &Path);

} // namespace hickory
