#include "Config/ConfigState.h"

#include "ConfigTestSupport.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Text of the first error, or "accepted" or "conflict".
std::string describe(const ConfigVerdict &Verdict) {
  switch (Verdict.Kind) {
  case VerdictKind::Accepted:
    return "accepted";
  case VerdictKind::Conflict:
    return "conflict " + Verdict.Object;
  case VerdictKind::Rejected:
    break;
  }
  std::string All;
  for (const std::string &Text : Verdict.Errors)
    All += Text + "\n";
  return All;
}

} // namespace

class ConfigStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(acceptsCellConfiguration);
  CPPUNIT_TEST(secondChangeWithSameBaseConflicts);
  CPPUNIT_TEST(duplicateIdKeepsFirstVerdict);
  CPPUNIT_TEST(neverGoesBack);
  CPPUNIT_TEST(removedAndAddedAgainHasNewVersion);
  CPPUNIT_TEST(rejectsObjectsWithProblems);
  CPPUNIT_TEST(rejectsBrokenReferences);
  CPPUNIT_TEST(rejectsCycles);
  CPPUNIT_TEST(rejectsQuotasAboveCapacity);
  CPPUNIT_TEST(rejectsMalformedChangeSets);
  CPPUNIT_TEST(refusesInvalidSnapshot);
  CPPUNIT_TEST(startsFromSnapshotInBatch);
  CPPUNIT_TEST(waitsForVerdict);
  CPPUNIT_TEST(reportsVersionsAndVerdicts);
  CPPUNIT_TEST(boundsStoredErrors);
  CPPUNIT_TEST_SUITE_END();

  FakeTimerService Timers_;

  /// Verdict of a change set that adds or replaces one object on top of the
  /// cell configuration, which is at version 1.
  std::string judge(const std::string &Kind, const std::string &Name,
                    const std::string &Toml) {
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), State.version());
    std::uint64_t Base = 0;
    for (const records::ConfigObject &Object : State.objects())
      if (Object.kind() == Kind && Object.name() == Name)
        Base = Object.version();
    records::ChangeSet Changes;
    Changes.set_id("second");
    addObject(Changes, Kind, Name, Toml, Base);
    return describe(State.check(Changes));
  }

  void expect(const std::string &Kind, const std::string &Name,
              const std::string &Toml, const std::string &Wanted) {
    const std::string Got = judge(Kind, Name, Toml);
    CPPUNIT_ASSERT_MESSAGE("got: " + Got + "wanted: " + Wanted,
                           Got.find(Wanted) != std::string::npos);
  }

