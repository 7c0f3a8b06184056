#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Http/HttpServer.h"
#include "Platform.pb.h"
#include "Support/WaiterList.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace hickory {

/// Stands in for the platform's log service. Keeps streams in memory, limits
/// their retention and the append rate, and injects faults on request.
class LogStandIn {
public:
  struct Settings {
    /// One of none, error and hang. With error, all calls are answered with
    /// 503; with hang, calls get no answer until the outage ends, then 503. No
    /// call takes effect during an outage.
    std::string Outage = "none";
    /// Delay of every call, half before and half after it takes effect.
    std::int64_t ExtraDelayMs = 0;
    /// Probability that an append takes effect but is answered with 503.
    double LostAnswerProbability = 0;
    /// Probability that an append takes effect but is answered after
    /// LateAnswerDelayMs.
    double LateAnswerProbability = 0;
    std::int64_t LateAnswerDelayMs = 10000;
    /// Number of entries kept per stream; 0 keeps all.
    std::int64_t Retention = 100000;
    /// Rate limit over all streams; 0 is unlimited.
    double MaximumAppendsPerSecond = 500;
    /// Larger appends are answered with 413.
    std::int64_t MaximumAppendBytes = 16 << 20;
  };

  LogStandIn(TimerService &Timers, Settings Initial, std::uint64_t Seed)
      : Timers_(Timers), Settings_(std::move(Initial)), Random_(Seed),
        Tokens_(burstSize()), TokensUpdatedAt_(Timers.now()) {}

  /// Handles one HTTP request of HttpServer.
  asio::awaitable<HttpServerResponse> handle(HttpServerRequest Request) {
    constexpr std::string_view Prefix = "/v1/streams/";
    if (Request.Path.starts_with(Prefix)) {
      const std::string Name =
          percentDecode(Request.Path.substr(Prefix.size()));
      if (Name.empty() || Name.find('/') != std::string::npos)
        co_return error(404, "the path must name one stream");
      if (Request.Method == "POST")
        co_return co_await append(Name, std::move(Request.Body));
      if (Request.Method == "GET")
        co_return co_await read(Name, std::move(Request.Query));
    }
    if (Request.Path == "/control" && Request.Method == "POST")
      co_return control(Request.Body);
    if (Request.Path == "/control" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = settingsJson().dump()};
    if (Request.Path == "/stats" && Request.Method == "GET")
      co_return HttpServerResponse{.Body = statsJson().dump()};
    co_return error(404, "no such resource");
  }

  /// Changes settings. Returns an error message if the request is invalid, and
  /// then changes nothing.
  std::optional<std::string> changeSettings(const nlohmann::json &Changes) {
    if (!Changes.is_object())
      return "body must be a JSON object";
    Settings Next = Settings_;
    try {
      for (const auto &[Key, Value] : Changes.items()) {
        if (Key == "outage")
          Next.Outage = Value.get<std::string>();
        else if (Key == "slow_ms")
          Next.ExtraDelayMs = Value.get<std::int64_t>();
        else if (Key == "lose_answers")
          Next.LostAnswerProbability = Value.get<double>();
        else if (Key == "late_answers")
          Next.LateAnswerProbability = Value.get<double>();
        else if (Key == "late_ms")
          Next.LateAnswerDelayMs = Value.get<std::int64_t>();
        else if (Key == "retention")
          Next.Retention = Value.get<std::int64_t>();
        else if (Key == "appends_per_s")
          Next.MaximumAppendsPerSecond = Value.get<double>();
        else if (Key == "max_append_bytes")
          Next.MaximumAppendBytes = Value.get<std::int64_t>();
        else
          return "unknown setting " + Key;
      }
    } catch (const nlohmann::json::exception &Exception) {
      return Exception.what();
    }
    if (Next.Outage != "none" && Next.Outage != "error" &&
        Next.Outage != "hang")
      return "outage must be none, error or hang";
    if (Next.LostAnswerProbability < 0 || Next.LateAnswerProbability < 0 ||
        Next.LostAnswerProbability + Next.LateAnswerProbability > 1)
      return "lose_answers and late_answers must be at least 0 and together at "
             "most 1";
    if (Next.ExtraDelayMs < 0 || Next.LateAnswerDelayMs < 0 ||
        Next.MaximumAppendsPerSecond < 0 || Next.Retention < 0 ||
        Next.MaximumAppendBytes < 0)
      return "numbers must not be negative";
    Settings_ = Next;
    Tokens_ = burstSize();
    TokensUpdatedAt_ = Timers_.now();
    for (auto &[Name, Stored] : Streams_) {
      applyRetention(Stored);
      Stored.Appended.wakeAll();
    }
    SettingsChanged_.wakeAll();
    return std::nullopt;
  }

private:
  struct Stream {
    [[nodiscard]] std::uint64_t end() const {
      return Earliest + Entries.size();
    }
    std::uint64_t Earliest = 0;
    std::deque<std::string> Entries;
    WaiterList Appended;
    std::uint64_t AppendCalls = 0;
    std::uint64_t ReadCalls = 0;
    std::uint64_t RejectedCalls = 0;
    std::uint64_t AnswersLost = 0;
    std::uint64_t BytesIn = 0;
    std::uint64_t BytesOut = 0;
  };

