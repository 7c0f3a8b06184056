#include "Jobs/RequestService.h"

#include "Jobs/JobsHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

class RequestServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestServiceTest);
  CPPUNIT_TEST(testImmediateRefusalLeavesNoEntry);
  CPPUNIT_TEST(testIntentIsReadBackBeforeDispatch);
  CPPUNIT_TEST(testOnlyFirstLoggedIntentIsDispatched);
  CPPUNIT_TEST(testLeaseLossDuringIntentWritePreventsDispatch);
  CPPUNIT_TEST(testSecondCallJoinsFirst);
  CPPUNIT_TEST(testDifferentPayloadIsConflict);
  CPPUNIT_TEST(testKeyOfJobIsConflict);
  CPPUNIT_TEST(testUnknownRepeatableIsTriedAgain);
  CPPUNIT_TEST(testUnknownNonRepeatableIsResolved);
  CPPUNIT_TEST(testUnresolvedNonRepeatableIsUnknown);
  CPPUNIT_TEST(testOpenIntentOfDeadOwnerIsResolved);
  CPPUNIT_TEST(testUnresolvableIntentOfDeadOwnerIsUnknown);
  CPPUNIT_TEST(testRetryDoesNotDispatchOnUnconfirmedIntent);
  CPPUNIT_TEST(testFullQueueRejectsLowestPriority);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a use after free: the entry of a request that was refused
  /// before its first suspension was used after it had been erased. This
  /// corrupted the heap, and the first call for a key could return
  /// STATUS_CONFLICT.
  void testImmediateRefusalLeavesNoEntry() {
    JobsHarness Domain;
    Domain.owner().Ownership.LogReachable = false;
    for (int I = 0; I < 200; ++I) {
      const std::string Key = "k" + std::to_string(I);
      const auto Reply =
          Domain.finish(Domain.submit(JobsHarness::request(Key, "once")));
      CPPUNIT_ASSERT_EQUAL(peer::STATUS_UNAVAILABLE, Reply.status());
      CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, Reply.outcome());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           Domain.owner().Requests.inFlight(keyShard(Key)));
    }
    CPPUNIT_ASSERT(Domain.Racks.ExecuteRequests.empty());
    // A leftover entry would cause a conflict with another payload.
    Domain.owner().Ownership.LogReachable = true;
    const auto Reply = Domain.finish(
        Domain.submit(JobsHarness::request("k0", "once", "other")));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OK, Reply.status());
    CPPUNIT_ASSERT_EQUAL(std::string("answer to other"), Reply.answer());
  }

  /// Guards against dispatching on an intent that was written but not read
  /// back: another intent of the key may precede it in the log.
  void testIntentIsReadBackBeforeDispatch() {
    JobsHarness Domain;
    Domain.owner().HoldReads = true;
    const auto Reply = Domain.submit(JobsHarness::request("k", "once"));
    Domain.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Domain.Log.end("d"));
    CPPUNIT_ASSERT(Domain.Racks.ExecuteRequests.empty());
    Domain.owner().HoldReads = false;
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED,
                         Domain.finish(Reply).outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.ExecuteRequests.size());
  }

  /// Two successive owners may both write the first intent of a key; only the
  /// owner whose intent is first in the log may dispatch.
  void testOnlyFirstLoggedIntentIsDispatched() {
    JobsHarness Domain;
    records::RecordBatch Batch;
    Batch.set_incarnation(99);
    Batch.set_sequence(1);
    records::Intent &Intent = *Batch.add_records()->mutable_intent();
    Intent.set_key("k");
    Intent.set_attempt(1);
    Intent.set_incarnation(99);
    Domain.owner().HoldReads = true;
    const auto Reply = Domain.submit(JobsHarness::request("k", "once"));
    Domain.Log.put("d", Batch.SerializeAsString());
    Domain.run(100ms);
    Domain.owner().HoldReads = false;
    CPPUNIT_ASSERT(Domain.finish(Reply).outcome() !=
                   records::OUTCOME_COMPLETED);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Domain.Racks.dispatchCount());
  }

  /// Guards against dispatching after the lease expired during the write of the
  /// intent: another instance may own the key by then.
  void testLeaseLossDuringIntentWritePreventsDispatch() {
    JobsHarness Domain;
    Domain.Log.HoldAppends = true;
    const auto Reply = Domain.submit(JobsHarness::request("k", "once"));
    Domain.run(100ms);
    Domain.owner().Ownership.setLeaseEnd(Domain.Timers.now());
    Domain.Log.releaseAppends();
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN,
                         Domain.finish(Reply).outcome());
    CPPUNIT_ASSERT(Domain.Racks.ExecuteRequests.empty());
  }

  void testSecondCallJoinsFirst() {
    JobsHarness Domain;
    Domain.Racks.OnExecute = [](const peer::ExecuteRequest &) {
      peer::ExecuteReply Reply;
      Reply.set_answer("the answer");
      return FakeRackService::DelayedReply(Reply, 500ms);
    };
    const auto First = Domain.submit(JobsHarness::request("k", "repeat"));
    Domain.run(100ms);
    const auto Second = Domain.submit(JobsHarness::request("k", "repeat"));
    CPPUNIT_ASSERT_EQUAL(std::string("the answer"),
                         Domain.finish(First).answer());
    CPPUNIT_ASSERT_EQUAL(std::string("the answer"),
                         Domain.finish(Second).answer());
    const auto Third = Domain.submit(JobsHarness::request("k", "repeat"));
    CPPUNIT_ASSERT_EQUAL(std::string("the answer"),
                         Domain.finish(Third).answer());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.ExecuteRequests.size());
  }

  void testDifferentPayloadIsConflict() {
    JobsHarness Domain;
    (void)Domain.finish(
        Domain.submit(JobsHarness::request("k", "repeat", "one")));
    const auto Reply = Domain.finish(
        Domain.submit(JobsHarness::request("k", "repeat", "two")));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_CONFLICT, Reply.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.ExecuteRequests.size());
  }

  /// A request with the key of a job would record an outcome for the job, and a
  /// job with the key of a request would never be started.
  void testKeyOfJobIsConflict() {
    JobsHarness Domain;
    (void)Domain.finish(Domain.submit(JobsHarness::job("j")));
    auto Reply =
        Domain.finish(Domain.submit(JobsHarness::request("j", "once")));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_CONFLICT, Reply.status());
    (void)Domain.finish(Domain.submit(JobsHarness::request("q", "once")));
    Domain.run(100ms);
    Reply = Domain.finish(Domain.submit(JobsHarness::job("q")));
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_CONFLICT, Reply.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
  }

  void testUnknownRepeatableIsTriedAgain() {
    JobsHarness Domain;
    answerUnknownOnce(Domain);
    const auto Reply =
        Domain.finish(Domain.submit(JobsHarness::request("k", "repeat")));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Domain.Racks.dispatchCount());
    CPPUNIT_ASSERT_EQUAL(std::string("k#1"),
                         Domain.Racks.ExecuteRequests[0].id());
    CPPUNIT_ASSERT_EQUAL(std::string("k#2"),
                         Domain.Racks.ExecuteRequests[1].id());
  }

  void testUnknownNonRepeatableIsResolved() {
    JobsHarness Domain;
    answerUnknownOnce(Domain);
    const auto Reply =
        Domain.finish(Domain.submit(JobsHarness::request("k", "once")));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Domain.Racks.ExecuteRequests.size());
    CPPUNIT_ASSERT(Domain.Racks.ExecuteRequests[1].resolve_only());
    CPPUNIT_ASSERT_EQUAL(std::string("k#1"),
                         Domain.Racks.ExecuteRequests[1].id());
  }

  void testUnresolvedNonRepeatableIsUnknown() {
    JobsHarness Domain;
    Domain.Racks.OnExecute = [](const peer::ExecuteRequest &) {
      peer::ExecuteReply Reply;
      Reply.set_status(peer::STATUS_UNKNOWN);
      return Reply;
    };
    for (int Call = 0; Call < 2; ++Call) {
      const auto Reply =
          Domain.finish(Domain.submit(JobsHarness::request("k", "once")));
      CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN, Reply.outcome());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
  }

  void testOpenIntentOfDeadOwnerIsResolved() {
    JobsHarness Domain;
    leaveOpenIntent(Domain);
    Domain.Racks.OnExecute = nullptr;
    Domain.takeOver(8);
    Domain.run(500ms);
    const KeyRecord *KeyState = Domain.owner().Table.find("k");
    CPPUNIT_ASSERT(KeyState != nullptr && KeyState->Outcome);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED,
                         KeyState->Outcome->outcome());
    const auto Reply =
        Domain.finish(Domain.submit(JobsHarness::request("k", "once")));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED, Reply.outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
  }

  void testUnresolvableIntentOfDeadOwnerIsUnknown() {
    JobsHarness Domain;
    leaveOpenIntent(Domain);
    Domain.takeOver(8);
    const auto Reply =
        Domain.finish(Domain.submit(JobsHarness::request("k", "once")));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN, Reply.outcome());
    Domain.run(20s);
    const KeyRecord *KeyState = Domain.owner().Table.find("k");
    CPPUNIT_ASSERT(KeyState != nullptr && KeyState->Outcome);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_UNKNOWN,
                         KeyState->Outcome->outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
  }

  /// The outcome "not run" is queued after an intent whose write was not
  /// confirmed in time. A second call that dispatched on that intent would run
  /// a request whose logged outcome is "not run".
  void testRetryDoesNotDispatchOnUnconfirmedIntent() {
    JobsHarness Domain;
    Domain.Log.makeUnavailable();
    const auto First =
        Domain.finish(Domain.submit(JobsHarness::request("k", "once")));
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, First.outcome());
    const auto Second = Domain.submit(JobsHarness::request("k", "once"));
    Domain.run(100ms);
    Domain.Log.makeAvailable();
    const auto Reply = Domain.finish(Second);
    Domain.run(5s);
    const KeyRecord *KeyState = Domain.owner().Table.find("k");
    CPPUNIT_ASSERT(KeyState != nullptr && KeyState->Outcome);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN,
                         KeyState->Outcome->outcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Domain.Racks.dispatchCount());
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, Reply.outcome());
  }

  void testFullQueueRejectsLowestPriority() {
    JobsHarness Domain({.Requests = {.MaximumWaiting = 2}, .Runner = {}});
    Domain.Config.Classes["urgent"] = {.Name = "urgent",
                                       .Kind = WorkKind::Request,
                                       .Accept = Acceptance::Synchronous,
                                       .Priority = 1000};
    Domain.Racks.Loads.front().set_free_slots(0);
    const auto First = Domain.submit(JobsHarness::request("a", "repeat"));
    const auto Second = Domain.submit(JobsHarness::request("b", "repeat"));
    Domain.run(20ms);
    const auto Urgent = Domain.submit(JobsHarness::request("c", "urgent"));
    Domain.run(100ms);
    CPPUNIT_ASSERT(!First->has_value());
    CPPUNIT_ASSERT(Second->has_value());
    CPPUNIT_ASSERT_EQUAL(peer::STATUS_OVERLOADED, (*Second)->status());
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_NOT_RUN, (*Second)->outcome());
    CPPUNIT_ASSERT(!Urgent->has_value());
    Domain.Racks.Loads.front().set_free_slots(1);
    CPPUNIT_ASSERT_EQUAL(records::OUTCOME_COMPLETED,
                         Domain.finish(Urgent).outcome());
    CPPUNIT_ASSERT_EQUAL(std::string("c#1"),
                         Domain.Racks.ExecuteRequests[0].id());
  }

private:
  static void answerUnknownOnce(JobsHarness &Domain) {
    Domain.Racks.OnExecute = [&Domain](const peer::ExecuteRequest &Request) {
      peer::ExecuteReply Reply;
      if (Domain.Racks.ExecuteRequests.size() == 1)
        Reply.set_status(peer::STATUS_UNKNOWN);
      else
        Reply.set_answer("answer to " + Request.id());
      return Reply;
    };
  }
  /// Dispatches a request whose answer is lost, which leaves an open intent.
  static void leaveOpenIntent(JobsHarness &Domain) {
    Domain.Racks.OnExecute = [](const peer::ExecuteRequest &) {
      peer::ExecuteReply Reply;
      Reply.set_status(peer::STATUS_UNKNOWN);
      return Reply;
    };
    (void)Domain.submit(JobsHarness::request("k", "once"));
    Domain.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Domain.Racks.dispatchCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServiceTest);

} // namespace

} // namespace hickory
