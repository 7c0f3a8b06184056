#include "Fakes/FakeLogClient.h"
#include "Fakes/FakePeerClient.h"
#include "Fakes/FakeTimerService.h"
#include "Log/LogReader.h"
#include "Log/LogWriter.h"
#include "Membership/LogWriterAppender.h"
#include "Membership/Ownership.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr const char *Stream = "domain.north";

PeerDirectory directory(const std::string &Self) {
  PeerDirectory Directory;
  Directory.SelfSlot = Self;
  Directory.SelfDomain = "north";
  Directory.Slots = {{"a", "north", "west", "127.0.0.1:1"},
                     {"b", "north", "west", "127.0.0.1:2"}};
  return Directory;
}

/// Ownership with the real reader and writer, as a daemon assembles it.
struct Instance {
  Instance(asio::io_context &Context, TimerService &Timers, LogClient &Log,
           const std::string &Slot, std::uint64_t Seed)
      : Directory(directory(Slot)), Events(Timers, {.Process = Slot}),
        Writer(Context.get_executor(), Timers, Log, Counters,
               {.Stream = Stream, .Slot = Slot, .Seed = Seed}),
        Appender(Writer), Reader(Context.get_executor(), Timers, Log, Counters,
                                 State, {.Stream = Stream, .Seed = Seed}),
        Owner(Context.get_executor(), Timers, State, Appender, Peers, Directory,
              Counters, Events, Random(Seed), {.SnapshotRecords = 20}) {
    asio::co_spawn(Context, Reader.run(), asio::detached);
    asio::co_spawn(Context, Owner.run(), asio::detached);
  }

  PeerDirectory Directory;
  Metrics Counters;
  EventLog Events;
  DomainState State;
  FakePeerClient Peers;
  LogWriter Writer;
  LogWriterAppender Appender;
  LogReader Reader;
  Ownership Owner;
};

} // namespace

class OwnershipLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipLogTest);
  CPPUNIT_TEST(instancesShareAndHandOverThroughTheLog);
  CPPUNIT_TEST(lateInstanceStartsFromASnapshot);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { FLAGS_minloglevel = google::GLOG_ERROR; }
  void tearDown() override { FLAGS_minloglevel = google::GLOG_INFO; }

  // Guards against a reader, writer or state that disagree on duplicates when
  // answers of appends are lost.
  void instancesShareAndHandOverThroughTheLog() {
    FakeTimerService Timers;
    asio::io_context Context;
    FakeLogClient Log(
        Timers, {.LostRequestProbability = 0.1, .LostReplyProbability = 0.3});
    Instance First(Context, Timers, Log, "a", 1);
    Instance Second(Context, Timers, Log, "b", 2);
    advance(Context, Timers, 40s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), First.Owner.heldShards().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Second.Owner.heldShards().size());
    asio::co_spawn(Context, First.Owner.drain(), asio::detached);
    advance(Context, Timers, 10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), First.Owner.heldShards().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Second.Owner.heldShards().size());
    stop(Context, {&First, &Second});
  }

  // Guards against an instance that cannot join once the beginning of the
  // stream is no longer retained.
  void lateInstanceStartsFromASnapshot() {
    FakeTimerService Timers;
    asio::io_context Context;
    FakeLogClient Log(Timers, {.LostReplyProbability = 0.3});
    Instance First(Context, Timers, Log, "a", 1);
    advance(Context, Timers, 200s);
    Log.dropBefore(Stream, Log.end(Stream) - 60);
    Instance Second(Context, Timers, Log, "b", 2);
    advance(Context, Timers, 40s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), First.Owner.heldShards().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Second.Owner.heldShards().size());
    CPPUNIT_ASSERT(First.State.snapshot().SerializeAsString() ==
                   Second.State.snapshot().SerializeAsString());
    stop(Context, {&First, &Second});
  }

private:
  static void advance(asio::io_context &Context, FakeTimerService &Timers,
                      Clock::duration Length) {
    for (Clock::duration Passed{}; Passed < Length; Passed += 20ms) {
      Timers.advance(20ms);
      Context.restart();
      Context.poll();
    }
  }

  static void stop(asio::io_context &Context,
                   std::initializer_list<Instance *> Instances) {
    for (Instance *Each : Instances) {
      Each->Owner.stop();
      Each->Reader.stop();
      Each->Writer.stop();
    }
    Context.restart();
    Context.poll();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipLogTest);

} // namespace hickory
