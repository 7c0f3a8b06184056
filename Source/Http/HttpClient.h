#pragma once

#include "Base/Error.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

struct HttpClientRequest {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::string ContentType = "application/json";
  std::chrono::milliseconds Timeout{2000};
  /// Uses a connection of its own. An HTTP client sends a request again by
  /// itself if a kept-alive connection was closed without an answer; a request
  /// that must not be received twice sets this.
  bool SendOnce = false;
  /// Sent besides Content-Type.
  std::vector<std::pair<std::string, std::string>> Headers = {};
};

struct HttpClientResponse {
  int Status = 0;
  std::string Body;
  std::chrono::milliseconds RetryAfter{0}; ///< From Retry-After; 0 if absent.
};

/// Sends HTTP requests. An interface, so that tests need no network.
class HttpClient {
public:
  virtual ~HttpClient() = default;

  /// Any complete response is a value, whatever its status. Errors: Refused
  /// and NotSent are certain to have had no effect, Timeout and Unavailable
  /// are not.
  virtual asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) = 0;
};

} // namespace hickory
