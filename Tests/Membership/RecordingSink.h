#pragma once

#include "Membership/JobRecordSink.h"

#include <functional>
#include <map>
#include <string>

namespace hickory {

/// Keeps the job records that a DomainState passed on, so that replays can be
/// compared.
class RecordingSink final : public JobRecordSink {
public:
  void apply(std::uint64_t /*Offset*/, std::uint64_t Incarnation,
             const records::Record &Record) override {
    LastAuthor = Incarnation;
    if (Record.has_job_cancelled())
      ++Counts[Record.job_cancelled().key()];
    if (Observe)
      Observe(Incarnation);
  }
  void load(const records::DomainSnapshot &Snapshot) override {
    Counts.clear();
    for (const auto &Job : Snapshot.jobs())
      Counts[Job.accepted().key()] = Job.accepted().tasks();
  }
  void save(records::DomainSnapshot &Snapshot) const override {
    for (const auto &[Key, Count] : Counts) {
      auto &Job = *Snapshot.add_jobs();
      Job.mutable_accepted()->set_key(Key);
      Job.mutable_accepted()->set_tasks(Count);
    }
  }

  std::map<std::string, std::uint32_t> Counts;
  std::uint64_t LastAuthor = 0;
  std::function<void(std::uint64_t)> Observe;
};

} // namespace hickory
