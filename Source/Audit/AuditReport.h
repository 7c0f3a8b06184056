#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// What hickory-audit found. Any finding means that the record does not add up
/// or was altered; a note is worth knowing but may have an innocent cause.
struct AuditReport {
  struct Remark {
    std::string Stream;
    std::uint64_t Offset = 0;
    std::string Text;
  };
  struct Head {
    std::uint64_t Sequence = 0;
    std::string Hash; ///< SHA-256 of that batch, in hexadecimal digits.
  };
  struct StreamSummary {
    std::size_t Entries = 0;
    std::size_t Bytes = 0;
    std::uint64_t FirstOffset = 0;
    std::uint64_t LastOffset = 0;
    std::size_t Duplicates = 0; ///< Appends that were repeated unchanged.
    bool Partial = false;       ///< Earlier entries were cut by retention.
    bool StartsFromSnapshot = false;
    std::map<std::uint64_t, Head> Heads; ///< Last batch of each incarnation.
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
  struct Use {
    double CpuSeconds = 0;
    double MemoryMbSeconds = 0;
    double AcceleratorSeconds = 0;
    std::size_t Tasks = 0;
    /// Largest of the shares in processors, memory and accelerators.
    double DominantShare = 0;
  };
  using MemberTeam = std::pair<std::string, std::string>; ///< Team may be "".

  std::map<std::string, StreamSummary> Streams;
  JobCounts Jobs;
  std::map<MemberTeam, Use> UseByTeam;
  std::map<std::string, Use> UseByMember;
  std::int64_t PeriodStartMs = 0;
  std::int64_t PeriodEndMs = 0;
  /// Shares are of this capacity, or of all use if it is not known.
  bool CapacityKnown = false;
  std::size_t ConfigAccepted = 0;
  std::size_t ConfigConflicts = 0;
  std::size_t ConfigRejected = 0;
  std::vector<Remark> Findings;
  std::vector<Remark> Notes;

  [[nodiscard]] bool passed() const { return Findings.empty(); }
  [[nodiscard]] bool partial() const;
  [[nodiscard]] std::string text() const;
  [[nodiscard]] std::string json() const;
};

} // namespace hickory
