#pragma once

#include "Base/TimerService.h"
#include "Http/HttpClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Delivers requests to functions by address, over a network that the test can
/// make slow or lossy. Time is the test's.
class FakeHttpClient final : public HttpClient {
public:
  /// Handles one request at the receiver.
  using Server = std::function<HttpClientResponse(const HttpClientRequest &)>;

  /// What happens to one message.
  struct Fate {
    std::chrono::milliseconds RequestDelay{0};
    std::chrono::milliseconds ReplyDelay{0};
    bool LoseRequest = false; ///< The sender learns nothing until its timeout.
    bool LoseReply = false;   ///< Handled, then as above.
  };

  explicit FakeHttpClient(TimerService &Timers) : Timers_(Timers) {}

  void serve(const std::string &Address, Server Handler) {
    Servers_[Address] = std::move(Handler);
  }
  /// Connections to the address are refused from now on.
  void refuse(const std::string &Address) { Servers_.erase(Address); }

  /// Asked for the fate of each message.
  std::function<Fate(const HttpClientRequest &)> ChooseFate;
  std::vector<HttpClientRequest> Sent;

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    Sent.push_back(Request);
    const Fate Chosen = ChooseFate ? ChooseFate(Request) : Fate{};
    const auto Deadline = Timers_.now() + Request.Timeout;
    const std::string Address = addressOf(Request.Url);
    if (!Servers_.contains(Address))
      co_return fail(ErrorCode::Refused, "connection refused by " + Address);
    if (Chosen.LoseRequest) {
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Chosen.RequestDelay >= Request.Timeout) {
      // Arrives after the sender gave up.
      Late_.push_back(
          Timers_.after(Chosen.RequestDelay, [this, Address, Request] {
            const auto It = Servers_.find(Address);
            if (It != Servers_.end())
              It->second(Request);
          }));
      co_await Timers_.sleepFor(Request.Timeout);
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Chosen.RequestDelay.count() > 0)
      co_await Timers_.sleepFor(Chosen.RequestDelay);
    const auto It = Servers_.find(Address);
    if (It == Servers_.end())
      co_return fail(ErrorCode::Unavailable, "connection reset");
    const HttpClientResponse Reply = It->second(Request);
    if (Chosen.LoseReply || Timers_.now() + Chosen.ReplyDelay >= Deadline) {
      co_await Timers_.sleepFor(Deadline - Timers_.now());
      co_return fail(ErrorCode::Timeout, "no answer");
    }
    if (Chosen.ReplyDelay.count() > 0)
      co_await Timers_.sleepFor(Chosen.ReplyDelay);
    co_return Reply;
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
  TimerService &Timers_;
  std::map<std::string, Server> Servers_;
  std::vector<Subscription> Late_;
};

} // namespace hickory
