#include "Base/EventLog.h"
#include "Fakes/FakeTimerService.h"
#include "Timeline/EventCollector.h"
#include "Timeline/TimelineFilter.h"
#include "Timeline/TimelineWriter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class TimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(readsLinesOfEventLog);
  CPPUNIT_TEST(mergesSourcesAndSeparatesRestarts);
  CPPUNIT_TEST(countsMalformedLines);
  CPPUNIT_TEST(filtersByField);
  CPPUNIT_TEST(writesTextInAlignedOrder);
  CPPUNIT_TEST(writesChromeTrace);
  CPPUNIT_TEST_SUITE_END();

  static std::string line(const std::string &Process, int Sequence, int Time,
                          const std::string &Name,
                          const std::string &Fields = {}) {
    return "{\"process\":\"" + Process +
           "\",\"seq\":" + std::to_string(Sequence) +
           ",\"mono_us\":" + std::to_string(Time) +
           ",\"wall_us\":" + std::to_string(Time + 1'000'000) +
           ",\"part\":\"jobs\",\"event\":\"" + Name + "\"" + Fields + "}\n";
  }

public:
  // Guards against a collector that cannot parse the lines EventLog writes.
  void readsLinesOfEventLog() {
    FakeTimerService Timers;
    EventLog Log(Timers, {.Process = "pa-1", .Capacity = 10, .File = {}});
    Log.emit("jobs", "job_accepted", {{"key", "k1"}, {"tasks", 3}});
    Timers.advance(5ms);
    Log.emit("jobs", "task_ended", {{"key", "k1"}, {"task", 0}});
    EventCollector Collector;
    Collector.addLines(Log.linesFrom(0));
    const auto Events = Collector.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Collector.malformedLines());
    CPPUNIT_ASSERT_EQUAL(std::string("pa-1"), Events[0].Process);
    CPPUNIT_ASSERT_EQUAL(std::string("job_accepted"), Events[0].Name);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Events[0].field("tasks"));
    CPPUNIT_ASSERT(Events[1].MonotonicTime - Events[0].MonotonicTime == 5ms);
    CPPUNIT_ASSERT(!Events[0].Fields.contains("seq"));
  }

  // Guards against duplicate events when sources overlap, and against treating
  // a restarted process as the same run.
  void mergesSourcesAndSeparatesRestarts() {
    EventCollector Collector;
    Collector.addLines(line("a", 0, 10, "x") + line("a", 1, 20, "y"));
    Collector.addLines(line("a", 1, 20, "y") + line("a", 2, 30, "z"));
    Collector.addLines(line("a", 0, 500, "x") + line("a", 1, 501, "y") +
                       line("a", 0, 900, "x"));
    const auto Events = Collector.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Events[2].Run);
    CPPUNIT_ASSERT_EQUAL(std::string("a~2"), Events[3].Run);
    CPPUNIT_ASSERT_EQUAL(std::string("a~3"), Events[5].Run);
  }

  // Guards against losing valid lines because of a malformed one.
  void countsMalformedLines() {
    EventCollector Collector;
    Collector.addLines(line("a", 0, 10, "x") + "{\"seq\":1}\n" + "garbage\n" +
                       line("a", 2, 30, "z").substr(0, 20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Collector.malformedLines());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Collector.takeEvents().size());
  }

  // Guards against filters that omit events of a job or its tasks.
  void filtersByField() {
    EventCollector Collector;
    Collector.addLines(
        line("a", 0, 1, "x", ",\"key\":\"k1\"") +
        line("a", 1, 2, "x", ",\"task\":\"k1#2\",\"worker\":\"w1\"") +
        line("a", 2, 3, "x", ",\"key\":\"k1\",\"task\":3") +
        line("a", 3, 4, "x", ",\"key\":\"k10\"") +
        line("b", 0, 5, "x", ",\"id\":\"k1#1\",\"executor\":\"e1\"") +
        line("b", 1, 6, "x", ",\"keys\":[\"k1\",\"k2\"]"));
    const auto Events = Collector.takeEvents();
    const auto Count = [&](const TimelineFilter &Filter) {
      int Matches = 0;
      for (const TimelineEvent &Event : Events)
        Matches += Filter.matches(Event) ? 1 : 0;
      return Matches;
    };
    CPPUNIT_ASSERT_EQUAL(6, Count({}));
    TimelineFilter Filter;
    Filter.Key = "k1";
    CPPUNIT_ASSERT_EQUAL(5, Count(Filter));
    Filter.Instance = "b";
    CPPUNIT_ASSERT_EQUAL(2, Count(Filter));
    Filter = {};
    Filter.Task = "k1#2";
    CPPUNIT_ASSERT_EQUAL(1, Count(Filter));
    Filter.Task = "k1#3";
    CPPUNIT_ASSERT_EQUAL(1, Count(Filter));
    Filter = {};
    Filter.Worker = "w1";
    CPPUNIT_ASSERT_EQUAL(1, Count(Filter));
    Filter.Worker = "e1";
    CPPUNIT_ASSERT_EQUAL(1, Count(Filter));
    Filter = {};
    Filter.Part = "log";
    CPPUNIT_ASSERT_EQUAL(0, Count(Filter));
  }

  // Guards against ordering events by clocks that are not aligned.
  void writesTextInAlignedOrder() {
    EventCollector Collector;
    Collector.addLines(line("a", 0, 1000, "rpc_sent", ",\"call\":\"c\"") +
                       line("a", 1, 1400, "rpc_replied", ",\"call\":\"c\""));
    Collector.addLines(line("b", 0, 91200, "rpc_received", ",\"call\":\"c\""));
    auto Events = Collector.takeEvents();
    const ClockAligner Clocks(Events, "a");
    Clocks.align(Events);
    CPPUNIT_ASSERT_EQUAL(
        std::string("# clock a: reference\n"
                    "# clock b: 90.000 ms +- 0.200 ms, from messages\n"),
        formatOffsets(Clocks));
    CPPUNIT_ASSERT_EQUAL(
        std::string("1970-01-01T00:00:01.001000Z a jobs: rpc_sent call=c\n"
                    "1970-01-01T00:00:01.001200Z b jobs: rpc_received call=c\n"
                    "1970-01-01T00:00:01.001400Z a jobs: rpc_replied call=c\n"),
        formatTimelineText(Events, Clocks));
  }

  // Guards against a trace that trace viewers cannot load.
  void writesChromeTrace() {
    EventCollector Collector;
    Collector.addLines(line("a", 0, 1000, "rpc_sent", ",\"call\":\"c\"") +
                       line("a", 1, 1400, "rpc_replied", ",\"call\":\"c\""));
    Collector.addLines(line("b", 0, 91200, "rpc_received", ",\"call\":\"c\""));
    auto Events = Collector.takeEvents();
    const ClockAligner Clocks(Events, "a");
    Clocks.align(Events);
    const auto Trace = nlohmann::json::parse(formatChromeTrace(Events, Clocks));
    std::map<std::string, int> Phases;
    for (const auto &TraceEvent : Trace.at("traceEvents")) {
      const std::string Phase = TraceEvent.at("ph");
      ++Phases[Phase];
      CPPUNIT_ASSERT(TraceEvent.contains("pid"));
      if (Phase == "X")
        CPPUNIT_ASSERT_EQUAL(400, TraceEvent.at("dur").get<int>());
    }
    CPPUNIT_ASSERT_EQUAL(4, Phases["M"]);
    CPPUNIT_ASSERT_EQUAL(3, Phases["i"]);
    CPPUNIT_ASSERT_EQUAL(1, Phases["X"]);
    CPPUNIT_ASSERT_EQUAL(1, Phases["s"]);
    CPPUNIT_ASSERT_EQUAL(1, Phases["f"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace hickory
