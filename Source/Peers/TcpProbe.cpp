#include "Peers/TcpProbe.h"

#include <asio/experimental/as_tuple.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <charconv>
#include <memory>
#include <optional>

namespace hickory {

namespace {

std::optional<asio::ip::tcp::endpoint> parse(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::error_code Code;
  const auto Ip = asio::ip::make_address(Host, Code);
  std::uint16_t Port = 0;
  const char *Last = Address.data() + Address.size();
  const auto Parsed = std::from_chars(Address.data() + Colon + 1, Last, Port);
  if (Code || Parsed.ec != std::errc() || Parsed.ptr != Last)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

} // namespace

asio::awaitable<ProbeResult> probe(std::string Address,
                                   std::chrono::milliseconds Timeout) {
  const auto Endpoint = parse(Address);
  if (!Endpoint)
    co_return ProbeResult::Silent;
  const auto Executor = co_await asio::this_coro::executor;
  // Shared with the timer's handler, which may run after this coroutine ended.
  auto Socket = std::make_shared<asio::ip::tcp::socket>(Executor);
  asio::steady_timer Limit(Executor, Timeout);
  Limit.async_wait([Socket](const std::error_code &Code) {
    std::error_code Ignored;
    if (!Code)
      Socket->close(Ignored);
  });
  const auto [Code] = co_await Socket->async_connect(
      *Endpoint, asio::experimental::as_tuple(asio::use_awaitable));
  Limit.cancel();
  std::error_code Ignored;
  Socket->close(Ignored);
  if (!Code)
    co_return ProbeResult::Connected;
  co_return Code == asio::error::connection_refused ? ProbeResult::Refused
                                                    : ProbeResult::Silent;
}

} // namespace hickory
