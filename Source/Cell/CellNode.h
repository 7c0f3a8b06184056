#pragma once

#include "Base/Notifier.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/Dispatcher.h"
#include "Cell/JobOwner.h"
#include "Cell/KeyedFollower.h"
#include "Cell/QuotaClient.h"
#include "Cell/ShardMembership.h"
#include "Cell/WaitingJobsView.h"
#include "Cell/WorkerPool.h"

#include <map>
#include <set>
#include <string>

namespace hickory {

class AccountLoadControl;

struct CellNodeOptions {
  std::string Address; ///< Address at which other processes reach this one.
  std::string FailureDomain;
  std::chrono::milliseconds ExchangePeriod{500};
  /// The period grows with the number of peers, so that the rate of calls of a
  /// process does not.
  std::chrono::milliseconds ExchangePeriodPerPeer{50};
  /// A process that has left exchanges unanswered for this time gets no client
  /// requests and no advice calls. Other calls are still sent to it.
  std::chrono::milliseconds UnreachableAfter{900};
  /// Processes without shards (helpers) need no view of the workers and
  /// exchange rarely.
  std::chrono::milliseconds HelperExchangePeriod{1500};
  std::chrono::milliseconds HelperLifetime{4000};
  /// Minimum time between two messages to the same process with the loads of
  /// all workers that have changed, beside the exchanges.
  std::chrono::milliseconds LoadsPeriod{100};
  std::chrono::milliseconds EndsBatchDelay{5};
  /// Longest time between two searches for ends to deliver.
  std::chrono::milliseconds EndsSearchPeriod{250};
};

/// Connects the components of one process with the other processes of the cell
/// (see CellDaemon):
/// handles their calls, exchanges state with them and delivers the ends of runs
/// to the owners of the jobs.
class CellNode final : public CellHandler {
public:
  CellNode(const asio::any_io_executor &Executor, TimerService &Timers,
           ShardMembership &Shards, ShardMap Map, WorkerPool &Pool,
           JobOwner &Jobs, CapacityView &View, Dispatcher &RunDispatcher,
           AdviceRouter &Adviser, CellPeer &Peers, CellNodeOptions Options);

  void start();
  void stop();
  /// Starts an exchange with all processes at once, for example after a
  /// takeover.
  void requestExchange() { ExchangeDue_.notify(); }
  /// Tells the other processes that this one has released its shards.
  void announceLeaving();
  void requestEndDelivery() { EndsDue_.notify(); }

  asio::awaitable<PlaceReply> place(PlaceRequest Request) override;
  StopReply stop(const StopRequest &Request) override;
  PreemptReply preempt(const PreemptRequest &Request) override;
  asio::awaitable<EndsReply> reportEnds(EndsRequest Request) override;
  ExchangeReply exchange(const ExchangeRequest &Request) override;
  QuotaReply quota(const QuotaRequest &Request) override;
  asio::awaitable<AdviseReply> advise(AdviseRequest Request) override;
  asio::awaitable<RemoveMemberReply>
  removeMember(RemoveMemberRequest Request) override;
  asio::awaitable<RecordsReply> relayRecords(RecordsRequest Request) override;
  asio::awaitable<SubmitReply> submit(JobSpec Job) override;
  asio::awaitable<JobStateReply> state(JobReference Job) override;
  asio::awaitable<SubmitReply> cancel(JobReference Job) override;

  /// A call found that the address refuses connections.
  void handleConnectionRefused(const std::string &Address);

