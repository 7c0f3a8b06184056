#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Http/HttpServer.h"
#include "Support/WaiterList.h"

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/write.hpp>
#include <deque>
#include <glog/logging.h>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace hickory {

struct RelayLinkOptions {
  std::string Name;
  std::string Group;
  std::uint16_t ListenPort = 0; ///< 0: chosen by the system.
  asio::ip::tcp::endpoint Target;
  std::chrono::microseconds Delay{0};   ///< One way.
  std::uint64_t RateBytesPerSecond = 0; ///< Per direction; 0: unlimited.
  /// Whether the link refuses connections while its target refuses them, as a
  /// host does on which the process is not running. If false, the link accepts
  /// and then resets them.
  bool RefuseWhenDown = true;
};

/// A listening TCP port whose connections are forwarded to a target with a
/// configurable delay and rate limit. Each direction of the link can be cut.
class RelayLink {
public:
  /// Index into per-direction state.
  enum Direction { ToTarget = 0, ToClient = 1 };

  RelayLink(asio::io_context &Context, TimerService &Timers,
            RelayLinkOptions Options)
      : Context_(Context), Timers_(Timers), Options_(std::move(Options)),
        PortReservation_(Context), Acceptor_(Context),
        StateChanged_(Context.get_executor()) {}

  /// Binds the port and starts to accept. Throws std::system_error if the port
  /// is in use.
  void start() {
    using asio::ip::tcp;
    const tcp::endpoint ListenEndpoint(asio::ip::address_v4::loopback(),
                                       Options_.ListenPort);
    // Keeps the port reserved while the listener is closed.
    PortReservation_.open(tcp::v4());
    PortReservation_.set_option(tcp::socket::reuse_address(true));
    PortReservation_.bind(ListenEndpoint);
    Options_.ListenPort = PortReservation_.local_endpoint().port();
    openListener();
    asio::co_spawn(Context_, acceptLoop(), asio::detached);
  }

  [[nodiscard]] const RelayLinkOptions &options() const { return Options_; }

  void setDelay(std::chrono::microseconds Delay) { Options_.Delay = Delay; }
  void setRate(std::uint64_t BytesPerSecond) {
    Options_.RateBytesPerSecond = BytesPerSecond;
  }

  /// Stops or resumes forwarding in one direction. Connection attempts get no
  /// reply while either direction is cut.
  void setCut(Direction Way, bool Cut) {
    Cut_[Way] = Cut;
    updateListener();
    CutWaiters_.wakeAll();
  }

  /// Closes all open connections with RST.
  void resetConnections() {
    for (const std::weak_ptr<Connection> &WeakConnection : Connections_)
      if (const auto Connected = WeakConnection.lock())
        Connected->abort();
    CutWaiters_.wakeAll();
  }

  [[nodiscard]] nlohmann::json statsJson() const {
    std::size_t Open = 0;
    for (const std::weak_ptr<Connection> &WeakConnection : Connections_)
      Open += WeakConnection.expired() ? 0 : 1;
    return {{"name", Options_.Name},
            {"group", Options_.Group},
            {"listen_port", Options_.ListenPort},
            {"cut_to_target", Cut_[ToTarget]},
            {"cut_to_client", Cut_[ToClient]},
            {"target_down", TargetDown_},
            {"delay_ms",
             std::chrono::duration<double, std::milli>(Options_.Delay).count()},
            {"rate_bytes_per_s", Options_.RateBytesPerSecond},
            {"connections_open", Open},
            {"connections_total", AcceptedCount_},
            {"connections_refused", RefusedCount_},
            {"bytes_to_target", DeliveredBytes_[ToTarget]},
            {"bytes_to_client", DeliveredBytes_[ToClient]}};
  }

private:
  using Socket = asio::ip::tcp::socket;

  struct Chunk {
    Clock::time_point Due;
    std::string Data; ///< Empty: the sender closed its side.
  };

  /// Data in flight in one direction of a connection. readLoop() adds chunks,
  /// writeLoop() removes them when they are due.
  struct DirectionQueue {
    explicit DirectionQueue(const asio::any_io_executor &Executor)
        : NotEmpty(Executor), NotFull(Executor) {}
    std::deque<Chunk> Chunks;
    std::size_t QueuedBytes = 0;
    Clock::time_point LastDue{};
    Notifier NotEmpty;
    Notifier NotFull;
  };

