#include "Emulator/KeepAliveClient.h"

#include "Base/AsioTimerService.h"
#include "Http/CurlHttpClient.h"
#include "Support/RunCoroutine.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory::emulator {

using namespace std::chrono_literals;
using asio::use_awaitable;
using asio::ip::tcp;

/// Sends requests to a server that ends each connection after a while.
class KeepAliveClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeepAliveClientTest);
  CPPUNIT_TEST(testRequestCutLateIsLost);
  CPPUNIT_TEST(testRequestCutWithinSlackIsNotLost);
  CPPUNIT_TEST(testAnsweredRequestIsNotLost);
  CPPUNIT_TEST(testIncompleteAnswerIsLost);
  CPPUNIT_TEST(testRequestNearUnplannedFaultIsNotChecked);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a check that cannot fail.
  void testRequestCutLateIsLost() {
    sendRequest(400ms, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Client_.lost().size());
  }

  // Guards against counting requests that the process may not have read.
  void testRequestCutWithinSlackIsNotLost() {
    sendRequest(0ms, "");
    CPPUNIT_ASSERT_EQUAL(1, Client_.outcomes().at("closed"));
    CPPUNIT_ASSERT(Client_.lost().empty());
  }

  // Guards against counting requests whose connection ends after the answer.
  void testAnsweredRequestIsNotLost() {
    const auto Reply =
        sendRequest(400ms, "HTTP/1.1 503 Service Unavailable\r\n"
                           "Connection: close\r\nContent-Length: 2\r\n\r\n{}");
    CPPUNIT_ASSERT(Reply.has_value());
    CPPUNIT_ASSERT_EQUAL(503, Reply->Status);
    CPPUNIT_ASSERT(Client_.lost().empty());
  }

  // Guards against taking the beginning of an answer for an answer.
  void testIncompleteAnswerIsLost() {
    sendRequest(400ms, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Client_.lost().size());
  }

  // Guards against blaming a process that was killed.
  void testRequestNearUnplannedFaultIsNotChecked() {
    Client_.recordUnplannedFault();
    sendRequest(400ms, "");
    CPPUNIT_ASSERT_EQUAL(1, Client_.outcomes().at("closed, but not checked"));
    CPPUNIT_ASSERT(Client_.lost().empty());
  }

private:
  /// Sends one request to a server that sends the given text after Delay and
  /// closes the connection.
  Result<HttpClientResponse> sendRequest(std::chrono::milliseconds Delay,
                                         const std::string &Response) {
    tcp::acceptor Acceptor(Context_, {asio::ip::address_v4::loopback(), 0});
    const std::string Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Balancer_.start({{.Gateway = Address, .Ready = Address}});
    asio::co_spawn(Context_, serve(Acceptor, Delay, Response), asio::detached);
    return runCoroutine(Context_, exchange("http://" + Address + "/q/1"));
  }

  asio::awaitable<Result<HttpClientResponse>> exchange(std::string Url) {
    HttpClientRequest Request;
    Request.Url = std::move(Url);
    const auto Reply = co_await Client_.send(std::move(Request));
    co_await Client_.close();
    co_await Balancer_.stop();
    co_return Reply;
  }

  /// The first connection is the client's or a probe of the balancer; both are
  /// served in the same way.
  asio::awaitable<void> serve(tcp::acceptor &Acceptor,
                              std::chrono::milliseconds Delay,
                              std::string Response) {
    for (;;) {
      auto Socket = co_await Acceptor.async_accept(use_awaitable);
      asio::co_spawn(Context_, endLater(std::move(Socket), Delay, Response),
                     asio::detached);
    }
  }

  asio::awaitable<void> endLater(tcp::socket Socket,
                                 std::chrono::milliseconds Delay,
                                 std::string Response) {
    co_await Timers_.sleepFor(Delay);
    co_await asio::async_write(Socket, asio::buffer(Response), use_awaitable);
  }

  asio::io_context Context_{1};
  AsioTimerService Timers_{Context_};
  CurlHttpClient Http_{Context_};
  Balancer Balancer_{Context_.get_executor(), Timers_, Http_};
  KeepAliveClient Client_{Context_, Timers_, Balancer_, 0, 1, ""};
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeepAliveClientTest);

} // namespace hickory::emulator
