#pragma once

#include "Base/EventLog.h"
#include "Cell/PeerMessages.h"
#include "Cell/RunTombstones.h"
#include "Cell/ShardMap.h"
#include "Cell/WorkerAgent.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hickory {

/// Manages the workers of all shards that this process holds.
class WorkerPool {
public:
  WorkerPool(const asio::any_io_executor &Executor, TimerService &Timers,
             WorkerClient &Client, EventLog &Events, ShardMap Shards,
             WorkerAgentOptions Options);

  /// Sets the callback for a shard that may have a later holder, as one of its
  /// workers has seen a higher token.
  void onFenced(std::function<void(int Shard)> Callback) {
    OnFenced_ = std::move(Callback);
  }
  void onEndsChanged(std::function<void()> Callback) {
    OnEndsChanged_ = std::move(Callback);
  }
  void onReservationEnded(
      std::function<void(ReservationEnd, Clock::duration Age)> Callback) {
    OnReservationEnded_ = std::move(Callback);
  }
  /// What the store says of the terms of this process.
  struct OwnershipSource {
    /// Returns true if the shard had no later holder at the time of the call.
    std::function<asio::awaitable<bool>(int Shard, std::uint64_t Epoch)>
        Confirm;
    /// See WorkerAgent::Callbacks::OwnershipConfirmedAt.
    std::function<std::optional<Clock::time_point>(int Shard,
                                                   std::uint64_t Epoch)>
        ConfirmedAt;
  };
  /// Without a source, nothing is started and the runs of unreachable workers
  /// are never reported as lost.
  void setOwnershipSource(OwnershipSource Source) {
    Ownership_ = std::move(Source);
  }

  void assign(int Shard, std::uint64_t Epoch);
  void revoke(int Shard);
  /// Adds the workers that the shard's journal names. Until the journal is
  /// read, the runs on the shard's workers are not completely known.
  void restore(int Shard, const std::vector<WorkerEntry> &Recorded);
  /// Called once the shard's journal names the worker.
  void markRecorded(int Shard, const std::string &Worker);
  /// Sets the functions that add a worker to the shard's journal and delete it
  /// from the journal.
  void
  onRecordWorker(std::function<void(int Shard, WorkerEntry Entry)> Callback) {
    RecordWorker_ = std::move(Callback);
  }
  void
  onDeleteWorker(std::function<void(int Shard, std::string Worker)> Callback) {
    DeleteWorker_ = std::move(Callback);
  }
  /// Applies the platform's complete list of workers.
  void updateWorkers(const std::map<std::string, WorkerEntry> &Workers);

  /// Starts a run. Rejects it if the job's shard is known to have a later
  /// holder than the caller, or if the order is meant for another term of the
  /// worker's shard: this term does not know whether the run was stopped.
  asio::awaitable<PlaceResult> place(ShardEpoch JobShard, PlaceOrder Order);
  PlaceResult reserve(const ShardEpoch &JobShard, const PlaceOrder &Order);
  /// Stops the run, or prevents it from starting. Returns false, without an
  /// effect, if this process does not hold the worker in the given term or a
  /// later one: the run may then be known to another holder. A stop on a
  /// worker of the shard that has no agent takes effect once it has one.
  [[nodiscard]] bool stopRun(const RunReference &Run);
  void setDemand(const RunDemand &Demand);
  /// Returns the number of runs that are being stopped.
  int preempt(const ShardEpoch &JobShard, const PreemptionNeed &Need);
  /// Rejects placements from earlier epochs of the job's shard from now on.
  void fenceEarlierOwners(const ShardEpoch &JobShard);
  /// Returns those of the shards that have a later owner than the given one,
  /// with the epoch of that owner.
  [[nodiscard]] std::vector<ShardEpoch>
  laterEpochs(const std::vector<ShardEpoch> &JobShards) const;

