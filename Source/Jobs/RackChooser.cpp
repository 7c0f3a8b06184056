#include "Jobs/RackChooser.h"

#include <algorithm>
#include <tuple>

namespace hickory {

using std::chrono::milliseconds;

namespace {

/// The worker confirms a start within the start lease or not at all.
constexpr milliseconds PlaceTimeout{5000};
constexpr milliseconds StatusTimeout{2000};
constexpr milliseconds ReserveTimeout{1000};

bool inPool(const std::optional<PoolConfig> &Pool, const std::string &Domain) {
  if (!Pool || Pool->FailureDomains.empty())
    return true;
  const auto &Domains = Pool->FailureDomains;
  return std::find(Domains.begin(), Domains.end(), Domain) != Domains.end();
}

bool fits(const records::Resources &Wanted, const records::Resources &Free) {
  return Wanted.cpus_milli() <= Free.cpus_milli() &&
         Wanted.memory_mb() <= Free.memory_mb() &&
         Wanted.accelerators() <= Free.accelerators();
}

/// Subtracts only from the total free resources. The largest free block stays,
/// because the rack owner may place the task on another worker.
void subtractFrom(peer::RackLoad &Load, const records::Resources &Used) {
  records::Resources &Free = *Load.mutable_free();
  Free.set_cpus_milli(Free.cpus_milli() - Used.cpus_milli());
  Free.set_memory_mb(Free.memory_mb() - Used.memory_mb());
  Free.set_accelerators(Free.accelerators() - Used.accelerators());
}

} // namespace

int RackChooser::distance(const RackLocation &Rack) const {
  if (isLocal(Rack))
    return 0;
  if (Rack.FailureDomain == Directory_.SelfDomain)
    return 1;
  return Rack.Region == Directory_.SelfRegion ? 2 : 3;
}

std::vector<RackLocation> RackChooser::allRacks() const {
  std::vector<RackLocation> Racks;
  for (peer::RackLoad &Load : LocalRacks_.rackLoads())
    Racks.push_back({.Slot = Directory_.SelfSlot,
                     .FailureDomain = Directory_.SelfDomain,
                     .Region = Directory_.SelfRegion,
                     .Incarnation = Ownership_.incarnation(),
                     .Load = std::move(Load)});
  for (RackLocation &Rack : Cell_.freshRacks())
    if (!isLocal(Rack))
      Racks.push_back(std::move(Rack));
  return Racks;
}

std::vector<RackLocation>
RackChooser::executorRacks(const std::optional<PoolConfig> &Pool) const {
  std::vector<RackLocation> Racks = allRacks();
  std::erase_if(Racks, [&](const RackLocation &Rack) {
    return !Rack.Load.has_executors() || Rack.Load.free_slots() == 0 ||
           !inPool(Pool, Rack.FailureDomain);
  });
  std::stable_sort(Racks.begin(), Racks.end(),
                   [&](const RackLocation &Left, const RackLocation &Right) {
                     const int LeftDistance = distance(Left);
                     const int RightDistance = distance(Right);
                     if (LeftDistance != RightDistance)
                       return LeftDistance < RightDistance;
                     return Left.Load.free_slots() > Right.Load.free_slots();
                   });
  return Racks;
}

std::vector<RackLocation> RackChooser::workerRacks(bool OwnDomainOnly) const {
  std::vector<RackLocation> Racks = allRacks();
  std::erase_if(Racks, [&](const RackLocation &Rack) {
    return Rack.Load.has_executors() || (OwnDomainOnly && !isInOwnDomain(Rack));
  });
  std::stable_sort(Racks.begin(), Racks.end(),
                   [&](const RackLocation &Left, const RackLocation &Right) {
                     const auto Rank = [&](const RackLocation &Rack) {
                       return std::make_tuple(distance(Rack),
                                              Rack.Load.free().cpus_milli());
                     };
                     return Rank(Left) < Rank(Right);
                   });
  return Racks;
}

std::vector<RackLocation> RackChooser::chooseRacks(
    std::vector<RackLocation> &Available, const std::optional<PoolConfig> &Pool,
    const records::Resources &PerTask, std::uint32_t Tasks) const {
  std::vector<RackLocation> Chosen;
  std::vector<RackLocation> Remaining = Available;
  // Reserves accelerators for work that needs them: other work is placed on
  // racks with accelerators only in the second pass, when no other rack fits.
  for (const bool WastefulPass : {false, true})
    for (RackLocation &Rack : Remaining) {
      const bool WastesAccelerators =
          PerTask.accelerators() == 0 && Rack.Load.total().accelerators() > 0;
      if (WastesAccelerators != WastefulPass ||
          !inPool(Pool, Rack.FailureDomain))
        continue;
      while (Chosen.size() < Tasks && fits(PerTask, Rack.Load.largest_free()) &&
             fits(PerTask, Rack.Load.free())) {
        Chosen.push_back(Rack);
        subtractFrom(Rack.Load, PerTask);
      }
      if (Chosen.size() == Tasks) {
        Available = std::move(Remaining);
        return Chosen;
      }
    }
  return Chosen;
}

std::optional<RackLocation> RackChooser::locate(const std::string &Rack) const {
  const std::string Shard = rackShard(Rack);
  if (Ownership_.holds(Shard))
    return RackLocation{.Slot = Directory_.SelfSlot,
                        .FailureDomain = Directory_.SelfDomain,
                        .Region = Directory_.SelfRegion,
                        .Incarnation = Ownership_.incarnation(),
                        .Load = {}};
  if (const auto Owner = Ownership_.ownerOf(Shard))
    return RackLocation{.Slot = Owner->Slot,
                        .FailureDomain = Directory_.SelfDomain,
                        .Region = Directory_.SelfRegion,
                        .Incarnation = Owner->Incarnation,
                        .Load = {}};
  return Cell_.findRack(Rack);
}

asio::awaitable<Result<peer::ExecuteReply>>
RackChooser::execute(RackLocation Rack, peer::ExecuteRequest Request) {
  Request.set_rack(Rack.Load.rack().empty() ? Request.rack()
                                            : Rack.Load.rack());
  Request.set_target_incarnation(Rack.Incarnation);
  if (isLocal(Rack))
    co_return co_await LocalRacks_.execute(std::move(Request));
  Cell_.consume(Request.rack(), {}, 1);
  const milliseconds Timeout{Request.timeout_ms()};
  co_return co_await Peers_.execute(Rack.Slot, std::move(Request), Timeout);
}

asio::awaitable<Result<peer::PlaceReply>>
RackChooser::place(RackLocation Rack, peer::PlaceRequest Request) {
  Request.set_target_incarnation(Rack.Incarnation);
  if (isLocal(Rack))
    co_return co_await LocalRacks_.place(std::move(Request));
  Cell_.consume(Request.rack(), Request.resources(), 0);
  co_return co_await Peers_.place(Rack.Slot, std::move(Request), PlaceTimeout);
}

asio::awaitable<Result<peer::ReserveReply>>
RackChooser::reserve(RackLocation Rack, peer::ReserveRequest Request) {
  Request.set_target_incarnation(Rack.Incarnation);
  if (isLocal(Rack))
    co_return co_await LocalRacks_.reserve(std::move(Request));
  co_return co_await Peers_.reserve(Rack.Slot, std::move(Request),
                                    ReserveTimeout);
}

asio::awaitable<Result<peer::TaskStatusReply>>
RackChooser::taskStatus(RackLocation Rack, peer::TaskStatusRequest Request) {
  if (isLocal(Rack))
    co_return co_await LocalRacks_.taskStatus(std::move(Request));
  co_return co_await Peers_.taskStatus(Rack.Slot, std::move(Request),
                                       StatusTimeout);
}

asio::awaitable<Result<peer::StopTaskReply>>
RackChooser::stopTask(RackLocation Rack, peer::StopTaskRequest Request) {
  if (isLocal(Rack))
    co_return co_await LocalRacks_.stopTask(std::move(Request));
  co_return co_await Peers_.stopTask(Rack.Slot, std::move(Request),
                                     StatusTimeout);
}

} // namespace hickory
