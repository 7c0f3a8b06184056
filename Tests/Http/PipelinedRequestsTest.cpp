#include "Base/AsioTimerService.h"
#include "Http/HttpServer.h"
#include "Support/RunCoroutine.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::chrono::milliseconds HandlerTime{50};

} // namespace

class PipelinedRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelinedRequestsTest);
  CPPUNIT_TEST(testClosingServerAnswersPipelinedRequests);
  CPPUNIT_TEST(testPipelinedRequestsAreHandledInOrder);
  CPPUNIT_TEST(testClientThatEndsItsSideGetsItsResponse);
  CPPUNIT_TEST(testGarbageAfterARequestDoesNotHideItsResponse);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against closing a connection after the first of several requests
  // that have been received on it.
  void testClosingServerAnswersPipelinedRequests() {
    Server_.start();
    Server_.closeAfterResponse();
    const std::string Text = exchange(3);
    CPPUNIT_ASSERT(Text.find("<1>") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("<2>") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("<3>") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Server_.requestsInFlight());
  }

  // Guards against a request that overtakes an earlier one of its client.
  void testPipelinedRequestsAreHandledInOrder() {
    Server_.start();
    Server_.closeAfterResponse();
    exchange(3);
    CPPUNIT_ASSERT_EQUAL(std::string("begin 1 end 1 begin 2 end 2 begin 3 "
                                     "end 3 "),
                         Trace_);
  }

  // Guards against dropping the response to a client that shuts down its side
  // of the connection after its request.
  void testClientThatEndsItsSideGetsItsResponse() {
    Server_.start();
    Server_.closeAfterResponse();
    const std::string Text = exchange(request(1), true);
    CPPUNIT_ASSERT(Text.find("<1>") != std::string::npos);
  }

  void testGarbageAfterARequestDoesNotHideItsResponse() {
    Server_.start();
    Server_.closeAfterResponse();
    const std::string Text = exchange(request(1) + "?\r\n\r\n");
    CPPUNIT_ASSERT(Text.find("<1>") != std::string::npos);
  }

private:
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    const std::string Number = Request.Path.substr(1);
    Trace_ += "begin " + Number + " ";
    co_await Timers_.sleepFor(HandlerTime);
    Trace_ += "end " + Number + " ";
    co_return HttpServerResponse{.Body = "<" + Number + ">"};
  }

  static std::string request(int Number) {
    return "GET /" + std::to_string(Number) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  /// Sends requests at once on one connection, and returns what the server
  /// sends until it closes the connection.
  std::string exchange(int Requests) {
    std::string Text;
    for (int Number = 1; Number <= Requests; ++Number)
      Text += request(Number);
    return exchange(Text);
  }

  std::string exchange(const std::string &Text, bool EndSide = false) {
    return runCoroutine(Context_, send(Text, EndSide));
  }

  asio::awaitable<std::string> send(std::string Text, bool EndSide) {
    tcp::socket Socket(Context_);
    const tcp::endpoint Target(asio::ip::make_address("127.0.0.1"),
                               Server_.port());
    co_await Socket.async_connect(Target, asio::use_awaitable);
    co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
    if (EndSide)
      Socket.shutdown(tcp::socket::shutdown_send);
    std::string Received;
    std::error_code Ended;
    co_await asio::async_read(Socket, asio::dynamic_buffer(Received),
                              asio::redirect_error(asio::use_awaitable, Ended));
    co_return Received;
  }

  asio::io_context Context_{1};
  AsioTimerService Timers_{Context_};
  std::string Trace_;
  HttpServer Server_{Context_, {}, [this](HttpServerRequest Request) {
                       return handle(std::move(Request));
                     }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedRequestsTest);

} // namespace hickory
