#include "Cell/LoadPlay.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const Clock::time_point Now{1h};
/// Each load is played this number of times.
constexpr std::uint64_t Seeds = 8;

ClientAccount account(const std::string &Name, double Weight) {
  return {.Name = Name, .KeyDigests = {}, .Weight = Weight, .Cap = {}};
}

Resources cores(std::uint64_t Count) { return {.CpusMilli = 1000 * Count}; }

AccountLoad load(const std::string &Account, int Priority,
                 std::uint64_t Running, std::uint64_t Waiting) {
  return {.Account = Account,
          .Priority = Priority,
          .Running = cores(Running),
          .WaitingDemand = cores(Waiting),
          .WaitingWork = cores(1000 * Waiting)};
}

/// Priority 0 of deployment A: three tasks of a second on five cores.
QueuePolicy urgentQueue() {
  QueuePolicy Queue{.Name = "urgent"};
  Queue.Stretch = 1.5;
  Queue.TargetLatency = 300ms;
  return Queue;
}
StepSpec urgentStep() {
  return {.Count = 3, .Demand = cores(5), .EstimatedDuration = 1000ms};
}
std::string nameOf(int Account) {
  return fmt::format("account-{:02}", Account);
}

PlayedOutcome ofAccount(const LoadPlay &Play, const std::string &Name) {
  return Play.sum([&](const std::string &Each) { return Each == Name; }, 0);
}
PlayedOutcome ofOthers(const LoadPlay &Play, const std::string &Name) {
  return Play.sum([&](const std::string &Each) { return Each != Name; }, 0);
}
std::string describe(const char *What, const PlayedOutcome &Outcome) {
  return fmt::format("{}: {} submitted, in time {:.3f}, of value {:.3f}", What,
                     Outcome.Submitted, Outcome.inTime(),
                     Outcome.withinValue());
}

/// 20 accounts of weight 3 at 3 jobs/s; account 0 sends six times as much for
/// 6 s. The usual load takes 0.95 of the capacity.
LoadPlay playOneOfTwenty(LoadPlayOptions Options) {
  Options.Capacity = cores(950);
  LoadPlay Play(Options);
  for (int I = 0; I < 20; ++I) {
    Play.Accounts.push_back(account(nameOf(I), 3));
    Play.Loads.push_back({.Account = nameOf(I),
                          .Queue = urgentQueue(),
                          .Step = urgentStep(),
                          .Rate = [I](double Seconds) {
                            const bool Burst = Seconds >= 4 && Seconds < 10;
                            return I == 0 && Burst ? 18.0 : 3.0;
                          }});
  }
  Play.run();
  return Play;
}

/// Weights 1 and 3; the first has demand of eight times its share, the second
/// of its share. The capacity is that of 40 jobs/s.
LoadPlay playTwoAccounts(LoadPlayOptions Options) {
  Options.Capacity = cores(600);
  LoadPlay Play(Options);
  Play.Accounts = {account("small", 10), account("large", 30)};
  const auto Add = [&Play](const std::string &Name, double Rate) {
    Play.Loads.push_back({.Account = Name,
                          .Queue = urgentQueue(),
                          .Step = urgentStep(),
                          .Rate = [Rate](double) { return Rate; }});
  };
  Add("small", 80);
  Add("large", 28);
  Play.run();
  return Play;
}

} // namespace

class ShareOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShareOrderTest);
  CPPUNIT_TEST(testReportsExpireAndReplaceEachOther);
  CPPUNIT_TEST(testAccountAloneIsNotAboveItsShare);
  CPPUNIT_TEST(testUnusedShareIsDividedAmongTheOthers);
  CPPUNIT_TEST(testOtherPrioritiesDoNotCount);
  CPPUNIT_TEST(testJobsWithinTheRateKeepTheirPlace);
  CPPUNIT_TEST(testRepeatedSubmissionsCountOnce);
  CPPUNIT_TEST(testOneAccountOfTwentyDoesNotDelayTheOthers);
  CPPUNIT_TEST(testSmallWeightDoesNotDelayALargeOne);
  CPPUNIT_TEST(testAccountAloneUsesEverything);
  CPPUNIT_TEST_SUITE_END();

