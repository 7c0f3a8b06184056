#pragma once

#include "Http/DrainableServer.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickory {

struct HttpServerRequest {
  std::string Method;
  std::string Path;          ///< Without the query; not percent-decoded.
  std::string Query;         ///< Text after '?', not decoded.
  std::string Host;          ///< Host header, with the port if present.
  std::string Authorization; ///< Authorization header; empty if absent.
  std::string Body;
};

struct HttpServerResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Adds a Retry-After header if set.
  std::optional<std::chrono::seconds> RetryAfter = std::nullopt;
  /// Adds a WWW-Authenticate header unless empty; a response with status 401
  /// must have one.
  std::string Challenge = {};
};

struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 lets the system choose.
  std::size_t MaximumBodyBytes = 1 << 20;
  std::size_t MaximumHeaderBytes = 16 << 10;
  /// Memory of the bodies of all requests that are received or handled.
  std::size_t MaximumBodyBytesInProgress = 64 << 20;
  std::size_t MaximumConnections = 1024;
  /// Time for the headers, from the first byte of the request.
  std::chrono::milliseconds HeaderTimeout{10000};
  /// Time for the whole request, from its first byte.
  std::chrono::milliseconds RequestTimeout{60000};
  /// Time without a request, and time for the client to take a response.
  std::chrono::seconds IdleTimeout{60};
  /// Time for the client to take a part of a response.
  std::chrono::milliseconds WriteTimeout{10000};
  /// Bytes that the kernel receives ahead on a connection; 0 leaves it to the
  /// system. The kernel uses twice as much memory.
  int ReceiveBufferBytes = 0;
  /// Called with the reason when a request is refused because of a limit.
  std::function<void(const char *Reason)> OnRefused = {};
  /// Body of the responses of answerRemaining().
  std::string UnansweredBody = "{}";
};

/// Limits of the process that a server must keep; 0 is not known.
struct ProcessLimits {
  std::uint64_t MemoryBytes = 0;
  std::uint64_t Descriptors = 0;
};

/// Parts of the limits of the process that a server may use. The descriptors
/// are those left for connections.
struct ServerShares {
  double BodyMemory = 0;
  /// 0 if memory does not limit the connections.
  double ConnectionMemory = 0;
  double Descriptors = 0;
};

/// Derives the limits of a server. Limits that are not known leave the options
/// as they are. See docs/design/request-limits.md.
HttpServerOptions limitedOptions(HttpServerOptions Options,
                                 ProcessLimits Limits, ServerShares Shares);

/// HTTP server on http_parser. It runs on the given Asio context, which has one
/// thread, and handles each request in a coroutine of its own.
class HttpServer final : public DrainableServer {
public:
  using Handler =
      std::function<asio::awaitable<HttpServerResponse>(HttpServerRequest)>;

  HttpServer(asio::io_context &Context, HttpServerOptions Options,
             Handler OnRequest);
  ~HttpServer() override;

  /// Binds and listens; throws std::system_error if the address is in use.
  void start();
  void closeAfterResponse() override;
  void stop() override;
  void answerRemaining() override;
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t openConnections() const;
  /// Memory of the bodies of requests that are received or handled.
  [[nodiscard]] std::size_t bodyBytesInProgress() const;
  [[nodiscard]] std::size_t requestsInFlight() const override;
  [[nodiscard]] std::uint64_t requestsReceived() const override;
  [[nodiscard]] std::optional<RequestInFlight> oldestRequest() const override;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

/// Returns the percent-decoded value of a query parameter; empty if absent.
std::string queryParameter(const std::string &Query, const std::string &Name);

/// Decodes the percent-encoded characters of Text; leaves malformed ones.
std::string percentDecode(const std::string &Text);
/// Percent-encodes a path segment.
std::string percentEncode(const std::string &Text);

} // namespace hickory
