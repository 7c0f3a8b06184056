#pragma once

#include "Base/EventLog.h"
#include "Cell/PeerMessages.h"
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
  /// How long the state of a finished job can be read.
  std::chrono::seconds KeepFinished{150};
  /// How long a call waits for the journal.
  std::chrono::milliseconds WriteLimit{1200};
  std::size_t MaximumJobsPerShard = 20000;
};

/// A job of a shard that this process holds.
struct OwnedJob {
  OwnedJob(JobSpec Spec, std::shared_ptr<ShardJournal> Journal)
      : Progress(std::move(Spec)), Journal(std::move(Journal)) {}
  JobProgress Progress;
  /// Of the term in which this object was made: in a later term of the same
  /// process, what is known here may be out of date.
  std::shared_ptr<ShardJournal> Journal;
  Clock::time_point AcceptedAt{};
  Clock::time_point FinishedAt{};
  int Shard = 0;
  bool Accepted = false;      ///< The journal has it.
  int Submitting = 0;         ///< Calls that wait for the journal.
  bool MayBeStored = false;   ///< A submission had no definite outcome.
  bool FinishWritten = false; ///< The journal has its final state.
  std::uint64_t Version = 0;  ///< Counts changes that must be stored.
  std::uint64_t WrittenVersion = 0;
  /// By occurrence and step.
  std::map<std::pair<int, int>, StepAdvice> Advice;
  std::map<std::pair<int, int>, Clock::time_point> NotBefore;
  /// When others may be asked again to make room for a step.
  std::map<std::pair<int, int>, Clock::time_point> MakeRoomAt;
};

/// Keeps the jobs of the shards that this process holds: acceptance, progress
/// and final state, each in the shard's journal before anybody relies on it.
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
  /// Steps may have become ready.
  void onStepsReady(std::function<void()> Callback) {
    Work_ = std::move(Callback);
  }
  /// The journal of a shard was read.
  void onShardOpened(std::function<void()> Callback) {
    Opened_ = std::move(Callback);
  }
  /// The workers that the journal of a shard names.
  void onWorkersRead(
      std::function<void(int Shard, std::vector<WorkerEntry>)> Callback) {
    WorkersRead_ = std::move(Callback);
  }
  /// A worker of the shard is in the journal now.
  void onWorkerRecorded(
      std::function<void(int Shard, const std::string &Worker)> Callback) {
    WorkerRecorded_ = std::move(Callback);
  }
  void recordWorker(int Shard, WorkerEntry Entry);
  void deleteWorker(int Shard, const std::string &Worker);
  /// Tells whether the store, asked after that time, named the member as the
  /// holder of the shard. Without it, takeovers do not end.
  void setHolderCheck(std::function<bool(int Shard, const std::string &Member,
                                         Clock::time_point Since)>
                          Listed) {
    Listed_ = std::move(Listed);
  }
  /// A takeover waits for the store to list the holders.
  void onHolderListNeeded(std::function<void()> Callback) {
    HoldersNeeded_ = std::move(Callback);
  }
  /// The store has listed the holders.
  void handleHolderList();

  /// These runs must be stopped.
  void onStopRuns(std::function<void(std::vector<RunId>)> Callback) {
    Stop_ = std::move(Callback);
  }

  void assign(int Shard, std::uint64_t Epoch);
  void revoke(int Shard);

  /// Returns the HTTP status for the caller.
  asio::awaitable<int> submit(JobSpec Spec);
  asio::awaitable<int> cancel(std::string Id);
  /// The state as far as this process knows.
  [[nodiscard]] JobStateReply state(const std::string &Id) const;
  /// The same for callers: a job is called unknown only by an owner that had no
  /// successor when it was asked, as that one may have accepted the job.
  asio::awaitable<JobStateReply> confirmedState(std::string Id);
  asio::awaitable<EndsReply> acceptEnds(EndsRequest Request);

  /// What a member says of the workers that it holds, in answer to a call that
  /// was sent at SentAt.
  void applyExchange(const std::string &Member, const ExchangeReply &Reply,
                     Clock::time_point SentAt,
                     const std::function<bool(const RunId &)> &Ordering);
  /// Demands that the worker owner asked for in that answer.
  [[nodiscard]] std::vector<RunDemand>
  demandsFor(const ExchangeReply &Reply) const;

  /// The worker did not take the ticket that it was started with.
  void dropTicket(const RunId &Run);
  void started(const RunId &Run);
  /// Its worker's holder has the order and reports its end in any case.
  void ordered(const RunId &Run);
  /// The run never started. Its step may be tried again at the given time.
  void rejected(const RunId &Run, Clock::time_point NotBefore);

  /// True if jobs with this id can be accepted here now.
  [[nodiscard]] bool isOwnerOf(const std::string &Id) const;
  [[nodiscard]] int shardCount() const { return Map_.count(); }
  [[nodiscard]] std::vector<ShardEpoch> heldShards() const;
  [[nodiscard]] std::optional<std::uint64_t> epochOf(int Shard) const;
  /// True if the shard's journal accepted an append that was sent after that
  /// time: no later owner had opened the shard then.
  [[nodiscard]] bool isOwnershipConfirmedSince(int Shard,
                                               Clock::time_point Since) const;
  /// Appends to the shard's journal, so that isOwnershipConfirmedSince() will
  /// hold.
  void requestOwnershipConfirmation(int Shard);
  /// True if the shard had no later owner when this was called.
  asio::awaitable<bool> confirmOwnership(int Shard, std::uint64_t Epoch);
  /// Unfinished jobs of all shards whose journal was read.
  [[nodiscard]] const std::map<std::string, JobPointer> &activeJobs() const {
    return Active_;
  }
  [[nodiscard]] std::map<std::string, int> waitingJobs() const;
  [[nodiscard]] bool isWaitingKnown() const;
  /// Makes due occurrences and forgets jobs that finished long ago.
  void tick();

