#include "Backends/BestFitPicker.h"

#include <tuple>

namespace hickory {

namespace {

double share(std::int64_t Part, std::int64_t Whole) {
  return Whole <= 0 ? 0.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace

std::optional<std::size_t>
BestFitPicker::pick(const std::vector<Candidate> &Candidates,
                    const Capacity &Need) const {
  std::optional<std::size_t> Best;
  std::tuple<int, std::int64_t, double> BestRank;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Candidate &One = Candidates[I];
    if (CheckFit_ && !Need.fitsInto(One.Free))
      continue;
    const Capacity Left = One.Free - Need;
    const std::tuple Rank(One.Preference, Left.Accelerators,
                          std::max(share(Left.CpusMilli, One.Total.CpusMilli),
                                   share(Left.MemoryMb, One.Total.MemoryMb)));
    if (!Best || Rank < BestRank) {
      Best = I;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace hickory
