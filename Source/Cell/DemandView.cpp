#include "Cell/DemandView.h"

#include <algorithm>

namespace hickory {

void DemandView::apply(const std::string &Owner, std::vector<AccountLoad> Loads,
                       Clock::time_point RequestedAt) {
  Report &Latest = Reports_[Owner];
  if (RequestedAt >= Latest.RequestedAt)
    Latest = {.Loads = std::move(Loads), .RequestedAt = RequestedAt};
}

void DemandView::add(const std::string &Owner, const AccountLoad &Load) {
  if (const auto It = Reports_.find(Owner); It != Reports_.end())
    It->second.Loads.push_back(Load);
}

DemandView::Sums DemandView::sums(Clock::time_point Now) const {
  Sums Result;
  for (const auto &[Owner, Latest] : Reports_) {
    const Clock::duration Age = Now - Latest.RequestedAt;
    if (Age >= MaximumAge)
      continue;
    ++Result.Reports;
    Result.OldestReport = std::max(Result.OldestReport, Age);
    for (const AccountLoad &Load : Latest.Loads)
      Result.ByPriority[Load.Priority][Load.Account].add(Load);
  }
  return Result;
}

void DemandView::dropExpired(Clock::time_point Now) {
  std::erase_if(Reports_, [Now](const auto &OwnerAndReport) {
    return Now - OwnerAndReport.second.RequestedAt >= MaximumAge;
  });
}

} // namespace hickory
