#include "Timeline/ClockAligner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace {

/// Produces the events of processes with known clock offsets that exchange
/// messages with known delays. All times are in microseconds.
class SimulatedProcesses {
public:
  explicit SimulatedProcesses(std::vector<std::int64_t> Offsets)
      : Offsets_(std::move(Offsets)), NextSequence_(Offsets_.size()) {
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
    Event.Sequence = NextSequence_[Process]++;
    Event.MonotonicTime = microseconds(RealTime + Offsets_[Process]);
    Event.WallTime = microseconds(RealTime + 1'000'000);
    Event.Part = "test";
    Event.Name = Name;
    Event.Fields = std::move(Fields);
    Events.push_back(Event);
    RealTimes.push_back(RealTime);
  }

  void call(std::size_t From, std::size_t To, std::int64_t Start,
            std::int64_t RequestDelay, std::int64_t HandlingTime,
            std::int64_t ReplyDelay) {
    const nlohmann::json Fields = {{"call", fmt::format("c{}", Calls_++)}};
    add(From, Start, "rpc_sent", Fields);
    add(To, Start + RequestDelay, "rpc_received", Fields);
    add(To, Start + RequestDelay + HandlingTime, "rpc_replied", Fields);
    add(From, Start + RequestDelay + HandlingTime + ReplyDelay, "rpc_replied",
        Fields);
  }

  void hello(std::size_t From, std::size_t To, std::int64_t SendTime,
             std::int64_t Delay) {
    add(To, SendTime + Delay, "hello",
        {{"peer", name(From)}, {"clock_us", SendTime + Offsets_[From]}});
  }

  std::vector<TimelineEvent> Events;
  std::vector<std::int64_t> RealTimes;

private:
  std::vector<std::int64_t> Offsets_;
  std::vector<std::uint64_t> NextSequence_;
  int Calls_ = 0;
};

} // namespace

class ClockAlignerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClockAlignerTest);
  CPPUNIT_TEST(errorIsWithinUncertaintyAndCausesPrecedeEffects);
  CPPUNIT_TEST(alignsThroughIntermediateProcess);
  CPPUNIT_TEST(fallsBackToWallClocks);
  CPPUNIT_TEST(oneWayMessagesGiveOneWayOffset);
  CPPUNIT_TEST(clockDriftIsReportedAsInconsistency);
  CPPUNIT_TEST(callsSentTwiceAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against timelines on which a message is received before it is sent,
  // and against uncertainties that are smaller than the error.
  void errorIsWithinUncertaintyAndCausesPrecedeEffects() {
    const bool Passed = rc::check(
        "offsets are within their uncertainty, and causes precede effects", [] {
          const std::size_t Count = *rc::gen::inRange<std::size_t>(2, 7);
          std::vector<std::int64_t> Offsets;
          for (std::size_t I = 0; I < Count; ++I)
            Offsets.push_back(
                *rc::gen::inRange<std::int64_t>(-50'000'000, 50'000'000));
          SimulatedProcesses Processes(Offsets);
          const int Messages = *rc::gen::inRange(0, 30);
          for (int I = 0; I < Messages; ++I) {
            const auto From = *rc::gen::inRange<std::size_t>(0, Count);
            const auto To = *rc::gen::inRange<std::size_t>(0, Count);
            const auto At = *rc::gen::inRange<std::int64_t>(0, 10'000'000);
            const auto Delay = *rc::gen::inRange<std::int64_t>(0, 20'000);
            if (From == To)
              continue;
            if (*rc::gen::arbitrary<bool>())
              Processes.call(From, To, At, Delay,
                             *rc::gen::inRange<std::int64_t>(0, 5'000),
                             *rc::gen::inRange<std::int64_t>(0, 20'000));
            else
              Processes.hello(From, To, At, Delay);
          }
          const ClockAligner Clocks(Processes.Events);
          RC_ASSERT(Clocks.inconsistency() == 0us);
          std::int64_t Base = 0;
          for (std::size_t P = 0; P < Count; ++P)
            if (SimulatedProcesses::name(P) == Clocks.reference())
              Base = Processes.offset(P);
          bool TwoSided = false;
          for (std::size_t P = 0; P < Count; ++P) {
            const auto &Estimate =
                Clocks.offsets().at(SimulatedProcesses::name(P));
            if (Estimate.Source != ClockAligner::OffsetSource::Messages)
              continue;
            TwoSided = true;
            const std::int64_t Error =
                Estimate.Value.count() - (Processes.offset(P) - Base);
            RC_ASSERT(std::abs(Error) <= Estimate.Uncertainty.count());
          }
          RC_CLASSIFY(TwoSided, "with two-way messages");
          for (const auto &Message : Clocks.messages()) {
            const auto &From = Clocks.offsets().at(Message.From);
            const auto &To = Clocks.offsets().at(Message.To);
            // Offsets from wall clocks do not guarantee that causes precede
            // effects.
            if (From.Source != ClockAligner::OffsetSource::WallClock &&
                To.Source != ClockAligner::OffsetSource::WallClock)
              RC_ASSERT(Message.Sent - From.Value <=
                        Message.Received - To.Value);
          }
          auto Sorted = Processes.Events;
          Clocks.align(Sorted);
          RC_ASSERT(Sorted.size() == Processes.Events.size());
        });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against not aligning a process that exchanges messages with the
  // reference only through another process.
  void alignsThroughIntermediateProcess() {
    SimulatedProcesses Processes({0, 7'000'000, -9'000'000});
    Processes.call(0, 1, 1000, 100, 10, 100);
    Processes.call(2, 1, 2000, 200, 10, 200);
    const ClockAligner Clocks(Processes.Events, "p0");
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 7'000'000us);
    const auto &IndirectOffset = Clocks.offsets().at("p2");
    CPPUNIT_ASSERT(IndirectOffset.Source ==
                   ClockAligner::OffsetSource::Messages);
    CPPUNIT_ASSERT(IndirectOffset.Value == -9'000'000us);
    CPPUNIT_ASSERT(IndirectOffset.Uncertainty <= 300us);
  }

  // Guards against dropping the events of a process that exchanges no messages
  // with the reference.
  void fallsBackToWallClocks() {
    SimulatedProcesses Processes({5'000, 90'000});
    const ClockAligner Clocks(Processes.Events);
    CPPUNIT_ASSERT_EQUAL(std::string("p0"), Clocks.reference());
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Source ==
                   ClockAligner::OffsetSource::WallClock);
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 85'000us);
  }

  // Guards against reporting a two-sided estimate when messages went in one
  // direction only.
  void oneWayMessagesGiveOneWayOffset() {
    SimulatedProcesses Processes({0, 40'000});
    Processes.hello(0, 1, 1'000, 500);
    const ClockAligner Clocks(Processes.Events, "p0");
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Source ==
                   ClockAligner::OffsetSource::OneWay);
    CPPUNIT_ASSERT(Clocks.offsets().at("p1").Value == 40'500us);
  }

  // Guards against an endless search or an unreported inconsistency when clocks
  // run at different rates.
  void clockDriftIsReportedAsInconsistency() {
    SimulatedProcesses Processes({0, 0});
    Processes.call(0, 1, 1'000, 10, 0, 10);
    Processes.call(0, 1, 2'000, 10, 0, 10);
    // The second reading of p1 is 5 ms ahead of the first.
    for (TimelineEvent &Event : Processes.Events)
      if (Event.Run == "p1" && Event.MonotonicTime > 1'500us)
        Event.MonotonicTime += 5ms;
    const ClockAligner Clocks(Processes.Events, "p0");
    CPPUNIT_ASSERT(Clocks.inconsistency() >= 2'400us);
    CPPUNIT_ASSERT(Clocks.inconsistency() <= 2'500us);
  }

  // Guards against deriving bounds from events of different attempts of a call.
  void callsSentTwiceAreIgnored() {
    SimulatedProcesses Processes({0, 0});
    Processes.add(0, 100, "rpc_sent", {{"call", "x"}});
    Processes.add(0, 900, "rpc_sent", {{"call", "x"}});
    Processes.add(1, 200, "rpc_received", {{"call", "x"}});
    const ClockAligner Clocks(Processes.Events, "p0");
    CPPUNIT_ASSERT(Clocks.messages().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockAlignerTest);

} // namespace hickory
