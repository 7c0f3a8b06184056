#include "Http/CurlHttpClient.h"
#include "Http/HttpServer.h"

#include "Base/AsioTimerService.h"
#include "Support/RunCoroutine.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// A server that counts the requests that reach its handler, with a client.
struct HttpFixture {
  explicit HttpFixture(HttpServerOptions Options = {})
      : Timers(Context), Server(Context, Options,
                                [this](HttpServerRequest Request) {
                                  return handle(std::move(Request));
                                }),
        Client(Context) {
    Server.start();
  }

  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    ++Handled;
    if (Request.Path == "/slow")
      co_await Timers.sleepFor(400ms);
    co_return HttpServerResponse{.Body = std::move(Request.Body)};
  }

  Result<HttpClientResponse> send(const std::string &Path, std::string Body,
                                  std::chrono::milliseconds Timeout = 20s) {
    HttpClientRequest Request{
        .Method = "POST",
        .Url = fmt::format("http://127.0.0.1:{}{}", Server.port(), Path),
        .Body = std::move(Body),
        .Timeout = Timeout};
    return runCoroutine(Context, Client.send(std::move(Request)));
  }

  asio::io_context Context;
  AsioTimerService Timers;
  HttpServer Server;
  CurlHttpClient Client;
  int Handled = 0;
};

} // namespace

class HttpLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpLimitsTest);
  CPPUNIT_TEST(oversizedBodyDoesNotReachHandler);
  CPPUNIT_TEST(oversizedUrlDoesNotReachHandler);
  CPPUNIT_TEST(slowResponseIsReportedAsTimeout);
  CPPUNIT_TEST(silentServerIsReportedAsTimeout);
  CPPUNIT_TEST(silenceEndsACallBeforeItsTimeout);
  CPPUNIT_TEST(slowTransferGoesOnBeyondTheIdleTimeout);
  CPPUNIT_TEST(idleConnectionIsClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against unbounded memory usage caused by one client.
  void oversizedBodyDoesNotReachHandler() {
    HttpServerOptions Options;
    Options.MaximumBodyBytes = 10000;
    HttpFixture Setup(Options);
    const auto Fits = Setup.send("/a", std::string(10000, 'x'));
    CPPUNIT_ASSERT(Fits && Fits->Body.size() == 10000);
    for (const std::size_t Size : {10001, 100000, 5000000}) {
      const auto Response = Setup.send("/a", std::string(Size, 'x'));
      CPPUNIT_ASSERT(!Response || Response->Status == 413);
    }
    CPPUNIT_ASSERT_EQUAL(1, Setup.Handled);
    CPPUNIT_ASSERT(Setup.send("/a", "x").has_value());
  }

  // Guards against unbounded memory usage caused by a long URL.
  void oversizedUrlDoesNotReachHandler() {
    HttpFixture Setup;
    const auto Response = Setup.send("/" + std::string(100000, 'a'), "");
    CPPUNIT_ASSERT(!Response || Response->Status >= 400);
    CPPUNIT_ASSERT_EQUAL(0, Setup.Handled);
  }

  // Guards against a request that was executed but is reported as having had no
  // effect.
  void slowResponseIsReportedAsTimeout() {
    HttpFixture Setup;
    const auto Response = Setup.send("/slow", "x", 100ms);
    CPPUNIT_ASSERT(!Response && Response.error().Code == ErrorCode::Timeout);
    CPPUNIT_ASSERT_EQUAL(1, Setup.Handled);
    CPPUNIT_ASSERT(Setup.send("/slow", "x").has_value());
  }

  // Guards against the same false report if the server accepts the connection
  // and reads nothing.
  void silentServerIsReportedAsTimeout() {
    HttpFixture Setup;
    asio::ip::tcp::acceptor Silent(
        Setup.Context,
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    HttpClientRequest Request{
        .Url =
            fmt::format("http://127.0.0.1:{}/", Silent.local_endpoint().port()),
        .Timeout = 100ms};
    const auto Response =
        runCoroutine(Setup.Context, Setup.Client.send(std::move(Request)));
    CPPUNIT_ASSERT(!Response && Response.error().Code == ErrorCode::Timeout);
  }

  // Guards against a caller that waits for a silent server as long as for a
  // large response.
  void silenceEndsACallBeforeItsTimeout() {
    HttpFixture Setup;
    HttpClientRequest Request{
        .Url = fmt::format("http://127.0.0.1:{}/slow", Setup.Server.port()),
        .Timeout = 1h,
        .IdleTimeout = 100ms};
    const auto Response =
        runCoroutine(Setup.Context, Setup.Client.send(std::move(Request)));
    CPPUNIT_ASSERT(!Response && Response.error().Code == ErrorCode::Timeout);
    CPPUNIT_ASSERT(!Response.error().hadNoEffect());
  }

  // Guards against a large response that is given up although it goes on.
  void slowTransferGoesOnBeyondTheIdleTimeout() {
    HttpFixture Setup;
    asio::ip::tcp::acceptor Slow(
        Setup.Context,
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    constexpr int Pieces = 10;
    asio::co_spawn(
        Setup.Context,
        [&]() -> asio::awaitable<void> {
          auto Peer = co_await Slow.async_accept(asio::use_awaitable);
          std::string Text = fmt::format(
              "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", Pieces);
          for (int I = 0; I < Pieces; ++I) {
            Text += 'x';
            co_await asio::async_write(Peer, asio::buffer(Text),
                                       asio::use_awaitable);
            Text.clear();
            co_await Setup.Timers.sleepFor(100ms);
          }
        },
        asio::detached);
    HttpClientRequest Request{.Url = fmt::format("http://127.0.0.1:{}/",
                                                 Slow.local_endpoint().port()),
                              .Timeout = 20s,
                              .IdleTimeout = 700ms};
    const auto Response =
        runCoroutine(Setup.Context, Setup.Client.send(std::move(Request)));
    CPPUNIT_ASSERT(Response && Response->Body == std::string(Pieces, 'x'));
  }

  // Guards against connections that stay open forever without a request.
  void idleConnectionIsClosed() {
    HttpServerOptions Options;
    Options.IdleTimeout = 1s;
    HttpFixture Setup(Options);
    const auto ConnectAndRead = [&]() -> asio::awaitable<std::error_code> {
      asio::ip::tcp::socket Idle(Setup.Context);
      std::error_code Code;
      const asio::ip::tcp::endpoint ServerEndpoint(
          asio::ip::address_v4::loopback(), Setup.Server.port());
      co_await Idle.async_connect(
          ServerEndpoint, asio::redirect_error(asio::use_awaitable, Code));
      char Byte = 0;
      co_await Idle.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Code));
      co_return Code;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, ConnectAndRead()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpLimitsTest);

} // namespace hickory