public:
  // A report of an owner that is gone must not count for long, and a shard that
  // moves only until the former owner's next report.
  void testReportsExpireAndReplaceEachOther() {
    DemandView View;
    const auto Running = [&View](Clock::time_point At) {
      auto Sums = View.sums(At);
      return Sums.ByPriority[0]["a"].Running.CpusMilli / 1000;
    };
    View.apply("p:1", {load("a", 0, 5, 0)}, Now);
    View.apply("q:1", {load("a", 0, 5, 0)}, Now + 1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Running(Now + 2s));
    View.apply("p:1", {}, Now + 500ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Running(Now + 2s));
    // An answer to an earlier request arrives later.
    View.apply("p:1", {load("a", 0, 5, 0)}, Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Running(Now + 2s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Running(Now + 4s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), View.sums(Now + 4s).Reports);
  }

  void testAccountAloneIsNotAboveItsShare() {
    FakeTimerService Timers;
    ShareOrder Order(Timers);
    AccountLoad Alone = load("a", 0, 100, 500);
    Alone.JobsPerSecond = 100;
    DemandView View;
    View.apply("p:1", {Alone, load("b", 0, 0, 0)}, Now);
    Order.update(View.sums(Now), cores(100),
                 {account("a", 1), account("b", 9)});
    CPPUNIT_ASSERT(!Order.isAboveUsage("a", 0));
    CPPUNIT_ASSERT(!Order.isBeyondRate("a", 0, "job"));
  }

  // Guards against capacity that nobody gets.
  void testUnusedShareIsDividedAmongTheOthers() {
    FakeTimerService Timers;
    ShareOrder Order(Timers);
    DemandView View;
    View.apply(
        "p:1",
        {load("a", 0, 60, 100), load("b", 0, 25, 100), load("c", 0, 10, 0)},
        Now);
    Order.update(View.sums(Now), cores(100),
                 {account("a", 1), account("b", 1), account("c", 2)});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, Order.shareOf("a", 0), 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.10, Order.shareOf("c", 0), 0.001);
    CPPUNIT_ASSERT(Order.isAboveUsage("a", 0));
    CPPUNIT_ASSERT(!Order.isAboveUsage("b", 0));
    CPPUNIT_ASSERT(!Order.isAboveUsage("c", 0));
  }

  // What an account runs in another priority must not delay its urgent jobs.
  void testOtherPrioritiesDoNotCount() {
    FakeTimerService Timers;
    ShareOrder Order(Timers);
    DemandView View;
    View.apply("p:1",
               {load("a", 0, 5, 5), load("b", 0, 5, 5), load("a", 2, 90, 0)},
               Now);
    Order.update(View.sums(Now), cores(100),
                 {account("a", 1), account("b", 1)});
    CPPUNIT_ASSERT(!Order.isAboveUsage("a", 0));
    CPPUNIT_ASSERT(!Order.isAboveUsage("a", 2));
  }

  // An account above its rate must still get what it is entitled to.
  void testJobsWithinTheRateKeepTheirPlace() {
    FakeTimerService Timers;
    ShareOrder Order(Timers);
    AccountLoad Burst = load("a", 0, 0, 10);
    Burst.JobsPerSecond = 18;
    AccountLoad Usual = load("b", 0, 0, 10);
    Usual.JobsPerSecond = 4;
    DemandView View;
    View.apply("p:1", {Burst, Usual}, Now);
    Order.update(View.sums(Now), cores(100),
                 {account("a", 3), account("b", 3)});
    int Beyond = 0;
    for (int I = 0; I < 6000; ++I) {
      const std::string Id = fmt::format("{:016x}", I);
      Beyond += Order.isBeyondRate("a", 0, Id) ? 1 : 0;
      CPPUNIT_ASSERT(!Order.isBeyondRate("b", 0, Id));
    }
    CPPUNIT_ASSERT(std::abs(Beyond - 5000) < 150);
  }

  // Clients that retry must not look like more jobs.
  void testRepeatedSubmissionsCountOnce() {
    SubmissionRates Rates;
    JobSpec Job{.Id = "job", .Queue = {}, .Account = "a", .Payload = ""};
    for (int I = 0; I < 8; ++I)
      Rates.record(Job, Now + I * 100ms);
    std::vector<AccountLoad> Loads;
    Rates.addTo(Loads, Now + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loads.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Loads[0].JobsPerSecond, 0.001);
    Loads.clear();
    Rates.addTo(Loads, Now + 5s);
    CPPUNIT_ASSERT(Loads.empty());
  }

  // Without shares, a burst of one account makes the jobs of all late.
  void testOneAccountOfTwentyDoesNotDelayTheOthers() {
    const auto OthersOf = [](bool Usage, bool Rate) {
      PlayedOutcome Sum;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        Sum.add(ofOthers(
            playOneOfTwenty(
                {.Signals = {.ByUsage = Usage, .ByRate = Rate}, .Seed = Seed}),
            nameOf(0)));
      return Sum;
    };
    const PlayedOutcome With = OthersOf(true, true);
    const PlayedOutcome Without = OthersOf(false, false);
    const std::string Text =
        describe("with", With) + "; " + describe("without", Without);
    CPPUNIT_ASSERT_MESSAGE(Text, With.inTime() > 0.92);
    CPPUNIT_ASSERT_MESSAGE(Text, Without.inTime() < 0.90);
  }

  void testSmallWeightDoesNotDelayALargeOne() {
    const auto LargeOf = [](bool Usage, bool Rate) {
      PlayedOutcome Sum;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        Sum.add(ofAccount(
            playTwoAccounts(
                {.Signals = {.ByUsage = Usage, .ByRate = Rate}, .Seed = Seed}),
            "large"));
      return Sum;
    };
    const PlayedOutcome With = LargeOf(true, true);
    const PlayedOutcome Without = LargeOf(false, false);
    const std::string Text =
        describe("with", With) + "; " + describe("without", Without);
    CPPUNIT_ASSERT_MESSAGE(Text, With.inTime() > 0.75);
    CPPUNIT_ASSERT_MESSAGE(Text, Without.inTime() < 0.35);
  }

  // The order of an account alone must not leave capacity unused.
  void testAccountAloneUsesEverything() {
    for (const bool Shares : {true, false}) {
      LoadPlay Play({.Shares = Shares, .Capacity = cores(950)});
      Play.Accounts = {account("a", 3), account("b", 30)};
      Play.Loads.push_back({.Account = "a",
                            .Queue = urgentQueue(),
                            .Step = urgentStep(),
                            .Rate = [](double) { return 50.0; }});
      Play.run();
      CPPUNIT_ASSERT(ofAccount(Play, "a").inTime() > 0.99);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareOrderTest);

} // namespace hickory
