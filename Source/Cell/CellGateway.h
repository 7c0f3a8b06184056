#pragma once

#include "Cell/CellConfiguration.h"
#include "Cell/CellNode.h"

#include <chrono>
#include <optional>
#include <string>

namespace hickory {

struct GatewayAnswer {
  int Status = 503;
  std::string State;          ///< State of a job.
  std::optional<int> Waiting; ///< Number of waiting jobs of a queue.
  /// Set if the request was refused. Zero: retry at once at another process.
  std::optional<std::chrono::seconds> RetryAfter = std::nullopt;
};

/// Forwards client requests, which may arrive at any process, to the owner of
/// the job.
class CellGateway {
public:
  CellGateway(ShardMembership &Shards, ShardMap Map, CellPeer &Peers,
              CellNode &Node, const CellConfiguration &Configuration,
              TimerService &Timers, EventLog &Events)
      : Shards_(Shards), Map_(Map), Peers_(Peers), Node_(Node),
        Configuration_(Configuration), Timers_(Timers), Events_(Events) {}

  [[nodiscard]] bool isConfigured() const { return Configuration_.Version > 0; }
  /// Returns null if no queue has the path.
  [[nodiscard]] const QueuePolicy *findQueue(const std::string &Host,
                                             const std::string &Path) const {
    return Configuration_.findQueue(Host, Path);
  }

  /// Sets the part of a cap by which a task or gang that starts alone may
  /// exceed it.
  void setQuotaOverage(double Overage) { QuotaOverage_ = Overage; }
  asio::awaitable<GatewayAnswer> submit(JobSpec Job);
  asio::awaitable<GatewayAnswer> state(std::string Id);
  asio::awaitable<GatewayAnswer> cancel(std::string Id);
  [[nodiscard]] GatewayAnswer waitingJobs(const std::string &Queue) const;

private:
  [[nodiscard]] std::optional<std::string> ownerOf(const std::string &Id) const;
  /// Returns the first step that can never start because of the account's cap;
  /// null if there is none.
  [[nodiscard]] const StepSpec *findOverQuota(const JobSpec &Job) const;
  /// Answers a submission that can never run: 400, unless an earlier
  /// configuration let the job be accepted.
  asio::awaitable<GatewayAnswer> answerOverQuota(JobSpec Job, StepSpec Step);
  /// Returns how long a refused client should wait before it retries.
  [[nodiscard]] std::chrono::seconds retryDelay() const;
  GatewayAnswer makeAnswer(const std::string &Id, const char *Call,
                           const Result<SubmitReply> &Reply);

  ShardMembership &Shards_;
  ShardMap Map_;
  CellPeer &Peers_;
  CellNode &Node_;
  const CellConfiguration &Configuration_;
  TimerService &Timers_;
  EventLog &Events_;
  double QuotaOverage_ = 0;
};

} // namespace hickory
