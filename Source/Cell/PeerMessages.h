#pragma once

#include "Cell/AccountLoad.h"
#include "Work/JobSpec.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hickory {

/// A shard and the epoch in which its holder acquired it.
struct ShardEpoch {
  int Shard = 0;
  std::uint64_t Epoch = 0;
};

struct PlaceOrder {
  std::string Task;
  int Run = 0;
  std::string Worker;
  Resources Demand;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;
  /// Estimated run time of the task; 0 if the estimate is too rough to judge a
  /// worker by.
  std::int64_t ExpectedMs = 0;
  int Priority = 0; ///< 0 is the most urgent.
  /// The task resumes from a checkpoint, so that stopping it loses little.
  bool Preemptible = false;
  /// Workers have crashed under earlier runs of the task.
  bool CrashSuspect = false;
  /// Rough estimate of the run time of the task; 0 if there is none.
  std::int64_t EstimatedMs = 0;
  bool LongRunning = false; ///< See StepSpec.
  /// Term of the worker's shard in which the order is valid; 0 if the sender
  /// runs an earlier release, whose orders are valid in all terms.
  std::uint64_t HolderEpoch = 0;
  /// Start of the worker's incarnation that the sender chose by its labels and
  /// capacity, as in the worker's entry; 0 if that is not known.
  std::int64_t WorkerStartedAtMs = 0;
};

struct PlaceRequest {
  ShardEpoch Job; ///< Shard of the jobs and the caller's epoch.
  std::vector<PlaceOrder> Orders;
  bool ReserveOnly = false; ///< Only reserves capacity; the starts follow.
};

enum class PlaceStatus {
  Started,
  Reserved, ///< The capacity is reserved for a short time.
  Pending,  ///< The run may start; its end is reported in any case.
  Rejected, ///< The run does not start.
};

struct PlaceResult {
  PlaceStatus Status = PlaceStatus::Rejected;
  std::string Reason;
};

struct WorkerLoad {
  std::string Id;
  Resources Free;
  bool Resolved = false; ///< All runs on the worker are known.
  bool Usable = false;   ///< The worker accepts new runs.
  bool Suspect = false;  ///< Its runs fail or take too long.
  /// Demand of the runs that do not end soon. Earlier releases do not send it.
  Resources Lasting;
  /// Processors, in thousandths, used by runs that are neither most urgent nor
  /// members of a gang. Earlier releases do not send it.
  std::uint64_t TaskCpusMilli = 0;

  bool operator==(const WorkerLoad &) const = default;
};

struct PlaceReply {
  std::vector<PlaceResult> Results; ///< In the order of the request.
  /// Loads of the workers that rejected an order, and of workers of the holder
  /// whose load has changed since it last sent loads to the caller.
  std::vector<WorkerLoad> Loads;
};

struct RunReference {
  std::string Task;
  int Run = 0;
  std::string Worker;
  /// Latest term of the worker's shard that the sender knows.
  std::uint64_t HolderEpoch = 0;
};

struct StopRequest {
  std::vector<RunReference> Runs;
};

struct StopReply {
  /// Workers that the receiver does not hold in the given term or a later one.
  /// Their runs may still start. Empty if the receiver runs an earlier release.
  std::vector<std::string> NotHeld;
};

struct EndReport {
  std::string Task;
  int Run = 0;
  std::string Worker;
  std::string How;
  std::string Checkpoint;
};

struct EndsRequest {
  std::vector<EndReport> Ends;
  /// Loads of the workers that the ends name, and of others; see PlaceReply.
  std::vector<WorkerLoad> Loads;
  /// Runs that had just started when contact with their worker was lost.
  std::vector<RunReference> Suspects;
};

struct EndsReply {
  std::vector<bool> Accepted; ///< In the order of the request.
  /// Epochs in which the ends were accepted. Orders of earlier owners are to be
  /// rejected.
  std::vector<ShardEpoch> Owners;
};

struct RunReport {
  std::string Task;
  int Run = 0;
  std::string Worker;
  std::string Checkpoint;
  bool DemandKnown = true;
  std::string How;   ///< Outcome of an ended run whose end is not accepted yet;
                     ///< else empty.
  bool Begun = true; ///< The worker is known to have executed the start.
  /// The worker does not answer, and may have crashed under the run.
  bool CrashPossible = false;
};

struct RunDemand {
  std::string Task;
  int Run = 0;
  std::string Worker;
  Resources Demand;
  int Priority = 0;
  bool Preemptible = false;
  std::int64_t EstimatedMs = 0; ///< See PlaceOrder.
  bool LongRunning = false;
  bool Gang = false; ///< The run is a member of a gang.
};

/// Capacity that a step needs on a worker.
struct PreemptionNeed {
  std::string Worker;
  Resources Demand;
  int Priority = 0;
};

struct PreemptRequest {
  ShardEpoch Job; ///< Shard of the job and the caller's epoch.
  std::vector<PreemptionNeed> Needs;
};

