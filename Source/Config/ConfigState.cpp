#include "Config/ConfigState.h"

#include "Base/Notifier.h"

#include <asio/this_coro.hpp>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

namespace {

// Verdicts are kept for callers that repeat a change set whose answer was
// lost. At the planned 53,000 change sets a day this is about 55 minutes.
constexpr std::size_t MaximumVerdicts = 2048;
// Bounds on what a rejected change set adds to each snapshot.
constexpr std::size_t MaximumErrors = 20;
constexpr std::size_t MaximumErrorBytes = 300;
constexpr int MaximumObjectsPerChangeSet = 10000;
constexpr std::size_t MaximumIdBytes = 128;

/// Cuts at a byte limit without splitting a UTF-8 sequence, because protobuf
/// strings must be valid UTF-8.
std::string shortened(std::string Text, std::size_t Limit) {
  if (Text.size() <= Limit)
    return Text;
  std::size_t End = Limit;
  while (End > 0 && (static_cast<unsigned char>(Text[End]) & 0xC0) == 0x80)
    --End;
  Text.resize(End);
  return Text + "...";
}

ConfigVerdict rejected(std::string Id, std::vector<std::string> Errors) {
  if (Errors.size() > MaximumErrors) {
    const std::size_t More = Errors.size() - MaximumErrors;
    Errors.resize(MaximumErrors);
    Errors.push_back(fmt::format("{} more errors", More));
  }
  for (std::string &Text : Errors)
    Text = shortened(std::move(Text), MaximumErrorBytes);
  return {.Id = std::move(Id),
          .Kind = VerdictKind::Rejected,
          .Version = 0,
          .Object = {},
          .Errors = std::move(Errors)};
}

records::ConfigVerdict toRecord(const ConfigVerdict &Verdict) {
  records::ConfigVerdict Record;
  Record.set_id(Verdict.Id);
  switch (Verdict.Kind) {
  case VerdictKind::Accepted:
    Record.set_kind(records::VERDICT_ACCEPTED);
    break;
  case VerdictKind::Conflict:
    Record.set_kind(records::VERDICT_CONFLICT);
    break;
  case VerdictKind::Rejected:
    Record.set_kind(records::VERDICT_REJECTED);
    break;
  }
  Record.set_version(Verdict.Version);
  Record.set_object(Verdict.Object);
  for (const std::string &Text : Verdict.Errors)
    Record.add_errors(Text);
  return Record;
}

ConfigVerdict fromRecord(const records::ConfigVerdict &Record) {
  ConfigVerdict Verdict;
  Verdict.Id = Record.id();
  Verdict.Kind =
      Record.kind() == records::VERDICT_ACCEPTED   ? VerdictKind::Accepted
      : Record.kind() == records::VERDICT_CONFLICT ? VerdictKind::Conflict
                                                   : VerdictKind::Rejected;
  Verdict.Version = Record.version();
  Verdict.Object = Record.object();
  Verdict.Errors.assign(Record.errors().begin(), Record.errors().end());
  return Verdict;
}

} // namespace

/// Outcome of judging one change set; the rest is set only if it is accepted.
struct ConfigState::Evaluation {
  ConfigVerdict Verdict;
  ConfigObjectMap Objects;
  ConfigTables Tables;
};

std::optional<JobClassConfig>
ConfigState::jobClass(const std::string &Name) const {
  const auto It = Tables_.JobClasses.find(Name);
  if (It == Tables_.JobClasses.end())
    return std::nullopt;
  return It->second;
}

std::optional<PoolConfig> ConfigState::pool(const std::string &Name) const {
  const auto It = Tables_.Pools.find(Name);
  if (It == Tables_.Pools.end())
    return std::nullopt;
  return It->second;
}

bool ConfigState::hasMember(const std::string &Name) const {
  return Tables_.Members.contains(Name);
}

std::vector<QuotaConfig> ConfigState::quotas() const { return Tables_.Quotas; }

std::vector<JobClassConfig> ConfigState::jobClasses() const {
  std::vector<JobClassConfig> Classes;
  Classes.reserve(Tables_.JobClasses.size());
  for (const auto &[Name, Config] : Tables_.JobClasses)
    Classes.push_back(Config);
  return Classes;
}

std::vector<records::ConfigObject> ConfigState::objects() const {
  std::vector<records::ConfigObject> All;
  All.reserve(Objects_.size());
  for (const auto &[Id, Stored] : Objects_)
    All.push_back(Stored->Object);
  return All;
}

void ConfigState::onBatch(std::uint64_t Offset,
                          const records::RecordBatch &Batch) {
  if (Covered_ && Offset <= *Covered_)
    return;
  Covered_ = Offset;
  for (const records::Record &Record : Batch.records())
    if (Record.has_change_set())
      apply(Record.change_set());
}

