#pragma once

#include "Base/TimerService.h"
#include "Http/HttpServer.h"
#include "Support/WaiterList.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hickory {

/// The platform's list of live and leaving instances. Changes become visible
/// only after a lag.
class InstanceListStandIn {
public:
  InstanceListStandIn(TimerService &Timers, std::chrono::milliseconds Lag)
      : Timers_(Timers), Lag_(Lag) {}

  /// Sets the document that is visible at once; returns what is wrong with it.
  std::optional<std::string> load(const nlohmann::json &Document) {
    if (!Document.is_object() || !Document.contains("instances") ||
        !Document["instances"].is_array())
      return "document must have an array named instances";
    for (const auto &Instance : Document["instances"])
      if (const auto Wrong = wrongInstance(Instance))
        return Wrong;
    Instances_ = Document["instances"];
    Version_ = Document.value("version", std::uint64_t(1));
    Visible_ = document();
    return std::nullopt;
  }

  /// Handles one HTTP request; for HttpServer.
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    if (Request.Path == "/v1/instances" && Request.Method == "GET")
      co_return co_await instances(Request.Query);
    if (Request.Path == "/control" && Request.Method == "POST") {
      const auto Wanted = nlohmann::json::parse(Request.Body, nullptr, false);
      if (const auto Wrong = applyChange(Wanted))
        co_return error(400, *Wrong);
      co_return HttpServerResponse{.Body = statusJson().dump()};
    }
    if (Request.Path == "/stats" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = statusJson().dump()};
    co_return error(404, "no such resource");
  }

  /// Applies {name | names | rack, state: live|leaving|gone}, {add: instance},
  /// {outage: none|error|hang} and {lag_ms}; returns what is wrong and then
  /// changes nothing. An instance that is gone can come back.
  std::optional<std::string> applyChange(const nlohmann::json &Wanted) {
    if (!Wanted.is_object())
      return "body must be a JSON object";
    for (const auto &[Key, Value] : Wanted.items())
      if (Key != "name" && Key != "names" && Key != "rack" && Key != "state" &&
          Key != "add" && Key != "outage" && Key != "lag_ms")
        return "unknown key " + Key;
    nlohmann::json Next = Instances_;
    std::string Outage = Outage_;
    auto Lag = Lag_;
    try {
      if (Wanted.contains("outage"))
        Outage = Wanted["outage"].get<std::string>();
      if (Outage != "none" && Outage != "error" && Outage != "hang")
        return "outage must be none, error or hang";
      if (Wanted.contains("lag_ms"))
        Lag = std::chrono::milliseconds(Wanted["lag_ms"].get<std::int64_t>());
      if (Lag.count() < 0)
        return "lag_ms must not be negative";
      if (Wanted.contains("add")) {
        if (const auto Wrong = wrongInstance(Wanted["add"]))
          return Wrong;
        for (const auto &Instance : Next)
          if (Instance["name"] == Wanted["add"]["name"])
            return "an instance of that name exists";
        Next.push_back(Wanted["add"]);
      }
      if (Wanted.contains("state")) {
        const std::string State = Wanted["state"].get<std::string>();
        if (!validState(State))
          return "state must be live, leaving or gone";
        std::size_t Matches = 0;
        for (auto &Instance : Next)
          if (selected(Instance, Wanted)) {
            Instance["state"] = State;
            ++Matches;
          }
        if (Matches == 0)
          return "no instance of that name or rack";
      }
    } catch (const nlohmann::json::exception &Failure) {
      return Failure.what();
    }
    Lag_ = Lag;
    Outage_ = Outage;
    Changed_.wakeAll();
    if (Next != Instances_) {
      Instances_ = std::move(Next);
      ++Version_;
      Pending_.push_back({Timers_.now() + Lag_, document()});
    }
    return std::nullopt;
  }

  /// What callers see now.
  const nlohmann::json &visibleDocument() {
    // A shorter lag set later must not let a change overtake an earlier one.
    while (!Pending_.empty() && Pending_.front().VisibleAt <= Timers_.now()) {
      Visible_ = std::move(Pending_.front().Document);
      Pending_.pop_front();
    }
    return Visible_;
  }

