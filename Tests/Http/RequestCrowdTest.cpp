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
#include <fmt/format.h>

namespace hickory {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

/// Age at which a request that has not arrived may be refused for another.
constexpr std::chrono::milliseconds RefusableAge{1100};
/// Limits of the platform.
constexpr std::size_t LongestBody = 262144;
constexpr std::size_t LongestHeaders = 16384;
constexpr std::size_t BodyBytes = 40000;

const std::string Close = "Connection: close\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n" + Close;

std::string post(const std::string &Headers) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + Headers + "\r\n";
}

std::string head(std::size_t Length) {
  return post(fmt::format("Content-Length: {}\r\n{}", Length, Close));
}

std::string filler(std::size_t Bytes) { return std::string(Bytes, 'x'); }

} // namespace

/// Clients that share a server with limits on all their requests.
class RequestCrowdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestCrowdTest);
  CPPUNIT_TEST(longestRequestIsServed);
  CPPUNIT_TEST(stoppedBodyIsRefusedForANewOne);
  CPPUNIT_TEST(youngBodyIsNotRefusedForANewOne);
  CPPUNIT_TEST(requestThatTakesTooLongIsRefused);
  CPPUNIT_TEST(headersThatTakeTooLongAreRefused);
  CPPUNIT_TEST(stoppedConnectionIsClosedForANewOne);
  CPPUNIT_TEST(connectionWithARequestIsNotClosedForANewOne);
  CPPUNIT_TEST(chunkOverheadIsLimited);
  CPPUNIT_TEST(announcedLengthIsRefusedAtOnce);
  CPPUNIT_TEST(awaitedContinueIsSent);
  CPPUNIT_TEST(limitsFollowThoseOfTheProcess);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against limits that clients within those of the platform meet.
  void longestRequestIsServed() {
    start({.MaximumBodyBytes = LongestBody});
    const std::string Name = "Filler";
    const std::size_t Others =
        std::string("Host: h\r\n" + Chunked + Name + ": \r\n").size();
    std::string Text =
        post(Chunked + Name + ": " + filler(LongestHeaders - Others) + "\r\n");
    for (std::size_t Byte = 0; Byte < LongestBody; ++Byte)
      Text += "1\r\nx\r\n";
    tcp::socket Client = open();
    const std::string Response = exchange(Client, Text + "0\r\n\r\n");
    CPPUNIT_ASSERT(Response.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Response.ends_with(fmt::format("<{}>", LongestBody)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Server_->bodyBytesInProgress());
  }

  // Guards against bodies that never end and keep others out.
  void stoppedBodyIsRefusedForANewOne() {
    start({.MaximumBodyBytesInProgress = BodyBytes * 3 / 2});
    tcp::socket Stopped = open();
    write(Stopped, head(BodyBytes) + filler(BodyBytes - 1));
    pass(RefusableAge);
    tcp::socket Client = open();
    const std::string Response =
        exchange(Client, head(BodyBytes) + filler(BodyBytes));
    CPPUNIT_ASSERT(Response.starts_with("HTTP/1.1 200"));
    assertRefused(exchange(Stopped, "x"));
    CPPUNIT_ASSERT_EQUAL(1, Handled_);
    CPPUNIT_ASSERT_EQUAL(std::string("memory "), Refusals_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Server_->bodyBytesInProgress());
  }

  // Guards against large bodies that refuse each other in turn.
  void youngBodyIsNotRefusedForANewOne() {
    start({.MaximumBodyBytesInProgress = BodyBytes * 3 / 2});
    tcp::socket First = open();
    write(First, head(BodyBytes) + filler(BodyBytes - 1));
    pass(50ms);
    tcp::socket Second = open();
    assertRefused(exchange(Second, head(BodyBytes) + filler(BodyBytes)));
    CPPUNIT_ASSERT(exchange(First, "x").starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(1, Handled_);
  }

  // Guards against clients that send a byte now and then.
  void requestThatTakesTooLongIsRefused() {
    start({.RequestTimeout = 200ms});
    tcp::socket Client = open();
    assertRefused(exchange(Client, head(2) + "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("time "), Refusals_);
    CPPUNIT_ASSERT_EQUAL(0, Handled_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Server_->bodyBytesInProgress());
  }
  void headersThatTakeTooLongAreRefused() {
    start({.HeaderTimeout = 200ms});
    tcp::socket Client = open();
    assertRefused(exchange(Client, "P"));
    CPPUNIT_ASSERT_EQUAL(std::string("time "), Refusals_);
  }

  // Guards against connections without a request that keep others out.
  void stoppedConnectionIsClosedForANewOne() {
    start({.MaximumConnections = 2});
    tcp::socket Stopped = open();
    write(Stopped, "P");
    tcp::socket Idle = open();
    pass(RefusableAge);
    for (int Number = 0; Number < 2; ++Number) {
      tcp::socket Client = open();
      CPPUNIT_ASSERT(
          exchange(Client, head(1) + "x").starts_with("HTTP/1.1 200"));
    }
    assertRefused(exchange(Stopped, ""));
    CPPUNIT_ASSERT(Server_->openConnections() <= 2);
  }

  // Guards against a request that the handler has and that is cut off.
  void connectionWithARequestIsNotClosedForANewOne() {
    start({.MaximumConnections = 1}, RefusableAge + 500ms);
    tcp::socket First = open();
    write(First, head(1) + "x");
    pass(RefusableAge);
    tcp::socket Second = open();
    assertRefused(exchange(Second, ""));
    CPPUNIT_ASSERT(exchange(First, "").starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::string("connections "), Refusals_);
  }

  // Guards against chunks that cost much time and have little content.
  void chunkOverheadIsLimited() {
    start({.MaximumBodyBytes = 1000});
    std::string ManyChunks;
    for (int Chunk = 0; Chunk < 200; ++Chunk)
      ManyChunks += "1;a=" + filler(1000) + "\r\nx\r\n";
    for (const std::string &Text : {"1;a=" + filler(200000), ManyChunks}) {
      tcp::socket Client = open();
      CPPUNIT_ASSERT(
          exchange(Client, post(Chunked) + Text).starts_with("HTTP/1.1 413"));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("chunks chunks "), Refusals_);
    CPPUNIT_ASSERT_EQUAL(0, Handled_);
  }

  // Guards against receiving a body that is refused at its end.
  void announcedLengthIsRefusedAtOnce() {
    start({.MaximumBodyBytes = 1000});
    for (const std::string &Text :
         {head(1001), post(Chunked) + "3e9\r\n",
          post(Chunked) + "3e8\r\n" + filler(1000) + "\r\n1\r\n"}) {
      tcp::socket Client = open();
      CPPUNIT_ASSERT(exchange(Client, Text).starts_with("HTTP/1.1 413"));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("body body body "), Refusals_);
  }

  void awaitedContinueIsSent() {
    start({});
    tcp::socket Client = open();
    write(Client,
          post("Content-Length: 1\r\nExpect: 100-continue\r\n" + Close));
    const std::string Expected = "HTTP/1.1 100 Continue\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(Expected,
                         runCoroutine(Context_, read(Client, Expected.size())));
    CPPUNIT_ASSERT(exchange(Client, "x").starts_with("HTTP/1.1 200"));
  }

  // Guards against a small process with the limits of a large one.
  void limitsFollowThoseOfTheProcess() {
    const ServerShares Shares{
        .BodyMemory = 0.125, .ConnectionMemory = 0.125, .Descriptors = 0.375};
    constexpr std::uint64_t Megabyte = 1 << 20;
    const auto Small = limitedOptions(
        {}, {.MemoryBytes = 120 * Megabyte, .Descriptors = 4200}, Shares);
    CPPUNIT_ASSERT_EQUAL(15 * Megabyte, Small.MaximumBodyBytesInProgress);
    CPPUNIT_ASSERT_EQUAL(std::size_t{160}, Small.MaximumConnections);
    const auto FewDescriptors =
        limitedOptions({}, {.Descriptors = 600}, Shares);
    CPPUNIT_ASSERT_EQUAL(std::size_t{150}, FewDescriptors.MaximumConnections);
    const auto Unknown = limitedOptions({}, {}, Shares);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1024}, Unknown.MaximumConnections);
  }

private:
  void start(HttpServerOptions Options,
             std::chrono::milliseconds HandlerTime = 0ms) {
    Options.OnRefused = [this](const char *Reason) {
      Refusals_ += std::string(Reason) + " ";
    };
    HandlerTime_ = HandlerTime;
    Server_ = std::make_unique<HttpServer>(Context_, Options,
                                           [this](HttpServerRequest Request) {
                                             return handle(std::move(Request));
                                           });
    Server_->start();
  }

  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    ++Handled_;
    if (HandlerTime_ > 0ms)
      co_await Timers_.sleepFor(HandlerTime_);
    co_return HttpServerResponse{.Body =
                                     fmt::format("<{}>", Request.Body.size())};
  }

  static void assertRefused(const std::string &Response) {
    CPPUNIT_ASSERT(Response.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Response.find("Retry-After: 1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(Response.find(Close) != std::string::npos);
  }

  tcp::socket open() {
    tcp::socket Socket(Context_);
    Socket.connect({asio::ip::address_v4::loopback(), Server_->port()});
    return Socket;
  }
  void pass(std::chrono::milliseconds Time) {
    Context_.restart();
    Context_.run_for(Time);
  }
  void write(tcp::socket &Socket, const std::string &Text) {
    runCoroutine(Context_, send(Socket, Text));
  }
  /// Sends a text and returns what the server sends until it closes.
  std::string exchange(tcp::socket &Socket, const std::string &Text) {
    write(Socket, Text);
    return runCoroutine(Context_, read(Socket, std::string::npos));
  }

  static asio::awaitable<bool> send(tcp::socket &Socket, std::string Text) {
    std::error_code Closed;
    co_await asio::async_write(
        Socket, asio::buffer(Text),
        asio::redirect_error(asio::use_awaitable, Closed));
    co_return !Closed;
  }
  static asio::awaitable<std::string> read(tcp::socket &Socket,
                                           std::size_t Bytes) {
    std::string Received;
    std::error_code Ended;
    co_await asio::async_read(Socket, asio::dynamic_buffer(Received, Bytes),
                              asio::redirect_error(asio::use_awaitable, Ended));
    co_return Received;
  }

  asio::io_context Context_{1};
  AsioTimerService Timers_{Context_};
  std::unique_ptr<HttpServer> Server_;
  std::chrono::milliseconds HandlerTime_{0};
  int Handled_ = 0;
  std::string Refusals_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCrowdTest);

} // namespace hickory
