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
  /// Proves that the shard had no later holder when this is called. Without it,
  /// silent workers keep their runs.
  void
  useProof(std::function<asio::awaitable<bool>(int Shard, std::uint64_t Epoch)>
               Proof) {
    Proof_ = std::move(Proof);
  }

  void assign(int Shard, std::uint64_t Epoch);
  void revoke(int Shard);
  /// The workers that the shard's journal names. Until it is read, what runs
  /// on the shard's workers is not known.
  void restore(int Shard, const std::vector<WorkerEntry> &Recorded);
  /// The journal of the shard names the worker now.
  void recorded(int Shard, const std::string &Worker);
  /// Asks to write down, or to forget, a worker of the shard.
  void onRecord(std::function<void(int Shard, WorkerEntry Entry)> Callback) {
    Record_ = std::move(Callback);
  }
  void onForget(std::function<void(int Shard, std::string Worker)> Callback) {
    Forget_ = std::move(Callback);
  }
  /// The platform's whole list of workers.
  void updateList(const std::map<std::string, WorkerEntry> &Workers);

  /// Refuses placements of jobs whose shard has a later holder.
  asio::awaitable<PlaceResult> place(ShardEpoch Job, PlaceOrder Order);
  PlaceResult reserve(const ShardEpoch &Job, const PlaceOrder &Order);
  void stopRun(const RunReference &Run);
  void learnDemand(const RunDemand &Demand);
  /// Returns the number of runs that were told to stop.
  int preempt(const ShardEpoch &Job, const PreemptionNeed &Need);
  /// From now on, placements from earlier epochs of the job's shard are
  /// refused.
  void fenceJobs(const ShardEpoch &Job);
  /// Those of the shards that have a later owner than named, with its epoch.
  [[nodiscard]] std::vector<ShardEpoch>
  outdated(const std::vector<ShardEpoch> &Jobs) const;

  [[nodiscard]] std::vector<HeldShard> held() const;
  [[nodiscard]] std::vector<WorkerLoad> loads() const;
  [[nodiscard]] std::vector<WorkerLoad>
  loadsOf(const std::set<std::string> &Workers) const;
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
    bool Restored = false;
    std::map<std::string, std::shared_ptr<WorkerAgent>> Agents;
  };

  asio::awaitable<bool> proveTerm(int Number, std::uint64_t Epoch);
  std::shared_ptr<WorkerAgent> addAgent(int Number, const WorkerEntry &Entry);
  std::optional<PlaceResult> refusalOf(const ShardEpoch &Job,
                                       const std::string &Worker);
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
  std::function<asio::awaitable<bool>(int, std::uint64_t)> Proof_;
  std::map<int, Shard> Shards_;
  std::map<int, std::uint64_t> JobEpochs_;
  std::map<std::string, WorkerEntry> Listed_;
  std::function<void(int, WorkerEntry)> Record_;
  std::function<void(int, std::string)> Forget_;
  bool ListKnown_ = false;
};

} // namespace hickory
