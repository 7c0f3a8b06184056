#include "Backends/RackManager.h"

#include "Backends/FakeExecutor.h"
#include "Backends/RackHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

/// A rack of executors and its owner.
struct ExecuteHarness {
  RackWorld World;
  std::map<std::string, std::unique_ptr<FakeExecutor>> Executors;
  std::unique_ptr<RackOwner> Owner;

  explicit ExecuteHarness(int Count, RackManagerOptions Options = {},
                          int Slots = 8) {
    for (int I = 1; I <= Count; ++I) {
      const std::string Name = "e" + std::to_string(I);
      auto &Added = Executors[Name];
      Added = std::make_unique<FakeExecutor>(World.Timers,
                                             World.Context.get_executor());
      World.addExecutor(
          Name,
          [One = Added.get()](HttpClientRequest Request) {
            return One->handle(std::move(Request));
          },
          Slots);
    }
    Owner = std::make_unique<RackOwner>(World, Options);
    Owner->own();
  }

  [[nodiscard]] peer::ExecuteRequest request(const std::string &Id,
                                             bool NonRepeatable = false) const {
    peer::ExecuteRequest Request;
    Request.set_id(Id);
    Request.set_rack("r1");
    Request.set_target_incarnation(Owner->Ownership.Incarnation);
    Request.set_payload("payload of " + Id);
    Request.set_timeout_ms(4000);
    Request.set_non_repeatable(NonRepeatable);
    return Request;
  }
  peer::ExecuteReply execute(peer::ExecuteRequest Request) {
    return Owner->finish(Owner->Manager.execute(std::move(Request)));
  }
  [[nodiscard]] int runs(const std::string &Id) const {
    int Sum = 0;
    for (const auto &[Name, One] : Executors)
      Sum += One->Runs.contains(Id) ? One->Runs.at(Id) : 0;
    return Sum;
  }
};

std::string answerOf(const std::string &Id) {
  return "answer:payload of " + Id;
}

} // namespace

class ExecuteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExecuteTest);
  CPPUNIT_TEST(requestGetsItsAnswer);
  CPPUNIT_TEST(crossedAnswersReachTheirOwnRequests);
  CPPUNIT_TEST(crossedAnswersAreMixedUpWithoutMatching);
  CPPUNIT_TEST(lateAnswerIsFetchedBeforeTheDeadline);
  CPPUNIT_TEST(repeatableRequestIsRetriedElsewhere);
  CPPUNIT_TEST(retriesAreBoundedByTheBudget);
  CPPUNIT_TEST(silentExecutorIsAbandonedForRepeatableRequests);
  CPPUNIT_TEST(nonRepeatableRequestIsSentOnce);
  CPPUNIT_TEST(nonRepeatableRequestIsSentAgainWithoutProtection);
  CPPUNIT_TEST(sameNonRepeatableIdIsNotSentAgain);
  CPPUNIT_TEST(sameNonRepeatableIdRunsAgainWithoutProtection);
  CPPUNIT_TEST(refusedConnectionIsCertainlyNotRun);
  CPPUNIT_TEST(resolveOnlyNeverRuns);
  CPPUNIT_TEST(resolveOnlyFindsResultOfPreviousOwner);
  CPPUNIT_TEST(slotsAreNotExceeded);
  CPPUNIT_TEST(slotOfUnresolvedRequestStaysOccupied);
  CPPUNIT_TEST(leavingExecutorGetsNoNewWork);
  CPPUNIT_TEST(failingExecutorIsSetAsideAndProbed);
  CPPUNIT_TEST(payloadThatIsNotTextIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestGetsItsAnswer() {
    ExecuteHarness Rack(2);
    const auto Reply = Rack.execute(Rack.request("k#1"));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Reply.status());
    CPPUNIT_ASSERT_EQUAL(answerOf("k#1"), Reply.answer());
    CPPUNIT_ASSERT_EQUAL(1, Rack.runs("k#1"));
  }

  // Guards against answers that are handed to the caller of another request.
  void crossedAnswersReachTheirOwnRequests() {
    CPPUNIT_ASSERT_EQUAL(8, rightAnswersWhenCrossed(true));
  }
  void crossedAnswersAreMixedUpWithoutMatching() {
    CPPUNIT_ASSERT_EQUAL(0, rightAnswersWhenCrossed(false));
  }

  // Guards against giving up an answer that exists but whose reply is late.
  void lateAnswerIsFetchedBeforeTheDeadline() {
    ExecuteHarness Rack(1);
    Rack.Executors["e1"]->HoldReply = 60s;
    const auto Begun = Rack.World.Timers.now();
    const auto Reply = Rack.execute(Rack.request("k#1", true));
    CPPUNIT_ASSERT_EQUAL(answerOf("k#1"), Reply.answer());
    CPPUNIT_ASSERT(Rack.World.Timers.now() - Begun < 1s);
    CPPUNIT_ASSERT(Rack.Owner->hasEvent("answer_late"));
  }

  void repeatableRequestIsRetriedElsewhere() {
    ExecuteHarness Rack(2);
    Rack.Executors["e1"]->Fail = true;
    for (int I = 0; I < 4; ++I) {
      const std::string Id = "k" + std::to_string(I) + "#1";
      CPPUNIT_ASSERT_EQUAL(answerOf(Id),
                           Rack.execute(Rack.request(Id)).answer());
    }
  }

  // Guards against retries that multiply the load of a failing pool.
  void retriesAreBoundedByTheBudget() {
    ExecuteHarness Rack(2);
    for (auto &[Name, One] : Rack.Executors)
      One->Fail = true;
    RackManagerOptions Defaults;
    constexpr int Requests = 100;
    for (int I = 0; I < Requests; ++I) {
      const auto Reply =
          Rack.execute(Rack.request("k" + std::to_string(I) + "#1"));
      CPPUNIT_ASSERT(Reply.status() != peer::STATUS_OK);
    }
    const int Runs =
        Rack.Executors["e1"]->totalRuns() + Rack.Executors["e2"]->totalRuns();
    CPPUNIT_ASSERT(Runs <= Requests + static_cast<int>(Defaults.RetryBurst) +
                               Requests / 10);
  }

  // Guards against a request that waits for a paused executor until its
  // deadline.
  void silentExecutorIsAbandonedForRepeatableRequests() {
    ExecuteHarness Rack(2);
    Rack.World.Client.ChooseFault = [](const HttpClientRequest &Request) {
      return FakeHttpClient::MessageFault{
          .LoseRequest = Request.Url.starts_with("http://e1")};
    };
    for (int I = 0; I < 3; ++I) {
      const std::string Id = "k" + std::to_string(I) + "#1";
      auto Request = Rack.request(Id);
      Request.set_timeout_ms(6000);
      CPPUNIT_ASSERT_EQUAL(answerOf(Id), Rack.execute(Request).answer());
    }
  }

  // Guards against a second run of a request whose answer was lost.
  void nonRepeatableRequestIsSentOnce() {
    ExecuteHarness Rack(3);
    for (auto &[Name, One] : Rack.Executors)
      One->Fail = true;
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN,
                         Rack.execute(Rack.request("k#1", true)).status());
    CPPUNIT_ASSERT_EQUAL(1, Rack.runs("k#1"));
  }
  void nonRepeatableRequestIsSentAgainWithoutProtection() {
    RackManagerOptions Options;
    Options.Protections.ExecuteOnce = false;
    ExecuteHarness Rack(3, Options);
    for (auto &[Name, One] : Rack.Executors)
      One->Fail = true;
    Rack.execute(Rack.request("k#1", true));
    CPPUNIT_ASSERT(Rack.runs("k#1") > 1);
  }

  // Guards against a job owner that repeats its call after a lost answer.
  void sameNonRepeatableIdIsNotSentAgain() {
    ExecuteHarness Rack(3);
    Rack.execute(Rack.request("k#1", true));
    const auto Again = Rack.execute(Rack.request("k#1", true));
    CPPUNIT_ASSERT_EQUAL(answerOf("k#1"), Again.answer());
    CPPUNIT_ASSERT_EQUAL(1, Rack.runs("k#1"));
  }
  void sameNonRepeatableIdRunsAgainWithoutProtection() {
    RackManagerOptions Options;
    Options.Protections.ExecuteOnce = false;
    ExecuteHarness Rack(3, Options);
    Rack.execute(Rack.request("k#1", true));
    Rack.execute(Rack.request("k#1", true));
    CPPUNIT_ASSERT_EQUAL(2, Rack.runs("k#1"));
  }

  // Guards against "unknown" where it is certain that nothing ran.
  void refusedConnectionIsCertainlyNotRun() {
    ExecuteHarness Rack(1);
    Rack.World.Client.refuseConnections(RackWorld::addressOf("e1"));
    const auto Reply = Rack.execute(Rack.request("k#1", true));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE, Reply.status());
    CPPUNIT_ASSERT_EQUAL(0, Rack.runs("k#1"));
  }

  void resolveOnlyNeverRuns() {
    ExecuteHarness Rack(2);
    auto Request = Rack.request("k#1", true);
    Request.set_resolve_only(true);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, Rack.execute(Request).status());
    CPPUNIT_ASSERT_EQUAL(0, Rack.runs("k#1"));
  }

  // Guards against losing the outcome of a request whose rack owner died.
  void resolveOnlyFindsResultOfPreviousOwner() {
    ExecuteHarness Rack(2);
    Rack.execute(Rack.request("k#1", true));
    Rack.Owner->Ownership.lose("rack/r1");
    RackOwner Successor(Rack.World);
    Successor.own(true);
    auto Request = Rack.request("k#1", true);
    Request.set_resolve_only(true);
    const auto Reply = Successor.finish(Successor.Manager.execute(Request));
    CPPUNIT_ASSERT_EQUAL(answerOf("k#1"), Reply.answer());
    CPPUNIT_ASSERT_EQUAL(1, Rack.runs("k#1"));
  }

  void slotsAreNotExceeded() {
    ExecuteHarness Rack(2, {}, 3);
    for (auto &[Name, One] : Rack.Executors)
      One->Work = 300ms;
    std::vector<std::shared_ptr<std::optional<peer::ExecuteReply>>> Calls;
    Calls.reserve(10);
    for (int I = 0; I < 10; ++I)
      Calls.push_back(Rack.Owner->begin(Rack.Owner->Manager.execute(
          Rack.request("k" + std::to_string(I) + "#1"))));
    Rack.World.run(2s);
    int Answered = 0;
    int Refused = 0;
    for (const auto &Call : Calls) {
      Answered += (*Call)->status() == peer::STATUS_OK ? 1 : 0;
      Refused += (*Call)->status() == peer::STATUS_NO_CAPACITY ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(6, Answered);
    CPPUNIT_ASSERT_EQUAL(4, Refused);
    for (auto &[Name, One] : Rack.Executors)
      CPPUNIT_ASSERT_EQUAL(3, One->MostRunning);
  }

  // Guards against exceeding the slots with requests whose callers gave up.
  void slotOfUnresolvedRequestStaysOccupied() {
    ExecuteHarness Rack(1, {}, 1);
    Rack.Executors["e1"]->Work = 3s;
    auto Short = Rack.request("a#1");
    Short.set_timeout_ms(500);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, Rack.execute(Short).status());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_NO_CAPACITY,
                         Rack.execute(Rack.request("b#1")).status());
    Rack.World.run(10s);
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK,
                         Rack.execute(Rack.request("c#1")).status());
    CPPUNIT_ASSERT_EQUAL(1, Rack.Executors["e1"]->MostRunning);
  }

  // Guards against work for an executor that leaves while the list lags.
  void leavingExecutorGetsNoNewWork() {
    ExecuteHarness Rack(2);
    Rack.Executors["e1"]->Leaving = true;
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT_EQUAL(
          peer::STATUS_OK,
          Rack.execute(Rack.request("k" + std::to_string(I) + "#1")).status());
    int Refused = 0;
    for (const auto &Sent : Rack.World.Client.SentRequests)
      Refused += Sent.Url == "http://e1:1/v1/execute" ? 1 : 0;
    CPPUNIT_ASSERT(Refused <= 1);
  }

  // Guards against an executor that attracts requests by failing quickly.
  void failingExecutorIsSetAsideAndProbed() {
    RackManagerOptions Options;
    Options.RetryBurst = 1000;
    ExecuteHarness Rack(2, Options);
    FakeExecutor &Bad = *Rack.Executors["e1"];
    Rack.Executors["e2"]->Work = 100ms;
    Bad.Fail = true;
    std::vector<std::shared_ptr<std::optional<peer::ExecuteReply>>> Calls;
    const auto Load = [&](const std::string &Prefix, int Count) {
      for (int I = 0; I < Count; ++I) {
        Calls.push_back(Rack.Owner->begin(Rack.Owner->Manager.execute(
            Rack.request(Prefix + std::to_string(I) + "#1"))));
        Rack.World.run(10ms);
      }
      Rack.World.run(1s);
    };
    Load("a", 100);
    const int Wasted = Bad.totalRuns();
    CPPUNIT_ASSERT(Wasted >= 5 && Wasted <= 7);
    Bad.Fail = false;
    Rack.World.run(6s);
    // e2 is full again, so that the probe is due.
    Load("b", 100);
    CPPUNIT_ASSERT(Bad.totalRuns() > Wasted + 5);
  }

  // Guards against a payload that JSON cannot carry unchanged.
  void payloadThatIsNotTextIsRefused() {
    ExecuteHarness Rack(1);
    auto Request = Rack.request("k#1");
    Request.set_payload("\xff\xfe");
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_INVALID, Rack.execute(Request).status());
  }

private:
  static int rightAnswersWhenCrossed(bool MatchById) {
    RackManagerOptions Options;
    Options.Protections.MatchAnswersById = MatchById;
    ExecuteHarness Rack(1, Options);
    Rack.Executors["e1"]->Cross = true;
    std::vector<std::shared_ptr<std::optional<peer::ExecuteReply>>> Calls;
    constexpr int Requests = 8;
    Calls.reserve(Requests);
    for (int I = 0; I < Requests; ++I)
      Calls.push_back(Rack.Owner->begin(Rack.Owner->Manager.execute(
          Rack.request("k" + std::to_string(I) + "#1"))));
    Rack.World.run(1s);
    int Right = 0;
    for (int I = 0; I < Requests; ++I)
      Right += (*Calls[static_cast<std::size_t>(I)])->answer() ==
                       answerOf("k" + std::to_string(I) + "#1")
                   ? 1
                   : 0;
    CPPUNIT_ASSERT_EQUAL(MatchById, Rack.Owner->hasEvent("answer_crossed"));
    return Right;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecuteTest);

} // namespace hickory
