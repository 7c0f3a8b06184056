#include "Audit/AuditReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

using Json = nlohmann::json;

// Limits each list of the text output to keep it readable; the JSON output is
// complete.
constexpr std::size_t MaximumListedItems = 50;

std::string formatUsage(const AuditReport::ResourceUsage &Usage) {
  return fmt::format("{} tasks, {:.1f} processor-seconds, {:.1f} MB-seconds, "
                     "{:.1f} accelerator-seconds, dominant share {:.2f}%",
                     Usage.Tasks, Usage.CpuSeconds, Usage.MemoryMbSeconds,
                     Usage.AcceleratorSeconds, Usage.DominantShare * 100);
}

Json usageToJson(const AuditReport::ResourceUsage &Usage) {
  return {{"tasks", Usage.Tasks},
          {"cpu_seconds", Usage.CpuSeconds},
          {"memory_mb_seconds", Usage.MemoryMbSeconds},
          {"accelerator_seconds", Usage.AcceleratorSeconds},
          {"dominant_share", Usage.DominantShare}};
}

std::string formatRemarks(const char *Title,
                          const std::vector<AuditReport::Remark> &Remarks) {
  std::string Out;
  for (std::size_t I = 0; I < std::min(Remarks.size(), MaximumListedItems); ++I)
    Out += fmt::format("{}: {} offset {}: {}\n", Title, Remarks[I].Stream,
                       Remarks[I].Offset, Remarks[I].Text);
  if (Remarks.size() > MaximumListedItems)
    Out += fmt::format("{}: {} more, see --output=json\n", Title,
                       Remarks.size() - MaximumListedItems);
  return Out;
}

Json remarksToJson(const std::vector<AuditReport::Remark> &Remarks) {
  Json List = Json::array();
  for (const AuditReport::Remark &Remark : Remarks)
    List.push_back({{"stream", Remark.Stream},
                    {"offset", Remark.Offset},
                    {"text", Remark.Text}});
  return List;
}

} // namespace

bool AuditReport::isPartial() const {
  return std::any_of(Streams.begin(), Streams.end(),
                     [](const auto &Stream) { return Stream.second.Partial; });
}

std::string AuditReport::toText() const {
  std::string Out;
  for (const auto &[Name, Summary] : Streams) {
    Out += fmt::format("stream {}: {} entries, {} bytes, offsets {} to {}, {} "
                       "incarnations, {} repeated appends\n",
                       Name, Summary.Entries, Summary.Bytes,
                       Summary.FirstOffset, Summary.LastOffset,
                       Summary.Heads.size(), Summary.Duplicates);
    if (Summary.Partial)
      Out += fmt::format(
          "stream {}: partial coverage: entries before offset {} are no "
          "longer retained{}\n",
          Name, Summary.FirstOffset,
          Summary.StartsFromSnapshot
              ? "; earlier jobs are read from a snapshot"
              : "; no snapshot contains the earlier jobs");
  }
  Out += fmt::format("jobs: {} accepted = {} completed + {} failed + {} not "
                     "run + {} unknown + {} cancelled + {} pending\n",
                     Jobs.Accepted, Jobs.Completed, Jobs.Failed, Jobs.NotRun,
                     Jobs.Unknown, Jobs.Cancelled, Jobs.Pending.size());
  for (std::size_t I = 0; I < std::min(Jobs.Pending.size(), MaximumListedItems);
       ++I)
    Out += fmt::format("pending: {}\n", Jobs.Pending[I]);
  if (ConfigAccepted + ConfigConflicts + ConfigRejected > 0)
    Out += fmt::format("configuration: {} change sets accepted, {} conflicts, "
                       "{} rejected\n",
                       ConfigAccepted, ConfigConflicts, ConfigRejected);
  Out +=
      fmt::format("period: {:.1f} s; shares are relative to {}; tasks that are "
                  "still running are not counted\n",
                  static_cast<double>(PeriodEndMs - PeriodStartMs) / 1000.0,
                  CapacityKnown ? "the capacity"
                                : "the total usage, because the capacity is "
                                  "unknown");
  for (const auto &[Member, Usage] : UsageByMember)
    Out += fmt::format("member {}: {}\n", Member, formatUsage(Usage));
  for (const auto &[Id, Usage] : UsageByTeam)
    if (!Id.second.empty())
      Out += fmt::format("team {}/{}: {}\n", Id.first, Id.second,
                         formatUsage(Usage));
  Out += formatRemarks("note", Notes);
  Out += formatRemarks("finding", Findings);
  if (!hasPassed())
    Out += fmt::format("the records are inconsistent: {} findings\n",
                       Findings.size());
  else
    Out += isPartial() ? "the retained part of the records is consistent\n"
                       : "the records are consistent\n";
  return Out;
}

std::string AuditReport::toJson() const {
  Json Body = {{"passed", hasPassed()},
               {"partial", isPartial()},
               {"findings", remarksToJson(Findings)},
               {"notes", remarksToJson(Notes)},
               {"streams", Json::object()},
               {"members", Json::object()},
               {"teams", Json::array()},
               {"period_start_ms", PeriodStartMs},
               {"period_end_ms", PeriodEndMs},
               {"capacity_known", CapacityKnown},
               {"jobs",
                {{"accepted", Jobs.Accepted},
                 {"completed", Jobs.Completed},
                 {"failed", Jobs.Failed},
                 {"not_run", Jobs.NotRun},
                 {"unknown", Jobs.Unknown},
                 {"cancelled", Jobs.Cancelled},
                 {"pending", Jobs.Pending}}},
               {"config",
                {{"accepted", ConfigAccepted},
                 {"conflicts", ConfigConflicts},
                 {"rejected", ConfigRejected}}}};
  for (const auto &[Name, Summary] : Streams) {
    Json Heads = Json::object();
    for (const auto &[Incarnation, Head] : Summary.Heads)
      Heads[std::to_string(Incarnation)] = {{"sequence", Head.Sequence},
                                            {"hash", Head.Hash}};
    Body["streams"][Name] = {
        {"entries", Summary.Entries},
        {"bytes", Summary.Bytes},
        {"first_offset", Summary.FirstOffset},
        {"last_offset", Summary.LastOffset},
        {"duplicates", Summary.Duplicates},
        {"partial", Summary.Partial},
        {"starts_from_snapshot", Summary.StartsFromSnapshot},
        {"heads", std::move(Heads)}};
  }
  for (const auto &[Member, Usage] : UsageByMember)
    Body["members"][Member] = usageToJson(Usage);
  for (const auto &[Id, Usage] : UsageByTeam) {
    Json TeamUsage = usageToJson(Usage);
    TeamUsage["member"] = Id.first;
    TeamUsage["team"] = Id.second;
    Body["teams"].push_back(std::move(TeamUsage));
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickory
