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

/// The platform's log service in memory: streams with offsets, limited
/// retention and append rate, and switches for its faults.
class LogStandIn {
public:
  struct Settings {
    /// none; error: all calls are answered 503; hang: calls get no answer
    /// until the outage ends, then 503. No call takes effect in an outage.
    std::string Outage = "none";
    /// Added to every call, half before and half after it takes effect.
    std::int64_t SlowMs = 0;
    /// Probability that an append takes effect and is then answered 503.
    double LoseAnswers = 0;
    /// Probability that an append takes effect and is answered after LateMs.
    double LateAnswers = 0;
    std::int64_t LateMs = 10000;
    /// Entries kept per stream; 0 keeps all.
    std::int64_t Retention = 100000;
    /// Over all streams; 0 is unlimited.
    double AppendsPerSecond = 500;
    /// Larger appends are answered 413.
    std::int64_t MaximumAppendBytes = 16 << 20;
  };

  LogStandIn(TimerService &Timers, Settings Initial, std::uint64_t Seed)
      : Timers_(Timers), Settings_(std::move(Initial)), Numbers_(Seed),
        Tokens_(burst()), TokensAt_(Timers.now()) {}

  /// Handles one HTTP request; for HttpServer.
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

  /// Changes settings; returns what is wrong, if anything, and then changes
  /// nothing.
  std::optional<std::string> changeSettings(const nlohmann::json &Wanted) {
    if (!Wanted.is_object())
      return "body must be a JSON object";
    Settings Next = Settings_;
    try {
      for (const auto &[Key, Value] : Wanted.items()) {
        if (Key == "outage")
          Next.Outage = Value.get<std::string>();
        else if (Key == "slow_ms")
          Next.SlowMs = Value.get<std::int64_t>();
        else if (Key == "lose_answers")
          Next.LoseAnswers = Value.get<double>();
        else if (Key == "late_answers")
          Next.LateAnswers = Value.get<double>();
        else if (Key == "late_ms")
          Next.LateMs = Value.get<std::int64_t>();
        else if (Key == "retention")
          Next.Retention = Value.get<std::int64_t>();
        else if (Key == "appends_per_s")
          Next.AppendsPerSecond = Value.get<double>();
        else if (Key == "max_append_bytes")
          Next.MaximumAppendBytes = Value.get<std::int64_t>();
        else
          return "unknown setting " + Key;
      }
    } catch (const nlohmann::json::exception &Failure) {
      return Failure.what();
    }
    if (Next.Outage != "none" && Next.Outage != "error" &&
        Next.Outage != "hang")
      return "outage must be none, error or hang";
    if (Next.LoseAnswers < 0 || Next.LateAnswers < 0 ||
        Next.LoseAnswers + Next.LateAnswers > 1)
      return "lose_answers and late_answers must be at least 0 and together at "
             "most 1";
    if (Next.SlowMs < 0 || Next.LateMs < 0 || Next.AppendsPerSecond < 0 ||
        Next.Retention < 0 || Next.MaximumAppendBytes < 0)
      return "numbers must not be negative";
    Settings_ = Next;
    Tokens_ = burst();
    TokensAt_ = Timers_.now();
    for (auto &[Name, Of] : Streams_) {
      applyRetention(Of);
      Of.Appended.wakeAll();
    }
    Changed_.wakeAll();
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
    std::uint64_t Appends = 0;
    std::uint64_t Reads = 0;
    std::uint64_t Refused = 0;
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

  static HttpServerResponse encoded(const google::protobuf::Message &Body) {
    return {.Body = Body.SerializeAsString(),
            .ContentType = "application/x-protobuf"};
  }

  [[nodiscard]] double burst() const {
    // A quarter of a second, so that short bursts within the rate pass.
    return std::max(1.0, Settings_.AppendsPerSecond / 4);
  }

  bool takeToken() {
    if (Settings_.AppendsPerSecond == 0)
      return true;
    const auto Now = Timers_.now();
    Tokens_ = std::min(
        burst(),
        Tokens_ + Settings_.AppendsPerSecond *
                      std::chrono::duration<double>(Now - TokensAt_).count());
    TokensAt_ = Now;
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    return true;
  }

  void applyRetention(Stream &Of) const {
    while (Settings_.Retention != 0 &&
           std::ssize(Of.Entries) > Settings_.Retention) {
      Of.Entries.pop_front();
      ++Of.Earliest;
    }
  }

  asio::awaitable<void> pause(std::int64_t Milliseconds) {
    if (Milliseconds > 0)
      co_await Timers_.sleepFor(std::chrono::milliseconds(Milliseconds));
  }

  /// True if the call must be answered 503; returns only once no outage of
  /// kind hang is on.
  asio::awaitable<bool> refusedByOutage() {
    bool Refused = Settings_.Outage == "error";
    while (Settings_.Outage == "hang") {
      Refused = true;
      co_await Changed_.wait(Timers_, std::nullopt);
    }
    co_return Refused;
  }

  asio::awaitable<HttpServerResponse> append(std::string Name,
                                             std::string Payload) {
    const std::int64_t Slow = Settings_.SlowMs;
    co_await pause(Slow / 2);
    const bool Refused = co_await refusedByOutage();
    Stream &Of = Streams_[Name];
    Of.BytesIn += Payload.size();
    if (!Refused && std::ssize(Payload) > Settings_.MaximumAppendBytes) {
      ++Of.Refused;
      co_return error(413, "the append exceeds max_append_bytes");
    }
    if (Refused || !takeToken()) {
      ++Of.Refused;
      co_return error(Refused ? 503 : 429,
                      Refused ? "outage" : "append rate exceeded");
    }
    platform::AppendReply Body;
    Body.set_offset(Of.end());
    Of.Entries.push_back(std::move(Payload));
    applyRetention(Of);
    ++Of.Appends;
    Of.Appended.wakeAll();
    HttpServerResponse Reply = encoded(Body);
    const double Draw = Numbers_.unit();
    const bool Lost = Draw < Settings_.LoseAnswers;
    const bool Late =
        !Lost && Draw < Settings_.LoseAnswers + Settings_.LateAnswers;
    if (Lost || Late)
      ++Of.AnswersLost;
    co_await pause(Slow - Slow / 2 + (Late ? Settings_.LateMs : 0));
    // An outage that began after the append took effect hides its answer.
    const bool Hidden = co_await refusedByOutage();
    if (Lost || Hidden)
      co_return error(503, "the append may have taken effect");
    Streams_[Name].BytesOut += Reply.Body.size();
    co_return Reply;
  }

  asio::awaitable<HttpServerResponse> read(std::string Name,
                                           std::string Query) {
    const std::int64_t Slow = Settings_.SlowMs;
    std::uint64_t From = 0;
    std::uint64_t Maximum = 0;
    std::int64_t WaitMs = 0;
    if (!number(Query, "from", 0, From) ||
        !number(Query, "max", 500, Maximum) ||
        !number(Query, "wait_ms", 0, WaitMs) || Maximum == 0 || WaitMs < 0)
      co_return error(400, "from, max and wait_ms must be whole numbers");
    co_await pause(Slow / 2);
    const auto Deadline = Timers_.now() + std::chrono::milliseconds(
                                              std::min(WaitMs, MaximumWaitMs));
    for (;;) {
      const bool Refused = co_await refusedByOutage();
      Stream &Of = Streams_[Name];
      if (Refused) {
        ++Of.Refused;
        co_return error(503, "outage");
      }
      const auto Now = Timers_.now();
      if (From < Of.end() || Now >= Deadline)
        break;
      co_await Of.Appended.wait(Timers_, Deadline - Now);
    }
    Stream &Of = Streams_[Name];
    platform::ReadReply Body;
    Body.set_earliest(Of.Earliest);
    std::uint64_t Next = std::min(std::max(From, Of.Earliest), Of.end());
    std::size_t Bytes = 0;
    while (Next < Of.end() &&
           static_cast<std::uint64_t>(Body.entries_size()) < Maximum &&
           Bytes < MaximumPageBytes) {
      auto &Entry = *Body.add_entries();
      Entry.set_offset(Next);
      Entry.set_payload(Of.Entries[Next - Of.Earliest]);
      Bytes += Entry.payload().size();
      ++Next;
    }
    Body.set_next(Next);
    HttpServerResponse Reply = encoded(Body);
    ++Of.Reads;
    Of.BytesOut += Reply.Body.size();
    co_await pause(Slow - Slow / 2);
    co_return Reply;
  }

  template <typename T>
  static bool number(const std::string &Query, const std::string &Name,
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
    const auto Wanted = nlohmann::json::parse(Body, nullptr, false);
    if (const auto Wrong = changeSettings(Wanted))
      return error(400, *Wrong);
    return {.Body = settingsJson().dump()};
  }

  [[nodiscard]] nlohmann::json settingsJson() const {
    return {{"outage", Settings_.Outage},
            {"slow_ms", Settings_.SlowMs},
            {"lose_answers", Settings_.LoseAnswers},
            {"late_answers", Settings_.LateAnswers},
            {"late_ms", Settings_.LateMs},
            {"retention", Settings_.Retention},
            {"appends_per_s", Settings_.AppendsPerSecond},
            {"max_append_bytes", Settings_.MaximumAppendBytes}};
  }

  /// Byte counts are of bodies, without HTTP headers.
  [[nodiscard]] nlohmann::json statsJson() const {
    nlohmann::json Streams = nlohmann::json::object();
    for (const auto &[Name, Of] : Streams_)
      Streams[Name] = {
          {"appends", Of.Appends},   {"reads", Of.Reads},
          {"refused", Of.Refused},   {"answers_lost", Of.AnswersLost},
          {"bytes_in", Of.BytesIn},  {"bytes_out", Of.BytesOut},
          {"earliest", Of.Earliest}, {"next", Of.end()}};
    return {{"streams", std::move(Streams)}};
  }

  static constexpr std::int64_t MaximumWaitMs = 60000;
  static constexpr std::size_t MaximumPageBytes = 4 << 20;

  TimerService &Timers_;
  Settings Settings_;
  Random Numbers_;
  double Tokens_;
  Clock::time_point TokensAt_;
  std::map<std::string, Stream> Streams_;
  WaiterList Changed_;
};

} // namespace hickory
