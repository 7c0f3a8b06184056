#pragma once

#include "Base/EventLog.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Cell/CrashBlame.h"
#include "Cell/EndNumbers.h"
#include "Cell/PeerMessages.h"
#include "Cell/RunTombstones.h"
#include "Cell/WorkerClient.h"
#include "Cell/WorkerHealth.h"
#include "Work/JobProgress.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

struct WorkerAgentOptions {
  /// The worker kills its runs when no order has extended the lease for this
  /// time.
  std::chrono::milliseconds LeaseDuration{6000};
  /// Longest lease that a worker grants, whatever an order asks for.
  std::chrono::milliseconds MaximumLease{10000};
  /// Lease of a draining worker. It is short, as the worker leaves soon, and
  /// its runs can only be started again once their lease has ended.
  std::chrono::milliseconds DrainingLease{3000};
  /// A lease ends at most this time after the store has last confirmed that the
  /// holder owns the shard. The next holder therefore knows when the leases of
  /// a former one, which may not have noticed its loss, have ended. It is
  /// longer than outages of the store that cost no runs.
  std::chrono::milliseconds OwnershipLease{10000};
  std::chrono::milliseconds HeartbeatWait{1500};
  /// Several heartbeats fit into DrainingLease.
  std::chrono::milliseconds DrainingHeartbeatWait{500};
  /// Time for the answer to a heartbeat.
  std::chrono::milliseconds AnswerTime{1000};
  /// Time for the answer to a probe, a heartbeat without contact. It is short,
  /// as a probe that is lost just before a silent worker answers again uses up
  /// the lease of the worker's runs.
  std::chrono::milliseconds ProbeAnswerTime{300};
  /// One of so many probes has AnswerTime, for workers that answer slowly.
  int PatientProbeInterval = 3;
  std::chrono::milliseconds StartTimeout{700};
  std::chrono::milliseconds StopTimeout{700};
  /// A worker answers a heartbeat at once while it has ends that are not
  /// acknowledged. The agent therefore waits up to this time for the job owners
  /// to accept them before it sends the next heartbeat.
  std::chrono::milliseconds DeliveryWait{100};
  /// The wait doubles up to this time while no end is accepted and the worker
  /// lists no new one.
  std::chrono::milliseconds MaximumDeliveryWait{400};
  /// Delay before an end is delivered again that the owner of its job has not
  /// accepted. It doubles with each attempt, up to the maximum, as the owner
  /// may be busy or waiting for the store.
  std::chrono::milliseconds EndRetryDelay{250};
  std::chrono::milliseconds MaximumEndRetryDelay{2000};
  /// A reservation expires after this time unless its run is started.
  std::chrono::milliseconds ReservationLifetime{3000};
  /// Much longer than an order between instances can be delayed in transit.
  std::chrono::seconds TombstoneLifetime{30};
  /// Pause between two heartbeats, so that several ends arrive in one reply.
  std::chrono::milliseconds HeartbeatPause{15};
};

/// What a later agent of the same worker must continue from in the same term:
/// the worker may have outlived the agent, with the tokens that it has seen and
/// orders that are still in transit.
struct WorkerTermState {
  std::int64_t IncarnationsSeen = 0; ///< Determines the fencing token.
  RunTombstones Tombstones;
};

/// How a reservation has ended.
enum class ReservationEnd {
  Started,  ///< Its run was started.
  Released, ///< The caller released it.
  Expired,
  Lost, ///< The worker has restarted, or its lease has ended.
};

const char *nameOf(ReservationEnd End);

/// Processors of workers, in thousandths, by what they are used for.
struct ProcessorUse {
  std::map<int, std::uint64_t> Running; ///< By the priority of the runs.
  std::uint64_t Reserved = 0;           ///< For members of incomplete gangs.
  std::uint64_t Stopping = 0;
  std::uint64_t Free = 0;
  /// Free on workers that accept no runs, or whose runs fail or are slow.
  std::uint64_t Unusable = 0;
};

