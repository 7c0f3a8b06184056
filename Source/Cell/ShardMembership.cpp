#include "Cell/ShardMembership.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds RetryDelay{60};
/// Number of attempts with a short timeout and delay. Further attempts are less
/// frequent, so that they add no load to a store that recovers from an outage.
constexpr int QuickAttempts = 3;

std::string addressOf(const std::string &Member) {
  return Member.substr(0, Member.find('/'));
}

} // namespace

ShardMembership::ShardMembership(const asio::any_io_executor &Executor,
                                 TimerService &Timers, StoreClient &Store,
                                 EventLog &Events,
                                 ShardMembershipOptions Options)
    : Timers_(Timers), Store_(Store), Events_(Events),
      Options_(std::move(Options)), JoinDue_(Executor),
      HolderListDue_(Executor) {}

std::vector<std::string>
ShardMembership::membersAt(const std::string &Address) const {
  std::vector<std::string> Found;
  for (const std::string &Member : Members_)
    if (Member != Options_.Member && addressOf(Member) == Address)
      Found.push_back(Member);
  return Found;
}

asio::awaitable<void> ShardMembership::removePredecessors() {
  for (const std::string &Member : membersAt(addressOf(Options_.Member))) {
    Events_.emit("shards", "predecessor_removed", {{"member", Member}});
    co_await Store_.leave(Options_.Group, Member);
  }
}

asio::awaitable<Result<void>> ShardMembership::run() {
  co_await readHolders();
  asio::co_spawn(co_await asio::this_coro::executor, followHolders(),
                 asio::detached);
  co_await removePredecessors();
  if (Options_.ProcessorShare < Options_.MinimumOwnerShare)
    co_await waitOnStandby();
  bool Reachable = true;
  int Failures = 0;
  while (!Stopping_ && !Left_) {
    const Clock::time_point SentAt = Timers_.now();
    Joining_ = true;
    const auto Reply = co_await Store_.join(
        Options_.Group, Options_.Member, Options_.Topic, Options_.TimeToLive,
        Generation_,
        Failures < QuickAttempts
            ? StoreResponseTimes_.timeout(Options_.JoinTimeout,
                                          Options_.LongestJoinTimeout, 0)
            : Options_.LongestJoinTimeout);
    if (Reply)
      StoreResponseTimes_.recordResponse(Timers_.now() - SentAt);
    Failures = Reply ? 0 : Failures + 1;
    if (Left_) {
      // The store may have carried out the join after the leave of drain().
      co_await Store_.leave(Options_.Group, Options_.Member);
      Joining_ = false;
      break;
    }
    Joining_ = false;
    if (Reply.has_value() != Reachable) {
      Reachable = Reply.has_value();
      Events_.emit("shards", Reachable ? "group_regained" : "group_lost",
                   {{"error", Reply ? "" : Reply.error().Message}});
    }
    recordJoinResult(Reply.has_value(), SentAt);
    if (!Reply) {
      if (Failures % Options_.FailuresBeforeRemoval == 0)
        co_await requestRemoval();
      co_await Timers_.sleepFor(Failures < QuickAttempts ? RetryDelay
                                                         : Options_.JoinPeriod);
      continue;
    }
    const bool Interrupted = LastJoin_ != Clock::time_point{} &&
                             Timers_.now() - LastJoin_ > Options_.TimeToLive;
    const bool Changed = Reply->Generation != Generation_;
    apply(*Reply, Interrupted && Changed);
    LastJoin_ = SentAt;
    // After a change, the next join follows at once: it tells the store that
    // this process has given up the shards which it lost.
    if (!Changed)
      co_await JoinDue_.waitFor(Timers_, Options_.JoinPeriod);
  }
  co_return Result<void>{};
}

void ShardMembership::recordJoinResult(bool Succeeded,
                                       Clock::time_point SentAt) {
  auto &Since = Succeeded ? HealthySince_ : FailingSince_;
  if (!Since)
    Since = SentAt;
  (Succeeded ? FailingSince_ : HealthySince_).reset();
}

