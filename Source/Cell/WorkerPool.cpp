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

void WorkerPool::assign(int Number, std::uint64_t Epoch) {
  revoke(Number);
  Shards_[Number].Epoch = Epoch;
  for (const auto &[Id, Entry] : Listed_)
    if (Map_.shardOf(Id) == Number)
      addAgent(Number, Entry);
}

void WorkerPool::restore(int Number, const std::vector<WorkerEntry> &Recorded) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end())
    return;
  Shard &Owner = It->second;
  Owner.Restored = true;
  for (const WorkerEntry &Entry : Recorded) {
    const auto Agent = Owner.Agents.find(Entry.Id);
    if (Agent != Owner.Agents.end()) {
      Agent->second->recorded();
      continue;
    }
    // It may still run what it was given; it is held until that is known.
    const auto Added = addAgent(Number, Entry);
    Added->recorded();
    Added->unlisted();
  }
  for (const auto &[Id, Agent] : Owner.Agents)
    if (!Agent->isRecorded() && Record_)
      Record_(Number, Agent->entry());
}

void WorkerPool::recorded(int Number, const std::string &Worker) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end())
    return;
  const auto Agent = It->second.Agents.find(Worker);
  if (Agent != It->second.Agents.end())
    Agent->second->recorded();
}

void WorkerPool::revoke(int Number) {
  const auto It = Shards_.find(Number);
  if (It == Shards_.end())
    return;
  for (const auto &[Id, Agent] : It->second.Agents)
    Agent->stop();
  Shards_.erase(It);
}

asio::awaitable<bool> WorkerPool::proveTerm(int Number, std::uint64_t Epoch) {
  if (!Proof_)
    co_return false;
  co_return co_await Proof_(Number, Epoch);
}

std::shared_ptr<WorkerAgent> WorkerPool::addAgent(int Number,
                                                  const WorkerEntry &Entry) {
  Shard &Owner = Shards_.at(Number);
  WorkerAgent::Callbacks Listener{
      .Fenced =
          [this, Number, Epoch = Owner.Epoch] {
            const auto It = Shards_.find(Number);
            if (It != Shards_.end() && It->second.Epoch == Epoch && Fenced_)
              Fenced_(Number);
          },
      .EndsChanged =
          [this] {
            if (Ends_)
              Ends_();
          },
      .ProveTerm = [this, Number,
                    Epoch = Owner.Epoch] { return proveTerm(Number, Epoch); }};
  auto Agent =
      std::make_shared<WorkerAgent>(Executor_, Timers_, Client_, Events_, Entry,
                                    Owner.Epoch, std::move(Listener), Options_);
  Owner.Agents[Entry.Id] = Agent;
  asio::co_spawn(Executor_, Agent->run(), asio::detached);
  return Agent;
}

void WorkerPool::updateList(const std::map<std::string, WorkerEntry> &Workers) {
  Listed_ = Workers;
  ListKnown_ = true;
  for (auto &[Number, Owner] : Shards_)
    std::erase_if(Owner.Agents, [&, Number = Number](auto &Item) {
      if (Listed_.contains(Item.first))
        return false;
      Item.second->unlisted();
      if (!Item.second->finished())
        return false;
      Item.second->stop();
      if (Forget_)
        Forget_(Number, Item.first);
      return true;
    });
  for (const auto &[Id, Entry] : Listed_) {
    const int Number = Map_.shardOf(Id);
    const auto It = Shards_.find(Number);
    if (It == Shards_.end())
      continue;
    const auto Agent = It->second.Agents.find(Id);
    if (Agent == It->second.Agents.end()) {
      addAgent(Number, Entry);
      if (It->second.Restored && Record_)
        Record_(Number, Entry);
    } else
      Agent->second->update(Entry);
  }
}

std::shared_ptr<WorkerAgent>
WorkerPool::agentOf(const std::string &Worker) const {
  const auto It = Shards_.find(Map_.shardOf(Worker));
  if (It == Shards_.end())
    return nullptr;
  const auto Agent = It->second.Agents.find(Worker);
  return Agent == It->second.Agents.end() ? nullptr : Agent->second;
}

const WorkerAgent *WorkerPool::find(const std::string &Worker) const {
  return agentOf(Worker).get();
}

