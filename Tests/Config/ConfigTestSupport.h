#pragma once

#include "Records.pb.h"

#include <string>

namespace hickory {

inline void addObject(records::ChangeSet &Changes, const std::string &Kind,
                      const std::string &Name, const std::string &Toml,
                      std::uint64_t BasedOn = 0) {
  records::ConfigObject &Object = *Changes.add_objects();
  Object.set_kind(Kind);
  Object.set_name(Name);
  Object.set_toml(Toml);
  records::BaseVersion &Base = *Changes.add_based_on();
  Base.set_kind(Kind);
  Base.set_name(Name);
  Base.set_version(BasedOn);
}

inline void removeObject(records::ChangeSet &Changes, const std::string &Kind,
                         const std::string &Name, std::uint64_t BasedOn) {
  addObject(Changes, Kind, Name, "", BasedOn);
  Changes.mutable_objects()->rbegin()->set_deleted(true);
}

inline records::RecordBatch batchOf(const records::ChangeSet &Changes) {
  records::RecordBatch Batch;
  *Batch.add_records()->mutable_change_set() = Changes;
  return Batch;
}

/// The configuration of the two members, as one change set.
inline records::ChangeSet cellChangeSet(const std::string &Id) {
  records::ChangeSet Changes;
  Changes.set_id(Id);
  addObject(Changes, "member", "kernvaal",
            "display_name = \"Kernvaal Milling Systems\"\n"
            "teams = [\"sorting\", \"lab\"]\n");
  addObject(Changes, "member", "karri-ridge", "");
  addObject(Changes, "pool", "main",
            "failure_domains = [\"paarl-a\", \"perth-north\"]\n"
            "[capacity]\ncpus_milli = 3200000\nmemory_mb = 12800000\n"
            "accelerators = 16\n");
  addObject(Changes, "policy", "batch", "kind = \"batch\"\npriority = 100\n");
  addObject(Changes, "policy", "urgent",
            "inherits = \"batch\"\npriority = 1000\nmax_attempts = 5\n");
  addObject(Changes, "policy", "once",
            "inherits = \"urgent\"\nnon_repeatable = true\n");
  addObject(Changes, "quota", "kernvaal",
            "member = \"kernvaal\"\npool = \"main\"\ncpus_milli = 2000000\n"
            "memory_mb = 8000000\naccelerators = 8\n");
  addObject(Changes, "quota", "kernvaal-sorting",
            "member = \"kernvaal\"\nteam = \"sorting\"\npool = \"main\"\n"
            "cpus_milli = 1500000\n");
  addObject(Changes, "quota", "karri-ridge",
            "member = \"karri-ridge\"\npool = \"main\"\n"
            "cpus_milli = 1200000\nmemory_mb = 4800000\naccelerators = 8\n");
  addObject(Changes, "job_class", "moisture-check",
            "member = \"kernvaal\"\npool = \"main\"\npolicy = \"urgent\"\n");
  addObject(Changes, "job_class", "sheller-calibration",
            "member = \"kernvaal\"\npool = \"main\"\npolicy = \"once\"\n");
  return Changes;
}

} // namespace hickory
