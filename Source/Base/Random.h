#pragma once

#include <cstdint>
#include <random>

namespace hickory {

/// Random number generator that tests can seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// Returns a generator seeded by the operating system.
  static Random fromSystem() {
    std::random_device Device;
    return Random((static_cast<std::uint64_t>(Device()) << 32) | Device());
  }

  std::uint64_t next() { return Engine_(); }

  /// Returns a number uniformly distributed in [0, 1).
  double unit() { return std::uniform_real_distribution<>(0.0, 1.0)(Engine_); }

  /// Returns a number uniformly distributed in [0, Bound). Bound must be
  /// positive.
  std::uint64_t below(std::uint64_t Bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Engine_);
  }

private:
  std::mt19937_64 Engine_;
};

} // namespace hickory
