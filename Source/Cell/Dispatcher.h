#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Cell/AdviceRouter.h"
#include "Cell/CapacityView.h"
#include "Cell/CellConfiguration.h"
#include "Cell/GangClaimManager.h"
#include "Cell/RunOrderSender.h"
#include "Cell/ShardMembership.h"
#include "Cell/WaitingGangs.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

class AccountLoadControl;

struct DispatcherOptions {
  GangClaimManagerOptions Gangs;
  RunOrderSenderOptions Orders;
  /// Minimum time between passes over deferrable steps, as a pass over many
  /// steps and workers takes milliseconds.
  std::chrono::milliseconds DeferrableInterval{40};
  /// Maximum number of steps in one pass.
  std::size_t MaximumStepsPerPass = 200;
  /// Share of them that goes to the less urgent steps in turn, so that steps
  /// that can't be placed do not hide all others.
  double ShareInTurn = 0.25;
  /// Delay before a step asks for advice again after a failed call.
  std::chrono::milliseconds ShortCallRetryDelay{15};
  std::chrono::milliseconds LongCallRetryDelay{120};
  /// Maximum number of calls in flight about one gang. Most of the workers may
  /// have to be asked about before enough good ones are known.
  int MaximumCallsPerGang = 12;
  /// Minimum time between events about the same waiting gang.
  std::chrono::milliseconds GangWaitEventInterval{500};
};

class QuotaClient;

/// Starts the ready steps of the jobs that this process owns: asks the adviser
/// which workers may run them, chooses workers and sends the placements.
///
/// An ordinary task is placed on a worker with a valid ticket. A gang is placed
/// on workers that are known to be good, and gets its tickets once capacity is
/// reserved for it, as they expire sooner than enough capacity is found.
class Dispatcher {
public:
  Dispatcher(const asio::any_io_executor &Executor, TimerService &Timers,
             JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
             AdviceRouter &Adviser, const ShardMembership &Shards,
             const CellConfiguration &Configuration, EventLog &Events,
             Metrics &Counters, DispatcherOptions Options);

  /// Runs a pass over the ready steps after each wake(), until stop() is
  /// called.
  asio::awaitable<void> run();
  void wake() { Wake_.notify(); }
  void stop();

