#include "Backends/ExecutorSession.h"

#include "Base/Backoff.h"
#include "Http/HttpServer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <fmt/format.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using TryState = Execution::Try::State;

/// Splits <key>#<attempt> for events.
json idFields(const std::string &Id) {
  const std::size_t Mark = Id.rfind('#');
  return {{"id", Id},
          {"key", Id.substr(0, Mark)},
          {"attempt", Mark == std::string::npos ? "" : Id.substr(Mark + 1)}};
}

bool saysLeaving(const std::string &Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  return Parsed.is_object() && Parsed.contains("state") &&
         Parsed["state"] == "leaving";
}

} // namespace

ExecutorSession::ExecutorSession(std::shared_ptr<RackContext> Context,
                                 Upstream Executor)
    : Context_(std::move(Context)), Executor_(std::move(Executor)) {}

bool ExecutorSession::mayExecute() const {
  const auto Health = health();
  return !Closed_ && !Executor_.Leaving && freeSlots() > 0 &&
         Calls_ < Executor_.Connections &&
         Health != HealthTracker::State::SetAside &&
         Health != HealthTracker::State::Probing;
}

asio::awaitable<void>
ExecutorSession::call(std::shared_ptr<ExecutorSession> Self,
                      std::shared_ptr<Execution> Item, std::size_t Index) {
  CHECK(Self.get() == this);
  Occupied_.insert(Item->Id);
  ++Calls_;
  Context_->ExecutorHealth.started(Executor_.Name);
  Item->Tries[Index].SentAt = Context_->Timers.now();
  json Fields = idFields(Item->Id);
  Fields["executor"] = Executor_.Name;
  Fields["rack"] = Executor_.Rack;
  Fields["incarnation"] = Context_->Ownership.incarnation();
  Context_->Events.emit("racks", "execute_sent", std::move(Fields));
  Context_->Counters.count("hickory_executes_sent_total");
  // Answers after the deadline are of no use to the caller; the slot is then
  // watched by result queries.
  const auto Left =
      duration_cast<milliseconds>(Item->Deadline - Context_->Timers.now());
  HttpClientRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + Executor_.Address + "/v1/execute";
  Request.Body = json{{"id", Item->Id}, {"payload", Item->Payload}}.dump();
  Request.Timeout = std::max(Left, milliseconds(1));
  Request.MayResend = !Item->NonRepeatable;
  const auto Reply = co_await Context_->Client.send(std::move(Request));
  --Calls_;
  handleAnswer(Item, Index, Reply);
  Item->Changed.notify();
}

void ExecutorSession::handleAnswer(const std::shared_ptr<Execution> &Item,
                                   std::size_t Index,
                                   const Result<HttpClientResponse> &Reply) {
  Execution::Try &Own = Item->Tries[Index];
  if (!Reply) {
    Context_->ExecutorHealth.failed(Executor_.Name);
    Own.Detail = Reply.error().Message;
    Own.Sent = !Reply.error().hadNoEffect();
    Own.Status = Own.Sent ? TryState::Lost : TryState::NoEffect;
    if (!Own.Sent)
      release(Item->Id);
    return;
  }
  Own.Sent = true;
  if (Reply->Status == 200)
    handleBody(Item, Own, Reply->Body);
  else
    handleStatus(Item, Own, *Reply);
}

void ExecutorSession::handleBody(const std::shared_ptr<Execution> &Item,
                                 Execution::Try &Own, const std::string &Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("id") ||
      !Parsed["id"].is_string() || !Parsed.contains("answer") ||
      !Parsed["answer"].is_string()) {
    Context_->ExecutorHealth.failed(Executor_.Name);
    Own.Status = TryState::Lost;
    Own.Detail = "the executor's answer has no id or no answer";
    return;
  }
  Context_->ExecutorHealth.succeeded(Executor_.Name);
  const auto Id = Parsed["id"].get<std::string>();
  const auto Answer = Parsed["answer"].get<std::string>();
  json Fields = idFields(Id);
  Fields["executor"] = Executor_.Name;
  Fields["rack"] = Executor_.Rack;
  Fields["incarnation"] = Context_->Ownership.incarnation();
  if (Id == Item->Id || !Context_->Options.Protections.MatchAnswersById) {
    Context_->Events.emit("racks", "execute_answered", std::move(Fields));
    release(Item->Id);
    Item->deliver(Answer, Executor_.Name);
    return;
  }
  // The reply on this connection answers another request; this one's answer
  // is still open.
  Own.Status = TryState::Lost;
  Own.Detail = "the executor answered with another id";
  Fields["in_reply_to"] = Item->Id;
  Context_->Events.emit("racks", "answer_crossed", std::move(Fields));
  Context_->Counters.count("hickory_answers_crossed_total");
  release(Id);
  const auto It = Context_->Executions.find(Id);
  if (It != Context_->Executions.end())
    It->second->deliver(Answer, Executor_.Name);
}

