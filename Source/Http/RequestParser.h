#pragma once

#include "Http/HttpServer.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hickory {

/// Sizes that one request may have.
struct RequestSizeLimits {
  std::size_t UrlBytes = 4096;
  std::size_t HeaderBytes = 16 << 10; ///< Without the request line.
  std::size_t BodyBytes = 1 << 20;
};

/// Why a request can't be served.
struct RequestFailure {
  int Status = 400; ///< Of the response.
  const char *Reason = "malformed";
};

/// Reads one request from the bytes of a connection.
class RequestParser {
public:
  /// Called before the memory of the body grows by the given bytes. Returns
  /// false if there is no room for them.
  using BodyReserver = std::function<bool(std::size_t)>;

  RequestParser(RequestSizeLimits Limits, BodyReserver ReserveBody);
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  /// Prepares for the next request.
  void reset();
  /// Returns the number of bytes that belong to this request. The other ones
  /// belong to the next.
  std::size_t parse(std::string_view Bytes);

  /// The first byte of the request has been read.
  [[nodiscard]] bool hasBegun() const { return HasBegun_; }
  [[nodiscard]] bool hasHeaders() const { return HasHeaders_; }
  [[nodiscard]] bool isComplete() const { return IsComplete_; }
  [[nodiscard]] const std::optional<RequestFailure> &failure() const {
    return Failure_;
  }
  /// True once if the client waits for a 100 before it sends the body.
  [[nodiscard]] bool takeExpectation() {
    return std::exchange(ExpectsContinue_, false);
  }
  /// The client keeps the connection open after this request.
  [[nodiscard]] bool keepsAlive() const { return KeepsAlive_; }
  [[nodiscard]] HttpServerRequest takeRequest();

private:
  static RequestParser &self(http_parser *Parser);
  static const http_parser_settings &callbacks();
  int fail(int Status, const char *Reason);
  [[nodiscard]] std::size_t wireLimit() const;
  int onUrl(std::string_view Part);
  int onHeaderName(std::string_view Part);
  int onHeaderValue(std::string_view Part);
  int onHeadersComplete();
  int onChunkHeader();
  int onBody(std::string_view Part);
  int onComplete();

  RequestSizeLimits Limits_;
  BodyReserver ReserveBody_;
  http_parser Parser_{};
  HttpServerRequest Request_;
  std::string Url_;
  std::string HeaderName_; ///< As received; cut off if it is long.
  std::string Expectation_;
  std::string *HeaderValue_ = nullptr; ///< Null if the value isn't kept.
  std::size_t HeaderBytes_ = 0;
  std::uint64_t AnnouncedBytes_ = 0; ///< 0 if the body has no length.
  std::size_t WireBytes_ = 0;        ///< Of the whole request.
  std::optional<RequestFailure> Failure_;
  bool IsInValue_ = false;
  bool HasBegun_ = false;
  bool HasHeaders_ = false;
  bool IsComplete_ = false;
  bool KeepsAlive_ = false;
  bool ExpectsContinue_ = false;
};

} // namespace hickory
