#include "Emulator/EmulatedCells.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t CellCount = 2;
/// Longer than any lease that is in question.
constexpr milliseconds WorkTime{25000};
/// The two processes run in turn, each for less than the time after which a
/// silent member loses its shards, and not at the same time: they can't tell
/// each other who holds what.
constexpr milliseconds FormerHolderTurn{600};
constexpr milliseconds NextHolderTurn{450};
constexpr std::chrono::seconds CutTime{14};
constexpr std::chrono::seconds StartTimeout{20};
constexpr std::chrono::seconds EndTimeout{90};

std::string submission(const std::string &Id) {
  const json Step = {{"count", 1},
                     {"cpu", 4000},
                     {"mem-mb", 64},
                     {"estimated-ms", WorkTime.count()}};
  json Planned = Step;
  Planned["ms"] = WorkTime.count();
  const json Spec = {{"queue", "plain"}, {"steps", {Planned}}};
  const std::string Body =
      json{{"spec", Spec.dump()}, {"steps", {Step}}}.dump();
  return fmt::format("POST /plain/{} HTTP/1.1\r\nHost: plain.example\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Id, Body.size(), Body);
}

} // namespace

/// Moves the workers of one hickory-cell process to another one that does not
/// reach them, while their runs go on.
class HolderTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HolderTakeoverTest);
  CPPUNIT_TEST(testRunUnderTheLeaseOfAFormerHolderIsNotStartedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Cells_.start("[platform]\nworkers = 2\nparts = 4\n"
                 "[[platform.routes]]\nname = \"plain\"\n",
                 4, CellCount);
  }
  void tearDown() override { Cells_.stop(); }

  // Guards against a task that runs twice (issue 43): a process that the store
  // does not answer goes on extending the lease of a worker, and the next
  // holder, which the worker does not answer, counted the lease only from its
  // own takeover.
  void testRunUnderTheLeaseOfAFormerHolderIsNotStartedAgain() {
    CPPUNIT_ASSERT(Cells_.send(0, GatewayPort, submission(JobId))
                       .starts_with("HTTP/1.1 200"));
    const json Start = awaitStart();
    const std::string Worker = Start.at("worker");
    const std::size_t Former = Cells_.numberOf(Start.at("process"));
    const std::size_t Next = 1 - Former;
    Cells_.trouble({{"kind", "cut-worker"},
                    {"worker", Worker},
                    {"only-new-holders", true},
                    {"seconds", CutTime.count()}});
    Cells_.trouble({{"kind", "cut-store"},
                    {"caller", Former},
                    {"seconds", CutTime.count()}});
    Cells_.signal(Former, SIGSTOP);
    // The store gives the former holder's shards to the other process.
    CPPUNIT_ASSERT(Cells_.waitUntil(StartTimeout, [&] {
      return Cells_.countOf(Next, "shard_open") > ShardsOpen_[Next];
    }));
    const auto End = Steady::now() + CutTime;
    while (Steady::now() < End) {
      Cells_.signal(Next, SIGSTOP);
      Cells_.signal(Former, SIGCONT);
      std::this_thread::sleep_for(FormerHolderTurn);
      Cells_.signal(Former, SIGSTOP);
      Cells_.signal(Next, SIGCONT);
      std::this_thread::sleep_for(NextHolderTurn);
    }
    Cells_.signal(Former, SIGCONT);
    CPPUNIT_ASSERT(Cells_.waitUntil(EndTimeout, [&] {
      return Cells_
                 .send(Next, GatewayPort,
                       fmt::format("GET /plain/{} HTTP/1.1\r\n"
                                   "Host: plain.example\r\n\r\n",
                                   JobId))
                 .find("completed") != std::string::npos;
    }));
    assertRanOneAtATime();
  }

private:
  static constexpr const char *JobId = "00000000000000aa";

  /// Returns the event of the start of the only task.
  json awaitStart() {
    json Start;
    const auto HasStarted = [&] {
      for (std::size_t Number = 0; Number < CellCount; ++Number)
        for (const json &Event : Cells_.events(Number, "started"))
          if (Event.contains("task"))
            Start = Event;
      return !Start.is_null();
    };
    CPPUNIT_ASSERT(Cells_.waitUntil(StartTimeout, HasStarted));
    for (std::size_t Number = 0; Number < CellCount; ++Number)
      ShardsOpen_[Number] = Cells_.countOf(Number, "shard_open");
    return Start;
  }

  /// Checks the history of the workers.
  void assertRanOneAtATime() {
    int Running = 0;
    std::string History;
    for (const json &Event : Cells_.history()) {
      const auto Kind = Event.value("event", std::string());
      if (!Event.contains("task"))
        continue;
      History += Event.dump() + "\n";
      Running += Kind == "started" ? 1 : 0;
      Running -= Kind == "ended" || Kind == "dropped" ? 1 : 0;
      CPPUNIT_ASSERT_MESSAGE(History, Running <= 1);
    }
    CPPUNIT_ASSERT(!History.empty());
  }

  EmulatedCells Cells_;
  std::array<std::size_t, CellCount> ShardsOpen_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderTakeoverTest);

} // namespace hickory::emulator
