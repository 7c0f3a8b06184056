#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hickory {

/// Protections that tests remove to show that the property tests find the
/// failure which the protection prevents. Never set in a daemon.
struct OwnershipFaults {
  bool SkipLeaseCheck = false;     ///< holds() ignores the clock.
  bool LeaseFromReadBack = false;  ///< Lease counted from the read-back.
  bool ReviveByConsent = false;    ///< Consent extends a lapsed lease.
  bool ForgetConsent = false;      ///< Silence expires in spite of a promise.
  bool ExpireOnSilence = false;    ///< A silent probe counts as evidence.
  bool ExpireWithoutWait = false;  ///< A new process need not wait.
  bool HoldWhileReleasing = false; ///< Keeps holding until Release is read.
  bool ConsentByMajority = false;  ///< One slot without a grant is accepted.
  bool JudgeLateProbe = false;     ///< Probe results count for whoever is the
                                   ///< slot's member when they arrive.
};

struct OwnershipOptions {
  std::chrono::milliseconds Lease{8000};
  std::chrono::milliseconds HeartbeatPeriod{2000};
  /// Bound on the difference of clock rates between instances, in percent.
  int ClockRateMarginPercent = 5;
  /// Heartbeat age at which the slot is probed for evidence.
  std::chrono::milliseconds ProbeAfter{2500};
  std::chrono::milliseconds ProbePeriod{500};
  std::chrono::milliseconds ProbeTimeout{400};
  /// Lease age at which consent is asked for. Half of the lease leaves time for
  /// several rounds.
  std::chrono::milliseconds ConsentAfter{4000};
  std::chrono::milliseconds ConsentPeriod{500};
  std::chrono::milliseconds ConsentTimeout{1000};
  /// How long a free shard is left to its preferred owner.
  std::chrono::milliseconds PreferenceWait{1000};
  /// A shard is held at least this long before it is released for balance, and
  /// its preferred owner must have been a member as long.
  std::chrono::milliseconds RebalanceAfter{10000};
  std::size_t MaximumHandovers = 4; ///< At the same time, for balance.
  /// Shorter ownership is not released at drain but ended by Leave, so that the
  /// next owner waits for start commands of the owner before this one.
  std::chrono::milliseconds TakeoverWait{2100};
  std::chrono::milliseconds DrainLimit{20000};
  std::chrono::milliseconds LeaveFlushLimit{2000};
  /// Age of the last heartbeat read back up to which the log counts as
  /// reachable.
  std::chrono::milliseconds LogReachableAge{5000};
  std::uint64_t SnapshotRecords = 2000;
  std::chrono::milliseconds SnapshotPeriod{600000};
  std::chrono::milliseconds Tick{200};
  OwnershipFaults Faults = {};
};

} // namespace hickory