asio::awaitable<void> ShardMembership::requestRemoval() {
  if (!RequestRemoval_ || Held_.empty() || !FailingSince_)
    co_return;
  const auto FailingFor = Timers_.now() - *FailingSince_;
  if (!co_await RequestRemoval_(Options_.Member, FailingFor))
    co_return;
  Events_.emit("shards", "relieved", {{"shards", Held_.size()}});
  revokeAll();
}

asio::awaitable<bool>
ShardMembership::removeMember(std::string Member, Clock::duration FailingFor) {
  if (!HealthySince_ ||
      Timers_.now() - *HealthySince_ < FailingFor + Options_.RemovalMargin)
    co_return false;
  Events_.emit("shards", "relieving", {{"member", Member}});
  const auto Reply = co_await Store_.leave(Options_.Group, std::move(Member));
  requestJoin();
  co_return Reply.has_value();
}

asio::awaitable<void> ShardMembership::removeMembersAt(std::string Address) {
  for (const std::string &Member : membersAt(Address))
    if (Removed_.insert(Member).second)
      co_await removeMember(Member, Clock::duration::zero());
}

asio::awaitable<void> ShardMembership::waitOnStandby() {
  Clock::time_point CompleteAt = Timers_.now();
  Participating_ = false;
  while (!Stopping_ && !Left_) {
    const bool Unknown = !HolderListRead_;
    if (Unknown || static_cast<int>(Holders_.size()) >= Options_.Shards)
      CompleteAt = Timers_.now();
    if (Timers_.now() - CompleteAt >= Options_.StandbyWait)
      break;
    co_await Timers_.sleepFor(Options_.HolderListPeriod);
  }
  Participating_ = true;
  Events_.emit("shards", "reserve_joins", {{"held", Holders_.size()}});
}

void ShardMembership::apply(const GroupMembership &Membership,
                            bool Interrupted) {
  Generation_ = Membership.Generation;
  const std::set<int> Listed(Membership.Shards.begin(),
                             Membership.Shards.end());
  std::vector<int> Lost;
  for (const auto &[Shard, Epoch] : Held_)
    if (Interrupted || !Listed.contains(Shard))
      Lost.push_back(Shard);
  for (const int Shard : Lost)
    revoke(Shard);
  for (const int Shard : Listed) {
    if (Held_.contains(Shard))
      continue;
    // The store would fence this epoch again.
    if (const auto It = FencedAt_.find(Shard);
        It != FencedAt_.end() && It->second >= Generation_)
      continue;
    // The reply is older than a term that another holder has reported.
    if (Terms_[Shard].Epoch > Generation_)
      continue;
    FencedAt_.erase(Shard);
    Held_[Shard] = Generation_;
    Holders_[Shard] = addressOf(Options_.Member);
    recordTerm(Shard, Generation_, Options_.Member);
    Events_.emit("shards", "assigned",
                 {{"shard", Shard}, {"epoch", Generation_}});
    if (Assigned_)
      Assigned_(Shard, Generation_);
  }
}

void ShardMembership::revoke(int Shard) {
  Events_.emit("shards", "revoked", {{"shard", Shard}});
  Held_.erase(Shard);
  if (const auto It = Holders_.find(Shard);
      It != Holders_.end() && It->second == addressOf(Options_.Member))
    Holders_.erase(It);
  if (Revoked_)
    Revoked_(Shard);
}

void ShardMembership::revokeAll() {
  while (!Held_.empty())
    revoke(Held_.begin()->first);
}

void ShardMembership::handleFenced(int Shard) {
  const auto It = Held_.find(Shard);
  if (It == Held_.end())
    return;
  FencedAt_[Shard] = It->second;
  revoke(Shard);
}

bool ShardMembership::applyHolderReport(int Shard, std::uint64_t Epoch,
                                        const std::string &Member) {
  if (Epoch < Terms_[Shard].Epoch)
    return false;
  recordTerm(Shard, Epoch, Member);
  const auto It = Held_.find(Shard);
  if (It != Held_.end() && It->second >= Epoch)
    return true;
  if (It != Held_.end())
    handleFenced(Shard);
  Holders_[Shard] = addressOf(Member);
  return true;
}

