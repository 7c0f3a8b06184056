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
  Start,        ///< Subsequent starts succeed.
  LoseStarts,   ///< Starts do not reach the worker; the outcome is unknown.
  LoseAnswers,  ///< Tasks start, but the replies are lost.
  DelayStarts,  ///< The replies are lost, and the tasks start later.
  Refuse,       ///< Starts are refused; the tasks definitely do not start.
  SlowAnswers,  ///< Tasks start, and the replies are delayed.
  SilenceRacks, ///< Task status is unknown, and stops of tasks fail.
  HealRacks,    ///< Ends SilenceRacks.
  StopLog,
  HealLog, ///< Ends StopLog and LoseLogAnswers.
  LoseLogAnswers,
  LapseLease,
  RenewLease,
  TakeOver,
  HandOver, ///< The shards are lost and acquired again.
  Cancel,
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
      rc::gen::set(&Step::Kind,
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
      rc::gen::set(&Step::Parameter,
                   rc::gen::inRange<std::uint32_t>(0, 1500))));
}

/// Runs jobs of several tasks under successive owners; tracks the state of
/// every attempt.
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

  /// Returns the first violation, or an empty string.
  std::string findViolation(const std::vector<Step> &Steps) {
    for (const Step &Next : Steps)
      apply(Next);
    // Once all faults are repaired, every job must end.
    for (const Action Kind : {Action::Start, Action::HealRacks, Action::HealLog,
                              Action::RenewLease})
      apply({Kind, 0});
    for (int Round = 0; Round < 60 && hasUnfinishedJobs(); ++Round) {
      Domain_.run(1s, 20ms);
      for (auto &[Id, Current] : Attempts_)
        if (Current.Phase == State::Running)
          end(Id, records::OUTCOME_COMPLETED);
      report();
    }
    if (hasUnfinishedJobs())
      recordViolation("a job did not end");
    checkOutcomes();
    return Violation_;
  }

