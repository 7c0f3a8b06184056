#include "Backends/RackManager.h"

#include "Backends/FakeExecutor.h"
#include "Backends/RackHarness.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

namespace {

enum class Action {
  Place,
  Wait,
  LoseReplies,
  LoseRequests,
  DelayRequests,
  HealNetwork,
  CutWorker,
  ConnectWorker,
  RestartWorker,
  FinishTask,
  Takeover,
  HandOver,
};

struct Step {
  Action What = Action::Wait;
  std::uint32_t Choice = 0;
  std::uint32_t Amount = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &Item) {
  return Stream << static_cast<int>(Item.What) << ":" << Item.Choice << ":"
                << Item.Amount;
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::What,
                   rc::gen::weightedElement<Action>({{10, Action::Place},
                                                     {6, Action::Wait},
                                                     {2, Action::LoseReplies},
                                                     {2, Action::LoseRequests},
                                                     {3, Action::DelayRequests},
                                                     {4, Action::HealNetwork},
                                                     {1, Action::CutWorker},
                                                     {2, Action::ConnectWorker},
                                                     {1, Action::RestartWorker},
                                                     {2, Action::FinishTask},
                                                     {1, Action::Takeover},
                                                     {1, Action::HandOver}})),
      rc::gen::set(&Step::Choice, rc::gen::inRange<std::uint32_t>(0, 1000)),
      rc::gen::set(&Step::Amount, rc::gen::inRange<std::uint32_t>(0, 3000)));
}

/// A job owner that keeps to the protocol: the next attempt is placed only
/// after the last one certainly ended or certainly never ran.
class JobModel {
public:
  struct Job {
    std::string Key;
    std::int64_t Cpus = 0;
    std::uint32_t Attempt = 1;
    enum class State { Placing, Asking, Placed, Over } Now = State::Placing;
    std::shared_ptr<std::optional<peer::PlaceReply>> Call;
  };

  explicit JobModel(RackWorld &World) : World_(World) { takeOver(); }

  void takeOver() {
    if (!Owners_.empty())
      owner().Ownership.lose("rack/r1");
    for (Job &One : Jobs_)
      if (One.Now == Job::State::Placing && One.Call)
        One.Now = Job::State::Asking; // The owner that was called is gone.
    newOwner(true);
  }

  void handOver() {
    RackOwner &Old = owner();
    bool Released = false;
    Old.Ownership.announceRelease("rack/r1", [&] { Released = true; });
    for (int I = 0; I < 1200 && !Released; ++I)
      World_.run(10ms);
    RC_ASSERT(Released);
    World_.run(10ms);
    advance();
    Old.Ownership.lose("rack/r1");
    newOwner(false);
  }

  void submit(std::int64_t Cpus) {
    Job Next;
    Next.Key = "k" + std::to_string(Jobs_.size());
    Next.Cpus = Cpus;
    Jobs_.push_back(std::move(Next));
  }

  /// One turn of the job owner.
  void advance() {
    for (Job &One : Jobs_)
      advanceOne(One);
  }

private:
  RackOwner &owner() { return *Owners_.back(); }

  void newOwner(bool Expired) {
    Owners_.push_back(std::make_unique<RackOwner>(World_));
    owner().Ownership.Incarnation = Owners_.size();
    owner().Ownership.acquire("rack/r1", Expired);
  }

  void advanceOne(Job &One) {
    if (One.Now == Job::State::Placing && !One.Call) {
      One.Call = owner().beginPlace(
          owner().placeRequest(One.Key, One.Cpus, One.Attempt));
      return;
    }
    if (One.Now == Job::State::Placing && One.Call->has_value()) {
      const auto Status = (*One.Call)->status();
      if (Status == peer::STATUS_OK) {
        One.Now = Job::State::Placed;
      } else if (Status == peer::STATUS_UNKNOWN) {
        One.Now = Job::State::Asking;
      } else {
        assertDidNotRun(One);
        nextAttempt(One);
      }
    }
    if (One.Now == Job::State::Asking) {
      const auto Reply = owner().status(One.Key, true, One.Attempt);
      if (Reply.status() == peer::STATUS_NOT_FOUND)
        nextAttempt(One);
      else if (Reply.status() == peer::STATUS_OK)
        One.Now = Job::State::Placed;
    }
    if (One.Now == Job::State::Placed)
      for (const auto &Owner : Owners_)
        for (const auto &Ended : Owner->Ends.Ended)
          if (Ended.key() == One.Key && Ended.attempt() == One.Attempt) {
            if (Ended.outcome() == records::OUTCOME_COMPLETED) {
              One.Now = Job::State::Over;
              return;
            }
            nextAttempt(One);
            return;
          }
  }

