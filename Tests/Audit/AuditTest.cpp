#include "Audit/Auditor.h"
#include "RecordBuilder.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <rapidcheck.h>

namespace hickory {

namespace {

/// Returns one stream in pages of up to three entries.
class FakeLogClient final : public LogClient {
public:
  explicit FakeLogClient(StreamExport Content) : Content_(std::move(Content)) {}

  asio::awaitable<Result<std::uint64_t>>
  append(std::string /*Stream*/, std::string /*Payload*/) override {
    co_return fail(ErrorCode::Internal, "read only");
  }

  asio::awaitable<Result<LogPage>> read(std::string /*Stream*/,
                                        LogReadOptions Options) override {
    if (DeleteAfterReads && Reads_++ == *DeleteAfterReads)
      Content_.Earliest = Options.From + 1;
    LogPage Page;
    Page.Earliest = Content_.Earliest;
    Page.Next = Options.From;
    for (const LogEntry &Entry : Content_.Entries)
      if (Entry.Offset >= Options.From && Entry.Offset >= Content_.Earliest &&
          Page.Entries.size() < 3) {
        Page.Entries.push_back(Entry);
        Page.Next = Entry.Offset + 1;
      }
    co_return Page;
  }

  /// Number of reads after which retention deletes entries; none if absent.
  std::optional<int> DeleteAfterReads;

private:
  StreamExport Content_;
  int Reads_ = 0;
};

std::string reportText(const AuditReport &Report) { return Report.toText(); }

bool mentions(const std::vector<AuditReport::Remark> &Remarks,
              const std::string &Text) {
  for (const AuditReport::Remark &Remark : Remarks)
    if (Remark.Text.find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

class AuditTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuditTest);
  CPPUNIT_TEST(consistentRecordPasses);
  CPPUNIT_TEST(findsAlteredByte);
  CPPUNIT_TEST(findsMissingBatch);
  CPPUNIT_TEST(findsReplacedBatch);
  CPPUNIT_TEST(findsMissingLastBatchWithEarlierHeads);
  CPPUNIT_TEST(findsAnyTampering);
  CPPUNIT_TEST(duplicateAppendIsNotAFinding);
  CPPUNIT_TEST(retentionGivesPartialCoverage);
  CPPUNIT_TEST(findsTaskInTwoPlaces);
  CPPUNIT_TEST(findsSecondRunOfNonRepeatableWork);
  CPPUNIT_TEST(findsSecondIntent);
  CPPUNIT_TEST(findsContradictingOutcomes);
  CPPUNIT_TEST(findsUnaccountedAttempts);
  CPPUNIT_TEST(findsWrongSnapshot);
  CPPUNIT_TEST(findsJobInTwoDomains);
  CPPUNIT_TEST(recordsAfterExpireAreIgnored);
  CPPUNIT_TEST(computesUsageAndShares);
  CPPUNIT_TEST(replaysConfiguration);
  CPPUNIT_TEST(exportFileRoundTripPreservesStream);
  CPPUNIT_TEST(fetchesAllPages);
  CPPUNIT_TEST_SUITE_END();

  static AuditReport audit(const RecordBuilder &Record,
                           const AuditOptions &Options = {}) {
    return auditStreams({Record.Content}, Options);
  }

  static void expectFinding(const RecordBuilder &Record,
                            const std::string &Expected) {
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE("expected: " + Expected +
                               "\nactual: " + reportText(Report),
                           mentions(Report.Findings, Expected));
    CPPUNIT_ASSERT(!Report.hasPassed());
  }

  static void expectNoFindings(const RecordBuilder &Record) {
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
  }

  /// Returns a record without errors: two instances, three jobs and several
  /// batches per incarnation.
  static RecordBuilder consistentRecord() {
    RecordBuilder Record;
    Record.heartbeat(1);
    Record.heartbeat(2);
    Record.accept(1, "k1", 2);
    Record.accept(2, "k2");
    Record.assign(1, "k1", 0, 1, "r1");
    Record.assign(1, "k1", 1, 1, "r2");
    Record.assign(2, "k2", 0, 1, "r1");
    Record.end(1, "k1", 0, 1);
    Record.end(1, "k1", 1, 1, records::OUTCOME_FAILED, "w2");
    Record.assign(1, "k1", 1, 2, "r1");
    Record.end(1, "k1", 1, 2);
    Record.outcome(1, "k1", records::OUTCOME_COMPLETED);
    Record.accept(2, "k3");
    Record.heartbeat(1);
    Record.heartbeat(2);
    return Record;
  }

public:
  // Guards against findings in a correct record, and against miscounted jobs.
  void consistentRecordPasses() {
    const AuditReport Report = audit(consistentRecord());
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    CPPUNIT_ASSERT(!Report.isPartial());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Report.Jobs.Accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.Jobs.Completed);
    CPPUNIT_ASSERT(
        (Report.Jobs.Pending == std::vector<std::string>{"k2", "k3"}));
    CPPUNIT_ASSERT(
        !audit(consistentRecord(), {.PendingIsFinding = true}).hasPassed());
  }

