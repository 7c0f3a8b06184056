#include "Config/ConfigValidator.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tuple>

namespace hickory {

namespace {

/// Amounts by dimension, in the order processors, memory, accelerators.
using Amounts = std::array<std::uint64_t, 3>;
constexpr std::array<const char *, 3> AmountNames = {"cpus_milli", "memory_mb",
                                                     "accelerators"};

template <typename T> Amounts amountsOf(const T &Object) {
  return {Object.CpusMilli, Object.MemoryMb, Object.Accelerators};
}

/// Adds without wrapping around.
void addSaturated(Amounts &Sum, const Amounts &Part) {
  for (std::size_t I = 0; I < Sum.size(); ++I)
    if (__builtin_add_overflow(Sum[I], Part[I], &Sum[I]))
      Sum[I] = UINT64_MAX;
}

} // namespace

ConfigValidator::ConfigValidator(const ConfigObjectMap &Objects,
                                 std::set<ConfigObjectId> Removed)
    : Objects_(Objects), Removed_(std::move(Removed)) {}

tl::expected<ConfigTables, std::vector<std::string>>
ConfigValidator::validate() {
  for (const auto &[Id, Stored] : Objects_) {
    if (Id.Kind == "member")
      Tables_.Members.insert(Id.Name);
    else if (const auto *Pool = std::get_if<PoolConfig>(&Stored->Content))
      Tables_.Pools.emplace(Id.Name, *Pool);
    else if (const auto *Quota = std::get_if<QuotaConfig>(&Stored->Content))
      Tables_.Quotas.push_back(*Quota);
  }
  checkQuotas();
  checkQuotaSums();
  resolvePolicies();
  resolveJobClasses();
  if (!Errors_.empty())
    return tl::unexpected(std::move(Errors_));
  return std::move(Tables_);
}

template <typename T>
const T *ConfigValidator::find(const std::string &Kind,
                               const std::string &Name) const {
  const auto It = Objects_.find(ConfigObjectId{Kind, Name});
  return It == Objects_.end() ? nullptr : std::get_if<T>(&It->second->Content);
}

bool ConfigValidator::refer(const ConfigObjectId &From, const std::string &Key,
                            const std::string &Kind, const std::string &Name) {
  const ConfigObjectId Target{Kind, Name};
  if (Objects_.contains(Target))
    return true;
  if (Removed_.contains(Target))
    Errors_.push_back(fmt::format(
        "{}: {}: refers to {}, which this change set removes; change or remove "
        "{} in the same change set",
        From.text(), Key, Target.text(), From.text()));
  else
    Errors_.push_back(fmt::format("{}: {}: refers to {}, which does not exist; "
                                  "add it or correct the name",
                                  From.text(), Key, Target.text()));
  return false;
}

void ConfigValidator::checkQuotas() {
  std::map<std::tuple<std::string, std::string, std::string>, std::string>
      Places;
  for (const QuotaConfig &Quota : Tables_.Quotas) {
    const ConfigObjectId Id{"quota", Quota.Name};
    if (refer(Id, "member", "member", Quota.Member) && !Quota.Team.empty()) {
      const auto *Member = find<MemberObject>("member", Quota.Member);
      if (!Member->Teams.contains(Quota.Team))
        Errors_.push_back(fmt::format(
            "{}: team: \"{}\" is not a team of member.{}; add it to teams "
            "there or write one of [{}]",
            Id.text(), Quota.Team, Quota.Member,
            fmt::join(Member->Teams, ", ")));
    }
    refer(Id, "pool", "pool", Quota.Pool);
    const auto [Same, New] = Places.emplace(
        std::make_tuple(Quota.Pool, Quota.Member, Quota.Team), Quota.Name);
    if (!New)
      Errors_.push_back(fmt::format(
          "{}: has the same member, team and pool as quota.{}; keep one",
          Id.text(), Same->second));
  }
}

void ConfigValidator::checkQuotaSums() {
  struct MemberSums {
    const QuotaConfig *Whole = nullptr;
    Amounts Teams{};
  };
  std::map<std::string, std::map<std::string, MemberSums>> ByPool;
  for (const QuotaConfig &Quota : Tables_.Quotas) {
    MemberSums &Sums = ByPool[Quota.Pool][Quota.Member];
    if (Quota.Team.empty())
      Sums.Whole = &Quota;
    else
      addSaturated(Sums.Teams, amountsOf(Quota));
  }
  for (const auto &[PoolName, Members] : ByPool) {
    Amounts Total{};
    for (const auto &[Member, Sums] : Members) {
      if (Sums.Whole == nullptr) {
        addSaturated(Total, Sums.Teams);
        continue;
      }
      const Amounts Whole = amountsOf(*Sums.Whole);
      addSaturated(Total, Whole);
      for (std::size_t I = 0; I < Whole.size(); ++I)
        if (Sums.Teams[I] > Whole[I])
          Errors_.push_back(fmt::format(
              "quota.{}: {}: the teams of member.{} have {} together in "
              "pool.{}, but the member has {}; raise it or lower the quotas "
              "of the teams",
              Sums.Whole->Name, AmountNames[I], Member, Sums.Teams[I], PoolName,
              Whole[I]));
    }
    const auto Pool = Tables_.Pools.find(PoolName);
    if (Pool == Tables_.Pools.end() || !Pool->second.HasCapacity)
      continue;
    const Amounts Capacity = amountsOf(Pool->second);
    for (std::size_t I = 0; I < Capacity.size(); ++I)
      if (Total[I] > Capacity[I])
        Errors_.push_back(fmt::format(
            "pool.{}: capacity.{}: quotas add up to {}, but the capacity is "
            "{}; lower the quotas or correct the capacity",
            PoolName, AmountNames[I], Total[I], Capacity[I]));
  }
}

void ConfigValidator::resolvePolicies() {
  for (const auto &[Id, Stored] : Objects_)
    if (Id.Kind == "policy")
      resolvePolicy(Id.Name);
}

void ConfigValidator::resolvePolicy(const std::string &Name) {
  // From Name up to the first policy that is resolved or inherits nothing.
  std::vector<std::string> Chain;
  std::string Next = Name;
  while (!Next.empty() && !Policies_.contains(Next)) {
    if (std::find(Chain.begin(), Chain.end(), Next) != Chain.end()) {
      // Each cycle is reported once, at its first member by name.
      const auto Start = std::find(Chain.begin(), Chain.end(), Next);
      const std::vector<std::string> Cycle(Start, Chain.end());
      if (*std::min_element(Cycle.begin(), Cycle.end()) == Name)
        Errors_.push_back(fmt::format(
            "policy.{}: inherits: forms the cycle {} -> {}; remove one of "
            "these references",
            Name, fmt::join(Cycle, " -> "), Next));
      return;
    }
    const auto *Policy = find<PolicyObject>("policy", Next);
    if (Policy == nullptr)
      break;
    Chain.push_back(Next);
    if (!Policy->Inherits.empty() &&
        !Objects_.contains(ConfigObjectId{"policy", Policy->Inherits})) {
      if (Next == Name)
        refer({"policy", Next}, "inherits", "policy", Policy->Inherits);
      return;
    }
    Next = Policy->Inherits;
  }
  for (auto It = Chain.rbegin(); It != Chain.rend(); ++It) {
    PolicyObject Policy = *find<PolicyObject>("policy", *It);
    if (const auto Base = Policies_.find(Policy.Inherits);
        Base != Policies_.end()) {
      const auto Take = [](auto &Own, const auto &Inherited) {
        if (!Own)
          Own = Inherited;
      };
      Take(Policy.Kind, Base->second.Kind);
      Take(Policy.Accept, Base->second.Accept);
      Take(Policy.NonRepeatable, Base->second.NonRepeatable);
      Take(Policy.Priority, Base->second.Priority);
      Take(Policy.MaximumAttempts, Base->second.MaximumAttempts);
      Take(Policy.DefaultTimeout, Base->second.DefaultTimeout);
      Take(Policy.MaximumWait, Base->second.MaximumWait);
    }
    const WorkKind Kind = Policy.Kind.value_or(JobClassConfig().Kind);
    if (Policy.Accept == Acceptance::Synchronous && Kind != WorkKind::Request)
      Errors_.push_back(fmt::format(
          "policy.{}: acceptance: \"synchronous\" needs kind = \"request\", "
          "but the kind is {}; write logged or change the kind",
          *It, workKindName(Kind)));
    Policies_.emplace(*It, std::move(Policy));
  }
}

void ConfigValidator::resolveJobClasses() {
  for (const auto &[Id, Stored] : Objects_) {
    const auto *Class = std::get_if<JobClassObject>(&Stored->Content);
    if (Class == nullptr)
      continue;
    if (!Class->Member.empty())
      refer(Id, "member", "member", Class->Member);
    refer(Id, "pool", "pool", Class->Pool);
    refer(Id, "policy", "policy", Class->Policy);
    const auto Policy = Policies_.find(Class->Policy);
    if (Policy == Policies_.end())
      continue;
    const PolicyObject &From = Policy->second;
    JobClassConfig Config;
    Config.Name = Id.Name;
    Config.Member = Class->Member;
    Config.Pool = Class->Pool;
    Config.Policy = Class->Policy;
    Config.Kind = From.Kind.value_or(Config.Kind);
    Config.Accept = From.Accept.value_or(Config.Accept);
    Config.NonRepeatable = From.NonRepeatable.value_or(Config.NonRepeatable);
    Config.Priority = From.Priority.value_or(Config.Priority);
    Config.MaximumAttempts =
        Config.NonRepeatable
            ? 1
            : From.MaximumAttempts.value_or(Config.MaximumAttempts);
    Config.DefaultTimeout = From.DefaultTimeout.value_or(Config.DefaultTimeout);
    Config.MaximumWait = From.MaximumWait.value_or(Config.MaximumWait);
    Tables_.JobClasses.emplace(Id.Name, std::move(Config));
  }
}

} // namespace hickory