  static void nextAttempt(Job &One) {
    ++One.Attempt;
    One.Call.reset();
    One.Now = Job::State::Placing;
  }

  void assertDidNotRun(const Job &One) const {
    const std::string Name = One.Key + "#0/" + std::to_string(One.Attempt);
    RC_ASSERT(std::find(World_.History.Ran.begin(), World_.History.Ran.end(),
                        Name) == World_.History.Ran.end());
  }

  RackWorld &World_;
  std::vector<std::unique_ptr<RackOwner>> Owners_;
  std::vector<Job> Jobs_;
};

void runSteps(const std::vector<Step> &Steps) {
  RackWorld World;
  const std::vector<std::string> Names = {"w1", "w2", "w3"};
  for (const std::string &Name : Names)
    World.addWorker(Name);
  JobModel Jobs(World);
  World.run(2500ms, 20ms);
  FakeHttpClient::MessageFault Fate;
  std::uint32_t Every = 1;
  std::uint32_t Messages = 0;
  World.Client.ChooseFault = [&](const HttpClientRequest &) {
    return ++Messages % Every == 0 ? Fate : FakeHttpClient::MessageFault{};
  };
  for (const Step &Item : Steps) {
    const std::string &Name = Names[Item.Choice % Names.size()];
    FakeWorker &Worker = *World.Workers.at(Name);
    switch (Item.What) {
    case Action::Place:
      Jobs.submit(500 + static_cast<std::int64_t>(Item.Choice) * 3);
      break;
    case Action::Wait:
      break;
    case Action::LoseReplies:
      Fate = {.LoseReply = true};
      Every = 1 + Item.Choice % 3;
      break;
    case Action::LoseRequests:
      Fate = {.LoseRequest = true};
      Every = 1 + Item.Choice % 3;
      break;
    case Action::DelayRequests:
      Fate = {.RequestDelay = std::chrono::milliseconds(Item.Amount)};
      Every = 1 + Item.Choice % 3;
      break;
    case Action::HealNetwork:
      Fate = {};
      break;
    case Action::CutWorker:
      World.Client.refuseConnections(RackWorld::addressOf(Name));
      break;
    case Action::ConnectWorker:
      World.connect(Name);
      break;
    case Action::RestartWorker:
      Worker.restart();
      break;
    case Action::FinishTask:
      if (const auto Running = Worker.running(); !Running.empty())
        Worker.finish(Running[Item.Amount % Running.size()],
                      Item.Amount % 2 == 0 ? "done" : "failed");
      break;
    case Action::Takeover:
      Jobs.takeOver();
      break;
    case Action::HandOver:
      Jobs.handOver();
      break;
    }
    Jobs.advance();
    World.run(std::chrono::milliseconds(Item.Amount), 20ms);
    Jobs.advance();
    for (const std::string &Each : Names)
      World.Workers.at(Each)->settle();
    RC_ASSERT(World.History.OverCapacity == 0);
    RC_ASSERT(World.History.RanTwice == 0);
  }
  RC_TAG(World.History.Starts >= 5 ? "5 starts or more" : "fewer starts");
}

/// One request and the faults of the executors while it is in progress.
struct Burst {
  std::uint32_t Requests = 1;
  std::uint32_t Fault = 0;
  bool NonRepeatable = false;
};

std::ostream &operator<<(std::ostream &Stream, const Burst &Item) {
  return Stream << Item.Requests << ":" << Item.Fault << ":"
                << Item.NonRepeatable;
}

