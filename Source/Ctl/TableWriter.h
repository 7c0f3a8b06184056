#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hickory {

/// Formats a response of the HTTP API as human-readable text: single values as
/// lines, each array of objects as a table with one column per field.
std::string formatTables(const nlohmann::json &Value);

} // namespace hickory
