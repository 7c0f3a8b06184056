#include "Scheduling/FairShare.h"

#include "Base/Random.h"
#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr Resources Total{100000, 400000, 100};

peer::MemberUse use(const std::string &Member, const std::string &Team,
                    const Resources &Held) {
  peer::MemberUse Use;
  Use.set_member(Member);
  Use.set_team(Team);
  Use.set_running(1);
  *Use.mutable_held() = Held.toRecord().value();
  return Use;
}

} // namespace

class FairShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairShareTest);
  CPPUNIT_TEST(sharesFollowUsageAndSummaries);
  CPPUNIT_TEST(entitlementsFitAndUseAllCapacity);
  CPPUNIT_TEST(unusedEntitlementIsLent);
  CPPUNIT_TEST(debtOrdersOnlyBorrowers);
  CPPUNIT_TEST(debtDecays);
  CPPUNIT_TEST(staleSummariesExpire);
  CPPUNIT_TEST(implausibleSummaryIsRejected);
  CPPUNIT_TEST(teamsAreOrderedWithinTheirMember);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares that differ from the sum of local usage and
  // summaries.
  void sharesFollowUsageAndSummaries() {
    CPPUNIT_ASSERT(rc::check("shares sum", [](std::uint64_t Seed) {
      Random Numbers(Seed);
      FakeTimerService Timers;
      FairShare Shares(Timers);
      Shares.setTotal(Total);
      std::vector<std::tuple<std::string, std::string, Resources>> Held;
      std::map<std::string, std::vector<peer::MemberUse>> Reports;
      for (int Step = 0; Step < 200; ++Step) {
        const std::string Member = "m" + std::to_string(Numbers.below(3));
        const std::string Team = "t" + std::to_string(Numbers.below(2));
        const Resources Amount{Numbers.below(500), Numbers.below(500),
                               Numbers.below(2)};
        switch (Numbers.below(4)) {
        case 0:
        case 1:
          Shares.acquire(Member, Team, Amount);
          Held.emplace_back(Member, Team, Amount);
          break;
        case 2:
          if (!Held.empty()) {
            const auto [M, T, A] = Held.back();
            RC_ASSERT(Shares.release(M, T, A).has_value());
            Held.pop_back();
          }
          break;
        default: {
          const std::string Source = "s" + std::to_string(Numbers.below(3));
          Reports[Source] = {use(Member, Team, Amount),
                             use(Member, "x", Amount)};
          RC_ASSERT(Shares.mergeSummary(Source, Reports[Source]).has_value());
          if (Numbers.below(5) == 0) {
            Shares.removeSummary(Source);
            Reports.erase(Source);
          }
        }
        }
        Timers.advance(100ms);
      }
      std::map<std::string, Resources> Expected;
      for (const auto &[Member, Team, Amount] : Held)
        RC_ASSERT(Expected[Member].add(Amount).has_value());
      for (const auto &[Source, Uses] : Reports)
        for (const peer::MemberUse &Use : Uses)
          RC_ASSERT(Expected[Use.member()]
                        .add(Resources::fromRecord(Use.held()))
                        .has_value());
      for (const auto &[Member, Amount] : Expected)
        RC_ASSERT(Shares.memberShare(Member) == Amount.dominantShareOf(Total));
      while (!Held.empty()) {
        const auto [M, T, A] = Held.back();
        RC_ASSERT(Shares.release(M, T, A).has_value());
        RC_ASSERT(!Shares.release(M, T, {1000000, 0, 0}).has_value());
        Held.pop_back();
      }
      RC_ASSERT(Shares.localUsage().empty());
    }));
  }

  // Guards against entitlements that exceed the capacity, or leave a resource
  // idle that a member still needs.
  void entitlementsFitAndUseAllCapacity() {
    CPPUNIT_ASSERT(rc::check("entitlements", [](std::uint64_t Seed) {
      Random Numbers(Seed);
      FakeTimerService Timers;
      FairShare Shares(Timers);
      Shares.setTotal(Total);
      std::vector<ShareQuota> Quotas;
      std::map<std::string, Resources> Wanted;
      const std::size_t Members = 1 + Numbers.below(6);
      for (std::size_t Number = 0; Number < Members; ++Number) {
        const std::string Member = "m" + std::to_string(Number);
        Quotas.push_back({.Member = Member,
                          .Team = {},
                          .Entitled = {1 + Numbers.below(60000),
                                       1 + Numbers.below(240000), 0}});
        Wanted[Member] = {Numbers.below(150000), Numbers.below(600000),
                          Numbers.below(100)};
      }
      Shares.setQuotas(Quotas);
      const auto Entitled = Shares.entitlements(Wanted);
      double Cpus = 0;
      double Memory = 0;
      double Accelerators = 0;
      bool AllSatisfied = true;
      for (const auto &[Member, Share] : Entitled) {
        const Resources &Want = Wanted[Member];
        const double Whole = Want.dominantShareOf(Total);
        RC_ASSERT(Share <= Whole + 1e-9);
        if (Whole == 0)
          continue;
        AllSatisfied = AllSatisfied && Share >= Whole - 1e-9;
        const double Part = Share / Whole;
        Cpus += Part * static_cast<double>(Want.CpusMilli) / 100000;
        Memory += Part * static_cast<double>(Want.MemoryMb) / 400000;
        Accelerators += Part * static_cast<double>(Want.Accelerators) / 100;
      }
      const double Fullest = std::max({Cpus, Memory, Accelerators});
      RC_ASSERT(Fullest <= 1 + 1e-9);
      RC_ASSERT(AllSatisfied || Fullest >= 1 - 1e-9);
    }));
  }

  // Guards against idle capacity while a member has work beyond its quota, and
  // against lent capacity that the lender cannot reclaim.
  void unusedEntitlementIsLent() {
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal(Total);
    Shares.setQuotas(
        {{"a", "", {50000, 200000, 0}}, {"b", "", {50000, 200000, 0}}});
    const Resources All{100000, 400000, 0};
    auto Entitled = Shares.entitlements({{"a", All}, {"b", {10000, 0, 0}}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Entitled["a"], 1e-9);
    Entitled = Shares.entitlements({{"a", All}, {"b", All}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Entitled["a"], 1e-9);
    // The share of a member that does not need an exhausted resource still
    // grows.
    Shares.setQuotas({{"a", "", {80000, 0, 0}}, {"b", "", {20000, 0, 0}}});
    Entitled =
        Shares.entitlements({{"a", {200000, 0, 0}}, {"b", {0, 400000, 0}}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Entitled["a"], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Entitled["b"], 1e-9);
    Shares.setQuotas(
        {{"a", "", {50000, 200000, 0}}, {"b", "", {50000, 200000, 0}}});
    Shares.acquire("a", "t", {90000, 100000, 0});
    Shares.acquire("b", "t", {10000, 10000, 0});
    CPPUNIT_ASSERT(Shares.memberRatio("b") < Shares.memberRatio("a"));
  }

  // Guards against a member below its entitlement that is delayed because of
  // earlier debt.
  void debtOrdersOnlyBorrowers() {
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal(Total);
    Shares.setQuotas({{"a", "", {30000, 0, 0}},
                      {"b", "", {30000, 0, 0}},
                      {"c", "", {40000, 0, 0}}});
    Shares.acquire("a", "t", {60000, 0, 0});
    Timers.advance(10min);
    CPPUNIT_ASSERT(Shares.debt("a").count() > 60);
    CPPUNIT_ASSERT(Shares.release("a", "t", {60000, 0, 0}).has_value());
    Shares.acquire("a", "t", {29700, 0, 0});
    Shares.acquire("b", "t", {29900, 0, 0});
    CPPUNIT_ASSERT(Shares.memberRatio("a") < Shares.memberRatio("b"));
    // Both borrow now: the one with debt comes second.
    Shares.acquire("a", "t", {3300, 0, 0});
    Shares.acquire("b", "t", {3500, 0, 0});
    CPPUNIT_ASSERT(Shares.memberShare("a") < Shares.memberShare("b"));
    CPPUNIT_ASSERT(Shares.memberRatio("a") > Shares.memberRatio("b"));
  }

  // Guards against a borrower that stays last forever.
  void debtDecays() {
    FakeTimerService Timers;
    FairShare Shares(Timers, {.DebtHalfLife = 5min});
    Shares.setTotal(Total);
    Shares.setQuotas({{"a", "", {30000, 0, 0}}});
    Shares.acquire("a", "t", {60000, 0, 0});
    Timers.advance(1s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, Shares.debt("a").count(), 0.01);
    Timers.advance(10min);
    CPPUNIT_ASSERT(Shares.release("a", "t", {60000, 0, 0}).has_value());
    const double Before = Shares.debt("a").count();
    Timers.advance(5min);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Before / 2, Shares.debt("a").count(), 1e-6);
  }

  // Guards against usage of a lost instance that counts forever.
  void staleSummariesExpire() {
    FakeTimerService Timers;
    FairShare Shares(Timers, {.SummaryLifetime = 1min});
    Shares.setTotal(Total);
    const std::vector<peer::MemberUse> Uses = {use("a", "t", {50000, 0, 0})};
    CPPUNIT_ASSERT(Shares.mergeSummary("old", Uses).has_value());
    CPPUNIT_ASSERT(Shares.mergeSummary("live", Uses).has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Shares.memberShare("a"), 1e-9);
    Timers.advance(2min);
    CPPUNIT_ASSERT(Shares.mergeSummary("live", Uses).has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Shares.memberShare("a"), 1e-9);
    // Also while isolated, when no summary arrives.
    Timers.advance(2min);
    Shares.acquire("b", "t", {1000, 0, 0});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Shares.memberShare("a"), 1e-9);
  }

  // Guards against the summary of a faulty peer that overflows a sum or aborts
  // the process.
  void implausibleSummaryIsRejected() {
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal(Total);
    CPPUNIT_ASSERT(
        !Shares.mergeSummary("s", {use("a", "t", {~std::uint64_t(0), 0, 0})})
             .has_value());
    CPPUNIT_ASSERT(Shares.mergeSummary("s", {use("a", "t", {})}).has_value());
    CPPUNIT_ASSERT(Shares.mergeSummary("s2", {use("a", "t", {})}).has_value());
    CPPUNIT_ASSERT(Shares.mergeSummary("s", {}).has_value());
    CPPUNIT_ASSERT(Shares.mergeSummary("s2", {}).has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Shares.memberShare("a"), 1e-9);
  }

  // Guards against one team that takes the whole share of its member.
  void teamsAreOrderedWithinTheirMember() {
    FakeTimerService Timers;
    FairShare Shares(Timers);
    Shares.setTotal(Total);
    Shares.setQuotas({{"a", "", {60000, 0, 0}},
                      {"a", "sorting", {40000, 0, 0}},
                      {"a", "checks", {20000, 0, 0}}});
    Shares.acquire("a", "sorting", {20000, 0, 0});
    Shares.acquire("a", "checks", {12000, 0, 0});
    CPPUNIT_ASSERT(Shares.teamRatio("a", "sorting") <
                   Shares.teamRatio("a", "checks"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Shares.teamRatio("a", "none"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Shares.teamRatio("none", "x"), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairShareTest);

} // namespace hickory
