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

/// Computes the outcomes of the jobs in one domain stream from the records
/// only, and checks that the records are consistent with each other.
class JobAuditor {
public:
  /// Partial is true if retention deleted earlier entries of the stream.
  /// Findings, notes and counts are added to Report.
  JobAuditor(std::string Stream, bool Partial, AuditReport &Report);

  /// Loads the jobs of a snapshot after retention deleted earlier entries.
  /// Records up to the offset that the snapshot covers then count only for
  /// resource usage and membership. ExpiredInStream are the incarnations with
  /// an Expire record in the retained stream.
  void loadSnapshot(const records::DomainSnapshot &Snapshot,
                    const std::set<std::uint64_t> &ExpiredInStream);

  /// Applies the batch at Offset.
  void applyBatch(std::uint64_t Offset, const records::RecordBatch &Batch);

  /// An ended attempt and the wall-clock time of its batch, for resource usage.
  struct EndedAttempt {
    records::TaskEnded Record;
    std::int64_t WallTimeMs = 0;
  };
  [[nodiscard]] const std::vector<EndedAttempt> &endedAttempts() const {
    return EndedAttempts_;
  }
  /// Returns the team of an accepted job; empty if unknown.
  [[nodiscard]] std::string findTeam(const std::string &Key) const;
  /// Returns the keys of the jobs accepted in this stream.
  [[nodiscard]] std::vector<std::string> acceptedKeys() const;

  /// Adds the job counts and pending keys of this stream to the report. Called
  /// after all batches have been applied.
  void addJobCounts();

private:
  struct AttemptState {
    std::optional<records::Assign> Assigned;
    std::uint64_t AssignedOffset = 0;
    std::optional<records::TaskEnded> Ended;
    std::uint64_t EndedOffset = 0;
  };
  struct JobState {
    std::optional<records::JobAccepted> Accepted;
    std::uint64_t AcceptedOffset = 0;
    std::map<std::uint32_t, std::map<std::uint32_t, AttemptState>> Tasks;
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
  /// Returns OUTCOME_PENDING if the records do not determine the outcome.
  [[nodiscard]] records::OutcomeKind
  determineOutcome(const JobState &Job) const;
  [[nodiscard]] bool hasCompletedAllTasks(const JobState &Job) const;

  void addFinding(std::uint64_t Offset, std::string Text);
  void addNote(std::uint64_t Offset, std::string Text);

  std::string Stream_;
  bool Partial_;
  AuditReport &Report_;
  std::optional<std::uint64_t> SnapshotCoveredOffset_;
  std::map<std::uint64_t, std::uint64_t>
      LastHeartbeatOffset_; ///< By incarnation.
  std::set<std::uint64_t> ExpiredIncarnations_;
  std::map<std::string, JobState> Jobs_;
  std::vector<EndedAttempt> EndedAttempts_;
  std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>>
      EndedAttemptIds_;
};

} // namespace hickory
