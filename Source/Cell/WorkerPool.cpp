#include "Cell/WorkerPool.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

WorkerPool::WorkerPool(const asio::any_io_executor &Executor,
                       TimerService &Timers, WorkerClient &Client,
                       EventLog &Events, ShardMap Shards,
                       WorkerAgentOptions Options)
    : Executor_(Executor), Timers_(Timers), Client_(Client), Events_(Events),
      Map_(Shards), Options_(Options) {}

void WorkerPool::assign(int ShardNumber, std::uint64_t Epoch) {
  revoke(ShardNumber);
  Shards_.emplace(ShardNumber, Shard{.Epoch = Epoch,
                                     .StoppedOnUnlisted = RunTombstones(
                                         Options_.TombstoneLifetime)});
  for (const auto &[Id, Entry] : Listed_)
    if (Map_.shardOf(Id) == ShardNumber)
      addAgent(ShardNumber, Entry);
}

void WorkerPool::restore(int ShardNumber,
                         const std::vector<WorkerEntry> &Recorded) {
  const auto It = Shards_.find(ShardNumber);
  if (It == Shards_.end())
    return;
  Shard &Held = It->second;
  Held.Restored = true;
  for (const auto &[Id, Agent] : Held.Agents)
    Agent->handleShardOpened();
  for (const WorkerEntry &Entry : Recorded) {
    const auto Agent = Held.Agents.find(Entry.Id);
    if (Agent != Held.Agents.end()) {
      Agent->second->markRecorded();
      continue;
    }
    // The worker may still execute runs, so that it is kept until that is
    // known.
    const auto Added = addAgent(ShardNumber, Entry);
    Added->markRecorded();
    Added->markUnlisted();
  }
  for (const auto &[Id, Agent] : Held.Agents)
    if (!Agent->isRecorded())
      Agent->markNeverUsed();
  for (const auto &[Id, Agent] : Held.Agents)
    recordIfAnswered(ShardNumber, Id);
}

void WorkerPool::recordIfAnswered(int ShardNumber, const std::string &Worker) {
  const auto It = Shards_.find(ShardNumber);
  if (It == Shards_.end() || !It->second.Restored || !RecordWorker_)
    return;
  const auto Agent = It->second.Agents.find(Worker);
  if (Agent != It->second.Agents.end() && Agent->second->hasAnswered() &&
      !Agent->second->isRecorded())
    RecordWorker_(ShardNumber, Agent->second->entry());
}

void WorkerPool::markRecorded(int ShardNumber, const std::string &Worker) {
  const auto It = Shards_.find(ShardNumber);
  if (It == Shards_.end())
    return;
  const auto Agent = It->second.Agents.find(Worker);
  if (Agent != It->second.Agents.end())
    Agent->second->markRecorded();
}

void WorkerPool::revoke(int ShardNumber) {
  const auto It = Shards_.find(ShardNumber);
  if (It == Shards_.end())
    return;
  for (const auto &[Id, Agent] : It->second.Agents)
    Agent->stop();
  Shards_.erase(It);
}

asio::awaitable<bool> WorkerPool::confirmOwnership(int ShardNumber,
                                                   std::uint64_t Epoch) {
  if (!Ownership_.Confirm)
    co_return false;
  co_return co_await Ownership_.Confirm(ShardNumber, Epoch);
}

std::shared_ptr<WorkerAgent> WorkerPool::addAgent(int ShardNumber,
                                                  const WorkerEntry &Entry) {
  Shard &Held = Shards_.at(ShardNumber);
  WorkerAgent::Callbacks Listener{
      .Fenced =
          [this, ShardNumber, Epoch = Held.Epoch] {
            const auto It = Shards_.find(ShardNumber);
            if (It != Shards_.end() && It->second.Epoch == Epoch && OnFenced_)
              OnFenced_(ShardNumber);
          },
      .EndsChanged =
          [this] {
            if (OnEndsChanged_)
              OnEndsChanged_();
          },
      .ConfirmOwnership =
          [this, ShardNumber, Epoch = Held.Epoch] {
            return confirmOwnership(ShardNumber, Epoch);
          },
      .OwnershipConfirmedAt =
          [this, ShardNumber, Epoch = Held.Epoch] {
            return Ownership_.ConfirmedAt
                       ? Ownership_.ConfirmedAt(ShardNumber, Epoch)
                       : std::nullopt;
          },
      .Contacted = [this, ShardNumber,
                    Id = Entry.Id] { recordIfAnswered(ShardNumber, Id); },
      .ReservationEnded =
          [this](ReservationEnd End, Clock::duration Age) {
            if (OnReservationEnded_)
              OnReservationEnded_(End, Age);
          }};
  auto Agent =
      std::make_shared<WorkerAgent>(Executor_, Timers_, Client_, Events_, Entry,
                                    Held.Epoch, std::move(Listener), Options_);
  if (const auto It = Held.Removed.find(Entry.Id); It != Held.Removed.end()) {
    Agent->restoreTermState(std::move(It->second.State));
    Held.Removed.erase(It);
  }
  Held.Agents[Entry.Id] = Agent;
  asio::co_spawn(Executor_, Agent->run(), asio::detached);
  return Agent;
}

