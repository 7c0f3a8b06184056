#include "Cell/CellNode.h"

#include "Base/WaitForAll.h"
#include "Cell/AccountLoadControl.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>

namespace hickory {

CellNode::CellNode(const asio::any_io_executor &Executor, TimerService &Timers,
                   ShardMembership &Shards, ShardMap Map, WorkerPool &Pool,
                   JobOwner &Jobs, CapacityView &View,
                   Dispatcher &RunDispatcher, AdviceRouter &Adviser,
                   CellPeer &Peers, CellNodeOptions Options)
    : Executor_(Executor), Timers_(Timers), Shards_(Shards), Map_(Map),
      Pool_(Pool), Jobs_(Jobs), View_(View), Dispatcher_(RunDispatcher),
      Adviser_(Adviser), Peers_(Peers), Options_(std::move(Options)),
      ExchangeDue_(Executor), EndsDue_(Executor), WaitingJobs_(Map.count()) {}

void CellNode::start() {
  Shards_.onRemovalNeeded(
      [this](std::string Member, Clock::duration FailingFor) {
        return requestRemoval(std::move(Member), FailingFor);
      });
  asio::co_spawn(Executor_, exchangeLoop(), asio::detached);
  asio::co_spawn(Executor_, endDeliveryLoop(), asio::detached);
}

void CellNode::stop() {
  Stopped_ = true;
  ExchangeDue_.notify();
  EndsDue_.notify();
}

asio::awaitable<void> CellNode::exchangeLoop() {
  while (!Stopped_) {
    auto Addresses = Shards_.peers();
    const auto Peers = static_cast<int>(Addresses.size());
    Addresses.insert(Options_.Address);
    for (const std::string &Address : Addresses)
      if (Exchanging_.insert(Address).second)
        asio::co_spawn(Executor_, exchangeWith(Address), asio::detached);
    const auto HasLeft = [&](const auto &AddressAndValue) {
      return !Addresses.contains(AddressAndValue.first);
    };
    std::erase_if(FailureDomains_, HasLeft);
    // A later process may use the address.
    std::erase_if(UnansweredSince_, HasLeft);
    Jobs_.tick();
    Dispatcher_.wake();
    const auto Period = Shards_.heldShards().empty()
                            ? Options_.HelperExchangePeriod
                            : std::max(Options_.ExchangePeriod,
                                       Options_.ExchangePeriodPerPeer * Peers);
    co_await ExchangeDue_.waitFor(Timers_, Period);
  }
}

void CellNode::announceLeaving() {
  Leaving_ = true;
  for (const std::string &Address : Shards_.peers())
    asio::co_spawn(Executor_, announceLeavingTo(Address), asio::detached);
}

asio::awaitable<void> CellNode::announceLeavingTo(std::string Address) {
  ExchangeRequest Request{
      .Sender = Options_.Address, .Member = Shards_.member(), .Leaving = true};
  co_await Peers_.exchange(Address, std::move(Request));
}

asio::awaitable<void> CellNode::exchangeWith(std::string Address) {
  ExchangeRequest Request{.Sender = Options_.Address,
                          .Member = Shards_.member(),
                          .Held = Jobs_.heldShards(),
                          .Leaving = Leaving_};
  Request.Demands = std::move(Demands_[Address]);
  Demands_.erase(Address);
  const Clock::time_point SentAt = Timers_.now();
  auto Reply = co_await Peers_.exchange(Address, std::move(Request));
  Exchanging_.erase(Address);
  if (!Reply) {
    UnansweredSince_.try_emplace(Address, SentAt);
    if (Reply.error().Code == ErrorCode::ConnectionRefused)
      handleConnectionRefused(Address);
    co_return;
  }
  UnansweredSince_.erase(Address);
  if (Stopped_)
    co_return;
  for (const ShardEpoch &Shard : Reply->Outdated)
    if (const auto Own = Jobs_.epochOf(Shard.Shard); Own && *Own < Shard.Epoch)
      Shards_.handleFenced(Shard.Shard);
  dropOutdatedShards(*Reply);
  View_.applyLoads(Reply->Workers);
  Demands_[Address] = Jobs_.demandsFor(*Reply);
  FailureDomains_[Address] = Reply->FailureDomain;
  applyWaitingJobs(*Reply, SentAt);
  if (LoadControl_ != nullptr && Address != Options_.Address)
    LoadControl_->applyReport(Address, std::move(Reply->AccountLoads), SentAt);
  if (Address != Options_.Address)
    Dispatcher_.gangClaims().applyClaims(Address, Reply->Claims);
  if (Address != Options_.Address)
    Dispatcher_.waitingGangs().setRemote(
        Address, Reply->WaitingGangPriority < 0
                     ? std::nullopt
                     : std::optional(Reply->WaitingGangPriority));
  Jobs_.applyExchange(Reply->Member, *Reply, SentAt, [this](const RunId &Run) {
    return Dispatcher_.orderSender().hasPendingOrder(Run);
  });
  Dispatcher_.wake();
  // The reply does not count for the takeovers of shards that were opened while
  // it was awaited.
  if (Jobs_.hasTakeoverSince(SentAt) && Exchanging_.insert(Address).second)
    asio::co_spawn(Executor_, exchangeWith(Address), asio::detached);
}

void CellNode::applyWaitingJobs(const ExchangeReply &Reply,
                                Clock::time_point SentAt) {
  for (const ShardWaitingJobs &Report : Reply.WaitingJobs)
    // A process that has not noticed that it has lost the shard does not know
    // the jobs that the next owner has accepted.
    if (Report.Epoch >= Shards_.latestTerm(Report.Shard).Epoch &&
        Shards_.termKnownSince(Report.Shard))
      WaitingJobs_.apply(Report, SentAt);
}

void CellNode::dropOutdatedShards(ExchangeReply &Reply) {
  std::set<int> Current;
  std::erase_if(Reply.Held, [&](const HeldShard &Shard) {
    if (!Shards_.applyHolderReport(Shard.Shard, Shard.Epoch, Reply.Member))
      return true;
    Current.insert(Shard.Shard);
    return false;
  });
  std::erase_if(Reply.Workers, [&](const WorkerLoad &Worker) {
    return !Current.contains(Map_.shardOf(Worker.Id));
  });
  std::erase_if(Reply.Runs, [&](const RunReport &Run) {
    return !Current.contains(Map_.shardOf(Run.Worker));
  });
}

ExchangeReply CellNode::exchange(const ExchangeRequest &Request) {
  // The first of the exchanges in which the process says that it leaves.
  if (Request.Leaving && std::exchange(LeavingMembers_[Request.Sender],
                                       Request.Member) != Request.Member)
    Shards_.requestJoin();
  if (Request.Held.empty() && !Request.Sender.empty() && !Request.Leaving)
    HelperLastSeen_[Request.Sender] = Timers_.now();
  else
    HelperLastSeen_.erase(Request.Sender);
  std::set<int> JobShards;
  for (const ShardEpoch &Shard : Request.Held) {
    if (Request.Sender != Options_.Address)
      Shards_.applyHolderReport(Shard.Shard, Shard.Epoch, Request.Member);
    Pool_.fenceEarlierOwners(Shard);
    // The later holder may have lost the shard before it read the journal, so
    // that the journal does not fence the sender.
    if (const auto Latest = Shards_.latestTerm(Shard.Shard);
        Latest.Epoch > Shard.Epoch)
      Pool_.fenceEarlierOwners(Latest);
    JobShards.insert(Shard.Shard);
  }
  for (const RunDemand &Demand : Request.Demands)
    Pool_.setDemand(Demand);
  return {.Member = Shards_.member(),
          .Held = Pool_.heldShards(),
          .Workers =
              Request.Held.empty() ? std::vector<WorkerLoad>() : Pool_.loads(),
          .Runs = Pool_.runsOfJobs(JobShards),
          .WaitingJobs = Jobs_.waitingJobs(),
          .Claims = Dispatcher_.gangClaims().ownClaims(),
          .Outdated = Pool_.laterEpochs(Request.Held),
          .FailureDomain = Options_.FailureDomain,
          // Helpers order and admit nothing.
          .AccountLoads = LoadControl_ == nullptr || Request.Held.empty()
                              ? std::vector<AccountLoad>()
                              : LoadControl_->ownLoads(),
          .OutOfReach = Request.Held.empty()
                            ? std::map<std::string, Resources>()
                            : Pool_.workersOutOfReach(),
          .WaitingGangPriority =
              Dispatcher_.waitingGangs().ownPriority().value_or(-1)};
}

QuotaReply CellNode::quota(const QuotaRequest &Request) {
  return Quota_ == nullptr ? QuotaReply{} : Quota_->answer(Request);
}

asio::awaitable<void> CellNode::startRun(ShardEpoch Job, PlaceOrder Order,
                                         std::shared_ptr<PlaceReply> Reply,
                                         std::size_t Index) {
  Reply->Results[Index] = co_await Pool_.place(Job, std::move(Order));
}

std::vector<WorkerLoad> CellNode::loadsFor(const std::string &Address,
                                           const std::set<std::string> &Named,
                                           bool AtOnce) {
  const Clock::time_point Now = Timers_.now();
  Clock::time_point &SentAt = LoadsSentAt_[Address];
  if (!AtOnce && Now - SentAt < Options_.LoadsPeriod)
    return Pool_.loadsOf(Named);
  std::set<std::string> Missing = Named;
  auto Loads = Pool_.loadsChangedSince(SentAt);
  SentAt = Now;
  for (const WorkerLoad &Load : Loads)
    Missing.erase(Load.Id);
  std::ranges::move(Pool_.loadsOf(Missing), std::back_inserter(Loads));
  return Loads;
}

void CellNode::addLoads(const PlaceRequest &Request, PlaceReply &Reply) {
  std::set<std::string> Refused;
  for (std::size_t I = 0; I < Request.Orders.size(); ++I)
    if (Reply.Results[I].Status == PlaceStatus::Rejected)
      Refused.insert(Request.Orders[I].Worker);
  // The caller looks for other workers for rejected members of a gang at once.
  const bool AtOnce = Request.ReserveOnly && !Refused.empty();
  if (const auto Caller = Shards_.holderOf(Request.Job.Shard))
    Reply.Loads = loadsFor(*Caller, Refused, AtOnce);
  else
    Reply.Loads = Pool_.loadsOf(Refused);
}

asio::awaitable<PlaceReply> CellNode::place(PlaceRequest Request) {
  auto Reply = std::make_shared<PlaceReply>();
  Reply->Results.resize(Request.Orders.size());
  if (Request.ReserveOnly) {
    for (std::size_t I = 0; I < Request.Orders.size(); ++I)
      Reply->Results[I] = Pool_.reserve(Request.Job, Request.Orders[I]);
    addLoads(Request, *Reply);
    co_return std::move(*Reply);
  }
  std::vector<asio::awaitable<void>> Starts;
  Starts.reserve(Request.Orders.size());
  for (std::size_t I = 0; I < Request.Orders.size(); ++I)
    Starts.push_back(startRun(Request.Job, Request.Orders[I], Reply, I));
  co_await waitForAll(Executor_, std::move(Starts));
  addLoads(Request, *Reply);
  co_return std::move(*Reply);
}

StopReply CellNode::stop(const StopRequest &Request) {
  StopReply Reply;
  for (const RunReference &Run : Request.Runs)
    if (!Pool_.stopRun(Run))
      Reply.NotHeld.push_back(Run.Worker);
  return Reply;
}

PreemptReply CellNode::preempt(const PreemptRequest &Request) {
  PreemptReply Reply;
  for (const PreemptionNeed &Need : Request.Needs)
    Reply.Stopped += Pool_.preempt(Request.Job, Need);
  return Reply;
}

asio::awaitable<EndsReply> CellNode::reportEnds(EndsRequest Request) {
  View_.applyLoads(Request.Loads);
  co_return co_await Jobs_.acceptEnds(std::move(Request));
}

asio::awaitable<AdviseReply> CellNode::advise(AdviseRequest Request) {
  // The caller asks another process, which does not stop meanwhile.
  if (Leaving_)
    co_return AdviseReply{};
  auto Reply = co_await Adviser_.askOnBehalfOfPeer(std::move(Request));
  // Steps of this process may have waited for the adviser.
  Dispatcher_.wake();
  co_return Reply;
}

asio::awaitable<RemoveMemberReply>
CellNode::removeMember(RemoveMemberRequest Request) {
  const bool Done = co_await Shards_.removeMember(
      std::move(Request.Member), std::chrono::milliseconds(Request.FailingMs));
  co_return RemoveMemberReply{.Done = Done};
}

asio::awaitable<bool> CellNode::requestRemoval(std::string Member,
                                               Clock::duration FailingFor) {
  std::vector<std::string> Answering;
  for (const std::string &Address : Shards_.peers())
    if (!UnansweredSince_.contains(Address))
      Answering.push_back(Address);
  if (Answering.empty())
    co_return false;
  RemoveMemberRequest Request{
      .Member = std::move(Member),
      .FailingMs =
          std::chrono::duration_cast<std::chrono::milliseconds>(FailingFor)
              .count()};
  const std::string &Peer = Answering[NextRemovalPeer_ % Answering.size()];
  ++NextRemovalPeer_;
  const auto Reply = co_await Peers_.removeMember(Peer, std::move(Request));
  co_return Reply && Reply->Done;
}

void CellNode::handleConnectionRefused(const std::string &Address) {
  asio::co_spawn(Executor_, Shards_.removeMembersAt(Address), asio::detached);
}

asio::awaitable<RecordsReply> CellNode::relayRecords(RecordsRequest Request) {
  if (RelaySource_ == nullptr)
    co_return RecordsReply{};
  co_return co_await RelaySource_->recordsFrom(
      Request.From, std::chrono::milliseconds(Request.WaitMs));
}

std::vector<std::string> CellNode::ownersNearby() const {
  std::vector<std::string> Found;
  for (const auto &[Address, Domain] : FailureDomains_)
    if (Address != Options_.Address && Domain == Options_.FailureDomain &&
        !UnansweredSince_.contains(Address))
      Found.push_back(Address);
  return Found;
}

std::vector<std::string> CellNode::ownersElsewhere() const {
  std::vector<std::string> Found;
  for (const std::string &Address : Shards_.peers()) {
    const auto Domain = FailureDomains_.find(Address);
    const bool IsNearby = Domain != FailureDomains_.end() &&
                          Domain->second == Options_.FailureDomain;
    if (Address != Options_.Address && !IsNearby &&
        !UnansweredSince_.contains(Address))
      Found.push_back(Address);
  }
  return Found;
}

asio::awaitable<SubmitReply> CellNode::submit(JobSpec Job) {
  if (!Jobs_.isOwnerOf(Job.Id))
    co_return SubmitReply{.NotOwner = true};
  // What was accepted, or may have been, is never rejected.
  if (LoadControl_ != nullptr && !Jobs_.isKnown(Job.Id)) {
    SubmitReply Decision = LoadControl_->admit(Job);
    if (!Decision.Reason.empty())
      co_return Decision;
  }
  const int Status = co_await Jobs_.submit(std::move(Job));
  co_return SubmitReply{.Status = Status};
}

asio::awaitable<JobStateReply> CellNode::state(JobReference Job) {
  co_return co_await Jobs_.confirmedState(std::move(Job.Id));
}

asio::awaitable<SubmitReply> CellNode::cancel(JobReference Job) {
  const int Status = co_await Jobs_.cancel(std::move(Job.Id));
  co_return SubmitReply{.Status = Status};
}

bool CellNode::isReachable(const std::string &Address) const {
  const auto It = UnansweredSince_.find(Address);
  return It == UnansweredSince_.end() ||
         Timers_.now() - It->second < Options_.UnreachableAfter;
}

bool CellNode::isIsolated() const {
  const auto Peers = Shards_.peers();
  const auto Answering =
      std::ranges::count_if(Peers, [this](const std::string &Address) {
        return isReachable(Address);
      });
  return !Peers.empty() && 2 * Answering < std::ssize(Peers);
}

std::set<std::string> CellNode::owners() const {
  auto Found = Shards_.peers();
  std::erase_if(Found, [this](const std::string &Address) {
    return !isReachable(Address);
  });
  if (!Shards_.heldShards().empty())
    Found.insert(Options_.Address);
  return Found;
}

std::set<std::string> CellNode::helpers() const {
  std::set<std::string> Found;
  for (const auto &[Address, Heard] : HelperLastSeen_)
    if (Address != Options_.Address &&
        Timers_.now() - Heard < Options_.HelperLifetime)
      Found.insert(Address);
  return Found;
}

asio::awaitable<void> CellNode::endDeliveryLoop() {
  while (!Stopped_) {
    co_await EndsDue_.waitFor(Timers_, Options_.EndsSearchPeriod);
    co_await Timers_.sleepFor(Options_.EndsBatchDelay);
    std::map<std::string, EndsRequest> ByAddress;
    for (EndReport &End : Pool_.takeDueEnds()) {
      if (const auto Owner = ownerOf(End.Task))
        ByAddress[*Owner].Ends.push_back(std::move(End));
      else
        Pool_.handleEndNotAccepted(End);
    }
    for (RunReference &Suspect : Pool_.takeNewSuspects())
      if (const auto Owner = ownerOf(Suspect.Task))
        ByAddress[*Owner].Suspects.push_back(std::move(Suspect));
    for (auto &[Address, Request] : ByAddress)
      asio::co_spawn(Executor_, deliverEnds(Address, std::move(Request)),
                     asio::detached);
  }
}

std::optional<std::string> CellNode::ownerOf(const std::string &Task) const {
  return Shards_.holderOf(Map_.shardOf(TaskName::jobOf(Task)));
}

asio::awaitable<void> CellNode::deliverEnds(std::string Address,
                                            EndsRequest Request) {
  const std::vector<EndReport> Ends = Request.Ends;
  std::set<std::string> Workers;
  for (const EndReport &End : Ends)
    Workers.insert(End.Worker);
  Request.Loads = loadsFor(Address, Workers);
  const auto Reply = co_await Peers_.reportEnds(Address, std::move(Request));
  const bool Complete = Reply && Reply->Accepted.size() == Ends.size();
  // A former owner of the job no longer sees the run in exchanges and must not
  // start it again.
  if (Reply)
    for (const ShardEpoch &Owner : Reply->Owners)
      Pool_.fenceEarlierOwners(Owner);
  for (std::size_t I = 0; I < Ends.size(); ++I) {
    if (Complete && Reply->Accepted[I])
      Pool_.handleEndAccepted(Ends[I]);
    else
      Pool_.handleEndNotAccepted(Ends[I]);
  }
}

} // namespace hickory
