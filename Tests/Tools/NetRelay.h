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
  /// While the target refuses connections, refuse them as well instead of
  /// accepting and resetting them, as a host without the process does.
  bool RefuseWhenDown = true;
};

/// One TCP port whose connections are carried to a target with delay and
/// limited rate, and which can be cut.
class RelayLink {
public:
  /// Index into per-direction state.
  enum Direction { ToTarget = 0, ToClient = 1 };

  RelayLink(asio::io_context &Context, TimerService &Timers,
            RelayLinkOptions Options)
      : Context_(Context), Timers_(Timers), Options_(std::move(Options)),
        Reservation_(Context), Acceptor_(Context),
        StateChanged_(Context.get_executor()) {}

  /// Binds the port; throws std::system_error if it is in use.
  void start() {
    using asio::ip::tcp;
    const tcp::endpoint Wanted(asio::ip::address_v4::loopback(),
                               Options_.ListenPort);
    // Keeps the port while the listener is closed.
    Reservation_.open(tcp::v4());
    Reservation_.set_option(tcp::socket::reuse_address(true));
    Reservation_.bind(Wanted);
    Options_.ListenPort = Reservation_.local_endpoint().port();
    openListener();
    asio::co_spawn(Context_, acceptLoop(), asio::detached);
  }

  [[nodiscard]] const RelayLinkOptions &options() const { return Options_; }

  void setDelay(std::chrono::microseconds Delay) { Options_.Delay = Delay; }
  void setRate(std::uint64_t BytesPerSecond) {
    Options_.RateBytesPerSecond = BytesPerSecond;
  }

  /// Stops or resumes forwarding in one direction. New connections are not
  /// answered while either direction is cut.
  void setCut(Direction Which, bool Cut) {
    Cut_[Which] = Cut;
    applyState();
    StateWaiters_.wakeAll();
  }

  void resetConnections() {
    for (const std::weak_ptr<Connection> &Weak : Connections_)
      if (const auto Alive = Weak.lock())
        Alive->abort();
    StateWaiters_.wakeAll();
  }

  [[nodiscard]] nlohmann::json statsJson() const {
    std::size_t Open = 0;
    for (const std::weak_ptr<Connection> &Weak : Connections_)
      Open += Weak.expired() ? 0 : 1;
    return {{"name", Options_.Name},
            {"group", Options_.Group},
            {"listen_port", Options_.ListenPort},
            {"cut_to_target", Cut_[ToTarget]},
            {"cut_to_client", Cut_[ToClient]},
            {"target_down", Down_},
            {"delay_ms",
             std::chrono::duration<double, std::milli>(Options_.Delay).count()},
            {"rate_bytes_per_s", Options_.RateBytesPerSecond},
            {"connections_open", Open},
            {"connections_total", Accepted_},
            {"connections_refused", Refused_},
            {"bytes_to_target", Bytes_[ToTarget]},
            {"bytes_to_client", Bytes_[ToClient]}};
  }

private:
  using Socket = asio::ip::tcp::socket;

  struct Chunk {
    Clock::time_point Due;
    std::string Data; ///< Empty: the sender closed its side.
  };

  /// One direction of one connection: a reader fills the queue, a writer
  /// empties it when the chunks are due.
  struct Pump {
    explicit Pump(const asio::any_io_executor &Executor)
        : NotEmpty(Executor), NotFull(Executor) {}
    std::deque<Chunk> Queue;
    std::size_t QueuedBytes = 0;
    Clock::time_point LastDue{};
    Notifier NotEmpty;
    Notifier NotFull;
  };

  struct Connection {
    explicit Connection(Socket Accepted)
        : Client(std::move(Accepted)), Target(Client.get_executor()),
          Pumps{Pump(Client.get_executor()), Pump(Client.get_executor())} {}

    /// Closes both sides with RST.
    void abort() {
      Aborted = true;
      for (Socket *Side : {&Client, &Target}) {
        std::error_code Ignored;
        Side->set_option(asio::socket_base::linger(true, 0), Ignored);
        Side->close(Ignored);
      }
      for (Pump &Each : Pumps) {
        Each.NotEmpty.notify();
        Each.NotFull.notify();
      }
    }

    Socket Client;
    Socket Target;
    std::array<Pump, 2> Pumps;
    bool ClientClosed = false;
    bool Aborted = false;
  };

  [[nodiscard]] bool cut() const { return Cut_[ToTarget] || Cut_[ToClient]; }

  void openListener() {
    using asio::ip::tcp;
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(
        tcp::endpoint(asio::ip::address_v4::loopback(), Options_.ListenPort));
    Acceptor_.listen(Backlog);
  }