/// Manages one worker on behalf of the process that holds the worker's shard:
/// accounts for its capacity, sends it orders, extends its lease and collects
/// the ends of its runs.
///
/// The runs of a worker are read from the worker, never from storage. Until the
/// worker's first reply its runs are unknown (not resolved) and nothing is
/// started on it.
class WorkerAgent : public std::enable_shared_from_this<WorkerAgent> {
public:
  struct Callbacks {
    /// The worker has seen a higher token: there may be a later holder.
    std::function<void()> Fenced;
    std::function<void()>
        EndsChanged; ///< There are new ends or suspects to deliver.
    /// Returns true if the shard had no later holder at the time of the call.
    /// The shard's journal is the proof.
    std::function<asio::awaitable<bool>()> ConfirmOwnership;
    /// Returns when the latest call was sent by which the store has confirmed
    /// that this process owns the shard. Nothing before the shard's journal
    /// refuses the former owner.
    std::function<std::optional<Clock::time_point>()> OwnershipConfirmedAt;
    /// Called when the worker has answered for the first time in this term.
    std::function<void()> Contacted;
    /// Called with the age of a reservation that has ended.
    std::function<void(ReservationEnd, Clock::duration Age)> ReservationEnded;
  };

  WorkerAgent(const asio::any_io_executor &Executor, TimerService &Timers,
              WorkerClient &Client, EventLog &Events, WorkerEntry Entry,
              std::uint64_t Epoch, Callbacks Listener,
              WorkerAgentOptions Options);

  /// Sends heartbeats to the worker until stop() is called.
  asio::awaitable<void> run();
  void stop();

  /// Continues the term of an earlier agent of the worker. To be called before
  /// run().
  void restoreTermState(WorkerTermState State);
  [[nodiscard]] WorkerTermState termState() const {
    return {.IncarnationsSeen = IncarnationsSeen_, .Tombstones = Tombstones_};
  }

  /// Called once the shard's journal refuses the former owner, which may have
  /// granted a lease until then.
  void handleShardOpened() {
    recordExtension(Options_.OwnershipLease);
    FormerLeasesEndBy_ = LeaseEndsBy_;
  }
  /// Called once the shard's journal names the worker, so that the next holder
  /// finds it even if the platform's list lacks it. Nothing is started on the
  /// worker before.
  void markRecorded() { Recorded_ = true; }
  /// Called when the worker is deleted from the shard's journal.
  void markUnrecorded() { Recorded_ = false; }
  /// Called if the shard's journal, which was read, does not name the worker:
  /// no former holder has started anything there.
  void markNeverUsed() { Resolved_ = true; }
  /// Returns true if the worker has answered in this term.
  [[nodiscard]] bool hasAnswered() const { return HasAnswered_; }
  [[nodiscard]] bool isRecorded() const { return Recorded_; }

  /// Applies the worker's entry in the platform's list.
  void update(const WorkerEntry &Entry);
  void markUnlisted();
  [[nodiscard]] bool isListed() const { return Listed_; }
  /// Returns true if the platform no longer lists the worker, and nothing runs
  /// on it or can be started: it has answered in this term, so that it refuses
  /// earlier holders, and the orders of those have expired for any later
  /// incarnation.
  [[nodiscard]] bool hasLeftIdle() const;
  /// Returns true if the platform no longer lists the worker, nothing can run
  /// on it and the job owners have had time to learn that.
  [[nodiscard]] bool isRemovable() const;

  /// Reserves capacity for a run that is started soon. This function and
  /// start() are idempotent by task and run: a repeated order changes nothing,
  /// and an order that was rejected once is always rejected.
  PlaceResult reserve(const PlaceOrder &Order);
  asio::awaitable<PlaceResult> start(PlaceOrder Order);
  /// Stops the run, or prevents it from starting. The end of the run is
  /// reported, except for a run that is only reserved: its reservation is
  /// released without an end.
  void stopRun(const std::string &Task, int Run);
  /// Sets the demand of a run that this process did not start itself.
  void setDemand(const RunDemand &Update);
  /// Stops as many preemptible runs of lower priority as are needed for the
  /// demand to fit. Returns their number: 0 if they would not free enough
  /// capacity.
  int preemptRuns(const Resources &Demand, int Priority);

