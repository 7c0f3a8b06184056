#pragma once

#include "Base/Notifier.h"
#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Emulator/Balancer.h"
#include "Http/HttpClient.h"
#include "StandIns/StandInSupport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>

namespace hickory::emulator {

/// Interval of the wall clock in microseconds.
struct TimeSpan {
  std::int64_t Begin = 0;
  std::int64_t End = 0;
};

/// An HTTP/1.1 client that keeps its connections open and uses them, after idle
/// times of up to some seconds, until the process closes them. It sends
/// PipelinedShare of the requests before the response to the previous one
/// (pipelining). The balancer chooses the process for a new connection; the
/// address in a request's URL is ignored. Records what became of each request
/// and finds violations of the rule LOST.
class KeepAliveClient final : public HttpClient {
public:
  KeepAliveClient(asio::io_context &Context, TimerService &Timers,
                  const Balancer &Connections, double PipelinedShare,
                  std::uint64_t Seed, const std::string &HistoryPath)
      : Context_(Context), Timers_(Timers), Balancer_(Connections),
        PipelinedShare_(PipelinedShare), Random_(Seed),
        HistoryFile_(HistoryPath) {}

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override;
  /// Closes all connections and returns when they are closed.
  asio::awaitable<void> close();

  /// Call at a fault that is no planned work. Requests near it are not checked.
  void recordUnplannedFault();
  /// Call when this process could not run for a while: the ends of requests in
  /// that time were noticed late.
  void recordStall(TimeSpan Stall) { Unchecked_.push_back(Stall); }

  /// Number of requests by outcome.
  [[nodiscard]] const std::map<std::string, int> &outcomes() const {
    return Outcomes_;
  }
  /// Descriptions of the requests that were lost.
  [[nodiscard]] const std::vector<std::string> &lost() const { return Lost_; }

private:
  struct Call {
    std::string Name; ///< Method and path.
    std::int64_t SentUs = 0;
    std::int64_t IdleUs = 0; ///< Since the last use of the connection.
    Notifier Ended;
    Subscription Limit = {}; ///< Gives up after some time.
    std::optional<HttpClientResponse> Response = std::nullopt;
    bool Pipelined = false; ///< Sent before the previous response.
  };

  struct Connection {
    asio::ip::tcp::socket Socket;
    std::string Address;
    std::string Buffer;                      ///< Received bytes.
    std::deque<std::shared_ptr<Call>> Calls; ///< Without a response yet.
    bool Closing = false;       ///< A response has announced the end.
    int Number = 0;             ///< Calls sent.
    std::int64_t LastUseUs = 0; ///< Time of the last call or response.
  };

  /// Chooses an open connection; null if a new one is to be opened.
  std::shared_ptr<Connection> chooseConnection();
  /// Opens a connection; returns null if the process refuses it.
  asio::awaitable<std::shared_ptr<Connection>> openConnection();
  asio::awaitable<void> readResponses(std::shared_ptr<Connection> Used);
  asio::awaitable<void> readResponse(Connection &Used);
  void giveUp(Connection &Used, const std::shared_ptr<Call> &Sent);
  /// Records the outcome of a call and lets its sender go on.
  void end(const Connection &Used, Call &Ended, const std::string &Outcome);
  [[nodiscard]] bool isChecked(TimeSpan Request) const;

  asio::io_context &Context_;
  TimerService &Timers_;
  const Balancer &Balancer_;
  double PipelinedShare_;
  Random Random_;
  HistoryFile HistoryFile_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  std::vector<TimeSpan> Unchecked_;
  std::map<std::string, int> Outcomes_;
  std::vector<std::string> Lost_;
};

} // namespace hickory::emulator
