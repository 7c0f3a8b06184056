#include "Jobs/RequestService.h"

#include "Jobs/JobsHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

namespace {

enum class Action {
  Submit,
  Wait,
  Answer,      ///< Subsequent executions succeed.
  LoseAnswers, ///< Executions run, but the answers are lost.
  LoseCalls,   ///< Executions do not run; the outcome is unknown.
  Refuse,      ///< Executions are refused and definitely do not run.
  Slow,        ///< Executions run, and the answers are delayed.
  LoseLogAnswers,
  StopLog,
  HealLog,
  HoldReads,
  ResumeReads,
  LapseLease,
  RenewLease,
  TakeOver,
};

struct Step {
  Action Kind = Action::Wait;
  std::uint32_t Parameter = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &Value) {
  return Stream << static_cast<int>(Value.Kind) << ":" << Value.Parameter;
}

rc::Gen<std::vector<Step>> anySteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, rc::gen::weightedElement<Action>({
                                    {10, Action::Submit},
                                    {8, Action::Wait},
                                    {2, Action::Answer},
                                    {2, Action::LoseAnswers},
                                    {2, Action::LoseCalls},
                                    {2, Action::Refuse},
                                    {2, Action::Slow},
                                    {1, Action::LoseLogAnswers},
                                    {1, Action::StopLog},
                                    {2, Action::HealLog},
                                    {1, Action::HoldReads},
                                    {2, Action::ResumeReads},
                                    {1, Action::LapseLease},
                                    {2, Action::RenewLease},
                                    {2, Action::TakeOver},
                                })),
      rc::gen::set(&Step::Parameter,
                   rc::gen::inRange<std::uint32_t>(0, 2500))));
}

/// Submits requests with a few keys to successive owners; the executor counts
/// the runs of each key.
class AtMostOnceModel {
public:
  explicit AtMostOnceModel(bool SkipIntent)
      : SkipIntent_(SkipIntent),
        Domain_({.Requests = {.SkipIntent = SkipIntent}, .Runner = {}}) {
    Domain_.Racks.OnExecute = [this](const peer::ExecuteRequest &Request) {
      return execute(Request);
    };
  }

  /// Returns the first violation, or an empty string.
  std::string findViolation(const std::vector<Step> &Steps) {
    for (const Step &Next : Steps) {
      apply(Next);
      checkReplies();
    }
    ExecutorMode_ = Action::Answer;
    Domain_.Log.makeAvailable();
    Domain_.Log.Options.LostReplyProbability = 0;
    Domain_.owner().HoldReads = false;
    renewLease();
    Domain_.run(20s, 20ms);
    checkReplies();
    for (const auto &[Key, Runs] : Runs_) {
      if (Runs == 0)
        continue;
      const KeyRecord *KeyState = Domain_.owner().Table.find(Key);
      if (KeyState != nullptr && KeyState->Outcome &&
          KeyState->Outcome->outcome() == records::OUTCOME_NOT_RUN)
        recordViolation(Key + " ran, but the log says that it was not run");
    }
    return Violation_;
  }

private:
  struct Call {
    std::string Key;
    JobsHarness::Pending<peer::SubmitReply> Reply;
    int RunsBefore = 0; ///< Runs of the key before this call.
  };