private:
  struct Shard {
    std::uint64_t Epoch = 0;
    JournalPointer Journal;
    bool Ready = false;
    Clock::time_point ReadyAt{};
    /// Members that reported all runs on the workers of a shard since.
    std::map<int, std::string> Reported;
    bool Resolved = false;
    bool Proving = false;
    std::unordered_map<std::string, JobPointer> Jobs;
  };

  asio::awaitable<void> open(int Number, std::uint64_t Epoch);
  void load(int Number, Shard &Owner, const std::vector<KeyedRecord> &Records);
  [[nodiscard]] JobPointer findJob(const std::string &Id) const;
  Shard *readyShard(const std::string &Id);
  asio::awaitable<JournalOutcome> write(JournalPointer Journal,
                                        std::vector<KeyedRecord> Records);
  asio::awaitable<void> flush(JournalPointer Journal,
                              std::vector<JobPointer> Jobs);
  asio::awaitable<void> writeWorker(int Number, JournalPointer Journal,
                                    WorkerEntry Entry);
  asio::awaitable<void> forget(JournalPointer Journal,
                               std::vector<KeyedRecord> Records);
  /// Ends of jobs that are not known here are accepted only by the current
  /// owner of the shard, which an append proves.
  asio::awaitable<void> confirmUnknown(JournalPointer Journal,
                                       std::vector<KeyedRecord> Records,
                                       std::shared_ptr<bool> Confirmed);
  [[nodiscard]] JournalPointer journalOf(int Number) const;
  void applyEffect(const JobPointer &Job, const ProgressEffect &Effect);
  /// Returns the job of the end; null if it is not known.
  JobPointer applyEnd(const EndReport &End);
  void applyRunReport(const RunReport &Report);
  /// The run goes on somewhere; it is kept or stopped.
  void adopt(const JobPointer &Job, const RunId &Run,
             const std::string &Checkpoint);
  void endAbsent(const ExchangeReply &Reply, Clock::time_point SentAt,
                 const std::function<bool(const RunId &)> &Ordering);
  void noteReported(const std::string &Member, const ExchangeReply &Reply,
                    Clock::time_point SentAt);
  /// Ends the takeover once the holders of all shards have reported.
  void resolveIfReported(Shard &Owner);
  void resolve(Shard &Owner);
  asio::awaitable<void> appendProof(int Number, std::uint64_t Epoch);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  StoreClient &Store_;
  EventLog &Events_;
  ShardMap Map_;
  JobOwnerOptions Options_;
  std::function<void(int)> Fenced_;
  std::function<void()> Work_;
  std::function<void()> Opened_;
  std::function<void(int, std::vector<WorkerEntry>)> WorkersRead_;
  std::function<void(int, const std::string &)> WorkerRecorded_;
  std::function<void(std::vector<RunId>)> Stop_;
  std::function<bool(int, const std::string &, Clock::time_point)> Listed_;
  std::function<void()> HoldersNeeded_;
  std::map<int, Shard> Shards_;
  std::map<std::string, JobPointer> Active_;
};

} // namespace hickory
