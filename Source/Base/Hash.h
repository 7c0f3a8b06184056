#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickory {

/// First 64 bits of SHA-256. The same on every machine and in every release,
/// because owners of keys are derived from it.
std::uint64_t stableHash(std::string_view Text);

/// SHA-256 as 32 raw bytes.
std::string sha256(std::string_view Text);

} // namespace hickory
