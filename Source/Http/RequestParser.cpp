#include "Http/RequestParser.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace hickory {

namespace {

constexpr int BadRequest = 400;
constexpr int PayloadTooLarge = 413;
constexpr int UriTooLong = 414;
constexpr int HeaderFieldsTooLarge = 431;
constexpr int ServiceUnavailable = 503;
/// Bytes on the wire for each byte of the longest body. A chunk of one byte
/// takes 6; the rest is for sizes with leading zeros.
constexpr std::size_t WireFactor = 8;
constexpr std::size_t WireMargin = 64 << 10;
/// Names longer than this are none that the server knows.
constexpr std::size_t LongestKnownName = 32;

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

} // namespace

RequestParser::RequestParser(RequestSizeLimits Limits, BodyReserver ReserveBody)
    : Limits_(Limits), ReserveBody_(std::move(ReserveBody)) {
  reset();
}

void RequestParser::reset() {
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
  // An assignment from an empty string keeps the memory.
  HttpServerRequest Empty;
  std::swap(Request_, Empty);
  Url_.clear();
  HeaderName_.clear();
  Expectation_.clear();
  HeaderValue_ = nullptr;
  HeaderBytes_ = 0;
  AnnouncedBytes_ = 0;
  WireBytes_ = 0;
  Failure_.reset();
  IsInValue_ = false;
  HasBegun_ = false;
  HasHeaders_ = false;
  IsComplete_ = false;
  KeepsAlive_ = false;
  ExpectsContinue_ = false;
}

RequestParser &RequestParser::self(http_parser *Parser) {
  return *static_cast<RequestParser *>(Parser->data);
}

const http_parser_settings &RequestParser::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_message_begin = [](http_parser *P) {
      self(P).HasBegun_ = true;
      return 0;
    };
    Made.on_url = [](http_parser *P, const char *At, std::size_t Size) {
      return self(P).onUrl({At, Size});
    };
    Made.on_header_field = [](http_parser *P, const char *At,
                              std::size_t Size) {
      return self(P).onHeaderName({At, Size});
    };
    Made.on_header_value = [](http_parser *P, const char *At,
                              std::size_t Size) {
      return self(P).onHeaderValue({At, Size});
    };
    Made.on_headers_complete = [](http_parser *P) {
      return self(P).onHeadersComplete();
    };
    Made.on_chunk_header = [](http_parser *P) {
      return self(P).onChunkHeader();
    };
    Made.on_body = [](http_parser *P, const char *At, std::size_t Size) {
      return self(P).onBody({At, Size});
    };
    Made.on_message_complete = [](http_parser *P) {
      return self(P).onComplete();
    };
    return Made;
  }();
  return Callbacks;
}

std::size_t RequestParser::parse(std::string_view Bytes) {
  const std::size_t Used =
      http_parser_execute(&Parser_, &callbacks(), Bytes.data(), Bytes.size());
  WireBytes_ += Used;
  if (IsComplete_ || Failure_)
    return Used;
  const http_errno Error = HTTP_PARSER_ERRNO(&Parser_);
  // The parser limits the line before a chunk as it does the headers.
  const bool IsLineTooLong = Error == HPE_HEADER_OVERFLOW;
  if (IsLineTooLong && !HasHeaders_)
    fail(HeaderFieldsTooLarge, "headers");
  else if (IsLineTooLong || (Error == HPE_OK && WireBytes_ > wireLimit()))
    fail(PayloadTooLarge, "chunks");
  else if (Error != HPE_OK)
    fail(BadRequest, "malformed");
  return Used;
}

std::size_t RequestParser::wireLimit() const {
  return WireMargin + Limits_.UrlBytes + Limits_.HeaderBytes +
         WireFactor * Limits_.BodyBytes;
}

HttpServerRequest RequestParser::takeRequest() {
  const std::string_view Url = Url_;
  const std::size_t Query = Url.find('?');
  Request_.Method = http_method_str(static_cast<http_method>(Parser_.method));
  Request_.Path = Url.substr(0, Query);
  if (Query != std::string_view::npos)
    Request_.Query = Url.substr(Query + 1, Url.find('#', Query) - Query - 1);
  return std::exchange(Request_, {});
}

int RequestParser::fail(int Status, const char *Reason) {
  Failure_ = {.Status = Status, .Reason = Reason};
  return -1;
}

int RequestParser::onUrl(std::string_view Part) {
  if (Part.size() > Limits_.UrlBytes - Url_.size())
    return fail(UriTooLong, "url");
  Url_ += Part;
  return 0;
}

int RequestParser::onHeaderName(std::string_view Part) {
  if (IsInValue_)
    HeaderName_.clear();
  IsInValue_ = false;
  HeaderBytes_ += Part.size();
  if (HeaderBytes_ > Limits_.HeaderBytes)
    return fail(HeaderFieldsTooLarge, "headers");
  if (HeaderName_.size() <= LongestKnownName)
    HeaderName_ += Part;
  return 0;
}

int RequestParser::onHeaderValue(std::string_view Part) {
  constexpr std::size_t SeparatorBytes = 4; // ": " and the end of the line
  if (!IsInValue_) {
    IsInValue_ = true;
    HeaderBytes_ += SeparatorBytes;
    const std::string Name = lowerCase(std::exchange(HeaderName_, {}));
    HeaderValue_ = Name == "host"            ? &Request_.Host
                   : Name == "authorization" ? &Request_.Authorization
                   : Name == "expect"        ? &Expectation_
                                             : nullptr;
    // The first of several counts; fields after the body do not.
    if (HeaderValue_ != nullptr && (!HeaderValue_->empty() || HasHeaders_))
      HeaderValue_ = nullptr;
  }
  HeaderBytes_ += Part.size();
  if (HeaderBytes_ > Limits_.HeaderBytes)
    return fail(HeaderFieldsTooLarge, "headers");
  if (HeaderValue_ != nullptr)
    *HeaderValue_ += Part;
  return 0;
}

int RequestParser::onHeadersComplete() {
  HasHeaders_ = true;
  const bool HasLength =
      Parser_.content_length != std::numeric_limits<std::uint64_t>::max();
  if (HasLength && Parser_.content_length > Limits_.BodyBytes)
    return fail(PayloadTooLarge, "body");
  AnnouncedBytes_ = HasLength ? Parser_.content_length : 0;
  ExpectsContinue_ = lowerCase(Expectation_) == "100-continue";
  return 0;
}

int RequestParser::onChunkHeader() {
  return Parser_.content_length > Limits_.BodyBytes - Request_.Body.size()
             ? fail(PayloadTooLarge, "body")
             : 0;
}

int RequestParser::onBody(std::string_view Part) {
  if (Part.size() > Limits_.BodyBytes - Request_.Body.size())
    return fail(PayloadTooLarge, "body");
  std::string &Body = Request_.Body;
  const std::size_t Needed = Body.size() + Part.size();
  if (Needed > Body.capacity()) {
    const std::size_t Grown = std::max(
        Needed, std::min<std::size_t>(2 * Body.capacity(),
                                      AnnouncedBytes_ > 0 ? AnnouncedBytes_
                                                          : Limits_.BodyBytes));
    if (!ReserveBody_(Grown - Body.capacity()))
      return fail(ServiceUnavailable, "memory");
    Body.reserve(Grown);
  }
  Body += Part;
  return 0;
}

int RequestParser::onComplete() {
  IsComplete_ = true;
  KeepsAlive_ = http_should_keep_alive(&Parser_) != 0;
  // Leaves the bytes of the next request to the caller.
  http_parser_pause(&Parser_, 1);
  return 0;
}

} // namespace hickory
