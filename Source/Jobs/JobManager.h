#pragma once

#include "Base/Component.h"
#include "Base/Notifier.h"
#include "Config/ConfigView.h"
#include "Jobs/JobRunner.h"
#include "Jobs/JobService.h"
#include "Jobs/RequestService.h"
#include "Membership/OwnershipView.h"

namespace hickory {

/// The job owner: passes work on keys held here to the request service or the
/// job runner, and follows the gain and loss of key shards.
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
  /// True if the key's shard is held and not about to be released.
  [[nodiscard]] bool accepts(const std::string &Key) const;
  [[nodiscard]] std::string ownerSlot(const std::string &Key) const;
  void changed(const OwnershipView::Change &Change);
  asio::awaitable<void> release(std::string Shard, std::function<void()> Done);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ConfigView &Config_;
  OwnershipView &Ownership_;
  RequestService &Requests_;
  JobRunner &Runner_;
  Notifier Stopped_;
  std::set<std::string> Releasing_;
  Subscription Changes_;
  Subscription Releases_;
};

} // namespace hickory
