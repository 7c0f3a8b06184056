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

/// A relay with one link to an echo server. Times are real, so the tests check
/// lower bounds only, and that something does not happen.
struct Bench {
  Bench(const Bench &) = delete;
  Bench &operator=(const Bench &) = delete;
  explicit Bench(const nlohmann::json &Changes = nlohmann::json::object())
      : Timers(Context), Reserved(Context), Echo(Context),
        Relay(Context, Timers) {
    Reserved.open(tcp::v4());
    Reserved.set_option(tcp::socket::reuse_address(true));
    Reserved.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    nlohmann::json Link = {
        {"name", "a-b"},
        {"group", "regions"},
        {"target",
         fmt::format("127.0.0.1:{}", Reserved.local_endpoint().port())}};
    Link.update(Changes);
    const nlohmann::json Document = {{"links", nlohmann::json::array({Link})}};
    const auto Wrong = Relay.load(Document);
    CPPUNIT_ASSERT_MESSAGE(Wrong.value_or(""), !Wrong);
  }

  void startEcho() {
    Echo.open(tcp::v4());
    Echo.set_option(tcp::acceptor::reuse_address(true));
    Echo.bind(Reserved.local_endpoint());
    Echo.listen();
    asio::co_spawn(Context, acceptAll(), asio::detached);
  }

