#pragma once

#include "Base/Metrics.h"
#include "Http/HttpClient.h"

#include <asio/io_context.hpp>
#include <memory>

namespace hickory {

struct CurlHttpClientOptions {
  long MaximumConnections = 256;       ///< Kept open in total.
  long MaximumConnectionsPerHost = 64; ///< Matches the limit of an upstream.
};

/// HttpClient on libcurl's multi interface. Asio waits for its sockets, so that
/// no call blocks the thread.
class CurlHttpClient final : public HttpClient {
public:
  CurlHttpClient(asio::io_context &Context, CurlHttpClientOptions Options = {});
  ~CurlHttpClient() override;

  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

} // namespace hickory