void ExecutorSession::handleStatus(const std::shared_ptr<Execution> &Item,
                                   Execution::Try &Own,
                                   const HttpClientResponse &Reply) {
  release(Item->Id);
  Own.Detail =
      fmt::format("the executor answered with status {}", Reply.Status);
  if (Reply.Status == 503 && saysLeaving(Reply.Body)) {
    Own.Status = TryState::NoEffect;
    Own.Detail = "the executor is leaving";
    Context_->Upstreams.setSaidLeaving(Executor_.Name, true);
    return;
  }
  if (Reply.Status == 503 || Reply.Status == 429) {
    // All slots in use, probably by requests of the previous rack owner.
    Own.Status = TryState::NoEffect;
    return;
  }
  Context_->ExecutorHealth.failed(Executor_.Name);
  Own.Status = Reply.Status >= 400 && Reply.Status < 500 ? TryState::NoEffect
                                                         : TryState::Failed;
}

void ExecutorSession::release(const std::string &Id) { Occupied_.erase(Id); }

asio::awaitable<ExecutorSession::ResultState>
ExecutorSession::fetchResult(std::shared_ptr<Execution> Item) {
  const auto Self = shared_from_this();
  if (Calls_ >= Executor_.Connections)
    co_return ResultState::Unreachable;
  ++Calls_;
  HttpClientRequest Request;
  Request.Url =
      "http://" + Executor_.Address + "/v1/results/" + percentEncode(Item->Id);
  Request.MayResend = true;
  Request.Timeout = Context_->Options.Lease.CallTimeout;
  auto Reply = co_await Context_->Client.send(std::move(Request));
  --Calls_;
  if (!Reply || Reply->Status != 200)
    co_return ResultState::Unreachable;
  const json Parsed = json::parse(Reply->Body, nullptr, false);
  if (!Parsed.is_object() || Parsed.value("id", "") != Item->Id)
    co_return ResultState::Unreachable;
  const std::string State = Parsed.value("state", "");
  if (State == "running")
    co_return ResultState::Running;
  if (State == "done" && Parsed.contains("answer") &&
      Parsed["answer"].is_string()) {
    release(Item->Id);
    if (!Item->Answer) {
      json Fields = idFields(Item->Id);
      Fields["executor"] = Executor_.Name;
      Fields["rack"] = Executor_.Rack;
      Fields["incarnation"] = Context_->Ownership.incarnation();
      Context_->Events.emit("racks", "answer_late", std::move(Fields));
      Context_->Counters.count("hickory_answers_late_total");
      Item->deliver(Parsed["answer"].get<std::string>(), Executor_.Name);
    }
    co_return ResultState::Done;
  }
  co_return State == "unknown" ? ResultState::NotKnown
                               : ResultState::Unreachable;
}

void ExecutorSession::watchSlot(const std::shared_ptr<Execution> &Item) {
  if (Occupied_.contains(Item->Id))
    asio::co_spawn(Context_->Executor, watch(shared_from_this(), Item),
                   asio::detached);
}

asio::awaitable<void>
ExecutorSession::watch(std::shared_ptr<ExecutorSession> Self,
                       std::shared_ptr<Execution> Item) {
  CHECK(Self.get() == this);
  BackoffOptions Pauses{.Initial = Context_->Options.ResultPollMaximum,
                        .Maximum = milliseconds(5000)};
  Backoff Pause(Pauses, Context_->Source);
  const auto GiveUp = Context_->Timers.now() + Context_->Options.Memory;
  while (!Closed_ && Occupied_.contains(Item->Id) &&
         Context_->Timers.now() < GiveUp) {
    const ResultState State = co_await fetchResult(Item);
    if (State == ResultState::NotKnown || State == ResultState::Done)
      break;
    co_await Context_->Timers.sleepFor(Pause.next() + milliseconds(10));
  }
  release(Item->Id);
}

} // namespace hickory
