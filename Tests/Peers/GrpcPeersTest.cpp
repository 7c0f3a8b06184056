#include "Fakes/FakePeerHandler.h"
#include "Peers/GrpcPeerClient.h"
#include "Peers/GrpcPeerServer.h"
#include "Peers/TcpProbe.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace hickory {

using namespace std::chrono_literals;

namespace {

// A limit for calls that must succeed, long enough for a busy machine.
constexpr std::chrono::milliseconds Patience = 60s;

/// Runs Work on the context until it has finished.
void runUntilDone(asio::io_context &Context, asio::awaitable<void> Work) {
  asio::co_spawn(Context, std::move(Work),
                 [&](const std::exception_ptr &Failure) {
                   Context.stop();
                   if (Failure)
                     std::rethrow_exception(Failure);
                 });
  Context.restart();
  Context.run();
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// A port of the system's choice on which nobody listens.
std::uint16_t unusedPort(asio::io_context &Context) {
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return Acceptor.local_endpoint().port();
}

PeerDirectory directory(const std::string &Address) {
  PeerDirectory Directory;
  Directory.SelfSlot = "a";
  Directory.SelfDomain = "north";
  Directory.SelfRegion = "west";
  Directory.Slots = {{"a", "north", "west", "127.0.0.1:1"},
                     {"b", "north", "west", Address},
                     {"c", "south", "west", Address},
                     {"d", "far", "east", Address}};
  return Directory;
}

} // namespace

class GrpcPeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrpcPeersTest);
  CPPUNIT_TEST(everyCallReachesItsOwnHandler);
  CPPUNIT_TEST(concurrentCallsGetTheirOwnAnswers);
  CPPUNIT_TEST(refusedConnectionIsReportedAsRefused);
  CPPUNIT_TEST(refusalIsNotRememberedAfterTheServerStarted);
  CPPUNIT_TEST(slowHandlerIsReportedAsTimeout);
  CPPUNIT_TEST(serverStopDuringCallIsNotReportedAsWithoutEffect);
  CPPUNIT_TEST(unknownSlotIsNotFound);
  CPPUNIT_TEST(addressIsNotSharedByTwoServers);
  CPPUNIT_TEST(drainWaitsForCallsInProgress);
  CPPUNIT_TEST(bytesAreCountedByLink);
  CPPUNIT_TEST(probeTellsConnectedRefusedAndSilent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a call that is wired to the handler of another one.
  void everyCallReachesItsOwnHandler() {
    asio::io_context Context;
    FakePeerHandler Handler;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    runUntilDone(Context, everyCall(Client));
    const std::vector<std::string> Expected = {
        "hello",   "consent", "submit",     "query",    "cancel",
        "place",   "reserve", "taskStatus", "stopTask", "taskEnded",
        "execute", "summary", "configTail"};
    CPPUNIT_ASSERT(Expected == Handler.Calls);
  }

  // Guards against answers that reach another caller, and against lost
  // wake-ups between gRPC's threads and the Asio thread.
  void concurrentCallsGetTheirOwnAnswers() {
    asio::io_context Context;
    FakePeerHandler Handler;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    constexpr int Calls = 500;
    int Correct = 0;
    int Finished = 0;
    for (int I = 0; I < Calls; ++I)
      asio::co_spawn(
          Context,
          [&, I]() -> asio::awaitable<void> {
            peer::SubmitRequest Request;
            Request.set_key("key" + std::to_string(I));
            Request.set_payload("payload");
            const auto Reply = co_await Client.submit("b", Request, Patience);
            if (Reply && Reply->answer() == Request.key() + "payload")
              ++Correct;
            if (++Finished == Calls)
              Context.stop();
          },
          asio::detached);
    Context.run();
    CPPUNIT_ASSERT_EQUAL(Calls, Correct);
  }

  // Guards against treating a dead process like a slow one, which would make
  // takeover wait for the whole lease.
  void refusedConnectionIsReportedAsRefused() {
    asio::io_context Context;
    const PeerDirectory Directory = directory(loopback(unusedPort(Context)));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    CPPUNIT_ASSERT(helloError(Context, Client, "b", Patience) ==
                   ErrorCode::ConnectionRefused);
    // Also while gRPC waits to reconnect.
    CPPUNIT_ASSERT(helloError(Context, Client, "b", Patience) ==
                   ErrorCode::ConnectionRefused);
  }

  // Guards against evidence from a remembered failure: a process that has just
  // started must not be taken for a dead one.
  void refusalIsNotRememberedAfterTheServerStarted() {
    asio::io_context Context;
    const std::string Address = loopback(unusedPort(Context));
    const PeerDirectory Directory = directory(Address);
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    for (int I = 0; I < 5; ++I)
      CPPUNIT_ASSERT(helloError(Context, Client, "b", Patience) ==
                     ErrorCode::ConnectionRefused);
    FakePeerHandler Handler;
    GrpcPeerServer Server(Context, Address, Handler);
    CPPUNIT_ASSERT(Server.start().has_value());
    CPPUNIT_ASSERT(!helloError(Context, Client, "b", Patience));
  }

  // Guards against calls that hang with a paused peer, and against reporting
  // such a call as refused.
  void slowHandlerIsReportedAsTimeout() {
    asio::io_context Context;
    FakePeerHandler Handler;
    Handler.Delay = 5s;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    CPPUNIT_ASSERT(helloError(Context, Client, "b", 200ms) ==
                   ErrorCode::Timeout);
  }

  // Guards against calling a request "not run" when its receiver stopped while
  // it was being handled; and against a stop that waits for itself.
  void serverStopDuringCallIsNotReportedAsWithoutEffect() {
    asio::io_context Context;
    FakePeerHandler Handler;
    Handler.Delay = 30s;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    std::optional<Error> Failure;
    runUntilDone(Context, [&]() -> asio::awaitable<void> {
      asio::co_spawn(
          Context,
          [&]() -> asio::awaitable<void> {
            while (Handler.Calls.empty())
              co_await pauseFor(10ms);
            Server.stop();
          },
          asio::detached);
      const auto Reply =
          co_await Client.hello("b", peer::HelloRequest(), Patience);
      if (!Reply)
        Failure = Reply.error();
    }());
    CPPUNIT_ASSERT(Failure.has_value());
    CPPUNIT_ASSERT(!Failure->hadNoEffect());
    CPPUNIT_ASSERT(Failure->Code == ErrorCode::Unavailable);
  }

  // Guards against a crash on a slot that is not in the settings.
  void unknownSlotIsNotFound() {
    asio::io_context Context;
    const PeerDirectory Directory = directory("127.0.0.1:1");
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    CPPUNIT_ASSERT(helloError(Context, Client, "nobody", Patience) ==
                   ErrorCode::NotFound);
  }

  // Guards against gRPC's default of sharing ports between processes: Ownership
  // takes an answer at a slot's address for that of its only process.
  void addressIsNotSharedByTwoServers() {
    asio::io_context Context;
    FakePeerHandler Handler;
    GrpcPeerServer First(Context, "127.0.0.1:0", Handler);
    const auto Port = First.start();
    CPPUNIT_ASSERT(Port.has_value());
    GrpcPeerServer Second(Context, loopback(*Port), Handler);
    CPPUNIT_ASSERT(!Second.start().has_value());
  }

  // Guards against a graceful stop that cuts off calls in flight.
  void drainWaitsForCallsInProgress() {
    asio::io_context Context;
    FakePeerHandler Handler;
    Handler.Delay = 300ms;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    bool Answered = false;
    runUntilDone(Context, [&]() -> asio::awaitable<void> {
      asio::co_spawn(
          Context,
          [&]() -> asio::awaitable<void> {
            while (Handler.Calls.empty())
              co_await pauseFor(10ms);
            co_await Server.drain(Patience);
            Server.stop();
          },
          asio::detached);
      const auto Reply =
          co_await Client.hello("b", peer::HelloRequest(), Patience);
      Answered = Reply.has_value();
    }());
    CPPUNIT_ASSERT(Answered);
  }

  // Guards against billing bytes to the wrong link.
  void bytesAreCountedByLink() {
    asio::io_context Context;
    FakePeerHandler Handler;
    GrpcPeerServer Server(Context, "127.0.0.1:0", Handler);
    const PeerDirectory Directory = directory(loopback(Server.start().value()));
    Metrics Counters;
    GrpcPeerClient Client(Context, Directory, Counters);
    peer::HelloRequest Request;
    Request.set_slot("a");
    runUntilDone(Context, [&]() -> asio::awaitable<void> {
      for (const char *Slot : {"b", "c", "c", "d", "d", "d"})
        (void)co_await Client.hello(Slot, Request, Patience);
    }());
    const auto Size = static_cast<double>(Request.ByteSizeLong());
    const auto Sent = [&](std::string_view Link) {
      return Counters.counterValue("peer_bytes_sent_total", Link);
    };
    CPPUNIT_ASSERT_EQUAL(Size, Sent("link=\"domain\""));
    CPPUNIT_ASSERT_EQUAL(2 * Size, Sent("link=\"region\""));
    CPPUNIT_ASSERT_EQUAL(3 * Size, Sent("link=\"other_region\""));
    CPPUNIT_ASSERT_EQUAL(3 * Size,
                         Counters.counterValue("peer_bytes_received_total",
                                               "link=\"other_region\""));
  }

  // Guards against silence that is taken for a refusal, which would let a
  // paused or cut off owner be replaced while its lease holds.
  void probeTellsConnectedRefusedAndSilent() {
    asio::io_context Context;
    asio::ip::tcp::acceptor Listener(Context);
    Listener.open(asio::ip::tcp::v4());
    Listener.bind({asio::ip::make_address("127.0.0.1"), 0});
    Listener.listen(0);
    const std::string Address = loopback(Listener.local_endpoint().port());
    const std::string Unused = loopback(unusedPort(Context));
    ProbeResult First = ProbeResult::Silent;
    ProbeResult Second = ProbeResult::Silent;
    ProbeResult Third = ProbeResult::Connected;
    ProbeResult Malformed = ProbeResult::Connected;
    runUntilDone(Context, [&]() -> asio::awaitable<void> {
      First = co_await probe(Address, 5s);
      Second = co_await probe(Unused, 5s);
      // Fill the queue of connections that wait to be accepted; the system
      // then ignores further attempts, as a dead host would.
      std::vector<asio::ip::tcp::socket> Waiting;
      for (int I = 0; I < 4; ++I) {
        Waiting.emplace_back(Context);
        Waiting.back().async_connect(Listener.local_endpoint(),
                                     [](const std::error_code &) {});
      }
      co_await pauseFor(50ms);
      Third = co_await probe(Address, 200ms);
      Malformed = co_await probe("not an address", 200ms);
    }());
    CPPUNIT_ASSERT(First == ProbeResult::Connected);
    CPPUNIT_ASSERT(Second == ProbeResult::Refused);
    CPPUNIT_ASSERT(Third == ProbeResult::Silent);
    CPPUNIT_ASSERT(Malformed == ProbeResult::Silent);
  }

private:
  static asio::awaitable<void> pauseFor(std::chrono::milliseconds Delay) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
    co_await Timer.async_wait(asio::use_awaitable);
  }

  static std::optional<ErrorCode> helloError(asio::io_context &Context,
                                             PeerClient &Client,
                                             std::string Slot,
                                             std::chrono::milliseconds Limit) {
    std::optional<ErrorCode> Code;
    runUntilDone(Context, [&]() -> asio::awaitable<void> {
      const auto Reply =
          co_await Client.hello(Slot, peer::HelloRequest(), Limit);
      if (!Reply)
        Code = Reply.error().Code;
    }());
    return Code;
  }

  static asio::awaitable<void> everyCall(PeerClient &Client) {
    peer::HelloRequest Hello;
    Hello.set_slot("s1");
    const auto R1 = co_await Client.hello("b", Hello, Patience);
    CPPUNIT_ASSERT(R1 && R1->slot() == "s1");
    peer::ConsentRequest Consent;
    Consent.set_slot("s2");
    const auto R2 = co_await Client.consent("b", Consent, Patience);
    CPPUNIT_ASSERT(R2 && R2->reason() == "s2");
    peer::SubmitRequest Submit;
    Submit.set_key("k3");
    const auto R3 = co_await Client.submit("b", Submit, Patience);
    CPPUNIT_ASSERT(R3 && R3->answer() == "k3");
    peer::QueryRequest Query;
    Query.set_key("k4");
    const auto R4 = co_await Client.query("b", Query, Patience);
    CPPUNIT_ASSERT(R4 && R4->detail() == "k4");
    peer::CancelRequest Cancel;
    Cancel.add_keys("k5");
    Cancel.add_keys("k6");
    const auto R5 = co_await Client.cancel("b", Cancel, Patience);
    CPPUNIT_ASSERT(R5 && R5->cancelled() == 2);
    peer::PlaceRequest Place;
    Place.set_rack("r7");
    const auto R6 = co_await Client.place("b", Place, Patience);
    CPPUNIT_ASSERT(R6 && R6->worker() == "r7");
    peer::ReserveRequest Reserve;
    Reserve.set_tasks(8);
    const auto R7 = co_await Client.reserve("b", Reserve, Patience);
    CPPUNIT_ASSERT(R7 && R7->tasks() == 8);
    peer::TaskStatusRequest Status;
    Status.set_rack("r9");
    const auto R8 = co_await Client.taskStatus("b", Status, Patience);
    CPPUNIT_ASSERT(R8 && R8->worker() == "r9");
    const auto R9 =
        co_await Client.stopTask("b", peer::StopTaskRequest(), Patience);
    CPPUNIT_ASSERT(R9 && R9->status() == peer::STATUS_FENCED);
    peer::TaskEndedNotice Notice;
    Notice.add_ended()->set_key("k10");
    const auto R10 = co_await Client.taskEnded("b", Notice, Patience);
    CPPUNIT_ASSERT(R10 && R10->not_owned(0) == "k10");
    peer::ExecuteRequest Execute;
    Execute.set_payload(std::string(100'000, 'x'));
    const auto R11 = co_await Client.execute("b", Execute, Patience);
    CPPUNIT_ASSERT(R11 && R11->answer().size() == 100'000);
    peer::SummaryRequest Summary;
    Summary.set_incarnation(12);
    const auto R12 = co_await Client.summary("b", Summary, Patience);
    CPPUNIT_ASSERT(R12 && R12->incarnation() == 12);
    peer::ConfigTailRequest Tail;
    Tail.set_from(13);
    const auto R13 = co_await Client.configTail("b", Tail, Patience);
    CPPUNIT_ASSERT(R13 && R13->next() == 13);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrpcPeersTest);

} // namespace hickory
