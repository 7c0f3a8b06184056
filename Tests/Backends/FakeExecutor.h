#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace hickory {

/// An executor in the test's time, with faults that the test switches on.
class FakeExecutor {
public:
  FakeExecutor(TimerService &Timers, asio::any_io_executor Executor)
      : Timers_(Timers), Executor_(std::move(Executor)) {}

  std::chrono::milliseconds Work{10};
  std::chrono::milliseconds HoldReply{0}; ///< After the run.
  bool Cross = false;   ///< Swaps the replies of pairs of requests.
  bool Fail = false;    ///< Answers 500 after the run.
  bool Leaving = false; ///< Answers 503 and says why.
  bool Busy = false;    ///< Answers 503 without a reason.
  int MostRunning = 0;
  std::map<std::string, int> Runs; ///< By id.

  asio::awaitable<HttpClientResponse> handle(HttpClientRequest Request) {
    const std::string ResultPath = "/v1/results/";
    const std::size_t At = Request.Url.find(ResultPath);
    if (At != std::string::npos)
      co_return result(
          percentDecode(Request.Url.substr(At + ResultPath.size())));
    const auto Body = nlohmann::json::parse(Request.Body);
    std::string Id = Body.at("id");
    std::string Text = "answer:" + Body.at("payload").get<std::string>();
    if (Leaving)
      co_return reply(503, {{"state", "leaving"}});
    if (Busy)
      co_return reply(503, {{"state", "busy"}});
    ++Runs[Id];
    MostRunning = std::max(MostRunning, ++Running_);
    Results_[Id] = {"running", ""};
    co_await Timers_.sleepFor(Work);
    --Running_;
    if (Fail) {
      Results_.erase(Id);
      co_return reply(500, {{"id", Id}});
    }
    Results_[Id] = {"done", Text};
    if (Cross) {
      if (!Waiting_) {
        Waiting_ = std::make_shared<Crossing>(Executor_);
        const auto Own = Waiting_;
        Own->Id = Id;
        Own->Text = Text;
        co_await Own->Swapped.wait();
        Id = Own->Id;
        Text = Own->Text;
      } else {
        const auto Other = std::exchange(Waiting_, nullptr);
        std::swap(Other->Id, Id);
        std::swap(Other->Text, Text);
        Other->Swapped.notify();
      }
    }
    if (HoldReply.count() > 0)
      co_await Timers_.sleepFor(HoldReply);
    co_return reply(200, {{"id", Id}, {"answer", Text}});
  }

  [[nodiscard]] int totalRuns() const {
    int Sum = 0;
    for (const auto &[Id, Count] : Runs)
      Sum += Count;
    return Sum;
  }

private:
  struct Crossing {
    explicit Crossing(const asio::any_io_executor &Where) : Swapped(Where) {}
    std::string Id;
    std::string Text;
    Notifier Swapped;
  };

  static HttpClientResponse reply(int Status, const nlohmann::json &Body) {
    HttpClientResponse Reply;
    Reply.Status = Status;
    Reply.Body = Body.dump();
    return Reply;
  }
  [[nodiscard]] HttpClientResponse result(const std::string &Id) const {
    const auto It = Results_.find(Id);
    if (It == Results_.end())
      return reply(200, {{"id", Id}, {"state", "unknown"}});
    return reply(200, {{"id", Id},
                       {"state", It->second.first},
                       {"answer", It->second.second}});
  }

  TimerService &Timers_;
  asio::any_io_executor Executor_;
  int Running_ = 0;
  std::map<std::string, std::pair<std::string, std::string>> Results_;
  std::shared_ptr<Crossing> Waiting_;
};

} // namespace hickory