void WorkerPool::updateWorkers(
    const std::map<std::string, WorkerEntry> &Workers) {
  Listed_ = Workers;
  ListKnown_ = true;
  for (auto &[ShardNumber, Held] : Shards_) {
    dropRemoved(Held);
    std::erase_if(Held.Agents, [this, &Held = Held, ShardNumber = ShardNumber](
                                   const auto &IdAndAgent) {
      const auto &[Id, Agent] = IdAndAgent;
      if (Listed_.contains(Id))
        return false;
      Agent->markUnlisted();
      forgetIfIdle(ShardNumber, *Agent);
      if (!Agent->isRemovable())
        return false;
      removeAgent(ShardNumber, Held, *Agent);
      return true;
    });
  }
  for (const auto &[Id, Entry] : Listed_) {
    const int ShardNumber = Map_.shardOf(Id);
    const auto It = Shards_.find(ShardNumber);
    if (It == Shards_.end())
      continue;
    const auto Agent = It->second.Agents.find(Id);
    if (Agent == It->second.Agents.end()) {
      const auto Added = addAgent(ShardNumber, Entry);
      if (It->second.Restored)
        Added->markNeverUsed();
      continue;
    }
    const bool WasListed = Agent->second->isListed();
    Agent->second->update(Entry);
    if (!WasListed)
      recordIfAnswered(ShardNumber, Id);
  }
}

void WorkerPool::forgetIfIdle(int ShardNumber, WorkerAgent &Agent) {
  if (!Agent.isRecorded() || !Agent.hasLeftIdle())
    return;
  Agent.markUnrecorded();
  if (DeleteWorker_)
    DeleteWorker_(ShardNumber, Agent.entry().Id);
}

void WorkerPool::removeAgent(int ShardNumber, Shard &Held, WorkerAgent &Agent) {
  const std::string &Id = Agent.entry().Id;
  Agent.stop();
  Held.Removed.insert_or_assign(Id, RemovedWorker{.State = Agent.termState(),
                                                  .RemovedAt = Timers_.now()});
  if (DeleteWorker_)
    DeleteWorker_(ShardNumber, Id);
}

void WorkerPool::dropRemoved(Shard &Held) {
  std::erase_if(Held.Removed, [this](const auto &IdAndWorker) {
    const RemovedWorker &Worker = IdAndWorker.second;
    // A worker that has seen a raised token refuses the first one for as long
    // as it lives.
    return Worker.State.IncarnationsSeen == 0 &&
           Timers_.now() - Worker.RemovedAt > Options_.TombstoneLifetime;
  });
}

std::shared_ptr<WorkerAgent>
WorkerPool::findAgent(const std::string &Worker) const {
  const auto It = Shards_.find(Map_.shardOf(Worker));
  if (It == Shards_.end())
    return nullptr;
  const auto Agent = It->second.Agents.find(Worker);
  return Agent == It->second.Agents.end() ? nullptr : Agent->second;
}

const WorkerAgent *WorkerPool::find(int ShardNumber,
                                    const std::string &Worker) const {
  const auto It = Shards_.find(ShardNumber);
  if (It == Shards_.end())
    return nullptr;
  const auto Agent = It->second.Agents.find(Worker);
  return Agent == It->second.Agents.end() ? nullptr : Agent->second.get();
}

void WorkerPool::fenceEarlierOwners(const ShardEpoch &JobShard) {
  std::uint64_t &Highest = JobEpochs_[JobShard.Shard];
  Highest = std::max(Highest, JobShard.Epoch);
}

std::vector<ShardEpoch>
WorkerPool::laterEpochs(const std::vector<ShardEpoch> &JobShards) const {
  std::vector<ShardEpoch> Found;
  for (const ShardEpoch &JobShard : JobShards)
    if (const auto It = JobEpochs_.find(JobShard.Shard);
        It != JobEpochs_.end() && It->second > JobShard.Epoch)
      Found.push_back({.Shard = JobShard.Shard, .Epoch = It->second});
  return Found;
}

std::optional<PlaceResult> WorkerPool::findRefusal(const ShardEpoch &JobShard,
                                                   const std::string &Worker) {
  fenceEarlierOwners(JobShard);
  if (JobEpochs_[JobShard.Shard] > JobShard.Epoch)
    return PlaceResult{.Status = PlaceStatus::Rejected, .Reason = "job_epoch"};
  if (!findAgent(Worker))
    return PlaceResult{.Status = PlaceStatus::Rejected, .Reason = "not_holder"};
  return std::nullopt;
}

std::optional<PlaceResult> WorkerPool::findRefusal(const ShardEpoch &JobShard,
                                                   const PlaceOrder &Order) {
  if (auto Refusal = findRefusal(JobShard, Order.Worker))
    return Refusal;
  if (Order.HolderEpoch != 0 && Order.HolderEpoch != epochOf(Order.Worker))
    return PlaceResult{.Status = PlaceStatus::Rejected,
                       .Reason = "holder_epoch"};
  if (Shards_.at(Map_.shardOf(Order.Worker))
          .StoppedOnUnlisted.covers(Order.Task, Order.Run))
    return PlaceResult{.Status = PlaceStatus::Rejected, .Reason = "stopped"};
  return std::nullopt;
}

