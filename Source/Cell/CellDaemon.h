#pragma once

#include "Base/AsioTimerService.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Supervisor.h"
#include "Cell/CapacityView.h"
#include "Cell/CellConfiguration.h"
#include "Cell/CellGateway.h"
#include "Cell/CellNode.h"
#include "Cell/Dispatcher.h"
#include "Cell/HttpCellPeer.h"
#include "Cell/JobOwner.h"
#include "Cell/KeyedFollower.h"
#include "Cell/ShardMembership.h"
#include "Cell/WorkerPool.h"

#include <functional>
#include <memory>
#include <optional>

namespace hickory {

/// Reads what the operator and the workers publish in the store.
class CellRecords {
public:
  virtual ~CellRecords() = default;
  /// Nothing if the record names no worker to use.
  [[nodiscard]] virtual std::optional<WorkerEntry>
  worker(const std::string &Key, const std::string &Value) const = 0;
  /// Nothing if the record is not a configuration.
  [[nodiscard]] virtual std::optional<CellConfiguration>
  configuration(const std::string &Key, const std::string &Value) const = 0;
};

struct CellDaemonOptions {
  std::string Address; ///< For the other processes, ip:port.
  int Shards = 24;
  std::string WorkersTopic;
  std::string OperatorTopic;
  WorkerAgentOptions Workers;
  ShardMembershipOptions Membership;
  JobOwnerOptions Jobs;
  DispatcherOptions Dispatch;
  CellNodeOptions Node;
  EventLogOptions Events;
  /// After the request to stop, open connections are served so long.
  std::chrono::milliseconds DrainTime{2800};
};

/// The platform's services, as the cell uses them.
struct CellServices {
  StoreClient &Store;
  WorkerClient &Workers;
  AdviceClient &Adviser;
  CellRecords &Records;
  HttpClient &Peers;
};

/// All parts of one process of the cell and their supervisor.
class CellDaemon {
public:
  CellDaemon(asio::io_context &Context, CellServices Services,
             CellDaemonOptions Options);

  void start();
  /// Hands the shards over, then serves open connections until they are done.
  asio::awaitable<void> drain();
  void stop();

  /// True if requests can be served.
  [[nodiscard]] bool ready() const;
  [[nodiscard]] CellGateway &gateway() { return Gateway_; }
  [[nodiscard]] CellHandler &handler() { return Node_; }
  [[nodiscard]] const Metrics &metrics() const { return Metrics_; }
  [[nodiscard]] EventLog &events() { return Events_; }

private:
  void updateWorkers(const std::map<std::string, std::string> &Values);
  void updateConfiguration(const std::map<std::string, std::string> &Values);

  asio::io_context &Context_;
  CellServices Services_;
  CellDaemonOptions Options_;
  AsioTimerService Timers_;
  EventLog Events_;
  Metrics Metrics_;
  ShardMap Map_;
  CellConfiguration Configuration_;
  ShardMembership Shards_;
  WorkerPool Pool_;
  JobOwner Jobs_;
  CapacityView View_;
  HttpCellPeer Peers_;
  AdviceRouter Adviser_;
  Dispatcher Dispatcher_;
  CellNode Node_;
  CellGateway Gateway_;
  KeyedFollower Workers_;
  KeyedFollower Operator_;
  Supervisor Supervisor_;
  bool Draining_ = false;
};

} // namespace hickory
