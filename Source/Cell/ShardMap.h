#pragma once

#include "Base/Hash.h"

#include <string>
#include <string_view>

namespace hickory {

/// Maps jobs and workers to shards by a hash of their ids.
class ShardMap {
public:
  explicit ShardMap(int Count) : Count_(Count) {}
  [[nodiscard]] int count() const { return Count_; }
  [[nodiscard]] int shardOf(std::string_view Id) const {
    return static_cast<int>(stableHash(Id) %
                            static_cast<std::uint64_t>(Count_));
  }

private:
  int Count_;
};

} // namespace hickory
