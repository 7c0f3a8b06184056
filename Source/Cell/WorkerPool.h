#pragma once

#include "Base/EventLog.h"
#include "Cell/PeerMessages.h"
#include "Cell/ShardMap.h"
#include "Cell/WorkerAgent.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hickory {

/// All workers of the shards that this process holds.
class WorkerPool {
public:
  WorkerPool(const asio::any_io_executor &Executor, TimerService &Timers,
             WorkerClient &Client, EventLog &Events, ShardMap Shards,
             WorkerAgentOptions Options);

  void onFenced(std::function<void(int Shard)> Callback) {
    Fenced_ = std::move(Callback);
  }
  void onEnds(std::function<void()> Callback) { Ends_ = std::move(Callback); }

  void assign(int Shard, std::uint64_t Epoch);
  void revoke(int Shard);
  /// The platform's whole list of workers.
  void updateList(const std::map<std::string, WorkerEntry> &Workers);
  /// Tells since when the list is kept up to date. Workers may be missing from
  /// it for a while after the store was away.
  void
  followList(std::function<std::optional<Clock::time_point>()> CurrentSince) {
    ListCurrentSince_ = std::move(CurrentSince);
  }

  /// Refuses placements of jobs whose shard has a later holder.
  asio::awaitable<PlaceResult> place(ShardEpoch Job, PlaceOrder Order);
  void stopRun(const RunReference &Run);
  void learnDemand(const RunDemand &Demand);
  /// From now on, placements from earlier epochs of the job's shard are
  /// refused.
  void fenceJobs(const ShardEpoch &Job);

  [[nodiscard]] std::vector<HeldShard> held() const;
  [[nodiscard]] std::vector<WorkerLoad> loads() const;
  [[nodiscard]] const WorkerAgent *find(const std::string &Worker) const;
  /// Runs of jobs of these shards, ended ones until they are accepted.
  [[nodiscard]] std::vector<RunReport>
  runsOf(const std::set<int> &JobShards) const;
  [[nodiscard]] std::vector<EndReport> undelivered() const;
  void accepted(const EndReport &End);
  void stop();

private:
  struct Shard {
    std::uint64_t Epoch = 0;
    std::map<std::string, std::shared_ptr<WorkerAgent>> Agents;
  };

  [[nodiscard]] bool listSettled() const;
  void addAgent(int Number, const WorkerEntry &Entry);
  [[nodiscard]] std::shared_ptr<WorkerAgent>
  agentOf(const std::string &Worker) const;

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  WorkerClient &Client_;
  EventLog &Events_;
  ShardMap Map_;
  WorkerAgentOptions Options_;
  std::function<void(int)> Fenced_;
  std::function<void()> Ends_;
  std::map<int, Shard> Shards_;
  std::map<int, std::uint64_t> JobEpochs_;
  std::map<std::string, WorkerEntry> Listed_;
  std::function<std::optional<Clock::time_point>()> ListCurrentSince_;
};

} // namespace hickory
