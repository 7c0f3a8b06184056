#pragma once

#include "Base/Metrics.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerDirectory.h"

#include <asio/io_context.hpp>
#include <memory>

namespace hickory {

/// Calls other instances over gRPC, one channel per slot. A call is sent once
/// and never repeated here, because only the caller knows whether it is
/// repeatable.
class GrpcPeerClient final : public PeerClient {
public:
  /// Directory and Counters must outlive this object. Destroy it only when no
  /// call is waiting.
  GrpcPeerClient(asio::io_context &Context, const PeerDirectory &Directory,
                 Metrics &Counters);
  ~GrpcPeerClient() override;

  asio::awaitable<Result<peer::HelloReply>>
  hello(std::string Slot, peer::HelloRequest Request, Millis Timeout) override;
  asio::awaitable<Result<peer::ConsentReply>>
  consent(std::string Slot, peer::ConsentRequest Request,
          Millis Timeout) override;
  asio::awaitable<Result<peer::SubmitReply>> submit(std::string Slot,
                                                    peer::SubmitRequest Request,
                                                    Millis Timeout) override;
  asio::awaitable<Result<peer::QueryReply>>
  query(std::string Slot, peer::QueryRequest Request, Millis Timeout) override;
  asio::awaitable<Result<peer::CancelReply>> cancel(std::string Slot,
                                                    peer::CancelRequest Request,
                                                    Millis Timeout) override;
  asio::awaitable<Result<peer::PlaceReply>>
  place(std::string Slot, peer::PlaceRequest Request, Millis Timeout) override;
  asio::awaitable<Result<peer::ReserveReply>>
  reserve(std::string Slot, peer::ReserveRequest Request,
          Millis Timeout) override;
  asio::awaitable<Result<peer::TaskStatusReply>>
  taskStatus(std::string Slot, peer::TaskStatusRequest Request,
             Millis Timeout) override;
  asio::awaitable<Result<peer::StopTaskReply>>
  stopTask(std::string Slot, peer::StopTaskRequest Request,
           Millis Timeout) override;
  asio::awaitable<Result<peer::TaskEndedReply>>
  taskEnded(std::string Slot, peer::TaskEndedNotice Notice,
            Millis Timeout) override;
  asio::awaitable<Result<peer::ExecuteReply>>
  execute(std::string Slot, peer::ExecuteRequest Request,
          Millis Timeout) override;
  asio::awaitable<Result<peer::SummaryReply>>
  summary(std::string Slot, peer::SummaryRequest Request,
          Millis Timeout) override;
  asio::awaitable<Result<peer::ConfigTailReply>>
  configTail(std::string Slot, peer::ConfigTailRequest Request,
             Millis Timeout) override;

private:
  struct Channels;
  std::unique_ptr<Channels> Channels_;
};

} // namespace hickory
