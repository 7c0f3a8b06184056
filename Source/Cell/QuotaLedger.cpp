#include "Cell/QuotaLedger.h"

#include <set>

namespace hickory {

namespace {

/// While less than one part in two of the cap is held, owners get more than
/// they ask for, so that they need fewer calls.
constexpr std::uint64_t FreeParts = 2;
/// The most that an owner gets without having asked, as a part of the cap.
constexpr std::uint64_t SurplusParts = 16;

Resources dividedBy(const Resources &Amount, std::uint64_t Parts) {
  return {.CpusMilli = Amount.CpusMilli / Parts,
          .MemoryMb = Amount.MemoryMb / Parts,
          .Accelerators = Amount.Accelerators / Parts};
}

} // namespace

void QuotaLedger::setCaps(const QuotaCaps &Caps, std::uint64_t Version) {
  std::map<std::string, std::uint64_t> Versions;
  for (const auto &[Account, Cap] : Caps) {
    const auto Former = Caps_.find(Account);
    const bool Same = Former != Caps_.end() && Former->second == Cap;
    Versions[Account] = Same ? CapVersions_[Account] : Version;
  }
  CapVersions_ = std::move(Versions);
  Caps_ = Caps;
  Version_ = Version;
}

void QuotaLedger::noteTerm(int Shard, std::uint64_t Epoch) {
  JobShard &Known = Shards_.at(static_cast<std::size_t>(Shard));
  Known.Term = std::max(Known.Term, Epoch);
}

void QuotaLedger::noteListed(int Shard, std::uint64_t Epoch) {
  JobShard &Known = Shards_.at(static_cast<std::size_t>(Shard));
  Known.Listed = std::max(Known.Listed, Epoch);
}

void QuotaLedger::openIfReported() {
  Open_ = Open_ || std::ranges::all_of(Shards_, [](const JobShard &Each) {
            return Each.Reported && Each.Epoch >= Each.Term &&
                   Each.Listed != 0 && Each.Epoch >= Each.Listed;
          });
}

Resources QuotaLedger::unseenBy(const ShardUsageReport &Report,
                                const AccountUsage &Usage) const {
  const JobShard &Sender = Shards_[static_cast<std::size_t>(Report.Shard)];
  if (Report.Resolved)
    return {};
  // Before the account had its cap, its use was not reported.
  const auto CapVersion = CapVersions_.find(Usage.Account);
  if (!Sender.Reported || CapVersion == CapVersions_.end() ||
      Sender.Version < CapVersion->second)
    return Usage.Unseen;
  const auto All = Accounts_.find(Usage.Account);
  if (All == Accounts_.end() || !All->second.contains(Report.Shard))
    return {};
  const Use &Former = All->second.at(Report.Shard);
  const Resources Most =
      Sender.Epoch == Report.Epoch
          ? plusSaturated(Former.Report.Inherited, Former.Unseen)
          : Former.total();
  return minimumOf(Usage.Unseen, Most.minusClamped(Usage.Inherited));
}

Resources QuotaLedger::mostInUse(const Uses &All) const {
  Resources Sum;
  Resources OnWorkers; ///< Of the unseen, what can only be on known workers.
  std::map<std::string, Resources> Workers;
  for (const auto &[Number, Each] : All) {
    Sum = plusSaturated(Sum, Each.known());
    const JobShard &Owner = Shards_[static_cast<std::size_t>(Number)];
    if (Each.Unseen.empty())
      continue;
    if (!Owner.OutOfReachKnown) {
      Sum = plusSaturated(Sum, Each.Unseen);
      continue;
    }
    OnWorkers = plusSaturated(OnWorkers, Each.Unseen);
    Workers.insert(Owner.OutOfReach.begin(), Owner.OutOfReach.end());
  }
  Resources Capacity;
  for (const auto &[Worker, Each] : Workers)
    Capacity = plusSaturated(Capacity, Each);
  return plusSaturated(Sum, minimumOf(OnWorkers, Capacity));
}

ShardGrants QuotaLedger::apply(const ShardUsageReport &Report,
                               std::uint64_t Version, Clock::time_point Now) {
  ShardGrants Refused{.Shard = Report.Shard,
                      .Epoch = Report.Epoch,
                      .Sequence = Report.Sequence};
  if (Report.Shard < 0 || Report.Shard >= std::ssize(Shards_))
    return Refused;
  JobShard &Sender = Shards_[static_cast<std::size_t>(Report.Shard)];
  if (Report.Epoch < Sender.Term)
    return Refused;
  const bool SameEpoch = Sender.Reported && Sender.Epoch == Report.Epoch;
  // A request that the client has sent again.
  if (SameEpoch && Report.Sequence == Sender.Sequence)
    return Sender.Answer;
  if (SameEpoch && Report.Sequence < Sender.Sequence)
    return Refused;
  std::set<std::string> Listed;
  for (const AccountUsage &Each : Report.Accounts) {
    Listed.insert(Each.Account);
    const Resources Held = maximumOf(Each.Held, Each.Used);
    const Resources Unseen = unseenBy(Report, Each);
    Accounts_[Each.Account][Report.Shard] = {
        .Report = Each,
        .Held = Held,
        .Unseen = Unseen,
        .Target = Held,
        .WaitingSince = Now - std::chrono::milliseconds(Each.WaitingMs),
        .ReportedAt = Now};
  }
  Sender.Term = Report.Epoch;
  Sender.Epoch = Report.Epoch;
  Sender.Sequence = Report.Sequence;
  Sender.Version = Version;
  Sender.Reported = true;
  Sender.OutOfReachKnown = Report.OutOfReachKnown;
  Sender.OutOfReach = Report.OutOfReach;
  for (auto &[Account, All] : Accounts_)
    if (!Listed.contains(Account))
      All.erase(Report.Shard);
  std::erase_if(Accounts_, [](const auto &NameAndUses) {
    return NameAndUses.second.empty();
  });
  openIfReported();
  Sender.Answer = Refused;
  Sender.Answer.Accepted = true;
  for (const std::string &Account : Listed) {
    AccountGrant Grant = decide(Account, Report.Shard, Version, Now);
    // Without a decision the owner's allotment stays as it is.
    if (!Grant.Account.empty())
      Sender.Answer.Accounts.push_back(std::move(Grant));
  }
  return Sender.Answer;
}

AccountGrant QuotaLedger::decide(const std::string &Account, int Shard,
                                 std::uint64_t Version, Clock::time_point Now) {
  Uses &All = Accounts_[Account];
  Use &Own = All.at(Shard);
  AccountGrant Grant{.Account = Account, .Granted = Own.Held};
  for (const auto &[Number, Each] : All)
    Grant.Contended =
        Grant.Contended || (Number != Shard && isWaiting(Each, Now));
  Grant.Refused = isWaiting(Own, Now);
  const auto Cap = Caps_.find(Account);
  // One of the two gets the other's configuration soon.
  if (!Open_ || Cap == Caps_.end() || Version > Version_ ||
      Version < CapVersions_.at(Account))
    return {};
  const Resources Limit = limitOf(Cap->second);
  const Resources Sum = mostInUse(All);
  Resources Known;
  Resources UsedByOthers;
  for (const auto &[Number, Each] : All) {
    Known = plusSaturated(Known, Each.known());
    if (Number != Shard)
      UsedByOthers = plusSaturated(UsedByOthers, Each.total());
  }
  const bool StartsAlone = Grant.Refused && UsedByOthers.empty() &&
                           Own.Report.Used.empty() && Own.known() == Own.Held &&
                           Own.Unseen.empty() &&
                           !Own.Report.Minimum.fitsIn(Limit);
  if (StartsAlone) {
    Own.Held = maximumOf(Own.Held, Own.Report.Minimum);
    Own.Target = Own.Held;
    Grant.Granted = Own.Held;
    Grant.Refused = false;
    return Grant;
  }
  if (!Sum.fitsIn(Limit)) {
    // If the cap has become smaller, nothing is started until the sum fits. If
    // only the bound of unseen runs does not fit, fewer may be running: what
    // the owner was granted was within the cap together with these runs.
    Own.Target = Known.fitsIn(Limit) ? minimumOf(Own.Held, Own.Report.Granted)
                                     : Resources{};
    Grant.Granted = Own.Target;
    return Grant;
  }
  const Resources Room = Limit.minusClamped(Sum);
  if (!Grant.Refused) {
    Own.Target = Own.Held.minusClamped(recallFrom(All, Shard, Room, Now));
    Grant.Granted = Own.Target;
    return Grant;
  }
  const Resources Left = roomFor(All, Shard, Room, Now);
  if (!Own.minimum().fitsIn(Left)) {
    Own.Target = Own.Held.minusClamped(recallFrom(All, Shard, Room, Now));
    Grant.Granted = Own.Target;
    return Grant;
  }
  Resources More = minimumOf(Own.need(), Left);
  const Resources Surplus = minimumOf(More, dividedBy(Limit, SurplusParts));
  if (plusSaturated(Sum, plusSaturated(More, Surplus))
          .fitsIn(dividedBy(Limit, FreeParts)))
    More = plusSaturated(More, Surplus);
  Own.Held = plusSaturated(Own.Held, More);
  Own.Target = Own.Held;
  Grant.Granted = Own.Held;
  Grant.Refused = false;
  return Grant;
}

Resources QuotaLedger::roomFor(const Uses &All, int Shard, Resources Room,
                               Clock::time_point Now) const {
  const Use &Own = All.at(Shard);
  std::multimap<Clock::time_point, const Use *> Earlier;
  for (const auto &[Number, Each] : All)
    if (Number != Shard && isWaiting(Each, Now) &&
        Each.WaitingSince < Own.WaitingSince)
      Earlier.emplace(Each.WaitingSince, &Each);
  for (const auto &[Since, Each] : Earlier) {
    if (Each->minimum().fitsIn(Room))
      Room = Room.minusClamped(Each->need());
    else if (Now - Since >= Options_.HoldAfter &&
             Each->Report.Priority <= Own.Report.Priority)
      return {};
  }
  return Room;
}

Resources QuotaLedger::recallFrom(const Uses &All, int Shard,
                                  const Resources &Room,
                                  Clock::time_point Now) const {
  const Use &Own = All.at(Shard);
  const Use *Longest = nullptr;
  Resources Expected = Room; // What is free, or will be returned.
  for (const auto &[Number, Each] : All) {
    if (isWaiting(Each, Now) &&
        (Longest == nullptr || Each.WaitingSince < Longest->WaitingSince))
      Longest = &Each;
    if (Number != Shard)
      Expected = plusSaturated(Expected, Each.Held.minusClamped(Each.Target));
  }
  if (Longest == nullptr || Longest == &Own ||
      Now - Longest->WaitingSince < Options_.RecallAfter)
    return {};
  return Longest->minimum().minusClamped(Expected);
}

QuotaLedger::Totals QuotaLedger::totalsOf(const std::string &Account,
                                          Clock::time_point Now) const {
  Totals Sums;
  const auto It = Accounts_.find(Account);
  if (It == Accounts_.end())
    return Sums;
  for (const auto &[Number, Each] : It->second) {
    Sums.Used = plusSaturated(Sums.Used, Each.Report.Used);
    Sums.Held = plusSaturated(Sums.Held, Each.known());
    Sums.Waiting += isWaiting(Each, Now) ? 1 : 0;
  }
  return Sums;
}

} // namespace hickory
