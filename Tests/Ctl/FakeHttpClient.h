#pragma once

#include "Http/HttpClient.h"

#include <functional>
#include <vector>

namespace hickory {

/// Records requests and returns the responses of a handler function.
class FakeHttpClient final : public HttpClient {
public:
  using Handler =
      std::function<Result<HttpClientResponse>(const HttpClientRequest &)>;

  explicit FakeHttpClient(Handler OnRequest)
      : OnRequest_(std::move(OnRequest)) {}

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    Requests.push_back(Request);
    co_return OnRequest_(Request);
  }

  std::vector<HttpClientRequest> Requests;

private:
  Handler OnRequest_;
};

} // namespace hickory
