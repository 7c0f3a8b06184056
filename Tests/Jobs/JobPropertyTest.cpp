#include "Jobs/JobRunner.h"

#include "Jobs/JobsHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <tuple>

namespace hickory {

namespace {

enum class Action {
  Submit,
  Wait,
  Finish,       ///< A running task ends.
  Start,        ///< From now on starts succeed.
  LoseStarts,   ///< They do not reach the worker, and nobody can know.
  LoseAnswers,  ///< Tasks start, but the answers are lost.
  DelayStarts,  ///< The answers are lost, and the tasks start later.
  Refuse,       ///< Certain: they do not start.
  SlowAnswers,  ///< Tasks start, and the answers come late.
  SilenceRacks, ///< Questions about tasks are not answered.
  HealRacks,
  StopLog,
  HealLog,
  LoseLogAnswers,
  LapseLease,
  RenewLease,
  TakeOver,
  HandOver, ///< The shards are lost and come back.
  Cancel,
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
      rc::gen::set(&Step::What,
                   rc::gen::weightedElement<Action>({
                       {8, Action::Submit},      {10, Action::Wait},
                       {6, Action::Finish},      {2, Action::Start},
                       {2, Action::LoseStarts},  {2, Action::LoseAnswers},
                       {2, Action::DelayStarts}, {2, Action::Refuse},
                       {2, Action::SlowAnswers}, {1, Action::SilenceRacks},
                       {2, Action::HealRacks},   {2, Action::StopLog},
                       {2, Action::HealLog},     {1, Action::LoseLogAnswers},
                       {1, Action::LapseLease},  {2, Action::RenewLease},
                       {2, Action::TakeOver},    {1, Action::HandOver},
                       {1, Action::Cancel},
                   })),
      rc::gen::set(&Step::Amount, rc::gen::inRange<std::uint32_t>(0, 1500))));
}

/// Jobs of several tasks under one owner after the other, and racks that know
/// what became of every attempt.
class AttemptModel {
public:
  explicit AttemptModel(bool SkipRecoveryCheck)
      : Domain_({.Requests = {},
                 .Runner = {.SkipRecoveryCheck = SkipRecoveryCheck}}) {
    Domain_.Racks.addWorkerRack("r2", 1000000);
    Domain_.owner().Ownership.acquire(rackShard("r2"), false);
    Domain_.Racks.OnPlace = [this](const peer::PlaceRequest &Request) {
      return place(Request);
    };
    Domain_.Racks.OnStatus = [this](const peer::TaskStatusRequest &Request) {
      return status(Request);
    };
    Domain_.Racks.OnStop = [this](const peer::StopTaskRequest &Request) {
      return stop(Request);
    };
  }

  /// The first violation, or empty.
  std::string play(const std::vector<Step> &Steps) {
    for (const Step &Next : Steps)
      apply(Next);
    // With everything healthy every job ends.
    for (const Action What : {Action::Start, Action::HealRacks, Action::HealLog,
                              Action::RenewLease})
      apply({What, 0});
    for (int Round = 0; Round < 60 && unfinished(); ++Round) {
      Domain_.run(1s, 20ms);
      for (auto &[Id, Item] : Attempts_)
        if (Item.Now == State::Running)
          end(Id, records::OUTCOME_COMPLETED);
      report();
    }
    if (unfinished())
      note("a job did not end");
    checkOutcomes();
    return Violation_;
  }

private:
  using TaskKey = std::pair<std::string, std::uint32_t>;
  using Id = std::pair<TaskKey, std::uint32_t>;
  enum class State { Delayed, Running, Ended, Never };
  struct Attempt {
    State Now = State::Never;
    bool Fenced = false;
    std::string Rack;
    std::optional<peer::TaskEndedNotice> Unacknowledged;
  };

  static std::string text(const Id &Which) {
    return fmt::format("{}#{} attempt {}", Which.first.first,
                       Which.first.second, Which.second);
  }

