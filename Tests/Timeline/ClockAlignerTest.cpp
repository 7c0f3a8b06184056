#include "Timeline/ClockAligner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace {

/// Processes with known clocks that exchange messages with known delays.
class ClockWorld {
public:
  explicit ClockWorld(std::vector<std::int64_t> Offsets)
      : Offsets_(std::move(Offsets)), Next_(Offsets_.size()) {
    for (std::size_t P = 0; P < Offsets_.size(); ++P)
      add(P, 0, "started", {});
  }

  static std::string name(std::size_t Process) {
    return fmt::format("p{}", Process);
  }
  [[nodiscard]] std::int64_t offset(std::size_t Process) const {
    return Offsets_[Process];
  }

  void add(std::size_t Process, std::int64_t RealTime, const std::string &Name,
           nlohmann::json Fields) {
    TimelineEvent Event;
    Event.Process = name(Process);
    Event.Run = Event.Process;
    Event.Sequence = Next_[Process]++;
    Event.Monotonic = microseconds(RealTime + Offsets_[Process]);
    Event.Wall = microseconds(RealTime + 1'000'000);
    Event.Part = "test";
    Event.Name = Name;
    Event.Fields = std::move(Fields);
    Events.push_back(Event);
    RealTimes.push_back(RealTime);
  }

  void call(std::size_t From, std::size_t To, std::int64_t At,
            std::int64_t There, std::int64_t Work, std::int64_t Back) {
    const nlohmann::json Fields = {{"call", fmt::format("c{}", Calls_++)}};
    add(From, At, "rpc_sent", Fields);
    add(To, At + There, "rpc_received", Fields);
    add(To, At + There + Work, "rpc_replied", Fields);
    add(From, At + There + Work + Back, "rpc_replied", Fields);
  }

  void hello(std::size_t From, std::size_t To, std::int64_t At,
             std::int64_t Delay) {
    add(To, At + Delay, "hello",
        {{"peer", name(From)}, {"clock_us", At + Offsets_[From]}});
  }

  std::vector<TimelineEvent> Events;
  std::vector<std::int64_t> RealTimes;

private:
  std::vector<std::int64_t> Offsets_;
  std::vector<std::uint64_t> Next_;
  int Calls_ = 0;
};

} // namespace

class ClockAlignerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClockAlignerTest);
  CPPUNIT_TEST(estimatesWithinUncertaintyAndKeepsCausality);
  CPPUNIT_TEST(usesChainsOfProcesses);
  CPPUNIT_TEST(fallsBackToWallClocks);
  CPPUNIT_TEST(oneDirectionIsMarked);
  CPPUNIT_TEST(driftIsReported);
  CPPUNIT_TEST(repeatedCallsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against time lines on which effects come before their causes, and
  // against uncertainties that are too small.
  void estimatesWithinUncertaintyAndKeepsCausality() {
    const bool Passed = rc::check(
        "offsets are within their uncertainty, and causes precede effects", [] {
          const std::size_t Count = *rc::gen::inRange<std::size_t>(2, 7);
          std::vector<std::int64_t> Offsets;
          for (std::size_t I = 0; I < Count; ++I)
            Offsets.push_back(
                *rc::gen::inRange<std::int64_t>(-50'000'000, 50'000'000));
          ClockWorld World(Offsets);
          const int Messages = *rc::gen::inRange(0, 30);
          for (int I = 0; I < Messages; ++I) {
            const auto From = *rc::gen::inRange<std::size_t>(0, Count);
            const auto To = *rc::gen::inRange<std::size_t>(0, Count);
            const auto At = *rc::gen::inRange<std::int64_t>(0, 10'000'000);
            const auto Delay = *rc::gen::inRange<std::int64_t>(0, 20'000);
            if (From == To)
              continue;
            if (*rc::gen::arbitrary<bool>())
              World.call(From, To, At, Delay,
                         *rc::gen::inRange<std::int64_t>(0, 5'000),
                         *rc::gen::inRange<std::int64_t>(0, 20'000));
            else
              World.hello(From, To, At, Delay);
          }
          const ClockAligner Clocks(World.Events);
          RC_ASSERT(Clocks.inconsistency() == 0us);
          std::int64_t Base = 0;
          for (std::size_t P = 0; P < Count; ++P)
            if (ClockWorld::name(P) == Clocks.reference())
              Base = World.offset(P);
          bool TwoSided = false;
          for (std::size_t P = 0; P < Count; ++P) {
            const auto &Found = Clocks.offsets().at(ClockWorld::name(P));
            if (Found.From != ClockAligner::Source::Messages)
              continue;
            TwoSided = true;
            const std::int64_t Error =
                Found.Value.count() - (World.offset(P) - Base);
            RC_ASSERT(std::abs(Error) <= Found.Uncertainty.count());
          }
          RC_CLASSIFY(TwoSided, "with two-way messages");
          for (const auto &Message : Clocks.messages()) {
            const auto &From = Clocks.offsets().at(Message.From);
            const auto &To = Clocks.offsets().at(Message.To);
            // Without a chain of messages to the reference, wall clocks place
            // a process, and they promise nothing.
            if (From.From != ClockAligner::Source::WallClock &&
                To.From != ClockAligner::Source::WallClock)
              RC_ASSERT(Message.Sent - From.Value <=
                        Message.Received - To.Value);
          }
          auto Sorted = World.Events;
          Clocks.align(Sorted);
          RC_ASSERT(Sorted.size() == World.Events.size());
        });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against processes that never talk to the reference directly.
  void usesChainsOfProcesses() {
    ClockWorld World({0, 7'000'000, -9'000'000});
    World.call(0, 1, 1000, 100, 10, 100);
    World.call(2, 1, 2000, 200, 10, 200);
    const ClockAligner Clocks(World.Events, "p0");
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 7'000'000us);
    const auto &Last = Clocks.offsets().at("p2");
    CPPUNIT_ASSERT(Last.From == ClockAligner::Source::Messages);
    CPPUNIT_ASSERT(Last.Value == -9'000'000us);
    CPPUNIT_ASSERT(Last.Uncertainty <= 300us);
  }

  // Guards against events that are dropped because nothing links them.
  void fallsBackToWallClocks() {
    ClockWorld World({5'000, 90'000});
    const ClockAligner Clocks(World.Events);
    CPPUNIT_ASSERT_EQUAL(std::string("p0"), Clocks.reference());
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").From ==
                   ClockAligner::Source::WallClock);
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 85'000us);
  }

  // Guards against a certainty that one direction cannot give.
  void oneDirectionIsMarked() {
    ClockWorld World({0, 40'000});
    World.hello(0, 1, 1'000, 500);
    const ClockAligner Clocks(World.Events, "p0");
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").From ==
                   ClockAligner::Source::OneWay);
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 40'500us);
  }

  // Guards against an endless search or silence when rates differ.
  void driftIsReported() {
    ClockWorld World({0, 0});
    World.call(0, 1, 1'000, 10, 0, 10);
    World.call(0, 1, 2'000, 10, 0, 10);
    // The second reading of p1 is 5 ms ahead of the first.
    for (TimelineEvent &Event : World.Events)
      if (Event.Run == "p1" && Event.Monotonic > 1'500us)
        Event.Monotonic += 5ms;
    const ClockAligner Clocks(World.Events, "p0");
    CPPUNIT_ASSERT(Clocks.inconsistency() >= 2'400us);
    CPPUNIT_ASSERT(Clocks.inconsistency() <= 2'500us);
  }

  // Guards against bounds from a reply that belongs to an earlier attempt.
  void repeatedCallsAreIgnored() {
    ClockWorld World({0, 0});
    World.add(0, 100, "rpc_sent", {{"call", "x"}});
    World.add(0, 900, "rpc_sent", {{"call", "x"}});
    World.add(1, 200, "rpc_received", {{"call", "x"}});
    const ClockAligner Clocks(World.Events, "p0");
    CPPUNIT_ASSERT(Clocks.messages().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockAlignerTest);

} // namespace hickory