  // Guards against an altered value that the audit does not detect.
  void findsAlteredByte() {
    RecordBuilder Record = consistentRecord();
    std::string &Payload = Record.Content.Entries[7].Payload;
    Payload[Payload.size() - 2] ^= 1;
    expectFinding(Record, "one of the two was altered or replaced");
  }

  // Guards against a removed batch that the audit does not detect.
  void findsMissingBatch() {
    RecordBuilder Record = consistentRecord();
    Record.Content.Entries.erase(Record.Content.Entries.begin() + 3);
    expectFinding(Record, "batches in between are missing");
    RecordBuilder First = consistentRecord();
    First.Content.Entries.erase(First.Content.Entries.begin());
    expectFinding(First, "starts with batch 2; batches 1 to 1 are missing");
  }

  // Guards against a batch that is replaced by another well-formed one.
  void findsReplacedBatch() {
    RecordBuilder Record = consistentRecord();
    records::RecordBatch Batch;
    Batch.ParseFromString(Record.Content.Entries[3].Payload);
    Batch.mutable_records(0)->mutable_job_accepted()->set_member("karri-ridge");
    Record.Content.Entries[3].Payload = Batch.SerializeAsString();
    expectFinding(Record, "does not have the hash of batch");
    // Added at the end of the stream, it is a second version of batch 2.
    RecordBuilder Added = consistentRecord();
    Added.Content.Entries.push_back({100, Batch.SerializeAsString()});
    expectFinding(Added, "a second time with other content");
  }

  // Guards against not detecting the removal or change of the last batch of an
  // incarnation, which no later batch contains the hash of.
  void findsMissingLastBatchWithEarlierHeads() {
    const auto Heads = parseHeads(audit(consistentRecord()).toJson());
    CPPUNIT_ASSERT(Heads.has_value());
    AuditOptions Options;
    Options.EarlierHeads = *Heads;
    RecordBuilder Longer = consistentRecord();
    Longer.heartbeat(1);
    CPPUNIT_ASSERT(audit(Longer, Options).hasPassed());
    RecordBuilder Shortened = consistentRecord();
    Shortened.Content.Entries.pop_back();
    CPPUNIT_ASSERT(audit(Shortened).hasPassed());
    CPPUNIT_ASSERT(mentions(audit(Shortened, Options).Findings, "is missing"));
    RecordBuilder Changed = consistentRecord();
    records::RecordBatch Batch;
    Batch.ParseFromString(Changed.Content.Entries.back().Payload);
    Batch.set_wall_time_ms(1);
    Changed.Content.Entries.back().Payload = Batch.SerializeAsString();
    CPPUNIT_ASSERT(mentions(audit(Changed, Options).Findings, "differs from"));
    CPPUNIT_ASSERT(!parseHeads("{}"));
    CPPUNIT_ASSERT(!parseHeads("no"));
  }

