#pragma once

#include "Base/EventLog.h"
#include "Cell/PeerMessages.h"
#include "Cell/QuotaAllotment.h"
#include "Cell/ShardJournal.h"
#include "Cell/ShardMap.h"
#include "Cell/StepAdvice.h"
#include "Work/JobProgress.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace hickory {

struct JobOwnerOptions {
  std::string Topic = "keyed.journal";
  /// Time for which the state of a finished job can be read.
  std::chrono::seconds FinishedJobRetention{150};
  /// Longest time that a call waits for its journal record to be written.
  std::chrono::milliseconds WriteTimeout{1200};
  std::size_t MaximumJobsPerShard = 20000;
  StoreLimits Limits;
  /// The progress of several jobs is written together up to this size.
  std::size_t MaximumWriteBytes = 64U << 10U;
};

/// A job of a shard that this process owns, and its run-time state.
struct OwnedJob {
  OwnedJob(JobSpec Spec, std::shared_ptr<ShardJournal> Journal)
      : Progress(std::move(Spec)), Journal(std::move(Journal)) {}
  JobProgress Progress;
  /// Journal of the term in which this object was created. If this process
  /// loses the shard and receives it again, the new term has a journal of its
  /// own, and the state in this object may be out of date.
  std::shared_ptr<ShardJournal> Journal;
  Clock::time_point AcceptedAt{};
  Clock::time_point FinishedAt{};
  int Shard = 0;
  bool Accepted = false;  ///< The journal contains the job.
  bool Inherited = false; ///< A previous owner accepted it.
  /// It exceeded the rate of its account while others had work waiting.
  bool BeyondRate = false;
  int PendingSubmissions = 0; ///< Calls waiting for the journal.
  bool MayBeStored = false;   ///< Outcome of a write is unknown.
  /// The journal's record of its progress can't be read: the job is not run.
  bool Unreadable = false;
  /// Largest demand of a task, if the journal has only the final state. Zero
  /// for jobs without an account.
  Resources LargestDemand;
  /// Bound of what runs use that may have outlived the job, as its final state
  /// in the journal has it; nothing if it has none.
  std::optional<Resources> StoppingDemand = Resources{};
  bool FinalStateWritten = false; ///< Final state is in the journal.
  bool MustStore = false;    ///< A write of its progress is due or in progress.
  std::uint64_t Version = 0; ///< Number of durable changes.
  std::uint64_t WrittenVersion = 0; ///< Version that the journal contains.
  int PendingWrites = 0; ///< Writes of its progress without an outcome.
  std::uint64_t PendingVersion = 0;     ///< Version in the latest of them.
  std::size_t PendingBytes = 0;         ///< Size of the latest of them.
  std::unique_ptr<Notifier> WriteEnded; ///< Set by the first wait for them.
  /// Advice by occurrence and step.
  std::map<std::pair<int, int>, StepAdvice> Advice;
  /// Earliest time of the next attempt to place a step, by occurrence and step.
  std::map<std::pair<int, int>, Clock::time_point> NotBefore;
  /// Number of successive attempts to reserve capacity for a gang that have
  /// failed, by occurrence and step.
  std::map<std::pair<int, int>, int> FailedReservations;
  /// Earliest time of the next preemption request, by occurrence and step.
  std::map<std::pair<int, int>, Clock::time_point> NextPreemptionAt;
  /// Earliest time of the next event about a waiting gang, by occurrence and
  /// step.
  std::map<std::pair<int, int>, Clock::time_point> NextGangWaitEventAt;

  /// Erases what the maps have of the occurrence.
  void forgetOccurrence(int Occurrence);
};

/// Owns the jobs of the shards that this process holds. Acceptance, progress
/// and final state of a job are written to the shard's journal before they are
/// reported to any other process or client. ShardMembership defines the owner
/// and the holder of a shard.
///
/// A term is the time during which one process holds a shard under one epoch.
class JobOwner {
public:
  using JobPointer = std::shared_ptr<OwnedJob>;
  using JournalPointer = std::shared_ptr<ShardJournal>;

  JobOwner(const asio::any_io_executor &Executor, TimerService &Timers,
           StoreClient &Store, EventLog &Events, ShardMap Shards,
           JobOwnerOptions Options);