  struct Connection {
    explicit Connection(Socket Accepted)
        : Client(std::move(Accepted)), Target(Client.get_executor()),
          Queues{DirectionQueue(Client.get_executor()),
                 DirectionQueue(Client.get_executor())} {}

    /// Closes both sockets with RST.
    void abort() {
      Aborted = true;
      for (Socket *Side : {&Client, &Target}) {
        std::error_code Ignored;
        Side->set_option(asio::socket_base::linger(true, 0), Ignored);
        Side->close(Ignored);
      }
      for (DirectionQueue &Queued : Queues) {
        Queued.NotEmpty.notify();
        Queued.NotFull.notify();
      }
    }

    Socket Client;
    Socket Target;
    std::array<DirectionQueue, 2> Queues;
    bool ClientClosed = false;
    bool Aborted = false;
  };

  [[nodiscard]] bool isCut() const { return Cut_[ToTarget] || Cut_[ToClient]; }

  void openListener() {
    using asio::ip::tcp;
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(
        tcp::endpoint(asio::ip::address_v4::loopback(), Options_.ListenPort));
    Acceptor_.listen(Backlog);
  }

  /// Opens, blocks or closes the listener according to Cut_ and TargetDown_.
  void updateListener() {
    if (!isCut() && TargetDown_) {
      std::error_code Ignored;
      Acceptor_.close(Ignored);
      BacklogFiller_.reset();
      FillerQueued_ = false;
      FillerPort_ = 0;
    } else {
      if (!Acceptor_.is_open())
        openListener();
      if (isCut())
        blockConnectionAttempts();
      else
        unblockConnectionAttempts();
    }
    StateChanged_.notify();
  }

  /// Makes the kernel drop connection attempts, as a cut network does: sets the
  /// listen backlog to 0 and fills it with a connection from the relay itself.
  void blockConnectionAttempts() {
    if (BacklogFiller_)
      return;
    Acceptor_.cancel();
    ::listen(Acceptor_.native_handle(), 0);
    BacklogFiller_ = std::make_shared<Socket>(Context_);
    BacklogFiller_->open(asio::ip::tcp::v4());
    BacklogFiller_->bind(
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    FillerPort_ = BacklogFiller_->local_endpoint().port();
    BacklogFiller_->async_connect(
        Acceptor_.local_endpoint(),
        [this, Connected = BacklogFiller_](const std::error_code &Code) {
          if (!Code && BacklogFiller_ == Connected)
            FillerQueued_ = true;
        });
  }

  void unblockConnectionAttempts() {
    if (!BacklogFiller_)
      return;
    std::error_code Ignored;
    // The accept loop sees the connection only if the kernel has queued it.
    if (!std::exchange(FillerQueued_, false))
      FillerPort_ = 0;
    BacklogFiller_->close(Ignored);
    BacklogFiller_.reset();
    ::listen(Acceptor_.native_handle(), Backlog);
  }

  asio::awaitable<void> acceptLoop() {
    for (;;) {
      if (isCut() || !Acceptor_.is_open()) {
        co_await StateChanged_.wait();
        continue;
      }
      std::error_code Code;
      Socket Accepted = co_await Acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code == asio::error::operation_aborted)
        continue;
      if (Code) {
        LOG(WARNING) << "relay: link " << Options_.Name
                     << " cannot accept: " << Code.message();
        co_await Timers_.sleepFor(RetryInterval);
        continue;
      }
      const auto Remote = Accepted.remote_endpoint(Code);
      if (!Code && FillerPort_ != 0 && Remote.port() == FillerPort_) {
        FillerPort_ = 0;
        continue;
      }
      ++AcceptedCount_;
      Accepted.set_option(asio::ip::tcp::no_delay(true), Code);
      auto Relayed = std::make_shared<Connection>(std::move(Accepted));
      std::erase_if(Connections_, [](const auto &WeakConnection) {
        return WeakConnection.expired();
      });
      Connections_.push_back(Relayed);
      asio::co_spawn(Context_, forwardConnection(std::move(Relayed)),
                     asio::detached);
    }
  }

