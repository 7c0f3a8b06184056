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

/// True if the attempt may have used its worker.
bool mayHaveRun(const records::TaskEnded &Ended) {
  return Ended.outcome() != records::OUTCOME_NOT_RUN;
}

/// True if the attempt certainly used its worker.
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

void JobAuditor::startFrom(const records::DomainSnapshot &Snapshot,
                           const std::set<std::uint64_t> &ExpiredInStream) {
  SnapshotCovers_ = Snapshot.covers();
  // What expired before the cut is void from the first retained entry on.
  for (const auto &Member : Snapshot.members())
    if (Member.expired() && !ExpiredInStream.contains(Member.incarnation()))
      Expired_.insert(Member.incarnation());
  for (const auto &Saved : Snapshot.jobs()) {
    const std::string &Key = Saved.has_accepted() ? Saved.accepted().key()
                             : Saved.has_intent() ? Saved.intent().key()
                                                  : Saved.outcome().key();
    Job &Item = Jobs_[Key];
    if (Saved.has_accepted())
      Item.Accepted = Saved.accepted();
    for (const records::Assign &Assigned : Saved.assigns())
      Item.Tasks[Assigned.task()][Assigned.attempt()].Assigned = Assigned;
    for (const records::TaskEnded &Ended : Saved.ended())
      Item.Tasks[Ended.task()][Ended.attempt()].Ended = Ended;
    if (Saved.has_intent())
      Item.FirstIntent = Saved.intent();
    if (Saved.has_outcome() &&
        Saved.outcome().outcome() != records::OUTCOME_PENDING)
      Item.Outcome = Saved.outcome();
    Item.Cancelled = Saved.cancelled();
  }
}

