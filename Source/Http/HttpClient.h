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
  /// The client may send the request again by itself if a kept-alive connection
  /// closes without an answer. The answer is then that to the last copy and
  /// says nothing of an earlier one: a refusal is no proof that nothing was
  /// done. Only for calls that change nothing, or whose answer is read in the
  /// same way whether or not an earlier copy was carried out.
  bool MayResend = false;
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
  /// are not. Unless MayResend is set, the request is received at most once.
  virtual asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) = 0;
};

} // namespace hickory
