#pragma once

#include "Base/Error.h"
#include "Peers/PeerDirectory.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Settings of one daemon, read once at start. Every value has been checked;
/// the text form of each key is described in docs/settings.md.
struct Settings {
  struct InstanceSettings {
    std::string Slot;
    std::string FailureDomain;
    std::string Region;
  };
  struct GatewaySettings {
    std::string Address;
    std::uint16_t Port = 0; ///< 0 lets the system choose.
    std::size_t MaximumBodyBytes = 1 << 20;
    std::size_t MaximumHeaderBytes = 16 << 10;
    std::size_t MaximumConnections = 1024;
    std::size_t MaximumWaitingRequests = 2000;
  };
  struct PeerSettings {
    std::string Address;
    std::uint16_t Port = 0;
  };
  struct SlotSettings {
    std::string Name;
    std::string PeerAddress;
    std::string GatewayAddress; ///< Empty if not given.
  };
  struct DomainSettings {
    std::string Name;
    std::string Region;
    std::vector<SlotSettings> Slots;
  };
  struct PlatformSettings {
    std::string LogUrl;
    std::string ListUrl;
    std::chrono::milliseconds LogTimeout{2000};
    std::chrono::milliseconds ListPeriod{2000};
  };
  struct LogSettings {
    std::chrono::milliseconds Linger{20};
    std::uint32_t SnapshotRecords = 2000;
    std::chrono::seconds SnapshotPeriod{600};
  };
  struct LeaseSettings {
    std::chrono::milliseconds InstanceLease{8000};
    std::chrono::milliseconds Heartbeat{2000};
    std::uint32_t ClockMarginPercent = 5;
    std::chrono::milliseconds StartLease{2000};
    std::chrono::milliseconds RunLease{60000};
    std::chrono::milliseconds Consent{8000};
    std::chrono::milliseconds PreferredWait{1000};

    /// A wait on this clock that covers Duration on any other clock.
    [[nodiscard]] std::chrono::milliseconds
    withMargin(std::chrono::milliseconds Duration) const {
      return Duration +
             (Duration * ClockMarginPercent + std::chrono::milliseconds(99)) /
                 100;
    }
  };
  struct WorkerSettings {
    std::chrono::milliseconds Heartbeat{2000};
    std::chrono::milliseconds RequestTimeout{1000};
  };
  struct RequestSettings {
    std::chrono::milliseconds DefaultTimeout{10000};
    std::uint32_t RetryBudgetPercent = 10;
  };
  struct SharingSettings {
    std::chrono::milliseconds SummaryPeriod{1000};
    double LinkPricePerMb = 0;
  };
  struct EventSettings {
    std::string File; ///< Empty: events are kept in memory only.
    std::size_t Capacity = 20000;
  };

  InstanceSettings Instance;
  GatewaySettings Gateway;
  PeerSettings Peer;
  std::vector<DomainSettings> Domains;
  PlatformSettings Platform;
  LogSettings Log;
  LeaseSettings Lease;
  WorkerSettings Workers;
  RequestSettings Requests;
  SharingSettings Sharing;
  EventSettings Events;

  /// The same slots in the form that the other parts use.
  PeerDirectory Directory;

  /// Names of all failure domains, sorted, as homeDomain() needs them.
  [[nodiscard]] std::vector<std::string> domainNames() const;
};

/// Name stands for the file in error messages. The error lists all problems,
/// one per line.
Result<Settings> parseSettings(const std::string &Text,
                               const std::string &Name);
Result<Settings> loadSettings(const std::string &Path);

} // namespace hickory