  [[nodiscard]] std::vector<HeldShard> heldShards() const;
  [[nodiscard]] std::vector<WorkerLoad> loads() const;
  /// Returns what the processors of the held workers are used for.
  [[nodiscard]] ProcessorUse processorUse() const;
  /// Returns the workers of which not all runs are known, with their capacity.
  [[nodiscard]] std::map<std::string, Resources> workersOutOfReach() const;
  [[nodiscard]] std::vector<WorkerLoad>
  loadsOf(const std::set<std::string> &Workers) const;
  /// See WorkerAgent::loadIfChangedSince().
  [[nodiscard]] std::vector<WorkerLoad>
  loadsChangedSince(Clock::time_point Since) const;
  /// Returns the agent of a worker of the shard; null if this process does not
  /// hold it.
  [[nodiscard]] const WorkerAgent *find(int ShardNumber,
                                        const std::string &Worker) const;
  /// Returns the runs of jobs of these shards. Ended runs are included until
  /// the job's owner has accepted their end.
  [[nodiscard]] std::vector<RunReport>
  runsOfJobs(const std::set<int> &JobShards) const;
  /// See WorkerAgent::takeDueEnds().
  [[nodiscard]] std::vector<EndReport> takeDueEnds();
  /// See WorkerAgent::takeNewSuspects().
  [[nodiscard]] std::vector<RunReference> takeNewSuspects();
  void handleEndAccepted(const EndReport &End);
  void handleEndNotAccepted(const EndReport &End);
  void stop();

private:
  /// A worker whose agent was removed. It may be listed again.
  struct RemovedWorker {
    WorkerTermState State;
    Clock::time_point RemovedAt{};
  };
  struct Shard {
    std::uint64_t Epoch = 0;
    bool Restored = false;
    std::map<std::string, std::shared_ptr<WorkerAgent>> Agents;
    /// Stopped runs on workers that this process does not know, or not yet.
    RunTombstones StoppedOnUnlisted;
    std::map<std::string, RemovedWorker> Removed; ///< By id.
  };

  asio::awaitable<bool> confirmOwnership(int ShardNumber, std::uint64_t Epoch);
  std::shared_ptr<WorkerAgent> addAgent(int ShardNumber,
                                        const WorkerEntry &Entry);
  /// Adds the worker to the shard's journal once it has answered. An entry that
  /// nobody answers for, such as one of another service, must not delay the
  /// next holder, which waits for the runs on recorded workers.
  void recordIfAnswered(int ShardNumber, const std::string &Worker);
  /// Deletes the worker from the shard's journal if it has left and nothing can
  /// run on it, so that a later holder does not wait for its leases.
  void forgetIfIdle(int ShardNumber, WorkerAgent &Agent);
  void removeAgent(int ShardNumber, Shard &Held, WorkerAgent &Agent);
  /// Forgets removed workers whose next agent can begin anew.
  void dropRemoved(Shard &Held);
  std::optional<PlaceResult> findRefusal(const ShardEpoch &JobShard,
                                         const std::string &Worker);
  std::optional<PlaceResult> findRefusal(const ShardEpoch &JobShard,
                                         const PlaceOrder &Order);
  /// Returns the term in which this process holds the worker; 0 if it doesn't.
  [[nodiscard]] std::uint64_t epochOf(const std::string &Worker) const;
  [[nodiscard]] std::shared_ptr<WorkerAgent>
  findAgent(const std::string &Worker) const;

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  WorkerClient &Client_;
  EventLog &Events_;
  ShardMap Map_;
  WorkerAgentOptions Options_;
  std::function<void(int)> OnFenced_;
  std::function<void()> OnEndsChanged_;
  std::function<void(ReservationEnd, Clock::duration)> OnReservationEnded_;
  OwnershipSource Ownership_;
  std::map<int, Shard> Shards_;
  std::map<int, std::uint64_t> JobEpochs_;
  std::map<std::string, WorkerEntry> Listed_;
  std::function<void(int, WorkerEntry)> RecordWorker_;
  std::function<void(int, std::string)> DeleteWorker_;
  bool ListKnown_ = false;
};

} // namespace hickory
