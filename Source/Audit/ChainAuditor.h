#pragma once

#include "Audit/AuditReport.h"
#include "Audit/StreamExport.h"
#include "Records.pb.h"

#include <map>
#include <string>
#include <unordered_map>

namespace hickory {

/// Checks the sequence numbers and the hash chain of every incarnation in one
/// stream. Changes to a batch are detected by the hash in the next batch of its
/// incarnation. Changes to the last batch of an incarnation are detected only
/// by comparison with the heads of an earlier audit.
class ChainAuditor {
public:
  using Heads = std::map<std::uint64_t, AuditReport::Head>;

  /// Partial is true if retention deleted earlier entries of the stream.
  /// Findings are added to Report.
  ChainAuditor(std::string Stream, bool Partial, AuditReport &Report);

  enum class BatchStatus {
    New,          ///< Continues the chain of its incarnation.
    Duplicate,    ///< Is an unchanged copy of an earlier batch.
    Inconsistent, ///< Does not continue the chain; adds a finding.
  };
  /// Checks the next entry of the stream, which contains Batch.
  BatchStatus checkBatch(const LogEntry &Entry,
                         const records::RecordBatch &Batch);

  /// Compares the stream with the heads of an earlier audit. Adds a finding for
  /// each head that is missing or changed, unless retention may have deleted
  /// it.
  void checkHeads(const Heads &Earlier);
  /// Returns the head of each incarnation.
  [[nodiscard]] Heads heads() const;

private:
  struct Chain {
    std::uint64_t First = 0; ///< Sequence of the first batch seen.
    std::uint64_t Last = 0;  ///< Sequence of the last batch seen.
    /// Binary SHA-256 of each batch, by sequence.
    std::unordered_map<std::uint64_t, std::string> Hashes;
  };

  void addFinding(std::uint64_t Offset, std::string Text);

  std::string Stream_;
  bool Partial_;
  AuditReport &Report_;
  std::map<std::uint64_t, Chain> Chains_;
};

} // namespace hickory
