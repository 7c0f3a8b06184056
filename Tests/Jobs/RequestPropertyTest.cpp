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
  Answer,      ///< From now on executions succeed.
  LoseAnswers, ///< They run, but the answers are lost.
  LoseCalls,   ///< They do not run, and the caller cannot know.
  Refuse,      ///< They certainly do not run.
  Slow,        ///< They run, and the answer comes late.
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
  Action What = Action::Wait;
  std::uint32_t Amount = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &Item) {
  return Stream << static_cast<int>(Item.What) << ":" << Item.Amount;
}

rc::Gen<std::vector<Step>> anySteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::What, rc::gen::weightedElement<Action>({
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
      rc::gen::set(&Step::Amount, rc::gen::inRange<std::uint32_t>(0, 2500))));
}

/// Calls with few keys against one owner after the other, and an executor that
/// counts what it runs.
class OnceModel {
public:
  explicit OnceModel(bool SkipIntent)
      : SkipIntent_(SkipIntent),
        Domain_({.Requests = {.SkipIntent = SkipIntent}, .Runner = {}}) {
    Domain_.Racks.OnExecute = [this](const peer::ExecuteRequest &Request) {
      return execute(Request);
    };
  }

  /// The first violation, or empty.
  std::string play(const std::vector<Step> &Steps) {
    for (const Step &Next : Steps) {
      apply(Next);
      checkReplies();
    }
    Mode_ = Action::Answer;
    Domain_.Log.makeAvailable();
    Domain_.Log.Options.LostReplyProbability = 0;
    Domain_.owner().HoldReads = false;
    renewLease();
    Domain_.run(20s, 20ms);
    checkReplies();
    for (const auto &[Key, Runs] : Runs_) {
      if (Runs == 0)
        continue;
      const KeyRecord *Known = Domain_.owner().Table.find(Key);
      if (Known != nullptr && Known->Outcome &&
          Known->Outcome->outcome() == records::OUTCOME_NOT_RUN)
        note(Key + " ran, but the log says that it was not run");
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
      const bool Silent =
          Mode_ == Action::LoseAnswers || Mode_ == Action::LoseCalls;
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
    if (Mode_ == Action::Refuse) {
      Reply.set_status(peer::STATUS_NO_CAPACITY);
      return Reply;
    }
    if (++Doubtful_[Key] > 1)
      note(Key + " was dispatched again after it may have run");
    if (Mode_ != Action::LoseCalls) {
      ++Runs_[Key];
      RanIds_.insert(Request.id());
    }
    if (Mode_ == Action::LoseAnswers || Mode_ == Action::LoseCalls) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 300ms};
    }
    Reply.set_answer("done");
    return {Reply, Mode_ == Action::Slow ? 700ms : 0ms};
  }

  void checkIntent(const std::string &Key, const std::string &Id) {
    const KeyRecord *Known = Domain_.owner().Table.find(Key);
    if (Known == nullptr || !Known->Intent ||
        Key + "#" + std::to_string(Known->Intent->attempt()) != Id ||
        Known->Intent->incarnation() != Incarnation_)
      note(Id + " was dispatched before its intent was read back");
    if (!Domain_.owner().Ownership.holds(keyShard(Key)))
      note(Id + " was dispatched without the lease");
  }

  void apply(const Step &Next) {
    switch (Next.What) {
    case Action::Submit: {
      const std::string Key = "k" + std::to_string(Next.Amount % 3);
      Calls_.push_back(
          {Key, Domain_.submit(JobsHarness::request(Key, "once")), Runs_[Key]});
      Domain_.settle();
      break;
    }
    case Action::Wait:
      Domain_.run(std::chrono::milliseconds(Next.Amount));
      break;
    case Action::LoseLogAnswers:
      Domain_.Log.Options.LostReplyProbability = 0.5;
      break;
    case Action::StopLog:
      Domain_.Log.makeUnavailable();
      Domain_.owner().Ownership.LogReachable = Next.Amount % 2 == 0;
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
      // Without the log nobody can claim the shards.
      if (Domain_.Log.Outage)
        break;
      Domain_.takeOver(++Incarnation_);
      break;
    default:
      Mode_ = Next.What;
    }
  }

  void renewLease() {
    Domain_.owner().Ownership.setLeaseEnd(Domain_.Timers.now() +
                                          std::chrono::hours(1));
  }

  void checkReplies() {
    std::erase_if(Calls_, [&](const Call &Item) {
      if (!*Item.Reply)
        return false;
      const peer::SubmitReply &Reply = **Item.Reply;
      if (Reply.status() == peer::STATUS_CONFLICT)
        note(Item.Key + " conflicts with itself");
      if (Reply.status() == peer::STATUS_OK &&
          Reply.outcome() == records::OUTCOME_COMPLETED && Runs_[Item.Key] == 0)
        note(Item.Key + " was answered but never ran");
      // Replies are looked at after each step, so a later call of the key may
      // have run it by then.
      if (Reply.outcome() == records::OUTCOME_NOT_RUN && Item.RunsBefore != 0)
        note(Item.Key + " ran, but the caller was told that it was not run");
      return true;
    });
  }

  void note(std::string Text) {
    if (Violation_.empty())
      Violation_ = std::move(Text);
  }

  bool SkipIntent_;
  std::uint64_t Incarnation_ = 7;
  Action Mode_ = Action::Answer;
  std::map<std::string, int> Runs_;
  std::map<std::string, int> Doubtful_;
  std::set<std::string> RanIds_;
  std::vector<Call> Calls_;
  std::string Violation_;
  JobsHarness Domain_;
};

class RequestPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPropertyTest);
  CPPUNIT_TEST(testNonRepeatableRunsAtMostOnce);
  CPPUNIT_TEST(testCheckNoticesSkippedIntent);
  CPPUNIT_TEST_SUITE_END();

public:
  void testNonRepeatableRunsAtMostOnce() {
    CPPUNIT_ASSERT(
        rc::check("a non-repeatable request is dispatched at most once, after "
                  "its intent was read back",
                  [] {
                    const auto Steps = *anySteps();
                    RC_ASSERT(OnceModel(false).play(Steps) == std::string());
                  }));
  }

  /// Guards against a property that cannot fail: without the intent it must.
  void testCheckNoticesSkippedIntent() {
    int DispatchedAgain = 0;
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      const auto Steps = anySteps()(rc::Random(Seed), 100).value();
      const std::string Violation = OnceModel(true).play(Steps);
      if (Violation.find("dispatched again") != std::string::npos)
        ++DispatchedAgain;
    }
    CPPUNIT_ASSERT(DispatchedAgain > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPropertyTest);

} // namespace

} // namespace hickory