void ShardMembership::recordTerm(int Shard, std::uint64_t Epoch,
                                 const std::string &Member) {
  Term &Latest = Terms_[Shard];
  if (Epoch > Latest.Epoch)
    Latest = {.Epoch = Epoch, .Member = Member, .KnownSince = Timers_.now()};
}

ShardEpoch ShardMembership::latestTerm(int Shard) const {
  const auto It = Terms_.find(Shard);
  return {.Shard = Shard, .Epoch = It == Terms_.end() ? 0 : It->second.Epoch};
}

std::optional<Clock::time_point>
ShardMembership::termKnownSince(int Shard) const {
  const auto Holder = Holders_.find(Shard);
  const auto Reported = Terms_.find(Shard);
  if (Holder == Holders_.end() || Reported == Terms_.end() ||
      addressOf(Reported->second.Member) != Holder->second)
    return std::nullopt;
  // A holder list that was requested after the holder's report names that
  // holder, unless another process has replaced it, possibly at the same
  // address.
  const auto Listed = ListedHolders_.find(Shard);
  const bool Superseded = ListedAt_ > Reported->second.KnownSince &&
                          Listed != ListedHolders_.end() &&
                          Listed->second != Reported->second.Member;
  return Superseded ? std::nullopt : std::optional(Reported->second.KnownSince);
}

bool ShardMembership::isListedSince(int Shard, const std::string &Member,
                                    Clock::time_point Since) const {
  const auto It = ListedHolders_.find(Shard);
  return ListedAt_ >= Since && It != ListedHolders_.end() &&
         It->second == Member;
}

bool ShardMembership::isLatestTermListedSince(int Shard,
                                              Clock::time_point Since) const {
  const auto Latest = Terms_.find(Shard);
  return Latest != Terms_.end() &&
         isListedSince(Shard, Latest->second.Member, Since);
}

asio::awaitable<void> ShardMembership::readHolders() {
  const Clock::time_point AskedAt = Timers_.now();
  const auto List = co_await Store_.listHolders(Options_.Group);
  HolderListRead_ = List.has_value();
  if (!List)
    co_return;
  StoreResponseTimes_.recordResponse(Timers_.now() - AskedAt);
  std::map<int, std::string> Holders;
  Members_.clear();
  ListedHolders_.clear();
  for (const ShardHolder &Row : *List)
    if (!Row.Member.empty()) {
      Holders[Row.Shard] = addressOf(Row.Member);
      ListedHolders_[Row.Shard] = Row.Member;
      Members_.insert(Row.Member);
    }
  ListedAt_ = AskedAt;
  const std::string Own = addressOf(Options_.Member);
  for (const auto &[Shard, Epoch] : Held_)
    Holders[Shard] = Own;
  // The list may still name this process for a shard that it has given up.
  std::erase_if(Holders, [&](const auto &Entry) {
    return Entry.second == Own && !Held_.contains(Entry.first);
  });
  Holders_ = std::move(Holders);
  if (HolderListReadCallback_)
    HolderListReadCallback_();
}

asio::awaitable<void> ShardMembership::followHolders() {
  while (!Stopping_) {
    co_await HolderListDue_.waitFor(Timers_, Options_.HolderListPeriod);
    if (!Stopping_)
      co_await readHolders();
  }
}

asio::awaitable<void> ShardMembership::drain() {
  Left_ = true;
  revokeAll();
  co_await Store_.leave(Options_.Group, Options_.Member);
  while (Joining_)
    co_await Timers_.sleepFor(RetryDelay);
}

std::optional<std::string> ShardMembership::holderOf(int Shard) const {
  const auto It = Holders_.find(Shard);
  return It == Holders_.end() ? std::nullopt : std::optional(It->second);
}

std::set<std::string> ShardMembership::peers() const {
  std::set<std::string> Peers;
  for (const auto &[Shard, Address] : Holders_)
    if (Address != addressOf(Options_.Member))
      Peers.insert(Address);
  return Peers;
}

} // namespace hickory
