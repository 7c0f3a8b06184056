#include "Jobs/SubmitRouter.h"

#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// Answers submit calls from a list, and with Timeout once the list is empty.
class ScriptedPeerClient final : public FakePeerClient {
public:
  explicit ScriptedPeerClient(TimerService &Timers) : Timers_(Timers) {}

  std::vector<std::string> Called; ///< Slots.
  std::deque<Result<peer::SubmitReply>> Answers;

  asio::awaitable<Result<peer::SubmitReply>> submit(std::string Slot,
                                                    peer::SubmitRequest Request,
                                                    Millis Timeout) override {
    Called.push_back(std::move(Slot));
    CPPUNIT_ASSERT_EQUAL(1U, Request.hops());
    if (Answers.empty()) {
      co_await Timers_.sleepFor(Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    auto Answer = std::move(Answers.front());
    Answers.pop_front();
    if (!Answer && Answer.error().Code == ErrorCode::Timeout)
      co_await Timers_.sleepFor(Timeout);
    co_return Answer;
  }

private:
  TimerService &Timers_;
};

class FakeJobService final : public JobService {
public:
  int Submitted = 0;
  peer::SubmitReply Reply;

  asio::awaitable<peer::SubmitReply>
  submit(peer::SubmitRequest /*Request*/) override {
    ++Submitted;
    co_return Reply;
  }
  asio::awaitable<peer::QueryReply>
  query(peer::QueryRequest /*Request*/) override {
    co_return peer::QueryReply();
  }
  asio::awaitable<peer::CancelReply>
  cancel(peer::CancelRequest Request) override {
    peer::CancelReply Cancelled;
    Cancelled.set_cancelled(static_cast<std::uint32_t>(Request.keys_size()));
    co_return Cancelled;
  }
  asio::awaitable<peer::TaskEndedReply>
  taskEnded(peer::TaskEndedNotice /*Notice*/) override {
    co_return peer::TaskEndedReply();
  }
};

/// Slots a1 (this instance), a2 and a3 of domain a, b1 and b2 of domain b.
class SubmitRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubmitRouterTest);
  CPPUNIT_TEST(testOwnKeyIsHandledLocally);
  CPPUNIT_TEST(testKnownOwnerIsCalledFirst);
  CPPUNIT_TEST(testOwnerOfOtherDomainFromSummary);
  CPPUNIT_TEST(testRedirectIsFollowed);
  CPPUNIT_TEST(testUndeliveredRequestIsNotRun);
  CPPUNIT_TEST(testLostAnswerIsUnknown);
  CPPUNIT_TEST(testNotRunAfterLostCallToOtherSlotIsUnknown);
  CPPUNIT_TEST(testNotRunAfterLostCallToRestartedSlotIsUnknown);
  CPPUNIT_TEST(testNotRunAfterSlowAnswerOfSameSlotIsNotRun);
  CPPUNIT_TEST(testCompletedAfterLostCallIsCompleted);
  CPPUNIT_TEST(testCancelGoesToEachOwner);
  CPPUNIT_TEST_SUITE_END();

public:
  void testOwnKeyIsHandledLocally() {
    Ownership_.acquire(keyShard("a/k"), false);
    LocalService_.Reply.set_outcome(records::OUTCOME_COMPLETED);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, submit("a/k").outcome());
    CPPUNIT_ASSERT_EQUAL(1, LocalService_.Submitted);
    CPPUNIT_ASSERT(Peers_.Called.empty());
  }

  void testKnownOwnerIsCalledFirst() {
    Ownership_.RemoteOwners[keyShard("a/k")] = {"a3", 5, 1};
    Peers_.Answers.emplace_back(reply(records::OUTCOME_COMPLETED));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, submit("a/k").outcome());
    CPPUNIT_ASSERT(Peers_.Called == std::vector<std::string>{"a3"});
  }

  void testOwnerOfOtherDomainFromSummary() {
    peer::SummaryRequest Summary;
    Summary.set_slot("b2");
    Summary.set_failure_domain("b");
    Summary.add_key_shards(keyShard("b/k"));
    Cell_.update(Summary);
    // This instance owns a shard of the same name, but of failure domain a.
    Ownership_.acquire(keyShard("b/k"), false);
    Peers_.Answers.emplace_back(reply(records::OUTCOME_COMPLETED));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, submit("b/k").outcome());
    CPPUNIT_ASSERT(Peers_.Called == std::vector<std::string>{"b2"});
    CPPUNIT_ASSERT_EQUAL(0, LocalService_.Submitted);
  }

  void testRedirectIsFollowed() {
    peer::SubmitReply Redirect;
    Redirect.set_status(peer::STATUS_NOT_OWNER);
    Redirect.set_owner_slot("b2");
    Peers_.Answers.emplace_back(Redirect);
    Peers_.Answers.emplace_back(reply(records::OUTCOME_COMPLETED));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, submit("b/k").outcome());
    CPPUNIT_ASSERT((Peers_.Called == std::vector<std::string>{"b1", "b2"}));
  }

  /// If no call reached an instance, "not run" is the definite outcome.
  void testUndeliveredRequestIsNotRun() {
    for (int I = 0; I < 1000; ++I)
      Peers_.Answers.emplace_back(
          fail(ErrorCode::ConnectionRefused, "refused"));
    const auto Reply = submit("b/k");
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE, Reply.status());
    CPPUNIT_ASSERT(Peers_.Called.size() > 4);
  }

  void testLostAnswerIsUnknown() {
    const auto Reply = submit("b/k");
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, Reply.status());
  }

  /// The slot that did not answer may have run the request, so the reply "not
  /// run" of another slot is not conclusive.
  void testNotRunAfterLostCallToOtherSlotIsUnknown() {
    Peers_.Answers.emplace_back(fail(ErrorCode::Timeout, "no answer"));
    Peers_.Answers.emplace_back(reply(records::OUTCOME_NOT_RUN));
    const auto Reply = submit("b/k");
    CPPUNIT_ASSERT((Peers_.Called == std::vector<std::string>{"b1", "b2"}));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNKNOWN, Reply.status());
  }

  /// A restarted process does not know what the previous process of the slot
  /// ran.
  void testNotRunAfterLostCallToRestartedSlotIsUnknown() {
    Peers_.Answers.emplace_back(fail(ErrorCode::Unavailable, "reset"));
    peer::SubmitReply NotOwner;
    NotOwner.set_status(peer::STATUS_NOT_OWNER);
    Peers_.Answers.emplace_back(NotOwner);
    Peers_.Answers.emplace_back(reply(records::OUTCOME_NOT_RUN));
    const auto Reply = submit("b/k");
    CPPUNIT_ASSERT(
        (Peers_.Called == std::vector<std::string>{"b1", "b2", "b1"}));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN, Reply.outcome());
  }

  /// The second call joined the first one at the owner, so its answer is valid
  /// for both.
  void testNotRunAfterSlowAnswerOfSameSlotIsNotRun() {
    Ownership_.RemoteOwners[keyShard("a/k")] = {"a2", 5, 1};
    Peers_.Answers.emplace_back(fail(ErrorCode::Timeout, "no answer"));
    peer::SubmitReply NotOwner;
    NotOwner.set_status(peer::STATUS_NOT_OWNER);
    NotOwner.set_owner_slot("a2");
    Peers_.Answers.emplace_back(NotOwner);
    Peers_.Answers.emplace_back(reply(records::OUTCOME_NOT_RUN));
    const auto Reply = submit("a/k");
    CPPUNIT_ASSERT(
        (Peers_.Called == std::vector<std::string>{"a2", "a3", "a2"}));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, Reply.outcome());
  }

  void testCompletedAfterLostCallIsCompleted() {
    Peers_.Answers.emplace_back(fail(ErrorCode::Timeout, "no answer"));
    Peers_.Answers.emplace_back(reply(records::OUTCOME_COMPLETED));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, submit("b/k").outcome());
  }

  void testCancelGoesToEachOwner() {
    Ownership_.acquire(keyShard("a/k"), false);
    const auto Reply = await(Router_.cancel({"a/k"}, 5s));
    CPPUNIT_ASSERT_EQUAL(1U, Reply.cancelled());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Reply.status());
    // The fake answers no cancel call.
    const auto Unreached = await(Router_.cancel({"a/k", "b/k"}, 5s));
    CPPUNIT_ASSERT_EQUAL(1U, Unreached.cancelled());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE, Unreached.status());
  }