std::uint64_t WorkerPool::epochOf(const std::string &Worker) const {
  const auto It = Shards_.find(Map_.shardOf(Worker));
  return It == Shards_.end() ? 0 : It->second.Epoch;
}

PlaceResult WorkerPool::reserve(const ShardEpoch &JobShard,
                                const PlaceOrder &Order) {
  if (const auto Refusal = findRefusal(JobShard, Order))
    return *Refusal;
  return findAgent(Order.Worker)->reserve(Order);
}

asio::awaitable<PlaceResult> WorkerPool::place(ShardEpoch JobShard,
                                               PlaceOrder Order) {
  if (auto Refusal = findRefusal(JobShard, Order))
    co_return std::move(*Refusal);
  const auto Agent = findAgent(Order.Worker);
  co_return co_await Agent->start(std::move(Order));
}

bool WorkerPool::stopRun(const RunReference &Run) {
  const auto It = Shards_.find(Map_.shardOf(Run.Worker));
  if (It == Shards_.end() || It->second.Epoch < Run.HolderEpoch)
    return false;
  if (const auto Agent = findAgent(Run.Worker))
    Agent->stopRun(Run.Task, Run.Run);
  else
    It->second.StoppedOnUnlisted.add(Run.Task, Run.Run, Timers_.now());
  return true;
}

void WorkerPool::setDemand(const RunDemand &Demand) {
  if (const auto Agent = findAgent(Demand.Worker))
    Agent->setDemand(Demand);
}

int WorkerPool::preempt(const ShardEpoch &JobShard,
                        const PreemptionNeed &Need) {
  if (findRefusal(JobShard, Need.Worker))
    return 0;
  return findAgent(Need.Worker)->preemptRuns(Need.Demand, Need.Priority);
}

std::vector<HeldShard> WorkerPool::heldShards() const {
  std::vector<HeldShard> All;
  All.reserve(Shards_.size());
  for (const auto &[ShardNumber, Held] : Shards_)
    All.push_back({.Shard = ShardNumber,
                   .Epoch = Held.Epoch,
                   .Ready = ListKnown_ && Held.Restored});
  return All;
}

std::vector<WorkerLoad> WorkerPool::loads() const {
  std::vector<WorkerLoad> All;
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      All.push_back(Agent->load());
  return All;
}

ProcessorUse WorkerPool::processorUse() const {
  ProcessorUse Use;
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      Agent->addUse(Use);
  return Use;
}

std::map<std::string, Resources> WorkerPool::workersOutOfReach() const {
  std::map<std::string, Resources> Found;
  for (const auto &[Number, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      if (!Agent->load().Resolved)
        Found.emplace(Id, Agent->entry().Capacity);
  return Found;
}

std::vector<WorkerLoad>
WorkerPool::loadsOf(const std::set<std::string> &Workers) const {
  std::vector<WorkerLoad> Found;
  for (const std::string &Id : Workers)
    if (const auto Agent = findAgent(Id))
      Found.push_back(Agent->load());
  return Found;
}

std::vector<WorkerLoad>
WorkerPool::loadsChangedSince(Clock::time_point Since) const {
  std::vector<WorkerLoad> Changed;
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      if (auto Load = Agent->loadIfChangedSince(Since))
        Changed.push_back(std::move(*Load));
  return Changed;
}

std::vector<RunReport>
WorkerPool::runsOfJobs(const std::set<int> &JobShards) const {
  std::vector<RunReport> All;
  if (JobShards.empty())
    return All;
  const auto IsWanted = [&](const std::string &Task) {
    return JobShards.contains(Map_.shardOf(TaskName::jobOf(Task)));
  };
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      Agent->appendRuns(IsWanted, All);
  return All;
}

std::vector<EndReport> WorkerPool::takeDueEnds() {
  std::vector<EndReport> All;
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      Agent->takeDueEnds(All);
  return All;
}

std::vector<RunReference> WorkerPool::takeNewSuspects() {
  std::vector<RunReference> All;
  for (const auto &[ShardNumber, Held] : Shards_)
    for (const auto &[Id, Agent] : Held.Agents)
      for (RunReference &Suspect : Agent->takeNewSuspects())
        All.push_back(std::move(Suspect));
  return All;
}

void WorkerPool::handleEndAccepted(const EndReport &End) {
  if (const auto Agent = findAgent(End.Worker))
    Agent->handleEndAccepted(End);
}

void WorkerPool::handleEndNotAccepted(const EndReport &End) {
  if (const auto Agent = findAgent(End.Worker))
    Agent->handleEndNotAccepted(End);
}

void WorkerPool::stop() {
  while (!Shards_.empty())
    revoke(Shards_.begin()->first);
}

} // namespace hickory
