#pragma once

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <fmt/format.h>
#include <functional>
#include <http_parser.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hickory {

/// HTTP server of the stand-ins. Unlike HttpServer it can emulate a failed
/// machine: it can close connections without an answer and refuse new ones
/// while it keeps its port. It also counts open connections.
class StandInServer {
public:
  struct Request {
    std::string Method;
    std::string Path;  ///< Without the query; not percent-decoded.
    std::string Query; ///< Text after '?'; not percent-decoded.
    std::string Body;
    /// Values by header name in lower case.
    std::map<std::string, std::string> Headers;
  };
  struct Reply {
    int Status = 200;
    std::string Body;
    int RetryAfterSeconds = 0;
  };
  /// Handles one request. Returning no reply closes the connection.
  using Handler = std::function<asio::awaitable<std::optional<Reply>>(Request)>;

  /// Binds the port, which stays bound until destruction; port 0 lets the
  /// system choose one. Connections are refused until open() is called.
  StandInServer(asio::io_context &Context, std::uint16_t Port,
                Handler OnRequest)
      : Context_(Context), OnRequest_(std::move(OnRequest)),
        PortHolder_(bindPort(Port)), Port_(PortHolder_.local_endpoint().port()),
        Connections_(std::make_shared<ConnectionMap>()) {}
  ~StandInServer() { close(); }
  StandInServer(const StandInServer &) = delete;
  StandInServer &operator=(const StandInServer &) = delete;

  void open() {
    auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(bindPort(Port_));
    Acceptor->listen();
    Acceptor_ = Acceptor;
    asio::co_spawn(Context_,
                   acceptConnections(Acceptor, Connections_, OnRequest_),
                   asio::detached);
  }

  /// Refuses new connections and closes the open ones.
  void close() {
    if (Acceptor_)
      Acceptor_->close();
    Acceptor_.reset();
    for (const auto &[Id, Socket] : *Connections_) {
      std::error_code Ignored;
      Socket->close(Ignored);
    }
    Connections_->clear();
  }

  [[nodiscard]] bool isOpen() const { return Acceptor_ != nullptr; }
  [[nodiscard]] std::uint16_t port() const { return Port_; }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port_);
  }
  [[nodiscard]] std::size_t connectionCount() const {
    return Connections_->size();
  }