  // Guards against a kind of change that the hash chain does not detect.
  void findsAnyTampering() {
    const bool Passed = rc::check(
        "an altered byte, a missing or a replaced batch is found", [] {
          RecordBuilder Record;
          const int Writers = *rc::gen::inRange(1, 4);
          const int Batches = *rc::gen::inRange(3, 25);
          for (int I = 0; I < Batches; ++I) {
            const auto Writer =
                static_cast<std::uint64_t>(*rc::gen::inRange(1, Writers + 1));
            const std::string Key = "k" + std::to_string(I);
            if (*rc::gen::arbitrary<bool>())
              Record.accept(Writer, Key);
            else
              Record.heartbeat(Writer);
            if (*rc::gen::inRange(0, 5) == 0)
              Record.appendCopy(*rc::gen::inRange<std::size_t>(
                  0, Record.Content.Entries.size()));
          }
          // The next batch of its incarnation makes changes to a batch
          // detectable.
          for (int W = 1; W <= Writers; ++W)
            Record.heartbeat(static_cast<std::uint64_t>(W));
          RC_ASSERT(audit(Record).hasPassed());
          auto &Entries = Record.Content.Entries;
          std::map<std::string, int> Copies;
          for (const LogEntry &Entry : Entries)
            ++Copies[Entry.Payload];
          const std::size_t Protected =
              Entries.size() - static_cast<std::size_t>(Writers);
          // Removing one of two copies is not detectable, as it changes no
          // result.
          std::vector<std::size_t> Candidates;
          for (std::size_t I = 0; I < Protected; ++I)
            if (Copies[Entries[I].Payload] == 1)
              Candidates.push_back(I);
          RC_PRE(!Candidates.empty());
          const std::size_t Index = *rc::gen::elementOf(Candidates);
          LogEntry &Target = Entries[Index];
          switch (*rc::gen::inRange(0, 3)) {
          case 0: {
            const auto At =
                *rc::gen::inRange<std::size_t>(0, Target.Payload.size());
            Target.Payload[At] = static_cast<char>(
                Target.Payload[At] ^ (1 << *rc::gen::inRange(0, 8)));
            break;
          }
          case 1:
            Entries.erase(Entries.begin() + static_cast<std::ptrdiff_t>(Index));
            break;
          default: {
            records::RecordBatch Batch;
            Batch.ParseFromString(Target.Payload);
            auto &Added = *Batch.add_records()->mutable_job_accepted();
            Added.set_key("extra");
            Target.Payload = Batch.SerializeAsString();
          }
          }
          RC_ASSERT(!audit(Record).hasPassed());
        });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against findings for appends that were retried because the response
  // was lost.
  void duplicateAppendIsNotAFinding() {
    RecordBuilder Record = consistentRecord();
    Record.appendCopy(3);
    Record.appendCopy(12);
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Report.Streams.at("domain.paarl-a").Duplicates);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Report.Jobs.Accepted);
  }