  asio::awaitable<void> forwardConnection(std::shared_ptr<Connection> Relayed) {
    while (isCut() && !Relayed->Aborted)
      co_await CutWaiters_.wait(Timers_, std::nullopt);
    if (Relayed->Aborted)
      co_return;
    std::error_code Code;
    co_await Relayed->Target.async_connect(
        Options_.Target, asio::redirect_error(asio::use_awaitable, Code));
    if (Code) {
      ++RefusedCount_;
      Relayed->abort();
      if (Code == asio::error::connection_refused)
        markTargetDown();
      co_return;
    }
    Relayed->Target.set_option(asio::ip::tcp::no_delay(true), Code);
    asio::co_spawn(Context_, readLoop(Relayed, ToTarget), asio::detached);
    asio::co_spawn(Context_, readLoop(Relayed, ToClient), asio::detached);
    asio::co_spawn(Context_, writeLoop(Relayed, ToTarget), asio::detached);
    asio::co_spawn(Context_, writeLoop(Relayed, ToClient), asio::detached);
  }

  /// Returns the limit of buffered bytes in one direction of a connection:
  /// twice the bandwidth-delay product, so that the queue does not limit the
  /// rate.
  [[nodiscard]] std::size_t queueLimit() const {
    if (Options_.RateBytesPerSecond == 0)
      return 1 << 20;
    const double BytesInFlight =
        static_cast<double>(Options_.RateBytesPerSecond) *
        std::chrono::duration<double>(Options_.Delay).count();
    return std::max<std::size_t>(64 << 10,
                                 static_cast<std::size_t>(2 * BytesInFlight));
  }

  /// Returns when a chunk that is read now arrives at the receiver.
  Clock::time_point dueTime(Direction Way, DirectionQueue &Buffered,
                            std::size_t Bytes) {
    const Clock::time_point Now = Timers_.now();
    Clock::time_point SentAt = Now;
    if (Options_.RateBytesPerSecond != 0) {
      Clock::time_point &FreeAt = LinkFreeAt_[Way];
      FreeAt = std::max(FreeAt, Now) +
               std::chrono::duration_cast<Clock::duration>(
                   std::chrono::duration<double>(
                       static_cast<double>(Bytes) /
                       static_cast<double>(Options_.RateBytesPerSecond)));
      SentAt = FreeAt;
    }
    // Lowering the delay must not reorder chunks.
    Buffered.LastDue = std::max(Buffered.LastDue, SentAt + Options_.Delay);
    return Buffered.LastDue;
  }

