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
  /// Start and end of the period for which shares are computed, in wall-clock
  /// milliseconds. If absent, the period starts with the first batch and ends
  /// with the last one.
  std::optional<std::int64_t> FromMs = std::nullopt;
  std::optional<std::int64_t> ToMs = std::nullopt;
  struct Capacity {
    double CpusMilli = 0;
    double MemoryMb = 0;
    double Accelerators = 0;
  };
  /// Capacity that shares are relative to. If absent, it is the sum of the
  /// capacities that the pools in the config stream declare; without those,
  /// shares are relative to the total usage.
  std::optional<Capacity> TotalCapacity = std::nullopt;
  /// Reports jobs without an outcome as a finding. Set if all work is known to
  /// have ended.
  bool PendingIsFinding = false;
  /// Heads from the report of an earlier audit, by stream.
  std::map<std::string, ChainAuditor::Heads> EarlierHeads;
};

/// Audits copies of the streams of a cell, which are named `config` and
/// `domain.<name>`.
AuditReport auditStreams(const std::vector<StreamExport> &Streams,
                         const AuditOptions &Options = {});

/// Parses the heads in the JSON report of an earlier audit, as returned by
/// AuditReport::toJson(). Returns them by stream; fails if the text is not such
/// a report.
Result<std::map<std::string, ChainAuditor::Heads>>
parseHeads(const std::string &ReportJson);

} // namespace hickory
