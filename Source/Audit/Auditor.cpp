#include "Audit/Auditor.h"

#include "Audit/JobAuditor.h"
#include "Config/ConfigState.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace hickory {

namespace {

/// Timer service without time or timers. Replaying a stream never waits.
class NullTimerService final : public TimerService {
public:
  [[nodiscard]] Clock::time_point now() const override { return {}; }
  [[nodiscard]] std::chrono::system_clock::time_point wallNow() const override {
    return {};
  }
  [[nodiscard]] Subscription
  after(Clock::duration /*Delay*/,
        std::function<void()> /*Callback*/) override {
    return {};
  }
};

struct ParsedBatch {
  std::uint64_t Offset = 0;
  records::RecordBatch Batch;
};

/// Runs all checks over the streams of a cell.
class CellAuditor {
public:
  explicit CellAuditor(const AuditOptions &Options) : Options_(Options) {}

  AuditReport run(const std::vector<StreamExport> &Streams) {
    for (const StreamExport &Stream : Streams) {
      const std::vector<ParsedBatch> Batches = checkChains(Stream);
      if (Stream.Stream == "config")
        replayConfig(Stream, Batches);
      else
        replayDomain(Stream, Batches);
    }
    checkHomeDomains();
    for (JobAuditor &Domain : Domains_)
      Domain.addJobCounts();
    std::sort(Report_.Jobs.Pending.begin(), Report_.Jobs.Pending.end());
    if (Options_.PendingIsFinding && !Report_.Jobs.Pending.empty())
      Report_.Findings.push_back(
          {"all", 0,
           fmt::format("{} accepted jobs have no outcome, the first is {}",
                       Report_.Jobs.Pending.size(),
                       Report_.Jobs.Pending.front())});
    computeUsage();
    return std::move(Report_);
  }

private:
  /// Checks the hash chains of a stream. Returns its batches in order, without
  /// duplicates.
  std::vector<ParsedBatch> checkChains(const StreamExport &Stream) {
    AuditReport::StreamSummary &Summary = Report_.Streams[Stream.Stream];
    Summary.Partial = Stream.Earliest > 0;
    Summary.Entries = Stream.Entries.size();
    Summary.FirstOffset =
        Stream.Entries.empty() ? Stream.Earliest : Stream.Entries[0].Offset;
    ChainAuditor Chains(Stream.Stream, Summary.Partial, Report_);
    std::vector<ParsedBatch> Batches;
    std::optional<std::uint64_t> LastOffset;
    for (const LogEntry &Entry : Stream.Entries) {
      Summary.Bytes += Entry.Payload.size();
      if (LastOffset && Entry.Offset <= *LastOffset)
        Report_.Findings.push_back(
            {Stream.Stream, Entry.Offset,
             fmt::format(
                 "the offset is not above {}, that of the preceding entry",
                 *LastOffset)});
      LastOffset = Entry.Offset;
      Summary.LastOffset = Entry.Offset;
      ParsedBatch Parsed{Entry.Offset, {}};
      if (!Parsed.Batch.ParseFromString(Entry.Payload)) {
        Report_.Findings.push_back(
            {Stream.Stream, Entry.Offset,
             "the entry is not a batch of records; it was "
             "altered or written by another program"});
        continue;
      }
      switch (Chains.checkBatch(Entry, Parsed.Batch)) {
      case ChainAuditor::BatchStatus::Duplicate:
        ++Summary.Duplicates;
        break;
      case ChainAuditor::BatchStatus::New:
      case ChainAuditor::BatchStatus::Inconsistent:
        // Inconsistent batches are still replayed, to show the effect of the
        // finding.
        Batches.push_back(std::move(Parsed));
      }
    }
    if (const auto It = Options_.EarlierHeads.find(Stream.Stream);
        It != Options_.EarlierHeads.end())
      Chains.checkHeads(It->second);
    Summary.Heads = Chains.heads();
    return Batches;
  }

  void replayConfig(const StreamExport &Stream,
                    const std::vector<ParsedBatch> &Batches) {
    NullTimerService Timers;
    ConfigState State(Timers);
    const Subscription Verdicts =
        State.onVerdict([this](const ConfigVerdict &Verdict) {
          switch (Verdict.Kind) {
          case VerdictKind::Accepted:
            ++Report_.ConfigAccepted;
            break;
          case VerdictKind::Conflict:
            ++Report_.ConfigConflicts;
            break;
          case VerdictKind::Rejected:
            ++Report_.ConfigRejected;
            break;
          }
        });
    if (Stream.Earliest > 0)
      for (const ParsedBatch &Parsed : Batches)
        if (State.loadSnapshot(Parsed.Batch)) {
          Report_.Streams[Stream.Stream].StartsFromSnapshot = true;
          break;
        }
    for (const ParsedBatch &Parsed : Batches) {
      State.onBatch(Parsed.Offset, Parsed.Batch);
      checkConfigSnapshots(Stream, Parsed, State);
    }
    AuditOptions::Capacity SumOfPools;
    for (const records::ConfigObject &Object : State.objects())
      if (Object.kind() == "pool")
        if (const auto Pool = State.pool(Object.name());
            Pool && Pool->HasCapacity) {
          SumOfPools.CpusMilli += static_cast<double>(Pool->CpusMilli);
          SumOfPools.MemoryMb += static_cast<double>(Pool->MemoryMb);
          SumOfPools.Accelerators += Pool->Accelerators;
          DeclaredCapacity_ = SumOfPools;
        }
  }

