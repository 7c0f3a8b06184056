#include "Http/HttpServer.h"

#include "Http/RequestParser.h"

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <fmt/format.h>
#include <glog/logging.h>
#include <http_parser.h>
#include <list>
#include <map>

namespace hickory {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr int InternalServerError = 500;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/// Bytes that are read from a connection at a time.
constexpr std::size_t ReadBytes = 16 << 10;
/// Time for which a closing connection reads what the client still sends. A
/// connection that is closed with unread bytes is reset, and the client may
/// lose the response.
constexpr std::chrono::milliseconds LingerTime = 1s;
/// Time after which accepting goes on after an error, as when the process has
/// no descriptor left.
constexpr std::chrono::milliseconds AcceptPause = 100ms;

/// Completes with a value of its own, so that no call throws.
auto resume(std::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

std::string responseHead(const HttpServerResponse &Reply, bool Closes) {
  std::string Head = fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: {}\r\nContent-Length: {}\r\n"
      "Content-Type: {}\r\n",
      Reply.Status, http_status_str(static_cast<http_status>(Reply.Status)),
      Closes ? "close" : "keep-alive", Reply.Body.size(), Reply.ContentType);
  if (Reply.RetryAfter)
    Head += fmt::format("Retry-After: {}\r\n", Reply.RetryAfter->count());
  if (!Reply.Challenge.empty())
    Head += fmt::format("WWW-Authenticate: {}\r\n", Reply.Challenge);
  return Head + "\r\n";
}

/// A connection of a client. Its requests are handled one after the other.
struct Connection {
  Connection(tcp::socket Accepted, RequestSizeLimits Limits)
      : Socket(std::move(Accepted)), Timer(Socket.get_executor()),
        Answered(Socket.get_executor()), Parser(Limits) {}

  /// Closes the socket after Limit, which ends what waits for it.
  static void limitTime(const std::shared_ptr<Connection> &Self,
                        std::chrono::milliseconds Limit) {
    Self->Timer.expires_after(Limit);
    Self->Timer.async_wait([Weak = std::weak_ptr(Self)](std::error_code Error) {
      const auto Locked = Weak.lock();
      // A timer that was set anew may still deliver its earlier end.
      if (!Error && Locked != nullptr &&
          Locked->Timer.expiry() <= asio::steady_timer::clock_type::now())
        Locked->close();
    });
  }

  void close() {
    std::error_code Ignored;
    Timer.cancel();
    Socket.close(Ignored);
  }

  /// More has been received than the request that is answered.
  [[nodiscard]] bool hasUnreadRequest() {
    // The parser skips the end of a line before a request.
    Unparsed.erase(
        0, std::min(Unparsed.find_first_not_of("\r\n"), Unparsed.size()));
    std::error_code Error;
    return !Unparsed.empty() || (Socket.available(Error) > 0 && !Error);
  }

  tcp::socket Socket;
  asio::steady_timer Timer;    ///< Ends the present phase of the connection.
  asio::steady_timer Answered; ///< Cancelled when Reply is set.
  RequestParser Parser;
  std::string Unparsed; ///< Bytes after the latest request.
  std::optional<HttpServerResponse> Reply;
};

using ConnectionHandle = std::shared_ptr<Connection>;

} // namespace

