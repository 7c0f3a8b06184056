#pragma once

#include "Peers/PeerHandler.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <string>
#include <vector>

namespace hickory {

/// Records every call and answers it after Delay. Replies, except to stopTask,
/// carry a value of their request, so that a test can match replies to
/// requests.
class FakePeerHandler : public PeerHandler {
public:
  std::chrono::milliseconds Delay{0};
  std::vector<std::string> Calls; ///< Names of the calls received.

  asio::awaitable<peer::HelloReply> hello(peer::HelloRequest Request) override {
    co_await recordCall("hello");
    peer::HelloReply Reply;
    Reply.set_slot(Request.slot());
    co_return Reply;
  }
  asio::awaitable<peer::ConsentReply>
  consent(peer::ConsentRequest Request) override {
    co_await recordCall("consent");
    peer::ConsentReply Reply;
    Reply.set_reason(Request.slot());
    co_return Reply;
  }
  asio::awaitable<peer::SubmitReply>
  submit(peer::SubmitRequest Request) override {
    co_await recordCall("submit");
    peer::SubmitReply Reply;
    Reply.set_answer(Request.key() + Request.payload());
    co_return Reply;
  }
  asio::awaitable<peer::QueryReply> query(peer::QueryRequest Request) override {
    co_await recordCall("query");
    peer::QueryReply Reply;
    Reply.set_detail(Request.key());
    co_return Reply;
  }
  asio::awaitable<peer::CancelReply>
  cancel(peer::CancelRequest Request) override {
    co_await recordCall("cancel");
    peer::CancelReply Reply;
    Reply.set_cancelled(static_cast<std::uint32_t>(Request.keys_size()));
    co_return Reply;
  }
  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest Request) override {
    co_await recordCall("place");
    peer::PlaceReply Reply;
    Reply.set_worker(Request.rack());
    co_return Reply;
  }
  asio::awaitable<peer::ReserveReply>
  reserve(peer::ReserveRequest Request) override {
    co_await recordCall("reserve");
    peer::ReserveReply Reply;
    Reply.set_tasks(Request.tasks());
    co_return Reply;
  }
  asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest Request) override {
    co_await recordCall("taskStatus");
    peer::TaskStatusReply Reply;
    Reply.set_worker(Request.rack());
    co_return Reply;
  }
  asio::awaitable<peer::StopTaskReply>
  stopTask(peer::StopTaskRequest /*Request*/) override {
    co_await recordCall("stopTask");
    peer::StopTaskReply Reply;
    Reply.set_status(peer::STATUS_FENCED);
    co_return Reply;
  }
  asio::awaitable<peer::TaskEndedReply>
  taskEnded(peer::TaskEndedNotice Notice) override {
    co_await recordCall("taskEnded");
    peer::TaskEndedReply Reply;
    for (const auto &Ended : Notice.ended())
      Reply.add_not_owned(Ended.key());
    co_return Reply;
  }
  asio::awaitable<peer::ExecuteReply>
  execute(peer::ExecuteRequest Request) override {
    co_await recordCall("execute");
    peer::ExecuteReply Reply;
    Reply.set_answer(Request.payload());
    co_return Reply;
  }
  asio::awaitable<peer::SummaryReply>
  summary(peer::SummaryRequest Request) override {
    co_await recordCall("summary");
    peer::SummaryReply Reply;
    Reply.set_incarnation(Request.incarnation());
    co_return Reply;
  }
  asio::awaitable<peer::ConfigTailReply>
  configTail(peer::ConfigTailRequest Request) override {
    co_await recordCall("configTail");
    peer::ConfigTailReply Reply;
    Reply.set_next(Request.from());
    co_return Reply;
  }

private:
  asio::awaitable<void> recordCall(std::string Name) {
    Calls.push_back(std::move(Name));
    if (Delay.count() == 0)
      co_return;
    asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
    co_await Timer.async_wait(asio::use_awaitable);
  }
};

} // namespace hickory