void WorkerPool::fenceJobs(const ShardEpoch &Job) {
  std::uint64_t &Highest = JobEpochs_[Job.Shard];
  Highest = std::max(Highest, Job.Epoch);
}

std::vector<ShardEpoch>
WorkerPool::outdated(const std::vector<ShardEpoch> &Jobs) const {
  std::vector<ShardEpoch> Found;
  for (const ShardEpoch &Job : Jobs)
    if (const auto It = JobEpochs_.find(Job.Shard);
        It != JobEpochs_.end() && It->second > Job.Epoch)
      Found.push_back({.Shard = Job.Shard, .Epoch = It->second});
  return Found;
}

std::optional<PlaceResult> WorkerPool::refusalOf(const ShardEpoch &Job,
                                                 const std::string &Worker) {
  fenceJobs(Job);
  if (JobEpochs_[Job.Shard] > Job.Epoch)
    return PlaceResult{.Status = PlaceStatus::Rejected, .Reason = "job_epoch"};
  if (!agentOf(Worker))
    return PlaceResult{.Status = PlaceStatus::Rejected, .Reason = "not_holder"};
  return std::nullopt;
}

PlaceResult WorkerPool::reserve(const ShardEpoch &Job,
                                const PlaceOrder &Order) {
  if (const auto Refusal = refusalOf(Job, Order.Worker))
    return *Refusal;
  return agentOf(Order.Worker)->reserve(Order);
}

asio::awaitable<PlaceResult> WorkerPool::place(ShardEpoch Job,
                                               PlaceOrder Order) {
  if (auto Refusal = refusalOf(Job, Order.Worker))
    co_return std::move(*Refusal);
  const auto Agent = agentOf(Order.Worker);
  co_return co_await Agent->start(std::move(Order));
}

void WorkerPool::stopRun(const RunReference &Run) {
  if (const auto Agent = agentOf(Run.Worker))
    Agent->stopRun(Run.Task, Run.Run);
}

void WorkerPool::learnDemand(const RunDemand &Demand) {
  if (const auto Agent = agentOf(Demand.Worker))
    Agent->learnDemand(Demand);
}

int WorkerPool::preempt(const ShardEpoch &Job, const PreemptionNeed &Need) {
  if (refusalOf(Job, Need.Worker))
    return 0;
  return agentOf(Need.Worker)->preempt(Need.Demand, Need.Priority);
}

std::vector<HeldShard> WorkerPool::held() const {
  std::vector<HeldShard> All;
  All.reserve(Shards_.size());
  for (const auto &[Number, Owner] : Shards_)
    All.push_back({.Shard = Number,
                   .Epoch = Owner.Epoch,
                   .Ready = ListKnown_ && Owner.Restored});
  return All;
}

std::vector<WorkerLoad> WorkerPool::loads() const {
  std::vector<WorkerLoad> All;
  for (const auto &[Number, Owner] : Shards_)
    for (const auto &[Id, Agent] : Owner.Agents)
      All.push_back(Agent->load());
  return All;
}

std::vector<WorkerLoad>
WorkerPool::loadsOf(const std::set<std::string> &Workers) const {
  std::vector<WorkerLoad> Found;
  for (const std::string &Id : Workers)
    if (const WorkerAgent *Agent = find(Id))
      Found.push_back(Agent->load());
  return Found;
}

std::vector<RunReport>
WorkerPool::runsOf(const std::set<int> &JobShards) const {
  std::vector<RunReport> All;
  for (const auto &[Number, Owner] : Shards_)
    for (const auto &[Id, Agent] : Owner.Agents)
      for (RunReport &Report : Agent->runs()) {
        const std::string Job = TaskName::jobOf(Report.Task);
        if (JobShards.contains(Map_.shardOf(Job)))
          All.push_back(std::move(Report));
      }
  return All;
}

std::vector<EndReport> WorkerPool::undelivered() const {
  std::vector<EndReport> All;
  for (const auto &[Number, Owner] : Shards_)
    for (const auto &[Id, Agent] : Owner.Agents)
      for (EndReport &Report : Agent->undelivered())
        All.push_back(std::move(Report));
  return All;
}

void WorkerPool::accepted(const EndReport &End) {
  if (const auto Agent = agentOf(End.Worker))
    Agent->accepted(End);
}

void WorkerPool::stop() {
  while (!Shards_.empty())
    revoke(Shards_.begin()->first);
}

} // namespace hickory