class HttpServer::Implementation
    : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
  Implementation(asio::io_context &Context, HttpServerOptions Options,
                 Handler OnRequest)
      : Context_(Context), Options_(std::move(Options)),
        OnRequest_(std::move(OnRequest)), Acceptor_(Context),
        AcceptTimer_(Context) {}

  void start() {
    const tcp::endpoint Local(asio::ip::make_address(Options_.Address),
                              Options_.Port);
    Acceptor_.open(Local.protocol());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(Local);
    Acceptor_.listen();
    Port_ = Acceptor_.local_endpoint().port();
    asio::co_spawn(Context_, accept(shared_from_this()), asio::detached);
  }

  void closeAfterResponse() { CloseAfterResponse_ = true; }

  void answerRemaining() {
    IsRefusing_ = true;
    CloseAfterResponse_ = true;
    for (auto &[Number, Received] : InFlight_)
      respond(Number,
              {.Status = GatewayTimeout, .Body = Options_.UnansweredBody});
  }

  void stop() {
    std::error_code Ignored;
    Acceptor_.close(Ignored);
    AcceptTimer_.cancel();
  }

  /// Ends all connections. Responses of handlers that go on are dropped.
  void abandon() {
    stop();
    for (const ConnectionHandle &Client : Connections_)
      Client->close();
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
  /// Keeps the server alive in coroutines that outlive HttpServer.
  using Self = std::shared_ptr<Implementation>;

  struct ReceivedRequest {
    ConnectionHandle Client;
    std::string Call;
    SteadyClock::time_point ReceivedAt;
  };

  asio::awaitable<void> accept(Self /*Keep*/) {
    while (Acceptor_.is_open()) {
      std::error_code Error;
      tcp::socket Accepted = co_await Acceptor_.async_accept(resume(Error));
      if (!Acceptor_.is_open())
        break;
      if (Error) {
        AcceptTimer_.expires_after(AcceptPause);
        co_await AcceptTimer_.async_wait(resume(Error));
      } else if (Connections_.size() < Options_.MaximumConnections) {
        asio::co_spawn(Context_, serve(shared_from_this(), std::move(Accepted)),
                       asio::detached);
      }
    }
  }

  asio::awaitable<void> serve(Self /*Keep*/, tcp::socket Accepted) {
    std::error_code Ignored;
    Accepted.non_blocking(true, Ignored);
    const auto Client = std::make_shared<Connection>(
        std::move(Accepted),
        RequestSizeLimits{.HeaderBytes = Options_.MaximumHeaderBytes,
                          .BodyBytes = Options_.MaximumBodyBytes});
    const auto Entry = Connections_.insert(Connections_.end(), Client);
    // Not one condition: g++ 12 awaits the second call although the first has
    // returned false.
    bool IsOpen = true;
    while (IsOpen) {
      IsOpen = co_await receiveRequest(Client);
      if (IsOpen)
        IsOpen = co_await answerRequest(Client);
    }
    Client->close();
    Connections_.erase(Entry);
  }

  /// Returns false if there is none to be answered.
  asio::awaitable<bool> receiveRequest(ConnectionHandle Client) {
    Client->Parser.reset();
    Connection::limitTime(Client, Options_.IdleTimeout);
    while (!Client->Parser.isComplete()) {
      if (Client->Unparsed.empty()) {
        if (!co_await read(*Client))
          co_return false;
      }
      const std::string Bytes = std::exchange(Client->Unparsed, {});
      const std::size_t Used = Client->Parser.parse(Bytes);
      if (const auto Failure = Client->Parser.failure()) {
        // A variable: g++ 12 destroys an aggregate in a co_await twice.
        HttpServerResponse Refusal{.Status = *Failure, .Body = "{}"};
        co_await write(Client, std::move(Refusal), true);
        co_await linger(Client);
        co_return false;
      }
      Client->Unparsed = Bytes.substr(Used);
      if (!Client->Parser.isComplete() && Client->Parser.takeExpectation())
        co_await writeContinue(Client);
    }
    Client->Timer.cancel();
    co_return true;
  }

  /// Reads into Unparsed. Returns false if the connection has ended.
  asio::awaitable<bool> read(Connection &Client) {
    while (true) {
      std::error_code Error;
      co_await Client.Socket.async_wait(tcp::socket::wait_read, resume(Error));
      if (Error)
        co_return false;
      // One buffer for all connections, as there may be a thousand idle ones.
      const std::size_t Size =
          Client.Socket.read_some(asio::buffer(ReadBuffer_), Error);
      if (Error == asio::error::would_block)
        continue;
      if (Error)
        co_return false;
      Client.Unparsed.assign(ReadBuffer_.data(), Size);
      co_return true;
    }
  }

  /// Returns false if the connection takes no further request.
  asio::awaitable<bool> answerRequest(ConnectionHandle Client) {
    const std::uint64_t Number = NextRequest_++;
    HttpServerRequest Request = Client->Parser.takeRequest();
    const bool HasBody = Request.Method != "HEAD";
    InFlight_[Number] = {.Client = Client,
                         .Call = Request.Method + " " + Request.Path,
                         .ReceivedAt = SteadyClock::now()};
    Client->Reply.reset();
    if (IsRefusing_)
      respond(Number, {.Status = ServiceUnavailable, .Body = "{}"});
    else
      asio::co_spawn(Context_,
                     handle(shared_from_this(), Number, std::move(Request)),
                     asio::detached);
    while (!Client->Reply) {
      std::error_code Cancelled;
      Client->Answered.expires_at(SteadyClock::time_point::max());
      co_await Client->Answered.async_wait(resume(Cancelled));
    }
    // A client may send requests before the response to the first; all that
    // have been received are answered before the connection closes.
    const bool Closes = !Client->Parser.keepsAlive() ||
                        (CloseAfterResponse_ && !Client->hasUnreadRequest());
    HttpServerResponse Reply = std::move(*Client->Reply);
    const bool IsWritten =
        co_await write(Client, std::move(Reply), Closes, HasBody);
    InFlight_.erase(Number);
    if (IsWritten && Closes)
      co_await linger(Client);
    co_return IsWritten && !Closes;
  }

  /// Calls the handler. An exception is answered with 500, as the caller would
  /// otherwise wait until its timeout.
  asio::awaitable<void> handle(Self /*Keep*/, std::uint64_t Number,
                               HttpServerRequest Request) {
    const std::string Call = Request.Method + " " + Request.Path;
    HttpServerResponse Reply{.Status = InternalServerError, .Body = "{}"};
    try {
      Reply = co_await OnRequest_(std::move(Request));
    } catch (const std::exception &Failure) {
      LOG(ERROR) << Call << " failed: " << Failure.what();
    }
    respond(Number, std::move(Reply));
  }

  /// Sets the response of a request that has none yet.
  void respond(std::uint64_t Number, HttpServerResponse Reply) {
    const auto It = InFlight_.find(Number);
    if (It == InFlight_.end() || It->second.Client->Reply)
      return;
    It->second.Client->Reply = std::move(Reply);
    It->second.Client->Answered.cancel();
  }

  /// Returns false if the client did not take it.
  asio::awaitable<bool> write(ConnectionHandle Client, HttpServerResponse Reply,
                              bool Closes, bool HasBody = true) {
    const std::string Head = responseHead(Reply, Closes);
    const std::array<asio::const_buffer, 2> Parts{
        asio::buffer(Head),
        HasBody ? asio::buffer(Reply.Body) : asio::const_buffer()};
    Connection::limitTime(Client, Options_.IdleTimeout);
    std::error_code Error;
    co_await asio::async_write(Client->Socket, Parts, resume(Error));
    Client->Timer.cancel();
    co_return !Error;
  }

  asio::awaitable<void> writeContinue(ConnectionHandle Client) {
    static constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
    std::error_code Error;
    co_await asio::async_write(Client->Socket, asio::buffer(Text),
                               resume(Error));
  }

  /// Waits until the client has closed its side.
  asio::awaitable<void> linger(ConnectionHandle Client) {
    std::error_code Ignored;
    Client->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    Connection::limitTime(Client, LingerTime);
    while (co_await read(*Client)) {
    }
  }

  asio::io_context &Context_;
  HttpServerOptions Options_;
  Handler OnRequest_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  std::uint16_t Port_ = 0;
  std::uint64_t NextRequest_ = 0;
  std::list<ConnectionHandle> Connections_;
  std::map<std::uint64_t, ReceivedRequest> InFlight_; ///< In order of arrival.
  std::array<char, ReadBytes> ReadBuffer_{};
  bool CloseAfterResponse_ = false;
  bool IsRefusing_ = false; ///< Requests are answered without being handled.
};

HttpServer::HttpServer(asio::io_context &Context, HttpServerOptions Options,
                       Handler OnRequest)
    : Implementation_(std::make_shared<Implementation>(
          Context, std::move(Options), std::move(OnRequest))) {}
HttpServer::~HttpServer() { Implementation_->abandon(); }
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
