#pragma once

#include "Base/TimerService.h"

#include <cstdint>
#include <map>

namespace hickory {

/// Promises given to other incarnations not to expire them.
class ConsentTable {
public:
  /// The promise holds until Until on the local clock.
  void grant(std::uint64_t Incarnation, Clock::time_point Until);
  [[nodiscard]] bool promised(std::uint64_t Incarnation,
                              Clock::time_point Now) const;
  void removeEnded(Clock::time_point Now);

private:
  std::map<std::uint64_t, Clock::time_point> Until_;
};

} // namespace hickory
