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

/// HTTP server of the stand-ins. Unlike HttpServer it can fail like a machine:
/// it drops connections without an answer, refuses new ones while it keeps its
/// port, and counts open connections.
class StandInServer {
public:
  struct Request {
    std::string Method;
    std::string Path;  ///< Without the query; not decoded.
    std::string Query; ///< Text after '?', not decoded.
    std::string Body;
    /// By name in lower case.
    std::map<std::string, std::string> Headers;
  };
  struct Reply {
    int Status = 200;
    std::string Body;
    int RetryAfterSeconds = 0;
  };
  /// No reply closes the connection.
  using Handler = std::function<asio::awaitable<std::optional<Reply>>(Request)>;

  /// Port 0 lets the system choose. The port stays bound until destruction.
  StandInServer(asio::io_context &Context, std::uint16_t Port,
                Handler OnRequest)
      : Context_(Context), OnRequest_(std::move(OnRequest)),
        Holder_(bound(Port)), Port_(Holder_.local_endpoint().port()),
        Connections_(std::make_shared<ConnectionMap>()) {}
  ~StandInServer() { close(); }
  StandInServer(const StandInServer &) = delete;
  StandInServer &operator=(const StandInServer &) = delete;

  void open() {
    auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(bound(Port_));
    Acceptor->listen();
    Acceptor_ = Acceptor;
    asio::co_spawn(Context_, acceptAll(Acceptor, Connections_, OnRequest_),
                   asio::detached);
  }

  /// Refuses new connections and cuts off the open ones.
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
  [[nodiscard]] std::size_t connections() const { return Connections_->size(); }

private:
  using Socket = asio::ip::tcp::socket;
  using ConnectionMap = std::map<std::uint64_t, std::shared_ptr<Socket>>;

  /// State of the parser of one connection.
  struct Parser {
    http_parser Machine{};
    http_parser_settings Settings{};
    std::string Url;
    std::string Body;
    std::map<std::string, std::string> Headers;
    std::string HeaderName;
    bool InHeaderValue = false;
    bool Complete = false;

    Parser() {
      http_parser_settings_init(&Settings);
      Settings.on_url = [](http_parser *Machine, const char *Data,
                           std::size_t Size) {
        static_cast<Parser *>(Machine->data)->Url.append(Data, Size);
        return 0;
      };
      Settings.on_header_field = [](http_parser *Machine, const char *Data,
                                    std::size_t Size) {
        auto &Self = *static_cast<Parser *>(Machine->data);
        if (std::exchange(Self.InHeaderValue, false))
          Self.HeaderName.clear();
        for (const char Letter : std::string_view(Data, Size))
          Self.HeaderName.push_back(static_cast<char>(
              std::tolower(static_cast<unsigned char>(Letter))));
        return 0;
      };
      Settings.on_header_value = [](http_parser *Machine, const char *Data,
                                    std::size_t Size) {
        auto &Self = *static_cast<Parser *>(Machine->data);
        Self.InHeaderValue = true;
        Self.Headers[Self.HeaderName].append(Data, Size);
        return 0;
      };
      Settings.on_body = [](http_parser *Machine, const char *Data,
                            std::size_t Size) {
        static_cast<Parser *>(Machine->data)->Body.append(Data, Size);
        return 0;
      };
      Settings.on_message_complete = [](http_parser *Machine) {
        static_cast<Parser *>(Machine->data)->Complete = true;
        // Pauses, so that the rest of the buffer stays for the next request.
        http_parser_pause(Machine, 1);
        return 0;
      };
    }
    void reset() {
      http_parser_init(&Machine, HTTP_REQUEST);
      Machine.data = this;
      Url.clear();
      Body.clear();
      Headers.clear();
      HeaderName.clear();
      InHeaderValue = false;
      Complete = false;
    }
  };

