#pragma once

#include "Backends/RackService.h"
#include "Base/Component.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Config/ConfigState.h"
#include "Jobs/CellView.h"
#include "Membership/OwnershipView.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerDirectory.h"
#include "Scheduling/FairShare.h"

#include <asio/any_io_executor.hpp>

namespace hickory {

struct SummaryExchangeOptions {
  std::chrono::milliseconds Period{1000};
  /// Other domains hear less often, because their links are billed.
  std::uint32_t OtherDomainFactor = 2;
  /// Racks named to other domains: those with most room, to bound the bytes.
  std::size_t RacksToOtherDomains = 8;
  std::chrono::milliseconds Timeout{1500};
};

/// Tells the other instances what is free and who uses what, and fetches a
/// newer configuration from a peer that has one while the log cannot be read.
class SummaryExchange final : public Component {
public:
  SummaryExchange(SummaryExchangeOptions Options,
                  asio::any_io_executor Executor, TimerService &Timers,
                  OwnershipView &Ownership, const PeerDirectory &Directory,
                  PeerClient &Peers, RackService &Racks, CellView &Cell,
                  FairShare &Shares, ConfigState &Config);

  [[nodiscard]] std::string_view name() const override { return "summaries"; }
  asio::awaitable<Result<void>> run() override;
  void stop() override;

  /// A summary from another instance.
  peer::SummaryReply receive(peer::SummaryRequest Summary);

  void setDraining() { Draining_ = true; }
  /// True once a peer of this domain gave its configuration.
  [[nodiscard]] bool configFromPeer() const { return ConfigFromPeer_; }

private:
  [[nodiscard]] peer::SummaryRequest build(bool ForOtherDomain) const;
  asio::awaitable<void> send(std::string Slot, bool OtherDomain);
  asio::awaitable<void> fetchConfig(std::string Slot);
  asio::awaitable<void> askDomainForConfig();

  SummaryExchangeOptions Options_;
  asio::any_io_executor Executor_;
  TimerService &Timers_;
  OwnershipView &Ownership_;
  const PeerDirectory &Directory_;
  PeerClient &Peers_;
  RackService &Racks_;
  CellView &Cell_;
  FairShare &Shares_;
  ConfigState &Config_;
  Notifier Wake_;
  bool Stopping_ = false;
  bool Draining_ = false;
  bool FetchingConfig_ = false;
  bool ConfigFromPeer_ = false;
  std::set<std::string> Busy_; ///< Slots with a summary in flight.
};

} // namespace hickory
