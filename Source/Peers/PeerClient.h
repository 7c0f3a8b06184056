#pragma once

#include "Base/Error.h"
#include "Peer.pb.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace hickory {

/// Calls other instances of the scheduler, named by their slot. Errors:
/// Refused if no process listens there, NotSent if the call certainly did not
/// leave, Timeout or Unavailable otherwise, NotFound for an unknown slot.
class PeerClient {
public:
  virtual ~PeerClient() = default;
  using Millis = std::chrono::milliseconds;

  virtual asio::awaitable<Result<peer::HelloReply>>
  hello(std::string Slot, peer::HelloRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::ConsentReply>>
  consent(std::string Slot, peer::ConsentRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::SubmitReply>>
  submit(std::string Slot, peer::SubmitRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::QueryReply>>
  query(std::string Slot, peer::QueryRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::CancelReply>>
  cancel(std::string Slot, peer::CancelRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::PlaceReply>>
  place(std::string Slot, peer::PlaceRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::ReserveReply>>
  reserve(std::string Slot, peer::ReserveRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::TaskStatusReply>>
  taskStatus(std::string Slot, peer::TaskStatusRequest Request,
             Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::StopTaskReply>>
  stopTask(std::string Slot, peer::StopTaskRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::TaskEndedReply>>
  taskEnded(std::string Slot, peer::TaskEndedNotice Notice, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::ExecuteReply>>
  execute(std::string Slot, peer::ExecuteRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::SummaryReply>>
  summary(std::string Slot, peer::SummaryRequest Request, Millis Timeout) = 0;
  virtual asio::awaitable<Result<peer::ConfigTailReply>>
  configTail(std::string Slot, peer::ConfigTailRequest Request,
             Millis Timeout) = 0;
};

} // namespace hickory