  [[nodiscard]] WorkerLoad load() const;
  /// Adds what the worker's processors are used for.
  void addUse(ProcessorUse &Use) const;
  /// Returns the load if it has changed since the given time, which is that of
  /// an earlier call.
  [[nodiscard]] std::optional<WorkerLoad>
  loadIfChangedSince(Clock::time_point Since);
  [[nodiscard]] const WorkerEntry &entry() const { return Entry_; }
  /// Appends the runs of the tasks for which the predicate returns true.
  void appendRuns(const std::function<bool(const std::string &Task)> &IsWanted,
                  std::vector<RunReport> &Reports) const;
  /// Returns the ends that the owners of the jobs have not accepted yet.
  [[nodiscard]] std::vector<EndReport> undeliveredEnds() const;
  /// Appends the ends that are due for delivery to the owners of their jobs.
  /// handleEndAccepted() or handleEndNotAccepted() must follow for each; until
  /// then it is not due again.
  void takeDueEnds(std::vector<EndReport> &Reports);
  /// Returns, once, the runs that had just started when contact was lost.
  [[nodiscard]] std::vector<RunReference> takeNewSuspects();
  /// Records that the job's owner has accepted the end, which is then
  /// acknowledged to the worker, so that the worker may drop it.
  void handleEndAccepted(const EndReport &End);
  /// Records that the delivery of the end has failed. It is due again after a
  /// delay.
  void handleEndNotAccepted(const EndReport &End);

private:
  enum class Phase { Reserved, Starting, Running, Stopping, Ended };
  /// Attempts to deliver an end to the owner of its job.
  struct EndDelivery {
    bool InProgress = false;
    Clock::time_point DueAt{};
    std::chrono::milliseconds RetryDelay{0}; ///< After the latest attempt.
  };
  struct TrackedRun {
    Phase State = Phase::Starting;
    Resources Demand;
    bool DemandKnown = false;
    std::chrono::milliseconds Estimated{0}; ///< Run time; 0 if not known.
    bool LongRunning = false;
    bool InGang = false;
    std::string Checkpoint;
    /// When the run was reserved, confirmed as running or, if it is stopping,
    /// confirmed as stopped.
    Clock::time_point ConfirmedAt{};
    bool Confirmed = false;
    RunOutcome Outcome = RunOutcome::Lost;
    std::int64_t EndNumber = 0; ///< 0 if the worker does not list this end.
    int Priority = 0;
    bool Preemptible = false;
    bool NeverOrdered = false; ///< Stopped before its placement arrived.
    bool Begun = false;        ///< The worker has executed the start.
    /// See StartedRun::StartedBy. For a reservation, the time at which it was
    /// made.
    Clock::time_point StartedBy = StartedRun::NotConfirmed;
    bool CrashSuspect = false; ///< See StartedRun::Suspect.
    /// Its outcome if it may have crashed the worker.
    std::optional<RunOutcome> CrashOutcome;
    EndDelivery Delivery; ///< Of its end.
  };
  using RunKey = std::pair<std::string, int>;

  [[nodiscard]] std::int64_t fencingToken() const;
  [[nodiscard]] std::chrono::milliseconds workerClockNow() const;
  /// Returns the end of the lease for an order that is sent now, by the
  /// worker's clock. Nothing if the ownership was not confirmed for so long
  /// that no lease may be granted.
  [[nodiscard]] std::optional<std::chrono::milliseconds> extendLease();
  /// Records that an order that is sent now may extend the lease by Duration.
  void recordExtension(std::chrono::milliseconds Duration);
  /// Returns true if the lease ended at least MinimumAge ago, on the slowest
  /// clock that a worker may have.
  [[nodiscard]] bool
  hasLeaseExpired(std::chrono::milliseconds MinimumAge = {}) const;
  /// Demand of the runs on the worker.
  struct CommittedResources {
    Resources All;
    Resources Lasting;               ///< Of the runs that do not end soon.
    std::uint64_t TaskCpusMilli = 0; ///< See WorkerLoad.
  };
  [[nodiscard]] CommittedResources committedResources() const;