public:
  // Guards against values that are lost between the text and the view.
  void acceptsCellConfiguration() {
    ConfigState State(Timers_);
    State.onBatch(7, batchOf(cellChangeSet("first")));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                         describe(State.verdict("first").value()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), State.version());
    CPPUNIT_ASSERT(State.hasMember("kernvaal"));
    CPPUNIT_ASSERT(!State.hasMember("main"));
    const auto Urgent = State.jobClass("moisture-check").value();
    CPPUNIT_ASSERT(Urgent.Kind == WorkKind::Batch);
    CPPUNIT_ASSERT(Urgent.Accept == Acceptance::Logged);
    CPPUNIT_ASSERT_EQUAL(1000U, Urgent.Priority);
    CPPUNIT_ASSERT_EQUAL(5U, Urgent.MaximumAttempts);
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), Urgent.Policy);
    const auto Once = State.jobClass("sheller-calibration").value();
    CPPUNIT_ASSERT(Once.NonRepeatable);
    // Inherits five attempts, but non-repeatable work has one.
    CPPUNIT_ASSERT_EQUAL(1U, Once.MaximumAttempts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3200000), State.pool("main")->CpusMilli);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         State.pool("main")->FailureDomains.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), State.quotas().size());
    CPPUNIT_ASSERT(!State.jobClass("urgent"));
    CPPUNIT_ASSERT(!State.pool("other"));
  }

  // Guards against one operator silently undoing the change of another.
  void secondChangeWithSameBaseConflicts() {
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    records::ChangeSet A;
    A.set_id("a");
    addObject(A, "policy", "urgent", "priority = 1100\n", 1);
    records::ChangeSet B;
    B.set_id("b");
    addObject(B, "policy", "urgent", "priority = 1200\n", 1);
    State.onBatch(1, batchOf(A));
    State.onBatch(2, batchOf(B));
    CPPUNIT_ASSERT(State.verdict("a")->Kind == VerdictKind::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), State.verdict("a")->Version);
    CPPUNIT_ASSERT_EQUAL(std::string("conflict policy.urgent"),
                         describe(*State.verdict("b")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), State.verdict("b")->Version);
    CPPUNIT_ASSERT_EQUAL(1100U, State.jobClass("moisture-check")->Priority);
  }

  // Guards against a repeated append that changes the outcome.
  void duplicateIdKeepsFirstVerdict() {
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    State.onBatch(1, batchOf(cellChangeSet("first")));
    CPPUNIT_ASSERT(State.verdict("first")->Kind == VerdictKind::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), State.version());
  }

  // Guards against a configuration that reverts when a relay repeats batches
  // or an old snapshot arrives.
  void neverGoesBack() {
    ConfigState State(Timers_);
    State.onBatch(5, batchOf(cellChangeSet("first")));
    const auto Old = State.save().value();
    records::ChangeSet A;
    A.set_id("a");
    addObject(A, "policy", "urgent", "priority = 1100\n", 1);
    State.onBatch(6, batchOf(A));
    CPPUNIT_ASSERT(!State.load(Old));
    records::ChangeSet B;
    B.set_id("b");
    addObject(B, "policy", "urgent", "priority = 1300\n", 2);
    State.onBatch(6, batchOf(B));
    State.onBatch(5, batchOf(B));
    CPPUNIT_ASSERT(!State.verdict("b"));
    CPPUNIT_ASSERT_EQUAL(1100U, State.jobClass("moisture-check")->Priority);
    records::ConfigSnapshot Wrong = Old;
    Wrong.set_covers(100);
    CPPUNIT_ASSERT(!State.load(Wrong));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), State.version());
  }

  // Guards against a change based on a removed object that applies to its
  // successor of the same name.
  void removedAndAddedAgainHasNewVersion() {
    ConfigState State(Timers_);
    records::ChangeSet Add;
    Add.set_id("add");
    addObject(Add, "member", "x", "");
    State.onBatch(0, batchOf(Add));
    records::ChangeSet Remove;
    Remove.set_id("remove");
    removeObject(Remove, "member", "x", 1);
    State.onBatch(1, batchOf(Remove));
    CPPUNIT_ASSERT(!State.hasMember("x"));
    Add.set_id("add again");
    State.onBatch(2, batchOf(Add));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), State.objects().at(0).version());
    Remove.set_id("remove again");
    State.onBatch(3, batchOf(Remove));
    CPPUNIT_ASSERT(State.verdict("remove again")->Kind ==
                   VerdictKind::Conflict);
  }

  // Guards against objects whose content is ignored or misread.
  void rejectsObjectsWithProblems() {
    expect("member", "new", "teams = \"a\"\n", "teams: is a string");
    expect("member", "new", "teams = [\"a\", \"a\"]\n", "\"a\" twice");
    expect("member", "new", "team = []\n",
           "member.new:1: team: is not a known key");
    expect("member", "a b", "", "name \"a b\" is not valid");
    expect("member", "new", "x = 1979-05-27\n", "dates and times");
    expect("member", "new", "teams = [\n", "not valid TOML");
    expect("robot", "new", "", "kind \"robot\" is not known");
    expect("quota", "kernvaal",
           "member = \"kernvaal\"\npool = \"main\"\ncpus_milli = -1\n",
           "quota.kernvaal:3: cpus_milli: is -1; write an integer in "
           "thousandths of a processor from 0 to");
    expect("quota", "kernvaal",
           "member = \"kernvaal\"\npool = \"main\"\n"
           "memory_mb = 9223372036854775807\n",
           "memory_mb: is 9223372036854775807");
    expect("quota", "kernvaal", "pool = \"main\"\n", "member: is missing");
    expect("policy", "urgent", "acceptance = \"replicated\"\n",
           "not available in this release");
    expect("policy", "urgent", "acceptance = \"later\"\n",
           "write logged or synchronous");
    expect("policy", "urgent", "kind = \"cron\"\n",
           "write batch, service, gang or request");
    expect("policy", "urgent", "non_repeatable = true\nmax_attempts = 2\n",
           "write 1 or remove it");
    expect("policy", "urgent", "acceptance = \"synchronous\"\n",
           "needs kind = \"request\"");
    expect("policy", "urgent",
           "acceptance = \"synchronous\"\nkind = \"request\"\n", "accepted");
    expect("pool", "main", "[capacity]\ncpus = 1\n",
           "capacity.cpus: is not a known key");
  }

  // Guards against a published configuration with names that lead nowhere.
  void rejectsBrokenReferences() {
    expect("job_class", "c", "pool = \"gone\"\npolicy = \"urgent\"\n",
           "job_class.c: pool: refers to pool.gone, which does not exist");
    expect("job_class", "c", "pool = \"main\"\npolicy = \"gone\"\n",
           "refers to policy.gone");
    expect("job_class", "c",
           "pool = \"main\"\npolicy = \"urgent\"\nmember = \"gone\"\n",
           "refers to member.gone");
    expect("policy", "p", "inherits = \"gone\"\n", "refers to policy.gone");
    expect("quota", "q", "member = \"gone\"\npool = \"main\"\n",
           "refers to member.gone");
    expect("quota", "q",
           "member = \"kernvaal\"\nteam = \"gone\"\npool = \"main\"\n",
           "\"gone\" is not a team of member.kernvaal; add it to teams there "
           "or write one of [lab, sorting]");
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    records::ChangeSet Remove;
    Remove.set_id("remove");
    removeObject(Remove, "policy", "urgent", 1);
    const std::string Got = describe(State.check(Remove));
    CPPUNIT_ASSERT_MESSAGE(
        Got, Got.find("job_class.moisture-check: policy: refers to "
                      "policy.urgent, which this change set removes") !=
                 std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.find("policy.once: inherits") !=
                                    std::string::npos);
  }

  // Guards against endless inheritance.
  void rejectsCycles() {
    expect("policy", "batch", "inherits = \"urgent\"\n",
           "policy.batch: inherits: forms the cycle batch -> urgent -> batch");
    expect("policy", "self", "inherits = \"self\"\n",
           "forms the cycle self -> self");
  }

  // Guards against promises that the pool cannot keep.
  void rejectsQuotasAboveCapacity() {
    expect("quota", "karri-ridge",
           "member = \"karri-ridge\"\npool = \"main\"\n"
           "cpus_milli = 1200001\n",
           "pool.main: capacity.cpus_milli: quotas add up to 3200001, but the "
           "capacity is 3200000");
    expect("pool", "main", "[capacity]\ncpus_milli = 3200000\n",
           "capacity.memory_mb: quotas add up to 12800000");
    expect("pool", "main", "", "accepted");
    expect("quota", "kernvaal-lab",
           "member = \"kernvaal\"\nteam = \"lab\"\npool = \"main\"\n"
           "cpus_milli = 500001\n",
           "the teams of member.kernvaal have 2000001 together");
    expect("quota", "copy", "member = \"kernvaal\"\npool = \"main\"\n",
           "has the same member, team and pool as quota.copy; keep one");
  }

  // Guards against change sets whose effect would depend on the reader.
  void rejectsMalformedChangeSets() {
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    records::ChangeSet Changes;
    Changes.set_id("x");
    CPPUNIT_ASSERT(describe(State.check(Changes)).starts_with("objects: "));
    addObject(Changes, "member", "m", "");
    addObject(Changes, "member", "m", "");
    CPPUNIT_ASSERT(describe(State.check(Changes)).find("twice") !=
                   std::string::npos);
    Changes.mutable_objects()->RemoveLast();
    Changes.clear_based_on();
    CPPUNIT_ASSERT(describe(State.check(Changes)).find("based_on does not") !=
                   std::string::npos);
    records::ChangeSet Remove;
    Remove.set_id("y");
    removeObject(Remove, "member", "nobody", 0);
    CPPUNIT_ASSERT(describe(State.check(Remove)).find("does not exist") !=
                   std::string::npos);
    records::ChangeSet NoId;
    addObject(NoId, "member", "m", "");
    State.onBatch(1, batchOf(NoId));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), State.version());
    // A check needs no id.
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), describe(State.check(NoId)));
  }

  // Guards against a snapshot that puts a broken configuration in force.
  void refusesInvalidSnapshot() {
    ConfigState State(Timers_);
    State.onBatch(0, batchOf(cellChangeSet("first")));
    records::ConfigSnapshot Snapshot = State.save().value();
    Snapshot.set_covers(10);
    Snapshot.mutable_objects()->RemoveLast();
    for (int I = 0; I < Snapshot.objects_size(); ++I)
      if (Snapshot.objects(I).kind() == "pool")
        Snapshot.mutable_objects()->DeleteSubrange(I, 1);
    ConfigState Other(Timers_);
    CPPUNIT_ASSERT(!Other.load(Snapshot));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Other.version());
    CPPUNIT_ASSERT(!Other.covered());
  }

  // Guards against a reader that never starts because the beginning of the
  // stream is no longer retained.
  void startsFromSnapshotInBatch() {
    ConfigState State(Timers_);
    State.onBatch(4, batchOf(cellChangeSet("first")));
    records::RecordBatch Batch;
    Batch.add_records()->mutable_heartbeat();
    *Batch.add_records()->mutable_config_snapshot() = State.save().value();
    ConfigState Other(Timers_);
    CPPUNIT_ASSERT(!Other.loadSnapshot(batchOf(cellChangeSet("x"))));
    CPPUNIT_ASSERT(Other.loadSnapshot(Batch) == std::uint64_t(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Other.version());
    CPPUNIT_ASSERT(Other.verdict("first")->Kind == VerdictKind::Accepted);
    Other.onBatch(9, records::RecordBatch());
    CPPUNIT_ASSERT(Other.loadSnapshot(Batch) == std::uint64_t(9));
  }

  // Guards against a caller that waits for ever or gets another change set's
  // verdict.
  void waitsForVerdict() {
    asio::io_context Context;
    ConfigState State(Timers_);
    std::vector<Result<ConfigVerdict>> Results;
    const auto Wait = [&](std::string Id) -> asio::awaitable<void> {
      Results.push_back(co_await State.waitForVerdict(std::move(Id), 5s));
    };
    const auto Run = [&] {
      Context.restart();
      Context.poll();
    };
    asio::co_spawn(Context, Wait("first"), asio::detached);
    asio::co_spawn(Context, Wait("never"), asio::detached);
    Run();
    records::ChangeSet Other;
    Other.set_id("other");
    State.onBatch(0, batchOf(Other));
    Run();
    CPPUNIT_ASSERT(Results.empty());
    State.onBatch(1, batchOf(cellChangeSet("first")));
    Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Results.size());
    CPPUNIT_ASSERT(Results[0]->Id == "first" &&
                   Results[0]->Kind == VerdictKind::Accepted);
    asio::co_spawn(Context, Wait("other"), asio::detached);
    Run();
    CPPUNIT_ASSERT(Results.at(1)->Kind == VerdictKind::Rejected);
    Timers_.advance(5s);
    Run();
    CPPUNIT_ASSERT(Results.at(2).error().Code == ErrorCode::Timeout);
  }

  // Guards against parts that keep using an old configuration.
  void reportsVersionsAndVerdicts() {
    ConfigState State(Timers_);
    std::vector<std::uint64_t> Versions;
    std::vector<std::string> Ids;
    Subscription Version = State.onVersion([&](std::uint64_t New) {
      Versions.push_back(New);
      CPPUNIT_ASSERT(State.hasMember("kernvaal"));
      Version.reset();
    });
    const Subscription Verdict = State.onVerdict(
        [&](const ConfigVerdict &Got) { Ids.push_back(Got.Id); });
    State.onBatch(0, batchOf(cellChangeSet("first")));
    records::ChangeSet A;
    A.set_id("a");
    addObject(A, "member", "kernvaal", "teams = [\"sorting\"]\n", 1);
    State.onBatch(1, batchOf(A));
    CPPUNIT_ASSERT((Versions == std::vector<std::uint64_t>{1}));
    CPPUNIT_ASSERT((Ids == std::vector<std::string>{"first", "a"}));
    ConfigState Other(Timers_);
    const Subscription Loaded =
        Other.onVersion([&](std::uint64_t New) { Versions.push_back(New); });
    CPPUNIT_ASSERT(Other.load(State.save().value()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Versions.back());
  }

  // Guards against a wrong change set that makes every later snapshot large.
  void boundsStoredErrors() {
    ConfigState State(Timers_);
    records::ChangeSet Changes;
    Changes.set_id("x");
    for (int I = 0; I < 500; ++I)
      addObject(Changes, std::string(400, 'k'), std::to_string(I), "");
    State.onBatch(0, batchOf(Changes));
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), State.verdict("x")->Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("480 more errors"),
                         State.verdict("x")->Errors.back());
    CPPUNIT_ASSERT(State.save()->ByteSizeLong() < 10000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

} // namespace hickory
