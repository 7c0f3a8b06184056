#include "Cell/CellGateway.h"

#include "Cell/QuotaAmount.h"

#include <algorithm>

namespace hickory {

namespace {

constexpr int Accepted = 200;
constexpr int Malformed = 400;
constexpr int NoSuchJob = 410;
constexpr int Refused = 503;
constexpr int OutcomeUnknown = 504;
/// Time after which a refused client is told to retry. The takeover of a shard
/// without an owner takes about this time.
constexpr std::chrono::seconds ClientRetryDelay{1};
/// Time for which submit() retries a call that the owner refused or that did
/// not reach it. A planned handover takes less than this, and a killed process
/// is restarted or replaced within about this time. A retry by the client takes
/// longer.
constexpr std::chrono::milliseconds SubmitRetryTime{600};
constexpr std::chrono::milliseconds SubmitRetryInterval{40};

} // namespace

std::optional<std::string> CellGateway::ownerOf(const std::string &Id) const {
  auto Holder = Shards_.holderOf(Map_.shardOf(Id));
  if (Holder && !Node_.isReachable(*Holder))
    Holder.reset();
  return Holder;
}

std::chrono::seconds CellGateway::retryDelay() const {
  return Node_.isIsolated() ? std::chrono::seconds(0) : ClientRetryDelay;
}

GatewayAnswer CellGateway::makeAnswer(const std::string &Id, const char *Call,
                                      const Result<SubmitReply> &Reply) {
  GatewayAnswer Answer;
  if (Reply)
    Answer.Status = Reply->Status;
  else
    Answer.Status = Reply.error().hadNoEffect() ? Refused : OutcomeUnknown;
  if (Answer.Status == Refused)
    Answer.RetryAfter = retryDelay();
  // The owner has recorded the rejection.
  if (Reply && !Reply->Reason.empty()) {
    Answer.RetryAfter = std::chrono::ceil<std::chrono::seconds>(
        std::chrono::milliseconds(Reply->RetryAfterMs));
    return Answer;
  }
  if (Answer.Status >= Refused)
    Events_.emit("gateway", Call,
                 {{"job", Id},
                  {"status", Answer.Status},
                  {"owner", ownerOf(Id).value_or("")},
                  {"error", Reply ? "" : Reply.error().Message}});
  return Answer;
}

const StepSpec *CellGateway::findOverQuota(const JobSpec &Job) const {
  const ClientAccount *Account = Configuration_.findAccount(Job.Account);
  if (Account == nullptr)
    return nullptr;
  const auto It = std::ranges::find_if(Job.Steps, [&](const StepSpec &Step) {
    return !canEverStart(Step, Account->Cap, QuotaOverage_);
  });
  return It == Job.Steps.end() ? nullptr : &*It;
}

asio::awaitable<GatewayAnswer> CellGateway::answerOverQuota(JobSpec Job,
                                                            StepSpec Step) {
  const GatewayAnswer Known = co_await state(Job.Id);
  const bool IsUnknown = Known.Status == NoSuchJob;
  if (IsUnknown) {
    Events_.emit("gateway", "over_quota",
                 {{"job", Job.Id},
                  {"account", Job.Account},
                  {"tasks", Step.Gang ? Step.Count : 1},
                  {"demand", startDemand(Step).toString()}});
  }
  if (IsUnknown || Known.Status == Accepted)
    co_return GatewayAnswer{.Status = IsUnknown ? Malformed : Accepted};
  co_return GatewayAnswer{.RetryAfter = retryDelay()};
}

asio::awaitable<GatewayAnswer> CellGateway::submit(JobSpec Job) {
  if (const StepSpec *Step = findOverQuota(Job)) {
    StepSpec Copy = *Step;
    co_return co_await answerOverQuota(std::move(Job), std::move(Copy));
  }
  const std::string Id = Job.Id;
  const Clock::time_point GiveUpAt = Timers_.now() + SubmitRetryTime;
  int Attempts = 0;
  while (true) {
    const auto Owner = ownerOf(Id);
    Result<SubmitReply> Reply =
        fail(ErrorCode::NotSent, "the shard has no reachable owner");
    if (Owner)
      Reply = co_await Peers_.submit(*Owner, Job);
    if (!Reply && Reply.error().Code == ErrorCode::ConnectionRefused)
      Node_.handleConnectionRefused(*Owner);
    // The process does not own the shard (any more), or the call did not reach
    // it: another owner may be known soon.
    const bool OwnerMoved =
        Owner && (Reply ? Reply->NotOwner : Reply.error().hadNoEffect());
    if (!OwnerMoved || Timers_.now() >= GiveUpAt || Node_.isIsolated())
      co_return makeAnswer(Id, "submit_failed", Reply);
    if (Attempts++ == 0)
      Events_.emit("gateway", "submit_repeated",
                   {{"job", Id},
                    {"owner", *Owner},
                    {"error", Reply ? "" : Reply.error().Message}});
    co_await Timers_.sleepFor(SubmitRetryInterval);
  }
}

asio::awaitable<GatewayAnswer> CellGateway::cancel(std::string Id) {
  const auto Owner = ownerOf(Id);
  Result<SubmitReply> Reply =
      fail(ErrorCode::NotSent, "the shard has no reachable owner");
  if (Owner) {
    JobReference Job{.Id = Id};
    Reply = co_await Peers_.cancel(*Owner, std::move(Job));
  }
  co_return makeAnswer(Id, "cancel_failed", Reply);
}

asio::awaitable<GatewayAnswer> CellGateway::state(std::string Id) {
  const auto Owner = ownerOf(Id);
  GatewayAnswer Answer{.RetryAfter = retryDelay()};
  if (!Owner)
    co_return Answer;
  JobReference Job{.Id = Id};
  const auto Reply = co_await Peers_.state(*Owner, std::move(Job));
  if (!Reply || Reply->Status == Refused)
    co_return Answer;
  co_return GatewayAnswer{.Status = Reply->Status, .State = Reply->State};
}

GatewayAnswer CellGateway::waitingJobs(const std::string &Queue) const {
  const WaitingJobsCount Count = Node_.waitingJobs(Queue);
  Events_.emit("gateway", "waiting_jobs",
               {{"queue", Queue},
                {"jobs", Count.Jobs ? nlohmann::json(*Count.Jobs) : nullptr},
                {"oldest_report_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     Count.OldestReport)
                     .count()},
                {"missing_shards", Count.MissingShards}});
  if (!Count.Jobs)
    return {.RetryAfter = retryDelay()};
  return {.Status = 200, .Waiting = Count.Jobs};
}

} // namespace hickory