  static HttpServerResponse error(int Status, const std::string &Message) {
    const nlohmann::json Body = {{"code", Status}, {"message", Message}};
    HttpServerResponse Reply{.Status = Status, .Body = Body.dump()};
    if (Status == 429 || Status == 503)
      Reply.RetryAfter = std::chrono::seconds(1);
    return Reply;
  }

  static HttpServerResponse encodeReply(const google::protobuf::Message &Body) {
    return {.Body = Body.SerializeAsString(),
            .ContentType = "application/x-protobuf"};
  }

  [[nodiscard]] double burstSize() const {
    // The appends of a quarter of a second, so that short bursts pass.
    return std::max(1.0, Settings_.MaximumAppendsPerSecond / 4);
  }

  bool takeToken() {
    if (Settings_.MaximumAppendsPerSecond == 0)
      return true;
    const auto Now = Timers_.now();
    Tokens_ = std::min(
        burstSize(),
        Tokens_ +
            Settings_.MaximumAppendsPerSecond *
                std::chrono::duration<double>(Now - TokensUpdatedAt_).count());
    TokensUpdatedAt_ = Now;
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    return true;
  }

  void applyRetention(Stream &Stored) const {
    while (Settings_.Retention != 0 &&
           std::ssize(Stored.Entries) > Settings_.Retention) {
      Stored.Entries.pop_front();
      ++Stored.Earliest;
    }
  }

  asio::awaitable<void> sleepFor(std::int64_t Milliseconds) {
    if (Milliseconds > 0)
      co_await Timers_.sleepFor(std::chrono::milliseconds(Milliseconds));
  }

  /// Waits until no outage of kind hang is active. Returns whether an outage
  /// makes the call fail with 503.
  asio::awaitable<bool> waitForOutageEnd() {
    bool IsUnavailable = Settings_.Outage == "error";
    while (Settings_.Outage == "hang") {
      IsUnavailable = true;
      co_await SettingsChanged_.wait(Timers_, std::nullopt);
    }
    co_return IsUnavailable;
  }

  asio::awaitable<HttpServerResponse> append(std::string Name,
                                             std::string Payload) {
    const std::int64_t ExtraDelayMs = Settings_.ExtraDelayMs;
    co_await sleepFor(ExtraDelayMs / 2);
    const bool IsUnavailable = co_await waitForOutageEnd();
    Stream &Stored = Streams_[Name];
    Stored.BytesIn += Payload.size();
    if (!IsUnavailable && std::ssize(Payload) > Settings_.MaximumAppendBytes) {
      ++Stored.RejectedCalls;
      co_return error(413, "the append exceeds max_append_bytes");
    }
    if (IsUnavailable || !takeToken()) {
      ++Stored.RejectedCalls;
      co_return error(IsUnavailable ? 503 : 429,
                      IsUnavailable ? "outage" : "append rate exceeded");
    }
    platform::AppendReply Body;
    Body.set_offset(Stored.end());
    Stored.Entries.push_back(std::move(Payload));
    applyRetention(Stored);
    ++Stored.AppendCalls;
    Stored.Appended.wakeAll();
    HttpServerResponse Reply = encodeReply(Body);
    const double RandomValue = Random_.unit();
    const bool IsLost = RandomValue < Settings_.LostAnswerProbability;
    const bool IsLate =
        !IsLost && RandomValue < Settings_.LostAnswerProbability +
                                     Settings_.LateAnswerProbability;
    if (IsLost || IsLate)
      ++Stored.AnswersLost;
    co_await sleepFor(ExtraDelayMs - ExtraDelayMs / 2 +
                      (IsLate ? Settings_.LateAnswerDelayMs : 0));
    // If an outage has begun since the append took effect, its answer is lost.
    const bool HasOutageBegun = co_await waitForOutageEnd();
    if (IsLost || HasOutageBegun)
      co_return error(503, "the append may have taken effect");
    Streams_[Name].BytesOut += Reply.Body.size();
    co_return Reply;
  }

