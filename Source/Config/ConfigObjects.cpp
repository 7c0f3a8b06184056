#include "Config/ConfigObjects.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace hickory {

namespace {

// Larger than any cell, and small enough that a million quotas of this size
// add up without overflow.
constexpr std::int64_t MaximumQuantity = 1'000'000'000'000;
constexpr std::int64_t MaximumAccelerators = 1'000'000'000;
constexpr std::int64_t MaximumDurationMs = 31LL * 24 * 3600 * 1000;
constexpr std::size_t MaximumObjectBytes = 64 << 10;

MemberObject readMember(TomlTableReader &Table) {
  MemberObject Member;
  Member.DisplayName = Table.text("display_name", {.Default = ""});
  for (const std::string &Team : Table.texts("teams")) {
    if (const std::string Wanted = checkName(Team); !Wanted.empty())
      Table.problem("teams", fmt::format("contains \"{}\"; {}", Team, Wanted));
    else if (!Member.Teams.insert(Team).second)
      Table.problem("teams", fmt::format("contains \"{}\" twice", Team));
  }
  return Member;
}

template <typename T> void readQuantities(TomlTableReader &Table, T &Out) {
  Out.CpusMilli = static_cast<std::uint64_t>(
      Table.integer("cpus_milli", {.Minimum = 0,
                                   .Maximum = MaximumQuantity,
                                   .Unit = "thousandths of a processor",
                                   .Default = 0}));
  Out.MemoryMb = static_cast<std::uint64_t>(Table.integer(
      "memory_mb",
      {.Minimum = 0, .Maximum = MaximumQuantity, .Unit = "MB", .Default = 0}));
  Out.Accelerators = static_cast<std::uint32_t>(Table.integer(
      "accelerators",
      {.Minimum = 0, .Maximum = MaximumAccelerators, .Default = 0}));
}

PoolConfig readPool(TomlTableReader &Table, const std::string &Name,
                    TomlProblems &Problems) {
  PoolConfig Pool;
  Pool.Name = Name;
  Pool.FailureDomains = Table.texts("failure_domains");
  for (const std::string &Domain : Pool.FailureDomains)
    if (const std::string Wanted = checkName(Domain); !Wanted.empty())
      Table.problem("failure_domains",
                    fmt::format("contains \"{}\"; {}", Domain, Wanted));
  std::vector<std::string> Sorted = Pool.FailureDomains;
  std::sort(Sorted.begin(), Sorted.end());
  if (const auto Twice = std::adjacent_find(Sorted.begin(), Sorted.end());
      Twice != Sorted.end())
    Table.problem("failure_domains",
                  fmt::format("contains \"{}\" twice", *Twice));
  if (const TomlNode *Capacity = Table.table("capacity")) {
    TomlTableReader Quantities(Capacity, "capacity", Problems);
    Pool.HasCapacity = true;
    readQuantities(Quantities, Pool);
    Quantities.refuseUnknownKeys();
  }
  return Pool;
}

QuotaConfig readQuota(TomlTableReader &Table, const std::string &Name) {
  QuotaConfig Quota;
  Quota.Name = Name;
  Quota.Member = Table.text("member", {.Check = checkName});
  if (Table.has("team"))
    Quota.Team = Table.text("team", {.Check = checkName});
  Quota.Pool = Table.text("pool", {.Check = checkName});
  readQuantities(Table, Quota);
  return Quota;
}

PolicyObject readPolicy(TomlTableReader &Table) {
  PolicyObject Policy;
  if (Table.has("inherits"))
    Policy.Inherits = Table.text("inherits", {.Check = checkName});
  if (Table.has("kind")) {
    const std::string Kind = Table.text("kind");
    if (Kind == "batch")
      Policy.Kind = WorkKind::Batch;
    else if (Kind == "service")
      Policy.Kind = WorkKind::Service;
    else if (Kind == "gang")
      Policy.Kind = WorkKind::Gang;
    else if (Kind == "request")
      Policy.Kind = WorkKind::Request;
    else
      Table.problem("kind", fmt::format("is \"{}\"; write batch, service, gang "
                                        "or request",
                                        Kind));
  }
  if (Table.has("acceptance")) {
    const std::string Accept = Table.text("acceptance");
    if (Accept == "logged")
      Policy.Accept = Acceptance::Logged;
    else if (Accept == "synchronous")
      Policy.Accept = Acceptance::Synchronous;
    else if (Accept == "replicated")
      Table.problem("acceptance", "is \"replicated\", which is not available "
                                  "in this release; write logged or "
                                  "synchronous");
    else
      Table.problem(
          "acceptance",
          fmt::format("is \"{}\"; write logged or synchronous", Accept));
  }
  if (Table.has("non_repeatable"))
    Policy.NonRepeatable = Table.flag("non_repeatable", false);
  if (Table.has("priority"))
    Policy.Priority = static_cast<std::uint32_t>(
        Table.integer("priority", {.Minimum = 0, .Maximum = 10000}));
  if (Table.has("max_attempts"))
    Policy.MaximumAttempts = static_cast<std::uint32_t>(
        Table.integer("max_attempts", {.Minimum = 1, .Maximum = 1000}));
  if (Table.has("default_timeout_ms"))
    Policy.DefaultTimeout = std::chrono::milliseconds(Table.integer(
        "default_timeout_ms",
        {.Minimum = 10, .Maximum = MaximumDurationMs, .Unit = "milliseconds"}));
  if (Table.has("max_wait_ms"))
    Policy.MaximumWait = std::chrono::milliseconds(Table.integer(
        "max_wait_ms",
        {.Minimum = 0, .Maximum = MaximumDurationMs, .Unit = "milliseconds"}));
  if (Policy.NonRepeatable.value_or(false) &&
      Policy.MaximumAttempts.value_or(1) > 1)
    Table.problem("max_attempts",
                  fmt::format("is {} in a non-repeatable policy, which runs at "
                              "most once; write 1 or remove it",
                              *Policy.MaximumAttempts));
  return Policy;
}

JobClassObject readJobClass(TomlTableReader &Table) {
  JobClassObject Class;
  if (Table.has("member"))
    Class.Member = Table.text("member", {.Check = checkName});
  Class.Pool = Table.text("pool", {.Check = checkName});
  Class.Policy = Table.text("policy", {.Check = checkName});
  return Class;
}

} // namespace