  asio::awaitable<void> readLoop(std::shared_ptr<Connection> Relayed,
                                 Direction Way) {
    Socket &From = Way == ToTarget ? Relayed->Client : Relayed->Target;
    DirectionQueue &Buffered = Relayed->Queues[Way];
    std::vector<char> Buffer(ReadBytes);
    for (;;) {
      while (!Relayed->Aborted && Buffered.QueuedBytes >= queueLimit())
        co_await Buffered.NotFull.wait();
      while (!Relayed->Aborted && Cut_[Way])
        co_await CutWaiters_.wait(Timers_, std::nullopt);
      if (Relayed->Aborted)
        co_return;
      std::error_code Code;
      const std::size_t Bytes = co_await From.async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Relayed->Aborted)
        co_return;
      if (Code && Way == ToTarget)
        Relayed->ClientClosed = true;
      // A server rarely closes a connection first unless its process ends.
      if (Code && Way == ToClient && !Relayed->ClientClosed)
        startTargetProbe();
      if (Code && Code != asio::error::eof) {
        // A reset is not queued behind the data that precedes it.
        while (!Relayed->Aborted && Cut_[Way])
          co_await CutWaiters_.wait(Timers_, std::nullopt);
        Relayed->abort();
        co_return;
      }
      Chunk Item{.Due = dueTime(Way, Buffered, Bytes),
                 .Data = std::string(Buffer.data(), Bytes)};
      Buffered.QueuedBytes += Bytes;
      Buffered.Chunks.push_back(std::move(Item));
      Buffered.NotEmpty.notify();
      if (Code)
        co_return;
    }
  }

  asio::awaitable<void> writeLoop(std::shared_ptr<Connection> Relayed,
                                  Direction Way) {
    Socket &To = Way == ToTarget ? Relayed->Target : Relayed->Client;
    DirectionQueue &Buffered = Relayed->Queues[Way];
    for (;;) {
      while (!Relayed->Aborted && Buffered.Chunks.empty())
        co_await Buffered.NotEmpty.wait();
      if (Relayed->Aborted)
        co_return;
      const Clock::time_point Due = Buffered.Chunks.front().Due;
      const Clock::time_point Now = Timers_.now();
      if (Now < Due)
        co_await Timers_.sleepFor(Due - Now);
      while (!Relayed->Aborted && Cut_[Way])
        co_await CutWaiters_.wait(Timers_, std::nullopt);
      if (Relayed->Aborted)
        co_return;
      const Chunk Item = std::move(Buffered.Chunks.front());
      Buffered.Chunks.pop_front();
      std::error_code Code;
      if (Item.Data.empty()) {
        To.shutdown(Socket::shutdown_send, Code);
        co_return;
      }
      co_await asio::async_write(
          To, asio::buffer(Item.Data),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code) {
        Relayed->abort();
        co_return;
      }
      DeliveredBytes_[Way] += Item.Data.size();
      Buffered.QueuedBytes -= Item.Data.size();
      Buffered.NotFull.notify();
    }
  }

  /// Finds out at once, not at the next connection, whether a target that
  /// ended a connection still listens.
  void startTargetProbe() {
    if (!Options_.RefuseWhenDown || Probing_ || TargetDown_)
      return;
    Probing_ = true;
    asio::co_spawn(Context_, probeTarget(), asio::detached);
  }

  void markTargetDown() {
    if (!Options_.RefuseWhenDown || TargetDown_)
      return;
    TargetDown_ = true;
    updateListener();
    if (!Probing_) {
      Probing_ = true;
      asio::co_spawn(Context_, probeTarget(), asio::detached);
    }
  }

  asio::awaitable<void> probeTarget() {
    do {
      if (TargetDown_)
        co_await Timers_.sleepFor(RetryInterval);
      Socket Attempt(Context_);
      std::error_code Code;
      co_await Attempt.async_connect(
          Options_.Target, asio::redirect_error(asio::use_awaitable, Code));
      const bool IsDown = Code == asio::error::connection_refused;
      if (IsDown != TargetDown_) {
        TargetDown_ = IsDown;
        updateListener();
      }
    } while (TargetDown_);
    Probing_ = false;
  }

  static constexpr int Backlog = 1024;
  static constexpr std::size_t ReadBytes = 16 << 10;
  static constexpr std::chrono::milliseconds RetryInterval{100};

  asio::io_context &Context_;
  TimerService &Timers_;
  RelayLinkOptions Options_;
  Socket PortReservation_;
  asio::ip::tcp::acceptor Acceptor_;
  std::shared_ptr<Socket> BacklogFiller_;
  std::uint16_t FillerPort_ = 0;
  bool FillerQueued_ = false;
  Notifier StateChanged_;
  WaiterList CutWaiters_;
  std::list<std::weak_ptr<Connection>> Connections_;
  std::array<bool, 2> Cut_{};
  std::array<Clock::time_point, 2> LinkFreeAt_{};
  std::array<std::uint64_t, 2> DeliveredBytes_{};
  std::uint64_t AcceptedCount_ = 0;
  std::uint64_t RefusedCount_ = 0;
  bool TargetDown_ = false;
  bool Probing_ = false;
};

/// The links of one test network, controlled over HTTP.
class NetRelay {
public:
  NetRelay(asio::io_context &Context, TimerService &Timers)
      : Context_(Context), Timers_(Timers) {}

  /// Opens the links of {links: [{name, listen_port, target, delay_ms,
  /// rate_bytes_per_s, group, refuse_when_down}]}. Returns an error message if
  /// the document is invalid or a port cannot be opened.
  std::optional<std::string> load(const nlohmann::json &Document) {
    if (!Document.is_object() || !Document.contains("links"))
      return "document must have an array named links";
    try {
      for (const auto &Item : Document["links"]) {
        RelayLinkOptions Options;
        Options.Name = Item.at("name").get<std::string>();
        Options.Group = Item.value("group", std::string());
        Options.ListenPort = Item.value("listen_port", std::uint16_t(0));
        const auto Target = Item.at("target").get<std::string>();
        const std::size_t Colon = Target.rfind(':');
        if (Colon == std::string::npos)
          return "target of link " + Options.Name + " must be ip:port";
        Options.Target = asio::ip::tcp::endpoint(
            asio::ip::make_address(Target.substr(0, Colon)),
            static_cast<std::uint16_t>(std::stoul(Target.substr(Colon + 1))));
        Options.Delay = milliseconds(Item.value("delay_ms", 0.0));
        Options.RateBytesPerSecond =
            Item.value("rate_bytes_per_s", std::uint64_t(0));
        Options.RefuseWhenDown = Item.value("refuse_when_down", true);
        const std::string Name = Options.Name;
        for (const auto &Other : Links_)
          if (Other->options().Name == Name)
            return "two links are named " + Name;
        Links_.push_back(
            std::make_unique<RelayLink>(Context_, Timers_, std::move(Options)));
        Links_.back()->start();
      }
    } catch (const std::exception &Failure) {
      return std::string("link ") + std::to_string(Links_.size()) + ": " +
             Failure.what();
    }
    return std::nullopt;
  }