  FakeRackService::DelayedReply<peer::PlaceReply>
  place(const peer::PlaceRequest &Request) {
    peer::PlaceReply Reply;
    const Id Which{{Request.key(), Request.task()}, Request.attempt()};
    if (!Domain_.owner().Ownership.holds(keyShard(Request.key())))
      note(text(Which) + " was placed without the lease");
    for (const auto &[Other, Item] : Attempts_)
      if (Other.first == Which.first && Other.second != Which.second &&
          (Item.Now == State::Running ||
           (Item.Now == State::Delayed && !Item.Fenced)))
        note(text(Which) + " was placed while " + text(Other) +
             " may be running");
    if (const KeyRecord *Known = Domain_.owner().Table.find(Request.key());
        Known != nullptr && Known->Outcome)
      note(text(Which) + " was placed after the job had ended");
    if (Which.second > 1000)
      note("too many attempts of " + text(Which));
    Attempt &Item = Attempts_[Which];
    if (Item.Now != State::Never)
      note(text(Which) + " was placed twice");
    Item.Rack = Request.rack();
    if (Item.Fenced || Mode_ == Action::Refuse) {
      Reply.set_status(Item.Fenced ? peer::STATUS_FENCED
                                   : peer::STATUS_NO_CAPACITY);
      return Reply;
    }
    if (Mode_ == Action::LoseStarts) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    if (Mode_ == Action::DelayStarts) {
      Item.Now = State::Delayed;
      Delayed_.push_back(
          Domain_.Timers.after(900ms, [this, Which] { startDelayed(Which); }));
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    Item.Now = State::Running;
    Reply.set_worker("w");
    if (Mode_ == Action::LoseAnswers) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    return {Reply, Mode_ == Action::SlowAnswers ? 1200ms : 0ms};
  }

  void startDelayed(const Id &Which) {
    Attempt &Item = Attempts_[Which];
    Item.Now = Item.Fenced ? State::Never : State::Running;
  }

  peer::TaskStatusReply status(const peer::TaskStatusRequest &Request) {
    peer::TaskStatusReply Reply;
    if (Silent_) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return Reply;
    }
    const Id Which{{Request.key(), Request.task()}, Request.attempt()};
    Attempt &Item = Attempts_[Which];
    const bool Here = Item.Rack.empty() || Item.Rack == Request.rack();
    if (Here && Request.fence())
      Item.Fenced = true;
    const bool Present =
        Item.Now == State::Running ||
        (Item.Now == State::Ended && Item.Unacknowledged.has_value());
    if (!Here || !Present)
      Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }

  peer::StopTaskReply stop(const peer::StopTaskRequest &Request) {
    peer::StopTaskReply Reply;
    const Id Which{{Request.key(), Request.task()}, Request.attempt()};
    if (Silent_)
      Reply.set_status(peer::STATUS_UNAVAILABLE);
    else if (Attempts_[Which].Now == State::Running)
      end(Which, records::OUTCOME_CANCELLED);
    else
      Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }

  void end(const Id &Which, records::OutcomeKind Outcome) {
    Attempt &Item = Attempts_[Which];
    Item.Now = State::Ended;
    Item.Unacknowledged.emplace();
    records::TaskEnded &Ended = *Item.Unacknowledged->add_ended();
    Ended.set_key(Which.first.first);
    Ended.set_task(Which.first.second);
    Ended.set_attempt(Which.second);
    Ended.set_outcome(Outcome);
  }

  /// Rack owners repeat the ends that were not acknowledged.
  void report() {
    for (auto &[Which, Item] : Attempts_) {
      if (!Item.Unacknowledged)
        continue;
      const auto Reply = Domain_.await(
          Domain_.owner().Manager.taskEnded(*Item.Unacknowledged));
      if (Reply.status() != peer::STATUS_OK)
        continue;
      Item.Unacknowledged.reset();
      if (!logged(Which))
        note("the end of " + text(Which) +
             " was acknowledged but is not in the log");
    }
  }

  /// True if the end of the attempt is in the log.
  bool logged(const Id &Which) {
    for (const std::string &Payload : Domain_.Log.entries("d")) {
      records::RecordBatch Batch;
      CPPUNIT_ASSERT(Batch.ParseFromString(Payload));
      for (const records::Record &Record : Batch.records())
        if (Record.has_task_ended() &&
            Record.task_ended().key() == Which.first.first &&
            Record.task_ended().task() == Which.first.second &&
            Record.task_ended().attempt() == Which.second)
          return true;
    }
    return false;
  }

