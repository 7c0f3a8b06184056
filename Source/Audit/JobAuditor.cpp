#include "Audit/JobAuditor.h"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>
#include <tuple>

namespace hickory {

namespace {

using google::protobuf::util::MessageDifferencer;

const char *outcomeName(records::OutcomeKind Kind) {
  switch (Kind) {
  case records::OUTCOME_PENDING:
    return "pending";
  case records::OUTCOME_COMPLETED:
    return "completed";
  case records::OUTCOME_FAILED:
    return "failed";
  case records::OUTCOME_NOT_RUN:
    return "not run";
  case records::OUTCOME_UNKNOWN:
    return "unknown";
  case records::OUTCOME_CANCELLED:
    return "cancelled";
  default:
    return "undefined";
  }
}

/// Returns true if the attempt may have run on its worker.
bool mayHaveRun(const records::TaskEnded &Ended) {
  return Ended.outcome() != records::OUTCOME_NOT_RUN;
}

/// Returns true if the attempt certainly ran on its worker.
bool hasRun(const records::TaskEnded &Ended) {
  return Ended.outcome() == records::OUTCOME_COMPLETED ||
         (Ended.outcome() == records::OUTCOME_FAILED && Ended.held_ms() > 0);
}

std::string taskName(const std::string &Key, std::uint32_t Task) {
  return fmt::format("{}#{}", Key, Task);
}

} // namespace

JobAuditor::JobAuditor(std::string Stream, bool Partial, AuditReport &Report)
    : Stream_(std::move(Stream)), Partial_(Partial), Report_(Report) {}

void JobAuditor::loadSnapshot(const records::DomainSnapshot &Snapshot,
                              const std::set<std::uint64_t> &ExpiredInStream) {
  SnapshotCoveredOffset_ = Snapshot.covers();
  // If the expiry of an expired incarnation is not in the retained stream, it
  // precedes the first retained entry, so that all retained records of the
  // incarnation are ignored.
  for (const auto &Member : Snapshot.members())
    if (Member.expired() && !ExpiredInStream.contains(Member.incarnation()))
      ExpiredIncarnations_.insert(Member.incarnation());
  for (const auto &SavedJob : Snapshot.jobs()) {
    const std::string &Key = SavedJob.has_accepted() ? SavedJob.accepted().key()
                             : SavedJob.has_intent() ? SavedJob.intent().key()
                                                     : SavedJob.outcome().key();
    JobState &Job = Jobs_[Key];
    if (SavedJob.has_accepted())
      Job.Accepted = SavedJob.accepted();
    for (const records::Assign &Assigned : SavedJob.assigns())
      Job.Tasks[Assigned.task()][Assigned.attempt()].Assigned = Assigned;
    for (const records::TaskEnded &Ended : SavedJob.ended())
      Job.Tasks[Ended.task()][Ended.attempt()].Ended = Ended;
    if (SavedJob.has_intent())
      Job.FirstIntent = SavedJob.intent();
    if (SavedJob.has_outcome() &&
        SavedJob.outcome().outcome() != records::OUTCOME_PENDING)
      Job.Outcome = SavedJob.outcome();
    Job.Cancelled = SavedJob.cancelled();
  }
}

void JobAuditor::applyBatch(std::uint64_t Offset,
                            const records::RecordBatch &Batch) {
  const bool InSnapshot =
      SnapshotCoveredOffset_ && Offset <= *SnapshotCoveredOffset_;
  for (const records::Record &Record : Batch.records()) {
    // Records of an incarnation after its Expire record are ignored.
    if (ExpiredIncarnations_.contains(Batch.incarnation()))
      return;
    if (Record.has_task_ended()) {
      const records::TaskEnded &Ended = Record.task_ended();
      if (EndedAttemptIds_.emplace(Ended.key(), Ended.task(), Ended.attempt())
              .second)
        EndedAttempts_.push_back({Ended, Batch.wall_time_ms()});
    }
    applyMembership(Offset, Batch.incarnation(), Record);
    if (InSnapshot)
      continue;
    if (Record.has_job_accepted())
      applyAccepted(Offset, Record.job_accepted());
    else if (Record.has_assign())
      applyAssign(Offset, Record.assign());
    else if (Record.has_task_ended())
      applyEnded(Offset, Record.task_ended());
    else if (Record.has_intent())
      applyIntent(Offset, Record.intent());
    else if (Record.has_outcome())
      applyOutcome(Offset, Record.outcome());
    else if (Record.has_job_cancelled())
      Jobs_[Record.job_cancelled().key()].Cancelled = true;
    else if (Record.has_domain_snapshot())
      checkSnapshot(Offset, Record.domain_snapshot());
  }
}

void JobAuditor::applyMembership(std::uint64_t Offset, std::uint64_t Writer,
                                 const records::Record &Record) {
  if (Record.has_heartbeat())
    LastHeartbeatOffset_[Record.heartbeat().incarnation()] = Offset;
  else if (Record.has_join())
    LastHeartbeatOffset_[Record.join().incarnation()] = Offset;
  else if (Record.has_expire()) {
    const records::Expire &Expire = Record.expire();
    const auto LastHeartbeat = LastHeartbeatOffset_.find(Expire.incarnation());
    if (Expire.incarnation() != Writer &&
        (LastHeartbeat == LastHeartbeatOffset_.end() ||
         LastHeartbeat->second <= Expire.based_on()))
      ExpiredIncarnations_.insert(Expire.incarnation());
  }
}

void JobAuditor::applyAccepted(std::uint64_t Offset,
                               const records::JobAccepted &Record) {
  JobState &Job = Jobs_[Record.key()];
  if (!Job.Accepted) {
    Job.Accepted = Record;
    Job.AcceptedOffset = Offset;
  } else if (!MessageDifferencer::Equals(*Job.Accepted, Record))
    addFinding(Offset, fmt::format("job {}: accepted a second time with other "
                                   "content; first at offset {}",
                                   Record.key(), Job.AcceptedOffset));
}

void JobAuditor::applyAssign(std::uint64_t Offset,
                             const records::Assign &Record) {
  JobState &Job = Jobs_[Record.key()];
  const std::string Name = taskName(Record.key(), Record.task());
  if (!Job.Accepted && !Partial_)
    addFinding(Offset, fmt::format("task {}: assigned, but the job was never "
                                   "accepted",
                                   Name));
  auto &Attempts = Job.Tasks[Record.task()];
  const bool NonRepeatable = Job.Accepted && Job.Accepted->non_repeatable();
  for (const auto &[OtherNumber, OtherAttempt] : Attempts) {
    if (OtherNumber == Record.attempt())
      continue;
    if (OtherAttempt.Ended &&
        OtherAttempt.Ended->outcome() == records::OUTCOME_COMPLETED)
      addFinding(Offset,
                 fmt::format("task {}: attempt {} was assigned after attempt "
                             "{} completed at offset {}",
                             Name, Record.attempt(), OtherNumber,
                             OtherAttempt.EndedOffset));
    else if (NonRepeatable &&
             !(OtherAttempt.Ended && !mayHaveRun(*OtherAttempt.Ended)))
      addFinding(Offset,
                 fmt::format("task {}: non-repeatable, but attempt {} was "
                             "assigned although attempt {} may have run",
                             Name, Record.attempt(), OtherNumber));
    else if (!OtherAttempt.Ended && OtherNumber < Record.attempt())
      addNote(Offset,
              fmt::format("task {}: attempt {} was assigned without an "
                          "end record of attempt {}; this is correct only if "
                          "the lease of that attempt expired",
                          Name, Record.attempt(), OtherNumber));
  }
  AttemptState &Attempt = Attempts[Record.attempt()];
  if (Attempt.Assigned && Attempt.Assigned->rack() != Record.rack())
    addFinding(Offset,
               fmt::format("task {}: attempt {} was assigned to rack {} and "
                           "to rack {}; it may run in two places",
                           Name, Record.attempt(), Attempt.Assigned->rack(),
                           Record.rack()));
  if (!Attempt.Assigned) {
    Attempt.Assigned = Record;
    Attempt.AssignedOffset = Offset;
  }
}

void JobAuditor::applyEnded(std::uint64_t Offset,
                            const records::TaskEnded &Record) {
  JobState &Job = Jobs_[Record.key()];
  const std::string Name = taskName(Record.key(), Record.task());
  if (!Job.Accepted && !Partial_)
    addFinding(
        Offset,
        fmt::format("task {}: ended, but the job was never accepted", Name));
  if (Job.Accepted && !Record.member().empty() &&
      Record.member() != Job.Accepted->member())
    addFinding(Offset,
               fmt::format("task {}: charged to member {}, but the job is of "
                           "member {}",
                           Name, Record.member(), Job.Accepted->member()));
  if (Record.held_ms() < 0)
    addFinding(Offset, fmt::format("task {}: held its resources for {} ms",
                                   Name, Record.held_ms()));
  auto &Attempts = Job.Tasks[Record.task()];
  AttemptState &Attempt = Attempts[Record.attempt()];
  if (!Attempt.Assigned && !Partial_ && Job.Accepted && hasRun(Record))
    addFinding(Offset,
               fmt::format("task {}: attempt {} ran, but was never assigned",
                           Name, Record.attempt()));
  if (Attempt.Ended) {
    if (hasRun(*Attempt.Ended) && hasRun(Record) &&
        Attempt.Ended->worker() != Record.worker())
      addFinding(Offset,
                 fmt::format("task {}: attempt {} ran on worker {} and on "
                             "worker {}",
                             Name, Record.attempt(), Attempt.Ended->worker(),
                             Record.worker()));
    return;
  }
  Attempt.Ended = Record;
  Attempt.EndedOffset = Offset;
  const bool NonRepeatable = Job.Accepted && Job.Accepted->non_repeatable();
  for (const auto &[OtherNumber, OtherAttempt] : Attempts) {
    if (OtherNumber == Record.attempt() || !OtherAttempt.Ended)
      continue;
    if (NonRepeatable && hasRun(*OtherAttempt.Ended) && hasRun(Record))
      addFinding(Offset,
                 fmt::format("task {}: non-repeatable, but attempts {} and "
                             "{} both ran",
                             Name, OtherNumber, Record.attempt()));
    else if (OtherAttempt.Ended->outcome() == records::OUTCOME_COMPLETED &&
             Record.outcome() == records::OUTCOME_COMPLETED)
      addNote(Offset, fmt::format("task {}: attempts {} and {} both completed; "
                                  "the report of one was late",
                                  Name, OtherNumber, Record.attempt()));
  }
  if (Job.Outcome && Job.Outcome->outcome() == records::OUTCOME_NOT_RUN &&
      hasRun(Record))
    addFinding(
        Offset,
        fmt::format("task {}: ran, but the outcome of the job is not run",
                    Name));
}

void JobAuditor::applyIntent(std::uint64_t Offset,
                             const records::Intent &Record) {
  JobState &Job = Jobs_[Record.key()];
  if (!Job.FirstIntent) {
    Job.FirstIntent = Record;
    return;
  }
  // Only the first intent in the log may be dispatched. A later intent for the
  // same attempt comes from an instance that lost the race and did not
  // dispatch the request.
  if (Job.FirstIntent->attempt() != Record.attempt())
    addFinding(Offset,
               fmt::format("key {}: non-repeatable, but has an intent for "
                           "attempt {} (executor {}) after the one for "
                           "attempt {} (executor {})",
                           Record.key(), Record.attempt(), Record.executor(),
                           Job.FirstIntent->attempt(),
                           Job.FirstIntent->executor()));
  else if (!MessageDifferencer::Equals(*Job.FirstIntent, Record))
    addNote(Offset, fmt::format("key {}: a second intent for attempt {} was "
                                "written; this is correct only if it was not "
                                "dispatched",
                                Record.key(), Record.attempt()));
}

void JobAuditor::applyOutcome(std::uint64_t Offset,
                              const records::Outcome &Record) {
  if (Record.outcome() == records::OUTCOME_PENDING)
    return;
  JobState &Job = Jobs_[Record.key()];
  if (Job.Outcome && Job.Outcome->outcome() != Record.outcome() &&
      Job.Outcome->outcome() != records::OUTCOME_UNKNOWN) {
    addFinding(Offset,
               fmt::format("key {}: the outcome is {}, but was {} before",
                           Record.key(), outcomeName(Record.outcome()),
                           outcomeName(Job.Outcome->outcome())));
    return;
  }
  Job.Outcome = Record;
  if (Record.outcome() == records::OUTCOME_COMPLETED && Job.Accepted &&
      Job.Accepted->tasks() > 0 && !Partial_ && !hasCompletedAllTasks(Job))
    addFinding(
        Offset,
        fmt::format("job {}: the outcome is completed, but not all of its "
                    "{} tasks are",
                    Record.key(), Job.Accepted->tasks()));
  if (Record.outcome() == records::OUTCOME_NOT_RUN)
    for (const auto &[Task, Attempts] : Job.Tasks)
      for (const auto &[Number, Attempt] : Attempts)
        if (Attempt.Ended && hasRun(*Attempt.Ended))
          addFinding(
              Offset,
              fmt::format("job {}: the outcome is not run, but attempt {} "
                          "of task {} ran",
                          Record.key(), Number, Task));
}

void JobAuditor::checkSnapshot(std::uint64_t Offset,
                               const records::DomainSnapshot &Snapshot) {
  // After retention deletes the records before a snapshot, only the snapshot
  // remains. Jobs that it omits or changes would be lost.
  std::map<std::string, const records::DomainSnapshot::Job *> SavedJobs;
  for (const auto &Job : Snapshot.jobs())
    if (Job.has_accepted())
      SavedJobs.emplace(Job.accepted().key(), &Job);
  for (const auto &[Key, Job] : Jobs_) {
    if (!Job.Accepted || Job.AcceptedOffset > Snapshot.covers())
      continue;
    const auto It = SavedJobs.find(Key);
    if (It == SavedJobs.end()) {
      if (determineOutcome(Job) == records::OUTCOME_PENDING)
        addFinding(Offset,
                   fmt::format("the snapshot omits the pending job {}", Key));
      continue;
    }
    if (!MessageDifferencer::Equals(*Job.Accepted, It->second->accepted()))
      addFinding(
          Offset,
          fmt::format("the snapshot has job {} with other content", Key));
    const records::OutcomeKind Kind = It->second->outcome().outcome();
    if (It->second->has_outcome() && Kind != records::OUTCOME_PENDING &&
        Kind != records::OUTCOME_UNKNOWN && Job.Outcome &&
        Job.Outcome->outcome() != Kind)
      addFinding(Offset,
                 fmt::format("the snapshot has job {} with outcome {}, but its "
                             "outcome record has {}",
                             Key, outcomeName(Kind),
                             outcomeName(Job.Outcome->outcome())));
  }
  if (Partial_)
    return;
  for (const auto &[Key, Job] : SavedJobs)
    if (const auto It = Jobs_.find(Key);
        It == Jobs_.end() || !It->second.Accepted)
      addFinding(Offset, fmt::format("the snapshot has job {}, which was never "
                                     "accepted",
                                     Key));
}

bool JobAuditor::hasCompletedAllTasks(const JobState &Job) const {
  for (std::uint32_t Task = 0; Task < Job.Accepted->tasks(); ++Task) {
    const auto It = Job.Tasks.find(Task);
    if (It == Job.Tasks.end())
      return false;
    bool Completed = false;
    for (const auto &[Number, Attempt] : It->second)
      Completed =
          Completed || (Attempt.Ended &&
                        Attempt.Ended->outcome() == records::OUTCOME_COMPLETED);
    if (!Completed)
      return false;
  }
  return true;
}

records::OutcomeKind JobAuditor::determineOutcome(const JobState &Job) const {
  if (Job.Outcome)
    return Job.Outcome->outcome();
  if (Job.Accepted && Job.Accepted->tasks() > 0 && hasCompletedAllTasks(Job))
    return records::OUTCOME_COMPLETED;
  if (!Job.Cancelled)
    return records::OUTCOME_PENDING;
  for (const auto &[Task, Attempts] : Job.Tasks)
    for (const auto &[Number, Attempt] : Attempts)
      if (!Attempt.Ended)
        return records::OUTCOME_PENDING;
  return records::OUTCOME_CANCELLED;
}

std::string JobAuditor::findTeam(const std::string &Key) const {
  const auto It = Jobs_.find(Key);
  return It != Jobs_.end() && It->second.Accepted ? It->second.Accepted->team()
                                                  : std::string();
}

std::vector<std::string> JobAuditor::acceptedKeys() const {
  std::vector<std::string> Keys;
  for (const auto &[Key, Job] : Jobs_)
    if (Job.Accepted)
      Keys.push_back(Key);
  return Keys;
}

void JobAuditor::addJobCounts() {
  AuditReport::JobCounts &Counts = Report_.Jobs;
  for (const auto &[Key, Job] : Jobs_) {
    if (!Job.Accepted)
      continue;
    ++Counts.Accepted;
    switch (determineOutcome(Job)) {
    case records::OUTCOME_COMPLETED:
      ++Counts.Completed;
      break;
    case records::OUTCOME_FAILED:
      ++Counts.Failed;
      break;
    case records::OUTCOME_NOT_RUN:
      ++Counts.NotRun;
      break;
    case records::OUTCOME_UNKNOWN:
      ++Counts.Unknown;
      break;
    case records::OUTCOME_CANCELLED:
      ++Counts.Cancelled;
      break;
    default:
      Counts.Pending.push_back(Key);
    }
  }
}

void JobAuditor::addFinding(std::uint64_t Offset, std::string Text) {
  Report_.Findings.push_back({Stream_, Offset, std::move(Text)});
}

void JobAuditor::addNote(std::uint64_t Offset, std::string Text) {
  Report_.Notes.push_back({Stream_, Offset, std::move(Text)});
}

} // namespace hickory
