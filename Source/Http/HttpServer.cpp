#include "Http/HttpServer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <cctype>
#include <fmt/format.h>
#include <glog/logging.h>
#include <map>
#include <restinio/all.hpp>

namespace hickory {

namespace {

constexpr int InternalServerError = 500;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// All handlers run on one thread, so no strands are needed.
struct ServerTraits : restinio::default_single_thread_traits_t {
  // RESTinio requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

restinio::http_status_line_t statusLine(int Status) {
  const auto Code =
      restinio::http_status_code_t(static_cast<std::uint16_t>(Status));
  switch (Status) {
  case 200:
    return restinio::status_ok();
  case 202:
    return restinio::status_accepted();
  case 400:
    return restinio::status_bad_request();
  case 401:
    return restinio::status_unauthorized();
  case 404:
    return restinio::status_not_found();
  case 410:
    return restinio::status_gone();
  case 409:
    return restinio::status_conflict();
  case 413:
    return restinio::status_payload_too_large();
  case 429:
    return restinio::status_too_many_requests();
  case 503:
    return restinio::status_service_unavailable();
  case 504:
    return restinio::status_gateway_time_out();
  default:
    return {Code, Status < 400 ? "OK" : "Error"};
  }
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(asio::io_context &Context, HttpServerOptions Options,
                 Handler OnRequest)
      : Context_(Context), Options_(std::move(Options)),
        OnRequest_(std::move(OnRequest)) {}

  void start() {
    using namespace restinio;
    Server_ = std::make_unique<http_server_t<ServerTraits>>(
        external_io_context(Context_),
        server_settings_t<ServerTraits>{}
            .address(Options_.Address)
            .port(Options_.Port)
            .concurrent_accepts_count(4)
            .max_parallel_connections(Options_.MaximumConnections)
            .read_next_http_message_timelimit(Options_.IdleTimeout)
            // Requests have timeouts of their own, which the gateway limits.
            .handle_request_timeout(std::chrono::hours(1))
            .write_http_response_timelimit(Options_.IdleTimeout)
            // With more, RESTinio reads while a request is handled, and drops
            // its response if the client has ended its side of the connection.
            .max_pipelined_requests(1)
            .incoming_http_msg_limits(
                incoming_http_msg_limits_t{}
                    .max_url_size(4096)
                    .max_field_name_size(256)
                    .max_field_value_size(Options_.MaximumHeaderBytes)
                    .max_field_count(64)
                    .max_body_size(Options_.MaximumBodyBytes))
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
              Port_ = Acceptor.local_endpoint().port();
            })
            .request_handler([this](request_handle_t Request) {
              asio::co_spawn(Context_, handle(std::move(Request)),
                             asio::detached);
              return request_accepted();
            }));
    Server_->open_sync();
    IsOpen_ = true;
  }

  void closeAfterResponse() { CloseAfterResponse_ = true; }

  void answerRemaining() {
    IsRefusing_ = true;
    CloseAfterResponse_ = true;
    // A response to a closed connection removes its entry at once.
    std::vector<std::uint64_t> Unanswered;
    for (const auto &[Number, Received] : InFlight_)
      if (Received.Handle != nullptr)
        Unanswered.push_back(Number);
    for (const std::uint64_t Number : Unanswered)
      respond(Number, InFlight_.at(Number),
              {.Status = GatewayTimeout, .Body = Options_.UnansweredBody});
  }

  void stop() {
    if (!IsOpen_)
      return;
    IsOpen_ = false;
    Server_->close_sync();
  }

  [[nodiscard]] std::uint16_t port() const { return Port_; }
  [[nodiscard]] std::size_t requestsInFlight() const {
    return InFlight_.size();
  }
  [[nodiscard]] std::uint64_t requestsReceived() const { return NextRequest_; }
  [[nodiscard]] std::optional<RequestInFlight> oldestRequest() const {
    if (InFlight_.empty())
      return std::nullopt;
    const ReceivedRequest &Oldest = InFlight_.begin()->second;
    return RequestInFlight{
        .Call = Oldest.Call,
        .Age = std::chrono::duration_cast<std::chrono::milliseconds>(
            SteadyClock::now() - Oldest.ReceivedAt)};
  }

private:
  using SteadyClock = std::chrono::steady_clock;

  struct ReceivedRequest {
    restinio::request_handle_t Handle;
    std::string Call;
    SteadyClock::time_point ReceivedAt;
  };

  /// Calls the handler. An exception is answered with 500, as the caller would
  /// otherwise wait until its timeout.
  asio::awaitable<HttpServerResponse> answer(HttpServerRequest Request) {
    const std::string Call = Request.Method + " " + Request.Path;
    try {
      co_return co_await OnRequest_(std::move(Request));
    } catch (const std::exception &Failure) {
      LOG(ERROR) << Call << " failed: " << Failure.what();
    }
    co_return HttpServerResponse{.Status = InternalServerError, .Body = "{}"};
  }

