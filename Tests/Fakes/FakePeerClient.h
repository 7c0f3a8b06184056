#pragma once

#include "Peers/PeerClient.h"

namespace hickory {

/// Lets every call fail with a timeout. Tests override the calls that they
/// need.
class FakePeerClient : public PeerClient {
public:
  asio::awaitable<Result<peer::HelloReply>>
  hello(std::string, peer::HelloRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::ConsentReply>>
  consent(std::string, peer::ConsentRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::SubmitReply>>
  submit(std::string, peer::SubmitRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::QueryReply>>
  query(std::string, peer::QueryRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::CancelReply>>
  cancel(std::string, peer::CancelRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::PlaceReply>>
  place(std::string, peer::PlaceRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::ReserveReply>>
  reserve(std::string, peer::ReserveRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::TaskStatusReply>>
  taskStatus(std::string, peer::TaskStatusRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::StopTaskReply>>
  stopTask(std::string, peer::StopTaskRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::TaskEndedReply>>
  taskEnded(std::string, peer::TaskEndedNotice, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::ExecuteReply>>
  execute(std::string, peer::ExecuteRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::SummaryReply>>
  summary(std::string, peer::SummaryRequest, Millis) override {
    co_return noAnswer();
  }
  asio::awaitable<Result<peer::ConfigTailReply>>
  configTail(std::string, peer::ConfigTailRequest, Millis) override {
    co_return noAnswer();
  }

private:
  static tl::unexpected<Error> noAnswer() {
    return fail(ErrorCode::Timeout, "no answer from the fake peer");
  }
};

} // namespace hickory
