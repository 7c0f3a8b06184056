#include "Http/CurlHttpClient.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

/// Responds to the first request it receives. Closes the connection without a
/// response on every later request.
class ClosingServer {
public:
  ClosingServer(asio::io_context &Context, bool CloseListener)
      : Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
        CloseListener_(CloseListener) {
    asio::co_spawn(Context, acceptAll(), asio::detached);
  }

  [[nodiscard]] std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }

  int Received = 0;
  int Connections = 0;

private:
  asio::awaitable<void> acceptAll() {
    try {
      for (;;) {
        auto Socket = co_await Acceptor_.async_accept(asio::use_awaitable);
        ++Connections;
        asio::co_spawn(Acceptor_.get_executor(), serve(std::move(Socket)),
                       asio::detached);
      }
    } catch (const std::system_error &) {
    }
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket Socket) {
    try {
      for (;;) {
        std::string Text;
        const std::size_t Size =
            co_await asio::async_read_until(Socket, asio::dynamic_buffer(Text),
                                            "\r\n\r\n", asio::use_awaitable);
        Text.erase(0, Size);
        if (++Received > 1) {
          if (CloseListener_)
            Acceptor_.close();
          co_return;
        }
        const std::string Response =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(Socket, asio::buffer(Response),
                                   asio::use_awaitable);
      }
    } catch (const std::system_error &) {
    }
  }

  asio::ip::tcp::acceptor Acceptor_;
  bool CloseListener_;
};

/// Sends two requests one after the other and returns the outcome of the
/// second. The first opens the connection that the second reuses.
Result<HttpClientResponse> sendTwo(asio::io_context &Context,
                                   const std::string &Url, bool MayResend) {
  CurlHttpClient Client(Context);
  Result<HttpClientResponse> Second;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        HttpClientRequest First{.Method = "POST", .Url = Url};
        co_await Client.send(std::move(First));
        HttpClientRequest Request{
            .Method = "POST", .Url = Url, .MayResend = MayResend};
        Second = co_await Client.send(std::move(Request));
        Context.stop();
      },
      asio::detached);
  Context.run();
  return Second;
}

} // namespace

class ResendTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResendTest);
  CPPUNIT_TEST(requestIsReceivedOnce);
  CPPUNIT_TEST(mayResendAllowsResend);
  CPPUNIT_TEST(refusedResendIsNotReportedAsWithoutEffect);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that the HTTP client resends by itself: the
  // response to the second copy was taken for the response to a single request.
  void requestIsReceivedOnce() {
    asio::io_context Context;
    ClosingServer Server(Context, false);
    auto Outcome = sendTwo(Context, Server.url(), false);
    CPPUNIT_ASSERT(!Outcome);
    CPPUNIT_ASSERT(!Outcome.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(2, Server.Received);
  }

  // Proves that the case above is possible: with MayResend the client sends the
  // second request twice.
  void mayResendAllowsResend() {
    asio::io_context Context;
    ClosingServer Server(Context, false);
    auto Outcome = sendTwo(Context, Server.url(), true);
    CPPUNIT_ASSERT(!Outcome);
    CPPUNIT_ASSERT(!Outcome.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(3, Server.Received);
    CPPUNIT_ASSERT_EQUAL(2, Server.Connections);
  }

  // Guards against "not run" for a request that was received by a process that
  // stopped before it responded. The resend is then refused.
  void refusedResendIsNotReportedAsWithoutEffect() {
    asio::io_context Context;
    ClosingServer Server(Context, true);
    auto Outcome = sendTwo(Context, Server.url(), true);
    CPPUNIT_ASSERT(!Outcome);
    CPPUNIT_ASSERT(!Outcome.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(2, Server.Received);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResendTest);

} // namespace hickory
