#pragma once

#include "Audit/AuditReport.h"
#include "Records.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace hickory {

/// Recomputes what became of the jobs of one domain stream from its records
/// alone, and checks that the records agree with each other.
class JobAuditor {
public:
  JobAuditor(std::string Stream, bool Partial, AuditReport &Report);

  /// After a retention cut: starts from the jobs in the snapshot. Records at
  /// or below its covered offset then only count for resource use.
  void startFrom(const records::DomainSnapshot &Snapshot,
                 const std::set<std::uint64_t> &ExpiredInStream);

  void apply(std::uint64_t Offset, const records::RecordBatch &Batch);

  /// One ended attempt, for resource use.
  struct EndedTask {
    records::TaskEnded Record;
    std::int64_t WallMs = 0;
  };
  [[nodiscard]] const std::vector<EndedTask> &endedTasks() const {
    return Ended_;
  }
  /// Team of an accepted job; empty if unknown.
  [[nodiscard]] std::string teamOf(const std::string &Key) const;
  /// Keys accepted in this stream.
  [[nodiscard]] std::vector<std::string> acceptedKeys() const;

  /// Adds the counts of this stream to the report and checks what can only be
  /// told at the end.
  void finish();

private:
  struct Attempt {
    std::optional<records::Assign> Assigned;
    std::uint64_t AssignedAt = 0;
    std::optional<records::TaskEnded> Ended;
    std::uint64_t EndedAt = 0;
  };
  struct Job {
    std::optional<records::JobAccepted> Accepted;
    std::uint64_t AcceptedAt = 0;
    std::map<std::uint32_t, std::map<std::uint32_t, Attempt>> Tasks;
    std::optional<records::Intent> FirstIntent;
    std::optional<records::Outcome> Outcome;
    bool Cancelled = false;
  };

  void applyMembership(std::uint64_t Offset, std::uint64_t Writer,
                       const records::Record &Record);
  void applyAccepted(std::uint64_t Offset, const records::JobAccepted &Record);
  void applyAssign(std::uint64_t Offset, const records::Assign &Record);
  void applyEnded(std::uint64_t Offset, const records::TaskEnded &Record);
  void applyIntent(std::uint64_t Offset, const records::Intent &Record);
  void applyOutcome(std::uint64_t Offset, const records::Outcome &Record);
  void checkSnapshot(std::uint64_t Offset,
                     const records::DomainSnapshot &Snapshot);
  /// Pending if nothing says what became of it.
  [[nodiscard]] records::OutcomeKind outcomeOf(const Job &Item) const;
  [[nodiscard]] bool allTasksCompleted(const Job &Item) const;

  void find(std::uint64_t Offset, std::string Text);
  void note(std::uint64_t Offset, std::string Text);

  std::string Stream_;
  bool Partial_;
  AuditReport &Report_;
  std::optional<std::uint64_t> SnapshotCovers_;
  std::map<std::uint64_t, std::uint64_t> LastHeartbeat_;
  std::set<std::uint64_t> Expired_;
  std::map<std::string, Job> Jobs_;
  std::vector<EndedTask> Ended_;
  std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> EndedIds_;
};

} // namespace hickory
