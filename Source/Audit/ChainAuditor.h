#pragma once

#include "Audit/AuditReport.h"
#include "Audit/StreamExport.h"
#include "Records.pb.h"

#include <map>
#include <string>
#include <unordered_map>

namespace hickory {

/// Checks the sequence and the hash chain of every incarnation in one stream.
/// A batch is protected by the next one of its incarnation; the last batch of
/// each incarnation is protected only by a head that somebody kept from an
/// earlier audit.
class ChainAuditor {
public:
  using Heads = std::map<std::uint64_t, AuditReport::Head>;

  ChainAuditor(std::string Stream, bool Partial, AuditReport &Report);

  enum class Verdict {
    New,       ///< Continues the chain of its incarnation.
    Duplicate, ///< Repeats an earlier batch unchanged.
    Unusable,  ///< Cannot be what its writer appended at this point.
  };
  Verdict check(const LogEntry &Entry, const records::RecordBatch &Batch);

  /// Compares with the heads of an earlier audit: each must still be a batch
  /// of the stream, unless it was cut by retention.
  void checkHeads(const Heads &Earlier);
  [[nodiscard]] Heads heads() const;

private:
  struct Chain {
    std::uint64_t First = 0; ///< Sequence of the first batch seen.
    std::uint64_t Last = 0;
    std::unordered_map<std::uint64_t, std::string> Hashes;
  };

  void find(std::uint64_t Offset, std::string Text);

  std::string Stream_;
  bool Partial_;
  AuditReport &Report_;
  std::map<std::uint64_t, Chain> Chains_;
};

} // namespace hickory
