#pragma once

#include "Base/Notifier.h"
#include "Cell/CapacityView.h"
#include "Cell/CellPeer.h"
#include "Cell/Dispatcher.h"
#include "Cell/JobOwner.h"
#include "Cell/ShardMembership.h"
#include "Cell/WorkerPool.h"

#include <map>
#include <set>
#include <string>

namespace hickory {

struct CellNodeOptions {
  std::string Address; ///< Of this process, for others.
  std::chrono::milliseconds ExchangePeriod{500};
  /// With many processes, exchanges are rarer, so that the calls of a process
  /// do not grow with their number.
  std::chrono::milliseconds ExchangePeriodPerPeer{50};
  /// A process that answers no exchange for so long gets no requests.
  std::chrono::milliseconds SilenceLimit{900};
  /// Processes without shards need no view of workers and exchange rarely.
  std::chrono::milliseconds HelperPeriod{1500};
  std::chrono::milliseconds HelperLifetime{4000};
  std::chrono::milliseconds EndsLinger{5};
  std::chrono::milliseconds EndsRetry{250};
};

/// Joins the parts of one process with those of the others: answers their
/// calls, exchanges views, and takes the ends of runs to the jobs' owners.
class CellNode final : public CellHandler {
public:
  CellNode(const asio::any_io_executor &Executor, TimerService &Timers,
           ShardMembership &Shards, ShardMap Map, WorkerPool &Pool,
           JobOwner &Jobs, CapacityView &View, Dispatcher &Starts,
           AdviceRouter &Adviser, CellPeer &Peers, CellNodeOptions Options);

  void start();
  void stop();
  /// Exchanges at once, for example after a takeover.
  void exchangeSoon() { ExchangeDue_.notify(); }
  /// Tells the others that the shards of this process are free.
  void announceLeaving();
  void endsChanged() { EndsDue_.notify(); }

  asio::awaitable<PlaceReply> place(PlaceRequest Request) override;
  void stop(const StopRequest &Request) override;
  PreemptReply preempt(const PreemptRequest &Request) override;
  asio::awaitable<EndsReply> reportEnds(EndsRequest Request) override;
  ExchangeReply exchange(const ExchangeRequest &Request) override;
  asio::awaitable<AdviseReply> advise(AdviseRequest Request) override;
  asio::awaitable<RemoveMemberReply>
  removeMember(RemoveMemberRequest Request) override;
  asio::awaitable<SubmitReply> submit(JobSpec Job) override;
  asio::awaitable<JobStateReply> state(JobReference Job) override;
  asio::awaitable<SubmitReply> cancel(JobReference Job) override;

  /// A call found that nothing listens at the address.
  void refusedBy(const std::string &Address);

  /// Processes without shards that have called lately.
  [[nodiscard]] std::set<std::string> helpers() const;
  /// Processes that hold shards and answer, this one included.
  [[nodiscard]] std::set<std::string> owners() const;
  /// False if the process has not answered for a while.
  [[nodiscard]] bool isReachable(const std::string &Address) const;
  /// True if most other processes with shards do not answer this one.
  [[nodiscard]] bool isIsolated() const;
  /// Jobs not begun of the queue over all processes; nothing until all have
  /// reported.
  [[nodiscard]] std::optional<int> waiting(const std::string &Queue) const;

private:
  /// Tells the caller what room there is where it found none.
  void addLoads(const std::vector<std::string> &Workers,
                PlaceReply &Reply) const;
  asio::awaitable<void> exchangeLoop();
  asio::awaitable<void> announceTo(std::string Address);
  /// Asks one process that answers to take this one out of the group.
  asio::awaitable<bool> requestRemoval(std::string Member,
                                       Clock::duration FailingFor);
  asio::awaitable<void> exchangeWith(std::string Address);
  /// Leaves out what the sender says of shards that have a later holder.
  void dropOutdated(ExchangeReply &Reply);
  asio::awaitable<void> endsLoop();
  asio::awaitable<void> deliver(std::string Address,
                                std::vector<EndReport> Ends);
  asio::awaitable<void> placeOne(ShardEpoch Job, PlaceOrder Order,
                                 std::shared_ptr<PlaceReply> Reply,
                                 std::size_t Index);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ShardMembership &Shards_;
  ShardMap Map_;
  WorkerPool &Pool_;
  JobOwner &Jobs_;
  CapacityView &View_;
  Dispatcher &Starts_;
  AdviceRouter &Adviser_;
  CellPeer &Peers_;
  CellNodeOptions Options_;
  Notifier ExchangeDue_;
  Notifier EndsDue_;
  std::set<std::string> Exchanging_;
  /// Begin of the first call of those that failed since the latest answer.
  std::map<std::string, Clock::time_point> SilentSince_;
  std::map<std::string, Clock::time_point> HelpersHeard_;
  std::map<std::string, std::vector<RunDemand>> Demands_;     ///< By peer.
  std::map<std::string, std::map<std::string, int>> Waiting_; ///< By peer.
  std::set<std::string> Delivering_;
  std::size_t NextRelief_ = 0; ///< Another process is asked each time.
  bool Stopped_ = false;
};

} // namespace hickory
