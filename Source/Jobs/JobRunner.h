#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Config/ConfigView.h"
#include "Jobs/JobTable.h"
#include "Jobs/RackChooser.h"
#include "Log/LogWriter.h"
#include "Membership/OwnershipView.h"
#include "Scheduling/FairShare.h"
#include "Scheduling/JobQueue.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

struct JobRunnerOptions {
  std::size_t MaximumConcurrentStarts = 256; ///< Of tasks, in progress.
  std::size_t MaximumQueued = 100000;
  std::uint32_t MaximumTasksPerJob = 10000;
  std::chrono::milliseconds DispatchPeriod{50};
  std::chrono::milliseconds InitialRetryDelay{100};
  std::chrono::milliseconds MaximumRetryDelay{5000};
  std::chrono::milliseconds LogTimeout{5000}; ///< For writing one record.
  std::size_t CancelBatch = 256; ///< Cancellations handled per dispatch.
  std::chrono::hours OutcomeRetention{24};
  /// Test only: places a task again without checking whether its last attempt
  /// is still running.
  bool SkipRecoveryCheck = false;
};

/// Runs the jobs whose keys this instance owns: logs their acceptance, queues
/// their tasks, places the tasks on racks and records how each task ended.
/// Attempt n+1 of a task is placed only after attempt n is known to have ended
/// or to have never started.
class JobRunner {
public:
  JobRunner(JobRunnerOptions Options, asio::any_io_executor Executor,
            TimerService &Timers, ConfigView &Config, OwnershipView &Ownership,
            LogWriter &Writer, JobTable &Table, RackChooser &Racks,
            FairShare &Shares, Metrics &Counters, EventLog &Events);

  /// Sets the function that returns the names of the worker racks of this
  /// failure domain.
  void setRackLookup(std::function<std::vector<std::string>()> Lookup) {
    OwnRackLookup_ = std::move(Lookup);
  }

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request,
                                            JobClassConfig Class);
  [[nodiscard]] peer::QueryReply query(const std::string &Key) const;
  /// Returns how many of the keys were jobs that could be cancelled.
  std::uint32_t cancel(const std::vector<std::string> &Keys);
  /// Handles the end of a task. Returns true if the caller need not report it
  /// again: the end is in the log, or it belongs to an earlier attempt, an
  /// unknown job or a finished one. Returns false if the end was not logged in
  /// time or the job is not loaded.
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended);

  /// Starts the unfinished jobs of a shard that this instance has acquired.
  void acquire(const std::string &Shard, bool PreviousOwnerExpired);
  /// Drops the jobs of a shard that this instance no longer owns.
  void lose(const std::string &Shard);
  /// Returns true while a task of the shard is being started.
  [[nodiscard]] bool hasStartsInProgress(const std::string &Shard) const;
  /// Handles a new log record of a key. Starts a job that a previous owner of
  /// the shard accepted just before this instance acquired the shard.
  void keyChanged(const std::string &Key);
  /// Places no more tasks of the shard until it is acquired again.
  void suspend(const std::string &Shard) { SuspendedShards_.insert(Shard); }

  /// Places queued tasks periodically; runs until the context is destroyed.
  asio::awaitable<void> dispatchLoop();

  struct QueueView {
    std::size_t QueuedWork = 0;
    std::size_t Jobs = 0;
    std::size_t Starting = 0;
    std::chrono::milliseconds LongestWait{0};
  };
  [[nodiscard]] QueueView view() const;

