#pragma once

#include "Base/TimerService.h"
#include "Http/HttpServer.h"
#include "Support/WaiterList.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hickory {

/// Stands in for the platform's list of live and leaving instances. Changes
/// become visible after a delay, the lag.
class InstanceListStandIn {
public:
  InstanceListStandIn(TimerService &Timers, std::chrono::milliseconds Lag)
      : Timers_(Timers), Lag_(Lag) {}

  /// Replaces the list; the new one is visible at once. Returns an error
  /// message if the document is invalid.
  std::optional<std::string> load(const nlohmann::json &Document) {
    if (!Document.is_object() || !Document.contains("instances") ||
        !Document["instances"].is_array())
      return "document must have an array named instances";
    for (const auto &Instance : Document["instances"])
      if (const auto ErrorText = instanceError(Instance))
        return ErrorText;
    Instances_ = Document["instances"];
    Version_ = Document.value("version", std::uint64_t(1));
    Visible_ = document();
    return std::nullopt;
  }

  /// Handles one HTTP request of HttpServer.
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    if (Request.Path == "/v1/instances" && Request.Method == "GET")
      co_return co_await listInstances(Request.Query);
    if (Request.Path == "/control" && Request.Method == "POST") {
      const auto Changes = nlohmann::json::parse(Request.Body, nullptr, false);
      if (const auto ErrorText = applyChange(Changes))
        co_return error(400, *ErrorText);
      co_return HttpServerResponse{.Body = statsJson().dump()};
    }
    if (Request.Path == "/stats" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = statsJson().dump()};
    co_return error(404, "no such resource");
  }

  /// Applies {name | names | rack, state: live|leaving|gone}, {add: instance},
  /// {outage: none|error|hang} and {lag_ms}. Returns an error message if the
  /// request is invalid, and then changes nothing. An instance that is gone can
  /// become live again.
  std::optional<std::string> applyChange(const nlohmann::json &Changes) {
    if (!Changes.is_object())
      return "body must be a JSON object";
    for (const auto &[Key, Value] : Changes.items())
      if (Key != "name" && Key != "names" && Key != "rack" && Key != "state" &&
          Key != "add" && Key != "outage" && Key != "lag_ms")
        return "unknown key " + Key;
    nlohmann::json Next = Instances_;
    std::string Outage = Outage_;
    auto Lag = Lag_;
    try {
      if (Changes.contains("outage"))
        Outage = Changes["outage"].get<std::string>();
      if (Outage != "none" && Outage != "error" && Outage != "hang")
        return "outage must be none, error or hang";
      if (Changes.contains("lag_ms"))
        Lag = std::chrono::milliseconds(Changes["lag_ms"].get<std::int64_t>());
      if (Lag.count() < 0)
        return "lag_ms must not be negative";
      if (Changes.contains("add")) {
        if (const auto ErrorText = instanceError(Changes["add"]))
          return ErrorText;
        for (const auto &Instance : Next)
          if (Instance["name"] == Changes["add"]["name"])
            return "an instance of that name exists";
        Next.push_back(Changes["add"]);
      }
      if (Changes.contains("state")) {
        const std::string State = Changes["state"].get<std::string>();
        if (!isValidState(State))
          return "state must be live, leaving or gone";
        std::size_t Matches = 0;
        for (auto &Instance : Next)
          if (isSelected(Instance, Changes)) {
            Instance["state"] = State;
            ++Matches;
          }
        if (Matches == 0)
          return "no instance of that name or rack";
      }
    } catch (const nlohmann::json::exception &Exception) {
      return Exception.what();
    }
    Lag_ = Lag;
    Outage_ = Outage;
    StateChanged_.wakeAll();
    if (Next != Instances_) {
      Instances_ = std::move(Next);
      ++Version_;
      Pending_.push_back({Timers_.now() + Lag_, document()});
    }
    return std::nullopt;
  }

  /// The list that callers currently get.
  const nlohmann::json &visibleDocument() {
    // Changes become visible in order, also if the lag has been shortened
    // between them.
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

  static bool isValidState(const std::string &State) {
    return State == "live" || State == "leaving" || State == "gone";
  }

  /// Returns an error message if the instance is invalid.
  static std::optional<std::string>
  instanceError(const nlohmann::json &Instance) {
    if (!Instance.is_object())
      return "an instance must be a JSON object";
    for (const char *Key :
         {"name", "kind", "address", "rack", "failure_domain", "state"})
      if (!Instance.contains(Key) || !Instance[Key].is_string())
        return std::string("an instance lacks the string ") + Key;
    if (!isValidState(Instance["state"].get<std::string>()))
      return "state must be live, leaving or gone";
    return std::nullopt;
  }

  static bool isSelected(const nlohmann::json &Instance,
                         const nlohmann::json &Changes) {
    if (Changes.contains("name") && Instance["name"] == Changes["name"])
      return true;
    if (Changes.contains("rack") && Instance["rack"] == Changes["rack"])
      return true;
    if (Changes.contains("names"))
      for (const auto &Name : Changes["names"])
        if (Instance["name"] == Name)
          return true;
    return false;
  }

  [[nodiscard]] nlohmann::json document() const {
    nlohmann::json Listed = nlohmann::json::array();
    for (const auto &Instance : Instances_)
      if (Instance["state"] != "gone")
        Listed.push_back(Instance);
    return {{"version", Version_}, {"instances", std::move(Listed)}};
  }

  /// The query failure_domain limits the list to one failure domain; with
  /// known_version the list is returned only if its version differs.
  asio::awaitable<HttpServerResponse> listInstances(std::string Query) {
    ++ReadCount_;
    bool IsUnavailable = Outage_ == "error";
    while (Outage_ == "hang") {
      IsUnavailable = true;
      co_await StateChanged_.wait(Timers_, std::nullopt);
    }
    if (IsUnavailable) {
      HttpServerResponse Reply = error(503, "outage");
      Reply.RetryAfter = std::chrono::seconds(1);
      co_return Reply;
    }
    const nlohmann::json &Document = visibleDocument();
    const std::string Domain = queryParameter(Query, "failure_domain");
    HttpServerResponse Reply;
    if (queryParameter(Query, "known_version") == Document["version"].dump()) {
      Reply.Body = nlohmann::json{
          {"version", Document["version"]},
          {"unchanged",
           true}}.dump();
    } else if (Domain.empty()) {
      Reply.Body = Document.dump();
    } else {
      nlohmann::json Filtered = {{"version", Document["version"]},
                                 {"instances", nlohmann::json::array()}};
      for (const auto &Instance : Document["instances"])
        if (Instance.value("failure_domain", "") == Domain)
          Filtered["instances"].push_back(Instance);
      Reply.Body = Filtered.dump();
    }
    BytesOut_ += Reply.Body.size();
    co_return Reply;
  }

  [[nodiscard]] nlohmann::json statsJson() const {
    return {{"version", Version_},
            {"pending_changes", Pending_.size()},
            {"outage", Outage_},
            {"lag_ms", Lag_.count()},
            {"instances", Instances_.size()},
            {"reads", ReadCount_},
            {"bytes_out", BytesOut_}};
  }

  TimerService &Timers_;
  std::chrono::milliseconds Lag_;
  std::string Outage_ = "none";
  nlohmann::json Instances_ = nlohmann::json::array();
  std::uint64_t Version_ = 0;
  nlohmann::json Visible_;
  std::deque<PendingDocument> Pending_;
  WaiterList StateChanged_;
  std::uint64_t ReadCount_ = 0;
  std::uint64_t BytesOut_ = 0;
};

} // namespace hickory
