#pragma once

#include "Base/Hash.h"
#include "Base/TimerService.h"
#include "Cell/CellPeer.h"
#include "Cell/WorkerClient.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// What the adviser says of a step: which workers are good for it, and how long
/// a call about it takes.
struct AdviceRule {
  AdvicePolicy Policy;
  double GoodShare = 1; ///< Share of the workers that are good for a step.
  int Calls = 0;        ///< Answered by all processes.
  std::chrono::duration<double> CallTime{0}; ///< Sum over these calls.
};

/// Answers the calls of one process one after the other. By default, answers
/// after a fixed time that all workers are good.
class FakeAdviceClient final : public AdviceClient {
public:
  FakeAdviceClient(TimerService &Timers, std::chrono::milliseconds ResponseTime)
      : Timers_(Timers), ResponseTime_(ResponseTime) {}

  std::vector<std::string> Asked; ///< Steps, in the order of the calls.
  /// Returns the rule of the step's queue; null: the default answer.
  std::function<AdviceRule *(const std::string &Step)> RuleOf;

  asio::awaitable<Result<Advice>>
  ask(std::string Step, std::vector<std::string> Workers,
      std::chrono::milliseconds /*Timeout*/) override {
    Asked.push_back(Step);
    AdviceRule *Rule = RuleOf ? RuleOf(Step) : nullptr;
    Clock::duration Time = ResponseTime_;
    if (Rule != nullptr)
      Time = queueCall(*Rule, Workers.size());
    co_await Timers_.sleepFor(Time);
    Advice Reply;
    for (std::string &Worker : Workers)
      if (Rule == nullptr || isGood(Step, Worker, Rule->GoodShare))
        Reply.Good.push_back({.Worker = std::move(Worker), .Text = "ticket"});
    co_return Reply;
  }

  /// Returns the same for each process and call.
  static bool isGood(const std::string &Step, const std::string &Worker,
                     double GoodShare) {
    constexpr std::uint64_t Resolution = 10000;
    return static_cast<double>(stableHash(Step + "@" + Worker) % Resolution) <
           GoodShare * static_cast<double>(Resolution);
  }

private:
  /// Returns the time until the call is answered, behind the earlier ones.
  Clock::duration queueCall(AdviceRule &Rule, std::size_t Workers) {
    const auto Time = std::chrono::duration_cast<Clock::duration>(
        Rule.Policy.DecisionTime +
        Rule.Policy.TimePerWorker * static_cast<double>(Workers));
    BusyUntil_ = std::max(BusyUntil_, Timers_.now()) + Time;
    ++Rule.Calls;
    Rule.CallTime += Time;
    return BusyUntil_ - Timers_.now();
  }

  TimerService &Timers_;
  std::chrono::milliseconds ResponseTime_;
  Clock::time_point BusyUntil_{};
};

/// Other processes of the cell, which answer only calls for advice.
class FakeAdvicePeers final : public CellPeer {
public:
  std::vector<std::string> Called;     ///< Addresses, in order.
  std::set<std::string> Busy;          ///< Peers with busy channels.
  std::chrono::milliseconds FreeIn{0}; ///< Told by a busy peer.
  std::set<std::string> Relayed;       ///< Peers that were asked for records.
  std::map<std::string, RecordsReply> Records; ///< Relayed, by address.
  std::vector<AdviseRequest> Calls;            ///< In the order of Called.

  asio::awaitable<Result<AdviseReply>> advise(std::string Address,
                                              AdviseRequest Request) override {
    Called.push_back(Address);
    Calls.push_back(Request);
    AdviseReply Reply{.Answered = !Busy.contains(Address)};
    if (!Reply.Answered)
      Reply.FreeInMs = FreeIn.count();
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
  asio::awaitable<Result<QuotaReply>> quota(std::string,
                                            QuotaRequest) override {
    co_return notImplemented();
  }
  asio::awaitable<Result<RecordsReply>> relayRecords(std::string Address,
                                                     RecordsRequest) override {
    Relayed.insert(Address);
    if (const auto It = Records.find(Address); It != Records.end())
      co_return It->second;
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