std::optional<std::uint64_t>
ConfigState::loadSnapshot(const records::RecordBatch &Batch) {
  for (const records::Record &Record : Batch.records())
    if (Record.has_config_snapshot()) {
      const records::ConfigSnapshot &Snapshot = Record.config_snapshot();
      // A state that is ahead of the snapshot is as good a start.
      if (load(Snapshot) || (Covered_ && *Covered_ >= Snapshot.covers()))
        return Covered_;
    }
  return std::nullopt;
}

void ConfigState::onCaughtUp(std::uint64_t /*Next*/) { CaughtUp_ = true; }

bool ConfigState::load(const records::ConfigSnapshot &Snapshot) {
  if (Covered_ && Snapshot.covers() <= *Covered_)
    return false;
  if (Snapshot.version() < Version_) {
    LOG(ERROR) << "config: refused a snapshot with version "
               << Snapshot.version() << " that is older than version "
               << Version_ << " although it covers a later offset";
    return false;
  }
  ConfigObjectMap Objects;
  std::vector<std::string> Errors;
  for (const records::ConfigObject &Object : Snapshot.objects())
    if (auto Content = parseConfigObject(Object, Errors))
      Objects.emplace(ConfigObjectId{Object.kind(), Object.name()},
                      std::make_shared<const StoredConfigObject>(
                          StoredConfigObject{Object, std::move(*Content)}));
  auto Tables = ConfigValidator(Objects).validate();
  if (!Tables)
    Errors.insert(Errors.end(), Tables.error().begin(), Tables.error().end());
  if (!Errors.empty()) {
    LOG(ERROR) << "config: refused a snapshot that is not a valid "
                  "configuration: "
               << Errors.front();
    return false;
  }
  const bool Changed = Snapshot.version() != Version_;
  Covered_ = Snapshot.covers();
  Version_ = Snapshot.version();
  Objects_ = std::move(Objects);
  Tables_ = std::move(*Tables);
  // The verdicts are replaced, not merged, so that a state does not depend on
  // the point from which it was replayed.
  std::vector<ConfigVerdict> News;
  const auto Before = std::move(Verdicts_);
  Verdicts_.clear();
  VerdictOrder_.clear();
  for (const records::ConfigVerdict &Record : Snapshot.recent()) {
    ConfigVerdict Verdict = fromRecord(Record);
    if (!Before.contains(Verdict.Id))
      News.push_back(Verdict);
    remember(std::move(Verdict));
  }
  for (const ConfigVerdict &Verdict : News)
    VerdictCallbacks_.notify(Verdict);
  if (Changed)
    VersionCallbacks_.notify(Version_);
  return true;
}

std::optional<records::ConfigSnapshot> ConfigState::save() const {
  if (!Covered_)
    return std::nullopt;
  records::ConfigSnapshot Snapshot;
  Snapshot.set_covers(*Covered_);
  Snapshot.set_version(Version_);
  for (const auto &[Id, Stored] : Objects_)
    *Snapshot.add_objects() = Stored->Object;
  for (const std::string &Id : VerdictOrder_)
    *Snapshot.add_recent() = toRecord(Verdicts_.at(Id));
  return Snapshot;
}

std::uint64_t ConfigState::versionOf(const ConfigObjectId &Id) const {
  const auto It = Objects_.find(Id);
  return It == Objects_.end() ? 0 : It->second->Object.version();
}

