#include "Cell/GangClaimManager.h"

#include "Base/Milliseconds.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

/// Gangs that are late already come after all others.
constexpr std::chrono::hours LateClaim{1};

Clock::time_point claimTime(const DispatchRank &Rank) {
  return Rank.Late ? Rank.StartBy + LateClaim : Rank.StartBy;
}

} // namespace

GangClaimManager::GangClaimManager(const asio::any_io_executor &Executor,
                                   TimerService &Timers, JobOwner &Jobs,
                                   const CapacityView &View, CellPeer &Peers,
                                   const ShardMembership &Shards,
                                   EventLog &Events, Metrics &Counters,
                                   GangClaimManagerOptions Options)
    : Executor_(Executor), Timers_(Timers), Jobs_(Jobs), View_(View),
      Peers_(Peers), Shards_(Shards), Map_(Jobs.shardCount()), Events_(Events),
      Counters_(Counters), Options_(Options) {}

void GangClaimManager::beginPass() {
  Next_.reset();
  KeptFromTasks_ = Claims_.keptFrom("", std::nullopt, Timers_.now());
}

void GangClaimManager::endPass() {
  const auto Former = Claims_.own();
  Claims_.setOwn(std::move(Next_));
  const auto &Claim = Claims_.own();
  if (Claim && (!Former || Former->Step != Claim->Step))
    Events_.emit(
        "dispatch", "claim",
        {{"step", Claim->Step},
         {"workers", Claim->Workers.size()},
         {"start_in_ms", toMilliseconds(Claim->StartBy - Timers_.now())}});
}

const std::set<std::string> &
GangClaimManager::keptFrom(const SchedulableStep &Item) {
  if (Item.Rank.Patient && !Item.step().Gang)
    return KeptFromTasks_;
  KeptFromStep_.clear();
  if (Item.Rank.Patient)
    KeptFromStep_ =
        Claims_.keptFrom(Item.stepName(), claimTime(Item.Rank), Timers_.now());
  return KeptFromStep_;
}

void GangClaimManager::claimFor(const SchedulableStep &Item,
                                const std::vector<Candidate> &Candidates) {
  const JobSpec &Job = Item.job();
  const StepSpec &Step = Item.step();
  const Clock::time_point StartBy = claimTime(Item.Rank);
  if (!Step.Gang || !Item.Rank.Patient || Next_ ||
      !Claims_.mayClaim(StartBy, View_.workers().size(), Timers_.now()))
    return;
  const StepAdvice &Advice = Item.advice();
  std::vector<Candidate> Good;
  for (const Candidate &Each : Candidates)
    if (!Job.Queue.Advice || Advice.isGood(Each.Worker->Id))
      Good.push_back(Each);
  const PlacementNeed Need = Item.need();
  const auto Claimed = chooseWorkersToClaim(Need, Good);
  if (Claimed.empty())
    return;
  if (shouldPreempt(Item.Rank, Timers_.now()))
    makeRoom(Item, Claimed);
  Next_ = GangClaim{.Step = Item.stepName(), .StartBy = StartBy};
  for (const ClaimedWorker &Each : Claimed)
    Next_->Workers.push_back(Each.Id);
}

void GangClaimManager::makeRoom(const SchedulableStep &Item,
                                const std::vector<ClaimedWorker> &Claimed) {
  auto &NotBefore = Item.Job->MakeRoomAt[Item.key()];
  const auto Epoch = Jobs_.epochOf(Item.Job->Shard);
  if (Timers_.now() < NotBefore || !Epoch)
    return;
  NotBefore = Timers_.now() + Options_.MakeRoomInterval;
  const JobSpec &Job = Item.job();
  const int Priority = Job.Queue.Priority;
  std::map<std::string, PreemptRequest> ByAddress;
  for (const ClaimedWorker &Each : Claimed) {
    const auto Holder = Shards_.holderOf(Map_.shardOf(Each.Id));
    if (!Holder)
      continue;
    const Resources &Capacity = View_.workers().at(Each.Id).Capacity;
    PreemptionNeed Room{.Worker = Each.Id,
                        .Demand =
                            headroomOf(Capacity, Priority, Options_.Placement),
                        .Priority = Priority};
    // Sums of what fits in a worker do not overflow.
    (void)Room.Demand.add(
        Item.step()
            .Demand.times(static_cast<std::uint64_t>(Each.Members))
            .value_or(Resources{}));
    PreemptRequest &Request = ByAddress[*Holder];
    Request.Job = {.Shard = Item.Job->Shard, .Epoch = *Epoch};
    Request.Needs.push_back(std::move(Room));
  }
  for (auto &[Address, Request] : ByAddress)
    asio::co_spawn(Executor_,
                   askForRoom(Item.stepName(), Address, std::move(Request)),
                   asio::detached);
}

asio::awaitable<void> GangClaimManager::askForRoom(std::string Step,
                                                   std::string Address,
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
  if (const auto &Claim = Claims_.own())
    Reports.push_back(
        {.Step = Claim->Step,
         .Workers = Claim->Workers,
         .StartInMs = toMilliseconds(Claim->StartBy - Timers_.now())});
  return Reports;
}

void GangClaimManager::applyClaims(const std::string &Address,
                                   const std::vector<ClaimReport> &Reports) {
  std::vector<GangClaim> Heard;
  Heard.reserve(Reports.size());
  const Clock::time_point Now = Timers_.now();
  for (const ClaimReport &Report : Reports)
    Heard.push_back(
        {.Step = Report.Step,
         .Workers = Report.Workers,
         .StartBy = Now + std::chrono::milliseconds(Report.StartInMs)});
  Claims_.hear(Address, std::move(Heard), Now);
}

} // namespace hickory