private:
  using TaskKey = std::pair<std::string, std::uint32_t>;
  using AttemptId = std::pair<TaskKey, std::uint32_t>;
  enum class State { Delayed, Running, Ended, NotStarted };
  struct Attempt {
    State Phase = State::NotStarted;
    bool Fenced = false;
    std::string Rack;
    std::optional<peer::TaskEndedNotice> UnacknowledgedEnd;
  };

  static std::string describe(const AttemptId &Id) {
    return fmt::format("{}#{} attempt {}", Id.first.first, Id.first.second,
                       Id.second);
  }

  FakeRackService::DelayedReply<peer::PlaceReply>
  place(const peer::PlaceRequest &Request) {
    peer::PlaceReply Reply;
    const AttemptId Id{{Request.key(), Request.task()}, Request.attempt()};
    if (!Domain_.owner().Ownership.holds(keyShard(Request.key())))
      recordViolation(describe(Id) + " was placed without the lease");
    for (const auto &[Other, Current] : Attempts_)
      if (Other.first == Id.first && Other.second != Id.second &&
          (Current.Phase == State::Running ||
           (Current.Phase == State::Delayed && !Current.Fenced)))
        recordViolation(describe(Id) + " was placed while " + describe(Other) +
                        " may be running");
    if (const KeyRecord *KeyState = Domain_.owner().Table.find(Request.key());
        KeyState != nullptr && KeyState->Outcome)
      recordViolation(describe(Id) + " was placed after the job had ended");
    if (Id.second > 1000)
      recordViolation("too many attempts of " + describe(Id));
    Attempt &Current = Attempts_[Id];
    if (Current.Phase != State::NotStarted)
      recordViolation(describe(Id) + " was placed twice");
    Current.Rack = Request.rack();
    if (Current.Fenced || StartMode_ == Action::Refuse) {
      Reply.set_status(Current.Fenced ? peer::STATUS_FENCED
                                      : peer::STATUS_NO_CAPACITY);
      return Reply;
    }
    if (StartMode_ == Action::LoseStarts) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    if (StartMode_ == Action::DelayStarts) {
      Current.Phase = State::Delayed;
      Delayed_.push_back(
          Domain_.Timers.after(900ms, [this, Id] { startDelayed(Id); }));
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    Current.Phase = State::Running;
    Reply.set_worker("w");
    if (StartMode_ == Action::LoseAnswers) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return {Reply, 200ms};
    }
    return {Reply, StartMode_ == Action::SlowAnswers ? 1200ms : 0ms};
  }

  void startDelayed(const AttemptId &Id) {
    Attempt &Current = Attempts_[Id];
    Current.Phase = Current.Fenced ? State::NotStarted : State::Running;
  }

  peer::TaskStatusReply status(const peer::TaskStatusRequest &Request) {
    peer::TaskStatusReply Reply;
    if (RacksSilent_) {
      Reply.set_status(peer::STATUS_UNKNOWN);
      return Reply;
    }
    const AttemptId Id{{Request.key(), Request.task()}, Request.attempt()};
    Attempt &Current = Attempts_[Id];
    const bool OnThisRack =
        Current.Rack.empty() || Current.Rack == Request.rack();
    if (OnThisRack && Request.fence())
      Current.Fenced = true;
    const bool Present = Current.Phase == State::Running ||
                         (Current.Phase == State::Ended &&
                          Current.UnacknowledgedEnd.has_value());
    if (!OnThisRack || !Present)
      Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }

  peer::StopTaskReply stop(const peer::StopTaskRequest &Request) {
    peer::StopTaskReply Reply;
    const AttemptId Id{{Request.key(), Request.task()}, Request.attempt()};
    if (RacksSilent_)
      Reply.set_status(peer::STATUS_UNAVAILABLE);
    else if (Attempts_[Id].Phase == State::Running)
      end(Id, records::OUTCOME_CANCELLED);
    else
      Reply.set_status(peer::STATUS_NOT_FOUND);
    return Reply;
  }

  void end(const AttemptId &Id, records::OutcomeKind Outcome) {
    Attempt &Current = Attempts_[Id];
    Current.Phase = State::Ended;
    Current.UnacknowledgedEnd.emplace();
    records::TaskEnded &Ended = *Current.UnacknowledgedEnd->add_ended();
    Ended.set_key(Id.first.first);
    Ended.set_task(Id.first.second);
    Ended.set_attempt(Id.second);
    Ended.set_outcome(Outcome);
  }

  /// Reports all unacknowledged ends, as rack owners do repeatedly.
  void report() {
    for (auto &[Id, Current] : Attempts_) {
      if (!Current.UnacknowledgedEnd)
        continue;
      const auto Reply = Domain_.await(
          Domain_.owner().Manager.taskEnded(*Current.UnacknowledgedEnd));
      if (Reply.status() != peer::STATUS_OK)
        continue;
      Current.UnacknowledgedEnd.reset();
      if (!isLogged(Id))
        recordViolation("the end of " + describe(Id) +
                        " was acknowledged but is not in the log");
    }
  }

  /// Returns true if the end of the attempt is in the log.
  bool isLogged(const AttemptId &Id) {
    for (const std::string &Payload : Domain_.Log.entries("d")) {
      records::RecordBatch Batch;
      CPPUNIT_ASSERT(Batch.ParseFromString(Payload));
      for (const records::Record &Record : Batch.records())
        if (Record.has_task_ended() &&
            Record.task_ended().key() == Id.first.first &&
            Record.task_ended().task() == Id.first.second &&
            Record.task_ended().attempt() == Id.second)
          return true;
    }
    return false;
  }

  void apply(const Step &Next) {
    JobOwner &Owner = Domain_.owner();
    switch (Next.Kind) {
    case Action::Submit: {
      const std::uint32_t Number = Next.Parameter % 2;
      Submitted_.push_back(
          Domain_.submit(JobsHarness::job("j" + std::to_string(Number), 2)));
      Domain_.settle();
      break;
    }
    case Action::Wait:
      Domain_.run(std::chrono::milliseconds(Next.Parameter), 10ms);
      break;
    case Action::Finish:
      for (auto &[Id, Current] : Attempts_)
        if (Current.Phase == State::Running) {
          end(Id, Next.Parameter % 2 == 0 ? records::OUTCOME_FAILED
                                          : records::OUTCOME_COMPLETED);
          break;
        }
      report();
      break;
    case Action::SilenceRacks:
    case Action::HealRacks:
      RacksSilent_ = Next.Kind == Action::SilenceRacks;
      break;
    case Action::StopLog:
      Domain_.Log.makeUnavailable();
      Owner.Ownership.LogReachable = Next.Parameter % 2 == 0;
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
      // Without the log no instance can claim the shards.
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
      (void)Owner.Runner.cancel({"j" + std::to_string(Next.Parameter % 2)});
      break;
    default:
      StartMode_ = Next.Kind;
    }
  }

  bool hasUnfinishedJobs() {
    for (const std::string &Key : {std::string("j0"), std::string("j1")}) {
      const KeyRecord *KeyState = Domain_.owner().Table.find(Key);
      if (KeyState != nullptr && KeyState->Accepted && !KeyState->Outcome)
        return true;
    }
    return false;
  }

  /// Checks that no attempt of a job with the outcome "not run" ran and that no
  /// attempt of a finished job is still running.
  void checkOutcomes() {
    for (const std::string &Key : {std::string("j0"), std::string("j1")}) {
      const KeyRecord *KeyState = Domain_.owner().Table.find(Key);
      if (KeyState == nullptr || !KeyState->Outcome)
        continue;
      const bool NotRun =
          KeyState->Outcome->outcome() == records::OUTCOME_NOT_RUN;
      for (const auto &[Id, Current] : Attempts_) {
        if (Id.first.first != Key)
          continue;
        if (NotRun &&
            (Current.Phase == State::Running || Current.Phase == State::Ended))
          recordViolation(describe(Id) +
                          " ran, but the log says that it was not run");
        if (Current.Phase == State::Running)
          recordViolation(describe(Id) + " runs although the job has ended");
      }
    }
  }

  void recordViolation(std::string Text) {
    if (Violation_.empty())
      Violation_ = std::move(Text);
  }

  std::uint64_t Incarnation_ = 7;
  Action StartMode_ = Action::Start;
  bool RacksSilent_ = false;
  std::map<AttemptId, Attempt> Attempts_;
  std::vector<Subscription> Delayed_;
  std::vector<JobsHarness::Pending<peer::SubmitReply>> Submitted_;
  std::string Violation_;
  JobsHarness Domain_;
};

class JobPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobPropertyTest);
  CPPUNIT_TEST(testOneAttemptAtATime);
  CPPUNIT_TEST(testPropertyFailsWithoutRecoveryCheck);
  CPPUNIT_TEST_SUITE_END();

public:
  void testOneAttemptAtATime() {
    CPPUNIT_ASSERT(rc::check(
        "an attempt is placed only after the one before ended, never "
        "started or was refused, and every accepted job ends",
        [] {
          const auto Steps = *anySteps();
          RC_ASSERT(AttemptModel(false).findViolation(Steps) == std::string());
        }));
  }

  /// Guards against a property that cannot fail: it must fail if the state of
  /// the last attempt is not checked.
  void testPropertyFailsWithoutRecoveryCheck() {
    int PlacedTwice = 0;
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      const auto Steps = anySteps()(rc::Random(Seed), 100).value();
      const std::string Violation = AttemptModel(true).findViolation(Steps);
      if (Violation.find("may be running") != std::string::npos)
        ++PlacedTwice;
    }
    CPPUNIT_ASSERT(PlacedTwice > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobPropertyTest);

} // namespace

} // namespace hickory