  /// Brings the listener in line with cut and down.
  void applyState() {
    if (!cut() && Down_) {
      std::error_code Ignored;
      Acceptor_.close(Ignored);
      Plug_.reset();
      PlugQueued_ = false;
      PlugPort_ = 0;
    } else {
      if (!Acceptor_.is_open())
        openListener();
      if (cut())
        plug();
      else
        unplug();
    }
    StateChanged_.notify();
  }

  /// Makes the kernel drop connection attempts, as a cut network does: the
  /// queue of established connections gets length 0 and is filled with a
  /// connection of our own.
  void plug() {
    if (Plug_)
      return;
    Acceptor_.cancel();
    ::listen(Acceptor_.native_handle(), 0);
    Plug_ = std::make_shared<Socket>(Context_);
    Plug_->open(asio::ip::tcp::v4());
    Plug_->bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    PlugPort_ = Plug_->local_endpoint().port();
    Plug_->async_connect(Acceptor_.local_endpoint(),
                         [this, Alive = Plug_](const std::error_code &Code) {
                           if (!Code && Plug_ == Alive)
                             PlugQueued_ = true;
                         });
  }

  void unplug() {
    if (!Plug_)
      return;
    std::error_code Ignored;
    // The accept loop sees it only if the kernel had put it into the queue.
    if (!std::exchange(PlugQueued_, false))
      PlugPort_ = 0;
    Plug_->close(Ignored);
    Plug_.reset();
    ::listen(Acceptor_.native_handle(), Backlog);
  }

  asio::awaitable<void> acceptLoop() {
    for (;;) {
      if (cut() || !Acceptor_.is_open()) {
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
        co_await Timers_.sleepFor(RetryPause);
        continue;
      }
      const auto Remote = Accepted.remote_endpoint(Code);
      if (!Code && PlugPort_ != 0 && Remote.port() == PlugPort_) {
        PlugPort_ = 0;
        continue;
      }
      ++Accepted_;
      Accepted.set_option(asio::ip::tcp::no_delay(true), Code);
      auto Carried = std::make_shared<Connection>(std::move(Accepted));
      std::erase_if(Connections_,
                    [](const auto &Weak) { return Weak.expired(); });
      Connections_.push_back(Carried);
      asio::co_spawn(Context_, carry(std::move(Carried)), asio::detached);
    }
  }

  asio::awaitable<void> carry(std::shared_ptr<Connection> Carried) {
    while (cut() && !Carried->Aborted)
      co_await StateWaiters_.wait(Timers_, std::nullopt);
    if (Carried->Aborted)
      co_return;
    std::error_code Code;
    co_await Carried->Target.async_connect(
        Options_.Target, asio::redirect_error(asio::use_awaitable, Code));
    if (Code) {
      ++Refused_;
      Carried->abort();
      if (Code == asio::error::connection_refused)
        markDown();
      co_return;
    }
    Carried->Target.set_option(asio::ip::tcp::no_delay(true), Code);
    asio::co_spawn(Context_, receive(Carried, ToTarget), asio::detached);
    asio::co_spawn(Context_, receive(Carried, ToClient), asio::detached);
    asio::co_spawn(Context_, deliver(Carried, ToTarget), asio::detached);
    asio::co_spawn(Context_, deliver(Carried, ToClient), asio::detached);
  }

  /// Bytes that one direction of a connection may hold back: what is under way
  /// at full rate, twice, so that the queue does not limit the rate.
  [[nodiscard]] std::size_t queueLimit() const {
    if (Options_.RateBytesPerSecond == 0)
      return 1 << 20;
    const double UnderWay =
        static_cast<double>(Options_.RateBytesPerSecond) *
        std::chrono::duration<double>(Options_.Delay).count();
    return std::max<std::size_t>(64 << 10,
                                 static_cast<std::size_t>(2 * UnderWay));
  }

  /// When a chunk that is read now arrives at the other end.
  Clock::time_point dueTime(Direction Which, Pump &Of, std::size_t Bytes) {
    const Clock::time_point Now = Timers_.now();
    Clock::time_point Sent = Now;
    if (Options_.RateBytesPerSecond != 0) {
      Clock::time_point &Free = LineFree_[Which];
      Free = std::max(Free, Now) +
             std::chrono::duration_cast<Clock::duration>(
                 std::chrono::duration<double>(
                     static_cast<double>(Bytes) /
                     static_cast<double>(Options_.RateBytesPerSecond)));
      Sent = Free;
    }
    // A delay that was lowered meanwhile must not reorder chunks.
    Of.LastDue = std::max(Of.LastDue, Sent + Options_.Delay);
    return Of.LastDue;
  }

