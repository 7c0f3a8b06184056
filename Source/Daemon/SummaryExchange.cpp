#include "Daemon/SummaryExchange.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <glog/logging.h>

namespace hickory {

namespace {
constexpr std::chrono::milliseconds ConfigTimeout{2000};
} // namespace

SummaryExchange::SummaryExchange(SummaryExchangeOptions Options,
                                 asio::any_io_executor Executor,
                                 TimerService &Timers, OwnershipView &Ownership,
                                 const PeerDirectory &Directory,
                                 PeerClient &Peers, RackService &Racks,
                                 CellView &Cell, FairShare &Shares,
                                 ConfigState &Config)
    : Options_(Options), Executor_(Executor), Timers_(Timers),
      Ownership_(Ownership), Directory_(Directory), Peers_(Peers),
      Racks_(Racks), Cell_(Cell), Shares_(Shares), Config_(Config),
      Wake_(Executor) {}

asio::awaitable<Result<void>> SummaryExchange::run() {
  co_await askDomainForConfig();
  for (std::uint64_t Round = 0; !Stopping_; ++Round) {
    if (const Result<void> Merged =
            Shares_.mergeSummary(Directory_.SelfSlot, Racks_.memberUse());
        !Merged)
      LOG(WARNING) << "summaries: " << Merged.error().Message;
    for (const PeerSlot &Slot : Directory_.Slots) {
      if (Slot.Slot == Directory_.SelfSlot || Busy_.count(Slot.Slot) != 0)
        continue;
      const bool OtherDomain = Slot.FailureDomain != Directory_.SelfDomain;
      if (OtherDomain && Round % Options_.OtherDomainFactor != 0)
        continue;
      asio::co_spawn(Executor_, send(Slot.Slot, OtherDomain), asio::detached);
    }
    co_await Wake_.waitFor(Timers_, Options_.Period);
  }
  co_return Result<void>();
}

void SummaryExchange::stop() {
  Stopping_ = true;
  Wake_.notify();
}

peer::SummaryRequest SummaryExchange::build(bool ForOtherDomain) const {
  peer::SummaryRequest Summary;
  Summary.set_slot(Directory_.SelfSlot);
  Summary.set_failure_domain(Directory_.SelfDomain);
  Summary.set_incarnation(Ownership_.incarnation());
  Summary.set_draining(Draining_);
  Summary.set_config_version(Config_.version());
  std::vector<peer::RackLoad> Loads = Racks_.rackLoads();
  if (ForOtherDomain && Loads.size() > Options_.RacksToOtherDomains) {
    std::partial_sort(
        Loads.begin(),
        Loads.begin() +
            static_cast<std::ptrdiff_t>(Options_.RacksToOtherDomains),
        Loads.end(),
        [](const peer::RackLoad &Left, const peer::RackLoad &Right) {
          return std::make_pair(Left.free_slots(), Left.free().cpus_milli()) >
                 std::make_pair(Right.free_slots(), Right.free().cpus_milli());
        });
    Loads.resize(Options_.RacksToOtherDomains);
  }
  for (peer::RackLoad &Load : Loads)
    *Summary.add_racks() = std::move(Load);
  for (peer::MemberUse &Use : Racks_.memberUse())
    *Summary.add_members() = std::move(Use);
  for (const std::string &Shard : Ownership_.heldShards())
    if (Shard.starts_with("keys/"))
      Summary.add_key_shards(Shard);
  return Summary;
}

asio::awaitable<void> SummaryExchange::send(std::string Slot,
                                            bool OtherDomain) {
  Busy_.insert(Slot);
  const Result<peer::SummaryReply> Reply =
      co_await Peers_.summary(Slot, build(OtherDomain), Options_.Timeout);
  Busy_.erase(Slot);
  if (!Reply)
    VLOG(1) << "summaries: " << Slot << ": " << Reply.error().Message;
}

peer::SummaryReply SummaryExchange::receive(peer::SummaryRequest Summary) {
  peer::SummaryReply Reply;
  Reply.set_incarnation(Ownership_.incarnation());
  const std::string Slot = Summary.slot();
  if (Directory_.find(Slot) == nullptr)
    return Reply;
  if (Summary.config_version() > Config_.version() && !FetchingConfig_)
    asio::co_spawn(Executor_, fetchConfig(Slot), asio::detached);
  const std::vector<peer::MemberUse> Uses(Summary.members().begin(),
                                          Summary.members().end());
  if (const Result<void> Merged = Shares_.mergeSummary(Slot, Uses); !Merged)
    LOG(WARNING) << "summaries: " << Slot << ": " << Merged.error().Message;
  Cell_.update(std::move(Summary));
  return Reply;
}

asio::awaitable<void> SummaryExchange::fetchConfig(std::string Slot) {
  FetchingConfig_ = true;
  peer::ConfigTailRequest Request;
  Request.set_want_snapshot(true);
  const Result<peer::ConfigTailReply> Reply =
      co_await Peers_.configTail(Slot, std::move(Request), ConfigTimeout);
  FetchingConfig_ = false;
  if (!Reply || !Reply->has_snapshot())
    co_return;
  if (Config_.load(Reply->snapshot()))
    LOG(INFO) << "config: took version " << Config_.version() << " from "
              << Slot;
  ConfigFromPeer_ = true;
}

asio::awaitable<void> SummaryExchange::askDomainForConfig() {
  for (const PeerSlot &Slot : Directory_.inDomain(Directory_.SelfDomain))
    if (Slot.Slot != Directory_.SelfSlot)
      co_await fetchConfig(Slot.Slot);
}

} // namespace hickory
