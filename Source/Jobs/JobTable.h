#pragma once

#include "Membership/JobRecordSink.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// What the log says about one task of a job.
struct TaskRecord {
  records::Assign Assigned; ///< Latest attempt; attempt 0 if there is none.
  std::optional<records::TaskEnded> Ended; ///< Of the latest attempt.
};

/// What the log says about one idempotency key.
struct KeyRecord {
  std::optional<records::JobAccepted> Accepted;
  std::optional<records::Intent> Intent; ///< Latest attempt.
  std::map<std::uint32_t, TaskRecord> Tasks;
  std::optional<records::Outcome> Outcome;
  bool Cancelled = false;
};

/// All keys of one failure domain as its log stream tells them. Every instance
/// of the domain keeps this table, so that a successor knows the jobs of an
/// owner that died without reading the log again.
class JobTable final : public JobRecordSink {
public:
  void apply(std::uint64_t Offset, std::uint64_t Incarnation,
             const records::Record &Record) override;
  void load(const records::DomainSnapshot &Snapshot) override;
  void save(records::DomainSnapshot &Snapshot) const override;

  [[nodiscard]] const KeyRecord *find(const std::string &Key) const;
  [[nodiscard]] std::size_t size() const { return Keys_.size(); }

  /// Keys without an outcome that satisfy the predicate.
  [[nodiscard]] std::vector<std::string>
  unfinished(const std::function<bool(const std::string &)> &Wanted) const;

  /// Forgets the outcome of a finished key; called when its retention ends.
  void forget(const std::string &Key);

  /// Called after a record of a key was applied.
  void onChange(std::function<void(const std::string &Key)> Callback) {
    Changed_ = std::move(Callback);
  }

private:
  void applyTaskEnded(const records::TaskEnded &Ended);

  std::unordered_map<std::string, KeyRecord> Keys_;
  std::function<void(const std::string &)> Changed_;
};

/// The key that a record is about; empty for other records.
std::string keyOf(const records::Record &Record);

} // namespace hickory