private:
  struct PendingDocument {
    Clock::time_point VisibleAt;
    nlohmann::json Document;
  };

  static HttpServerResponse error(int Status, const std::string &Message) {
    const nlohmann::json Body = {{"code", Status}, {"message", Message}};
    return {.Status = Status, .Body = Body.dump()};
  }

  static bool validState(const std::string &State) {
    return State == "live" || State == "leaving" || State == "gone";
  }

  static std::optional<std::string>
  wrongInstance(const nlohmann::json &Instance) {
    if (!Instance.is_object())
      return "an instance must be a JSON object";
    for (const char *Key :
         {"name", "kind", "address", "rack", "failure_domain", "state"})
      if (!Instance.contains(Key) || !Instance[Key].is_string())
        return std::string("an instance lacks the text ") + Key;
    if (!validState(Instance["state"].get<std::string>()))
      return "state must be live, leaving or gone";
    return std::nullopt;
  }

  static bool selected(const nlohmann::json &Instance,
                       const nlohmann::json &Wanted) {
    if (Wanted.contains("name") && Instance["name"] == Wanted["name"])
      return true;
    if (Wanted.contains("rack") && Instance["rack"] == Wanted["rack"])
      return true;
    if (Wanted.contains("names"))
      for (const auto &Name : Wanted["names"])
        if (Instance["name"] == Name)
          return true;
    return false;
  }

  [[nodiscard]] nlohmann::json document() const {
    nlohmann::json Present = nlohmann::json::array();
    for (const auto &Instance : Instances_)
      if (Instance["state"] != "gone")
        Present.push_back(Instance);
    return {{"version", Version_}, {"instances", std::move(Present)}};
  }

  /// Query: failure_domain limits the list to one domain; known_version asks
  /// for the content only if it is newer.
  asio::awaitable<HttpServerResponse> instances(std::string Query) {
    ++Reads_;
    bool Refused = Outage_ == "error";
    while (Outage_ == "hang") {
      Refused = true;
      co_await Changed_.wait(Timers_, std::nullopt);
    }
    if (Refused) {
      HttpServerResponse Reply = error(503, "outage");
      Reply.RetryAfter = std::chrono::seconds(1);
      co_return Reply;
    }
    const nlohmann::json &Now = visibleDocument();
    const std::string Domain = queryParameter(Query, "failure_domain");
    HttpServerResponse Reply;
    if (queryParameter(Query, "known_version") == Now["version"].dump()) {
      Reply.Body = nlohmann::json{
          {"version", Now["version"]},
          {"unchanged",
           true}}.dump();
    } else if (Domain.empty()) {
      Reply.Body = Now.dump();
    } else {
      nlohmann::json Part = {{"version", Now["version"]},
                             {"instances", nlohmann::json::array()}};
      for (const auto &Instance : Now["instances"])
        if (Instance.value("failure_domain", "") == Domain)
          Part["instances"].push_back(Instance);
      Reply.Body = Part.dump();
    }
    BytesOut_ += Reply.Body.size();
    co_return Reply;
  }

  [[nodiscard]] nlohmann::json statusJson() const {
    return {{"version", Version_},
            {"pending_changes", Pending_.size()},
            {"outage", Outage_},
            {"lag_ms", Lag_.count()},
            {"instances", Instances_.size()},
            {"reads", Reads_},
            {"bytes_out", BytesOut_}};
  }

  TimerService &Timers_;
  std::chrono::milliseconds Lag_;
  std::string Outage_ = "none";
  nlohmann::json Instances_ = nlohmann::json::array();
  std::uint64_t Version_ = 0;
  nlohmann::json Visible_;
  std::deque<PendingDocument> Pending_;
  WaiterList Changed_;
  std::uint64_t Reads_ = 0;
  std::uint64_t BytesOut_ = 0;
};

} // namespace hickory
