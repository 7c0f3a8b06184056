#include "Cell/WaitingJobsView.h"

#include <algorithm>

namespace hickory {

void WaitingJobsView::apply(const ShardWaitingJobs &Report,
                            Clock::time_point RequestedAt) {
  Entry &Latest = Entries_[Report.Shard];
  if (Report.Epoch >= Latest.Report.Epoch)
    Latest = {.Report = Report, .RequestedAt = RequestedAt};
}

WaitingJobsCount WaitingJobsView::count(const std::string &Queue,
                                        Clock::time_point Now) const {
  WaitingJobsCount Count;
  int Sum = 0;
  for (const auto &[Shard, Latest] : Entries_) {
    Count.OldestReport = std::max(Count.OldestReport, Now - Latest.RequestedAt);
    if (const auto It = Latest.Report.Jobs.find(Queue);
        It != Latest.Report.Jobs.end())
      Sum += It->second;
  }
  Count.MissingShards = Shards_ - static_cast<int>(Entries_.size());
  if (Count.MissingShards == 0 && Count.OldestReport <= MaximumAge)
    Count.Jobs = Sum;
  return Count;
}

} // namespace hickory
