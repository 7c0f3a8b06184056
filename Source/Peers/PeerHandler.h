#pragma once

#include "Peer.pb.h"

#include <asio/awaitable.hpp>

namespace hickory {

/// Receives the calls of other instances, on the daemon's Asio context.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  virtual asio::awaitable<peer::HelloReply> hello(peer::HelloRequest) = 0;
  virtual asio::awaitable<peer::ConsentReply> consent(peer::ConsentRequest) = 0;
  virtual asio::awaitable<peer::SubmitReply> submit(peer::SubmitRequest) = 0;
  virtual asio::awaitable<peer::QueryReply> query(peer::QueryRequest) = 0;
  virtual asio::awaitable<peer::CancelReply> cancel(peer::CancelRequest) = 0;
  virtual asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest) = 0;
  virtual asio::awaitable<peer::ReserveReply> reserve(peer::ReserveRequest) = 0;
  virtual asio::awaitable<peer::TaskStatusReply>
      taskStatus(peer::TaskStatusRequest) = 0;
  virtual asio::awaitable<peer::StopTaskReply>
      stopTask(peer::StopTaskRequest) = 0;
  virtual asio::awaitable<peer::TaskEndedReply>
      taskEnded(peer::TaskEndedNotice) = 0;
  virtual asio::awaitable<peer::ExecuteReply> execute(peer::ExecuteRequest) = 0;
  virtual asio::awaitable<peer::SummaryReply> summary(peer::SummaryRequest) = 0;
  virtual asio::awaitable<peer::ConfigTailReply>
      configTail(peer::ConfigTailRequest) = 0;
};

} // namespace hickory