  void onFenced(std::function<void(int Shard)> Callback) {
    Fenced_ = std::move(Callback);
  }
  /// Sets the callback for a run that has ended, or that its worker rejected.
  /// It is called once for each run that this process took for running.
  void onRunEnded(std::function<void(RunOutcome)> Callback) {
    RunEnded_ = std::move(Callback);
  }
  /// Sets the callback for a reported end that changes nothing: it has been
  /// applied before, or the end of another member of its gang represents it.
  void onEndWithoutEffect(std::function<void()> Callback) {
    EndWithoutEffect_ = std::move(Callback);
  }
  /// Sets the callback for steps that may have become ready.
  void onStepsReady(std::function<void()> Callback) {
    StepsReady_ = std::move(Callback);
  }
  /// Sets the callback for a shard whose journal has been read completely.
  void onShardOpened(std::function<void()> Callback) {
    ShardOpened_ = std::move(Callback);
  }
  /// Sets the callback that receives the workers recorded in a shard's journal.
  void onWorkersRead(
      std::function<void(int Shard, std::vector<WorkerEntry>)> Callback) {
    WorkersRead_ = std::move(Callback);
  }
  /// Sets the callback for a worker whose journal record has been written.
  void onWorkerRecorded(
      std::function<void(int Shard, const std::string &Worker)> Callback) {
    WorkerRecorded_ = std::move(Callback);
  }
  void recordWorker(int Shard, WorkerEntry Entry);
  void deleteWorker(int Shard, const std::string &Worker);
  /// Sets the predicate that tells whether a holder list which was requested
  /// from the store after Since names the member as the shard's holder. A
  /// takeover is completed only with its help.
  void setHolderCheck(std::function<bool(int Shard, const std::string &Member,
                                         Clock::time_point Since)>
                          HolderCheck) {
    HolderCheck_ = std::move(HolderCheck);
  }
  /// Sets the callback for a takeover that needs a new holder list.
  void onHolderListNeeded(std::function<void()> Callback) {
    HolderListNeeded_ = std::move(Callback);
  }
  /// Completes takeovers that were waiting for a new holder list.
  void handleHolderList();

  /// Sets the callback that stops runs.
  void onStopRuns(std::function<void(std::vector<RunId>)> Callback) {
    StopRuns_ = std::move(Callback);
  }

  /// Sets what counts the runs of accounts. It is told of each run from before
  /// its placement until its end is confirmed.
  void setQuota(QuotaAllotment &Quota) { Quota_ = &Quota; }
  /// Counts a run of the job that is about to be placed, or that exists.
  void countRun(const OwnedJob &Job, const RunId &Run);
  /// Records that the run does not exist (any more).
  void uncountRun(const RunId &Run);
  /// Returns the time at which the journal of the owned shard had been read;
  /// nothing before that, or if the shard is not owned.
  [[nodiscard]] std::optional<Clock::time_point> openedAt(int Shard) const;
  /// Returns true if a shard was opened at or after Since, and its takeover is
  /// not complete.
  [[nodiscard]] bool hasTakeoverSince(Clock::time_point Since) const;
  /// Returns the opened shards whose takeover is not complete, and of which the
  /// journal tells what may run.
  [[nodiscard]] std::vector<int> shardsWithInheritedDemand() const;
  /// Tells the quota what inherited runs may use, where that has changed.
  void updateInheritedDemand();

  /// Takes ownership of the shard: sets its epoch and reads its journal.
  void assign(int Shard, std::uint64_t Epoch);
  void revoke(int Shard);

  /// Writes the job to the journal and returns the HTTP status for the caller:
  /// 200 accepted, 413 too long for the store, 503 not accepted and never run,
  /// 504 outcome unknown.
  asio::awaitable<int> submit(JobSpec Spec);
  /// Cancels the job and returns the HTTP status for the caller: 200 cancelled
  /// or already finished, 410 no such job, 503 not possible now, 504 outcome
  /// unknown.
  asio::awaitable<int> cancel(std::string Id);
  /// Returns the job's state as recorded by this process, which may have lost
  /// the shard without having noticed.
  [[nodiscard]] JobStateReply state(const std::string &Id) const;
  /// Returns the job's state for clients. Status 410 (unknown job) is returned
  /// only after this process has confirmed that it still owned the shard when
  /// it was asked, since a later owner may have accepted the job.
  asio::awaitable<JobStateReply> confirmedState(std::string Id);
  /// Records the reported ends of runs. Each is accepted only once the journal
  /// contains its effect.
  asio::awaitable<EndsReply> acceptEnds(EndsRequest Request);

