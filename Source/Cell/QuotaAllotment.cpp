#include "Cell/QuotaAllotment.h"

#include <fmt/format.h>

namespace hickory {

namespace {

std::string keyOf(const RunId &Run) {
  return fmt::format("{}#{}@{}", Run.Task.toString(), Run.Run, Run.Worker);
}

} // namespace

void QuotaAllotment::setCaps(QuotaCaps Caps, std::uint64_t Version) {
  for (const auto &[Account, Cap] : Caps) {
    const auto Former = Caps_.find(Account);
    if (Former != Caps_.end() && limitOf(Former->second).fitsIn(limitOf(Cap)))
      continue;
    for (auto &[Number, Owned] : Shards_) {
      if (const auto It = Owned.Accounts.find(Account);
          It != Owned.Accounts.end())
        It->second.Granted = {};
      // A grant that is under way belongs to the former cap.
      Owned.Sequences.erase(Map_.shardOf(Account));
    }
  }
  Caps_ = std::move(Caps);
  Version_ = Version;
}

void QuotaAllotment::setInherited(int Shard, InheritedDemand Demand) {
  const auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.Resolved)
    return;
  // What the workers out of reach can run is usually far below what the journal
  // tells.
  if (Demand.OutOfReach && !It->second.Unseen.OutOfReach)
    ++News_;
  It->second.Unseen = std::move(Demand);
}

void QuotaAllotment::setLedgerKnown(int Shard, int Ledger) {
  const auto It = Shards_.find(Shard);
  if (It != Shards_.end() && It->second.KnownLedgers.insert(Ledger).second)
    ++News_;
}

void QuotaAllotment::setResolved(int Shard) {
  const auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.Resolved)
    return;
  OwnedShard &Owned = It->second;
  Owned.Resolved = true;
  Owned.Unseen = {};
  for (auto &[Key, Counted] : Owned.Runs)
    Counted.Inherited = false;
  for (auto &[Account, Entry] : Owned.Accounts)
    Entry.Used =
        plusSaturated(Entry.Used, std::exchange(Entry.Inherited, Resources{}));
  ++News_;
}

Resources QuotaAllotment::unseenOf(const OwnedShard &Owned,
                                   const std::string &Account) {
  if (Owned.Unseen.UnboundedAccounts.contains(Account))
    return largestResources();
  const auto Tasks = Owned.Unseen.UnseenTasks.find(Account);
  return Tasks == Owned.Unseen.UnseenTasks.end() ? Resources{} : Tasks->second;
}

void QuotaAllotment::beginRun(int Shard, const std::string &Account,
                              const RunId &Run, const Resources &Demand,
                              Clock::time_point Now, bool IsInherited) {
  const auto It = Shards_.find(Shard);
  if (It == Shards_.end() || Account.empty())
    return;
  const bool Inherited = IsInherited && !It->second.Resolved;
  const auto [Counted, IsNew] = It->second.Runs.try_emplace(
      keyOf(Run), CountedRun{.Run = Run,
                             .Account = Account,
                             .Demand = Demand,
                             .Since = Now,
                             .Inherited = Inherited});
  Counted->second.Since = Now;
  if (!IsNew)
    return;
  Use &Entry = It->second.Accounts[Account];
  if (Inherited) {
    Entry.Inherited = plusSaturated(Entry.Inherited, Demand);
    return;
  }
  Entry.Used = plusSaturated(Entry.Used, Demand);
  rollPeaks(Entry, Now);
  Entry.Peak = maximumOf(Entry.Peak, Entry.Used);
}

void QuotaAllotment::confirmRun(int Shard, const RunId &Run,
                                Clock::time_point Now) {
  const auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.Runs.empty())
    return;
  if (const auto Counted = It->second.Runs.find(keyOf(Run));
      Counted != It->second.Runs.end())
    Counted->second.Since = Now;
}

void QuotaAllotment::endRun(int Shard, const RunId &Run) {
  const auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.Runs.empty())
    return;
  const auto Counted = It->second.Runs.find(keyOf(Run));
  if (Counted == It->second.Runs.end())
    return;
  const std::string &Account = Counted->second.Account;
  Use &Entry = It->second.Accounts[Account];
  Resources &Sum = Counted->second.Inherited ? Entry.Inherited : Entry.Used;
  Sum = Sum.minusClamped(Counted->second.Demand);
  if (Entry.Used.empty() && Entry.Inherited.empty() && !Caps_.contains(Account))
    It->second.Accounts.erase(Account);
  It->second.Runs.erase(Counted);
}

