#pragma once

#include "Peer.pb.h"

#include <asio/awaitable.hpp>

namespace hickory {

/// Handles the idempotency keys that this instance owns: answers requests, runs
/// jobs and stores outcomes. Every call replies STATUS_NOT_OWNER for a key
/// whose shard this instance does not own.
class JobService {
public:
  virtual ~JobService() = default;
  virtual asio::awaitable<peer::SubmitReply>
  submit(peer::SubmitRequest Request) = 0;
  virtual asio::awaitable<peer::QueryReply>
  query(peer::QueryRequest Request) = 0;
  virtual asio::awaitable<peer::CancelReply>
  cancel(peer::CancelRequest Request) = 0;
  virtual asio::awaitable<peer::TaskEndedReply>
  taskEnded(peer::TaskEndedNotice Notice) = 0;
};

} // namespace hickory
