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
/// A request that has not arrived by then may be refused for the sake of
/// another one. Ordinary requests take milliseconds.
constexpr std::chrono::milliseconds MinimumAge = 1s;
/// Time after which a refused client may try again.
constexpr std::chrono::seconds RefusalRetry{1};
/// Time for which a closing connection reads what the client still sends. A
/// connection that is closed with unread bytes is reset, and the client may
/// lose the response.
constexpr std::chrono::milliseconds LingerTime = 1s;
/// Time after which accepting goes on after an error, as when the process has
/// no descriptor left.
constexpr std::chrono::milliseconds AcceptPause = 100ms;

/// Completion token that stores the error instead of throwing it.
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

struct Connection;
using ConnectionHandle = std::shared_ptr<Connection>;

/// What a connection waits for.
enum class Phase : std::size_t {
  Idle,      ///< The first byte of a request.
  Receiving, ///< The rest of a request.
  Handling,  ///< The response.
  Writing,   ///< The client that takes the next part of the response.
  Closing,   ///< The end of the client's side.
  Closed,    ///< The end of its coroutine; it has no descriptor.
  Count
};

/// A connection of a client. Its requests are handled one after the other.
struct Connection {
  Connection(tcp::socket Accepted, RequestSizeLimits Limits,
             RequestParser::BodyReserver ReserveBody)
      : Socket(std::move(Accepted)), Timer(Socket.get_executor()),
        Answered(Socket.get_executor()),
        Parser(Limits, std::move(ReserveBody)) {}

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
  /// Response to a request that is refused while it is received.
  std::optional<HttpServerResponse> Refusal;
  std::size_t ReservedBytes = 0; ///< Memory of the body.
  Phase Now = Phase::Idle;
  std::chrono::steady_clock::time_point Since; ///< Begin of the phase.
  /// Begin of the first request since the client has last waited to send one.
  std::optional<std::chrono::steady_clock::time_point> BusySince;
  bool ClosesAfterResponse = false;
  std::list<ConnectionHandle>::iterator Place; ///< In the list of its phase.
};

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
    if (Options_.ReceiveBufferBytes > 0)
      Acceptor_.set_option(
          tcp::acceptor::receive_buffer_size(Options_.ReceiveBufferBytes));
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
    for (const auto &List : Connections_)
      for (const ConnectionHandle &Client : List)
        closeSocket(*Client);
  }

  [[nodiscard]] std::uint16_t port() const { return Port_; }
  [[nodiscard]] std::size_t openConnections() const {
    std::size_t Open = 0;
    for (const Phase In : {Phase::Idle, Phase::Receiving, Phase::Handling,
                           Phase::Writing, Phase::Closing})
      Open += Connections_[static_cast<std::size_t>(In)].size();
    return Open;
  }
  [[nodiscard]] std::size_t bodyBytesInProgress() const { return BodyBytes_; }
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

  std::list<ConnectionHandle> &connections(Phase In) {
    return Connections_[static_cast<std::size_t>(In)];
  }

  static void enter(Connection &Client, Phase Next,
                    std::list<ConnectionHandle> &From,
                    std::list<ConnectionHandle> &To) {
    To.splice(To.end(), From, Client.Place);
    Client.Now = Next;
    Client.Since = SteadyClock::now();
  }
  void enter(Connection &Client, Phase Next) {
    if (Client.Now != Phase::Closed && Client.Now != Next)
      enter(Client, Next, connections(Client.Now), connections(Next));
  }

  /// Ends the phase of the connection at the given time.
  void limitTime(const ConnectionHandle &Client, SteadyClock::time_point End) {
    Client->Timer.expires_at(End);
    Client->Timer.async_wait(
        [Weak = std::weak_ptr(Client),
         Server = weak_from_this()](std::error_code Error) {
          const ConnectionHandle Locked = Weak.lock();
          const Self Keep = Server.lock();
          // A timer that was set anew may still deliver its earlier end.
          if (Error || Locked == nullptr || Keep == nullptr ||
              Locked->Timer.expiry() > SteadyClock::now())
            return;
          if (Locked->Now == Phase::Receiving)
            Keep->refuse(*Locked, "time");
          else
            Keep->close(*Locked);
        });
  }
  void limitTime(const ConnectionHandle &Client,
                 std::chrono::milliseconds Limit) {
    limitTime(Client, SteadyClock::now() + Limit);
  }

  /// Also if the end has come, but has not been delivered.
  static void clearTime(Connection &Client) {
    Client.Timer.expires_at(SteadyClock::time_point::max());
  }

  static void closeSocket(Connection &Client) {
    std::error_code Ignored;
    Client.Timer.cancel();
    Client.Socket.close(Ignored);
  }
  /// Ends what the connection waits for.
  void close(Connection &Client) {
    closeSocket(Client);
    releaseBody(Client);
    enter(Client, Phase::Closed);
  }

  void releaseBody(Connection &Client) {
    BodyBytes_ -= std::exchange(Client.ReservedBytes, 0);
  }

  void countRefusal(const char *Reason) {
    if (Options_.OnRefused)
      Options_.OnRefused(Reason);
  }

  static HttpServerResponse refusal(int Status) {
    HttpServerResponse Reply{.Status = Status, .Body = "{}"};
    if (Status == ServiceUnavailable)
      Reply.RetryAfter = RefusalRetry;
    return Reply;
  }

  /// Ends a request that is being received.
  void refuse(Connection &Client, const char *Reason) {
    countRefusal(Reason);
    Client.Refusal = refusal(ServiceUnavailable);
    Client.Parser.reset();
    releaseBody(Client);
    enter(Client, Phase::Closing);
    std::error_code Ignored;
    Client.Socket.cancel(Ignored);
  }

  /// Makes room for the body of a request by refusing those that have not
  /// arrived for longest. Returns false if that does not suffice.
  bool reserveBody(Connection &Client, std::size_t Bytes) {
    while (BodyBytes_ + Bytes > Options_.MaximumBodyBytesInProgress)
      if (!refuseOldestBody(Client))
        return false;
    BodyBytes_ += Bytes;
    Client.ReservedBytes += Bytes;
    return true;
  }
  bool refuseOldestBody(const Connection &Except) {
    const auto Latest = SteadyClock::now() - MinimumAge;
    for (const ConnectionHandle &Client : connections(Phase::Receiving)) {
      if (Client->Since > Latest)
        return false;
      if (Client.get() != &Except && Client->ReservedBytes > 0) {
        refuse(*ConnectionHandle(Client), "memory");
        return true;
      }
    }
    return false;
  }

  /// Sends the refusal if the client takes it at once.
  static void sendRefusal(tcp::socket &Socket) {
    std::error_code Ignored;
    const HttpServerResponse Reply = refusal(ServiceUnavailable);
    const std::string Text = responseHead(Reply, true) + Reply.Body;
    Socket.non_blocking(true, Ignored);
    Socket.write_some(asio::buffer(Text), Ignored);
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  }

  /// Lets the client that has sent one request after the other for longest, for
  /// at least MinimumAge, make room for others after its next response.
  void limitBusiestConnection() {
    Connection *Busiest = nullptr;
    for (const Phase In : {Phase::Handling, Phase::Writing})
      for (const ConnectionHandle &Client : connections(In))
        if (!Client->ClosesAfterResponse && Client->BusySince &&
            (Busiest == nullptr || *Client->BusySince < *Busiest->BusySince))
          Busiest = Client.get();
    if (Busiest != nullptr &&
        *Busiest->BusySince <= SteadyClock::now() - MinimumAge)
      Busiest->ClosesAfterResponse = true;
  }

  /// Closes the connection that is needed least. Returns false if there is none
  /// that may be closed.
  bool closeOneConnection() {
    const auto Latest = SteadyClock::now() - MinimumAge;
    for (const Phase In :
         {Phase::Closing, Phase::Writing, Phase::Receiving, Phase::Idle}) {
      const auto &Candidates = connections(In);
      if (Candidates.empty() ||
          (In != Phase::Closing && Candidates.front()->Since > Latest))
        continue;
      const ConnectionHandle Chosen = Candidates.front();
      if (In == Phase::Receiving) {
        countRefusal("connections");
        sendRefusal(Chosen->Socket);
      }
      close(*Chosen);
      return true;
    }
    return false;
  }

  asio::awaitable<void> accept(Self /*Keep*/) {
    while (Acceptor_.is_open()) {
      std::error_code Error;
      tcp::socket Accepted = co_await Acceptor_.async_accept(resume(Error));
      if (!Acceptor_.is_open())
        break;
      if (Error) {
        closeOneConnection();
        AcceptTimer_.expires_after(AcceptPause);
        co_await AcceptTimer_.async_wait(resume(Error));
      } else if (openConnections() < Options_.MaximumConnections ||
                 closeOneConnection()) {
        addConnection(std::move(Accepted));
      } else {
        countRefusal("connections");
        sendRefusal(Accepted);
        limitBusiestConnection();
      }
    }
  }

  void addConnection(tcp::socket Accepted) {
    std::error_code Ignored;
    Accepted.non_blocking(true, Ignored);
    auto &Idle = connections(Phase::Idle);
    const auto Place = Idle.emplace(Idle.end());
    *Place = std::make_shared<Connection>(
        std::move(Accepted),
        RequestSizeLimits{.HeaderBytes = Options_.MaximumHeaderBytes,
                          .BodyBytes = Options_.MaximumBodyBytes},
        [this, Place](std::size_t Bytes) {
          return reserveBody(**Place, Bytes);
        });
    (*Place)->Place = Place;
    (*Place)->Since = SteadyClock::now();
    asio::co_spawn(Context_, serve(shared_from_this(), *Place), asio::detached);
  }

  asio::awaitable<void> serve(Self /*Keep*/, ConnectionHandle Client) {
    // Not one condition: g++ 12 awaits the second call although the first has
    // returned false.
    bool IsOpen = true;
    while (IsOpen) {
      IsOpen = co_await receiveRequest(Client);
      if (IsOpen)
        IsOpen = co_await answerRequest(Client);
    }
    close(*Client);
    connections(Phase::Closed).erase(Client->Place);
  }

  /// Returns false if there is none to be answered.
  asio::awaitable<bool> receiveRequest(ConnectionHandle Client) {
    Client->Parser.reset();
    enter(*Client, Phase::Idle);
    limitTime(Client, Options_.IdleTimeout);
    bool IsReadable = true;
    while (IsReadable && !Client->Parser.isComplete()) {
      if (Client->Unparsed.empty())
        IsReadable = co_await read(*Client);
      if (IsReadable && parse(Client))
        co_await writeContinue(Client);
      IsReadable = IsReadable && !Client->Refusal;
    }
    if (Client->Refusal) {
      HttpServerResponse Reply = std::move(*Client->Refusal);
      Client->Refusal.reset();
      const bool IsWritten = co_await write(Client, std::move(Reply), true);
      if (IsWritten)
        co_await linger(Client);
      co_return false;
    }
    clearTime(*Client);
    co_return IsReadable;
  }

  static void markBusy(Connection &Client) {
    if (!Client.BusySince)
      Client.BusySince = SteadyClock::now();
  }

  /// Parses what has been read. Returns true if the client waits for a 100.
  bool parse(const ConnectionHandle &Client) {
    RequestParser &Parser = Client->Parser;
    const std::string Bytes = std::exchange(Client->Unparsed, {});
    const bool HadHeaders = Parser.hasHeaders();
    const std::size_t Used = Parser.parse(Bytes);
    if (const auto Failure = Parser.failure()) {
      countRefusal(Failure->Reason);
      Client->Refusal = refusal(Failure->Status);
      Parser.reset();
      releaseBody(*Client);
      enter(*Client, Phase::Closing);
      return false;
    }
    Client->Unparsed = Bytes.substr(Used);
    if (Parser.isComplete() || !Parser.hasBegun())
      return false;
    if (Client->Now == Phase::Idle) {
      enter(*Client, Phase::Receiving);
      markBusy(*Client);
      limitTime(Client, Client->Since + Options_.HeaderTimeout);
    }
    if (Parser.hasHeaders() && !HadHeaders)
      limitTime(Client, Client->Since + Options_.RequestTimeout);
    return Parser.takeExpectation();
  }

  /// Reads into Unparsed. Returns false if the connection has ended.
  asio::awaitable<bool> read(Connection &Client) {
    while (true) {
      std::error_code Error;
      co_await Client.Socket.async_wait(tcp::socket::wait_read, resume(Error));
      // A request may be refused after its next bytes have been received.
      if (Error || Client.Refusal)
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
    enter(*Client, Phase::Handling);
    markBusy(*Client);
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
    releaseBody(*Client);
    // A client may send requests before the response to the first; all that
    // have been received are answered before the connection closes.
    const bool Closes = !Client->Parser.keepsAlive() ||
                        Client->ClosesAfterResponse ||
                        (CloseAfterResponse_ && !Client->hasUnreadRequest());
    HttpServerResponse Reply = std::move(*Client->Reply);
    const bool IsWritten =
        co_await write(Client, std::move(Reply), Closes, HasBody);
    InFlight_.erase(Number);
    if (!Client->hasUnreadRequest())
      Client->BusySince.reset();
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
    std::string Text = responseHead(Reply, Closes);
    if (HasBody)
      Text += Reply.Body;
    if (Client->Now == Phase::Handling)
      enter(*Client, Phase::Writing);
    std::error_code Error;
    for (std::size_t Begin = 0; Begin < Text.size() && !Error;) {
      limitTime(Client, Options_.WriteTimeout);
      Begin += co_await Client->Socket.async_write_some(
          asio::buffer(Text) + Begin, resume(Error));
      if (Client->Now == Phase::Writing)
        recordProgress(*Client);
    }
    clearTime(*Client);
    co_return !Error;
  }
  /// The client has taken a part of the response, and the next one begins.
  void recordProgress(Connection &Client) {
    auto &Writing = connections(Phase::Writing);
    Writing.splice(Writing.end(), Writing, Client.Place);
    Client.Since = SteadyClock::now();
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
    enter(*Client, Phase::Closing);
    Client->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    limitTime(Client, LingerTime);
    bool IsReadable = true;
    while (IsReadable) {
      IsReadable = co_await read(*Client);
      Client->Unparsed.clear();
    }
  }

  asio::io_context &Context_;
  HttpServerOptions Options_;
  Handler OnRequest_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  std::uint16_t Port_ = 0;
  std::uint64_t NextRequest_ = 0;
  std::array<std::list<ConnectionHandle>,
             static_cast<std::size_t>(Phase::Count)>
      Connections_;           ///< By phase, each in the order of its beginning.
  std::size_t BodyBytes_ = 0; ///< Memory of all bodies.
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
std::size_t HttpServer::openConnections() const {
  return Implementation_->openConnections();
}
std::size_t HttpServer::bodyBytesInProgress() const {
  return Implementation_->bodyBytesInProgress();
}
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

HttpServerOptions limitedOptions(HttpServerOptions Options,
                                 ProcessLimits Limits, ServerShares Shares) {
  // 64 KiB in the kernel, 16 KiB read ahead, headers.
  constexpr std::size_t ConnectionBytes = 96 << 10;
  constexpr std::uint64_t FileDescriptors = 200;
  constexpr std::size_t FewestConnections = 16;
  const auto Part = [](double Share, std::uint64_t Whole) {
    return static_cast<std::size_t>(Share * static_cast<double>(Whole));
  };
  std::size_t &Connections = Options.MaximumConnections;
  if (Limits.MemoryBytes > 0) {
    // Two bodies of the longest kind always fit.
    Options.MaximumBodyBytesInProgress =
        std::max(Part(Shares.BodyMemory, Limits.MemoryBytes),
                 2 * Options.MaximumBodyBytes);
    if (Shares.ConnectionMemory > 0)
      Connections = std::min(Connections,
                             Part(Shares.ConnectionMemory, Limits.MemoryBytes) /
                                 ConnectionBytes);
  }
  if (Limits.Descriptors > 0)
    Connections = std::min(
        Connections, Part(Shares.Descriptors,
                          Limits.Descriptors -
                              std::min(Limits.Descriptors, FileDescriptors)));
  Connections = std::max(Connections, FewestConnections);
  return Options;
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
