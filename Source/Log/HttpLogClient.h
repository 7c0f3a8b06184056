#pragma once

#include "Http/HttpClient.h"
#include "Log/LogClient.h"

namespace hickory {

/// LogClient over the log service's HTTP interface.
class HttpLogClient final : public LogClient {
public:
  /// Timeout limits an append, and a read in addition to the time for which the
  /// read waits for entries.
  HttpLogClient(HttpClient &Client, std::string BaseUrl,
                std::chrono::milliseconds Timeout);

  asio::awaitable<Result<std::uint64_t>> append(std::string Stream,
                                                std::string Payload) override;
  asio::awaitable<Result<LogPage>> read(std::string Stream,
                                        LogReadOptions Options) override;

private:
  [[nodiscard]] std::string streamUrl(const std::string &Stream) const;

  HttpClient &Client_;
  std::string BaseUrl_;
  std::chrono::milliseconds Timeout_;
};

} // namespace hickory
