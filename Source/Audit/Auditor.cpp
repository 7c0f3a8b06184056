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

/// Nothing in a replay waits, so no time is needed.
class NoTimers final : public TimerService {
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
class CellAudit {
public:
  explicit CellAudit(const AuditOptions &Options) : Options_(Options) {}

  AuditReport run(const std::vector<StreamExport> &Streams) {
    for (const StreamExport &Stream : Streams) {
      const std::vector<ParsedBatch> Batches = checkChains(Stream);
      if (Stream.Stream == "config")
        replayConfig(Stream, Batches);
      else
        replayDomain(Stream, Batches);
    }
    checkHomes();
    for (JobAuditor &Domain : Domains_)
      Domain.finish();
    std::sort(Report_.Jobs.Pending.begin(), Report_.Jobs.Pending.end());
    if (Options_.PendingIsFinding && !Report_.Jobs.Pending.empty())
      Report_.Findings.push_back(
          {"all", 0,
           fmt::format("{} accepted jobs have no outcome, the first is {}",
                       Report_.Jobs.Pending.size(),
                       Report_.Jobs.Pending.front())});
    computeUse();
    return std::move(Report_);
  }

private:
  /// Returns the batches that continue their chains, in order.
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
             fmt::format("comes after offset {}", *LastOffset)});
      LastOffset = Entry.Offset;
      Summary.LastOffset = Entry.Offset;
      ParsedBatch Parsed{Entry.Offset, {}};
      if (!Parsed.Batch.ParseFromString(Entry.Payload)) {
        Report_.Findings.push_back({Stream.Stream, Entry.Offset,
                                    "is not a batch of records; it was "
                                    "altered or written by something else"});
        continue;
      }
      switch (Chains.check(Entry, Parsed.Batch)) {
      case ChainAuditor::Verdict::Duplicate:
        ++Summary.Duplicates;
        break;
      case ChainAuditor::Verdict::New:
      case ChainAuditor::Verdict::Unusable:
        // What follows a finding is still counted, to show its effect.
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
    NoTimers Timers;
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
      for (const ParsedBatch &Item : Batches)
        if (State.loadSnapshot(Item.Batch)) {
          Report_.Streams[Stream.Stream].StartsFromSnapshot = true;
          break;
        }
    for (const ParsedBatch &Item : Batches) {
      State.onBatch(Item.Offset, Item.Batch);
      checkConfigSnapshots(Stream, Item, State);
    }
    AuditOptions::Capacity Sum;
    for (const records::ConfigObject &Object : State.objects())
      if (Object.kind() == "pool")
        if (const auto Pool = State.pool(Object.name());
            Pool && Pool->HasCapacity) {
          Sum.CpusMilli += static_cast<double>(Pool->CpusMilli);
          Sum.MemoryMb += static_cast<double>(Pool->MemoryMb);
          Sum.Accelerators += Pool->Accelerators;
          Declared_ = Sum;
        }
  }

  /// A snapshot with the version that the replay has reached must have the
  /// same objects.
  void checkConfigSnapshots(const StreamExport &Stream, const ParsedBatch &Item,
                            const ConfigState &State) {
    for (const records::Record &Record : Item.Batch.records()) {
      if (!Record.has_config_snapshot() ||
          Record.config_snapshot().version() != State.version())
        continue;
      const auto Own = State.save();
      bool Same =
          Own && Own->objects_size() == Record.config_snapshot().objects_size();
      for (int I = 0; Same && I < Own->objects_size(); ++I)
        Same = Own->objects(I).SerializeAsString() ==
               Record.config_snapshot().objects(I).SerializeAsString();
      if (!Same)
        Report_.Findings.push_back(
            {Stream.Stream, Item.Offset,
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
      std::set<std::uint64_t> Expired;
      const records::DomainSnapshot *First = nullptr;
      for (const ParsedBatch &Item : Batches)
        for (const records::Record &Record : Item.Batch.records()) {
          if (Record.has_expire())
            Expired.insert(Record.expire().incarnation());
          if (Record.has_domain_snapshot() && First == nullptr)
            First = &Record.domain_snapshot();
        }
      if (First != nullptr) {
        Domain.startFrom(*First, Expired);
        Report_.Streams[Stream.Stream].StartsFromSnapshot = true;
      }
    }
    for (const ParsedBatch &Item : Batches) {
      Domain.apply(Item.Offset, Item.Batch);
      // The first usable time stands for the start of the record.
      const std::int64_t Time = Item.Batch.wall_time_ms();
      if (Time <= 0)
        continue;
      FirstMs_ = std::min(FirstMs_.value_or(Time), Time);
      LastMs_ = std::max(LastMs_.value_or(Time), Time);
    }
  }

  /// A key has one home domain; accepted in two it would run twice.
  void checkHomes() {
    std::map<std::string, std::string> Homes;
    for (std::size_t I = 0; I < Domains_.size(); ++I)
      for (const std::string &Key : Domains_[I].acceptedKeys())
        if (const auto [It, New] = Homes.emplace(Key, DomainNames_[I]); !New)
          Report_.Findings.push_back(
              {DomainNames_[I], 0,
               fmt::format("job {}: accepted here and in {}", Key,
                           It->second)});
  }

  void computeUse() {
    const std::int64_t Start = Options_.FromMs.value_or(FirstMs_.value_or(0));
    const std::int64_t End = Options_.ToMs.value_or(LastMs_.value_or(Start));
    Report_.PeriodStartMs = Start;
    Report_.PeriodEndMs = std::max(Start, End);
    const bool WholeRecord = !Options_.FromMs && !Options_.ToMs;
    AuditReport::Use All;
    for (const JobAuditor &Domain : Domains_)
      for (const JobAuditor::EndedTask &Task : Domain.endedTasks()) {
        const records::TaskEnded &Record = Task.Record;
        std::int64_t HeldMs = std::max<std::int64_t>(0, Record.held_ms());
        // The record is written shortly after the task ended.
        if (!WholeRecord)
          HeldMs = std::max<std::int64_t>(
              0, std::min(End, Task.WallMs) -
                     std::max(Start, Task.WallMs - HeldMs));
        if (HeldMs == 0)
          continue;
        add(All, Record, HeldMs);
        add(Report_.UseByMember[Record.member()], Record, HeldMs);
        add(Report_.UseByTeam[{Record.member(), Domain.teamOf(Record.key())}],
            Record, HeldMs);
      }
    const auto Capacity = Options_.Total ? Options_.Total : Declared_;
    Report_.CapacityKnown = Capacity.has_value();
    AuditReport::Use Whole = All;
    if (Capacity) {
      const double Seconds =
          static_cast<double>(Report_.PeriodEndMs - Report_.PeriodStartMs) /
          1000.0;
      Whole.CpuSeconds = Capacity->CpusMilli / 1000.0 * Seconds;
      Whole.MemoryMbSeconds = Capacity->MemoryMb * Seconds;
      Whole.AcceleratorSeconds = Capacity->Accelerators * Seconds;
    }
    for (auto &[Member, Use] : Report_.UseByMember)
      Use.DominantShare = dominantShare(Use, Whole);
    for (auto &[Id, Use] : Report_.UseByTeam)
      Use.DominantShare = dominantShare(Use, Whole);
  }

  static void add(AuditReport::Use &Use, const records::TaskEnded &Record,
                  std::int64_t HeldMs) {
    const double Seconds = static_cast<double>(HeldMs) / 1000.0;
    const records::Resources &Held = Record.resources();
    Use.CpuSeconds += static_cast<double>(Held.cpus_milli()) / 1000.0 * Seconds;
    Use.MemoryMbSeconds += static_cast<double>(Held.memory_mb()) * Seconds;
    Use.AcceleratorSeconds += Held.accelerators() * Seconds;
    ++Use.Tasks;
  }

  static double dominantShare(const AuditReport::Use &Use,
                              const AuditReport::Use &Whole) {
    const auto Share = [](double Part, double Total) {
      return Total > 0 ? Part / Total : 0.0;
    };
    return std::max({Share(Use.CpuSeconds, Whole.CpuSeconds),
                     Share(Use.MemoryMbSeconds, Whole.MemoryMbSeconds),
                     Share(Use.AcceleratorSeconds, Whole.AcceleratorSeconds)});
  }

  const AuditOptions &Options_;
  AuditReport Report_;
  std::deque<JobAuditor> Domains_;
  std::vector<std::string> DomainNames_;
  std::optional<std::int64_t> FirstMs_;
  std::optional<std::int64_t> LastMs_;
  std::optional<AuditOptions::Capacity> Declared_;
};

} // namespace