  /// Checks that each snapshot of the version that the replay has reached
  /// contains the same objects as the replayed state.
  void checkConfigSnapshots(const StreamExport &Stream,
                            const ParsedBatch &Parsed,
                            const ConfigState &State) {
    for (const records::Record &Record : Parsed.Batch.records()) {
      if (!Record.has_config_snapshot() ||
          Record.config_snapshot().version() != State.version())
        continue;
      const auto Replayed = State.save();
      bool IsEqual = Replayed && Replayed->objects_size() ==
                                     Record.config_snapshot().objects_size();
      for (int I = 0; IsEqual && I < Replayed->objects_size(); ++I)
        IsEqual = Replayed->objects(I).SerializeAsString() ==
                  Record.config_snapshot().objects(I).SerializeAsString();
      if (!IsEqual)
        Report_.Findings.push_back(
            {Stream.Stream, Parsed.Offset,
             fmt::format("the snapshot of version {} has other objects than "
                         "the change sets give",
                         State.version())});
    }
  }

  void replayDomain(const StreamExport &Stream,
                    const std::vector<ParsedBatch> &Batches) {
    const bool Partial = Stream.Earliest > 0;
    JobAuditor &Domain = Domains_.emplace_back(Stream.Stream, Partial, Report_);
    DomainNames_.push_back(Stream.Stream);
    if (Partial) {
      std::set<std::uint64_t> ExpiredIncarnations;
      const records::DomainSnapshot *FirstSnapshot = nullptr;
      for (const ParsedBatch &Parsed : Batches)
        for (const records::Record &Record : Parsed.Batch.records()) {
          if (Record.has_expire())
            ExpiredIncarnations.insert(Record.expire().incarnation());
          if (Record.has_domain_snapshot() && FirstSnapshot == nullptr)
            FirstSnapshot = &Record.domain_snapshot();
        }
      if (FirstSnapshot != nullptr) {
        Domain.loadSnapshot(*FirstSnapshot, ExpiredIncarnations);
        Report_.Streams[Stream.Stream].StartsFromSnapshot = true;
      }
    }
    for (const ParsedBatch &Parsed : Batches) {
      Domain.applyBatch(Parsed.Offset, Parsed.Batch);
      // Batches without a wall-clock time do not count for the period of the
      // record.
      const std::int64_t WallTimeMs = Parsed.Batch.wall_time_ms();
      if (WallTimeMs <= 0)
        continue;
      FirstBatchMs_ = std::min(FirstBatchMs_.value_or(WallTimeMs), WallTimeMs);
      LastBatchMs_ = std::max(LastBatchMs_.value_or(WallTimeMs), WallTimeMs);
    }
  }

  /// Checks that each key was accepted in one domain only; a job accepted in
  /// two domains would run twice.
  void checkHomeDomains() {
    std::map<std::string, std::string> Homes;
    for (std::size_t I = 0; I < Domains_.size(); ++I)
      for (const std::string &Key : Domains_[I].acceptedKeys())
        if (const auto [It, Inserted] = Homes.emplace(Key, DomainNames_[I]);
            !Inserted)
          Report_.Findings.push_back(
              {DomainNames_[I], 0,
               fmt::format("job {}: accepted here and in {}", Key,
                           It->second)});
  }

