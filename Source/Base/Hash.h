#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickory {

/// Returns the first 64 bits of the SHA-256 of Text. Must stay the same on all
/// hosts and in all releases, because key ownership is derived from it.
std::uint64_t stableHash(std::string_view Text);

/// Returns the SHA-256 of Text as 32 raw bytes.
std::string sha256(std::string_view Text);

} // namespace hickory