  /// Request handler for HttpServer: POST /control and GET /stats.
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    if (Request.Path == "/control" && Request.Method == "POST") {
      const auto Changes = nlohmann::json::parse(Request.Body, nullptr, false);
      if (const auto ErrorMessage = applyChange(Changes))
        co_return errorResponse(400, *ErrorMessage);
      co_return HttpServerResponse{.Body = statsJson().dump()};
    }
    if (Request.Path == "/stats" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = statsJson().dump()};
    co_return errorResponse(404, "no such resource");
  }

  /// Applies {link | group | all: true, cut, mode: freeze|reset, direction:
  /// both|to_target|to_client, delay_ms, rate_bytes_per_s}. If the request is
  /// invalid, returns an error message and changes nothing.
  std::optional<std::string> applyChange(const nlohmann::json &Changes) {
    if (!Changes.is_object())
      return "body must be a JSON object";
    for (const auto &[Key, Value] : Changes.items())
      if (Key != "link" && Key != "group" && Key != "all" && Key != "cut" &&
          Key != "mode" && Key != "direction" && Key != "delay_ms" &&
          Key != "rate_bytes_per_s")
        return "unknown key " + Key;
    try {
      std::vector<RelayLink *> Selected;
      const std::string Name = Changes.value("link", std::string());
      const std::string Group = Changes.value("group", std::string());
      const bool All = Changes.value("all", false);
      for (const auto &Link : Links_)
        if (All || (!Name.empty() && Link->options().Name == Name) ||
            (!Group.empty() && Link->options().Group == Group))
          Selected.push_back(Link.get());
      if (Selected.empty())
        return "no link has this name or group";
      const std::string Mode = Changes.value("mode", std::string("freeze"));
      if (Mode != "freeze" && Mode != "reset")
        return "mode must be freeze or reset";
      const std::string DirectionName =
          Changes.value("direction", std::string("both"));
      if (DirectionName != "both" && DirectionName != "to_target" &&
          DirectionName != "to_client")
        return "direction must be both, to_target or to_client";
      const double DelayMs = Changes.value("delay_ms", 0.0);
      const auto Rate = Changes.value("rate_bytes_per_s", std::int64_t(0));
      if (DelayMs < 0 || Rate < 0)
        return "delay_ms and rate_bytes_per_s must not be negative";
      const bool Cut = Changes.value("cut", false);
      for (RelayLink *Link : Selected) {
        if (Changes.contains("delay_ms"))
          Link->setDelay(milliseconds(DelayMs));
        if (Changes.contains("rate_bytes_per_s"))
          Link->setRate(static_cast<std::uint64_t>(Rate));
        if (!Changes.contains("cut"))
          continue;
        if (DirectionName != "to_client")
          Link->setCut(RelayLink::ToTarget, Cut);
        if (DirectionName != "to_target")
          Link->setCut(RelayLink::ToClient, Cut);
        if (Cut && Mode == "reset")
          Link->resetConnections();
      }
    } catch (const nlohmann::json::exception &Failure) {
      return Failure.what();
    }
    return std::nullopt;
  }

  /// Returns the state and counters of all links. Byte counts include only
  /// delivered TCP payload.
  [[nodiscard]] nlohmann::json statsJson() const {
    nlohmann::json LinkStats = nlohmann::json::array();
    for (const auto &Link : Links_)
      LinkStats.push_back(Link->statsJson());
    return {{"links", std::move(LinkStats)}};
  }

private:
  static std::chrono::microseconds milliseconds(double Value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(Value));
  }

  static HttpServerResponse errorResponse(int Status,
                                          const std::string &Message) {
    const nlohmann::json Body = {{"code", Status}, {"message", Message}};
    return {.Status = Status, .Body = Body.dump()};
  }

  asio::io_context &Context_;
  TimerService &Timers_;
  std::vector<std::unique_ptr<RelayLink>> Links_;
};

} // namespace hickory
