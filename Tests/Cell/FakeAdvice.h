#pragma once

#include "Base/TimerService.h"
#include "Cell/CellPeer.h"
#include "Cell/WorkerClient.h"

#include <set>
#include <string>
#include <vector>

namespace hickory {

/// Answers after a fixed time that all workers are good.
class FakeAdviceClient final : public AdviceClient {
public:
  FakeAdviceClient(TimerService &Timers, std::chrono::milliseconds ResponseTime)
      : Timers_(Timers), ResponseTime_(ResponseTime) {}

  std::vector<std::string> Asked; ///< Steps, in the order of the calls.

  asio::awaitable<Result<Advice>>
  ask(std::string Step, std::vector<std::string> Workers,
      std::chrono::milliseconds /*Timeout*/) override {
    Asked.push_back(std::move(Step));
    co_await Timers_.sleepFor(ResponseTime_);
    Advice Reply;
    for (std::string &Worker : Workers)
      Reply.Good.push_back({.Worker = std::move(Worker), .Text = "ticket"});
    co_return Reply;
  }

private:
  TimerService &Timers_;
  std::chrono::milliseconds ResponseTime_;
};

/// Other processes of the cell, which answer only calls for advice.
class FakeAdvicePeers final : public CellPeer {
public:
  std::vector<std::string> Called;  ///< Addresses, in order.
  std::set<std::string> Busy;       ///< Peers with busy channels.
  std::set<std::string> Relayed;    ///< Peers that were asked for records.
  std::vector<AdviseRequest> Calls; ///< In the order of Called.

  asio::awaitable<Result<AdviseReply>> advise(std::string Address,
                                              AdviseRequest Request) override {
    Called.push_back(Address);
    Calls.push_back(Request);
    AdviseReply Reply{.Answered = !Busy.contains(Address)};
    if (Reply.Answered)
      for (std::string &Worker : Request.Workers) {
        Reply.Good.push_back(std::move(Worker));
        Reply.Tickets.emplace_back("ticket of a peer");
      }
    co_return Reply;
  }

  asio::awaitable<Result<PlaceReply>> place(std::string,
                                            PlaceRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<StopReply>> stop(std::string, StopRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<PreemptReply>> preempt(std::string,
                                                PreemptRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<EndsReply>> reportEnds(std::string,
                                                EndsRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<ExchangeReply>> exchange(std::string,
                                                  ExchangeRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<RemoveMemberReply>>
  removeMember(std::string, RemoveMemberRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<RecordsReply>> relayRecords(std::string Address,
                                                     RecordsRequest) override {
    Relayed.insert(std::move(Address));
    co_return notImplemented();
  }
  asio::awaitable<Result<SubmitReply>> submit(std::string, JobSpec) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<JobStateReply>> state(std::string,
                                               JobReference) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<SubmitReply>> cancel(std::string,
                                              JobReference) override {
    co_return notImplemented();
  }

private:
  static tl::unexpected<Error> notImplemented() {
    return fail(ErrorCode::NotSent, "not implemented by this fake");
  }
};

} // namespace hickory
