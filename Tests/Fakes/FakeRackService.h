#pragma once

#include "Backends/RackService.h"
#include "Base/TimerService.h"

#include <functional>
#include <utility>
#include <vector>

namespace hickory {

/// Records the requests that it receives. Every call succeeds unless the test
/// sets a handler for it.
class FakeRackService final : public RackService {
public:
  explicit FakeRackService(TimerService &Timers) : Timers_(Timers) {}

  /// A reply that the caller gets after a delay. The effect of the call does
  /// not wait for it.
  template <typename Reply> struct DelayedReply {
    // Not explicit, so that handlers can return a reply without a delay.
    DelayedReply(Reply Message, Clock::duration Delay = Clock::duration(0))
        : Message(std::move(Message)), Delay(Delay) {}
    Reply Message;
    Clock::duration Delay;
  };
  template <typename Request, typename Reply>
  using Handler = std::function<DelayedReply<Reply>(const Request &)>;

  std::vector<peer::RackLoad> Loads;
  std::vector<peer::PlaceRequest> PlaceRequests;
  std::vector<peer::ReserveRequest> ReserveRequests;
  std::vector<peer::TaskStatusRequest> StatusRequests;
  std::vector<peer::StopTaskRequest> StopRequests;
  std::vector<peer::ExecuteRequest> ExecuteRequests;

  Handler<peer::PlaceRequest, peer::PlaceReply> OnPlace;
  Handler<peer::ReserveRequest, peer::ReserveReply> OnReserve;
  Handler<peer::TaskStatusRequest, peer::TaskStatusReply> OnStatus;
  Handler<peer::StopTaskRequest, peer::StopTaskReply> OnStop;
  Handler<peer::ExecuteRequest, peer::ExecuteReply> OnExecute;

  asio::awaitable<peer::PlaceReply> place(peer::PlaceRequest Request) override {
    PlaceRequests.push_back(Request);
    if (OnPlace) {
      auto Delayed = OnPlace(Request);
      co_return co_await deliver(std::move(Delayed));
    }
    peer::PlaceReply Reply;
    Reply.set_worker("w1");
    co_return Reply;
  }
  asio::awaitable<peer::ReserveReply>
  reserve(peer::ReserveRequest Request) override {
    ReserveRequests.push_back(Request);
    if (OnReserve) {
      auto Delayed = OnReserve(Request);
      co_return co_await deliver(std::move(Delayed));
    }
    peer::ReserveReply Reply;
    if (Request.release() == 0) {
      Reply.set_reservation(ReserveRequests.size());
      Reply.set_tasks(Request.tasks());
    }
    co_return Reply;
  }
  asio::awaitable<peer::TaskStatusReply>
  taskStatus(peer::TaskStatusRequest Request) override {
    StatusRequests.push_back(Request);
    if (OnStatus) {
      auto Delayed = OnStatus(Request);
      co_return co_await deliver(std::move(Delayed));
    }
    co_return peer::TaskStatusReply();
  }
  asio::awaitable<peer::StopTaskReply>
  stopTask(peer::StopTaskRequest Request) override {
    StopRequests.push_back(Request);
    if (OnStop) {
      auto Delayed = OnStop(Request);
      co_return co_await deliver(std::move(Delayed));
    }
    co_return peer::StopTaskReply();
  }
  asio::awaitable<peer::ExecuteReply>
  execute(peer::ExecuteRequest Request) override {
    ExecuteRequests.push_back(Request);
    if (OnExecute) {
      auto Delayed = OnExecute(Request);
      co_return co_await deliver(std::move(Delayed));
    }
    peer::ExecuteReply Reply;
    Reply.set_answer("answer to " + Request.payload());
    co_return Reply;
  }
  [[nodiscard]] std::vector<peer::RackLoad> rackLoads() const override {
    return Loads;
  }
  [[nodiscard]] std::vector<peer::MemberUse> memberUse() const override {
    return {};
  }

  /// Adds a rack of workers with the given capacity, all of it free, to Loads.
  void addWorkerRack(const std::string &Name, std::uint64_t CpusMilli) {
    peer::RackLoad Load;
    Load.set_rack(Name);
    for (records::Resources *Amount :
         {Load.mutable_free(), Load.mutable_total(),
          Load.mutable_largest_free(), Load.mutable_largest_worker()}) {
      Amount->set_cpus_milli(CpusMilli);
      Amount->set_memory_mb(1000000);
    }
    Loads.push_back(Load);
  }
  /// Adds a rack of executors with free slots to Loads.
  void addExecutorRack(const std::string &Name, std::uint32_t Slots) {
    peer::RackLoad Load;
    Load.set_rack(Name);
    Load.set_has_executors(true);
    Load.set_free_slots(Slots);
    Loads.push_back(Load);
  }
  /// Number of execute requests without resolve_only.
  [[nodiscard]] std::size_t dispatchCount() const {
    std::size_t Count = 0;
    for (const peer::ExecuteRequest &Request : ExecuteRequests)
      if (!Request.resolve_only())
        ++Count;
    return Count;
  }

private:
  template <typename Reply>
  asio::awaitable<Reply> deliver(DelayedReply<Reply> Delayed) {
    if (Delayed.Delay > Clock::duration(0))
      co_await Timers_.sleepFor(Delayed.Delay);
    co_return std::move(Delayed.Message);
  }

  TimerService &Timers_;
};

} // namespace hickory