void JobAuditor::apply(std::uint64_t Offset,
                       const records::RecordBatch &Batch) {
  const bool InSnapshot = SnapshotCovers_ && Offset <= *SnapshotCovers_;
  for (const records::Record &Record : Batch.records()) {
    // Records of an incarnation are void after its Expire.
    if (Expired_.contains(Batch.incarnation()))
      return;
    if (Record.has_task_ended()) {
      const records::TaskEnded &Ended = Record.task_ended();
      if (EndedIds_.emplace(Ended.key(), Ended.task(), Ended.attempt()).second)
        Ended_.push_back({Ended, Batch.wall_time_ms()});
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
    LastHeartbeat_[Record.heartbeat().incarnation()] = Offset;
  else if (Record.has_join())
    LastHeartbeat_[Record.join().incarnation()] = Offset;
  else if (Record.has_expire()) {
    const records::Expire &Expire = Record.expire();
    const auto Last = LastHeartbeat_.find(Expire.incarnation());
    if (Expire.incarnation() != Writer &&
        (Last == LastHeartbeat_.end() || Last->second <= Expire.based_on()))
      Expired_.insert(Expire.incarnation());
  }
}

void JobAuditor::applyAccepted(std::uint64_t Offset,
                               const records::JobAccepted &Record) {
  Job &Item = Jobs_[Record.key()];
  if (!Item.Accepted) {
    Item.Accepted = Record;
    Item.AcceptedAt = Offset;
  } else if (!MessageDifferencer::Equals(*Item.Accepted, Record))
    find(Offset, fmt::format("job {}: accepted a second time with other "
                             "content; first at offset {}",
                             Record.key(), Item.AcceptedAt));
}

void JobAuditor::applyAssign(std::uint64_t Offset,
                             const records::Assign &Record) {
  Job &Item = Jobs_[Record.key()];
  const std::string Name = taskName(Record.key(), Record.task());
  if (!Item.Accepted && !Partial_)
    find(Offset, fmt::format("task {}: assigned, but the job was never "
                             "accepted",
                             Name));
  auto &Attempts = Item.Tasks[Record.task()];
  const bool NonRepeatable = Item.Accepted && Item.Accepted->non_repeatable();
  for (const auto &[Number, Other] : Attempts) {
    if (Number == Record.attempt())
      continue;
    if (Other.Ended && Other.Ended->outcome() == records::OUTCOME_COMPLETED)
      find(Offset, fmt::format("task {}: attempt {} was assigned after attempt "
                               "{} completed at offset {}",
                               Name, Record.attempt(), Number, Other.EndedAt));
    else if (NonRepeatable && !(Other.Ended && !mayHaveRun(*Other.Ended)))
      find(Offset, fmt::format("task {}: non-repeatable, but attempt {} was "
                               "assigned although attempt {} may have run",
                               Name, Record.attempt(), Number));
    else if (!Other.Ended && Number < Record.attempt())
      note(Offset, fmt::format("task {}: attempt {} was assigned without an "
                               "end record of attempt {}; its lease must have "
                               "been over",
                               Name, Record.attempt(), Number));
  }
  Attempt &Own = Attempts[Record.attempt()];
  if (Own.Assigned && Own.Assigned->rack() != Record.rack())
    find(Offset, fmt::format("task {}: attempt {} was assigned to rack {} and "
                             "to rack {}; it may run in two places",
                             Name, Record.attempt(), Own.Assigned->rack(),
                             Record.rack()));
  if (!Own.Assigned) {
    Own.Assigned = Record;
    Own.AssignedAt = Offset;
  }
}

void JobAuditor::applyEnded(std::uint64_t Offset,
                            const records::TaskEnded &Record) {
  Job &Item = Jobs_[Record.key()];
  const std::string Name = taskName(Record.key(), Record.task());
  if (!Item.Accepted && !Partial_)
    find(Offset,
         fmt::format("task {}: ended, but the job was never accepted", Name));
  if (Item.Accepted && !Record.member().empty() &&
      Record.member() != Item.Accepted->member())
    find(Offset, fmt::format("task {}: charged to member {}, but the job is of "
                             "member {}",
                             Name, Record.member(), Item.Accepted->member()));
  if (Record.held_ms() < 0)
    find(Offset, fmt::format("task {}: held its resources for {} ms", Name,
                             Record.held_ms()));
  auto &Attempts = Item.Tasks[Record.task()];
  Attempt &Own = Attempts[Record.attempt()];
  if (!Own.Assigned && !Partial_ && Item.Accepted && hasRun(Record))
    find(Offset, fmt::format("task {}: attempt {} ran, but was never assigned",
                             Name, Record.attempt()));
  if (Own.Ended) {
    if (hasRun(*Own.Ended) && hasRun(Record) &&
        Own.Ended->worker() != Record.worker())
      find(Offset, fmt::format("task {}: attempt {} ran on worker {} and on "
                               "worker {}",
                               Name, Record.attempt(), Own.Ended->worker(),
                               Record.worker()));
    return;
  }
  Own.Ended = Record;
  Own.EndedAt = Offset;
  const bool NonRepeatable = Item.Accepted && Item.Accepted->non_repeatable();
  for (const auto &[Number, Other] : Attempts) {
    if (Number == Record.attempt() || !Other.Ended)
      continue;
    if (NonRepeatable && hasRun(*Other.Ended) && hasRun(Record))
      find(Offset, fmt::format("task {}: non-repeatable, but attempts {} and "
                               "{} both ran",
                               Name, Number, Record.attempt()));
    else if (Other.Ended->outcome() == records::OUTCOME_COMPLETED &&
             Record.outcome() == records::OUTCOME_COMPLETED)
      note(Offset, fmt::format("task {}: attempts {} and {} both completed; "
                               "the report of one was late",
                               Name, Number, Record.attempt()));
  }
  if (Item.Outcome && Item.Outcome->outcome() == records::OUTCOME_NOT_RUN &&
      hasRun(Record))
    find(Offset,
         fmt::format("task {}: ran, but the job was said not to be run", Name));
}

void JobAuditor::applyIntent(std::uint64_t Offset,
                             const records::Intent &Record) {
  Job &Item = Jobs_[Record.key()];
  if (!Item.FirstIntent) {
    Item.FirstIntent = Record;
    return;
  }
  // The first intent in the log is the one that may be dispatched. Another one
  // of the same attempt lost the race and was not dispatched.
  if (Item.FirstIntent->attempt() != Record.attempt())
    find(Offset, fmt::format("key {}: non-repeatable, but has an intent for "
                             "attempt {} (executor {}) after the one for "
                             "attempt {} (executor {})",
                             Record.key(), Record.attempt(), Record.executor(),
                             Item.FirstIntent->attempt(),
                             Item.FirstIntent->executor()));
  else if (!MessageDifferencer::Equals(*Item.FirstIntent, Record))
    note(Offset, fmt::format("key {}: a second intent for attempt {} came "
                             "later and must not have been dispatched",
                             Record.key(), Record.attempt()));
}

void JobAuditor::applyOutcome(std::uint64_t Offset,
                              const records::Outcome &Record) {
  if (Record.outcome() == records::OUTCOME_PENDING)
    return;
  Job &Item = Jobs_[Record.key()];
  if (Item.Outcome && Item.Outcome->outcome() != Record.outcome() &&
      Item.Outcome->outcome() != records::OUTCOME_UNKNOWN) {
    find(Offset, fmt::format("key {}: the outcome is {}, but was {} before",
                             Record.key(), outcomeName(Record.outcome()),
                             outcomeName(Item.Outcome->outcome())));
    return;
  }
  Item.Outcome = Record;
  if (Record.outcome() == records::OUTCOME_COMPLETED && Item.Accepted &&
      Item.Accepted->tasks() > 0 && !Partial_ && !allTasksCompleted(Item))
    find(Offset, fmt::format("job {}: said to be completed, but not all of its "
                             "{} tasks are",
                             Record.key(), Item.Accepted->tasks()));
  if (Record.outcome() == records::OUTCOME_NOT_RUN)
    for (const auto &[Task, Attempts] : Item.Tasks)
      for (const auto &[Number, Own] : Attempts)
        if (Own.Ended && hasRun(*Own.Ended))
          find(Offset, fmt::format("job {}: said not to be run, but attempt {} "
                                   "of task {} ran",
                                   Record.key(), Number, Task));
}

void JobAuditor::checkSnapshot(std::uint64_t Offset,
                               const records::DomainSnapshot &Snapshot) {
  // A snapshot replaces the records before it once they are cut, so what it
  // leaves out or changes would be lost.
  std::map<std::string, const records::DomainSnapshot::Job *> Saved;
  for (const auto &Item : Snapshot.jobs())
    if (Item.has_accepted())
      Saved.emplace(Item.accepted().key(), &Item);
  for (const auto &[Key, Item] : Jobs_) {
    if (!Item.Accepted || Item.AcceptedAt > Snapshot.covers())
      continue;
    const auto It = Saved.find(Key);
    if (It == Saved.end()) {
      if (outcomeOf(Item) == records::OUTCOME_PENDING)
        find(Offset,
             fmt::format("the snapshot leaves out the pending job {}", Key));
      continue;
    }
    if (!MessageDifferencer::Equals(*Item.Accepted, It->second->accepted()))
      find(Offset,
           fmt::format("the snapshot has job {} with other content", Key));
    const records::OutcomeKind Kind = It->second->outcome().outcome();
    if (It->second->has_outcome() && Kind != records::OUTCOME_PENDING &&
        Kind != records::OUTCOME_UNKNOWN && Item.Outcome &&
        Item.Outcome->outcome() != Kind)
      find(Offset,
           fmt::format("the snapshot says that job {} is {}, but its records "
                       "say {}",
                       Key, outcomeName(Kind),
                       outcomeName(Item.Outcome->outcome())));
  }
  if (Partial_)
    return;
  for (const auto &[Key, Item] : Saved)
    if (const auto It = Jobs_.find(Key);
        It == Jobs_.end() || !It->second.Accepted)
      find(Offset, fmt::format("the snapshot has job {}, which was never "
                               "accepted",
                               Key));
}

bool JobAuditor::allTasksCompleted(const Job &Item) const {
  for (std::uint32_t Task = 0; Task < Item.Accepted->tasks(); ++Task) {
    const auto It = Item.Tasks.find(Task);
    if (It == Item.Tasks.end())
      return false;
    bool Completed = false;
    for (const auto &[Number, Own] : It->second)
      Completed = Completed || (Own.Ended && Own.Ended->outcome() ==
                                                 records::OUTCOME_COMPLETED);
    if (!Completed)
      return false;
  }
  return true;
}

records::OutcomeKind JobAuditor::outcomeOf(const Job &Item) const {
  if (Item.Outcome)
    return Item.Outcome->outcome();
  if (Item.Accepted && Item.Accepted->tasks() > 0 && allTasksCompleted(Item))
    return records::OUTCOME_COMPLETED;
  if (!Item.Cancelled)
    return records::OUTCOME_PENDING;
  for (const auto &[Task, Attempts] : Item.Tasks)
    for (const auto &[Number, Own] : Attempts)
      if (!Own.Ended)
        return records::OUTCOME_PENDING;
  return records::OUTCOME_CANCELLED;
}

std::string JobAuditor::teamOf(const std::string &Key) const {
  const auto It = Jobs_.find(Key);
  return It != Jobs_.end() && It->second.Accepted ? It->second.Accepted->team()
                                                  : std::string();
}

std::vector<std::string> JobAuditor::acceptedKeys() const {
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Jobs_)
    if (Item.Accepted)
      Keys.push_back(Key);
  return Keys;
}

void JobAuditor::finish() {
  AuditReport::JobCounts &Counts = Report_.Jobs;
  for (const auto &[Key, Item] : Jobs_) {
    if (!Item.Accepted)
      continue;
    ++Counts.Accepted;
    switch (outcomeOf(Item)) {
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

void JobAuditor::find(std::uint64_t Offset, std::string Text) {
  Report_.Findings.push_back({Stream_, Offset, std::move(Text)});
}

void JobAuditor::note(std::uint64_t Offset, std::string Text) {
  Report_.Notes.push_back({Stream_, Offset, std::move(Text)});
}

} // namespace hickory
