#include "Cell/CellNodeBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Three processes with one worker of 4 cores.
struct AccountLoadBench : CellNodeBench {
  explicit AccountLoadBench(bool Accounts, bool Admission) : CellNodeBench(6) {
    Environment.AdmissionControl = Admission;
    Environment.Configuration.Queues.front().Stretch = 1;
    Environment.Configuration.Queues.front().TargetLatency = 1000ms;
    if (Accounts)
      Environment.Configuration.Accounts = std::vector<ClientAccount>{
          {.Name = "a", .KeyDigests = {}, .Weight = 1, .Cap = {}},
          {.Name = "b", .KeyDigests = {}, .Weight = 1, .Cap = {}}};
    addWorker("worker");
    for (const char *Address : {"p:1", "q:1", "r:1"})
      startNode(Address);
    run(4s);
  }
  JobSpec jobOfAccount(int Number, const std::string &Account, int Tasks = 1) {
    JobSpec Job = jobOf(idIn(Number % 6, Number / 6), {step(Tasks)});
    Job.Account = Account;
    return Job;
  }
  /// Returns the number of processes' reports with loads of any account.
  std::size_t reportedLoads() {
    std::size_t Count = 0;
    for (TestCellNode *Node : alive())
      Count += Node->node()
                   .exchange({.Sender = "test:1",
                              .Member = "test:1/1",
                              .Held = {{.Shard = 0, .Epoch = 0}}})
                   .AccountLoads.size();
    return Count;
  }
  GatewayAnswer answerTo(const JobSpec &Job) {
    auto Answer = std::make_shared<GatewayAnswer>();
    asio::co_spawn(
        Environment.Context,
        [](TestCellNode *Node, JobSpec Spec,
           std::shared_ptr<GatewayAnswer> Result) -> asio::awaitable<void> {
          *Result = co_await Node->gateway().submit(std::move(Spec));
        }(alive().front(), Job, Answer),
        asio::detached);
    run(300ms);
    return *Answer;
  }
};

} // namespace

class AccountLoadControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountLoadControlTest);
  CPPUNIT_TEST(testNoLoadsAreSentWithoutAccountsAndAdmission);
  CPPUNIT_TEST(testOwnersReportLoadsByAccount);
  CPPUNIT_TEST(testRejectedJobNeverRunsAndKnownOneIsNotRejected);
  CPPUNIT_TEST(testNothingIsRejectedWithoutAdmission);
  CPPUNIT_TEST(testJobOfUnknownOutcomeIsNotRejected);
  CPPUNIT_TEST(testMessagesOfTheEarlierReleaseAreRead);
  CPPUNIT_TEST_SUITE_END();

public:
  // Messages must stay as they were where the part is not enabled.
  void testNoLoadsAreSentWithoutAccountsAndAdmission() {
    AccountLoadBench Bench(false, false);
    for (int I = 0; I < 12; ++I)
      Bench.submit(*Bench.alive().front(), Bench.jobOfAccount(I, "a"));
    Bench.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.reportedLoads());
    for (TestCellNode *Node : Bench.alive())
      CPPUNIT_ASSERT(Node->metrics().render().find("load_reports 0") !=
                     std::string::npos);
  }

  // Guards against owners that compare only their own jobs.
  void testOwnersReportLoadsByAccount() {
    AccountLoadBench Bench(true, false);
    for (int I = 0; I < 12; ++I)
      Bench.submit(*Bench.alive().front(),
                   Bench.jobOfAccount(I, I % 2 == 0 ? "a" : "b"));
    Bench.run(200ms);
    CPPUNIT_ASSERT(Bench.reportedLoads() >= 2);
    Bench.run(1s);
    for (TestCellNode *Node : Bench.alive())
      CPPUNIT_ASSERT(Node->metrics().render().find("load_reports 3") !=
                     std::string::npos);
  }

  // A client that repeats an accepted submission must not be told that the job
  // was rejected.
  void testRejectedJobNeverRunsAndKnownOneIsNotRejected() {
    AccountLoadBench Bench(false, true);
    const JobSpec Large = Bench.jobOfAccount(0, "", 400);
    CPPUNIT_ASSERT_EQUAL(200, Bench.answerTo(Large).Status);
    Bench.run(1500ms);
    const JobSpec Refused = Bench.jobOfAccount(1, "");
    const GatewayAnswer Answer = Bench.answerTo(Refused);
    CPPUNIT_ASSERT_EQUAL(503, Answer.Status);
    CPPUNIT_ASSERT(Answer.RetryAfter && *Answer.RetryAfter >= 1s &&
                   *Answer.RetryAfter <= 3s);
    CPPUNIT_ASSERT_EQUAL(200, Bench.answerTo(Large).Status);
    const std::string Lines = Bench.trace("\"rejected\"");
    CPPUNIT_ASSERT_MESSAGE(Lines, Lines.find("cell_full") != std::string::npos);
    CPPUNIT_ASSERT(Lines.find(Refused.Id) != std::string::npos);
    CPPUNIT_ASSERT(Lines.find("oldest_report_ms") != std::string::npos);
    Bench.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("410"), Bench.stateOf(Refused.Id));
  }

  void testNothingIsRejectedWithoutAdmission() {
    AccountLoadBench Bench(true, false);
    CPPUNIT_ASSERT_EQUAL(
        200, Bench.answerTo(Bench.jobOfAccount(0, "a", 400)).Status);
    Bench.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(200,
                         Bench.answerTo(Bench.jobOfAccount(1, "a")).Status);
  }

  // The record of a job whose write was not answered may be in the journal, so
  // that the job may run: its client must not be told that it never does.
  void testJobOfUnknownOutcomeIsNotRejected() {
    AccountLoadBench Bench(false, true);
    Bench.Environment.Store.ChooseFault = [](const std::string &,
                                             const std::string &Call) {
      return Call == "append" ? CallFault{.Type = CallFault::Kind::LostReply}
                              : CallFault{};
    };
    const JobSpec Unknown = Bench.jobOfAccount(0, "");
    CPPUNIT_ASSERT(Bench.answerTo(Unknown).Status != 200);
    Bench.run(1500ms);
    Bench.Environment.Store.ChooseFault = nullptr;
    // Other jobs fill the cell before the client asks again.
    for (int I = 1; I < 12; ++I)
      Bench.submit(*Bench.alive().front(), Bench.jobOfAccount(I, "", 400));
    Bench.run(1500ms);
    const JobSpec Other = Bench.jobOfAccount(12, "");
    CPPUNIT_ASSERT_EQUAL(503, Bench.answerTo(Other).Status);
    Bench.answerTo(Unknown);
    Bench.run(1s);
    const std::string Lines = Bench.trace("\"rejected\"");
    CPPUNIT_ASSERT(Lines.find("cell_full") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Lines, std::string::npos,
                                 Lines.find(Unknown.Id));
    CPPUNIT_ASSERT_EQUAL(200, Bench.answerTo(Unknown).Status);
  }

  // During a rolling change, replies of the earlier release lack the fields.
  void testMessagesOfTheEarlierReleaseAreRead() {
    const auto Submitted =
        nlohmann::json::parse(R"({"Status":200,"NotOwner":false})")
            .get<SubmitReply>();
    CPPUNIT_ASSERT_EQUAL(200, Submitted.Status);
    CPPUNIT_ASSERT(Submitted.Reason.empty());
    nlohmann::json Exchanged = ExchangeReply{.Member = "p:1/1"};
    Exchanged.erase("AccountLoads");
    CPPUNIT_ASSERT(Exchanged.get<ExchangeReply>().AccountLoads.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLoadControlTest);

} // namespace hickory
