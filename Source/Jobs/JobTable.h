#pragma once

#include "Membership/JobRecordSink.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// The state of one task of a job according to the log.
struct TaskRecord {
  records::Assign Assigned; ///< Latest attempt; attempt 0 if there is none.
  std::optional<records::TaskEnded> Ended; ///< Of the latest attempt.
};

/// The state of one idempotency key according to the log.
struct KeyRecord {
  std::optional<records::JobAccepted> Accepted;
  std::optional<records::Intent> Intent; ///< Latest attempt.
  std::map<std::uint32_t, TaskRecord> Tasks;
  std::optional<records::Outcome> Outcome;
  bool Cancelled = false;
};

/// The state of all keys of one failure domain, built from its log stream.
/// Every instance of the domain maintains this table, so that it can take over
/// the jobs of a failed owner without reading the log again.
class JobTable final : public JobRecordSink {
public:
  void apply(std::uint64_t Offset, std::uint64_t Incarnation,
             const records::Record &Record) override;
  void load(const records::DomainSnapshot &Snapshot) override;
  void save(records::DomainSnapshot &Snapshot) const override;

  [[nodiscard]] const KeyRecord *find(const std::string &Key) const;
  [[nodiscard]] std::size_t size() const { return Keys_.size(); }

  /// Returns the keys without an outcome that satisfy the predicate.
  [[nodiscard]] std::vector<std::string>
  unfinished(const std::function<bool(const std::string &)> &Predicate) const;

  /// Removes a finished key; called when the retention of its outcome ends.
  void erase(const std::string &Key);

  /// Sets the callback that runs after a record of a key was applied.
  void onChange(std::function<void(const std::string &Key)> Callback) {
    ChangeCallback_ = std::move(Callback);
  }

private:
  void applyTaskEnded(const records::TaskEnded &Ended);

  std::unordered_map<std::string, KeyRecord> Keys_;
  std::function<void(const std::string &)> ChangeCallback_;
};

/// Returns the idempotency key of a record, or an empty string if records of
/// this kind have no key.
std::string keyOf(const records::Record &Record);

} // namespace hickory
