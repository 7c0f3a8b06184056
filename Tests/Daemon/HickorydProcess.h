#pragma once

#include "Base/AsioTimerService.h"
#include "Http/CurlHttpClient.h"
#include "Http/HttpServer.h"
#include "StandIns/InstanceListStandIn.h"
#include "StandIns/LogStandIn.h"
#include "StandIns/StandInSupport.h"
#include "Support/ChildProcess.h"
#include "Support/RunCoroutine.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <cppunit/TestAssert.h>
#include <filesystem>
#include <fmt/format.h>
#include <memory>
#include <optional>

namespace hickory {

/// A hickoryd process that is the only instance of its cell. Stand-ins for the
/// log and the list run in the test.
class HickorydProcess {
public:
  HickorydProcess()
      : Timers_(Context_), Log_(Timers_, {}, 1),
        List_(Timers_, std::chrono::milliseconds(0)),
        LogServer_(Context_, {},
                   [this](HttpServerRequest Request) {
                     return Log_.handle(std::move(Request));
                   }),
        ListServer_(Context_, {},
                    [this](HttpServerRequest Request) {
                      return List_.handle(std::move(Request));
                    }),
        Client_(Context_), Folder_("/tmp/hickorypick-daemon-XXXXXX") {
    CPPUNIT_ASSERT(::mkdtemp(Folder_.data()) != nullptr);
    CPPUNIT_ASSERT(!List_.load({{"instances", nlohmann::json::array()}}));
    LogServer_.start();
    ListServer_.start();
    choosePorts();
    writeFile(Folder_ + "/settings.toml", settings());
    Process_ = std::make_unique<ChildProcess>(std::vector<std::string>{
        "/bin/sh", "-c", R"(exec "$1" --settings="$2" 2>"$3")", "sh",
        std::string(TOOL_FOLDER) + "/hickoryd", Folder_ + "/settings.toml",
        Folder_ + "/hickoryd.log"});
  }
  ~HickorydProcess() {
    Process_.reset();
    std::filesystem::remove_all(Folder_);
  }
  HickorydProcess(const HickorydProcess &) = delete;
  HickorydProcess &operator=(const HickorydProcess &) = delete;

  /// Waits until the process answers /readyz with 200.
  void awaitReady() {
    constexpr std::chrono::seconds ReadyTimeout(30);
    const auto Deadline = std::chrono::steady_clock::now() + ReadyTimeout;
    while (statusOf("GET", "/readyz", "") != 200) {
      CPPUNIT_ASSERT_MESSAGE(log(),
                             std::chrono::steady_clock::now() < Deadline);
      runFor(std::chrono::milliseconds(50));
    }
  }

  /// Makes each call of the log take at least this time.
  void slowLogDown(std::chrono::milliseconds Delay) {
    CPPUNIT_ASSERT(!Log_.changeSettings({{"slow_ms", Delay.count()}}));
  }

  /// Sends a request and returns the status of the response, or nothing if
  /// there was none.
  std::optional<int> statusOf(const std::string &Method,
                              const std::string &Path, std::string Body) {
    return runCoroutine(Context_, send(Method, Path, std::move(Body)));
  }

  std::string events() {
    HttpClientRequest Request{.Url = url("/v1/events?from=0"),
                              .Timeout = Timeout};
    const auto Reply = runCoroutine(Context_, Client_.send(std::move(Request)));
    return Reply ? Reply->Body : "";
  }

  asio::awaitable<std::optional<int>> send(std::string Method, std::string Path,
                                           std::string Body) {
    HttpClientRequest Request{.Method = std::move(Method),
                              .Url = url(Path),
                              .Body = std::move(Body),
                              .Timeout = Timeout};
    const auto Reply = co_await Client_.send(std::move(Request));
    co_return Reply ? std::optional<int>(Reply->Status) : std::nullopt;
  }

  void runFor(std::chrono::milliseconds Time) {
    Context_.restart();
    Context_.run_for(Time);
  }

  /// Returns whether the process exits in time. The stand-ins run meanwhile.
  bool exitsWithin(std::chrono::milliseconds Limit) {
    const auto Deadline = std::chrono::steady_clock::now() + Limit;
    bool Exited = Process_->exitsWithin(std::chrono::milliseconds(0));
    while (!Exited && std::chrono::steady_clock::now() < Deadline) {
      runFor(std::chrono::milliseconds(20));
      Exited = Process_->exitsWithin(std::chrono::milliseconds(0));
    }
    return Exited;
  }

  /// As of ChildProcess::wait(); the process must have exited.
  [[nodiscard]] int exitStatus() const { return Process_->wait(); }
  void sendSignal(int Number) const { ::kill(Process_->id(), Number); }
  /// Empty until the process has been started.
  [[nodiscard]] std::string log() const {
    const std::string Path = Folder_ + "/hickoryd.log";
    return std::filesystem::exists(Path) ? readFile(Path) : "";
  }
  [[nodiscard]] std::uint16_t gatewayPort() const { return GatewayPort_; }
  [[nodiscard]] asio::io_context &context() { return Context_; }

private:
  static constexpr std::chrono::seconds Timeout{120};

  [[nodiscard]] std::string url(const std::string &Path) const {
    return fmt::format("http://{}:{}{}", Ip_, GatewayPort_, Path);
  }

  void choosePorts() {
    // The address depends on the test process, so that the ports stay free
    // until hickoryd binds them.
    Ip_ = fmt::format("127.{}.{}.2", 20 + ::getpid() / 250 % 200,
                      1 + ::getpid() % 250);
    const auto Address = asio::ip::make_address(Ip_);
    const asio::ip::tcp::acceptor Gateway(Context_, {Address, 0});
    const asio::ip::tcp::acceptor Peer(Context_, {Address, 0});
    GatewayPort_ = Gateway.local_endpoint().port();
    PeerPort_ = Peer.local_endpoint().port();
  }

  [[nodiscard]] std::string settings() const {
    return fmt::format(R"([instance]
slot = "pa-1"
failure_domain = "paarl-a"
region = "western-cape"
[gateway]
address = "{0}"
port = {1}
[peer]
address = "{0}"
port = {2}
[platform]
log_url = "http://127.0.0.1:{3}"
list_url = "http://127.0.0.1:{4}/v1/instances"
[[domain]]
name = "paarl-a"
region = "western-cape"
[[domain.slot]]
name = "pa-1"
peer_address = "{0}:{2}"
gateway_address = "{0}:{1}"
)",
                       Ip_, GatewayPort_, PeerPort_, LogServer_.port(),
                       ListServer_.port());
  }

  asio::io_context Context_{1};
  AsioTimerService Timers_;
  LogStandIn Log_;
  InstanceListStandIn List_;
  HttpServer LogServer_;
  HttpServer ListServer_;
  CurlHttpClient Client_;
  std::string Folder_;
  std::string Ip_;
  std::uint16_t GatewayPort_ = 0;
  std::uint16_t PeerPort_ = 0;
  std::unique_ptr<ChildProcess> Process_;
};

} // namespace hickory