void QuotaAllotment::endRuns(
    const std::function<bool(const RunId &Run, Clock::time_point Since)>
        &HasEnded) {
  for (auto &[Number, Owned] : Shards_) {
    std::vector<RunId> Ended;
    for (const auto &[Key, Counted] : Owned.Runs)
      if (HasEnded(Counted.Run, Counted.Since))
        Ended.push_back(Counted.Run);
    for (const RunId &Run : Ended)
      endRun(Number, Run);
  }
}

const QuotaAllotment::Need *QuotaAllotment::longest(const Use &Account) {
  const Need *Found = nullptr;
  for (const auto &[Name, Each] : Account.Needs)
    if (Found == nullptr || Each.Since < Found->Since)
      Found = &Each;
  return Found;
}

void QuotaAllotment::dropOldNeeds(Use &Account, Clock::time_point Now) const {
  std::erase_if(Account.Needs, [&](const auto &NameAndNeed) {
    return Now - NameAndNeed.second.SeenAt > Options_.NeedLifetime;
  });
}

int QuotaAllotment::startable(const QuotaStep &Step, int Count,
                              Clock::time_point Now) {
  const auto Cap = Caps_.find(Step.Account);
  if (Cap == Caps_.end())
    return Count;
  const auto It = Shards_.find(Step.Shard);
  if (It == Shards_.end() ||
      !canEverStart(*Step.Spec, Cap->second, Options_.Overage))
    return 0;
  Use &Entry = It->second.Accounts[Step.Account];
  dropOldNeeds(Entry, Now);
  int Fits = fitsTimes(Step.Spec->Demand, Entry.room(), Count);
  if (Step.Spec->Gang && Fits < Count)
    Fits = 0;
  const auto Own = Entry.Needs.find(Step.Name);
  const Need *Longest = longest(Entry);
  const bool MustWait = Longest != nullptr &&
                        (Own == Entry.Needs.end() || Longest != &Own->second) &&
                        Now - Longest->Since >= Options_.HoldAfter &&
                        Longest->Priority <= Step.Priority;
  if (MustWait)
    Fits = 0;
  if (Fits == Count) {
    if (Own != Entry.Needs.end())
      Entry.Needs.erase(Own);
    return Count;
  }
  if (Own == Entry.Needs.end() && Entry.Needs.size() >= Options_.MaximumNeeds)
    return Fits;
  Need &Recorded =
      Own == Entry.Needs.end() ? Entry.Needs[Step.Name] : Own->second;
  if (Own == Entry.Needs.end() || Fits > 0)
    Recorded.Since = Now;
  Recorded.Total = timesSaturated(Step.Spec->Demand,
                                  static_cast<std::uint64_t>(Count - Fits));
  Recorded.Minimum = Step.Spec->Gang ? Recorded.Total : Step.Spec->Demand;
  Recorded.Priority = Step.Priority;
  Recorded.SeenAt = Now;
  return Fits;
}

const QuotaAllotment::Use *
QuotaAllotment::findUse(int Shard, const std::string &Account) const {
  const auto Owned = Shards_.find(Shard);
  if (Owned == Shards_.end())
    return nullptr;
  const auto Entry = Owned->second.Accounts.find(Account);
  return Entry == Owned->second.Accounts.end() ? nullptr : &Entry->second;
}

bool QuotaAllotment::isBlocked(int Shard, const std::string &Account,
                               const StepSpec &Step,
                               Clock::time_point Now) const {
  if (Account.empty() || !Caps_.contains(Account))
    return false;
  const Use *Entry = findUse(Shard, Account);
  return Entry != nullptr && Now < Entry->BlockedUntil &&
         !startDemand(Step).fitsIn(Entry->room());
}

std::set<int> QuotaAllotment::ledgers() const {
  std::set<int> Found;
  for (const auto &[Account, Cap] : Caps_)
    Found.insert(Map_.shardOf(Account));
  return Found;
}

