#pragma once

#include "Audit/StreamExport.h"
#include "Base/Hash.h"
#include "Records.pb.h"

#include <functional>
#include <map>
#include <string>

namespace hickory {

/// Builds a log stream of record batches with sequence numbers and hash chains,
/// in the format that LogWriter writes.
class RecordBuilder {
public:
  explicit RecordBuilder(std::string Stream = "domain.paarl-a") {
    Content.Stream = std::move(Stream);
  }

  /// Appends one batch of the incarnation and returns its offset. Fill adds the
  /// records.
  std::uint64_t
  append(std::uint64_t Incarnation,
         const std::function<void(records::RecordBatch &)> &Fill) {
    records::RecordBatch Batch;
    Chain &WriterChain = Chains_[Incarnation];
    Batch.set_incarnation(Incarnation);
    Batch.set_sequence(++WriterChain.Sequence);
    Batch.set_previous_hash(WriterChain.Hash);
    Batch.set_slot("slot" + std::to_string(Incarnation));
    Batch.set_wall_time_ms(WallTimeMs += 1000);
    Fill(Batch);
    const std::string Payload = Batch.SerializeAsString();
    WriterChain.Hash = sha256(Payload);
    Content.Entries.push_back({NextOffset_, Payload});
    return NextOffset_++;
  }

  /// Appends a copy of the entry at Index, as a retried append does.
  void appendCopy(std::size_t Index) {
    Content.Entries.push_back(
        {NextOffset_++, Content.Entries.at(Index).Payload});
  }

  std::uint64_t accept(std::uint64_t Incarnation, const std::string &Key,
                       std::uint32_t Tasks = 1, bool NonRepeatable = false,
                       const std::string &Member = "kernvaal",
                       const std::string &Team = "") {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_job_accepted();
      Record.set_key(Key);
      Record.set_member(Member);
      Record.set_team(Team);
      Record.set_tasks(Tasks);
      Record.set_non_repeatable(NonRepeatable);
    });
  }

  std::uint64_t assign(std::uint64_t Incarnation, const std::string &Key,
                       std::uint32_t Task, std::uint32_t Attempt,
                       const std::string &Rack) {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_assign();
      Record.set_key(Key);
      Record.set_task(Task);
      Record.set_attempt(Attempt);
      Record.set_rack(Rack);
    });
  }

  std::uint64_t end(std::uint64_t Incarnation, const std::string &Key,
                    std::uint32_t Task, std::uint32_t Attempt,
                    records::OutcomeKind Kind = records::OUTCOME_COMPLETED,
                    const std::string &Worker = "w1",
                    std::int64_t HeldMs = 2000,
                    const std::string &Member = "kernvaal") {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_task_ended();
      Record.set_key(Key);
      Record.set_task(Task);
      Record.set_attempt(Attempt);
      Record.set_outcome(Kind);
      Record.set_worker(Worker);
      Record.set_held_ms(HeldMs);
      Record.set_member(Member);
      Record.mutable_resources()->set_cpus_milli(500);
      Record.mutable_resources()->set_memory_mb(100);
      Record.mutable_resources()->set_accelerators(1);
    });
  }

  std::uint64_t outcome(std::uint64_t Incarnation, const std::string &Key,
                        records::OutcomeKind Kind) {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_outcome();
      Record.set_key(Key);
      Record.set_outcome(Kind);
    });
  }

  std::uint64_t intent(std::uint64_t Incarnation, const std::string &Key,
                       std::uint32_t Attempt, const std::string &Executor) {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_intent();
      Record.set_key(Key);
      Record.set_attempt(Attempt);
      Record.set_executor(Executor);
    });
  }

  std::uint64_t heartbeat(std::uint64_t Incarnation) {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      Batch.add_records()->mutable_heartbeat()->set_incarnation(Incarnation);
    });
  }

  std::uint64_t expire(std::uint64_t Incarnation, std::uint64_t Target,
                       std::uint64_t BasedOn) {
    return append(Incarnation, [&](records::RecordBatch &Batch) {
      auto &Record = *Batch.add_records()->mutable_expire();
      Record.set_incarnation(Target);
      Record.set_based_on(BasedOn);
    });
  }

  /// Deletes the first Count entries, as retention does.
  void applyRetention(std::size_t Count) {
    Content.Entries.erase(Content.Entries.begin(),
                          Content.Entries.begin() +
                              static_cast<std::ptrdiff_t>(Count));
    Content.Earliest = Count;
  }

  StreamExport Content;
  std::int64_t WallTimeMs = 1'000'000;

private:
  struct Chain {
    std::uint64_t Sequence = 0;
    std::string Hash;
  };
  std::map<std::uint64_t, Chain> Chains_;
  std::uint64_t NextOffset_ = 0;
};

} // namespace hickory
