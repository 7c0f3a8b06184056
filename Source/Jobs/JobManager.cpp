#include "Jobs/JobManager.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace hickory {

namespace {

constexpr std::chrono::milliseconds ReleasePollInterval{20};
/// Maximum wait for requests and task starts in progress before a planned
/// release of a shard.
constexpr std::chrono::seconds ReleaseTimeout{15};
constexpr std::string_view KeyShardPrefix = "keys/";

bool isKeyShard(const std::string &Shard) {
  return Shard.starts_with(KeyShardPrefix);
}

} // namespace

JobManager::JobManager(asio::any_io_executor Executor, TimerService &Timers,
                       ConfigView &Config, OwnershipView &Ownership,
                       JobTable &Table, RequestService &Requests,
                       JobRunner &Runner)
    : Executor_(Executor), Timers_(Timers), Config_(Config),
      Ownership_(Ownership), Requests_(Requests), Runner_(Runner),
      Stopped_(Executor) {
  Table.onChange([this](const std::string &Key) { Runner_.keyChanged(Key); });
  ChangeSubscription_ =
      Ownership.subscribe([this](const OwnershipView::Change &Change) {
        handleOwnershipChange(Change);
      });
  ReleaseSubscription_ = Ownership.onRelease(
      [this](std::string Shard, std::function<void()> Done) {
        asio::co_spawn(Executor_, release(std::move(Shard), std::move(Done)),
                       asio::detached);
      });
}

asio::awaitable<Result<void>> JobManager::run() {
  asio::co_spawn(Executor_, Runner_.dispatchLoop(), asio::detached);
  co_await Stopped_.wait();
  co_return Result<void>();
}

bool JobManager::acceptsKey(const std::string &Key) const {
  const std::string Shard = keyShard(Key);
  return Ownership_.holds(Shard) && ReleasingShards_.count(Shard) == 0;
}

std::string JobManager::ownerSlot(const std::string &Key) const {
  const auto Owner = Ownership_.ownerOf(keyShard(Key));
  return Owner ? Owner->Slot : std::string();
}

asio::awaitable<peer::SubmitReply>
JobManager::submit(peer::SubmitRequest Request) {
  peer::SubmitReply Reply;
  if (!acceptsKey(Request.key())) {
    Reply.set_status(peer::STATUS_NOT_OWNER);
    Reply.set_owner_slot(ownerSlot(Request.key()));
    co_return Reply;
  }
  const auto Class = Config_.jobClass(Request.job_class());
  if (!Class) {
    // The instance that accepted the call knew the class, so the configuration
    // of this instance is older.
    Reply.set_status(peer::STATUS_UNAVAILABLE);
    Reply.set_outcome(records::OUTCOME_NOT_RUN);
    Reply.set_detail("job class " + Request.job_class() +
                     " is not yet known to the owner of the key");
    co_return Reply;
  }
  if (Request.is_job())
    co_return co_await Runner_.submit(std::move(Request), *Class);
  co_return co_await Requests_.submit(std::move(Request), *Class);
}

asio::awaitable<peer::QueryReply>
JobManager::query(peer::QueryRequest Request) {
  peer::QueryReply Reply;
  if (!acceptsKey(Request.key())) {
    Reply.set_status(peer::STATUS_NOT_OWNER);
    Reply.set_owner_slot(ownerSlot(Request.key()));
    co_return Reply;
  }
  Reply = Runner_.query(Request.key());
  if (Reply.status() == peer::STATUS_NOT_FOUND)
    Reply = co_await Requests_.query(Request.key());
  co_return Reply;
}

asio::awaitable<peer::CancelReply>
JobManager::cancel(peer::CancelRequest Request) {
  peer::CancelReply Reply;
  std::vector<std::string> Keys;
  for (const std::string &Key : Request.keys()) {
    if (!acceptsKey(Key)) {
      Reply.set_status(peer::STATUS_NOT_OWNER);
      co_return Reply;
    }
    Keys.push_back(Key);
  }
  Reply.set_cancelled(Runner_.cancel(Keys));
  co_return Reply;
}

asio::awaitable<peer::TaskEndedReply>
JobManager::taskEnded(peer::TaskEndedNotice Notice) {
  peer::TaskEndedReply Reply;
  for (const records::TaskEnded &Ended : Notice.ended()) {
    const std::string Key = Ended.key();
    // A key that is not owned must not prevent the handling of the other ends
    // in the notice, so it is listed and skipped.
    if (!Ownership_.holds(keyShard(Key))) {
      Reply.set_status(peer::STATUS_NOT_OWNER);
      Reply.add_not_owned(Key);
      continue;
    }
    if (!co_await Runner_.taskEnded(Ended) && Reply.status() == peer::STATUS_OK)
      Reply.set_status(peer::STATUS_UNAVAILABLE);
  }
  co_return Reply;
}

void JobManager::handleOwnershipChange(const OwnershipView::Change &Change) {
  if (!isKeyShard(Change.Shard))
    return;
  ReleasingShards_.erase(Change.Shard);
  if (!Change.Acquired) {
    Runner_.lose(Change.Shard);
    return;
  }
  Requests_.acquire(Change.Shard);
  Runner_.acquire(Change.Shard, Change.PreviousOwnerExpired);
  asio::co_spawn(Executor_, Requests_.resolveOpenIntents(Change.Shard),
                 asio::detached);
}

asio::awaitable<void> JobManager::release(std::string Shard,
                                          std::function<void()> Done) {
  if (isKeyShard(Shard)) {
    ReleasingShards_.insert(Shard);
    Runner_.suspend(Shard);
    const Clock::time_point Deadline = Timers_.now() + ReleaseTimeout;
    while (Timers_.now() < Deadline && (Requests_.inFlight(Shard) > 0 ||
                                        Runner_.hasStartsInProgress(Shard)))
      co_await Timers_.sleepFor(ReleasePollInterval);
  }
  Done();
}

} // namespace hickory
