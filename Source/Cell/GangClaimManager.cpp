#include "Cell/GangClaimManager.h"

#include "Base/Milliseconds.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

/// Added to the StartBy of overdue gangs, so that their claims come after all
/// others.
constexpr std::chrono::hours OverdueClaimDelay{1};

/// Returns the time by which claims are ranked: the earliest comes first.
Clock::time_point claimRankTime(const DispatchRank &Rank) {
  return Rank.Overdue ? Rank.StartBy + OverdueClaimDelay : Rank.StartBy;
}

} // namespace

GangClaimManager::GangClaimManager(const asio::any_io_executor &Executor,
                                   TimerService &Timers, JobOwner &Jobs,
                                   CapacityView &View, CellPeer &Peers,
                                   const ShardMembership &Shards,
                                   EventLog &Events, Metrics &Counters,
                                   GangClaimManagerOptions Options)
    : Executor_(Executor), Timers_(Timers), Jobs_(Jobs), View_(View),
      Peers_(Peers), Shards_(Shards), Map_(Jobs.shardCount()), Events_(Events),
      Counters_(Counters), Options_(Options) {}

void GangClaimManager::markClaimedWorkers() {
  for (const auto &[Worker, Claim] : Claims_.claimedWorkers(Timers_.now()))
    View_.markClaimed(Worker, Claim);
}

void GangClaimManager::endPass() {
  const auto Former = Claims_.ownClaim();
  Claims_.setOwnClaim(std::move(PassClaim_));
  const auto &Claim = Claims_.ownClaim();
  if (Claim && (!Former || Former->Step != Claim->Step))
    Events_.emit(
        "dispatch", "claim",
        {{"step", Claim->Step},
         {"workers", Claim->Workers.size()},
         {"start_in_ms", toMilliseconds(Claim->StartBy - Timers_.now())}});
}

bool GangClaimManager::isBlocked(const SchedulableStep &Schedulable,
                                 const CapacityView::Row &Worker) {
  if (!Schedulable.Rank.Deferrable || !Worker.claim())
    return false;
  std::optional<Clock::time_point> GangStart;
  if (Schedulable.step().Gang)
    GangStart = claimRankTime(Schedulable.Rank);
  return hickory::isBlocked(Worker.claim()->StartBy, GangStart);
}

Resources GangClaimManager::spareFree(const Resources &Free,
                                      const CapacityView::Row &Worker) {
  const std::optional<Resources> &Reserved = Worker.claim()->Reserved;
  return Worker.isLocal() && Reserved ? Free.minusClamped(*Reserved)
                                      : Resources{};
}

bool GangClaimManager::hasClaim(const SchedulableStep &Schedulable) const {
  return PassClaim_ && PassClaim_->Step == Schedulable.stepName();
}

void GangClaimManager::claimWorkersFor(
    const SchedulableStep &Schedulable,
    const std::vector<Candidate> &Candidates) {
  const Clock::time_point StartBy = claimRankTime(Schedulable.Rank);
  if (!Schedulable.step().Gang || !Schedulable.Rank.Deferrable || PassClaim_)
    return;
  const auto Claimed = chooseWorkersToClaim(Schedulable.need(), Candidates);
  if (Claimed.empty() ||
      !Claims_.canClaim(StartBy, Claimed.size(), View_.workers().size(),
                        Timers_.now()))
    return;
  if (shouldPreempt(Schedulable.Rank, Timers_.now()))
    requestPreemption(Schedulable, Claimed);
  PassClaim_ = GangClaim{.Step = Schedulable.stepName(), .StartBy = StartBy};
  for (const ClaimedWorker &Each : Claimed) {
    PassClaim_->Workers.push_back(Each.Id);
    // The product cannot overflow, as it does not exceed the worker's capacity.
    PassClaim_->Reserved.push_back(
        Schedulable.step()
            .Demand.times(static_cast<std::uint64_t>(Each.Members))
            .value_or(Resources{}));
  }
}

void GangClaimManager::requestPreemption(
    const SchedulableStep &Schedulable,
    const std::vector<ClaimedWorker> &Claimed) {
  auto &NotBefore = Schedulable.Job->NextPreemptionAt[Schedulable.key()];
  const auto Epoch = Jobs_.epochOf(Schedulable.Job->Shard);
  if (Timers_.now() < NotBefore || !Epoch)
    return;
  NotBefore = Timers_.now() + Options_.PreemptionInterval;
  const JobSpec &Job = Schedulable.job();
  const int Priority = Job.Queue.Priority;
  std::map<std::string, PreemptRequest> ByAddress;
  for (const ClaimedWorker &Each : Claimed) {
    const auto Holder = Shards_.holderOf(Map_.shardOf(Each.Id));
    if (!Holder)
      continue;
    const Resources &Capacity = View_.workers().at(Each.Id).Entry.Capacity;
    PreemptionNeed Need{.Worker = Each.Id,
                        .Demand =
                            headroomOf(Capacity, Schedulable.step().Demand,
                                       Priority, Options_.Placement),
                        .Priority = Priority};
    // The sum cannot overflow, as it does not exceed the worker's capacity.
    (void)Need.Demand.add(
        Schedulable.step()
            .Demand.times(static_cast<std::uint64_t>(Each.Members))
            .value_or(Resources{}));
    PreemptRequest &Request = ByAddress[*Holder];
    Request.Job = {.Shard = Schedulable.Job->Shard, .Epoch = *Epoch};
    Request.Needs.push_back(std::move(Need));
  }
  for (auto &[Address, Request] : ByAddress)
    asio::co_spawn(Executor_,
                   sendPreemptionRequest(Schedulable.stepName(), Address,
                                         std::move(Request)),
                   asio::detached);
}

asio::awaitable<void>
GangClaimManager::sendPreemptionRequest(std::string Step, std::string Address,
                                        PreemptRequest Request) {
  const std::size_t Workers = Request.Needs.size();
  const auto Reply =
      co_await Peers_.preempt(std::move(Address), std::move(Request));
  if (!Reply || Reply->Stopped == 0)
    co_return;
  Counters_.count("preempted_total", Reply->Stopped);
  Events_.emit(
      "dispatch", "room_made",
      {{"step", Step}, {"workers", Workers}, {"stopped", Reply->Stopped}});
}

std::vector<ClaimReport> GangClaimManager::ownClaims() const {
  std::vector<ClaimReport> Reports;
  if (const auto &Claim = Claims_.ownClaim())
    Reports.push_back(
        {.Step = Claim->Step,
         .Workers = Claim->Workers,
         .StartInMs = toMilliseconds(Claim->StartBy - Timers_.now()),
         .Reserved = Claim->Reserved});
  return Reports;
}

void GangClaimManager::applyClaims(const std::string &Address,
                                   const std::vector<ClaimReport> &Reports) {
  std::vector<GangClaim> Claims;
  Claims.reserve(Reports.size());
  const Clock::time_point Now = Timers_.now();
  for (const ClaimReport &Report : Reports)
    Claims.push_back(
        {.Step = Report.Step,
         .Workers = Report.Workers,
         .StartBy = Now + std::chrono::milliseconds(Report.StartInMs),
         .Reserved = Report.Reserved});
  Claims_.setRemoteClaims(Address, std::move(Claims), Now);
}

} // namespace hickory
