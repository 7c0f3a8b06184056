#include "Cell/ConfigurationRelay.h"

#include <algorithm>

namespace hickory {

ConfigurationRelay::ConfigurationRelay(CellPeer &Peers,
                                       const std::string &OwnAddress,
                                       SourceList Sources)
    : Peers_(Peers), Sources_(std::move(Sources)),
      Next_(std::hash<std::string>()(OwnAddress)) {}

asio::awaitable<std::optional<RecordsReply>>
ConfigurationRelay::read(std::uint64_t From, std::chrono::milliseconds Wait,
                         Clock::duration Failing) {
  const auto Sources = Sources_(Failing);
  const std::size_t Attempts = Failing > Clock::duration(0)
                                   ? std::min(Sources.size(), MaximumAttempts)
                                   : std::min<std::size_t>(Sources.size(), 1);
  for (std::size_t Attempt = 0; Attempt < Attempts; ++Attempt) {
    RecordsRequest Request{.From = From, .WaitMs = Wait.count()};
    auto Reply =
        co_await Peers_.relayRecords(Sources[Next_ % Sources.size()], Request);
    if (Reply && Reply->Current && Reply->NextOffset >= From)
      co_return std::move(*Reply);
    ++Next_;
  }
  co_return std::nullopt;
}

std::vector<std::string>
ConfigurationRelay::alternate(const std::vector<std::string> &Nearby,
                              const std::vector<std::string> &Remote) {
  std::vector<std::string> Sources;
  for (std::size_t I = 0; I < std::max(Nearby.size(), Remote.size()); ++I) {
    if (I < Remote.size())
      Sources.push_back(Remote[I]);
    if (I < Nearby.size())
      Sources.push_back(Nearby[I]);
  }
  return Sources;
}

} // namespace hickory
