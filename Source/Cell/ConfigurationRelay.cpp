#include "Cell/ConfigurationRelay.h"

namespace hickory {

ConfigurationRelay::ConfigurationRelay(CellPeer &Peers,
                                       const std::string &OwnAddress,
                                       SourceList Sources)
    : Peers_(Peers), Sources_(std::move(Sources)),
      Next_(std::hash<std::string>()(OwnAddress)) {}

asio::awaitable<std::optional<RecordsReply>>
ConfigurationRelay::read(std::uint64_t From, std::chrono::milliseconds Wait) {
  const auto Sources = Sources_();
  if (Sources.empty())
    co_return std::nullopt;
  RecordsRequest Request{.From = From, .WaitMs = Wait.count()};
  auto Reply =
      co_await Peers_.relayRecords(Sources[Next_ % Sources.size()], Request);
  if (Reply && Reply->Current)
    co_return std::move(*Reply);
  ++Next_;
  co_return std::nullopt;
}

} // namespace hickory