private:
  enum class Phase { Recovering, Queued, Starting, Running, Ended };

  struct Task {
    Phase State = Phase::Queued;
    std::uint32_t Attempt = 0;
    std::string Rack;
    std::string Worker;
    /// Of the rack owner that last confirmed the task.
    std::uint64_t RackIncarnation = 0;
    std::optional<records::TaskEnded> Ended;
    /// Attempts whose ends are queued for the log but not yet written.
    std::set<std::uint32_t> UnloggedEnds;
    std::uint32_t ConsecutiveRefusals = 0; ///< Determines the retry delay.
    bool MayHaveRun = false;               ///< An attempt ran or may have run.
    bool ResultKnown = false;              ///< No further attempt will be made.
  };

  struct Job {
    records::JobAccepted Accepted;
    std::string Shard;
    std::uint32_t Priority = 100;
    std::uint32_t MaximumAttempts = 1;
    std::string Pool;
    std::vector<Task> Tasks;
    bool Cancelled = false;
    bool Finished = false;
    bool ShardLost = false; ///< This instance no longer owns the shard.
    Clock::time_point AcceptedAt;
  };
  using JobPointer = std::shared_ptr<Job>;

  /// Starts the jobs in UnstartedKeys_ whose shards this instance holds.
  void startUnstartedJobs();
  /// Creates a job from its log records and continues its unfinished tasks. If
  /// AssignmentMayBeUnlogged, first searches the racks of this failure domain
  /// for tasks that a previous owner may have placed without a logged
  /// assignment.
  void startJob(const std::string &Key, bool AssignmentMayBeUnlogged);
  void enqueueTask(const JobPointer &ParentJob, std::uint32_t Index);
  void enqueueGang(const JobPointer &ParentJob);
  /// Queues a task again after the retry delay.
  asio::awaitable<void> requeueLater(JobPointer ParentJob, std::uint32_t Index);
  PlacementOutcome tryPlace(const PendingWork &Work,
                            std::vector<RackLocation> &OwnRacks,
                            std::vector<RackLocation> &AllRacks);
  asio::awaitable<void> startTask(JobPointer ParentJob, std::uint32_t Index,
                                  RackLocation Rack, std::uint64_t Reservation);
  asio::awaitable<void> startGang(JobPointer ParentJob,
                                  std::vector<RackLocation> Racks);
  asio::awaitable<bool> recordAssign(JobPointer ParentJob, std::uint32_t Index,
                                     const RackLocation &Rack);
  /// Asks the owners of Racks for the state of the current attempt and fences
  /// it, so that it cannot start later. If none of them knows it, retries the
  /// task or records its outcome as unknown if it is non-repeatable.
  asio::awaitable<void> recoverTask(JobPointer ParentJob, std::uint32_t Index,
                                    std::vector<std::string> Racks);
  /// Recovers running tasks on racks whose owner changed: the new owner does
  /// not report the end of a task that it does not know.
  void verifyRunning();
  asio::awaitable<void> stopTask(JobPointer ParentJob, std::uint32_t Index);
  void handleTaskEnd(const JobPointer &ParentJob, std::uint32_t Index);
  [[nodiscard]] bool shouldRetry(const Job &ParentJob, const Task &Ended) const;
  void finishIfDone(const JobPointer &ParentJob);
  void finishCancelledTasks();
  [[nodiscard]] JobPointer findJob(const std::string &Key) const;
  [[nodiscard]] bool isOwned(const Job &ParentJob) const {
    return !ParentJob.ShardLost && Ownership_.holds(ParentJob.Shard);
  }
  void enqueueRecord(records::Record Record);

  JobRunnerOptions Options_;
  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ConfigView &Config_;
  OwnershipView &Ownership_;
  LogWriter &Writer_;
  JobTable &Table_;
  RackChooser &Racks_;
  Metrics &Counters_;
  EventLog &Events_;
  JobQueue Queue_;
  Notifier Wake_;
  std::function<std::vector<std::string>()> OwnRackLookup_;
  std::unordered_map<std::string, JobPointer> Jobs_;
  /// Keys of jobs whose acceptance is being written, with the notifier of the
  /// waiting callers.
  std::unordered_map<std::string, std::shared_ptr<Notifier>> Accepting_;
  /// Keys of accepted jobs of owned shards that could not be started because
  /// the instance lease had expired when their acceptance was read. The lease
  /// may be renewed without a change of ownership.
  std::set<std::string> UnstartedKeys_;
  /// Keys whose acceptance was queued for the log but not read back before the
  /// caller's deadline. The reply "not run" would be unsafe for them.
  std::set<std::string> UnconfirmedKeys_;
  std::set<std::string> SuspendedShards_;
  std::deque<std::pair<Clock::time_point, std::string>> FinishedKeys_;
  std::size_t StartsInProgress_ = 0;
  Clock::time_point NextVerification_{};
};

} // namespace hickory
