#pragma once

#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Jobs/CellView.h"
#include "Jobs/JobService.h"
#include "Membership/OwnershipView.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerDirectory.h"

#include <string>
#include <vector>

namespace hickory {

/// Routes a caller's request to the instance that owns its key and returns the
/// answer. The owner deduplicates by key, so a call whose answer was lost is
/// retried until the caller's deadline.
class SubmitRouter {
public:
  SubmitRouter(TimerService &Timers, OwnershipView &Ownership,
               const PeerDirectory &Directory, CellView &Cell,
               PeerClient &Peers, JobService &LocalService, Metrics &Counters);

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request);
  asio::awaitable<peer::QueryReply> query(peer::QueryRequest Request,
                                          Clock::duration Timeout);
  /// Cancels each key at its owner; returns how many jobs were cancelled. The
  /// status is STATUS_UNAVAILABLE if an owner could not be reached in time.
  asio::awaitable<peer::CancelReply> cancel(std::vector<std::string> Keys,
                                            Clock::duration Timeout);
  /// Reports the end of a task to the job owner. Returns true if the owner
  /// acknowledged it.
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended);

  /// Returns the names of all failure domains, sorted.
  [[nodiscard]] const std::vector<std::string> &domains() const {
    return Domains_;
  }

private:
  /// Returns the slots to try for a key, the most likely owner first. Returns
  /// an empty list if this instance owns the key.
  [[nodiscard]] std::vector<std::string>
  candidates(const std::string &Key) const;

  TimerService &Timers_;
  OwnershipView &Ownership_;
  const PeerDirectory &Directory_;
  CellView &Cell_;
  PeerClient &Peers_;
  JobService &LocalService_;
  Metrics &Counters_;
  std::vector<std::string> Domains_; ///< Sorted.
};

} // namespace hickory