  void applyHeartbeat(const HeartbeatReply &Reply, Clock::time_point SentAt);
  void applyRunning(const RunningTask &Row);
  void applyEnded(const EndedTask &Row);
  void endMissingRuns(const std::set<RunKey> &Listed, Clock::time_point SentAt);
  void setWorkerClock(std::chrono::milliseconds ClockNow);
  /// Ends the runs of the former incarnation. The new one has answered a
  /// heartbeat that was sent at SentAt.
  void handleWorkerRestart(std::int64_t StartedAtMs, Clock::time_point SentAt);
  void endAllRuns(RunOutcome Outcome);
  void endRun(TrackedRun &Tracked, RunOutcome Outcome, std::int64_t Number);
  void markUnreachable(ErrorCode Cause);
  /// Records that the worker, which was reachable, does not answer or is gone.
  void recordLostContact(Clock::time_point AliveUntil);
  /// Marks and returns the runs that may have crashed the worker since contact
  /// was lost. IsCertain: its incarnation is known to have ended.
  std::vector<SuspectRun> suspectRuns(bool IsCertain);
  /// Marks and logs these runs. To be called before the runs of an incarnation
  /// are ended that has not left as planned.
  void blameRunsForCrash(bool IsCertain);
  /// Clears what suspectRuns(false) has marked.
  void clearSuspects();
  [[nodiscard]] static StartedRun startedRun(const RunKey &Key,
                                             const TrackedRun &Tracked);
  /// Returns true if runs of other jobs than ExceptJob must not start here at
  /// present; see mustStartApart().
  [[nodiscard]] bool
  hasJustStartedSuspect(const std::string &ExceptJob = {}) const;
  /// Returns true if the worker accepts orders and its free capacity is known.
  [[nodiscard]] bool isUsable() const;
  /// Returns false if what is said of the incarnation that started at this time
  /// may not hold for the one that answers; 0: not known.
  [[nodiscard]] bool isCurrentIncarnation(std::int64_t StartedAtMs) const;
  /// Returns the time to wait for the answer to the next heartbeat.
  [[nodiscard]] std::chrono::milliseconds answerTime() const;
  /// Reports the worker's runs as lost if the lease has ended and the ownership
  /// of the shard is confirmed: a later holder may have extended the lease.
  /// Nothing else that is seen of a worker out of reach proves that its runs
  /// have ended. Refused: the worker's address refused the connection.
  asio::awaitable<void> handleLeaseExpiry(bool Refused);
  asio::awaitable<void> stopUntilAnswered(RunKey Key);
  /// Handles a refusal for a higher token. Such a token proves no later holder:
  /// only the shard's journal does. While the ownership is confirmed, the
  /// worker has seen a token of this term, so that the next one is tried.
  asio::awaitable<void> resolveFence();
  void updateQuarantine();
  void dropExpiredReservations();
  void reportReservationEnd(const TrackedRun &Reserved,
                            ReservationEnd End) const;
  /// Returns the result for an order that was already accepted.
  [[nodiscard]] std::optional<PlaceResult>
  repeatedResult(const RunKey &Key) const;
  PlaceResult rejectRun(const RunKey &Key, const std::string &Reason);
  [[nodiscard]] std::optional<std::string> findRefusal(const PlaceOrder &Order);
  [[nodiscard]] EndReport endReport(const RunKey &Key,
                                    const TrackedRun &Ended) const;
  /// Waits until all ends are accepted, or until the next heartbeat is due.
  asio::awaitable<void> waitForDelivery();

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  WorkerClient &Client_;
  EventLog &Events_;
  WorkerEntry Entry_;
  std::uint64_t Epoch_;
  Callbacks Listener_;
  WorkerAgentOptions Options_;
  std::map<RunKey, TrackedRun> Runs_;
  RunTombstones Tombstones_;
  EndNumbers EndNumbers_;
  std::int64_t IncarnationsSeen_ = 0;
  std::int64_t StartedAtMs_ = 0;
  std::chrono::milliseconds WorkerClock_{0};
  Clock::time_point WorkerClockReadAt_{};
  /// The lease has ended by then, on the slowest clock that a worker may have.
  Clock::time_point LeaseEndsBy_;
  Clock::time_point FormerLeasesEndBy_; ///< The same of former holders' leases.
  WorkerHealth RunHealth_;
  Notifier AllEndsAccepted_;
  std::chrono::milliseconds DeliveryWait_; ///< Before the next heartbeat.
  int UnansweredHeartbeats_ = 0;           ///< Since the latest contact.
  Clock::time_point LastContactAt_{};
  /// When the latest known incarnation has ended, if it has.
  CrashTime LostAt_;
  std::vector<RunReference> NewSuspects_; ///< Not yet reported.
  WorkerLoad LatestLoad_;                 ///< See loadIfChangedSince().
  Clock::time_point LoadChangedAt_{};
  bool Replaced_ = false; ///< Another worker answers at the address.
  bool WorkerClockKnown_ = false;
  bool LeaseWithheld_ = false; ///< By the latest call of extendLease().
  bool Resolved_ = false;
  bool HasAnswered_ = false;
  bool Reachable_ = false;
  bool AcceptsOrders_ = true; ///< By the worker's latest reply.
  bool Listed_ = true;
  bool Recorded_ = false;
  bool Quarantined_ = false; ///< Its runs fail or take too long.
  bool Stopping_ = false;
};

} // namespace hickory