  /// Returns the processes without shards that have called recently.
  [[nodiscard]] std::set<std::string> helpers() const;
  /// Returns the reachable processes that hold shards, including this one.
  [[nodiscard]] std::set<std::string> owners() const;
  /// Sets the user of the reported loads. Without it, none are exchanged and
  /// all jobs are admitted.
  void setLoadControl(AccountLoadControl &LoadControl) {
    LoadControl_ = &LoadControl;
  }
  /// Sets the source of the records for relayRecords(). Without it, no process
  /// gets any.
  void setRelaySource(KeyedFollower &Source) { RelaySource_ = &Source; }
  /// Sets the client of the quotas of accounts. Without it, calls about quotas
  /// are not answered.
  void setQuota(QuotaClient &Quota) { Quota_ = &Quota; }
  /// Returns the owners in this process's failure domain, except itself, that
  /// have answered the latest exchange.
  [[nodiscard]] std::vector<std::string> ownersNearby() const;
  /// Returns the addresses of the other processes with shards that have not
  /// left the latest exchange unanswered.
  [[nodiscard]] std::vector<std::string> ownersElsewhere() const;
  /// Returns false if the process has not answered for UnreachableAfter.
  [[nodiscard]] bool isReachable(const std::string &Address) const;
  /// Returns true if most other processes with shards do not answer this one.
  [[nodiscard]] bool isIsolated() const;
  /// Returns the number of jobs of the queue that have not started, over all
  /// processes.
  [[nodiscard]] WaitingJobsCount waitingJobs(const std::string &Queue) const {
    return WaitingJobs_.count(Queue, Timers_.now());
  }

private:
  /// Returns the loads for a message to the process: those of the named workers
  /// and, if LoadsPeriod has passed or AtOnce is true, of all workers whose
  /// load has changed since such a message.
  std::vector<WorkerLoad> loadsFor(const std::string &Address,
                                   const std::set<std::string> &Named,
                                   bool AtOnce = false);
  void addLoads(const PlaceRequest &Request, PlaceReply &Reply);
  asio::awaitable<void> exchangeLoop();
  asio::awaitable<void> announceLeavingTo(std::string Address);
  /// Asks a process to remove this one from the group. Only processes whose
  /// latest exchange has not failed are asked. Returns false if there is none
  /// or the removal failed.
  asio::awaitable<bool> requestRemoval(std::string Member,
                                       Clock::duration FailingFor);
  asio::awaitable<void> exchangeWith(std::string Address);
  /// Applies the reported numbers of waiting jobs, except those of shards with
  /// a later holder, as reported by that holder or listed by the store.
  void applyWaitingJobs(const ExchangeReply &Reply, Clock::time_point SentAt);
  /// Drops what the sender reports about shards that have a later holder.
  void dropOutdatedShards(ExchangeReply &Reply);
  asio::awaitable<void> endDeliveryLoop();
  /// Returns the owner of the task's job, as far as the store lists one.
  [[nodiscard]] std::optional<std::string>
  ownerOf(const std::string &Task) const;
  asio::awaitable<void> deliverEnds(std::string Address, EndsRequest Request);
  asio::awaitable<void> startRun(ShardEpoch Job, PlaceOrder Order,
                                 std::shared_ptr<PlaceReply> Reply,
                                 std::size_t Index);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ShardMembership &Shards_;
  ShardMap Map_;
  WorkerPool &Pool_;
  JobOwner &Jobs_;
  CapacityView &View_;
  Dispatcher &Dispatcher_;
  AdviceRouter &Adviser_;
  CellPeer &Peers_;
  CellNodeOptions Options_;
  Notifier ExchangeDue_;
  Notifier EndsDue_;
  KeyedFollower *RelaySource_ = nullptr;
  QuotaClient *Quota_ = nullptr;
  AccountLoadControl *LoadControl_ = nullptr;
  std::map<std::string, std::string> FailureDomains_; ///< By peer.
  std::set<std::string> Exchanging_;
  /// Start of the first call that failed since the latest answer, by address.
  std::map<std::string, Clock::time_point> UnansweredSince_;
  std::map<std::string, Clock::time_point> HelperLastSeen_;
  std::map<std::string, std::vector<RunDemand>> Demands_; ///< By peer.
  std::map<std::string, Clock::time_point> LoadsSentAt_;  ///< By peer.
  WaitingJobsView WaitingJobs_;
  std::size_t NextRemovalPeer_ = 0; ///< Each request goes to the next process.
  bool Leaving_ = false;            ///< The shards have been handed over.
  /// Member ids of the processes that leave, by address.
  std::map<std::string, std::string> LeavingMembers_;
  bool Stopped_ = false;
};

} // namespace hickory