  void computeUsage() {
    const std::int64_t Start =
        Options_.FromMs.value_or(FirstBatchMs_.value_or(0));
    const std::int64_t End =
        Options_.ToMs.value_or(LastBatchMs_.value_or(Start));
    Report_.PeriodStartMs = Start;
    Report_.PeriodEndMs = std::max(Start, End);
    const bool IsWholeRecord = !Options_.FromMs && !Options_.ToMs;
    AuditReport::ResourceUsage TotalUsage;
    for (const JobAuditor &Domain : Domains_)
      for (const JobAuditor::EndedAttempt &Attempt : Domain.endedAttempts()) {
        const records::TaskEnded &Record = Attempt.Record;
        std::int64_t HeldMs = std::max<std::int64_t>(0, Record.held_ms());
        // The time at which the record was written approximates the end of the
        // attempt.
        if (!IsWholeRecord)
          HeldMs = std::max<std::int64_t>(
              0, std::min(End, Attempt.WallTimeMs) -
                     std::max(Start, Attempt.WallTimeMs - HeldMs));
        if (HeldMs == 0)
          continue;
        addUsage(TotalUsage, Record, HeldMs);
        addUsage(Report_.UsageByMember[Record.member()], Record, HeldMs);
        addUsage(Report_.UsageByTeam[{Record.member(),
                                      Domain.findTeam(Record.key())}],
                 Record, HeldMs);
      }
    const auto Capacity =
        Options_.TotalCapacity ? Options_.TotalCapacity : DeclaredCapacity_;
    Report_.CapacityKnown = Capacity.has_value();
    AuditReport::ResourceUsage Available = TotalUsage;
    if (Capacity) {
      const double Seconds =
          static_cast<double>(Report_.PeriodEndMs - Report_.PeriodStartMs) /
          1000.0;
      Available.CpuSeconds = Capacity->CpusMilli / 1000.0 * Seconds;
      Available.MemoryMbSeconds = Capacity->MemoryMb * Seconds;
      Available.AcceleratorSeconds = Capacity->Accelerators * Seconds;
    }
    for (auto &[Member, Usage] : Report_.UsageByMember)
      Usage.DominantShare = dominantShare(Usage, Available);
    for (auto &[Id, Usage] : Report_.UsageByTeam)
      Usage.DominantShare = dominantShare(Usage, Available);
  }

  static void addUsage(AuditReport::ResourceUsage &Usage,
                       const records::TaskEnded &Record, std::int64_t HeldMs) {
    const double Seconds = static_cast<double>(HeldMs) / 1000.0;
    const records::Resources &Held = Record.resources();
    Usage.CpuSeconds +=
        static_cast<double>(Held.cpus_milli()) / 1000.0 * Seconds;
    Usage.MemoryMbSeconds += static_cast<double>(Held.memory_mb()) * Seconds;
    Usage.AcceleratorSeconds += Held.accelerators() * Seconds;
    ++Usage.Tasks;
  }

  static double dominantShare(const AuditReport::ResourceUsage &Usage,
                              const AuditReport::ResourceUsage &Available) {
    const auto Share = [](double Part, double Total) {
      return Total > 0 ? Part / Total : 0.0;
    };
    return std::max(
        {Share(Usage.CpuSeconds, Available.CpuSeconds),
         Share(Usage.MemoryMbSeconds, Available.MemoryMbSeconds),
         Share(Usage.AcceleratorSeconds, Available.AcceleratorSeconds)});
  }

  const AuditOptions &Options_;
  AuditReport Report_;
  std::deque<JobAuditor> Domains_;
  std::vector<std::string> DomainNames_;
  std::optional<std::int64_t> FirstBatchMs_;
  std::optional<std::int64_t> LastBatchMs_;
  std::optional<AuditOptions::Capacity> DeclaredCapacity_;
};

} // namespace

AuditReport auditStreams(const std::vector<StreamExport> &Streams,
                         const AuditOptions &Options) {
  return CellAuditor(Options).run(Streams);
}

Result<std::map<std::string, ChainAuditor::Heads>>
parseHeads(const std::string &ReportJson) {
  const auto InvalidReport = [] {
    return fail(ErrorCode::InvalidArgument,
                "is not a report of hickory-audit --output=json");
  };
  const auto Body = nlohmann::json::parse(ReportJson, nullptr, false);
  if (!Body.is_object() || !Body.contains("streams") ||
      !Body.at("streams").is_object())
    return InvalidReport();
  std::map<std::string, ChainAuditor::Heads> Out;
  for (const auto &[Stream, Summary] : Body.at("streams").items()) {
    if (!Summary.is_object() || !Summary.contains("heads") ||
        !Summary.at("heads").is_object())
      return InvalidReport();
    for (const auto &[Text, Head] : Summary.at("heads").items()) {
      std::uint64_t Incarnation = 0;
      const auto [Stop, Failure] =
          std::from_chars(Text.data(), Text.data() + Text.size(), Incarnation);
      if (Failure != std::errc() || !Head.is_object() ||
          !Head.contains("sequence") ||
          !Head.at("sequence").is_number_unsigned() || !Head.contains("hash") ||
          !Head.at("hash").is_string())
        return InvalidReport();
      Out[Stream][Incarnation] = {Head.at("sequence").get<std::uint64_t>(),
                                  Head.at("hash").get<std::string>()};
    }
  }
  return Out;
}

} // namespace hickory