  /// Applies the run reports of a member for the workers that it holds. The
  /// call that it answers was sent at SentAt.
  void applyExchange(const std::string &Member, const ExchangeReply &Reply,
                     Clock::time_point SentAt,
                     const std::function<bool(const RunId &)> &HasPendingOrder);
  /// Returns the resource demands of the runs for which the reply asks for
  /// them.
  [[nodiscard]] std::vector<RunDemand>
  demandsFor(const ExchangeReply &Reply) const;

  /// Discards the ticket of the run's worker, which has rejected it.
  void invalidateTicket(const RunId &Run);
  void markStarted(const RunId &Run);
  /// Records that the holder of the worker has accepted the placement and
  /// will report the end of the run, whether or not it starts.
  void markOrdered(const RunId &Run);
  /// Records that the run never started. Its step is not placed again before
  /// the given time.
  void markRejected(const RunId &Run, Clock::time_point NotBefore);
  /// Records that the members of a gang, at least one, are not started, as
  /// capacity was not reserved for all of them. Until NotBefore, the gang is
  /// not placed again.
  void markNotStarted(const std::vector<RunId> &Members,
                      Clock::time_point NotBefore);

  /// Returns true if this process owns the job's shard and has read its
  /// journal.
  [[nodiscard]] bool isOwnerOf(const std::string &Id) const;
  [[nodiscard]] int shardCount() const { return Map_.count(); }
  /// Returns the owned shards whose journals have been read.
  [[nodiscard]] std::vector<ShardEpoch> heldShards() const;
  /// Returns the epoch of the owned shard; nothing if the shard is not owned.
  [[nodiscard]] std::optional<std::uint64_t> epochOf(int Shard) const;
  /// Returns true if the shard's journal accepted an append that was sent after
  /// Since, which shows that no later owner had opened the shard by then.
  [[nodiscard]] bool isOwnershipConfirmedSince(int Shard,
                                               Clock::time_point Since) const;
  /// Returns when the latest append was sent that the shard's journal accepted
  /// in this term; nothing before the first one, or in another term.
  [[nodiscard]] std::optional<Clock::time_point>
  ownershipConfirmedAt(int Shard, std::uint64_t Epoch) const;
  /// Starts an append to the shard's journal, unless an earlier request is in
  /// flight or the journal has not been read. Its success confirms the
  /// ownership up to the time at which the append was sent.
  void requestOwnershipConfirmation(int Shard);
  /// Appends to the shard's journal. Returns true if the shard had no later
  /// owner when this was called; false if that is not certain.
  asio::awaitable<bool> confirmOwnership(int Shard, std::uint64_t Epoch);
  /// Returns the unfinished jobs of all shards whose journals have been read.
  [[nodiscard]] const std::map<std::string, JobPointer> &activeJobs() const {
    return Active_;
  }
  /// Returns the jobs that have not started, for each owned shard whose journal
  /// has been read. Jobs with repetitions are not counted.
  [[nodiscard]] std::vector<ShardWaitingJobs> waitingJobs() const;
  /// Returns the loads of the accepted jobs by account and priority.
  [[nodiscard]] std::vector<AccountLoad> accountLoads() const;
  /// Returns true if the job is accepted, or its acceptance is pending or of
  /// unknown outcome.
  [[nodiscard]] bool isKnown(const std::string &Id) const {
    return findJob(Id) != nullptr;
  }
  /// Adds occurrences that are due, writes final states that are not stored yet
  /// and deletes finished jobs after FinishedJobRetention.
  void tick();

private:
  /// What is known of the workers of a shard from the reports of its holder.
  struct WorkersReport {
    std::string Member;
    /// The member is the holder, by a list that was requested after the
    /// takeover had begun. Orders of former owners of the job are rejected by
    /// it, and by all later holders.
    bool IsListed = false;
    /// Workers whose runs are not all known, with their capacity; nothing if
    /// that was not reported.
    std::map<std::string, std::optional<Resources>> OutOfReach;
  };
  struct OwnedShard {
    std::uint64_t Epoch = 0;
    JournalPointer Journal;
    bool Ready = false; ///< The journal has been read.
    Clock::time_point ReadyAt{};
    /// Member that has reported all runs on the workers of a shard since
    /// ReadyAt, by shard.
    std::map<int, std::string> Reported;
    /// What has been reported of the workers of a shard since ReadyAt, by
    /// shard.
    std::map<int, WorkersReport> WorkersReports;
    /// A record of a job could not be read.
    bool HasUnreadableJob = false;
    /// What inherited runs may use has changed.
    bool InheritedChanged = false;
    bool Resolved = false;               ///< The takeover is complete.
    Clock::time_point NextWaitEventAt{}; ///< See reportWaitingTakeovers().
    bool Confirming = false; ///< runOwnershipConfirmation() is active.
    std::unordered_map<std::string, JobPointer> Jobs;
  };