private:
  using Socket = asio::ip::tcp::socket;
  using ConnectionMap = std::map<std::uint64_t, std::shared_ptr<Socket>>;

  /// Parses the requests of one connection.
  struct RequestParser {
    http_parser RawParser{};
    http_parser_settings Settings{};
    std::string Url;
    std::string Body;
    std::map<std::string, std::string> Headers;
    std::string HeaderName;
    bool InHeaderValue = false;
    bool IsComplete = false;

    RequestParser() {
      http_parser_settings_init(&Settings);
      Settings.on_url = [](http_parser *RawParser, const char *Data,
                           std::size_t Size) {
        static_cast<RequestParser *>(RawParser->data)->Url.append(Data, Size);
        return 0;
      };
      Settings.on_header_field = [](http_parser *RawParser, const char *Data,
                                    std::size_t Size) {
        auto &Self = *static_cast<RequestParser *>(RawParser->data);
        if (std::exchange(Self.InHeaderValue, false))
          Self.HeaderName.clear();
        for (const char Character : std::string_view(Data, Size))
          Self.HeaderName.push_back(static_cast<char>(
              std::tolower(static_cast<unsigned char>(Character))));
        return 0;
      };
      Settings.on_header_value = [](http_parser *RawParser, const char *Data,
                                    std::size_t Size) {
        auto &Self = *static_cast<RequestParser *>(RawParser->data);
        Self.InHeaderValue = true;
        Self.Headers[Self.HeaderName].append(Data, Size);
        return 0;
      };
      Settings.on_body = [](http_parser *RawParser, const char *Data,
                            std::size_t Size) {
        static_cast<RequestParser *>(RawParser->data)->Body.append(Data, Size);
        return 0;
      };
      Settings.on_message_complete = [](http_parser *RawParser) {
        static_cast<RequestParser *>(RawParser->data)->IsComplete = true;
        // Pauses the parser, so that the rest of the buffer is kept for the
        // next request.
        http_parser_pause(RawParser, 1);
        return 0;
      };
    }
    void reset() {
      http_parser_init(&RawParser, HTTP_REQUEST);
      RawParser.data = this;
      Url.clear();
      Body.clear();
      Headers.clear();
      HeaderName.clear();
      InHeaderValue = false;
      IsComplete = false;
    }
  };

  asio::ip::tcp::acceptor bindPort(std::uint16_t Port) {
    // A socket that is bound but does not listen refuses connections and
    // reserves the port, so that no other process gets it.
    asio::ip::tcp::acceptor Acceptor(Context_);
    Acceptor.open(asio::ip::tcp::v4());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind({asio::ip::address_v4::loopback(), Port});
    return Acceptor;
  }

  static asio::awaitable<void>
  acceptConnections(std::shared_ptr<asio::ip::tcp::acceptor> Acceptor,
                    std::shared_ptr<ConnectionMap> Connections,
                    Handler OnRequest) {
    std::uint64_t NextId = 0;
    try {
      for (;;) {
        auto Accepted = std::make_shared<Socket>(
            co_await Acceptor->async_accept(asio::use_awaitable));
        Accepted->set_option(asio::ip::tcp::no_delay(true));
        // The listeners before and after a close() share the map of
        // connections, so the id must be unused.
        while (Connections->contains(NextId))
          ++NextId;
        const std::uint64_t Id = NextId++;
        Connections->emplace(Id, Accepted);
        asio::co_spawn(Acceptor->get_executor(),
                       serveConnection(Accepted, Connections, Id, OnRequest),
                       asio::detached);
      }
    } catch (const std::system_error &) {
      // The listener was closed.
    }
  }

  static asio::awaitable<void>
  serveConnection(std::shared_ptr<Socket> Connection,
                  std::shared_ptr<ConnectionMap> Connections, std::uint64_t Id,
                  Handler OnRequest) {
    try {
      co_await serveRequests(*Connection, OnRequest);
    } catch (const std::system_error &) {
      // The connection was closed by the server or the client.
    }
    const auto It = Connections->find(Id);
    if (It != Connections->end() && It->second == Connection)
      Connections->erase(It);
  }

  static asio::awaitable<void> serveRequests(Socket &Connection,
                                             const Handler &OnRequest) {
    auto Parser = std::make_unique<RequestParser>();
    std::string Buffer;
    char Chunk[4096];
    for (;;) {
      Parser->reset();
      for (;;) {
        const std::size_t ParsedBytes =
            http_parser_execute(&Parser->RawParser, &Parser->Settings,
                                Buffer.data(), Buffer.size());
        Buffer.erase(0, ParsedBytes);
        if (Parser->IsComplete)
          break;
        if (HTTP_PARSER_ERRNO(&Parser->RawParser) != HPE_OK)
          co_return;
        const std::size_t ReadBytes = co_await Connection.async_read_some(
            asio::buffer(Chunk), asio::use_awaitable);
        Buffer.append(Chunk, ReadBytes);
      }
      Request Incoming;
      Incoming.Method =
          http_method_str(static_cast<http_method>(Parser->RawParser.method));
      const std::size_t QueryStart = Parser->Url.find('?');
      Incoming.Path = Parser->Url.substr(0, QueryStart);
      if (QueryStart != std::string::npos)
        Incoming.Query = Parser->Url.substr(QueryStart + 1);
      Incoming.Headers = std::move(Parser->Headers);
      Incoming.Body = std::move(Parser->Body);
      const bool KeepAlive = http_should_keep_alive(&Parser->RawParser) != 0;
      const std::optional<Reply> HandlerReply =
          co_await OnRequest(std::move(Incoming));
      if (!HandlerReply)
        co_return;
      std::string Response =
          fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                      "Content-Length: {}\r\n",
                      HandlerReply->Status, HandlerReply->Body.size());
      if (HandlerReply->RetryAfterSeconds > 0)
        Response +=
            fmt::format("Retry-After: {}\r\n", HandlerReply->RetryAfterSeconds);
      if (!KeepAlive)
        Response += "Connection: close\r\n";
      Response += "\r\n" + HandlerReply->Body;
      co_await asio::async_write(Connection, asio::buffer(Response),
                                 asio::use_awaitable);
      if (!KeepAlive)
        co_return;
    }
  }

  asio::io_context &Context_;
  Handler OnRequest_;
  asio::ip::tcp::acceptor PortHolder_;
  std::uint16_t Port_;
  std::shared_ptr<asio::ip::tcp::acceptor> Acceptor_;
  std::shared_ptr<ConnectionMap> Connections_;
};

} // namespace hickory
