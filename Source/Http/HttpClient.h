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
  /// Limit on the time without a byte of the response, before the first one and
  /// between two; 0: only Timeout holds. It tells a server that is silent from
  /// a transfer that is slow.
  std::chrono::milliseconds IdleTimeout{0};
  /// Allows the client to resend the request by itself if a kept-alive
  /// connection closes without a response. The response then belongs to the
  /// last copy only: an error does not prove that an earlier copy had no
  /// effect. Set it only for calls that change nothing, or whose response is
  /// handled in the same way whether or not an earlier copy was executed.
  bool MayResend = false;
  /// Additional headers, besides Content-Type.
  std::vector<std::pair<std::string, std::string>> Headers = {};
};

struct HttpClientResponse {
  int Status = 0;
  std::string Body;
  /// Value of Retry-After; 0 if the header is absent or a date.
  std::chrono::milliseconds RetryAfter{0};
};

/// Interface for sending HTTP requests, so that tests need no network.
class HttpClient {
public:
  virtual ~HttpClient() = default;

  /// Any complete response is a value, whatever its status. The errors
  /// ConnectionRefused and NotSent mean that the request certainly had no
  /// effect; after Timeout and Unavailable it may have had one. Unless
  /// MayResend is set, the request is received at most once.
  virtual asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) = 0;
};

} // namespace hickory
