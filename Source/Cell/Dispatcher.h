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

#include <map>
#include <string>
#include <vector>

namespace hickory {

struct DispatcherOptions {
  GangClaimManagerOptions Gangs;
  RunOrderSenderOptions Orders;
  /// A ticket must hold for the way to the worker.
  std::chrono::milliseconds TicketMargin{150};
  /// Steps that can wait are looked at no more often, as a pass over many steps
  /// and workers takes milliseconds.
  std::chrono::milliseconds PatientInterval{40};
  /// Steps looked at in one pass; the rest is less urgent.
  std::size_t MaximumSteps = 200;
  /// A step asks again so long after no line to the adviser was free.
  std::chrono::milliseconds ShortCallPause{15};
  std::chrono::milliseconds LongCallPause{120};
};

/// Starts the ready steps of the jobs of this process: asks for advice, chooses
/// workers and has the tasks placed there.
class Dispatcher {
public:
  Dispatcher(const asio::any_io_executor &Executor, TimerService &Timers,
             JobOwner &Jobs, CapacityView &View, CellPeer &Peers,
             AdviceRouter &Adviser, const ShardMembership &Shards,
             const CellConfiguration &Configuration, EventLog &Events,
             Metrics &Counters, DispatcherOptions Options);

  /// Looks for work to start whenever wake() was called, until stop().
  asio::awaitable<void> run();
  void wake() { Wake_.notify(); }
  void stop();

  [[nodiscard]] GangClaimManager &gangClaims() { return Gangs_; }
  [[nodiscard]] RunOrderSender &orderSender() { return Orders_; }

private:
  void pass();
  /// Without the steps that can wait if they are not due.
  [[nodiscard]] std::vector<SchedulableStep> collect(bool WithPatient) const;
  /// Starts what has a place and a valid ticket, and asks for advice on the
  /// rest.
  void serve(const SchedulableStep &Item);
  /// Workers that may run the step; for a gang also those without room now.
  [[nodiscard]] std::vector<Candidate>
  candidatesFor(const SchedulableStep &Item);
  void askFor(const SchedulableStep &Item,
              const std::vector<Candidate> &Candidates, int Count);
  asio::awaitable<void> ask(SchedulableStep Item, AdviceCall Call);
  void applyAdvice(const SchedulableStep &Item, const AdviceCall &Call,
                   const Result<Advice> &Reply, Clock::time_point AskedAt);
  /// What a call about so many workers costs.
  [[nodiscard]] AdviceCost costOf(const SchedulableStep &Item,
                                  std::size_t Workers) const;
  [[nodiscard]] std::string serviceOf(const JobSpec &Job) const;
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
  Notifier Wake_;
  std::map<std::string, double> GoodShare_; ///< By queue.
  RunOrderSender Orders_;
  GangClaimManager Gangs_;
  Clock::time_point PatientDueAt_{};
  bool PatientSkipped_ = false; ///< By the latest pass.
  bool Stopped_ = false;
};

} // namespace hickory