void runBursts(const std::vector<Burst> &Bursts) {
  RackWorld World;
  std::vector<std::unique_ptr<FakeExecutor>> Executors;
  for (const std::string Name : {"e1", "e2"}) {
    Executors.push_back(std::make_unique<FakeExecutor>(
        World.Timers, World.Context.get_executor()));
    World.addExecutor(
        Name, [One = Executors.back().get()](HttpClientRequest Request) {
          return One->handle(std::move(Request));
        });
  }
  RackOwner Owner(World);
  Owner.own();
  struct Call {
    std::string Id;
    bool NonRepeatable;
    std::shared_ptr<std::optional<peer::ExecuteReply>> Reply;
  };
  std::vector<Call> Calls;
  for (const Burst &Item : Bursts) {
    FakeExecutor &Faulty = *Executors[Item.Fault % 2];
    for (const auto &One : Executors)
      One->Cross = One->Fail = One->Busy = false;
    Faulty.Cross = Item.Fault % 7 == 1;
    Faulty.Fail = Item.Fault % 7 == 2;
    Faulty.Busy = Item.Fault % 7 == 3;
    Faulty.HoldReply = Item.Fault % 7 == 4 ? 5s : 0s;
    World.Client.ChooseFault = [&](const HttpClientRequest &) {
      return FakeHttpClient::MessageFault{.LoseRequest = Item.Fault % 7 == 5,
                                          .LoseReply = Item.Fault % 7 == 6};
    };
    for (std::uint32_t I = 0; I < Item.Requests; ++I) {
      peer::ExecuteRequest Request;
      Request.set_id("k" + std::to_string(Calls.size()) + "#1");
      Request.set_rack("r1");
      Request.set_target_incarnation(Owner.Ownership.Incarnation);
      Request.set_payload("payload of " + Request.id());
      Request.set_timeout_ms(1500);
      Request.set_non_repeatable(Item.NonRepeatable);
      Call Next{Request.id(), Item.NonRepeatable, nullptr};
      Next.Reply = Owner.begin(Owner.Manager.execute(std::move(Request)));
      Calls.push_back(std::move(Next));
    }
    World.run(700ms);
  }
  World.Client.ChooseFault = nullptr;
  World.run(10s, 20ms);
  for (const Call &One : Calls) {
    RC_ASSERT(One.Reply->has_value());
    const peer::ExecuteReply &Reply = **One.Reply;
    int Runs = 0;
    for (const auto &Executor : Executors)
      Runs += Executor->Runs.contains(One.Id) ? Executor->Runs.at(One.Id) : 0;
    if (Reply.status() == peer::STATUS_OK)
      RC_ASSERT(Reply.answer() == "answer:payload of " + One.Id);
    else if (Reply.status() != peer::STATUS_UNKNOWN)
      RC_ASSERT(Runs == 0);
    if (One.NonRepeatable)
      RC_ASSERT(Runs <= 1);
  }
  for (const auto &Executor : Executors)
    RC_ASSERT(Executor->MostRunning <= 8);
}

} // namespace

class RackPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RackPropertyTest);
  CPPUNIT_TEST(noWorkerIsOvercommittedAndNoTaskRunsTwice);
  CPPUNIT_TEST(answersAreOwnCertainAndOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards guarantees 1, 2 and 4 for tasks under lost and delayed messages,
  // restarts, takeovers and handovers in any order.
  void noWorkerIsOvercommittedAndNoTaskRunsTwice() {
    CPPUNIT_ASSERT(
        rc::check("capacity and single run hold over any sequence", [] {
          const auto Steps = *rc::gen::container<std::vector<Step>>(anyStep());
          runSteps(Steps);
        }));
  }

  // Guards guarantees 3, 4 and 5 for requests under executor faults.
  void answersAreOwnCertainAndOnce() {
    CPPUNIT_ASSERT(
        rc::check("answers belong to their requests and statuses are true", [] {
          const auto Bursts =
              *rc::gen::container<std::vector<Burst>>(rc::gen::build<Burst>(
                  rc::gen::set(&Burst::Requests,
                               rc::gen::inRange<std::uint32_t>(1, 6)),
                  rc::gen::set(&Burst::Fault,
                               rc::gen::inRange<std::uint32_t>(0, 14)),
                  rc::gen::set(&Burst::NonRepeatable,
                               rc::gen::arbitrary<bool>())));
          runBursts(Bursts);
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RackPropertyTest);

} // namespace hickory
