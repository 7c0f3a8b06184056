#pragma once

#include "Base/AsioTimerService.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Supervisor.h"
#include "Cell/AccountLoadControl.h"
#include "Cell/CapacityView.h"
#include "Cell/CellConfiguration.h"
#include "Cell/CellGateway.h"
#include "Cell/CellNode.h"
#include "Cell/CellRecords.h"
#include "Cell/ClientAccounts.h"
#include "Cell/ConfigurationRelay.h"
#include "Cell/Dispatcher.h"
#include "Cell/HttpCellPeer.h"
#include "Cell/JobOwner.h"
#include "Cell/KeyedFollower.h"
#include "Cell/ProcessorUseMonitor.h"
#include "Cell/QuotaClient.h"
#include "Cell/ShardMembership.h"
#include "Cell/WorkerList.h"
#include "Cell/WorkerPool.h"

#include <functional>
#include <memory>
#include <optional>

namespace hickory {

struct CellDaemonOptions {
  std::string Address; ///< ip:port at which the other processes reach this one.
  int Shards = 24;
  std::string WorkersTopic;
  std::string OperatorTopic;
  WorkerAgentOptions Workers;
  ShardMembershipOptions Membership;
  JobOwnerOptions Jobs;
  DispatcherOptions Dispatch;
  CellNodeOptions Node;
  /// Part of a cap by which a single task or gang may exceed it, if nothing
  /// else of the account runs.
  double QuotaOverage = 0;
  bool AdmissionControl = false;
  EventLogOptions Events;
};

/// Clients of the platform's services that the cell uses.
struct CellServices {
  StoreClient &Store;
  WorkerClient &Workers;
  AdviceClient &Adviser;
  CellRecords &Records;
  HttpClient &Peers;
};

/// All components of one process of the cell, and their supervisor. A cell is
/// the group of processes that share the jobs and workers of one store: each
/// holds some of the shards, and any of them answers clients.
class CellDaemon {
public:
  CellDaemon(asio::io_context &Context, CellServices Services,
             CellDaemonOptions Options);

  void start();
  /// Gives the shards to other processes, which are told. Requests are
  /// forwarded as before.
  asio::awaitable<void> handOver();
  void stop();

  /// Returns true if the process can serve client requests.
  [[nodiscard]] bool isReady() const;
  [[nodiscard]] CellGateway &gateway() { return Gateway_; }
  [[nodiscard]] ClientAccounts &accounts() { return Accounts_; }
  [[nodiscard]] CellHandler &handler() { return Node_; }
  [[nodiscard]] Metrics &metrics() { return Metrics_; }
  [[nodiscard]] TimerService &timers() { return Timers_; }
  [[nodiscard]] EventLog &events() { return Events_; }

private:
  void updateWorkers(const std::map<std::string, std::string> &Values,
                     const std::set<std::string> &Changed);
  void updateConfiguration(const std::map<std::string, std::string> &Values);
  /// Returns the processes to ask for the configuration.
  [[nodiscard]] std::vector<std::string>
  configurationSources(Clock::duration StoreFailing) const;
  /// Puts the accounts of Configuration_ into force.
  void updateAccounts();

  asio::io_context &Context_;
  CellServices Services_;
  CellDaemonOptions Options_;
  AsioTimerService Timers_;
  EventLog Events_;
  Metrics Metrics_;
  ShardMap Map_;
  CellConfiguration Configuration_;
  ClientAccounts Accounts_;
  ShardMembership Shards_;
  WorkerPool Pool_;
  JobOwner Jobs_;
  CapacityView View_;
  HttpCellPeer Peers_;
  AdviceRouter Adviser_;
  QuotaClient Quota_;
  Dispatcher Dispatcher_;
  AccountLoadControl LoadControl_;
  ProcessorUseMonitor UseMonitor_;
  CellNode Node_;
  CellGateway Gateway_;
  WorkerList ListedWorkers_;
  Clock::time_point WorkersAppliedAt_{};
  KeyedFollower Workers_;
  ConfigurationRelay Relay_;
  KeyedFollower Operator_;
  Supervisor Supervisor_;
  bool Draining_ = false;
};

} // namespace hickory
