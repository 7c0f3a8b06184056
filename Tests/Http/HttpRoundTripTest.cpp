#include "Base/AsioTimerService.h"
#include "Http/CurlHttpClient.h"
#include "Http/HttpServer.h"
#include "Support/RunCoroutine.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

class HttpRoundTripTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpRoundTripTest);
  CPPUNIT_TEST(concurrentRequestsGetTheirOwnResponses);
  CPPUNIT_TEST(refusedConnectionIsReported);
  CPPUNIT_TEST(exceptionInAHandlerIsAnswered);
  CPPUNIT_TEST(answeringTheRemainingRequestsRefusesLaterOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against responses that are delivered to the wrong request on shared
  // connections.
  void concurrentRequestsGetTheirOwnResponses() {
    asio::io_context Context;
    HttpServer Server(
        Context, {},
        [](HttpServerRequest Request) -> asio::awaitable<HttpServerResponse> {
          co_return HttpServerResponse{.Body = Request.Body + Request.Path};
        });
    Server.start();
    CurlHttpClient Client(Context);
    constexpr int Requests = 200;
    int Correct = 0;
    int Finished = 0;
    for (int I = 0; I < Requests; ++I)
      asio::co_spawn(
          Context,
          [&, I]() -> asio::awaitable<void> {
            const std::string Path = "/echo/" + std::to_string(I);
            HttpClientRequest Request{
                .Method = "POST",
                .Url =
                    "http://127.0.0.1:" + std::to_string(Server.port()) + Path,
                .Body = "body",
                .Timeout = std::chrono::seconds(60)};
            auto Response = co_await Client.send(std::move(Request));
            if (Response && Response->Body == "body" + Path)
              ++Correct;
            if (++Finished == Requests)
              Context.stop();
          },
          asio::detached);
    Context.run();
    CPPUNIT_ASSERT_EQUAL(Requests, Correct);
  }

  // Guards against reporting a stopped process like a slow one.
  void refusedConnectionIsReported() {
    asio::io_context Context;
    CurlHttpClient Client(Context);
    ErrorCode Code = ErrorCode::Internal;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          // Port 1 on loopback has no listener.
          HttpClientRequest Request{.Url = "http://127.0.0.1:1/"};
          auto Response = co_await Client.send(std::move(Request));
          if (!Response)
            Code = Response.error().Code;
          Context.stop();
        },
        asio::detached);
    Context.run();
    CPPUNIT_ASSERT(Code == ErrorCode::ConnectionRefused);
  }

  // Guards against a request that reaches a stopping process after its limit
  // and is cut off, and against a second response to one that was answered
  // there.
  void answeringTheRemainingRequestsRefusesLaterOnes() {
    asio::io_context Context;
    AsioTimerService Timers(Context);
    int Handled = 0;
    HttpServer Server(
        Context, {},
        [&](HttpServerRequest) -> asio::awaitable<HttpServerResponse> {
          ++Handled;
          co_await Timers.sleepFor(std::chrono::milliseconds(200));
          co_return HttpServerResponse{};
        });
    Server.start();
    CurlHttpClient Client(Context);
    std::vector<int> Statuses;
    const auto Send = [&]() -> asio::awaitable<void> {
      HttpClientRequest Request{
          .Url = "http://127.0.0.1:" + std::to_string(Server.port()) + "/"};
      const auto Response = co_await Client.send(std::move(Request));
      Statuses.push_back(Response ? Response->Status : 0);
    };
    const auto Run = [&]() -> asio::awaitable<int> {
      asio::co_spawn(Context, Send(), asio::detached);
      while (Handled == 0)
        co_await Timers.sleepFor(std::chrono::milliseconds(5));
      Server.answerRemaining();
      co_await Send();
      co_await Timers.sleepFor(std::chrono::milliseconds(400));
      co_return 0;
    };
    runCoroutine(Context, Run());
    CPPUNIT_ASSERT_EQUAL(1, Handled);
    CPPUNIT_ASSERT((std::vector<int>{504, 503}) == Statuses);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Server.requestsInFlight());
  }

  // Guards against a request without a response, and against a request that is
  // counted as in flight forever.
  void exceptionInAHandlerIsAnswered() {
    asio::io_context Context;
    HttpServer Server(
        Context, {},
        [](HttpServerRequest) -> asio::awaitable<HttpServerResponse> {
          throw std::runtime_error("unexpected");
          co_return HttpServerResponse{};
        });
    Server.start();
    CurlHttpClient Client(Context);
    int Status = 0;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          HttpClientRequest Request{
              .Url = "http://127.0.0.1:" + std::to_string(Server.port()) + "/",
              .Timeout = std::chrono::seconds(20)};
          const auto Response = co_await Client.send(std::move(Request));
          Status = Response ? Response->Status : 0;
          Context.stop();
        },
        asio::detached);
    Context.run();
    CPPUNIT_ASSERT_EQUAL(500, Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpRoundTripTest);

} // namespace hickory
