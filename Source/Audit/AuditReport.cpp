#include "Audit/AuditReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

using Json = nlohmann::json;

// Longer lists hide what matters; JSON output has all.
constexpr std::size_t MaximumListed = 50;

std::string formatUse(const AuditReport::Use &Use) {
  return fmt::format("{} tasks, {:.1f} processor-seconds, {:.1f} MB-seconds, "
                     "{:.1f} accelerator-seconds, dominant share {:.2f}%",
                     Use.Tasks, Use.CpuSeconds, Use.MemoryMbSeconds,
                     Use.AcceleratorSeconds, Use.DominantShare * 100);
}

Json useJson(const AuditReport::Use &Use) {
  return {{"tasks", Use.Tasks},
          {"cpu_seconds", Use.CpuSeconds},
          {"memory_mb_seconds", Use.MemoryMbSeconds},
          {"accelerator_seconds", Use.AcceleratorSeconds},
          {"dominant_share", Use.DominantShare}};
}

std::string formatRemarks(const char *Title,
                          const std::vector<AuditReport::Remark> &Remarks) {
  std::string Out;
  for (std::size_t I = 0; I < std::min(Remarks.size(), MaximumListed); ++I)
    Out += fmt::format("{}: {} offset {}: {}\n", Title, Remarks[I].Stream,
                       Remarks[I].Offset, Remarks[I].Text);
  if (Remarks.size() > MaximumListed)
    Out += fmt::format("{}: {} more, see --output=json\n", Title,
                       Remarks.size() - MaximumListed);
  return Out;
}

Json remarksJson(const std::vector<AuditReport::Remark> &Remarks) {
  Json List = Json::array();
  for (const AuditReport::Remark &Item : Remarks)
    List.push_back({{"stream", Item.Stream},
                    {"offset", Item.Offset},
                    {"text", Item.Text}});
  return List;
}

} // namespace

bool AuditReport::partial() const {
  return std::any_of(Streams.begin(), Streams.end(),
                     [](const auto &Item) { return Item.second.Partial; });
}

std::string AuditReport::text() const {
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
              ? "; earlier jobs are taken from a snapshot"
              : "; no snapshot tells what came before");
  }
  Out += fmt::format("jobs: {} accepted = {} completed + {} failed + {} not "
                     "run + {} unknown + {} cancelled + {} pending\n",
                     Jobs.Accepted, Jobs.Completed, Jobs.Failed, Jobs.NotRun,
                     Jobs.Unknown, Jobs.Cancelled, Jobs.Pending.size());
  for (std::size_t I = 0; I < std::min(Jobs.Pending.size(), MaximumListed); ++I)
    Out += fmt::format("pending: {}\n", Jobs.Pending[I]);
  if (ConfigAccepted + ConfigConflicts + ConfigRejected > 0)
    Out += fmt::format("configuration: {} change sets accepted, {} conflicts, "
                       "{} rejected\n",
                       ConfigAccepted, ConfigConflicts, ConfigRejected);
  Out += fmt::format("period: {:.1f} s; shares are of {}; running tasks count "
                     "when they have ended\n",
                     static_cast<double>(PeriodEndMs - PeriodStartMs) / 1000.0,
                     CapacityKnown ? "the capacity"
                                   : "all use, because no capacity is known");
  for (const auto &[Member, Use] : UseByMember)
    Out += fmt::format("member {}: {}\n", Member, formatUse(Use));
  for (const auto &[Id, Use] : UseByTeam)
    if (!Id.second.empty())
      Out +=
          fmt::format("team {}/{}: {}\n", Id.first, Id.second, formatUse(Use));
  Out += formatRemarks("note", Notes);
  Out += formatRemarks("finding", Findings);
  if (!passed())
    Out += fmt::format("the record does not add up: {} findings\n",
                       Findings.size());
  else
    Out += partial() ? "the retained part of the record adds up\n"
                     : "the record adds up\n";
  return Out;
}

std::string AuditReport::json() const {
  Json Body = {{"passed", passed()},
               {"partial", partial()},
               {"findings", remarksJson(Findings)},
               {"notes", remarksJson(Notes)},
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
  for (const auto &[Member, Use] : UseByMember)
    Body["members"][Member] = useJson(Use);
  for (const auto &[Id, Use] : UseByTeam) {
    Json Item = useJson(Use);
    Item["member"] = Id.first;
    Item["team"] = Id.second;
    Body["teams"].push_back(std::move(Item));
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickory
