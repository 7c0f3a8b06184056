#include "Cell/LoadPlay.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const Clock::time_point Now{1h};

Resources cores(std::uint64_t Count) { return {.CpusMilli = 1000 * Count}; }

QueuePolicy queueOf(int Priority) {
  QueuePolicy Queue{.Name = fmt::format("queue-{}", Priority)};
  Queue.Priority = Priority;
  Queue.Stretch = 1.5;
  Queue.TargetLatency = 300ms;
  return Queue;
}

JobSpec jobOf(const std::string &Account, int Priority = 0,
              const std::string &Id = "job") {
  return {
      .Id = Id,
      .Queue = queueOf(Priority),
      .Account = Account,
      .Payload = "",
      .Steps = {{.Count = 3, .Demand = cores(5), .EstimatedDuration = 1000ms}}};
}
/// Longest wait of jobOf(): 3 * (1.5 * 1 s + 0.3 s) - 1 s.
constexpr std::chrono::milliseconds LongestWait{4400};

/// Waiting work that the capacity of 100 cores needs the given time for.
AccountLoad waiting(const std::string &Account, int Priority,
                    std::chrono::milliseconds Time) {
  const auto Amount = static_cast<std::uint64_t>(Time.count()) * 100;
  return {.Account = Account,
          .Priority = Priority,
          .Running = {},
          .WaitingDemand = cores(100),
          .WaitingWork = cores(Amount)};
}

/// Decides by loads that one owner has just reported.
struct PolicyBench {
  FakeTimerService Timers;
  ShareOrder Shares{Timers};
  AdmissionPolicy Policy{1};
  Resources Total = cores(100);
  std::vector<ClientAccount> Accounts;
  DemandView::Sums Sums;

  void report(std::vector<AccountLoad> Loads) {
    DemandView View;
    View.apply("p:1", std::move(Loads), Now);
    Sums = View.sums(Now);
    Shares.update(Sums, Total, Accounts);
  }
  AdmissionDecision decide(const JobSpec &Job,
                           std::chrono::milliseconds Age = 0ms) {
    const auto It =
        std::ranges::find(Accounts, Job.Account, &ClientAccount::Name);
    return Policy.decide(Job, Age,
                         {.Demand = Sums,
                          .Total = Total,
                          .Shares = Shares,
                          .Account = It == Accounts.end() ? nullptr : &*It});
  }
};

std::string nameOf(int Account) {
  return fmt::format("account-{:02}", Account);
}

const auto Everybody = [](const std::string &) { return true; };

std::string describe(const std::string &What, const PlayedOutcome &Outcome) {
  std::string Text = fmt::format(
      "{}: {} submitted, in time {:.3f}, of value {:.3f}, accepted late {}, "
      "rejections {}, lost {}",
      What, Outcome.Submitted, Outcome.inTime(), Outcome.withinValue(),
      Outcome.AcceptedLate, Outcome.Rejections, Outcome.Lost);
  for (const auto &[Reason, Count] : Outcome.Reasons)
    Text += fmt::format(", {} {}", hickory::nameOf(Reason), Count);
  return Text;
}

/// 20 accounts of weight 3 that send 3 urgent jobs a second; the usual load
/// takes 0.9 of the capacity.
LoadPlay playAccounts(LoadPlayOptions Options,
                      const std::function<double(int, double)> &Factor) {
  Options.Capacity = cores(1000);
  LoadPlay Play(Options);
  for (int I = 0; I < 20; ++I) {
    Play.Accounts.push_back(
        {.Name = nameOf(I), .KeyDigests = {}, .Weight = 3, .Cap = {}});
    Play.Loads.push_back({.Account = nameOf(I),
                          .Queue = queueOf(0),
                          .Step = jobOf("").Steps[0],
                          .Rate = [I, Factor](double Seconds) {
                            return 3 * Factor(I, Seconds);
                          }});
  }
  Play.run();
  return Play;
}

/// A burst of 2.3 times the usual rate on a queue for 4 s, without accounts.
/// The usual load takes 0.9 of the capacity; a job may wait for 1.45 s.
LoadPlay playQueueBurst(LoadPlayOptions Options) {
  Options.Capacity = cores(1000);
  LoadPlay Play(Options);
  StepSpec Step = jobOf("").Steps[0];
  Step.EstimatedDuration = 300ms;
  QueuePolicy Queue = queueOf(0);
  Queue.TargetLatency = 133ms;
  Play.Loads.push_back(
      {.Account = "", .Queue = Queue, .Step = Step, .Rate = [](double Seconds) {
         const bool Burst = Seconds >= 4 && Seconds < 8;
         return Burst ? 460.0 : 200.0;
       }});
  Play.run();
  return Play;
}

/// One account at six times its rate for 6 s, while the cell is short of
/// capacity.
LoadPlay playAccountBurst(LoadPlayOptions Options) {
  return playAccounts(Options, [](int Account, double Seconds) {
    return Account == 0 && Seconds >= 4 && Seconds < 10 ? 6.0 : 1.1;
  });
}

/// Sums the outcomes of the load over several seeds, with shares and admission
/// control or with neither.
PlayedOutcome
playedOver(LoadPlay (*Played)(LoadPlayOptions), bool With,
           const std::function<bool(const std::string &)> &Accepts) {
  PlayedOutcome Sum;
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    Sum.add(Played({.Shares = With, .Admission = With, .Seed = Seed})
                .sum(Accepts, 0));
  return Sum;
}

} // namespace

class AdmissionPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionPolicyTest);
  CPPUNIT_TEST(testRejectsOnlyWhatCannotBeCompletedInTime);
  CPPUNIT_TEST(testNothingIsRejectedWithoutReports);
  CPPUNIT_TEST(testLessUrgentWorkDoesNotCloseUrgentQueue);
  CPPUNIT_TEST(testAccountAtItsCap);
  CPPUNIT_TEST(testAccountAboveItsShareIsRejectedFirst);
  CPPUNIT_TEST(testDoesNotChangeWithEachReport);
  CPPUNIT_TEST(testTimeCountsFromTheFirstAttempt);
  CPPUNIT_TEST(testRetryAfterIsSpread);
  CPPUNIT_TEST(testBurstOfAQueue);
  CPPUNIT_TEST(testBurstOfAnAccount);
  CPPUNIT_TEST(testHeavyTailDoesNotCloseAdmission);
  CPPUNIT_TEST_SUITE_END();

public:
  // A job that has a value must not be turned away.
  void testRejectsOnlyWhatCannotBeCompletedInTime() {
    PolicyBench Bench;
    Bench.report({waiting("a", 0, LongestWait - 1ms)});
    CPPUNIT_ASSERT(Bench.decide(jobOf("b")).admitted());
    Bench.report({waiting("a", 0, LongestWait * 12 / 10)});
    const auto Decision = Bench.decide(jobOf("b"));
    CPPUNIT_ASSERT_EQUAL(503, Decision.status());
    CPPUNIT_ASSERT_EQUAL(std::string("cell_full"),
                         std::string(hickory::nameOf(Decision.Reason)));
    CPPUNIT_ASSERT(Decision.LongestWait == LongestWait);
  }

  void testNothingIsRejectedWithoutReports() {
    PolicyBench Bench;
    CPPUNIT_ASSERT(Bench.decide(jobOf("a"), 20s).admitted());
    Bench.report({waiting("a", 0, 1h)});
    Bench.Total = {};
    CPPUNIT_ASSERT(Bench.decide(jobOf("a")).admitted());
    DemandView View;
    View.apply("p:1", {waiting("a", 0, 1h)}, Now);
    Bench.Total = cores(100);
    Bench.Sums = View.sums(Now + 3s);
    CPPUNIT_ASSERT(Bench.decide(jobOf("a")).admitted());
  }

  void testLessUrgentWorkDoesNotCloseUrgentQueue() {
    PolicyBench Bench;
    Bench.report({waiting("a", 2, 1h), waiting("b", 1, 1h)});
    CPPUNIT_ASSERT(Bench.decide(jobOf("a", 0)).admitted());
    CPPUNIT_ASSERT(!Bench.decide(jobOf("a", 1)).admitted());
  }

  void testAccountAtItsCap() {
    PolicyBench Bench;
    Bench.Accounts = {
        {.Name = "a", .KeyDigests = {}, .Weight = 1, .Cap = cores(10)},
        {.Name = "b", .KeyDigests = {}, .Weight = 1, .Cap = {}}};
    // A tenth of the capacity takes ten times as long.
    Bench.report({waiting("a", 0, 600ms)});
    const auto Decision = Bench.decide(jobOf("a"));
    CPPUNIT_ASSERT_EQUAL(429, Decision.status());
    CPPUNIT_ASSERT(Decision.Reason == AdmissionReason::AccountAtCap);
    CPPUNIT_ASSERT(Bench.decide(jobOf("b")).admitted());
  }

  // The work of an account above its share must not turn away others.
  void testAccountAboveItsShareIsRejectedFirst() {
    PolicyBench Bench;
    Bench.Accounts = {{.Name = "a", .KeyDigests = {}, .Weight = 1, .Cap = {}},
                      {.Name = "b", .KeyDigests = {}, .Weight = 1, .Cap = {}}};
    AccountLoad Above = waiting("a", 0, 6s);
    Above.Running = cores(80);
    Bench.report({Above, waiting("b", 0, 500ms)});
    const auto Decision = Bench.decide(jobOf("a"));
    CPPUNIT_ASSERT_EQUAL(429, Decision.status());
    CPPUNIT_ASSERT(Decision.Reason == AdmissionReason::AboveShare);
    CPPUNIT_ASSERT(Bench.decide(jobOf("b")).admitted());
  }

  void testDoesNotChangeWithEachReport() {
    PolicyBench Bench;
    const auto DecideAt = [&Bench](double Part) {
      Bench.report({waiting("a", 0,
                            std::chrono::milliseconds(static_cast<int>(
                                Part * LongestWait.count())))});
      return Bench.decide(jobOf("b")).admitted();
    };
    CPPUNIT_ASSERT(DecideAt(1.05));
    CPPUNIT_ASSERT(!DecideAt(1.15));
    CPPUNIT_ASSERT(!DecideAt(1.05));
    CPPUNIT_ASSERT(DecideAt(0.99));
    CPPUNIT_ASSERT(DecideAt(1.05));
  }

  void testTimeCountsFromTheFirstAttempt() {
    PolicyBench Bench;
    Bench.report({waiting("a", 0, 2s)});
    CPPUNIT_ASSERT(Bench.decide(jobOf("b"), 2s).admitted());
    CPPUNIT_ASSERT(!Bench.decide(jobOf("b"), 3s).admitted());
  }

  // Clients that were rejected together must not return together.
  void testRetryAfterIsSpread() {
    PolicyBench Bench;
    for (const auto Work : {LongestWait + 800ms, LongestWait + 9s}) {
      Bench.report({waiting("a", 0, Work)});
      std::map<std::chrono::milliseconds, int> Counts;
      for (int I = 0; I < 300; ++I)
        ++Counts[Bench.decide(jobOf("b")).RetryAfter];
      CPPUNIT_ASSERT(Counts.size() >= 2);
      CPPUNIT_ASSERT(Counts.begin()->first >= 1s &&
                     Counts.rbegin()->first <= 3s);
      for (const auto &[Delay, Count] : Counts)
        CPPUNIT_ASSERT(Count < 200);
    }
  }

  // Without admission control, a fifth of the jobs is accepted and completed
  // when it has no value any more. Clients retry up to four times.
  void testBurstOfAQueue() {
    const PlayedOutcome With = playedOver(playQueueBurst, true, Everybody);
    const PlayedOutcome Without = playedOver(playQueueBurst, false, Everybody);
    const std::string Text =
        describe("with", With) + "; " + describe("without", Without);
    CPPUNIT_ASSERT_MESSAGE(Text, With.inTime() > 0.67);
    CPPUNIT_ASSERT_MESSAGE(Text, With.inTime() >= Without.inTime());
    CPPUNIT_ASSERT_MESSAGE(Text, With.part(With.AcceptedLate) < 0.09);
    CPPUNIT_ASSERT_MESSAGE(Text, Without.part(Without.AcceptedLate) > 0.18);
    CPPUNIT_ASSERT_MESSAGE(Text, With.withinValue() > 0.78);
  }

  // The burst of an account must turn away only its own jobs, and must not make
  // others late.
  void testBurstOfAnAccount() {
    const auto IsFirst = [](const std::string &Account) {
      return Account == nameOf(0);
    };
    const auto IsOther = [](const std::string &Account) {
      return Account != nameOf(0);
    };
    const PlayedOutcome With = playedOver(playAccountBurst, true, IsFirst);
    const PlayedOutcome Others = playedOver(playAccountBurst, true, IsOther);
    const PlayedOutcome Without = playedOver(playAccountBurst, false, IsFirst);
    const PlayedOutcome OthersWithout =
        playedOver(playAccountBurst, false, IsOther);
    const std::string Text = describe("with, burst", With) + "; " +
                             describe("others", Others) + "; " +
                             describe("without, burst", Without) + "; " +
                             describe("others", OthersWithout);
    CPPUNIT_ASSERT_MESSAGE(Text, Others.inTime() > 0.91);
    CPPUNIT_ASSERT_MESSAGE(Text, OthersWithout.inTime() < 0.88);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, 0, Others.Rejections);
    CPPUNIT_ASSERT_MESSAGE(Text,
                           Others.AcceptedLate < OthersWithout.AcceptedLate);
    CPPUNIT_ASSERT_MESSAGE(Text, With.Rejections > 500);
  }

  // One task in thirty takes seven times as long, as in deployment B. The usual
  // load must not be rejected.
  void testHeavyTailDoesNotCloseAdmission() {
    const LoadPlay Play = playAccounts({.Admission = true, .HeavyTail = 0.03},
                                       [](int, double) { return 0.75; });
    const PlayedOutcome All = Play.sum(Everybody, 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe("all", All), 0, All.Rejections);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionPolicyTest);

} // namespace hickory
