#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Config/ConfigView.h"
#include "Jobs/JobTable.h"
#include "Jobs/RackChooser.h"
#include "Jobs/WaitQueue.h"
#include "Log/LogWriter.h"
#include "Membership/OwnershipView.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace hickory {

struct RequestServiceOptions {
  std::size_t MaximumWaiting = 4096;
  /// How long the answer to a finished request is kept in memory.
  std::chrono::minutes AnswerRetention{10};
  /// Test only: dispatches non-repeatable requests without logging an intent,
  /// to show that the checks detect the fault.
  bool SkipIntent = false;
};

/// Answers requests whose keys this instance owns by running them on
/// executors. Requests marked non-repeatable are dispatched at most once, after
/// their intent has been logged.
class RequestService {
public:
  RequestService(RequestServiceOptions Options, asio::any_io_executor Executor,
                 TimerService &Timers, ConfigView &Config,
                 OwnershipView &Ownership, LogWriter &Writer, JobTable &Table,
                 RackChooser &Racks, Metrics &Counters, EventLog &Events);

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request,
                                            JobClassConfig Class);

  /// Returns the outcome of a request key. Resolves an open intent first, if
  /// there is one. Returns STATUS_NOT_FOUND for an unknown key.
  asio::awaitable<peer::QueryReply> query(std::string Key);

  /// Records when the shard was acquired. Requests that a previous owner ran
  /// without logging them are unknown to this instance.
  void acquire(const std::string &Shard);

  /// Resolves the intents that a previous owner of the shard logged without an
  /// outcome.
  asio::awaitable<void> resolveOpenIntents(std::string Shard);

  /// Returns the number of unfinished requests of the shard.
  [[nodiscard]] std::size_t inFlight(const std::string &Shard) const;
  [[nodiscard]] std::size_t waiting() const { return Waiting_.size(); }

private:
  /// The state of a request that is in progress or was answered recently.
  struct RequestState {
    explicit RequestState(const asio::any_io_executor &Executor)
        : Changed(Executor) {}
    std::string Digest;
    std::string Shard;
    bool Done = false;
    bool MayHaveRun = false;
    bool IntentQueued = false; ///< An intent is or may appear in the log.
    peer::SubmitReply Reply;
    Clock::time_point FinishedAt;
    Notifier Changed;
  };

  asio::awaitable<void> run(std::shared_ptr<RequestState> State,
                            peer::SubmitRequest Request, JobClassConfig Class);
  asio::awaitable<peer::SubmitReply>
  runAttempts(std::shared_ptr<RequestState> State, peer::SubmitRequest Request,
              JobClassConfig Class);
  /// Waits for a rack with a free executor slot. Returns std::nullopt at the
  /// deadline, or if the wait queue rejects the request, which sets Rejected.
  asio::awaitable<std::optional<RackLocation>>
  waitForRack(const JobClassConfig &Class, Clock::time_point Deadline,
              bool &Rejected);
  asio::awaitable<Result<void>> recordIntent(const peer::SubmitRequest &Request,
                                             std::uint32_t Attempt,
                                             std::string Rack,
                                             Clock::time_point Deadline);
  /// Asks the rack owner for the answer to a dispatched attempt without running
  /// it again. Retries until the deadline, then returns std::nullopt.
  asio::awaitable<std::optional<peer::ExecuteReply>>
  resolve(std::string Id, std::string Rack, Clock::time_point Deadline);
  asio::awaitable<peer::SubmitReply> resolveIntent(records::Intent OpenIntent,
                                                   Clock::time_point Deadline);
  void recordOutcome(const std::string &Key, const std::string &Member,
                     const peer::SubmitReply &Reply);
  void discardExpired();
  /// Returns true if the shard was acquired so recently that a previous owner
  /// may have run requests that callers still retry.
  [[nodiscard]] bool wasRecentlyAcquired(const std::string &Shard) const;

  RequestServiceOptions Options_;
  asio::any_io_executor Executor_;
  TimerService &Timers_;
  ConfigView &Config_;
  OwnershipView &Ownership_;
  LogWriter &Writer_;
  JobTable &Table_;
  RackChooser &Racks_;
  Metrics &Counters_;
  EventLog &Events_;
  WaitQueue Waiting_;
  std::unordered_map<std::string, std::shared_ptr<RequestState>> Requests_;
  std::unordered_map<std::string, Clock::time_point> AcquiredAt_;
  Subscription DiscardTimer_;
};

/// Returns the reply for a logged outcome.
peer::SubmitReply replyFromOutcome(const records::Outcome &Outcome);

} // namespace hickory