  asio::awaitable<void> receive(std::shared_ptr<Connection> Carried,
                                Direction Which) {
    Socket &From = Which == ToTarget ? Carried->Client : Carried->Target;
    Pump &Through = Carried->Pumps[Which];
    std::vector<char> Buffer(ReadBytes);
    for (;;) {
      while (!Carried->Aborted && Through.QueuedBytes >= queueLimit())
        co_await Through.NotFull.wait();
      while (!Carried->Aborted && Cut_[Which])
        co_await StateWaiters_.wait(Timers_, std::nullopt);
      if (Carried->Aborted)
        co_return;
      std::error_code Code;
      const std::size_t Bytes = co_await From.async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Carried->Aborted)
        co_return;
      if (Code && Which == ToTarget)
        Carried->ClientClosed = true;
      // A server seldom closes first unless its process ends.
      if (Code && Which == ToClient && !Carried->ClientClosed)
        checkTarget();
      if (Code && Code != asio::error::eof) {
        // A reset is not ordered with the data before it.
        while (!Carried->Aborted && Cut_[Which])
          co_await StateWaiters_.wait(Timers_, std::nullopt);
        Carried->abort();
        co_return;
      }
      Chunk Item{.Due = dueTime(Which, Through, Bytes),
                 .Data = std::string(Buffer.data(), Bytes)};
      Through.QueuedBytes += Bytes;
      Through.Queue.push_back(std::move(Item));
      Through.NotEmpty.notify();
      if (Code)
        co_return;
    }
  }

  asio::awaitable<void> deliver(std::shared_ptr<Connection> Carried,
                                Direction Which) {
    Socket &To = Which == ToTarget ? Carried->Target : Carried->Client;
    Pump &Through = Carried->Pumps[Which];
    for (;;) {
      while (!Carried->Aborted && Through.Queue.empty())
        co_await Through.NotEmpty.wait();
      if (Carried->Aborted)
        co_return;
      const Clock::time_point Due = Through.Queue.front().Due;
      const Clock::time_point Now = Timers_.now();
      if (Now < Due)
        co_await Timers_.sleepFor(Due - Now);
      while (!Carried->Aborted && Cut_[Which])
        co_await StateWaiters_.wait(Timers_, std::nullopt);
      if (Carried->Aborted)
        co_return;
      const Chunk Item = std::move(Through.Queue.front());
      Through.Queue.pop_front();
      std::error_code Code;
      if (Item.Data.empty()) {
        To.shutdown(Socket::shutdown_send, Code);
        co_return;
      }
      co_await asio::async_write(
          To, asio::buffer(Item.Data),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code) {
        Carried->abort();
        co_return;
      }
      Bytes_[Which] += Item.Data.size();
      Through.QueuedBytes -= Item.Data.size();
      Through.NotFull.notify();
    }
  }

  /// Finds out at once, not at the next connection, whether a target that
  /// ended a connection still listens.
  void checkTarget() {
    if (!Options_.RefuseWhenDown || Probing_ || Down_)
      return;
    Probing_ = true;
    asio::co_spawn(Context_, probe(), asio::detached);
  }

  void markDown() {
    if (!Options_.RefuseWhenDown || Down_)
      return;
    Down_ = true;
    applyState();
    if (!Probing_) {
      Probing_ = true;
      asio::co_spawn(Context_, probe(), asio::detached);
    }
  }

  asio::awaitable<void> probe() {
    do {
      if (Down_)
        co_await Timers_.sleepFor(RetryPause);
      Socket Attempt(Context_);
      std::error_code Code;
      co_await Attempt.async_connect(
          Options_.Target, asio::redirect_error(asio::use_awaitable, Code));
      const bool Down = Code == asio::error::connection_refused;
      if (Down != Down_) {
        Down_ = Down;
        applyState();
      }
    } while (Down_);
    Probing_ = false;
  }

  static constexpr int Backlog = 1024;
  static constexpr std::size_t ReadBytes = 16 << 10;
  static constexpr std::chrono::milliseconds RetryPause{100};

  asio::io_context &Context_;
  TimerService &Timers_;
  RelayLinkOptions Options_;
  Socket Reservation_;
  asio::ip::tcp::acceptor Acceptor_;
  std::shared_ptr<Socket> Plug_;
  std::uint16_t PlugPort_ = 0;
  bool PlugQueued_ = false;
  Notifier StateChanged_;
  WaiterList StateWaiters_;
  std::list<std::weak_ptr<Connection>> Connections_;
  std::array<bool, 2> Cut_{};
  std::array<Clock::time_point, 2> LineFree_{};
  std::array<std::uint64_t, 2> Bytes_{};
  std::uint64_t Accepted_ = 0;
  std::uint64_t Refused_ = 0;
  bool Down_ = false;
  bool Probing_ = false;
};

