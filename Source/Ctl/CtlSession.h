#pragma once

#include "Base/TimerService.h"
#include "Config/ConfigJson.h"
#include "Ctl/CtlArguments.h"
#include "Http/HttpClient.h"

#include <asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace hickory {

/// Exit codes of hickoryctl, by kind of failure.
enum class CtlExitCode {
  Success = 0,
  Different = 1, ///< diff found differences.
  Usage = 2,
  Rejected = 3,
  Conflict = 4,
  Unreachable = 5, ///< No server was reached; the command had no effect.
  NotFound = 6,
  NotRun = 7,
  Failed = 8,
  Unknown = 9, ///< The command may have had an effect.
  Overloaded = 10,
  Internal = 11,
};

/// Runs one command of hickoryctl against the HTTP API.
class CtlSession {
public:
  CtlSession(HttpClient &Http, TimerService &Timers, std::ostream &Out,
             std::ostream &Err);

  /// Runs the command given by Args, the arguments without the program name.
  asio::awaitable<CtlExitCode> run(std::vector<std::string> Args);

private:
  asio::awaitable<CtlExitCode> dispatch();
  asio::awaitable<CtlExitCode> check();
  asio::awaitable<CtlExitCode> apply();
  asio::awaitable<CtlExitCode> show();
  asio::awaitable<CtlExitCode> diff();
  asio::awaitable<CtlExitCode> submit();
  asio::awaitable<CtlExitCode> watch();
  asio::awaitable<CtlExitCode> cancel();
  asio::awaitable<CtlExitCode> list();
  asio::awaitable<CtlExitCode> drain();

  CtlExitCode checkOffline();
  asio::awaitable<CtlExitCode> sendChangeSet(bool Apply);
  /// Polls a job or request until its outcome is known or --timeout-ms has
  /// passed. Without --timeout-ms, a failed query ends the polling.
  asio::awaitable<CtlExitCode> pollUntilOutcome(std::string Path);

  /// Sends the request to the servers in order until one responds. Requests are
  /// idempotent because they have a key or id, so they can safely be sent to
  /// several instances. A response with status 503 and no final outcome is
  /// passed over if there is a further server. Without a response, fails with
  /// Unavailable if a request other than GET may have had an effect, and with
  /// ConnectionRefused otherwise.
  asio::awaitable<Result<HttpClientResponse>>
  sendToServers(std::string Method, std::string Path, std::string Body,
                std::chrono::milliseconds Timeout);
  asio::awaitable<Result<PublishedConfig>> fetchConfig();

  [[nodiscard]] std::chrono::milliseconds timeout() const;
  /// The report functions print an error or result and return its exit code.
  CtlExitCode reportError(const Error &Failure);
  CtlExitCode reportStatus(const HttpClientResponse &Response);
  CtlExitCode reportVerdict(const ConfigVerdict &Verdict,
                            const std::string &Body);
  CtlExitCode reportOutcome(const nlohmann::json &Body);
  void printBody(const nlohmann::json &Body);
  CtlExitCode reportUsageError(const std::string &Message);

  HttpClient &Http_;
  TimerService &Timers_;
  std::ostream &Out_;
  std::ostream &Err_;
  CtlArguments Arguments_;
  std::vector<std::string> Servers_;
  bool JsonOutput_ = false;
};

} // namespace hickory