private:
  static peer::SubmitReply reply(records::OutcomeKind Outcome) {
    peer::SubmitReply Reply;
    Reply.set_outcome(Outcome);
    return Reply;
  }
  template <typename T> T await(asio::awaitable<T> Work) {
    std::optional<T> Value;
    asio::co_spawn(Context_, std::move(Work),
                   [&](const std::exception_ptr &Exception, T Result) {
                     if (Exception)
                       std::rethrow_exception(Exception);
                     Value = std::move(Result);
                   });
    for (int I = 0; I < 4000 && !Value; ++I) {
      Context_.restart();
      Context_.poll();
      Timers_.advance(10ms);
    }
    CPPUNIT_ASSERT(Value.has_value());
    return *Value;
  }
  peer::SubmitReply submit(const std::string &Key) {
    peer::SubmitRequest Request;
    Request.set_key(Key);
    Request.set_timeout_ms(10000);
    return await(Router_.submit(std::move(Request)));
  }

  FakeTimerService Timers_;
  asio::io_context Context_;
  FakeOwnershipView Ownership_{Timers_};
  PeerDirectory Directory_{.SelfSlot = "a1",
                           .SelfDomain = "a",
                           .SelfRegion = "r",
                           .Slots = {{"a1", "a", "r", ""},
                                     {"a2", "a", "r", ""},
                                     {"a3", "a", "r", ""},
                                     {"b1", "b", "r", ""},
                                     {"b2", "b", "r", ""}}};
  CellView Cell_{Timers_, Directory_};
  ScriptedPeerClient Peers_{Timers_};
  FakeJobService LocalService_;
  Metrics Counters_;
  SubmitRouter Router_{Timers_, Ownership_,    Directory_, Cell_,
                       Peers_,  LocalService_, Counters_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmitRouterTest);

} // namespace

} // namespace hickory
