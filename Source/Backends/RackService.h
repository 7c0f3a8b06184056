#pragma once

#include "Peer.pb.h"

#include <asio/awaitable.hpp>
#include <vector>

namespace hickory {

/// Commits the capacity of the racks that this instance owns. Every call
/// checks that the rack is held and that the instance lease has not ended.
class RackService {
public:
  virtual ~RackService() = default;

  /// STATUS_OK once the worker confirmed the start; STATUS_UNKNOWN if it may
  /// have started; every other status is certain: it did not start.
  virtual asio::awaitable<peer::PlaceReply>
  place(peer::PlaceRequest Request) = 0;
  virtual asio::awaitable<peer::ReserveReply>
  reserve(peer::ReserveRequest Request) = 0;
  virtual asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest Request) = 0;
  virtual asio::awaitable<peer::StopTaskReply>
  stopTask(peer::StopTaskRequest Request) = 0;
  /// STATUS_OK with the answer; STATUS_UNKNOWN if the executor may have run
  /// it; every other status is certain: it was not run.
  virtual asio::awaitable<peer::ExecuteReply>
  execute(peer::ExecuteRequest Request) = 0;

  /// Load of each held rack whose upstreams have been read.
  [[nodiscard]] virtual std::vector<peer::RackLoad> rackLoads() const = 0;
  [[nodiscard]] virtual std::vector<peer::MemberUse> memberUse() const = 0;
};

/// Told by the rack owner when a task ended; passes it to the job owner.
class TaskEndSink {
public:
  virtual ~TaskEndSink() = default;
  /// Returns true once the job owner has taken note; the rack owner then lets
  /// the worker forget the task. Repeated until then.
  virtual asio::awaitable<bool> taskEnded(records::TaskEnded Ended) = 0;
};

} // namespace hickory
