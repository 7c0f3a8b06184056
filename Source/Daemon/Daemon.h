#pragma once

#include "Backends/InstanceList.h"
#include "Backends/RackManager.h"
#include "Base/AsioTimerService.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Supervisor.h"
#include "Config/ConfigState.h"
#include "Config/Settings.h"
#include "Daemon/ConfigSnapshotter.h"
#include "Daemon/LogReaderPart.h"
#include "Daemon/SummaryExchange.h"
#include "Gateway/Gateway.h"
#include "Http/CurlHttpClient.h"
#include "Jobs/CellView.h"
#include "Jobs/JobManager.h"
#include "Jobs/JobRunner.h"
#include "Jobs/JobTable.h"
#include "Jobs/RackChooser.h"
#include "Jobs/RequestService.h"
#include "Jobs/SubmitRouter.h"
#include "Log/HttpLogClient.h"
#include "Log/LogReader.h"
#include "Log/LogWriter.h"
#include "Membership/DomainState.h"
#include "Membership/LogWriterAppender.h"
#include "Membership/Ownership.h"
#include "Peers/GrpcPeerClient.h"
#include "Peers/GrpcPeerServer.h"
#include "Scheduling/FairShare.h"

#include <asio/io_context.hpp>

namespace hickory {

/// Protections that tests remove from a whole process, to show that the history
/// checks notice. Never set in production.
struct DaemonFaults {
  OwnershipFaults Ownership;
  bool SkipIntent = false;
  bool SkipRecoveryCheck = false;
};

/// One entry instance: builds all parts, wires them together and runs them
/// under one supervisor on one thread.
class Daemon final : private PeerHandler, private TaskEndSink {
public:
  Daemon(asio::io_context &Context, const Settings &Configured,
         DaemonFaults Faults = {});

  /// Listens and starts all parts.
  Result<void> start();
  /// Graceful shutdown; OnStopped is called when everything has ended.
  void requestDrain();
  /// Logs that SIGHUP changes nothing, as settings are read only once.
  void logReloadRequest();
  void onStopped(std::function<void(bool Clean)> Callback) {
    OnStopped_ = std::move(Callback);
  }

private:
  asio::awaitable<void> drain(bool Clean);
  [[nodiscard]] bool ready() const;
  void registerGauges();
  void shareQuotas();

  // PeerHandler
  asio::awaitable<peer::HelloReply> hello(peer::HelloRequest) override;
  asio::awaitable<peer::ConsentReply> consent(peer::ConsentRequest) override;
  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest) override;
  asio::awaitable<peer::QueryReply> query(peer::QueryRequest) override;
  asio::awaitable<peer::CancelReply> cancel(peer::CancelRequest) override;
  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest) override;
  asio::awaitable<peer::ReserveReply> reserve(peer::ReserveRequest) override;
  asio::awaitable<peer::TaskStatusReply>
      taskStatus(peer::TaskStatusRequest) override;
  asio::awaitable<peer::StopTaskReply> stopTask(peer::StopTaskRequest) override;
  asio::awaitable<peer::TaskEndedReply>
      taskEnded(peer::TaskEndedNotice) override;
  asio::awaitable<peer::ExecuteReply> execute(peer::ExecuteRequest) override;
  asio::awaitable<peer::SummaryReply> summary(peer::SummaryRequest) override;
  asio::awaitable<peer::ConfigTailReply>
      configTail(peer::ConfigTailRequest) override;

  // TaskEndSink
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended) override;

  asio::io_context &Context_;
  Settings Settings_;
  AsioTimerService Timers_;
  Metrics Counters_;
  EventLog Events_;
  CurlHttpClient PlatformHttp_; ///< Log service and instance list.
  CurlHttpClient UpstreamHttp_; ///< Workers and executors.
  HttpLogClient Log_;
  LogWriter DomainWriter_;
  LogWriter ConfigWriter_;
  LogWriterAppender Appender_;
  JobTable Table_;
  DomainState Domain_;
  ConfigState Config_;
  LogReader DomainReader_;
  LogReader ConfigReader_;
  GrpcPeerClient Peers_;
  Ownership Ownership_;
  InstanceList Upstreams_;
  RackManager Racks_;
  CellView Cell_;
  FairShare Shares_;
  RackChooser Chooser_;
  RequestService Requests_;
  JobRunner Runner_;
  JobManager Jobs_;
  SubmitRouter Router_;
  SummaryExchange Summaries_;
  ConfigSnapshotter ConfigSnapshots_;
  LogReaderPart DomainReaderPart_;
  LogReaderPart ConfigReaderPart_;
  Gateway Gateway_;
  GrpcPeerServer PeerServer_;
  Supervisor Supervisor_;
  Subscription QuotaTimer_;
  bool Draining_ = false;
  std::function<void(bool)> OnStopped_;
};

} // namespace hickory
