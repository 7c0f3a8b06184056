#include "Tools/NetRelay.h"

#include "Base/AsioTimerService.h"
#include "Base/Random.h"
#include "Support/RunCoroutine.h"

#include <asio/read.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/// A relay with one link to an echo server. The tests run in real time and so
/// check only lower bounds and that something does not happen.
struct RelayFixture {
  RelayFixture(const RelayFixture &) = delete;
  RelayFixture &operator=(const RelayFixture &) = delete;
  explicit RelayFixture(
      const nlohmann::json &Changes = nlohmann::json::object())
      : Timers(Context), EchoReservation(Context), EchoAcceptor(Context),
        Relay(Context, Timers) {
    EchoReservation.open(tcp::v4());
    EchoReservation.set_option(tcp::socket::reuse_address(true));
    EchoReservation.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    nlohmann::json Link = {
        {"name", "a-b"},
        {"group", "regions"},
        {"target",
         fmt::format("127.0.0.1:{}", EchoReservation.local_endpoint().port())}};
    Link.update(Changes);
    const nlohmann::json Document = {{"links", nlohmann::json::array({Link})}};
    const auto ErrorMessage = Relay.load(Document);
    CPPUNIT_ASSERT_MESSAGE(ErrorMessage.value_or(""), !ErrorMessage);
  }

  void startEcho() {
    EchoAcceptor.open(tcp::v4());
    EchoAcceptor.set_option(tcp::acceptor::reuse_address(true));
    EchoAcceptor.bind(EchoReservation.local_endpoint());
    EchoAcceptor.listen();
    asio::co_spawn(Context, acceptAll(), asio::detached);
  }

  asio::awaitable<void> acceptAll() {
    for (;;) {
      std::error_code Code;
      tcp::socket Accepted = co_await EchoAcceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code)
        co_return;
      ++AcceptedCount;
      asio::co_spawn(Context, echo(std::move(Accepted)), asio::detached);
    }
  }

  static asio::awaitable<void> echo(tcp::socket Peer) {
    std::vector<char> Buffer(64 << 10);
    std::error_code Code;
    for (;;) {
      const std::size_t Bytes = co_await Peer.async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code)
        co_return;
      co_await asio::async_write(
          Peer, asio::buffer(Buffer, Bytes),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code)
        co_return;
    }
  }

  [[nodiscard]] nlohmann::json stats() const {
    return Relay.statsJson()["links"][0];
  }

  [[nodiscard]] tcp::endpoint relayEndpoint() const {
    return {asio::ip::address_v4::loopback(),
            stats()["listen_port"].get<std::uint16_t>()};
  }

  void control(const nlohmann::json &ControlRequest) {
    const auto ErrorMessage = Relay.applyChange(ControlRequest);
    CPPUNIT_ASSERT_MESSAGE(ErrorMessage.value_or(""), !ErrorMessage);
  }

  asio::awaitable<std::error_code> connect(tcp::socket &Client) {
    std::error_code Code;
    co_await Client.async_connect(
        relayEndpoint(), asio::redirect_error(asio::use_awaitable, Code));
    co_return Code;
  }

  static asio::awaitable<std::error_code> write(tcp::socket &Client,
                                                const std::string &Data) {
    std::error_code Code;
    co_await asio::async_write(Client, asio::buffer(Data),
                               asio::redirect_error(asio::use_awaitable, Code));
    co_return Code;
  }

  static asio::awaitable<std::string> read(tcp::socket &Client,
                                           std::size_t Bytes) {
    std::string Data(Bytes, '\0');
    std::error_code Code;
    const std::size_t Received = co_await asio::async_read(
        Client, asio::buffer(Data),
        asio::redirect_error(asio::use_awaitable, Code));
    Data.resize(Received);
    co_return Data;
  }

  asio::io_context Context;
  AsioTimerService Timers;
  tcp::socket EchoReservation;
  tcp::acceptor EchoAcceptor;
  NetRelay Relay;
  int AcceptedCount = 0;
};

std::string randomText(std::size_t Bytes) {
  Random Numbers(1);
  std::string Text(Bytes, '\0');
  for (char &Character : Text)
    Character = static_cast<char>(Numbers.below(256));
  return Text;
}

} // namespace

class NetRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NetRelayTest);
  CPPUNIT_TEST(bytesKeepOrderWhileDelayChanges);
  CPPUNIT_TEST(delayAppliesToEachDirection);
  CPPUNIT_TEST(rateIsLimited);
  CPPUNIT_TEST(halfCloseIsForwarded);
  CPPUNIT_TEST(frozenConnectionResumesAfterCut);
  CPPUNIT_TEST(oneWayCutStopsOnlyThatDirection);
  CPPUNIT_TEST(connectionAttemptsAreDroppedWhileCut);
  CPPUNIT_TEST(resetModeEndsConnections);
  CPPUNIT_TEST(linkRefusesWhileTargetRefuses);
  CPPUNIT_TEST(invalidRequestsChangeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reordered, lost or duplicated bytes.
  void bytesKeepOrderWhileDelayChanges() {
    RelayFixture Setup(nlohmann::json{{"delay_ms", 20}});
    Setup.startEcho();
    const std::string Sent = randomText(3 << 20);
    const auto Run = [&]() -> asio::awaitable<std::string> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      asio::co_spawn(Setup.Context, RelayFixture::write(Client, Sent),
                     asio::detached);
      std::string Received = co_await RelayFixture::read(Client, 100000);
      Setup.control({{"link", "a-b"}, {"delay_ms", 0}});
      Received +=
          co_await RelayFixture::read(Client, Sent.size() - Received.size());
      // The relay counts bytes after the client could read them.
      while (Setup.stats()["bytes_to_client"].get<std::size_t>() < Sent.size())
        co_await Setup.Timers.sleepFor(1ms);
      co_return Received;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()) == Sent);
    const auto Stats = Setup.stats();
    CPPUNIT_ASSERT_EQUAL(Sent.size(),
                         Stats["bytes_to_target"].get<std::size_t>());
    CPPUNIT_ASSERT_EQUAL(Sent.size(),
                         Stats["bytes_to_client"].get<std::size_t>());
  }

  // Guards against a link that is faster than its configured delay.
  void delayAppliesToEachDirection() {
    RelayFixture Setup(nlohmann::json{{"delay_ms", 30}});
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<Clock::duration> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      const auto StartedAt = Setup.Timers.now();
      co_await RelayFixture::write(Client, "x");
      co_await RelayFixture::read(Client, 1);
      co_return Setup.Timers.now() - StartedAt;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()) >= 60ms);
  }

  // Guards against a link that exceeds its configured rate. Its connections
  // share the rate.
  void rateIsLimited() {
    RelayFixture Setup(nlohmann::json{{"rate_bytes_per_s", 1000000}});
    Setup.startEcho();
    const std::string Sent = randomText(150000);
    const auto Run = [&]() -> asio::awaitable<Clock::duration> {
      tcp::socket First(Setup.Context);
      tcp::socket Second(Setup.Context);
      co_await Setup.connect(First);
      co_await Setup.connect(Second);
      const auto StartedAt = Setup.Timers.now();
      asio::co_spawn(Setup.Context, RelayFixture::write(First, Sent),
                     asio::detached);
      asio::co_spawn(Setup.Context, RelayFixture::write(Second, Sent),
                     asio::detached);
      co_await RelayFixture::read(First, Sent.size());
      co_await RelayFixture::read(Second, Sent.size());
      co_return Setup.Timers.now() - StartedAt;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()) >= 300ms);
  }

  // Guards against a server that waits forever for the end of a request.
  void halfCloseIsForwarded() {
    RelayFixture Setup(nlohmann::json{{"delay_ms", 5}});
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<std::string> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await RelayFixture::write(Client, "request");
      Client.shutdown(tcp::socket::shutdown_send);
      co_return co_await RelayFixture::read(Client, 100);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("request"),
                         runCoroutine(Setup.Context, Run()));
  }

  // Guards against a cut that loses data or lets data through.
  void frozenConnectionResumesAfterCut() {
    RelayFixture Setup;
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<bool> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await RelayFixture::write(Client, "a");
      co_await RelayFixture::read(Client, 1);
      Setup.control({{"group", "regions"}, {"cut", true}});
      co_await RelayFixture::write(Client, "b");
      co_await Setup.Timers.sleepFor(200ms);
      const bool DataPassed = Client.available() > 0;
      Setup.control({{"group", "regions"}, {"cut", false}});
      const std::string Answer = co_await RelayFixture::read(Client, 1);
      co_return !DataPassed && Answer == "b";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()));
  }

  // Guards against a one-way cut that affects both directions or neither.
  void oneWayCutStopsOnlyThatDirection() {
    RelayFixture Setup;
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<bool> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await RelayFixture::write(Client, "a");
      co_await RelayFixture::read(Client, 1);
      Setup.control({{"all", true}, {"cut", true}, {"direction", "to_client"}});
      co_await RelayFixture::write(Client, "b");
      while (Setup.stats()["bytes_to_target"] != 2)
        co_await Setup.Timers.sleepFor(5ms);
      co_await Setup.Timers.sleepFor(200ms);
      const bool DataPassed = Client.available() > 0;
      Setup.control(
          {{"all", true}, {"cut", false}, {"direction", "to_client"}});
      const std::string Answer = co_await RelayFixture::read(Client, 1);
      co_return !DataPassed && Answer == "b";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()));
  }

  // Guards against a cut that refuses connections, which callers take as
  // evidence that the process has ended, or that accepts them, after which the
  // outcome of a call is uncertain.
  void connectionAttemptsAreDroppedWhileCut() {
    RelayFixture Setup;
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<bool> {
      // The first round leaves behind a connection of the relay itself, so a
      // second round is needed.
      for (int Round = 0; Round < 2; ++Round) {
        Setup.control({{"link", "a-b"}, {"cut", true}});
        co_await Setup.Timers.sleepFor(20ms);
        tcp::socket Client(Setup.Context);
        bool Connected = false;
        Notifier Done(Setup.Context.get_executor());
        std::error_code ConnectResult;
        Client.async_connect(Setup.relayEndpoint(),
                             [&](const std::error_code &Code) {
                               Connected = true;
                               ConnectResult = Code;
                               Done.notify();
                             });
        co_await Setup.Timers.sleepFor(300ms);
        if (Connected)
          co_return false;
        Setup.control({{"link", "a-b"}, {"cut", false}});
        co_await Done.wait();
        if (ConnectResult)
          co_return false;
        co_await RelayFixture::write(Client, "x");
        if (co_await RelayFixture::read(Client, 1) != "x")
          co_return false;
      }
      co_return true;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()));
    CPPUNIT_ASSERT_EQUAL(2, Setup.AcceptedCount);
    CPPUNIT_ASSERT_EQUAL(2, Setup.stats()["connections_total"].get<int>());
  }

  // Guards against connections that survive a cut in reset mode.
  void resetModeEndsConnections() {
    RelayFixture Setup;
    Setup.startEcho();
    const auto Run = [&]() -> asio::awaitable<std::error_code> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await RelayFixture::write(Client, "a");
      co_await RelayFixture::read(Client, 1);
      Setup.control({{"link", "a-b"}, {"cut", true}, {"mode", "reset"}});
      char Byte = 0;
      std::error_code Code;
      co_await Client.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Code));
      co_return Code;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()) ==
                   asio::error::connection_reset);
  }

  // Guards against a link that hides whether its target has ended or is slow,
  // and against a link that keeps refusing after the target has restarted.
  void linkRefusesWhileTargetRefuses() {
    RelayFixture Setup;
    const auto Run = [&]() -> asio::awaitable<bool> {
      tcp::socket First(Setup.Context);
      if (co_await Setup.connect(First))
        co_return false;
      char Byte = 0;
      std::error_code Code;
      co_await First.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code != asio::error::connection_reset)
        co_return false;
      tcp::socket Second(Setup.Context);
      if (co_await Setup.connect(Second) != asio::error::connection_refused)
        co_return false;
      Setup.startEcho();
      while (Setup.stats()["target_down"].get<bool>())
        co_await Setup.Timers.sleepFor(10ms);
      tcp::socket Third(Setup.Context);
      if (co_await Setup.connect(Third))
        co_return false;
      co_await RelayFixture::write(Third, "x");
      co_return co_await RelayFixture::read(Third, 1) == "x";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()));
  }

  // Guards against accepting an invalid request, after which a test would run
  // without the intended cut.
  void invalidRequestsChangeNothing() {
    RelayFixture Setup;
    CPPUNIT_ASSERT(Setup.Relay.applyChange({{"link", "other"}, {"cut", true}}));
    CPPUNIT_ASSERT(Setup.Relay.applyChange({{"cut", true}}));
    CPPUNIT_ASSERT(Setup.Relay.applyChange({{"link", "a-b"}, {"cuts", true}}));
    CPPUNIT_ASSERT(Setup.Relay.applyChange({{"link", "a-b"}, {"cut", "yes"}}));
    CPPUNIT_ASSERT(Setup.Relay.applyChange(
        {{"link", "a-b"}, {"cut", true}, {"mode", "other"}}));
    CPPUNIT_ASSERT(!Setup.stats()["cut_to_target"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetRelayTest);

} // namespace hickory