  asio::awaitable<HttpServerResponse> read(std::string Name,
                                           std::string Query) {
    const std::int64_t ExtraDelayMs = Settings_.ExtraDelayMs;
    std::uint64_t From = 0;
    std::uint64_t Maximum = 0;
    std::int64_t WaitMs = 0;
    if (!parseNumber(Query, "from", 0, From) ||
        !parseNumber(Query, "max", 500, Maximum) ||
        !parseNumber(Query, "wait_ms", 0, WaitMs) || Maximum == 0 || WaitMs < 0)
      co_return error(400, "from, max and wait_ms must be whole numbers");
    co_await sleepFor(ExtraDelayMs / 2);
    const auto Deadline = Timers_.now() + std::chrono::milliseconds(
                                              std::min(WaitMs, MaximumWaitMs));
    for (;;) {
      const bool IsUnavailable = co_await waitForOutageEnd();
      Stream &Stored = Streams_[Name];
      if (IsUnavailable) {
        ++Stored.RejectedCalls;
        co_return error(503, "outage");
      }
      const auto Now = Timers_.now();
      if (From < Stored.end() || Now >= Deadline)
        break;
      co_await Stored.Appended.wait(Timers_, Deadline - Now);
    }
    Stream &Stored = Streams_[Name];
    platform::ReadReply Body;
    Body.set_earliest(Stored.Earliest);
    std::uint64_t Next =
        std::min(std::max(From, Stored.Earliest), Stored.end());
    std::size_t Bytes = 0;
    while (Next < Stored.end() &&
           static_cast<std::uint64_t>(Body.entries_size()) < Maximum &&
           Bytes < MaximumPageBytes) {
      auto &Entry = *Body.add_entries();
      Entry.set_offset(Next);
      Entry.set_payload(Stored.Entries[Next - Stored.Earliest]);
      Bytes += Entry.payload().size();
      ++Next;
    }
    Body.set_next(Next);
    HttpServerResponse Reply = encodeReply(Body);
    ++Stored.ReadCalls;
    Stored.BytesOut += Reply.Body.size();
    co_await sleepFor(ExtraDelayMs - ExtraDelayMs / 2);
    co_return Reply;
  }

  template <typename T>
  static bool parseNumber(const std::string &Query, const std::string &Name,
                          std::type_identity_t<T> Default, T &Value) {
    const std::string Text = queryParameter(Query, Name);
    if (Text.empty()) {
      Value = Default;
      return true;
    }
    const auto [End, Code] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    return Code == std::errc() && End == Text.data() + Text.size();
  }

  HttpServerResponse control(const std::string &Body) {
    const auto Changes = nlohmann::json::parse(Body, nullptr, false);
    if (const auto ErrorText = changeSettings(Changes))
      return error(400, *ErrorText);
    return {.Body = settingsJson().dump()};
  }

  [[nodiscard]] nlohmann::json settingsJson() const {
    return {{"outage", Settings_.Outage},
            {"slow_ms", Settings_.ExtraDelayMs},
            {"lose_answers", Settings_.LostAnswerProbability},
            {"late_answers", Settings_.LateAnswerProbability},
            {"late_ms", Settings_.LateAnswerDelayMs},
            {"retention", Settings_.Retention},
            {"appends_per_s", Settings_.MaximumAppendsPerSecond},
            {"max_append_bytes", Settings_.MaximumAppendBytes}};
  }

  /// Statistics of each stream. Byte counts include HTTP bodies, not headers.
  [[nodiscard]] nlohmann::json statsJson() const {
    nlohmann::json Streams = nlohmann::json::object();
    for (const auto &[Name, Stored] : Streams_)
      Streams[Name] = {{"appends", Stored.AppendCalls},
                       {"reads", Stored.ReadCalls},
                       {"refused", Stored.RejectedCalls},
                       {"answers_lost", Stored.AnswersLost},
                       {"bytes_in", Stored.BytesIn},
                       {"bytes_out", Stored.BytesOut},
                       {"earliest", Stored.Earliest},
                       {"next", Stored.end()}};
    return {{"streams", std::move(Streams)}};
  }

  static constexpr std::int64_t MaximumWaitMs = 60000;
  static constexpr std::size_t MaximumPageBytes = 4 << 20;

  TimerService &Timers_;
  Settings Settings_;
  Random Random_;
  double Tokens_;
  Clock::time_point TokensUpdatedAt_;
  std::map<std::string, Stream> Streams_;
  WaiterList SettingsChanged_;
};

} // namespace hickory