  void apply(const Step &Next) {
    JobOwner &Owner = Domain_.owner();
    switch (Next.What) {
    case Action::Submit: {
      const std::uint32_t Number = Next.Amount % 2;
      Submitted_.push_back(
          Domain_.submit(JobsHarness::job("j" + std::to_string(Number), 2)));
      Domain_.settle();
      break;
    }
    case Action::Wait:
      Domain_.run(std::chrono::milliseconds(Next.Amount), 10ms);
      break;
    case Action::Finish:
      for (auto &[Which, Item] : Attempts_)
        if (Item.Now == State::Running) {
          end(Which, Next.Amount % 2 == 0 ? records::OUTCOME_FAILED
                                          : records::OUTCOME_COMPLETED);
          break;
        }
      report();
      break;
    case Action::SilenceRacks:
    case Action::HealRacks:
      Silent_ = Next.What == Action::SilenceRacks;
      break;
    case Action::StopLog:
      Domain_.Log.makeUnavailable();
      Owner.Ownership.LogReachable = Next.Amount % 2 == 0;
      break;
    case Action::HealLog:
      Domain_.Log.makeAvailable();
      Domain_.Log.Options.LostReplyProbability = 0;
      Owner.Ownership.LogReachable = true;
      break;
    case Action::LoseLogAnswers:
      Domain_.Log.Options.LostReplyProbability = 0.5;
      break;
    case Action::LapseLease:
      Owner.Ownership.setLeaseEnd(Domain_.Timers.now());
      break;
    case Action::RenewLease:
      Owner.Ownership.setLeaseEnd(Domain_.Timers.now() + std::chrono::hours(1));
      break;
    case Action::TakeOver:
      // Without the log nobody can claim the shards.
      if (!Domain_.Log.Outage)
        Domain_.takeOver(++Incarnation_);
      break;
    case Action::HandOver:
      if (Domain_.Log.Outage)
        break;
      Domain_.run(1s, 10ms); // All records are in the log before the release.
      Domain_.loseAll();
      Domain_.run(100ms);
      Domain_.acquireAll(true);
      break;
    case Action::Cancel:
      (void)Owner.Runner.cancel({"j" + std::to_string(Next.Amount % 2)});
      break;
    default:
      Mode_ = Next.What;
    }
  }

  bool unfinished() {
    for (const std::string &Key : {std::string("j0"), std::string("j1")}) {
      const KeyRecord *Known = Domain_.owner().Table.find(Key);
      if (Known != nullptr && Known->Accepted && !Known->Outcome)
        return true;
    }
    return false;
  }

  /// "Not run" must be true, and so must "completed".
  void checkOutcomes() {
    for (const std::string &Key : {std::string("j0"), std::string("j1")}) {
      const KeyRecord *Known = Domain_.owner().Table.find(Key);
      if (Known == nullptr || !Known->Outcome)
        continue;
      const bool NotRun = Known->Outcome->outcome() == records::OUTCOME_NOT_RUN;
      for (const auto &[Which, Item] : Attempts_) {
        if (Which.first.first != Key)
          continue;
        if (NotRun && (Item.Now == State::Running || Item.Now == State::Ended))
          note(text(Which) + " ran, but the log says that it was not run");
        if (Item.Now == State::Running)
          note(text(Which) + " runs although the job has ended");
      }
    }
  }

  void note(std::string Text) {
    if (Violation_.empty())
      Violation_ = std::move(Text);
  }

  std::uint64_t Incarnation_ = 7;
  Action Mode_ = Action::Start;
  bool Silent_ = false;
  std::map<Id, Attempt> Attempts_;
  std::vector<Subscription> Delayed_;
  std::vector<JobsHarness::Pending<peer::SubmitReply>> Submitted_;
  std::string Violation_;
  JobsHarness Domain_;
};

class JobPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobPropertyTest);
  CPPUNIT_TEST(testOneAttemptAtATime);
  CPPUNIT_TEST(testCheckNoticesSkippedRecovery);
  CPPUNIT_TEST_SUITE_END();

public:
  void testOneAttemptAtATime() {
    CPPUNIT_ASSERT(
        rc::check("an attempt is placed only after the one before ended, never "
                  "started or was refused, and every accepted job ends",
                  [] {
                    const auto Steps = *anySteps();
                    RC_ASSERT(AttemptModel(false).play(Steps) == std::string());
                  }));
  }

  /// Guards against a property that cannot fail: without the question about the
  /// last attempt it must.
  void testCheckNoticesSkippedRecovery() {
    int PlacedTwice = 0;
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      const auto Steps = anySteps()(rc::Random(Seed), 100).value();
      const std::string Violation = AttemptModel(true).play(Steps);
      if (Violation.find("may be running") != std::string::npos)
        ++PlacedTwice;
    }
    CPPUNIT_ASSERT(PlacedTwice > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobPropertyTest);

} // namespace

} // namespace hickory
