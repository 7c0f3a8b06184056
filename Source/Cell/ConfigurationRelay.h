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
/// Processes without shards (helpers) use it at all times. Owners read the
/// store, and use it while the store does not serve them. A withdrawn key must
/// be refused also by a process that the store refuses.
class ConfigurationRelay final : public KeyedRelay {
public:
  /// Largest number of processes that are asked one after the other while the
  /// store fails. The store may refuse many of them as well.
  static constexpr std::size_t MaximumAttempts = 4;

  /// Returns the processes that may be asked, if the reads of the store have
  /// failed for the given time.
  using SourceList =
      std::function<std::vector<std::string>(Clock::duration Failing)>;

  ConfigurationRelay(CellPeer &Peers, const std::string &OwnAddress,
                     SourceList Sources);

  asio::awaitable<std::optional<RecordsReply>>
  read(std::uint64_t From, std::chrono::milliseconds Wait,
       Clock::duration Failing) override;

  /// Returns both lists in turn: which processes the store refuses may depend
  /// on their failure domain.
  static std::vector<std::string>
  alternate(const std::vector<std::string> &Nearby,
            const std::vector<std::string> &Remote);

private:
  CellPeer &Peers_;
  SourceList Sources_;
  /// Index of the source, modulo their number. Processes begin with different
  /// ones, and go on to the next one after a failure.
  std::size_t Next_;
};

} // namespace hickory
