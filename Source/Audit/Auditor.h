#pragma once

#include "Audit/AuditReport.h"
#include "Audit/ChainAuditor.h"
#include "Audit/StreamExport.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

struct AuditOptions {
  /// Period for which shares are computed, in wall-clock milliseconds; the
  /// whole record if absent.
  std::optional<std::int64_t> FromMs = std::nullopt;
  std::optional<std::int64_t> ToMs = std::nullopt;
  /// Shares are of this capacity; absent: of the capacity that the pools of
  /// the config stream declare, else of all use.
  struct Capacity {
    double CpusMilli = 0;
    double MemoryMb = 0;
    double Accelerators = 0;
  };
  std::optional<Capacity> Total = std::nullopt;
  bool PendingIsFinding = false; ///< All work is known to have ended.
  std::map<std::string, ChainAuditor::Heads> EarlierHeads; ///< By stream.
};

/// Audits copies of the streams of a cell: `config` and `domain.<name>`.
AuditReport auditStreams(const std::vector<StreamExport> &Streams,
                         const AuditOptions &Options = {});

/// Heads of an earlier report in JSON, as AuditReport::json() wrote them.
Result<std::map<std::string, ChainAuditor::Heads>>
parseHeads(const std::string &ReportJson);

} // namespace hickory
