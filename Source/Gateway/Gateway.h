#pragma once

#include "Backends/InstanceList.h"
#include "Backends/RackManager.h"
#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Base/Random.h"
#include "Config/ConfigState.h"
#include "Gateway/AdmissionControl.h"
#include "Http/HttpServer.h"
#include "Jobs/CellView.h"
#include "Jobs/JobRunner.h"
#include "Jobs/SubmitRouter.h"
#include "Log/LogWriter.h"
#include "Membership/OwnershipView.h"

#include <asio/io_context.hpp>
#include <functional>

namespace hickory {

struct GatewayOptions {
  HttpServerOptions Server;
  std::size_t MaximumWaitingRequests = 2000;
  std::chrono::milliseconds DefaultTimeout{10000};
  /// How long new requests are still taken after the readiness check began to
  /// fail, so that the balancer has time to notice.
  std::chrono::milliseconds DrainDelay{1500};
  std::chrono::milliseconds DrainLimit{30000};
};

/// Everything that the gateway shows or acts on.
struct GatewayDependencies {
  TimerService &Timers;
  Metrics &Counters;
  EventLog &Events;
  OwnershipView &Ownership;
  const PeerDirectory &Directory;
  ConfigState &Config;
  LogWriter &ConfigWriter;
  SubmitRouter &Router;
  JobRunner &Runner;
  RackManager &Racks;
  InstanceList &Upstreams;
  CellView &Cell;
  std::function<bool()> Ready;
  std::function<void()> RequestDrain;
};

/// HTTP interface for callers and operators.
class Gateway final : public Component {
public:
  Gateway(asio::io_context &Context, GatewayOptions Options,
          GatewayDependencies Uses);

  [[nodiscard]] std::string_view name() const override { return "gateway"; }
  asio::awaitable<Result<void>> run() override;
  /// Leaves the balancer's rotation, then waits for requests in flight. Those
  /// that are left at DrainLimit are answered with 504.
  asio::awaitable<void> drain() override;
  void stop() override;
  [[nodiscard]] std::uint16_t port() const { return Server_.port(); }

private:
  /// Waits until no request is in flight, at most Limit.
  asio::awaitable<void> waitUntilAnswered(std::chrono::milliseconds Limit);
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request);
  asio::awaitable<HttpServerResponse> submit(std::string Body, bool IsJob);
  asio::awaitable<HttpServerResponse> query(std::string Key);
  asio::awaitable<HttpServerResponse> cancel(std::vector<std::string> Keys);
  asio::awaitable<HttpServerResponse> applyConfig(std::string Body);
  HttpServerResponse checkConfig(const std::string &Body) const;
  HttpServerResponse publishedConfig() const;
  HttpServerResponse workers() const;
  HttpServerResponse tasks() const;
  HttpServerResponse queues() const;
  HttpServerResponse shares() const;
  HttpServerResponse status() const;

  GatewayOptions Options_;
  GatewayDependencies Uses_;
  AdmissionControl Admission_;
  Random Random_ = Random::fromSystem();
  bool Draining_ = false;
  bool Refusing_ = false;
  Notifier Stopped_;
  HttpServer Server_;
};

} // namespace hickory
