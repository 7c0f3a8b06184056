#pragma once

#include "Backends/RackContext.h"
#include "Backends/WorkerTask.h"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace hickory {

/// Follows one worker of a rack that this instance owns: reads its state, sends
/// commands and renewals, and knows what is committed on it. One exchange is in
/// flight at a time, so that reports cannot overtake each other.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
  using TaskPointer = std::shared_ptr<WorkerTask>;

  WorkerSession(std::shared_ptr<RackContext> Context, Upstream Worker);

  /// Starts to follow the worker. Acquired is when the rack was acquired.
  void open(Clock::time_point Acquired);
  /// Sends nothing any more. Starts that were not sent are given up.
  void close();
  /// Takes over a changed description from the list.
  void update(const Upstream &Worker);

  [[nodiscard]] const Upstream &worker() const { return Worker_; }
  /// True if every task that may run there is known or its lease is over.
  [[nodiscard]] bool tasksKnown() const;
  [[nodiscard]] bool stateRead() const { return StateRead_; }
  /// True if new work may be started there now.
  [[nodiscard]] bool mayStart() const;
  [[nodiscard]] const Capacity &total() const { return Total_; }
  [[nodiscard]] Capacity committed() const;
  [[nodiscard]] Capacity free() const { return Total_ - committed(); }
  [[nodiscard]] HealthTracker::State health() const {
    return Context_->WorkerHealth.state(Worker_.Name);
  }

  /// Commits the task's size and sends its start at once.
  TaskPointer start(WorkerTask Task);
  /// Gives up a start that was not sent yet; no effect otherwise.
  void cancelQueued(const TaskPointer &Task);
  void requestStop(const TaskPointer &Task, std::string Reason,
                   bool CheckpointFirst);

  void addReserved(const Capacity &Amount) { Reserved_ += Amount; }
  void removeReserved(const Capacity &Amount) { Reserved_ -= Amount; }

  [[nodiscard]] TaskPointer find(const TaskId &Id) const;
  [[nodiscard]] const std::map<TaskId, TaskPointer> &tasks() const {
    return Tasks_;
  }

  /// True if no start is on its way to the worker.
  [[nodiscard]] bool startsSettled() const;

  /// A session closed while a report to the job owner is under way leaves the
  /// task listed on the worker, so that the next rack owner reports it.
  [[nodiscard]] bool closed() const { return Closed_; }

private:
  struct Exchange;

  asio::awaitable<void> run();
  /// True if the worker answered with its state.
  asio::awaitable<bool> exchange();
  /// False if nothing may be sent because the instance lease is about to end.
  bool buildCommands(Exchange &Next);
  void addStart(Exchange &Next, const TaskPointer &Task,
                Clock::duration Remaining);
  void startsNotSent(const Exchange &Failed, const std::string &Detail);
  bool handleReport(const std::string &Body, const Exchange &Answered);
  void handleRestart(const std::string &BootId);
  void handleListed(const nlohmann::json &Item);
  void handleUnlisted(const Exchange &Answered);
  bool startHasLapsed(const WorkerTask &Task) const;
  void loseTasksIfLeaseOver();

  void confirmRunning(const TaskPointer &Task);
  void notStarted(const TaskPointer &Task, const std::string &Detail);
  void ended(const TaskPointer &Task, records::OutcomeKind Outcome,
             const std::string &Detail, bool Lost);
  void noteHealthAtEnd(const TaskPointer &Task, records::OutcomeKind Outcome);
  void fillEnd(WorkerTask &Task, records::OutcomeKind Outcome,
               const std::string &Detail);
  /// Self keeps the session alive, also before the coroutine runs.
  asio::awaitable<void> report(std::shared_ptr<WorkerSession> Self,
                               TaskPointer Task);
  void dropIfDone(const TaskPointer &Task);
  void applyOrigin(WorkerTask &Task);
  [[nodiscard]] nlohmann::json fields(const WorkerTask &Task) const;
  [[nodiscard]] bool hasUrgentCommands() const;
  /// Not later than the worker's clock shows now.
  [[nodiscard]] std::int64_t workerClockMs() const;
  [[nodiscard]] Clock::duration withRateMargin(Clock::duration Duration) const;

  std::shared_ptr<RackContext> Context_;
  Upstream Worker_;
  std::string Shard_;
  Notifier Wake_;
  bool Closed_ = false;
  std::optional<Clock::time_point> BusySince_; ///< Of the current exchange.
  bool Answering_ = false; ///< The latest exchange was answered.
  bool StateRead_ = false;
  Capacity Total_;
  Capacity Reserved_;
  std::map<TaskId, TaskPointer> Tasks_;

  std::string BootId_;
  std::int64_t LastClockMs_ = 0;
  Clock::time_point LastReportAt_;
  /// Local time of the report on which the latest renewal that may have
  /// reached the worker was based; at first the time of acquisition, because
  /// the previous owner may have renewed until then.
  Clock::time_point RenewalBasis_;
};

} // namespace hickory
