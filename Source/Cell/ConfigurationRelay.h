#pragma once

#include "Cell/CellPeer.h"
#include "Cell/KeyedFollower.h"

#include <functional>
#include <string>
#include <vector>

namespace hickory {

/// Reads the configuration from an owner in the same failure domain, so that a
/// change is sent to each failure domain a few times, not to each process. A
/// configuration of many queues has about a megabyte, and the links between
/// regions are shared by all processes.
///
/// Only processes without shards (helpers) use it; owners read the store.
class ConfigurationRelay final : public KeyedRelay {
public:
  /// Returns the processes that may be asked; none if this process is an owner.
  using SourceList = std::function<std::vector<std::string>()>;

  ConfigurationRelay(CellPeer &Peers, const std::string &OwnAddress,
                     SourceList Sources);

  asio::awaitable<std::optional<RecordsReply>>
  read(std::uint64_t From, std::chrono::milliseconds Wait) override;

private:
  CellPeer &Peers_;
  SourceList Sources_;
  /// Index of the source, modulo their number. Processes begin with different
  /// ones, and go on to the next one after a failure.
  std::size_t Next_;
};

} // namespace hickory
