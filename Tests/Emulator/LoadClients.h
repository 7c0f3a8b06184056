#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Emulator/LoadSettings.h"
#include "Http/HttpClient.h"
#include "StandIns/StandInSupport.h"

#include <asio/any_io_executor.hpp>
#include <map>

namespace hickory::emulator {

/// What the callers of one kind of job saw.
struct KindResult {
  std::uint64_t Sent = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::vector<double> AcceptMs;
  std::vector<double> CompleteMs; ///< From the first send.
};

/// Clients of the system: each job is sent, and sent again to another instance
/// while it has no answer, and asked for until it has ended.
class LoadClients {
public:
  LoadClients(asio::any_io_executor Executor, TimerService &Timers,
              HttpClient &Client, const LoadSettings &Settings,
              std::vector<std::string> Fronts, std::uint64_t Seed,
              const std::string &HistoryPath)
      : Executor_(std::move(Executor)), Timers_(Timers), Client_(Client),
        Settings_(Settings), Fronts_(std::move(Fronts)), Source_(Seed),
        File_(HistoryPath) {}

  /// Sends the load and returns when every job has ended or time is up.
  asio::awaitable<void> run();

  [[nodiscard]] const std::vector<json> &history() const { return History_; }
  [[nodiscard]] const std::map<std::string, KindResult> &results() const {
    return Results_;
  }

private:
  struct Call {
    int Status = 0; ///< 0: no answer.
    std::string State;
    std::int64_t SentUs = 0;
  };

  asio::awaitable<void> sendKind(const JobKind &Kind);
  asio::awaitable<void> runJob(const JobKind &Kind);
  asio::awaitable<bool> submit(const JobKind &Kind, std::string Id);
  asio::awaitable<void> follow(const JobKind &Kind, std::string Id,
                               Clock::time_point SentAt);
  asio::awaitable<void> cancel(const JobKind &Kind, std::string Id);
  asio::awaitable<Call> call(std::string Method, const JobKind &Kind,
                             std::string Id, std::string Body);
  void note(const std::string &Event, const std::string &Id,
            const Call &Answer);
  void note(json Event);

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  HttpClient &Client_;
  const LoadSettings &Settings_;
  std::vector<std::string> Fronts_;
  Random Source_;
  HistoryFile File_;
  std::vector<json> History_;
  std::map<std::string, KindResult> Results_;
  Clock::time_point SendUntil_{};
  Clock::time_point FinishUntil_{};
  int Open_ = 0; ///< Senders and jobs under way.
};

} // namespace hickory::emulator
