#include "Cell/ShareOrder.h"

#include "Base/Hash.h"
#include "Cell/SubmissionRates.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace hickory {

namespace {

/// What runs may exceed the share by this factor, as reports are up to 3 s old
/// and tasks are of different sizes.
constexpr double UsageTolerance = 1.25;
/// Jobs that arrive at random exceed their mean by two standard deviations in
/// one of forty windows.
constexpr double RateDeviations = 2;
constexpr double RateWindowSeconds =
    std::chrono::duration<double>(SubmissionRates::Window).count();
/// Weight of work without a listed account.
constexpr double DefaultWeight = 1;

Resources scaled(const Resources &Amount, double Factor) {
  const auto Scale = [Factor](std::uint64_t Value) {
    return static_cast<std::uint64_t>(static_cast<double>(Value) * Factor);
  };
  return {.CpusMilli = Scale(Amount.CpusMilli),
          .MemoryMb = Scale(Amount.MemoryMb),
          .Accelerators = Scale(Amount.Accelerators)};
}

} // namespace

void ShareOrder::update(const DemandView::Sums &Demand, const Resources &Total,
                        const std::vector<ClientAccount> &Accounts) {
  Entries_.clear();
  std::map<std::string, double> Weights;
  for (const ClientAccount &Account : Accounts)
    Weights[Account.Name] = Account.Weight;
  std::map<std::string, double> Rates;
  Resources Running;
  for (const auto &[Priority, Loads] : Demand.ByPriority)
    for (const auto &[Account, Load] : Loads) {
      Rates[Account] += Load.JobsPerSecond;
      (void)Running.add(Load.Running);
    }
  const auto WeightOf = [&Weights](const std::string &Account) {
    const auto It = Weights.find(Account);
    return It == Weights.end() ? DefaultWeight : It->second;
  };
  for (const auto &[Priority, Loads] : Demand.ByPriority) {
    // The capacity that the priority uses or could use.
    Resources OwnRunning;
    std::map<std::string, Resources> Demands;
    double WeightSum = 0;
    std::set<std::string> Waiting;
    for (const auto &[Account, Load] : Loads) {
      (void)OwnRunning.add(Load.Running);
      Resources Wanted = Load.Running;
      (void)Wanted.add(Load.WaitingDemand);
      if (!Wanted.empty()) {
        Demands[Account] = Wanted;
        WeightSum += WeightOf(Account);
      }
      if (!Load.WaitingDemand.empty())
        Waiting.insert(Account);
    }
    const Resources Capacity =
        Total.minusClamped(Running.minusClamped(OwnRunning));
    std::vector<ShareQuota> Quotas;
    Quotas.reserve(Demands.size());
    for (const auto &[Account, Wanted] : Demands)
      Quotas.push_back(
          {.Member = Account,
           .Team = "",
           .Entitled = scaled(Capacity, WeightOf(Account) / WeightSum)});
    Shares_.setTotal(Capacity);
    Shares_.setQuotas(Quotas);
    const auto Shares = Shares_.entitlements(Demands);
    for (const auto &[Account, Load] : Loads) {
      Entry &New = Entries_[Priority][Account];
      if (const auto It = Shares.find(Account); It != Shares.end())
        New.Share = It->second;
      const bool OthersWait =
          Waiting.size() > (Waiting.contains(Account) ? 1U : 0U);
      if (!OthersWait)
        continue;
      New.AboveUsage =
          Options_.ByUsage &&
          Load.Running.dominantShareOf(Capacity) > UsageTolerance * New.Share;
      const auto Weight = Weights.find(Account);
      if (!Options_.ByRate || Weight == Weights.end())
        continue;
      const double Jobs = Rates[Account] * RateWindowSeconds;
      const double Entitled = Weight->second * RateWindowSeconds;
      if (Jobs > Entitled + RateDeviations * std::sqrt(Entitled))
        New.PermittedPart = Entitled / Jobs;
    }
  }
}

const ShareOrder::Entry *ShareOrder::find(const std::string &Account,
                                          int Priority) const {
  const auto Loads = Entries_.find(Priority);
  if (Loads == Entries_.end())
    return nullptr;
  const auto It = Loads->second.find(Account);
  return It == Loads->second.end() ? nullptr : &It->second;
}

bool ShareOrder::isAboveUsage(const std::string &Account, int Priority) const {
  const Entry *Found = find(Account, Priority);
  return Found != nullptr && Found->AboveUsage;
}

bool ShareOrder::isBeyondRate(const std::string &Account, int Priority,
                              const std::string &JobId) const {
  const double Part = permittedPart(Account, Priority);
  // The prefix keeps the choice independent of the shard, which is chosen by
  // the hash of the id too.
  return Part < 1 && static_cast<double>(stableHash("rate/" + JobId)) >
                         Part * static_cast<double>(
                                    std::numeric_limits<std::uint64_t>::max());
}

double ShareOrder::shareOf(const std::string &Account, int Priority) const {
  const Entry *Found = find(Account, Priority);
  return Found == nullptr ? 0 : Found->Share;
}

double ShareOrder::permittedPart(const std::string &Account,
                                 int Priority) const {
  const Entry *Found = find(Account, Priority);
  return Found == nullptr ? 1 : Found->PermittedPart;
}

std::set<std::string> ShareOrder::namesAbove() const {
  std::set<std::string> Above;
  for (const auto &[Priority, Accounts] : Entries_)
    for (const auto &[Account, Each] : Accounts)
      if (Each.AboveUsage || Each.PermittedPart < 1)
        Above.insert(Account);
  return Above;
}

std::size_t ShareOrder::accountsAbove() const { return namesAbove().size(); }

std::string ShareOrder::exampleAbove() const {
  const auto Above = namesAbove();
  return Above.empty() ? "" : *Above.begin();
}

} // namespace hickory