  // Guards against an audit that fails because retention deleted old entries.
  void retentionGivesPartialCoverage() {
    for (std::size_t Cut = 1; Cut < 15; ++Cut) {
      RecordBuilder Record = consistentRecord();
      Record.applyRetention(Cut);
      const AuditReport Report = audit(Record);
      CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
      CPPUNIT_ASSERT(Report.isPartial());
      CPPUNIT_ASSERT(Report.toText().find("partial coverage") !=
                     std::string::npos);
    }
    // With a snapshot the earlier jobs are known.
    RecordBuilder Record = consistentRecord();
    const auto Before = Record.Content.Entries.size();
    Record.append(1, [](records::RecordBatch &Batch) {
      auto &Snapshot = *Batch.add_records()->mutable_domain_snapshot();
      Snapshot.set_covers(12);
      for (const std::string Key : {"k2", "k3"}) {
        auto &Accepted = *Snapshot.add_jobs()->mutable_accepted();
        Accepted.set_key(Key);
        Accepted.set_member("kernvaal");
        Accepted.set_tasks(1);
      }
    });
    Record.end(2, "k2", 0, 1);
    Record.accept(1, "k4");
    expectNoFindings(Record);
    Record.applyRetention(Before - 2);
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    CPPUNIT_ASSERT(Report.Streams.at("domain.paarl-a").StartsFromSnapshot);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Report.Jobs.Accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.Jobs.Completed);
    // Tampering in the retained part is still found.
    Record.Content.Entries.erase(Record.Content.Entries.begin() + 2);
    CPPUNIT_ASSERT(!audit(Record).hasPassed());
  }

  // Guards against not detecting a task that may run in two places.
  void findsTaskInTwoPlaces() {
    RecordBuilder Racks;
    Racks.accept(1, "k");
    Racks.assign(1, "k", 0, 1, "r1");
    Racks.assign(1, "k", 0, 1, "r2");
    expectFinding(Racks, "it may run in two places");
    RecordBuilder Workers;
    Workers.accept(1, "k");
    Workers.assign(1, "k", 0, 1, "r1");
    Workers.end(1, "k", 0, 1, records::OUTCOME_COMPLETED, "w1");
    Workers.end(1, "k", 0, 1, records::OUTCOME_COMPLETED, "w2");
    expectFinding(Workers, "ran on worker w1 and on worker w2");
    RecordBuilder AfterCompletion;
    AfterCompletion.accept(1, "k");
    AfterCompletion.assign(1, "k", 0, 1, "r1");
    AfterCompletion.end(1, "k", 0, 1);
    AfterCompletion.assign(1, "k", 0, 2, "r1");
    expectFinding(AfterCompletion,
                  "attempt 2 was assigned after attempt 1 completed");
    // A duplicate end record and a new attempt after a failure are correct.
    RecordBuilder Correct;
    Correct.accept(1, "k");
    Correct.assign(1, "k", 0, 1, "r1");
    Correct.end(1, "k", 0, 1, records::OUTCOME_FAILED);
    Correct.end(1, "k", 0, 1, records::OUTCOME_FAILED);
    Correct.assign(1, "k", 0, 2, "r2");
    Correct.end(1, "k", 0, 2);
    expectNoFindings(Correct);
    // An attempt whose lease expired has no end record.
    RecordBuilder ExpiredLease;
    ExpiredLease.accept(1, "k");
    ExpiredLease.assign(1, "k", 0, 1, "r1");
    ExpiredLease.assign(1, "k", 0, 2, "r2");
    const AuditReport Report = audit(ExpiredLease);
    CPPUNIT_ASSERT(Report.hasPassed());
    CPPUNIT_ASSERT(mentions(Report.Notes, "without an end record"));
  }

  // Guards against not detecting that non-repeatable work ran twice.
  void findsSecondRunOfNonRepeatableWork() {
    RecordBuilder SecondRun;
    SecondRun.accept(1, "k", 1, true);
    SecondRun.assign(1, "k", 0, 1, "r1");
    SecondRun.end(1, "k", 0, 1, records::OUTCOME_FAILED);
    SecondRun.assign(1, "k", 0, 2, "r1");
    SecondRun.end(1, "k", 0, 2);
    expectFinding(SecondRun,
                  "attempt 2 was assigned although attempt 1 may have");
    expectFinding(SecondRun, "attempts 1 and 2 both ran");
    RecordBuilder ExpiredLease;
    ExpiredLease.accept(1, "k", 1, true);
    ExpiredLease.assign(1, "k", 0, 1, "r1");
    ExpiredLease.assign(1, "k", 0, 2, "r1");
    expectFinding(ExpiredLease, "although attempt 1 may have run");
    RecordBuilder NotStarted;
    NotStarted.accept(1, "k", 1, true);
    NotStarted.assign(1, "k", 0, 1, "r1");
    NotStarted.end(1, "k", 0, 1, records::OUTCOME_NOT_RUN, "", 0);
    NotStarted.assign(1, "k", 0, 2, "r1");
    NotStarted.end(1, "k", 0, 2);
    expectNoFindings(NotStarted);
  }

  // Guards against not detecting that a request is dispatched a second time.
  void findsSecondIntent() {
    RecordBuilder Record;
    Record.intent(1, "charge", 1, "e1");
    Record.intent(2, "charge", 1, "e2");
    const AuditReport Race = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Race), Race.hasPassed());
    CPPUNIT_ASSERT(mentions(Race.Notes, "a second intent"));
    Record.intent(1, "charge", 2, "e2");
    expectFinding(Record, "an intent for attempt 2 (executor e2) after the one "
                          "for attempt 1 (executor e1)");
  }

  // Guards against not detecting that the outcome of a job was changed.
  void findsContradictingOutcomes() {
    RecordBuilder Twice;
    Twice.accept(1, "k");
    Twice.outcome(1, "k", records::OUTCOME_FAILED);
    Twice.outcome(1, "k", records::OUTCOME_FAILED);
    expectNoFindings(Twice);
    Twice.outcome(1, "k", records::OUTCOME_COMPLETED);
    expectFinding(Twice, "the outcome is completed, but was failed before");
    RecordBuilder Resolved;
    Resolved.accept(1, "k");
    Resolved.outcome(1, "k", records::OUTCOME_UNKNOWN);
    Resolved.outcome(1, "k", records::OUTCOME_FAILED);
    expectNoFindings(Resolved);
    RecordBuilder NotRun;
    NotRun.accept(1, "k");
    NotRun.assign(1, "k", 0, 1, "r1");
    NotRun.end(1, "k", 0, 1);
    NotRun.outcome(1, "k", records::OUTCOME_NOT_RUN);
    expectFinding(NotRun,
                  "the outcome is not run, but attempt 1 of task 0 ran");
    RecordBuilder Early;
    Early.accept(1, "k", 2);
    Early.assign(1, "k", 0, 1, "r1");
    Early.end(1, "k", 0, 1);
    Early.outcome(1, "k", records::OUTCOME_COMPLETED);
    expectFinding(Early, "not all of its 2 tasks are");
  }

  // Guards against not detecting attempts of jobs that were never accepted, or
  // that are charged to the wrong member.
  void findsUnaccountedAttempts() {
    RecordBuilder NotAccepted;
    NotAccepted.assign(1, "k", 0, 1, "r1");
    expectFinding(NotAccepted, "assigned, but the job was never accepted");
    RecordBuilder Charged;
    Charged.accept(1, "k");
    Charged.assign(1, "k", 0, 1, "r1");
    Charged.end(1, "k", 0, 1, records::OUTCOME_COMPLETED, "w1", 2000,
                "karri-ridge");
    expectFinding(Charged, "charged to member karri-ridge, but the job is of "
                           "member kernvaal");
    RecordBuilder Unassigned;
    Unassigned.accept(1, "k");
    Unassigned.end(1, "k", 0, 1);
    expectFinding(Unassigned, "ran, but was never assigned");
    RecordBuilder Changed;
    Changed.accept(1, "k", 1);
    Changed.accept(1, "k", 2);
    expectFinding(Changed, "accepted a second time with other content");
    RecordBuilder Negative;
    Negative.accept(1, "k");
    Negative.assign(1, "k", 0, 1, "r1");
    Negative.end(1, "k", 0, 1, records::OUTCOME_COMPLETED, "w1", -5);
    expectFinding(Negative, "held its resources for -5 ms");
  }

  // Guards against a snapshot that omits, changes or adds jobs.
  void findsWrongSnapshot() {
    const auto RecordWithSnapshot =
        [](const std::function<void(records::DomainSnapshot &)> &Fill) {
          RecordBuilder Record;
          const std::uint64_t Last = Record.accept(1, "k");
          Record.append(1, [&](records::RecordBatch &Batch) {
            auto &Snapshot = *Batch.add_records()->mutable_domain_snapshot();
            Snapshot.set_covers(Last);
            Fill(Snapshot);
          });
          return Record;
        };
    const auto AddJob = [](records::DomainSnapshot &Snapshot,
                           const std::string &Key, std::uint32_t Tasks) {
      auto &Accepted = *Snapshot.add_jobs()->mutable_accepted();
      Accepted.set_key(Key);
      Accepted.set_member("kernvaal");
      Accepted.set_tasks(Tasks);
    };
    expectNoFindings(
        RecordWithSnapshot([&](auto &Snapshot) { AddJob(Snapshot, "k", 1); }));
    expectFinding(RecordWithSnapshot([](auto &) {}), "omits the pending job k");
    expectFinding(
        RecordWithSnapshot([&](auto &Snapshot) { AddJob(Snapshot, "k", 3); }),
        "has job k with other content");
    expectFinding(RecordWithSnapshot([&](auto &Snapshot) {
                    AddJob(Snapshot, "k", 1);
                    AddJob(Snapshot, "k9", 1);
                  }),
                  "has job k9, which was never accepted");
  }

  // Guards against a key that is accepted in two domains.
  void findsJobInTwoDomains() {
    RecordBuilder A("domain.a");
    A.accept(1, "k");
    RecordBuilder B("domain.b");
    B.accept(2, "k");
    const AuditReport Report = auditStreams({A.Content, B.Content});
    CPPUNIT_ASSERT(mentions(Report.Findings, "accepted here and in domain.a"));
  }

  // Guards against counting records that an instance wrote after it expired.
  void recordsAfterExpireAreIgnored() {
    RecordBuilder Record;
    const std::uint64_t HeartbeatOffset = Record.heartbeat(1);
    Record.accept(1, "k1");
    Record.expire(2, 1, HeartbeatOffset);
    Record.accept(1, "k2");
    Record.heartbeat(1);
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.Jobs.Accepted);
    // An Expire record that is based on an outdated heartbeat has no effect.
    RecordBuilder Late;
    const std::uint64_t Old = Late.heartbeat(1);
    Late.heartbeat(1);
    Late.expire(2, 1, Old);
    Late.accept(1, "k2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), audit(Late).Jobs.Accepted);
  }

  // Guards against wrong usage and shares: the expected values can be computed
  // by hand from the records.
  void computesUsageAndShares() {
    RecordBuilder Record;
    Record.accept(1, "k1", 1, false, "kernvaal", "sorting");
    Record.accept(1, "r1", 1, false, "karri-ridge");
    Record.assign(1, "k1", 0, 1, "r1");
    Record.assign(1, "r1", 0, 1, "r1");
    Record.end(1, "k1", 0, 1, records::OUTCOME_COMPLETED, "w1", 3000);
    Record.end(1, "k1", 0, 1, records::OUTCOME_COMPLETED, "w1", 3000);
    Record.end(1, "r1", 0, 1, records::OUTCOME_COMPLETED, "w1", 1000,
               "karri-ridge");
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    const auto &Kernvaal = Report.UsageByMember.at("kernvaal");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, Kernvaal.CpuSeconds, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300, Kernvaal.MemoryMbSeconds, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Kernvaal.AcceleratorSeconds, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, Kernvaal.DominantShare, 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Kernvaal.Tasks);
    CPPUNIT_ASSERT(Report.UsageByTeam.contains({"kernvaal", "sorting"}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6000),
                         Report.PeriodEndMs - Report.PeriodStartMs);
    // 1.5 of 6 processor-seconds, 3 of 60 accelerator-seconds.
    AuditOptions Options;
    Options.TotalCapacity = {
        .CpusMilli = 1000, .MemoryMb = 10000, .Accelerators = 10};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.25, audit(Record, Options).UsageByMember.at("kernvaal").DominantShare,
        1e-9);
    // The task ended at 1005000 and held its resources from 1002000 on.
    Options.FromMs = 1'003'000;
    Options.ToMs = 1'004'000;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5, audit(Record, Options).UsageByMember.at("kernvaal").CpuSeconds,
        1e-9);
  }

  // Guards against an audit that does not check the configuration stream.
  void replaysConfiguration() {
    RecordBuilder Record("config");
    const auto Append = [&](const std::string &Id, const std::string &Toml) {
      Record.append(1, [&](records::RecordBatch &Batch) {
        auto &Changes = *Batch.add_records()->mutable_change_set();
        Changes.set_id(Id);
        auto &Object = *Changes.add_objects();
        Object.set_kind("pool");
        Object.set_name("main");
        Object.set_toml(Toml);
        auto &Base = *Changes.add_based_on();
        Base.set_kind("pool");
        Base.set_name("main");
      });
    };
    Append("a", "[capacity]\ncpus_milli = 1000\n");
    Append("b", "");
    Append("c", "x = 1\n");
    const AuditReport Report = audit(Record);
    CPPUNIT_ASSERT_MESSAGE(reportText(Report), Report.hasPassed());
    CPPUNIT_ASSERT(Report.CapacityKnown);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.ConfigAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Report.ConfigConflicts);
    RecordBuilder Wrong = Record;
    Wrong.append(1, [](records::RecordBatch &Batch) {
      auto &Snapshot = *Batch.add_records()->mutable_config_snapshot();
      Snapshot.set_covers(2);
      Snapshot.set_version(1);
    });
    expectFinding(Wrong, "has other objects than the change sets give");
  }

  // Guards against export files that differ from the exported stream.
  void exportFileRoundTripPreservesStream() {
    std::string Folder =
        (std::filesystem::temp_directory_path() / "audit-XXXXXX").string();
    CPPUNIT_ASSERT(::mkdtemp(Folder.data()) != nullptr);
    const std::string Path = Folder + "/domain.hplog";
    RecordBuilder Record = consistentRecord();
    Record.applyRetention(2);
    CPPUNIT_ASSERT(writeExport(Path, Record.Content).has_value());
    const auto Read = readExport(Path);
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(Record.Content.Stream, Read->Stream);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Read->Earliest);
    CPPUNIT_ASSERT_EQUAL(Record.Content.Entries.size(), Read->Entries.size());
    for (std::size_t I = 0; I < Read->Entries.size(); ++I) {
      CPPUNIT_ASSERT_EQUAL(Record.Content.Entries[I].Offset,
                           Read->Entries[I].Offset);
      CPPUNIT_ASSERT(Record.Content.Entries[I].Payload ==
                     Read->Entries[I].Payload);
    }
    // A truncated file must not be read as a shorter stream.
    const auto Size = std::filesystem::file_size(Path);
    std::filesystem::resize_file(Path, Size - 1);
    CPPUNIT_ASSERT(!readExport(Path));
    std::ofstream(Path) << "something else";
    CPPUNIT_ASSERT(!readExport(Path));
    CPPUNIT_ASSERT(!readExport(Folder + "/none"));
    std::filesystem::remove_all(Folder);
  }

  // Guards against reading only the first page of a stream, and against a gap
  // when entries are deleted during the read.
  void fetchesAllPages() {
    const auto Fetch = [](FakeLogClient &Client) {
      asio::io_context Context;
      std::optional<Result<StreamExport>> Out;
      asio::co_spawn(
          Context, fetchStream(Client, "domain.paarl-a"),
          [&](const std::exception_ptr &, Result<StreamExport> Value) {
            Out = std::move(Value);
          });
      Context.run();
      return *Out;
    };
    RecordBuilder Record = consistentRecord();
    FakeLogClient WholeStream(Record.Content);
    CPPUNIT_ASSERT_EQUAL(std::size_t(15), Fetch(WholeStream)->Entries.size());
    Record.applyRetention(5);
    FakeLogClient Shortened(Record.Content);
    const auto Partial = Fetch(Shortened);
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Partial->Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Partial->Earliest);
    FakeLogClient DeletingClient(consistentRecord().Content);
    DeletingClient.DeleteAfterReads = 2;
    const auto Incomplete = Fetch(DeletingClient);
    CPPUNIT_ASSERT(!Incomplete);
    CPPUNIT_ASSERT(Incomplete.error().Message.find("run the audit again") !=
                   std::string::npos);
    FakeLogClient Empty(
        StreamExport{.Stream = "x", .Earliest = 0, .Entries = {}});
    CPPUNIT_ASSERT(Fetch(Empty)->Entries.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuditTest);

} // namespace hickory