AuditReport auditStreams(const std::vector<StreamExport> &Streams,
                         const AuditOptions &Options) {
  return CellAudit(Options).run(Streams);
}

Result<std::map<std::string, ChainAuditor::Heads>>
parseHeads(const std::string &ReportJson) {
  const auto Wrong = [] {
    return fail(ErrorCode::InvalidArgument,
                "is not a report of hickory-audit --output=json");
  };
  const auto Body = nlohmann::json::parse(ReportJson, nullptr, false);
  if (!Body.is_object() || !Body.contains("streams") ||
      !Body.at("streams").is_object())
    return Wrong();
  std::map<std::string, ChainAuditor::Heads> Out;
  for (const auto &[Stream, Summary] : Body.at("streams").items()) {
    if (!Summary.is_object() || !Summary.contains("heads") ||
        !Summary.at("heads").is_object())
      return Wrong();
    for (const auto &[Text, Head] : Summary.at("heads").items()) {
      std::uint64_t Incarnation = 0;
      const auto [Stop, Failure] =
          std::from_chars(Text.data(), Text.data() + Text.size(), Incarnation);
      if (Failure != std::errc() || !Head.is_object() ||
          !Head.contains("sequence") ||
          !Head.at("sequence").is_number_unsigned() || !Head.contains("hash") ||
          !Head.at("hash").is_string())
        return Wrong();
      Out[Stream][Incarnation] = {Head.at("sequence").get<std::uint64_t>(),
                                  Head.at("hash").get<std::string>()};
    }
  }
  return Out;
}

} // namespace hickory