  asio::ip::tcp::acceptor bound(std::uint16_t Port) {
    // A bound socket that does not listen refuses connections and keeps the
    // port from being given to another process.
    asio::ip::tcp::acceptor Acceptor(Context_);
    Acceptor.open(asio::ip::tcp::v4());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind({asio::ip::address_v4::loopback(), Port});
    return Acceptor;
  }

  static asio::awaitable<void>
  acceptAll(std::shared_ptr<asio::ip::tcp::acceptor> Acceptor,
            std::shared_ptr<ConnectionMap> Connections, Handler OnRequest) {
    std::uint64_t NextId = 0;
    try {
      for (;;) {
        auto Accepted = std::make_shared<Socket>(
            co_await Acceptor->async_accept(asio::use_awaitable));
        Accepted->set_option(asio::ip::tcp::no_delay(true));
        // Distinct over all listeners of one server.
        while (Connections->contains(NextId))
          ++NextId;
        const std::uint64_t Id = NextId++;
        Connections->emplace(Id, Accepted);
        asio::co_spawn(Acceptor->get_executor(),
                       serve(Accepted, Connections, Id, OnRequest),
                       asio::detached);
      }
    } catch (const std::system_error &) {
      // Closed.
    }
  }

  static asio::awaitable<void> serve(std::shared_ptr<Socket> Connection,
                                     std::shared_ptr<ConnectionMap> Connections,
                                     std::uint64_t Id, Handler OnRequest) {
    try {
      co_await serveRequests(*Connection, OnRequest);
    } catch (const std::system_error &) {
      // Closed by one of the sides.
    }
    const auto It = Connections->find(Id);
    if (It != Connections->end() && It->second == Connection)
      Connections->erase(It);
  }

  static asio::awaitable<void> serveRequests(Socket &Connection,
                                             const Handler &OnRequest) {
    auto State = std::make_unique<Parser>();
    std::string Buffer;
    char Chunk[4096];
    for (;;) {
      State->reset();
      for (;;) {
        const std::size_t Used = http_parser_execute(
            &State->Machine, &State->Settings, Buffer.data(), Buffer.size());
        Buffer.erase(0, Used);
        if (State->Complete)
          break;
        if (HTTP_PARSER_ERRNO(&State->Machine) != HPE_OK)
          co_return;
        const std::size_t Read = co_await Connection.async_read_some(
            asio::buffer(Chunk), asio::use_awaitable);
        Buffer.append(Chunk, Read);
      }
      Request Incoming;
      Incoming.Method =
          http_method_str(static_cast<http_method>(State->Machine.method));
      const std::size_t Mark = State->Url.find('?');
      Incoming.Path = State->Url.substr(0, Mark);
      if (Mark != std::string::npos)
        Incoming.Query = State->Url.substr(Mark + 1);
      Incoming.Headers = std::move(State->Headers);
      Incoming.Body = std::move(State->Body);
      const bool KeepAlive = http_should_keep_alive(&State->Machine) != 0;
      const std::optional<Reply> Answer =
          co_await OnRequest(std::move(Incoming));
      if (!Answer)
        co_return;
      std::string Text =
          fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                      "Content-Length: {}\r\n",
                      Answer->Status, Answer->Body.size());
      if (Answer->RetryAfterSeconds > 0)
        Text += fmt::format("Retry-After: {}\r\n", Answer->RetryAfterSeconds);
      if (!KeepAlive)
        Text += "Connection: close\r\n";
      Text += "\r\n" + Answer->Body;
      co_await asio::async_write(Connection, asio::buffer(Text),
                                 asio::use_awaitable);
      if (!KeepAlive)
        co_return;
    }
  }

  asio::io_context &Context_;
  Handler OnRequest_;
  asio::ip::tcp::acceptor Holder_;
  std::uint16_t Port_;
  std::shared_ptr<asio::ip::tcp::acceptor> Acceptor_;
  std::shared_ptr<ConnectionMap> Connections_;
};

} // namespace hickory
