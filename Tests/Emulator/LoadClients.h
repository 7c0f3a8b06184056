#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Emulator/LoadSettings.h"
#include "Http/HttpClient.h"
#include "StandIns/StandInSupport.h"

#include <asio/any_io_executor.hpp>
#include <map>

namespace hickory::emulator {

/// Counts and latencies of the jobs of one kind, as the clients saw them.
struct JobKindResult {
  std::uint64_t Submitted = 0;
  std::uint64_t Crashing = 0; ///< Submitted, see JobKind::CrashShare.
  std::uint64_t Accepted = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::vector<double> AcceptLatenciesMs;
  std::vector<double> CompletionLatenciesMs; ///< Since the submission.
};

/// Clients of the system. Each job is submitted to a random instance, again
/// after each call without an answer, and its state is polled until it has
/// ended.
class LoadClients {
public:
  LoadClients(asio::any_io_executor Executor, TimerService &Timers,
              HttpClient &Client, const LoadSettings &Settings,
              std::vector<std::string> GatewayAddresses, std::uint64_t Seed,
              const std::string &HistoryPath)
      : Executor_(std::move(Executor)), Timers_(Timers), Client_(Client),
        Settings_(Settings), GatewayAddresses_(std::move(GatewayAddresses)),
        Random_(Seed), HistoryFile_(HistoryPath) {}

  /// Submits jobs for LoadSettings::Seconds, then polls them until every job
  /// has ended or FinishSeconds have passed. Returns once the calls in progress
  /// have ended too.
  asio::awaitable<void> run();

  [[nodiscard]] const std::vector<json> &history() const { return History_; }
  [[nodiscard]] const std::map<std::string, JobKindResult> &results() const {
    return Results_;
  }

private:
  struct CallResult {
    int Status = 0; ///< HTTP status; 0 if there was no answer.
    std::string State;
    std::int64_t SentUs = 0;
  };

  /// Submits the jobs of one kind at random times.
  asio::awaitable<void> submitJobs(const JobKind &Kind);
  asio::awaitable<void> runJob(const JobKind &Kind);
  /// Submits a job, repeatedly while there is no answer. Returns whether it was
  /// accepted.
  asio::awaitable<bool> submit(const JobKind &Kind, std::string Id,
                               bool CrashesWorkers);
  asio::awaitable<void> pollUntilEnded(const JobKind &Kind, std::string Id,
                                       Clock::time_point SubmittedAt);
  /// Cancels a job after a random delay.
  asio::awaitable<void> cancel(const JobKind &Kind, std::string Id);
  asio::awaitable<CallResult> sendCall(std::string Method, const JobKind &Kind,
                                       std::string Id, std::string Body);
  void recordEvent(const std::string &Event, const std::string &Id,
                   const CallResult &Result);
  void recordEvent(json Event);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  HttpClient &Client_;
  const LoadSettings &Settings_;
  std::vector<std::string> GatewayAddresses_;
  Random Random_;
  HistoryFile HistoryFile_;
  std::vector<json> History_;
  std::map<std::string, JobKindResult> Results_;
  Clock::time_point SubmitDeadline_{};
  Clock::time_point FinishDeadline_{};
  int ActiveCoroutines_ = 0; ///< Running submitJobs() and runJob() calls.
};

} // namespace hickory::emulator
