#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Http/HttpClient.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Delivers requests to handler functions by address, over a simulated network
/// with the delays and losses that the test chooses. Uses the test's clock.
class FakeHttpClient final : public HttpClient {
public:
  /// Handles one request and returns the reply at once.
  using RequestHandler =
      std::function<HttpClientResponse(const HttpClientRequest &)>;

  /// Handles one request in a coroutine.
  using AsyncRequestHandler =
      std::function<asio::awaitable<HttpClientResponse>(HttpClientRequest)>;

  /// Delays and losses of one request and its reply.
  struct MessageFault {
    std::chrono::milliseconds RequestDelay{0};
    std::chrono::milliseconds ReplyDelay{0};
    /// The request is not handled; the sender gets a timeout.
    bool LoseRequest = false;
    /// The request is handled; the sender gets a timeout.
    bool LoseReply = false;
    /// The request is handled, then the connection is reset. A request that may
    /// be resent is sent again at once, as HTTP libraries do when a kept-alive
    /// connection is reset.
    bool Reset = false;
  };

  explicit FakeHttpClient(TimerService &Timers) : Timers_(Timers) {}

  void serve(const std::string &Address, RequestHandler Handler) {
    serveAsync(Address,
               [Handler = std::move(Handler)](HttpClientRequest Request)
                   -> asio::awaitable<HttpClientResponse> {
                 co_return Handler(Request);
               });
  }
  /// Like serve(), but the handler is a coroutine and can take time.
  void serveAsync(const std::string &Address, AsyncRequestHandler Handler) {
    Handlers_[Address] =
        std::make_shared<AsyncRequestHandler>(std::move(Handler));
  }
  /// Removes the handler of the address, so that connections are refused.
  void refuseConnections(const std::string &Address) {
    Handlers_.erase(Address);
  }

  /// Chooses the fault of each request; no faults if unset.
  std::function<MessageFault(const HttpClientRequest &)> ChooseFault;
  std::vector<HttpClientRequest> SentRequests;

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    SentRequests.push_back(Request);
    const MessageFault Fault =
        ChooseFault ? ChooseFault(Request) : MessageFault{};
    const auto Deadline = Timers_.now() + Request.Timeout;
    const std::string Address = addressOf(Request.Url);
    if (!Handlers_.contains(Address))
      co_return fail(ErrorCode::ConnectionRefused,
                     "connection refused by " + Address);
    if (Fault.LoseRequest) {
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    const auto Executor = co_await asio::this_coro::executor;
    if (Fault.RequestDelay >= Request.Timeout) {
      // The request arrives after the sender's timeout.
      DelayedDeliveries_.push_back(
          Timers_.after(Fault.RequestDelay, [this, Address, Request, Executor] {
            const auto It = Handlers_.find(Address);
            if (It != Handlers_.end())
              asio::co_spawn(Executor, handle(It->second, Request, nullptr),
                             asio::detached);
          }));
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Fault.RequestDelay.count() > 0)
      co_await Timers_.sleepFor(Fault.RequestDelay);
    const auto It = Handlers_.find(Address);
    if (It == Handlers_.end())
      co_return fail(ErrorCode::Unavailable, "connection reset");
    // The handler keeps running after the sender's timeout.
    auto Call = std::make_shared<PendingCall>(Executor);
    asio::co_spawn(Executor, handle(It->second, Request, Call), asio::detached);
    while (!Call->Reply && Timers_.now() < Deadline) {
      Subscription DeadlineTimer = Timers_.after(
          Deadline - Timers_.now(), [Call] { Call->Replied.notify(); });
      co_await Call->Replied.wait();
    }
    if (Call->Reply && Fault.Reset) {
      if (!Request.MayResend)
        co_return fail(ErrorCode::Unavailable, "connection reset");
      co_return co_await send(std::move(Request));
    }
    if (!Call->Reply || Fault.LoseReply ||
        Timers_.now() + Fault.ReplyDelay >= Deadline) {
      if (Timers_.now() < Deadline)
        co_await Timers_.sleepFor(Deadline - Timers_.now());
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Fault.ReplyDelay.count() > 0)
      co_await Timers_.sleepFor(Fault.ReplyDelay);
    co_return std::move(*Call->Reply);
  }

  /// The "ip:port" of a URL.
  static std::string addressOf(const std::string &Url) {
    const std::size_t Begin = Url.find("//") + 2;
    return Url.substr(Begin, Url.find('/', Begin) - Begin);
  }
  /// The path of a URL.
  static std::string pathOf(const std::string &Url) {
    return Url.substr(Url.find('/', Url.find("//") + 2));
  }

private:
  struct PendingCall {
    explicit PendingCall(const asio::any_io_executor &Executor)
        : Replied(Executor) {}
    std::optional<HttpClientResponse> Reply;
    Notifier Replied;
  };

  static asio::awaitable<void>
  handle(std::shared_ptr<AsyncRequestHandler> Handler,
         HttpClientRequest Request, std::shared_ptr<PendingCall> Call) {
    auto Reply = co_await (*Handler)(std::move(Request));
    if (Call) {
      Call->Reply = std::move(Reply);
      Call->Replied.notify();
    }
  }

  TimerService &Timers_;
  /// Shared, so that a handler stays alive while it handles a request, even
  /// after refuseConnections().
  std::map<std::string, std::shared_ptr<AsyncRequestHandler>> Handlers_;
  std::vector<Subscription> DelayedDeliveries_;
};

} // namespace hickory
