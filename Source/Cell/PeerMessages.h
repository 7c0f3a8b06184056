#pragma once

#include "Work/JobSpec.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hickory {

/// A shard and the epoch in which its holder received it.
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
  /// Estimated time of the task; 0 if it is too rough to judge a worker by.
  std::int64_t ExpectedMs = 0;
  int Priority = 0; ///< 0 comes first.
  /// The task resumes from a checkpoint, so that stopping it loses little.
  bool Preemptible = false;
};

struct PlaceRequest {
  ShardEpoch Job; ///< Shard of the jobs, as the caller holds it.
  std::vector<PlaceOrder> Orders;
  bool ReserveOnly = false; ///< Commits the room; the starts follow.
};

enum class PlaceStatus {
  Started,
  Reserved, ///< The room is kept for a short time.
  Pending,  ///< It may start; its end will be reported in any case.
  Rejected, ///< It does not run.
};

struct PlaceResult {
  PlaceStatus Status = PlaceStatus::Rejected;
  std::string Reason;
};

struct WorkerLoad {
  std::string Id;
  Resources Free;
  bool Resolved = false; ///< Everything that runs there is known.
  bool Usable = false;   ///< Takes new work.
  bool Suspect = false;  ///< Its runs fail, or take too long.
};

struct PlaceReply {
  std::vector<PlaceResult> Results; ///< In the order of the request.
  std::vector<WorkerLoad> Loads;    ///< Of the workers that took no order.
};

struct RunReference {
  std::string Task;
  int Run = 0;
  std::string Worker;
};

struct StopRequest {
  std::vector<RunReference> Runs;
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
  std::vector<WorkerLoad> Loads; ///< Of the workers that the ends name.
};

struct EndsReply {
  std::vector<bool> Accepted; ///< In the order of the request.
  /// Terms in which they were accepted: earlier owners may order no more.
  std::vector<ShardEpoch> Owners;
};

struct RunReport {
  std::string Task;
  int Run = 0;
  std::string Worker;
  std::string Checkpoint;
  bool DemandKnown = true;
  std::string How; ///< Of an end that is not yet accepted; else empty.
};

struct RunDemand {
  std::string Task;
  int Run = 0;
  std::string Worker;
  Resources Demand;
  int Priority = 0;
  bool Preemptible = false;
};

/// Room that a step needs on a worker.
struct PreemptionNeed {
  std::string Worker;
  Resources Demand;
  int Priority = 0;
};

struct PreemptRequest {
  ShardEpoch Job; ///< Shard of the job, as the caller holds it.
  std::vector<PreemptionNeed> Needs;
};

struct PreemptReply {
  int Stopped = 0; ///< Runs that were told to stop.
};

struct HeldShard {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  bool Ready = false; ///< Its workers are listed.
};

struct ExchangeRequest {
  std::string Sender;           ///< Address.
  std::string Member;           ///< See ExchangeReply.
  std::vector<ShardEpoch> Held; ///< Shards of jobs of the sender.
  std::vector<RunDemand> Demands;
  bool Leaving = false; ///< The sender has just given all shards up.
};

/// Room that a waiting gang collects.
struct ClaimReport {
  std::string Step;
  std::vector<std::string> Workers;
  std::int64_t StartInMs = 0; ///< Until the gang must start to be in time.
};

struct ExchangeReply {
  /// ADDRESS/INCARNATION: another process may be at the address later.
  std::string Member;
  std::vector<HeldShard> Held;
  std::vector<WorkerLoad> Workers;
  std::vector<RunReport> Runs;        ///< Of the sender's jobs.
  std::map<std::string, int> Waiting; ///< Jobs not begun, by queue.
  bool WaitingKnown = false; ///< The journals of all held shards are read.
  std::vector<ClaimReport> Claims;
  /// Shards of jobs that the sender named, and that have a later owner.
  std::vector<ShardEpoch> Outdated;
};

struct AdviseRequest {
  std::string Step;
  std::vector<std::string> Workers;
  std::int64_t Milliseconds = 0; ///< That the adviser needs for the call.
  bool Urgent = false;
  bool Long = false;
};

struct AdviseReply {
  bool Answered = false; ///< False if the receiver's line is taken.
  std::vector<std::string> Good;
  std::vector<std::string> Tickets; ///< In the order of Good.
};

struct RemoveMemberRequest {
  std::string Member;         ///< Of the group that deals the shards.
  std::int64_t FailingMs = 0; ///< Since when its calls to the store fail.
};

struct RemoveMemberReply {
  bool Done = false;
};

struct SubmitReply {
  int Status = 503; ///< HTTP status for the caller.
  /// The receiver does not hold the shard, or has not read its journal yet.
  bool NotOwner = false;
};

struct JobReference {
  std::string Id;
};

struct JobStateReply {
  int Status = 503;
  std::string State;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardEpoch, Shard, Epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceOrder, Task, Run, Worker, Demand,
                                   Payload, Checkpoint, Ticket, ExpectedMs,
                                   Priority, Preemptible)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceRequest, Job, Orders, ReserveOnly)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceResult, Status, Reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerLoad, Id, Free, Resolved, Usable,
                                   Suspect)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceReply, Results, Loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunReference, Task, Run, Worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopRequest, Runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndReport, Task, Run, Worker, How,
                                   Checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndsRequest, Ends, Loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndsReply, Accepted, Owners)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunReport, Task, Run, Worker, Checkpoint,
                                   DemandKnown, How)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunDemand, Task, Run, Worker, Demand,
                                   Priority, Preemptible)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptionNeed, Worker, Demand, Priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptRequest, Job, Needs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PreemptReply, Stopped)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeldShard, Shard, Epoch, Ready)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExchangeRequest, Sender, Member, Held,
                                   Demands, Leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimReport, Step, Workers, StartInMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExchangeReply, Member, Held, Workers, Runs,
                                   Waiting, WaitingKnown, Claims, Outdated)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdviseRequest, Step, Workers, Milliseconds,
                                   Urgent, Long)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdviseReply, Answered, Good, Tickets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveMemberRequest, Member, FailingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveMemberReply, Done)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitReply, Status, NotOwner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobReference, Id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStateReply, Status, State)

} // namespace hickory