std::set<int> QuotaAllotment::ledgersToCall(Clock::time_point Now) {
  std::set<int> Found;
  for (auto &[Number, Owned] : Shards_)
    for (auto &[Account, Entry] : Owned.Accounts) {
      if (!Caps_.contains(Account) || !mayReport(Owned, Map_.shardOf(Account)))
        continue;
      dropOldNeeds(Entry, Now);
      const bool CanReturn =
          Entry.Contended && !Entry.room().empty() && Now >= Entry.KeepUntil;
      if (Entry.Needs.empty() ? CanReturn : Now >= Entry.RetryAt)
        Found.insert(Map_.shardOf(Account));
    }
  return Found;
}

bool QuotaAllotment::takeUnblocked(Clock::time_point Now) {
  bool Found = false;
  for (auto &[Number, Owned] : Shards_)
    for (auto &[Account, Entry] : Owned.Accounts)
      if (Entry.Blocked && Now >= Entry.BlockedUntil) {
        Entry.Blocked = false;
        Found = true;
      }
  return Found;
}

void QuotaAllotment::rollPeaks(Use &Account, Clock::time_point Now) const {
  const auto Passed = Now - Account.PeakSince;
  if (Passed < Options_.KeepTime)
    return;
  Account.LastPeak =
      Passed < 2 * Options_.KeepTime ? Account.Peak : Account.Used;
  Account.Peak = Account.Used;
  Account.PeakSince = Now;
}

Resources QuotaAllotment::kept(Use &Account, Clock::time_point Now) const {
  rollPeaks(Account, Now);
  if (Now < Account.KeepUntil)
    return Account.Granted;
  // Room that is too small for the waiting steps is returned, so that the
  // pieces of several owners add up to what one of them needs.
  if (Account.Contended || !Account.Needs.empty())
    return Account.Used;
  return maximumOf(Account.Used, maximumOf(Account.Peak, Account.LastPeak));
}

void QuotaAllotment::noteLedgerEpoch(int Ledger, std::uint64_t Epoch) {
  std::uint64_t &Known = LedgerEpochs_[Ledger];
  Known = std::max(Known, Epoch);
}

LedgerReport QuotaAllotment::report(int Ledger, Clock::time_point Now) {
  LedgerReport Report{
      .Ledger = Ledger, .Epoch = LedgerEpochs_[Ledger], .Version = Version_};
  for (auto &[Number, Owned] : Shards_) {
    if (!mayReport(Owned, Ledger))
      continue;
    for (const auto &[Account, Cap] : Caps_)
      if (Map_.shardOf(Account) == Ledger && !unseenOf(Owned, Account).empty())
        Owned.Accounts.try_emplace(Account);
    ShardUsageReport Shard{.Shard = Number,
                           .Epoch = Owned.Epoch,
                           .Resolved = Owned.Resolved,
                           .OutOfReachKnown =
                               Owned.Unseen.OutOfReach.has_value(),
                           .OutOfReach = Owned.Unseen.OutOfReach.value_or(
                               std::map<std::string, Resources>()),
                           .Sequence = ++LastSequence_};
    Owned.Sequences[Ledger] = Shard.Sequence;
    for (auto &[Account, Entry] : Owned.Accounts) {
      const auto Cap = Caps_.find(Account);
      if (Cap == Caps_.end() || Map_.shardOf(Account) != Ledger)
        continue;
      dropOldNeeds(Entry, Now);
      Entry.Granted = minimumOf(Entry.Granted, kept(Entry, Now));
      AccountUsage Line{.Account = Account,
                        .Used = Entry.Used,
                        .Held = maximumOf(Entry.Granted, Entry.Used),
                        .Granted = Entry.Granted,
                        .Inherited = Entry.Inherited,
                        .Unseen = unseenOf(Owned, Account)};
      Line.Wanted = Line.Held;
      if (const Need *Longest = longest(Entry)) {
        Resources Total;
        for (const auto &[Name, Each] : Entry.Needs)
          Total = plusSaturated(Total, Each.Total);
        Total =
            maximumOf(minimumOf(Total, limitOf(Cap->second)), Longest->Minimum);
        Line.Wanted = plusSaturated(Entry.Used, Total);
        Line.Minimum = Longest->Minimum;
        Line.Priority = Longest->Priority;
        Line.WaitingMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now - Longest->Since)
                             .count();
      }
      if (!Line.Held.empty() || !Line.Minimum.empty() ||
          !Line.Inherited.empty() || !Line.Unseen.empty())
        Shard.Accounts.push_back(std::move(Line));
      else
        Entry.Granted = {};
    }
    std::erase_if(Owned.Accounts, [&](const auto &NameAndUse) {
      const Use &Entry = NameAndUse.second;
      return Map_.shardOf(NameAndUse.first) == Ledger && Entry.Used.empty() &&
             Entry.Inherited.empty() && Entry.Granted.empty() &&
             Entry.Needs.empty();
    });
    Report.Shards.push_back(std::move(Shard));
  }
  return Report;
}

