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
  /// How long the answer to a finished key is kept in memory.
  std::chrono::minutes KeepAnswers{10};
  /// Test only: dispatches non-repeatable work before its intent stands in the
  /// log, to show that the checks notice.
  bool SkipIntent = false;
};

/// Answers requests whose keys this instance owns by running them on
/// executors. Requests marked non-repeatable are dispatched at most once, after
/// their intent stands in the log.
class RequestService {
public:
  RequestService(RequestServiceOptions Options, asio::any_io_executor Executor,
                 TimerService &Timers, ConfigView &Config,
                 OwnershipView &Ownership, LogWriter &Writer, JobTable &Table,
                 RackChooser &Racks, Metrics &Counters, EventLog &Events);

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request,
                                            JobClassConfig Class);

  /// Outcome of a request key, resolving an open intent if there is one.
  /// Returns STATUS_NOT_FOUND for a key never seen.
  asio::awaitable<peer::QueryReply> query(std::string Key);

  /// Notes that the shard changed hands: what a former owner ran without
  /// keeping it is not known here.
  void acquire(const std::string &Shard);

  /// Resolves the open intents that a former owner left behind.
  asio::awaitable<void> resolveOpenIntents(std::string Shard);

  [[nodiscard]] std::size_t inFlight(const std::string &Shard) const;
  [[nodiscard]] std::size_t waiting() const { return Waiting_.size(); }

private:
  /// A key that is being worked on or was answered recently.
  struct Entry {
    explicit Entry(const asio::any_io_executor &Executor) : Changed(Executor) {}
    std::string Digest;
    std::string Shard;
    bool Done = false;
    bool MayHaveRun = false;
    bool IntentQueued = false; ///< An intent stands or may appear in the log.
    peer::SubmitReply Reply;
    Clock::time_point FinishedAt;
    Notifier Changed;
  };

  asio::awaitable<void> run(std::shared_ptr<Entry> Item,
                            peer::SubmitRequest Request, JobClassConfig Class);
  asio::awaitable<peer::SubmitReply> runAttempts(std::shared_ptr<Entry> Item,
                                                 peer::SubmitRequest Request,
                                                 JobClassConfig Class);
  asio::awaitable<std::optional<RackLocation>>
  waitForRack(const JobClassConfig &Class, Clock::time_point Deadline,
              bool &TurnedAway);
  asio::awaitable<Result<void>> recordIntent(const peer::SubmitRequest &Request,
                                             std::uint32_t Attempt,
                                             std::string Rack,
                                             Clock::time_point Deadline);
  /// Asks for the answer of a dispatched id without running it.
  asio::awaitable<std::optional<peer::ExecuteReply>>
  resolve(std::string Id, std::string Rack, Clock::time_point Deadline);
  asio::awaitable<peer::SubmitReply> resolveIntent(records::Intent Open,
                                                   Clock::time_point Deadline);
  void recordOutcome(const std::string &Key, const std::string &Member,
                     const peer::SubmitReply &Reply);
  void discardExpired();
  /// True if a former owner may have answered callers who still ask again.
  [[nodiscard]] bool recentlyAcquired(const std::string &Shard) const;

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
  std::unordered_map<std::string, std::shared_ptr<Entry>> Entries_;
  std::unordered_map<std::string, Clock::time_point> AcquiredAt_;
  Subscription DiscardTimer_;
};

/// Reply for an outcome that stands in the log.
peer::SubmitReply replyFromOutcome(const records::Outcome &Outcome);

} // namespace hickory