  FakeRackService::DelayedReply<peer::ExecuteReply>
  execute(const peer::ExecuteRequest &Request) {
    peer::ExecuteReply Reply;
    const std::string Key = Request.id().substr(0, Request.id().find('#'));
    if (Request.resolve_only()) {
      const bool Silent = ExecutorMode_ == Action::LoseAnswers ||
                          ExecutorMode_ == Action::LoseCalls;
      if (Silent)
        Reply.set_status(peer::STATUS_UNKNOWN);
      else if (RanIds_.count(Request.id()) == 0)
        Reply.set_status(peer::STATUS_NOT_FOUND);
      else
        Reply.set_answer("done");
      return Reply;
    }
    if (!SkipIntent_)
      checkIntent(Key, Request.id());
    if (ExecutorMode_ == Action::Refuse) {
      Reply.set_status(peer::STATUS_NO_CAPACITY);
      return Reply;
    }
    if (++PossibleRuns_[Key] > 1)
      recordViolation(Key + " was dispatched again after it may have run");
    if (ExecutorMode_ != Action::LoseCalls) {
      ++Runs_[Key];
      RanIds_.insert(Request.id());
    }
    if (ExecutorMode_ == Action::LoseAnswers ||
        ExecutorMode_ == Action::LoseCalls) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 300ms};
    }
    Reply.set_answer("done");
    return {Reply, ExecutorMode_ == Action::Slow ? 700ms : 0ms};
  }

  void checkIntent(const std::string &Key, const std::string &Id) {
    const KeyRecord *KeyState = Domain_.owner().Table.find(Key);
    if (KeyState == nullptr || !KeyState->Intent ||
        Key + "#" + std::to_string(KeyState->Intent->attempt()) != Id ||
        KeyState->Intent->incarnation() != Incarnation_)
      recordViolation(Id + " was dispatched before its intent was read back");
    if (!Domain_.owner().Ownership.holds(keyShard(Key)))
      recordViolation(Id + " was dispatched without the lease");
  }

  void apply(const Step &Next) {
    switch (Next.Kind) {
    case Action::Submit: {
      const std::string Key = "k" + std::to_string(Next.Parameter % 3);
      Calls_.push_back(
          {Key, Domain_.submit(JobsHarness::request(Key, "once")), Runs_[Key]});
      Domain_.settle();
      break;
    }
    case Action::Wait:
      Domain_.run(std::chrono::milliseconds(Next.Parameter));
      break;
    case Action::LoseLogAnswers:
      Domain_.Log.Options.LostReplyProbability = 0.5;
      break;
    case Action::StopLog:
      Domain_.Log.makeUnavailable();
      Domain_.owner().Ownership.LogReachable = Next.Parameter % 2 == 0;
      break;
    case Action::HealLog:
      Domain_.Log.makeAvailable();
      Domain_.Log.Options.LostReplyProbability = 0;
      Domain_.owner().Ownership.LogReachable = true;
      break;
    case Action::HoldReads:
      Domain_.owner().HoldReads = true;
      break;
    case Action::ResumeReads:
      Domain_.owner().HoldReads = false;
      Domain_.settle();
      break;
    case Action::LapseLease:
      Domain_.owner().Ownership.setLeaseEnd(Domain_.Timers.now());
      break;
    case Action::RenewLease:
      renewLease();
      break;
    case Action::TakeOver:
      // Without the log no instance can claim the shards.
      if (Domain_.Log.Outage)
        break;
      Domain_.takeOver(++Incarnation_);
      break;
    default:
      ExecutorMode_ = Next.Kind;
    }
  }

  void renewLease() {
    Domain_.owner().Ownership.setLeaseEnd(Domain_.Timers.now() +
                                          std::chrono::hours(1));
  }

  void checkReplies() {
    std::erase_if(Calls_, [&](const Call &Submitted) {
      if (!*Submitted.Reply)
        return false;
      const peer::SubmitReply &Reply = **Submitted.Reply;
      if (Reply.status() == peer::STATUS_CONFLICT)
        recordViolation(Submitted.Key + " conflicts with itself");
      if (Reply.status() == peer::STATUS_OK &&
          Reply.outcome() == records::OUTCOME_COMPLETED &&
          Runs_[Submitted.Key] == 0)
        recordViolation(Submitted.Key + " was answered but never ran");
      // Replies are checked after each step, when a later call for the key may
      // already have run it.
      if (Reply.outcome() == records::OUTCOME_NOT_RUN &&
          Submitted.RunsBefore != 0)
        recordViolation(Submitted.Key +
                        " ran, but the caller was told that it was not run");
      return true;
    });
  }

  void recordViolation(std::string Text) {
    if (Violation_.empty())
      Violation_ = std::move(Text);
  }

  bool SkipIntent_;
  std::uint64_t Incarnation_ = 7;
  Action ExecutorMode_ = Action::Answer;
  std::map<std::string, int> Runs_;
  std::map<std::string, int> PossibleRuns_;
  std::set<std::string> RanIds_;
  std::vector<Call> Calls_;
  std::string Violation_;
  JobsHarness Domain_;
};

class RequestPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPropertyTest);
  CPPUNIT_TEST(testNonRepeatableRunsAtMostOnce);
  CPPUNIT_TEST(testPropertyFailsWithoutIntent);
  CPPUNIT_TEST_SUITE_END();

public:
  void testNonRepeatableRunsAtMostOnce() {
    CPPUNIT_ASSERT(
        rc::check("a non-repeatable request is dispatched at most once, after "
                  "its intent was read back",
                  [] {
                    const auto Steps = *anySteps();
                    RC_ASSERT(AtMostOnceModel(false).findViolation(Steps) ==
                              std::string());
                  }));
  }

  /// Guards against a property that cannot fail: it must fail if no intent is
  /// logged.
  void testPropertyFailsWithoutIntent() {
    int DispatchedAgain = 0;
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      const auto Steps = anySteps()(rc::Random(Seed), 100).value();
      const std::string Violation = AtMostOnceModel(true).findViolation(Steps);
      if (Violation.find("dispatched again") != std::string::npos)
        ++DispatchedAgain;
    }
    CPPUNIT_ASSERT(DispatchedAgain > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPropertyTest);

} // namespace

} // namespace hickory
