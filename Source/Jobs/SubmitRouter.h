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

/// Brings a caller's request to the owner of its key, wherever that is, and
/// brings the answer back. The owner deduplicates by key, so a call whose
/// answer was lost is sent again until the caller's time is up.
class SubmitRouter {
public:
  SubmitRouter(TimerService &Timers, OwnershipView &Ownership,
               const PeerDirectory &Directory, CellView &Cell,
               PeerClient &Peers, JobService &Local, Metrics &Counters);

  asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest Request);
  asio::awaitable<peer::QueryReply> query(peer::QueryRequest Request,
                                          Clock::duration Timeout);
  /// Cancels every key at its owner; returns how many were cancelled.
  asio::awaitable<peer::CancelReply> cancel(std::vector<std::string> Keys,
                                            Clock::duration Timeout);
  /// Tells the job owner; true once it has taken note.
  asio::awaitable<bool> taskEnded(records::TaskEnded Ended);

  [[nodiscard]] const std::vector<std::string> &domains() const {
    return Domains_;
  }

private:
  /// Slots to try for a key, the most likely owner first. Empty: this
  /// instance owns it.
  [[nodiscard]] std::vector<std::string>
  candidates(const std::string &Key) const;

  TimerService &Timers_;
  OwnershipView &Ownership_;
  const PeerDirectory &Directory_;
  CellView &Cell_;
  PeerClient &Peers_;
  JobService &Local_;
  Metrics &Counters_;
  std::vector<std::string> Domains_; ///< Sorted.
};

} // namespace hickory