  asio::awaitable<void> openShard(int Number, std::uint64_t Epoch);
  void loadRecords(int Number, OwnedShard &Owned,
                   const std::vector<KeyedRecord> &Records);
  /// Adds the job that the record contains. Throws nlohmann::json::exception if
  /// the record is malformed.
  void loadJob(int Number, OwnedShard &Owned, const KeyedRecord &Record);
  void loadProgress(int Number, OwnedShard &Owned, const KeyedRecord &Record);
  void reportUnreadable(int Number, const KeyedRecord &Record,
                        const std::exception &Failure);
  [[nodiscard]] JobPointer findJob(const std::string &Id) const;
  /// Returns the job's shard if it is owned and its journal has been read; else
  /// null.
  OwnedShard *readyShard(const std::string &Id);
  asio::awaitable<JournalOutcome> write(JournalPointer Journal,
                                        std::vector<KeyedRecord> Records);
  /// Records that are written together, and the version of the progress of
  /// each job that they contain.
  struct ProgressWrite {
    std::vector<KeyedRecord> Records;
    std::vector<std::pair<JobPointer, std::uint64_t>> Versions;
    Clock::time_point Deadline{};
  };
  /// Writes the changed progress of the jobs, each of which may be given
  /// several times.
  asio::awaitable<void> writeProgress(JournalPointer Journal,
                                      std::vector<JobPointer> Jobs) {
    return writeProgress(std::move(Journal), std::move(Jobs),
                         Timers_.now() + Options_.WriteTimeout);
  }
  asio::awaitable<void> writeProgress(JournalPointer Journal,
                                      std::vector<JobPointer> Jobs,
                                      Clock::time_point Deadline);
  /// Writes the progress of a job for which mustAwaitPendingWrites() is true.
  asio::awaitable<void> writeAfterPending(JournalPointer Journal,
                                          JobPointer Job,
                                          Clock::time_point Deadline);
  /// Returns the records of the job's progress. A job whose progress is longer
  /// than the store accepts fails, as it could not be continued by a new owner.
  std::vector<KeyedRecord> progressRecords(const ShardJournal &Journal,
                                           const JobPointer &Job);
  asio::awaitable<void> writeTogether(JournalPointer Journal,
                                      ProgressWrite Write);
  /// Ends the job as failed, as its progress can't be stored.
  void failUnstorable(const JobPointer &Job);
  /// Writes the worker's record, retrying until it succeeds or the term ends.
  asio::awaitable<void> writeWorker(int Number, JournalPointer Journal,
                                    WorkerEntry Entry);
  /// Writes records without a value, which delete their keys. The outcome is
  /// ignored.
  asio::awaitable<void> deleteRecords(JournalPointer Journal,
                                      std::vector<KeyedRecord> Records);
  /// Accepts ends of unknown jobs if an append confirms that this process still
  /// owns the shard.
  asio::awaitable<void> confirmUnknownEnds(JournalPointer Journal,
                                           std::vector<KeyedRecord> Records,
                                           std::shared_ptr<bool> Confirmed);
  [[nodiscard]] JournalPointer journalOf(int Number) const;
  /// Returns true if no previous owner can start a task of the job any more,
  /// and this process still owns it in the same term.
  [[nodiscard]] bool isTakeoverComplete(const OwnedJob &Job) const;
  /// Returns true if the journal contains the job's progress and no previous
  /// owner can start a task of the job any more.
  [[nodiscard]] bool isEndSettled(const OwnedJob &Job) const;
  void applyEffect(const JobPointer &Job, const ProgressEffect &Effect);
  /// Records the end of a run. The caller applies the effect.
  [[nodiscard]] ProgressEffect endRun(OwnedJob &Job, const RunId &Run,
                                      RunOutcome Outcome,
                                      const std::string &Checkpoint);
  /// Applies the end of a run and returns its job; null if the job is unknown.
  JobPointer applyEnd(const EndReport &End);
  void suspectRun(const RunReference &Suspect);
  /// Reports that were sent before do not prove the end of the run.
  void confirmRun(const RunId &Run);
  /// Records and stores whether the worker of a run may have crashed.
  void setCrashPossible(const JobPointer &Job, const RunId &Run, bool Possible);
  /// Stores the job's progress without waiting for the end of a run; tick()
  /// tries again if that fails.
  void storeProgress(const JobPointer &Job);
  void applyRunReport(const RunReport &Report);
  /// Adopts a run that is executing on a worker, or stops it.
  void adopt(const JobPointer &Job, const RunId &Run, const RunReport &Report);
  /// Ends the runs as lost that the reply should contain and does not.
  void
  markAbsentRunsLost(const ExchangeReply &Reply, Clock::time_point SentAt,
                     const std::function<bool(const RunId &)> &HasPendingOrder);
  /// Records the shards whose workers the member has reported completely, and
  /// completes takeovers.
  void recordReports(const std::string &Member, const ExchangeReply &Reply,
                     Clock::time_point SentAt);
  /// Completes the takeover of the shard once the holders of all shards have
  /// reported the runs on their workers.
  void resolveIfAllReported(int Number, OwnedShard &Owned);
  /// Applies what the member reports of the workers of a shard.
  void applyWorkersReport(OwnedShard &Owned, int Shard,
                          const std::string &Member,
                          const ExchangeReply &Reply) const;
  /// Records which of the reports are of holders that the store lists.
  void markListedReports(OwnedShard &Owned) const;
  /// Returns the workers of which not all runs are known, with their capacity;
  /// nothing if there may be others, or if they are too many for a report.
  [[nodiscard]] std::optional<std::map<std::string, Resources>>
  workersOutOfReach(const OwnedShard &Owned) const;
  [[nodiscard]] InheritedDemand inheritedDemand(const OwnedShard &Owned) const;
  /// Returns a bound of what runs of the finished job may still use.
  [[nodiscard]] std::optional<Resources>
  stoppingDemand(const OwnedJob &Job) const;
  /// Returns true if the final state in the journal names runs that have ended.
  [[nodiscard]] bool hasOutdatedFinalState(const OwnedJob &Job) const;
  /// Writes an event for each takeover that is not complete after a second,
  /// with what it waits for.
  void reportWaitingTakeovers();
  /// Makes the tasks ready to start again of which no holder has reported a
  /// run.
  void resolveUnknownRuns(int Number, OwnedShard &Owned);
  asio::awaitable<void> runOwnershipConfirmation(int Number,
                                                 std::uint64_t Epoch);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  ShardMap Map_;
  JobOwnerOptions Options_;
  std::function<void(int)> Fenced_;
  std::function<void(RunOutcome)> RunEnded_;
  std::function<void()> EndWithoutEffect_;
  std::function<void()> StepsReady_;
  std::function<void()> ShardOpened_;
  std::function<void(int, std::vector<WorkerEntry>)> WorkersRead_;
  std::function<void(int, const std::string &)> WorkerRecorded_;
  std::function<void(std::vector<RunId>)> StopRuns_;
  std::function<bool(int, const std::string &, Clock::time_point)> HolderCheck_;
  std::function<void()> HolderListNeeded_;
  QuotaAllotment *Quota_ = nullptr;
  std::map<int, OwnedShard> Shards_;
  std::map<std::string, JobPointer> Active_;
};

} // namespace hickory
