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
enum class CtlExit {
  Success = 0,
  Different = 1, ///< Only of diff.
  Usage = 2,
  Rejected = 3,
  Conflict = 4,
  Unreachable = 5, ///< Certain: the command had no effect.
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

  /// Words are the arguments without the program's name.
  asio::awaitable<CtlExit> run(std::vector<std::string> Words);

private:
  asio::awaitable<CtlExit> dispatch();
  asio::awaitable<CtlExit> check();
  asio::awaitable<CtlExit> apply();
  asio::awaitable<CtlExit> show();
  asio::awaitable<CtlExit> diff();
  asio::awaitable<CtlExit> submit();
  asio::awaitable<CtlExit> watch();
  asio::awaitable<CtlExit> cancel();
  asio::awaitable<CtlExit> list();
  asio::awaitable<CtlExit> drain();

  CtlExit checkOffline();
  asio::awaitable<CtlExit> sendChangeSet(bool Apply);
  /// Polls until the outcome is known.
  asio::awaitable<CtlExit> follow(std::string Path);

  /// Asks the servers in order until one answers. All calls carry a key or id,
  /// so that it is safe to send them again to another instance.
  asio::awaitable<Result<HttpClientResponse>>
  call(std::string Method, std::string Path, std::string Body,
       std::chrono::milliseconds Timeout);
  asio::awaitable<Result<PublishedConfig>> fetchConfig();

  [[nodiscard]] std::chrono::milliseconds timeout() const;
  /// Prints what went wrong and returns the exit code for it.
  CtlExit report(const Error &Failure);
  CtlExit reportStatus(const HttpClientResponse &Response);
  CtlExit reportVerdict(const ConfigVerdict &Verdict, const std::string &Body);
  CtlExit reportOutcome(const nlohmann::json &Body);
  void print(const nlohmann::json &Body);
  CtlExit usage(const std::string &Message);

  HttpClient &Http_;
  TimerService &Timers_;
  std::ostream &Out_;
  std::ostream &Err_;
  CtlArguments Arguments_;
  std::vector<std::string> Servers_;
  bool Json_ = false;
};

} // namespace hickory
