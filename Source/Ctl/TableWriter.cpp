#include "Ctl/TableWriter.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickory {

namespace {

using Json = nlohmann::json;

// Columns that identify a row are printed first.
const std::vector<std::string> LeadingColumns = {
    "name", "key", "task", "attempt", "slot", "shard", "member", "team"};

std::string formatCell(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_null())
    return "-";
  if (Value.is_number_float())
    return fmt::format("{:.4g}", Value.get<double>());
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool isTable(const Json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const Json &Row) { return Row.is_object(); });
}

std::string formatTable(const Json &Rows) {
  std::vector<std::string> Columns;
  const auto AddColumn = [&](const std::string &Name) {
    if (std::find(Columns.begin(), Columns.end(), Name) == Columns.end())
      Columns.push_back(Name);
  };
  for (const std::string &Name : LeadingColumns)
    for (const Json &Row : Rows)
      if (Row.contains(Name))
        AddColumn(Name);
  for (const Json &Row : Rows)
    for (const auto &[Name, Value] : Row.items())
      AddColumn(Name);
  std::vector<std::vector<std::string>> Cells = {Columns};
  for (const Json &Row : Rows) {
    std::vector<std::string> Line;
    Line.reserve(Columns.size());
    for (const std::string &Name : Columns)
      Line.push_back(Row.contains(Name) ? formatCell(Row.at(Name)) : "-");
    Cells.push_back(std::move(Line));
  }
  std::vector<std::size_t> Widths(Columns.size());
  for (const auto &Line : Cells)
    for (std::size_t C = 0; C < Columns.size(); ++C)
      Widths[C] = std::max(Widths[C], Line[C].size());
  std::string Out;
  for (const auto &Line : Cells) {
    for (std::size_t C = 0; C + 1 < Columns.size(); ++C)
      Out += fmt::format("{:<{}}  ", Line[C], Widths[C]);
    Out += Line.back() + "\n";
  }
  return Out;
}

} // namespace

std::string formatTables(const Json &Value) {
  if (isTable(Value))
    return formatTable(Value);
  if (!Value.is_object())
    return formatCell(Value) + "\n";
  std::string Lines;
  std::string Tables;
  for (const auto &[Name, Field] : Value.items()) {
    if (isTable(Field))
      Tables +=
          fmt::format("{}{}:\n{}", Lines.empty() && Tables.empty() ? "" : "\n",
                      Name, formatTable(Field));
    else
      Lines += fmt::format("{}: {}\n", Name, formatCell(Field));
  }
  return Lines + Tables;
}

} // namespace hickory