struct PreemptReply {
  int Stopped = 0; ///< Number of runs that are being stopped.
};

struct HeldShard {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  bool Ready = false; ///< All workers of the shard are known.
};

struct ExchangeRequest {
  std::string Sender;           ///< Address of the sender.
  std::string Member;           ///< See ExchangeReply.
  std::vector<ShardEpoch> Held; ///< Shards whose jobs the sender owns.
  std::vector<RunDemand> Demands;
  bool Leaving = false; ///< The sender has released all its shards, and stops.
};

/// Workers whose capacity is claimed for a waiting gang.
struct ClaimReport {
  std::string Step;
  std::vector<std::string> Workers;
  std::int64_t StartInMs =
      0; ///< Time left until the gang must start to meet its target. An
         ///< hour is added for gangs that are overdue, so that their claims
         ///< rank after all others.
  /// Capacity that the gang needs on each of the workers, in their order.
  /// Earlier releases do not send it, and claim the whole workers.
  std::vector<Resources> Reserved;
};

/// Jobs of an owned shard that have not started.
struct ShardWaitingJobs {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  std::map<std::string, int> Jobs; ///< Number of jobs by queue.
};

struct ExchangeReply {
  /// ADDRESS/INCARNATION, as a later process may use the same address.
  std::string Member;
  std::vector<HeldShard> Held;
  std::vector<WorkerLoad> Workers;
  std::vector<RunReport> Runs; ///< Runs of the sender's jobs.
  /// The owned shards whose journals have been read; empty if the process runs
  /// an earlier release.
  std::vector<ShardWaitingJobs> WaitingJobs;
  std::vector<ClaimReport> Claims;
  /// Those of the sender's shards that have a later owner.
  std::vector<ShardEpoch> Outdated;
  /// Of the process that answers; empty if it runs an earlier release.
  std::string FailureDomain;
  /// Loads of the jobs that the process owns; empty if it uses neither accounts
  /// nor admission control, and in the answer to a process without shards.
  std::vector<AccountLoad> AccountLoads;
  /// Capacity of the workers of which not all runs are known. Earlier releases
  /// do not send it.
  std::map<std::string, Resources> OutOfReach;
  /// Most urgent priority of the process's gangs that have waited for capacity
  /// for a while; -1 if none has. Earlier releases do not send it.
  int WaitingGangPriority = -1;
};

/// Asks a process for the records of the configuration topic that were written
/// at or after an offset.
struct RecordsRequest {
  std::uint64_t From = 0;
  std::int64_t WaitMs = 0; ///< Time to wait for a record.
};

struct RelayedRecord {
  std::string Key;
  std::string Value;
  std::uint64_t Offset = 0;
};

struct RecordsReply {
  /// False if the process may not know the latest records: it does not read
  /// them from the store itself, or its latest read is too long ago.
  bool Current = false;
  std::vector<RelayedRecord> Records;
  std::vector<std::string> Keys; ///< All keys that have a value.
  std::uint64_t NextOffset = 0;  ///< Offset to continue from.
};

struct AdviseRequest {
  std::string Step;
  std::vector<std::string> Workers;
  std::int64_t Milliseconds = 0; ///< Time that the adviser needs for the call.
  bool Urgent = false;
  bool Long = false;
};

struct AdviseReply {
  bool Answered = false; ///< False if the receiver's channel to the adviser
                         ///< accepts no further call, or if the call failed.
  std::vector<std::string> Good;
  std::vector<std::string> Tickets; ///< In the order of Good.
  /// If the call was refused, the time until the channel is expected to be
  /// free.
  std::int64_t FreeInMs = 0;
};

struct RemoveMemberRequest {
  std::string Member; ///< Member of the group that assigns the shards.
  std::int64_t FailingMs =
      0; ///< For how long its calls to the store have failed.
};

struct RemoveMemberReply {
  bool Done = false;
};

/// What the jobs of one account and shard use and need; see QuotaAllotment.
struct AccountUsage {
  std::string Account;
  Resources Used;
  /// Most that the owner may have running: not less than Used.
  Resources Held;
  /// Part of it that was granted under a cap that is not above the present one.
  /// The owner may go on using it while the ledger does not know what exactly
  /// other shards use. Earlier releases do not send it.
  Resources Granted;
  /// Used, beside Used, by runs that former owners of the shard have started;
  /// empty once the takeover of the shard is complete.
  Resources Inherited;
  /// Bound of what further such runs may use, of which none is known.
  Resources Unseen;
  Resources Wanted;
  /// Least amount, beyond Used, with which the step can start that has been
  /// refused longest; empty if no step needs more.
  Resources Minimum;
  int Priority = 0;           ///< Of that step.
  std::int64_t WaitingMs = 0; ///< Since it was first refused.
};

