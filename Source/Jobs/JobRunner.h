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
  std::size_t MaximumStarting = 256; ///< Starts in progress at once.
  std::size_t MaximumQueued = 100000;
  std::uint32_t MaximumTasksPerJob = 10000;
  std::chrono::milliseconds DispatchPeriod{50};
  std::chrono::milliseconds InitialRetryDelay{100};
  std::chrono::milliseconds MaximumRetryDelay{5000};
  std::chrono::milliseconds LogWait{5000}; ///< For one record.
  std::size_t CancelBatch = 256;           ///< Cancellations handled per turn.
  std::chrono::hours KeepOutcomes{24};
  /// Test only: places a task again without asking where the last attempt is.
  bool SkipRecoveryCheck = false;
};

/// Runs the jobs whose keys this instance owns: keeps them in the log, queues
/// their tasks, places them on racks, and accounts for how each task ended.
/// Attempt n+1 of a task is placed only after attempt n is known to have ended
/// or to have never started.
class JobRunner {
public:
  JobRunner(JobRunnerOptions Options, asio::any_io_executor Executor,
            TimerService &Timers, ConfigView &Config, OwnershipView &Ownership,
            LogWriter &Writer, JobTable &Table, RackChooser &Racks,
            FairShare &Shares, Metrics &Counters, EventLog &Events);

  /// Names of the worker racks of this failure domain.
  void setRackLookup(std::function<std::vector<std::string>()> Lookup) {
    OwnRacks_ = std::move(Lookup);
  }

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request,
                                            JobClassConfig Class);
  [[nodiscard]] peer::QueryReply query(const std::string &Key) const;
  /// Returns how many of the keys were jobs that could be cancelled.
  std::uint32_t cancel(const std::vector<std::string> &Keys);
  /// True once the end stands in the log.
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended);

  /// Takes over the unfinished jobs of a shard.
  void acquire(const std::string &Shard, bool PreviousOwnerExpired);
  void lose(const std::string &Shard);
  /// True while a start of a task of the shard is in progress.
  [[nodiscard]] bool busy(const std::string &Shard) const;
  /// The log told something new of a key: starts a job that a former owner of
  /// the shard had accepted just before this instance acquired it.
  void keyChanged(const std::string &Key);
  void suspend(const std::string &Shard) { Suspended_.insert(Shard); }

  /// Runs until the context ends.
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
    std::uint64_t RackIncarnation = 0; ///< Owner of the rack when last heard.
    std::optional<records::TaskEnded> Ended;
    /// Attempts whose ends are on their way to the log.
    std::set<std::uint32_t> UnloggedEnds;
    std::uint32_t Refusals = 0; ///< In a row, for the retry delay.
    bool MayHaveRun = false;    ///< Some attempt ran, or it is not known.
    bool ResultKnown = false;   ///< No further attempt will be made.
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
    bool Lost = false; ///< The shard is no longer held here.
    Clock::time_point AcceptedAt;
  };
  using JobPointer = std::shared_ptr<Job>;

  void startUnstarted();
  void startJob(const std::string &Key, bool MayRunUnassigned);
  void enqueueTask(const JobPointer &Owner, std::uint32_t Index);
  void enqueueGang(const JobPointer &Owner);
  asio::awaitable<void> requeueLater(JobPointer Owner, std::uint32_t Index);
  PlacementOutcome tryPlace(const PendingWork &Work,
                            std::vector<RackLocation> &OwnRacks,
                            std::vector<RackLocation> &AllRacks);
  asio::awaitable<void> startTask(JobPointer Owner, std::uint32_t Index,
                                  RackLocation Rack, std::uint64_t Reservation);
  asio::awaitable<void> startGang(JobPointer Owner,
                                  std::vector<RackLocation> Racks);
  asio::awaitable<bool> recordAssign(JobPointer Owner, std::uint32_t Index,
                                     const RackLocation &Rack);
  /// Finds out what became of the current attempt, then goes on accordingly.
  asio::awaitable<void> recoverTask(JobPointer Owner, std::uint32_t Index,
                                    std::vector<std::string> Racks);
  /// Asks again for tasks on racks whose owner changed: the new owner does not
  /// report the end of a task that it never saw.
  void verifyRunning();
  asio::awaitable<void> stopTask(JobPointer Owner, std::uint32_t Index);
  void handleEnd(const JobPointer &Owner, std::uint32_t Index);
  [[nodiscard]] bool shouldRetry(const Job &Owner, const Task &Ended) const;
  void finishIfDone(const JobPointer &Owner);
  void takeCancelled();
  [[nodiscard]] JobPointer findJob(const std::string &Key) const;
  [[nodiscard]] bool held(const Job &Owner) const {
    return !Owner.Lost && Ownership_.holds(Owner.Shard);
  }
  void record(records::Record Record);

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
  std::function<std::vector<std::string>()> OwnRacks_;
  std::unordered_map<std::string, JobPointer> Jobs_;
  /// Jobs whose acceptance is being written, with the waiting callers.
  std::unordered_map<std::string, std::shared_ptr<Notifier>> Accepting_;
  /// Accepted jobs of owned shards that could not be started because the
  /// instance lease had lapsed when their acceptance was read. The lease may
  /// come back without any change of ownership.
  std::set<std::string> Unstarted_;
  /// Keys whose acceptance was queued for the log and not yet read back after
  /// the caller's time was up. Until then "not run" would be a guess.
  std::set<std::string> Unconfirmed_;
  std::set<std::string> Suspended_;
  std::deque<std::pair<Clock::time_point, std::string>> FinishedKeys_;
  std::size_t Starting_ = 0;
  Clock::time_point NextVerification_{};
};

} // namespace hickory
