#pragma once

#include "Base/Component.h"
#include "Base/Notifier.h"
#include "Config/ConfigView.h"
#include "Jobs/JobRunner.h"
#include "Jobs/JobService.h"
#include "Jobs/RequestService.h"
#include "Membership/OwnershipView.h"

namespace hickory {

/// The job owner: forwards calls for keys that this instance owns to the
/// request service or the job runner, and reacts to acquired and lost key
/// shards.
class JobManager final : public Component, public JobService {
public:
  JobManager(asio::any_io_executor Executor, TimerService &Timers,
             ConfigView &Config, OwnershipView &Ownership, JobTable &Table,
             RequestService &Requests, JobRunner &Runner);

  [[nodiscard]] std::string_view name() const override { return "jobs"; }
  asio::awaitable<Result<void>> run() override;
  void stop() override { Stopped_.notify(); }

  asio::awaitable<peer::SubmitReply>
  submit(peer::SubmitRequest Request) override;
  asio::awaitable<peer::QueryReply> query(peer::QueryRequest Request) override;
  asio::awaitable<peer::CancelReply>
  cancel(peer::CancelRequest Request) override;
  asio::awaitable<peer::TaskEndedReply>
  taskEnded(peer::TaskEndedNotice Notice) override;

private:
  /// Returns true if this instance owns the key's shard and is not releasing
  /// it.
  [[nodiscard]] bool acceptsKey(const std::string &Key) const;
  [[nodiscard]] std::string ownerSlot(const std::string &Key) const;
  void handleOwnershipChange(const OwnershipView::Change &Change);
  asio::awaitable<void> release(std::string Shard, std::function<void()> Done);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ConfigView &Config_;
  OwnershipView &Ownership_;
  RequestService &Requests_;
  JobRunner &Runner_;
  Notifier Stopped_;
  std::set<std::string> ReleasingShards_;
  Subscription ChangeSubscription_;
  Subscription ReleaseSubscription_;
};

} // namespace hickory
