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

/// Delivers requests to functions by address, over a network that the test can
/// make slow or lossy. Time is the test's.
class FakeHttpClient final : public HttpClient {
public:
  /// Handles one request at the receiver.
  using RequestHandler =
      std::function<HttpClientResponse(const HttpClientRequest &)>;

  using AsyncRequestHandler =
      std::function<asio::awaitable<HttpClientResponse>(HttpClientRequest)>;

  /// What happens to one message.
  struct MessageFault {
    std::chrono::milliseconds RequestDelay{0};
    std::chrono::milliseconds ReplyDelay{0};
    bool LoseRequest = false; ///< The sender learns nothing until its timeout.
    bool LoseReply = false;   ///< Handled, then as above.
    /// Handled, then the connection is reset. A request that may be resent is
    /// sent again at once, as by a library on a kept-alive connection.
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
  /// Like serve, for receivers that take time.
  void serveAsync(const std::string &Address, AsyncRequestHandler Handler) {
    Servers_[Address] =
        std::make_shared<AsyncRequestHandler>(std::move(Handler));
  }
  /// Connections to the address are refused from now on.
  void refuseConnections(const std::string &Address) {
    Servers_.erase(Address);
  }

  /// Asked for the fate of each message.
  std::function<MessageFault(const HttpClientRequest &)> ChooseFault;
  std::vector<HttpClientRequest> SentRequests;

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    SentRequests.push_back(Request);
    const MessageFault Chosen =
        ChooseFault ? ChooseFault(Request) : MessageFault{};
    const auto Deadline = Timers_.now() + Request.Timeout;
    const std::string Address = addressOf(Request.Url);
    if (!Servers_.contains(Address))
      co_return fail(ErrorCode::ConnectionRefused,
                     "connection refused by " + Address);
    if (Chosen.LoseRequest) {
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    const auto Executor = co_await asio::this_coro::executor;
    if (Chosen.RequestDelay >= Request.Timeout) {
      // Arrives after the sender gave up.
      DelayedDeliveries_.push_back(Timers_.after(
          Chosen.RequestDelay, [this, Address, Request, Executor] {
            const auto It = Servers_.find(Address);
            if (It != Servers_.end())
              asio::co_spawn(Executor, handle(It->second, Request, nullptr),
                             asio::detached);
          }));
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Chosen.RequestDelay.count() > 0)
      co_await Timers_.sleepFor(Chosen.RequestDelay);
    const auto It = Servers_.find(Address);
    if (It == Servers_.end())
      co_return fail(ErrorCode::Unavailable, "connection reset");
    // The receiver goes on after the sender's timeout.
    auto Done = std::make_shared<Pending>(Executor);
    asio::co_spawn(Executor, handle(It->second, Request, Done), asio::detached);
    while (!Done->Reply && Timers_.now() < Deadline) {
      Subscription Limit = Timers_.after(Deadline - Timers_.now(),
                                         [Done] { Done->Ready.notify(); });
      co_await Done->Ready.wait();
    }
    if (Done->Reply && Chosen.Reset) {
      if (!Request.MayResend)
        co_return fail(ErrorCode::Unavailable, "connection reset");
      co_return co_await send(std::move(Request));
    }
    if (!Done->Reply || Chosen.LoseReply ||
        Timers_.now() + Chosen.ReplyDelay >= Deadline) {
      if (Timers_.now() < Deadline)
        co_await Timers_.sleepFor(Deadline - Timers_.now());
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Chosen.ReplyDelay.count() > 0)
      co_await Timers_.sleepFor(Chosen.ReplyDelay);
    co_return std::move(*Done->Reply);
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
  struct Pending {
    explicit Pending(const asio::any_io_executor &Executor) : Ready(Executor) {}
    std::optional<HttpClientResponse> Reply;
    Notifier Ready;
  };

  static asio::awaitable<void>
  handle(std::shared_ptr<AsyncRequestHandler> Receiver,
         HttpClientRequest Request, std::shared_ptr<Pending> Done) {
    auto Reply = co_await (*Receiver)(std::move(Request));
    if (Done) {
      Done->Reply = std::move(Reply);
      Done->Ready.notify();
    }
  }

  TimerService &Timers_;
  /// Shared, so that a request in progress may outlast its server.
  std::map<std::string, std::shared_ptr<AsyncRequestHandler>> Servers_;
  std::vector<Subscription> DelayedDeliveries_;
};

} // namespace hickory
