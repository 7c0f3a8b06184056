#pragma once

#include "Base/Component.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Config/ConfigState.h"
#include "Log/LogWriter.h"
#include "Membership/DomainState.h"
#include "Peers/PeerDirectory.h"

namespace hickory {

struct ConfigSnapshotterOptions {
  std::uint64_t Changes = 500; ///< Accepted change sets between snapshots.
  std::chrono::seconds Period{600};
  std::chrono::seconds Check{5};
};

/// Appends snapshots of the configuration to its stream before the log's
/// retention drops what they replace. Only one instance of the cell does so:
/// the lowest live slot of the first failure domain by name.
class ConfigSnapshotter final : public Component {
public:
  ConfigSnapshotter(ConfigSnapshotterOptions Options,
                    asio::any_io_executor Executor, TimerService &Timers,
                    const PeerDirectory &Directory, const DomainState &Domain,
                    ConfigState &Config, LogWriter &Writer);

  [[nodiscard]] std::string_view name() const override {
    return "config-snapshots";
  }
  asio::awaitable<Result<void>> run() override;
  void stop() override;

private:
  [[nodiscard]] bool responsible() const;

  ConfigSnapshotterOptions Options_;
  TimerService &Timers_;
  const PeerDirectory &Directory_;
  const DomainState &Domain_;
  ConfigState &Config_;
  LogWriter &Writer_;
  Notifier Wake_;
  bool Stopping_ = false;
};

} // namespace hickory