ConfigState::Evaluation
ConfigState::evaluate(const records::ChangeSet &Changes) const {
  std::vector<std::string> Errors;
  if (Changes.id().empty() || Changes.id().size() > MaximumIdBytes)
    Errors.push_back(fmt::format("id: write a unique text of 1 to {} bytes",
                                 MaximumIdBytes));
  if (Changes.objects().empty())
    Errors.emplace_back("objects: is empty; name at least one object");
  if (Changes.objects_size() > MaximumObjectsPerChangeSet)
    Errors.push_back(fmt::format("objects: has {} objects; split the change "
                                 "set so that each has at most {}",
                                 Changes.objects_size(),
                                 MaximumObjectsPerChangeSet));
  if (!Errors.empty())
    return {rejected(Changes.id(), std::move(Errors)), {}, {}};

  std::set<ConfigObjectId> Bases;
  for (const records::BaseVersion &Base : Changes.based_on()) {
    const ConfigObjectId Id{Base.kind(), Base.name()};
    Bases.insert(Id);
    if (const std::uint64_t Current = versionOf(Id); Current != Base.version())
      return {ConfigVerdict{.Id = Changes.id(),
                            .Kind = VerdictKind::Conflict,
                            .Version = Current,
                            .Object = Id.text(),
                            .Errors = {}},
              {},
              {}};
  }

  const std::uint64_t NewVersion = Version_ + 1;
  Evaluation Out{{}, Objects_, {}};
  std::set<ConfigObjectId> Seen;
  std::set<ConfigObjectId> Removed;
  for (const records::ConfigObject &Object : Changes.objects()) {
    const ConfigObjectId Id{Object.kind(), Object.name()};
    if (!Seen.insert(Id).second) {
      Errors.push_back(Id.text() + ": is in the change set twice; keep one");
      continue;
    }
    if (!Bases.contains(Id)) {
      Errors.push_back(fmt::format(
          "{}: based_on does not name it; add the version that the change is "
          "based on, or 0 for a new object",
          Id.text()));
      continue;
    }
    if (Object.deleted()) {
      if (Out.Objects.erase(Id) == 0)
        Errors.push_back(Id.text() +
                         ": does not exist and cannot be removed; leave it "
                         "out of the change set");
      Removed.insert(Id);
      continue;
    }
    auto Content = parseConfigObject(Object, Errors);
    if (!Content)
      continue;
    auto Stored = std::make_shared<StoredConfigObject>(
        StoredConfigObject{Object, std::move(*Content)});
    // The version of the configuration, so that an object that is removed and
    // added again never gets an earlier version number.
    Stored->Object.set_version(NewVersion);
    Out.Objects[Id] = std::move(Stored);
  }
  if (Errors.empty()) {
    auto Tables = ConfigValidator(Out.Objects, std::move(Removed)).validate();
    if (Tables)
      Out.Tables = std::move(*Tables);
    else
      Errors = std::move(Tables.error());
  }
  if (!Errors.empty())
    return {rejected(Changes.id(), std::move(Errors)), {}, {}};
  Out.Verdict = ConfigVerdict{.Id = Changes.id(),
                              .Kind = VerdictKind::Accepted,
                              .Version = NewVersion,
                              .Object = {},
                              .Errors = {}};
  return Out;
}

ConfigVerdict ConfigState::check(const records::ChangeSet &Changes) const {
  if (auto Known = verdict(Changes.id()))
    return *Known;
  if (!Changes.id().empty())
    return evaluate(Changes).Verdict;
  // A change set that is only checked needs no id.
  records::ChangeSet Named = Changes;
  Named.set_id("check");
  ConfigVerdict Verdict = evaluate(Named).Verdict;
  Verdict.Id.clear();
  return Verdict;
}

void ConfigState::apply(const records::ChangeSet &Changes) {
  if (Verdicts_.contains(Changes.id()))
    return;
  Evaluation Judged = evaluate(Changes);
  const bool Accepted = Judged.Verdict.Kind == VerdictKind::Accepted;
  if (Accepted) {
    Version_ = Judged.Verdict.Version;
    Objects_ = std::move(Judged.Objects);
    Tables_ = std::move(Judged.Tables);
  }
  // Nobody can ask for the verdict of a change set without a proper id.
  if (!Changes.id().empty() && Changes.id().size() <= MaximumIdBytes)
    remember(Judged.Verdict);
  VerdictCallbacks_.notify(Judged.Verdict);
  if (Accepted)
    VersionCallbacks_.notify(Judged.Verdict.Version);
}

void ConfigState::remember(ConfigVerdict Verdict) {
  VerdictOrder_.push_back(Verdict.Id);
  const std::string Id = Verdict.Id;
  Verdicts_.emplace(Id, std::move(Verdict));
  if (VerdictOrder_.size() > MaximumVerdicts) {
    Verdicts_.erase(VerdictOrder_.front());
    VerdictOrder_.pop_front();
  }
}

std::optional<ConfigVerdict> ConfigState::verdict(const std::string &Id) const {
  const auto It = Verdicts_.find(Id);
  if (It == Verdicts_.end())
    return std::nullopt;
  return It->second;
}

asio::awaitable<Result<ConfigVerdict>>
ConfigState::waitForVerdict(std::string Id, Clock::duration Limit) {
  if (auto Known = verdict(Id))
    co_return *Known;
  Notifier Ready(co_await asio::this_coro::executor);
  std::optional<ConfigVerdict> Found;
  const Subscription Verdicts = onVerdict([&](const ConfigVerdict &Verdict) {
    if (Verdict.Id != Id)
      return;
    Found = Verdict;
    Ready.notify();
  });
  const Subscription Timer = Timers_.after(Limit, [&] { Ready.notify(); });
  co_await Ready.wait();
  if (Found)
    co_return std::move(*Found);
  co_return fail(ErrorCode::Timeout,
                 fmt::format("change set \"{}\" was not read back from the log "
                             "in time; ask again with the same id",
                             Id));
}

} // namespace hickory
