#include "Jobs/JobTable.h"

namespace hickory {

std::string keyOf(const records::Record &Record) {
  switch (Record.kind_case()) {
  case records::Record::kJobAccepted:
    return Record.job_accepted().key();
  case records::Record::kIntent:
    return Record.intent().key();
  case records::Record::kAssign:
    return Record.assign().key();
  case records::Record::kTaskEnded:
    return Record.task_ended().key();
  case records::Record::kOutcome:
    return Record.outcome().key();
  case records::Record::kJobCancelled:
    return Record.job_cancelled().key();
  default:
    return {};
  }
}

void JobTable::apply(std::uint64_t /*Offset*/, std::uint64_t /*Incarnation*/,
                     const records::Record &Record) {
  const std::string Key = keyOf(Record);
  if (Key.empty())
    return;
  KeyRecord &Entry = Keys_[Key];
  switch (Record.kind_case()) {
  case records::Record::kJobAccepted:
    // Only the first acceptance of a key is valid.
    if (!Entry.Accepted)
      Entry.Accepted = Record.job_accepted();
    break;
  case records::Record::kIntent:
    // Of several intents with the same attempt number, only the first in the
    // log is valid.
    if (!Entry.Intent || Record.intent().attempt() > Entry.Intent->attempt())
      Entry.Intent = Record.intent();
    break;
  case records::Record::kAssign: {
    TaskRecord &Task = Entry.Tasks[Record.assign().task()];
    if (Record.assign().attempt() > Task.Assigned.attempt()) {
      Task.Assigned = Record.assign();
      Task.Ended.reset();
    }
    break;
  }
  case records::Record::kTaskEnded:
    applyTaskEnded(Record.task_ended());
    break;
  case records::Record::kOutcome:
    if (!Entry.Outcome)
      Entry.Outcome = Record.outcome();
    break;
  case records::Record::kJobCancelled:
    Entry.Cancelled = true;
    break;
  default:
    break;
  }
  if (ChangeCallback_)
    ChangeCallback_(Key);
}

void JobTable::applyTaskEnded(const records::TaskEnded &Ended) {
  TaskRecord &Task = Keys_[Ended.key()].Tasks[Ended.task()];
  // A task may run without a logged assignment while the log is unreachable.
  if (Ended.attempt() < Task.Assigned.attempt())
    return;
  Task.Assigned.set_key(Ended.key());
  Task.Assigned.set_task(Ended.task());
  Task.Assigned.set_attempt(Ended.attempt());
  if (!Task.Ended)
    Task.Ended = Ended;
}

const KeyRecord *JobTable::find(const std::string &Key) const {
  const auto It = Keys_.find(Key);
  return It == Keys_.end() ? nullptr : &It->second;
}

std::vector<std::string> JobTable::unfinished(
    const std::function<bool(const std::string &)> &Predicate) const {
  std::vector<std::string> Unfinished;
  for (const auto &[Key, Entry] : Keys_)
    if (!Entry.Outcome && Predicate(Key))
      Unfinished.push_back(Key);
  return Unfinished;
}

void JobTable::erase(const std::string &Key) { Keys_.erase(Key); }

void JobTable::load(const records::DomainSnapshot &Snapshot) {
  Keys_.clear();
  for (const auto &Job : Snapshot.jobs()) {
    KeyRecord Entry;
    std::string Key;
    if (Job.has_accepted()) {
      Entry.Accepted = Job.accepted();
      Key = Job.accepted().key();
    }
    if (Job.has_intent()) {
      Entry.Intent = Job.intent();
      Key = Job.intent().key();
    }
    if (Job.has_outcome()) {
      Entry.Outcome = Job.outcome();
      Key = Job.outcome().key();
    }
    Entry.Cancelled = Job.cancelled();
    for (const auto &Assigned : Job.assigns()) {
      Entry.Tasks[Assigned.task()].Assigned = Assigned;
      Key = Assigned.key();
    }
    for (const auto &Ended : Job.ended()) {
      Entry.Tasks[Ended.task()].Ended = Ended;
      Key = Ended.key();
    }
    if (!Key.empty())
      Keys_[Key] = std::move(Entry);
  }
}

void JobTable::save(records::DomainSnapshot &Snapshot) const {
  // Sorted, so that equal tables produce equal snapshots.
  std::map<std::string, const KeyRecord *> Sorted;
  for (const auto &[Key, Entry] : Keys_)
    Sorted.emplace(Key, &Entry);
  for (const auto &[Key, Entry] : Sorted) {
    auto *Job = Snapshot.add_jobs();
    if (Entry->Accepted)
      *Job->mutable_accepted() = *Entry->Accepted;
    if (Entry->Intent)
      *Job->mutable_intent() = *Entry->Intent;
    if (Entry->Outcome)
      *Job->mutable_outcome() = *Entry->Outcome;
    Job->set_cancelled(Entry->Cancelled);
    for (const auto &[Index, Task] : Entry->Tasks) {
      *Job->add_assigns() = Task.Assigned;
      if (Task.Ended)
        *Job->add_ended() = *Task.Ended;
    }
  }
}

} // namespace hickory