/// All links of one test network, controlled over HTTP.
class NetRelay {
public:
  NetRelay(asio::io_context &Context, TimerService &Timers)
      : Context_(Context), Timers_(Timers) {}

  /// Opens the links of {links: [{name, listen_port, target, delay_ms,
  /// rate_bytes_per_s, group, refuse_when_down}]}; returns what is wrong.
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

  /// Handles one HTTP request; for HttpServer.
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    if (Request.Path == "/control" && Request.Method == "POST") {
      const auto Wanted = nlohmann::json::parse(Request.Body, nullptr, false);
      if (const auto Wrong = change(Wanted))
        co_return error(400, *Wrong);
      co_return HttpServerResponse{.Body = statsJson().dump()};
    }
    if (Request.Path == "/stats" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = statsJson().dump()};
    co_return error(404, "no such resource");
  }

  /// Applies {link | group | all: true, cut, mode: freeze|reset, direction:
  /// both|to_target|to_client, delay_ms, rate_bytes_per_s}; returns what is
  /// wrong and then changes nothing.
  std::optional<std::string> change(const nlohmann::json &Wanted) {
    if (!Wanted.is_object())
      return "body must be a JSON object";
    for (const auto &[Key, Value] : Wanted.items())
      if (Key != "link" && Key != "group" && Key != "all" && Key != "cut" &&
          Key != "mode" && Key != "direction" && Key != "delay_ms" &&
          Key != "rate_bytes_per_s")
        return "unknown key " + Key;
    try {
      std::vector<RelayLink *> Selected;
      const std::string Name = Wanted.value("link", std::string());
      const std::string Group = Wanted.value("group", std::string());
      const bool All = Wanted.value("all", false);
      for (const auto &Link : Links_)
        if (All || (!Name.empty() && Link->options().Name == Name) ||
            (!Group.empty() && Link->options().Group == Group))
          Selected.push_back(Link.get());
      if (Selected.empty())
        return "no link of that name or group";
      const std::string Mode = Wanted.value("mode", std::string("freeze"));
      if (Mode != "freeze" && Mode != "reset")
        return "mode must be freeze or reset";
      const std::string Which = Wanted.value("direction", std::string("both"));
      if (Which != "both" && Which != "to_target" && Which != "to_client")
        return "direction must be both, to_target or to_client";
      const double DelayMs = Wanted.value("delay_ms", 0.0);
      const auto Rate = Wanted.value("rate_bytes_per_s", std::int64_t(0));
      if (DelayMs < 0 || Rate < 0)
        return "delay_ms and rate_bytes_per_s must not be negative";
      const bool Cut = Wanted.value("cut", false);
      for (RelayLink *Link : Selected) {
        if (Wanted.contains("delay_ms"))
          Link->setDelay(milliseconds(DelayMs));
        if (Wanted.contains("rate_bytes_per_s"))
          Link->setRate(static_cast<std::uint64_t>(Rate));
        if (!Wanted.contains("cut"))
          continue;
        if (Which != "to_client")
          Link->setCut(RelayLink::ToTarget, Cut);
        if (Which != "to_target")
          Link->setCut(RelayLink::ToClient, Cut);
        if (Cut && Mode == "reset")
          Link->resetConnections();
      }
    } catch (const nlohmann::json::exception &Failure) {
      return Failure.what();
    }
    return std::nullopt;
  }

  /// Byte counts are of TCP payload that was delivered.
  [[nodiscard]] nlohmann::json statsJson() const {
    nlohmann::json Items = nlohmann::json::array();
    for (const auto &Link : Links_)
      Items.push_back(Link->statsJson());
    return {{"links", std::move(Items)}};
  }

private:
  static std::chrono::microseconds milliseconds(double Value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(Value));
  }

  static HttpServerResponse error(int Status, const std::string &Message) {
    const nlohmann::json Body = {{"code", Status}, {"message", Message}};
    return {.Status = Status, .Body = Body.dump()};
  }

  asio::io_context &Context_;
  TimerService &Timers_;
  std::vector<std::unique_ptr<RelayLink>> Links_;
};

} // namespace hickory