  asio::awaitable<void> acceptAll() {
    for (;;) {
      std::error_code Code;
      tcp::socket Accepted = co_await Echo.async_accept(
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code)
        co_return;
      ++Served;
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

  [[nodiscard]] tcp::endpoint entrance() const {
    return {asio::ip::address_v4::loopback(),
            stats()["listen_port"].get<std::uint16_t>()};
  }

  void control(const nlohmann::json &Wanted) {
    const auto Wrong = Relay.change(Wanted);
    CPPUNIT_ASSERT_MESSAGE(Wrong.value_or(""), !Wrong);
  }

  asio::awaitable<std::error_code> connect(tcp::socket &Client) {
    std::error_code Code;
    co_await Client.async_connect(
        entrance(), asio::redirect_error(asio::use_awaitable, Code));
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
    const std::size_t Got = co_await asio::async_read(
        Client, asio::buffer(Data),
        asio::redirect_error(asio::use_awaitable, Code));
    Data.resize(Got);
    co_return Data;
  }

  asio::io_context Context;
  AsioTimerService Timers;
  tcp::socket Reserved;
  tcp::acceptor Echo;
  NetRelay Relay;
  int Served = 0;
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
  CPPUNIT_TEST(frozenConnectionGoesOnAfterCut);
  CPPUNIT_TEST(cutInOneDirectionLosesOnlyThat);
  CPPUNIT_TEST(connectionAttemptsAreDroppedWhileCut);
  CPPUNIT_TEST(resetModeEndsConnections);
  CPPUNIT_TEST(deadTargetIsSeenAsRefusal);
  CPPUNIT_TEST(wrongRequestsChangeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reordered, lost or doubled bytes.
  void bytesKeepOrderWhileDelayChanges() {
    Bench Setup(nlohmann::json{{"delay_ms", 20}});
    Setup.startEcho();
    const std::string Sent = randomText(3 << 20);
    const auto Work = [&]() -> asio::awaitable<std::string> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      asio::co_spawn(Setup.Context, Bench::write(Client, Sent), asio::detached);
      std::string Got = co_await Bench::read(Client, 100000);
      Setup.control({{"link", "a-b"}, {"delay_ms", 0}});
      Got += co_await Bench::read(Client, Sent.size() - Got.size());
      // The relay counts bytes after the client could read them.
      while (Setup.stats()["bytes_to_client"].get<std::size_t>() < Sent.size())
        co_await Setup.Timers.sleepFor(1ms);
      co_return Got;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()) == Sent);
    const auto Stats = Setup.stats();
    CPPUNIT_ASSERT_EQUAL(Sent.size(),
                         Stats["bytes_to_target"].get<std::size_t>());
    CPPUNIT_ASSERT_EQUAL(Sent.size(),
                         Stats["bytes_to_client"].get<std::size_t>());
  }

  // Guards against measurements on a link that is faster than it says.
  void delayAppliesToEachDirection() {
    Bench Setup(nlohmann::json{{"delay_ms", 30}});
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<Clock::duration> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      const auto Begun = Setup.Timers.now();
      co_await Bench::write(Client, "x");
      co_await Bench::read(Client, 1);
      co_return Setup.Timers.now() - Begun;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()) >= 60ms);
  }

  // The same for the rate: two connections share it.
  void rateIsLimited() {
    Bench Setup(nlohmann::json{{"rate_bytes_per_s", 1000000}});
    Setup.startEcho();
    const std::string Sent = randomText(150000);
    const auto Work = [&]() -> asio::awaitable<Clock::duration> {
      tcp::socket First(Setup.Context);
      tcp::socket Second(Setup.Context);
      co_await Setup.connect(First);
      co_await Setup.connect(Second);
      const auto Begun = Setup.Timers.now();
      asio::co_spawn(Setup.Context, Bench::write(First, Sent), asio::detached);
      asio::co_spawn(Setup.Context, Bench::write(Second, Sent), asio::detached);
      co_await Bench::read(First, Sent.size());
      co_await Bench::read(Second, Sent.size());
      co_return Setup.Timers.now() - Begun;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()) >= 300ms);
  }

  // Guards against a server that waits for ever for the end of a request.
  void halfCloseIsForwarded() {
    Bench Setup(nlohmann::json{{"delay_ms", 5}});
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<std::string> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await Bench::write(Client, "request");
      Client.shutdown(tcp::socket::shutdown_send);
      co_return co_await Bench::read(Client, 100);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("request"),
                         runCoroutine(Setup.Context, Work()));
  }

  // Guards against a cut that loses or passes data.
  void frozenConnectionGoesOnAfterCut() {
    Bench Setup;
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<bool> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await Bench::write(Client, "a");
      co_await Bench::read(Client, 1);
      Setup.control({{"group", "regions"}, {"cut", true}});
      co_await Bench::write(Client, "b");
      co_await Setup.Timers.sleepFor(200ms);
      const bool Passed = Client.available() > 0;
      Setup.control({{"group", "regions"}, {"cut", false}});
      const std::string Answer = co_await Bench::read(Client, 1);
      co_return !Passed && Answer == "b";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()));
  }

  // Guards against a one-way cut that works in both directions or in none.
  void cutInOneDirectionLosesOnlyThat() {
    Bench Setup;
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<bool> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await Bench::write(Client, "a");
      co_await Bench::read(Client, 1);
      Setup.control({{"all", true}, {"cut", true}, {"direction", "to_client"}});
      co_await Bench::write(Client, "b");
      while (Setup.stats()["bytes_to_target"] != 2)
        co_await Setup.Timers.sleepFor(5ms);
      co_await Setup.Timers.sleepFor(200ms);
      const bool Passed = Client.available() > 0;
      Setup.control(
          {{"all", true}, {"cut", false}, {"direction", "to_client"}});
      const std::string Answer = co_await Bench::read(Client, 1);
      co_return !Passed && Answer == "b";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()));
  }

  // Guards against a cut that is answered like a dead process, which would
  // count as evidence, or like a slow one, after which the outcome of a call
  // would not be certain.
  void connectionAttemptsAreDroppedWhileCut() {
    Bench Setup;
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<bool> {
      // Two rounds, because the first leaves a connection of the relay's own.
      for (int Round = 0; Round < 2; ++Round) {
        Setup.control({{"link", "a-b"}, {"cut", true}});
        co_await Setup.Timers.sleepFor(20ms);
        tcp::socket Client(Setup.Context);
        bool Connected = false;
        Notifier Done(Setup.Context.get_executor());
        std::error_code Outcome;
        Client.async_connect(Setup.entrance(),
                             [&](const std::error_code &Code) {
                               Connected = true;
                               Outcome = Code;
                               Done.notify();
                             });
        co_await Setup.Timers.sleepFor(300ms);
        if (Connected)
          co_return false;
        Setup.control({{"link", "a-b"}, {"cut", false}});
        co_await Done.wait();
        if (Outcome)
          co_return false;
        co_await Bench::write(Client, "x");
        if (co_await Bench::read(Client, 1) != "x")
          co_return false;
      }
      co_return true;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()));
    CPPUNIT_ASSERT_EQUAL(2, Setup.Served);
    CPPUNIT_ASSERT_EQUAL(2, Setup.stats()["connections_total"].get<int>());
  }

  // Guards against connections that survive a cut that is meant to end them.
  void resetModeEndsConnections() {
    Bench Setup;
    Setup.startEcho();
    const auto Work = [&]() -> asio::awaitable<std::error_code> {
      tcp::socket Client(Setup.Context);
      co_await Setup.connect(Client);
      co_await Bench::write(Client, "a");
      co_await Bench::read(Client, 1);
      Setup.control({{"link", "a-b"}, {"cut", true}, {"mode", "reset"}});
      char Byte = 0;
      std::error_code Code;
      co_await Client.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Code));
      co_return Code;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()) ==
                   asio::error::connection_reset);
  }

  // Guards against a dead process behind a link that no caller can tell from
  // a slow one, and against a link that stays down when it is back.
  void deadTargetIsSeenAsRefusal() {
    Bench Setup;
    const auto Work = [&]() -> asio::awaitable<bool> {
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
      co_await Bench::write(Third, "x");
      co_return co_await Bench::read(Third, 1) == "x";
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()));
  }

  // Guards against a test that believes it has cut a link.
  void wrongRequestsChangeNothing() {
    Bench Setup;
    CPPUNIT_ASSERT(Setup.Relay.change({{"link", "other"}, {"cut", true}}));
    CPPUNIT_ASSERT(Setup.Relay.change({{"cut", true}}));
    CPPUNIT_ASSERT(Setup.Relay.change({{"link", "a-b"}, {"cuts", true}}));
    CPPUNIT_ASSERT(Setup.Relay.change({{"link", "a-b"}, {"cut", "yes"}}));
    CPPUNIT_ASSERT(Setup.Relay.change(
        {{"link", "a-b"}, {"cut", true}, {"mode", "other"}}));
    CPPUNIT_ASSERT(!Setup.stats()["cut_to_target"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetRelayTest);

} // namespace hickory