  /// Sets what limits the tasks of accounts with a cap.
  void setQuota(QuotaClient &Quota) { Quota_ = &Quota; }
  /// Sets the source of which jobs are above the share of their account.
  /// Without it, none are.
  void setLoadControl(AccountLoadControl &LoadControl) {
    LoadControl_ = &LoadControl;
  }
  [[nodiscard]] GangClaimManager &gangClaims() { return Gangs_; }
  [[nodiscard]] WaitingGangs &waitingGangs() { return WaitingGangs_; }
  [[nodiscard]] RunOrderSender &orderSender() { return Orders_; }

private:
  /// Reads what the steps of one pass share. Claims bind only deferrable steps.
  void beginPass(bool WithDeferrable);
  void runPass();
  /// Returns the ready steps of this pass in dispatch order, with deferrable
  /// ones only if asked for.
  [[nodiscard]] std::vector<SchedulableStep>
  collectReadySteps(bool WithDeferrable);
  /// Of too many steps for one pass, keeps the most urgent ones and, from
  /// NextInTurn on, some of the others.
  void chooseForPass(std::vector<SchedulableStep> &Steps,
                     std::size_t &NextInTurn) const;
  /// Asks for advice about gangs that become ready once the tasks before them
  /// are done, so that they do not wait for it then.
  void learnForUpcomingGangs();
  void dispatchStep(const SchedulableStep &Schedulable);
  /// Returns how many of Count tasks of the step its account may start now. For
  /// a job that is not accepted yet, only asks for what it will need.
  int withinQuota(const SchedulableStep &Schedulable, std::size_t Count);
  /// Places the tasks of the step that fit on workers with a valid ticket, and
  /// asks for advice about workers for the rest.
  void dispatchTasks(const SchedulableStep &Schedulable);
  /// Places the gang on workers that are known to be good, or asks for advice
  /// about further workers if it does not fit on them.
  void dispatchGang(const SchedulableStep &Schedulable);
  /// Returns the workers that could run the step; for a gang also those without
  /// free capacity at present.
  [[nodiscard]] std::vector<Candidate>
  candidatesFor(const SchedulableStep &Schedulable);
  /// Returns those of the candidates on which tasks of the step may be placed.
  /// If the queue needs advice, those are the workers with a valid ticket, and
  /// for a gang those known to be good.
  [[nodiscard]] std::vector<Candidate>
  permitted(const SchedulableStep &Schedulable,
            const std::vector<Candidate> &Candidates) const;
  /// Returns RunOrderSender::canOrder() as of the first call in this pass, as
  /// many workers share a shard.
  [[nodiscard]] bool canOrderInPass(int JobShard, int WorkerShard);
  /// Returns true if a call about the step may be started.
  [[nodiscard]] bool canAskAbout(const SchedulableStep &Schedulable,
                                 int MaximumCalls, bool Learning) const;
  /// Starts a call about workers for Count tasks, unless none is needed or
  /// possible at present.
  void startAdviceCall(const SchedulableStep &Schedulable,
                       const std::vector<Candidate> &Candidates, int Count);
  /// Starts calls about workers of which it is not known whether they are good
  /// for the gang, as far as it needs more and they are possible at present.
  void learnWorkers(const SchedulableStep &Schedulable,
                    const std::vector<Candidate> &Candidates);
  void beginAdviceCall(const SchedulableStep &Schedulable,
                       std::vector<std::string> Workers, bool Learning);
  /// Requests tickets for the workers, in as many calls as keep each short.
  asio::awaitable<void> requestTickets(SchedulableStep Schedulable,
                                       std::vector<std::string> Workers);
  /// Returns the free capacity of the worker that the step may use, beside the
  /// headroom of more urgent queues.
  [[nodiscard]] Resources freeFor(const SchedulableStep &Schedulable,
                                  const CapacityView::Row &Worker) const;
  /// Records why a gang that was not placed waits; does nothing for other
  /// steps.
  void reportGangWait(const SchedulableStep &Schedulable,
                      const std::vector<Candidate> &Candidates);
  asio::awaitable<void> runAdviceCall(SchedulableStep Schedulable,
                                      AdviceCall Call);
  void applyAdvice(const SchedulableStep &Schedulable, const AdviceCall &Call,
                   const Result<Advice> &Reply, Clock::time_point AskedAt);
  /// Returns the cost of a call about the given number of workers.
  [[nodiscard]] AdviceCost costOf(const SchedulableStep &Schedulable,
                                  std::size_t Workers) const;
  /// Returns the time from which the job's objective counts: its acceptance, or
  /// the time at which the occurrence of a repeating job was due.
  [[nodiscard]] Clock::time_point dueAt(const OwnedJob &Job,
                                        int Occurrence) const;
  /// Returns the worker pool that runs the job, by the present configuration.
  [[nodiscard]] std::string serviceOf(const JobSpec &Job) const;
  /// Returns the estimated share of workers that are good for the queue's
  /// steps.
  double &goodShareOf(const std::string &Queue);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  JobOwner &Jobs_;
  CapacityView &View_;
  AdviceRouter &Adviser_;
  const CellConfiguration &Configuration_;
  EventLog &Events_;
  Metrics &Counters_;
  DispatcherOptions Options_;
  QuotaClient *Quota_ = nullptr;
  Notifier Wake_;
  WaitingGangs WaitingGangs_;
  std::map<std::string, double> GoodShare_; ///< By queue.
  RunOrderSender Orders_;
  GangClaimManager Gangs_;
  /// By shard of the job, then by shard of the worker; empty if not asked yet.
  std::map<int, std::vector<std::optional<bool>>> OrderableInPass_;
  std::size_t NextInTurn_ = 0; ///< See chooseForPass().
  std::size_t NextUrgentInTurn_ = 0;
  Clock::time_point DeferrableDueAt_{};
  /// WaitingGangs::mostUrgent() at the beginning of the pass.
  std::optional<int> MostUrgentWaitingGang_;
  AccountLoadControl *LoadControl_ = nullptr;
  bool DeferrableSkipped_ = false; ///< The latest pass left them out.
  bool Stopped_ = false;
};

} // namespace hickory
