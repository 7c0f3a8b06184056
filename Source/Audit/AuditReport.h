#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Result of an audit of the streams of a cell. A finding means that the
/// records are inconsistent or were altered. A note describes something unusual
/// that also occurs in correct operation.
struct AuditReport {
  struct Remark {
    std::string Stream;
    std::uint64_t Offset = 0;
    std::string Text;
  };
  /// Last batch in the hash chain of one incarnation.
  struct Head {
    std::uint64_t Sequence = 0;
    std::string Hash; ///< SHA-256 of the batch, in hexadecimal digits.
  };
  struct StreamSummary {
    std::size_t Entries = 0;
    std::size_t Bytes = 0;
    std::uint64_t FirstOffset = 0;
    std::uint64_t LastOffset = 0;
    std::size_t Duplicates = 0; ///< Batches appended again unchanged.
    bool Partial = false;       ///< Retention deleted earlier entries.
    bool StartsFromSnapshot = false;
    std::map<std::uint64_t, Head> Heads; ///< By incarnation.
  };
  struct JobCounts {
    std::size_t Accepted = 0;
    std::size_t Completed = 0;
    std::size_t Failed = 0;
    std::size_t NotRun = 0;
    std::size_t Unknown = 0;
    std::size_t Cancelled = 0;
    std::vector<std::string> Pending; ///< Keys, sorted.
  };
  /// Resources that ended tasks held, multiplied by the time they held them.
  struct ResourceUsage {
    double CpuSeconds = 0;
    double MemoryMbSeconds = 0;
    double AcceleratorSeconds = 0;
    std::size_t Tasks = 0;
    /// Largest of the shares of processors, memory and accelerators, as a
    /// fraction.
    double DominantShare = 0;
  };
  /// Names of the member and of its team; the team is empty if the job has
  /// none or is unknown.
  using MemberTeam = std::pair<std::string, std::string>;

  std::map<std::string, StreamSummary> Streams;
  JobCounts Jobs;
  std::map<MemberTeam, ResourceUsage> UsageByTeam;
  std::map<std::string, ResourceUsage> UsageByMember;
  std::int64_t PeriodStartMs = 0;
  std::int64_t PeriodEndMs = 0;
  /// True if shares are relative to the capacity of the cell, false if they are
  /// relative to the total usage because the capacity is unknown.
  bool CapacityKnown = false;
  std::size_t ConfigAccepted = 0;
  std::size_t ConfigConflicts = 0;
  std::size_t ConfigRejected = 0;
  std::vector<Remark> Findings;
  std::vector<Remark> Notes;

  [[nodiscard]] bool hasPassed() const { return Findings.empty(); }
  /// Returns true if retention deleted entries of any stream.
  [[nodiscard]] bool isPartial() const;
  [[nodiscard]] std::string toText() const;
  [[nodiscard]] std::string toJson() const;
};

} // namespace hickory