void QuotaAllotment::apply(const LedgerGrants &Reply, Clock::time_point Now) {
  if (Reply.Epoch == 0 || Reply.Epoch < LedgerEpochs_[Reply.Ledger])
    return;
  if (Reply.Epoch > LedgerEpochs_[Reply.Ledger]) {
    // The ledger has taken nothing from a report to another epoch.
    noteLedgerEpoch(Reply.Ledger, Reply.Epoch);
    return;
  }
  for (const ShardGrants &Shard : Reply.Shards) {
    const auto It = Shards_.find(Shard.Shard);
    if (It == Shards_.end() || It->second.Epoch != Shard.Epoch ||
        !Shard.Accepted)
      continue;
    const auto Latest = It->second.Sequences.find(Reply.Ledger);
    if (Latest == It->second.Sequences.end() ||
        Latest->second != Shard.Sequence)
      continue;
    // The ledger decides only about the accounts that it lists.
    for (auto &[Account, Entry] : It->second.Accounts)
      if (Map_.shardOf(Account) == Reply.Ledger)
        Entry.RetryAt = Now + Options_.RetryDelay;
    for (const AccountGrant &Grant : Shard.Accounts) {
      const auto Entry = It->second.Accounts.find(Grant.Account);
      if (Entry == It->second.Accounts.end() ||
          !Caps_.contains(Grant.Account) ||
          Map_.shardOf(Grant.Account) != Reply.Ledger)
        continue;
      Use &Target = Entry->second;
      const bool Raised = !Grant.Granted.fitsIn(Target.Granted);
      Target.Granted = Grant.Granted;
      Target.Contended = Grant.Contended;
      Target.RetryAt = {};
      Target.BlockedUntil = {};
      rollPeaks(Target, Now);
      if (Grant.Refused) {
        Target.RetryAt = Now + Options_.RetryDelay;
        Target.BlockedUntil = Now + Options_.BlockedTime;
        Target.Blocked = true;
      } else if (Raised) {
        // The next passes start the steps, or report what is still missing.
        Target.Needs.clear();
        Target.KeepUntil = Now + Options_.GrantTime;
        Target.Peak = maximumOf(Target.Peak, Grant.Granted);
      }
    }
  }
}

Resources QuotaAllotment::demandOf(int Shard, const std::string &Job) const {
  Resources Sum;
  if (const auto It = Shards_.find(Shard); It != Shards_.end())
    for (const auto &[Key, Counted] : It->second.Runs)
      if (Counted.Run.Task.Job == Job)
        Sum = plusSaturated(Sum, Counted.Demand);
  return Sum;
}

Resources QuotaAllotment::used(const std::string &Account) const {
  Resources Sum;
  for (const auto &[Number, Owned] : Shards_)
    Sum = plusSaturated(Sum, usedIn(Number, Account));
  return Sum;
}

Resources QuotaAllotment::usedIn(int Shard, const std::string &Account) const {
  const Use *Entry = findUse(Shard, Account);
  return Entry == nullptr ? Resources{}
                          : plusSaturated(Entry->Used, Entry->Inherited);
}

Resources QuotaAllotment::grantedIn(int Shard,
                                    const std::string &Account) const {
  const Use *Entry = findUse(Shard, Account);
  return Entry == nullptr ? Resources{} : Entry->Granted;
}

} // namespace hickory