  asio::awaitable<void> handle(restinio::request_handle_t Request) {
    const std::uint64_t Number = NextRequest_++;
    HttpServerRequest Incoming{
        .Method = Request->header().method().c_str(),
        .Path = std::string(Request->header().path()),
        .Query = std::string(Request->header().query()),
        .Host = Request->header().get_field_or(restinio::http_field::host, ""),
        .Authorization = Request->header().get_field_or(
            restinio::http_field::authorization, ""),
        .Body = Request->body()};
    InFlight_[Number] = {.Handle = Request,
                         .Call = Incoming.Method + " " + Incoming.Path,
                         .ReceivedAt = SteadyClock::now()};
    if (IsRefusing_) {
      respond(Number, InFlight_.at(Number),
              {.Status = ServiceUnavailable, .Body = "{}"});
      co_return;
    }
    const HttpServerResponse Reply = co_await answer(std::move(Incoming));
    // Empty if answerRemaining() has answered the request.
    if (const auto It = InFlight_.find(Number);
        It != InFlight_.end() && It->second.Handle != nullptr)
      respond(Number, It->second, Reply);
  }

  void respond(std::uint64_t Number, ReceivedRequest &Received,
               const HttpServerResponse &Reply) {
    const auto Request = std::exchange(Received.Handle, nullptr);
    auto Response = Request->create_response(statusLine(Reply.Status));
    Response.append_header(restinio::http_field::content_type,
                           Reply.ContentType);
    if (Reply.RetryAfter)
      Response.append_header(restinio::http_field::retry_after,
                             std::to_string(Reply.RetryAfter->count()));
    if (!Reply.Challenge.empty())
      Response.append_header(restinio::http_field::www_authenticate,
                             Reply.Challenge);
    if (CloseAfterResponse_)
      Response.connection_close();
    Response.set_body(Reply.Body);
    // The response is only queued here; the request is in flight until the
    // response has been written.
    Response.done(
        [this, Number](const asio::error_code &) { InFlight_.erase(Number); });
  }

  asio::io_context &Context_;
  HttpServerOptions Options_;
  Handler OnRequest_;
  std::unique_ptr<restinio::http_server_t<ServerTraits>> Server_;
  std::uint16_t Port_ = 0;
  std::uint64_t NextRequest_ = 0;
  std::map<std::uint64_t, ReceivedRequest> InFlight_; ///< In order of arrival.
  bool IsOpen_ = false;
  bool CloseAfterResponse_ = false;
  bool IsRefusing_ = false; ///< Requests are answered without being handled.
};

HttpServer::HttpServer(asio::io_context &Context, HttpServerOptions Options,
                       Handler OnRequest)
    : Implementation_(std::make_unique<Implementation>(
          Context, std::move(Options), std::move(OnRequest))) {}
HttpServer::~HttpServer() = default;
void HttpServer::start() { Implementation_->start(); }
void HttpServer::closeAfterResponse() { Implementation_->closeAfterResponse(); }
void HttpServer::stop() { Implementation_->stop(); }
std::uint16_t HttpServer::port() const { return Implementation_->port(); }
std::size_t HttpServer::requestsInFlight() const {
  return Implementation_->requestsInFlight();
}
std::uint64_t HttpServer::requestsReceived() const {
  return Implementation_->requestsReceived();
}
void HttpServer::answerRemaining() { Implementation_->answerRemaining(); }
std::optional<RequestInFlight> HttpServer::oldestRequest() const {
  return Implementation_->oldestRequest();
}

std::string percentDecode(const std::string &Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::isxdigit(static_cast<unsigned char>(Text[I + 1])) &&
        std::isxdigit(static_cast<unsigned char>(Text[I + 2]))) {
      Decoded.push_back(
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Decoded.push_back(Text[I]);
    }
  }
  return Decoded;
}

std::string percentEncode(const std::string &Text) {
  std::string Encoded;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) || Byte == '-' || Byte == '_' || Byte == '.' ||
        Byte == '~')
      Encoded.push_back(Character);
    else
      Encoded += fmt::format("%{:02X}", Byte);
  }
  return Encoded;
}

std::string queryParameter(const std::string &Query, const std::string &Name) {
  std::size_t Begin = 0;
  while (Begin < Query.size()) {
    const std::size_t End = std::min(Query.find('&', Begin), Query.size());
    const std::string Pair = Query.substr(Begin, End - Begin);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos && Pair.substr(0, Equals) == Name)
      return percentDecode(Pair.substr(Equals + 1));
    Begin = End + 1;
  }
  return {};
}

} // namespace hickory