const std::vector<std::string> &configKinds() {
  static const std::vector<std::string> Kinds = {"member", "pool", "policy",
                                                 "quota", "job_class"};
  return Kinds;
}

std::optional<ConfigContent> readConfigContent(const std::string &Kind,
                                               const std::string &Name,
                                               const TomlNode &Node,
                                               TomlProblems &Problems) {
  const std::size_t Before = Problems.Lines.size();
  const std::vector<std::string> &Kinds = configKinds();
  if (std::find(Kinds.begin(), Kinds.end(), Kind) == Kinds.end()) {
    Problems.add(Node.line(), "",
                 fmt::format("kind \"{}\" is not known; use one of {}", Kind,
                             fmt::join(Kinds, ", ")));
    return std::nullopt;
  }
  if (const std::string Wanted = checkName(Name); !Wanted.empty())
    Problems.add(Node.line(), "",
                 fmt::format("name \"{}\" is not valid; {}", Name, Wanted));
  TomlTableReader Table(&Node, "", Problems);
  ConfigContent Content;
  if (Kind == "member")
    Content = readMember(Table);
  else if (Kind == "pool")
    Content = readPool(Table, Name, Problems);
  else if (Kind == "quota")
    Content = readQuota(Table, Name);
  else if (Kind == "policy")
    Content = readPolicy(Table);
  else
    Content = readJobClass(Table);
  Table.refuseUnknownKeys();
  if (Problems.Lines.size() > Before)
    return std::nullopt;
  return Content;
}

std::optional<ConfigContent>
parseConfigObject(const records::ConfigObject &Object,
                  std::vector<std::string> &Errors) {
  TomlProblems Problems{.File = Object.kind() + "." + Object.name(),
                        .Lines = {}};
  std::optional<ConfigContent> Content;
  if (Object.toml().size() > MaximumObjectBytes)
    Problems.add(0, "",
                 fmt::format("has {} bytes; write at most {}",
                             Object.toml().size(), MaximumObjectBytes));
  else if (const auto Document = parseToml(Object.toml(), Problems.File))
    Content =
        readConfigContent(Object.kind(), Object.name(), *Document, Problems);
  else
    Problems.Lines.push_back(Document.error().Message);
  Errors.insert(Errors.end(), Problems.Lines.begin(), Problems.Lines.end());
  return Content;
}

const char *workKindName(WorkKind Kind) {
  switch (Kind) {
  case WorkKind::Batch:
    return "batch";
  case WorkKind::Service:
    return "service";
  case WorkKind::Gang:
    return "gang";
  case WorkKind::Request:
    return "request";
  }
  return "batch";
}

const char *acceptanceName(Acceptance Accept) {
  return Accept == Acceptance::Logged ? "logged" : "synchronous";
}

} // namespace hickory