struct ShardUsageReport {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  /// All runs of the shard's jobs are known. Ledgers of earlier releases ignore
  /// other reports.
  bool Resolved = false;
  /// Unseen runs can only be on the workers in OutOfReach.
  bool OutOfReachKnown = false;
  std::map<std::string, Resources> OutOfReach; ///< Capacity by worker.
  std::uint64_t Sequence = 0; ///< Rises with each report in the epoch.
  /// All accounts of the ledger's shard that hold or want anything.
  std::vector<AccountUsage> Accounts;
};

/// Reports to the ledgers of the accounts whose names belong to a shard.
struct LedgerReport {
  int Ledger = 0; ///< Shard of the accounts' names.
  /// Highest epoch of the ledger's shard that the sender knows. The receiver
  /// accepts the reports only if it is its own.
  std::uint64_t Epoch = 0;
  /// Version of the sender's configuration. A ledger with an earlier one grants
  /// nothing, as a cap may have become smaller.
  std::uint64_t Version = 0;
  std::vector<ShardUsageReport> Shards;
};

struct QuotaRequest {
  std::string Sender;
  std::vector<LedgerReport> Ledgers;
};

struct AccountGrant {
  std::string Account;
  /// Most that may be running. If it is less than what was held, nothing more
  /// is started above it.
  Resources Granted;
  bool Refused = false;   ///< It does not suffice for the waiting step.
  bool Contended = false; ///< Another shard waits for an amount.
};

struct ShardGrants {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0; ///< Of the report that is answered.
  /// False if the report had no effect.
  bool Accepted = false;
  std::vector<AccountGrant> Accounts;
};

struct LedgerGrants {
  int Ledger = 0;
  std::uint64_t Epoch = 0; ///< 0 if the receiver does not hold the shard.
  std::vector<ShardGrants> Shards;
};

struct QuotaReply {
  std::vector<LedgerGrants> Ledgers;
};

struct SubmitReply {
  int Status = 503; ///< HTTP status for the client.
  /// The receiver does not hold the shard, or has not read its journal yet.
  bool NotOwner = false;
  /// Set if admission control has rejected the job, which never runs.
  std::int64_t RetryAfterMs = 0;
  std::string Reason;
};

struct JobReference {
  std::string Id;
};

struct JobStateReply {
  int Status = 503;
  std::string State;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardEpoch, Shard, Epoch)
// Fields that earlier releases do not send have defaults.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlaceOrder, Task, Run, Worker,
                                                Demand, Payload, Checkpoint,
                                                Ticket, ExpectedMs, Priority,
                                                Preemptible, CrashSuspect,
                                                EstimatedMs, LongRunning,
                                                HolderEpoch, WorkerStartedAtMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceRequest, Job, Orders, ReserveOnly)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceResult, Status, Reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerLoad, Id, Free, Resolved,
                                                Usable, Suspect, Lasting,
                                                TaskCpusMilli)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceReply, Results, Loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReference, Task, Run, Worker,
                                                HolderEpoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopRequest, Runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopReply, NotHeld)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndReport, Task, Run, Worker, How,
                                   Checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndsRequest, Ends, Loads,
                                                Suspects)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndsReply, Accepted, Owners)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunDemand, Task, Run, Worker,
                                                Demand, Priority, Preemptible,
                                                EstimatedMs, LongRunning, Gang)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptionNeed, Worker, Demand, Priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptRequest, Job, Needs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptReply, Stopped)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeldShard, Shard, Epoch, Ready)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExchangeRequest, Sender, Member, Held,
                                   Demands, Leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimReport, Step, Workers,
                                                StartInMs, Reserved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardWaitingJobs, Shard, Epoch, Jobs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReport, Task, Run, Worker,
                                                Checkpoint, DemandKnown, How,
                                                Begun, CrashPossible)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExchangeReply, Member, Held,
                                                Workers, Runs, WaitingJobs,
                                                Claims, Outdated, FailureDomain,
                                                AccountLoads, OutOfReach,
                                                WaitingGangPriority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordsRequest, From, WaitMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayedRecord, Key, Value, Offset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordsReply, Current, Records, Keys,
                                   NextOffset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdviseRequest, Step, Workers, Milliseconds,
                                   Urgent, Long)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviseReply, Answered, Good,
                                                Tickets, FreeInMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveMemberRequest, Member, FailingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveMemberReply, Done)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountUsage, Account, Used,
                                                Held, Granted, Inherited,
                                                Unseen, Wanted, Minimum,
                                                Priority, WaitingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ShardUsageReport, Shard, Epoch,
                                                Resolved, OutOfReachKnown,
                                                OutOfReach, Sequence, Accounts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LedgerReport, Ledger, Epoch,
                                                Version, Shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QuotaRequest, Sender, Ledgers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountGrant, Account, Granted,
                                                Refused, Contended)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ShardGrants, Shard, Epoch,
                                                Sequence, Accepted, Accounts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LedgerGrants, Ledger, Epoch,
                                                Shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QuotaReply, Ledgers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitReply, Status, NotOwner,
                                                RetryAfterMs, Reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobReference, Id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStateReply, Status, State)

} // namespace hickory
