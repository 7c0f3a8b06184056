#include "Daemon/ConfigSnapshotter.h"

#include <algorithm>
#include <glog/logging.h>

namespace hickory {

ConfigSnapshotter::ConfigSnapshotter(ConfigSnapshotterOptions Options,
                                     asio::any_io_executor Executor,
                                     TimerService &Timers,
                                     const PeerDirectory &Directory,
                                     const DomainState &Domain,
                                     ConfigState &Config, LogWriter &Writer)
    : Options_(Options), Timers_(Timers), Directory_(Directory),
      Domain_(Domain), Config_(Config), Writer_(Writer), Wake_(Executor) {}

bool ConfigSnapshotter::responsible() const {
  for (const PeerSlot &Slot : Directory_.Slots)
    if (Slot.FailureDomain < Directory_.SelfDomain)
      return false;
  const auto Live = Domain_.liveMembers();
  return std::none_of(Live.begin(), Live.end(),
                      [this](const DomainState::Member *Member) {
                        return Member->Slot < Directory_.SelfSlot;
                      });
}

asio::awaitable<Result<void>> ConfigSnapshotter::run() {
  std::uint64_t LastVersion = Config_.version();
  Clock::time_point LastTime = Timers_.now();
  while (!Stopping_) {
    co_await Wake_.waitFor(Timers_, Options_.Check);
    const std::uint64_t Version = Config_.version();
    const bool Due =
        Version >= LastVersion + Options_.Changes ||
        (Version > LastVersion && Timers_.now() - LastTime >= Options_.Period);
    if (Stopping_ || !Due || !responsible() || !Config_.caughtUp())
      continue;
    const auto Snapshot = Config_.save();
    if (!Snapshot)
      continue;
    records::Record Record;
    *Record.mutable_config_snapshot() = *Snapshot;
    if (const Result<void> Queued = Writer_.enqueue(std::move(Record));
        !Queued) {
      LOG(WARNING) << "config: snapshot not kept: " << Queued.error().Message;
      continue;
    }
    LastVersion = Version;
    LastTime = Timers_.now();
  }
  co_return Result<void>();
}

void ConfigSnapshotter::stop() {
  Stopping_ = true;
  Wake_.notify();
}

} // namespace hickory
