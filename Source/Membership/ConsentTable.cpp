#include "Membership/ConsentTable.h"

#include <algorithm>

namespace hickory {

void ConsentTable::grant(std::uint64_t Incarnation, Clock::time_point Until) {
  Clock::time_point &Entry =
      Until_.try_emplace(Incarnation, Until).first->second;
  Entry = std::max(Entry, Until);
}

bool ConsentTable::promised(std::uint64_t Incarnation,
                            Clock::time_point Now) const {
  const auto It = Until_.find(Incarnation);
  return It != Until_.end() && Now < It->second;
}

void ConsentTable::removeEnded(Clock::time_point Now) {
  std::erase_if(Until_, [&](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace hickory
